"""Bad clients send heads without end: the node holds every line that it has read of them, and passes its memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import FAILED, HELD, HOST, UNABLE, Record, Stage, Usual, main

BAD_CLIENTS = 10
HEAD = b"GET /consulta?sid=1 HTTP/1.1\r\n" + b"X-Pad: abcdefgh\r\n" * 120_000  # 2 MB, and no end
QUIET_S, BAD_S, AFTER_S = 2.0, 10.0, 3.0


async def heads_without_end(record: Record, port: int, until: float) -> None:
    """One bad client: it sends at full speed, reads what it is sent, and comes again as soon as it is turned away."""
    while record.now() < until:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError:
            return
        writer.write(HEAD)
        try:
            async with asyncio.timeout(5.0):
                line = await reader.readline()
                record.note(f"bad client has {line!r}")
                while await reader.read(1 << 16):
                    pass
        except (OSError, TimeoutError, ValueError):
            pass
        writer.transport.abort()


async def play(record: Record, folder: Path, trouble: bool) -> int:
    async with Stage(record, folder, work_s=0.05) as stage:
        node = stage.node
        memory = asyncio.create_task(node.watch_memory())
        usual = Usual(record, node.port)
        asking = asyncio.create_task(usual.ask(record.now() + QUIET_S + BAD_S + AFTER_S))
        await asyncio.sleep(QUIET_S)
        record.say(f"before: {node.peak_mb:.0f} MB")
        if trouble:
            until = record.now() + BAD_S
            await asyncio.gather(*(heads_without_end(record, node.port, until) for _ in range(BAD_CLIENTS)))
        await asking
        memory.cancel()
        usual.tell()
        record.say(f"peak: {node.peak_mb:.0f} MB of {node.memory_mb:.0f}")
        if node.over_memory:
            return FAILED
        return UNABLE if usual.lost() and not trouble else HELD


if __name__ == "__main__":
    main(__file__, play)
