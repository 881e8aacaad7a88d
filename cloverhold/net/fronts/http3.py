"""Clients that speak HTTP/3: one UDP socket, and connections that are found by their ids whatever address they have.

All that is decided stands in `cloverhold.h3`; here are the socket, the timers, and what connects them to the exchanges.
"""

from __future__ import annotations

import asyncio
import logging
import os
import ssl
import time
from collections.abc import Iterable
from typing import cast

from qh3._hazmat import pull_quic_header
from qh3.quic.configuration import QuicConfiguration
from qh3.quic.packet import QuicPacketType, encode_quic_retry, encode_quic_version_negotiation

from cloverhold.h3 import streams
from cloverhold.h3.door import Door, Verdict
from cloverhold.h3.keys import SECRET_BYTES, Keys
from cloverhold.h3.session import Address, CidIssued, CidRetired, Ended, Event, Session, settings
from cloverhold.h3.streams import Budget
from cloverhold.h3.table import Http3Table
from cloverhold.net.exchange import Exchange, Taker
from cloverhold.net.messages import Field

log = logging.getLogger(__name__)
logging.getLogger("quic").setLevel(logging.CRITICAL)  # the library warns of each close, of anybody's choosing

SMALLEST_INITIAL = 1200  # RFC 9000, section 14.1: what is smaller would make us an amplifier
CID_BYTES = 8
RESET_BYTES = 21, 43  # a stateless reset is as long as a short packet, and shorter than what asked for it
SWEEP_S = 0.2


class FrontError(Exception):
    """HTTP/3 cannot be served as the table says."""


def read_certificate(table: Http3Table) -> QuicConfiguration:
    """How clients are met. Raises FrontError where the files are no certificate with its key."""
    try:
        # The library takes any two files that it can read; that they belong together it would find at no handshake.
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(table.certificate, table.key, password=_no_password)
        configuration = settings()
        configuration.load_cert_chain(table.certificate, table.key)
    except (OSError, ValueError) as error:
        raise FrontError(f"http3: {table.certificate}, {table.key}: {error}") from None
    return configuration


def _no_password() -> str:
    """A key that asks for a password would have it asked at a terminal."""
    return ""


def read_secrets(table: Http3Table) -> Keys:
    """The keys that nodes share; of this life alone where none are named. Raises FrontError."""
    try:
        found = [open_secret(path) for path in table.secrets]
        return Keys(found or [os.urandom(SECRET_BYTES)])
    except (OSError, ValueError) as error:
        raise FrontError(f"http3.secrets: {error}") from None


def open_secret(path: str) -> bytes:
    """One secret. Raises OSError, or ValueError where it is none."""
    with open(path, "rb") as file:
        secret = file.read(SECRET_BYTES + 1)
    if len(secret) != SECRET_BYTES:
        raise ValueError(f"{path}: {SECRET_BYTES} bytes are needed")
    return secret


class _Stream:
    """What an exchange came in by: one stream of one connection."""

    __slots__ = ("client", "number")

    def __init__(self, client: Client, number: int) -> None:
        self.client, self.number = client, number

    def answer(self, exchange: Exchange, status: int, body: bytes, headers: Iterable[Field]) -> None:
        """Write the answer, unless the client has gone."""
        if self.client.open.get(self.number) is exchange:
            del self.client.open[self.number]
            self.client.session.answer(self.number, status, body, headers)
            self.client.front.flush_soon(self.client)

    def is_client_connected(self, exchange: Exchange) -> bool:
        """A client that leaves says so in a datagram: until that is read there is nothing to see of it."""
        return self.client.open.get(self.number) is exchange


class Client:
    """One connection, and the exchanges that came in by it."""

    __slots__ = ("cids", "confirmed", "front", "open", "session", "timer")

    def __init__(self, front: Http3Front, session: Session) -> None:
        self.front, self.session = front, session
        self.open: dict[int, Exchange] = {}
        self.cids: set[bytes] = set()
        self.confirmed = False
        self.timer: asyncio.TimerHandle | None = None


