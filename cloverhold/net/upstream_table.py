"""The servers of the last list, by uid: where they listen, and what is said of them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from cloverhold.decision.interface import Lifecycle, ServerEntry
from cloverhold.net.discovery.server_list import Members
from cloverhold.net.upstreams.calls import Upstream


@dataclass(slots=True)
class Change:
    """What a list changes."""

    replaced: list[Upstream] = field(default_factory=list)  # another process, or address, has their uid now
    draining: list[Upstream] = field(default_factory=list)
    newly_draining: list[str] = field(default_factory=list)  # which the list before had as ready
    gone: list[str] = field(default_factory=list)


class UpstreamTable(dict[str, Upstream]):
    """One upstream for each server that is listed; `listed` has its line."""

    def __init__(self) -> None:
        super().__init__()
        self.listed: dict[str, ServerEntry] = {}

    def take(self, members: Members) -> Change:
        """Take over a list, or changes of one. Who has gone stays until `remove`: the module hears of it first."""
        entries = {entry.server: entry for entry in members.entries}
        change = Change(gone=[uid for uid in self if members.full and uid not in entries])
        change.newly_draining = [
            uid for uid, entry in entries.items() if entry.lifecycle is Lifecycle.DRAINING and self._is_ready(uid)
        ]
        if members.full:
            self.listed.clear()
        self.listed.update(entries)
        for uid, entry in entries.items():
            old, address, started_at = self.get(uid), members.addresses[uid], entry.started_at
            if old is None or (old.address, old.started_at) != (address, started_at):
                if old is not None:
                    change.replaced.append(old)
                self[uid] = Upstream(address, started_at)
            elif entry.lifecycle is not Lifecycle.READY:
                change.draining.append(old)
            if entry.lifecycle is Lifecycle.GONE:
                change.gone.append(uid)
        return change

    def _is_ready(self, uid: str) -> bool:
        entry = self.listed.get(uid)
        return entry is not None and entry.lifecycle is Lifecycle.READY

    def remove(self, gone: Iterable[str]) -> list[Upstream]:
        """Who has gone is removed; their upstreams."""
        removed = []
        for uid in gone:
            self.listed.pop(uid, None)
            if (upstream := self.pop(uid, None)) is not None:
                removed.append(upstream)
        return removed
