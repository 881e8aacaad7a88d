"""When what was written on a connection is delivered: the one place that decides it.

Bytes pass three places, and each can lose them:

| place                 | lost where                                                                            |
| --------------------- | ------------------------------------------------------------------------------------- |
| the transport's buffer | this process ends, or aborts the connection                                           |
| the kernel's send queue | the connection is reset: closed over unread bytes, or written to by its peer once closed |
| the peer's own kernel | never by this side: what it has acknowledged stays readable                           |

So bytes are delivered once the peer's kernel has acknowledged them. A peer that reads shows in the same figure: its kernel
acknowledges more only while its receive queue has room.
"""  # noqa: E501

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios
from typing import Protocol


class HasDescriptor(Protocol):
    """The part of a socket that is asked."""

    def fileno(self) -> int: ...


def unacknowledged_bytes(sock: HasDescriptor) -> int:
    """Bytes in the kernel's send queue, sent or not, that the peer has not acknowledged; 0 where the kernel does not
    tell. The end of the sending side counts as one.
    """
    try:
        told = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return 0
    count: int = struct.unpack("i", told)[0]
    return count


def undelivered_bytes(transport: asyncio.Transport) -> int:
    """Bytes written to a transport that its peer has not acknowledged."""
    return transport.get_write_buffer_size() + unacknowledged_bytes(transport.get_extra_info("socket"))
