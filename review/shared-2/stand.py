"""Stand-ins on loopback addresses for the cases of the second review: discovery, servers, clients, and one node.

Only the standard library is used. Times are `time.monotonic()` in seconds.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SAFE = {
    "AimMs": 1500.0, "DeadlineMs": 4000.0, "Group": "all", "KeyTtlMs": 5000.0, "LateWorth": 0.0, "Name": "consulta",
    "Points": 1.0, "Repeat": "read_like", "Stream": False,
}  # fmt: skip
UNSAFE = {
    "AimMs": 500.0, "DeadlineMs": 1000.0, "Group": "all", "KeyTtlMs": 5000.0, "LateWorth": 0.0,
    "Name": "alerta-umbral", "Points": 5.0, "Repeat": "non_idempotent", "Stream": False,
}  # fmt: skip
KEYED = {
    "AimMs": 1500.0, "DeadlineMs": 4000.0, "Group": "cell", "KeyTtlMs": 2500.0, "LateWorth": 0.0, "Name": "lote",
    "Points": 2.0, "Repeat": "idempotency_key", "Stream": False,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be played."""


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of the interface page's example; changes: whole top-level tables, or keys of one."""
    whole: dict[str, Any] = {
        "Azs": ["guayaquil-sur"],
        "Clients": {"MarksRetry": True},
        "CountedBy": "request",
        "Deductions": {"Connection": 0.03, "CrossZone": 0.0, "Handshake": 0.03, "LateFail": 0.03, "Moves": 0.0,
                       "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "RegistryMode": 0.0, "Waste": 0.04},
        "Family": "proxy",
        "FamilyInfo": {"WarmKeys": False},
        "Goal": {"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "GroupSize": 1,
        "Guarantees": {"AnswerSlackMs": 20.0, "ColdFrom": 0.3, "ColdMs": 9000.0, "DrainGraceMs": 500.0,
                       "FallMs": 1500.0, "FallMultiple": 2.5, "MustAskInMs": 10000.0},
        "Kinds": ["rapida", "media", "lenta"],
        "Limits": {"Cancelling": True, "ConnIdleMs": 60000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 604129,
                   "DialTimeoutMs": 250.0, "MaxAttempts": 4, "MaxRetryAfterMs": 2000.0, "MostHeld": 30206,
                   "ParallelTries": False, "Peers": False, "Probes": True, "RetryAfter": True, "StreamsPerConn": 100},
        "Me": 0,
        "OverShareWorth": 0.1,
        "Profiles": [SAFE, UNSAFE, KEYED],
        "Projects": [],
        "RegistryMode": "automatic",
        "Reporting": {"Fields": ["active", "waiting", "rps"], "Via": "probe"},
        "ResolutionMs": 5.0,
        "Tier": 0,
        "Tiers": ["metricas"],
        "WeightSource": "live",
        "Zone": "guayaquil-sur",
    }  # fmt: skip
    for key, value in changes.items():
        whole[key] = {**whole[key], **value} if isinstance(value, dict) else value
    return whole


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self._file: TextIO = path.open("w", encoding="utf-8")

    def note(self, what: str) -> None:
        """One line, with the seconds since the case began."""
        self._file.write(f"{time.monotonic() - self.began:9.3f} {what}\n")
        self._file.flush()


@dataclass
class Request:
    """One request as a server read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    began: float = 0.0
    came: float = 0.0

    def id(self) -> str:
        """The client's name for it; empty for a probe."""
        return self.headers.get("x-call-id", "")


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes, float]:
    """A first line, fields by lower-case name, a body, and when the first byte came; EOFError at a clean end."""
    first = await reader.read(1)
    if not first:
        raise EOFError
    began = time.monotonic()
    head = first + await reader.readuntil(b"\r\n\r\n")
    line, *rows = head.decode("latin-1").split("\r\n")
    fields = {name.strip().lower(): value.strip() for name, _, value in (row.partition(":") for row in rows if row)}
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return line, fields, body, began


def answer(status: int, body: bytes = b"", fields: str = "", close: bool = False) -> bytes:
    """A whole answer."""
    end = "Connection: close\r\n" if close else ""
    return f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n{fields}{end}\r\n".encode() + body


class Discovery:
    """The agent, or the service, that tells the list."""

    def __init__(self, rev: int = 40) -> None:
        self.rev, self.lines, self.changed_at = rev, dict[str, dict[str, Any]](), dict[str, int]()
        self.changed = asyncio.Event()
        self.address = ""
        self.told = list[tuple[float, int]]()  # when an answer of which version was written
        self._server: asyncio.Server | None = None
        self.writers = set[asyncio.StreamWriter]()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    def set(self, uid: str, endpoint: str, state: str = "active", boot_ms: float = 0, cell: int = 1) -> None:
        """A line is new, or has changed."""
        self.rev += 1
        self.changed_at[uid] = self.rev
        self.lines[uid] = {
            "uid": uid, "endpoint": endpoint, "az": "guayaquil-sur", "model": "media", "pod_group": cell,
            "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms,
        }  # fmt: skip
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """The whole list, which does not name those that have left."""
        lines = [line for line in self.lines.values() if line["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": lines}

    def since(self, rev: int) -> dict[str, Any]:
        """What has changed since a version."""
        lines = [self.lines[uid] for uid, at in self.changed_at.items() if at > rev]
        return {"rev": self.rev, "all": False, "targets": lines}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, _, _, _ = await read_message(reader)
                query = line.split()[1].partition("?")[2]
                asked = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
                value = await self.answer(asked)
                writer.write(answer(200, json.dumps(value).encode()))
                await writer.drain()
                self.told.append((time.monotonic(), value["rev"]))
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, asked: dict[str, str]) -> dict[str, Any]:
        """What a call gets; a watch waits for something newer."""
        if "from" not in asked:
            return self.whole()
        since, until = int(asked["from"]), time.monotonic() + int(asked.get("hold_ms", "0")) / 1000
        if since > self.rev:
            return self.whole()
        while self.rev <= since and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        return self.since(since)

    def stop(self) -> None:
        """Listen no more, and end all calls."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


Serve = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[None]]


async def plain(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
    """A sound server's answer."""
    await asyncio.sleep(server.work_s)
    writer.write(answer(200, f"{server.uid} {request.id()}".encode()))


class Server:
    """One server. `ran` has each request that came whole, with the time of its first byte and of its last."""

    def __init__(self, uid: str, record: Record, serve: Serve = plain, work_s: float = 0.02) -> None:
        self.uid, self.record, self.serve, self.work_s = uid, record, serve, work_s
        self.ran = list[Request]()
        self.endpoint = ""
        self._server: asyncio.Server | None = None
        self.writers = set[asyncio.StreamWriter]()

    async def start(self, port: int = 0, limit: int = 2**16) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, HOST, port, limit=limit)
        self.endpoint = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while True:
                line, fields, body, began = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, fields, body, began, time.monotonic())
                if target in ("/_load", "/ping"):
                    load = {"inflight": len(self.writers), "queue": 0, "qps": 1}
                    writer.write(answer(200, json.dumps(load).encode()))
                else:
                    self.ran.append(request)
                    self.record.note(f"server {self.uid} has request {request.id()} whole")
                    await self.serve(self, request, writer)
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Listen no more, and reset what is open."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()


