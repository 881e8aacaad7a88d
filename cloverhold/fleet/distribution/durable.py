"""Scopes in a store's log. Does no I/O of its own: the log speaks to its disk.

A change is one record, so that a cut leaves all of it or nothing. From time to time, and where the whole was told, a
record holds all; then the older ones are deleted behind it, in the same flush: whichever of these records a cut leaves,
the newest whole and the changes that lead on from it are what was last acknowledged.
"""

from __future__ import annotations

import errno
import struct
from collections.abc import Iterator

import msgspec

from cloverhold.fleet.distribution.interface import Entries, Mark, Persist
from cloverhold.fleet.distribution.scope import Scope
from cloverhold.store.codec import MOST_VALUE
from cloverhold.store.log import Log

PREFIX, EPOCH = b"scope/", b"epoch"
VERSION = struct.Struct(">QQ")
MOST_CHANGES = 64  # records of one scope; then they become one


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """What `Persist` says of a scope."""

    base: Mark | None
    upto: Mark
    floor: int
    entries: Entries


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(_Record).decode


def _begin(name: str) -> bytes:
    return PREFIX + name.encode() + b"\0"


class Durable:
    """All scopes of one process. Raises OSError where what is to last does not; then nothing of it is there."""

    def __init__(self, log: Log) -> None:
        self.log = log
        self._keys: dict[str, list[bytes]] = {}  # by scope, its records, the oldest first
        for key in log.index:
            if key.startswith(PREFIX):
                name, _, _ = key[len(PREFIX) :].rpartition(b"\0" + key[-VERSION.size :])
                self._keys.setdefault(name.decode(), []).append(key)
        for keys in self._keys.values():
            keys.sort(key=lambda key: key[-VERSION.size :])

    def scopes(self) -> dict[str, Scope]:
        """As they were last made durable. A scope that cannot be read whole is not held."""
        found = {name: self._load(name) for name in self._keys}
        return {name: scope for name, scope in found.items() if scope is not None}

    def write(self, persist: Persist) -> None:
        """Make a change durable."""
        begin = _begin(persist.scope)
        key = begin + VERSION.pack(*persist.upto.version)
        keys = self._keys.get(persist.scope, [])
        record, old = _Record(persist.base, persist.upto, persist.floor, persist.entries), list[bytes]()
        if persist.base is None:
            old = keys
        elif len(keys) >= MOST_CHANGES:
            held = self._load(persist.scope)
            made = held.after(persist.upto, persist.entries) if held is not None else None
            if made is not None:
                record, old = _Record(None, made.mark, made.floor, made.whole()), keys
        value = _encode(record)
        if len(value) > MOST_VALUE:
            raise OSError(errno.EFBIG, f"{persist.scope}: {len(value)} bytes, {MOST_VALUE} are most")
        self.log.put(key, value)
        for other in old:
            if other != key:
                self.log.delete(other)
        self.log.flush()
        self._keys[persist.scope] = [*(k for k in keys if k not in old and k != key), key]

    def forget(self, name: str) -> None:
        """A scope is followed no more."""
        keys = self._keys.get(name, [])
        for key in keys:
            self.log.delete(key)
        if keys:
            self.log.flush()
            del self._keys[name]

    def next_epoch(self, over: int) -> int:
        """A writer's next epoch, over the last and over `over`; durable when this returns."""
        last = self.log.get(EPOCH)
        epoch = max(over, int.from_bytes(last, "big") if last is not None else 0) + 1
        self.log.put(EPOCH, epoch.to_bytes(8, "big"))
        self.log.flush()
        return epoch

    def _load(self, name: str) -> Scope | None:
        held: Scope | None = None
        for record in self._records(name):
            if record.base is None:
                held = Scope.of(record.upto, record.floor, record.entries) or held
            elif held is not None and record.base == held.mark:
                held = held.after(record.upto, record.entries) or held
        return held

    def _records(self, name: str) -> Iterator[_Record]:
        for key in self._keys[name]:
            value = self.log.get(key)
            if value is not None:
                yield _decode(value)
