"""What happens to words on their way between simulated processes. Pure, from the source of chance that it is given."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from typing import Any


@dataclass(slots=True)
class Network:
    """Words between processes, which their users name as they like."""

    loss: float = 0.0
    twice: float = 0.0
    least_ms: float = 0.3
    most_ms: float = 2.0
    late: float = 0.0  # part of them that takes up to `late_ms`, past others
    late_ms: float = 400.0
    cut: Callable[[Any, Any, float], bool] = lambda sender, to, now: False

    def ways(self, sender: Any, to: Any, now: float, chance: Random) -> Iterator[float]:
        """For each copy of a word that arrives, how long it takes, in ms."""
        for _ in range(1 + (self.twice > 0 and chance.random() < self.twice)):
            if (self.loss and chance.random() < self.loss) or self.cut(sender, to, now):
                continue
            way = self.least_ms + chance.random() * (self.most_ms - self.least_ms)
            if self.late and chance.random() < self.late:
                way += chance.random() * self.late_ms
            yield way