@dataclass
class Answer:
    """What a client got. status 0: the connection ended with no whole answer."""

    status: int = 0
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    sent: float = 0.0
    ended: float = 0.0


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> Client:
        """Come to the node."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=2**24)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    def write(self, call_id: str, kind: str, budget_ms: float, body: bytes = b"", more: str = "") -> None:
        """Send a whole request."""
        self.writer.write(head(call_id, kind, budget_ms, len(body), more) + body)

    async def ask(self, call_id: str, kind: str, budget_ms: float, body: bytes = b"", more: str = "") -> Answer:
        """Send a request, and wait for its answer for a second longer than its time."""
        self.write(call_id, kind, budget_ms, body, more)
        self.record.note(f"client sends {kind} {call_id} with {budget_ms:.0f} ms")
        got = Answer(sent=time.monotonic())
        try:
            line, got.fields, got.body, _ = await asyncio.wait_for(read_message(self.reader), budget_ms / 1000 + 1)
            got.status = int(line.split()[1])
        except (EOFError, OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            self.record.note(f"client has no whole answer to {call_id}: {type(error).__name__}")
        got.ended = time.monotonic()
        self.record.note(f"client has {got.status} to {call_id}, {len(got.body)} bytes")
        return got

    def close(self) -> None:
        """Leave."""
        self.writer.close()


def head(call_id: str, kind: str, budget_ms: float, length: int = 0, more: str = "") -> bytes:
    """The head of a request; more: further whole lines."""
    method = "GET" if kind == SAFE["Name"] else "POST"
    key = f"Idempotency-Key: key-{call_id}\r\n" if kind == KEYED["Name"] else ""
    size = f"Content-Length: {length}\r\n" if method == "POST" else ""
    return (
        f"{method} /{kind}?sid=7f3a9c21 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {call_id}\r\n"
        f"X-Call-Class: {kind}\r\nX-Budget: {budget_ms:.0f}m\r\n{key}{size}{more}\r\n"
    ).encode()


def free_port() -> int:
    """A port of the loopback address that nobody listens at."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Node:
    """One node, started by the deploy file's own command."""

    def __init__(self, folder: Path, discovery: str, told: dict[str, Any], known: dict[str, Any] | None = None) -> None:
        self.folder, self.port = folder, free_port()
        self.config: dict[str, Any] = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": discovery, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": told,
        }  # fmt: skip
        if known is not None:
            self.config["known"] = known
        self.process: asyncio.subprocess.Process | None = None

    def write(self) -> None:
        """Replace the file of the configuration."""
        draft = self.folder / "node.json.new"
        draft.write_text(json.dumps(self.config))
        draft.replace(self.folder / "node.json")

    async def start(self, environment: dict[str, str] | None = None, fds: tuple[int, ...] = ()) -> None:
        """Start it, and wait until it says that it is healthy."""
        self.write()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        added = {"PROXY_CONFIG": str(self.folder / "node.json"), "PROXY_NAME": "n0", "TMPDIR": str(temporary)}
        kept = {key: value for key, value in os.environ.items() if not key.startswith(("PROXY_", "CLOVERHOLD_"))}
        with (self.folder / "node.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env={**kept, **added, **(environment or {})}, stdout=log, stderr=log,
                pass_fds=fds,
            )  # fmt: skip

    async def ready(self, within_s: float = 20.0) -> None:
        """Wait until it says yes."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await get_status(self.port, "/_health") == 200:
                return
            if self.process is not None and self.process.returncode is not None:
                raise CannotRun(f"the node ended with {self.process.returncode}")
            await asyncio.sleep(0.05)
        raise CannotRun("the node is not ready")

    def signal(self, number: int) -> None:
        """Send it a signal."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill it, whatever it does."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


async def get_status(port: int, path: str) -> int:
    """The status of one call on a connection of its own; 0: none."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0


Play = Callable[[Record, Path, bool], Awaitable[bool]]


def main(case: str, play: Play, within_s: float = 110.0) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    play: gets the record, a temporary folder, and whether there is to be trouble; returns whether the rule was broken.
    """
    folder = Path(case).resolve().parent
    record, trouble = Record(folder / "record.txt"), os.environ.get("TROUBLE") != "0"
    record.note(f"trouble: {'yes' if trouble else 'no'}")
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # what was started is ended all the same
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(_bounded(play(record, Path(temporary), trouble), within_s))
        except (CannotRun, OSError, TimeoutError) as error:
            record.note(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
            sys.exit(2)
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


async def _bounded(play: Awaitable[bool], within_s: float) -> bool:
    return await asyncio.wait_for(play, within_s)
