"""Clients of HTTP/3 that stop within a request and stay."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from loopback import Server, play, running
from peers import H3Client, head, table

OWED_S = 3.0


def test_stream_that_stops_within_a_request_is_answered_in_3_s(tmp_path: Path) -> None:
    async def stopped(client: H3Client, number: int) -> float:
        stream = client.begin(head("alerta", f"{number}"), b"x" * number, end=False)
        began = time.monotonic()
        assert (await client.answer(stream)).status == 408
        return time.monotonic() - began

    async def test() -> None:
        async with running(Server(), http3=table(tmp_path)) as node:
            async with H3Client(("127.0.0.1", node.h3_port)) as client:
                waits = await asyncio.gather(*(stopped(client, number) for number in (0, 10, 1000, 60_000)))
                assert max(waits) < OWED_S

    play(test)
