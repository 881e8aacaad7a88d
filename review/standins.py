"""Stand-ins for clients, servers, discovery and the platform of one small deployment, and the judge's record.

They use the standard library alone and follow the protocol page: a server begins a request with its last byte, gives
each id one answer of its own, and answers probes; discovery is an agent that is watched; the platform starts a node by
the deploy file's own command.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, FAILED, UNABLE = 0, 1, 2

CONSULTA = {
    "Name": "consulta", "AimMs": 1500.0, "DeadlineMs": 4000.0, "Repeat": "read_like", "Group": "all",
    "KeyTtlMs": 5000.0, "LateWorth": 0.0, "Points": 1.0, "Stream": False,
}  # fmt: skip
ALERTA = {
    "Name": "alerta-umbral", "AimMs": 500.0, "DeadlineMs": 1000.0, "Repeat": "non_idempotent", "Group": "all",
    "KeyTtlMs": 5000.0, "LateWorth": 0.0, "Points": 5.0, "Stream": False,
}  # fmt: skip
LOTE = {
    "Name": "lote", "AimMs": 1500.0, "DeadlineMs": 4000.0, "Repeat": "idempotency_key", "Group": "cell",
    "KeyTtlMs": 2500.0, "LateWorth": 0.0, "Points": 2.0, "Stream": False,
}  # fmt: skip


def settings(*, nodes: int = 1, me: int = 0, mode: str = "automatic") -> dict[str, Any]:
    """The settings of guayaquil-metricas, as the wire page shows them."""
    return {
        "Azs": ["guayaquil-sur"],
        "Clients": {"MarksRetry": True},
        "CountedBy": "request",
        "Deductions": {
            "Connection": 0.03, "CrossZone": 0.0, "Handshake": 0.03, "LateFail": 0.03, "Moves": 0.0, "Origin": 0.0,
            "Peer": 0.0, "Probe": 0.01, "RegistryMode": 0.0, "Waste": 0.04,
        },
        "Family": "proxy",
        "FamilyInfo": {"WarmKeys": False},
        "Goal": {"Whole": 0.55, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.15},
        "GroupSize": nodes,
        "Guarantees": {
            "AnswerSlackMs": 20.0, "ColdFrom": 0.3, "ColdMs": 9000.0, "DrainGraceMs": 500.0, "FallMs": 1500.0,
            "FallMultiple": 2.5, "MustAskInMs": 10000.0,
        },
        "Kinds": ["rapida", "media", "lenta"],
        "Limits": {
            "Cancelling": True, "ConnIdleMs": 60000.0, "CpuUsPerRequest": 0.0, "CpuUsPerS": 604129,
            "DialTimeoutMs": 250.0, "MaxAttempts": 4, "MaxRetryAfterMs": 2000.0, "MostHeld": 30206,
            "ParallelTries": False, "Peers": False, "Probes": True, "RetryAfter": True, "StreamsPerConn": 100,
        },
        "Me": me,
        "OverShareWorth": 0.1,
        "Profiles": [dict(CONSULTA), dict(ALERTA), dict(LOTE)],
        "Projects": [],
        "RegistryMode": mode,
        "Reporting": {"Fields": ["active", "waiting", "rps"], "Via": "probe"},
        "ResolutionMs": 5.0,
        "Tier": 0,
        "Tiers": ["metricas"],
        "WeightSource": "live",
        "Zone": "guayaquil-sur",
    }  # fmt: skip


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.path, self.begun, self.lines = path, time.monotonic(), list[str]()

    def now(self) -> float:
        return time.monotonic() - self.begun

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now():9.4f} {text}")

    def say(self, text: str) -> None:
        """A line that is printed too."""
        self.note(text)
        print(text, flush=True)

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


# ---------------------------------------------------------------------------------------------------- HTTP messages


@dataclass
class Message:
    """A request as a server got it, or an answer as a client got it."""

    start: str
    fields: dict[str, str]
    body: bytes = b""
    whole_at: float = 0.0

    def status(self) -> int:
        return int(self.start.split(" ")[1])


class Broken(Exception):
    """A connection ended within a message, or before one."""


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """A chunked body, with or without trailers."""
    body = bytearray()
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return bytes(body)


async def read_many_chunks(reader: asyncio.StreamReader) -> bytes:
    """The same for a body of very many chunks that is the last message for now: it is read in large parts, and parsed
    a few at a time, so that nobody else here waits for it.
    """
    raw = bytearray()
    while not raw.endswith(b"\r\n0\r\n\r\n") and raw != b"0\r\n\r\n":
        if not (data := await reader.read(1 << 18)):
            raise asyncio.IncompleteReadError(bytes(raw), None)
        raw += data
    body, at = list[bytes](), 0
    while size := int(raw[at : (end := raw.index(b"\r\n", at))], 16):
        body.append(bytes(raw[end + 2 : end + 2 + size]))
        at = end + 2 + size + 2
        if len(body) % 2000 == 0:
            await asyncio.sleep(0)
    return b"".join(body)


async def read_message(reader: asyncio.StreamReader, *, server: bool = False) -> Message:
    """One message with its body; Broken where the connection ends before it is whole. server: who is sent one request
    at a time.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head[:-4].decode("latin-1").split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        message = Message(start, fields)
        if fields.get("transfer-encoding", "").lower() == "chunked":
            message.body = await (read_many_chunks if server else read_chunks)(reader)
        elif "content-length" in fields:
            message.body = await reader.readexactly(int(fields["content-length"]))
        elif start.startswith("HTTP/1.1 2"):
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise Broken(repr(error)) from None
    message.whole_at = time.monotonic()
    return message


