"""Clients that speak HTTP/1.1: requests in, one final answer out for each, in order on each connection."""

from __future__ import annotations

import asyncio
import select
import socket
import time
from collections import deque
from collections.abc import Iterable
from http import HTTPStatus
from typing import cast

import httptools

from cloverhold.lifecycle import Life
from cloverhold.net.exchange import ONCE, BadRequest, Exchange, Incoming, Taker, read_request
from cloverhold.net.messages import ANSWER_LIMIT, BODY_LIMIT, HEAD_LIMIT, HOP_BY_HOP, Field

MOST_PIPELINED = 16
MOST_UNSENT = ANSWER_LIMIT + HEAD_LIMIT  # bytes of answers that a client may leave unread
MESSAGE_LIMIT = HEAD_LIMIT + 4 * BODY_LIMIT  # all of a request, with the framing of its chunks and trailers
# A request is whole this long after its first byte, the first one after the connection came: a client that
# says nothing, or never ends, holds a descriptor.
PATIENCE_S = 2.5
IDLE_S = 2.0  # a connection between requests is kept for this long
LINGER_S = 0.5  # an answer that its client does not read, on a connection that closes, is kept for this long
SWEEP_S = 0.2
# uvloop takes one connection a turn from each listening handle. In a surge with turns of some ms that is less
# than what comes: requests then lie unseen behind connections that are not accepted.
ACCEPTS = 8
SPREAD = 0.6180339887498949  # of places in a drain: multiples of the golden ratio lie evenly, however many they are
_LINES = {int(s): f"HTTP/1.1 {int(s)} {s.phrase}\r\nContent-Length: ".encode() for s in HTTPStatus}


