"""A server that takes a large request slowly stretches nobody's time: it counts from the client's last write."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from pathlib import Path

import pytest

from cloverhold.net.fronts import waits
from cloverhold.net.fronts.upload_clock import CLIENT_QUEUE_BYTES, UploadClock
from loopback import OK, Listening, Scripted, body_of, play, read_answer, request, running, until
from node_process import node_process

ANSWER_SLACK_S = 0.5  # later than that behind its time a request counts as lost
BUDGET_S = 1.5
PIECE_BYTES = 64 * 1024
MB = 1024 * 1024


class SlowReader(Listening):
    """A server that reads bodies at a rate, with next to nothing in its receive queue, and answers behind them."""

    def __init__(self, bytes_per_s: float) -> None:
        super().__init__()
        self.bytes_per_s = bytes_per_s
        self.served = 0

    async def start(self, port: int = 0) -> None:
        listening = socket.create_server(("127.0.0.1", port))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, PIECE_BYTES)
        self.server = await asyncio.start_server(self._connected, sock=listening, limit=PIECE_BYTES)
        self.port = listening.getsockname()[1]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/_load" in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                    continue
                await self._take_body(head, reader)
                writer.write(OK)
                self.served += 1
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()

    async def _take_body(self, head: bytes, reader: asyncio.StreamReader) -> None:
        fields = head.lower()
        if b"content-length:" in fields:
            left = int(fields.partition(b"content-length: ")[2].partition(b"\r")[0])
            while left > 0:
                left -= await self._take_piece(reader, min(left, PIECE_BYTES))
            return
        while size := int((await reader.readuntil(b"\r\n")), 16):
            while size > 0:
                size -= await self._take_piece(reader, min(size, PIECE_BYTES))
            await reader.readexactly(2)
        await reader.readexactly(2)

    async def _take_piece(self, reader: asyncio.StreamReader, most: int) -> int:
        data = await reader.read(most)
        if not data:
            raise asyncio.IncompleteReadError(b"", None)
        await asyncio.sleep(len(data) / self.bytes_per_s)
        return len(data)


def write_all(port: int, raw: bytes) -> tuple[float, float, bytes]:
    """A client with a thread of its own: when its last byte was written, when it had an answer, and its first line."""
    with socket.create_connection(("127.0.0.1", port)) as peer:
        try:
            peer.sendall(raw)
        except OSError:
            pass  # answered, and closed, before the end
        written_at = time.monotonic()
        peer.settimeout(10.0)
        line = peer.recv(64).partition(b"\r\n")[0]
        return written_at, time.monotonic(), line


def upload(number: str, size: int, *, chunked: bool) -> bytes:
    """One request with a body of this size."""
    budget = f"{BUDGET_S * 1000:.0f}m"
    if not chunked:
        return request("lote", number=number, budget=budget, body=b"x" * size)
    head = request("lote", number=number, budget=budget, extra="Transfer-Encoding: chunked\r\n")
    piece = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    return head.replace(b"Content-Length: 0\r\n", b"") + piece * (size // PIECE_BYTES) + b"0\r\n\r\n"


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("seed", range(3))
def test_final_answer_to_a_large_request_that_its_server_reads_slowly_comes_within_the_clients_time(
    tmp_path: Path, seed: int, chunked: bool
) -> None:
    draw = random.Random(seed)
    size, rate = draw.randrange(6 * MB, 24 * MB), draw.uniform(0.5, 4.0) * MB

    async def test() -> None:
        async with node_process(tmp_path, SlowReader(rate), settings={"Probes": False}) as node:
            sending = asyncio.to_thread(write_all, node.port, upload("s0", size, chunked=chunked))
            written_at, answered_at, line = await sending
            assert line.startswith(b"HTTP/1.1 "), "no answer"
            assert answered_at - written_at < BUDGET_S + ANSWER_SLACK_S, (size, rate, line)

    play(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_large_request_that_its_server_reads_at_its_clients_pace_is_served(tmp_path: Path, chunked: bool) -> None:
    """The client is the slow one: its last byte is not written yet, however long the body takes."""

    def write_slowly(port: int, raw: bytes) -> bytes:
        with socket.create_connection(("127.0.0.1", port)) as peer:
            for at in range(0, len(raw), 256 * 1024):
                peer.sendall(raw[at : at + 256 * 1024])
                time.sleep(0.15)
            peer.settimeout(10.0)
            return peer.recv(64).partition(b"\r\n")[0]

    async def test() -> None:
        async with node_process(tmp_path, SlowReader(4 * MB)) as node:
            raw = upload("p0", 5 * MB, chunked=chunked)
            assert (await asyncio.to_thread(write_slowly, node.port, raw)).startswith(b"HTTP/1.1 200")

    play(test)


def test_clock_of_an_upload_never_takes_its_end_for_later_than_it_was() -> None:
    """Any writer and reader whose queue holds no more than two machines' do."""
    for seed in range(300):
        draw = random.Random(seed)
        length, told = draw.randrange(1, 40 * MB), draw.random() < 0.5
        write_rate, read_rate = draw.uniform(0.1, 30) * MB, draw.uniform(0.1, 10) * MB
        clock, written, read, now, written_at = UploadClock(0.0), 0.0, 0.0, 0.0, None
        while read < length:
            now += 0.05
            written = min(length, written + 0.05 * write_rate * draw.random() * 2, read + CLIENT_QUEUE_BYTES)
            written_at = now if written_at is None and written >= length else written_at
            read = min(written, read + 0.05 * read_rate * draw.random() * 2)
            if read >= written and written < length:
                clock.caught_up(now)
            clock.sample(now, int(read))
            earliest = clock.earliest_end(int(read), 0, length if told else None)
            assert written_at is None or (earliest is not None and earliest <= written_at), seed
        assert written_at is not None


def test_large_request_behind_an_open_one_does_not_end_that_one() -> None:
    """Its time is no reason to fail the request before it, whose answer is still to come."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await body_of(head, reader)
        await asyncio.sleep(1.0)
        writer.write(OK)

    async def test() -> None:
        async with running(Scripted(script), probes=False) as node:
            reader, writer = await node.connect()
            raw = request("alerta", number="1") + request("alerta", "2", budget="300m", body=b"x" * 1_000_000)
            writer.write(raw[:12_000])
            await until(lambda: any(c.reader.body_bytes() for c in node.node.listener.connections))
            writer.write(raw[12_000:])
            assert (await read_answer(reader)).status == 200
            writer.close()

    play(test)


def test_body_that_its_server_takes_steadily_is_not_ended_between_two_steps_of_the_kernels_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A socket takes more only once a third of its queue is free: at a low rate it seemed to have taken nothing."""
    monkeypatch.setattr(waits, "SERVER_READ_TIMEOUT_S", 0.5)
    size = 6 * MB

    async def test() -> None:
        server = SlowReader(MB)
        async with running(server, probes=False) as node:  # type: ignore[arg-type]
            raw = request("alerta", budget="60000m", body=b"x" * size)
            _, _, line = await asyncio.to_thread(write_all, node.port, raw)
            assert line == b"HTTP/1.1 200 OK", line
            assert server.served == 1

    play(test)
