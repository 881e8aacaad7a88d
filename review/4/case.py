"""A client sends one long body in small pieces: the node does nothing else until it has passed it on."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import FAILED, HELD, HOST, UNABLE, Broken, Record, Stage, Usual, main, read_message

BODY = 8 * 1024 * 1024
PIECE, LARGE_PIECE = 8, 64 * 1024
QUIET_S, LONG_S = 2.0, 24.0
MOST_LAG_S = 0.4  # of the stand-ins: past that nothing is judged


async def long_body(record: Record, port: int, piece: int) -> None:
    """A client that sends one request with a long body, in pieces of this size, and waits for its answer."""
    head = [
        "POST /lote?sid=7f3a9c21 HTTP/1.1", "Host: api.internal", "X-Call-Id: long", "X-Call-Class: lote",
        "X-Budget: 4000m", "Idempotency-Key: long", "Transfer-Encoding: chunked",
    ]  # fmt: skip
    data = "\r\n".join(head).encode() + b"\r\n\r\n"
    data += b"%x\r\n%s\r\n" % (piece, b"m" * piece) * (BODY // piece) + b"0\r\n\r\n"
    reader, writer = await asyncio.open_connection(HOST, port)
    begun = record.now()
    writer.write(data)
    try:
        async with asyncio.timeout(40.0):
            record.say(f"the long one has {(await read_message(reader)).start} after {record.now() - begun:.2f} s")
    except (Broken, TimeoutError) as error:
        record.say(f"the long one has {error!r} after {record.now() - begun:.2f} s")
    writer.transport.abort()


async def play(record: Record, folder: Path, trouble: bool) -> int:
    async with Stage(record, folder, work_s=0.05) as stage:
        node = stage.node
        usual = Usual(record, node.port)
        asking = asyncio.create_task(usual.ask(record.now() + QUIET_S + LONG_S))
        await asyncio.sleep(QUIET_S)
        await long_body(record, node.port, PIECE if trouble else LARGE_PIECE)
        await asking
        usual.tell()
        if usual.lag_s > MOST_LAG_S:
            record.say("the stand-ins were too slow to judge")
            return UNABLE
        return FAILED if usual.lost() else HELD


if __name__ == "__main__":
    main(__file__, play)
