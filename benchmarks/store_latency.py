"""What the store costs an unsafe request: time to its answer with the store on and off, open loop.

    python benchmarks/store_latency.py [--rates 100,300,1000] [--seconds 8] [--dir DIR] [--workers N]

One real node, two stand-in servers that answer at once, kept connections; times count from when a request was meant to
be sent. On and off in turn, on the same machine.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from pathlib import Path
from random import Random

from store_kills import World


class Quick(World):
    """The same world with servers that answer at once and a client that keeps connections."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A server's connection."""
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(1)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def load(self, rate: float, seconds: float) -> tuple[list[float], int]:
        """Milliseconds to each answer, sorted; and how many were no 200."""
        free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        took: list[float] = []
        bad = 0

        async def one(number: int, meant: float) -> None:
            nonlocal bad
            while free and free[-1][0].at_eof():  # the node closes what rests
                free.pop()[1].close()
            reader, writer = free.pop() if free else await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(
                b"POST /alerta-umbral?sid=1 HTTP/1.1\r\nHost: x\r\nX-Call-Class: alerta-umbral\r\nX-Budget: 900m\r\n"
                b"Content-Length: 1\r\nX-Call-Id: q%d\r\n\r\nx" % number
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
            took.append(1000 * (time.perf_counter() - meant))
            bad += b" 200 " not in head[:16]
            free.append((reader, writer))

        random, tasks = Random(1), []
        meant = begun = time.perf_counter()
        while meant < begun + seconds:
            meant += random.expovariate(rate)
            if (wait := meant - time.perf_counter()) > 0:
                await asyncio.sleep(wait)
            self.sent += 1
            tasks.append(asyncio.create_task(one(self.sent, meant)))
        await asyncio.gather(*tasks)
        for _, writer in free:
            writer.close()
        return sorted(took), bad


async def play(rate: float, seconds: float, folder: str, store: bool, workers: int) -> None:
    """One row."""
    with tempfile.TemporaryDirectory(dir=folder or None) as name:
        world = Quick(Path(name), 1, store)
        if workers > 1:
            world.command = ("cloverhold.cli", "run", "--workers", str(workers))
        servers = [await asyncio.start_server(world.serve, "127.0.0.1", 0) for _ in world.ports]
        world.ports = [server.sockets[0].getsockname()[1] for server in servers]
        process = await world.node()
        try:
            await world.load(rate, 1.0)  # warms up
            took, bad = await world.load(rate, seconds)
        finally:
            process.terminate()
            await process.wait()
        for server in servers:
            server.close()
        p50, p99 = (took[int(part * (len(took) - 1))] for part in (0.5, 0.99))
        print(f"| {rate:g} | {'on' if store else 'off'} | {len(took)} | {bad} | {p50:.2f} | {p99:.2f} |", flush=True)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--rates", default="100,300,1000")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--dir", default="")
    parser.add_argument("--workers", type=int, default=1)
    options = parser.parse_args()
    print("| requests/s | store | asked | not 200 | p50 ms | p99 ms |\n| --- | --- | --- | --- | --- | --- |")
    for rate in map(float, options.rates.split(",")):
        for store in (False, True, False, True):
            asyncio.run(play(rate, options.seconds, options.dir, store, options.workers))


if __name__ == "__main__":
    main()
