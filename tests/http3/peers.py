"""Clients that speak HTTP/3 by the book or against it, and a relay that loses, doubles and reorders by a seed."""

from __future__ import annotations

import asyncio
import datetime
import random
import ssl
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from qh3.h3.connection import H3Connection
from qh3.h3.events import DataReceived, GoawayReceived, HeadersReceived, StopSending, StreamReset
from qh3.quic.configuration import QuicConfiguration
from qh3.quic.connection import QuicConnection
from qh3.quic.events import ConnectionTerminated, HandshakeCompleted
from qh3.tls import SessionTicket

from cloverhold.h3.table import Http3Table
from loopback import WAIT_S

Address = tuple[str, int]
Field = tuple[bytes, bytes]


def certificate(folder: Path, name: str = "node") -> tuple[str, str]:
    """A certificate for localhost, made now, and its key."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    made = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=30))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName("localhost")]), critical=False)
        .sign(key, hashes.SHA256())
    )
    plain = serialization.NoEncryption()
    (folder / f"{name}.pem").write_bytes(made.public_bytes(serialization.Encoding.PEM))
    (folder / f"{name}.key").write_bytes(
        key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, plain)
    )
    return str(folder / f"{name}.pem"), str(folder / f"{name}.key")


def table(folder: Path, **changes: Any) -> Http3Table:
    """A table whose files are there."""
    if not (folder / "node.pem").exists():
        certificate(folder)
    said = {"certificate": str(folder / "node.pem"), "key": str(folder / "node.key"), "listen": "127.0.0.1:0"}
    return Http3Table(**{**said, **changes})


def head(name: str = "consulta", number: str = "1", budget: str = "8000m", extra: Iterable[Field] = ()) -> list[Field]:
    """The fields of a request as clients agree to send it."""
    method = b"GET" if name == "consulta" else b"POST"
    fields = [
        *((b":method", method), (b":scheme", b"https"), (b":authority", b"api")),
        *((b":path", b"/%s?sid=7f3a" % name.encode()), (b"x-call-id", number.encode())),
        *((b"x-call-class", name.encode()), (b"x-budget", budget.encode())),
    ]
    if name == "lote":
        fields.append((b"idempotency-key", b"k" + number.encode()))
    return [*fields, *extra]


@dataclass
class Got:
    """What came back on one stream."""

    status: int = 0
    body: bytes = b""
    fields: dict[bytes, bytes] = field(default_factory=dict)
    reset: int | None = None  # the code, where the stream was reset
    stopped: int | None = None  # the code, where the other side will not read on
    lost: bool = False  # its connection ended first
    whole: bool = False

    def over(self) -> bool:
        """Whether nothing more can come."""
        return self.whole or self.lost or self.reset is not None


class H3Client(asyncio.DatagramProtocol):
    """One connection. `receive` may be set to False: then it hears nothing any more."""

    def __init__(self, to: Address, ticket: SessionTicket | None = None, **settings: Any) -> None:
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=["h3"], server_name="localhost", verify_mode=ssl.CERT_NONE,
            session_ticket=ticket, **settings,
        )  # fmt: skip
        self.to = to
        self.tickets: list[SessionTicket] = []
        self.quic = QuicConnection(configuration=configuration, session_ticket_handler=self.tickets.append)
        self.h3: H3Connection | None = None
        self.got: dict[int, Got] = {}
        self.goaway: int | None = None
        self.ready, self.ended = asyncio.Event(), asyncio.Event()
        self.early_accepted = False
        self.why: ConnectionTerminated | None = None
        self.sent: list[bytes] = []  # every datagram, for those who replay
        self.hears = True
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.changed = asyncio.Event()

    async def __aenter__(self) -> H3Client:
        await self.open()
        await self.connect()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.close()

    async def open(self) -> None:
        """A socket; a second one means a change of address: what is sent from now on comes from there."""
        old = self.transport
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        if old is not None:
            old.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    async def connect(self, *, wait: bool = True) -> None:
        """Begin the handshake, and wait for its end."""
        self.quic.connect(self.to, self.loop.time())
        self.h3 = H3Connection(self.quic)
        self.flush()
        if wait:
            async with asyncio.timeout(WAIT_S):
                await self.ready.wait()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        if self.hears:
            self.quic.receive_datagram(data, addr, self.loop.time())
            self.flush()

    def flush(self) -> None:
        """Send what is to be sent, and see what came."""
        for data, _ in self.quic.datagrams_to_send(self.loop.time()):
            self.sent.append(data)
            if self.transport is not None and not self.transport.is_closing():
                self.transport.sendto(data, self.to)
        while (event := self.quic.next_event()) is not None:
            if isinstance(event, HandshakeCompleted):
                self.early_accepted = event.early_data_accepted
                self.ready.set()
            elif isinstance(event, ConnectionTerminated):
                self.why = event
                for got in self.got.values():
                    got.lost = got.lost or not got.over()
                self.ended.set()
            if self.h3 is not None:
                for inner in self.h3.handle_event(event):
                    self._inner(inner)
        self.changed.set()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        due = self.quic.get_timer()
        if due is not None and not self.ended.is_set():
            self.timer = self.loop.call_at(due, self._timer)

    def _timer(self) -> None:
        self.quic.handle_timer(self.loop.time())
        self.flush()

    def _inner(self, event: Any) -> None:
        if isinstance(event, GoawayReceived):
            self.goaway = event.stream_id
            return
        got = self.got.get(getattr(event, "stream_id", -1))
        if got is None:
            return
        if isinstance(event, HeadersReceived):
            got.fields = dict(event.headers)
            got.status = int(got.fields[b":status"])
            got.whole = event.stream_ended
        elif isinstance(event, DataReceived):
            got.body += event.data
            got.whole = event.stream_ended
        elif isinstance(event, StreamReset):
            got.reset = event.error_code
        elif isinstance(event, StopSending):
            got.stopped = event.error_code

    def begin(self, fields: list[Field], body: bytes = b"", *, end: bool = True) -> int:
        """Send a request; the number of its stream."""
        assert self.h3 is not None
        stream = self.quic.get_next_available_stream_id()
        self.got[stream] = Got()
        if body or not end:
            self.h3.send_headers(stream, fields)
            if body:
                self.h3.send_data(stream, body, end_stream=end)
        else:
            self.h3.send_headers(stream, fields, end_stream=True)
        self.flush()
        return stream

    async def until(self, true: Callable[[], object]) -> None:
        """Wait for a condition, looked at whenever something came."""
        async with asyncio.timeout(WAIT_S):
            while not true():
                self.changed.clear()
                await self.changed.wait()

    async def answer(self, stream: int) -> Got:
        """What came of a request, once nothing more can come."""
        await self.until(lambda: self.got[stream].over())
        return self.got[stream]

    async def ask(self, name: str = "consulta", number: str = "1", body: bytes = b"", **rest: Any) -> Got:
        """A request and its answer."""
        return await self.answer(self.begin(head(name, number, **rest), body))

    def close(self) -> None:
        """Say goodbye."""
        self.quic.close()
        self.flush()
        self.drop()

    def drop(self) -> None:
        """Vanish without a word."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()


