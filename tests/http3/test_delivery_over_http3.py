"""An answer over HTTP/3 is delivered once its client has acknowledged it, not when its datagrams have left."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loopback import OK, Server, play, running, until
from peers import H3Client, head, table

PAUSE_S = 1.0


@pytest.mark.parametrize("size", [2, 5_000, 10_000])
def test_planned_restart_does_not_cut_off_an_answer_whose_datagrams_were_lost(tmp_path: Path, size: int) -> None:
    """A connection owed nothing more once its datagrams had left, and was closed over those that never came."""
    answer = OK if size == 2 else b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (size, b"x" * size)

    async def test() -> None:
        server = Server(lambda target, body: answer)
        async with running(server, http3=table(tmp_path)) as node, H3Client(("127.0.0.1", node.h3_port)) as client:
            stream = client.begin(head("alerta", "1"))
            client.hears = False  # as a client's kernel drops datagrams while its program is held up
            front = node.node.http3
            assert front is not None
            await until(lambda: server.requests and not any(c.open for c in front.clients))
            draining = asyncio.create_task(node.node._drain())
            await asyncio.sleep(PAUSE_S)
            client.hears = True
            got = await client.answer(stream)
            assert got.whole and not got.lost and len(got.body) == size
            await draining

    play(test)
