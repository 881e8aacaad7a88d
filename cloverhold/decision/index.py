"""Structures in which a table of servers is found by what is asked of it. They decide nothing.

Items are hashed by identity and kept in insertion order, never in the order of addresses: equal events give equal
draws. Costs are stated for n items; "log" is of n.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Hashable, Iterator
from heapq import heapify, heappop, heappush
from random import Random
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)
T = TypeVar("T", bound=Hashable)


class Choice(Generic[T]):
    """A set that is drawn from at random, each item with the same probability. All constant."""

    __slots__ = ("items", "places")

    def __init__(self) -> None:
        self.items: list[T] = []
        self.places: dict[T, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: object) -> bool:
        return item in self.places

    def add(self, item: T) -> None:
        """Take it in; nothing where it is in."""
        if item not in self.places:
            self.places[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: T) -> None:
        """Take it out; nothing where it is not in. The last one takes its place."""
        at = self.places.pop(item, None)
        if at is None:
            return
        last = self.items.pop()
        if last is not item:
            self.items[at] = last
            self.places[last] = at

    def sample(self, random: Random, count: int) -> list[T]:
        """So many distinct ones at random, or all where there are fewer."""
        items = self.items
        if count == 1 and items:
            return [items[int(random.random() * len(items))]]
        return random.sample(items, min(count, len(items)))


class Level(Generic[T]):
    """Items by row, and the lowest row: logarithmic in the number of distinct rows."""

    __slots__ = ("heap", "rows")

    def __init__(self) -> None:
        self.rows: dict[int, Choice[T]] = {}
        self.heap: list[int] = []  # every row that has items; also some that have none any more

    def add(self, row: int, item: T) -> None:
        group = self.rows.get(row)
        if group is None:
            group = self.rows[row] = Choice()
            heappush(self.heap, row)
            if len(self.heap) > 2 * len(self.rows) + 16:  # rows that come and go leave copies behind
                self.heap = list(self.rows)
                heapify(self.heap)
        group.add(item)

    def discard(self, row: int, item: T) -> None:
        group = self.rows[row]
        group.discard(item)
        if not group.items:
            del self.rows[row]

    def lowest(self) -> int:
        """The lowest row that has an item; the level must not be empty."""
        heap, rows = self.heap, self.rows
        while heap[0] not in rows:
            heappop(heap)
        return heap[0]


class Index(Generic[K, T]):
    """Items filed under a key (what makes them alike), a load (what a bound is held against) and a row.

    A search reads each key's loads and the lowest row of each: its cost grows with the kinds of items and with the
    distinct loads, both few, and not with the items.
    """

    __slots__ = ("buckets", "places")

    def __init__(self) -> None:
        self.buckets: dict[K, dict[float, Level[T]]] = {}
        self.places: dict[T, tuple[K, float, int]] = {}

    def __len__(self) -> int:
        return len(self.places)

    def file(self, item: T, key: K, load: float, row: int) -> None:
        """File an item there, from wherever it was."""
        place, old = (key, load, row), self.places.get(item)
        if old == place:
            return
        if old is not None:
            self._take(item, old)
        self.places[item] = place
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = {}
        level = bucket.get(load)
        if level is None:
            level = bucket[load] = Level()
        level.add(row, item)

    def drop(self, item: T) -> tuple[K, float, int] | None:
        """Take an item out; where it was, None where it was not filed."""
        place = self.places.pop(item, None)
        if place is not None:
            self._take(item, place)
        return place

    def _take(self, item: T, place: tuple[K, float, int]) -> None:
        key, load, row = place
        bucket = self.buckets[key]
        level = bucket[load]
        level.discard(row, item)
        if not level.rows:
            del bucket[load]
            if not bucket:
                del self.buckets[key]


class Agenda(Generic[T]):
    """When each item is next due. Setting a time is constant where it is later than the last, else logarithmic."""

    __slots__ = ("_heap", "_number", "_queued", "at")

    def __init__(self) -> None:
        self.at: dict[T, float] = {}
        self._queued: dict[T, float] = {}  # the earliest entry of each in the heap
        self._heap: list[tuple[float, int, T]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self.at)

    def set(self, item: T, at: float) -> None:
        """The item's one time from now on; never where it is infinite."""
        if at == math.inf:
            self.at.pop(item, None)
            return
        self.at[item] = at
        if at < self._queued.get(item, math.inf):
            self._push(item, at)
            if len(self._heap) > 2 * len(self.at) + 64:
                self._rebuild()

    def discard(self, item: T) -> None:
        self.at.pop(item, None)

    def _push(self, item: T, at: float) -> None:
        self._number += 1
        self._queued[item] = at
        heappush(self._heap, (at, self._number, item))

    def _rebuild(self) -> None:
        self._queued = dict(self.at)
        self._heap = [(at, number, item) for number, (item, at) in enumerate(self.at.items())]
        self._number = len(self._heap)
        heapify(self._heap)

    def next(self) -> float:
        """When the first item is due; infinite where none is."""
        while self._heap:
            at, _, item = self._heap[0]
            true = self.at.get(item)
            if true == at:
                return at
            heappop(self._heap)
            if self._queued.get(item) == at:
                del self._queued[item]
                if true is not None:
                    self._push(item, true)
        return math.inf

    def stirs(self, now: float) -> bool:
        """Whether an item may be due: cheap, and seldom wrong."""
        return bool(self._heap) and self._heap[0][0] <= now

    def due(self, now: float) -> Iterator[T]:
        """Take out the items that are due, in order of time. Each may be set again meanwhile, for later."""
        while self.stirs(now) and self.next() <= now:
            _, _, item = heappop(self._heap)
            del self.at[item]
            self._queued.pop(item, None)
            yield item


