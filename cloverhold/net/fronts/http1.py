"""Clients that speak HTTP/1.1: requests in, one final answer out for each, in order on each connection."""

from __future__ import annotations

import asyncio
import select
import time
from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING, cast

from cloverhold.bodies.budget import Holding
from cloverhold.net.delivery import Delivery
from cloverhold.net.exchange import BadRequest, Exchange, Incoming, read_request
from cloverhold.net.fronts.answer_head import NO_BODY, answer_head
from cloverhold.net.fronts.answer_writer import AnswerWriter
from cloverhold.net.fronts.client_waits import waits_of
from cloverhold.net.fronts.close_report import count_close, note_undelivered
from cloverhold.net.fronts.read_flow import ReadFlow
from cloverhold.net.fronts.receive_queue import is_readable
from cloverhold.net.fronts.request_reader import RequestReader
from cloverhold.net.fronts.waits import Wait
from cloverhold.net.messages import NO_HOST, Field, origin_form
from cloverhold.net.telemetry import Happening
from cloverhold.permission import Denial, may_close

if TYPE_CHECKING:
    from cloverhold.net.fronts.listener import Listener

MOST_PIPELINED = 16
MOST_UNSENT = 64 * 1024  # bytes that a client leaves unread: past that it is sent no more until it reads
UNSENT_PART = 0.25  # of the budget, of all clients together
HOLD = 128 * 1024  # a body is sent on before it is whole once it is larger
ERRORS = {
    Wait.BUFFER: BadRequest(503, "no room for a request"),
    Wait.SERVER_READ: BadRequest(504, "no server takes the body"),
    Wait.UPLOAD_LATE: BadRequest(504, "no server takes the body in time"),
}
FIRST_REQUEST_TIMEOUT_S = 0.5  # a new connection that says nothing for longer is closed without a word
NO_ROOM = BadRequest(503, "no room for a request that does not come")
LEAST_LINGER_S = 0.002  # what is written leaves with the turn of the loop
STALL_S = 1.0  # past that a request that does not come on may give way to others
GIVES_WAY = "gives_way"
FIRST_REQUEST_S = 0.1  # a new connection's request is on its way for so long


