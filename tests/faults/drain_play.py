"""A real node before servers of which half drain behind some trouble of its discovery: what it sent them too late."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from discovery_service import DiscoveryService
from loopback import Server, play, read_answer, request, target
from node_process import NodeProcess, node_process
from test_process import SETTINGS

SERVERS, DRAINED = 12, 6
GRACE_S, SLACK_S = 0.5, 0.05
NOTIFIED_S = 6.0  # after a failed, refused or given-up call a change counts as told this much later at the latest
WATCHED_S = 3.0  # how long the servers are watched once nothing new may come
CLIENTS, REQUEST_GAP_S = 4, 0.02
LEAST_USE = 30  # requests to the servers that drain, in the second before
ASK_SETTINGS: dict[str, Any] = {
    "RegistryMode": "subscribe",
    "Guarantees": {**SETTINGS["Guarantees"], "MustAskInMs": 10_000.0},
}
PUSH_SETTINGS: dict[str, Any] = {}
Trouble = Callable[[Any], Awaitable[None]]  # of the discovery that is played


class TimedServer(Server):
    """A server that notes when requests came."""

    def __init__(self) -> None:
        super().__init__()
        self.came_at: list[float] = []

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if target != "/_load":
            self.came_at.append(time.monotonic())
        return await super().serve(target, head, body, writer)


async def send_requests(node: NodeProcess, client: int | str) -> None:
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
    folder: Path,
    settings: dict[str, Any],
    trouble: Trouble,
    notified_s: float,
    state: str = "leaving",
    discovery: type[DiscoveryService] = DiscoveryService,
) -> list[float]:
    """Seconds from when the drain may no longer be unknown to each request that a drained server still got. The drain
    comes once `trouble` has returned; it is known `notified_s` later at the latest.
    """
    servers = [TimedServer() for _ in range(SERVERS)]
    async with node_process(folder, *servers, settings=settings, discovery=discovery) as node:
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
        late = [[at - allowed_until for at in server.came_at if at > allowed_until] for server in servers]
        assert sum(len(late[i]) for i in set(range(SERVERS)) - set(drained)) >= LEAST_USE
        return [at for i in drained for at in late[i]]


def check(
    folder: Path,
    settings: dict[str, Any],
    trouble: Trouble,
    notified_s: float,
    state: str = "leaving",
    discovery: type[DiscoveryService] = DiscoveryService,
) -> None:
    """Play it; no drained server may get a request late, and the others go on getting some."""

    async def test() -> None:
        late = await sent_late(folder, settings, trouble, notified_s, state, discovery)
        assert not late, f"{len(late)} requests, from {min(late):.2f} to {max(late):.2f} s late"

    play(test)
