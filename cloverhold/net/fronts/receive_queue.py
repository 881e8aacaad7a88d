"""What a client has sent and the node has not read: it tells a client that stops from one that the node holds up."""

from __future__ import annotations

import fcntl
import os
import select
import socket
import struct
import termios
from typing import Protocol

FULL_SHARE = 0.25  # of its receive buffer: with less than that unread, the kernel surely takes more from a client


class SocketLike(Protocol):
    """The part of a socket that a transport gives."""

    def fileno(self) -> int: ...
    def getsockopt(self, level: int, option: int, /) -> int: ...


def unread_bytes(sock: SocketLike) -> int | None:
    """Bytes in the kernel's receive queue; None where the kernel does not tell."""
    try:
        told = fcntl.ioctl(sock.fileno(), termios.FIONREAD, struct.pack("i", 0))
    except OSError:
        return None
    count: int = struct.unpack("i", told)[0]
    if count == 0 and is_readable(sock):
        return None  # there is something: the figure is not to be relied on
    return count


def last_bytes(sock: SocketLike, unread: int, count: int) -> bytes:
    """The last `count` of so many unread bytes, which stay unread; fewer where they cannot be seen."""
    try:
        with socket.socket(fileno=os.dup(sock.fileno())) as same:
            return same.recv(unread, socket.MSG_PEEK | socket.MSG_DONTWAIT)[-count:]
    except OSError:
        return b""


def has_room(sock: SocketLike, unread: int) -> bool:
    """Whether a client could send on although nothing is read: its silence is then its own."""
    try:
        return unread < FULL_SHARE * sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    except OSError:
        return False


def is_readable(sock: SocketLike) -> bool:
    """Whether bytes, or the end of the connection, lie unread."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
