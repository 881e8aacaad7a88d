"""When the whole list is asked for, though a version of it is held. Pure.

Changes need not add up to the list: what was left out once is told by none of them. So the whole list is compared again
and again, as often as `CallTimes.whole_every_s` and its bytes allow. It is asked for at growing intervals, too, while
an answer that was not taken whole leaves something in doubt.

Versions that bring no line are suspicious: a discovery that was cut off counts on like that, and leaves out what it
missed. Once they stop, a list too large to be compared soon is asked for ahead of its time. A few such lists are to
spare; they come back at the rate at which the list is compared anyway. Nodes that see the same do not all ask at once,
and none asks a service that is slow.

All times are seconds on one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cloverhold.net.discovery.call_times import PACE_S, CallTimes

REFUSED_BACKOFF = 2.0  # times the least interval between whole lists, where a service turned one away
MOST_SPARE = 2.0  # whole lists that may be asked for ahead of their time
SUSPICION_S = 2.0, 4.0  # behind the last version that brought no line
SLOW_S = 0.5  # answers that take longer are those of a service that has enough to do
RARE_S = 4.0  # a list that is compared more often than that is not asked for ahead of its time
SETTLE_FIRST_S, SETTLE_MOST_S = 0.1, 8.0  # until the whole list is asked for, as an answer was not taken whole


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

    def is_in_doubt(self) -> bool:
        """Whether the whole list is needed."""
        return self.unsettled or self.ask_whole


@dataclass(slots=True)
class WholeListTimer:
    """The times of one follower's calls for the whole list."""

    times: Callable[[], CallTimes]
    random: Random
    _listed: int = 0  # servers of the list
    _compare_at: float = math.inf  # when it is asked for to compare
    _suspected_at: float = math.inf  # when it is asked for ahead of that time
    _spare: float = MOST_SPARE
    _spare_at: float = 0.0  # when that was reckoned
    _settle_at: float = math.inf  # when it is asked for, as an answer was not taken whole
    _settle_s: float = SETTLE_FIRST_S

    @property
    def compare_at(self) -> float:
        """When it is asked for to compare, if no call fails before."""
        return min(self._compare_at, self._suspected_at)

    def is_due(self, now: float, *, failing: bool) -> bool:
        """Whether the next call is to ask for it. failing: the last call failed, and nothing is compared meanwhile."""
        return now >= self._settle_at or (now >= self.compare_at and not failing)

    def give_way(self, latency_s: float) -> None:
        """Leave a service alone that is slow: the list is compared in its time. latency_s: how long answers take."""
        if latency_s > SLOW_S:
            self._suspected_at = math.inf

    def begun(self, now: float, latency_s: float) -> None:
        """It is asked for. latency_s: how long answers take."""
        if self._suspected_at <= now:
            self._suspected_at = math.inf
            self._spare = self._spare_now(now) - 1.0
            self._spare_at = now
        self._settle_at = math.inf
        self._compare_at = now + max(self.times().whole_patience_s, 2 * latency_s)  # if this call is lost

    def refused(self, now: float) -> None:
        """A service turned the call for it away."""
        self._compare_at = now + REFUSED_BACKOFF * self.times().whole_every_s

    def answered(self, begun_at: float, heard: Heard, now: float) -> None:
        """It has come, by a call that began then."""
        if heard.taken or heard.lower:
            self._compare_behind(begun_at, heard, now)
        if heard.is_in_doubt():
            self._settle_later(now)
        else:
            self._settle_at, self._settle_s = math.inf, SETTLE_FIRST_S

    def changes_answered(self, begun_at: float, heard: Heard, now: float, *, is_suspicious: bool) -> None:
        """Changes have come, by a call that began then. is_suspicious: of a later version, and without a line."""
        if is_suspicious and self._is_compared_rarely() and self._spare_now(now) >= 1.0:
            self._suspected_at = now + self.random.uniform(*SUSPICION_S)
        if self._compare_at == math.inf:
            self._compare_behind(begun_at, heard, now)
        if heard.is_in_doubt():
            self._settle_later(now)

    def _compare_behind(self, begun_at: float, heard: Heard, now: float) -> None:
        self._listed = heard.listed
        self._compare_at = max(now + PACE_S, begun_at + self._interval_s())

    def _interval_s(self) -> float:
        return self.times().whole_interval_s(self._listed)

    def _is_compared_rarely(self) -> bool:
        return self._interval_s() > RARE_S

    def _spare_now(self, now: float) -> float:
        gained = (now - self._spare_at) / self._interval_s()
        return min(MOST_SPARE, self._spare + gained)

    def _settle_later(self, now: float) -> None:
        if self._settle_at == math.inf:
            self._settle_at = now + self._settle_s
            self._settle_s = min(SETTLE_MOST_S, 2 * self._settle_s)
