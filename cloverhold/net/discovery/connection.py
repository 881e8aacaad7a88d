"""One kept connection to discovery, and the calls on it."""

from __future__ import annotations

import asyncio
import json
import time

from cloverhold.net.discovery.server_list import ListError
from cloverhold.net.http1 import BadMessage, ResponseParser
from cloverhold.net.upstreams.calls import Address

LIST_LIMIT = 4 * 1024 * 1024
LATE_S, LATE_TIMES = 0.05, 5  # a loop that is later than this may have an answer that it has not read


class Silent(ListError):
    """Discovery did not answer a call in its time."""


class Refused(ListError):
    """Discovery answered a call with a status of failure."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class Connection:
    """One kept connection to discovery."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def get(self, target: str, timeout_s: float) -> object:
        """The JSON of one answer; raises ListError or OSError, and has then closed the connection."""
        answer = asyncio.ensure_future(self._get(target))
        due = time.monotonic() + timeout_s
        try:
            for _ in range(LATE_TIMES):
                await asyncio.wait({answer}, timeout=max(0.0, due - time.monotonic()))
                late = time.monotonic() - due
                if answer.done() or late < LATE_S:
                    break
                due += late + LATE_S  # the loop is late, and not discovery: what has come is read first
            if not answer.done():
                raise Silent("no answer in time")
            return answer.result()
        except (OSError, ListError):
            self.close()
            raise
        finally:
            answer.cancel()

    async def _get(self, target: str) -> object:
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        host = f"{self.address[0]}:{self.address[1]}"
        self.writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        parser, response = ResponseParser(LIST_LIMIT), None
        while response is None:
            data = await self.reader.read(64 * 1024)
            if not data:
                raise ListError("the connection ended")
            try:
                response = parser.feed(data)
            except BadMessage as error:
                raise ListError(str(error)) from None
        if not response.keep_alive:
            self.close()
        if response.status != 200:
            raise Refused(response.status)
        try:
            value: object = json.loads(response.body)
        except (ValueError, RecursionError):  # the latter where brackets are nested without end
            raise ListError("not JSON") from None
        return value

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
