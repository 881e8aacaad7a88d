"""A client and the server's side of one connection in memory, with what lies between in the test's hands."""

from __future__ import annotations

import random
import ssl
from collections.abc import Callable
from pathlib import Path

from qh3.h3.connection import H3Connection
from qh3.quic.configuration import QuicConfiguration
from qh3.quic.connection import QuicConnection, QuicConnectionError
from qh3.quic.events import HandshakeCompleted

from cloverhold import ClassSettings, Repeat
from cloverhold.h3.keys import Keys
from cloverhold.h3.session import Event, Session, settings
from cloverhold.h3.streams import Budget, Gone, Take
from peers import certificate, head

CLIENT, SERVER = ("127.0.0.1", 1111), ("127.0.0.1", 2222)
CLASSES = {c.name: c for c in (
    ClassSettings("consulta", 400, 800, Repeat.SAFE), ClassSettings("alerta", 400, 800, Repeat.UNSAFE),
)}  # fmt: skip
Between = Callable[[bytes], list[bytes]]


class Bench:
    """What all pairs have in common."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.keys, self.budget = folder, Keys([b"k" * 32]), Budget(1000, 1_000_000)
        self.configuration = settings()
        self.configuration.load_cert_chain(*certificate(folder))

    def pair(self) -> Pair:
        return Pair(self)


class Pair:
    """One connection. Requests that come whole are answered at once."""

    def __init__(self, bench: Bench) -> None:
        self.now, self.seen = 0.0, list[Event]()
        configuration = QuicConfiguration(
            is_client=True, alpn_protocols=["h3"], server_name="localhost", verify_mode=ssl.CERT_NONE
        )
        self.client = QuicConnection(configuration=configuration)
        self.client.connect(SERVER, self.now)
        self.h3, self.client_ready = H3Connection(self.client), False
        asked = self.client.original_destination_connection_id
        self.session = Session(
            bench.configuration, bench.keys, CLASSES, 32, bench.budget, asked_cid=asked, retry_cid=None, early=True
        )

    def ask(self, name: str, number: str) -> None:
        self.h3.send_headers(self.client.get_next_available_stream_id(), head(name, number), end_stream=True)

    def raw(self, stream: int, data: bytes, *, end: bool) -> None:
        """Bytes on a stream of the client's choosing."""
        try:
            self.client.send_stream_data(stream, data, end)
        except (QuicConnectionError, ValueError):
            pass  # the client's own library would not send that

    def turn(self, between: Between) -> None:
        """All that either side has to say, until neither has; what the client sends goes through `between`."""
        for _ in range(20):
            self.now += 0.01
            if self.client.get_timer() is not None and self.client.get_timer() <= self.now:
                self.client.handle_timer(self.now)
            if (due := self.session.due(self.now)) is not None and due <= self.now:
                self._server(list(self.session.timer(self.now)))
            moved = False
            for data, _ in self.client.datagrams_to_send(self.now):
                moved = True
                for said in between(data):
                    self._server(list(self.session.receive(said, CLIENT, self.now)))
            datagrams, events = self.session.datagrams(self.now)
            self._server(list(events))
            for data, _ in datagrams:
                moved = True
                self.client.receive_datagram(data, SERVER, self.now)
            while (event := self.client.next_event()) is not None:
                self.client_ready |= isinstance(event, HandshakeCompleted)
                self.h3.handle_event(event)
            if not moved:
                return

    def sweep(self) -> None:
        self._server(list(self.session.sweep(self.now)))

    def _server(self, events: list[Event]) -> None:
        self.seen.extend(events)
        for event in events:
            if isinstance(event, Take):
                self.session.answer(event.stream, 200, b"ok", ())
            assert not isinstance(event, Gone) or event.stream in {e.stream for e in self.seen if isinstance(e, Take)}


def spoil(data: bytes, source: random.Random) -> list[bytes]:
    """A datagram as it is, or with bits turned, cut, lengthened, doubled, lost, or with noise beside it."""
    match source.randrange(8):
        case 0:
            at = source.randrange(len(data))
            return [data[:at] + bytes([data[at] ^ 1 << source.randrange(8)]) + data[at + 1 :]]
        case 1:
            return [data[: source.randrange(len(data))]]
        case 2:
            return [data + source.randbytes(source.randrange(1, 60))]
        case 3:
            return [data, data]
        case 4:
            return []
        case 5:
            return [data, source.randbytes(source.randrange(1, 1300))]
        case _:
            return [data]


def broken_frames(source: random.Random) -> bytes:
    """Frames of HTTP/3 with types, lengths and contents by chance, among them some that could be right."""
    out = bytearray(source.choice((b"", b"\x00", b"\x02", b"\x03", b"\x01", b"\x41\x00")))
    for _ in range(source.randrange(1, 5)):
        content = source.choice((
            b"", b"\x00\x00\xd1\xd7", b"\x00\x00\x51\x01/\xd1\xd7\x50\x03api", source.randbytes(source.randrange(40)),
            b"\x02\x00\x80", b"\xff" * 20, b"\x00\x00" + b"\x2f" + b"\xff" * 9 + b"\x01",
        ))  # fmt: skip
        kind = source.choice((0x00, 0x01, 0x03, 0x04, 0x05, 0x07, 0x0D, 0x21, source.randrange(64)))
        length = len(content) if source.random() < 0.7 else source.randrange(64)
        out += bytes([kind, length]) + content
    return bytes(out)