def answer(status: int, body: bytes = b"", *fields: str) -> bytes:
    """A whole answer."""
    head = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def request(
    name: str, ident: str, *fields: str, budget_ms: float = 4000, key: str = "", body: bytes = b"", method: str = ""
) -> bytes:
    """A request as the protocol page shows it."""
    method = method or ("GET" if name == "consulta" else "POST")
    head = [f"{method} /{name}?sid=7f3a9c21 HTTP/1.1", "Host: api.internal", f"X-Call-Id: {ident}"]
    head += [f"X-Call-Class: {name}", f"X-Budget: {budget_ms:g}m", *fields]
    if key:
        head.append(f"Idempotency-Key: {key}")
    if method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


# ------------------------------------------------------------------------------------------------------------ servers


@dataclass
class Run:
    """A request that a server began: its last byte has come."""

    uid: str
    ident: str
    name: str
    key: str
    at: float


Serves = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """One metrics server: it begins a request with its last byte, and answers it with what names its id."""

    def __init__(self, uid: str, record: Record, work_s: float = 0.02, cell: int = 0, boot_ms: float = 0) -> None:
        self.uid, self.record, self.work_s, self.cell, self.boot_ms = uid, record, work_s, cell, boot_ms
        self.state, self.port, self.held = "active", 0, 0
        self.runs: list[Run] = []
        self.serves: Serves = plain
        self.listening: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.listening = await asyncio.start_server(self._connection, HOST, self.port, limit=1 << 20)
        self.port = self.listening.sockets[0].getsockname()[1]

    def line(self) -> dict[str, Any]:
        """Its line in discovery's list."""
        return {
            "uid": self.uid, "endpoint": f"{HOST}:{self.port}", "az": "guayaquil-sur", "model": "media",
            "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms,
        }  # fmt: skip

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader, server=True)
                path = message.start.split(" ")[1]
                if path in ("/_load", "/ping"):
                    load = {"active": self.held, "waiting": 0, "rps": 0}
                    writer.write(answer(200, json.dumps(load).encode()))
                    continue
                ident, name = message.fields.get("x-call-id", ""), path[1:].partition("?")[0]
                self.runs.append(
                    Run(self.uid, ident, name, message.fields.get("idempotency-key", ""), self.record.now())
                )
                self.record.note(f"server {self.uid} begins {ident} ({name}, {len(message.body)} bytes)")
                self.held += 1
                try:
                    await self.serves(self, message, writer)
                finally:
                    self.held -= 1
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    def close(self) -> None:
        """Its process ends: connections are reset and new ones refused."""
        end(self.listening, self.writers)


def end(listening: asyncio.Server | None, writers: set[asyncio.StreamWriter]) -> None:
    """Close a listening socket and all that came by it."""
    if listening is not None:
        listening.close()
    for writer in list(writers):
        writer.transport.abort()


def body_of(message: Message) -> bytes:
    """What a server makes for a request."""
    return f"made for {message.fields.get('x-call-id', '')}".encode()