class ClientConnection(asyncio.Protocol):
    """One connection from a client."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.queue: deque[Incoming] = deque()
        self.open: Exchange | None = None
        self.broken: BadRequest | None = None  # answered behind what came before it; then the end
        self.incoming = Incoming()
        self.body = bytearray()
        self.message_bytes = 0
        self.in_head = True
        # When the request that is awaited or half here began to be; None where the last one came whole.
        self.begun: float | None = time.monotonic()
        self.rested = 0.0  # when it last had nothing open
        self.closing: float | None = None
        self.place = 0.0  # among those that a drain ends, from 0 to 1

    # -------------------------------------------------------------- connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MOST_UNSENT)
        self.listener.made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.queue.clear()
        self.listener.lost(self)
        exchange, self.open = self.open, None
        if exchange is not None:
            self.listener.taker.client_gone(exchange)

    def pause_writing(self) -> None:
        """A client that sends and does not read must not fill the memory."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        if self.transport is not None and self.closing is None:
            self.closing = time.monotonic()
            self.transport.close()

    def idle(self) -> bool:
        return self.open is None and not self.queue

    def part(self) -> None:
        """Close while nothing is open, unless something lies unread: that is served first. Guards against requests
        that cross the end of their connection: closed over, they would be reset unread.
        """
        transport = self.transport
        if transport is None or self.closing is not None:
            return
        waits = select.poll()
        waits.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not waits.poll(0):
            self.close()

    def sweep(self, now: float) -> None:
        """End what a client has left unfinished for too long."""
        life = self.listener.life
        if self.closing is not None:
            if now - self.closing > LINGER_S and self.transport is not None:
                self.transport.abort()
        elif life.closing() and self.idle() and self.message_bytes == 0:
            if now > life.rests_until(self.rested or self.begun or now, self.place):
                self.part()
        elif self.begun is not None:
            if now - self.begun > PATIENCE_S:
                self._overdue()
        elif self.idle() and now - self.rested > IDLE_S:
            self.part()

    def _overdue(self) -> None:
        """End a connection whose request does not become whole, or can't be read, whatever is open before it:
        that one fails with it.
        """
        exchange, self.open = self.open, None
        if exchange is not None:
            self.listener.taker.client_gone(exchange)
        if exchange is None and self.message_bytes == 0:
            self.close()  # said nothing: a request that crosses this is sent once more
            return
        self._turn_away(self.broken or BadRequest(408, "not whole in time"), close=True)

    # ----------------------------------------------------------------- requests

    def data_received(self, data: bytes) -> None:
        if self.broken is not None or self.closing is not None:
            return
        self.message_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            if self.queue:  # answered in plain HTTP; what follows it could be in any other protocol
                self.queue[-1].keep_alive = False
        except httptools.HttpParserError as error:
            self.broken = self.broken or BadRequest(400, str(error))
        if self.broken is None and self.message_bytes > (HEAD_LIMIT if self.in_head else MESSAGE_LIMIT):
            self.broken = BadRequest(431 if self.in_head else 413, "request too large")
        if self.broken is not None and self.begun is None:
            self.begun = time.monotonic()
        self._next()

    def on_message_begin(self) -> None:
        self.incoming, self.body, self.in_head = Incoming(), bytearray(), True
        if self.begun is None:
            self.begun = time.monotonic()

    def on_url(self, url: bytes) -> None:
        self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # a trailer: what the head did not say must not come in behind the body
        lower = name.lower()
        if lower in ONCE and lower in self.incoming.fields:
            self._fail(400, f"{lower.decode('latin-1')} is given twice")
        self.incoming.fields[lower] = value
        self.incoming.head_bytes += len(name) + len(value)
        if lower not in HOP_BY_HOP and lower != b"x-budget":  # that one is told anew
            self.incoming.passed.append((name, value))

    def on_headers_complete(self) -> None:
        self.in_head = False
        self.incoming.method = self.parser.get_method()
        if self.incoming.head_bytes > HEAD_LIMIT:
            self._fail(431, "head too large")
        length = self.incoming.fields.get(b"content-length", b"")
        if length.isdigit() and int(length) > BODY_LIMIT:
            self._fail(413, "body too large")

    def on_body(self, data: bytes) -> None:
        self.body += data
        if len(self.body) > BODY_LIMIT:
            self._fail(413, "body too large")

    def on_message_complete(self) -> None:
        self.incoming.body = bytes(self.body)
        self.incoming.keep_alive = self.parser.should_keep_alive()
        self.incoming.came_at = time.monotonic()
        self.in_head, self.message_bytes = True, 0
        if len(self.queue) >= MOST_PIPELINED:
            self._fail(400, "too many requests at once")
        self.begun = None
        self.listener.asked(self)
        self.queue.append(self.incoming)

    def _fail(self, status: int, why: str) -> None:
        """Break off from inside a callback; the parser wraps what is raised in an error of its own."""
        self.broken = BadRequest(status, why)
        raise self.broken

    def _next(self) -> None:
        """Begin the next request, or end a connection that is no longer understood."""
        while self.open is None and self.queue and self.transport is not None:
            self._begin(self.queue.popleft())
        if self.open is None and self.broken is not None:
            self._turn_away(self.broken, close=True)

    def _begin(self, request: Incoming) -> None:
        if request.target.partition(b"?")[0] == b"/_health":
            status = 200 if self.listener.taker.ready() and self.listener.life.healthy() else 503
            self._write(status, b"", (), close=not request.keep_alive)
            return
        try:
            asked = read_request(request, self.listener.taker.classes)
        except BadRequest as error:
            self._turn_away(error, close=not request.keep_alive)
            return
        self.open = Exchange(self, request, asked)
        self.listener.taker.take(self.open)

    def answer(self, exchange: Exchange, status: int, body: bytes, headers: Iterable[Field]) -> None:
        if self.open is not exchange:
            return
        self.open = None
        self._write(status, body, headers, close=not exchange.request.keep_alive)
        if self.queue or self.broken is not None:
            asyncio.get_running_loop().call_soon(self._next)

    def _turn_away(self, error: BadRequest, *, close: bool) -> None:
        self._write(error.status, str(error).encode("latin-1", "replace"), (), close=close)

    def _write(self, status: int, body: bytes, headers: Iterable[Field], *, close: bool) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        close = close or (self.listener.life.closing() and not self.queue)
        head = [b"%s%d\r\n" % (_LINES[status], len(body))]
        head.extend([b"%s: %s\r\n" % pair for pair in headers])
        head.append(self.listener.announce)
        head.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
        if len(body) <= BODY_LIMIT:
            head.append(body)
        transport.write(b"".join(head))
        if len(body) > BODY_LIMIT:  # a copy of a large one costs more than a second write
            transport.write(body)
        if close:
            self.queue.clear()
            self.close()
        elif self.idle():
            self.rested = time.monotonic()
            self.listener.rests(self)


class Listener:
    """The listening socket and the connections that came in by it."""

    def __init__(self, taker: Taker, life: Life, most: int, most_resting: int) -> None:
        self.taker, self.life, self.most, self.most_resting = taker, life, most, most_resting
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
