"""Servers that say more than they were asked for: their clients get the one answer, and no byte more."""

from __future__ import annotations

import asyncio

import pytest

from loopback import Scripted, play, read_answer, request, running


@pytest.mark.parametrize("behind", ["a second answer", "noise", "a chunked answer"])
@pytest.mark.parametrize("size", [300, 100_000, 400_000])
def test_what_comes_behind_a_long_answer_does_not_reach_its_client(behind: str, size: int) -> None:
    """The body of a second answer was passed on behind that of the first."""
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (size, b"a" * size)
    more = {
        "a second answer": whole.replace(b"a" * size, b"b" * size),
        "noise": b"\x00noise" * 50,
        "a chunked answer": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbbbbb\r\n0\r\n\r\n",
    }[behind]

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(whole + more)

    async def test() -> None:
        async with running(Scripted(script), probes=False) as node:
            reader, writer = await node.connect()
            for number in range(20):
                writer.write(request(number=f"{number}"))
                response = await read_answer(reader)
                assert response.status == 200 and response.body == b"a" * size
            writer.close()

    play(test)
