"""A way of its own for each pair of processes: bytes may be held, delayed or come in small numbers, by direction."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from dataclasses import dataclass

CHUNK = 64 * 1024


@dataclass
class Direction:
    """held: nothing comes through, and nothing is lost; that is what a cut is to TCP, until an end gives up."""

    held: bool = False
    delay_s: float = 0.0
    per_s: float = 0.0  # bytes; 0: any


class Way:
    """Listens on a port and passes on to another."""

    def __init__(self, to: int) -> None:
        self.to, self.port = to, 0
        self.there, self.back = Direction(), Direction()  # from who connects, and to it
        self.passed = 0  # connections

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.passed += 1
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.to)
        except OSError:
            writer.transport.abort()
            return
        ways = [(reader, far_writer, self.there), (far_reader, writer, self.back)]
        tasks = [asyncio.ensure_future(self._carry(*way)) for way in ways]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for one in (writer, far_writer):
            one.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, how: Direction) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK if not how.per_s else max(1, int(how.per_s / 20))):
                if how.per_s:
                    await asyncio.sleep(len(data) / how.per_s)
                elif how.delay_s:
                    await asyncio.sleep(how.delay_s)
                while how.held:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()


class Ways:
    """All ways, carried by a thread of their own."""

    def __init__(self) -> None:
        self.all: list[Way] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, to: int) -> Way:
        way = Way(to)
        self.all.append(way)

        async def listen() -> None:
            server = await asyncio.start_server(way.serve, "127.0.0.1", 0)
            way.port = server.sockets[0].getsockname()[1]

        asyncio.run_coroutine_threadsafe(listen(), self._loop).result(5)
        return way

    def close(self) -> None:
        stop: Callable[[], None] = self._loop.stop
        self._loop.call_soon_threadsafe(stop)
        self._thread.join(5)
