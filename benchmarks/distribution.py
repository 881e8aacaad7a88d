"""One real relay behind a real writer, and hollow nodes: docs/measurements/distribution.md.

    .venv-dev/bin/python benchmarks/distribution.py 50 100 200 471

A hollow node is a node's core and its connection without disk and front, hundreds in this process; each follows the
scope `fleet` and five of so many services that ten nodes follow each, as dealt. Played: all start at once with nothing;
31,000 changes a day for 20 s; a thousand in ten seconds; the relay killed and started, all nodes behind it. A change is
in force at a node when its core has switched; pairs of a change and a node are counted.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
sys.path.insert(0, str(Path(__file__).parents[1]))

from loopback import free_ports

from cloverhold.fleet.distribution import client
from cloverhold.fleet.distribution.dealing import Place, Service, deal
from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.frames import WIRE, frame, source_words
from cloverhold.fleet.distribution.interface import (
    Action, Answer, Beat, Behind, Change, Hello, Persist, Switch, Told, Unknown, Up,
)  # fmt: skip
from cloverhold.fleet.distribution.resources import Checker, Class, write
from cloverhold.fleet.wire.clock import now_ms
from tests.fleet.distribution.processes import FLEET, Process, server, until

SERVERS = 25  # a service
SERVICES = 3100 / 6600  # a node
CALM_S, CALM_PER_S = 20.0, 31_000 / 86_400
BURST, BURST_PER_S = 1_000, 100.0
COLUMNS = (
    "nodes at the relay", "services", "cold, s", "calm: ms, median, 99%, last", "relay, % of a core",
    "dearest node, B/s", "burst: ms, median, 99%, last", "relay, % of a core", "dearest node, B/s", "relay, MB",
    "back, s", "then told: wholes, changes",
)  # fmt: skip
TICK = os.sysconf("SC_CLK_TCK")


class Hollow:
    """One node: its core, and when it switched to what."""

    def __init__(self, name: str, port: int, scopes: Sequence[str], chance: Random) -> None:
        self.name, self.port, self.chance = name, port, chance
        self.core = Follower({}, Checker())
        self.scopes = scopes
        self.writer: asyncio.StreamWriter | None = None
        self.switched: dict[str, list[tuple[float, int]]] = {scope: [] for scope in scopes}
        self.heard = self.said = 0

    def do(self, actions: Sequence[Action]) -> None:
        """As the shell does, with a disk that is done at once."""
        for action in actions:
            match action:
                case Up(message) if self.writer is not None and not self.writer.transport.is_closing():
                    data = frame(message)
                    self.said += len(data)
                    self.writer.write(data)
                case Persist(scope, _, upto):
                    self.do(self.core.stored(scope, upto, True, now_ms()))
                case Switch(scope, mark):
                    self.switched[scope].append((time.monotonic(), mark.number))

    async def run(self) -> None:
        """Follow, and come again when the relay is gone, spread out as the shell is."""
        self.do(self.core.follow(self.scopes))
        tries = 0
        while True:
            try:
                reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.writer.write(frame(Hello(FLEET, self.name, WIRE)))
                words = source_words()
                while data := await reader.read(64 * 1024):
                    self.heard += len(data)
                    for word in words.feed(data):
                        if isinstance(word, Hello):
                            self.do(self.core.joined())
                            tries = 0
                        elif isinstance(word, (Told, Unknown, Behind)):
                            self.do(self.core.hear(word, now_ms()))
            except OSError:
                pass
            if self.writer is not None:
                self.writer.transport.abort()
            await asyncio.sleep(self.chance.uniform(0, min(5.0, 0.1 * 2 ** min(tries, 10))))
            tries += 1

    async def beat(self) -> None:
        """Once a second."""
        await asyncio.sleep(self.chance.random())
        while True:
            await asyncio.sleep(1.0)
            self.do([Up(Beat()), *self.core.turn(now_ms())])  # type: ignore[arg-type]


def cpu_s(process: Process) -> float:
    """Processor time of a process so far."""
    assert process.process is not None
    fields = Path(f"/proc/{process.process.pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def rss_mb(process: Process) -> float:
    """Resident memory of a process."""
    assert process.process is not None
    return int(Path(f"/proc/{process.process.pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGESIZE") / 1e6


def delays(nodes: Sequence[Hollow], changes: Sequence[tuple[float, str, int]]) -> list[float]:
    """Of each change and node that follows its scope: s from the answer to the operator until in force."""
    out = []
    for node in nodes:
        for at, scope, number in changes:
            if scope in node.switched:
                force = next((when for when, reached in node.switched[scope] if reached >= number), None)
                out.append(max(0.0, force - at) if force is not None else float("inf"))
    return sorted(out)


def shown(found: Sequence[float]) -> str:
    """The median, 99 in 100, and the last."""
    return f"{1000 * found[len(found) // 2]:.0f}, {1000 * found[len(found) * 99 // 100]:.0f}, {1000 * found[-1]:.0f}"


async def changed(line: client.Line, per_s: float, count: int, services: int) -> list[tuple[float, str, int]]:
    """So many changes at a rate: one in a hundred of all nodes' scope, the others of services in turn."""
    made: list[tuple[float, str, int]] = []
    wanted = [("fleet" if n % 100 == 50 else f"service/{n % services}") for n in range(count)]

    async def hear() -> None:
        while len(made) < count:
            word = await line.hear()
            if isinstance(word, Answer):
                assert word.mark is not None, word.why
                made.append((time.monotonic(), word.scope, word.mark.number))

    hearing = asyncio.ensure_future(hear())
    begun = time.monotonic()
    for n, scope in enumerate(wanted):
        await asyncio.sleep(max(0.0, begun + n / per_s - time.monotonic()))
        value = {"class/get": write(Class(500.0 + n, 5e5))} if scope == "fleet" else {"server/s1": server(9000 + n)}
        line.say(Change(scope, value))
    await asyncio.wait_for(hearing, 60)
    return made


