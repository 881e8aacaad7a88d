"""What a process says of itself, and what it does when others say otherwise. Pure.

| said of this number, of a key not below its own | answer |
| --- | --- |
| alive, another life, over this life | OUTBID: a process that began later runs, and holds the number |
| alive, another life, over none or a third | RAISED: a claim above it and over that life |
| alive, this life | its incarnation is taken over |
| dead or left | WAITS: later a claim of a higher incarnation; no view, where a member not in doubt says so |

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
        self.called_dead = False  # by a living member that is not in doubt
        self.wait_ms = 0.0

    def above(self, claim: Claim) -> Claim:
        """The claim of this process that stands over another one of its number."""
        rival = claim.life if claim.state is State.ALIVE and claim.life != self.claim.life else self.claim.over
        return replace(self.claim, incarnation=max(claim.incarnation, self.claim.incarnation) + 1, over=rival)

    def told(self, claim: Claim, now: float, *, trusted: bool) -> Answer:
        """Others say this of the number. trusted: by a living member that is not in doubt."""
        if claim.key() < self.claim.key() or claim == self.claim:
            return Answer.NOTHING
        if claim.state is State.ALIVE and claim.life != self.claim.life:
            return Answer.OUTBID if claim.over == self.claim.life else Answer.RAISED
        if claim.state is State.ALIVE:
            self.claim = replace(self.claim, incarnation=claim.incarnation)
            return Answer.NOTHING
        if self.refute_at is not None:
            self.called_dead = self.called_dead or trusted
            return Answer.NOTHING
        self.refuted = [at for at in self.refuted if now - at < REFUTED_MS]
        self.wait_ms = min(REFUTE_MOST_MS, REFUTE_FIRST_MS * 2 ** (len(self.refuted) - 1)) if self.refuted else 0.0
        self.refute_at, self.called_dead = now + self.wait_ms, trusted
        self.claim = replace(self.claim, incarnation=max(self.claim.incarnation, claim.incarnation))
        return Answer.WAITS

    def refutation(self, now: float) -> Claim | None:
        """The claim that refutes a death, once it is time."""
        if self.refute_at is None or now < self.refute_at:
            return None
        self.refute_at, self.called_dead = None, False
        self.refuted.append(now)
        return replace(self.claim, incarnation=self.claim.incarnation + 1)

    def settle(self) -> None:
        """Whatever it was called does not matter any more."""
        self.refute_at, self.called_dead = None, False
