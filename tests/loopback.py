"""Servers, discovery and clients on ephemeral loopback ports, for the tests of the node."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import ExitStack, asynccontextmanager, suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from cloverhold import ClassSettings, Group, ListMode, Repeat, Settings
from cloverhold.__main__ import Node
from cloverhold.cells.table import CellsTable
from cloverhold.platform import Config
from cloverhold.h3.table import Http3Table
from cloverhold.store.table import StoreTable
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.server_list import read_members
from cloverhold.net.http1 import ResponseParser
from cloverhold.net.messages import Response
from cloverhold.net.upstreams.http1 import Connection

WAIT_S = 20.0  # for what must come; machines are slow at times
CLASSES = (
    ClassSettings("consulta", 4000, 8000, Repeat.SAFE),
    ClassSettings("alerta", 4000, 8000, Repeat.UNSAFE),
    ClassSettings("lote", 4000, 8000, Repeat.KEYED, Group.CELL, key_ttl_ms=2500),
)
PUSHED = Settings(classes=CLASSES)
ASKED = replace(PUSHED, list_mode=ListMode.ASK)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
Peer = tuple[asyncio.StreamReader, asyncio.StreamWriter]
PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")
LEAST_PORT = 10_000
given_ports: deque[int] = deque(maxlen=64)  # by `free_ports`, of late


async def until(true: Callable[[], object]) -> None:
    """Wait for a condition; the test fails if it never holds."""
    async with asyncio.timeout(WAIT_S):
        while not true():
            await asyncio.sleep(0.005)


def free_ports(count: int) -> list[int]:
    """So many ports on which nobody listens now, below those that the system gives to connections: one of those could
    be taken by any test's connection before it is listened on, or between two lives of a node. No other worker of the
    test run draws from them, and this one not again soon.
    """
    drawn_from, draw, found = worker_ports(), random.SystemRandom(), list[int]()
    with ExitStack() as stack:
        while len(found) < count:
            port = draw.choice(drawn_from)
            if port in given_ports:
                continue
            probe = stack.enter_context(socket.socket())
            with suppress(OSError):
                probe.bind(("127.0.0.1", port))
                found.append(port)
                given_ports.append(port)
    return found


def worker_ports() -> range:
    """Those of this worker of the test run, by the variables of pytest-xdist; all where it is the only one."""
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    workers = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    return range(LEAST_PORT + worker, int(PORTS.read_text().split()[0]), workers)


def is_free(port: int) -> bool:
    """Whether a port can be listened on. (A closed connection may linger.)"""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
            probe.listen()
        except OSError:
            return False
        return True


class Listening:
    """Something that accepts connections and hands whole requests to `serve`."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, bytes, bytes]] = []  # target, head, body
        self.writers: list[asyncio.StreamWriter] = []
        self.ended = 0
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = b""
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        body = await reader.readexactly(int(line.split(b":")[1]))
                target = head.split(b" ")[1].decode()
                if not await self.serve(target, head, body, writer):
                    await reader.read(1)  # nothing is said: the other side gives up at some time
                    return
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self.ended += 1
            writer.close()

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer; False if there is to be no answer."""
        raise NotImplementedError

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Server(Listening):
    """A server. `reply` gives the bytes for a request; None: it never answers."""

    def __init__(self, reply: Callable[[str, bytes], bytes | None] = lambda target, body: OK) -> None:
        super().__init__()
        self.reply = reply
        self.probes = 0
        self.close_after = False

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if target == "/_load":
            self.probes += 1
            report = json.dumps({"inflight": 0, "queue": 0, "qps": 1.5}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report))
            return True
        self.requests.append((target, head, body))
        answer = self.reply(target, body)
        if answer is not None:
            writer.write(answer)
            if self.close_after:
                writer.close()
        return answer is not None


class Scripted(Server):
    """A server whose connections are played by a script, after the head of each request."""

    def __init__(self, script: Callable[[bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]) -> None:
        super().__init__()
        self.script, self.heads, self.bodies = script, list[bytes](), list[bytes]()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/_load" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                self.heads.append(head)
                await self.script(head, reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self.ended += 1
            writer.close()


async def body_of(head: bytes, reader: asyncio.StreamReader) -> bytes:
    """The body of a request, of either framing."""
    if b"transfer-encoding: chunked" not in head.lower():
        lines = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
        return await reader.readexactly(int(lines[0].split(b":")[1])) if lines else b""
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def target(uid: str, port: int, state: str = "active") -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "a",
        "model": "m",
        "pod_group": 0,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


def list_value(rev: int, targets: list[dict[str, Any]], *, full: bool = True) -> dict[str, Any]:
    """An answer of discovery."""
    return {"rev": rev, "all": full, "targets": targets}


class Catalog(Listening):
    """Discovery: the whole list, and a watch that waits for the next version."""

    def __init__(self, targets: list[dict[str, Any]]) -> None:
        super().__init__()
        self.rev, self.targets = 1, targets
        self.news = asyncio.Event()
        self.raw: bytes | None = None  # said in place of any list

    def change(self, targets: list[dict[str, Any]]) -> None:
        self.rev, self.targets = self.rev + 1, targets
        self.news.set()

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        self.requests.append((target, head, body))
        full = "from=" not in target
        if not full and f"from={self.rev}&" in target:
            self.news.clear()
            await self.news.wait()
        said = list_value(self.rev, self.targets, full=full)
        text = self.raw if self.raw is not None else json.dumps(said).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        return True


class Running:
    """A node in this process, with its servers and its discovery."""

    def __init__(self, node: Node, catalog: Catalog) -> None:
        self.node, self.catalog = node, catalog
        self.port = node.listener.port()
        self.h3_port = node.http3.port() if node.http3 is not None else 0
        self.mgmt_port = node.management.port() if node.management is not None else 0

    async def connect(self) -> Peer:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def manage(self, call: str) -> int:
        """One call of the operators, as `POST /_lameduck/on`; its status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt_port)
        writer.write(f"{call} HTTP/1.1\r\nHost: n0\r\n\r\n".encode())
        whole = await asyncio.wait_for(reader.read(), WAIT_S)
        writer.close()
        return int(whole.split(b" ")[1])

    async def ask(self, raw: bytes) -> Response:
        """Send bytes on a connection of their own and read one answer."""
        reader, writer = await self.connect()
        writer.write(raw)
        response = await read_answer(reader)
        writer.close()
        return response


