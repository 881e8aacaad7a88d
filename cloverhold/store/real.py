"""The store's folder on a file system. POSIX: fsync of files and of the folder, rename in one step, flock."""

from __future__ import annotations

import fcntl
import os

from cloverhold.store.codec import StoreError
from cloverhold.store.disk import LOCK


class RealDisk:
    """One folder, held by one process. Raises StoreError where another holds it."""

    def __init__(self, path: str, *, write: bool = True) -> None:
        """write: take the lock, and make the folder where there is none; else only `names`, `read` and `place`."""
        self.path = os.path.abspath(path)
        self._files: dict[str, int] = {}
        self._lock = -1
        if not write:
            if not os.path.isdir(self.path):
                raise StoreError(f"{path}: no such folder")
            return
        os.makedirs(self.path, mode=0o700, exist_ok=True)
        self._lock = os.open(os.path.join(self.path, LOCK), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            self._lock = -1
            raise StoreError(f"{path}: another process holds this store; each node needs a folder of its own") from None

    def _at(self, name: str) -> str:
        return os.path.join(self.path, name)

    def names(self) -> list[str]:
        """The files in it."""
        return sorted(name for name in os.listdir(self.path) if os.path.isfile(self._at(name)))

    def read(self, name: str) -> bytes:
        """All of a file."""
        with open(self._at(name), "rb") as file:
            return file.read()

    def create(self, name: str) -> None:
        """A new, empty file, open for `append`."""
        self.release(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._files[name] = os.open(self._at(name), flags, 0o600)

    def append(self, name: str, data: bytes) -> None:
        """Write behind what is there, all of it or an error."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._files[name], view) :]

    def overwrite(self, name: str, data: bytes) -> None:
        """Write over a small file from its start, never synced."""
        file = self._files.get(name)
        if file is None:
            file = os.open(self._at(name), os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
            self._files[name] = file
        os.pwrite(file, data, 0)

    def sync(self, name: str) -> None:
        """Return once what was written to a file will last."""
        os.fsync(self._files[name])

    def rename(self, old: str, new: str) -> None:
        """Put a file in the place of another, in one step."""
        os.rename(self._at(old), self._at(new))

    def remove(self, name: str) -> None:
        """Take a file away."""
        self.release(name)
        os.remove(self._at(name))

    def sync_names(self) -> None:
        """Return once files that were created, renamed and removed will stay so."""
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def release(self, name: str) -> None:
        """No more is written to a file."""
        file = self._files.pop(name, None)
        if file is not None:
            os.close(file)

    def place(self) -> tuple[int, int] | None:
        """What tells this folder from a copy of it: device and inode of its lock file."""
        try:
            status = os.stat(self._at(LOCK))
        except FileNotFoundError:
            return None
        return status.st_dev, status.st_ino

    def close(self) -> None:
        """Close every file and give the lock back."""
        for name in list(self._files):
            self.release(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
