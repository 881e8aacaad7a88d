"""An open store: put, get, delete, flush, and compaction in slices.

One owner calls it, in one thread. What is put counts from the next `flush` that returns; one `flush` is one sync for
all that was put since the last. A flush that fails takes all of that back, and nothing is written to that segment any
more: nobody knows what of it is there, and a second sync would say nothing. The next flush begins a new segment.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import replace

from cloverhold.store.codec import (
    HEAD_SIZE, Kind, Manifest, Record, Sealed, encode, head, mark, read_head, records, seed_of, segment_name,
)  # fmt: skip
from cloverhold.store.disk import MANIFEST, MARK, SPARE, Disk
from cloverhold.store.recovery import exists, recover

SEGMENT_BYTES = 4 * 1024 * 1024
SLACK = 2  # times what is live that sealed segments may hold, and a segment, before the oldest is compacted
SLICE = 256  # records that one step of a compaction looks at


def switch(disk: Disk, manifest: Manifest) -> None:
    """Put another manifest in the place of a disk's, in one step. Raises OSError; either may then be there."""
    disk.create(SPARE)
    disk.append(SPARE, manifest.encode())
    disk.sync(SPARE)
    disk.release(SPARE)
    disk.rename(SPARE, MANIFEST)
    disk.sync_names()


