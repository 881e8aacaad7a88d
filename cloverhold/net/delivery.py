"""When what was written on a connection is delivered: the one place that decides it.

Bytes pass three places, and each can lose them:

| place                 | lost where                                                                            |
| --------------------- | ------------------------------------------------------------------------------------- |
| the transport's buffer | this process ends, or aborts the connection                                           |
| the kernel's send queue | the connection is reset: closed over unread bytes, or written to by its peer once closed |
| the peer's own kernel | never by this side: what it has acknowledged stays readable                           |

So bytes are delivered once the peer's kernel has acknowledged them. A peer that reads shows in the same figure: its kernel
acknowledges more only while its receive queue has room. Bytes that the kernel has sent and that are not acknowledged yet
lie within the peer's window, so they are lost only with a packet: where a place is needed at once, that is enough.
"""  # noqa: E501

from __future__ import annotations

import asyncio
import fcntl
import struct
import time
from typing import Protocol


# Of Linux, on every kind of machine that it runs on alike (tcp(7); linux/sockios.h).
SIOCOUTQ, SIOCOUTQNSD = 0x5411, 0x894B


class HasDescriptor(Protocol):
    """The part of a socket that is asked."""

    def fileno(self) -> int: ...


def unacknowledged_bytes(sock: HasDescriptor) -> int:
    """Bytes in the kernel's send queue, sent or not, that the peer has not acknowledged; 0 where the kernel does not
    tell. The end of the sending side counts as one.
    """
    return _ask(sock, SIOCOUTQ)


def unsent_bytes(sock: HasDescriptor) -> int:
    """Of these, the bytes that the kernel has not sent, as the peer has no room for them; 0 where it does not tell."""
    return _ask(sock, SIOCOUTQNSD)


def _ask(sock: HasDescriptor, request: int) -> int:
    try:
        told = fcntl.ioctl(sock.fileno(), request, struct.pack("i", 0))
    except OSError:
        return 0
    count: int = struct.unpack("i", told)[0]
    return count


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Bytes written to a transport that its peer has not acknowledged."""
    return transport.get_write_buffer_size() + unacknowledged_bytes(transport.get_extra_info("socket"))


class Delivery:
    """Follows what is written on one connection until its peer has it. Times are monotonic, in seconds."""

    __slots__ = ("_acknowledged", "_transport", "_written", "taken_at", "undelivered", "waits_since")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._written = self._acknowledged = 0  # bytes, since the connection came
        self.undelivered = 0  # bytes that the peer lacked at the last look, and those written since
        self.taken_at = 0.0  # when the peer was last seen to have taken bytes
        self.waits_since = 0.0  # the same, or when the first of the undelivered bytes were written, if that is later

    def attach(self, transport: asyncio.Transport) -> None:
        """The connection is there."""
        self._transport = transport

    def release(self) -> None:
        """The connection has gone."""
        self._transport, self.undelivered = None, 0

    def write(self, data: bytes) -> None:
        """Hand bytes to the transport."""
        if self._transport is not None:
            self._note_written(len(data))
            self._transport.write(data)

    def write_eof(self) -> None:
        """End the sending side behind what is written."""
        if self._transport is not None:
            self._note_written(1)
            self._transport.write_eof()

    def _note_written(self, count: int) -> None:
        if not self.undelivered:
            self.waits_since = time.monotonic()
        self._written += count
        self.undelivered += count

    def look(self, now: float) -> int:
        """How many bytes the peer has not taken; 0 once all is delivered."""
        if not self.undelivered or self._transport is None:
            return 0
        self.undelivered = undelivered_bytes(self._transport)
        acknowledged = self._written - self.undelivered
        if acknowledged > self._acknowledged:
            self._acknowledged = acknowledged
            self.taken_at = self.waits_since = now
        return self.undelivered

    def is_sent(self) -> bool:
        """Whether the kernel has sent all that was written."""
        transport = self._transport
        if transport is None or not self.undelivered:
            return True
        return not transport.get_write_buffer_size() and not unsent_bytes(transport.get_extra_info("socket"))


class QueueWatch:
    """Follows the kernel's send queue of a socket that takes nothing more. Times are monotonic, in seconds."""

    __slots__ = ("_queued", "_socket", "_taken_at")

    def __init__(self, sock: HasDescriptor) -> None:
        self._socket, self._queued, self._taken_at = sock, 0, 0.0

    def taken_at(self, now: float) -> float:
        """When the peer was last seen to have taken bytes; 0 where it never was."""
        queued = unacknowledged_bytes(self._socket)
        if queued < self._queued:
            self._taken_at = now
        self._queued = queued
        return self._taken_at
