"""Whole HTTP/1.1 answers from bytes, within a bound. Shared by the server side and discovery."""

from __future__ import annotations

import httptools

from cloverhold.net.messages import ANSWER_LIMIT, HEAD_LIMIT, HOP_BY_HOP, Response


class BadMessage(Exception):
    """What came is no answer that could be used."""


class ResponseParser:
    """Reads one answer. An answer whose end only a close would show is never whole: it may be cut short."""

    def __init__(self, body_limit: int = ANSWER_LIMIT) -> None:
        self._limit = body_limit
        self._parser = httptools.HttpResponseParser(self)
        self._current = Response()
        self._body = bytearray()
        self._bytes = 0
        self._in_head = True
        self._whole: Response | None = None

    def feed(self, data: bytes) -> Response | None:
        """The answer once it is whole; BadMessage if it can never be."""
        self._bytes += len(data)
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

    def on_message_begin(self) -> None:
        if self._whole is not None:
            self._whole.keep_alive = False  # more than was asked for
        self._current = Response()
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        self._current.fields.setdefault(lower, value)
        if lower not in HOP_BY_HOP:
            self._current.passed.append((name, value))

    def on_headers_complete(self) -> None:
        self._current.status = self._parser.get_status_code()
        self._in_head = False
        length = self._current.header(b"content-length")
        if length.isdigit() and int(length) > self._limit:
            raise BadMessage("body too large")

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limit:
            raise BadMessage("body too large")

    def on_message_complete(self) -> None:
        if self._whole is not None:
            return
        if self._current.status < 200:  # 1xx come ahead of the answer
            self._in_head = True
            return
        self._whole = self._current
        self._whole.body, self._body = bytes(self._body), bytearray()
        self._current = Response()
        self._whole.keep_alive = self._parser.should_keep_alive()
