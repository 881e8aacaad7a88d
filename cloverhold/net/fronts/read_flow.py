"""Whether a client is read on: not while too much is held for it, and not while no more can be held for anybody."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from cloverhold.bodies.budget import Holding
from cloverhold.bodies.upload import Upload
from cloverhold.net.fronts.receive_queue import SocketLike, has_room, is_readable, last_bytes, unread_bytes
from cloverhold.net.fronts.request_reader import RequestReader
from cloverhold.net.fronts.upload_clock import UploadClock
from cloverhold.net.telemetry import Happening, Telemetry

OPEN_WINDOW_S = 0.1  # read on for so long, a connection has had all that its client held back
END_OF_HEAD = b"\r\n\r\n"
LAST_CHUNK = b"\r\n0\r\n\r\n"  # with the end of the one before


def _nothing() -> None:
    """Nobody waits for room."""


class HoldReason(Enum):
    """Why nothing more is read, as it is counted."""

    NO_PLACE = "no_place"  # among the requests that are begun before they are whole
    NO_MEMORY = "no_memory"
    OWN_REQUESTS = "own_requests"  # the client's own, before this one
    SERVER = "server"  # it takes the body more slowly than it comes


@dataclass(frozen=True, slots=True)
class Seen:
    """What a look at the unread bytes of a connection showed."""

    unread: int
    is_end: bool  # whether they hold the end of what comes


class ReadFlow:
    """Pauses and resumes the reading of one connection, and keeps what it waits for meanwhile.

    The owner states what is held in `holding` and calls `update` whenever something has come or has moved on.
    """

    def __init__(
        self, reader: RequestReader, holding: Holding, telemetry: Telemetry, ready: Callable[[], None]
    ) -> None:
        """ready: told by the budget where there is room again."""
        self.reader, self.holding, self.telemetry, self.ready = reader, holding, telemetry, ready
        self.budget = holding.budget
        self.transport: asyncio.Transport | None = None
        # When the client last sent, or took, bytes, or was last held up by the node.
        self.progress_at = time.monotonic()
        self.paused_since: float | None = None  # since when nothing is read
        self.waits_its_turn = False  # whether that is for requests before it
        self.rest_is_here = True  # whether the rest of the request that comes lies unread, as far as can be told
        self.starved_since: float | None = None  # since when memory, or a place, is what it waits for
        self.lacks_place = False  # whether it would be begun, if fewer bodies came already
        self.clock = UploadClock(self.progress_at)
        self._resumed_at = -math.inf  # when reading was last resumed
        self._seen: Seen | None = None  # since reading was paused
        self._unread = 0  # bytes that lay unread at the last look
        self._waits_for_memory = False  # whether the budget tells it of room

    # ------------------------------------------------------------------------------------- turns of the loop

    def yield_turn(self) -> None:
        """More lies there, and the event loop would read on from this connection alone: others come first."""
        if self.transport is not None:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._read_on)

    def _read_on(self) -> None:
        if self.transport is not None and self.paused_since is None:
            self._look_for_more(time.monotonic())
            self.transport.resume_reading()

    def _look_for_more(self, now: float) -> None:
        """Whether anything lies unread while the connection is read on."""
        if self.transport is not None and not is_readable(self.transport.get_extra_info("socket")):
            self._note_empty_queue(now)

    # ------------------------------------------------------------------------------------------------ memory

    def update(self, *, busy: bool) -> None:
        """Read on, or no more for now: so much is held that it must move on first. busy: whether requests of the client
        are open, or wait.
        """
        if self.transport is None:
            return
        upload = self._arriving_upload()
        over = upload is None and self.holding.count > self.budget.allowance
        starved = upload.is_starved() if upload is not None else self.budget.spent()
        self.lacks_place = upload is not None and not busy and not upload.wants()
        holds = not upload.wants() if upload is not None else over and (busy or starved)
        self.waits_its_turn = over and busy and self.reader.broken is None
        if not holds:
            self._starve_no_more()
        elif starved or self.lacks_place:
            self._starve(waits_for_memory=starved, long_body=upload is not None and upload.is_long())
        if holds and self.paused_since is None:
            self._pause(self._reason(starved=starved, over=over))
        elif not holds and self.paused_since is not None:
            self.resume()

    def _arriving_upload(self) -> Upload | None:
        """The long body that comes now."""
        incoming = self.reader.incoming
        return incoming.upload if not incoming.whole else None

    def _reason(self, *, starved: bool, over: bool) -> HoldReason:
        if self.lacks_place:
            return HoldReason.NO_PLACE
        if starved:
            return HoldReason.NO_MEMORY
        return HoldReason.OWN_REQUESTS if over else HoldReason.SERVER

    def _pause(self, reason: HoldReason) -> None:
        assert self.transport is not None
        self.telemetry.count(Happening.READING_HELD, reason.value)
        self._seen = None
        self.paused_since = time.monotonic()
        self.transport.pause_reading()

    def resume(self) -> None:
        """Read on, where it was paused. The time in which the node did not read is not the client's."""
        if self.paused_since is None or self.transport is None:
            return
        now = time.monotonic()
        if self.reader.begun is not None:
            self.reader.begun += now - self.paused_since
        self.paused_since, self.progress_at, self._resumed_at = None, now, now
        self.transport.resume_reading()

    def turn_has_come(self) -> None:
        """Until now it was held up by the request before it."""
        if self.paused_since is not None:
            self.paused_since = time.monotonic()

    def _starve(self, *, waits_for_memory: bool, long_body: bool) -> None:
        """Room is what it waits for, from the first time on that there was none."""
        if self.starved_since is None:
            self.starved_since = time.monotonic()
        if waits_for_memory and not self._waits_for_memory:
            self._waits_for_memory = True
            self.budget.wait(self.ready, long_body=long_body)

    def _starve_no_more(self) -> None:
        self.starved_since = None
        self.wait_no_more()

    def wait_no_more(self) -> None:
        """The budget need not tell of room: there is some, or nobody waits."""
        if self._waits_for_memory:
            self._waits_for_memory = False
            self.budget.wait_no_more(self.ready)

    # --------------------------------------------------------------------------------- what lies unread here

    def look(self, now: float) -> None:
        """While nothing is read: whether the client sends on, and whether it has sent all of its request."""
        if self.paused_since is None or self.transport is None:
            return
        sock = self.transport.get_extra_info("socket")
        unread = unread_bytes(sock)
        if unread is None or unread != self._unread or not has_room(sock, unread):
            self.progress_at = now
        self.rest_is_here = unread is None or self._is_rest_here(sock, unread)
        self._unread = unread or 0

    def received(self, now: float, *, all_of_it: bool) -> None:
        """Bytes were read; all_of_it: whether none that had come is left behind."""
        self.progress_at = now
        if all_of_it:
            self._note_empty_queue(now)

    def _note_empty_queue(self, now: float) -> None:
        """All that had come is read. Where reading was paused a moment ago that says nothing: what its client holds
        back follows only as the window opens.
        """
        if now - self._resumed_at >= OPEN_WINDOW_S:
            self.clock.caught_up(now)

    def earliest_end(self, now: float) -> float | None:
        """When the client may have written the last byte of the long request that comes; None where it has not."""
        if self.paused_since is None:
            self._look_for_more(now)
        position, left = self.reader.body_bytes(), self.reader.bytes_left()
        unread = self._unread if self.paused_since is not None else 0
        self.clock.sample(now, position)
        return self.clock.earliest_end(position, unread, None if left is None else position + left)

    def _is_rest_here(self, sock: SocketLike, unread: int) -> bool:
        if self.reader.in_head:
            return not self.reader.unfinished() or self._shows(sock, unread, END_OF_HEAD, unread)
        left = self.reader.bytes_left()
        if left is not None:
            return unread >= left
        return unread == self._unread and self._shows(sock, unread, LAST_CHUNK, len(LAST_CHUNK))

    def _shows(self, sock: SocketLike, unread: int, end: bytes, within: int) -> bool:
        """Whether the last `within` unread bytes hold this end. Looked at once: a look copies all that lies there."""
        if self._seen is None or self._seen.unread != unread:
            self._seen = Seen(unread, end in last_bytes(sock, unread, within))
        return self._seen.is_end

    def release(self) -> None:
        """The connection has gone, and is let go of: no collection is waited for."""
        self.transport = None
        self._starve_no_more()
        self.ready = _nothing
        self.holding.set(0)
