"""Clients that keep no rule. Each is owed an error or a close in its time, and never an answer."""

from __future__ import annotations

import asyncio
import fcntl
import re
import struct
import termios
from collections.abc import Callable

from cloverhold.rehearsal.clients import Clients
from cloverhold.rehearsal.front import Front
from cloverhold.rehearsal.ledger import Stranger
from cloverhold.rehearsal.plan import Visit
from cloverhold.rehearsal.scenario import Class
from cloverhold.rehearsal.sockets import LOOPBACK
from cloverhold.rehearsal.wire import body_of, request_bytes
from cloverhold.rehearsal.world import World

PATIENCE_S, LARGE_PATIENCE_S = 3.0, 6.0
LOOK_S = 0.02  # between two looks at what the kernel still holds
HUGE = 60_000_000
LONG_BYTES, LONG_SENT_BYTES = 8_000_000, 300_000  # of a long body, and how much of it comes
PIECE = b"x" * 65536
FLOOD = 300
AGAIN = 100
_STATUS = re.compile(rb"HTTP/1\.1 (\d{3}) ")


def _head(method: str, target: str, *lines: str) -> bytes:
    return "\r\n".join([f"{method} {target} HTTP/1.1", "Host: api.internal", *lines, "", ""]).encode()


def _usual(kind: Class, name: str, *extra: str, budget: str = "800m", method: str | None = None) -> bytes:
    """A request that would be good but for what is changed."""
    lines = [f"X-Call-Id: {name}", f"X-Call-Class: {kind.name}", f"X-Budget: {budget}"]
    if kind.repeats == "keyed":
        lines.append(f"Idempotency-Key: {name}")
    usual = "GET" if kind.repeats == "safe" else "POST"
    return _head(method or usual, f"/{kind.name}?sid=1", *lines, *extra)


def first_bytes(how: str, kind: Class, name: str) -> bytes:
    """What such a client says first."""
    hidden = _usual(kind, f"{name}-hidden", "Content-Length: 0")
    said: dict[str, Callable[[], bytes]] = {
        "silent": lambda: b"",
        "half_request": lambda: _usual(kind, name)[:40],
        "stays_in_head": lambda: _usual(kind, name)[:60],
        "stays_behind_head": lambda: _usual(kind, name, "Content-Length: 100", method="POST"),
        "stays_in_body": lambda: _usual(kind, name, "Content-Length: 5000", method="POST") + b"x" * 3000,
        "stays_in_long_body": lambda: (
            _usual(kind, name, f"Content-Length: {LONG_BYTES}", method="POST") + b"x" * LONG_SENT_BYTES
        ),
        "smuggled": lambda: _usual(
            kind, name, f"Content-Length: {len(hidden) + 5}", "Transfer-Encoding: chunked", method="POST"
        ) + b"0\r\n\r\n" + hidden,
        "huge_body": lambda: _usual(kind, name, f"Content-Length: {HUGE}", method="POST"),
        "endless_head": lambda: _usual(kind, name)[:-2],
        "garbage": lambda: b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 8 + b"\r\n\r\n",
        "bad_lengths": lambda: _usual(kind, name, "Content-Length: -7", method="POST") + b"x" * 7,
        "bad_class": lambda: _head("GET", "/none", f"X-Call-Id: {name}", "X-Call-Class: none", "X-Budget: 800m"),
        "bad_budget": lambda: _usual(kind, name, budget="soon", method=None),
        "no_id": lambda: _usual(kind, name).replace(f"X-Call-Id: {name}\r\n".encode(), b""),
        "flood": lambda: _head("GET", "/none", f"X-Call-Id: {name}") * FLOOD,
        "again_at_once": lambda: _head("GET", "/none", f"X-Call-Id: {name}"),
    }  # fmt: skip
    return said[how]()


def patience_s(how: str) -> float:
    """Within which such a client is owed an error or a close."""
    return LARGE_PATIENCE_S if how == "huge_body" else PATIENCE_S


async def _taken(writer: asyncio.StreamWriter) -> None:
    """Wait until the other machine has taken all that was written."""
    sock = writer.get_extra_info("socket")
    while not writer.is_closing():
        held = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, struct.pack("i", 0)))[0]
        if not held and not writer.transport.get_write_buffer_size():
            return
        await asyncio.sleep(LOOK_S)


class Strangers:
    """Plays the hostile visits of a plan."""

    def __init__(self, world: World, front: Front, clients: Clients, ports: list[int]) -> None:
        self.world, self.front, self.clients, self.ports = world, front, clients, ports
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Begin each visit at its time."""
        for visit in self.world.plan.visits:
            await self.world.until(visit.at_s)
            task = self.world.loop.create_task(self._visit(visit))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _visit(self, visit: Visit) -> None:
        node = self.front.deal(self.world.now())
        if node is None:
            return
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ports[node])
        except OSError:
            return
        try:
            name, data = self._says(visit, node)
            if not name:
                return  # no request is open whose id could be taken
            row = Stranger(visit.how, node, self.world.now(), [name], patience_s=patience_s(visit.how))
            if visit.how == "smuggled":
                row.ids.append(f"{name}-hidden")
            self.world.ledger.rows.append(row)
            await self._talk(row, data, reader, writer)
        finally:
            writer.transport.abort()

    def _says(self, visit: Visit, node: int) -> tuple[str, bytes]:
        """The id that it uses and what it says first; no id where there is none to take."""
        if visit.how == "id_reused":
            pending = self.clients.long_open(node, 0.03)
            if pending is None:
                return "", b""
            return pending.row.id, request_bytes(pending.row.id, pending.known, 0.8, retry=False)
        kind = self.world.scenario.classes[visit.number % len(self.world.scenario.classes)]
        return f"h{visit.number:x}", first_bytes(visit.how, kind, f"h{visit.number:x}")

    async def _talk(
        self, row: Stranger, data: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            writer.write(data)
            if row.how == "half_request":
                writer.write_eof()
            async with asyncio.timeout(row.patience_s + 0.5):
                await asyncio.gather(self._listen(row, data, reader, writer), self._more(row, writer))
        except TimeoutError:
            row.closed_by = row.closed_by or "kit"
        except OSError:
            row.closed_by, row.ended_s = "node", self.world.now()

    async def _listen(
        self, row: Stranger, data: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        asked = 1
        while True:
            said = await reader.read(65536)
            if not said:
                row.ended_s, row.closed_by = self.world.now(), "node"
                return
            statuses = [int(s) for s in _STATUS.findall(said)]
            if statuses and row.first_answer_s is None:
                row.first_answer_s = self.world.now()
            row.statuses = sorted({*row.statuses, *statuses})
            if row.how == "again_at_once" and asked < AGAIN:
                asked += 1
                writer.write(data)

    async def _more(self, row: Stranger, writer: asyncio.StreamWriter) -> None:
        """What goes on and on."""
        if row.how == "huge_body":
            for _ in range(HUGE // len(PIECE)):
                if row.ended_s is not None or writer.is_closing():
                    return
                writer.write(PIECE)
                await writer.drain()
            await _taken(writer)
            row.stopped_s = self.world.now()
        elif row.how == "endless_head":
            for number in range(400):
                if row.ended_s is not None or row.first_answer_s is not None or writer.is_closing():
                    return
                writer.write(b"X-More-%d: " % number + body_of("y", 1000) + b"\r\n")
                await asyncio.sleep(0.02)

    async def close(self) -> None:
        """End what is open."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
