"""The usual clients: open loop, one request at a time on a connection, retries as PROTOCOL allows them.

A try's time counts from when it was meant to be sent. A connection is watched on after its try was given up and
after its answer, so that late and second answers are seen.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import cast

import httptools

from cloverhold.rehearsal.front import Front
from cloverhold.rehearsal.ledger import Answer, Try
from cloverhold.rehearsal.plan import FirstTry
from cloverhold.rehearsal.scenario import Class
from cloverhold.rehearsal.sockets import LOOPBACK
from cloverhold.rehearsal.wire import CROSSING_S, REFUSED, Known, digest, expected, request_bytes
from cloverhold.rehearsal.world import World

WATCH_S = 0.25  # past a try's limit its connection is watched for this long
REPEATS_S = 10.0  # for so long a client sends an unsafe request again under its own id, where the scenario has that


@dataclass(slots=True)
class Pending:
    """One try on its way, with what its client will do next."""

    first: FirstTry
    kind: Class
    known: Known
    row: Try
    over: bool = False  # its client goes by an outcome already


class Connection(asyncio.Protocol):
    """One connection of the usual clients to a node."""

    _numbers = 0

    def __init__(self, clients: Clients, node: int, *, once: bool) -> None:
        self.clients, self.node, self.once = clients, node, once
        Connection._numbers += 1
        self.number = Connection._numbers
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.current: Pending | None = None
        self.last: Pending | None = None
        self.used = 0
        self.body = bytearray()
        self.retry_after: float | None = None
        self.keep = True
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        self.transport = cast(asyncio.Transport, transport)
        self.clients.open.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended, by either side."""
        self.transport = None
        self.clients.open.discard(self)
        self.clients.forget(self)
        pending, self.current = self.current, None
        if pending is not None:
            row, now = pending.row, self.clients.world.now()
            if row.ended_s is None and row.left_s is None and row.watched_s is None:
                row.ended_s, row.ended = now, "reset" if exc is not None else "closed"
                if self.parser_began():
                    row.answers.append(Answer(now, self.parser.get_status_code(), "", whole=False))
            self.clients.ended(pending, self)

    def parser_began(self) -> bool:
        """Whether a part of an answer had come."""
        return bool(self.body) or not self.keep

    def send(self, pending: Pending) -> None:
        """Write a request."""
        row = pending.row
        row.connection, row.reused = self.number, self.used > 0
        self.used += 1
        self.current = self.last = pending
        self.body.clear()
        self.keep = True
        self.retry_after = None
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None
        if self.transport is None:  # ended in between
            row.ended_s, row.ended = self.clients.world.now(), "closed"
            self.current = None
            self.clients.ended(pending, self)
            return
        left = row.intended_s + row.budget_s - self.clients.world.now()
        self.transport.write(request_bytes(row.id, pending.known, left, retry=row.number > 0))
        row.sent_s = self.clients.world.now()
        row.budget_s = max(0.0, left)  # as stated; it counts from its last byte

    def abort(self) -> None:
        """End it."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Bytes of an answer, or of more than was asked for."""
        if self.current is None:
            if self.last is not None and len(self.last.row.answers) < 2:
                self.last.row.answers.append(Answer(self.clients.world.now(), 0, ""))
            self.abort()
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.current is not None:
                self.current.row.answers.append(Answer(self.clients.world.now(), 0, "", whole=False))
            self.abort()

    def on_message_begin(self) -> None:
        """An answer begins."""
        if self.current is None and self.last is not None and len(self.last.row.answers) < 2:
            self.last.row.answers.append(Answer(self.clients.world.now(), 0, ""))  # a second one right behind

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header of an answer."""
        if name.lower() == b"retry-after":
            try:
                self.retry_after = float(value)
            except ValueError:
                self.retry_after = None

    def on_headers_complete(self) -> None:
        """Its head is whole."""
        self.keep = self.parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        """A part of its body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Its last byte has come."""
        pending = self.current
        status = self.parser.get_status_code()
        if pending is None or status < 200:
            return
        self.current = None
        pending.row.answers.append(
            Answer(self.clients.world.now(), status, digest(bytes(self.body)), True, self.retry_after)
        )
        self.clients.ended(pending, self)
        if not self.parser.should_keep_alive():
            return  # the node closes it
        if not self.once:
            self.clients.rest(self)
            self._idle = self.clients.world.loop.call_later(self.clients.world.scenario.clients.idle_s, self._close)

    def _close(self) -> None:
        if self.transport is not None and self.current is None:
            self.transport.close()


class Clients:
    """All usual clients, and what they do after each outcome."""

    def __init__(self, world: World, front: Front, ports: list[int]) -> None:
        self.world, self.front, self.ports = world, front, ports
        self.random = world.source("clients")
        self.idle: list[Connection] = []
        self.open: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.timers: set[asyncio.TimerHandle] = set()
        self.pending: dict[str, Pending] = {}
        self.sent = 0

    async def run(self) -> None:
        """Send every first try when it is meant to be sent."""
        for first in self.world.plan.arrivals:
            await self.world.until(first.at_s)
            self.sent += 1
            self._try(first, 0, first.at_s)

    # -------------------------------------------------------------------------------------------- sending

    def _try(self, first: FirstTry, number: int, intended_s: float) -> None:
        kind = self.world.scenario.class_of(first.class_name)
        known = expected(kind, first.subject, first.key, first.work_ms, first.caller, first.harm)
        name = f"r{first.index:x}-{number}"
        self.world.known[name] = known
        spent = intended_s - first.at_s
        budget = min(self.world.scenario.clients.try_share * kind.deadline_ms / 1000, kind.deadline_ms / 1000 - spent)
        row = Try(name, first.index, number, kind.name, first.key, -1, 0, False, intended_s, budget)
        self._start(Pending(first, kind, known, row))

    def _start(self, pending: Pending, node: int | None = None) -> None:
        """Send a try; node: to that one alone, on a connection of its own."""
        row = pending.row
        self.world.ledger.rows.append(row)
        self.pending[row.id] = pending
        self._later(row.intended_s + row.budget_s - self.world.now(), self._gives_up, pending)
        if pending.first.leaves_s is not None:
            self._later(pending.first.leaves_s, self._leaves, pending)
        if node is not None:
            row.node = node
            self._task(self._dial(pending, node))
            return
        if self.idle and not pending.first.once:
            connection = self.idle.pop(self.random.randrange(len(self.idle)))
            row.node = connection.node
            connection.send(pending)
            return
        node = self.front.deal(self.world.now())
        if node is None:
            row.ended_s, row.ended = self.world.now(), "refused"
            self.ended(pending, None)
            return
        row.node = node
        self._task(self._dial(pending, node))

    async def _dial(self, pending: Pending, node: int) -> None:
        row = pending.row
        try:
            _, connection = await self.world.loop.create_connection(
                lambda: Connection(self, node, once=pending.first.once),
                LOOPBACK,
                self.ports[node],
            )
        except OSError:
            row.ended_s, row.ended = self.world.now(), "refused"
            self.ended(pending, None)
            return
        if pending.over:
            connection.abort()  # it took longer than the client waits
            return
        connection.send(pending)

    def _task(self, work: object) -> None:
        task = self.world.loop.create_task(cast("asyncio._CoroutineLike[None]", work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _later(self, delay_s: float, call: object, pending: Pending) -> None:
        def fire() -> None:
            self.timers.discard(handle)
            call(pending)  # type: ignore[operator]

        handle = self.world.loop.call_later(max(0.0, delay_s), fire)
        self.timers.add(handle)

    def rest(self, connection: Connection) -> None:
        """A connection is free for the next request."""
        self.idle.append(connection)

    def forget(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection in self.idle:
            self.idle.remove(connection)

    # ------------------------------------------------------------------------------------------- outcomes

    def _leaves(self, pending: Pending) -> None:
        if pending.over:
            return
        pending.over, pending.row.left_s = True, self.world.now()
        self.pending.pop(pending.row.id, None)
        for connection in list(self.open):
            if connection.current is pending:
                connection.abort()

    def _gives_up(self, pending: Pending) -> None:
        """The client's time is up. The connection is watched a little longer."""
        slack = self.world.scenario.rules.answer_slack_ms / 1000 + WATCH_S
        self._later(slack, self._unwatch, pending)
        if not pending.over:
            pending.over = True
            self.pending.pop(pending.row.id, None)
            self._next(pending, None)

    def _unwatch(self, pending: Pending) -> None:
        for connection in list(self.open):
            if connection.current is pending:
                pending.row.watched_s = self.world.now()
                connection.abort()

    def ended(self, pending: Pending, connection: Connection | None) -> None:
        """A try has its outcome: an answer, or the end of its connection."""
        if pending.over:
            return
        row = pending.row
        crossed = (
            connection is not None
            and row.reused
            and not row.answers
            and row.ended_s is not None
            and row.sent_s is not None
            and row.ended_s - row.sent_s <= CROSSING_S
            and not row.again
            and row.id not in self.world.seen
        )
        pending.over = True
        self.pending.pop(row.id, None)
        if crossed:
            left = row.intended_s + row.budget_s - self.world.now()
            again = Try(row.id, row.first, row.number, row.class_name, row.key, -1, 0, False,
                        self.world.now(), left, again=True)  # fmt: skip
            if left > 0:
                self._start(Pending(pending.first, pending.kind, pending.known, again))
                return
        again_s = self.world.scenario.clients.again_s
        if again_s and pending.kind.repeats == "unsafe" and not row.answers and (row.sent_s is not None or row.again):
            self._later(again_s, self._again, pending)
            return
        self._next(pending, row.answers[0] if row.answers else None)

    def _again(self, pending: Pending) -> None:
        """Send an unsafe request that had no answer to the node's next life, under the id that it had."""
        row, now = pending.row, self.world.now()
        if now - pending.first.at_s > REPEATS_S:
            return
        budget = self.world.scenario.clients.try_share * pending.kind.deadline_ms / 1000
        again = Try(row.id, row.first, row.number, row.class_name, row.key, -1, 0, False, now, budget, again=True)
        self._start(Pending(pending.first, pending.kind, pending.known, again), row.node)

    def _next(self, pending: Pending, answer: Answer | None) -> None:
        """Whether and when the client tries again."""
        clients, row, first = self.world.scenario.clients, pending.row, pending.first
        if row.number >= clients.retries or (answer is not None and answer.whole and answer.status == 200):
            return
        refused = answer is not None and answer.status in REFUSED
        never_sent = row.sent_s is None and row.ended == "refused"
        if not (refused or never_sent or pending.kind.repeats == "safe"):
            if not (pending.kind.repeats == "keyed" and pending.kind.group == "all"):
                return
        wait = clients.backoff_ms / 1000 * (2.0**row.number if clients.backoff == "exp" else 1.0)
        wait *= self.world.source("wait", first.index, row.number).uniform(0.5, 1.5)
        if answer is not None and answer.retry_after_s is not None and first.honours:
            wait = min(answer.retry_after_s, self.world.scenario.nodes.max_retry_after_ms / 1000)
        at = self.world.now() + wait
        if at - first.at_s < pending.kind.deadline_ms / 1000:
            self._later(wait, lambda p: self._try(p.first, p.row.number + 1, at), pending)

    # ------------------------------------------------------------------------------------------------ end

    def long_open(self, node: int, for_s: float) -> Pending | None:
        """A request that has been open at a node for this long, for those who steal ids."""
        limit = self.world.now() - for_s
        for pending in self.pending.values():
            row = pending.row
            if row.node == node and row.sent_s is not None and row.sent_s <= limit:
                return pending
        return None

    def idle_now(self) -> bool:
        """Whether nothing is on its way."""
        return not self.pending and not self.tasks and not any(c.current for c in self.open)

    async def close(self) -> None:
        """End all connections and what is left of the work."""
        for timer in list(self.timers):
            timer.cancel()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        now = self.world.now()
        for connection in list(self.open):
            if connection.current is not None and connection.current.row.watched_s is None:
                connection.current.row.watched_s = now
            connection.abort()
