"""One connection of a client: datagrams and the time in, datagrams and what its streams owe out. No I/O, no clock.

The QUIC library (qh3) does transport and TLS. What it has no hook for is put in here, at three places that it lets one
override: the stateless reset token of a connection and the bytes of its session tickets come from the node's own keys,
and GOAWAY is written on the control stream that the library opened.
"""

from __future__ import annotations

import datetime
import logging
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from qh3._hazmat import Buffer, encode_uint_var
from qh3.h3.connection import FrameType, H3Connection, encode_frame
from qh3.h3.events import DataReceived, H3Event, HeadersReceived, StopSending, StreamReset
from qh3.h3.exceptions import H3Error
from qh3.quic.configuration import QuicConfiguration
from qh3.quic.connection import QuicConnection, QuicConnectionError
from qh3.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    ProtocolNegotiated,
    StreamDataReceived,
)
from qh3.tls import CipherSuite, ExtensionType, NewSessionTicket, SessionTicket, push_new_session_ticket

from cloverhold.decision.interface import ClassSettings
from cloverhold.h3 import streams
from cloverhold.h3.keys import Keys, Ticket
from cloverhold.h3.requests import answer_head, field_section
from cloverhold.h3.streams import EXCESSIVE_LOAD, NO_ERROR, Budget, Streams
from cloverhold.net.fronts.waits import ANSWER_READ_TIMEOUT_S
from cloverhold.net.messages import ANSWER_LIMIT, BODY_LIMIT, HEAD_LIMIT, Field

log = logging.getLogger(__name__)

Address = tuple[str, int]
IDLE_S = 30.0  # a phone that changes its network says nothing for some seconds
UNREAD_S = ANSWER_READ_TIMEOUT_S  # a client that takes none of its answers for this long is ended
MOST_UNREAD = 2 * (ANSWER_LIMIT + HEAD_LIMIT)  # bytes of answers on one connection that the client has not let out
AGAIN_S, STUCK_S = 0.02, 2.0
_TICKET_ROOM = 4096
# What the library's calls end with: its own error, and that of its native core, which comes through at places.
FAILED = (QuicConnectionError, ValueError)


@dataclass(slots=True)
class CidIssued:
    """Datagrams to this connection id are this connection's from now on."""

    cid: bytes


@dataclass(slots=True)
class CidRetired:
    """And no longer."""

    cid: bytes


@dataclass(slots=True)
class Ended:
    """The connection is over; nothing more comes of it."""


Event = streams.Action | CidIssued | CidRetired | Ended


def _utc(unix_s: float) -> datetime.datetime:
    """As the library keeps times: of UTC, and without saying so."""
    return datetime.datetime.fromtimestamp(unix_s, datetime.UTC).replace(tzinfo=None)


class _Connection(QuicConnection):
    """The library's connection, with reset token and tickets of the node's own keys."""

    def __init__(self, keys: Keys, early: bool, **rest: Any) -> None:
        self._keys, self._early, self._made = keys, early, list[SessionTicket]()
        super().__init__(session_ticket_fetcher=self._fetch, session_ticket_handler=self._made.append, **rest)

    def _fetch(self, sealed: bytes) -> SessionTicket | None:
        ticket = self._keys.open(sealed)
        if ticket is None:
            return None
        return SessionTicket(
            age_add=ticket.age_add,
            cipher_suite=CipherSuite(ticket.suite),
            not_valid_after=_utc(ticket.not_after),
            not_valid_before=_utc(ticket.not_before),
            resumption_secret=ticket.secret,
            server_name="",
            ticket=sealed,
        )

    def _create_tls(self, remote_source_cid: bytes | None) -> Any:
        bridge = super()._create_tls(remote_source_cid)
        bridge.stateless_reset_token = self._keys.reset_token(self.host_cid)
        said = bridge.serialize_transport_parameters()
        bridge.tls.handshake_extensions = [(ExtensionType.QUIC_TRANSPORT_PARAMETERS, said)]
        if not self._early:
            bridge.tls._max_early_data = None
        hello = bridge.tls._server_handle_hello

        def with_sealed_ticket(read: Buffer, initial: Buffer, handshake: Buffer, one_rtt: Buffer) -> None:
            # The library draws a ticket's bytes at random: its own is made into a buffer that is thrown away.
            hello(read, initial, handshake, Buffer(capacity=_TICKET_ROOM))
            for made in self._made:
                push_new_session_ticket(one_rtt, self._sealed(made))
            self._made.clear()

        setattr(bridge.tls, "_server_handle_hello", with_sealed_ticket)  # noqa: B010 - of one object, by its name
        return bridge

    def _sealed(self, made: SessionTicket) -> NewSessionTicket:
        since = made.not_valid_before.replace(tzinfo=datetime.UTC).timestamp()
        until = made.not_valid_after.replace(tzinfo=datetime.UTC).timestamp()
        ticket = Ticket(int(made.cipher_suite), since, until, made.age_add, made.resumption_secret)
        return NewSessionTicket(
            ticket_lifetime=int(until - since),
            ticket_age_add=made.age_add,
            ticket_nonce=b"",
            ticket=self._keys.seal(ticket),
            max_early_data_size=made.max_early_data_size,
        )


