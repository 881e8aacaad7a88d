"""What is kept of each key, and the pools its requests are told with. Bounded, whatever names come."""

from __future__ import annotations

import math
from collections import OrderedDict

from cloverhold.cells.draw import Roster, partition, score
from cloverhold.cells.evidence import Count, Cusum, Occupancy
from cloverhold.cells.moves import Move, Place
from cloverhold.cells.rules import Rules
from cloverhold.cells.ward import Bucket, Ward
from cloverhold.decision.pools import Pool

LOOKS = 16  # keys that are looked at for one to forget


class Cell:
    """The servers of one key at one place, and its open requests there."""

    __slots__ = ("drawn", "key", "open", "place", "pool", "servers", "size", "tenancy", "until", "version")

    def __init__(self, tenancy: Tenancy, key: str, place: Place, size: int) -> None:
        self.tenancy, self.key, self.place, self.size = tenancy, key, place, size
        self.drawn: tuple[str, ...] = ()  # by the roster alone; the pool may hold more, for the floor
        self.version = -1  # of the roster that it was drawn from
        self.until = 0.0  # when the floor must be looked at again
        self.servers: tuple[str, ...] = ()
        self.pool = Pool(key, ())
        self.open = 0


class Tenancy:
    """One key: where it is, what it does, and what speaks against it."""

    __slots__ = ("answers", "at", "cells", "count", "key", "move", "occupancy", "own", "place", "presence", "spills",
                 "trials", "ward")  # fmt: skip

    def __init__(self, key: str, place: Place, now: float) -> None:
        self.key, self.place = key, place
        self.cells: dict[str, Cell] = {}  # by what they are for: its places, the newcomers', the quarantine, a spill
        self.answers = 0
        self.count = Count()  # its requests that ended
        self.at: dict[str, Count] | None = None  # the same by server, from its first failure on
        self.occupancy = Occupancy(now)
        self.presence, self.own = Cusum(), Cusum()
        self.ward: Ward | None = None
        self.move: Move | None = None
        self.spills, self.trials = Bucket(now), 0

    def idle(self) -> bool:
        """Whether nothing is lost by forgetting it."""
        return self.ward is None and self.move is None and not any(cell.open for cell in self.cells.values())

    def suspect(self) -> bool:
        """Whether anything speaks against it."""
        return self.presence.sum > 0 or self.own.sum > 0

    def doubtful(self, false_alarms: float) -> bool:
        """Whether half of what would prove it speaks against it. One failure, as each neighbour of a poison has, is
        less.
        """
        return max(self.presence.sum, self.own.sum) > 0.5 * math.log(1 / false_alarms)


class Tenancies:
    """The keys that are remembered: the last used ones, so many at most."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.roster = Roster()
        self.places: dict[str, Place] = {}  # of keys that were moved: as many as moves are kept
        self.known: OrderedDict[str, Tenancy] = OrderedDict()
        self._fixed: tuple[int, dict[str, tuple[str, ...]]] = (-1, {})

    def get(self, key: str, now: float) -> Tenancy:
        """What is kept of a key. One that cannot be remembered any more gets what is forgotten with its requests."""
        tenancy = self.known.get(key)
        if tenancy is not None:
            self.known.move_to_end(key)
            return tenancy
        tenancy = Tenancy(key, self.places.get(key) or self.home(key), now)
        if len(self.known) < self.rules.most_keys or self._forget():
            self.known[key] = tenancy
        return tenancy

    def _forget(self) -> bool:
        """Forget the key unused for longest that can be; the others among those looked at have their turn later."""
        for _ in range(min(LOOKS, len(self.known))):
            key, tenancy = next(iter(self.known.items()))
            if tenancy.idle():
                del self.known[key]
                return True
            self.known.move_to_end(key)
        return False

    def home(self, key: str) -> Place:
        """Where a key is before any move: its own first draw, or the fixed cell of its highest score."""
        fixed = self.rules.fixed
        if not fixed:
            return Place()
        return Place(cell=_best(key, fixed))

    def cell(self, tenancy: Tenancy, place: Place, now: float) -> Cell:
        """The key's cell at a place, as of now."""
        if place.cell:
            return self._current(tenancy, place.cell, place, f"fixed:{place.cell}", 0, now)
        size = self.rules.sizes.get(tenancy.key, self.rules.servers)
        return self._current(tenancy, f"draw:{place.draw}", place, f"{place.draw}:{tenancy.key}", size, now)

    def shared(self, tenancy: Tenancy, name: str, size: int, now: float) -> Cell:
        """A cell with the same servers for all keys that are sent there: the newcomers', the quarantine."""
        return self._current(tenancy, name, Place(), f"shared:{name}", size, now)

    def _current(self, tenancy: Tenancy, name: str, place: Place, key: str, size: int, now: float) -> Cell:
        cell = tenancy.cells.get(name)
        if cell is None:
            cell = tenancy.cells[name] = Cell(tenancy, key, place, size)
        if cell.version != self.roster.version or now >= cell.until:
            self._update(cell, now)
        return cell

    def _update(self, cell: Cell, now: float) -> None:
        """Bring a cell up to date. Its pool stays the same one while its servers do: what is learned of it stays."""
        roster = self.roster
        if cell.place.cell:
            servers = self._partition().get(cell.place.cell, ())
            cell.version, cell.until = roster.version, float("inf")
        else:
            if cell.version != roster.version:
                cell.drawn = roster.redraw(cell.key, cell.size, cell.drawn, cell.version)
                cell.version = roster.version
            servers, cell.until = self._floored(cell, now)
        if servers != cell.servers:
            old, cell.servers, cell.pool = cell.pool, servers, Pool(cell.key, servers)
            cell.pool.retries = old.retries

    def _floored(self, cell: Cell, now: float) -> tuple[tuple[str, ...], float]:
        """The servers drawn, and so many of the next that the cell can do what the floor asks; until when that holds.

        Guards against a cell that a rolling restart left with cold servers alone, or that lost some for a while.
        """
        roster = self.roster
        members = [roster.members[name] for name in cell.drawn]
        least = self.rules.floor * min(cell.size, len(roster.members)) * roster.mean_size
        done = sum(member.capacity(now) for member in members)
        warm = [member.warm_from for member in members if member.warm_from > now]
        servers = cell.drawn
        # Warm ones that are short of it are small: that is its draw.
        if done < least and warm and not cell.tenancy.doubtful(self.rules.false_alarms):
            for name in roster.next_best(cell.key, self.rules.extra, cell.drawn):
                if done >= least:
                    break
                done += roster.members[name].capacity(now)
                servers = (*servers, name)
        return servers, min(warm, default=float("inf"))

    def _partition(self) -> dict[str, tuple[str, ...]]:
        if self._fixed[0] != self.roster.version:
            self._fixed = (self.roster.version, partition(self.roster.members, self.rules.fixed))
        return self._fixed[1]

    def capacity(self, cell: Cell, now: float) -> float:
        """What the servers of a cell can really do, in mean servers."""
        members = (self.roster.members.get(name) for name in cell.servers)
        return sum(m.capacity(now) for m in members if m is not None) / self.roster.mean_size


def _best(key: str, cells: tuple[str, ...]) -> str:
    return max(cells, key=lambda cell: (score(key, cell), cell))
