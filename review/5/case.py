"""Bad clients send many requests at once: bodies that wait are outside the bound, and the node passes its memory."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import FAILED, HELD, HOST, UNABLE, Record, Stage, Usual, main, request

BAD_CLIENTS, AT_ONCE = 200, 20
BODY = b"m" * (64 * 1024)
MEMORY_MB, SOCKETS = 192.0, 1024
QUIET_S, BAD_S, AFTER_S = 2.0, 8.0, 2.0


async def many_at_once(record: Record, port: int, number: int) -> None:
    """One bad client: it sends its requests at full speed, and reads what it is sent."""
    names = [f"b{number}x{at}" for at in range(AT_ONCE)]
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return
    writer.write(b"".join(request("lote", name, key=name, body=BODY) for name in names))
    record.note(f"bad client {number} sends {AT_ONCE} requests")
    try:
        async with asyncio.timeout(BAD_S):
            while await reader.read(1 << 16):
                pass
    except (OSError, TimeoutError):
        pass
    writer.transport.abort()


async def play(record: Record, folder: Path, trouble: bool) -> int:
    stage = Stage(record, folder, work_s=0.1)
    stage.node.memory_mb, stage.node.sockets = MEMORY_MB, SOCKETS
    async with stage:
        node = stage.node
        memory = asyncio.create_task(node.watch_memory())
        usual = Usual(record, node.port)
        asking = asyncio.create_task(usual.ask(record.now() + QUIET_S + BAD_S + AFTER_S))
        await asyncio.sleep(QUIET_S)
        record.say(f"before: {node.peak_mb:.0f} MB")
        if trouble:
            await asyncio.gather(*(many_at_once(record, node.port, number) for number in range(BAD_CLIENTS)))
        await asking
        memory.cancel()
        usual.tell()
        record.say(f"peak: {node.peak_mb:.0f} MB of {node.memory_mb:.0f}")
        if node.over_memory:
            return FAILED
        return UNABLE if usual.lost() and not trouble else HELD


if __name__ == "__main__":
    main(__file__, play)
