"""Unsafe requests over HTTP/3 while connections migrate, are replayed and killed; a stand-in counts each id's runs.

    PYTHONPATH=.:tests:tests/http3 python benchmarks/http3_chaos.py --requests 2000 --seed 1

Exit status 1 where an id ran twice, or a request whose connection lived had no one final answer in its time.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop

from cloverhold.h3.streams import REQUEST_CANCELLED
from loopback import Running, Server, running, until
from peers import H3Client, Relay, head, table
from test_front import ran
from test_replay import datagrams, early, ticket_of

BUDGET_S = 8.0
EACH = 20  # requests of one connection


class Chaos:
    """One run."""

    def __init__(self, node: Running, seed: int) -> None:
        self.node, self.source = node, random.Random(seed)
        self.done: Counter[str] = Counter()
        self.wrong: list[str] = []
        self.others: list[asyncio.DatagramTransport] = []

    async def connection(self, number: int) -> None:
        """One client: its requests, and what happens to it meanwhile."""
        source, to = random.Random(self.source.random()), ("127.0.0.1", self.node.h3_port)
        relay = Relay(to, number, loss=0.02, twice=0.05, late=0.1)
        door = await relay.start()
        ids = [f"c{number}-{n}" for n in range(EACH)]
        started = time.monotonic()
        if number % 2:
            client, streams = await early(door, await ticket_of(to), [("alerta", i) for i in ids[:5]])
            first_flight = client.sent[:]
            client.hears = True
        else:
            client = H3Client(door)
            await client.open()
            await client.connect()
            streams = []
        for name in ids[len(streams) :]:
            if client.ended.is_set():
                break
            streams.append(client.begin(head("alerta", name), source.randbytes(source.randrange(4000))))
            await asyncio.sleep(source.random() * 0.02)
            if client.ended.is_set():
                break
            await self.happens(client, relay, streams, source)
        if number % 2:  # from elsewhere, when its connection is there or over
            self.others.append(await datagrams(to, first_flight))
            self.done["first flight replayed"] += 1
        taken = {s for s in streams if client.got[s].stopped == -1}
        while not client.ended.is_set() and any(not client.got[s].over() for s in streams if s not in taken):
            if time.monotonic() - started > BUDGET_S + 2:
                break
            client.changed.clear()
            await asyncio.wait([asyncio.ensure_future(client.changed.wait())], timeout=0.2)
        for name, stream in zip(ids, streams, strict=False):
            got = client.got[stream]
            if stream in taken:
                self.done["taken back"] += 1
            elif client.ended.is_set() and not got.whole:
                self.done["connection killed"] += 1
            elif got.whole:
                self.done[f"answered {got.status}"] += 1
            else:
                self.wrong.append(f"{name}: no final answer: {got}")
        client.drop()
        relay.close()

    async def happens(self, client: H3Client, relay: Relay, streams: list[int], source: random.Random) -> None:
        """By chance: a change of address, a replay, a stream taken back, or the end of the connection."""
        draw = source.random()
        if client.ended.is_set() or not client.quic._handshake_confirmed:
            return
        if draw < 0.06:
            relay.rebind()
            client.quic.send_ping(1)
            self.done["rebound"] += 1
        elif draw < 0.12:
            try:
                client.quic.change_connection_id()
            except ValueError:
                return  # every id that it was given is used up for now
            await client.open()
            self.done["address changed"] += 1
        elif draw < 0.16:
            self.others.append(await datagrams(("127.0.0.1", self.node.h3_port), client.sent[-40:]))
            self.done["replayed"] += 1
        elif draw < 0.18:
            stream = source.choice(streams)
            if not client.got[stream].over():
                client.quic.stop_stream(stream, REQUEST_CANCELLED)
                client.got[stream].stopped = -1
        elif draw < 0.19:
            client.close()
            client.ended.set()
        elif draw < 0.2 and (front := self.node.node.http3) is not None:
            for known in list(front.clients):  # the node forgets one of its connections, whosever it is
                if source.random() < 0.1:
                    for event in known.session.lost():
                        front._carry_out(known, [event])
                    self.done["forgotten by the node"] += 1
                    break
        client.flush()


async def run(requests: int, seed: int, folder: Path) -> int:
    """All of it; the exit status."""
    source = random.Random(seed)

    def reply(target: str, body: bytes) -> bytes | None:
        drawn = source.random()
        return None if drawn < 0.02 else b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000

    servers = [Server(reply) for _ in range(4)]
    (folder / "secret").write_bytes(os.urandom(32))
    async with running(*servers, http3=table(folder, secrets=(str(folder / "secret"),))) as node:
        chaos, began = Chaos(node, seed), time.monotonic()
        for first in range(0, requests // EACH, 10):
            await asyncio.gather(*(chaos.connection(n) for n in range(first, min(first + 10, requests // EACH))))
        await until(lambda: not node.node.host.open)
        runs = sum((ran(server) for server in servers), Counter[str]())
        twice = [name for name, count in runs.items() if count > 1]
        for other in chaos.others:
            other.close()
    print(f"{requests} requests, seed {seed}, {time.monotonic() - began:.1f} s; {len(runs)} ran; twice: {len(twice)}")
    print(", ".join(f"{what} {count}" for what, count in sorted(chaos.done.items())))
    print(f"without a final answer: {len(chaos.wrong)}")
    print("\n".join(chaos.wrong[:5]))
    return int(bool(twice or chaos.wrong))


def main() -> int:
    """Read the options and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        return uvloop.run(run(options.requests, options.seed, Path(folder)))


if __name__ == "__main__":
    sys.exit(main())