async def read_answer(reader: asyncio.StreamReader) -> Response:
    """One answer, and no byte more."""
    parser, response = ResponseParser(), None
    async with asyncio.timeout(WAIT_S):
        while response is None:
            data = await reader.read(1)
            assert data, "the connection ended without a whole answer"
            response = parser.feed(data)
    return response


def request(
    name: str = "consulta", number: str = "1", budget: str = "8000m", body: bytes = b"", extra: str = ""
) -> bytes:
    method = "GET" if name == "consulta" else "POST"
    key = f"Idempotency-Key: k{number}\r\n" if name == "lote" else ""
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return (
        f"{method} /{name}?sid=7f3a HTTP/1.1\r\nHost: api\r\nX-Call-Id: {number}\r\nX-Call-Class: {name}\r\n"
        f"X-Budget: {budget}\r\n{key}{length}{extra}\r\n"
    ).encode() + body


def up(node: Node) -> bool:
    """Whether it listens, by every front that it has."""
    fronts = (node.listener, node.http3, node.management)
    return all(front is None or front.port() > 0 for front in fronts)


@asynccontextmanager
async def running(
    *servers: Server,
    sockets: int = 256,
    cells: CellsTable | None = None,
    store: StoreTable | None = None,
    http3: Http3Table | None = None,
    known: int | None = None,
    mgmt: bool = False,
    memory_mb: float = 192.0,
    **changes: Any,
) -> AsyncIterator[Running]:
    """A node before these servers, ready to serve; known: the version of the list that it remembers of them."""
    for server in servers:
        await server.start()
    catalog = Catalog([target(f"s{i}", server.port) for i, server in enumerate(servers)])
    await catalog.start()
    settings = Settings(**{"classes": CLASSES, "max_attempts": 4, "pools": cells is not None, **changes})
    config = Config(
        listen=("127.0.0.1", 0),
        discovery=("127.0.0.1", catalog.port),
        settings=settings,
        idle_ms=60000.0,
        dial_ms=5000.0,
        sockets=sockets,
        seed=1,
        known=read_members(list_value(known, catalog.targets), Clock()) if known is not None else None,
        cells=cells,
        store=store,
        http3=http3,
        mgmt=("127.0.0.1", 0) if mgmt else None,
        memory_mb=memory_mb,
    )
    node, stop = Node(config, Clock()), asyncio.Event()
    task = asyncio.create_task(node.run(stop))
    try:
        # The list may come before the node listens, and after.
        await until(lambda: task.done() or (node.host.ready() and up(node)))
        yield Running(node, catalog)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        node.close()
        catalog.stop()
        for server in servers:
            server.stop()


def part(writer: asyncio.StreamWriter, way: str) -> None:
    """Leave as a client may: closed, half-closed or reset."""
    if way == "reset":
        writer.transport.abort()
    elif way == "half-closed":
        writer.write_eof()
    else:
        writer.close()


def held(monkeypatch: pytest.MonkeyPatch) -> tuple[list[Connection], Callable[[], None]]:
    """Dials come up, and the loop hears of it only when told to."""
    waiting, connected = list[Connection](), Connection._connected

    def wait(self: Connection) -> None:
        self.pool.loop.remove_writer(self.socket.fileno())
        waiting.append(self)

    def go_on() -> None:
        for connection in waiting:
            if not connection.closed:
                connected(connection)

    monkeypatch.setattr(Connection, "_connected", wait)
    return waiting, go_on


def play(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test on the loop that the node uses."""
    import uvloop

    async def bounded() -> None:
        async with asyncio.timeout(3 * WAIT_S):
            await test()

    uvloop.run(bounded())
