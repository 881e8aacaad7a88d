"""A disk that does at a cut what real ones may do, by a seed: for tests, and for simulated days.

Two states are kept: what a reader sees, and what has reached the medium. Between two syncs of a file its writes reach
the medium in part, in any order of sectors, torn within one; between two syncs of the folder its entries do likewise,
each by itself. A sync that fails leaves the pages it was to write in any state and marks them clean, so that a second
sync succeeds and says nothing (as Linux does: "fsyncgate", Rebello et al., "Can Applications Recover from fsync
Failures?", ATC 2020).
"""

from __future__ import annotations

import errno
from collections.abc import Callable
from random import Random

SECTOR = 512


class Cut(Exception):
    """The power is gone: nothing that the program does from here on happens."""


class File:
    """One file's contents: as read, and as on the medium."""

    def __init__(self) -> None:
        self.seen = bytearray()
        self.kept = bytearray()

    def settle(self, random: Random) -> None:
        """What a cut leaves of what was not synced: any sectors of it, one of them torn."""
        start = 0
        while start < max(len(self.seen), len(self.kept)):
            new = self.seen[start : start + SECTOR]
            if new != self.kept[start : start + SECTOR]:
                fate = random.random()
                if fate < 0.45:
                    self._put(start, new)
                elif fate < 0.6:
                    self._put(start, new[: random.randrange(len(new) + 1)])
            start += SECTOR
        if len(self.kept) > len(self.seen):
            del self.kept[len(self.seen) :]

    def _put(self, start: int, data: bytearray) -> None:
        if len(self.kept) < start:
            self.kept.extend(bytes(start - len(self.kept)))  # a hole reads as zeros
        self.kept[start : start + len(data)] = data


class SimulatedDisk:
    """A folder in memory. `before` is told the number and name of each operation and may raise Cut or OSError."""

    def __init__(self, seed: int = 0, before: Callable[[int, str], None] = lambda number, what: None) -> None:
        self.random, self.before = Random(seed), before
        self.files: dict[str, File] = {}  # as seen
        self.entries: dict[str, File] = {}  # as on the medium
        self.steps = 0
        self.room: int | None = None  # bytes that may still be written
        self.identity = (1, 1)

    def _step(self, what: str) -> None:
        self.steps += 1
        self.before(self.steps, what)

    def names(self) -> list[str]:
        """The files in it."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """All of a file."""
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return bytes(self.files[name].seen)

    def create(self, name: str) -> None:
        """A new, empty file."""
        self._step(f"create {name}")
        self.files[name] = File()

    def append(self, name: str, data: bytes) -> None:
        """Write behind what is there; short where there is no room."""
        file = self.files[name]
        try:
            self._step(f"append {name}")
        except (OSError, Cut):
            file.seen += data[: self.random.randrange(len(data) + 1)]
            raise
        if self.room is not None:
            if len(data) > self.room:
                file.seen += data[: self.room]
                self.room = 0
                raise OSError(errno.ENOSPC, "No space left on device", name)
            self.room -= len(data)
        file.seen += data

    def overwrite(self, name: str, data: bytes) -> None:
        """Write over a small file from its start."""
        self._step(f"overwrite {name}")
        file = self.files.setdefault(name, File())
        file.seen[: len(data)] = data

    def sync(self, name: str) -> None:
        """What was written reaches the medium, or nobody knows what of it."""
        file = self.files[name]
        try:
            self._step(f"sync {name}")
        except OSError:
            file.settle(self.random)
            file.seen = bytearray(file.kept) if self.random.random() < 0.5 else file.seen
            raise
        file.kept = bytearray(file.seen)

    def rename(self, old: str, new: str) -> None:
        """Put a file in the place of another."""
        self._step(f"rename {old}")
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        """Take a file away."""
        self._step(f"remove {name}")
        gone = self.files.pop(name)
        if self.room is not None:
            self.room += len(gone.seen)

    def sync_names(self) -> None:
        """Entries reach the medium."""
        self._step("sync names")
        self.entries = dict(self.files)

    def release(self, name: str) -> None:
        """No more is written to a file."""

    def place(self) -> tuple[int, int] | None:
        """What tells this folder from a copy."""
        return self.identity

    def cut(self) -> None:
        """The power goes: what is left is what reached the medium, and some of what was on its way."""
        for name in sorted(self.files.keys() | self.entries.keys()):
            now = self.files.get(name)
            if now is not self.entries.get(name) and self.random.random() < 0.5:
                if now is None:
                    del self.entries[name]
                else:
                    self.entries[name] = now
        for file in {id(f): f for f in (*self.files.values(), *self.entries.values())}.values():
            file.settle(self.random)
            file.seen = bytearray(file.kept)
        self.files = dict(self.entries)

    def crash(self) -> None:
        """The process dies and the machine lives on: all that was written is there."""
