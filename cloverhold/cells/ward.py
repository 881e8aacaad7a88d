"""What is done with a key that harms servers: confined, and let out step by step. A state machine as a table.

A ward is confined to the quarantine's servers at a rate. A quiet time at one step leads to the next, with a higher
rate; after the last it is back in its cell, on probation; harm at any step leads back to the first, and each time that
happens the quiet time asked is doubled, up to `MOST_DOUBLINGS`. Rates hold at each node by itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MOST_DOUBLINGS = 4


class Step(Enum):
    """How far a ward is on its way out."""

    HELD = "held"
    EASED = "eased"
    PROBATION = "probation"
    FREE = "free"


class Sign(Enum):
    """What a ward shows."""

    HARM = "harm"
    QUIET = "quiet"


NEXT: dict[tuple[Step, Sign], Step] = {
    (Step.HELD, Sign.HARM): Step.HELD,
    (Step.HELD, Sign.QUIET): Step.EASED,
    (Step.EASED, Sign.HARM): Step.HELD,
    (Step.EASED, Sign.QUIET): Step.PROBATION,
    (Step.PROBATION, Sign.HARM): Step.HELD,
    (Step.PROBATION, Sign.QUIET): Step.FREE,
}


class Bucket:
    """A token bucket: so many a ms, a second's worth at once, at least one."""

    __slots__ = ("at", "saved")

    def __init__(self, now: float) -> None:
        self.saved, self.at = 1.0, now

    def take(self, rate: float, now: float) -> bool:
        """Take one, if there is one. rate: a ms."""
        self.saved = min(max(1.0, 1000 * rate), self.saved + rate * (now - self.at))
        self.at = now
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


@dataclass(frozen=True, slots=True)
class Terms:
    """How wards are held: how much one may send at the first two steps (0: nothing), the quiet time of each step."""

    held_per_s: float = 0.0
    eased_per_s: float = 1.0
    hold_ms: float = 30_000.0


class Ward:
    """One key in quarantine or on its way out."""

    __slots__ = ("bucket", "falls", "since", "step", "terms")

    def __init__(self, terms: Terms, now: float) -> None:
        self.terms = terms
        self.step, self.since, self.falls = Step.HELD, now, 0
        self.bucket = Bucket(now)

    def confined(self) -> bool:
        """Whether its requests go to the quarantine's servers and not to its cell."""
        return self.step in (Step.HELD, Step.EASED)

    def quiet_ms(self) -> float:
        """How long this step lasts without harm."""
        return self.terms.hold_ms * float(1 << self.falls)

    def harm(self, now: float) -> None:
        """It harms again."""
        self.step = NEXT[self.step, Sign.HARM]
        self.since, self.falls = now, min(self.falls + 1, MOST_DOUBLINGS)
        self.bucket.saved = min(self.bucket.saved, 1.0)

    def rest(self, now: float) -> bool:
        """Take the next step if it is time; whether it was."""
        if now - self.since < self.quiet_ms():
            return False
        self.step, self.since = NEXT[self.step, Sign.QUIET], now
        return True

    def admits(self, now: float) -> float:
        """Take one request in: 0 where it may go, else in how many ms the next one may, or the next step comes."""
        rate = (self.terms.held_per_s if self.step is Step.HELD else self.terms.eased_per_s) / 1000
        if not rate:
            return max(1.0, self.since + self.quiet_ms() - now)
        return 0.0 if self.bucket.take(rate, now) else (1 - self.bucket.saved) / rate
