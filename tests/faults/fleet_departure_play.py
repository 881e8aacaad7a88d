"""Two real nodes before one fleet, whose weights change all the time: the discovery of the second alone is altered.

`python tests/faults/fleet_departure_play.py --quiet-s 31` plays all ways by which a whole fleet leaves, and prints what
each node sent past the grace: how much, from when on, and to how many servers.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from altered_discovery import AlteredDiscovery, CutOff, FleetLeaves, Line
from drain_play import ASK_SETTINGS, GRACE_S, LEAST_USE, NOTIFIED_S, PUSH_SETTINGS, SLACK_S, WATCHED_S, send_requests
from loopback import Server, target
from node_process import NodeProcess, node_process

SERVERS, DRAINED_FIRST = 12, 9
CLIENTS = 2  # of each node
STEP_S = 1.4  # from one version to the next
CUT_S = 9.0
SLOW_ANSWER_S = 0.2
MODES: dict[str, dict[str, Any]] = {"streamed": PUSH_SETTINGS, "polled": ASK_SETTINGS}


class NotingServer(Server):
    """A server that notes when requests came, and from which node."""

    def __init__(self) -> None:
        super().__init__()
        self.came: list[tuple[float, str]] = []

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if target != "/_load":
            request_id = head.partition(b"X-Call-Id: ")[2].partition(b"\r\n")[0].decode()
            self.came.append((time.monotonic(), request_id.partition("-")[0]))
        return await super().serve(target, head, body, writer)


@dataclass
class Play:
    """Two nodes with their fleet and the servers that may come in its place."""

    altered: NodeProcess
    steady: NodeProcess
    fleet: list[NotingServer]
    spares: list[NotingServer]
    began_at: float = field(default_factory=time.monotonic)

    @property
    def discovery(self) -> AlteredDiscovery:
        """Of the altered node."""
        return self.altered.catalog

    def lines(self, servers: list[NotingServer], state: str = "active") -> list[Line]:
        prefix = "s" if servers is self.fleet else "r"
        return [target(f"{prefix}{i}", server.port, state) for i, server in enumerate(servers)]

    def sends(self, node: str, since: float) -> list[list[float]]:
        """When a node's requests came at each server of the fleet, from an instant on."""
        return [[at for at, name in server.came if name == node and at > since] for server in self.fleet]

    def sent(self, node: str, since: float) -> int:
        """How many requests of a node came at any server from an instant on."""
        return sum(at > since for server in (*self.fleet, *self.spares) for at, name in server.came if name == node)


@dataclass(frozen=True)
class Breaks:
    """Requests of one node that came at servers of the fleet too late."""

    count: int
    servers: int
    first_s: float  # behind the last allowed instant
    last_s: float

    def __str__(self) -> str:
        return f"{self.count} requests at {self.servers} servers, {self.first_s:.2f} to {self.last_s:.2f} s late"


Departure = Callable[[Play], Awaitable[float]]  # carries it out; the instant at which it counts as notified


def leaves(how: FleetLeaves) -> Departure:
    """Discovery says at once that the fleet is gone."""

    async def play(play: Play) -> float:
        play.discovery.leave(how)
        return time.monotonic()

    return play


def cut_off(how: CutOff, *, replaced: bool, delay_s: float = 0.0) -> Departure:
    """Discovery hears nothing for a while, in which the fleet leaves in two steps, and is well again then."""

    async def play(play: Play) -> float:
        discovery = play.discovery
        discovery.conditions.delay_s = delay_s
        await asyncio.sleep(2 * STEP_S if delay_s else 0.0)
        discovery.cut_off(how)
        await asyncio.sleep(CUT_S / 3)
        gone = play.lines(play.fleet, "left")
        discovery.change([*gone[:DRAINED_FIRST], *(play.lines(play.spares) if replaced else [])])
        await asyncio.sleep(CUT_S / 3)
        discovery.change(gone[DRAINED_FIRST:])
        await asyncio.sleep(CUT_S / 3)
        discovery.heal()
        return time.monotonic()

    return play


