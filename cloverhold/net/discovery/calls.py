"""When discovery is called, what for, and how long an answer is waited for. Pure.

What discovery has to say must be heard `HEAR_WITHIN_S` after it had it and could be reached, whatever failed before.
Two rules follow. No call is relied on for longer than that leaves: when an answer is overdue, another call is opened
beside it, on a connection of its own. And no call is given up for being slow: it stays open until a later one is
answered or there are too many.

An answer in time may say nothing new for ever, where its connection leads to a replica that stands still. So no
connection is used for long (`CallTimes.connection_s`). And changes need not add up to the list: what was left out once
is told by none of them. So the whole list is asked for again and again, whatever else is open (`whole_lists.py`).

| what happens              | then                                                   | next call                |
| ------------------------- | ------------------------------------------------------ | ------------------------ |
| a call begins             | at most `most_open` are kept: `_evict` gives one up    | its wait and `patience`  |
| no answer in that time    | the call stays open                                    | at once, without a wait  |
| again no answer           | the same, at intervals that grow to `retry_most_s`     | at once, without a wait  |
| an answer                 | calls that began before it end; counters restart       | at once, a watch         |
| one that brings no news   | the same                                               | `PACE_S` after its begin |
| one of a lower version    | the same; its connection is not used again             | the same, growing        |
| one not taken whole       | the whole list is asked for, at growing intervals      | at once                  |
| the whole list is due     | it is asked for; only another whole list ends that     | a watch beside it        |
| a refusal, reset, bad list | that call is over                                     | after a growing backoff  |

All times are seconds on one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from cloverhold.net.discovery.call_times import PACE_S, CallTimes
from cloverhold.net.discovery.whole_lists import Heard, WholeListTimer

HEAR_WITHIN_S = 6.0
MARGIN_S = 0.5  # of that, for the way and a loop that is held up
STALLED_AFTER_S = 6.0  # without a byte, behind its wait: the oldest call is given up first from here on
LEAST_HOLD_S = 0.5
LATENCY_DECAY = 0.7  # of what is remembered of slower answers, at each answer
WHOLE_LATE_S = 0.2  # behind the time at which the whole list is due it is asked for beside a call that is open
PERMANENT_ERRORS = frozenset(range(400, 500)) - {408, 429}  # discovery may not know the version that was named


class CallKind(Enum):
    """What a call asks for."""

    WHOLE = "whole"
    WATCH = "watch"  # changes, and waits for some
    CHECK = "check"  # changes, without a wait


class CallEnd(Enum):
    """Why a call is over."""

    ANSWERED = "answered"
    REFUSED = "refused"  # a status of failure
    BROKEN = "broken"  # the connection failed or ended
    UNUSABLE = "unusable"  # an answer that is no list
    SUPERSEDED = "superseded"  # a later call was answered
    GIVEN_UP = "given_up"  # too many were open


@dataclass(slots=True)
class OpenCall:
    """A call that has no answer yet."""

    number: int
    kind: CallKind
    since: int | None  # the version from which on changes are asked for
    hold_s: float
    begun_at: float
    progress_at: float = -math.inf  # when bytes of its answer came last

    def waits_from(self) -> float:
        """The instant from which on its answer is due, or the last bytes of it."""
        return max(self.begun_at + self.hold_s, self.progress_at)


@dataclass(frozen=True, slots=True)
class Begin:
    """Make this call; beside others it takes a connection of its own."""

    call: OpenCall


@dataclass(frozen=True, slots=True)
class Abandon:
    """Close the connection of this call: its answer is wanted no more."""

    call: OpenCall
    why: CallEnd


Action = Begin | Abandon


@dataclass
class CallSchedule:
    """The calls of one follower of the list."""

    times: Callable[[], CallTimes]  # those in force, asked for at each call
    random: Random
    version: int | None = None  # of the list that is held; None: the whole list is asked for
    failures: int = 0  # in a row
    unanswered: int = 0  # calls since the last answer that are not known to have failed
    next_at: float = math.inf  # when the next call begins, if nothing happens before
    latency_s: float = 0.0  # how long answers take, slow ones remembered for a while
    _open: dict[int, OpenCall] = field(default_factory=dict)  # oldest first
    _numbers: int = 0
    _lower: int = 0  # answers of lower versions in a row
    _whole_list: WholeListTimer = field(init=False)

    def __post_init__(self) -> None:
        self._whole_list = WholeListTimer(self.times, self.random)

    def open_calls(self) -> list[OpenCall]:
        """Those without an answer, the oldest first."""
        return list(self._open.values())

    def start(self, now: float) -> None:
        """Begin to follow; nothing where that has begun."""
        if not self.is_active():
            self.next_at = now

    def is_active(self) -> bool:
        """Whether a call is open or due."""
        return bool(self._open) or self.next_at < math.inf

    def stop(self) -> list[Action]:
        """Follow no more. The version stays."""
        given_up: list[Action] = [Abandon(call, CallEnd.GIVEN_UP) for call in self.open_calls()]
        self._open.clear()
        self.next_at = math.inf
        self.failures = self.unanswered = 0
        return given_up

    def forget_version(self) -> None:
        """The list that is held is of another discovery, or only half taken: the whole list is asked for next."""
        self.version = None

    def tick(self, now: float) -> list[Action]:
        """Time has passed."""
        return self._begin(now) if now >= self.next_at else []

    def progressed(self, number: int, now: float) -> None:
        """Bytes of an answer have come."""
        if number in self._open:
            self._open[number].progress_at = now

    def answered(self, number: int, heard: Heard, now: float) -> list[Action]:
        """A call has an answer that can be read."""
        call = self._open.pop(number)
        self._note_latency(call, now)
        self.failures = self.unanswered = 0
        self._lower = self._lower + 1 if heard.lower else 0
        if heard.taken:
            self.version = heard.version
        is_suspicious = heard.taken and not heard.entries and heard.version != call.since
        if call.kind is CallKind.WHOLE:
            self._whole_list.answered(call.begun_at, heard, now)
        else:
            self._whole_list.changes_answered(call.begun_at, heard, now, is_suspicious=is_suspicious)
        superseded = self._supersede(call)
        if not self._follows_changes():
            news = heard.taken and (heard.version != call.since or call.kind is CallKind.WHOLE)
            self.next_at = now if news else max(now, call.begun_at + self._pace_s())
        elif is_suspicious:
            self.next_at = min(self.next_at, max(now, self._whole_list.compare_at + WHOLE_LATE_S))
        return superseded

    def _follows_changes(self) -> bool:
        """Whether a call for changes is open."""
        return any(call.kind is not CallKind.WHOLE for call in self._open.values())

    def _pace_s(self) -> float:
        """Between the begins of two calls of which the first brought nothing new."""
        times = self.times()
        if not self._lower:
            return min(PACE_S, times.hold_s)
        return min(times.pace_most_s, PACE_S * 2.0 ** min(self._lower - 1, 6))

    def failed(self, number: int, now: float, status: int = 0) -> None:
        """A call is over without a list. status: of the answer, where there was one."""
        newest = number == max(self._open)
        call = self._open.pop(number)
        self.failures += 1
        self.unanswered = max(0, self.unanswered - 1)
        if status and call.kind is CallKind.WHOLE:
            self._whole_list.refused(now)
        if status in PERMANENT_ERRORS:
            self.version = None
        if newest:
            self.next_at = now + self._backoff_s()

    def patience_s(self, times: CallTimes) -> float:
        """How long an answer is waited for alone."""
        return min(times.patience_most_s, max(times.patience_s, times.patience_per_latency * self.latency_s))

    def hold_s(self, times: CallTimes, now: float) -> float:
        """How long a watch may wait, so that one which is lost still leaves time for another call, and none keeps the
        whole list waiting.
        """
        left_s = HEAR_WITHIN_S - MARGIN_S - self.patience_s(times) - self.latency_s
        return min(times.hold_s, max(LEAST_HOLD_S, min(left_s, self._whole_list.compare_at - now)))

    def _begin(self, now: float) -> list[Action]:
        times = self.times()
        actions = self._evict(now, times.most_open)
        self._whole_list.give_way(self.latency_s)
        kind = self._next_kind(now)
        hold_s = self.hold_s(times, now) if kind is CallKind.WATCH else 0.0
        self._numbers += 1
        since = None if kind is CallKind.WHOLE else self.version
        call = OpenCall(self._numbers, kind, since, hold_s, now)
        due_s = hold_s + self._interval_s(times, kind)
        if kind is not CallKind.WHOLE and not self.failures:
            due_s = min(due_s, max(hold_s, PACE_S, self._whole_list.compare_at + WHOLE_LATE_S - now))
        self.next_at = now + due_s
        self.unanswered += 1
        self._open[call.number] = call
        if kind is CallKind.WHOLE:
            self._whole_list.begun(now, self.latency_s)
        return [*actions, Begin(call)]

    def _next_kind(self, now: float) -> CallKind:
        if self.version is None or self._whole_list.is_due(now, failing=bool(self.failures)):
            return CallKind.WHOLE
        return CallKind.CHECK if self._follows_changes() or self.failures else CallKind.WATCH

    def _interval_s(self, times: CallTimes, kind: CallKind) -> float:
        """After a call's wait, how long its answer is waited for before the next call begins."""
        patience_s = self.patience_s(times)
        if kind is CallKind.WHOLE and self.version is None:
            patience_s = max(patience_s, times.whole_patience_s)
        if self.unanswered == 0:
            return patience_s
        grown_s = min(times.retry_most_s, patience_s * 2.0 ** min(self.unanswered, 6))
        return max(patience_s, grown_s * self.random.uniform(0.75, 1.0))

    def _backoff_s(self) -> float:
        times = self.times()
        grown_s = min(times.retry_most_s, times.backoff_first_s * 2.0 ** min(self.failures - 1, 6))
        return grown_s * self.random.uniform(0.5, 1.0)

    def _evict(self, now: float, most_open: int) -> list[Action]:
        """Make room for one more call. The oldest is nearest to its answer, unless it has stalled: else the one behind
        it goes.
        """
        evicted: list[Action] = []
        while len(self._open) >= most_open:
            oldest, *others = self._open.values()
            stalled = not others or now - oldest.waits_from() > STALLED_AFTER_S
            call = oldest if stalled else others[0]
            del self._open[call.number]
            evicted.append(Abandon(call, CallEnd.GIVEN_UP))
        return evicted

    def _supersede(self, answered: OpenCall) -> list[Action]:
        """Older calls are over, but for the whole list where only changes were told."""
        older = [call for call in self.open_calls() if call.number < answered.number]
        if answered.kind is not CallKind.WHOLE:
            older = [call for call in older if call.kind is not CallKind.WHOLE]
        for call in older:
            del self._open[call.number]
        return [Abandon(call, CallEnd.SUPERSEDED) for call in older]

    def _note_latency(self, call: OpenCall, now: float) -> None:
        """Learn how long answers take. A watch that is answered within its wait tells nothing: news may end it."""
        late_s = now - call.begun_at - call.hold_s
        if call.hold_s and late_s < 0.0:
            return
        latency_s = min(late_s, HEAR_WITHIN_S)
        self.latency_s = max(latency_s, LATENCY_DECAY * self.latency_s + (1 - LATENCY_DECAY) * latency_s)
