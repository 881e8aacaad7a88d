"""When discovery is called, what for, and how long an answer is waited for. Pure.

What discovery has to say must be heard `HEAR_WITHIN_S` after it had it and could be reached, whatever failed before.
Two rules follow. No call is relied on for longer than that leaves: when an answer is overdue, another call is opened
beside it, on a connection of its own. And no call is given up for being slow: it stays open until a later one is
answered or there are too many.

An answer in time may say nothing new for ever, where its connection leads to a replica that stands still. So no
connection is used for long (`CallTimes.connection_s`). And changes need not add up to the list: what was left out once
is told by none of them. So the whole list is asked for again and again, as often as `CallTimes.whole_every_s`, its
bytes allow, whatever else is open.

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

from cloverhold.decision import interface as io

HEAR_WITHIN_S = 6.0
MARGIN_S = 0.5  # of that, for the way and a loop that is held up
PACE_S = 0.1  # between the begins of calls that bring nothing new; the next must come within 200 ms
STALLED_AFTER_S = 6.0  # without a byte, behind its wait: the oldest call is given up first from here on
LEAST_HOLD_S = 0.5
LATENCY_DECAY = 0.7  # of what is remembered of slower answers, at each answer
LINE_BYTES = 160  # of a whole list, for each server
WHOLE_LATE_S = 0.2  # behind the time at which the whole list is due it is asked for beside a call that is open
WHOLE_BACKOFF = 2.0  # times the least interval between whole lists, where a service turned one away
SETTLE_FIRST_S, SETTLE_MOST_S = 0.1, 8.0  # until the whole list is asked for, as an answer was not taken whole
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


@dataclass(frozen=True, slots=True)
class CallTimes:
    """How long calls may take, in seconds."""

    hold_s: float  # the longest wait of a watch
    patience_s: float  # least time that an answer is waited for alone
    patience_most_s: float
    patience_per_latency: float  # patience as a multiple of how long answers take
    whole_patience_s: float  # least time where the whole list is asked for
    backoff_first_s: float
    retry_most_s: float  # between the begins of two calls while none is answered
    most_open: int
    connection_s: float = 1.0  # a connection older than this is used for no further call
    pace_most_s: float = 1.0  # between the begins of calls that are answered with lower versions
    whole_every_s: float = math.inf  # least time between two whole lists that are asked for to compare
    whole_bytes_per_s: float = math.inf  # of those lists at most

    @classmethod
    def of(cls, settings: io.Settings, random: Random) -> CallTimes:
        """By what the settings say of discovery and drains."""
        if settings.list_mode is io.ListMode.ASK:
            return cls._polled(settings, random)
        return cls._streamed(settings)

    @classmethod
    def _polled(cls, settings: io.Settings, random: Random) -> CallTimes:
        """One service for all nodes: each call is work for it. Half of `must_ask_ms` bounds the time without a call."""
        must_ask_s = math.inf if settings.must_ask_ms is None else settings.must_ask_ms / 1000
        return cls(
            hold_s=random.uniform(2.5, 3.0),  # no two nodes in step
            patience_s=0.5,
            patience_most_s=1.5,
            patience_per_latency=2.0,
            whole_patience_s=1.0,
            backoff_first_s=1.0,
            retry_most_s=min(2.0, must_ask_s / 2),
            most_open=3,
            whole_every_s=2.5,
            whole_bytes_per_s=2 * 1024,
        )

    @classmethod
    def _streamed(cls, settings: io.Settings) -> CallTimes:
        """An agent on this machine: calls cost nothing, and what it has counts as notified at once. So calls overlap,
        and the time between two of them stays within half of the grace, also through an outage.
        """
        part_s = min(0.5, max(0.05, settings.drain_grace_ms / 4000))
        return cls(
            hold_s=part_s,
            patience_s=part_s,
            patience_most_s=1.5,
            patience_per_latency=0.8,  # two calls in flight: more would only queue at an agent that is crowded
            whole_patience_s=4 * part_s,
            backoff_first_s=part_s,
            retry_most_s=2 * part_s,
            most_open=5,
            connection_s=part_s,
            pace_most_s=PACE_S,
            whole_every_s=2 * part_s,
            whole_bytes_per_s=8 * 1024,
        )


@dataclass(frozen=True, slots=True)
class Heard:
    """What an answer came to."""

    version: int | None  # of the list that is held now
    entries: int  # servers that the answer names
    listed: int = 0  # servers that are listed now
    taken: bool = True  # False: another one had overtaken it, or its version is lower
    lower: bool = False  # its version is lower
    ask_whole: bool = False  # only a whole list can tell the rest
    unsettled: bool = False  # a whole list could tell what is in doubt


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
    _whole_at: float = math.inf  # when the whole list is asked for, though a version is held
    _settle_at: float = math.inf  # when it is asked for, as an answer was not taken whole
    _settle_s: float = SETTLE_FIRST_S

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
        self._note_latency(call, heard, now)
        self.failures = self.unanswered = 0
        self._lower = self._lower + 1 if heard.lower else 0
        if heard.taken:
            self.version = heard.version
        self._plan_whole(call, heard, now)
        superseded = self._supersede(call)
        if not self._follows_changes():
            news = heard.taken and (heard.version != call.since or call.kind is CallKind.WHOLE)
            self.next_at = now if news else max(now, call.begun_at + self._pace_s())
        return superseded

    def _plan_whole(self, call: OpenCall, heard: Heard, now: float) -> None:
        """When the whole list is asked for next, though a version is held."""
        was_compared = call.kind is CallKind.WHOLE and (heard.taken or heard.lower)
        if was_compared or self._whole_at == math.inf:
            self._whole_at = max(now + PACE_S, call.begun_at + self._whole_interval_s(heard.listed))
        is_needed = heard.unsettled or heard.ask_whole
        if call.kind is CallKind.WHOLE and not is_needed:
            self._settle_at, self._settle_s = math.inf, SETTLE_FIRST_S
        elif is_needed and self._settle_at == math.inf:
            self._settle_at = now + self._settle_s
            self._settle_s = min(SETTLE_MOST_S, 2 * self._settle_s)

    def _whole_interval_s(self, listed: int) -> float:
        """From one whole list of so many servers to the next."""
        times = self.times()
        bytes_s = listed * LINE_BYTES / times.whole_bytes_per_s
        return max(times.whole_every_s, bytes_s)

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
            self._whole_at = now + WHOLE_BACKOFF * self.times().whole_every_s
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
        return min(times.hold_s, max(LEAST_HOLD_S, min(left_s, self._whole_at - now)))

    def _begin(self, now: float) -> list[Action]:
        times = self.times()
        actions = self._evict(now, times.most_open)
        kind = self._next_kind(now)
        hold_s = self.hold_s(times, now) if kind is CallKind.WATCH else 0.0
        self._numbers += 1
        since = None if kind is CallKind.WHOLE else self.version
        call = OpenCall(self._numbers, kind, since, hold_s, now)
        due_s = hold_s + self._interval_s(times, kind)
        if kind is not CallKind.WHOLE and not self.failures:
            due_s = min(due_s, max(hold_s, PACE_S, self._whole_at + WHOLE_LATE_S - now))
        self.next_at = now + due_s
        self.unanswered += 1
        self._open[call.number] = call
        if kind is CallKind.WHOLE:
            self._settle_at = math.inf
            self._whole_at = now + max(times.whole_patience_s, 2 * self.latency_s)  # if this one is lost
        return [*actions, Begin(call)]

    def _next_kind(self, now: float) -> CallKind:
        if self.version is None or now >= self._settle_at:
            return CallKind.WHOLE
        if now >= self._whole_at and not self.failures:
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

    def _note_latency(self, call: OpenCall, heard: Heard, now: float) -> None:
        """Learn how long answers take. A watch that is answered within its wait tells only if it brings no news."""
        took_s = now - call.begun_at
        if took_s < call.hold_s and heard.entries:
            return
        latency_s = took_s - call.hold_s if took_s >= call.hold_s else took_s
        latency_s = min(latency_s, HEAR_WITHIN_S)
        self.latency_s = max(latency_s, LATENCY_DECAY * self.latency_s + (1 - LATENCY_DECAY) * latency_s)
