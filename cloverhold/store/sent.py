"""Which requests may have run: so that none of them is sent again, also by the node's next life. Pure.

A request's identity is recorded and durable before the module hears of it, which is before any byte of it is written to
a server. So whatever is not recorded never ran. What was recorded and never sent is forgotten at its end; what was sent
is kept for `keep_ms`, after which no client sends it again.

Time is the process's own: identities found at the start are kept for `keep_ms` from then, whatever a clock says. A
clock that jumped over the restart can so make nobody forget; a restart only makes it remember longer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from hashlib import blake2b
from typing import Literal

PREFIX = b"s"
# What became of a record: it is durable; it is not and will not be; nobody knows in time; the request may have run.
How = Literal["durable", "failed", "late", "known"]
Told = Callable[[How], None]


class Taken(Enum):
    """What a request's identity says."""

    NEW = "new"  # record it, and wait
    KNOWN = "known"  # it may have run, or is under way


def identity(call_id: bytes, key: bytes = b"") -> bytes:
    """The store's key of a request: 17 bytes, of its `X-Call-Id` and, where it has one, its `Idempotency-Key`."""
    return PREFIX + blake2b(b"%d:%s%s" % (len(call_id), call_id, key), digest_size=16).digest()


class Sent:
    """The identities that a node may not send again."""

    def __init__(self, keep_ms: float) -> None:
        self.keep_ms = keep_ms
        self.known: set[bytes] = set()
        self._ends: deque[tuple[float, bytes]] = deque()  # when they may be forgotten, in order

    def restored(self, keys: Iterable[bytes], now: float) -> None:
        """What the store holds at the start."""
        for key in keys:
            if key.startswith(PREFIX):
                self.known.add(key)
                self._ends.append((now + self.keep_ms, key))

    def take(self, key: bytes) -> Taken:
        """A request has come. NEW: it counts as known from now on."""
        if key in self.known:
            return Taken.KNOWN
        self.known.add(key)
        return Taken.NEW

    def over(self, key: bytes, now: float, *, sent: bool) -> bool:
        """It has its answer; whether the store can forget it at once, as it never left the node."""
        if sent:
            self._ends.append((now + self.keep_ms, key))
            return False
        self.known.discard(key)
        return True

    def expired(self, now: float) -> list[bytes]:
        """Take out those that no client sends again."""
        out = []
        while self._ends and self._ends[0][0] <= now:
            _, key = self._ends.popleft()
            self.known.discard(key)
            out.append(key)
        return out
