"""What a node notices of itself by its own clock, before it blames another. Pure."""

from __future__ import annotations

from collections import deque

MEMORY_MS = 5000.0  # how long a late turn is remembered
TWICE, MOST = 2.0, 3.0  # the window grows by twice the lateness, up to three times


class Lateness:
    """How late the loop's turns have been."""

    def __init__(self, tick_ms: float, asleep_ms: float) -> None:
        """tick_ms: what is less late than this is not remembered."""
        self.tick, self.asleep = tick_ms, asleep_ms
        self.turned: float | None = None
        self.late: deque[tuple[float, float]] = deque()  # when and by how much; falling amounts

    def turn(self, now: float, rest_ms: float) -> bool:
        """The loop turned, and was to rest for `rest_ms` at most; whether it had been stopped before."""
        gap = now - self.turned if self.turned is not None else 0.0
        self.turned = now
        late = gap - rest_ms
        if late > self.tick:
            while self.late and self.late[-1][1] <= late:
                self.late.pop()
            self.late.append((now, late))
        while self.late and now - self.late[0][0] > MEMORY_MS:
            self.late.popleft()
        return gap >= self.asleep

    def stretch(self, window_ms: float) -> float:
        """The window of a node as late as this one."""
        worst = self.late[0][1] if self.late else 0.0
        return min(MOST * window_ms, window_ms + TWICE * worst)
