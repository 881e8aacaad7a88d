"""When the client of a long request may have written its last byte, though the node has not read so far. Pure.

A request's time counts from its last byte written to a connection, and what is written and not read lies in the
kernel's queues: this machine's, which can be looked at, and the client's own, which can't. So the instant is bounded
from below by what can be known:

- a client whose bytes had all been read at some instant wrote its last byte later than that;
- a byte was not written before the byte that lies one full pair of queues before it was read.
"""

from __future__ import annotations

from collections import deque

# A client's send queue (4 MiB: net.ipv4.tcp_wmem, Linux's default bound) and the receive queue of this machine.
CLIENT_QUEUE_BYTES = 4 * 1024 * 1024 + 512 * 1024
MOST_SAMPLES = 64


class UploadClock:
    """Follows how far one request has been read. Times are monotonic, in seconds; positions count its body's bytes."""

    __slots__ = ("_begun_at", "_caught_up_at", "_samples")

    def __init__(self, begun_at: float) -> None:
        self._begun_at, self._caught_up_at = begun_at, begun_at
        self._samples: deque[tuple[float, int]] = deque(maxlen=MOST_SAMPLES)

    def begin(self, now: float) -> None:
        """Another request begins to come."""
        self._begun_at = self._caught_up_at = now
        self._samples.clear()

    def caught_up(self, now: float) -> None:
        """All that had come was read: nothing was kept waiting."""
        self._caught_up_at = now
        self._samples.clear()

    def sample(self, now: float, position: int) -> None:
        """So far it has been read by now."""
        self._samples.append((now, position))

    def earliest_end(self, position: int, unread: int, length: int | None) -> float | None:
        """The earliest instant at which its last byte may have been written; None where it can't have been yet.

        position: read so far; unread: of it, in this machine's queue; length: of the whole body, where that is told.
        """
        end = length if length is not None else position + unread
        kept = end - unread - CLIENT_QUEUE_BYTES  # read by the instant at which the last byte was written, or later
        if position < kept:
            return None
        passed = (at for at, sampled in reversed(self._samples) if sampled < kept)
        return max(self._caught_up_at, next(passed, self._begun_at))
