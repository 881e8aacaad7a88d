"""Servers that were told to drain, or are gone, and what lets each of them in again. Pure.

A departure ends with a newer word of discovery, and with nothing else: no span of time, no other address of discovery
and no new process. It holds as of each version that was taken since, too. Two marks show that a word is newer:

| that a server is ready is told                            | it is let in    |
| --------------------------------------------------------- | --------------- |
| by a later version than its departure's                   | `LATER_VERSION` |
| with a later start of its process than any known till then| `LATER_START`   |
| by a count that begins below all versions heard until a   | `OTHER_COUNT`   |
| list named nobody, if no line ever said that it leaves    |                 |
| by the departure's own version, reached from below: that  | no, and by no   |
| version is of another count                               | version later   |
| otherwise                                                 | no              |

An operator may let servers in (`OPERATOR`). Memory is bounded: the departures of servers that are listed no more are
forgotten oldest first, and one departure that is as strict as any of them covers all servers that are not listed.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

DEPARTURES = "departures"  # the node's own key in lists that it keeps, or tells its other processes
LEAST_RESTART_MS = 1.0  # starts that lie closer are one: a list that was kept may tell it by way of another clock
MOST_GONE = 1024  # servers that are remembered one by one, beside as many as were ever listed at once


class Readmission(Enum):
    """By what a server is let in again."""

    LATER_VERSION = "later_version"
    LATER_START = "later_start"
    OTHER_COUNT = "other_count"  # discovery lost its store, named nobody, and counts from anew
    SETTLED = "settled"  # it was in doubt whether it leaves, and is no more
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Departure:
    """That a server leaves, or has left."""

    version: float  # that told it; infinity: none is later
    start_ms: float  # the latest start that may have been known then, Unix time; infinity: any
    # Of an absence from a list that names nobody: the lowest version heard until then. Minus infinity where a line or
    # another list told it: no count begins below.
    count_begins: float = -math.inf

    def readmission(self, version: int, start_ms: float, count_begins: float) -> Readmission | None:
        """What lets the server in where a version has it ready, with a process that started then; None: nothing.
        count_begins: the lowest version heard until now.
        """
        if version > self.version:
            return Readmission.LATER_VERSION
        if start_ms >= self.start_ms + LEAST_RESTART_MS:
            return Readmission.LATER_START
        return Readmission.OTHER_COUNT if count_begins < self.count_begins else None

    def combined(self, other: Departure) -> Departure:
        """A departure that is as strict as either."""
        return Departure(
            max(self.version, other.version),
            max(self.start_ms, other.start_ms),
            min(self.count_begins, other.count_begins),
        )


@dataclass(frozen=True, slots=True)
class DepartureChanges:
    """What another holder of the same departures has to note."""

    noted: Mapping[str, Departure | None] = field(default_factory=dict)  # by uid; None: let in again
    forgotten: Departure | None = None  # covers those that are remembered no more
    count_begins: int | None = None  # the lowest version that was heard; None: as it was

    def without_readmissions(self) -> DepartureChanges:
        """What it says of servers that leave."""
        return DepartureChanges({uid: told for uid, told in self.noted.items() if told is not None}, self.forgotten)


class Departures:
    """By uid, the latest last."""

    def __init__(self) -> None:
        self.forgotten: Departure | None = None
        self.unnamed: Departure | None = None  # covers servers that may have left before this holder began
        self.count_begins: int | None = None  # the lowest version that was heard
        self._noted: dict[str, Departure] = {}
        self._started: set[str] = set()  # whose latest start is known
        self._changed: set[str] = set()  # since `take_changes`
        self._forgotten_changed = False
        self._most_listed = 0  # servers at once

    def __contains__(self, uid: str) -> bool:
        return uid in self._noted

    def __len__(self) -> int:
        return len(self._noted)

    def get(self, uid: str) -> Departure | None:
        """Of one server."""
        return self._noted.get(uid)

    def note(self, uid: str, departure: Departure) -> None:
        """A server was told to leave, or is gone. What was noted of it holds on, but for a version that none follows:
        by its new word the present count has an order.
        """
        before = self._noted.get(uid)
        if before is not None:
            combined = before.combined(departure)
            departure = replace(combined, version=departure.version) if before.version == math.inf else combined
            if departure != before:
                del self._noted[uid]  # so that the latest are last
        self._put(uid, departure)

    def hear_version(self, version: int, *, of_replica: bool = False) -> None:
        """A version was heard. of_replica: of a replica that lags, and so of the count that is known."""
        if self.count_begins is not None and version >= self.count_begins:
            return
        self.count_begins = version
        if not of_replica:
            return
        for uid, departure in list(self._noted.items()):
            self._put(uid, replace(departure, count_begins=min(departure.count_begins, version)))

    def _count_begins(self) -> float:
        return math.inf if self.count_begins is None else self.count_begins

    def _put(self, uid: str, departure: Departure) -> None:
        if departure == self._noted.get(uid):
            return
        self._noted[uid] = departure
        self._changed.add(uid)
        if math.isinf(departure.start_ms):
            self._started.discard(uid)
        else:
            self._started.add(uid)

    def cover(self, uid: str, version: int, start_ms: float) -> None:
        """A version has a server ready that was not listed: it may be one that was forgotten, or never named."""
        covering = _strictest(self.forgotten, self.unnamed)
        if uid in self._noted or covering is None:
            return
        if covering.readmission(version, start_ms, self._count_begins()) is None:
            self.note(uid, covering)

    def readmit(self, uid: str, version: int, start_ms: float, held_until: float) -> Readmission | None:
        """A version has a server ready: what lets it in, if anything does. held_until: the latest version of this
        count as of which departures are known to hold.
        """
        departure = self._noted.get(uid)
        if departure is None:
            return None
        held = replace(departure, version=max(departure.version, held_until))
        found = held.readmission(version, start_ms, self._count_begins())
        if found is not None:
            self.remove(uid)
        return found

    def hold_until(self, version: int) -> None:
        """Versions count from anew: all departures hold as of the last version of the count before."""
        for uid, departure in list(self._noted.items()):
            self._put(uid, replace(departure, version=max(departure.version, version)))
        if self.forgotten is not None:
            self.forget_before(replace(self.forgotten, version=max(self.forgotten.version, version)))
        if self.unnamed is not None:
            self.unnamed = replace(self.unnamed, version=max(self.unnamed.version, version))

    def lose_starts(self, listed: Collection[str]) -> None:
        """Versions were passed over, in which servers that are not listed may have started anew and left."""
        for uid in self._started.difference(listed):
            self._put(uid, replace(self._noted[uid], start_ms=math.inf))

    def reach(self, uid: str, version: int) -> None:
        """A count that came from below has a server ready at this version: if its departure has the same number, the
        two are of different counts, and no number of this one is later.
        """
        departure = self._noted.get(uid)
        if departure is not None and departure.version == version:
            self._put(uid, replace(departure, version=math.inf))

    def remove(self, uid: str) -> None:
        """A server is let in."""
        if self._noted.pop(uid, None) is not None:
            self._changed.add(uid)
            self._started.discard(uid)

    def forget_oldest(self, listed: Collection[str]) -> None:
        """Keep within the bound; those of listed servers stay. A whole list that leaves at once has room."""
        self._most_listed = max(self._most_listed, len(listed))
        most_gone = MOST_GONE + self._most_listed
        if len(self._noted) <= most_gone:
            return
        gone = [uid for uid in self._noted if uid not in listed]
        for uid in gone[: max(0, len(gone) - most_gone)]:
            self.forget_before(self._noted[uid])
            self.remove(uid)

    def forget_before(self, departure: Departure) -> None:
        """All servers that are neither noted nor listed may have left so."""
        covered = _strictest(self.forgotten, departure)
        if covered != self.forgotten:
            self.forgotten, self._forgotten_changed = covered, True

    # ------------------------------------------------------------------ to and from other holders

    def apply(self, changes: DepartureChanges) -> None:
        """Note what another holder has noted."""
        for uid, departure in changes.noted.items():
            if departure is None:
                self.remove(uid)
            else:
                self.note(uid, departure)
        if changes.forgotten is not None:
            self.forget_before(changes.forgotten)
        if changes.count_begins is not None:
            self.count_begins = changes.count_begins

    def everything(self) -> DepartureChanges:
        """All that is noted, for a holder that has nothing."""
        return DepartureChanges(dict(self._noted), _strictest(self.forgotten, self.unnamed), self.count_begins)

    def tell_again(self) -> None:
        """Who was told the last changes may not have noted them: all are told again."""
        self._changed.update(self._noted)
        self._forgotten_changed = True

    def take_changes(self) -> DepartureChanges:
        """What has changed since the last call."""
        forgotten = _strictest(self.forgotten, self.unnamed) if self._forgotten_changed else None
        changes = DepartureChanges({uid: self._noted.get(uid) for uid in self._changed}, forgotten, self.count_begins)
        self._changed, self._forgotten_changed = set(), False
        return changes


def _strictest(one: Departure | None, other: Departure | None) -> Departure | None:
    if one is None or other is None:
        return one or other
    return one.combined(other)


def names_departures(members: Mapping[str, Any]) -> bool:
    """Whether a list in JSON, or changes of one, says that servers leave."""
    told = members.get(DEPARTURES)
    return told is not None and any(departure is not None for departure in told["noted"].values())


def changes_value(changes: DepartureChanges) -> dict[str, Any]:
    """In JSON: infinity is null there."""
    return {
        "noted": {uid: _departure_value(departure) for uid, departure in changes.noted.items()},
        "forgotten": _departure_value(changes.forgotten),
        "count_begins": changes.count_begins,
    }


def read_changes(value: Any) -> DepartureChanges:
    """From JSON; ValueError, KeyError, TypeError or AttributeError for anything else."""
    noted = {str(uid): _read_departure(told) for uid, told in value["noted"].items()}
    count_begins = value.get("count_begins")  # older processes of this node do not say it
    return DepartureChanges(
        noted, _read_departure(value["forgotten"]), int(count_begins) if count_begins is not None else None
    )


def _departure_value(departure: Departure | None) -> list[float | None] | None:
    if departure is None:
        return None
    numbers = [departure.version, departure.start_ms]
    if not math.isinf(departure.count_begins):  # older processes of this node read two numbers
        numbers.append(departure.count_begins)
    return [None if math.isinf(number) else number for number in numbers]


def _read_departure(value: Any) -> Departure | None:
    if value is None:
        return None
    version, start_ms, *rest = (math.inf if number is None else float(number) for number in value)
    (count_begins,) = rest or (-math.inf,)
    return Departure(version, start_ms, count_begins)
