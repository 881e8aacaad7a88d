"""The clients' listening socket and the connections that came in by it: how many may be held, and which give way."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import time
from collections.abc import Callable
from itertools import islice

from cloverhold.bodies.budget import Budget
from cloverhold.lifecycle import Life
from cloverhold.limits import Descriptors
from cloverhold.net.exchange import Taker
from cloverhold.net.fronts.acceptor import Acceptor
from cloverhold.net.fronts.http1 import ClientConnection
from cloverhold.net.fronts.refusal import RefusedConnection
from cloverhold.net.fronts.waits import LOOK_S
from cloverhold.net.telemetry import Happening, Telemetry

log = logging.getLogger(__name__)

# Of a client, held by the kernel. With less, segments of 64 KB close its window while nearly nothing lies unread, and a
# client that is held up looks like one that stops (`receive_queue.has_room`). Any Linux grants this much.
RECEIVE_QUEUE_BYTES = 208 * 1024
NEW_SHARE = 0.25  # of all connections may have said nothing yet before they give way first
EXTRA_CONNECTIONS = 8  # so many more are taken where none can go at once
ARRIVING_SHARE = 0.6  # of all connections may have a request begun that still comes: three quarters of the servers' own
EVICTION_CANDIDATES = 8  # connections looked at for one that can go
# Places in a drain: multiples of the golden ratio lie evenly, however many they are.
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949


class Listener:
    """The listening socket and the connections that came in by it."""

    def __init__(self, taker: Taker, life: Life, budget: Budget, shares: Descriptors, telemetry: Telemetry) -> None:
        self.telemetry = telemetry
        self.taker, self.life, self.budget = taker, life, budget
        self.most, self.most_idle, self.most_refused = shares.clients, shares.resting, shares.refused
        self.refused: dict[RefusedConnection, None] = {}  # past that number, the oldest first
        self.connections: set[ClientConnection] = set()
        # Those that have said nothing, whose first request is half here, and that are between requests; the longest so
        # first.
        self.new: dict[ClientConnection, None] = {}
        self.partial: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.delivering: dict[ClientConnection, None] = {}  # idle, once their client has taken its answer
        self.lingering: dict[ClientConnection, None] = {}  # that close, once their client has taken its last answer
        self.arriving: set[ClientConnection] = set()  # whose request was begun and still comes
        self.came = 0
        self.receive_buffer = memoryview(bytearray(budget.allowance))
        self.successor: Callable[[], bool] = lambda: False  # whether another process of the node serves here
        self.announce = b""  # a line of every answer: that clients may come another way too (RFC 7838)
        self._acceptor: Acceptor | None = None
        self._shared = False  # whether other processes accept on the same socket
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: tuple[str, int], inherited: socket.socket | None = None) -> None:
        """Listen there, or on a socket that does already and that others may share: it is closed, never shut down."""
        loop = asyncio.get_running_loop()
        with inherited or socket.create_server(address, backlog=1024) as listening:
            with contextlib.suppress(OSError):
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_QUEUE_BYTES)
            listening.setblocking(False)  # also of each duplicate: they share that
            self._shared = inherited is not None
            self._acceptor = Acceptor(
                listening.dup(),
                self._protocol_of_next,
                self._descriptors_exhausted,
                self.telemetry,
                self._has_room,
            )
        self._acceptor.start()
        self._sweeper = loop.call_later(LOOK_S, self._sweep)

    def port(self) -> int:
        """Where it listens, also where any free port was asked for; 0 until it does."""
        return self._acceptor.port if self._acceptor is not None else 0

    def healthy(self) -> bool:
        """Whether clients may be sent to this address: to this process, or to the one that takes over from it."""
        if self.life.stopping():
            return not self.life.duck and self.successor()
        return self.taker.ready() and self.life.healthy()

    def held_connections(self) -> int:
        """Connections of clients, served or refused."""
        return len(self.connections) + len(self.refused)

    def _has_room(self, accepted: int) -> bool:
        """Whether one more connection can be held, if only to refuse it. accepted: on their way to be held."""
        held = self.held_connections() + accepted
        if held < self.most + EXTRA_CONNECTIONS + self.most_refused:
            return True
        oldest = next(iter(self.refused), None)
        return (oldest is not None and oldest.close_if_answered()) or self._evict_one()

    def _forget_refused(self, connection: RefusedConnection) -> None:
        self.refused.pop(connection, None)

    def _protocol_of_next(self) -> asyncio.BaseProtocol:
        """What serves the connection that has come; past the bound, what refuses it."""
        if len(self.connections) < self.most + EXTRA_CONNECTIONS or self._evict_one():
            return ClientConnection(self)
        self.telemetry.event(Happening.CONNECTION_REFUSED, "connections", held=len(self.connections))
        refused = RefusedConnection(self.receive_buffer, self.healthy, self.taker.come_back(), self._forget_refused)
        self.refused[refused] = None
        return refused

    def connection_made(self, connection: ClientConnection) -> None:
        """Keep connections to their number, so that descriptors never run out and accepting goes on."""
        self.connections.add(connection)
        self.came += 1
        connection.place = self.came * GOLDEN_RATIO_CONJUGATE % 1
        self.new[connection] = None
        if len(self.connections) > self.most:
            self._evict_one(spared=connection)

    def _evict_one(self, spared: ClientConnection | None = None) -> bool:
        """End one connection; whether one was ended. None on which a request lies unread, or may be on its way.

        First the oldest that has said nothing, or rests. Guards against hundreds that connect and say nothing: they go
        before any that has ever asked. As long as they are few, they are clients whose first request is about to come,
        and one that rests goes first. Then one that has had its last answer. A request that is half here is given up
        only where nobody else can go: some take seconds to write one.
        """
        now = time.monotonic()
        few = len(self.new) <= NEW_SHARE * self.most
        idle = (*islice(self.idle, EVICTION_CANDIDATES), *islice(self.delivering, EVICTION_CANDIDATES))
        new = tuple(islice(self.new, EVICTION_CANDIDATES))
        for connection in (*idle, *new) if few else (*new, *idle):
            if connection is not spared and connection.give_way(now):
                return True
        crowded = len(self.connections) >= self.most + EXTRA_CONNECTIONS
        lingering = tuple(islice(self.lingering, EVICTION_CANDIDATES))
        if crowded and any(connection.linger_no_more(now) for connection in lingering):
            return True
        arriving = (connection for connection in self.arriving if connection.is_stalled(now))
        candidates = (*islice(self.partial, EVICTION_CANDIDATES), *islice(arriving, 1))
        return any(connection.give_way(now) for connection in candidates)

    def _descriptors_exhausted(self) -> None:
        """Let one go that waits for nothing, so that the next can be accepted."""
        self._evict_one()

    def received_first_bytes(self, connection: ClientConnection) -> None:
        """The first bytes of its first request have come."""
        del self.new[connection]
        self.partial[connection] = None

    def begin_arriving(self, connection: ClientConnection) -> bool:
        """Take a place among the requests that are begun before they are whole; whether there is one. Each holds a
        connection to a server for as long as its client takes: the rest are for requests that are whole.
        """
        if len(self.arriving) >= ARRIVING_SHARE * self.most:
            return False
        self.arriving.add(connection)
        return True

    def left_waiting(self, connection: ClientConnection) -> None:
        self.new.pop(connection, None)
        self.partial.pop(connection, None)
        self.idle.pop(connection, None)
        self.delivering.pop(connection, None)

    def became_idle(self, connection: ClientConnection) -> None:
        """Its client has all answers, and nothing more is here of it.

        Guards against clients that ask once and keep their connection: clients as a whole may hold only so
        many, and were left with none for requests while this node stood idle.
        """
        self.delivering.pop(connection, None)
        self.idle[connection] = None
        if len(self.idle) > self.most_idle:
            next(iter(self.idle)).close_if_idle()

    def resize(self, shares: Descriptors) -> None:
        """Other bounds; the longest at rest go first where these are lower."""
        self.most, self.most_idle, self.most_refused = shares.clients, shares.resting, shares.refused
        over = max(len(self.idle) - self.most_idle, len(self.connections) - self.most)
        for connection in list(self.idle)[: max(0, over)]:
            connection.close_if_idle()

    def connection_lost(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.lingering.pop(connection, None)
        self.left_waiting(connection)

    def _sweep(self) -> None:
        """One look at all connections in a while, in place of a timer for each."""
        self._sweeper = asyncio.get_running_loop().call_later(LOOK_S, self._sweep)
        now = time.monotonic()
        for connection in list(self.connections):
            connection.sweep(now)
        for _ in range(len(self.connections) - self.most):
            if not self._evict_one():
                break

    def busy(self) -> bool:
        """Whether a client is owed anything."""
        now = time.monotonic()
        return bool(self.refused) or any(connection.has_pending_work(now) for connection in self.connections)

    async def stop_accepting(self) -> None:
        """No new connection. What the kernel has accepted already is taken first, unless another process takes it."""
        if self._acceptor is not None:
            await self._acceptor.stop(drain=not self._shared)

    def close_idle_connections(self) -> None:
        """Connections on which nothing is owed close, the others with their answer."""
        now = time.monotonic()
        for connection in list(self.connections):
            if not connection.has_pending_work(now):
                connection.close_if_idle()

    def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._acceptor is not None:
            self._acceptor.close()
        for connection in list(self.connections):
            connection.end_with_process()
        for refused in list(self.refused):
            refused.close()
