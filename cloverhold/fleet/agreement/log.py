"""A voter's log: entries after a snapshot, and who votes by it. Pure; what is durable the caller sees to."""

from __future__ import annotations

from collections.abc import Sequence

from cloverhold.fleet.agreement.interface import Disk, Entry, Index, Stored


class Log:
    """Entries by index. `last` is the last one, also where a snapshot has taken its place."""

    def __init__(self, stored: Stored, entries: Sequence[Entry] = ()) -> None:
        self.stored, self.entries = stored, list(entries)
        self.changes: list[tuple[Index, tuple[Disk, ...]]] = []  # of voters, among the entries
        self._note(stored.index)

    @property
    def last(self) -> Index:
        return self.stored.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.stored.term

    def term(self, index: Index) -> int | None:
        """The term of an entry; None where it is not here, or is in the snapshot before its last."""
        if index == self.stored.index:
            return self.stored.term
        at = index - self.stored.index - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else None

    def after(self, index: Index, most: int) -> tuple[Entry, ...]:
        """Entries that follow one, `most` at most."""
        at = index - self.stored.index
        return tuple(self.entries[at : at + most])

    def at(self, index: Index) -> Entry:
        return self.entries[index - self.stored.index - 1]

    def voters(self, upto: Index | None = None) -> tuple[Disk, ...]:
        """Who votes: by the last change in the log, decided or not, as Raft's single changes have it. upto: as of this
        entry.
        """
        for index, voters in reversed(self.changes):
            if upto is None or index <= upto:
                return voters
        return self.stored.voters

    def changes_after(self, index: Index) -> bool:
        """Whether a change of voters lies behind an entry."""
        return bool(self.changes) and self.changes[-1][0] > index

    def differs(self, before: Index, entries: Sequence[Entry]) -> int:
        """How many of `entries`, which follow `before`, are here already: the first that is not, or is of another
        term, and all behind it are to be taken.
        """
        for at, entry in enumerate(entries):
            if self.term(before + 1 + at) != entry.term:
                return at
        return len(entries)

    def take(self, after: Index, entries: Sequence[Entry]) -> None:
        """Put entries behind one, in the place of whatever was there."""
        del self.entries[after - self.stored.index :]
        self.entries += entries
        self._note(after)

    def cut(self, stored: Stored) -> None:
        """Let a snapshot take the place of all up to its index; entries behind it stay where they go on from it."""
        goes_on = self.term(stored.index) == stored.term
        self.entries = self.entries[stored.index - self.stored.index :] if goes_on else []
        self.stored = stored
        self._note(stored.index)

    def _note(self, after: Index) -> None:
        """The entries behind this one are others than before, or those up to it are gone."""
        kept = [change for change in self.changes if self.stored.index < change[0] <= after]
        found = enumerate(self.entries[after - self.stored.index :], after + 1)
        self.changes = kept + [(index, entry.voters) for index, entry in found if entry.voters]
