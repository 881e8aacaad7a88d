"""How long idle connections to servers really last."""

from __future__ import annotations

from bisect import bisect_right


class IdleLimit:
    """How long idle connections really last, by what became of requests on them.

    Guards against servers, and what stands between, that drop kept connections long before the time they
    state: a request written to one ends as a reset, and one that may not be repeated is lost.
    """

    AGES_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
    STEP, DIED_MOST = 0.1, 0.25

    def __init__(self, most_s: float) -> None:
        self.most_s = self.limit_s = most_s
        self.died = [0.0] * (len(self.AGES_S) + 1)  # part of the requests that died, by the age they found

    def told(self, age_s: float, *, died: bool) -> None:
        """What became of a request on a connection that was idle for this long."""
        at = bisect_right(self.AGES_S, age_s)
        if not died and not self.died[at]:
            return  # as nearly always: nothing new
        self.died[at] += self.STEP * (died - self.died[at])
        self._judge()

    def forget(self, seconds: float) -> None:
        """Old evidence fades, within a minute or so: a limit that no longer holds costs connections."""
        self.died = [part * 0.98**seconds for part in self.died]
        self._judge()

    def _judge(self) -> None:
        # One just used is as good as any: its failures have other causes.
        aged = zip(self.AGES_S, self.died[1:], strict=True)
        self.limit_s = min([age for age, part in aged if part > self.DIED_MOST], default=self.most_s)
