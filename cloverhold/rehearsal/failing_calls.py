"""System calls of one process that fail as Linux documents, and a wall clock that is stepped: a shim and its control.

`build` makes the shared library with the C compiler of the machine; a process loads it by `variables`. `Control` turns
failures on and off while the process runs. Only processes that are started with those variables are touched.
"""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from enum import Enum
from pathlib import Path

SOURCE = Path(__file__).parent / "shim" / "failing_calls.c"
SHORT = 0  # in place of an error: a transfer of one byte
WITHOUT_END = -1
_HEADER = struct.Struct("=q")  # the wall clock's offset, ns
_FAILURE = struct.Struct("=iiii")  # per million, error, left, done


class Call(Enum):
    """What may fail; the value is its place in the control file."""

    ACCEPT = 0
    CONNECT = 1
    SOCKET = 2
    RECV = 3
    SEND = 4
    WAIT = 5  # epoll and poll
    DISK_WRITE = 6
    DISK_SYNC = 7


class ShimError(Exception):
    """The shim cannot be built here."""


def build(folder: Path) -> Path:
    """The shared library, made in this folder. Raises ShimError."""
    compiler = shutil.which("cc")
    if compiler is None:
        raise ShimError("no C compiler (cc) on this machine")
    library = folder / "failing_calls.so"
    command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)
    if done.returncode:
        raise ShimError(f"{' '.join(command)}: {done.stderr}")
    return library


class Control:
    """The control file of one process."""

    def __init__(self, path: Path, seed: int = 1) -> None:
        self.path, self.seed = path, seed
        path.write_bytes(bytes(_HEADER.size + _FAILURE.size * len(Call)))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), 0)

    def variables(self, library: Path) -> dict[str, str]:
        """What the process has to find in its environment."""
        return {
            "LD_PRELOAD": str(library),
            "FAILING_CALLS": str(self.path),
            "FAILING_CALLS_SEED": str(self.seed),
        }

    def fail(self, call: Call, error: int, *, share: float = 1.0, count: int = WITHOUT_END) -> None:
        """Have a share of these calls fail with this error from now on, so many at the most."""
        _FAILURE.pack_into(self._map, self._at(call), round(share * 1e6), error, count, 0)

    def stop(self, call: Call | None = None) -> None:
        """No failures any more of these calls, or of all."""
        for each in Call if call is None else (call,):
            _FAILURE.pack_into(self._map, self._at(each), 0, 0, 0, self.failed(each))

    def failed(self, call: Call) -> int:
        """How many calls have failed since `fail`."""
        done: int = _FAILURE.unpack_from(self._map, self._at(call))[3]
        return done

    def step_wall_clock(self, seconds: float) -> None:
        """Let the process read a wall clock that is so far from the machine's."""
        _HEADER.pack_into(self._map, 0, round(seconds * 1e9))

    def close(self) -> None:
        """Give the file back."""
        self._map.close()
        os.unlink(self.path)

    @staticmethod
    def _at(call: Call) -> int:
        return _HEADER.size + _FAILURE.size * call.value
