"""Crowds and signals that come together, in the real program."""

from __future__ import annotations

import asyncio
import itertools
import json
import resource
import signal
import socket
from pathlib import Path

import pytest

from loopback import OK, WAIT_S, play, read_answer, request, until
from test_inherited import listening, manage, process
from test_process import started
from loopback import Server, free_ports

HALF = b"GET /consulta?sid=1 HTTP/1.1\r\nHost: a"


def test_five_thousand_half_written_requests_and_then_sigterm(tmp_path: Path) -> None:
    """Whoever has a whole request is let in; descriptors never run out; SIGTERM ends it in time."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    count = min(5000, hard - 300)
    resource.setrlimit(resource.RLIMIT_NOFILE, (count + 300, hard))

    async def test() -> None:
        async with started(tmp_path, most_files=256) as (node, port, server):
            server.reply = lambda target, body: OK
            loop, peers = asyncio.get_running_loop(), list[socket.socket]()
            served = 0
            for number in range(count):
                peer = socket.socket()
                peer.setblocking(False)
                peers.append(peer)
                try:
                    async with asyncio.timeout(WAIT_S):
                        await loop.sock_connect(peer, ("127.0.0.1", port))
                        await loop.sock_sendall(peer, HALF[: 1 + number % len(HALF)])
                except OSError:
                    continue  # it gave way
                if number % 500 == 499:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(request(number=str(number)))
                    served += (await read_answer(reader)).status == 200
                    writer.close()
            assert served == count // 500
            assert node.returncode is None
            node.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(node.wait(), WAIT_S) == 0
            for peer in peers:
                peer.close()

    try:
        play(test)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.parametrize("order", list(itertools.permutations(["term", "hup", "duck"])), ids="-".join)
def test_signals_and_a_drain_in_the_same_moment(order: tuple[str, ...], tmp_path: Path) -> None:
    """Whatever comes first, what was taken is answered once and the process ends by itself with 0."""

    async def test() -> None:
        server = Server(lambda target, body: None)
        await server.start()
        with listening() as held:
            (mgmt,) = free_ports(1)
            async with process(tmp_path, held, server, mgmt) as node:
                reader, writer = await asyncio.open_connection("127.0.0.1", held.getsockname()[1])
                writer.write(request("alerta", "1", body=b"x"))
                await until(lambda: server.requests)
                path = tmp_path / f"config-{mgmt}.json"
                raw = json.loads(path.read_text())
                raw["settings"]["Profiles"][1]["AimMs"] = 3000.0
                path.write_text(json.dumps(raw))
                for what in order:
                    if what == "duck":
                        assert await manage(mgmt, "POST /_lameduck/on") in (200, 503, 0)
                    else:
                        node.send_signal(signal.SIGTERM if what == "term" else signal.SIGHUP)
                for peer in server.writers:
                    if not peer.is_closing():
                        peer.write(OK)
                answer = await read_answer(reader)
                assert answer.status == 200 and answer.fields[b"connection"] == b"close"
                assert await asyncio.wait_for(reader.read(), WAIT_S) == b""
                assert await asyncio.wait_for(node.wait(), WAIT_S) == 0
                assert len(server.requests) == 1
                writer.close()
        server.stop()

    play(test)
