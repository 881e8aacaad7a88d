"""What a folder's files mean after any cut: the store as it was last durable, or a refusal that says why.

The rules. The manifest names the segments; what it does not name is no part of the store. A sealed segment counts up to
the end that the manifest states, and must be whole up to there: what was acknowledged stood there. The active one
counts up to its first record that is not whole: a cut leaves such a tail, and nothing of it was acknowledged, unless
the mark says that it was. Then the file was damaged, and a store that went on without those records could let a
request run twice: it is refused.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverhold.store.codec import (
    HEAD_SIZE, Kind, Manifest, Record, StoreError, later_record, read_head, read_manifest, read_mark, records, seed_of,
    segment_name,
)  # fmt: skip
from cloverhold.store.disk import MANIFEST, MARK, Disk


@dataclass(slots=True)
class Recovered:
    """A store as found. live: by key, its last record."""

    manifest: Manifest
    live: dict[bytes, Record] = field(default_factory=dict)
    sequence: int = 0  # of the last record
    marked: int = 0  # the last sequence that is known to have been synced; 0: nothing is known
    end: int = 0  # bytes of the active segment up to there
    tail: list[Record] = field(default_factory=list)  # its whole records behind that: read, and maybe never synced
    dropped: int = 0  # bytes behind those


def exists(disk: Disk) -> bool:
    """Whether there is a store. Raises StoreError where there are remains of one without its manifest."""
    names = disk.names()
    if MANIFEST in names:
        return True
    for name in names:
        if name.endswith(".log") and len(disk.read(name)) > HEAD_SIZE:
            raise StoreError(f"{MANIFEST}: is missing, and {name} has records; restore it or salvage the store")
    return False


def recover(disk: Disk, *, copied: bool = False) -> Recovered:
    """Read a store. copied: accept that it stands elsewhere than it was written. Raises StoreError, OSError."""
    names = set(disk.names())
    manifest = read_manifest(disk.read(MANIFEST), MANIFEST)
    if not copied and manifest.place is not None and manifest.place != disk.place():
        raise StoreError(
            f"{MANIFEST}: this is a copy of a store, maybe an old one; `cloverhold store adopt` if none newer is left"
        )
    found = Recovered(manifest)
    found.marked = marked = read_mark(disk.read(MARK), manifest.store) if MARK in names else 0
    for sealed in manifest.sealed:
        end, _ = _segment(disk, names, found, sealed.number, sealed.end)
        if end != sealed.end or found.sequence != sealed.last:
            raise StoreError(
                f"{segment_name(sealed.number)}: offset {end}: record {found.sequence + 1} is damaged; restore the "
                "file or salvage the store"
            )
    whole, size = _segment(disk, names, found, manifest.active, None)
    found.dropped = size - whole
    if marked > found.sequence:
        raise StoreError(
            f"{segment_name(manifest.active)}: offset {whole}: record {found.sequence + 1} is damaged or gone, "
            f"and up to {marked} was durable; restore the file or salvage the store"
        )
    return found


def _segment(disk: Disk, names: set[str], found: Recovered, number: int, end: int | None) -> tuple[int, int]:
    """Apply a segment's records; where they end, and the file's size."""
    name = segment_name(number)
    if name not in names:
        raise StoreError(f"{name}: is missing and {MANIFEST} names it; restore it or salvage the store")
    data = disk.read(name)
    if end is not None and len(data) < end:
        raise StoreError(f"{name}: offset {len(data)}: is cut, {end} bytes were durable; restore it")
    store, of, first = read_head(data, name)
    if (store, of) != (found.manifest.store, number):
        raise StoreError(f"{name}: offset 0: is a segment of another store, or another one; restore the right file")
    if first != found.sequence + 1 and found.sequence:
        raise StoreError(f"{name}: offset 0: begins with record {first}, not {found.sequence + 1}; restore the file")
    found.sequence, at = first - 1, HEAD_SIZE
    record, found.end = None, HEAD_SIZE
    for record in records(data, seed_of(store, number), HEAD_SIZE, first, len(data) if end is None else end):
        apply(found.live, record)
        if end is None and record.sequence > found.marked:
            found.tail.append(record)
        elif end is None:
            found.end = record.offset + record.size
    if record is not None:
        found.sequence, at = record.sequence, record.offset + record.size
    return at, len(data)


def salvage(disk: Disk) -> tuple[dict[bytes, bytes], list[str]]:
    """All whole records of a store that cannot be used, by key, the last of each; and what is damaged, a line each.

    What was deleted or replaced by a record that is lost comes back: for sent requests that errs on the safe side.
    """
    live: dict[bytes, Record] = {}
    lines: list[str] = []
    for name in sorted(name for name in disk.names() if name.endswith(".log")):
        data = disk.read(name)
        try:
            store, number, sequence = read_head(data, name)
        except StoreError as error:
            lines.append(str(error))
            continue
        at, seed = HEAD_SIZE, seed_of(store, number)
        while True:
            for record in records(data, seed, at, sequence, len(data)):
                apply(live, record)
                at, sequence = record.offset + record.size, record.sequence + 1
            if at >= len(data):
                break
            later = later_record(data, seed, at)
            until = later[0] if later is not None else len(data)
            lines.append(f"{name}: offset {at}: {until - at} bytes are no records")
            if later is None:
                break
            at, sequence = later
    return {key: record.value for key, record in live.items()}, lines


def apply(live: dict[bytes, Record], record: Record) -> None:
    """What a record does to the live ones."""
    if record.kind == Kind.PUT:
        live[record.key] = record
    else:
        live.pop(record.key, None)
