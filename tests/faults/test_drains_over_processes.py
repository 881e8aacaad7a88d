"""What one process of a node was told to drain gets nothing new from another one, where that hears only of before."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from cloverhold.net.discovery.departures import Departure, DepartureChanges, changes_value, read_changes
from cloverhold.roster import Roster
from cloverhold.succession.shell import Succession
from drain_play import ASK_SETTINGS, GRACE_S, LEAST_USE, PUSH_SETTINGS, SLACK_S, TimedServer
from loopback import WAIT_S, free_ports, play, read_answer, request, target, until
from replicated_service import Replica, ReplicatedService
from test_process import ROOT, config, environment
from test_process import SETTINGS
from test_supervise import children

SERVERS, DRAINED = 4, 2
HEARD_S = 0.8
WATCHED_S = 8.0  # a new process takes lower versions some 2 s after its start


@dataclass
class Deployment:
    """Servers and discovery of one node, and the processes that were started for it."""

    folder: Path
    settings: dict[str, Any]
    servers: list[TimedServer] = field(default_factory=lambda: [TimedServer() for _ in range(SERVERS)])
    port: int = 0
    service: Any = None

    async def start(
        self, stack: AsyncExitStack, *arguments: str, handles: Sequence[int] = (), **variables: str
    ) -> asyncio.subprocess.Process:
        """A process of the node; it is ended with the stack."""
        env = {**environment(self.folder / "config.json"), **variables, "PYTHONPATH": os.pathsep.join(sys.path)}
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", *arguments), cwd=ROOT, env=env, pass_fds=tuple(handles),
            stderr=asyncio.subprocess.DEVNULL,
        )  # fmt: skip

        async def end() -> None:
            if process.returncode is None:
                process.terminate()
                with suppress(TimeoutError):
                    await asyncio.wait_for(process.wait(), WAIT_S)
            if process.returncode is None:
                process.kill()

        stack.push_async_callback(end)
        return process

    async def status(self, budget: str = "2000m") -> int:
        """Of the answer to one request, on a connection of its own; 0 where none came."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(request(budget=budget))
            answer = await asyncio.wait_for(read_answer(reader), 3.0)
            writer.close()
        except (OSError, AssertionError, TimeoutError):
            return 0
        return answer.status

    async def answers(self) -> bool:
        """Whether a request is answered."""
        return await self.status() == 200

    async def serves(self) -> None:
        """Wait until the node serves."""
        async with asyncio.timeout(WAIT_S):
            while not await self.answers():
                await asyncio.sleep(0.02)

    async def drain(self) -> float:
        """Some servers drain, which the node hears, and from then on its calls reach a replica that has not."""
        self.service.remember()
        self.service.change([target(f"s{i}", self.servers[i].port, "leaving") for i in range(DRAINED)])
        at = time.monotonic()
        await asyncio.sleep(HEARD_S)
        self.service.lag(Replica.WHOLE_LISTS)
        return at

    async def check(self, since: float) -> None:
        """Ask for a while, on ever new connections; no server that drains since then gets anything."""
        until_s = time.monotonic() + WATCHED_S
        while time.monotonic() < until_s:
            await self.answers()
            await asyncio.sleep(0.01)
        allowed = since + GRACE_S + SLACK_S
        late = [at - since for server in self.servers[:DRAINED] for at in server.came_at if at > allowed]
        assert not late, f"{len(late)} requests, {min(late):.2f} to {max(late):.2f} s behind the drain"
        assert sum(at > allowed for server in self.servers[DRAINED:] for at in server.came_at) >= LEAST_USE


@asynccontextmanager
async def deployment(folder: Path, settings: dict[str, Any], **keys: Any) -> AsyncIterator[Deployment]:
    one = Deployment(folder, {**SETTINGS, **settings})
    for server in one.servers:
        await server.start()
    one.service = ReplicatedService([target(f"s{i}", server.port) for i, server in enumerate(one.servers)])
    await one.service.start()
    one.port = free_ports(1)[0]
    listed = {"listen": f"127.0.0.1:{one.port}", "discovery": f"127.0.0.1:{one.service.port}"}
    (folder / "config.json").write_text(json.dumps(config(settings=one.settings, **listed, **keys)))
    try:
        yield one
    finally:
        one.service.stop()
        for server in one.servers:
            server.stop()


MODES = pytest.mark.parametrize("settings", [PUSH_SETTINGS, ASK_SETTINGS], ids=["streamed", "polled"])


