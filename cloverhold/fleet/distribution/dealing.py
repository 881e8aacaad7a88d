"""Which nodes serve which service, dealt by one place for all. Pure.

Jump consistent hashing (Lamping, Veach, 2014) names candidates; loads are bounded as by Mirrokni, Thorup and
Zadimoghaddam (Consistent Hashing with Bounded Loads, 2016); what was dealt before stays where the bounds allow it, so
that a death moves what the dead one held, and a newcomer takes what it needs to reach the lower bound.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from heapq import heapify, heappop, heappush
from math import ceil

Dealing = Mapping[str, tuple[int, ...]]  # by service, the numbers of its nodes; those that hold it longest first
MASK = (1 << 64) - 1
TRIES = 32  # candidates for one copy, before the fullest are passed over by search


@dataclass(frozen=True, slots=True)
class Place:
    """A node that services can be dealt to. weight: how much it bears beside others."""

    number: int
    zone: str = ""
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Service:
    """load: of all its requests, in any unit that is the same for all services."""

    name: str
    load: float = 1.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """copies: nodes a service at least; a heavy one gets as many as keep one copy's load at `share` of a node's mean.
    slack: by what part of the mean a node may bear more, or less.
    """

    copies: int = 10
    share: float = 0.25
    slack: float = 0.25

    def __post_init__(self) -> None:
        """Raises ValueError, naming the field, for bounds that nothing can keep."""
        if self.copies < 1:
            raise ValueError("copies: must be 1 at least")
        if not 0 < self.share <= 1:
            raise ValueError("share: must be above 0, and 1 at most")
        if not 0 < self.slack < 1:
            raise ValueError("slack: must be between 0 and 1")


def jump(key: int, buckets: int) -> int:
    """A key's bucket: one more bucket moves one key in as many, and only into the new one."""
    at, following = -1, 0
    while following < buckets:
        at = following
        key = (key * 2862933555777941757 + 1) & MASK
        following = int((at + 1) * ((1 << 31) / ((key >> 33) + 1)))
    return at


def _candidates(name: str, space: int) -> Iterator[tuple[int, float]]:
    """A service's numbers in its own order, with repetitions, each with a draw from 0 to 1."""
    at = 0
    while True:
        drawn = blake2b(f"{name}\0{at}".encode(), digest_size=16).digest()
        yield jump(int.from_bytes(drawn[:8], "big"), space), int.from_bytes(drawn[8:], "big") / (MASK + 1)
        at += 1


