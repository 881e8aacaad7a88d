"""The node's one clock."""

from __future__ import annotations

import time


class Clock:
    """Monotonic, in ms. The offset to Unix time is fixed: else a server's start time would seem to move, and
    the module would take it for a new, cold process.
    """

    def __init__(self) -> None:
        self._unix_offset = time.time() * 1000 - self.now()

    def now(self) -> float:
        return time.monotonic() * 1000

    def to_unix(self, ms: float) -> float:
        return ms + self._unix_offset

    def from_unix(self, unix_ms: float) -> float:
        return unix_ms - self._unix_offset
