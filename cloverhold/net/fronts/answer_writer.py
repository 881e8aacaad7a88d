"""Answers of one HTTP/1.1 connection as bytes: whole ones, and one that is on its way in chunks."""

from __future__ import annotations

from collections.abc import Iterable

from cloverhold.net.delivery import Delivery
from cloverhold.net.fronts.answer_head import NO_BODY, answer_head, length_line
from cloverhold.net.messages import BODY_LIMIT, Field

LAST_CHUNK = b"0\r\n\r\n"


class AnswerWriter:
    """Writes answers one after another."""

    __slots__ = ("_chunked", "closes", "delivery", "streaming")

    def __init__(self, delivery: Delivery) -> None:
        self.delivery = delivery
        self.streaming = False  # whether an answer is on its way in parts
        self.closes = False  # whether that one is its connection's last
        self._chunked = False

    def write_whole(
        self, status: int, body: bytes, headers: Iterable[Field], announce: bytes, *, close: bool, bare: bool
    ) -> None:
        """A whole answer; announce: lines of every head; close: whether it is the last; bare: without its body."""
        framing = length_line(len(body), chunked=False) if body else NO_BODY
        head = answer_head(status, headers, framing, announce, close=close)
        if bare or not body:
            self.delivery.write(head)
        elif len(body) <= BODY_LIMIT:
            self.delivery.write(head + body)
        else:  # a copy of a large one costs more than a second write
            self.delivery.write(head)
            self.delivery.write(body)

    def begin(
        self, headers: Iterable[Field], length: int | None, announce: bytes, *, http10: bool, close: bool
    ) -> None:
        """The head of an answer whose body follows; length: of that, None where only its end will show."""
        self._chunked = length is None and not http10
        self.closes = close or (length is None and http10)
        self.streaming = True
        framing = length_line(length, chunked=self._chunked)
        self.delivery.write(answer_head(200, headers, framing, announce, close=self.closes))

    def write_part(self, data: bytes) -> None:
        """A part of that body, not empty."""
        self.delivery.write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    def finish(self) -> None:
        """The end of that body."""
        self.streaming = False
        if self._chunked:
            self.delivery.write(LAST_CHUNK)
