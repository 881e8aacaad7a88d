"""Loopback ports that stay this kit's own: held for the whole run, listened on only while something is there.

A port that is merely closed may become the source port of any connection on the machine. One that is held by a
bound socket that does not listen refuses connections, as a dead process does, and is nobody else's.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator

LOOPBACK = "127.0.0.1"
BACKLOG = 512
# Of Linux's `struct tcp_info` (linux/tcp.h): tcpi_last_data_recv, ms since the newest bytes came. It counts ticks of
# 10 ms at the most, and those stand still for a moment on a busy virtual machine: 11.6 ms too many were seen.
_LAST_DATA = struct.Struct("=52xI")
UNSURE_S = 0.05


def hold() -> socket.socket:
    """A bound socket on a free port that does not listen."""
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((LOOPBACK, 0))
    return held


def port_of(held: socket.socket) -> int:
    """The port that a socket is bound to."""
    return int(held.getsockname()[1])


def listen(port: int) -> socket.socket:
    """Listen on a held port."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.bind((LOOPBACK, port))
    listening.listen(BACKLOG)
    return listening


def accepted(listening: socket.socket) -> Iterator[socket.socket]:
    """All connections that wait to be accepted."""
    while True:
        try:
            connection, _ = listening.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        connection.setblocking(False)
        yield connection


def unread_s(connection: socket.socket) -> float:
    """For how long at least, in seconds, the newest bytes of a TCP connection have been in the kernel: a loop that is
    busy reads them late, and a new connection's bytes several turns late.
    """
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA.size)
    return float(max(0.0, _LAST_DATA.unpack(info)[0] / 1000 - UNSURE_S))


class Plug:
    """Makes a listening socket that nobody accepts on swallow new connections: they never come up.

    A backlog of 0 has room for one connection that is not accepted; one of the kit's own takes it, and the
    kernel then drops what else asks.
    """

    def __init__(self, listening: socket.socket) -> None:
        self.listening = listening
        listening.listen(0)
        self.plugs: list[socket.socket] = []
        for _ in range(2):
            plug = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            self.plugs.append(plug)
            try:
                plug.connect(listening.getsockname())
            except BlockingIOError:
                pass

    def pull(self) -> None:
        """Close the plugs. What waited to come up is reset with the listening socket, which the caller closes."""
        for plug in self.plugs:
            plug.close()
        self.plugs = []
