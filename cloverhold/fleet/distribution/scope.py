"""One scope's content: keys with values, what was deleted of late, and the mark that names it all. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b

from cloverhold.fleet.distribution.interface import Entries, Entry, Mark

DIGEST_BYTES = 16
MOST = 1 << (8 * DIGEST_BYTES)
MOST_DELETED = 1024  # deletions that are kept; then the older half goes, and the floor rises


def weigh(key: str, value: bytes) -> int:
    """A key's part in the digest, which is the sum over all keys."""
    name = key.encode()
    return int.from_bytes(
        blake2b(len(name).to_bytes(4, "big") + name + value, digest_size=DIGEST_BYTES).digest(), "big"
    )


def digest_of(content: Mapping[str, bytes]) -> bytes:
    """The digest of a whole content, as a mark has it."""
    return (sum(weigh(key, value) for key, value in content.items()) % MOST).to_bytes(DIGEST_BYTES, "big")


EMPTY = digest_of({})


class Scope:
    """Content at a mark. Changes make another one (`after`): whoever reads this one goes on reading it."""

    __slots__ = ("content", "deleted", "floor", "mark", "numbers")

    def __init__(
        self, mark: Mark, content: dict[str, bytes], numbers: dict[str, int], deleted: dict[str, int], floor: int
    ) -> None:
        """numbers, deleted: by key, the change that last touched it, of those that are there and those that are not."""
        self.mark, self.content, self.numbers, self.deleted, self.floor = mark, content, numbers, deleted, floor

    @classmethod
    def begun(cls, epoch: int) -> Scope:
        """Nothing, before the first change."""
        return cls(Mark(epoch, 0, EMPTY), {}, {}, {}, 0)

    @classmethod
    def of(cls, upto: Mark, floor: int, entries: Iterable[Entry]) -> Scope | None:
        """From all entries; None where the digest is not the mark's."""
        return cls(Mark(0, 0, EMPTY), {}, {}, {}, floor).after(upto, entries)

    def after(self, upto: Mark, entries: Iterable[Entry]) -> Scope | None:
        """As it is with these entries, at that mark; None where what comes out is not what the mark names."""
        content, numbers, deleted = self.content.copy(), self.numbers.copy(), self.deleted.copy()
        digest = int.from_bytes(self.mark.digest, "big")
        for entry in entries:
            if (was := content.pop(entry.key, None)) is not None:
                digest -= weigh(entry.key, was)
            numbers.pop(entry.key, None)
            deleted.pop(entry.key, None)
            if entry.value is None:
                deleted[entry.key] = entry.number
            else:
                content[entry.key], numbers[entry.key] = entry.value, entry.number
                digest += weigh(entry.key, entry.value)
        if not self.named(digest, upto):
            return None
        floor = self.floor
        if len(deleted) > MOST_DELETED:
            by_age = sorted(deleted.items(), key=lambda item: item[1])
            floor = max(floor, by_age[len(by_age) // 2][1])
            deleted = {key: number for key, number in by_age if number > floor}
        return Scope(upto, content, numbers, deleted, floor)

    @staticmethod
    def named(digest: int, mark: Mark) -> bool:
        """Whether a sum over all keys is that mark's."""
        return (digest % MOST).to_bytes(DIGEST_BYTES, "big") == mark.digest

    def whole(self) -> Entries:
        """All entries, with the deletions that are kept."""
        return tuple(self._entries(-1))

    def since(self, mark: Mark) -> Entries | None:
        """What leads from a mark of this scope's past to its own; None where too much was forgotten for that."""
        return tuple(self._entries(mark.number)) if mark.number >= self.floor else None

    def _entries(self, after: int) -> Iterable[Entry]:
        for key, number in self.numbers.items():
            if number > after:
                yield Entry(key, number, self.content[key])
        for key, number in self.deleted.items():
            if number > after:
                yield Entry(key, number, None)

    def changed(self, before: Scope | None) -> dict[str, bytes | None]:
        """The values that differ from those of `before`."""
        old: Mapping[str, bytes] = before.content if before is not None else {}
        out: dict[str, bytes | None] = {k: v for k, v in self.content.items() if old.get(k) != v}
        return out | {key: None for key in old if key not in self.content}