class ClientConnection(asyncio.BufferedProtocol):
    """One connection from a client."""

    def __init__(self, listener: Listener) -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(listener.budget, self._room, self._completed, self._may_hold)
        self.queue: deque[Incoming] = deque()
        self.open: Exchange | None = None
        self.holding = Holding(listener.budget)
        self.reading = ReadFlow(self.reader, self.holding, listener.telemetry, self._room)
        self.stuffed = False  # whether it is sent no more until it reads
        self.delivery = Delivery()
        self.writer = AnswerWriter(self.delivery)
        self.closing: float | None = None  # since when nothing more is answered on it
        self.lingers = False  # whether a request still came then: its client has a moment to read of the end
        self.place = 0.0  # among those that a drain ends, from 0 to 1
        self.end = select.poll()  # shows the client's end before it is read

    # -------------------------------------------------------------- connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = self.reading.transport = cast(asyncio.Transport, transport)
        self.delivery.attach(self.transport)
        share = int(UNSENT_PART * self.listener.budget.total / self.listener.most)
        self.transport.set_write_buffer_limits(high=min(MOST_UNSENT, max(self.listener.budget.allowance, share)))
        self.end.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        self.listener.connection_made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.delivery.release()
        self._drop_queue()
        self.reader.incoming.drop()
        self.reading.release()
        self.reader.release()
        self.listener.connection_lost(self)
        exchange = self._let_go()
        if exchange is not None:
            self.listener.taker.client_gone(exchange)

    def _let_go(self) -> Exchange | None:
        """Nothing is open from here on; what was."""
        exchange, self.open = self.open, None
        self.listener.arriving.discard(self)
        return exchange

    def _drop_queue(self) -> None:
        """Requests that wait will have no answer."""
        for request in self.queue:
            request.drop()
        self.queue.clear()

    def _state_holding(self) -> None:
        """Count what is held for this client: requests that come, wait and are open, and what it leaves unread."""
        held = self.reader.held_bytes() + sum(request.held_bytes() for request in self.queue)
        if self.open is not None and self.open.request is not self.reader.incoming:
            held += self.open.request.held_bytes()
        if self.transport is not None:
            held += self.transport.get_write_buffer_size()
        self.holding.set(held)

    def _may_hold(self, count: int) -> bool:
        """Whether so much may be held of the request that comes, beside those that wait before it."""
        if not self.listener.budget.spent():
            return True
        return count + sum(request.held_bytes() for request in self.queue) <= self.listener.budget.allowance

    def pause_writing(self) -> None:
        """A client that sends and does not read must not fill the memory: it is served no further meanwhile."""
        self.stuffed = True
        self._state_holding()

    def resume_writing(self) -> None:
        self.stuffed = False
        self._state_holding()
        if self.open is not None:
            self.open.resume()
        else:
            self._next()

    def close(self) -> None:
        """Answer nothing more, and close once the client has what is written. No answer may be owed any more.

        What still comes is read and dropped until then: a close over unread bytes resets the connection, and what the
        client has not taken goes with it (RFC 9112, section 9.6).
        """
        if self.transport is None or self.closing is not None:
            return
        if self.open is not None:
            self.listener.telemetry.event(Happening.RULE_VIOLATED, Denial.ANSWER_DROPPED.value)
        self.closing = time.monotonic()
        self.lingers = self._still_comes()
        self.listener.left_waiting(self)  # it is no longer one of those that may give way: another is the next
        if self.transport.is_closing() or (not self.lingers and not self.delivery.look(self.closing)):
            self.transport.close()
            return
        self.listener.lingering[self] = None
        self.reading.resume()
        self.delivery.write_eof()

    def close_at_once(self) -> None:
        """Close behind what is written, whether or not the client takes it."""
        if self.transport is not None and self.closing is None:
            self.closing = time.monotonic()
            self.listener.left_waiting(self)
            self.transport.close()

    def end_with_process(self) -> None:
        """The process ends: what the kernel holds is still sent, what this process holds is lost."""
        note_undelivered(self, "process_ended")
        if self.open is not None:
            self.listener.telemetry.event(Happening.RULE_VIOLATED, Denial.ANSWER_DROPPED.value)
        if self.transport is not None:
            self.transport.close()

    def linger_no_more(self, now: float) -> bool:
        """Close at once, though its client still sends, once its last answer is sent; whether it closes."""
        if self.transport is None or self.closing is None or now - self.closing < LEAST_LINGER_S:
            return False
        if not self.delivery.is_sent():
            return False
        self.transport.abort()
        return True

    def is_client_connected(self, exchange: Exchange) -> bool:
        """Whether the client still waits. Its end lies unread behind what it sent in the same burst, while nothing is
        read, and where the loop was late; it is asked for, since a request is sent on only while it is wanted.
        """
        transport = self.transport
        if self.open is not exchange or transport is None or transport.is_closing():
            return False
        if self.end.poll(0):
            transport.abort()  # `connection_lost` follows
            return False
        return True

    def idle(self) -> bool:
        return self.open is None and not self.queue

    def unfinished(self) -> bool:
        """Whether a request is half here."""
        return self.reader.unfinished()

    def has_pending_work(self, now: float) -> bool:
        """Whether its client is owed anything: an answer, the rest of one that it has not taken, that a request that is
        half here is read, or that the first one is waited for a moment.
        """
        if self.closing is not None or not self.idle() or self.unfinished() or self.delivery.look(now):
            return True
        return self in self.listener.new and self.reader.begun is not None and now - self.reader.begun < FIRST_REQUEST_S

    def close_if_idle(self, *, gives_way: bool = False) -> bool:
        """Close while nothing is owed, unless something lies unread: that is served first; whether it closed. Guards
        against requests that cross the end of their connection: closed over, they would be reset unread.

        gives_way: another needs its place now, so it is enough that its last answer is sent.
        """
        transport = self.transport
        if transport is None or self.closing is not None:
            return False
        delivered = self.delivery.is_sent() if gives_way else not self.delivery.look(time.monotonic())
        denial = may_close(
            answer_owed=not self.idle(),
            answer_undelivered=not delivered,
            request_incomplete=self.unfinished(),
            bytes_unread=is_readable(transport.get_extra_info("socket")),
        )
        if denial is not None:
            self.listener.telemetry.count(Happening.ACT_DENIED, denial.value)
            return False
        self.close_at_once()
        return True

    def sweep(self, now: float) -> None:
        """End what has been waited for too long."""
        if self.transport is None:
            return
        if self.reading.paused_since is not None and self.open is not None and not self.is_client_connected(self.open):
            return  # while nothing is read its end would stay unseen
        self._look(now)
        if self.reading.lacks_place:
            self._next()
        wait = waits_of(self, now).overdue(now)
        if wait is not None:
            self._end(wait)

    def _look(self, now: float) -> None:
        """What the client has done while nothing of it was read: it took bytes, sent some, or could not send."""
        if not self.delivery.look(now):
            self._delivered()
        self._state_holding()
        self.reading.look(now)
        arriving = self.open is not None and self.open.request is self.reader.incoming
        if self.open is not None and arriving and self.reading.paused_since is not None and self.reading.rest_is_here:
            self.listener.taker.whole(self.open, self._written_since(now))

    def _delivered(self) -> None:
        """The client has all that was written: the connection rests from now on, or may close."""
        if self in self.listener.delivering:
            self.listener.became_idle(self)
        if self.closing is not None and not self.lingers and self.transport is not None:
            self.transport.close()

    def _written_since(self, now: float) -> float:
        """When the client may have written the last byte of the request that comes."""
        earliest = self.reading.earliest_end(now)
        return now if earliest is None else earliest

    def _end(self, wait: Wait) -> None:
        """End what has lasted too long."""
        transport = self.transport
        assert transport is not None
        if wait in (Wait.DRAIN, Wait.IDLE):
            self.close_if_idle()
            return
        if wait is not Wait.LINGER:
            count_close(self, wait.value)
        if wait in (Wait.LAST_READ, Wait.LINGER, Wait.ANSWER_READ):
            note_undelivered(self, wait.value)
            transport.abort()
        elif wait is Wait.FIRST_BYTE:
            self.close_if_idle()
        else:
            # What is open may have run: no refusal.
            lacked_room = self.open is None and (self.reading.starved_since is not None or wait is Wait.UPLOAD_LATE)
            self._end_request(ERRORS.get(Wait.BUFFER if lacked_room else wait))

    def is_stalled(self, now: float) -> bool:
        """Whether its request stopped coming some time ago, though it is read on."""
        return self.reading.paused_since is None and now - self.reading.progress_at > STALL_S

    def give_way(self, now: float) -> bool:
        """Close for the sake of another, where no whole request can be here; whether it closes. What is half here, or
        may be on its way, is refused: it has not run.
        """
        transport = self.transport
        if transport is None or self.closing is not None or self.reader.begun is None:
            return self.close_if_idle(gives_way=True)
        if is_readable(transport.get_extra_info("socket")):
            self.listener.telemetry.count(Happening.ACT_DENIED, Denial.BYTES_UNREAD.value)
            return False
        count_close(self, GIVES_WAY)
        if self.open is not None:
            self._end_request(NO_ROOM)
        elif self.unfinished() or now - self.reader.begun < FIRST_REQUEST_TIMEOUT_S:
            self._drop_queue()
            self.delivery.write(answer_head(503, self.listener.taker.come_back(), NO_BODY, b"", close=True))
            self.close_at_once()
        else:
            self.close_at_once()
        return True

    def _end_request(self, error: BadRequest | None) -> None:
        """End a connection whose request does not become whole, or can't be read, whatever is open before it: that one
        fails with it.
        """
        exchange = self._let_go()
        if exchange is not None:
            self.listener.taker.client_gone(exchange)
        if self.writer.streaming and self.transport is not None:
            self.transport.abort()  # an error would be taken for a part of the answer
            return
        self._turn_away(error or self.reader.broken or BadRequest(408, "not whole in time"), close=True)

    # ----------------------------------------------------------------- requests

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop puts what it reads next: one buffer for all, as each read is parsed at once."""
        return self.listener.receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """So many bytes were read."""
        if self.reader.broken is not None or self.closing is not None:
            return
        more_lies_there = nbytes == len(self.listener.receive_buffer)
        self.reading.received(time.monotonic(), all_of_it=not more_lies_there)
        self._received(self.listener.receive_buffer[:nbytes])
        if more_lies_there:
            self.reading.yield_turn()

    def _received(self, data: memoryview) -> None:
        if self in self.listener.new:
            self.listener.received_first_bytes(self)
        if not self.reader.unfinished():
            self.reading.clock.begin(time.monotonic())
        self.reader.feed(data)
        self._next()

    def _completed(self, incoming: Incoming) -> None:
        """A request is whole: the one that is open already, or one that waits its turn."""
        upload = incoming.upload
        if self.open is not None and self.open.request is incoming:
            self.listener.arriving.discard(self)
            now = time.monotonic()
            self.listener.taker.whole(self.open, self._written_since(now))
            self.reading.clock.begin(now)
            if upload is not None:
                upload.end()
            return
        if upload is not None:
            upload.end()
            if upload.size <= HOLD:
                incoming.body, incoming.upload = upload.whole(), None
        if len(self.queue) >= MOST_PIPELINED:
            self.reader.fail(400, "too many requests at once")
        self.listener.left_waiting(self)
        self.queue.append(incoming)

    def _next(self) -> None:
        """Begin the next request, or end a connection that is no longer understood. Nothing once its last answer is
        written: what is still half here then has had its answer, and would be begun a second time.
        """
        if self.closing is not None:
            return
        while self.open is None and self.queue and self.transport is not None and not self.stuffed:
            self._begin(self.queue.popleft())
        if self.idle():
            if self.reader.broken is not None:
                self._turn_away(self.reader.broken, close=True)
            elif not self.reader.in_head and self.reader.begun is not None:
                self._comes()
        self._hold()

    def _comes(self) -> None:
        """The next request is half here, and nothing is before it."""
        if self.reader.expects and self.transport is not None:
            self.reader.expects = False
            self.reading.progress_at = time.monotonic()
            self.delivery.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        lacks_memory = self.listener.budget.spent() and self.reader.body_bytes() >= self.listener.budget.allowance // 2
        if self.reader.incoming.upload is None and lacks_memory:
            self.reader.stream_body()
        upload = self.reader.incoming.upload
        if upload is not None and not upload.wants():
            if not self.listener.begin_arriving(self):
                return
            self.listener.left_waiting(self)
            self.reading.turn_has_come()
            self._begin(self.reader.incoming)

    def _hold(self) -> None:
        """Read on, or no more for now."""
        if self.transport is not None and self.closing is None:
            self._state_holding()
            self.reading.update(busy=not self.idle())

    def _room(self) -> None:
        """What held the reading back has moved on."""
        self.reading.wait_no_more()
        self._hold()

    def _begin(self, request: Incoming) -> None:
        path = request.target.partition(b"?")[0]
        if path == b"/_health":
            status = 200 if self.listener.healthy() else 503
            self._write(status, b"", (), close=not request.keep_alive, bare=request.method == b"HEAD")
            return
        if request.shed:
            self._write(503, b"", self.listener.taker.come_back(), close=not request.keep_alive)
            return
        if path[:1] != b"/":
            request.target = origin_form(request.target)
        try:
            asked = read_request(request, self.listener.taker.classes)
        except BadRequest as error:
            request.drop()
            self._turn_away(error, close=not request.keep_alive or not request.whole, bare=request.method == b"HEAD")
            return
        if b"host" not in request.fields:
            request.passed.append((b"Host", NO_HOST))
        self.open = Exchange(self, request, asked, passing=self)
        self.listener.taker.take(self.open)

    # ------------------------------------------------------------------ answers

    def answer(self, exchange: Exchange, status: int, body: bytes, headers: Iterable[Field]) -> None:
        if self.open is not exchange:
            return
        self._let_go()
        if self.reader.expects:
            self.reading.progress_at = time.monotonic()  # until now it waited for its turn to be told to go on
        self._write(status, body, headers, close=not exchange.request.keep_alive or not exchange.request.whole)
        self._after()

    def begin(self, exchange: Exchange, headers: Iterable[Field], length: int | None) -> None:
        """The head of an answer that comes in pieces."""
        if self.open is not exchange or self.transport is None:
            return
        request = exchange.request
        last = not request.keep_alive or not request.whole or self._is_closing_soon()
        self.writer.begin(headers, length, self.listener.announce, http10=request.http10, close=last)

    def _is_closing_soon(self) -> bool:
        """Whether the process drains, and no request waits for an answer on this connection."""
        return self.listener.life.closing() and not self.queue

    def write_chunk(self, exchange: Exchange, data: bytes) -> bool:
        if self.open is exchange and self.transport is not None and not self.transport.is_closing():
            self.writer.write_part(data)
        return not self.stuffed

    def finish(self, exchange: Exchange) -> None:
        if self.open is not exchange or self.transport is None:
            return
        self._let_go()
        self.reading.progress_at = time.monotonic()
        self.writer.finish()
        self._written(close=self.writer.closes)
        self._after()

    def abort_answer(self, exchange: Exchange) -> None:
        if self.open is exchange:
            self._let_go()
            if self.transport is not None:
                self.transport.abort()

    def _after(self) -> None:
        if (
            self.queue
            or self.reading.paused_since is not None
            or self.reader.broken is not None
            or not self.reader.in_head
        ):
            asyncio.get_running_loop().call_soon(self._next)

    def _turn_away(self, error: BadRequest, *, close: bool, bare: bool = False) -> None:
        self._write(error.status, str(error).encode("latin-1", "replace"), (), close=close, bare=bare)

    def _write(self, status: int, body: bytes, headers: Iterable[Field], *, close: bool, bare: bool = False) -> None:
        """A whole answer; bare: without its body, to HEAD."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        close = close or self._is_closing_soon()
        self.writer.write_whole(status, body, headers, self.listener.announce, close=close, bare=bare)
        self._written(close=close)

    def _written(self, *, close: bool) -> None:
        if self.holding.count > self.listener.budget.allowance:
            self._state_holding()
        if close:
            self._drop_queue()
            self.close()
        elif self.idle() and self.reader.incoming.whole:
            self.listener.delivering[self] = None

    def _still_comes(self) -> bool:
        """Whether a request is half here, or something lies unread because reading is held up."""
        if not self.reader.incoming.whole:
            return True
        if self.transport is None or self.reading.paused_since is None:
            return False
        return is_readable(self.transport.get_extra_info("socket"))
