"""Takes connections from a listening socket.

The event loop's own accepting closes a waiting connection unread when descriptors have run out for a moment, and the
request that lies on it is lost. Here a call that fails costs nobody anything: the connection stays in the kernel's
queue and is asked for again.

| `accept` says                                             | then                                           |
| --------------------------------------------------------- | ---------------------------------------------- |
| a connection                                              | it is handed over                              |
| EAGAIN                                                    | wait for the next one                          |
| no room for one more                                      | leave it in the queue; ask again after `RETRY_S` |
| an error of the connection that was to come (`ITS_OWN`)   | ask for the next one                           |
| EMFILE, ENFILE, ENOBUFS, ENOMEM, anything else            | let an idle one go; ask again after `RETRY_S`  |
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from cloverhold.net.telemetry import Happening, Telemetry

log = logging.getLogger(__name__)

# In a surge with turns of some ms one connection a turn is less than what comes: requests would lie unseen behind
# connections that are not accepted.
ACCEPTS_PER_TURN = 8
RETRY_S = 0.02
LAST_RETRIES = 25  # at the end, for what waits in the queue while there is no room or no descriptor for it
ITS_OWN = frozenset(
    getattr(errno, name)
    for name in (
        *("ECONNABORTED", "EPROTO", "ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH"),
        *("EOPNOTSUPP", "ENETUNREACH", "ETIMEDOUT", "EPERM", "EINTR"),
    )
)  # accept(2): Linux passes errors of the new connection on
MOST_AT_THE_END = 4096  # connections taken at the end: more than any queue holds


class Acceptor:
    """Accepts on one listening socket, which it owns."""

    def __init__(
        self,
        listening: socket.socket,
        factory: Callable[[], asyncio.BaseProtocol],
        exhausted: Callable[[], object],
        telemetry: Telemetry,
        has_room: Callable[[int], bool] = lambda accepted: True,
    ) -> None:
        """exhausted: called when no descriptor is to be had; it may give one back. has_room: whether one connection
        more can be held, beside so many that are accepted and not handed over yet; the others wait in the queue.
        """
        self.listening, self.factory, self.exhausted, self.telemetry = listening, factory, exhausted, telemetry
        self.has_room = has_room
        self._loop = asyncio.get_running_loop()
        self._retry: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self.port = int(listening.getsockname()[1])

    def start(self) -> None:
        """Accept from now on."""
        self._retry = None
        if not self._closed:
            self._loop.add_reader(self.listening, self._readable)

    def _readable(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Take one connection; whether to ask for another at once."""
        if not self.has_room(len(self._tasks)):
            self._wait()
            return False
        try:
            peer, _ = self.listening.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            name = errno.errorcode.get(error.errno or 0, "unknown")
            self.telemetry.event(Happening.ACCEPT_FAILED, name)
            if error.errno in ITS_OWN:
                return True
            self._pause()
            return False
        self._hand_over(peer)
        return True

    def _pause(self) -> None:
        """No descriptor is to be had."""
        self.exhausted()
        self._wait()

    def _wait(self) -> None:
        """Ask again in a moment."""
        self._loop.remove_reader(self.listening)
        self._retry = self._loop.call_later(RETRY_S, self.start)

    def _hand_over(self, peer: socket.socket) -> None:
        task = self._loop.create_task(self._connect(peer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, peer: socket.socket) -> None:
        try:
            peer.setblocking(False)
            await self._loop.connect_accepted_socket(self.factory, peer)
        except OSError as error:  # it has been reset meanwhile
            self.telemetry.event(Happening.ACCEPT_FAILED, errno.errorcode.get(error.errno or 0, "unknown"))
            peer.close()

    async def stop(self, *, drain: bool) -> None:
        """Accept no more. drain: take first what the kernel has accepted: closed over, it would be reset with the
        request that lies on it, which counts as taken.
        """
        self._stop_waiting()
        retries = LAST_RETRIES if drain else -1
        for _ in range(MOST_AT_THE_END):
            if retries < 0 or self._closed:
                break
            if self._accept_one():
                continue
            if self._retry is None:  # the queue is empty
                break
            self._stop_waiting()
            retries -= 1
            await asyncio.sleep(RETRY_S)
        self.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _stop_waiting(self) -> None:
        self._loop.remove_reader(self.listening)
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    def close(self) -> None:
        """Give the socket back."""
        if not self._closed:
            self._closed = True
            self._stop_waiting()
            self.listening.close()
