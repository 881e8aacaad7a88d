"""What the request streams of one connection owe: a state for each, and a table of what may follow.

Two rules. Nothing reaches a server before the client is known to be there: a request that must not run twice and that
came in 0-RTT data is held until the handshake is complete, since early data can be replayed by anybody who saw it
(RFC 8446, section 8; RFC 8470) and a replayed first flight never completes one. And what has been handed over is
answered once, or given up because its client said that it will not read: by STOP_SENDING, or by the end of the
connection. A reset of the sending side alone, behind the last byte, takes nothing back.

    begun -> HEAD -> BODY -> OPEN -> (answered: over)
    begun -> HEAD -> BODY -> HELD -> OPEN, where it is early and must not run twice
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto

from cloverhold.decision.interface import ClassSettings, Repeat
from cloverhold.h3.requests import check_whole, read_head
from cloverhold.net.exchange import Asked, BadRequest, Incoming, read_request
from cloverhold.net.messages import BODY_LIMIT, Field

# RFC 9114, section 8.1.
NO_ERROR, EXCESSIVE_LOAD, REQUEST_REJECTED, REQUEST_CANCELLED = 0x100, 0x107, 0x10B, 0x10C
PATIENCE_S = 2.5  # a request is whole this long after its first byte, or it is ended


class State(Enum):
    """Where a stream stands; one that is over is in no table."""

    HEAD = auto()  # begun: its head is awaited
    BODY = auto()  # its end is awaited
    HELD = auto()  # whole, and early: it waits for the handshake
    OPEN = auto()  # handed over: it is owed an answer
    DEAF = auto()  # turned away: what still comes of it is dropped


class What(Enum):
    """What can happen to a stream."""

    HEAD = auto()
    DATA = auto()
    END = auto()
    CONFIRMED = auto()
    RESET = auto()  # the client ends its sending side
    STOP = auto()  # the client will not read
    SAID = auto()  # its answer is written


# What may follow; what does not stand here changes nothing. None: the stream is over.
NEXT: dict[tuple[State, What], State | None] = {
    (State.HEAD, What.HEAD): State.BODY,
    (State.HEAD, What.RESET): None,
    (State.HEAD, What.STOP): None,
    (State.BODY, What.DATA): State.BODY,
    (State.BODY, What.END): State.OPEN,
    (State.BODY, What.RESET): None,
    (State.BODY, What.STOP): None,
    (State.HELD, What.CONFIRMED): State.OPEN,
    (State.HELD, What.RESET): None,
    (State.HELD, What.STOP): None,
    (State.OPEN, What.STOP): None,
    (State.OPEN, What.SAID): None,
    (State.DEAF, What.END): None,
    (State.DEAF, What.RESET): None,
}


@dataclass(slots=True)
class Take:
    """A request is whole and may go on."""

    stream: int
    request: Incoming
    asked: Asked


@dataclass(slots=True)
class Say:
    """The front answers itself. more: the client may still be sending, and is told not to."""

    stream: int
    status: int
    why: str = ""
    more: bool = False


@dataclass(slots=True)
class Health:
    """The node's health is asked for."""

    stream: int


@dataclass(slots=True)
class Reject:
    """Nothing of it was looked at: the client may send it again elsewhere (RFC 9114, section 4.1.1)."""

    stream: int
    code: int = REQUEST_REJECTED


@dataclass(slots=True)
class Gone:
    """The client will not read the answer of a request that was handed over."""

    stream: int


@dataclass(slots=True)
class Drop:
    """A request that never became whole, or was held, is no more: nothing is owed, its stream ends."""

    stream: int


Action = Take | Say | Health | Reject | Gone | Drop


@dataclass(slots=True)
class Budget:
    """What all connections together may hold: streams that are not over, and bytes of requests on them."""

    most_streams: int
    most_bytes: int
    streams: int = 0
    bytes: int = 0

    def full(self) -> bool:
        """Whether no further stream is taken."""
        return self.streams >= self.most_streams or self.bytes >= self.most_bytes


@dataclass(slots=True)
class _Stream:
    state: State
    begun_s: float
    request: Incoming = field(default_factory=Incoming)
    body: bytearray = field(default_factory=bytearray)
    asked: Asked | None = None
    held: int = 0  # bytes counted in the budget


