"""Requests from the bytes of one connection (HTTP/1.1), as they come."""

from __future__ import annotations

import time
from collections.abc import Callable

import httptools

from cloverhold.bodies.budget import Budget
from cloverhold.bodies.upload import Upload
from cloverhold.net.exchange import ONCE, BadRequest, Incoming
from cloverhold.net.messages import FIELDS_LIMIT, HEAD_LIMIT, HOP_BY_HOP, LENGTH_LIMIT

SMALL = 16 * 1024  # a body up to this size is no matter of the budget
FRAMING = (b"content-length", b"transfer-encoding", b"expect", b"x-budget")  # told of a request that is refused
SHORT_TARGET_BYTES = 16  # of a request that is refused: a health check is known by it
BETWEEN_LIMIT = 2 * HEAD_LIMIT  # of what frames a body, or comes behind it, between two pieces


def _nothing() -> None:
    """Told to nobody."""


def _nobody(request: Incoming) -> None:
    """Nobody waits for a request any more."""


def _never(count: int) -> bool:
    """Nothing more is held."""
    return False


class RequestReader:
    """Reads the requests of one connection; the one that comes stands in `incoming`."""

    def __init__(
        self,
        budget: Budget,
        room: Callable[[], None],
        completed: Callable[[Incoming], None],
        may_hold: Callable[[int], bool],
    ) -> None:
        """room: told where a body that was held up may be read on; completed: told of each request that is whole;
        may_hold: whether a request of which so much is held may go on to be held.
        """
        self._budget, self._room, self._completed, self._may_hold = budget, room, completed, may_hold
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._declining = False  # whether the head that is parsed is our own, behind an offer of another protocol
        self.broken: BadRequest | None = None  # answered behind what came before it; then the end
        self.incoming = Incoming()
        self.body = bytearray()
        self.shed_bytes = 0  # dropped of the request that comes
        self.between = 0  # bytes since the message began, or since the last piece of its body
        self.in_head = True
        self.in_message = False  # whether a request has begun to come, and is not whole
        self.expects = False  # whether the client waits to be told to go on (RFC 9110, section 10.1.1)
        # When the request that is awaited or half here began to be; None where the last one came whole.
        self.begun: float | None = time.monotonic()

    def feed(self, data: bytes | memoryview) -> None:
        """Take what has come."""
        self.between += len(data)
        try:
            self._parse(memoryview(data))
        except httptools.HttpParserError as error:
            self.broken = self.broken or BadRequest(400, str(error))
            self.broken.__traceback__ = None  # its frames hold this object, which would wait for a collection
        self._hand_on_body()
        if self.broken is None and self.between > (HEAD_LIMIT if self.in_head else BETWEEN_LIMIT):
            self.broken = BadRequest(431 if self.in_head else 413, "request too large")
        if self.broken is not None:
            if self.in_head:  # else it may have been begun, and is held by whoever owes its answer
                self._shed()
            if self.begun is None:
                self.begun = time.monotonic()

    def _parse(self, data: memoryview) -> None:
        """Parse it all. A request that offers another protocol is served as if it did not (RFC 9110, section 7.8): its
        body and the requests behind it are HTTP/1.1 as before, where the parser would go on to the other protocol.
        """
        while data and self._parser is not None:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                data = data[offer.args[0] :]
                self._decline_upgrade()

    def _decline_upgrade(self) -> None:
        """Read on with a parser that has had a head of the same framing, and no offer in it."""
        self._parser, self._declining = httptools.HttpRequestParser(self), True
        head = b"POST / HTTP/1.1\r\n"
        for name in (b"transfer-encoding", b"content-length"):
            if name in self.incoming.fields:
                head += name + b": " + self.incoming.fields[name] + b"\r\n"
        self._parser.feed_data(head + b"\r\n")

    def unfinished(self) -> bool:
        """Whether a request is half here."""
        return self.begun is not None and (self.between > 0 or self.in_message)

    def body_bytes(self) -> int:
        """Bytes of the incoming request's body so far."""
        upload = self.incoming.upload
        return (upload.size if upload is not None else 0) + len(self.body)

    def bytes_left(self) -> int | None:
        """Of the body that comes; None where only its end will show."""
        length = self._length()
        return None if length is None else length - self.body_bytes()

    def held_bytes(self) -> int:
        """What it costs to hold the request that comes; an upload counts itself."""
        return self.incoming.held_bytes() + len(self.body)

    def release(self) -> None:
        """Let go of the parser and the owner, which hold this object in turn, and of what came: no collection is waited
        for.
        """
        self._parser = None
        self._room, self._completed, self._may_hold = _nothing, _nobody, _never
        self.incoming, self.body = Incoming(), bytearray()

    def fail(self, status: int, why: str) -> None:
        """Break off from inside a callback; the parser wraps what is raised in an error of its own."""
        self.broken = BadRequest(status, why)
        raise self.broken

    def on_message_begin(self) -> None:
        if self._declining:
            return
        self.incoming, self.body, self.in_head = Incoming(whole=False), bytearray(), True
        self.in_message = True
        if self.begun is None:
            self.begun = time.monotonic()

    def on_url(self, url: bytes) -> None:
        if not self._declining:
            self.incoming.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            return  # of our own head, or a trailer: what the head did not say must not come in behind the body
        if self.incoming.shed and name.lower() not in FRAMING:
            self._count_shed(len(name) + len(value))
            return
        lower, value = name.lower(), value.strip(b" \t")  # what stands round a value is not of it (RFC 9110, 5.5)
        if lower in ONCE and lower in self.incoming.fields:
            self.fail(400, f"{lower.decode('latin-1')} is given twice")
        self.incoming.fields[lower] = value
        self.incoming.head_bytes += len(name) + len(value)
        self.incoming.field_count += 1
        if self.incoming.head_bytes > HEAD_LIMIT or self.incoming.field_count > FIELDS_LIMIT:
            self.fail(431, "head too large")
        if lower not in HOP_BY_HOP and lower != b"x-budget":  # that one is told anew
            self.incoming.passed.append((name, value))
        if not self._may_hold(self.incoming.held_bytes()):
            self._shed()

    def _count_shed(self, count: int) -> None:
        """So much more of a request that is refused was dropped; a long one is refused before it is whole."""
        self.shed_bytes += count
        if self.shed_bytes > HEAD_LIMIT:
            self.fail(503, "no room for a request")

    def _shed(self) -> None:
        """Hold nothing of this request but what frames it: there is no memory, and it will be refused."""
        incoming = self.incoming
        incoming.shed = True
        incoming.fields = {name: value for name, value in incoming.fields.items() if name in FRAMING}
        incoming.passed, incoming.head_bytes, incoming.field_count = [], 0, 0
        self.shed_bytes = 0

    def on_headers_complete(self) -> None:
        if self._declining:
            self._declining = False
            return
        self.in_head = False
        incoming, parser = self.incoming, self._parser
        assert parser is not None
        incoming.method = parser.get_method()
        incoming.http10 = parser.get_http_version() == "1.0"
        incoming.keep_alive = parser.should_keep_alive()
        if (length := self._length()) is not None and length > LENGTH_LIMIT:
            self.fail(413, "body too large")
        self.expects = incoming.fields.get(b"expect", b"").lower() == b"100-continue" and not incoming.http10

    def _length(self) -> int | None:
        text = self.incoming.fields.get(b"content-length", b"")
        return int(text) if text.isdigit() else None

    def on_body(self, data: bytes) -> None:
        self.between, self.expects = 0, False
        if self.incoming.shed:
            self._count_shed(len(data))
            return
        self.body += data

    def _hand_on_body(self) -> None:
        """Hand on what has come of a long body: once for each read, in however small chunks it came."""
        upload = self.incoming.upload
        if upload is None and len(self.body) > SMALL:
            self.stream_body()
        elif upload is not None and self.body:
            data, self.body = self.body, bytearray()
            upload.add(data)

    def stream_body(self) -> None:
        """Make the body that comes one that may go on before it is whole."""
        upload = self.incoming.upload = Upload(self._budget, self._length())
        upload.room = self._room
        data, self.body = self.body, bytearray()
        upload.add(data)

    def on_message_complete(self) -> None:
        incoming, parser = self.incoming, self._parser
        assert parser is not None
        if parser.should_upgrade():
            return  # the parser's own view: the body is still to come
        self.expects = False
        incoming.keep_alive = incoming.keep_alive and parser.should_keep_alive()
        incoming.came_at, incoming.whole = time.monotonic(), True
        self.in_head, self.in_message, self.between, self.begun = True, False, 0, None
        self._hand_on_body()
        if incoming.upload is None:
            incoming.body, self.body = bytes(self.body), bytearray()
        if incoming.shed:
            incoming.fields = {}
            incoming.target = incoming.target if len(incoming.target) <= SHORT_TARGET_BYTES else b""
        self._completed(incoming)
        self.incoming = Incoming()  # an idle connection does not hold its last request
