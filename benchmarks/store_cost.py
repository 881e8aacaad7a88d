"""The store beside sqlite3 (WAL, synchronous=FULL) and lmdb, on the same disk in one run.

    python benchmarks/store_cost.py [--dir DIR] [--seconds 2] [--records 1000000]     # lmdb: pip install lmdb

Durable records a second where 1, 16 and 256 wait for one sync (keys of 17 bytes, no value: the sent record); bytes
written a byte kept, by /proc/self/io; then a store of `--records`: seconds to open until ready, memory.
"""

from __future__ import annotations

import argparse
import gc
import os
import shutil
import sqlite3
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import lmdb

from cloverhold.store.log import Log
from cloverhold.store.real import RealDisk

Batch = Callable[[list[bytes]], None]


def written() -> int:
    """Bytes that this process has written so far."""
    return int(Path("/proc/self/io").read_text().split("wchar: ")[1].split()[0])


def own(path: str) -> tuple[Batch, Callable[[], None]]:
    """Put a batch into the store; close it."""
    disk = RealDisk(path)
    log = Log(disk, os.urandom(16))

    def batch(keys: list[bytes]) -> None:
        for key in keys:
            log.put(key)
        log.flush()

    return batch, disk.close


def sqlite(path: str) -> tuple[Batch, Callable[[], None]]:
    """The same on sqlite3."""
    os.makedirs(path, exist_ok=True)
    base = sqlite3.connect(f"{path}/base", isolation_level=None)
    base.execute("PRAGMA journal_mode=WAL")
    base.execute("PRAGMA synchronous=FULL")
    base.execute("CREATE TABLE IF NOT EXISTS sent (key BLOB PRIMARY KEY) WITHOUT ROWID")

    def batch(keys: list[bytes]) -> None:
        base.execute("BEGIN")
        base.executemany("INSERT OR REPLACE INTO sent VALUES (?)", [(key,) for key in keys])
        base.execute("COMMIT")

    return batch, base.close


def mdb(path: str) -> tuple[Batch, Callable[[], None]]:
    """The same on lmdb."""
    env = lmdb.open(path, map_size=2**30)

    def batch(keys: list[bytes]) -> None:
        with env.begin(write=True) as change:
            for key in keys:
                change.put(key, b"")

    return batch, env.close


MAKES = {"store": own, "sqlite3": sqlite, "lmdb": mdb}


def rate(name: str, folder: str, waiting: int, seconds: float) -> tuple[float, float]:
    """Durable records a second, and bytes written a byte kept."""
    path = f"{folder}/{name}-{waiting}"
    batch, close = MAKES[name](path)
    count, before = 0, written()
    until = time.perf_counter() + seconds
    begun = time.perf_counter()
    while time.perf_counter() < until:
        batch([os.urandom(17) for _ in range(waiting)])
        count += waiting
    took = time.perf_counter() - begun
    out = written() - before
    close()
    shutil.rmtree(path)
    return count / took, out / (17 * count)


def ready(name: str, path: str) -> None:
    """In a process of its own: open, look one key up, print seconds and memory in MB."""
    gc.disable()
    begun = time.perf_counter()
    if name == "store":
        log = Log(RealDisk(path), os.urandom(16))
        assert log.get(b"%017d" % 5) is not None
    elif name == "sqlite3":
        base = sqlite3.connect(f"{path}/base")
        assert base.execute("SELECT 1 FROM sent WHERE key = ?", (b"%017d" % 5,)).fetchone()
    else:
        with lmdb.open(path, map_size=2**30).begin() as read:
            assert read.get(b"%017d" % 5) is not None
    took = time.perf_counter() - begun
    print(took, int(Path("/proc/self/statm").read_text().split()[1]) * 4096 / 2**20)


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--dir", default=None)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--records", type=int, default=1_000_000)
    parser.add_argument("--ready", nargs=2, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.ready:
        ready(*options.ready)
        return
    with tempfile.TemporaryDirectory(dir=options.dir) as folder:
        print("| waiting | " + " | ".join(f"{name} records/s | written" for name in MAKES) + " |")
        print("| --- |" + " --- | --- |" * len(MAKES))
        for waiting in (1, 16, 256):
            found = [rate(name, folder, waiting, options.seconds) for name in MAKES]
            print(f"| {waiting} | " + " | ".join(f"{got:.0f} | {out:.1f}" for got, out in found) + " |", flush=True)
        print(f"\n| {options.records} records | s to ready | MB after |\n| --- | --- | --- |")
        for name, make in MAKES.items():
            batch, close = make(f"{folder}/{name}")
            for start in range(0, options.records, 1000):
                batch([b"%017d" % n for n in range(start, min(start + 1000, options.records))])
            close()
            said = subprocess.run([sys.executable, __file__, "--ready", name, f"{folder}/{name}"], check=True,
                                  capture_output=True, text=True).stdout.split()  # fmt: skip
            print(f"| {name} | {float(said[0]):.2f} | {float(said[1]):.0f} |", flush=True)


if __name__ == "__main__":
    main()
