"""The bytes of the store: records, heads of segments, the manifest, the mark. docs/store-format.md; version 1.

All numbers are little-endian. Checksums are CRC32C (Castagnoli; RFC 3720, B.4), begun with the store's identity and the
segment's number, so that a record of another store, or of another segment, is none here.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

import google_crc32c

VERSION = 1
MAGIC = b"CLOVRLOG"
HEAD = struct.Struct("<8sHxx16sQQ")  # magic, version, store, segment, first sequence
RECORD = struct.Struct("<IIBQH")  # checksum of all that follows, bytes that follow it, kind, sequence, bytes of the key
MARK = struct.Struct("<16sQI")  # store, last sequence known to be durable, checksum
CRC = struct.Struct("<I")
HEAD_SIZE = HEAD.size + CRC.size
AFTER = RECORD.size - 8  # of a record's fixed part, what its length counts
MOST_KEY = 0xFFFF
MOST_VALUE = 16 * 1024 * 1024


class Kind(IntEnum):
    """What a record does."""

    PUT = 1
    DELETE = 2


class StoreError(Exception):
    """A store that cannot be used. The text is one line: file, offset, what is wrong, what can be done."""


class NewerFormat(StoreError):
    """A file of a version that this program does not read."""


class Record(NamedTuple):
    """One record as it stands in a segment. offset, size: in bytes, of the whole record."""

    kind: int  # a Kind
    sequence: int
    key: bytes
    value: bytes
    offset: int
    size: int


def seed_of(store: bytes, segment: int) -> int:
    """What a segment's checksums begin with."""
    return int(google_crc32c.value(store + segment.to_bytes(8, "little")))


def encode(seed: int, kind: Kind, sequence: int, key: bytes, value: bytes) -> bytes:
    """A record's bytes. Raises ValueError where key or value are too long."""
    if len(key) > MOST_KEY or len(value) > MOST_VALUE:
        raise ValueError(f"a key of {len(key)} and a value of {len(value)} bytes: {MOST_KEY} and {MOST_VALUE} are most")
    rest = RECORD.pack(0, AFTER + len(key) + len(value), kind, sequence, len(key))[4:] + key + value
    return CRC.pack(google_crc32c.extend(seed, rest)) + rest


def head(store: bytes, segment: int, first: int) -> bytes:
    """A segment's head. first: the sequence of its first record."""
    text = HEAD.pack(MAGIC, VERSION, store, segment, first)
    return text + CRC.pack(google_crc32c.value(text))


def read_head(data: bytes, name: str) -> tuple[bytes, int, int]:
    """Store, segment and first sequence. Raises StoreError, NewerFormat for a later version."""
    if len(data) < HEAD_SIZE:
        raise StoreError(f"{name}: offset {len(data)}: its head is cut; restore the file or salvage the store")
    magic, version, store, segment, first = HEAD.unpack_from(data)
    if magic != MAGIC:
        raise StoreError(f"{name}: offset 0: no segment of a store; restore the file or salvage the store")
    if CRC.unpack_from(data, HEAD.size)[0] != google_crc32c.value(data[: HEAD.size]):
        raise StoreError(f"{name}: offset 0: its head is damaged; restore the file or salvage the store")
    if version > VERSION:
        raise NewerFormat(f"{name}: format {version}; this program reads up to {VERSION}: run a newer one")
    return store, segment, first


def records(data: bytes, seed: int, at: int, sequence: int, end: int) -> Iterator[Record]:
    """The records from an offset on, as long as each is whole and has the sequence that follows. Never raises."""
    unpack, extend, fixed = RECORD.unpack_from, google_crc32c.extend, RECORD.size
    while at + fixed <= end:
        checksum, after, kind, number, of_key = unpack(data, at)
        size = 8 + after
        if after < AFTER + of_key or at + size > end or number != sequence or kind not in (1, 2):
            return
        if extend(seed, data[at + 4 : at + size]) != checksum:
            return
        body = at + fixed
        yield Record(kind, number, data[body : body + of_key], data[body + of_key : at + size], at, size)
        at += size
        sequence += 1


def later_record(data: bytes, seed: int, at: int) -> tuple[int, int] | None:
    """Offset and sequence of the first whole record at or behind an offset: for salvage; None where there is none."""
    for start in range(at, len(data) - RECORD.size + 1):
        checksum, after, kind, number, of_key = RECORD.unpack_from(data, start)
        if kind in (1, 2) and AFTER + of_key <= after <= len(data) - start - 8:
            if google_crc32c.extend(seed, data[start + 4 : start + 8 + after]) == checksum:
                return start, number
    return None


@dataclass(frozen=True, slots=True)
class Sealed:
    """A segment that is written no more. end: bytes of it that count; last: the sequence of its last record, or of the
    one before it where it has none.
    """

    number: int
    end: int
    last: int


@dataclass(frozen=True, slots=True)
class Manifest:
    """Which segments the store is made of, in their order; `active` is the one that is written."""

    store: bytes
    epoch: int
    sealed: tuple[Sealed, ...]
    active: int
    place: tuple[int, int] | None = None  # device and inode of the lock file, by which a copy is known

    def encode(self) -> bytes:
        """A line of JSON and its checksum."""
        said = {
            "format": VERSION, "store": self.store.hex(), "epoch": self.epoch, "active": self.active,
            "sealed": [[s.number, s.end, s.last] for s in self.sealed],
            "place": list(self.place) if self.place is not None else None,
        }  # fmt: skip
        text = json.dumps(said, separators=(",", ":")).encode()
        return b"%s %08x\n" % (text, google_crc32c.value(text))


def read_manifest(data: bytes, name: str) -> Manifest:
    """A manifest from its bytes. Raises StoreError, NewerFormat for a later version."""
    text, _, checksum = data.rstrip(b"\n").rpartition(b" ")
    if not data.endswith(b"\n") or checksum != b"%08x" % google_crc32c.value(text):
        raise StoreError(f"{name}: offset 0: damaged or cut; restore the file or salvage the store")
    said: dict[str, Any] = json.loads(text)
    if said["format"] > VERSION:
        raise NewerFormat(f"{name}: format {said['format']}; this program reads up to {VERSION}: run a newer one")
    sealed = tuple(Sealed(*entry) for entry in said["sealed"])
    place = tuple(said["place"]) if said["place"] is not None else None
    return Manifest(bytes.fromhex(said["store"]), said["epoch"], sealed, said["active"], place)


def mark(store: bytes, sequence: int) -> bytes:
    """The mark: all up to this sequence was durable when it was written."""
    text = store + sequence.to_bytes(8, "little")
    return text + CRC.pack(google_crc32c.value(text))


def read_mark(data: bytes, store: bytes) -> int:
    """The sequence of a mark; 0 where it is cut, damaged or of another store: it then says nothing."""
    if len(data) != MARK.size:
        return 0
    of, sequence, checksum = MARK.unpack(data)
    if of != store or checksum != google_crc32c.value(data[:24]):
        return 0
    return int(sequence)


def segment_name(number: int) -> str:
    """The file of a segment."""
    return f"{number:016x}.log"
