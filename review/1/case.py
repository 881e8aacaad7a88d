"""One long body in small chunks holds the whole node up: the requests of other clients get no answer in their time."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

BODY, PIECE, USUAL_PIECE = 8 * 1024 * 1024, 16, 64 * 1024
CLIENTS, BUDGET_MS, PAUSE_S = 6, 1000.0, 0.1
BEFORE_S, PLAYED_S = 2.0, 12.0
# Up to half a second after its time an answer only earns nothing, and each time limit is 50 ms longer on sockets.
LOST_AFTER_S = BUDGET_MS / 1000 + 0.5 + 0.05


def serve(ports: str, runs: str, begun: float) -> None:
    """Twelve servers in a process of their own, so that nothing that they do holds the other clients up."""

    async def play() -> None:
        record = s.Record(Path(runs))
        record.begun = begun
        servers = [s.Server(f"s-{n}", record, cell=n // 6) for n in range(12)]
        for server in servers:
            await server.start()
        draft = Path(ports + ".new")
        draft.write_text(json.dumps([server.port for server in servers]))
        draft.rename(ports)
        while True:
            await asyncio.sleep(0.2)
            record.write()

    asyncio.run(play())


def upload(port: int, piece: int, result: str) -> None:
    """One client with a body of 8 MiB in chunks of one size, in a process of its own."""

    async def play() -> str:
        reader, writer = await asyncio.open_connection(s.HOST, port)
        head = s.request("lote", "upload", "Transfer-Encoding: chunked", key="key-upload", budget_ms=4000)
        writer.write(head.replace(b"Content-Length: 0\r\n", b""))
        chunk = b"%x\r\n%s\r\n" % (piece, b"x" * piece)
        begun, at_once = time.monotonic(), max(1, USUAL_PIECE // piece)
        try:
            for _ in range(BODY // (piece * at_once)):
                writer.write(chunk * at_once)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            sent = time.monotonic() - begun
            status = (await s.read_message(reader)).status()
            return f"sent in {sent:.1f} s, {status} after {time.monotonic() - begun:.1f} s"
        except (s.Broken, OSError) as error:
            return f"{error!r} after {time.monotonic() - begun:.1f} s"

    Path(result).write_text(asyncio.run(play()))


async def play(record: s.Record, folder: Path, trouble: bool) -> int:
    """Sound traffic all the while; two seconds in, one client sends the long body."""
    spawn = multiprocessing.get_context("spawn")
    ports, runs, result = (str(folder / name) for name in ("ports", "runs", "result"))
    serving = spawn.Process(target=serve, args=(ports, runs, record.begun))
    serving.start()
    servers = [s.Server(f"s-{n}", record, cell=n // 6) for n in range(12)]
    discovery = s.Discovery(record, servers)
    node = s.Node(record, folder, discovery)
    uploading = None
    answers: list[tuple[float, s.Got]] = []
    try:
        while not Path(ports).exists():
            await asyncio.sleep(0.05)
        for server, port in zip(servers, json.loads(Path(ports).read_text()), strict=True):
            server.port = port
        await discovery.start()
        await node.start()
        await node.healthy()
        end = record.now() + PLAYED_S

        async def sound(number: int) -> None:
            client, count = s.Client(record, node.port), 0
            while record.now() < end:
                count += 1
                ident, at = f"c{number}-{count}", record.now()
                data = s.request("alerta-umbral", ident, budget_ms=BUDGET_MS)
                answers.append((at, await client.ask(ident, data, 20.0)))
                await asyncio.sleep(PAUSE_S)
            client.close()

        async def longest_step() -> float:
            """How long this process itself was held up: else its clients would only seem to wait."""
            worst = 0.0
            while record.now() < end:
                at = time.monotonic()
                await asyncio.sleep(0.01)
                worst = max(worst, time.monotonic() - at - 0.01)
            return worst

        clients = [asyncio.create_task(sound(number)) for number in range(CLIENTS)]
        steps = asyncio.create_task(longest_step())
        await asyncio.sleep(BEFORE_S)
        record.note("one client begins a body of 8 MiB")
        uploading = spawn.Process(target=upload, args=(node.port, PIECE if trouble else USUAL_PIECE, result))
        uploading.start()
        await asyncio.gather(*clients)
        own = await steps
    finally:
        for process in (serving, uploading):
            if process is not None:
                process.kill()
                process.join()
        await node.close()
        discovery.close()
        if Path(runs).exists():
            record.lines += Path(runs).read_text().splitlines()
    told = Path(result).read_text() if Path(result).exists() else "no answer yet"
    record.say(f"the body in chunks of {PIECE if trouble else USUAL_PIECE} bytes: {told}")
    lost = [(at, got) for at, got in answers if got.took_s > LOST_AFTER_S or got.status == 0]
    worst = max(got.took_s for _, got in answers)
    served = sum(got.status == 200 for _, got in answers)
    record.say(f"{len(answers)} other requests, {served} served; longest {worst:.2f} s")
    record.say(f"{len(lost)} had no answer {LOST_AFTER_S:.2f} s after they were sent; own longest step {own:.2f} s")
    if own > 0.3:
        return s.UNABLE
    return s.FAILED if lost else s.HELD


if __name__ == "__main__":
    s.main(__file__, play)