class Streams:
    """The request streams of one connection. Every call returns what is to be done, in order."""

    def __init__(self, classes: dict[str, ClassSettings], most: int, budget: Budget) -> None:
        self.classes, self.most, self.budget = classes, most, budget
        self.confirmed = False  # the handshake is complete: the client is there, and not a copy of what it once sent
        self.last_begun = -4  # the highest stream of which something has come
        self.limit: int | None = None  # from GOAWAY on: streams from here on are turned away
        self._all: dict[int, _Stream] = {}
        self._gaps: set[int] = set()  # below the highest, and not begun yet

    def open(self) -> int:
        """How many were handed over, or held, and have no answer yet."""
        return sum(s.state in (State.OPEN, State.HELD) for s in self._all.values())

    def has(self, stream: int) -> bool:
        """Whether a stream is handed over and not answered."""
        return (found := self._all.get(stream)) is not None and found.state is State.OPEN

    # ------------------------------------------------------------------------------------------ what came

    def begun(self, stream: int, now: float) -> Iterator[Action]:
        """Bytes of a stream have come; only the first time does this change anything."""
        if stream in self._all or (stream <= self.last_begun and stream not in self._gaps):
            return
        # Datagrams overtake one another: a lower stream may begin behind a higher one. QUIC's own limit on open
        # streams bounds how many are so missed.
        self._gaps.update(range(self.last_begun + 4, stream, 4))
        self._gaps.discard(stream)
        self.last_begun = max(self.last_begun, stream)
        turned_away = (self.limit is not None and stream >= self.limit) or self.budget.full()
        if turned_away or sum(s.state is not State.DEAF for s in self._all.values()) >= self.most:
            self._add(stream, State.DEAF, now)
            yield Reject(stream)
        else:
            self._add(stream, State.HEAD, now)

    def head(self, stream: int, headers: Iterable[Field]) -> Iterator[Action]:
        """The head is whole."""
        found = self._all.get(stream)
        if found is None or self._step(stream, found, What.HEAD) is None:
            return
        try:
            found.request = read_head(headers)
        except BadRequest as error:
            yield from self._turn_away(stream, found, error)
            return
        self._count(found, found.request.head_bytes)

    def data(self, stream: int, data: bytes) -> Iterator[Action]:
        """A part of the body."""
        found = self._all.get(stream)
        if found is None or self._step(stream, found, What.DATA) is None:
            return
        found.body += data
        self._count(found, len(data))
        if len(found.body) > BODY_LIMIT:
            yield from self._turn_away(stream, found, BadRequest(413, "body too large"))

    def end(self, stream: int, now: float) -> Iterator[Action]:
        """The last byte has come."""
        found = self._all.get(stream)
        if found is None:
            return
        if found.state is not State.BODY:
            self._step(stream, found, What.END)
            return
        request = found.request
        request.body, request.came_at = bytes(found.body), now
        found.body = bytearray()
        try:
            check_whole(request)
            if request.target.partition(b"?")[0] == b"/_health":
                self._step(stream, found, What.END)
                yield Health(stream)
                return
            found.asked = read_request(request, self.classes)
        except BadRequest as error:
            yield from self._turn_away(stream, found, error, more=False)
            return
        if not self.confirmed and found.asked.kind.repeat is not Repeat.SAFE:
            found.state = State.HELD
            return
        self._step(stream, found, What.END)
        yield Take(stream, request, found.asked)

    def complete(self) -> Iterator[Action]:
        """The handshake is complete: what was held goes on, in the order of its streams."""
        self.confirmed = True
        for stream, found in sorted(self._all.items()):
            if found.state is State.HELD and found.asked is not None:
                self._step(stream, found, What.CONFIRMED)
                yield Take(stream, found.request, found.asked)

    def reset(self, stream: int) -> Iterator[Action]:
        """RESET_STREAM: the client takes back what is not whole."""
        yield from self._left(stream, What.RESET)

    def stop(self, stream: int) -> Iterator[Action]:
        """STOP_SENDING: the client will not read."""
        yield from self._left(stream, What.STOP)

    def _left(self, stream: int, what: What) -> Iterator[Action]:
        found = self._all.get(stream)
        if found is None:
            return
        was = found.state
        if (was, what) not in NEXT:
            return
        self._step(stream, found, what)
        if was is State.OPEN:
            yield Gone(stream)
        elif was is not State.DEAF:
            yield Drop(stream)

    # ---------------------------------------------------------------------------------------- what is done

    def said(self, stream: int) -> bool:
        """Its answer is to be written; False if nothing is owed there (any more)."""
        if not self.has(stream):
            return False
        self._step(stream, self._all[stream], What.SAID)
        return True

    def sweep(self, now: float) -> Iterator[Action]:
        """End what is not whole in time, and early requests whose handshake does not come."""
        for stream, found in list(self._all.items()):
            if now - found.begun_s <= PATIENCE_S:
                continue
            if found.state in (State.HEAD, State.BODY):
                yield from self._turn_away(stream, found, BadRequest(408, "not whole in time"))
            elif found.state is State.HELD:
                self._add(stream, State.DEAF, now)
                yield Reject(stream)
            elif found.state is State.DEAF:
                self._remove(stream)

    def drain(self) -> int:
        """Take no further stream; the number for GOAWAY: streams from it on were never looked at."""
        if self.limit is None:
            self.limit = self.last_begun + 4
        return self.limit

    def lost(self) -> Iterator[Action]:
        """The connection has ended, and all that was on it."""
        for stream, found in list(self._all.items()):
            self._remove(stream)
            if found.state is State.OPEN:
                yield Gone(stream)

    # ------------------------------------------------------------------------------------------- the table

    def _step(self, stream: int, found: _Stream, what: What) -> State | None:
        """Where a stream stands after this; None where the table has no such step, or it is over."""
        if (found.state, what) not in NEXT:
            return None
        state = NEXT[found.state, what]
        if state is None:
            self._remove(stream)
        else:
            found.state = state
        return state

    def _turn_away(self, stream: int, found: _Stream, error: BadRequest, *, more: bool = True) -> Iterator[Action]:
        self._remove(stream)
        if more:
            self._add(stream, State.DEAF, found.begun_s)
        yield Say(stream, error.status, str(error), more)

    def _add(self, stream: int, state: State, now: float) -> None:
        self._remove(stream)
        self._all[stream] = _Stream(state, now)
        self.budget.streams += 1

    def _remove(self, stream: int) -> None:
        if (found := self._all.pop(stream, None)) is not None:
            self.budget.streams -= 1
            self.budget.bytes -= found.held

    def _count(self, found: _Stream, size: int) -> None:
        found.held += size
        self.budget.bytes += size
