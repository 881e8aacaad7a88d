"""Once one process of a node heard that its list names nobody, another one that hears only of before sends nothing."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from drain_play import GRACE_S, SLACK_S
from loopback import WAIT_S, play, read_answer, request, until
from replicated_service import Replica
from test_drains_over_processes import MODES, WATCHED_S, Deployment, deployment
from test_supervise import children

LEAST_REFUSED = 30  # requests, while it is watched that none is sent on
IN_A_ROW = 20  # refused requests, which all processes at the address have a part in


async def status(one: Deployment) -> int:
    """Of the answer to one request; 0 where none came."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", one.port)
        writer.write(request(budget="300m"))
        answer = await asyncio.wait_for(read_answer(reader), 3.0)
        writer.close()
    except (OSError, AssertionError, TimeoutError):
        return 0
    return answer.status


async def refuses(one: Deployment) -> None:
    """Wait until the node has nobody to send to, and says so."""
    in_a_row = 0
    async with asyncio.timeout(WAIT_S):
        while in_a_row < IN_A_ROW:
            in_a_row = in_a_row + 1 if await status(one) == 503 else 0
            await asyncio.sleep(0.02)


async def fleet_leaves(one: Deployment) -> float:
    """The list names nobody, which the node hears, and from then on its calls reach a replica that has not."""
    one.service.remember()
    one.service.targets.clear()
    one.service.change([])
    await refuses(one)
    heard_at = time.monotonic()
    one.service.lag(Replica.WHOLE_LISTS)
    return heard_at + GRACE_S + SLACK_S


async def check(one: Deployment, since: float) -> None:
    """Ask for a while, on ever new connections; all is refused, and no server gets anything from then on."""
    until_s, refused = time.monotonic() + WATCHED_S, 0
    while time.monotonic() < until_s:
        refused += await status(one) == 503
        await asyncio.sleep(0.01)
    late = [at - since for server in one.servers for at in server.came_at if at > since]
    assert not late, f"{len(late)} requests, {min(late):.2f} to {max(late):.2f} s too late"
    assert refused >= LEAST_REFUSED


@MODES
def test_empty_list_is_kept_by_a_process_that_goes_on_from_the_store_of_a_killed_one(
    tmp_path: Path, settings: dict[str, Any]
) -> None:
    async def test() -> None:
        table = tmp_path / "node.toml"
        table.write_text(f'[store]\npath = "{tmp_path / "store"}"\n')
        async with deployment(tmp_path, settings) as one, AsyncExitStack() as stack:
            first = await one.start(stack, "cloverhold", CLOVERHOLD_CONFIG=str(table))
            await one.serves()
            gone_at = await fleet_leaves(one)
            first.kill()
            await first.wait()
            await one.start(stack, "cloverhold", CLOVERHOLD_CONFIG=str(table))
            await refuses(one)
            await check(one, gone_at)

    play(test)


@MODES
def test_empty_list_is_kept_by_the_new_process_of_an_upgrade(tmp_path: Path, settings: dict[str, Any]) -> None:
    async def test() -> None:
        async with deployment(tmp_path, settings) as one, AsyncExitStack() as stack:
            listening = stack.enter_context(socket.create_server(("127.0.0.1", one.port), backlog=128))
            handle = listening.fileno()
            inherited = {"PROXY_LISTEN_FD": str(handle), "TMPDIR": str(tmp_path)}
            first = await one.start(stack, "cloverhold", handles=[handle], **inherited)
            await one.serves()
            gone_at = await fleet_leaves(one)
            await one.start(stack, "cloverhold", handles=[handle], **inherited)
            await asyncio.sleep(1.0)
            first.terminate()
            await check(one, gone_at)

    play(test)


@MODES
def test_empty_list_is_kept_by_a_worker_that_takes_the_place_of_a_killed_one(
    tmp_path: Path, settings: dict[str, Any]
) -> None:
    async def test() -> None:
        async with deployment(tmp_path, settings) as one, AsyncExitStack() as stack:
            process = await one.start(stack, "cloverhold.cli", "run", "--workers", "2")
            await one.serves()
            gone_at = await fleet_leaves(one)
            killed = children(process.pid)
            for pid in killed:
                os.kill(pid, signal.SIGKILL)
            await until(lambda: len(children(process.pid) - killed) == 2)
            await refuses(one)
            await check(one, gone_at)

    play(test)
