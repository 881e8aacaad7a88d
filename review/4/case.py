"""Clients send several requests with long bodies at once on each connection: the node passes its memory limit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

CLIENTS, AT_ONCE, BODY = 128, 16, 120 * 1024
MEMORY_MB, SOCKETS = 192.0, 1024  # the limits of the days that are scored


async def play(record: s.Record, folder: Path, trouble: bool) -> int:
    """Each client sends its requests at once, or one after the other; the platform watches the node's memory."""
    body, got = b"x" * BODY, dict[str, int]()
    stage = s.Stage(record, folder, work_s=0.12)
    stage.node.memory_mb, stage.node.sockets = MEMORY_MB, SOCKETS
    async with stage:
        node = stage.node
        watch = asyncio.create_task(node.watch_memory())
        await asyncio.sleep(0.5)
        record.say(f"at rest the node holds {node.peak_mb:.0f} MB")

        def ask(ident: str) -> bytes:
            return s.request("lote", ident, key=f"key-{ident}", budget_ms=4000, body=body)

        async def client(number: int) -> None:
            idents = [f"c{number}-{count}" for count in range(AT_ONCE)]
            writer: asyncio.StreamWriter | None = None
            try:
                async with asyncio.timeout(60.0):
                    reader, writer = await asyncio.open_connection(s.HOST, node.port)
                    if trouble:
                        writer.write(b"".join(map(ask, idents)))
                    for ident in idents:
                        if not trouble:
                            writer.write(ask(ident))
                        got[ident] = (await s.read_message(reader)).status()
                        record.note(f"client has {got[ident]} for {ident}")
            except (s.Broken, OSError, TimeoutError) as error:
                record.note(f"client {number}: {error!r}")
            finally:
                if writer is not None:
                    writer.transport.abort()

        await asyncio.gather(*(client(number) for number in range(CLIENTS)))
        await asyncio.sleep(0.1)
        watch.cancel()
    statuses = {status: sum(found == status for found in got.values()) for status in sorted(set(got.values()))}
    record.say(f"at most it held {node.peak_mb:.0f} MB of {MEMORY_MB:.0f}")
    record.say(f"{len(got)} of {CLIENTS * AT_ONCE} requests have an answer: {statuses}")
    return s.FAILED if node.over_memory else s.HELD


s.main(__file__, play)