async def played(nodes: int, folder: Path) -> str:
    """A row."""
    services = max(1, round(nodes * SERVICES))
    dealt = deal([Service(str(n)) for n in range(services)], [Place(n, f"z{n % 12}") for n in range(nodes)])
    ports = free_ports(2)
    writer = Process(folder, "w", "writer", ports[0])
    relay = Process(folder, "r", "relay", ports[1], sources=[f"127.0.0.1:{writer.port}"])
    ran: list[asyncio.Task[None]] = []
    try:
        for one in (writer, relay):
            one.start()
        await asyncio.to_thread(until, lambda: all(p.events("ready") for p in (writer, relay)), 20, "ready")
        async with client.line(writer.at, FLEET, "operator") as line:
            for n in range(services):
                line.say(Change(f"service/{n}", {f"server/s{m}": server(m) for m in range(SERVERS)}))
            line.say(Change("fleet", {"class/get": write(Class(500.0, 5e5))}))
            for _ in range(services + 1):
                while not isinstance(await line.hear(), Answer):
                    pass
            chance = Random(1)
            hollow = [
                Hollow(f"n{n}", relay.port, ["fleet", *(f"service/{s}" for s in dealt if n in dealt[s])], chance)
                for n in range(nodes)
            ]
            begun = time.monotonic()
            ran = [asyncio.ensure_future(task) for one in hollow for task in (one.run(), one.beat())]
            while not all(all(one.switched.values()) for one in hollow):
                await asyncio.sleep(0.02)
            cold = time.monotonic() - begun
            before, at = cpu_s(relay), [(one.heard, one.said) for one in hollow]
            calm = await changed(line, CALM_PER_S, round(CALM_S * CALM_PER_S), services)
            await asyncio.sleep(2)
            passed = time.monotonic() - begun - cold
            calm_cpu = 100 * (cpu_s(relay) - before) / passed
            calm_bytes = max((one.heard + one.said - h - s) / passed for one, (h, s) in zip(hollow, at, strict=True))
            before, at, begun = cpu_s(relay), [(one.heard, one.said) for one in hollow], time.monotonic()
            burst = await changed(line, BURST_PER_S, BURST, services)
            await asyncio.sleep(2)
            passed = time.monotonic() - begun
            burst_cpu = 100 * (cpu_s(relay) - before) / passed
            burst_bytes = max((one.heard + one.said - h - s) / passed for one, (h, s) in zip(hollow, at, strict=True))
            memory = rss_mb(relay)
            relay.end(signal.SIGKILL)
            missed = await changed(line, 50.0, 50, services)
            relay.start()
            begun = time.monotonic()
            while delays(hollow, missed)[-1] == float("inf"):
                await asyncio.sleep(0.05)
            back = time.monotonic() - begun
        relay.end()
        counts = relay.events("ended")[0]["counts"]
        return (
            f"| {nodes} | {services} | {cold:.1f} | {shown(delays(hollow, calm))} | {calm_cpu:.1f} | "
            f"{calm_bytes:.0f} | "
            f"{shown(delays(hollow, burst))} | {burst_cpu:.1f} | {burst_bytes:.0f} | {memory:.0f} | {back:.1f} | "
            f"{counts.get('whole told', 0)}, {counts.get('change told', 0)} |"
        )
    finally:
        for task in ran:
            task.cancel()
        for one in (relay, writer):
            one.end(signal.SIGKILL)


def main(sizes: Sequence[int]) -> None:
    """The page's table."""
    print("| " + " | ".join(COLUMNS) + " |\n|" + " --- |" * len(COLUMNS))
    for nodes in sizes:
        with tempfile.TemporaryDirectory() as folder:
            print(asyncio.run(played(nodes, Path(folder))), flush=True)


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or [50, 100, 200, 471])
