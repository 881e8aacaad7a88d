"""What is due when, in simulated time. No clock is read: `run` jumps from one due call to the next."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Timeline:
    """Calls by the time at which they are due, in ms; those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._set = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        """Call then; at once, in its turn, where that time has passed."""
        self._set += 1
        heappush(self._due, (max(when, self.now), self._set, call, args))

    def after(self, ms: float, call: Callable[..., None], *args: Any) -> None:
        """Call this many ms from now."""
        self.at(self.now + ms, call, *args)

    def run(self, until: float) -> None:
        """Let time pass to `until`, in ms, with all that is due up to then."""
        due = self._due
        while due and due[0][0] <= until:
            when, _, call, args = heappop(due)
            self.now = when
            call(*args)
        self.now = max(self.now, until)