class _Http3(H3Connection):
    """The library's HTTP/3, with heads written out by us."""

    def __init__(self, quic: QuicConnection) -> None:
        super().__init__(quic)
        # The library holds a head until it is whole, by default up to a megabyte of it.
        self._max_encoded_field_section_size = HEAD_LIMIT

    def _encode_headers(self, stream_id: int, headers: list[Field]) -> bytes:
        return field_section(headers)


class Session:
    """The server's side of one connection. Each call that may bring something returns events, in order."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        keys: Keys,
        classes: dict[str, ClassSettings],
        most_streams: int,
        budget: Budget,
        *,
        asked_cid: bytes,
        retry_cid: bytes | None,
        early: bool,
    ) -> None:
        """asked_cid: the id that the client first sent to; retry_cid: that of our Retry packet, where it had one."""
        self._quic = _Connection(
            keys,
            early,
            configuration=configuration,
            original_destination_connection_id=asked_cid,
            retry_source_connection_id=retry_cid,
        )
        self._h3: _Http3 | None = None
        self.streams = Streams(classes, most_streams, budget)
        self.cid: bytes = self._quic.host_cid
        self.over = self.leaving = False
        self._unread_since: float | None = None
        self._unread = 0
        self._answered = False  # whether answers were written that the client may not have
        self._stuck_since: float | None = None  # from when on the library has had nothing to send but an error

    # ------------------------------------------------------------------------------------------- in and out

    def receive(self, data: bytes, address: Address, now: float) -> Iterator[Event]:
        """A datagram has come."""
        return self._after(lambda: self._quic.receive_datagram(data, address, now), now)

    def timer(self, now: float) -> Iterator[Event]:
        """The time that `due` named has come."""
        return self._after(lambda: self._quic.handle_timer(now), now)

    def _after(self, step: Callable[[], None], now: float) -> Iterator[Event]:
        if self.over:
            return
        try:
            step()
        except FAILED as error:
            yield from self._failed(error)
        else:
            yield from self._events(now)

    def _failed(self, error: Exception) -> Iterator[Event]:
        """The library can't go on with this connection: it is over without a word. What its client sends next is
        answered by a stateless reset.
        """
        log.warning("http3: a connection is given up: %s", error)
        return self.lost()

    def due(self, now: float) -> float | None:
        """When `timer` is to be called; None for never."""
        if self._stuck_since is not None:
            return now + AGAIN_S
        due: float | None = self._quic.get_timer()
        return due

    def datagrams(self, now: float) -> tuple[list[tuple[bytes, Address]], Iterable[Event]]:
        """What is to be sent now, and where; and what came of it."""
        try:
            out = self._quic.datagrams_to_send(now)
        except FAILED as error:
            # Seen where a client changes its path while much is unsent: the library takes no packet for the room that
            # it has left there. What it had ready is as lost as any datagram; the next try comes soon.
            self._stuck_since = self._stuck_since if self._stuck_since is not None else now
            return [], self._failed(error) if now - self._stuck_since > STUCK_S else ()
        self._stuck_since = None
        return out, ()

    def _events(self, now: float) -> Iterator[Event]:
        while (event := self._quic.next_event()) is not None:
            if isinstance(event, StreamDataReceived):
                if event.stream_id % 4 == 0:  # a request; also where no head is whole yet
                    yield from self._do(self.streams.begun(event.stream_id, now))
            elif isinstance(event, ProtocolNegotiated):
                self._h3 = _Http3(self._quic)
            elif isinstance(event, HandshakeCompleted):
                yield from self._do(self.streams.complete())
            elif isinstance(event, ConnectionIdIssued):
                yield CidIssued(event.connection_id)
            elif isinstance(event, ConnectionIdRetired):
                yield CidRetired(event.connection_id)
            elif isinstance(event, ConnectionTerminated):
                yield from self.lost()
                return
            if self._h3 is not None:
                for inner in self._h3.handle_event(event):
                    yield from self._do(self._inner(inner, now))

    def _inner(self, event: H3Event, now: float) -> Iterator[streams.Action]:
        if isinstance(event, HeadersReceived):
            yield from self.streams.head(event.stream_id, event.headers)
        elif isinstance(event, DataReceived):
            yield from self.streams.data(event.stream_id, event.data)
        elif isinstance(event, StreamReset):
            yield from self.streams.reset(event.stream_id)
        elif isinstance(event, StopSending):
            yield from self.streams.stop(event.stream_id)
        if isinstance(event, (HeadersReceived, DataReceived)) and event.stream_ended:
            yield from self.streams.end(event.stream_id, now)

    def _do(self, actions: Iterable[streams.Action]) -> Iterator[Event]:
        """Carry out what concerns the connection alone; hand on the rest."""
        for action in actions:
            if isinstance(action, streams.Say):
                self._write(action.stream, action.status, action.why.encode("latin-1", "replace"), ())
                if action.more:
                    self._stop(action.stream, NO_ERROR)
            elif isinstance(action, streams.Reject):
                self._reset(action.stream, action.code)
                self._stop(action.stream, action.code)
            elif isinstance(action, streams.Drop):
                self._reset(action.stream, streams.REQUEST_CANCELLED)
            else:
                if isinstance(action, streams.Gone):
                    self._reset(action.stream, streams.REQUEST_CANCELLED)
                yield action

    # ---------------------------------------------------------------------------------------------- answers

    def answer(self, stream: int, status: int, body: bytes, headers: Iterable[Field]) -> bool:
        """Write an answer; False where none is owed."""
        if self.over or not self.streams.said(stream):
            return False
        self._write(stream, status, body, headers)
        return True

    def say(self, stream: int, status: int) -> None:
        """The front's own word on a stream that was never handed over."""
        self._write(stream, status, b"", ())

    def _write(self, stream: int, status: int, body: bytes, headers: Iterable[Field]) -> None:
        if self._h3 is None:
            return
        self._answered = True
        try:
            self._h3.send_headers(stream, answer_head(status, len(body), headers), end_stream=not body)
            if body:
                self._h3.send_data(stream, body, end_stream=True)
        except (*FAILED, H3Error):
            pass  # the client has closed the stream or the connection: its event is on the way

    def _reset(self, stream: int, code: int) -> None:
        try:
            self._quic.reset_stream(stream, code)
        except FAILED:
            pass  # it is over on this side already

    def _stop(self, stream: int, code: int) -> None:
        try:
            self._quic.stop_stream(stream, code)
        except FAILED:
            pass  # all of it has come already

    # ------------------------------------------------------------------------------------------------- end

    def sweep(self, now: float) -> Iterator[Event]:
        """End streams that are not whole in time, and a connection whose client lets no answer out."""
        yield from self._do(self.streams.sweep(now))
        unread = self._undelivered()
        if not unread or unread < self._unread:
            self._unread_since = None
        elif self._unread_since is None:
            self._unread_since = now
        self._unread = unread
        stuck = self._unread_since is not None and now - self._unread_since > UNREAD_S
        if not self.over and (unread > MOST_UNREAD or stuck):
            yield from self.close(EXCESSIVE_LOAD)

    def drain(self) -> None:
        """GOAWAY: what was begun is answered, nothing further is taken (RFC 9114, section 5.2)."""
        if self.leaving or self.over:
            return
        self.leaving, limit = True, self.streams.drain()
        if self._h3 is not None and self._h3._local_control_stream_id is not None:
            frame = encode_frame(FrameType.GOAWAY, encode_uint_var(limit))
            try:
                self._quic.send_stream_data(self._h3._local_control_stream_id, frame)
            except FAILED:
                pass  # it has ended: its event is on the way

    def idle(self) -> bool:
        """Whether nothing is owed here and the client has all that was said."""
        return not self.streams.open() and not self._undelivered()

    def _undelivered(self) -> int:
        """Bytes that wait to be sent, and those of answers that the client has not acknowledged."""
        unsent: int = self._quic.get_send_buffer_size()
        core = self._quic._core
        in_flight: int = core.bytes_in_flight if self._answered and core is not None else 0
        self._answered = self._answered and unsent + in_flight > 0
        return unsent + in_flight

    def close(self, code: int = NO_ERROR) -> Iterator[Event]:
        """End the connection."""
        if not self.over:
            self._quic.close(error_code=code)
            yield from self.lost()

    def lost(self) -> Iterator[Event]:
        """All that was on it is over."""
        if not self.over:
            self.over = True
            yield from self.streams.lost()
            yield Ended()


def settings() -> QuicConfiguration:
    """How clients are met, but for the certificate."""
    return QuicConfiguration(
        is_client=False,
        alpn_protocols=["h3"],
        idle_timeout=IDLE_S,
        max_data=8 * (HEAD_LIMIT + BODY_LIMIT),
        max_stream_data=2 * (HEAD_LIMIT + BODY_LIMIT),
        max_datagram_frame_size=65536,  # the library's own HTTP/3 settings say that datagrams are taken
    )