class Relay(asyncio.DatagramProtocol):
    """Stands between clients and a node; each client's way to the node is a socket that can be exchanged."""

    def __init__(self, to: Address, seed: int, *, loss: float = 0.0, twice: float = 0.0, late: float = 0.0) -> None:
        self.to, self.random = to, random.Random(seed)
        self.loss, self.twice, self.late = loss, twice, late
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.DatagramTransport | None = None
        self.ways: dict[Address, _Way] = {}
        self.held: list[asyncio.TimerHandle] = []
        self.waiting: dict[Address, list[bytes]] = {}
        self.passed = self.lost = 0

    async def start(self) -> Address:
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        assert self.transport is not None
        return ("127.0.0.1", int(self.transport.get_extra_info("sockname")[1]))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        way = self.ways.get(addr)
        if way is None:
            way = self.ways[addr] = _Way(self, addr)
            way.open()
        self.carry(lambda: way.send(data))

    def carry(self, send: Callable[[], object]) -> None:
        """Pass one datagram on, or not, or twice, or behind others."""
        if self.random.random() < self.loss:
            self.lost += 1
            return
        for _ in range(2 if self.random.random() < self.twice else 1):
            self.passed += 1
            if self.random.random() < self.late:
                self.held.append(self.loop.call_later(self.random.uniform(0.0, 0.02), send))
            else:
                send()

    def rebind(self) -> None:
        """Every client's way to the node gets another port, as at a NAT that has forgotten them."""
        for way in self.ways.values():
            way.open()

    def close(self) -> None:
        for timer in self.held:
            timer.cancel()
        for way in self.ways.values():
            way.close()
        if self.transport is not None:
            self.transport.close()


class _Way(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, client: Address) -> None:
        self.relay, self.client = relay, client
        self.transport: asyncio.DatagramTransport | None = None
        self.waiting: list[bytes] = []
        self.task: asyncio.Task[Any] | None = None

    def open(self) -> None:
        old, self.transport = self.transport, None
        if old is not None:
            old.close()
        self.task = self.relay.loop.create_task(
            self.relay.loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)
        for data in self.waiting:
            self.transport.sendto(data, self.relay.to)
        self.waiting.clear()

    def connection_lost(self, exc: Exception | None) -> None:
        """An old port, given back."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        def back() -> None:
            if self.relay.transport is not None and not self.relay.transport.is_closing():
                self.relay.transport.sendto(data, self.client)

        self.relay.carry(back)

    def send(self, data: bytes) -> None:
        if self.transport is None:
            self.waiting.append(data)
        elif not self.transport.is_closing():
            self.transport.sendto(data, self.relay.to)

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.transport is not None:
            self.transport.close()
