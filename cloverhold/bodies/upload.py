"""The body of one request on its way from a client to a server: what is held of it, and what may be sent again.

Two rules:

1. What an attempt has not taken yet is held; no byte is passed over or handed out twice to one attempt.
2. The body may be sent again while its first byte is still held. It is let go only past `KEEP` bytes, or where the
   budget for such a body is spent, and then at once as far as the attempt has taken it: from there on no other attempt
   can begin.

| state    | add      | end   | begin          | take | drop  |
| -------- | -------- | ----- | -------------- | ---- | ----- |
| ARRIVING | ARRIVING | WHOLE | if repeatable  | yes  | ENDED |
| WHOLE    | -        | -     | if repeatable  | yes  | ENDED |
| ENDED    | ignored  | -     | -              | none | ENDED |
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from cloverhold.bodies.budget import Budget

KEEP = 256 * 1024  # a body is held from its start up to this size
LONG = 64 * 1024  # past this a body is longer than usual
PIECE = 16 * 1024  # handed out at once: a copy, held until the server's socket takes it
WINDOW = 128 * 1024  # of what is not taken yet: past that nothing more is read from the client


class State(Enum):
    """How far a body is."""

    ARRIVING = "arriving"
    WHOLE = "whole"
    ENDED = "ended"


def _nothing() -> None:
    """Told to nobody."""


def _never(now: float) -> float:
    """No attempt is out."""
    return 0.0


class Upload:
    """One body. `length` as its head told it; None where only its end will show."""

    def __init__(self, budget: Budget, length: int | None) -> None:
        self.budget, self.length = budget, length
        self.state = State.ARRIVING
        self.size = 0  # bytes that have come
        self.start = 0  # of these, the first that is held
        self.taken = 0  # up to here the attempt that is out has taken
        self.reading = False  # whether an attempt is out
        self.more: Callable[[], None] = _nothing  # told to the attempt: there is more to take, or the end
        self.taken_at: Callable[[float], float] = _never  # when the attempt's server last took bytes, as seen by now
        self.room: Callable[[], None] = _nothing  # told to the client's side: more may be read
        self._held = bytearray()  # one run: a body may come a byte at a time

    # ----------------------------------------------------------------------------------------- from the client

    def add(self, data: bytes | bytearray) -> None:
        """A piece has come."""
        if self.state is not State.ARRIVING or not data:
            return
        self._held += data
        self.size += len(data)
        self.budget.take(len(data))
        self._let_go()
        self.more()

    def end(self) -> None:
        """The last byte has come."""
        if self.state is State.ARRIVING:
            self.state = State.WHOLE
            self.more()

    def is_long(self) -> bool:
        """Whether it is longer than bodies usually are, as far as is known."""
        return max(self.size, self.length or 0) > LONG

    def is_starved(self) -> bool:
        """Whether there is no memory for more of it."""
        return self.budget.spent(long_body=self.is_long())

    def wants(self) -> bool:
        """Whether more should be read from the client. While the budget is spent, only what is sent on at once."""
        unsent = self.size - (self.taken if self.reading else self.start)
        if self.reading and self.is_starved():
            return unsent == 0
        return unsent < WINDOW and not self.is_starved()

    # ------------------------------------------------------------------------------------------ to the server

    def repeatable(self) -> bool:
        """Whether an attempt could begin, from the first byte on."""
        return self.start == 0 and self.state is not State.ENDED

    def begin(self, more: Callable[[], None], taken_at: Callable[[float], float] = _never) -> None:
        """An attempt is out, from the first byte on. ValueError where that is gone, or another is out.

        taken_at: asked when its server last took bytes, also such as were written before; monotonic, in seconds.
        """
        if not self.repeatable() or self.reading:
            raise ValueError("a body that cannot be sent from its start")
        self.reading, self.taken, self.more, self.taken_at = True, 0, more, taken_at

    def take(self) -> bytes:
        """What the attempt has not taken yet, at most one piece; nothing where there is no more now."""
        if not self.reading or self.taken >= self.size:
            return b""
        at = self.taken - self.start
        data = bytes(memoryview(self._held)[at : at + PIECE])
        self.taken += len(data)
        self._let_go()
        if self.wants():
            self.room()
        return data

    def drained(self) -> bool:
        """Whether the attempt has taken all there will ever be."""
        return self.state is State.WHOLE and self.reading and self.taken >= self.size

    def whole(self) -> bytes:
        """All of it, held here no longer. ValueError where part of it is gone, or still to come."""
        if not self.repeatable() or self.state is not State.WHOLE:
            raise ValueError("a body that is not whole here")
        data = bytes(self._held)
        self.drop()
        return data

    def leave(self) -> None:
        """The attempt is over."""
        self.reading, self.more, self.taken_at = False, _nothing, _never

    def drop(self) -> None:
        """Nobody needs it any more."""
        self.state = State.ENDED
        self.leave()
        held, self.start = self.size - self.start, self.size
        self._held = bytearray()
        self.room = _nothing
        if held:
            self.budget.give(held)

    def _let_go(self) -> None:
        lets_go = self.size > KEEP or self.is_starved()
        if lets_go and self.reading and (freed := self.taken - self.start):
            del self._held[:freed]
            self.start = self.taken
            self.budget.give(freed)
