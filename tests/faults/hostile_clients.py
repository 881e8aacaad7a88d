"""Clients that make a node hold as much as they can, and the server that answers them at length."""

from __future__ import annotations

import asyncio

from cloverhold.net.messages import FIELDS_LIMIT
from loopback import body_of, request
from memory_play import MemoryPlay, send_and_read


async def many_short_fields(watched: MemoryPlay, number: int) -> bytes:
    """A head as large as may be; every other client does not end it."""
    fields = b"".join(b"X-%d: %s\r\n" % (at, b"v" * 220) for at in range(FIELDS_LIMIT - 10))
    whole = request(number=f"f{number}").removesuffix(b"\r\n") + fields + b"\r\n"
    return await send_and_read(watched, whole if number % 2 else whole[:-2], 3.0)


async def very_many_fields(watched: MemoryPlay, number: int) -> bytes:
    """A head of 64 KiB in lines of 5 bytes; every other client does not end it."""
    whole = request(number=f"f{number}").removesuffix(b"\r\n") + b"a:b\r\n" * 12_000 + b"\r\n"
    return await send_and_read(watched, whole if number % 2 else whole[:-2], 3.0)


async def half_a_body(watched: MemoryPlay, number: int) -> bytes:
    """Half of a body of 1 MB, and no more."""
    head = request("lote", number=f"h{number}").replace(b"Content-Length: 0", b"Content-Length: 1000000")
    return await send_and_read(watched, head + b"x" * 500_000, 3.0)


async def slow_body(watched: MemoryPlay, number: int) -> bytes:
    """A body of 2 MB at 200 KB/s."""
    _, writer = await watched.connect()
    writer.write(request("lote", number=f"s{number}").replace(b"Content-Length: 0", b"Content-Length: 2000000"))
    for _ in range(60):
        if writer.transport.is_closing():
            break
        writer.write(b"x" * 10_000)
        await asyncio.sleep(0.05)
    writer.transport.abort()
    return b""


async def slow_reader(watched: MemoryPlay, number: int) -> bytes:
    """Sixteen requests at once, whose answers are read by nobody."""
    reader, writer = await watched.connect()
    reader._transport.pause_reading()  # type: ignore[attr-defined]
    writer.write(b"".join(request(number=f"r{number}x{at}") for at in range(16)))
    await asyncio.sleep(3.0)
    writer.transport.abort()
    return b""


async def answer_at_length(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server's answers: short to usual clients, 60 KB and 2 MB to the others."""
    await body_of(head, reader)
    is_usual = b"X-Call-Id: u" in head
    size = 2 if is_usual else 2_000_000 if b"x1\r\n" in head else 60_000
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (size, b"y" * size))
    await writer.drain()


HOSTILE = (many_short_fields, very_many_fields, half_a_body, slow_body, slow_reader)


async def one_of_all(watched: MemoryPlay, number: int) -> bytes:
    """A crowd of all kinds."""
    return await HOSTILE[number % len(HOSTILE)](watched, number)
