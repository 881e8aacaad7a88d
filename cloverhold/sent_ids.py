"""The ids of requests that may have run, for as long as a client may send one again.

A table of fixed size, whatever clients send: buckets of eight slots, each a digest and the instant at which it was
noted. A full bucket forgets its oldest. The table lies in a buffer, which may be memory that other processes of the
machine map: one process writes it, any may look an id up. A slot that is read while it is written is taken for another.
"""

from __future__ import annotations

import mmap
import struct
from hashlib import blake2b

SLOTS_A_BUCKET = 8
BUCKETS = 2048
TABLE_BYTES = BUCKETS * SLOTS_A_BUCKET * 16
KEEP_MS = 60_000  # no client sends a request again later than that
_BUCKET = struct.Struct(f"<{2 * SLOTS_A_BUCKET}Q")
_SLOT = struct.Struct("<QQ")


def _digest(call_id: bytes) -> int:
    """Eight bytes of an id, never zero."""
    return int.from_bytes(blake2b(call_id, digest_size=8).digest(), "little") or 1


class SentIds:
    """A table of ids. Times are in ms of the machine's monotonic clock, which all processes share."""

    def __init__(self, buffer: bytearray | mmap.mmap | None = None) -> None:
        """buffer: of `TABLE_BYTES`; one of its own where none is given."""
        self.buffer = buffer if buffer is not None else bytearray(TABLE_BYTES)

    def note(self, call_id: bytes, now_ms: float) -> None:
        """The request of this id is about to be sent."""
        digest = _digest(call_id)
        at, slots = self._bucket(digest)
        digests, instants = slots[0::2], slots[1::2]
        place = digests.index(digest) if digest in digests else instants.index(min(instants))
        _SLOT.pack_into(self.buffer, at + place * _SLOT.size, digest, int(now_ms) + 1)

    def has(self, call_id: bytes, now_ms: float) -> bool:
        """Whether a request of this id may have run lately."""
        digest = _digest(call_id)
        slots = self._bucket(digest)[1]
        if digest not in slots[0::2]:
            return False
        return now_ms - slots[2 * slots[0::2].index(digest) + 1] < KEEP_MS

    def forget(self, call_id: bytes) -> None:
        """It has never run, and may be sent."""
        digest = _digest(call_id)
        at, slots = self._bucket(digest)
        if digest in slots[0::2]:
            _SLOT.pack_into(self.buffer, at + slots[0::2].index(digest) * _SLOT.size, 0, 0)

    def _bucket(self, digest: int) -> tuple[int, tuple[int, ...]]:
        """Where the bucket of a digest begins, and its slots in turn: digest, instant."""
        at = digest % BUCKETS * _BUCKET.size
        return at, _BUCKET.unpack_from(self.buffer, at)


class NodeSentIds:
    """The ids that the processes of one node have sent: its own table, and those that it reads."""

    def __init__(self) -> None:
        self.own = SentIds()
        self.others: list[SentIds] = []

    def note(self, call_id: bytes, now_ms: float) -> None:
        """The request of this id is about to be sent from here."""
        self.own.note(call_id, now_ms)

    def has(self, call_id: bytes, now_ms: float) -> bool:
        """Whether a request of this id may have run lately, from whichever process."""
        return self.own.has(call_id, now_ms) or self.sent_elsewhere(call_id, now_ms)

    def sent_elsewhere(self, call_id: bytes, now_ms: float) -> bool:
        """Whether another process has sent it lately, or is about to."""
        return any(ids.has(call_id, now_ms) for ids in self.others)

    def forget(self, call_id: bytes) -> None:
        """It has never run, as far as this process goes."""
        self.own.forget(call_id)
