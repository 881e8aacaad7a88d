"""HTTP/1.1 answers from bytes: whole within a bound, or in pieces. Shared by the server side and discovery."""

from __future__ import annotations

import httptools

from cloverhold.bodies.budget import FIELD_COST_BYTES
from cloverhold.net.messages import (
    ANSWER_LIMIT, BODY_LIMIT, FIELDS_LIMIT, HEAD_LIMIT, HOP_BY_HOP, LENGTH_LIMIT, Response,
)  # fmt: skip


class BadMessage(Exception):
    """What came is no answer that could be used."""


class ResponseParser:
    """Reads one answer.

    passes: whether a long one of status 200 may be passed on in pieces, from `pass_on` on; else it is held whole.
    """

    def __init__(self, body_limit: int = ANSWER_LIMIT, *, passes: bool = False) -> None:
        self._limit, self._passes = body_limit, passes
        self._streamed: bytearray | None = None  # what is not handed out yet, once it is passed on
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._current = Response()
        self._body = bytearray()
        self._bytes = 0
        self._field_count = 0  # of all heads, and of trailers
        self._in_head = True
        self._whole: Response | None = None

    def feed(self, data: bytes) -> Response | None:
        """The answer once it is whole; BadMessage if it can never be."""
        self._bytes += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if self._whole is None:
                raise BadMessage(str(error)) from None
            self._whole.keep_alive = False  # noise behind a whole answer: the connection is of no further use
        # All that comes counts, also answers of 1xx ahead and the framing of chunks, which may never end.
        if self._whole is None and self._bytes > HEAD_LIMIT + (0 if self._in_head else 4 * self._limit):
            raise BadMessage("answer too large")
        # Not kept: the C parser and this object hold each other until a late collection, an idle connection
        # holds this one, and with answers of 400 KB that was most of the memory.
        whole, self._whole = self._whole, None
        return whole

    def release(self) -> None:
        """Let go of the parser, which holds this object in turn, and of what came: no collection is waited for."""
        self._parser = None
        self._current, self._body, self._streamed, self._whole = Response(), bytearray(), None, None

    def finish(self) -> Response | None:
        """The connection has ended cleanly: the answer, if that is what ends it (RFC 9112, section 6.3, rule 8)."""
        told = self._current.fields.keys() & {b"content-length", b"transfer-encoding"}
        if self._in_head or told or self._current.status < 200:
            return None
        self.on_message_complete()
        whole, self._whole = self._whole, None
        if whole is not None:
            whole.keep_alive = False
        return whole

    def held_bytes(self) -> int:
        """What it costs to hold what has come of the answer."""
        return len(self._body) + self._field_count * FIELD_COST_BYTES + min(self._bytes, HEAD_LIMIT)

    def body_bytes(self) -> int:
        """Bytes of the body that are held."""
        return len(self._body)

    def has_begun(self) -> bool:
        """Whether some of the body has come of an answer that may be passed on."""
        return bool(self._body) and self._passed()

    def unbounded(self) -> bool:
        """Whether some of a body has come whose length is not told."""
        return self.has_begun() and self._current.length() is None

    def long(self) -> bool:
        """Whether so much of an answer has come, or is to come, that it should be passed on."""
        most = max(len(self._body), self._current.length() or 0)
        return self.has_begun() and most > BODY_LIMIT

    def _passed(self) -> bool:
        return self._passes and self._streamed is None and not self._in_head and self._current.status == 200

    def pass_on(self) -> Response:
        """From here on in pieces; the first is what has come. The answer's head."""
        self._streamed, self._body = self._body, bytearray()
        return self._current

    def take(self) -> bytes:
        """What has come since, in one piece, in however small chunks it came."""
        taken, self._streamed = self._streamed or bytearray(), bytearray()
        return bytes(taken)

    def on_message_begin(self) -> None:
        if self._whole is not None:
            self._whole.keep_alive = False  # more than was asked for
        self._current = Response()
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._field_count += 1
        if self._field_count > FIELDS_LIMIT:
            raise BadMessage("too many fields")
        lower, value = name.lower(), value.strip(b" \t")
        self._current.fields.setdefault(lower, value)
        if lower not in HOP_BY_HOP:
            self._current.passed.append((name, value))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._current.status = self._parser.get_status_code()
        self._in_head = False
        limit = LENGTH_LIMIT if self._passes and self._current.status == 200 else self._limit
        if (self._current.length() or 0) > limit:
            raise BadMessage("body too large")

    def on_body(self, data: bytes) -> None:
        if self._whole is not None:
            return  # of more than was asked for
        if self._streamed is not None:
            self._streamed += data
            self._bytes = 0  # what comes between two pieces is bounded
            return
        self._body += data
        if len(self._body) > self._limit:
            raise BadMessage("body too large")

    def on_message_complete(self) -> None:
        if self._whole is not None or self._parser is None:
            return
        if self._current.status < 200:  # 1xx come ahead of the answer
            self._in_head = True
            return
        self._whole = self._current
        self._whole.body, self._body = bytes(self._body), bytearray()
        self._current = Response()
        self._whole.keep_alive = self._parser.should_keep_alive()