async def _step_versions(discovery: AlteredDiscovery) -> None:
    """Live weights: each version has another one for each server."""
    step = 0
    while True:
        await asyncio.sleep(STEP_S)
        step += 1
        discovery.change([{**line, "capacity_hint": 1.0 + 0.01 * (step % 3)} for line in discovery.active()])


async def play_departure(
    folder: Path,
    settings: dict[str, Any],
    departure: Departure,
    notified_s: float,
    quiet_s: float = 2.0,
    then: Callable[[Play], Awaitable[None]] | None = None,
    servers: int = SERVERS,
) -> dict[str, Breaks]:
    """What each node sent past the grace, by its name. notified_s: from the departure's instant on it may be unknown so
    long; then: what happens behind it.
    """
    fleet, spares = [NotingServer() for _ in range(servers)], [NotingServer() for _ in range(servers)]
    async with AsyncExitStack() as stack:
        for server in (*fleet, *spares):
            await server.start()
            stack.callback(server.stop)
        listed, nodes = [target(f"s{i}", server.port) for i, server in enumerate(fleet)], list[NodeProcess]()
        for name in ("n0", "n1"):
            (folder / name).mkdir(parents=True)
            nodes.append(
                await stack.enter_async_context(
                    node_process(folder / name, targets=listed, settings=settings, discovery=AlteredDiscovery)
                )
            )
        play = Play(altered=nodes[1], steady=nodes[0], fleet=fleet, spares=spares)
        steps = asyncio.gather(*(_step_versions(node.catalog) for node in nodes))
        clients = [send_requests(node, f"n{i}-{c}") for i, node in enumerate(nodes) for c in range(CLIENTS)]
        traffic = asyncio.gather(*clients)
        await asyncio.sleep(quiet_s)
        notified_at = await departure(play)
        assert play.sent("n1", notified_at - 1.0) >= LEAST_USE, "the altered node does not serve as usual before"
        allowed_until = notified_at + notified_s + GRACE_S + SLACK_S
        await asyncio.sleep(allowed_until - time.monotonic() + WATCHED_S)
        found = {node: _breaks(play.sends(node, allowed_until), allowed_until) for node in ("n0", "n1")}
        assert play.sent("n0", allowed_until) >= LEAST_USE
        if then is not None:
            await then(play)
        assert not traffic.done(), traffic.exception()
        for running in (traffic, steps):
            running.cancel()
            with suppress(asyncio.CancelledError):
                await running
        return found


def _breaks(sends: list[list[float]], allowed_until: float) -> Breaks:
    late = sorted(at - allowed_until for server in sends for at in server)
    return Breaks(len(late), sum(bool(server) for server in sends), late[0] if late else 0.0, late[-1] if late else 0.0)


DEPARTURES: dict[str, Departure] = {
    **{how.value: leaves(how) for how in FleetLeaves},
    **{
        f"cut off, {how.value}, {'others come' if replaced else 'nobody comes'}": cut_off(how, replaced=replaced)
        for how in CutOff
        for replaced in (True, False)
    },
    "cut off, no changes, others come, slow answers": cut_off(CutOff.COUNTS_ON, replaced=True, delay_s=SLOW_ANSWER_S),
}


async def _main(quiet_s: float, names: list[str], at_once: int) -> None:
    room = asyncio.Semaphore(at_once)

    async def one(mode: str, name: str, folder: Path) -> None:
        async with room:
            found = await play_departure(folder, MODES[mode], DEPARTURES[name], NOTIFIED_S, quiet_s)
        print(f"{mode}: {name}: n1 {found['n1']}; n0 {found['n0'].count} requests", flush=True)

    with tempfile.TemporaryDirectory() as folder:
        plays = [(mode, name) for mode in MODES for name in names]
        await asyncio.gather(
            *(one(mode, name, Path(folder) / str(number)) for number, (mode, name) in enumerate(plays))
        )


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quiet-s", type=float, default=2.0, help="seconds of ordinary service first")
    parser.add_argument("--at-once", type=int, default=4, help="plays side by side")
    parser.add_argument("--only", default="", help="only departures whose names have this in them")
    arguments = parser.parse_args()
    chosen = [name for name in DEPARTURES if arguments.only in name]
    uvloop.run(_main(arguments.quiet_s, chosen, arguments.at_once))
