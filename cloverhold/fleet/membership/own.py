"""What a process says of itself, and what it does when others say otherwise. Pure.

| said of this number, of a key not below its own | answer |
| --- | --- |
| alive, another life, over this life | OUTBID: a process that began later runs, and holds the number |
| alive, another life, over none or a third | RAISED: a claim above it and over that life |
| alive, this life | its incarnation is taken over |
| dead or left | WAITS: later a claim of a higher incarnation; no view, where two members not in doubt say so |

The wait is nothing the first time and grows within a minute: 1 s, 2 s, ... 10 s. That bounds the changes of state.
"""

from __future__ import annotations

from dataclasses import replace
from enum import Enum

from cloverhold.fleet.wire.datagrams import Claim, State

REFUTED_MS, REFUTE_FIRST_MS, REFUTE_MOST_MS = 60_000.0, 1000.0, 10_000.0


class Answer(Enum):
    """What comes of a word on this number."""

    NOTHING = "nothing"
    OUTBID = "outbid"
    RAISED = "raised"
    WAITS = "waits"


class Own:
    """The claim of this process, and the refutation that waits."""

    def __init__(self, claim: Claim) -> None:
        self.claim = claim
        self.refuted: list[float] = []  # when, within the last minute
        self.refute_at: float | None = None
        self.callers: set[int] = set()  # living members, not in doubt, that call it dead since it waits
        self.wait_ms = 0.0

    def above(self, claim: Claim) -> Claim:
        """The claim of this process that stands over another one of its number."""
        rival = claim.life if claim.state is State.ALIVE and claim.life != self.claim.life else self.claim.over
        return replace(self.claim, incarnation=max(claim.incarnation, self.claim.incarnation) + 1, over=rival)

    def called_dead(self, living: int) -> bool:
        """Whether this process is out, as far as it can know: two of the others say so, or the one that there is. One
        alone may be confused itself. living: how many members it knows, itself among them.
        """
        return len(self.callers) >= max(1, min(2, living - 1))

    def told(self, claim: Claim, now: float, *, by: int | None) -> Answer:
        """Others say this of the number. by: the living member, not in doubt, whose word it is; None of any other."""
        if claim.key() < self.claim.key() or claim == self.claim:
            return Answer.NOTHING
        if claim.state is State.ALIVE and claim.life != self.claim.life:
            return Answer.OUTBID if claim.over == self.claim.life else Answer.RAISED
        if claim.state is State.ALIVE:
            self.claim = replace(self.claim, incarnation=claim.incarnation)
            return Answer.NOTHING
        if by is not None:
            self.callers.add(by)
        if self.refute_at is not None:
            return Answer.NOTHING
        self.refuted = [at for at in self.refuted if now - at < REFUTED_MS]
        self.wait_ms = min(REFUTE_MOST_MS, REFUTE_FIRST_MS * 2 ** (len(self.refuted) - 1)) if self.refuted else 0.0
        self.refute_at = now + self.wait_ms
        self.claim = replace(self.claim, incarnation=max(self.claim.incarnation, claim.incarnation))
        return Answer.WAITS

    def refutation(self, now: float) -> Claim | None:
        """The claim that refutes a death, once it is time."""
        if self.refute_at is None or now < self.refute_at:
            return None
        self.settle()
        self.refuted.append(now)
        return replace(self.claim, incarnation=self.claim.incarnation + 1)

    def settle(self) -> None:
        """Whatever it was called does not matter any more."""
        self.refute_at = None
        self.callers.clear()
