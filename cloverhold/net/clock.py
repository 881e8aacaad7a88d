"""The node's one clock."""

from __future__ import annotations

import time

from cloverhold.net.start_times import StartTimes


class Clock:
    """Monotonic, in ms, and what it knows of when servers started. The wall clock is read once, at the start."""

    def __init__(self) -> None:
        self.starts = StartTimes(time.time() * 1000 - self.now())

    def now(self) -> float:
        """Monotonic time in ms."""
        return time.monotonic() * 1000
