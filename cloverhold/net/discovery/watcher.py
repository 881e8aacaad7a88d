"""Follows the list of servers: makes the calls that `CallSchedule` asks for, and hands on what their answers say."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import time
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from cloverhold.decision import interface as io
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.call_times import CallTimes
from cloverhold.net.discovery.calls import Abandon, Action, Begin, CallEnd, CallKind, CallSchedule, OpenCall
from cloverhold.net.discovery.connection import Connection, ConnectionEnded, Refused
from cloverhold.net.discovery.departures import DepartureChanges
from cloverhold.net.discovery.merge import HeldList
from cloverhold.net.discovery.merge_results import Asked, Merged, Worth
from cloverhold.net.discovery.report import DiscoveryReport
from cloverhold.net.discovery.server_list import ListAnswer, ListError, Members, lines_of, members_of, read_answer
from cloverhold.net.discovery.whole_lists import Heard
from cloverhold.net.telemetry import Telemetry
from cloverhold.net.upstreams.calls import Address

log = logging.getLogger(__name__)

RESTART_DELAY_S = 2.0  # after a fault of the node itself
LATE_S, READ_FIRST_S = 0.05, 0.02  # a timer that is so late leaves so much time to what has come meanwhile
LEAST_HOLD_MS = 1  # of a call that is not to wait
PATH = "/catalog/members"


class Discovery:
    """Follows the list. `notified` gets each list; `failed` hears of a call that did not succeed, where discovery is
    polled.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        notified: Callable[[Members], None],
        failed: Callable[[], None],
        settings: Callable[[], io.Settings],
        telemetry: Telemetry | None = None,
    ) -> None:
        """settings: those in use; they say whether discovery is polled, and how long a drain may go unknown."""
        self.address, self.clock = address, clock
        self.notified, self.call_failed, self.settings = notified, failed, settings
        chance = random.Random()
        self.times: Callable[[], CallTimes] = lambda: CallTimes.of(settings(), chance)
        self.schedule = CallSchedule(self.times, chance)
        self.held = HeldList()
        self.report = DiscoveryReport(telemetry if telemetry is not None else Telemetry(), self.held, self.schedule)
        self._calls: dict[int, tuple[asyncio.Task[object], Connection]] = {}
        self._idle: Connection | None = None  # kept for the next call
        self._timer: asyncio.TimerHandle | None = None

    @property
    def version(self) -> int | None:
        """The version of the list that is held; None: the whole list is asked for next."""
        return self.schedule.version

    def resume(self, members: Members, kept: Iterable[DepartureChanges] = ()) -> Members:
        """Go on from a list that is held already: only what has changed since is asked for. Guards against a fleet
        that starts at once: each whole list is work for the one service, and the watches behind them then failed.
        The list is returned as it is to be taken over: who has left, or may have, gets nothing new.
        kept: departures that others have kept beside the list.
        """
        self.schedule.version = members.version
        self.held.remember(members.version, lines_of(members, self.clock), members.departures)
        for departures in kept:
            self.held.learn(departures)
        lines, departures = self.held.handed_on(), self.held.departures()
        return members_of(members.version, lines, self.clock, full=True, live=False, departures=departures)

    def learn(self, departures: DepartureChanges) -> None:
        """What another process of this node was told of servers that leave."""
        self._hand_on_unasked(self.held.learn(departures))

    def readmit_withheld(self) -> bool:
        """An operator lets in all servers that are withheld; False where that could not be taken over."""
        return self._hand_on_unasked(self.held.readmit_withheld())

    def withheld_value(self) -> dict[str, Any]:
        """Who is withheld, why, and the version that holds each, for JSON; null: no version lets it in."""
        return {
            "version": self.held.version,
            "servers": {
                held.uid: {"why": held.why.value, "version": None if math.isinf(held.version) else held.version}
                for held in self.held.withholdings()
            },
        }

    def _hand_on_unasked(self, merged: Merged) -> bool:
        """Hand on what no answer of discovery has changed."""
        self.report.servers(merged, {"held": self.held.version})
        fault = self._hand_on(merged) if merged.is_news else None
        if fault is not None:
            log.error("a list was not taken over; the whole list is asked for anew", exc_info=fault)
            self._restart()
            self._arm()
        return fault is None

    def watch(self, on: bool = True) -> None:
        """Begin to follow the list, or end it. Nothing where that is done already."""
        if on:
            self.schedule.start(time.monotonic())
            self._arm()
        else:
            self.stop()

    def follow(self, address: Address) -> None:
        """Watch discovery at another address. The last list stays until that one tells the whole of its own:
        its versions need not be those of the old one.
        """
        if address != self.address:
            log.info("discovery is now at %s:%d", *address)
            self.stop()
            self.address = address
            self.schedule.forget_version()
            self.held.expect_other_versions()
        self.watch()

    def stop(self) -> None:
        """Make no more calls."""
        self._carry_out(self.schedule.stop())
        self._arm()
        self._keep(None)

    def is_following(self) -> bool:
        """Whether a call is open or due."""
        return self.schedule.is_active()

    def gauges(self) -> dict[str, int]:
        """How it stands now, by the names that the counters' report gives."""
        return self.report.gauges()

    def _due(self, due_s: float) -> None:
        """The timer has come; where the loop was held up, what lies unread has a moment to be read first."""
        if time.monotonic() - due_s > LATE_S:
            self._timer = asyncio.get_running_loop().call_later(READ_FIRST_S, self._advance)
        else:
            self._advance()

    def _advance(self) -> None:
        self._carry_out(self.schedule.tick(time.monotonic()))
        self._arm()

    def _arm(self) -> None:
        """One timer, for when the next call is due."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        due_s = self.schedule.next_at
        if due_s < math.inf:
            delay_s = max(0.0, due_s - time.monotonic())
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._due, due_s)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Begin(call):
                    self._begin(call)
                case Abandon(call, why):
                    self._abandon(call, why)

    # ------------------------------------------------------------------ calls

    def _begin(self, call: OpenCall) -> None:
        connection = self._connection()
        progressed = partial(self._progressed, call.number)
        task = asyncio.get_running_loop().create_task(connection.get(_target(call), progressed))
        self._calls[call.number] = (task, connection)
        task.add_done_callback(partial(self._done, call))
        self.report.begun(call)
        if self._calls.keys() != {call.number}:
            self.report.unanswered(call)

    def _connection(self) -> Connection:
        """The kept connection where it is young, or one of the call's own."""
        kept, self._idle = self._idle, None
        if kept is not None and kept.is_open():
            if time.monotonic() - kept.begun_at_s < self.times().connection_s:
                return kept
            kept.close()
        return Connection(self.address)

    def _keep(self, connection: Connection | None) -> None:
        """Keep one connection for the next call, and no other."""
        if self._idle is not None and self._idle is not connection:
            self._idle.close()
        self._idle = connection

    def _abandon(self, call: OpenCall, why: CallEnd) -> None:
        task, connection = self._calls.pop(call.number)
        task.cancel()
        connection.close()
        self.report.ended(call, why)

    def _progressed(self, number: int) -> None:
        self.schedule.progressed(number, time.monotonic())

    def _done(self, call: OpenCall, task: asyncio.Task[object]) -> None:
        """A call has ended by itself, or was abandoned."""
        if task.cancelled():
            return
        error = task.exception()
        if call.number not in self._calls:
            return
        _, connection = self._calls.pop(call.number)
        if error is None:
            error = self._answered(call, task.result(), connection)
        if isinstance(error, (ListError, OSError)):
            connection.close()
            self._failed(call, error)
        elif error is not None:
            log.error("a fault in the follower of the list; the whole list is asked for anew", exc_info=error)
            self._restart()
        self._advance()

    def _answered(self, call: OpenCall, value: object, connection: Connection) -> Exception | None:
        """Hand on what an answer says; why it can't be used, or the fault of who was handed it."""
        try:
            answer = read_answer(value)
        except ListError as error:
            return error
        now, held = time.monotonic(), self.held.version
        merged = self.held.merge(answer, Asked(call.since, call.begun_at), now)
        heard = self._heard(answer, merged)
        self._carry_out(self.schedule.answered(call.number, heard, now))
        self._keep(connection if connection.is_open() and not heard.lower else None)
        self.report.answered(call)
        self.report.merged(call, answer, merged, held)
        discovery = "{}:{}".format(*connection.address)
        self.report.listed(answer, merged, discovery)
        self.report.servers(merged, {
            "held": held, "told": answer.version, "call": call.number, "answer_age_s": now - call.begun_at,
            "connection_age_s": now - connection.begun_at_s, "discovery": discovery,
        })  # fmt: skip
        fault = self._hand_on(merged) if merged.is_news else None
        self.clock.starts.note_heard(self.clock.now())
        return fault

    def _heard(self, answer: ListAnswer, merged: Merged) -> Heard:
        return Heard(
            version=self.held.version,
            entries=len(answer.lines),
            listed=len(self.held),
            taken=merged.worth in (Worth.TAKEN, Worth.ADOPTED),
            lower=merged.worth is Worth.LOWER_VERSION,
            ask_whole=merged.ask_whole,
            unsettled=self.held.is_unsettled(),
        )

    def _hand_on(self, merged: Merged) -> Exception | None:
        departures = self.held.departure_changes()
        members = members_of(self.held.version or 0, merged.lines, self.clock, full=merged.whole, departures=departures)
        try:
            self.notified(members)
        except Exception as error:
            return RuntimeError(f"a list was not taken over: {error!r}").with_traceback(error.__traceback__)
        return None

    def _failed(self, call: OpenCall, error: ListError | OSError) -> None:
        status = error.status if isinstance(error, Refused) else 0
        why = _why(error)
        self.schedule.failed(call.number, time.monotonic(), status)
        self.report.ended(call, why, error=str(error) or type(error).__name__)
        self.report.unanswered(call)
        if self.settings().list_mode is io.ListMode.ASK:
            self.call_failed()

    def _restart(self) -> None:
        """After a fault of the node: from the whole list, as the last one may be half taken."""
        self._carry_out(self.schedule.stop())
        self.schedule.forget_version()
        self.held.hand_on_again()
        self.schedule.start(time.monotonic() + RESTART_DELAY_S)


def _target(call: OpenCall) -> str:
    if call.kind is CallKind.WHOLE:
        return PATH
    return f"{PATH}?from={call.since}&hold_ms={max(LEAST_HOLD_MS, round(call.hold_s * 1000))}"


def _why(error: ListError | OSError) -> CallEnd:
    if isinstance(error, Refused):
        return CallEnd.REFUSED
    return CallEnd.BROKEN if isinstance(error, (OSError, ConnectionEnded)) else CallEnd.UNUSABLE