class Log:
    """A store on a disk. Raises StoreError where there is one that cannot be used, and OSError."""

    def __init__(self, disk: Disk, identity: bytes, *, segment_bytes: int = SEGMENT_BYTES) -> None:
        """Open the store of this disk, or begin one. identity: 16 random bytes, used where one is begun."""
        self.disk, self.segment_bytes = disk, segment_bytes
        self.index: dict[bytes, Record] = {}  # the last record of each key
        self.live = 0  # bytes of the records in the index
        self._buffer: list[bytes] = []
        self._undo: list[tuple[bytes, Record | None]] = []
        self._broken = False
        self._seed = 0  # of the active segment's checksums
        self._compacting: Iterator[Record] | None = None
        self._oldest: Sealed | None = None
        if exists(disk):
            found = recover(disk)
            self.index = found.live
            self.live = sum(record.size for record in found.live.values())
            self.sequence = self.durable = found.sequence - len(found.tail)
            self.dropped, tail = found.dropped, found.tail
            self.manifest, self.end = found.manifest, found.end
        else:
            self.sequence = self.durable = self.dropped = 0
            self.manifest, self.end = Manifest(identity, 0, (), 0, disk.place()), 0
            tail = []
        self._roll(tail)
        self._clean()

    # ---------------------------------------------------------------- records

    def get(self, key: bytes) -> bytes | None:
        """The value of a key, also one that is not durable yet."""
        entry = self.index.get(key)
        return entry.value if entry is not None else None

    def put(self, key: bytes, value: bytes = b"") -> None:
        """Set a key's value, from the next flush on for good. Raises ValueError for what is too long."""
        self._write(Kind.PUT, key, value)

    def delete(self, key: bytes) -> None:
        """Take a key away, from the next flush on for good; nothing where there is none."""
        if key in self.index:
            self._write(Kind.DELETE, key, b"")

    def forget(self, key: bytes) -> None:
        """A key is of no use any more. Nothing is written: after a restart it may be there again, until compacted."""
        self._set(key, None)

    def _write(self, kind: Kind, key: bytes, value: bytes) -> None:
        data = encode(self._seed, kind, self.sequence + 1, key, value)
        self.sequence += 1
        self._buffer.append(data)
        self._undo.append((key, self.index.get(key)))
        self._set(key, Record(kind, self.sequence, key, value, 0, len(data)) if kind is Kind.PUT else None)

    def _set(self, key: bytes, entry: Record | None) -> None:
        old = self.index.pop(key, None)
        if old is not None:
            self.live -= old.size
        if entry is not None:
            self.index[key] = entry
            self.live += entry.size

    # ---------------------------------------------------------------- durability

    def flush(self) -> None:
        """Make all that was put durable. Raises OSError; all of it is then taken back, as if it had not been put.

        The mark notes how far the log is durable, so that a tail that is gone later is known to have been there.
        """
        if not self._buffer:
            return
        try:
            if self._broken:
                self._mend()
            name, data = segment_name(self.manifest.active), b"".join(self._buffer)
            self._broken = True  # until it is known to have gone well
            self.disk.append(name, data)
            self.disk.sync(name)
        except OSError:
            self._take_back()
            raise
        self._broken = False
        self.end += len(data)
        self.durable = self.sequence
        self._buffer, self._undo = [], []
        try:  # what was put is durable, whatever becomes of these
            self.disk.overwrite(MARK, mark(self.manifest.store, self.durable))
            if self.end >= self.segment_bytes:
                self._roll()
        except OSError:
            self._broken = True  # the next flush begins a new segment

    def _take_back(self) -> None:
        for key, entry in reversed(self._undo):
            self._set(key, entry)
        self.sequence = self.durable
        self._buffer, self._undo = [], []
        self._compacting = None  # what it had copied may be among it

    def _mend(self) -> None:
        """Begin a new segment in place of one that a write or a sync has failed on, and write there what waits."""
        waiting = [(key, self.index.get(key)) for key, _ in self._undo]
        undo = self._undo
        self._roll()
        self._buffer, self._undo, self.sequence = [], [], self.durable
        last = {key: at for at, (key, _) in enumerate(waiting)}
        for at, (key, entry) in enumerate(waiting):
            if last[key] == at:
                self._rewrite(key, entry)
        self._undo = undo
        self._broken = False

    def _rewrite(self, key: bytes, entry: Record | None) -> None:
        kind, value = (Kind.DELETE, b"") if entry is None else (Kind.PUT, entry.value)
        self.sequence += 1
        self._buffer.append(encode(self._seed, kind, self.sequence, key, value))
        if entry is not None:
            self.index[key] = entry._replace(sequence=self.sequence)

    def _roll(self, tail: Sequence[Record] = ()) -> None:
        """Seal the active segment where it is known to be durable, and begin another.

        tail: what was read behind that. A life that was killed may have written it and never synced it: it would be
        lost with the next cut of power, so it is written once more, before the manifest seals without it.

        The new one lasts, under its name, before the manifest says so: its entry and the manifest's may reach the disk
        in either order.
        """
        old = self.manifest
        sealed, number = old.sealed, old.active + 1
        if self.end > HEAD_SIZE:
            sealed = (*sealed, Sealed(old.active, self.end, self.durable))
        name = segment_name(number)
        self.disk.create(name)
        seed, begin = seed_of(old.store, number), head(old.store, number, self.durable + 1)
        data = begin + b"".join(encode(seed, Kind(r.kind), r.sequence, r.key, r.value) for r in tail)
        self.disk.append(name, data)
        self.disk.sync(name)
        self.disk.sync_names()
        self._switch(replace(old, epoch=old.epoch + 1, sealed=sealed, active=number, place=self.disk.place()))
        self._seed, self.end, self.durable = seed, len(data), self.durable + len(tail)
        self.sequence = max(self.sequence, self.durable)
        if old.active:
            self.disk.release(segment_name(old.active))

    def _switch(self, manifest: Manifest) -> None:
        """Put another manifest in the place of the last, in one step."""
        switch(self.disk, manifest)
        self.manifest = manifest

    def _clean(self) -> None:
        """Remove the files that no manifest names: what a cut left of a switch or a compaction."""
        named = {segment_name(s.number) for s in self.manifest.sealed} | {segment_name(self.manifest.active)}
        for name in self.disk.names():
            if (name.endswith(".log") and name not in named) or name == SPARE:
                self.disk.remove(name)

    # ---------------------------------------------------------------- compaction

    def due(self) -> bool:
        """Whether the oldest segment should be compacted."""
        held = sum(s.end for s in self.manifest.sealed)
        return bool(self.manifest.sealed) and held > SLACK * self.live + self.segment_bytes

    def compact(self) -> bool:
        """One slice of a compaction, if one is due or under way; whether there is more to do. Raises OSError.

        The oldest first: nothing is older, so its deletions need not be kept. What is live in it is put once more,
        behind all else, and the segment goes once that is durable.
        """
        if self._compacting is None:
            if not self.due():
                return False
            self._oldest = self.manifest.sealed[0]
            data = self.disk.read(segment_name(self._oldest.number))
            _, _, first = read_head(data, segment_name(self._oldest.number))
            seed = seed_of(self.manifest.store, self._oldest.number)
            self._compacting = records(data, seed, HEAD_SIZE, first, self._oldest.end)
        for _ in range(SLICE):
            record = next(self._compacting, None)
            if record is None:
                return self._compacted()
            entry = self.index.get(record.key)
            if record.kind == Kind.PUT and entry is not None and entry.sequence == record.sequence:
                self.put(record.key, record.value)
        self.flush()
        return True

    def _compacted(self) -> bool:
        self.flush()
        assert self._oldest is not None
        gone, self._compacting, self._oldest = self._oldest, None, None
        sealed = tuple(s for s in self.manifest.sealed if s.number != gone.number)
        self._switch(replace(self.manifest, epoch=self.manifest.epoch + 1, sealed=sealed))
        self.disk.remove(segment_name(gone.number))
        return self.due()

    def size(self) -> int:
        """Bytes of all segments."""
        return sum(s.end for s in self.manifest.sealed) + self.end
