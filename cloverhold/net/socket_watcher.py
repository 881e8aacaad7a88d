"""Whether a bare socket is readable or has ended: the one place that asks the event loop for it.

Loops differ once the kernel reports an error on a socket (EPOLLERR, as behind a reset). asyncio's own goes on calling
the reader. libuv, and so uvloop, calls it once and then stops watching the socket for good, though bytes that came
before the error, and the error itself, still lie unread. So behind each call the socket is asked whether it has
failed; while it has, its owner is called again in the next turn, by nobody's leave but the socket's.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable

FAILED = select.POLLERR | select.POLLHUP


def _nothing() -> None:
    """Told to nobody."""


class SocketWatcher:
    """Calls `readable` while bytes, an end or an error lie on a socket: once a turn, and on any loop.

    `readable` reads once, and calls `close` where it finds the end or an error. Who pauses the reading is told of
    neither until it resumes it.
    """

    __slots__ = ("_again", "_loop", "_on_readable", "_poll", "_reading", "_socket", "_writing")

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, readable: Callable[[], None]) -> None:
        """sock: connected, or about to be, and not blocking; its owner closes it, behind `close`."""
        self._loop, self._socket, self._on_readable = loop, sock, readable
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        self._reading = self._writing = False
        self._again: asyncio.Handle | None = None

    def is_readable(self) -> bool:
        """Whether bytes, an end or an error lie there now."""
        return bool(self._poll.poll(0))

    def resume_reading(self) -> None:
        """Call `readable` from now on."""
        if not self._reading:
            self._reading = True
            self._loop.add_reader(self._socket, self._readable)

    def pause_reading(self) -> None:
        """Call it no more until `resume_reading`."""
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self._socket)
        self._cancel_again()

    def call_when_writable(self, writable: Callable[[], None]) -> None:
        """Call this once the socket takes bytes, or has failed."""
        self._writing = True
        self._loop.add_writer(self._socket, self._writable, writable)

    def close(self) -> None:
        """Watch it no more. The owner is let go of: no collection is waited for."""
        self.pause_reading()
        self._stop_writing()
        self._on_readable = _nothing

    def _writable(self, writable: Callable[[], None]) -> None:
        self._stop_writing()
        writable()

    def _stop_writing(self) -> None:
        if self._writing:
            self._writing = False
            self._loop.remove_writer(self._socket)

    def _readable(self) -> None:
        self._cancel_again()
        self._on_readable()
        if self._reading and self._has_failed():
            self._again = self._loop.call_soon(self._readable)

    def _has_failed(self) -> bool:
        return any(event & FAILED for _, event in self._poll.poll(0))

    def _cancel_again(self) -> None:
        if self._again is not None:
            self._again.cancel()
            self._again = None
