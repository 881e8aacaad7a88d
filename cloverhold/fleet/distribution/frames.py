"""Words on a connection: a length, a checksum, MessagePack. Pure.

    4 bytes  length of what follows the checksum, big-endian
    4 bytes  its CRC-32C
    the word, as msgspec writes a tagged array

Nothing is kept of a frame that is longer than allowed; a wrong one ends the connection, since what follows it cannot be
told apart.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import Generic, TypeVar

import google_crc32c
import msgspec

from cloverhold.fleet.distribution.interface import (
    Answer, Ask, Beat, Behind, Change, Got, Hello, Leave, Outrun, Refused, Runs, Taken, Told, Unknown, Who,
)  # fmt: skip

HEAD = struct.Struct(">II")
MOST_FRAME = 128 * 1024  # a part has 32 KiB, or one entry of some 17
WIRE = 1
T = TypeVar("T")

FromSubscriber = Hello | Beat | Ask | Leave | Got | Taken | Refused | Outrun | Change | Who
FromSource = Hello | Beat | Told | Unknown | Behind | Answer | Runs

_encoder = msgspec.msgpack.Encoder()


class BadFrame(ValueError):
    """Bytes that are no word. The text is one line."""


def frame(word: FromSubscriber | FromSource) -> bytes:
    """A word's bytes. Raises ValueError for one that is too long."""
    body = _encoder.encode(word)
    if len(body) > MOST_FRAME:
        raise ValueError(f"a word of {len(body)} bytes: {MOST_FRAME} are most")
    return HEAD.pack(len(body), google_crc32c.value(body)) + body


class Reader(Generic[T]):
    """Turns what comes into words."""

    def __init__(self, kinds: type[T]) -> None:
        """kinds: the words that the other side may say."""
        self._decode = msgspec.msgpack.Decoder(kinds).decode
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[T]:
        """The words that are whole now. Raises BadFrame; the connection is of no use then."""
        self._buffer += data
        at = 0
        try:
            while len(self._buffer) - at >= HEAD.size:
                length, checksum = HEAD.unpack_from(self._buffer, at)
                if length > MOST_FRAME:
                    raise BadFrame(f"a word of {length} bytes: {MOST_FRAME} are most")
                if len(self._buffer) - at < HEAD.size + length:
                    return
                body = bytes(self._buffer[at + HEAD.size : at + HEAD.size + length])
                if google_crc32c.value(body) != checksum:
                    raise BadFrame("a wrong checksum")
                at += HEAD.size + length
                try:
                    word = self._decode(body)
                except (msgspec.DecodeError, ValueError, RecursionError) as error:
                    raise BadFrame(" ".join(str(error).split())) from None
                yield word
        finally:
            del self._buffer[:at]


def subscriber_words() -> Reader[FromSubscriber]:
    """For a source."""
    return Reader(FromSubscriber)  # type: ignore[arg-type]


def source_words() -> Reader[FromSource]:
    """For a subscriber."""
    return Reader(FromSource)  # type: ignore[arg-type]
