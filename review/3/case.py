"""One client's X-Call-Cost ends the node's decisions for good: every later request fails and none is forwarded."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

CLIENTS, PAUSE_S = 6, 0.05
BEFORE_S, SETTLES_S, WATCHED_S = 2.0, 2.0, 6.0
GUESS = "9" * 400  # the header asks for a number of microseconds; this one is written in plain digits


async def play(record: s.Record, folder: Path, trouble: bool) -> int:
    """Two seconds of sound traffic, one request with an absurd guess, and eight seconds more."""
    answers: list[tuple[float, s.Got]] = []
    async with s.Stage(record, folder) as stage:
        node, begun = stage.node, record.now()
        end = begun + BEFORE_S + SETTLES_S + WATCHED_S

        async def sound(number: int) -> None:
            client, count = s.Client(record, node.port), 0
            while record.now() < end:
                count += 1
                ident, name = f"c{number}-{count}", ("consulta", "alerta-umbral", "lote")[count % 3]
                key = f"key-{ident}" if name == "lote" else ""
                got = await client.ask(ident, s.request(name, ident, key=key, budget_ms=1000), 1.6)
                answers.append((record.now(), got))
                await asyncio.sleep(PAUSE_S)
            client.close()

        async def bad() -> None:
            await asyncio.sleep(BEFORE_S)
            fields = (f"X-Call-Cost: {GUESS}",) if trouble else ()
            client = s.Client(record, node.port)
            await client.ask("bad-1", s.request("consulta", "bad-1", *fields, budget_ms=1000), 1.6)
            client.close()

        await asyncio.gather(bad(), *(sound(number) for number in range(CLIENTS)))
        health = await node.health()
    early = [got for at, got in answers if at < begun + BEFORE_S]
    late = [got for at, got in answers if at > end - WATCHED_S]
    runs = [run for run in stage.runs() if run.at > end - WATCHED_S]
    statuses = {status: sum(got.status == status for got in late) for status in {got.status for got in late}}
    record.say(f"before: {sum(got.status == 200 for got in early)} of {len(early)} served")
    record.say(f"the last {WATCHED_S:g} s: answers by status {statuses}, {len(runs)} requests reached a server")
    record.say(f"at the end /_health says {health}")
    if not early or any(got.status != 200 for got in early) or len(late) < 15:
        return s.UNABLE
    # As the standing page has it: all rejected, 15 or more, for 4 s on end, with no attempt in between.
    return s.FAILED if not runs and not any(got.status == 200 for got in late) else s.HELD


s.main(__file__, play)
