"""Clients that read nothing for some seconds behind the head of a long answer, and the server that answers them."""

from __future__ import annotations

import asyncio
import re
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from loopback import Listening, request

# Segments as on an Ethernet link and a small receive queue: less of an answer lies in the client's kernel.
SEGMENT_BYTES, RECEIVE_QUEUE_BYTES = 1448, 16 * 1024
MARK = b"\x01"  # bodies of long answers hold nothing else, and heads hold none
READ_TIMEOUT_S = 10.0


class LongAnswers(Listening):
    """A server that answers as many bytes as a request asks for, whole and at once but for the last few."""

    def __init__(self, *, chunked: bool = False, last_bytes: int = 0, last_after_s: float = 0.0) -> None:
        super().__init__()
        self.chunked, self.last_bytes, self.last_after_s = chunked, last_bytes, last_after_s

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Answer; a request that asks for nothing gets an empty body."""
        asked = re.search(rb"size=(\d+)", head)
        size = int(asked[1]) if asked is not None else 0
        first = size - self.last_bytes if size else 0
        if self.chunked and size:
            writer.write(b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (first, MARK * first))
        else:
            writer.write(b"HTTP/1.1 200 -\r\nContent-Length: %d\r\n\r\n%s" % (size, MARK * first))
        if size and self.last_bytes:
            await asyncio.sleep(self.last_after_s)
            last = MARK * self.last_bytes
            writer.write(b"%x\r\n%s\r\n" % (len(last), last) if self.chunked else last)
        if self.chunked and size:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


@dataclass(frozen=True)
class PausingReader:
    """One client with one long answer."""

    size: int
    pause_s: float
    fields: str = ""
    http10: bool = False
    pipelined: bool = False  # whether a further request is written behind the first one at once
    further_after_s: float | None = None  # a further request is written so long into the pause

    def _request(self, number: str, fields: str = "") -> bytes:
        raw = request(number=number, extra=fields)
        return raw.replace(b"HTTP/1.1", b"HTTP/1.0") if self.http10 else raw

    @asynccontextmanager
    async def _asked(self, port: int) -> AsyncIterator[socket.socket]:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_QUEUE_BYTES)
            sock.connect(("127.0.0.1", port))
            sock.setblocking(False)
            raw = self._request(f"long{self.size}", f"X-Call-Info: size={self.size}\r\n{self.fields}")
            if self.pipelined:
                raw += self._request(f"behind{self.size}")
            await loop.sock_sendall(sock, raw)
            yield sock

    async def lost_bytes(self, port: int) -> int:
        """How many bytes of its answer the client lacks in the end."""
        async with self._asked(port) as sock:
            got = await self._read(sock, 0, until_head=True)
            await self._pause(sock)
            return self.size - await self._read(sock, got, until_head=False)

    async def rest_s(self, port: int) -> float:
        """How long the connection is left open once the client has its answer."""
        async with self._asked(port) as sock:
            got = await self._read(sock, 0, until_head=True)
            await asyncio.sleep(self.pause_s)
            assert await self._read(sock, got, until_head=False) == self.size
            had_all_at = time.monotonic()
            assert not await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 1), READ_TIMEOUT_S)
            return time.monotonic() - had_all_at

    async def _pause(self, sock: socket.socket) -> None:
        before_s = self.further_after_s if self.further_after_s is not None else self.pause_s
        await asyncio.sleep(before_s)
        if self.further_after_s is not None:
            try:
                await asyncio.get_running_loop().sock_sendall(sock, self._request(f"further{self.size}"))
            except OSError:
                pass  # the connection has ended: what came before must be there all the same
        await asyncio.sleep(self.pause_s - before_s)

    async def _read(self, sock: socket.socket, got: int, *, until_head: bool) -> int:
        """Read to the end of the head, or of the answer; how many bytes of its body are here."""
        loop, head = asyncio.get_running_loop(), b""
        while got < self.size and not (until_head and b"\r\n\r\n" in head):
            try:
                data = await asyncio.wait_for(loop.sock_recv(sock, 4096 if until_head else 65536), READ_TIMEOUT_S)
            except OSError:  # also where it waits in vain
                return got
            if not data:
                return got
            got += data.count(MARK)
            head += data if until_head else b""
        return got
