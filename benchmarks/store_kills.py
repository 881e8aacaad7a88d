"""A node killed again and again while unsafe requests flow; each open id is sent again to its next life.

    python benchmarks/store_kills.py [--kills 200] [--off] [--seed 1]

A real node process on loopback, two stand-in servers that count the runs of each id and answer late, a client that
repeats what had no answer under the same id. Prints ids, repeats, ids that ran twice, and the answers to repeats.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random

SETTINGS = {
    "Zone": "z", "GroupSize": 1, "ResolutionMs": 5.0, "RegistryMode": "automatic",
    "Limits": {"Probes": False, "Cancelling": True, "ParallelTries": False, "MaxAttempts": 4, "RetryAfter": True,
               "MaxRetryAfterMs": 2000.0},
    "Guarantees": {"AnswerSlackMs": 20.0, "ColdFrom": 1.0, "ColdMs": 0.0, "DrainGraceMs": 500.0, "FallMs": 1500.0,
                   "FallMultiple": 2.5},
    "Profiles": [{"Name": "alerta-umbral", "AimMs": 500.0, "DeadlineMs": 1000.0, "Repeat": "non_idempotent"}],
}  # fmt: skip


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class World:
    """The servers' ledger, the node, and the client."""

    command: tuple[str, ...] = ("cloverhold",)

    def __init__(self, folder: Path, seed: int, store: bool) -> None:
        self.folder, self.store, self.random = folder, store, Random(seed)
        self.runs: Counter[str] = Counter()
        self.port, self.ports = free_port(), [0, 0]
        self.answers: Counter[int] = Counter()
        self.repeats: Counter[int] = Counter()
        self.sent = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A server's connection: each whole request is a run, answered late."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
                await reader.readexactly(int(fields.get(b"content-length", b"0")))
                self.runs[fields[b"x-call-id"].decode()] += 1
                await asyncio.sleep(self.random.uniform(0.0, 0.06))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def node(self) -> asyncio.subprocess.Process:
        """A life of the node, once it listens."""
        operator = self.folder / "node.toml"
        operator.write_text(f'[store]\npath = "{self.folder / "store"}"\n' if self.store else "")
        targets = [
            {"uid": f"s{n}", "endpoint": f"127.0.0.1:{p}", "az": "z", "model": "m", "pod_group": 0, "state": "active",
             "capacity_hint": 1.0, "boot_ms": 0}
            for n, p in enumerate(self.ports)
        ]  # fmt: skip
        (self.folder / "config.json").write_text(json.dumps({
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{free_port()}", "seed": "1",
            "limits": {"sockets": 512}, "settings": SETTINGS, "known": {"rev": 1, "all": True, "targets": targets},
        }))  # fmt: skip
        env = {**os.environ, "PROXY_CONFIG": str(self.folder / "config.json"), "CLOVERHOLD_CONFIG": str(operator)}
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *self.command, env=env, stderr=asyncio.subprocess.PIPE
        )
        assert process.stderr is not None
        while b"listening" not in (line := await process.stderr.readline()):
            if not line:
                raise SystemExit("the node has ended by itself")
        return process

    async def ask(self, name: str) -> int:
        """One try; 0 where its connection ended without an answer."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(
                b"POST /alerta-umbral?sid=1 HTTP/1.1\r\nHost: x\r\nX-Call-Class: alerta-umbral\r\n"
                b"X-Budget: 900m\r\nContent-Length: 1\r\nX-Call-Id: %s\r\n\r\nx" % name.encode()
            )
            line = await reader.readline()
            writer.transport.abort()
            return int(line.split()[1]) if line else 0
        except OSError:
            return 0

    async def life(self, open_ids: list[str]) -> list[str]:
        """One life: repeats of the last one's ids and new ones, then the kill; the ids that are left open."""
        process, left = await self.node(), []

        async def one(name: str, again: bool) -> None:
            status = await self.ask(name)
            if not status:
                left.append(name)
            (self.repeats if again else self.answers)[status] += 1

        tasks = [asyncio.create_task(one(name, True)) for name in open_ids]
        until = asyncio.get_running_loop().time() + self.random.uniform(0.02, 0.25)
        while asyncio.get_running_loop().time() < until:
            self.sent += 1
            tasks.append(asyncio.create_task(one(f"r{self.sent}", False)))
            await asyncio.sleep(self.random.expovariate(200.0))
        process.kill()
        await process.wait()
        await asyncio.gather(*tasks)
        return left


async def play(kills: int, seed: int, store: bool) -> None:
    """So many kills, and the counts."""
    with tempfile.TemporaryDirectory() as name:
        world = World(Path(name), seed, store)
        servers = [await asyncio.start_server(world.serve, "127.0.0.1", 0) for _ in world.ports]
        world.ports = [server.sockets[0].getsockname()[1] for server in servers]
        open_ids: list[str] = []
        for _ in range(kills):
            open_ids = await world.life(open_ids)
        twice = sum(count > 1 for count in world.runs.values())
        print(f"| {'on' if store else 'off'} | {kills} | {world.sent} | {sum(world.repeats.values())} | {twice} | "
              f"{dict(sorted(world.repeats.items()))} |")  # fmt: skip
        for server in servers:
            server.close()


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--off", action="store_true", help="without the store: shows that ids then run twice")
    options = parser.parse_args()
    print("| store | kills | ids | repeats | ids that ran twice | answers to repeats (0: killed again) |")
    print("| --- | --- | --- | --- | --- | --- |")
    asyncio.run(play(options.kills, options.seed, not options.off))


if __name__ == "__main__":
    main()
