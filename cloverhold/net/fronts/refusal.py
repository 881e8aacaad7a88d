"""Connections past the number that a process serves: each request on them is refused, and none is left unanswered.

What a client has written to a connection that this machine accepted counts as taken, so a close with no answer would
lose it. A 503 promises that it has not run.

| state     | on                                  | then                                                    |
| --------- | ----------------------------------- | ------------------------------------------------------- |
| silent    | the first bytes                     | 503, and its side of the connection ends; lingering     |
| silent    | `FIRST_BYTES_TIMEOUT_S`             | the same: a request may be on its way                   |
| lingering | the client's end                    | closed                                                  |
| lingering | `LINGER_TIMEOUT_S`                  | closed, whatever still comes                            |
| lingering | another needs its place, not before `LEAST_LINGER_S` | the same                               |
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import cast

from cloverhold.net.fronts.answer_head import NO_BODY, answer_head
from cloverhold.net.messages import Field

FIRST_BYTES_TIMEOUT_S = 0.1
# What still comes is read and dropped for so long: a close over unread bytes resets the connection, and the answer goes
# with it (RFC 9112, section 9.6).
LINGER_TIMEOUT_S, LEAST_LINGER_S = 0.2, 0.05
HEALTH_CHECK = b"GET /_health "


class RefusedConnection(asyncio.BufferedProtocol):
    """One connection that is not served."""

    def __init__(
        self,
        buffer: memoryview,
        healthy: Callable[[], bool],
        retry_after: tuple[Field, ...],
        over: Callable[[RefusedConnection], None],
    ) -> None:
        """buffer: shared, where what comes is read to and dropped; over: told once its socket is closed."""
        self._buffer, self._healthy, self._retry_after, self._over = buffer, healthy, retry_after, over
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._answered_at: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for its first bytes."""
        self._transport = cast(asyncio.Transport, transport)
        self._after(FIRST_BYTES_TIMEOUT_S, self._answer, False)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the event loop puts what it reads next."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Answer the first bytes; what comes behind them is dropped."""
        if self._answered_at is None:
            self._answer(bytes(self._buffer[:nbytes]).startswith(HEALTH_CHECK) and self._healthy())

    def connection_lost(self, exc: Exception | None) -> None:
        """The client's end is read, or its time is over."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._over(self)

    def close_if_answered(self) -> bool:
        """Give its place to another; whether it does."""
        if self._answered_at is None or time.monotonic() - self._answered_at < LEAST_LINGER_S:
            return False
        self.close()
        return True

    def close(self) -> None:
        """Close behind what is written."""
        if self._transport is not None:
            self._transport.close()

    def _answer(self, is_healthy: bool) -> None:
        """The one answer, behind which nothing more is sent. is_healthy: a health check is answered, with 200."""
        transport = self._transport
        if transport is None:
            return
        self._answered_at = time.monotonic()
        status, fields = (200, ()) if is_healthy else (503, self._retry_after)
        transport.write(answer_head(status, fields, NO_BODY, b"", close=True))
        transport.write_eof()
        self._after(LINGER_TIMEOUT_S, self.close)

    def _after(self, timeout_s: float, act: Callable[..., None], *arguments: object) -> None:
        """Do this then, in place of what was to be done."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(timeout_s, act, *arguments)
