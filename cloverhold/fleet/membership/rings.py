"""Who watches whom: some rings of all living members, each in an order of its own. Pure.

A member's successor in a ring watches it. After Rapid's K observers (Suresh and others, 2018): a member that comes or
goes changes the watches of its neighbours and no other.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable

_MASK = (1 << 64) - 1


def _place(ring: int, number: int) -> int:
    """A number's place in a ring: the finalizer of SplitMix64 (Steele and others, 2014)."""
    z = (number * 0x9E3779B97F4A7C15 + (ring + 1) * 0xD1B54A32D192ED03) & _MASK
    z = ((z ^ (z >> 30)) * 0xBF58476D1CE4E5B9) & _MASK
    z = ((z ^ (z >> 27)) * 0x94D049BB133111EB) & _MASK
    return z ^ (z >> 31)


class Rings:
    """The living, in each ring's order."""

    def __init__(self, count: int) -> None:
        self.rings: list[list[tuple[int, int]]] = [[] for _ in range(count)]

    def add(self, number: int) -> None:
        for at, ring in enumerate(self.rings):
            insort(ring, (_place(at, number), number))

    def remove(self, number: int) -> None:
        for at, ring in enumerate(self.rings):
            del ring[bisect_left(ring, (_place(at, number), number))]

    def replace(self, numbers: Iterable[int]) -> None:
        """Hold these and no others."""
        held = list(numbers)
        for at in range(len(self.rings)):
            self.rings[at] = sorted((_place(at, number), number) for number in held)

    def watchers(self, number: int) -> set[int]:
        """Those that watch a member: fewer than the rings where one follows it in several."""
        return self._beside(number, 1)

    def subjects(self, number: int) -> set[int]:
        """Those that a member watches."""
        return self._beside(number, -1)

    def _beside(self, number: int, step: int) -> set[int]:
        found = set()
        for at, ring in enumerate(self.rings):
            if len(ring) > 1:
                found.add(ring[(bisect_left(ring, (_place(at, number), number)) + step) % len(ring)][1])
        found.discard(number)
        return found
