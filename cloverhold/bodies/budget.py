"""The bytes of bodies that a whole process may hold at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

PART = 0.3  # of the memory that a process may use: the rest is the interpreter, tables, and copies on their way


class Budget:
    """Bytes held, of all bodies together, and those that wait for room, the longest waiting first.

    Taking never fails: what has come is there. It is the reading of more that waits while `spent()`.
    """

    def __init__(self, total: int) -> None:
        self.total, self.used = total, 0
        self._waiting: deque[Callable[[], None]] = deque()

    def take(self, count: int) -> None:
        """So many bytes more are held."""
        self.used += count

    def give(self, count: int) -> None:
        """So many are held no longer; who waits goes on while there is room."""
        self.used -= count
        while self._waiting and not self.spent():
            self._waiting.popleft()()

    def resize(self, total: int) -> None:
        """Another total; what is held stays."""
        self.total = total
        self.give(0)

    def spent(self) -> bool:
        """Whether nothing more should be read."""
        return self.used >= self.total

    def wait_no_more(self, ready: Callable[[], None]) -> None:
        """Whoever waited has gone; nothing where it did not wait."""
        if ready in self._waiting:
            self._waiting.remove(ready)

    def wait(self, ready: Callable[[], None]) -> None:
        """Be told once there is room."""
        self._waiting.append(ready)


def budget_of(memory_mb: float) -> int:
    """The bytes of a process that may use so much memory."""
    return int(PART * memory_mb * 1024 * 1024)
