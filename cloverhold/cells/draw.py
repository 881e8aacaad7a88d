"""Which servers a key's cell holds: a pure function of the key and the roster, equal at every node.

Rendezvous hashing (Thaler and Ravishankar, 1998): every server has a score for a key, and the highest k are the cell.
Spread over zones bounds how many of a zone a cell may hold. Sets within such bounds are a (truncated partition)
matroid, and the greedy walk down the scores finds its one best basis. Two things follow from that and are relied on:
a server that comes or goes changes at most one member of any cell, and the best basis of a roster to which servers are
added is that of the old basis and the added ones. So no more than a member is wrong for each server by which the
rosters of two nodes differ.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from heapq import nlargest

import xxhash

REMEMBERED = 64  # changes of the roster that a cell may be behind before it is drawn anew


@dataclass(frozen=True, slots=True)
class Member:
    """A server that cells may hold: ready, by its list entry. size: in parts of any unit, above 0."""

    name: str
    zone: str = ""
    size: float = 1.0
    warm_from: float = 0.0  # ms, from when on it has its whole capacity; before, `cold_part` of it
    cold_part: float = 1.0

    def absent(self) -> Member:
        """The same one while it is down: it keeps its place in cells and can do nothing."""
        return replace(self, warm_from=math.inf, cold_part=0.0)

    def capacity(self, now: float) -> float:
        """What it can really do now, in its unit of size."""
        return self.size if now >= self.warm_from else self.size * self.cold_part


def score(key: str, server: str) -> int:
    """A server's score for a key, 64 bits, the same on every machine (XXH3)."""
    return xxhash.xxh3_64_intdigest(server.encode(), xxhash.xxh3_64_intdigest(key.encode()))


def digest(name: str) -> str:
    """What stands for a name that is too long to keep."""
    return f"#{xxhash.xxh3_128_hexdigest(name.encode())}"


class Roster:
    """The servers that cells may hold, by version; a cell drawn at a late version is brought up to date cheaply."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.version = 0
        self.mean_size = 1.0
        self._zones: Counter[str] = Counter()
        self._changes: deque[tuple[frozenset[str], frozenset[str]]] = deque(maxlen=REMEMBERED)
        self._caps: dict[int, int] = {}

    def change(self, members: Mapping[str, Member]) -> bool:
        """Another roster; whether servers came or went. Sizes and warmth may change without a new version."""
        came = frozenset(members.keys() - self.members.keys())
        went = frozenset(self.members.keys() - members.keys())
        # Under another zone, started anew and cold, gone or back, it counts as another one under the same name.
        anew = frozenset(n for n, m in members.items() if (old := self.members.get(n)) is not None
                         and (old.zone != m.zone or old.warm_from != m.warm_from))  # fmt: skip
        came, went = came | anew, went | anew
        self.members = dict(members)
        self.mean_size = sum(m.size for m in members.values()) / len(members) if members else 1.0
        if not came and not went:
            return False
        self.version += 1
        self._changes.append((came, went))
        self._zones, self._caps = Counter(m.zone for m in members.values()), {}
        return True

    def cap(self, count: int) -> int:
        """The most servers of one zone in a cell of so many: as even as the zones' sizes allow."""
        cap = self._caps.get(count)
        if cap is None:
            need = min(count, len(self.members))
            cap = max(1, -(-count // max(1, len(self._zones))))
            while sum(min(cap, size) for size in self._zones.values()) < need:
                cap += 1
            self._caps[count] = cap
        return cap

    def since(self, version: int) -> tuple[frozenset[str], frozenset[str]] | None:
        """Which came and which went after a version; None where that is too long ago to know."""
        behind = self.version - version
        if behind > len(self._changes):
            return None
        came: frozenset[str] = frozenset()
        went: frozenset[str] = frozenset()
        for new, gone in list(self._changes)[len(self._changes) - behind :]:
            went |= gone
            came = (came - gone) | new
        return came, went

    def draw(self, key: str, count: int) -> tuple[str, ...]:
        """The cell of a key: so many servers, or all where there are fewer; the highest score first."""
        return self._greedy(key, self.members, count)

    def redraw(self, key: str, count: int, old: Sequence[str], version: int) -> tuple[str, ...]:
        """The same cell as `draw` finds, from the one drawn at an earlier version.

        Costs what changed, unless one of its members went. The bound on a zone may have changed too: it rises only
        where a smaller zone is wholly in the cell and loses a member, and falls only with what came to such a zone.
        """
        changes = self.since(version)
        if changes is None or not changes[1].isdisjoint(old):
            return self.draw(key, count)
        came = changes[0] & self.members.keys()
        if not came:
            return tuple(old)
        return self._greedy(key, [*old, *sorted(came - set(old))], count)

    def next_best(self, key: str, count: int, cell: Sequence[str]) -> list[str]:
        """The next servers in a key's order that its cell does not hold, whatever their zone."""
        held = set(cell)
        return self._ranked(key, (n for n in self.members if n not in held), count)

    def _ranked(self, key: str, names: Iterable[str], count: int) -> list[str]:
        seed, digest = xxhash.xxh3_64_intdigest(key.encode()), xxhash.xxh3_64_intdigest
        best = nlargest(count, [(digest(name.encode(), seed), name) for name in names])  # `score`, spelt out
        return [name for _, name in best]

    def _greedy(self, key: str, names: Iterable[str], count: int) -> tuple[str, ...]:
        names, cap = list(names), self.cap(count)
        for upto in (4 * count + 8, len(names)):  # nearly always the first few are enough
            taken: list[str] = []
            zones: Counter[str] = Counter()
            for name in self._ranked(key, names, upto):
                zone = self.members[name].zone
                if zones[zone] < cap:
                    zones[zone] += 1
                    taken.append(name)
                    if len(taken) == count:
                        return tuple(taken)
            if upto >= len(names):
                return tuple(taken)
        return tuple(taken)


def partition(members: Iterable[str], cells: Sequence[str]) -> dict[str, tuple[str, ...]]:
    """Fixed cells: each server in one of them, sizes equal to within one.

    Servers go in the order of a hash to the cell of their highest score that has room (bounded loads: Mirrokni,
    Thorup and Zadimoghaddam, 2018). A change of one server moves few others.
    """
    order = sorted(members, key=lambda name: (score("order", name), name))
    least, spare = divmod(len(order), len(cells))
    held: dict[str, list[str]] = {cell: [] for cell in cells}
    larger = 0
    for name in order:
        for _, cell in sorted(((score(cell, name), cell) for cell in cells), reverse=True):
            size = len(held[cell])
            if size < least or (size == least and larger < spare):
                larger += size == least
                held[cell].append(name)
                break
    return {cell: tuple(sorted(names)) for cell, names in held.items()}
