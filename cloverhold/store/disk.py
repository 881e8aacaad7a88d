"""What a store asks of a disk: one folder of files. Everything above this line does no I/O."""

from __future__ import annotations

from typing import Protocol

MANIFEST, SPARE, MARK, LOCK = "MANIFEST", "MANIFEST.new", "MARK", "LOCK"


class Disk(Protocol):
    """A folder. Every call may raise OSError; after a failed `sync` of a file nobody knows what of it is there."""

    def names(self) -> list[str]:
        """The files in it."""
        ...

    def read(self, name: str) -> bytes:
        """All of a file."""
        ...

    def create(self, name: str) -> None:
        """A new, empty file, open for `append`; one of that name is replaced by it."""
        ...

    def append(self, name: str, data: bytes) -> None:
        """Write behind what is there, all of it or an error (then a part may be there)."""
        ...

    def overwrite(self, name: str, data: bytes) -> None:
        """Write over a small file from its start, never synced: what lasts of it may be old or torn."""
        ...

    def sync(self, name: str) -> None:
        """Return once what was written to a file will last."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Put a file in the place of another, in one step; it lasts from the next `sync_names` on."""
        ...

    def remove(self, name: str) -> None:
        """Take a file away; that lasts from the next `sync_names` on."""
        ...

    def sync_names(self) -> None:
        """Return once files that were created, renamed and removed will stay so."""
        ...

    def release(self, name: str) -> None:
        """No more is written to a file."""
        ...

    def place(self) -> tuple[int, int] | None:
        """What tells this folder from a copy of it: device and inode of its lock file; None where there is none."""
        ...
