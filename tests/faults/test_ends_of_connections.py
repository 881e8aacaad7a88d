"""Whatever ends a server's connection, the client learns of it at once, behind the bytes that came first."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from pathlib import Path

import pytest
import uvloop

from cloverhold.net.socket_watcher import SocketWatcher
from loopback import Scripted, play, request, until
from node_process import node_process
from reset_play import NO_LINGER, CuttingServer, Cut, End, Framing, ask_and_wait

TOLD_WITHIN_S = 1.0  # at once, on a machine that may be busy
LEFT_WAITING_S = 6.0  # the report's clients gave up after this long
SEEDS = range(8)
LOOPS = [pytest.param(asyncio.new_event_loop, id="asyncio"), pytest.param(uvloop.new_event_loop, id="uvloop")]


@pytest.mark.parametrize("memory_mb", [32, 192])
@pytest.mark.parametrize("framing", list(Framing))
def test_answer_that_its_server_resets_without_a_pause_is_ended_at_the_client(
    tmp_path: Path, framing: Framing, memory_mb: int
) -> None:
    async def test() -> None:
        server = CuttingServer(Cut(framing, End.RESET, 116_000, 116_000))
        async with node_process(tmp_path, server, limits={"memory_mb": memory_mb}) as node:
            for number in range(4):
                told = await ask_and_wait(node.port, f"r{number}", within_s=LEFT_WAITING_S)
                assert told.ended_at is not None, f"left waiting behind {told.received_bytes} bytes"
                assert told.ended_at - server.ended_at[-1] < TOLD_WITHIN_S

    play(test)


@pytest.mark.parametrize("seed", SEEDS)
def test_any_end_of_an_answer_that_is_not_whole_is_told_to_many_clients_at_once(tmp_path: Path, seed: int) -> None:
    cut = Cut.drawn(seed)

    async def test() -> None:
        async with node_process(
            tmp_path, CuttingServer(cut), CuttingServer(cut), limits={"memory_mb": (32, 48, 96, 192)[seed % 4]}
        ) as node:
            asked = (ask_and_wait(node.port, f"m{number}", within_s=LEFT_WAITING_S) for number in range(12))
            answers = await asyncio.gather(*asked)
            assert all(told.ended_at is not None for told in answers), (cut, answers)

    play(test)


@pytest.mark.parametrize("framing", list(Framing))
def test_end_of_an_answer_that_came_while_its_client_read_nothing_is_told_once_it_reads(
    tmp_path: Path, framing: Framing
) -> None:
    async def test() -> None:
        server = CuttingServer(Cut(framing, End.RESET, 250_000, 65_536))
        async with node_process(tmp_path, server, limits={"memory_mb": 32}) as node:
            told = await ask_and_wait(node.port, "p0", within_s=TOLD_WITHIN_S, reads_after_s=1.0)
            assert told.ended_at is not None

    play(test)


def test_reset_while_a_request_is_still_written_ends_it(tmp_path: Path) -> None:
    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"y" * 100_000)
        await writer.drain()
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        writer.close()

    async def test() -> None:
        async with node_process(tmp_path, Scripted(script)) as node:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            writer.write(request("alerta", body=b"x" * 3_000_000))
            async with asyncio.timeout(LEFT_WAITING_S):
                try:
                    while await reader.read(1 << 16):
                        pass
                except OSError:
                    pass
            writer.transport.abort()
            await until(lambda: any("request_ended" in line for line in node.log))

    play(test)


@pytest.mark.parametrize("new_loop", LOOPS)
@pytest.mark.parametrize("unread_bytes", [0, 1, 16 * 1024, 100_000])
@pytest.mark.parametrize("reset", [True, False])
@pytest.mark.parametrize("is_paused_first", [True, False])
def test_socket_with_an_end_behind_its_bytes_is_told_of_on_every_loop(
    new_loop: Callable[[], asyncio.AbstractEventLoop], unread_bytes: int, reset: bool, is_paused_first: bool
) -> None:
    """uvloop calls a reader once for a socket with an error behind its bytes, and never again."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            ours = socket.create_connection(listening.getsockname())
            theirs, _ = listening.accept()
        ours.setblocking(False)
        received, ended = 0, asyncio.Event()

        def readable() -> None:
            nonlocal received
            try:
                data = ours.recv(16 * 1024)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            received += len(data)
            if not data:
                watcher.close()
                ended.set()

        watcher = SocketWatcher(loop, ours, readable)
        if not is_paused_first:
            watcher.resume_reading()
        theirs.sendall(b"z" * unread_bytes)
        if reset:
            theirs.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        theirs.close()
        await asyncio.sleep(0.02)
        watcher.resume_reading()
        await asyncio.wait_for(ended.wait(), TOLD_WITHIN_S)
        assert received == unread_bytes
        ours.close()

    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(test())
