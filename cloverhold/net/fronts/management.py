"""The operators' own address: HTTP/1.1, one call to a connection, the answer whole and closed.

Descriptors for it are set aside (cloverhold/limits.py): clients cannot take them. Callers that say nothing are
bounded in number, the oldest giving way, and in time.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from cloverhold.net.fronts.acceptor import Acceptor
from cloverhold.net.telemetry import Telemetry

log = logging.getLogger(__name__)

MOST = 16  # callers at once
BACKLOG = 128  # calls that wait to be accepted
CALL_LIMIT = 8 * 1024  # bytes of a call, with its body
PATIENCE_S = 2.5  # a call is whole by then

# What a call does: whether the answer is yes, or what it is, in JSON.
Calls = dict[bytes, tuple[bytes, Callable[[], bool | bytes]]]  # by path: its method, and what it does


class Caller(asyncio.Protocol):
    """One connection, and the one call on it."""

    def __init__(self, front: ManagementFront) -> None:
        self.front = front
        self.transport: asyncio.Transport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.method = self.target = b""
        self.got = 0
        self.whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.timer = asyncio.get_running_loop().call_later(PATIENCE_S, self.answer, 408)
        self.front.made(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.front.callers.pop(self, None)
        del self.parser  # which holds this object in turn

    def data_received(self, data: bytes) -> None:
        if self.whole:
            return  # one call to a connection
        self.got += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.whole:
                self.answer(400)
                return
        if self.whole:
            self.answer(*self.front.call(self.method, self.target.partition(b"?")[0]))
        elif self.got > CALL_LIMIT:
            self.answer(431)

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_message_complete(self) -> None:
        if not self.whole:
            self.method, self.whole = self.parser.get_method(), True

    def answer(self, status: int, told: bytes | None = None) -> None:
        """The one answer, and the end; told: its body, in JSON."""
        if self.transport is None or self.transport.is_closing():
            return
        self.whole = True
        phrase = HTTPStatus(status).phrase.encode()
        whole = told if told is not None else phrase + b"\n"
        kind = b"text/plain" if told is None else b"application/json"
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
            % (status, phrase, kind, len(whole), b"" if self.method == b"HEAD" else whole)
        )
        self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class ManagementFront:
    """The listening socket of the operators and their calls."""

    def __init__(self, calls: Calls, telemetry: Telemetry | None = None) -> None:
        self.calls = calls
        self.callers: dict[Caller, None] = {}  # the oldest first
        self.telemetry = telemetry if telemetry is not None else Telemetry()
        self.acceptor: Acceptor | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Listen; OSError where that cannot be."""
        listening = socket.create_server(address, backlog=BACKLOG)
        listening.setblocking(False)
        self.acceptor = Acceptor(listening, lambda: Caller(self), self._abort_oldest, self.telemetry)
        self.acceptor.start()

    def port(self) -> int:
        """Where it listens; 0 until it does."""
        return self.acceptor.port if self.acceptor is not None else 0

    def made(self, caller: Caller) -> None:
        """Guards against callers that hold a connection and say nothing: the next call is never behind them."""
        self.callers[caller] = None
        if len(self.callers) > MOST:
            self._abort_oldest()

    def _abort_oldest(self) -> None:
        if self.callers:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.abort()

    def call(self, method: bytes, path: bytes) -> tuple[int, bytes | None]:
        """Carry out a whole call; its status, and its body where it has one of its own."""
        known = self.calls.get(path)
        if known is None:
            return 404, None
        if method != known[0]:
            return 405, None
        yes = known[1]()
        if isinstance(yes, bytes):
            return 200, yes
        if method != b"GET":
            log.info("management: %s: %s", path.decode("latin-1"), "yes" if yes else "no")
        return 200 if yes else 503, None

    def close(self) -> None:
        if self.acceptor is not None:
            self.acceptor.close()
        for caller in list(self.callers):
            caller.abort()
