"""A client that offers HTTP/2 with its request has the request's body dropped: servers run work that nobody sent."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

COUNT = 40
# What a client says with its first request whose library would rather speak HTTP/2 (RFC 7540, section 3.2).
OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABkAAQAAP__")


async def play(record: s.Record, folder: Path, trouble: bool) -> int:
    """Requests with a body, each on a connection of its own; every server notes what body it was sent."""
    ran: dict[str, list[bytes]] = {}

    async def serve(server: s.Server, message: s.Message, writer: asyncio.StreamWriter) -> None:
        ran.setdefault(message.fields["x-call-id"], []).append(message.body)
        await s.plain(server, message, writer)

    sent: dict[str, bytes] = {}
    got: list[s.Got] = []
    async with s.Stage(record, folder, serves=serve) as stage:
        for number in range(COUNT):
            name = ("lote", "alerta-umbral")[number % 2]
            ident = f"c{number}"
            sent[ident] = f"figures of {ident}".encode()
            key = f"key-{ident}" if name == "lote" else ""
            data = s.request(name, ident, *(OFFER if trouble else ()), key=key, budget_ms=1000, body=sent[ident])
            client = s.Client(record, stage.node.port)
            got.append(await client.ask(ident, data, 2.0))
            client.close()
    changed = [ident for ident, bodies in ran.items() if any(body != sent[ident] for body in bodies)]
    told = [answer for answer in got if answer.status == 200 and answer.ident in changed]
    record.say(f"{len(got)} requests, {sum(answer.status == 200 for answer in got)} answered 200")
    record.say(f"{len(changed)} ran with a body that nobody sent, {len(told)} of these were answered 200")
    for ident in changed[:3]:
        record.note(f"{ident}: sent {sent[ident]!r}, servers got {ran[ident]!r}")
    if not ran:
        return s.UNABLE
    return s.FAILED if changed else s.HELD


if __name__ == "__main__":
    s.main(__file__, play)
