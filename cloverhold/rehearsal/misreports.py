"""What a discovery that misreports tells: which calls a stale replica answers, and which lines are odd. Pure."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Any

from cloverhold.rehearsal.catalog import Entry
from cloverhold.rehearsal.faults import DiscoveryMisreports

UNREADABLE_LINE = {"uid": None, "state": 7}


@dataclass(frozen=True, slots=True)
class StillAnswer:
    """An answer of who has heard nothing new since the fault began."""

    rev: int
    whole: bool
    entries: Sequence[Entry]


@dataclass(slots=True)
class Misreport:
    """One fault, with the list as it was when it began."""

    fault: DiscoveryMisreports
    rev: int
    entries: Sequence[Entry]
    open_connections: Collection[int]  # by number
    begun_s: float = 0.0
    calls: int = 0

    def stands_still(self, connection: int, since: int | None, now_s: float) -> bool:
        """Whether a call that has come now is answered by who has heard nothing new."""
        self.calls += 1
        match self.fault.how:
            case "open_connections":
                return since is not None and connection in self.open_connections
            case "stale_calls":
                return self.calls % 2 == 0
            case "stale_connections":
                return connection % 2 == 0
            case "lagging_replica":
                return now_s >= self.begun_s + self.fault.after_s
        return False

    def still(self, since: int | None) -> StillAnswer:
        """What that one says: no news, or the whole list where it does not know the version."""
        if since is None or since > self.rev:
            if since is not None and self.fault.how == "open_connections":
                return StillAnswer(since, whole=False, entries=())
            return StillAnswer(self.rev, whole=True, entries=self.entries)
        return StillAnswer(since, whole=False, entries=())

    def lines(self, lines: list[dict[str, Any]], *, whole: bool) -> list[dict[str, Any]]:
        """The lines of an answer, as they are told."""
        match self.fault.how:
            case "unreadable" if lines:
                return [UNREADABLE_LINE, *lines]
            case "named_twice" if not whole:
                return [{**line, "state": "active"} for line in lines] + lines
        return lines
