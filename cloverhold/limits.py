"""How a process parts what it may use: descriptors."""

from __future__ import annotations

from dataclasses import dataclass

# Parts of the descriptors; the rest is for the calls to discovery, the listening sockets and the interpreter.
CLIENT_PART, SERVER_PART = 0.5, 0.4
RESTING_PART = 1 / 6  # of connections between requests: clients hold a third at most
OWN = 34  # standard streams, the loop's own, listening handles, discovery, what is accepted and closed in one turn
MANAGEMENT = 20  # the listening socket of management, its callers, and those that give way
LEAST = 8
REFUSED_PART = 1 / 16  # of the clients' connections: what comes past the others is told 503 on them


@dataclass(frozen=True)
class Descriptors:
    """The most connections of each kind."""

    clients: int
    refused: int  # of clients that are answered 503 and closed
    resting: int
    servers: int


def descriptors(sockets: int, *, management: bool, most_clients: int | None = None) -> Descriptors:
    """Part `sockets` descriptors. Guards against limits so low that a tenth is less than the process itself needs.

    most_clients: a bound of another kind, beside the descriptors.
    """
    left = max(0, sockets - OWN - (MANAGEMENT if management else 0)) / (CLIENT_PART + SERVER_PART)
    base = min(float(sockets), left)
    clients, servers = (max(LEAST, int(part * base)) for part in (CLIENT_PART, SERVER_PART))
    if most_clients is not None:
        clients, servers = min(clients, most_clients), min(servers, most_clients)
    refused = max(1, int(REFUSED_PART * clients))
    resting = min(clients, max(LEAST, int(RESTING_PART * sockets)))
    return Descriptors(clients - refused, refused, resting, servers)
