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

from cloverhold.net.discovery.departures import names_departures
from cloverhold.roster import Roster
from cloverhold.store.codec import StoreError
from cloverhold.store.log import Log
from cloverhold.store.patience import Patience
from cloverhold.store.real import RealDisk
from cloverhold.store.sent import Sent, Taken, Told, identity
from cloverhold.store.table import StoreTable

log = logging.getLogger(__name__)
LIST, MOVES = b"list", b"moves"
EXPIRE_S = 1.0
LIST_MS = 5000.0  # between two lists that are written: weights change every second
CLOSE_S = 0.5

Done = Callable[[bool], None]


class Store:
    """A node's store: open from the start, closed with `close`. Raises StoreError and OSError where it cannot be."""

    def __init__(self, table: StoreTable, now: Callable[[], float]) -> None:
        """now: the node's clock, in ms."""
        self.table, self.now = table, now
        self.disk = RealDisk(table.path)
        try:
            self.log = Log(self.disk, os.urandom(16), segment_bytes=table.segment_kb * 1024)
        except (StoreError, OSError):
            self.disk.close()
            raise
        if not self.log.durable:
            log.warning("store: %s had none: begun anew, nothing is remembered", table.path)
        if self.log.dropped:
            log.warning("store: %d bytes of a torn tail dropped; none of it was acknowledged", self.log.dropped)
        self.sent = Sent(table.keep_s * 1000)
        self.sent.restored(self.log.index, now())
        self._tickets, self._open = 0, dict[int, bytes]()  # records under way, by ticket
        self._patience: Patience | None = None
        self._queue: SimpleQueue[tuple[bytes, bytes | None, Done | None] | None] = SimpleQueue()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._thread = threading.Thread(target=self._write, name="store", daemon=True)
        self._failing = False
        self._roster, self._dirty, self._listed_at = Roster(), False, -LIST_MS
        if (kept := self._kept(LIST)) is not None:
            self._roster.take(kept)
        self._moves: dict[bytes, list[Any]] = {key: self._kept(key) for key in self.log.index if key.startswith(MOVES)}

    def known(self) -> Any:
        """The last list that was kept, in discovery's form; None where there is none."""
        return self._roster.value()

    def moves(self, part: str = "") -> list[Any]:
        """The moves of cells that were kept; part: of a worker."""
        return self._moves.get(MOVES + part.encode(), [])

    def _kept(self, key: bytes) -> Any:
        text = self.log.get(key)
        return json.loads(text) if text is not None else None

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to write."""
        self._loop, self._patience = loop, Patience(loop, self.table.most_delay_ms)
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
        """Keep a list, or changes of it, for a start without discovery; written now and then, at once where servers
        leave.
        """
        self._dirty |= self._roster.take(value)
        if names_departures(value):
            self._put_list()

    def keep_moves(self, moves: Sequence[Any], part: str = "") -> None:
        """Keep the moves of cells, all of them each time; part: of a worker."""
        key = MOVES + part.encode()
        self._moves[key] = list(moves)
        self._queue.put((key, json.dumps(self._moves[key]).encode(), None))

    def _put_list(self) -> None:
        if self._dirty:
            self._dirty, self._listed_at = False, self.now()
            self._queue.put((LIST, json.dumps(self._roster.value()).encode(), None))

    def record(self, call_id: bytes, key: bytes, told: Told) -> int | None:
        """Record a request that may run; a ticket for `over`, None where it may have run before.

        `told` is called once, later: "durable", "failed" (it is not, and will not be) or "late" (nobody knows yet).
        """
        return self.take(identity(call_id, key), told)

    def take(self, name: bytes, told: Told) -> int | None:
        """Record a request by its identity, as `record` does."""
        assert self._loop is not None and self._patience is not None
        if self.sent.take(name) is Taken.KNOWN:
            return None
        self._tickets += 1
        self._open[self._tickets] = name
        if self.hangs():  # no use to wait once more
            self._loop.call_soon(told, "failed")
            return self._tickets
        done = self._patience.wait(told)
        self._queue.put((name, b"", lambda good: done("durable" if good else "failed")))
        return self._tickets

    def hangs(self) -> bool:
        """Whether the disk has not done in its time what it was asked for."""
        return self._patience is not None and self._patience.hangs()

    def over(self, ticket: int, *, sent: bool) -> None:
        """A recorded request has had its answer."""
        name = self._open.pop(ticket)
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
            told: list[Done] = []
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

    def _tell(self, told: list[Done], good: bool) -> None:
        assert self._loop is not None
        try:
            self._loop.call_soon_threadsafe(_each, told, good)
        except RuntimeError:  # the loop has ended: nobody waits
            return


def _each(told: list[Done], good: bool) -> None:
    for done in told:
        done(good)
