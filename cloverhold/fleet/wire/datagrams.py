"""Datagrams between nodes: typed words to bytes and back. Pure.

    magic 2 | form 1 | reads up to form 1 | kind 1 | flags 1 | fleet 4 | sender 2 | incarnation 4 | life 4 | over 4 |
    nonce 4
    items: type 1, length 1, that many bytes; types that a reader does not know are skipped
    CRC-32 of all before it 4

Form 2 is form 1 with the program's version at the end of each claim. Integers are unsigned and big-endian.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum

MOST_BYTES = 256  # the platform's bound on a datagram
OLDEST, NEWEST = 1, 2  # forms that this program reads and writes
MAGIC = b"\xc1\x0f"
DOUBT = 1  # flag: the sender has no answer from most of those it watches
_HEAD = struct.Struct(">2sBBBBIHIIII")
_CLAIM = struct.Struct(">BHIII")
_PROGRAM = struct.Struct(">H")
_VOTE = struct.Struct(">BHHIIH")
_DIGEST = struct.Struct(">IH")
_SUM = struct.Struct(">I")
ROOM = MOST_BYTES - _HEAD.size - _SUM.size


class Kind(IntEnum):
    """What a datagram asks or answers."""

    PING = 1
    ACK = 2  # to a ping, with its nonce
    PUSH = 3  # rumours alone; nothing is owed
    JOIN = 4  # who is there, and what of my number?
    WELCOME = 5  # to a join, with its nonce
    ENTRIES = 6  # part of a view


class State(IntEnum):
    """What is said of a member. Of one life and incarnation the higher holds."""

    ALIVE = 1
    DEAD = 2
    LEFT = 3


class BadDatagram(Exception):
    """Bytes that are no datagram of this fleet; reason: a word to count it under."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Claim:
    """What is said of a number: `over` is the life that it was made against, 0 for none."""

    state: State
    number: int
    incarnation: int
    life: int
    over: int = 0
    program: int = 0

    def key(self) -> tuple[int, int]:
        """The order of claims of one number: the higher incarnation, then the higher life."""
        return self.incarnation, self.life


@dataclass(frozen=True, slots=True)
class Vote:
    """What a watcher sees of a subject in one life and incarnation. count: rises with each vote of the watcher."""

    up: bool
    weak: bool  # said in doubt
    watcher: int
    subject: int
    incarnation: int
    life: int
    count: int


@dataclass(frozen=True, slots=True)
class Digest:
    """A view in a few bytes. members: how many are alive in it."""

    sum: int
    members: int


Item = Claim | Vote | Digest


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram, read or to be written."""

    kind: Kind
    sender: int
    incarnation: int
    life: int
    nonce: int = 0
    doubt: bool = False
    items: tuple[Item, ...] = ()
    form: int = NEWEST
    reads: int = NEWEST
    over: int = 0  # the sender's claim was made against this life


def _body(item: Item, form: int) -> tuple[int, bytes]:
    match item:
        case Claim():
            body = _CLAIM.pack(item.state, item.number, item.incarnation, item.life, item.over)
            return 1, body + _PROGRAM.pack(item.program) if form >= 2 else body
        case Vote():
            flags = (1 if item.up else 0) | (2 if item.weak else 0)
            return 2, _VOTE.pack(flags, item.watcher, item.subject, item.incarnation, item.life, item.count & 0xFFFF)
        case Digest():
            return 3, _DIGEST.pack(item.sum, min(item.members, 0xFFFF))


def size(item: Item, form: int) -> int:
    """Bytes that an item takes in a datagram."""
    match item:
        case Claim():
            return 2 + _CLAIM.size + (_PROGRAM.size if form >= 2 else 0)
        case Vote():
            return 2 + _VOTE.size
        case Digest():
            return 2 + _DIGEST.size


def encode(datagram: Datagram, fleet: int) -> bytes:
    """The bytes of a datagram. Raises ValueError over 256 bytes: whoever fills one counts with `size`."""
    d = datagram
    parts = [_HEAD.pack(
        MAGIC, d.form, d.reads, d.kind, DOUBT if d.doubt else 0, fleet, d.sender, d.incarnation, d.life, d.over,
        d.nonce,
    )]  # fmt: skip
    for item in d.items:
        kind, body = _body(item, d.form)
        parts += (bytes((kind, len(body))), body)
    whole = b"".join(parts)
    if len(whole) + _SUM.size > MOST_BYTES:
        raise ValueError(f"a datagram of {len(whole) + _SUM.size} bytes")
    return whole + _SUM.pack(zlib.crc32(whole))


def decode(data: bytes, fleet: int, newest: int = NEWEST) -> Datagram:
    """A datagram from bytes, of a form up to `newest`. Raises BadDatagram: size, sum, magic, form, fleet, kind or
    items.
    """
    if not _HEAD.size + _SUM.size <= len(data) <= MOST_BYTES:
        raise BadDatagram("size")
    whole, (told,) = data[:-4], _SUM.unpack(data[-4:])
    if zlib.crc32(whole) != told:
        raise BadDatagram("sum")
    magic, form, reads, kind, flags, of, sender, incarnation, life, over, nonce = _HEAD.unpack_from(whole)
    if magic != MAGIC:
        raise BadDatagram("magic")
    if not OLDEST <= form <= newest or reads < form:
        raise BadDatagram("form")
    if of != fleet:
        raise BadDatagram("fleet")
    if not Kind.PING <= kind <= Kind.ENTRIES:
        raise BadDatagram("kind")
    items = tuple(_items(whole, form))
    return Datagram(Kind(kind), sender, incarnation, life, nonce, bool(flags & DOUBT), items, form, reads, over)


def _items(whole: bytes, form: int) -> Iterator[Item]:
    at = _HEAD.size
    while at < len(whole):
        if at + 2 > len(whole) or at + 2 + whole[at + 1] > len(whole):
            raise BadDatagram("items")
        kind, body = whole[at], whole[at + 2 : at + 2 + whole[at + 1]]
        at += 2 + len(body)
        if kind == 1:
            yield _claim(body, form)
        elif kind == 2:
            if len(body) != _VOTE.size:
                raise BadDatagram("items")
            said, watcher, subject, incarnation, life, count = _VOTE.unpack(body)
            yield Vote(bool(said & 1), bool(said & 2), watcher, subject, incarnation, life, count)
        elif kind == 3:
            if len(body) != _DIGEST.size:
                raise BadDatagram("items")
            yield Digest(*_DIGEST.unpack(body))


def _claim(body: bytes, form: int) -> Claim:
    if len(body) != _CLAIM.size + (_PROGRAM.size if form >= 2 else 0):
        raise BadDatagram("items")
    state, number, incarnation, life, over = _CLAIM.unpack_from(body)
    if not State.ALIVE <= state <= State.LEFT:
        raise BadDatagram("items")
    program = _PROGRAM.unpack_from(body, _CLAIM.size)[0] if form >= 2 else 0
    return Claim(State(state), number, incarnation, life, over, program)


def fill(items: Sequence[Item], form: int) -> Iterator[tuple[Item, ...]]:
    """Items in as few datagrams as hold them, in their order."""
    part: list[Item] = []
    left = ROOM
    for item in items:
        if (need := size(item, form)) > left:
            yield tuple(part)
            part, left = [], ROOM
        part.append(item)
        left -= need
    if part:
        yield tuple(part)


def fleet_of(name: str) -> int:
    """A fleet's name as it stands in each datagram."""
    return zlib.crc32(name.encode())
