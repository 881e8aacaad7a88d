"""Connections to servers, and one exchange at a time on each.

Sockets are handled bare, since a transport hides whether the last byte of a request was written, and that
tells "never ran" from "may have run". Nothing is ever sent twice here.
"""

from __future__ import annotations

import asyncio
import errno
import socket

from cloverhold.bodies.budget import Budget, Holding
from cloverhold.decision.interface import Status
from cloverhold.net.delivery import QueueWatch
from cloverhold.net.http1 import BadMessage, ResponseParser
from cloverhold.net.messages import Response
from cloverhold.net.socket_watcher import SocketWatcher
from cloverhold.net.telemetry import Happening, ServerEnd, Telemetry
from cloverhold.net.upstreams.calls import Done, Outgoing, Receiver, Upstream, Wanted, always, status_of
from cloverhold.net.upstreams.http1_call import Call
from cloverhold.net.upstreams.idle_limit import IdleLimit

IDLE_PART = 0.8  # part of the servers' idle time after which a connection is no longer used
# An answer without a length is passed on so long after the first byte of its body: a short one is whole by then, and
# could be tried again until then.
BEGIN_S = 0.05
# After an answer a connection rests for so long: what still comes then belongs to nobody, and closes it. Servers may
# send a second answer some milliseconds late; on a connection in use again it would be taken for the next request's.
REST_S = 0.01
SILENT_S = 20.0  # a long answer of which nothing comes for this long is broken off
WRITING_BYTES = 1024  # of a body, or more than one part of it: its server is writing, and not stuck


