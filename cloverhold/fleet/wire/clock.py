"""The fleet's one clock: it counts the time that the machine or the process slept."""

from __future__ import annotations

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)  # the latter stands still while a machine sleeps


def now_ms() -> float:
    """Milliseconds since some moment; never back, whatever happens to the time of day."""
    return time.clock_gettime_ns(_CLOCK) / 1e6
