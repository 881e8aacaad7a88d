"""What workers and the one store of their node say to each other: frames on a socket. Pure.

A frame is its length in four bytes, little-endian, and a message in MessagePack (msgspec). Both ends are of one
installation and one start: there is no version.
"""

from __future__ import annotations

from typing import Any

import msgspec

from cloverhold.store.sent import How

MOST = 32 * 1024 * 1024  # bytes of a frame: a list of 100,000 servers


class WireError(Exception):
    """Bytes that are no frames of this wire."""


class Hello(msgspec.Struct, tag="hello", array_like=True):
    """The first word of the store: the list that was kept, in discovery's form, and this worker's moves of cells."""

    known: Any
    moves: list[Any]


class Ask(msgspec.Struct, tag="ask", array_like=True):
    """Record a request that may run. ref: the worker's own number for it."""

    ref: int
    name: bytes


class Over(msgspec.Struct, tag="over", array_like=True):
    """A request that was recorded has had its answer; whether it was sent to a server."""

    ref: int
    sent: bool


class Listed(msgspec.Struct, tag="listed", array_like=True):
    """A list, or changes of it, in discovery's form."""

    value: dict[str, Any]


class Moves(msgspec.Struct, tag="moves", array_like=True):
    """All moves of cells of this worker."""

    moves: list[Any]


class Told(msgspec.Struct, tag="told", array_like=True):
    """What became of an `Ask`."""

    ref: int
    how: How


Message = Hello | Ask | Over | Listed | Moves | Told
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def frame(message: Message) -> bytes:
    """A message's bytes."""
    text = msgspec.msgpack.encode(message)
    return len(text).to_bytes(4, "little") + text


class Frames:
    """Messages from bytes as they come."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """The messages that are whole now. Raises WireError."""
        self._data += data
        out: list[Message] = []
        while len(self._data) >= 4:
            size = int.from_bytes(self._data[:4], "little")
            if size > MOST:
                raise WireError(f"a frame of {size} bytes, {MOST} are most")
            if len(self._data) < 4 + size:
                break
            try:
                out.append(_DECODER.decode(bytes(self._data[4 : 4 + size])))
            except msgspec.MsgspecError as error:
                raise WireError(str(error)) from None
            del self._data[: 4 + size]
        return out
