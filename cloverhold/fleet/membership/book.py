"""What a node holds of each number: the latest claim, and since when. Pure.

| held  | claim of a later key | same key, alive | same key, dead           | same key, left |
| ----- | -------------------- | --------------- | ------------------------ | -------------- |
| none  | NEWS                 |                 |                          |                |
| alive | NEWS                 | KNOWN           | DENIED: to be looked into | NEWS           |
| dead  | NEWS                 | KNOWN           | KNOWN                    | NEWS           |
| left  | NEWS                 | KNOWN           | KNOWN                    | KNOWN          |

A claim of an earlier key is OLD. A key is incarnation and life.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from cloverhold.fleet.membership.rings import Rings
from cloverhold.fleet.wire.datagrams import Claim, Digest, State

_MIX = (1 << 32) - 1


class Reading(Enum):
    """How a claim stands to what is held."""

    NEWS = "news"
    KNOWN = "known"
    DENIED = "denied"  # it calls dead what is alive here
    OLD = "old"


@dataclass(slots=True)
class Entry:
    """One number. since: ms, when it came to stand so."""

    claim: Claim
    since: float
    why: str


def _hash(claim: Claim) -> int:
    mixed = (claim.number * 0x9E3779B1 ^ claim.incarnation * 0x85EBCA6B ^ claim.life * 0xC2B2AE35) & _MIX
    return ((mixed ^ (mixed >> 15)) * 0x2C1B3C6D) & _MIX


class Book:
    """All numbers that this node has heard of, the living in their rings."""

    def __init__(self, rings: int) -> None:
        self.entries: dict[int, Entry] = {}
        self.rings = Rings(rings)
        self.living: set[int] = set()
        self.sum = 0  # of the living
        self.changes = 0  # rises with each change of who is alive
        self.cursor = 0  # where the next part of the entries begins

    def read(self, claim: Claim) -> Reading:
        """How a claim stands to what is held."""
        held = self.entries.get(claim.number)
        if held is None or claim.key() > held.claim.key():
            return Reading.NEWS
        if claim.key() < held.claim.key():
            return Reading.OLD
        if claim.state <= held.claim.state:
            return Reading.KNOWN
        if claim.state is State.DEAD:
            return Reading.DENIED
        return Reading.NEWS

    def put(self, claim: Claim, now: float, why: str) -> None:
        """Hold this of a number from now on."""
        old = self.entries.get(claim.number)
        if old is not None and old.claim.state is State.ALIVE:
            self.sum ^= _hash(old.claim)
        if claim.state is State.ALIVE:
            self.sum ^= _hash(claim)
        alive = claim.state is State.ALIVE
        if alive and claim.number not in self.living:
            self.living.add(claim.number)
            self.rings.add(claim.number)
            self.changes += 1
        elif not alive and claim.number in self.living:
            self.living.discard(claim.number)
            self.rings.remove(claim.number)
            self.changes += 1
        self.entries[claim.number] = Entry(claim, now, why)

    def bury(self, number: int, now: float, why: str) -> None:
        """A living number is dead."""
        self.put(replace(self.entries[number].claim, state=State.DEAD, over=0), now, why)

    def alive(self, number: int) -> Claim | None:
        """The claim of a living number."""
        entry = self.entries.get(number)
        return entry.claim if entry is not None and entry.claim.state is State.ALIVE else None

    def digest(self) -> Digest:
        return Digest(self.sum, len(self.living))

    def forget(self, now: float, after_ms: float) -> None:
        """Drop the dead and those that left that have been so for long enough."""
        gone = [
            number for number, entry in self.entries.items()
            if entry.claim.state is not State.ALIVE and now - entry.since > after_ms
        ]  # fmt: skip
        for number in gone:
            del self.entries[number]

    def part(self, most: int) -> Iterator[Claim]:
        """Up to so many entries, going on where the last part ended."""
        numbers = list(self.entries)
        for step in range(min(most, len(numbers))):
            claim = self.entries[numbers[(self.cursor + step) % len(numbers)]].claim
            yield claim
        self.cursor = (self.cursor + most) % max(1, len(numbers))

    def clear(self) -> None:
        """Know nobody."""
        self.entries.clear()
        self.living.clear()
        self.rings.replace(())
        self.sum = 0
        self.changes += 1
