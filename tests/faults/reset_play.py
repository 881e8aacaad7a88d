"""Servers that end their connections in the middle of answers, and clients that time how they learn of it."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

from loopback import Listening, request

NO_LINGER = struct.pack("ii", 1, 0)
BODY_BYTES = 280_000


class Framing(Enum):
    """How an answer tells its end."""

    LENGTH = b"Content-Length: %d\r\n" % BODY_BYTES
    CHUNKED = b"Transfer-Encoding: chunked\r\n"
    CLOSE = b"Connection: close\r\n"


class End(Enum):
    """How a server ends its connection."""

    RESET = "reset"
    CLOSE = "close"  # cleanly, which is no whole answer where its framing tells an end


@dataclass(frozen=True)
class Cut:
    """One answer that is not whole: what is written of it, and how its connection ends."""

    framing: Framing
    end: End
    written_bytes: int
    piece_bytes: int  # written at once, each in a chunk of its own where the answer is chunked

    @classmethod
    def drawn(cls, seed: int) -> Cut:
        """One of the cuts that a client can tell from a whole answer."""
        draw = random.Random(seed)
        framing = draw.choice(list(Framing))
        end = End.RESET if framing is Framing.CLOSE else draw.choice(list(End))
        return cls(
            framing, end, draw.randrange(40_000, BODY_BYTES - 1), draw.choice([1_000, 8_192, 65_536, BODY_BYTES])
        )


class CuttingServer(Listening):
    """Answers each request with one cut, or with `ok` where its id is one of a usual client."""

    def __init__(self, cut: Cut) -> None:
        super().__init__()
        self.cut = cut
        self.ended_at = list[float]()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/_load" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                elif b"X-Call-Id: u" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                else:
                    await self._cut_off(writer)
                    return
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _cut_off(self, writer: asyncio.StreamWriter) -> None:
        """Write without a pause, and end."""
        writer.write(b"HTTP/1.1 200 OK\r\n" + self.cut.framing.value + b"\r\n")
        left = self.cut.written_bytes
        while left > 0:
            piece = b"y" * min(left, self.cut.piece_bytes)
            left -= len(piece)
            if self.cut.framing is Framing.CHUNKED:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            writer.write(piece)
        await writer.drain()
        sock = writer.get_extra_info("socket")
        if self.cut.end is End.RESET:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.ended_at.append(time.monotonic())
        writer.close()


@dataclass
class Told:
    """What a client had, and when its connection ended; None where it was left waiting."""

    received_bytes: int
    ended_at: float | None


async def ask_and_wait(
    port: int, number: str, *, within_s: float, reads_after_s: float = 0.0, kind: str = "consulta"
) -> Told:
    """A client that reads until its connection ends, from so long after it asked."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=4096 if reads_after_s else 1 << 16)
    writer.write(request(kind, number=number))
    await asyncio.sleep(reads_after_s)
    received, ended_at = 0, None
    try:
        async with asyncio.timeout(within_s):
            while data := await reader.read(1 << 16):
                received += len(data)
            ended_at = time.monotonic()
    except TimeoutError:
        pass
    except OSError:
        ended_at = time.monotonic()
    writer.transport.abort()
    return Told(received, ended_at)
