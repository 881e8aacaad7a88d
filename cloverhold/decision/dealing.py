"""Which nodes keep to which server, dealt out by what all of them know: no word between nodes is needed."""

from __future__ import annotations

import math
from hashlib import blake2b


def rank(server: str, node: int, nodes: int) -> float:
    """A server's rank at a node, from 0 to 1: a node keeps to those of the lowest rank.

    Over all nodes a server's ranks lie evenly: each has another of as many steps, in an order of the server's own
    (n -> a * n + b modulo the nodes, a without a common factor). Ranks drawn by each node for itself left a server to
    12 nodes by chance where it is meant for 5, and another to none. As in deterministic subsetting (Site Reliability
    Engineering, 2016, chapter 20), but a server that comes or goes moves no other.
    """
    drawn = int.from_bytes(blake2b(server.encode(), digest_size=16).digest(), "big")
    drawn, part = divmod(drawn, 1 << 32)
    drawn, first = divmod(drawn, nodes)
    step = 1 + drawn % nodes
    while math.gcd(step, nodes) != 1:
        step += 1
    return ((step * node + first) % nodes + part / (1 << 32)) / nodes