def copies_of(service: Service, mean: float, nodes: int, bounds: Bounds, before: int = 0) -> int:
    """How many nodes a service is dealt to. A few more than needed stay, so that loads may drift without moves."""
    needed = max(bounds.copies, ceil(service.load / (bounds.share * mean))) if mean > 0 else bounds.copies
    kept = before if needed <= before <= max(bounds.copies, needed * 5 // 4) else needed
    return min(kept, nodes)


class _Deal:
    """One dealing, being made."""

    def __init__(
        self, services: Collection[Service], places: Collection[Place], before: Dealing, bounds: Bounds
    ) -> None:
        self.places = {place.number: place for place in places}
        self.bounds, self.before = bounds, before
        self.space = 1 + max(self.places)
        self.heaviest = max(place.weight for place in places)
        self.mean = sum(service.load for service in services) / sum(place.weight for place in places)
        self.zones = len({place.zone for place in places})
        self.fill = dict.fromkeys(self.places, 0.0)
        self.count: dict[str, int] = {}
        self.share: dict[str, float] = {}
        self.most: dict[str, int] = {}  # of a service in one zone
        self.held: dict[str, list[int]] = {}
        self.zoned: dict[str, Counter[str]] = {}
        for service in services:
            count = copies_of(service, self.mean, len(self.places), bounds, len(before.get(service.name, ())))
            self.count[service.name], self.share[service.name] = count, service.load / count
            self.most[service.name] = ceil(count / self.zones)
            self.held[service.name], self.zoned[service.name] = [], Counter()
        # The heaviest first: what is large finds room only while there is much.
        self.order = sorted(self.share, key=lambda name: (-self.share[name], name))

    def upper(self, number: int) -> float:
        return (1 + self.bounds.slack) * self.mean * self.places[number].weight

    def lower(self, number: int) -> float:
        return (1 - self.bounds.slack) * self.mean * self.places[number].weight

    def enough(self, number: int) -> float:
        """What one under the lower bound is brought to: over it, so that the next small change finds it within."""
        return (1 - self.bounds.slack / 2) * self.mean * self.places[number].weight

    def zone_has_room(self, name: str, number: int) -> bool:
        return self.zoned[name][self.places[number].zone] < self.most[name]

    def fits(self, name: str, number: int) -> bool:
        """Also where one copy alone is more than the bound: somebody has to bear it."""
        return self.fill[number] == 0 or self.fill[number] + self.share[name] <= self.upper(number)

    def give(self, name: str, number: int) -> None:
        self.held[name].append(number)
        self.zoned[name][self.places[number].zone] += 1
        self.fill[number] += self.share[name]

    def take(self, name: str, number: int) -> None:
        self.held[name].remove(number)
        self.zoned[name][self.places[number].zone] -= 1
        self.fill[number] -= self.share[name]

    def keep(self) -> None:
        """What was dealt before, where it lives still; also over the bounds, until there is a better place."""
        for name in self.order:
            for number in self.before.get(name, ()):
                if len(self.held[name]) < self.count[name] and number in self.places and number not in self.held[name]:
                    self.give(name, number)

    def relieve(self) -> None:
        """What lies over a bound goes where it is within, if there is such a place."""
        for name in self.order:
            for number in reversed(self.held[name].copy()):
                crowded = self.zoned[name][self.places[number].zone] > self.most[name]
                over = self.fill[number] > self.upper(number) and self.fill[number] > self.share[name] > 0
                if crowded or over:
                    better = self._better(name, number, crowded)
                    if better is not None:
                        self.take(name, number)
                        self.give(name, better)

    def _better(self, name: str, number: int, crowded: bool) -> int | None:
        """The emptiest node that may take this copy without crossing a bound."""
        held, zone = set(self.held[name]), self.places[number].zone
        fitting = (
            n
            for n in self.places
            if n not in held
            and self.fill[n] + self.share[name] <= self.upper(n)
            and (self.zone_has_room(name, n) or (not crowded and self.places[n].zone == zone))
        )
        return min(fitting, key=lambda n: (self._fullness(n), n), default=None)

    def deal(self) -> None:
        """What is missing: to candidates with room, then to the emptiest."""
        for name in self.order:
            candidates = _candidates(name, self.space)
            tries = TRIES * (self.count[name] - len(self.held[name]))
            while len(self.held[name]) < self.count[name] and tries > 0:
                tries -= 1
                number, drawn = next(candidates)
                place = self.places.get(number)
                if place is not None and number not in self.held[name] and drawn * self.heaviest < place.weight:
                    if self.zone_has_room(name, number) and self.fits(name, number):
                        self.give(name, number)
            while len(self.held[name]) < self.count[name]:
                self.give(name, self._emptiest(name))

    def _emptiest(self, name: str) -> int:
        """The best node without this service: one whose zone has room before others, then the least full."""
        held = set(self.held[name])
        return min(
            (number for number in self.places if number not in held),
            key=lambda n: (
                not self.zone_has_room(name, n),
                self.zoned[name][self.places[n].zone] if not self.zone_has_room(name, n) else 0,
                (self.fill[n] + self.share[name]) / self.places[n].weight,
                n,
            ),
        )

    def even_out(self) -> None:
        """Nodes under the lower bound take copies from the fullest, which stay over it. Where nothing was dealt before
        nobody begins near it: the next death would move them all.
        """
        floor = self.lower if self.before else self.enough
        needy = sorted((n for n in self.places if self.fill[n] < floor(n)), key=lambda n: (self.fill[n], n))
        if not needy:
            return
        held_by: dict[int, list[str]] = defaultdict(list)
        for name in self.order:
            for number in self.held[name]:
                held_by[number].append(name)
        donors = [(-self._fullness(n), n) for n in self.places]
        heapify(donors)
        for number in needy:
            # Donors that stay well over the bound before those that just stay over it.
            for stay in (self.enough, self.lower):
                passed: list[int] = []
                while self.fill[number] < self.enough(number) and len(passed) < TRIES and donors:
                    fullness, donor = heappop(donors)
                    if fullness != -self._fullness(donor):  # it has given or taken since
                        heappush(donors, (-self._fullness(donor), donor))
                        continue
                    if -fullness <= self.mean:
                        heappush(donors, (fullness, donor))
                        break
                    given = self._given(held_by[donor], donor, number, self.fill[donor] - stay(donor))
                    if given is None:
                        passed.append(donor)
                        continue
                    self.take(given, donor)
                    self.give(given, number)
                    held_by[donor].remove(given)
                    held_by[number].append(given)
                    heappush(donors, (-self._fullness(donor), donor))
                for donor in passed:
                    heappush(donors, (-self._fullness(donor), donor))

    def _fullness(self, number: int) -> float:
        return self.fill[number] / self.places[number].weight

    def _given(self, names: list[str], donor: int, number: int, most: float) -> str | None:
        """What the donor can give of `most` load at most: its service's spread over zones is no worse for it."""
        zone = self.places[number].zone
        same = zone == self.places[donor].zone
        for name in names:
            if self.share[name] <= most and number not in self.held[name]:
                if (same or self.zoned[name][zone] < self.most[name]) and self.fits(name, number):
                    return name
        return None


def deal(
    services: Collection[Service],
    places: Collection[Place],
    before: Dealing | None = None,
    bounds: Bounds | None = None,
) -> dict[str, tuple[int, ...]]:
    """Who serves what from now on. The same for the same arguments, in whatever order they come.

    Nobody is dealt to where there are no nodes. Raises ValueError for a number, or a name, that comes twice.
    """
    if len({place.number for place in places}) != len(places):
        raise ValueError("places: a number comes twice")
    if len({service.name for service in services}) != len(services):
        raise ValueError("services: a name comes twice")
    if not places:
        return {service.name: () for service in services}
    made = _Deal(services, sorted(places, key=lambda p: p.number), before or {}, bounds or Bounds())
    made.keep()
    made.deal()
    made.relieve()
    made.even_out()
    return {name: tuple(made.held[name]) for name in sorted(made.held)}


def loads(dealing: Dealing, services: Collection[Service], places: Collection[Place]) -> dict[int, float]:
    """What each node bears, beside its weight."""
    by_name = {service.name: service.load for service in services}
    weights = {place.number: place.weight for place in places}
    borne = dict.fromkeys(weights, 0.0)
    for name, numbers in dealing.items():
        for number in numbers:
            borne[number] += by_name[name] / len(numbers) / weights[number]
    return borne


def moved(before: Dealing, after: Dealing) -> int:
    """Copies that came to a node that did not have them."""
    return sum(len(set(numbers) - set(before.get(name, ()))) for name, numbers in after.items())
