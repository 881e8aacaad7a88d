"""An answer that its server gives whole reaches its client whole: until the client has it, nothing that waits for rest,
a drain or an end counts.
"""

from __future__ import annotations

import asyncio
import errno
import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from cloverhold.net import delivery
from cloverhold.net.fronts import waits
from cloverhold.net.telemetry import Happening
from loopback import Peer, play, request, running, until
from node_process import NodeProcess, node_process
from pausing_reader import MARK, LongAnswers, PausingReader

PAUSE_S = 5.0  # "peers take seconds to read"
# What the kernel's queues hold differs between machines; what waits in the process beside them is 64 KiB at most.
SIZES = range(25_000, 900_001, 25_000)
AT_ONCE, BETWEEN_S = 6, 0.2  # clients that ask together, as one core serves them
READERS = {
    "kept": PausingReader(0, PAUSE_S),
    "closes": PausingReader(0, PAUSE_S, fields="Connection: close\r\n"),
    "http10": PausingReader(0, PAUSE_S, http10=True),
    "pipelined": PausingReader(0, PAUSE_S, pipelined=True),
    "further_request": PausingReader(0, PAUSE_S, further_after_s=3.0),
}


async def cut_off(node: NodeProcess, reader: PausingReader) -> dict[int, int]:
    """Clients of all sizes, some at a time; how many bytes were lost, of those sizes of which any were."""
    reading = list[asyncio.Task[int]]()
    for first in range(0, len(SIZES), AT_ONCE):
        some = SIZES[first : first + AT_ONCE]
        reading += [asyncio.create_task(replace(reader, size=size).lost_bytes(node.port)) for size in some]
        await asyncio.sleep(BETWEEN_S)
    lost = await asyncio.gather(*reading)
    return {size: count for size, count in zip(SIZES, lost, strict=True) if count}


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("reader", READERS)
def test_answer_is_not_cut_off_from_a_client_that_reads_nothing_for_seconds(
    tmp_path: Path, reader: str, chunked: bool
) -> None:
    """A connection rested once its answer was handed to the transport, and was closed over what its client lacked."""

    async def test() -> None:
        async with node_process(tmp_path, LongAnswers(chunked=chunked), settings={"Probes": False}) as node:
            assert await cut_off(node, READERS[reader]) == {}

    play(test)


@pytest.mark.parametrize("further_after_s", [None, 3.0])
def test_lame_duck_does_not_cut_off_an_answer_that_its_client_has_not_taken(
    tmp_path: Path, further_after_s: float | None
) -> None:
    """The drain of a lame duck counted from when an answer was handed to the transport."""

    async def test() -> None:
        async with node_process(tmp_path, LongAnswers(), settings={"Probes": False}) as node:
            reading = asyncio.create_task(cut_off(node, PausingReader(0, PAUSE_S, further_after_s=further_after_s)))
            await asyncio.sleep(len(SIZES) / AT_ONCE * BETWEEN_S + 0.2)
            assert (await node.manage("POST /_lameduck/on"))[0] == 200
            assert await reading == {}

    play(test)


@pytest.mark.parametrize("sockets", [64, 256])
def test_crowd_does_not_evict_a_client_that_has_not_taken_its_answer(tmp_path: Path, sockets: int) -> None:
    """Clients that seemed to rest gave way to others, with a part of their answer in the kernel's queue."""

    async def connect_and_ask(node: NodeProcess, number: int) -> Peer:
        reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
        writer.write(request(number=f"crowd{number}"))
        return reader, writer

    async def test() -> None:
        limits = {"sockets": sockets}
        async with node_process(tmp_path, LongAnswers(), settings={"Probes": False}, limits=limits) as node:
            reader = PausingReader(0, 2.5, further_after_s=2.0)
            sizes = range(60_000, 180_001, 20_000)
            reading = [asyncio.create_task(replace(reader, size=size).lost_bytes(node.port)) for size in sizes]
            await asyncio.sleep(0.5)
            crowd = [await connect_and_ask(node, number) for number in range(2 * sockets)]
            assert set(await asyncio.gather(*reading)) == {0}
            for _, writer in crowd:
                writer.close()

    play(test)


@pytest.mark.parametrize("fields", ["", "Connection: close\r\n"])
def test_client_that_takes_nothing_of_its_answer_is_ended_at_its_bound(
    monkeypatch: pytest.MonkeyPatch, fields: str
) -> None:
    bound_s = 1.0
    monkeypatch.setattr(waits, "ANSWER_READ_TIMEOUT_S", bound_s)
    monkeypatch.setattr(waits, "LAST_READ_TIMEOUT_S", bound_s)

    async def test() -> None:
        async with running(LongAnswers()) as node:
            reader = PausingReader(300_000, 3 * bound_s, fields=fields)
            reading, began = asyncio.create_task(reader.lost_bytes(node.port)), time.monotonic()
            listener, telemetry = node.node.listener, node.node.telemetry
            await until(lambda: listener.came and not listener.connections)
            assert time.monotonic() - began > bound_s
            reason = "last_answer_unread" if fields else "answer_unread"
            assert telemetry.get(Happening.ANSWER_UNDELIVERED, reason) == 1
            assert not listener.lingering and not listener.delivering and not listener.idle
            assert await reading > 0

    play(test)


def test_client_that_reads_steadily_is_not_ended_between_two_steps_of_the_kernels_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A transport's buffer shrinks in steps of a third of the kernel's queue: a slow client seemed to take nothing."""
    monkeypatch.setattr(waits, "ANSWER_READ_TIMEOUT_S", 1.0)
    size, slow_bytes, piece, piece_s = 8_000_000, 4_000_000, 51_200, 0.1

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with running(LongAnswers()) as node:
            with socket.socket() as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 256 * 1024)
                sock.connect(("127.0.0.1", node.port))
                sock.setblocking(False)
                await loop.sock_sendall(sock, request(extra=f"X-Call-Info: size={size}\r\n"))
                got = 0
                while got < size and (data := await loop.sock_recv(sock, piece)):
                    got += data.count(MARK)
                    await asyncio.sleep(piece_s if got < slow_bytes else 0)
                assert got == size

    play(test)


def test_connection_rests_also_where_the_kernel_does_not_tell_what_is_delivered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What is not told counts as delivered: nothing may wait for an answer that never comes."""

    def refuse(*_: object) -> int:
        raise OSError(errno.ENOTTY, "no such call")

    monkeypatch.setattr(delivery.fcntl, "ioctl", refuse)
    monkeypatch.setattr(waits, "IDLE_TIMEOUT_S", 0.5)

    async def test() -> None:
        async with running(LongAnswers()) as node:
            assert await PausingReader(2_000, 0.1).rest_s(node.port) < 0.5 + 5 * waits.LOOK_S
            assert not node.node.listener.busy()

    play(test)


def test_connection_rests_from_when_its_client_has_its_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """The time in which a client took its answer counted as rest, and its next request met the end of that."""
    monkeypatch.setattr(waits, "IDLE_TIMEOUT_S", 1.0)

    async def test() -> None:
        async with running(LongAnswers()) as node:
            assert await PausingReader(150_000, 2.0).rest_s(node.port) > waits.IDLE_TIMEOUT_S - waits.LOOK_S

    play(test)
