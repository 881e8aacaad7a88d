"""One connection from a node to a stand-in server: requests in, answers out, spoilt where the script says so."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import httptools

from cloverhold.rehearsal.ledger import Arrival, Dial
from cloverhold.rehearsal.machine import Job
from cloverhold.rehearsal.sockets import unread_s
from cloverhold.rehearsal.spoil import spoilt
from cloverhold.rehearsal.wire import budget_s, Known, answer, digest

if TYPE_CHECKING:
    from cloverhold.rehearsal.servers import Server

MOST_SPOILT = 8 * 1024 * 1024  # bytes of an answer that does not end
DRIP_S = 0.02


@dataclass(slots=True)
class Request:
    """One request, as its bytes come in."""

    arrival: Arrival
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    method: str = ""
    listed: bool = False  # its arrival stands in the ledger


class Peer(asyncio.Protocol):
    """A node's connection. One request at a time; what comes in between waits."""

    _numbers = 0

    def __init__(self, server: Server, node: int, accepted: socket.socket) -> None:
        self.server, self.node, self.world, self.accepted = server, node, server.world, accepted
        Peer._numbers += 1
        self.number = Peer._numbers
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.incoming: Request | None = None
        self.queue: deque[Request] = deque()
        self.open: Request | None = None
        self.job: Job | None = None
        self.served = 0
        self.useless = self.lost = False
        self._idle: asyncio.TimerHandle | None = None
        self._drip: asyncio.TimerHandle | None = None
        self.dial = Dial(server.plan.uid, node, self.world.now())
        self.world.ledger.rows.append(self.dial)
        server.peers.add(self)
        self.over = server.crowded()  # more connections than the server takes
        # Kept, so that the task is not collected; it only wraps the socket.
        self._up = self.world.loop.create_task(self._come_up(accepted))

    async def _come_up(self, accepted: socket.socket) -> None:
        if self.lost:
            accepted.close()
            return
        await self.world.loop.connect_accepted_socket(lambda: self, accepted)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        self.transport = cast(asyncio.Transport, transport)
        if self.lost:
            self.transport.abort()
            return
        self._rest()

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended, by either side."""
        self._over()
        self.transport = None

    def _over(self) -> None:
        if self.lost:
            return
        self.lost, now = True, self.world.now()
        for timer in (self._idle, self._drip):
            if timer is not None:
                timer.cancel()
        self.dial.closed_s = now
        self.server.peers.discard(self)
        if self.incoming is not None and self.incoming.listed:
            self.incoming.arrival.closed_s = now
        for request in (self.open, *self.queue):
            if request is None:
                continue
            request.arrival.closed_s = now
            if request.arrival.outcome == "held":
                request.arrival.outcome = "cancelled"
        self._drop_job()

    def _drop_job(self) -> None:
        job, self.job = self.job, None
        if job is not None:
            self.server.drop(job)
            if self.open is not None:
                self.open.arrival.done_ms = job.done_ms

    def reset(self, outcome: str) -> None:
        """The server's side ends it, with whatever waits on it."""
        if self.lost:
            return
        now = self.world.now()
        for request in (self.open, *self.queue):
            if request is not None and request.arrival.outcome in ("held", "silent"):
                request.arrival.outcome, request.arrival.ended_s = outcome, now
        self._over()
        if self.transport is not None:
            self.transport.abort()

    # ------------------------------------------------------------------------------------------- bytes in

    def data_received(self, data: bytes) -> None:
        """Bytes from the node."""
        if self.useless or self.lost:
            return
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._put(answer("400 Bad Request", b""))
            self.reset("reset")
            return
        self._next()

    def on_message_begin(self) -> None:
        """The first byte of a request has come."""
        server, since_s = self.server, unread_s(self.accepted)  # asked first: what comes between makes it later
        arrival = Arrival(
            server.plan.uid,
            server.life,
            server.plan.cell,
            self.node,
            self.number,
            "",
            "",
            None,
            self.world.now() - since_s,
        )
        self.incoming = Request(arrival)

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        if self.incoming is not None:
            self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header."""
        if self.incoming is not None:
            self.incoming.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """The head is whole: the request has a name."""
        request = self.incoming
        if request is None:
            return
        request.method = self.parser.get_method().decode()
        if request.target in (b"/_load", b"/ping"):
            return
        arrival, said = request.arrival, request.headers
        arrival.id = said.get(b"x-call-id", b"").decode("latin-1")
        arrival.class_name = said.get(b"x-call-class", b"").decode("latin-1")
        key = said.get(b"idempotency-key")
        arrival.key = key.decode("latin-1") if key is not None else None
        arrival.told_s = budget_s(said.get(b"x-budget", b""))
        request.listed = True
        self.world.seen.add(arrival.id)
        self.world.ledger.rows.append(arrival)

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self.incoming is not None:
            self.incoming.body += data

    def on_message_complete(self) -> None:
        """The last byte has come: the server may begin."""
        request, self.incoming = self.incoming, None
        if request is not None:
            request.arrival.last_byte_s = self.world.now()
            if request.listed:
                request.arrival.outcome = "silent" if self.server.silent else "held"
            self.queue.append(request)

    # ------------------------------------------------------------------------------------------ requests

    def _next(self) -> None:
        while self.open is None and self.queue and not self.useless and not self.lost:
            self.open = self.queue.popleft()
            if self.server.silent:
                return
            if self.open.listed:
                self._begin(self.open)
            else:
                self._probed(self.open)

    def _probed(self, request: Request) -> None:
        if not self.world.scenario.nodes.probes:
            self._end(answer("404 Not Found", b""))
            return
        self.server.probe(self.node)
        if self.server.hangs():
            return
        if request.target == b"/ping":
            self._end(answer("200 OK", b""))
        elif self.server.leaving:
            self._end(answer("503 Service Unavailable", b""))
        else:
            self._end(answer("200 OK", b"" if self.world.scenario.fleet.reports == "none" else self.server.report()))

    def _begin(self, request: Request) -> None:
        server, arrival = self.server, request.arrival
        known = server.recognise(
            arrival.id, request.method, request.target.decode("latin-1"), arrival.key, bytes(request.body)
        )
        if known is None:
            arrival.outcome = "unknown"
            self._end(answer("400 Bad Request", b"") if arrival.id else answer("404 Not Found", b""))
            return
        arrival.work_ms = server.work_of(known)
        if self.over or server.leaving:
            self._reject(request)
            return
        wrong = server.fault_for(known)
        if wrong is not None:
            self._fail(request, wrong)
            return
        if arrival.key is not None and (body := server.group.recall(self.world.now(), arrival.key)) is not None:
            arrival.outcome, arrival.digest = "repeat", digest(body)
            self._end(answer("200 OK", body))
            return
        self._work(request, known)
        if known.harm is not None:
            server.harmed(known.harm, lambda: self._fail(request, "error"))

    def _work(self, request: Request, known: Known) -> None:
        server, arrival = self.server, request.arrival
        handshake = self.world.scenario.fleet.connection_work_ms if not self.served else 0.0
        self.served += 1
        arrival.handshake_ms = handshake
        self.job = server.offer(arrival, handshake, lambda: self._done(request, known))
        if self.job is None:
            if not self.lost:
                self._reject(request)
            return
        arrival.executed = True
        if arrival.key is not None:
            kind = self.world.scenario.class_of(known.class_name)
            server.group.remember(self.world.now(), arrival.key, kind.key_ttl_ms / 1000, server.run(arrival, known))

    def _reject(self, request: Request) -> None:
        request.arrival.outcome = "rejected"
        self._end(answer("503 Service Unavailable", b"", "X-Rejected: 1"))

    def _fail(self, request: Request, how: str) -> None:
        if how == "silence":
            request.arrival.outcome = "silent"
        elif how == "reset":
            self.reset("reset")
        else:
            request.arrival.outcome = "error"
            self._end(answer("500 Internal Server Error", b"no"))

    def _done(self, request: Request, known: Known) -> None:
        """Its work is done."""
        if self.open is not request:
            return
        server, arrival, job = self.server, request.arrival, self.job
        arrival.done_ms = job.done_ms if job is not None else 0.0
        self.job = None
        if server.errs():
            arrival.outcome = "error"
            self._end(answer("500 Internal Server Error", b"no"))
            return
        remembered = server.group.recall(self.world.now(), arrival.key) if arrival.key is not None else None
        body = remembered if remembered is not None else server.run(arrival, known)
        arrival.digest = digest(body)
        how = server.spoils()
        if how is None:
            arrival.outcome = "served"
            told = self.world.scenario.fleet.reports == "answers"
            extra = (f"X-Load-Report: {server.report().decode()}",) if told else ()
            self._end(answer("200 OK", body, *extra))
        else:
            self._spoil(request, body, how)

    def _end(self, data: bytes) -> None:
        """Answer what is open."""
        request, self.open = self.open, None
        self._put(data)
        if request is not None:
            request.arrival.ended_s = self.world.now()
        if self.over and self.transport is not None:
            self.transport.close()
            return
        if not self.queue:
            self._rest()
        elif not self.useless:
            self.world.loop.call_soon(self._next)

    def _put(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _rest(self) -> None:
        self._idle = self.world.loop.call_later(self.server.idle_limit_s(), self._rested)

    def _rested(self) -> None:
        if self.open is None and self.incoming is None and not self.server.silent and self.transport is not None:
            self.transport.close()

    # ------------------------------------------------------------------------------------- spoilt answers

    def _spoil(self, request: Request, body: bytes, how: str) -> None:
        """The request has run; what comes back is not its answer, or more than that."""
        said, arrival = spoilt(how, body), request.arrival
        if said.good:
            arrival.outcome = "served"
            self._end(said.first)
            return
        arrival.outcome, self.useless = "spoilt", True
        self._put(said.first)
        if said.ends:
            arrival.ended_s = self.world.now()
            if self.transport is not None:
                self.transport.close()
        elif said.more:
            self._drip_on(said.more, MOST_SPOILT)

    def _drip_on(self, more: bytes, left: int) -> None:
        if self.transport is None or self.transport.is_closing() or left <= 0:
            return
        self._put(more)
        self._drip = self.world.loop.call_later(DRIP_S, self._drip_on, more, left - len(more))
