"""The clients' listening socket and the connections that came in by it: how many may be held, and which give way."""

from __future__ import annotations

import asyncio
import socket
import time

from cloverhold.bodies.budget import Budget
from cloverhold.lifecycle import Life
from cloverhold.net.exchange import Taker
from cloverhold.net.fronts.http1 import ClientConnection

SWEEP_S = 0.2
# uvloop takes one connection a turn from each listening handle. In a surge with turns of some ms that is less
# than what comes: requests then lie unseen behind connections that are not accepted.
ACCEPTS = 8
SPREAD = 0.6180339887498949  # of places in a drain: multiples of the golden ratio lie evenly, however many they are


class Listener:
    """The listening socket and the connections that came in by it."""

    def __init__(self, taker: Taker, life: Life, budget: Budget, most: int, most_resting: int) -> None:
        self.taker, self.life, self.budget, self.most, self.most_resting = taker, life, budget, most, most_resting
        self.connections: set[ClientConnection] = set()
        # Those that have not asked yet, and those between requests; the longest so first.
        self.silent: dict[ClientConnection, None] = {}
        self.resting: dict[ClientConnection, None] = {}
        self.came = 0
        self.announce = b""  # a line of every answer: that clients may come another way too (RFC 7838)
        self._servers: list[asyncio.Server] = []
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: tuple[str, int], inherited: socket.socket | None = None) -> None:
        """Listen there, or on a socket that does already and that others may share: it is closed, never shut down."""
        loop = asyncio.get_running_loop()
        with inherited or socket.create_server(address, backlog=1024) as listening:
            for _ in range(ACCEPTS):
                server = await loop.create_server(lambda: ClientConnection(self), sock=listening.dup())
                self._servers.append(server)
        self._sweeper = loop.call_later(SWEEP_S, self._sweep)

    def port(self) -> int:
        """Where it listens, also where any free port was asked for; 0 until it does."""
        return int(self._servers[0].sockets[0].getsockname()[1]) if self._servers else 0

    def made(self, connection: ClientConnection) -> None:
        """Keep connections to their number, so that descriptors never run out and accepting goes on.

        Guards against hundreds that connect and say nothing: they go before any that has ever asked.
        """
        self.connections.add(connection)
        self.came += 1
        connection.place = self.came * SPREAD % 1
        self.silent[connection] = None
        if len(self.connections) > self.most:
            spare = self.silent if len(self.silent) > 1 or not self.resting else self.resting
            next(iter(spare)).close()

    def asked(self, connection: ClientConnection) -> None:
        self.silent.pop(connection, None)
        self.resting.pop(connection, None)

    def rests(self, connection: ClientConnection) -> None:
        """Guards against clients that ask once and keep their connection: clients as a whole may hold only so
        many, and were left with none for requests while this node stood idle.
        """
        self.resting[connection] = None
        if len(self.resting) > self.most_resting:
            next(iter(self.resting)).part()

    def lost(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.asked(connection)

    def _sweep(self) -> None:
        """One look at all connections in a while, in place of a timer for each."""
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)
        now = time.monotonic()
        for connection in list(self.connections):
            connection.sweep(now)

    def busy(self) -> bool:
        return any(not c.idle() for c in self.connections)

    def stop_accepting(self) -> None:
        """No new connection."""
        for server in self._servers:
            server.close()

    def part_all(self) -> None:
        """Connections between requests close, the others with their answer."""
        for connection in list(self.connections):
            if connection.idle():
                connection.part()

    def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.close()