class Prefix(Generic[T]):
    """The first items of an order up to the n-th that is well, and the first n; kept by steps.

    An item that comes or goes costs a shift of a list (some microseconds at 10,000), a turn from well to unwell and
    back the steps by which the edge moves. `changed` is told each item that got into either part, or out of it.
    """

    __slots__ = ("_changed", "_ranks", "count", "edge", "first", "inside", "items", "leading", "well", "wells")

    def __init__(self, changed: Callable[[T], None]) -> None:
        self._changed = changed
        self._ranks: list[float] = []
        self.items: list[T] = []
        self.count = 1
        self.edge = self.first = self.wells = 0  # how many are inside, lead, and are well inside
        self.inside: set[T] = set()
        self.leading: set[T] = set()
        self.well: set[T] = set()

    def resize(self, count: int) -> None:
        """Another n."""
        if count != self.count:
            self.count = count
            self._settle()

    def add(self, rank: float, item: T, *, well: bool) -> None:
        """A new item."""
        at = bisect_right(self._ranks, rank)
        self._ranks.insert(at, rank)
        self.items.insert(at, item)
        if well:
            self.well.add(item)
        if at < self.edge:
            self.edge += 1
            self._enter(item)
        if at < self.first:
            self.first += 1
            self.leading.add(item)
            self._changed(item)
        self._settle()

    def remove(self, rank: float, item: T) -> None:
        """An item that was added with this rank."""
        at = bisect_left(self._ranks, rank)
        while self.items[at] is not item:
            at += 1
        del self._ranks[at], self.items[at]
        if at < self.edge:
            self.edge -= 1
            self._leave(item)
        if at < self.first:
            self.first -= 1
            self.leading.discard(item)
        self.well.discard(item)
        self._settle()

    def turn(self, item: T, *, well: bool) -> None:
        """An item has become well, or is no longer."""
        if well == (item in self.well):
            return
        (self.well.add if well else self.well.discard)(item)
        if item in self.inside:
            self.wells += 1 if well else -1
        self._settle()

    def _enter(self, item: T) -> None:
        self.inside.add(item)
        self.wells += item in self.well
        self._changed(item)

    def _leave(self, item: T) -> None:
        self.inside.discard(item)
        self.wells -= item in self.well
        self._changed(item)

    def _settle(self) -> None:
        items, count = self.items, self.count
        while self.wells < count and self.edge < len(items):
            self.edge += 1
            self._enter(items[self.edge - 1])
        while self.edge and (self.wells > count or (self.wells == count and items[self.edge - 1] not in self.well)):
            self.edge -= 1
            self._leave(items[self.edge])
        while self.first > min(count, len(items)):
            self.first -= 1
            self.leading.discard(items[self.first])
            self._changed(items[self.first])
        while self.first < min(count, len(items)):
            self.first += 1
            self.leading.add(items[self.first - 1])
            self._changed(items[self.first - 1])
