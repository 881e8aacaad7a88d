"""A client that sends more than seventeen requests at once on a connection gets no answer to the last of them."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

AT_ONCE, CLIENTS = 24, 3


async def play(record: s.Record, folder: Path, trouble: bool) -> int:
    """Each client sends its requests at once, or one after the other, and reads until all are answered or it ends."""
    got, ends = dict[str, int](), list[str]()
    async with s.Stage(record, folder) as stage:

        async def client(number: int) -> None:
            idents = [f"c{number}-{count}" for count in range(AT_ONCE)]
            asked = [s.request("consulta", ident, budget_ms=4000) for ident in idents]
            reader, writer = await asyncio.open_connection(s.HOST, stage.node.port)
            if trouble:
                writer.write(b"".join(asked))
                record.note(f"client {number} has sent {AT_ONCE} requests at once")
            try:
                for ident, data in zip(idents, asked, strict=True):
                    if not trouble:
                        writer.write(data)
                    async with asyncio.timeout(5.0):
                        got[ident] = (await s.read_message(reader)).status()
                    record.note(f"client has {got[ident]} for {ident}")
            except (s.Broken, OSError, TimeoutError) as error:
                ends.append(repr(error))
                record.note(f"client {number}: {error!r}")
            writer.transport.abort()

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    statuses = {status: sum(found == status for found in got.values()) for status in sorted(set(got.values()))}
    record.say(f"{len(got)} of {CLIENTS * AT_ONCE} requests have an answer: {statuses}; {len(ends)} connections ended")
    return s.FAILED if len(got) < CLIENTS * AT_ONCE else s.HELD


s.main(__file__, play)
