"""The plain front that deals out connections among the nodes: which node gets the next one.

It takes a node in once it was seen ready, and goes on dealing to a dead one until it notices. No I/O.
"""

from __future__ import annotations

from random import Random


class Front:
    """Which nodes the front takes for alive."""

    def __init__(self, notice_s: float, random: Random) -> None:
        self.notice_s, self.random = notice_s, random
        self.until: dict[int, float | None] = {}  # dealt to until then; None: as far as it knows, for good

    def ready(self, node: int) -> None:
        """A node answered that it is ready."""
        self.until[node] = None

    def ends(self, node: int, now: float, after_s: float | None = None) -> None:
        """A node has ended, or is about to; noticed after `after_s`, or the front's own time."""
        if node in self.until:
            self.until[node] = now + (self.notice_s if after_s is None else after_s)

    def deal(self, now: float) -> int | None:
        """The node for a new connection; None where none is believed alive."""
        self.until = {n: until for n, until in self.until.items() if until is None or now < until}
        return self.random.choice(sorted(self.until)) if self.until else None
