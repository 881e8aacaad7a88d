"""Some answers of servers have heads that do not end: the node holds every line of them, and passes its memory."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import FAILED, HELD, UNABLE, Message, Record, Server, Stage, Usual, answer, body_of, main

SPOILT = 0.2  # of all answers, from any server alike
HEAD = b"HTTP/1.1 200 OK\r\n" + b"X-Pad: abcdefgh\r\n" * 24_000  # 400 KB, and no end
MEMORY_MB, SOCKETS = 96.0, 512
CLIENTS, QUIET_S, SPOILT_S = 48, 2.0, 15.0


async def play(record: Record, folder: Path, trouble: bool) -> int:
    chance, spoils = random.Random(1), False

    async def serves(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Work, and answer; where the answer is spoilt the connection stays open, and is of no further use."""
        ident = message.fields.get("x-call-id", "")
        await asyncio.sleep(server.work_s)
        if spoils and chance.random() < SPOILT:
            record.note(f"server {server.uid} spoils its answer to {ident}")
            writer.write(HEAD)
            await asyncio.sleep(10.0)
            raise ConnectionAbortedError
        record.note(f"server {server.uid} answers {ident}")
        writer.write(answer(200, body_of(message)))

    stage = Stage(record, folder, work_s=0.05, serves=serves)
    stage.node.memory_mb, stage.node.sockets = MEMORY_MB, SOCKETS
    async with stage:
        node = stage.node
        memory = asyncio.create_task(node.watch_memory())
        usual = Usual(record, node.port, clients=CLIENTS)
        asking = asyncio.create_task(usual.ask(record.now() + QUIET_S + SPOILT_S))
        await asyncio.sleep(QUIET_S)
        record.say(f"before: {node.peak_mb:.0f} MB")
        spoils = trouble
        await asking
        memory.cancel()
        usual.tell()
        record.say(f"peak: {node.peak_mb:.0f} MB of {node.memory_mb:.0f}")
        if node.over_memory:
            return FAILED
        return UNABLE if usual.lost() and not trouble else HELD


if __name__ == "__main__":
    main(__file__, play)
