"""A client that has sent all is taken for one that has stopped, while the node does not read: its request is lost."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

CLIENTS, FIRST_ONES, WORK_S = 4, 6, 0.45
PIECE, REST = 140 * 1024, 10 * 1024  # the two pieces of the long body


async def play(record: s.Record, folder: Path, trouble: bool) -> int:
    """Six short requests and one with a body of 150 KiB, written at once or one after the other."""
    got = dict[str, int]()

    async def serve(server: s.Server, message: s.Message, writer: asyncio.StreamWriter) -> None:
        if message.start.startswith("GET"):
            await asyncio.sleep(WORK_S)
        await s.plain(server, message, writer)

    async with s.Stage(record, folder, serves=serve) as stage:

        async def client(number: int) -> None:
            idents = [*(f"c{number}-{count}" for count in range(FIRST_ONES)), f"c{number}-long"]
            asked = [s.request("consulta", ident, budget_ms=4000) for ident in idents[:-1]]
            last = s.request("lote", idents[-1], key=f"key-{number}", budget_ms=4000, body=b"x" * (PIECE + REST))
            reader, writer = await asyncio.open_connection(s.HOST, stage.node.port)

            async def write_last() -> None:
                writer.write(last[:-REST])
                await asyncio.sleep(0.1)
                writer.write(last[-REST:])
                record.note(f"client {number} has written its last byte")

            try:
                if trouble:
                    writer.write(b"".join(asked))
                    await write_last()
                for ident, data in zip(idents, [*asked, b""], strict=True):
                    if not trouble:
                        if data:
                            writer.write(data)
                        else:
                            await write_last()
                    async with asyncio.timeout(8.0):
                        got[ident] = (await s.read_message(reader)).status()
                    record.note(f"client has {got[ident]} for {ident}")
            except (s.Broken, OSError, TimeoutError) as error:
                record.note(f"client {number}: {error!r}")
            writer.transport.abort()

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    statuses = {status: sum(found == status for found in got.values()) for status in sorted(set(got.values()))}
    total = CLIENTS * (FIRST_ONES + 1)
    record.say(f"{len(got)} of {total} requests have an answer: {statuses}")
    return s.FAILED if len(got) < total else s.HELD


s.main(__file__, play)
