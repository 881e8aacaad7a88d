"""Between the nodes: a relay for each ordered pair, which loses, delays, repeats and cuts what passes it.

Node i reaches node j at a socket of the kit's own, and j hears i from the socket at which it reaches i: so each node
has addresses of its own for its fellows, and no privileges are needed to cut one way of one link.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from random import Random
from typing import Any

from cloverhold.rehearsal.faults import WordsCut, WordsRough
from cloverhold.rehearsal.sockets import LOOPBACK
from cloverhold.rehearsal.world import World


def hold_words() -> socket.socket:
    """A bound datagram socket that keeps a port for a node, which opens it a second time and gets what comes."""
    held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((LOOPBACK, 0))
    return held


class Script:
    """What the scenario does to words between nodes, now."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.cuts = [fault for fault in world.scenario.faults if isinstance(fault, WordsCut)]
        self.roughs = [fault for fault in world.scenario.faults if isinstance(fault, WordsRough)]

    def cut(self, sender: int, to: int) -> bool:
        """Whether this way of this link is cut."""
        now = self.world.now()
        return any(fault.cuts(sender, to, now) for fault in self.cuts)

    def rough(self) -> WordsRough | None:
        """What is lost and late."""
        now = self.world.now()
        return next((fault for fault in self.roughs if fault.at_s <= now < fault.at_s + fault.for_s), None)


class _Way(asyncio.DatagramProtocol):
    """Where one node reaches another."""

    def __init__(self, relays: Relays, sender: int, to: int) -> None:
        self.relays, self.sender, self.to = relays, sender, to
        self.transport: asyncio.DatagramTransport | None = None

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        if addr[1] == self.relays.ports[self.sender]:  # nobody else is this node
            self.relays.carry(self, data)

    def error_received(self, exc: Exception) -> None:
        """The node's port is closed: what was sent there is lost."""


class Relays:
    """All ways between the nodes, and what the script does to them."""

    def __init__(self, world: World, ports: Sequence[int]) -> None:
        """ports: of the nodes' own sockets, by number."""
        self.world, self.ports = world, ports
        self.ways: dict[tuple[int, int], _Way] = {}
        self.chance = Random(world.source("relays").getrandbits(64))
        self.script = Script(world)

    async def open(self) -> None:
        for sender in range(len(self.ports)):
            for to in range(len(self.ports)):
                if sender != to:
                    way = self.ways[sender, to] = _Way(self, sender, to)
                    way.transport, _ = await self._open_endpoint(way)

    async def _open_endpoint(self, way: _Way) -> tuple[asyncio.DatagramTransport, _Way]:
        return await self.world.loop.create_datagram_endpoint(lambda: way, local_addr=(LOOPBACK, 0))

    def addresses(self, node: int) -> list[str]:
        """The peers of a node, as it reaches them, its own among them."""
        ports = []
        for to, own in enumerate(self.ports):
            way = self.ways[node, to].transport if to != node else None
            ports.append(own if way is None else way.get_extra_info("sockname")[1])
        return [f"{LOOPBACK}:{port}" for port in ports]

    def carry(self, way: _Way, data: bytes) -> None:
        """Take a datagram on its way, as the script has it now."""
        chance = self.chance
        if self.script.cut(way.sender, way.to):
            return
        back, to = self.ways[way.to, way.sender].transport, (LOOPBACK, self.ports[way.to])
        rough = self.script.rough()
        if back is None or (rough is not None and chance.random() < rough.loss):
            return
        for _ in range(1 + (rough is not None and chance.random() < rough.twice)):
            if rough is not None and chance.random() < rough.late:
                self.world.loop.call_later(chance.random() * rough.late_ms / 1000, back.sendto, data, to)
            else:
                back.sendto(data, to)

    def close(self) -> None:
        for way in self.ways.values():
            if way.transport is not None:
                way.transport.close()
