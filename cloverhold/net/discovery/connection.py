"""One kept connection to discovery, and the calls on it, one at a time."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

from cloverhold.net.discovery.server_list import ListError
from cloverhold.net.http1 import BadMessage, ResponseParser
from cloverhold.net.messages import Response
from cloverhold.net.upstreams.calls import Address

LIST_LIMIT = 4 * 1024 * 1024
READ_BYTES = 64 * 1024


class ConnectionEnded(ListError):
    """The connection ended within an answer, or before it."""


class Refused(ListError):
    """Discovery answered a call with a status of failure."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class Connection:
    """One connection to discovery, made by its first call."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.begun_at_s = time.monotonic()
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def is_open(self) -> bool:
        """Whether a further call can be made on it."""
        return self.writer is not None and not self.writer.is_closing()

    async def get(self, target: str, progressed: Callable[[], None]) -> object:
        """The JSON of one answer, however long that takes; ListError or OSError, and the connection is closed then.

        progressed: called whenever bytes of the answer have come.
        """
        try:
            response = await self._response(target, progressed)
        except BaseException:
            self.close()
            raise
        if not response.keep_alive:
            self.close()
        if response.status != 200:
            raise Refused(response.status)
        return _json(response.body)

    async def _response(self, target: str, progressed: Callable[[], None]) -> Response:
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        host = f"{self.address[0]}:{self.address[1]}"
        self.writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        parser = ResponseParser(LIST_LIMIT)
        try:
            return await self._read(self.reader, parser, progressed)
        finally:
            parser.release()

    @staticmethod
    async def _read(reader: asyncio.StreamReader, parser: ResponseParser, progressed: Callable[[], None]) -> Response:
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                return _ended_by_close(parser)
            progressed()
            try:
                response = parser.feed(data)
            except BadMessage as error:
                raise ListError(str(error)) from None
            if response is not None:
                return response

    def close(self) -> None:
        """End it, whatever is on its way."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def _ended_by_close(parser: ResponseParser) -> Response:
    """An answer without a length is whole at the end of its connection."""
    response = parser.finish()
    if response is None:
        raise ConnectionEnded("the connection ended")
    return response


def _json(text: bytes) -> object:
    try:
        value: object = json.loads(text)
    except (ValueError, RecursionError):  # the latter where brackets are nested without end
        raise ListError("not JSON") from None
    return value
