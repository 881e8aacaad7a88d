"""How late the kit's own loop is: a busy machine must not be blamed on the node."""

from __future__ import annotations

import asyncio
import gc

from cloverhold.rehearsal.ledger import Lag
from cloverhold.rehearsal.world import World

LAG_S = 0.005  # the loop's lag is sampled this often
TIDY_TICKS = 20  # samples from one collection of what is young to the next


def tidy() -> None:
    """Collect what is young, and let all else be.

    The ledger only grows, and a full collection walks all of it: that was most of the loop's lag. Cycles that
    live longer than a moment stay until the rehearsal is over; connections are their bound.
    """
    gc.collect(0)
    gc.freeze()


class LagMeter:
    """Samples how late the loop is; a row a second."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.row = Lag(0.0, 0)
        self.last_ms = 0.0  # the most of the last whole second
        self.due = self.second = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to sample."""
        self.second = self.world.now()
        self._arm()

    def _arm(self) -> None:
        self.due = self.world.now() + LAG_S
        self._timer = self.world.loop.call_later(LAG_S, self._tick)

    def _tick(self) -> None:
        now = self.world.now()
        # Timers of the loop are kept in whole ms: less than that says nothing.
        late_ms = 1000 * (now - self.due) - 1.0
        self.row.samples += 1
        if late_ms > 0:
            self.row.late_ms.append(round(late_ms, 2))
        if now - self.second >= 1.0:
            self._put(now)
        if self.row.samples % TIDY_TICKS == 0:
            tidy()
        self._arm()

    def _put(self, now: float) -> None:
        self.row.at_s = self.second = now
        self.last_ms = max(self.row.late_ms, default=0.0)
        self.world.ledger.rows.append(self.row)
        self.row = Lag(0.0, 0)

    def close(self) -> None:
        """Stop, with a row of what was seen last."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.row.samples:
            self._put(self.world.now())
