"""A real node hears of a drain in time while its discovery is slow, crowded, trickling, silent or half-silent."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest

from discovery_service import Answer, DiscoveryService
from loopback import Server, play, read_answer, request, target
from node_process import NodeProcess, node_process
from test_process import SETTINGS

SERVERS, DRAINED = 12, 6
GRACE_S, SLACK_S = 0.5, 0.05
NOTIFIED_S = 6.0  # after a failed, refused or given-up call a change counts as told this much later at the latest
WATCHED_S = 3.0  # how long the servers are watched once nothing new may come
CLIENTS, REQUEST_GAP_S = 4, 0.02
LEAST_USE = 30  # requests to the servers that drain, in the second before
LONGEST_WATCH_S = 21.5  # a watch of up to 20 s, and what its answer is waited for
ASK_SETTINGS: dict[str, Any] = {
    "RegistryMode": "subscribe",
    "Guarantees": {**SETTINGS["Guarantees"], "MustAskInMs": 10_000.0},
}
PUSH_SETTINGS: dict[str, Any] = {}
Trouble = Callable[[DiscoveryService], Awaitable[None]]


class TimedServer(Server):
    """A server that notes when requests came."""

    def __init__(self) -> None:
        super().__init__()
        self.came_at: list[float] = []

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if target != "/_load":
            self.came_at.append(time.monotonic())
        return await super().serve(target, head, body, writer)


async def send_requests(node: NodeProcess, client: int) -> None:
    """Requests one after another on one connection, for ever."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
    number = 0
    try:
        while True:
            number += 1
            writer.write(request(number=f"{client}-{number}", budget="2000m"))
            await read_answer(reader)
            await asyncio.sleep(REQUEST_GAP_S)
    finally:
        writer.close()


def most_used(servers: Sequence[TimedServer], since: float) -> list[int]:
    """The half of the servers that got most requests of late."""
    uses = [sum(at > since for at in server.came_at) for server in servers]
    ranked = sorted(range(len(servers)), key=lambda i: -uses[i])[:DRAINED]
    assert sum(uses[i] for i in ranked) >= LEAST_USE
    return ranked


async def sent_late(
    folder: Path, settings: dict[str, Any], trouble: Trouble, notified_s: float, state: str = "leaving"
) -> list[float]:
    """Seconds from when the drain may no longer be unknown to each request that a drained server still got. The drain
    comes once `trouble` has returned; it is known `notified_s` later at the latest.
    """
    servers = [TimedServer() for _ in range(SERVERS)]
    async with node_process(folder, *servers, settings=settings, discovery=DiscoveryService) as node:
        service: DiscoveryService = node.catalog
        traffic = asyncio.gather(*(send_requests(node, client) for client in range(CLIENTS)))
        await trouble(service)
        drained_at = time.monotonic()
        drained = most_used(servers, since=drained_at - 1.0)
        service.change([target(f"s{i}", servers[i].port, state) for i in drained])
        allowed_until = drained_at + notified_s + GRACE_S + SLACK_S
        await asyncio.sleep(allowed_until - time.monotonic() + WATCHED_S)
        assert not traffic.done()
        traffic.cancel()
        with suppress(asyncio.CancelledError):
            await traffic
        return [at - allowed_until for i in drained for at in servers[i].came_at if at > allowed_until]


def check(folder: Path, settings: dict[str, Any], trouble: Trouble, notified_s: float, state: str = "leaving") -> None:
    async def test() -> None:
        late = await sent_late(folder, settings, trouble, notified_s, state)
        assert not late, f"{len(late)} requests, from {min(late):.2f} to {max(late):.2f} s late"

    play(test)


@pytest.mark.parametrize("delay_s", [0.3, 0.5, 1.0, 2.0])
def test_pushed_drain_is_heard_though_each_answer_is_slow(tmp_path: Path, delay_s: float) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.delay_s = delay_s
        await asyncio.sleep(4.0)

    check(tmp_path, PUSH_SETTINGS, trouble, 2 * delay_s)


def test_pushed_drain_is_heard_though_abandoned_calls_crowd_the_agent(tmp_path: Path) -> None:
    """The agent is silent for some seconds, then works through all calls in turn, dead ones too."""

    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.call_s = 0.15
        await asyncio.sleep(5.0)

    check(tmp_path, PUSH_SETTINGS, trouble, 1.5)


def test_pushed_drain_is_heard_though_the_answer_trickles(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.trickle_s = 0.012  # 1.2 s for the drain's list
        await asyncio.sleep(2.0)

    check(tmp_path, PUSH_SETTINGS, trouble, 2.0)


def test_pushed_drain_that_the_agent_gets_at_its_return_is_heard_within_the_grace(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.be_silent(True)
        await asyncio.sleep(8.0)
        service.be_silent(False)

    check(tmp_path, PUSH_SETTINGS, trouble, 0.0)


@pytest.mark.parametrize("delay_s", [1.0, 2.0])
def test_asked_service_that_answers_slowly_after_a_quiet_time_is_heard(tmp_path: Path, delay_s: float) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.delay_s = delay_s
        await asyncio.sleep(LONGEST_WATCH_S + 2.0)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)


def test_asked_service_that_resets_then_refuses_then_loses_a_call_is_heard_in_6_s(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(2.0)
        service.conditions.next_calls.extend([Answer.UNAVAILABLE, Answer.NONE])
        service.reset_open_calls()

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)


@pytest.mark.parametrize("state", ["leaving", "left"])
def test_watch_begun_while_the_service_was_silent_is_not_trusted_for_its_wait(tmp_path: Path, state: str) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(2.0)
        service.be_silent(True)
        service.reset_open_calls()
        await asyncio.sleep(3.0)
        service.be_silent(False)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S, state)


def test_watch_begun_into_a_silence_without_any_failure_is_not_trusted_for_its_wait(tmp_path: Path) -> None:
    """The silence begins behind an answer, so that no call fails before the watch that is lost."""

    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(2.0)
        service.conditions.next_calls.append(Answer.NONE)
        service.change([])  # answers the open watch; the next one is lost
        await asyncio.sleep(0.5)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)


def test_asked_service_that_is_crowded_after_an_outage_is_heard_in_6_s(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.be_silent(True)
        service.reset_open_calls()
        await asyncio.sleep(6.0)
        service.conditions.call_s = 0.7
        service.be_silent(False)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)