class Http3Front(asyncio.DatagramProtocol):
    """The UDP socket and the connections that came in by it."""

    def __init__(self, taker: Taker, table: Http3Table) -> None:
        """Raises FrontError where the files that the table names cannot be used."""
        self.taker, self.table = taker, table
        self.configuration, self.keys = read_certificate(table), read_secrets(table)
        self.door = Door(table.most_connections, table.most_handshakes, table.retry)
        self.budget = Budget(table.most_requests, table.most_kb * 1024)
        self.clients: set[Client] = set()
        self.new = 0  # of those, how many are in their handshake
        self._by_cid: dict[bytes, Client] = {}
        self._dirty: dict[Client, None] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Listen. Raises OSError where the address is taken."""
        host, _, port = self.table.listen.rpartition(":")
        await self._loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)

    def port(self) -> int:
        """Where it listens; 0 until it does."""
        return int(self._transport.get_extra_info("sockname")[1]) if self._transport is not None else 0

    def reload(self, table: Http3Table) -> list[str]:
        """Go by a new table; the keys of it that wait for a restart. Raises FrontError and changes nothing.

        Connections that are there keep their certificate; what begins from here on has the new one.
        """
        configuration, keys = read_certificate(table), read_secrets(table) if table.secrets else self.keys
        old, self.table, self.configuration, self.keys = self.table, table, configuration, keys
        self.door.most, self.door.most_new, self.door.retry = table.most_connections, table.most_handshakes, table.retry
        self.budget.most_streams, self.budget.most_bytes = table.most_requests, table.most_kb * 1024
        return [key for key in ("listen", "announce") if getattr(old, key) != getattr(table, key)]

    # ------------------------------------------------------------------------------------------- datagrams

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is there."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """What was sent to somebody came back as not to be delivered: QUIC's own timers see to that."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """One datagram, of anybody."""
        try:
            version, kind, _, cid, source, token, *_ = pull_quic_header(data, 0, CID_BYTES)
        except ValueError:
            return
        now = self._loop.time()
        client = self._by_cid.get(cid)
        if client is not None:
            self._step(client, client.session.receive(data, addr[:2], now))
        elif version is not None and version not in self.configuration.supported_versions:
            if version != 0 and len(data) >= SMALLEST_INITIAL:
                self._send(encode_quic_version_negotiation(cid, source, self.configuration.supported_versions), addr)
        elif kind == QuicPacketType.INITIAL and len(data) >= SMALLEST_INITIAL and version is not None:
            self._initial(data, addr, version, cid, source, token, now)
        elif kind == QuicPacketType.ONE_RTT and len(data) > RESET_BYTES[0] and self.door.reset(now):
            # Of a life before this one, or of a node whose address this one has: its client is not to wait.
            length = min(RESET_BYTES[1], len(data) - 1) - 16
            noise = os.urandom(length)
            self._send(bytes([noise[0] & 0x3F | 0x40]) + noise[1:] + self.keys.reset_token(cid), addr)

    def _initial(
        self, data: bytes, addr: Address, version: int, cid: bytes, source: bytes, token: bytes, now: float
    ) -> None:
        asked = self.keys.asked_cid(token, addr[0], cid, time.time()) if token else None
        verdict = self.door.initial(len(self.clients), self.new, validated=asked is not None)
        if verdict is Verdict.RETRY:
            own = os.urandom(CID_BYTES)
            token = self.keys.retry_token(addr[0], cid, own, time.time())
            self._send(encode_quic_retry(version, own, source, cid, token), addr)
        if verdict is not Verdict.TAKE:
            return
        session = Session(
            self.configuration, self.keys, self.taker.classes, self.table.most_streams, self.budget,
            asked_cid=asked if asked is not None else cid, retry_cid=cid if asked is not None else None,
            early=self.table.early,
        )  # fmt: skip
        client = Client(self, session)
        self.clients.add(client)
        self.new += 1
        for known in (cid, session.cid):
            client.cids.add(known)
            self._by_cid[known] = client
        self._step(client, session.receive(data, addr[:2], now))

    def _send(self, data: bytes, addr: Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, addr)

    # ---------------------------------------------------------------------------------------------- events

    def _step(self, client: Client, events: Iterable[Event]) -> None:
        """Carry out what came, and send what it makes."""
        self._carry_out(client, events)
        self.flush_soon(client)

    def _carry_out(self, client: Client, events: Iterable[Event]) -> None:
        for event in events:
            match event:
                case streams.Take():
                    stream = _Stream(client, event.stream)
                    exchange = client.open[event.stream] = Exchange(stream, event.request, event.asked)
                    self.taker.take(exchange)
                case streams.Health():
                    ready = self.taker.ready() and not self.door.draining
                    client.session.say(event.stream, 200 if ready else 503)
                case streams.Gone():
                    if (gone := client.open.pop(event.stream, None)) is not None:
                        self.taker.client_gone(gone)
                case CidIssued():
                    client.cids.add(event.cid)
                    self._by_cid[event.cid] = client
                case CidRetired():
                    client.cids.discard(event.cid)
                    self._by_cid.pop(event.cid, None)
                case Ended():
                    self._forget(client)
        if not client.confirmed and client.session.streams.confirmed:
            client.confirmed = True
            self.new -= client in self.clients
            if self.door.draining:
                client.session.drain()

    def _forget(self, client: Client) -> None:
        if client in self.clients:
            self.clients.discard(client)
            self.new -= not client.confirmed
        for cid in client.cids:
            self._by_cid.pop(cid, None)
        if client.timer is not None:
            client.timer.cancel()

    def flush_soon(self, client: Client) -> None:
        """Send what a connection has to send, once for all that this turn of the loop brings."""
        if not self._dirty:
            self._loop.call_soon(self._flush)
        self._dirty[client] = None

    def _flush(self) -> None:
        dirty, self._dirty = self._dirty, {}
        now = self._loop.time()
        for client in dirty:
            datagrams, events = client.session.datagrams(now)
            for data, addr in datagrams:
                self._send(data, addr)
            self._carry_out(client, events)
            if client.timer is not None:
                client.timer.cancel()
            due = client.session.due(now)
            client.timer = None
            if due is not None and client in self.clients:
                client.timer = self._loop.call_at(due, self._timer, client)

    def _timer(self, client: Client) -> None:
        self._step(client, client.session.timer(self._loop.time()))

    def _sweep(self) -> None:
        self._sweeper = self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        for client in list(self.clients):
            self._step(client, client.session.sweep(now))

    # ------------------------------------------------------------------------------------------------- end

    def drain(self, *, on: bool) -> None:
        """No new connection and no new stream; what was taken is answered. Off: new connections come in again."""
        if on and not self.door.draining:
            for client in list(self.clients):
                client.session.drain()
                self.flush_soon(client)
        self.door.draining = on

    def busy(self) -> bool:
        """Whether a request is owed an answer, or one has not left yet."""
        return any(not client.session.idle() for client in self.clients)

    def close(self) -> None:
        """Say goodbye to all, and give the socket back."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for client in list(self.clients):
            self._step(client, client.session.close())
        self._flush()
        if self._transport is not None:
            self._transport.close()
