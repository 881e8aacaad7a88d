"""The bytes that a whole process may hold for its peers at once: of requests, of answers, and of what waits to be read.

What is held is counted by what it costs here, from its first byte on, and not by its bytes on the wire. Taking never
fails: what has come is there. It is the reading of more that waits while the budget is spent. Long bodies may use a
part of it only, so that requests of a usual size go on while many long ones are on their way.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

PART = 0.3  # of the memory that a process may use: the rest is the interpreter, tables, and copies on their way
PROCESS_MB = 30.0  # the interpreter, the modules and the tables of a small fleet
HEADROOM_PART = 0.5  # of what is left beside these; the other half is for connections, and what the allocator keeps
LEAST_BYTES = 1024 * 1024
LEAST_CLIENTS = 64
LONG_BODIES_PART = 0.6
LEAST_COUNTED_BYTES = 4 * 1024  # of one connection
# Of one field of a head, beside its bytes: a tuple, three objects, a place in a list and in a table that grows.
FIELD_COST_BYTES = 320
# Of one client's connection: its objects, a request that is open on it, and the connection to a server for that.
CONNECTION_COST_BYTES = 8 * 1024
# What any connection may hold, and what is read of it at once: a usual head costs some 3 KB.
LEAST_ALLOWANCE_BYTES, MOST_ALLOWANCE_BYTES = 4 * 1024, 16 * 1024
ALLOWANCES_PART = 0.5  # of the budget, of all clients together


class Budget:
    """Bytes held, and those that wait for room, the longest waiting first."""

    def __init__(self, total: int, peers: int = 1) -> None:
        """peers: clients that may be connected at once."""
        self.total, self.used = total, 0
        # Held for any connection though the budget is spent, and read of it at once.
        self.allowance = min(MOST_ALLOWANCE_BYTES, max(LEAST_ALLOWANCE_BYTES, int(ALLOWANCES_PART * total / peers)))
        self._waiting: deque[Callable[[], None]] = deque()
        self._long_waiting: deque[Callable[[], None]] = deque()

    def take(self, count: int) -> None:
        """So many bytes more are held."""
        self.used += count

    def give(self, count: int) -> None:
        """So many are held no longer; who waits goes on while there is room."""
        self.used -= count
        for waiting, is_long in ((self._waiting, False), (self._long_waiting, True)):
            for _ in range(len(waiting)):  # each at most once: it may have to wait again
                if not waiting or self.spent(long_body=is_long):
                    break
                waiting.popleft()()

    def resize(self, total: int) -> None:
        """Another total; what is held stays."""
        self.total = total
        self.give(0)

    def spent(self, *, long_body: bool = False) -> bool:
        """Whether nothing more should be read; long_body: of a body that is longer than usual."""
        return self.used >= (LONG_BODIES_PART * self.total if long_body else self.total)

    def waiting(self) -> int:
        """How many wait for room."""
        return len(self._waiting) + len(self._long_waiting)

    def wait_no_more(self, ready: Callable[[], None]) -> None:
        """Whoever waited has gone; nothing where it did not wait."""
        for waiting in (self._waiting, self._long_waiting):
            if ready in waiting:
                waiting.remove(ready)

    def wait(self, ready: Callable[[], None], *, long_body: bool = False) -> None:
        """Be told once there is room."""
        (self._long_waiting if long_body else self._waiting).append(ready)


class Holding:
    """What one peer's connection holds in a budget, stated anew as it changes."""

    __slots__ = ("_counted", "budget", "count")

    def __init__(self, budget: Budget) -> None:
        self.budget, self.count, self._counted = budget, 0, 0

    def set(self, count: int) -> None:
        """So many bytes are held now."""
        self.count = count
        before, self._counted = self._counted, count if count >= LEAST_COUNTED_BYTES else 0
        if self._counted > before:
            self.budget.take(self._counted - before)
        elif self._counted < before:
            self.budget.give(before - self._counted)


def budget_of(memory_mb: float) -> int:
    """The bytes of a process that may use so much memory."""
    most_mb = min(PART * memory_mb, HEADROOM_PART * (memory_mb - PROCESS_MB))
    return max(LEAST_BYTES, int(most_mb * 1024 * 1024))


def clients_within(memory_mb: float) -> int:
    """The most clients whose connections fit beside the budget."""
    left_mb = max(0.0, memory_mb - PROCESS_MB) - budget_of(memory_mb) / 1024 / 1024
    return max(LEAST_CLIENTS, int(left_mb * 1024 * 1024 / CONNECTION_COST_BYTES))
