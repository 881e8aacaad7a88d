"""The host of the decision module: what happens on sockets becomes its events, its actions are carried out.

No decision is made here: no retry, no choice of a server, no shedding.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from itertools import chain
from typing import TYPE_CHECKING

from cloverhold.decision import interface as io
from cloverhold.decision.decide import Balancer
from cloverhold.net.clock import Clock
from cloverhold.net.exchange import Exchange, retry_after
from cloverhold.net.messages import Field, Response
from cloverhold.net.open_request import Attempt, OpenRequest, ResponseStream, request_to_send, take_attempt
from cloverhold.net.probing import Prober, parse_load
from cloverhold.net.request_log import RequestLog
from cloverhold.net.telemetry import Ending, Happening, Telemetry
from cloverhold.net.list_updates import ListUpdates
from cloverhold.net.upstream_table import UpstreamTable
from cloverhold.net.upstreams.calls import Call, Pool
from cloverhold.sent_ids import NodeSentIds
from cloverhold.permission import Denial, Run, SendFacts, answered_in_time, may_send, may_take

if TYPE_CHECKING:
    from cloverhold.cells.shell import Router
    from cloverhold.store.sent import How
    from cloverhold.store.remote import RemoteStore
    from cloverhold.store.shell import Store

log = logging.getLogger(__name__)

# What a request and its answer may spend on the way and in a busy loop: the client counts from its own clock.
TRANSIT_MS = 10.0
# What a request that is not taken is told: status, the ending that is counted, and when it may come back (ms).
TURNED_AWAY = {
    Denial.PROCESS_ENDED: (503, Ending.STOPPING, math.inf),
    Denial.DEADLINE_PASSED: (504, Ending.SHORT_DEADLINE, 0.0),
    Denial.DUPLICATE_ID: (409, Ending.DUPLICATE, 0.0),  # a second copy of what is out, or somebody else's id
    Denial.MAY_HAVE_RUN: (409, Ending.RAN_BEFORE, 0.0),
    Denial.NOT_RECORDABLE: (503, Ending.NOT_RECORDED, math.inf),
}
NEVER_RAN = frozenset({io.Status.FULL, io.Status.CONNECT_FAILED, io.Status.MOOT})
NO_ROOM_WAIT_MS = 500.0
DEADLINE_TIMER_DELAY_MS = 5.0  # behind the module's own word, which knows whether a refusal would be true


class Host:
    """One instance of the module on real sockets."""

    def __init__(
        self,
        settings: io.Settings,
        seed: int,
        clock: Clock,
        pool: Pool,
        watch: Callable[[bool], None],
        router: Router | None = None,
        store: Store | RemoteStore | None = None,
        *,
        unsafe: bool = True,
        telemetry: Telemetry | None = None,
    ) -> None:
        """unsafe: whether requests that must not run twice are taken."""
        self.balancer = Balancer(settings, seed)
        self.classes = {c.name: c for c in settings.classes}
        self.settings, self.clock, self.pool, self.watch, self.router = settings, clock, pool, watch, router
        self.store, self.unsafe = store, unsafe
        self.telemetry = telemetry if telemetry is not None else Telemetry()
        self.request_log = RequestLog(self.telemetry)
        if router is not None:
            router.serves, router.warm = self.balancer.serves, self._warm
        self.loop = asyncio.get_running_loop()
        self.upstreams = UpstreamTable()
        self.lists = ListUpdates(self.upstreams, pool, router, self.telemetry, self.dispatch)
        self.prober = Prober(clock, pool, self.upstreams, self.dispatch)
        self.open: dict[int, OpenRequest] = {}
        self.call_ids: set[bytes] = set()  # of the open requests
        self.sent_ids = NodeSentIds()  # of those that may not run twice
        self.requests = 0
        self.events: deque[tuple[float, io.Event]] = deque()  # with the time at which each happened
        self.at = 0.0  # the time of the event in hand
        self.timers: dict[int, float] = {}  # when the module's timers are due, by their tokens
        self.handling = False
        self.ended = False  # whether nothing more is taken

    # ------------------------------------------------------------- the module

    def dispatch(self, event: io.Event, at: float | None = None) -> None:
        """Hand an event to the module, behind those that wait, and carry out what it decides. at: when it happened
        (ms, no earlier than the event before it), where its own times count from an instant that was read already.
        """
        self.events.append((self.clock.now() if at is None else at, event))
        if not self.handling:
            self._run()

    def _run(self) -> None:
        """Hand in what waits. A fault on the way costs none of it: the rest goes on in a step of its own."""
        self.handling = True
        try:
            while self.events:
                self._handle(*self.events.popleft())
        finally:
            self.handling = False
            if self.events:
                self.loop.call_soon(self._run)

    def _handle(self, at: float, event: io.Event) -> None:
        self.at = at
        try:
            actions = self.balancer.handle(at, event)
        except Exception:  # a fault of the module must not cost the other requests their answers
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, (io.Request, io.Outcome)) and self._final(event.id, 500, Ending.POLICY_FAULT):
                self.dispatch(io.ClientGone(event.id))
            return
        self._carry_out(iter(actions))

    def _carry_out(self, actions: Iterator[io.Action]) -> None:
        """Do what was decided. A fault in one action costs no other: among them is the module's one timer, without
        which nobody who waits would be looked at again.
        """
        try:
            for action in actions:
                self._act(action)
        finally:
            if (left := next(actions, None)) is not None:
                self._carry_out(chain((left,), actions))

    def _act(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(action)
            case io.Probe(server=server):
                self.prober.probe(server)
            case io.SetTimer(delay_ms=delay, token=token):
                # Counted from its event, not from now: what deciding took would put it off, behind the guards.
                self.timers[token] = due = self.at + delay
                self.loop.call_later(max(0.0, due - self.clock.now()) / 1000, self._fire_timer, token)
            case io.Cancel(id=ref, attempt=number):
                if (opened := self.open.get(ref)) is not None and not self._passes_on(ref, opened, number):
                    self._stop(ref, opened, number, io.Status.CANCELLED)
            case io.Refuse(id=ref) | io.Fail(id=ref) if self._is_begun(ref):
                pass  # its answer is on its way
            case io.Refuse(id=ref, retry_after_ms=wait):
                self._final(ref, 503, Ending.REFUSED, headers=retry_after(wait))
            case io.Fail(id=ref):
                self._final(ref, 502, Ending.FAILED)
            case io.Log(text=text):
                log.info("%s", text)
            case io.Watch(on=on):
                self.watch(on)
            case io.CloseIdle(server=server):
                if server in self.upstreams:
                    self.pool.close_idle(self.upstreams[server])
            case _:
                log.warning("%s is not for this node", type(action).__name__)

    def _fire_timer(self, token: int) -> None:
        """A timer of the module is due; once."""
        if self.timers.pop(token, None) is not None:
            self.dispatch(io.Timer(token))

    def settle(self, settings: io.Settings) -> None:
        """Other settings from now on. Whoever holds the classes sees the new ones."""
        self.settings = settings
        self.classes.clear()
        self.classes.update((c.name, c) for c in settings.classes)
        if self.router is not None:
            self.router.settings = settings
        self.dispatch(io.NewSettings(settings))

    def longest_ms(self) -> float:
        """The longest deadline, of the settings and of what is open."""
        kinds = [*self.classes.values(), *(opened.exchange.asked.kind for opened in self.open.values())]
        return max(kind.deadline_ms for kind in kinds)

    # ---------------------------------------------------------------- clients

    def ready(self) -> bool:
        """Whether a list was taken over, also one that names nobody: requests then get their answer, a refusal."""
        return self.lists.has_list

    def take(self, exchange: Exchange) -> None:
        """A request has come: from here on it is owed one answer before its time is up."""
        now, asked = self.clock.now(), exchange.asked
        request = exchange.request
        left = asked.budget_ms - (now - request.came_at * 1000 if request.whole else 0.0) - TRANSIT_MS
        call_id, is_unsafe = request.fields[b"x-call-id"], asked.kind.repeat is io.Repeat.UNSAFE
        denial = may_take(
            ended=self.ended,
            left_ms=left,
            id_open=call_id in self.call_ids,
            may_have_run=is_unsafe and self.sent_ids.has(call_id, now),
            recordable=self.unsafe or not is_unsafe,
        )
        if denial is not None:
            status, ending, wait_ms = TURNED_AWAY[denial]
            self._turn_away(exchange, status, ending, wait_ms)
            return
        cell = self.router.route(asked.tenant, asked.key, asked.kind.name) if self.router is not None else None
        if isinstance(cell, io.Refuse):
            self._turn_away(exchange, 503, Ending.CELL_CLOSED, cell.retry_after_ms)
            return
        self.call_ids.add(call_id)
        self.telemetry.count(Happening.REQUEST_TAKEN, asked.kind.name)
        self.requests += 1
        ref = self.requests
        exchange.ref = ref
        deadline_timer = (
            self.loop.call_later((left + DEADLINE_TIMER_DELAY_MS) / 1000, self._overdue, ref) if request.whole else None
        )
        opened = self.open[ref] = OpenRequest(
            exchange, now + left if request.whole else math.inf, deadline_timer, cell=cell
        )
        if self.store is not None and is_unsafe:
            key = request.fields.get(b"idempotency-key", b"")
            opened.record = self.store.record(call_id, key, lambda how: self._recorded(ref, how))
            if opened.record is None:  # it may have run, in this life of the node or the one before
                self._final(ref, 409, Ending.RAN_BEFORE)
            return
        self._begin(ref, opened)

    def _turn_away(self, exchange: Exchange, status: int, ending: Ending, wait_ms: float = 0.0) -> None:
        """Answer a request that is not taken."""
        self.request_log.request_ended(exchange, ending, status)
        exchange.answer(status, headers=self._come_back(wait_ms))

    def whole(self, exchange: Exchange, written_at: float) -> None:
        """The last byte has come of a request that was taken before: its time begins. Once, where it is said twice: as
        the byte comes to the machine, and as it is read.
        """
        opened, now = self.open.get(exchange.ref), self.clock.now()
        if opened is None or opened.deadline_timer is not None or opened.begun:
            return
        left = exchange.asked.budget_ms - TRANSIT_MS - max(0.0, now - written_at * 1000)
        opened.expires_at = now + left
        opened.deadline_timer = self.loop.call_later(
            (max(0.0, left) + DEADLINE_TIMER_DELAY_MS) / 1000, self._overdue, exchange.ref
        )
        for attempt in opened.out.values():
            attempt.sent_at = now
        self.dispatch(io.Whole(exchange.ref, max(0.0, left)), now)

    def come_back(self) -> tuple[Field, ...]:
        """When a client that is refused for lack of room may come back."""
        return self._come_back(NO_ROOM_WAIT_MS)

    def _come_back(self, wait_ms: float) -> tuple[Field, ...]:
        """When to come back, where the settings let a node say so; infinite: as late as they allow."""
        return retry_after(min(wait_ms, self.settings.max_retry_after_ms) if self.settings.retry_after else 0.0)

    def _recorded(self, ref: int, how: How) -> None:
        """What became of a request's record. Only what is durable goes on, and only under the effect that it was asked
        for with: new settings may have come meanwhile, and the module goes by those. The rest never ran.
        """
        opened = self.open.get(ref)
        if opened is None:
            return
        asked = opened.exchange.asked.kind
        if how == "known":  # it may have run at another worker
            self._final(ref, 409, Ending.RAN_BEFORE)
        elif how == "durable" and self.classes.get(asked.name, asked).repeat is asked.repeat:
            self._begin(ref, opened)
        else:
            headers = self._come_back(self.settings.max_retry_after_ms)
            self._final(ref, 503, Ending.NOT_RECORDED, headers=headers)

    def _begin(self, ref: int, opened: OpenRequest) -> None:
        """Hand a request to the module."""
        asked, cell, arriving, now = opened.exchange.asked, opened.cell, opened.deadline_timer is None, self.clock.now()
        left = asked.budget_ms if arriving else max(0.0, opened.expires_at - now)
        self.dispatch(
            io.Request(
                id=ref,
                class_name=asked.kind.name,
                expires_ms=left,
                tenant=asked.tenant,
                key=asked.key,
                cost_ms=asked.cost_ms,
                is_retry=asked.is_retry,
                is_write=asked.kind.repeat is not io.Repeat.SAFE,
                pool=cell.pool if cell is not None else None,
                arriving=arriving,
            ),
            now,
        )

    def client_gone(self, exchange: Exchange) -> None:
        """The client has left: nothing more is owed."""
        if (opened := self._close(exchange.ref)) is not None:
            self.request_log.request_ended(exchange, Ending.CLIENT_GONE, 0, opened.sent)
            self.dispatch(io.ClientGone(exchange.ref))
            self._abandon(exchange.ref, opened)

    def _is_wanted(self, exchange: Exchange) -> bool:
        """Whether a client still waits; one that has left is let go of at once, also before its end is read."""
        if exchange.is_client_connected():
            return True
        self.client_gone(exchange)
        return False

    def _left(self, opened: OpenRequest, until: float = math.inf) -> float:
        """The ms from now to the end of a client's time; no more than to `until`. While the request still comes its
        time has not begun, and is left in full.
        """
        return min(min(opened.expires_at, until) - self.clock.now(), opened.exchange.asked.budget_ms)

    def _in_time(self, ref: int, opened: OpenRequest, number: int, leaves_by: float) -> bool:
        """Whether an attempt may still leave: a client's time runs, or its answer is on its way, and the module's word
        holds. A request that is over is answered here, as by its guard a step later; an answer that began before its
        request had left, which now may not, is cut off.
        """
        late = self.clock.now() > leaves_by
        if late if opened.begun else self._left(opened) <= 0:
            self._expired(ref)
        elif late:
            self._stop(ref, opened, number, io.Status.MOOT)
        else:
            return True
        return False

    def _overdue(self, ref: int) -> None:
        """The guard of a request: its client's time is over. A loop that was held up may come here before it comes to
        the module's timers that were due sooner: these have their word first.
        """
        now = self.clock.now()
        for token in [token for token, due in self.timers.items() if due <= now]:
            self._fire_timer(token)
        self._expired(ref)

    def _expired(self, ref: int) -> None:
        """The client's time is up. The module ends requests sooner: this guards against one that does not."""
        opened = self.open.get(ref)
        if opened is not None and any(self._pass_on(opened, number) for number in list(opened.out)):
            return
        if self._final(ref, 504, Ending.DEADLINE, outcome=io.Status.TIMEOUT):
            self.dispatch(io.ClientGone(ref))

    def _is_begun(self, ref: int) -> bool:
        opened = self.open.get(ref)
        return opened is not None and opened.begun

    def _passes_on(self, ref: int, opened: OpenRequest, number: int) -> bool:
        """Whether the answer of an attempt that is cancelled is on its way to the client all the same: its request is
        over for the module, no other attempt can follow, and part of the answer is here.
        """
        return ref not in self.balancer.requests and self._pass_on(opened, number)

    def _pass_on(self, opened: OpenRequest, number: int) -> bool:
        """Pass on an answer that still comes, in place of failing its request: the server is writing it."""
        attempt = opened.out.get(number)
        if attempt is None or opened.begun or opened.exchange.passing is None or not attempt.call.answer_comes():
            return False
        attempt.call.pass_on()
        return opened.begun

    def fail_all(self) -> None:
        """Answer all that is open, and take nothing more: the process ends. All are closed, and the module has let go
        of them, before it hears of any attempt: it would send a request that waits into the room that another leaves.
        """
        self.ended = True
        ended = [(ref, opened) for ref in list(self.open) if (opened := self._close(ref)) is not None]
        for ref, _ in ended:
            self.dispatch(io.ClientGone(ref))
        for ref, opened in ended:
            self.request_log.request_ended(opened.exchange, Ending.STOPPING, 504, opened.sent)
            self._answer(opened, 504)
            self._abandon(ref, opened, io.Status.TIMEOUT)

    def _close(self, ref: int) -> OpenRequest | None:
        opened = self.open.pop(ref, None)
        if opened is not None:
            if opened.deadline_timer is not None:
                opened.deadline_timer.cancel()
            if (upload := opened.exchange.request.upload) is not None:
                upload.drop()
            opened.exchange.release()
            if self.router is not None and opened.cell is not None:
                self.router.left(opened.cell)
            if self.store is not None and opened.record is not None:
                self.store.over(opened.record, sent=opened.sent > 0)
            self.call_ids.discard(opened.call_id())
            if opened.is_unsafe() and opened.ran is None and not opened.out:
                self.sent_ids.forget(opened.call_id())
        return opened

    def _final(
        self,
        ref: int,
        status: int,
        ending: Ending,
        body: bytes = b"",
        headers: Iterable[Field] = (),
        outcome: io.Status = io.Status.CANCELLED,
    ) -> bool:
        """Give a request its one answer; False if it has had it. It is closed before the module hears how its attempts
        ended: told so while it was open, the module could send it once more. `outcome`: what these are told to be.
        """
        opened = self._close(ref)
        if opened is None:
            return False
        self.request_log.request_ended(opened.exchange, ending, status, opened.sent)
        self._answer(opened, status, body, headers)
        self._abandon(ref, opened, outcome)
        return True

    def _answer(self, opened: OpenRequest, status: int, body: bytes = b"", headers: Iterable[Field] = ()) -> None:
        """Write the one answer of a request that has been closed."""
        if opened.begun and opened.exchange.passing is not None:
            opened.exchange.passing.abort_answer(opened.exchange)  # too late for another
            return
        if (denial := answered_in_time(opened.expires_at - self.clock.now())) is not None:
            self.request_log.answer_late(opened, status, denial)
        opened.exchange.answer(status, body, headers)

    # --------------------------------------------------------------- attempts

    def _send(self, action: io.Send) -> None:
        ref, server, now = action.id, action.server, self.clock.now()
        opened, upstream = self.open.get(ref), self.upstreams.get(server)
        if opened is None:
            self.dispatch(io.Outcome(ref, 0, server, io.Status.MOOT, 0.0, True))
            return
        exchange = opened.exchange
        if not self._is_wanted(exchange):
            self.telemetry.count(Happening.ACT_DENIED, Denial.CLIENT_GONE.value)
            self.dispatch(io.Outcome(ref, opened.sent, server, io.Status.MOOT, 0.0, True))
            return
        if opened.is_unsafe() and self.sent_ids.sent_elsewhere(opened.call_id(), now):
            self._final(ref, 409, Ending.RAN_BEFORE)
            self.dispatch(io.ClientGone(ref))
            self.dispatch(io.Outcome(ref, opened.sent, server, io.Status.MOOT, 0.0, True))
            return
        until = now + action.timeout_ms if action.timeout_ms else math.inf
        left = self._left(opened, until)
        denial = may_send(self._send_facts(opened, server, left))
        number, opened.sent = opened.sent, opened.sent + 1
        if denial is not None or upstream is None:
            self.request_log.send_denied(opened, number, server, denial or Denial.SERVER_UNLISTED)
            self.dispatch(io.Outcome(ref, number, server, io.Status.MOOT, 0.0, again=exchange.request.repeatable()))
            return
        self.request_log.attempt_begun(opened, number, server)
        if opened.is_unsafe():
            self.sent_ids.note(opened.call_id(), now)
        outgoing = request_to_send(exchange, lambda: self._left(opened, until))
        passing = ResponseStream(self, ref, number) if exchange.passing is not None else None
        leaves_by = self.at + action.within_ms
        call = self.pool.call(
            upstream, outgoing, lambda call, status: self._ended(ref, number, call, status), passing,
            lambda: self._is_wanted(exchange) and self._in_time(ref, opened, number, leaves_by),
        )  # fmt: skip
        attempt = opened.out[number] = Attempt(number, server, call, now)
        if self.router is not None and opened.cell is not None:
            attempt.cell, attempt.kind = opened.cell, opened.exchange.asked.kind.name
            self.router.sent(ref, opened.cell, server)
        if action.timeout_ms:
            attempt.timer = self.loop.call_later(left / 1000, self._stop, ref, opened, number, io.Status.TIMEOUT)

    def _send_facts(self, opened: OpenRequest, server: str, left_ms: float) -> SendFacts:
        return SendFacts(
            kind=opened.exchange.asked.kind,
            client_connected=True,
            left_ms=left_ms,
            body_held=opened.exchange.request.repeatable(),
            server=self.upstreams.listed.get(server),
            number=opened.sent,
            out=len(opened.out),
            ran=opened.ran,
            now_ms=self.clock.now(),
            most_attempts=self.settings.max_attempts,
            parallel=self.settings.parallel_tries,
        )

    def _ended(self, ref: int, number: int, call: Call, status: io.Status) -> None:
        opened = self.open.get(ref)
        if opened is None or (attempt := take_attempt(opened, number)) is None:
            return
        self._note_run(opened, attempt, status)
        response = call.response
        load = parse_load(response.header(b"x-load-report")) if response is not None else None
        passing = opened.exchange.passing
        if opened.begun and passing is not None:
            self._close(ref)
            self.request_log.request_ended(
                opened.exchange, Ending.SERVED if status is io.Status.OK else Ending.FAILED, 200, opened.sent
            )
            (passing.finish if status is io.Status.OK else passing.abort_answer)(opened.exchange)
        elif status is io.Status.OK and response is not None:
            self._final(ref, 200, Ending.SERVED, response.body, response.passed)
        self._outcome(ref, attempt, status, load)

    def begun(self, ref: int, number: int, call: Call, response: Response) -> None:
        """The answer of an attempt has begun: from here on it is the client's."""
        opened = self.open.get(ref)
        if opened is None or opened.exchange.passing is None or (attempt := opened.out.get(number)) is None:
            return
        opened.begun, opened.exchange.resume = True, call.resume
        for timer in (opened.deadline_timer, attempt.timer):
            if timer is not None:
                timer.cancel()
        opened.exchange.passing.begin(opened.exchange, response.passed, response.length())
        attempt.begun_after = self.clock.now() - attempt.sent_at
        self.dispatch(io.Streaming(ref, number, attempt.server, attempt.begun_after))

    def chunk(self, ref: int, call: Call, data: bytes) -> None:
        """Part of an answer that has begun."""
        opened = self.open.get(ref)
        if opened is not None and opened.exchange.passing is not None:
            if not opened.exchange.passing.write_chunk(opened.exchange, data):
                call.pause()

    def _outcome(self, ref: int, attempt: Attempt, status: io.Status, load: io.LoadReport | None = None) -> None:
        spent = attempt.begun_after if attempt.begun_after is not None else self.clock.now() - attempt.sent_at
        self.telemetry.count(Happening.ATTEMPT_ENDED, status.name)
        opened = self.open.get(ref)
        if opened is not None:
            self._note_run(opened, attempt, status)
        again = opened is not None and opened.exchange.request.repeatable()
        if opened is not None:
            opened.last_status = status
        if self.router is not None and attempt.cell is not None:
            self.router.ended(ref, attempt.cell, attempt.kind, attempt.server, status, spent)
        self.dispatch(io.Outcome(ref, attempt.number, attempt.server, status, spent, opened is None, load, again))

    def _note_run(self, opened: OpenRequest, attempt: Attempt, status: io.Status) -> None:
        """Whether an attempt may have run. No server begins a request before its last byte has come."""
        arriving = opened.deadline_timer is None
        if opened.ran is None and status not in NEVER_RAN and not arriving:
            opened.ran = Run(attempt.sent_at, self.upstreams.listed.get(attempt.server))

    def _stop(self, ref: int, opened: OpenRequest, number: int, status: io.Status) -> None:
        """Wait no longer for an attempt, if it is still out."""
        if (attempt := take_attempt(opened, number)) is not None:
            attempt.call.give_up()
            self._outcome(ref, attempt, status)

    def _abandon(self, ref: int, opened: OpenRequest, status: io.Status = io.Status.CANCELLED) -> None:
        """A request that is over has no attempt out, whoever ended it; each still gets its outcome."""
        for number in list(opened.out):
            self._stop(ref, opened, number, status)

    def _warm(self, server: str) -> None:
        if self.settings.probes:
            self.prober.warm(server)
