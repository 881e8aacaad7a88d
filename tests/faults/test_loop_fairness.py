"""No connection holds the event loop: what is done for one in a turn is bounded, in chunks of any size."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import pytest

from cloverhold.bodies.upload import Upload
from cloverhold.net.fronts.http1 import ClientConnection
from cloverhold.bodies.budget import MOST_ALLOWANCE_BYTES
from cloverhold.net.fronts import read_flow
from cloverhold.net.upstreams.http1 import Connection
from loopback import OK, Scripted, Server, body_of, play, read_answer, request, running, until

BODY = bytes(range(256)) * 4096  # 1 MiB


class LoopTurns:
    """Counts the turns of the running loop, and what happened in each."""

    def __init__(self) -> None:
        self.turn, self.happened = 0, Counter[int]()
        self._next()

    def _next(self) -> None:
        self.turn += 1
        asyncio.get_running_loop().call_soon(self._next)

    def note(self) -> None:
        """Something happens in this turn."""
        self.happened[self.turn] += 1

    def most(self) -> int:
        """What happened most often in one turn."""
        return max(self.happened.values())


def in_chunks(data: bytes, size: int) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (size, data[at : at + size]) for at in range(0, len(data), size)) + b"0\r\n\r\n"


@pytest.mark.parametrize("size", [1, 8, 64 * 1024])
def test_long_body_in_small_chunks_takes_one_read_and_one_write_a_turn(
    monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    """8 MiB in chunks of 8 bytes held all others up for 16 s: a system call a chunk, 8 MB of them in a turn."""
    raw = request("alerta", extra="Transfer-Encoding: chunked\r\n").replace(b"Content-Length: 0\r\n", b"")
    raw += in_chunks(BODY, size)

    async def test() -> None:
        bodies = list[bytes]()
        turns, reads, writes = LoopTurns(), list[int](), Counter[str]()
        updated, add = ClientConnection.buffer_updated, Upload.add

        def buffer_updated(self: ClientConnection, nbytes: int) -> None:
            turns.note()
            reads.append(nbytes)
            updated(self, nbytes)

        def counted_add(self: Upload, data: bytes) -> None:
            writes["add"] += 1
            add(self, data)

        async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            bodies.append(await body_of(head, reader))
            writer.write(OK)

        monkeypatch.setattr(ClientConnection, "buffer_updated", buffer_updated)
        monkeypatch.setattr(Upload, "add", counted_add)
        async with running(Scripted(script)) as node:
            reader, writer = await node.connect()
            writer.write(raw)
            assert (await read_answer(reader)).status == 200 and bodies == [BODY]
            writer.close()
        assert max(reads) <= MOST_ALLOWANCE_BYTES and turns.most() == 1
        assert 0 < writes["add"] <= len(reads)

    play(test)


@pytest.mark.parametrize("size", [1, 8, 64 * 1024])
def test_long_answer_in_small_chunks_takes_one_write_for_each_read(monkeypatch: pytest.MonkeyPatch, size: int) -> None:
    """Twenty answers of 1 MiB in chunks of 1 byte held all others up for 2.6 s: a write a chunk."""
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + in_chunks(BODY, size)

    async def test() -> None:
        turns, writes = LoopTurns(), Counter[str]()
        readable, write_chunk = Connection._readable, ClientConnection.write_chunk

        def counted_readable(self: Connection) -> None:
            turns.note()
            readable(self)

        def counted_write(self: ClientConnection, *args: object) -> bool:
            writes["chunk"] += 1
            return write_chunk(self, *args)  # type: ignore[arg-type]

        monkeypatch.setattr(Connection, "_readable", counted_readable)
        monkeypatch.setattr(ClientConnection, "write_chunk", counted_write)
        async with running(Server(lambda target, body: answer), probes=False) as node:
            reader, writer = await node.connect()
            writer.write(request(extra="Connection: close\r\n"))
            head = await reader.readuntil(b"\r\n\r\n")
            assert await body_of(head, reader) == BODY
            writer.close()
        assert turns.most() == 1
        assert 0 < writes["chunk"] <= sum(turns.happened.values())

    play(test)


def test_what_lies_unread_is_looked_at_once_and_not_at_every_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each look copies it: 300 bodies that had stopped, of 400 KB each, held the loop up at every sweep."""
    looks = list[int]()

    def look(sock: object, unread: int, count: int) -> bytes:
        looks.append(unread)
        return b""

    monkeypatch.setattr(read_flow, "last_bytes", look)

    async def test() -> None:
        async with running(Server(lambda target, body: None), probes=False) as node:
            _, writer = await node.connect()
            head = request("alerta", number="2", extra="Transfer-Encoding: chunked\r\n")
            writer.write(request("alerta", number="1") + head.replace(b"Content-Length: 0\r\n", b""))
            writer.write((b"400\r\n" + b"x" * 1024 + b"\r\n") * 150)
            (connection,) = node.node.listener.connections
            await until(lambda: connection.reading.paused_since is not None)
            for _ in range(20):
                connection.reading.look(time.monotonic())
            assert len(looks) <= 2
            writer.close()

    play(test)
