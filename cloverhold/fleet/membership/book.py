"""What a node holds of each number: the latest claim, and since when. Pure.

What is asked at each turn (one of the others, one that is away, a part of the entries) costs no walk over the numbers:
the living lie in order beside their set, and the entries in a list beside their table.

| held  | claim of a later key | same key, alive | same key, dead           | same key, left |
| ----- | -------------------- | --------------- | ------------------------ | -------------- |
| none  | NEWS                 |                 |                          |                |
| alive | NEWS                 | KNOWN           | DENIED: to be looked into | NEWS           |
| dead  | NEWS                 | KNOWN           | KNOWN                    | NEWS           |
| left  | NEWS                 | KNOWN           | KNOWN                    | KNOWN          |

A claim of an earlier key is OLD. A key is incarnation and life.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

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
        self.order: list[int] = []  # the same, the lowest first
        self.drawn: tuple[int, ...] | None = None  # the same as a view; None where it is to be drawn anew
        self.numbers: list[int] = []  # of the entries, in the order in which they came
        self.fallen: set[int] = set()  # entries that are not alive
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
        number, alive = claim.number, claim.state is State.ALIVE
        if alive and number not in self.living:
            self.living.add(number)
            insort(self.order, number)
            self.rings.add(number)
            self.fallen.discard(number)
            self.changes, self.drawn = self.changes + 1, None
        elif not alive and number in self.living:
            self.living.discard(number)
            del self.order[bisect_left(self.order, number)]
            self.rings.remove(number)
            self.changes, self.drawn = self.changes + 1, None
        if not alive:
            self.fallen.add(number)
        if old is None:
            self.numbers.append(number)
        self.entries[number] = Entry(claim, now, why)

    def bury(self, number: int, now: float, why: str) -> None:
        """A living number is dead."""
        self.put(replace(self.entries[number].claim, state=State.DEAD, over=0), now, why)

    def alive(self, number: int) -> Claim | None:
        """The claim of a living number."""
        entry = self.entries.get(number)
        return entry.claim if entry is not None and entry.claim.state is State.ALIVE else None

    # ----------------------------------------------------------------------------------------------- the living

    def view(self) -> tuple[int, ...]:
        """The living, the lowest number first."""
        if self.drawn is None:
            self.drawn = tuple(self.order)
        return self.drawn

    def others(self, me: int) -> int:
        """How many live beside this one."""
        return len(self.order) - (me in self.living)

    def some(self, chance: Random, count: int, me: int) -> list[int]:
        """So many of the others, or all, drawn without putting back."""
        others = self.others(me)
        at = bisect_left(self.order, me) if me in self.living else others
        return [self.order[n + (n >= at)] for n in chance.sample(range(others), min(count, others))]

    def away(self, chance: Random, me: int, peers: int) -> int | None:
        """One of the numbers below `peers` that is neither alive nor `me`; None where there is none."""
        known = self.living if me in self.living or me >= peers else {*self.living, me}
        order = self.order if known is self.living else sorted(known)
        within = bisect_left(order, peers)
        if within == peers:
            return None
        nth = chance.choice(range(peers - within))
        # Below order[n] lie order[n] - n numbers that are away.
        return nth + bisect_left(range(within), nth + 1, key=lambda n: order[n] - n)

    def digest(self) -> Digest:
        return Digest(self.sum, len(self.living))

    def forget(self, now: float, after_ms: float) -> None:
        """Drop the dead and those that left that have been so for long enough."""
        gone = [number for number in self.fallen if now - self.entries[number].since > after_ms]
        for number in gone:
            del self.entries[number]
            self.fallen.discard(number)
        if gone:
            self.numbers = list(self.entries)

    def part(self, most: int) -> Iterator[Claim]:
        """Up to so many entries, going on where the last part ended."""
        numbers = self.numbers
        for step in range(min(most, len(numbers))):
            claim = self.entries[numbers[(self.cursor + step) % len(numbers)]].claim
            yield claim
        self.cursor = (self.cursor + most) % max(1, len(numbers))

    def clear(self) -> None:
        """Know nobody."""
        self.entries.clear()
        self.numbers.clear()
        self.fallen.clear()
        self.living.clear()
        self.order.clear()
        self.drawn = None
        self.rings.replace(())
        self.sum = 0
        self.changes += 1
