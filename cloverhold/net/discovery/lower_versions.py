"""Answers of lower versions than the one that is held: a replica lags, or discovery counts from anew. Pure.

Only time tells which: an answer of the version held, behind them, shows that a replica lags; nothing but such answers
for `ADOPT_AFTER_S` shows another count. Until then whom they have as leaving, or do not name, is in doubt.
Times are seconds on one monotonic clock.
"""

from __future__ import annotations

import math

ADOPT_AFTER_S = 2.0  # of lower versions alone; drains among them are kept at once, so this delays only returns
LEAST_TO_ADOPT = 3  # answers of lower versions
LAG_MEMORY_S = 3.0  # after an answer that showed a replica to lag, what lower versions say is passed over


class LowerVersions:
    """Those that came since the last answer of the version held, or a later one."""

    def __init__(self) -> None:
        self.lowest: int | None = None  # None: none came
        self.doubts: dict[str, int] = {}  # by server, the latest version that left in doubt whether it leaves
        self._since = math.inf
        self._answers = 0
        self._lag_shown_at = -math.inf

    def hear(self, version: int, now: float) -> None:
        """An answer of a lower version has come."""
        self._since = min(self._since, now)
        self._answers += 1
        self.lowest = version if self.lowest is None else min(self.lowest, version)

    def doubt(self, uid: str, version: int) -> None:
        """It has a server as leaving, or does not name it."""
        self.doubts[uid] = max(self.doubts.get(uid, 0), version)

    def is_counted_anew(self, now: float) -> bool:
        """Whether a lower version is one of another count."""
        return now - self._since >= ADOPT_AFTER_S and self._answers >= LEAST_TO_ADOPT

    def is_known_to_lag(self, now: float) -> bool:
        """Whether a replica was shown to lag a short time ago."""
        return now - self._lag_shown_at < LAG_MEMORY_S

    def show_lag(self, now: float) -> None:
        """An answer of the version held came behind them."""
        self._lag_shown_at = now

    def end(self) -> None:
        """An answer of the version held, or a later one, has come: nothing that they left in doubt holds."""
        self.lowest, self._since, self._answers = None, math.inf, 0
        self.doubts.clear()
