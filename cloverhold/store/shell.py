"""The store's end in a node: one thread that writes, one sync for all that wait; the loop never waits for a disk."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import threading
from collections.abc import Callable, Sequence
from queue import Empty, SimpleQueue
from typing import Any

from cloverhold.store.codec import StoreError
from cloverhold.store.log import Log
from cloverhold.store.real import RealDisk
from cloverhold.store.sent import Sent, Taken, identity
from cloverhold.store.table import StoreTable

log = logging.getLogger(__name__)
LIST, MOVES = b"list", b"moves"
EXPIRE_S = 1.0
LIST_MS = 5000.0  # between two lists that are written: weights change every second
CLOSE_S = 0.5

Told = Callable[[bool], None]


class Store:
    """A node's store: open from the start, closed with `close`. Raises StoreError and OSError where it cannot be."""

    def __init__(self, table: StoreTable, now: Callable[[], float], *, part: str = "") -> None:
        """now: the node's clock, in ms; part: of a worker, which has a folder of its own below."""
        self.table, self.now = table, now
        path = os.path.join(table.path, part) if part else table.path
        self.disk = RealDisk(path)
        try:
            self.log = Log(self.disk, os.urandom(16), segment_bytes=table.segment_kb * 1024)
        except (StoreError, OSError):
            self.disk.close()
            raise
        if not self.log.durable:
            log.warning("store: %s had none: begun anew, nothing is remembered", path)
        if self.log.dropped:
            log.warning("store: %d bytes of a torn tail dropped; none of it was acknowledged", self.log.dropped)
        self.sent = Sent(table.keep_s * 1000)
        self.sent.restored(self.log.index, now())
        self.late = 0  # records that were not durable in time and still are not
        self._queue: SimpleQueue[tuple[bytes, bytes | None, Told | None] | None] = SimpleQueue()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._thread = threading.Thread(target=self._write, name="store", daemon=True)
        self._failing = False
        self._list: dict[str, Any] = {}  # the last list, by server
        self._rev, self._dirty, self._listed_at = 0, False, -LIST_MS

    def known(self) -> Any:
        """The last list that was kept, in discovery's form; None where there is none. Before `start`."""
        return self._kept(LIST)

    def moves(self) -> list[Any]:
        """The moves of cells that were kept. Before `start`."""
        return list(self._kept(MOVES) or ())

    def _kept(self, key: bytes) -> Any:
        text = self.log.get(key)
        return json.loads(text) if text is not None else None

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to write."""
        self._loop = loop
        self._thread.start()
        self._timer = loop.call_later(EXPIRE_S, self._expire)

    def close(self) -> None:
        """Write what waits, and close."""
        if self._timer is not None:
            self._timer.cancel()
        if self._thread.ident is not None:
            self._put_list()
            self._queue.put(None)
            self._thread.join(CLOSE_S)  # a disk that hangs must not hold up the end
        if not self._thread.is_alive():
            self.disk.close()

    # ---------------------------------------------------------------- on the loop

    def keep_list(self, value: dict[str, Any]) -> None:
        """Keep a list, or changes of it, for a start without discovery; written now and then."""
        if value["all"]:
            self._list.clear()
        for target in value["targets"]:
            if target["state"] == "left":
                self._list.pop(target["uid"], None)
            else:
                self._list[target["uid"]] = target
        self._rev, self._dirty = value["rev"], True

    def keep_moves(self, moves: Sequence[Any]) -> None:
        """Keep the moves of cells, all of them each time."""
        self._queue.put((MOVES, json.dumps(list(moves)).encode(), None))

    def _put_list(self) -> None:
        if self._dirty:
            self._dirty, self._listed_at = False, self.now()
            said = {"rev": self._rev, "all": True, "targets": list(self._list.values())}
            self._queue.put((LIST, json.dumps(said).encode(), None))

    def record(self, call_id: bytes, key: bytes, told: Callable[[str], None]) -> bytes | None:
        """Record a request that may run; its identity, None where it may have run before.

        `told` is called once, later: "durable", "failed" (it is not, and will not be) or "late" (nobody knows yet).
        """
        assert self._loop is not None
        name = identity(call_id, key)
        if self.sent.take(name) is Taken.KNOWN:
            return None
        if self.late:  # the disk hangs: no use to wait once more
            self._loop.call_soon(told, "failed")
            return name
        waiting = True

        def done(good: bool) -> None:
            nonlocal waiting
            if not waiting:
                self.late -= 1
                return
            waiting = False
            timer.cancel()
            told("durable" if good else "failed")

        def late() -> None:
            nonlocal waiting
            waiting = False
            self.late += 1
            told("late")

        timer = self._loop.call_later(self.table.most_delay_ms / 1000, late)
        self._queue.put((name, b"", done))
        return name

    def over(self, name: bytes, *, sent: bool) -> None:
        """A recorded request has had its answer."""
        if self.sent.over(name, self.now(), sent=sent):
            self._queue.put((name, None, None))

    def _expire(self) -> None:
        assert self._loop is not None
        self._timer = self._loop.call_later(EXPIRE_S, self._expire)
        for name in self.sent.expired(self.now()):
            self._queue.put((name, None, None))
        if self.now() - self._listed_at >= LIST_MS:
            self._put_list()

    # ---------------------------------------------------------------- on the thread

    def _write(self) -> None:
        while True:
            batch, ends = [self._queue.get()], False
            while True:
                try:
                    batch.append(self._queue.get_nowait())
                except Empty:
                    break
            told: list[Told] = []
            for item in batch:
                if item is None:
                    ends = True
                    continue
                key, value, done = item
                if value is None:
                    self.log.forget(key)
                else:
                    self.log.put(key, value)
                if done is not None:
                    told.append(done)
            good = self._flush()
            if told:
                self._tell(told, good)
            if ends:
                return

    def _flush(self) -> bool:
        """Make all durable, and a slice of compaction; whether it is."""
        try:
            self.log.flush()
        except OSError as error:
            if not self._failing:
                log.error("store: %s; unsafe requests are refused until it can be written", error)
            self._failing = True
            return False
        if self._failing:
            log.info("store: it can be written again")
        self._failing = False
        try:
            self.log.compact()
        except OSError as error:  # nothing is lost: the next slice begins anew
            log.warning("store: compaction: %s", error)
        return True

    def _tell(self, told: list[Told], good: bool) -> None:
        assert self._loop is not None
        try:
            self._loop.call_soon_threadsafe(_each, told, good)
        except RuntimeError:  # the loop has ended: nobody waits
            return


def _each(told: list[Told], good: bool) -> None:
    for done in told:
        done(good)
