"""A writer, relays and nodes as real processes on loopback: started, stopped, killed, asked."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from loopback import free_ports

from cloverhold.fleet.distribution import client
from cloverhold.fleet.distribution.interface import Answer, Change, Mark, Row
from cloverhold.fleet.distribution.resources import Server, write
from tests.fleet.distribution.ways import Way, Ways

FLEET = f"test-{os.getpid()}"  # tests that run beside one another do not hear each other


def server(number: int, state: str = "active") -> bytes:
    return write(Server(f"10.0.{number >> 8}.{number & 255}:80", state=state))  # type: ignore[arg-type]


def servers(count: int) -> dict[str, bytes | None]:
    return {f"server/s{n}": server(n) for n in range(count)}


def held_ports(count: int) -> tuple[list[int], list[socket.socket]]:
    """Ports for processes that start later, and again: bound here meanwhile, so that no other test draws them. A
    process may listen on them all the same, as nobody else does.
    """
    while True:
        ports, held = free_ports(count), list[socket.socket]()
        try:
            for port in ports:
                held.append(socket.socket())
                held[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                held[-1].bind(("127.0.0.1", port))
            return ports, held
        except OSError:  # another test was quicker
            for one in held:
                one.close()


class Process:
    """One process, in a folder of its own that outlives it."""

    def __init__(self, folder: Path, name: str, role: str, port: int = 0, **keys: Any) -> None:
        self.folder, self.name, self.port = folder / name, name, port
        self.folder.mkdir()
        table = {"fleet": FLEET, "name": name, "role": role, "store": str(self.folder / "store"), **keys}
        if self.port:
            table["listen"] = f"127.0.0.1:{self.port}"
        lines = [f"{key} = {json.dumps(value)}" for key, value in table.items()]
        self.file = self.folder / "config.toml"
        self.file.write_text("\n".join(["[distribution]", *lines]) + "\n")
        self.out = self.folder / "out"
        self.process: subprocess.Popen[bytes] | None = None
        self.lives = 0

    @property
    def at(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def start(self) -> None:
        self.lives += 1
        self.out = self.folder / f"out-{self.lives}"
        with self.out.open("wb") as out, (self.folder / "log").open("ab") as log:
            words = [sys.executable, "-m", "cloverhold.cli", "fleet", "distribute", str(self.file)]
            self.process = subprocess.Popen(words, stdout=out, stderr=log)

    def send(self, number: int) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def end(self, number: int = signal.SIGTERM) -> int:
        """End it, and wait for that; its exit status."""
        if self.process is None:
            return 0
        self.process.send_signal(signal.SIGCONT)
        self.process.send_signal(number)
        try:
            return self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
        finally:
            self.process = None

    def events(self, kind: str = "") -> list[dict[str, Any]]:
        """What this life has said."""
        lines = self.out.read_bytes().split(b"\n")[:-1] if self.out.exists() else []
        found = [json.loads(line) for line in lines]
        return [event for event in found if not kind or event["event"] == kind]

    def mark(self, scope: str) -> Mark | None:
        """What is in force in this life, as far as it has said."""
        for event in reversed(self.events()):
            if event.get("scope") == scope:
                return Mark(event["epoch"], event["number"], bytes.fromhex(event["digest"]))
        return None

    def has(self, scope: str, mark: Mark) -> Callable[[], bool]:
        return lambda: self.mark(scope) == mark

    def set_back(self, to: Path) -> None:
        """Its store's files as they were; the lock stays, so that it is the same folder."""
        for path in (self.folder / "store").iterdir():
            if path.name != "LOCK":
                path.unlink()
        for path in to.iterdir():
            if path.name != "LOCK":
                shutil.copy(path, self.folder / "store" / path.name)

    def copy(self, to: Path) -> Path:
        shutil.copytree(self.folder / "store", to)
        return to


def at(way: Way) -> str:
    return f"127.0.0.1:{way.port}"


class Fleet:
    """A writer, relays, and nodes that follow some scopes; a way between each two that speak."""

    def __init__(self, folder: Path, relays: int = 2, nodes: Sequence[Sequence[str]] = (("service/a",),) * 3) -> None:
        self.ways = Ways()
        ports, self.held = held_ports(1 + relays)
        self.up = [self.ways.add(ports[0]) for _ in range(relays)]  # by relay, to the writer
        self.relays = [
            Process(folder, f"r{n}", "relay", ports[1 + n], sources=[at(way)]) for n, way in enumerate(self.up)
        ]
        self.writer = Process(folder, "w", "writer", ports[0], sources=[f"127.0.0.1:{port}" for port in ports[1:]])
        self.down = [[self.ways.add(port) for port in ports[1:]] for _ in nodes]  # by node, to each relay
        self.nodes = [
            Process(folder, f"n{n}", "node", sources=[at(way) for way in self.down[n]], scopes=list(scopes))
            for n, scopes in enumerate(nodes)
        ]
        self.all = [*self.relays, self.writer, *self.nodes]

    def __enter__(self) -> Fleet:
        try:
            for one in self.all:
                one.start()
            until(lambda: all(one.events("ready") for one in self.all), 20, "all are ready")
        except BaseException:
            self.close()  # a process that is left goes on, and its ports are given to others
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """End all of it."""
        for one in reversed(self.all):
            one.end(signal.SIGKILL)
        self.ways.close()
        for held in self.held:
            held.close()

    def change(self, values: Mapping[str, bytes | None], scope: str = "service/a") -> Mark:
        answer = self.asked(values, scope)
        assert answer.mark is not None, answer.why
        return answer.mark

    def asked(self, values: Mapping[str, bytes | None], scope: str = "service/a") -> Answer:
        return asyncio.run(client.change(self.writer.at, FLEET, scope, values))

    def stream(self, count: int, per_s: float) -> list[Mark]:
        """So many changes of one scope over one connection, one server each, at a rate."""

        async def said() -> list[Mark]:
            marks: list[Mark] = []
            async with client.line(self.writer.at, FLEET, "operator") as one:
                begun = time.monotonic()
                for number in range(count):
                    await asyncio.sleep(max(0.0, begun + number / per_s - time.monotonic()))
                    one.say(Change("service/a", {f"server/s{number % 30}": server(1000 + number)}))
                while len(marks) < count:
                    if isinstance(word := await one.hear(), Answer):
                        assert word.mark is not None, word.why
                        marks.append(word.mark)
            return marks

        return asyncio.run(said())

    def rows(self, of: Process) -> list[Row]:
        return asyncio.run(client.who(of.at, FLEET))[1]

    def way(self, node: Process) -> Way:
        """The way that a node's connection takes now."""
        index = self.nodes.index(node)
        relay = next(n for n, relay in enumerate(self.relays) if node in self.behind(relay))
        return self.down[index][relay]

    def behind(self, relay: Process) -> list[Process]:
        """The nodes that follow this relay."""
        names = {row.name for row in self.rows(relay)}
        return [node for node in self.nodes if node.name in names]


def until(good: Callable[[], bool], within_s: float, what: str) -> float:
    """Wait for it; the seconds that it took."""
    begun = time.monotonic()
    while not good():
        assert time.monotonic() - begun < within_s, f"not within {within_s} s: {what}"
        time.sleep(0.02)
    return time.monotonic() - begun
