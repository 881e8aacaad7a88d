"""Between the nodes, for TCP: a relay for each ordered pair, under the same cuts and roughness as datagrams.

What a cut loses of a stream comes after it, as TCP sends it again: here it waits. So a cut of either way lets nobody
connect, a cut of one way holds what goes that way, the end of the stream too, and nothing is ever lost or out of order.
A lost segment costs what its repetition costs. Other than in a network, `connect` itself succeeds during a cut: the
relay's machine answers it, and silence follows.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from cloverhold.rehearsal.relays import Script
from cloverhold.rehearsal.sockets import LOOPBACK
from cloverhold.rehearsal.world import World

LOOK_S = 0.02  # between two looks at a way that is cut
AGAIN_S = 0.2  # what the repetition of a lost segment costs
SEGMENT = 16 * 1024
WAITING_MOST = 64 * 1024  # of bytes before a reader that does not read: then the relay reads no more either


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection at once, so that the other end sees a reset."""
    own = writer.get_extra_info("socket")
    if own is not None:  # None where the other end has reset it
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class StreamRelays:
    """All ways between the nodes, and what the script does to them."""

    def __init__(self, world: World, ports: Sequence[int]) -> None:
        """ports: where the nodes themselves listen for one another, by number."""
        self.ports = ports
        self.ways: dict[tuple[int, int], asyncio.Server] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.chance = Random(world.source("streams").getrandbits(64))
        self.script = Script(world)

    async def open(self) -> None:
        for sender in range(len(self.ports)):
            for to in range(len(self.ports)):
                if sender != to:
                    self.ways[sender, to] = await asyncio.start_server(self._relay(sender, to), LOOPBACK, 0)

    def addresses(self, node: int) -> list[str]:
        """Where a node connects to its fellows, its own address among them."""
        ports = list(self.ports)
        for (sender, to), server in self.ways.items():
            if sender == node:
                ports[to] = server.sockets[0].getsockname()[1]
        return [f"{LOOPBACK}:{port}" for port in ports]

    def close(self) -> None:
        for server in self.ways.values():
            server.close()
        for task in self.tasks:
            task.cancel()

    def _relay(self, sender: int, to: int) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.current_task()
            assert task is not None
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await self._connection(sender, to, reader, writer)

        return accepted

    async def _connection(
        self, sender: int, to: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """One connection that `sender` made to `to`, until either end resets it or both have ended."""
        try:
            await self._passes(sender, to)
            await self._passes(to, sender)
            far_reader, far_writer = await asyncio.open_connection(LOOPBACK, self.ports[to])
        except OSError:  # nobody listens there
            reset(writer)
            return
        for one in (writer, far_writer):
            one.transport.set_write_buffer_limits(WAITING_MOST)
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pump(sender, to, reader, far_writer))
                both.create_task(self._pump(to, sender, far_reader, writer))
        except* OSError:  # reset by one end: so is the other
            reset(writer)
            reset(far_writer)
        finally:
            writer.close()
            far_writer.close()

    async def _pump(self, sender: int, to: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(SEGMENT):
                await self._passes(sender, to)
                writer.write(data)
                await writer.drain()
        finally:  # a reset is held up as anything else is
            await self._passes(sender, to)
        writer.write_eof()

    async def _passes(self, sender: int, to: int) -> None:
        """Until what is sent now would have come through."""
        while self.script.cut(sender, to):
            await asyncio.sleep(LOOK_S)
        rough = self.script.rough()
        if rough is None:
            return
        while self.chance.random() < rough.loss:
            await asyncio.sleep(AGAIN_S)
        if self.chance.random() < rough.late:
            await asyncio.sleep(self.chance.random() * rough.late_ms / 1000)
