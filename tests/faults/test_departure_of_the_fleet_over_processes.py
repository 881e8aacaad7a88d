"""Once one process of a node heard that its list names nobody, another one that hears only of before sends nothing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from drain_play import GRACE_S, SLACK_S
from loopback import WAIT_S, play
from replicated_service import Replica
from test_drains_over_processes import MODES, WATCHED_S, Deployment, Takeover, deployment

BUDGET = "300m"  # of a request that is to be refused
LEAST_REFUSED = 30  # requests, while it is watched that none is sent on
IN_A_ROW = 20  # refused requests, which all processes at the address have a part in


async def refuses(one: Deployment) -> None:
    """Wait until the node has nobody to send to, and says so."""
    in_a_row = 0
    async with asyncio.timeout(WAIT_S):
        while in_a_row < IN_A_ROW:
            in_a_row = in_a_row + 1 if await one.status(BUDGET) == 503 else 0
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
        refused += await one.status(BUDGET) == 503
        await asyncio.sleep(0.01)
    late = [at - since for server in one.servers for at in server.came_at if at > since]
    assert not late, f"{len(late)} requests, {min(late):.2f} to {max(late):.2f} s too late"
    assert refused >= LEAST_REFUSED


def play_departure(folder: Path, settings: dict[str, Any], take_over: Callable[[Takeover], Awaitable[float]]) -> None:
    """The fleet leaves, another process takes over, and sends nothing."""

    async def test() -> None:
        async with deployment(folder, settings) as one, AsyncExitStack() as stack:
            gone_at = await take_over(Takeover(one, stack, fleet_leaves, refuses))
            await check(one, gone_at)

    play(test)


@MODES
def test_empty_list_is_kept_by_a_process_that_goes_on_from_the_store_of_a_killed_one(
    tmp_path: Path, settings: dict[str, Any]
) -> None:
    play_departure(tmp_path, settings, Takeover.from_store)


@MODES
def test_empty_list_is_kept_by_the_new_process_of_an_upgrade(tmp_path: Path, settings: dict[str, Any]) -> None:
    play_departure(tmp_path, settings, Takeover.by_upgrade)


@MODES
def test_empty_list_is_kept_by_a_worker_that_takes_the_place_of_a_killed_one(
    tmp_path: Path, settings: dict[str, Any]
) -> None:
    play_departure(tmp_path, settings, Takeover.of_workers)
