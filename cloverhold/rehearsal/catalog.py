"""What discovery has for one node, and what that node has been told: versions, changes, the whole list.

In the pushed form each node has an agent on its own machine, which has what it has been sent. No I/O and no
clock: the time is handed in, in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from cloverhold.rehearsal.ledger import Told


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of the list."""

    uid: str
    state: str  # "active", "leaving" or "left"
    kind: str
    cell: int
    weight: float = 1.0
    boot_s: float | None = None  # on the kit's clock; None: long ago


def _is_to_be_told(old: Entry | None, new: Entry) -> bool:
    """Whether a node that has the one is to be told of the other: a weight alone binds nobody."""
    return old is None or (old.state, old.boot_s) != (new.state, new.boot_s)


class Agent:
    """Discovery as one node sees it."""

    def __init__(self, node: int, told: Callable[[Told], None]) -> None:
        self.node, self.life, self.told = node, 0, told
        self.rev = 1
        self.entries: dict[str, tuple[int, Entry]] = {}
        self.written: dict[str, Entry] = {}  # the list as the node last had it
        self.held: dict[str, Entry] | None = None  # news that do not come through; None: they do
        self._due: list[tuple[int, Told]] = []  # told, but not yet written

    def put(self, now: float, entry: Entry) -> bool:
        """News of one server; whether the node can hear of them."""
        if self.held is not None:
            self.held[entry.uid] = entry
            return False
        old = self.entries.get(entry.uid)
        if old is not None and old[1] == entry:
            return False
        self.rev += 1
        self._set(now, entry)
        return True

    def _set(self, now: float, entry: Entry) -> None:
        """An entry is of the present version; the node is to be told where it has to be."""
        old = self.entries.get(entry.uid)
        self.entries[entry.uid] = (self.rev, entry)
        if _is_to_be_told(old[1] if old is not None else None, entry):
            self._owe(now, entry)

    def _owe(self, now: float, entry: Entry) -> None:
        row = Told(self.node, self.life, entry.uid, entry.state, entry.boot_s, now)
        self.told(row)
        self._due.append((self.rev, row))

    def hold(self) -> None:
        """Nothing new comes through until `release`."""
        if self.held is None:
            self.held = {}

    def release(self, now: float) -> bool:
        """What was held comes through; whether there was any."""
        held, self.held = self.held or {}, None
        return any([self.put(now, entry) for entry in held.values()])

    def release_silently(self, now: float) -> None:
        """What was held is there, and no version that is later than the present one tells it."""
        held, self.held = self.held or {}, None
        for entry in held.values():
            self._set(now, entry)

    def count_anew(self, now: float, entries: Iterable[Entry]) -> None:
        """Versions begin at 1, which has these entries and what is there else."""
        for entry in entries:
            self.put(now, entry)
        self.rev = 1
        self.entries = {uid: (1, entry) for uid, (_, entry) in self.entries.items()}
        self._due = [(1, row) for _, row in self._due]

    def born(self, now: float, life: int) -> dict[str, Entry]:
        """A process of the node starts; the list that it remembers. It is to be told of all that differs."""
        self.life = life
        self._due = []
        for uid, (_, entry) in self.entries.items():
            old = self.written.get(uid)
            if _is_to_be_told(old, entry):
                self._owe(now, entry)
        return dict(self.written)

    def whole(self) -> tuple[int, list[Entry]]:
        """The whole list with its version."""
        return self.rev, [entry for _, entry in self.entries.values() if entry.state != "left"]

    def changes(self, since: int) -> tuple[int, list[Entry]]:
        """What has changed since a version."""
        return self.rev, [entry for rev, entry in self.entries.values() if rev > since]

    def wrote(self, now: float, rev: int, since: int | None = None) -> None:
        """An answer of this version has been written to the node: changes since a version, or the whole list. A
        server's line is its newest: what was due of it before is over with that.
        """
        least = 0 if since is None else since + 1
        newest = {row.server: at for at, row in self._due if least <= at <= rev}
        for at, row in self._due:
            if at <= newest.get(row.server, -1):
                row.written_s = now
        self._due = [(at, row) for at, row in self._due if row.written_s is None]
        for uid, (at, entry) in self.entries.items():
            if least <= at <= rev:
                self.written[uid] = entry
        self.written = {uid: e for uid, e in self.written.items() if e.state != "left"}


class CallQueue:
    """Discovery that is asked: one service for all nodes, which works through calls in turn."""

    def __init__(self, lines_per_s: float, call_lines: float, timeout_s: float) -> None:
        self.lines_per_s, self.call_lines, self.timeout_s = lines_per_s, call_lines, timeout_s
        self.free_at = 0.0

    def take(self, now: float, lines: int) -> float | None:
        """After how many seconds a call for so many lines is answered; None where it would wait too long."""
        begin = max(now, self.free_at)
        if begin - now > self.timeout_s:
            return None
        self.free_at = begin + (self.call_lines + lines) / self.lines_per_s
        return self.free_at - now


def line(entry: Entry, endpoint: str, zone: str, unix_s: Callable[[float], float]) -> dict[str, Any]:
    """An entry in discovery's form, with the address that this node is given."""
    return {
        "uid": entry.uid,
        "endpoint": endpoint,
        "az": zone,
        "model": entry.kind,
        "pod_group": entry.cell,
        "state": entry.state,
        "capacity_hint": round(entry.weight, 4),
        "boot_ms": round(unix_s(entry.boot_s) * 1000) if entry.boot_s is not None else 0,
    }
