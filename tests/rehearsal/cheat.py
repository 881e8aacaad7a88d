"""A small node of its own, honest but for one thing: `python cheat.py NAME`. The judge must see just that thing.

It sends each request once, to the next active server in turn, and answers with what came back.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from dataclasses import dataclass
from typing import Any

NAMES = (
    "honest", "answers_twice", "answers_late", "drops_at_close", "repeats_unsafe", "two_at_once",
    "sends_to_draining", "floods_cold", "refuses_what_ran", "invents_an_answer", "sends_after_answer",
    "repeats_outside_group", "lies_in_a_drain", "holds_in_a_drain",
)  # fmt: skip
EVERY = 7  # it cheats on each such request


@dataclass
class Asked:
    head: bytes
    body: bytes
    fields: dict[str, str]

    def budget_s(self) -> float:
        said = self.fields["x-budget"]
        return float(said[:-1]) / (1e6 if said.endswith("u") else 1e3)


async def read_message(reader: asyncio.StreamReader) -> Asked:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")[1:-2]
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Asked(head, await reader.readexactly(int(fields.get("content-length", 0))), fields)


class Cheat:
    def __init__(self, name: str, config: dict[str, Any]) -> None:
        self.name, self.config = name, config
        self.targets: dict[str, dict[str, Any]] = {t["uid"]: t for t in config["known"]["targets"]}
        self.turn = self.count = 0
        self.duck = False
        self.stopping = asyncio.Event()
        self.busy = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        host, _, port = self.config["listen"].rpartition(":")
        server = await asyncio.start_server(self.serve, host, int(port))
        if "mgmt" in self.config:
            host, _, port = self.config["mgmt"].rpartition(":")
            await asyncio.start_server(self.manage, host, int(port))
        follows = asyncio.create_task(self.follow())
        await self.stopping.wait()
        server.close()
        while self.busy:
            await asyncio.sleep(0.01)
        follows.cancel()
        await asyncio.gather(follows, *self.tasks, return_exceptions=True)

    async def manage(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.duck = b"/_lameduck/on" in await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        writer.close()

    async def follow(self) -> None:
        host, _, port = self.config["discovery"].rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /catalog/members HTTP/1.1\r\nHost: x\r\n\r\n")
                said = json.loads((await read_message(reader)).body)
                self.targets = {t["uid"]: t for t in said["targets"]}
                writer.close()
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)

    def pick(self, but: str = "", cell: int | None = None, other_cell: int | None = None) -> dict[str, Any]:
        wanted = [t for t in self.targets.values() if t["state"] == "active" and t["uid"] != but]
        if self.name == "sends_to_draining":
            wanted = [t for t in self.targets.values() if t["uid"] != but]
        if self.name == "floods_cold":
            wanted = [t for t in wanted if t["boot_ms"] > 0] or wanted
        if other_cell is not None:
            wanted = [t for t in wanted if t["pod_group"] != other_cell]
        self.turn += 1
        return wanted[self.turn % len(wanted)]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served = 0
        try:
            while True:
                asked = await read_message(reader)
                if asked.head.startswith(b"GET /_health"):
                    well = not self.duck or self.name == "lies_in_a_drain"
                    writer.write(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % (b"200 OK" if well else b"503 Drain"))
                    continue
                self.count += 1
                served += 1
                self.busy += 1
                try:
                    if not await self.answer(asked, writer, cheats=self.count % EVERY == 0, served=served):
                        return
                    if self.duck and self.name != "holds_in_a_drain":
                        return  # at the latest with the next answer: those at rest stay, but who asks once is sent off
                finally:
                    self.busy -= 1
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def answer(self, asked: Asked, writer: asyncio.StreamWriter, *, cheats: bool, served: int) -> bool:
        begun = time.monotonic()
        target = self.pick()
        if self.name == "invents_an_answer" and cheats:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nmade up")
            return True
        second = None
        if self.name == "two_at_once" and cheats and asked.head.startswith(b"GET"):
            second = asyncio.create_task(self.attempt(self.pick(target["uid"]), asked, begun))
        said = await self.attempt(target, asked, begun)
        if second is not None:
            await second
        unsafe = asked.head.startswith(b"POST /alerta")
        if said.startswith(b"!"):  # it may have run
            if self.name == "repeats_unsafe" and unsafe:
                said = await self.attempt(self.pick(target["uid"]), asked, begun)
            if self.name == "repeats_outside_group" and asked.head.startswith(b"POST /lote"):
                said = await self.attempt(self.pick(other_cell=target["pod_group"]), asked, begun)
            if self.name == "refuses_what_ran" and unsafe:
                said = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"
        if said.startswith(b"!"):
            said = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
        if self.name == "drops_at_close" and served > 1 and cheats:
            return False
        if self.name == "answers_late" and cheats:
            await asyncio.sleep(max(0.0, asked.budget_s() + 0.15 - (time.monotonic() - begun)))
        writer.write(said)
        if self.name == "answers_twice" and cheats:
            writer.write(said)
        if self.name == "sends_after_answer" and cheats and asked.head.startswith(b"GET"):
            self.later(asked)
        return True

    def later(self, asked: Asked) -> None:
        async def send() -> None:
            await asyncio.sleep(0.2)
            await self.attempt(self.pick(), asked, time.monotonic())

        task = asyncio.create_task(send())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def attempt(self, target: dict[str, Any], asked: Asked, begun: float) -> bytes:
        """One attempt; `!` where it may have run and there is no answer."""
        host, _, port = target["endpoint"].rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(max(0.01, asked.budget_s() - 0.05 - (time.monotonic() - begun))):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(asked.head + asked.body)
                said = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return b"!"
        finally:
            if writer is not None:
                writer.transport.abort()
        if said.head.startswith(b"HTTP/1.1 503"):
            return b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        return said.head + said.body if said.head.startswith(b"HTTP/1.1 200") else b"!"


async def main(name: str) -> None:
    with open(os.environ["PROXY_CONFIG"], encoding="utf-8") as file:
        cheat = Cheat(name, json.load(file))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, cheat.stopping.set)
    await cheat.run()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