class Connection:
    """One connection to one server."""

    def __init__(self, pool: Pool, upstream: Upstream, call: Call) -> None:
        self.pool, self.upstream = pool, upstream
        self.call: Call | None = call
        self.parser = ResponseParser(passes=call.receiver is not None)
        self.blocked = True  # whether what is to be written waits for the socket
        self.paused = False
        self.moved = 0.0  # when bytes last came, of an answer that is passed on
        self.parts = 0  # reads that brought some of an answer's body, while it is held
        self.begins: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self.received = 0  # bytes of the answer that comes
        self.found: float | None = None  # how long it was idle before this request; None once that has told
        self.closed = False
        self.holding = Holding(pool.budget)
        call.connection = self
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.taken_at = QueueWatch(self.socket).taken_at  # when its server was last seen to have taken bytes
        self.watcher = SocketWatcher(pool.loop, self.socket, self._readable)
        self.dial_timer: asyncio.TimerHandle | None = None
        self.rests: asyncio.TimerHandle | None = None  # until its next request may leave

    def dial(self, timeout_s: float) -> None:
        """Connect; the exchange fails as never begun if that takes too long."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self.socket.connect(self.upstream.address)
        except BlockingIOError:
            pass
        except OSError as error:
            self.pool.loop.call_soon(self.end, Status.CONNECT_FAILED, ServerEnd.REFUSED, error.errno)
            return
        self.dial_timer = self.pool.loop.call_later(timeout_s, self.end, Status.CONNECT_FAILED, ServerEnd.NOT_UP)
        self.watcher.call_when_writable(self._connected)

    def _connected(self) -> None:
        if self.dial_timer is not None:
            self.dial_timer.cancel()
            self.dial_timer = None
        if code := self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.end(Status.CONNECT_FAILED, ServerEnd.REFUSED, code)
            return
        if self.call is None or not self.call.wanted():
            return
        self.watcher.resume_reading()
        self._write()

    def unsent(self) -> bool:
        """Whether no byte of its request has left: it is not up yet, rests, or its socket has taken nothing so far."""
        return not self.closed and self.call is not None and not self.call.leaves

    def fresh(self) -> bool:
        """Whether an idle connection still stands: one whose end waits to be read would reset the request."""
        return not self.closed and not self.watcher.is_readable()

    def begin(self, call: Call, now: float) -> None:
        """Send a request on a connection that was idle, once it has rested."""
        self.call, call.connection = call, self
        self.parser = ResponseParser(passes=call.receiver is not None)
        self.received = 0
        self.found = now - self.idle_since
        if self.found < REST_S:
            self.blocked = True  # the parts of a body that come meanwhile stay behind its head
            self.rests = self.pool.loop.call_later(REST_S - self.found, self._rested)
        else:
            self._write()

    def _rested(self) -> None:
        """What came meanwhile belongs to nobody; else its request leaves, if it is still wanted."""
        self.rests = None
        if not self.fresh():
            self.end(Status.CONNECT_FAILED, ServerEnd.CLOSED)
        elif self.call is not None and self.call.wanted():
            self._write()

    def _write(self) -> None:
        call, self.blocked = self.call, False
        while call is not None:
            try:
                count = self.socket.send(call.unwritten())
            except BlockingIOError:
                count = 0
            except OSError as error:
                # Before the last byte was written, and a server begins a request only at its last byte. Told
                # later, not from within the caller's own step.
                self.blocked = True
                self.pool.loop.call_soon(self._broken, call, ServerEnd.FAILED, error.errno)
                return
            if not call.wrote(count):
                self.blocked = True
                self.watcher.call_when_writable(self._writable)
                return
            if not call.next_part():
                return

    def more(self) -> None:
        """The body of the request goes on."""
        call = self.call
        if call is not None and not self.blocked and call.wanted() and call.next_part():
            self._write()

    def _writable(self) -> None:
        if self.call is None or self.call.wanted():
            self._write()

    def _told(self, *, died: bool) -> None:
        if self.found is not None:
            self.pool.idle_limit.told(self.found, died=died)
            self.found = None

    def _broken(self, call: Call, why: ServerEnd, code: int | None = None) -> None:
        if self.call is call:
            self._told(died=True)
            self.end(Status.RESET if call.sent() else Status.CONNECT_FAILED, why, code)

    def _readable(self) -> None:
        failure: int | None = None
        try:
            data = self.socket.recv(self.pool.budget.allowance)
        except BlockingIOError:
            return
        except OSError as error:
            data, failure = b"", error.errno or errno.EIO
        call = self.call
        if call is None:
            self.close(ServerEnd.CLOSED)  # idle: the server closed it, or says what nobody asked for
            return
        if self.rests is not None:
            self.end(Status.CONNECT_FAILED, ServerEnd.CLOSED)  # the same, and its request has not left
            return
        if failure is not None:
            self._broken(call, ServerEnd.FAILED, failure)
            return
        if not data:
            response = self.parser.finish()
            if response is None:
                self._broken(call, ServerEnd.CLOSED)
            else:
                self._answered(call, response)
            return
        self._told(died=False)
        self.received += len(data)
        try:
            response = self.parser.feed(data)
        except BadMessage:
            self.end(Status.RESET, ServerEnd.BAD_ANSWER)
            return
        if response is not None:
            self._answered(call, response)
        elif call.begun:
            self._pass(call)
        else:
            self._hold(call)

    def _hold(self, call: Call) -> None:
        """An answer that is not whole is held, or passed on from here on: where it is long, comes slowly with its end
        unknown, or where there is no memory to hold it.
        """
        self.holding.set(self.parser.held_bytes())
        self.parts += self.parser.has_begun()
        if self.parser.long() or (self.parser.has_begun() and self.pool.budget.spent()):
            self._begin(call)
        elif self.begins is None and self.parser.unbounded():
            self.begins = self.pool.loop.call_later(BEGIN_S, self._begin, call)

    def answer_comes(self) -> bool:
        """Whether the server is writing an answer that may be passed on."""
        return self.parser.has_begun() and (self.parts > 1 or self.parser.body_bytes() >= WRITING_BYTES)

    def pass_on(self) -> None:
        """Hand on the answer that comes, though it is short: nobody can wait for its end."""
        if self.call is not None:
            self._begin(self.call)

    def _begin(self, call: Call) -> None:
        """Hand on what has come of a long answer, and from here on what comes."""
        if self.call is call and call.receiver is not None and not call.begun:
            call.begun = True
            call.receiver.begun(call, self.parser.pass_on())
            self.holding.set(0)
            self._pass(call)

    def _pass(self, call: Call) -> None:
        self.moved = self.pool.loop.time()
        piece = self.parser.take()
        if piece and call.receiver is not None:
            call.receiver.write_chunk(call, piece)

    def silent(self, now: float) -> bool:
        """Whether an answer that is passed on has stopped coming."""
        return self.call is not None and self.call.begun and not self.paused and now - self.moved > SILENT_S

    def pause(self) -> None:
        if not self.paused and not self.closed:
            self.paused = True
            self.watcher.pause_reading()

    def resume(self) -> None:
        if self.paused and not self.closed:
            self.paused, self.moved = False, self.pool.loop.time()
            self.watcher.resume_reading()

    def _answered(self, call: Call, response: Response) -> None:
        if call.begun:
            self._pass(call)
            if self.call is not call:
                return
        call.response = response
        if not response.keep_alive or not call.sent():
            status = status_of(response)
            # No server has begun a request before its last byte: this was made for another one. Which, nobody can say.
            self.end(Status.RESET if status is Status.OK and not call.sent() else status, ServerEnd.LAST_ANSWER)
            return
        self._begins_no_more()
        self.resume()
        self.parts = 0
        self.parser.release()
        self.holding.set(0)
        self.call = None
        call.over()
        self.pool.put_back(self)
        call.done(call, status_of(response))

    def end(self, status: Status, why: ServerEnd, code: int | None = None) -> None:
        """Close, and tell how the exchange ended. code: the error of the socket, where there was one."""
        call = self.call
        self.close(why, code)
        if call is not None:
            call.over()
            call.done(call, status)

    def give_up(self) -> None:
        """Close with no word to whoever asked: late bytes must reach nobody else."""
        self.close(ServerEnd.GIVEN_UP)

    def _begins_no_more(self) -> None:
        if self.begins is not None:
            self.begins.cancel()
            self.begins = None

    def close(self, why: ServerEnd = ServerEnd.IDLE, code: int | None = None) -> None:
        if self.closed:
            return
        self.closed = True
        self._note_end(why, code)
        self.call = None
        for timer in (self.dial_timer, self.rests):
            if timer is not None:
                timer.cancel()
        self._begins_no_more()
        self.watcher.close()
        self.socket.close()
        self.parser.release()
        self.holding.set(0)
        self.pool.forget(self)

    def _note_end(self, why: ServerEnd, code: int | None) -> None:
        """Count why the connection ends; a line where an answer was awaited on it and has not come."""
        telemetry, call = self.pool.telemetry, self.call
        if call is None or why is ServerEnd.LAST_ANSWER:
            telemetry.count(Happening.SERVER_CONNECTION_ENDED, why.value)
            return
        telemetry.event(
            Happening.SERVER_CONNECTION_ENDED,
            why.value,
            id=call.outgoing.call_id(),
            server=":".join(map(str, self.upstream.address)),
            error=errno.errorcode.get(code or 0, "none"),
            sent=call.sent(),
            answer_begun=call.begun,
            answer_bytes=self.received,
            paused=self.paused,
        )


class Pool:
    """All connections to servers: reused most recently used first, bounded in number and in idle time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, dial_timeout_s: float, idle_s: float, most: int, budget: Budget,
        telemetry: Telemetry | None = None,
    ) -> None:  # fmt: skip
        self.telemetry = telemetry if telemetry is not None else Telemetry()
        self.loop, self.dial_timeout_s, self.most, self.budget = loop, dial_timeout_s, most, budget
        self.idle_limit = IdleLimit(IDLE_PART * idle_s)
        self.all: set[Connection] = set()
        self.idle: dict[Connection, None] = {}  # the longest idle first
        self._sweeper = loop.call_later(self._sweep_every(), self._sweep)

    def retime(self, dial_timeout_s: float, idle_s: float) -> None:
        """Other times, from the next connection on; what is known of how long idle ones last holds below them."""
        self.dial_timeout_s = dial_timeout_s
        if self.idle_limit.most_s != IDLE_PART * idle_s:
            self.idle_limit.most_s = IDLE_PART * idle_s
            self.idle_limit.forget(0.0)

    def call(
        self, upstream: Upstream, outgoing: Outgoing, done: Done, receiver: Receiver | None = None,
        wanted: Wanted = always,
    ) -> Call:  # fmt: skip
        """Begin an exchange. `done` is never called before this returns. `wanted` is asked once more, when a connection
        that had to be dialled is up, or has rested.
        """
        call = Call(outgoing, done, receiver, wanted)
        now = self.loop.time()
        oldest = now - self.idle_limit.limit_s
        while upstream.idle:
            connection = upstream.rested(now - REST_S) or upstream.idle[0]  # that one has rested longest
            upstream.idle.remove(connection)
            del self.idle[connection]
            if connection.idle_since >= oldest and connection.fresh():
                connection.begin(call, now)
                return call
            connection.close()
        if len(self.all) >= self.most:
            self._evict()
        try:
            if len(self.all) >= self.most:
                raise OSError("too many connections to servers")
            connection = Connection(self, upstream, call)
        except OSError:  # none to be had, also where descriptors ran out: never sent
            call.over()
            self.loop.call_soon(done, call, Status.CONNECT_FAILED)
            return call
        self.all.add(connection)
        connection.dial(self.dial_timeout_s)
        return call

    def put_back(self, connection: Connection) -> None:
        if connection.upstream.retired:
            connection.close()
            return
        connection.idle_since = self.loop.time()
        connection.upstream.idle.append(connection)
        self.idle[connection] = None

    def forget(self, connection: Connection) -> None:
        self.all.discard(connection)
        if connection in self.idle:
            del self.idle[connection]
            connection.upstream.idle.remove(connection)

    def close_idle(self, upstream: Upstream) -> None:
        for connection in upstream.idle[:]:
            connection.close()

    def turn_back(self, upstream: Upstream) -> None:
        """It wants nothing new: idle connections close, and what is still dialled there, or rests, never begins."""
        self.close_idle(upstream)
        for connection in [c for c in self.all if c.upstream is upstream and c.unsent()]:
            connection.end(Status.CONNECT_FAILED, ServerEnd.GIVEN_UP)

    def retire(self, upstream: Upstream) -> None:
        """Its process has ended, or has moved: an answer that is still awaited is its connection's last."""
        upstream.retired = True
        self.turn_back(upstream)

    def resize(self, most: int) -> None:
        """Another bound on connections."""
        self.most = most
        while self.idle and len(self.all) > most:
            self._evict()

    def _evict(self) -> None:
        """Close the connection that has been idle longest."""
        if self.idle:
            next(iter(self.idle)).close()

    def _sweep_every(self) -> float:
        return min(1.0, self.idle_limit.most_s / 8)

    def _sweep(self) -> None:
        """Close what the server would soon close: a request crossing that close would end as a reset."""
        self.idle_limit.forget(self._sweep_every())
        limit = self.loop.time() - self.idle_limit.limit_s
        for connection in list(self.idle):
            if connection.idle_since < limit:
                connection.close()
        for connection in [c for c in self.all if c.silent(self.loop.time())]:
            connection.end(Status.RESET, ServerEnd.SILENT)
        self._sweeper = self.loop.call_later(self._sweep_every(), self._sweep)

    def close(self) -> None:
        self._sweeper.cancel()
        for connection in list(self.all):
            connection.call = None
            connection.close()