async def plain(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
    """Work for a while, then answer."""
    await asyncio.sleep(server.work_s)
    server.record.note(f"server {server.uid} answers {message.fields.get('x-call-id')}")
    writer.write(answer(200, body_of(message)))


# ---------------------------------------------------------------------------------------------------------- discovery


class Discovery:
    """The agent with the list: whole, or as a watch that ends when there is something newer."""

    def __init__(self, record: Record, servers: list[Server], rev: int = 41) -> None:
        self.record, self.servers, self.rev = record, servers, rev
        self.port = 0
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.listening: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.listening = await asyncio.start_server(self._connection, HOST, self.port)
        self.port = self.listening.sockets[0].getsockname()[1]

    def whole(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": [s.line() for s in self.servers]}

    def change(self, *servers: Server) -> None:
        """These servers' lines are new."""
        self.rev += 1
        self.changes += [(self.rev, s.line()) for s in servers]
        self.record.note(f"discovery has version {self.rev}: " + ", ".join(f"{s.uid} {s.state}" for s in servers))
        self.changed.set()
        self.changed = asyncio.Event()

    async def value(self, query: str) -> dict[str, Any]:
        """What a call is answered."""
        asked = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if "from" not in asked:
            return self.whole()
        since = int(asked["from"])
        until = time.monotonic() + min(60_000, int(asked.get("hold_ms", 0))) / 1000
        while self.rev <= since and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        lines = {line["uid"]: line for rev, line in self.changes if rev > since}
        return {"rev": self.rev, "all": False, "targets": list(lines.values())}

    def close(self) -> None:
        end(self.listening, self.writers)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                value = await self.value(message.start.split(" ")[1].partition("?")[2])
                writer.write(answer(200, json.dumps(value).encode()))
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


# -------------------------------------------------------------------------------------------------------------- nodes


def free_port() -> int:
    with socket.socket() as found:
        found.bind((HOST, 0))
        return int(found.getsockname()[1])


def run_command() -> str:
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"])


@dataclass
class Node:
    """One real node, started as the platform starts it."""

    record: Record
    folder: Path
    discovery: Discovery
    config: dict[str, Any] = field(default_factory=dict)
    env: dict[str, str] = field(default_factory=dict)
    name: str = "n0"
    sockets: int = 1024
    memory_mb: float = 192.0
    port: int = 0
    process: asyncio.subprocess.Process | None = None
    over_memory: bool = False
    peak_mb: float = 0.0

    def write(self) -> None:
        """Its configuration, written whole and put in place at once."""
        limits = {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}
        base = {
            "name": self.name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{self.discovery.port}",
            "seed": "8c1f30d27a5be964", "limits": limits, "settings": settings(),
        }  # fmt: skip
        path = self.folder / f"{self.name}.json"
        draft = path.with_suffix(".new")
        draft.write_text(json.dumps(base | self.config))
        draft.rename(path)

    async def start(self) -> None:
        self.port = self.port or free_port()
        self.write()
        tmp = self.folder / f"{self.name}.tmp"
        tmp.mkdir(exist_ok=True)
        kept = {k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "CLOVERHOLD_"))}
        told = {"PROXY_CONFIG": str(self.folder / f"{self.name}.json"), "PROXY_NAME": self.name, "TMPDIR": str(tmp)}

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=kept | told | self.env, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=limit,
            )  # fmt: skip
        self.record.note(f"node {self.name} started, pid {self.process.pid}")

    async def healthy(self, within_s: float = 30.0) -> None:
        """Wait until it takes clients."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if await self.health() == 200:
                self.record.note(f"node {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"node {self.name} is not ready")

    async def health(self) -> int:
        """The status of `/_health`; 0 where nobody answers within 1 s."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                status = (await read_message(reader)).status()
                writer.transport.abort()
                return status
        except (OSError, TimeoutError, Broken):
            return 0

    def send(self, number: int) -> None:
        """A signal."""
        if self.process is not None and self.process.returncode is None:
            self.record.note(f"node {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def watch_memory(self) -> None:
        """As the platform: over its memory it is killed."""
        assert self.process is not None
        while self.process.returncode is None:
            try:
                status = Path(f"/proc/{self.process.pid}/status").read_text()
            except OSError:
                return
            rss = next((line for line in status.splitlines() if line.startswith("VmRSS")), "VmRSS: 0 kB")
            now_mb = int(rss.split()[1]) / 1024
            self.peak_mb = max(self.peak_mb, now_mb)
            if now_mb > self.memory_mb and not self.over_memory:
                self.over_memory = True
                self.record.say(f"node {self.name} holds {now_mb:.0f} MB of {self.memory_mb:.0f}: killed")
                self.process.kill()
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """End it, whatever it does."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


# ------------------------------------------------------------------------------------------------------------ clients


@dataclass
class Got:
    """What a client got for a request: a status, or 0 where its connection ended or its time ran out."""

    ident: str
    status: int
    body: bytes = b""
    took_s: float = 0.0
    why: str = ""

    def foreign(self) -> bool:
        """Whether it was served with what was made for another request."""
        return self.status == 200 and self.body != f"made for {self.ident}".encode()


class Client:
    """A client that keeps one connection and sends one request at a time on it."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, ident: str, data: bytes, within_s: float) -> Got:
        """Send a request and wait for its answer; once more on a new connection where the kept one had ended."""
        begun, kept = time.monotonic(), self.writer is not None
        self.record.note(f"client sends {ident}")
        try:
            async with asyncio.timeout(within_s):
                while True:
                    try:
                        if self.reader is None or self.writer is None:
                            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
                        self.writer.write(data)
                        message = await read_message(self.reader)
                        break
                    except (Broken, OSError):
                        self.close()
                        if not kept:
                            raise
                        kept = False
            got = Got(ident, message.status(), message.body, time.monotonic() - begun)
            if message.fields.get("connection", "").lower() == "close":
                self.close()
        except (Broken, OSError, TimeoutError) as error:
            self.close()
            got = Got(ident, 0, b"", time.monotonic() - begun, type(error).__name__)
        self.record.note(f"client has {got.status} for {ident} after {got.took_s:.3f} s {got.why}")
        return got

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Usual:
    """The usual clients: each asks in turn, one request at a time, and waits a little between two."""

    SLACK_S = 0.5 + 0.15  # an answer up to half a second late only earns nothing; the rest is the stand-ins' own

    def __init__(self, record: Record, port: int, clients: int = 6, pause_s: float = 0.15) -> None:
        self.record, self.port, self.clients, self.pause_s = record, port, clients, pause_s
        self.got: list[tuple[float, Got]] = []  # with the time at which each was sent
        self.lag_s = 0.0  # the longest time for which these stand-ins themselves were held up

    async def ask(self, until: float) -> None:
        """Ask until then, on the record's clock."""
        lag = asyncio.create_task(self._watch_lag())
        await asyncio.gather(*(self._client(number, until) for number in range(self.clients)))
        lag.cancel()

    async def _watch_lag(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.lag_s = max(self.lag_s, time.monotonic() - before - 0.02)

    async def _client(self, number: int, until: float) -> None:
        client, count = Client(self.record, self.port), 0
        name = ("consulta", "alerta-umbral", "lote")[number % 3]
        budget_ms = 1000 if name == "alerta-umbral" else 4000
        while self.record.now() < until:
            ident, sent_at = f"u{number}x{count}", self.record.now()
            data = request(name, ident, budget_ms=budget_ms, key=ident if name == "lote" else "")
            got = await client.ask(ident, data, budget_ms / 1000 + self.SLACK_S)
            self.got.append((sent_at, got))
            count += 1
            await asyncio.sleep(self.pause_s)
        client.close()

    def lost(self) -> list[Got]:
        """Requests that had no final answer half a second after their time."""
        return [got for _, got in self.got if got.status == 0]

    def tell(self) -> None:
        """What they got, in a line."""
        by_status: dict[int, int] = {}
        for _, got in self.got:
            by_status[got.status] = by_status.get(got.status, 0) + 1
        longest = max((got.took_s for _, got in self.got), default=0.0)
        self.record.say(
            f"usual clients: {len(self.got)} requests, by status {by_status} (0: no answer), longest {longest:.2f} s; "
            f"the stand-ins were held up for {self.lag_s:.2f} s at most"
        )


# -------------------------------------------------------------------------------------------------------------- stage


class Stage:
    """A small deployment: twelve servers in two racks, discovery's agent and one node."""

    def __init__(self, record: Record, folder: Path, *, work_s: float = 0.02, serves: Serves | None = None) -> None:
        self.servers = [Server(f"s-{n}", record, work_s, cell=n // 6) for n in range(12)]
        for server in self.servers:
            server.serves = serves or plain
        self.discovery = Discovery(record, self.servers)
        self.node = Node(record, folder, self.discovery)

    async def __aenter__(self) -> Stage:
        try:
            for server in self.servers:
                await server.start()
            await self.discovery.start()
            await self.node.start()
            await self.node.healthy()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.node.close()
        for part in (*self.servers, self.discovery):
            part.close()
        await asyncio.sleep(0.05)

    def runs(self) -> list[Run]:
        return [run for server in self.servers for run in server.runs]


# --------------------------------------------------------------------------------------------------------------- main

Play = Callable[[Record, Path, bool], Awaitable[int]]


def main(file: str, play: Play, within_s: float = 110.0) -> None:
    """Play a case and exit as its verdict says: 1 where the rule was broken, 0 where it held, 2 where it couldn't run.

    With TROUBLE=0 the same without the disruption.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(file).resolve().parent / "record.txt")
    record.note(f"trouble: {trouble}")

    async def bounded(folder: Path) -> int:
        task = asyncio.ensure_future(play(record, folder, trouble))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await asyncio.wait_for(task, within_s)

    verdict = UNABLE
    with tempfile.TemporaryDirectory() as folder:
        try:
            verdict = asyncio.run(bounded(Path(folder)))
        except (Exception, asyncio.CancelledError) as error:
            record.note(traceback.format_exc())
            record.say(f"could not run: {error!r}")
        finally:
            for log in sorted(Path(folder).glob("*.log")):
                record.lines += [f"--- {log.name}, its last lines", *log.read_text(errors="replace").splitlines()[-60:]]
    record.say({HELD: "the rule held", FAILED: "the rule was broken"}.get(verdict, "could not run"))
    record.write()
    sys.exit(verdict)
