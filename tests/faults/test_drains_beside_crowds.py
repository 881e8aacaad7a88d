"""Nothing new reaches a server past the drain's grace, also while crowds of clients come, stall and leave at once."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import pytest

from discovery_service import DiscoveryService
from drain_play import DRAINED, GRACE_S, LEAST_USE, SERVERS, SLACK_S, WATCHED_S, send_requests
from loopback import OK, Peer, Scripted, body_of, play, request, target
from node_process import NodeProcess, node_process

USUAL_CLIENTS = 8
CHUNK_PIECE = b"400\r\n" + b"x" * 1024 + b"\r\n"


@dataclass(frozen=True)
class Crowd:
    """What the others do meanwhile."""

    leavers: int  # that ask, and leave at once, again and again
    stay_s: float
    stalled: int  # whose long bodies stop in the middle, in chunks or with a length
    pipelined: int  # requests that each of the leavers writes at once
    answer_s: float  # how long servers take
    memory_mb: int

    @classmethod
    def drawn(cls, seed: int) -> Crowd:
        draw = random.Random(seed)
        return cls(
            leavers=draw.randrange(50, 250),
            stay_s=draw.uniform(0.05, 0.6),
            stalled=draw.randrange(0, 60),
            pipelined=draw.choice([1, 1, 4]),
            answer_s=draw.choice([0.0, 0.05, 0.3]),
            memory_mb=draw.choice([32, 48, 96, 192]),
        )


class BusyServer(Scripted):
    """A server that takes its time, and notes when each request's head came."""

    def __init__(self, answer_s: float) -> None:
        super().__init__(self._answer)
        self.answer_s, self.came_at = answer_s, list[float]()

    async def _answer(self, head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.came_at.append(time.monotonic())
        await body_of(head, reader)
        await asyncio.sleep(self.answer_s)
        writer.write(OK)


async def leave_again_and_again(node: NodeProcess, crowd: Crowd) -> None:
    """All connect, ask, and are gone in the same moment; then anew."""
    turn = 0
    while True:
        turn += 1
        peers = list[Peer]()
        for number in range(crowd.leavers):
            with suppress(OSError):
                peers.append(await asyncio.open_connection("127.0.0.1", node.port))
                name = f"l{turn}x{number}"
                kind = ("consulta", "alerta", "lote")[number % 3]
                raw = [request(kind, f"{name}x{at}", body=b"b" * (number % 3 * 900)) for at in range(crowd.pipelined)]
                peers[-1][1].write(b"".join(raw))
        await asyncio.sleep(crowd.stay_s)
        for _, writer in peers:
            writer.transport.abort()


async def stall(node: NodeProcess, number: int) -> None:
    """A long body that stops, once its server has taken what came, again and again."""
    turn = 0
    while True:
        turn += 1
        with suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            raw = request("lote", f"s{number}x{turn}", body=b"x" * 900_000)
            if number % 2:
                head = request("lote", f"s{number}x{turn}", extra="Transfer-Encoding: chunked\r\n")
                raw = head.replace(b"Content-Length: 0\r\n", b"") + CHUNK_PIECE * 900
            writer.write(raw[:-20])
            await reader.read()
            writer.transport.abort()


async def sent_late_beside(folder: Path, crowd: Crowd, state: str) -> list[float]:
    """Seconds past the grace of each request that a drained server still got."""
    servers: Sequence[BusyServer] = [BusyServer(crowd.answer_s) for _ in range(SERVERS)]
    limits = {"memory_mb": crowd.memory_mb, "sockets": 1024}
    async with node_process(folder, *servers, discovery=DiscoveryService, limits=limits) as node:
        service: DiscoveryService = node.catalog
        others = [asyncio.create_task(send_requests(node, client)) for client in range(USUAL_CLIENTS)]
        others.append(asyncio.create_task(leave_again_and_again(node, crowd)))
        others.extend(asyncio.create_task(stall(node, number)) for number in range(crowd.stalled))
        await asyncio.sleep(2.0)
        drained = range(DRAINED)
        assert sum(len(servers[i].came_at) for i in drained) >= LEAST_USE
        drained_at = time.monotonic()
        service.change([target(f"s{i}", servers[i].port, state) for i in drained])
        allowed_until = drained_at + GRACE_S + SLACK_S
        await asyncio.sleep(WATCHED_S)
        assert node.process.returncode is None
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        assert any(at > allowed_until for i in range(DRAINED, SERVERS) for at in servers[i].came_at)
        return [at - allowed_until for i in drained for at in servers[i].came_at if at > allowed_until]


@pytest.mark.parametrize("state", ["leaving", "left"])
@pytest.mark.parametrize("seed", range(6))
def test_drained_servers_get_nothing_past_the_grace_beside_a_crowd(tmp_path: Path, seed: int, state: str) -> None:
    async def test() -> None:
        late = await sent_late_beside(tmp_path, Crowd.drawn(seed), state)
        assert not late, f"{len(late)} requests, up to {max(late):.2f} s late: {Crowd.drawn(seed)}"

    play(test)
