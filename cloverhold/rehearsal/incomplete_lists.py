"""Lists of discovery that are not complete: what an agent has while a fault of that kind lasts, and behind it. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from cloverhold.rehearsal.catalog import Agent, Entry
from cloverhold.rehearsal.faults import DiscoveryIncomplete

KEPT_IN_SHORT_LIST = 1  # servers


@dataclass(slots=True)
class IncompleteList:
    """One fault, from `begin` to `end`."""

    fault: DiscoveryIncomplete
    agent: Agent
    _unlisted: dict[str, Entry] = field(default_factory=dict)  # as they were before, by uid
    _names_again: bool = False

    def holds_news(self) -> bool:
        """Whether the agent hears nothing while this lasts."""
        return self.fault.how != "bare_lines" and not self._names_again

    def begin(self, now: float) -> None:
        """The fault begins."""
        match self.fault.how:
            case "names_nobody" | "lost_store":
                self._unlist(now, 0)
            case "short_list":
                self._unlist(now, KEPT_IN_SHORT_LIST)
            case "changes_left_out":
                self.agent.hold()

    def _unlist(self, now: float, kept: int) -> None:
        """Nothing changes where another fault keeps news from the agent already."""
        if self.agent.held is not None:
            self._names_again = True
            return
        listed = [entry for _, entry in self.agent.entries.values() if entry.state != "left"]
        self._unlisted = {entry.uid: entry for entry in listed[kept:]}
        for entry in self._unlisted.values():
            self.agent.put(now, replace(entry, state="left"))
        self.agent.hold()

    def count_on(self) -> None:
        """The next version, in which nothing is new."""
        self.agent.rev += 1

    def lose_store(self, now: float) -> None:
        """Discovery counts from anew, and names the servers again."""
        entries = self._named_again()
        self.agent.held = None
        self.agent.count_anew(now, entries)

    def end(self, now: float, *, is_held_on: bool) -> None:
        """The fault is over. The agent has all that came meanwhile, unless another fault still keeps news from it."""
        if self.fault.how == "changes_left_out":
            if not is_held_on:
                self.agent.release_silently(now)
        elif not self._names_again:
            entries = self._named_again()
            if not is_held_on:
                self.agent.held = None
            for entry in entries:
                self.agent.put(now, entry)

    def _named_again(self) -> list[Entry]:
        """The servers that are named again, as they are by the news that were held."""
        self._names_again = True
        return list((self._unlisted | (self.agent.held or {})).values())

    def is_told_whole(self) -> bool:
        """Whether each answer is a whole list: absence is the only word on who has gone."""
        return bool(self._unlisted) and not self._names_again

    def lines(self, lines: Sequence[dict[str, Any]]) -> list[dict[str, Any]]:
        """The lines of an answer, as they are told."""
        if self.fault.how == "bare_lines":
            return [{"uid": line["uid"], "state": line["state"]} for line in lines]
        return list(lines)