@dataclass
class Takeover:
    """One process of a node hears something and another one takes its place."""

    one: Deployment
    stack: AsyncExitStack
    hear: Callable[[Deployment], Awaitable[float]]  # the instant from which on it holds
    settled: Callable[[Deployment], Awaitable[None]]  # waits until a process that took over answers as it should

    async def from_store(self) -> float:
        """The first is killed, and the second goes on from its store."""
        table = self.one.folder / "node.toml"
        table.write_text(f'[store]\npath = "{self.one.folder / "store"}"\n')
        first = await self.one.start(self.stack, "cloverhold", CLOVERHOLD_CONFIG=str(table))
        await self.one.serves()
        heard_at = await self.hear(self.one)
        first.kill()
        await first.wait()
        await self.one.start(self.stack, "cloverhold", CLOVERHOLD_CONFIG=str(table))
        await self.settled(self.one)
        return heard_at

    async def by_upgrade(self) -> float:
        """The second is started beside the first, which then ends by order."""
        listening = self.stack.enter_context(socket.create_server(("127.0.0.1", self.one.port), backlog=128))
        handle = listening.fileno()
        inherited = {"PROXY_LISTEN_FD": str(handle), "TMPDIR": str(self.one.folder)}
        first = await self.one.start(self.stack, "cloverhold", handles=[handle], **inherited)
        await self.one.serves()
        heard_at = await self.hear(self.one)
        await self.one.start(self.stack, "cloverhold", handles=[handle], **inherited)
        await asyncio.sleep(1.0)
        first.terminate()
        return heard_at

    async def of_workers(self) -> float:
        """Both workers are killed, and others take their place."""
        process = await self.one.start(self.stack, "cloverhold.cli", "run", "--workers", "2")
        await self.one.serves()
        heard_at = await self.hear(self.one)
        killed = children(process.pid)
        for pid in killed:
            os.kill(pid, signal.SIGKILL)
        await until(lambda: len(children(process.pid) - killed) == 2)
        await self.settled(self.one)
        return heard_at


def play_drain(folder: Path, settings: dict[str, Any], take_over: Callable[[Takeover], Awaitable[float]]) -> None:
    """Servers drain, another process takes over, and sends them nothing."""

    async def test() -> None:
        async with deployment(folder, settings) as one, AsyncExitStack() as stack:
            drained_at = await take_over(Takeover(one, stack, Deployment.drain, Deployment.serves))
            await one.check(drained_at)

    play(test)


@MODES
def test_drain_is_kept_by_a_process_that_goes_on_from_the_store_of_a_killed_one(
    tmp_path: Path, settings: dict[str, Any]
) -> None:
    play_drain(tmp_path, settings, Takeover.from_store)


@MODES
def test_drain_is_kept_by_the_new_process_of_an_upgrade(tmp_path: Path, settings: dict[str, Any]) -> None:
    play_drain(tmp_path, settings, Takeover.by_upgrade)


@MODES
def test_drain_is_kept_by_a_worker_that_takes_the_place_of_a_killed_one(
    tmp_path: Path, settings: dict[str, Any]
) -> None:
    play_drain(tmp_path, settings, Takeover.of_workers)


@MODES
def test_drain_that_one_worker_hears_holds_at_all(tmp_path: Path, settings: dict[str, Any]) -> None:
    async def test() -> None:
        async with deployment(tmp_path, settings) as one, AsyncExitStack() as stack:
            await one.start(stack, "cloverhold.cli", "run", "--workers", "2")
            await one.serves()
            await asyncio.sleep(2.0)
            one.service.answers_before_lag = 1
            one.service.remember()
            one.service.change([target(f"s{i}", one.servers[i].port, "leaving") for i in range(DRAINED)])
            at = time.monotonic()
            await one.check(at)

    play(test)


def test_process_of_an_upgrade_is_told_at_once_what_another_one_heard(tmp_path: Path) -> None:
    async def test() -> None:
        told: list[Any] = []
        older, newer = (Succession(tmp_path / "cloverhold", 400, lambda: 7, lambda: True) for _ in range(2))
        newer.departures_heard = told.append
        older.join()
        newer.join()
        newer.start()
        changes = changes_value(DepartureChanges({"s0": Departure(43, 0.0)}))
        older.told({"rev": 43, "all": True, "targets": [], "departures": changes})
        await until(lambda: bool(told))
        assert read_changes(told[0]).noted == {"s0": Departure(43, 0.0)}
        older.close()
        newer.close()

    play(test)


def test_list_that_is_kept_names_those_who_left_also_where_a_follower_is_behind() -> None:
    def told(version: int, departure: Departure | None, *, whole: bool = False) -> dict[str, Any]:
        changes = changes_value(DepartureChanges({"s0": departure}))
        return {"rev": version, "all": whole, "targets": [target("s0", 1)], "departures": changes}

    roster = Roster()
    roster.take(told(43, Departure(43, 0.0), whole=True))
    roster.take(told(41, None))
    roster.take({"rev": 40, "all": True, "targets": [target("s0", 1)], "departures": changes_value(DepartureChanges())})
    kept = roster.value()
    assert kept is not None and read_changes(kept["departures"]).noted == {"s0": Departure(43, 0.0)}
    roster.take(told(44, None))
    kept = roster.value()
    assert kept is not None and not read_changes(kept["departures"]).noted


def test_departures_are_read_as_they_were_told() -> None:
    changes = DepartureChanges({"a": Departure(3, 5.0), "b": Departure(float("inf"), float("inf")), "c": None})
    assert read_changes(json.loads(json.dumps(changes_value(changes)))) == changes
