"""The listening socket that the platform holds: checked, shared between two processes, left to the newer one."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, closing
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from cloverhold.net.inherited import NotListening, inherited_socket
from loopback import OK, WAIT_S, Listening, Server, free_ports, play, read_answer, request, target, until
from pausing_reader import LongAnswers, PausingReader
from test_process import ROOT, SETTINGS, config, environment

UNSAFE = {"Name": "alerta", "AimMs": 4000.0, "DeadlineMs": 8000.0, "Repeat": "non_idempotent"}


def listening(port: int = 0) -> socket.socket:
    return socket.create_server(("127.0.0.1", port), backlog=64)


def test_what_is_no_listening_socket_of_the_address_is_told_in_plain_words() -> None:
    with listening() as good, socket.socket() as mute, socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        there = good.getsockname()
        for fd, why in [(mute.fileno(), "no listening"), (datagrams.fileno(), "no listening"), (4000, "Bad file")]:
            with pytest.raises(NotListening, match=why):
                inherited_socket(fd, there)
        with pytest.raises(NotListening, match=r"not on 127\.0\.0\.1:1"):
            inherited_socket(good.fileno(), ("127.0.0.1", 1))
        for kept in (good, mute, datagrams):
            os.fstat(kept.fileno())  # still open: it is not the node's to close
        with closing(inherited_socket(os.dup(good.fileno()), there)) as found:
            assert found.getsockname() == there


@pytest.mark.parametrize("text", ["seven", "-1", "4000"])
def test_a_bad_descriptor_is_one_plain_line(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config()))
    done = subprocess.run(
        [sys.executable, "-m", "cloverhold"], cwd=ROOT, env={**environment(path), "PROXY_LISTEN_FD": text},
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1, done.stderr
    assert "PROXY_LISTEN_FD" in done.stderr


@asynccontextmanager
async def process(
    tmp_path: Path, held: socket.socket, server: Listening, mgmt: int, *, operator: str = "", ready: bool = True,
    **changes: Any,
) -> AsyncIterator[asyncio.subprocess.Process]:  # fmt: skip
    """One of several processes of a node: they share the socket and $TMPDIR, and have a management address each.
    operator: the path of its operator's file. ready: whether to wait until it is.
    """
    known = {"rev": 1, "all": True, "targets": [target("s0", server.port)]}
    path = tmp_path / f"config-{mgmt}.json"
    here, down = f"127.0.0.1:{held.getsockname()[1]}", f"127.0.0.1:{free_ports(1)[0]}"
    settings = {**SETTINGS, "Profiles": [*SETTINGS["Profiles"], UNSAFE]}
    said = config(listen=here, discovery=down, known=known, mgmt=f"127.0.0.1:{mgmt}", settings=settings)
    said.update(changes)
    path.write_text(json.dumps(said))
    started = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cloverhold", cwd=ROOT, stderr=subprocess.DEVNULL, pass_fds=(held.fileno(),),
        env={**environment(path), "PROXY_LISTEN_FD": str(held.fileno()), "TMPDIR": str(tmp_path),
             "CLOVERHOLD_CONFIG": operator},
    )  # fmt: skip
    try:
        async with asyncio.timeout(WAIT_S):
            while ready and await manage(mgmt, "GET /_ready") != 200:
                await asyncio.sleep(0.02)
        yield started
    finally:
        if started.returncode is None:
            started.kill()
            await started.wait()


async def manage(port: int, call: str) -> int:
    """The status of a call; 0 where nobody listens."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    writer.write(f"{call} HTTP/1.1\r\nHost: n0\r\n\r\n".encode())
    whole = await asyncio.wait_for(reader.read(), WAIT_S)
    writer.close()
    return int(whole.split(b" ")[1])


@pytest.mark.parametrize("further_after_s", [None, 2.7], ids=["no_further_request", "further_request"])
def test_upgrade_does_not_cut_off_an_answer_that_its_client_has_not_taken(
    tmp_path: Path, further_after_s: float | None
) -> None:
    """The old process ended connections as at rest, though their clients still read."""

    async def test() -> None:
        server = LongAnswers()
        await server.start()
        with listening() as held:
            port, (mgmt,) = held.getsockname()[1], free_ports(1)
            async with process(tmp_path, held, server, mgmt) as old:
                reader = PausingReader(0, 3.0, further_after_s=further_after_s)
                sizes = range(50_000, 350_001, 25_000)
                reading = [asyncio.create_task(replace(reader, size=size).lost_bytes(port)) for size in sizes]
                await asyncio.sleep(0.5)
                old.send_signal(signal.SIGTERM)
                assert set(await asyncio.gather(*reading)) == {0}
                assert await asyncio.wait_for(old.wait(), WAIT_S) == 0
        server.stop()

    play(test)


def test_an_upgrade_under_load_ends_no_request_at_the_door(tmp_path: Path) -> None:
    """Hard case: two processes at one socket. Every request gets its answer, each unsafe one runs once."""

    async def test() -> None:
        server = Server(lambda target, body: OK)
        await server.start()
        with listening() as held:
            port, ports, ended, asked = held.getsockname()[1], free_ports(3), False, 0

            async def client(name: int) -> int:
                nonlocal asked
                served, peer = 0, await asyncio.open_connection("127.0.0.1", port)
                while not ended:
                    peer[1].write(request("alerta", f"{name}-{served}", body=b"x"))
                    asked += 1
                    answer = await read_answer(peer[0])
                    assert answer.status == 200
                    served += 1
                    if answer.fields.get(b"connection") == b"close":
                        peer[1].close()
                        peer = await asyncio.open_connection("127.0.0.1", port)
                peer[1].close()
                return served

            async with AsyncExitStack() as stack:
                old = await stack.enter_async_context(process(tmp_path, held, server, ports[0]))
                clients = [asyncio.create_task(client(name)) for name in range(4)]
                for number in (1, 2):  # a second upgrade works as the first
                    new = await stack.enter_async_context(process(tmp_path, held, server, ports[number]))
                    old.send_signal(signal.SIGTERM)
                    assert await asyncio.wait_for(old.wait(), WAIT_S) == 0
                    old, seen = new, asked
                    await until(lambda: asked > seen + 20)  # noqa: B023  awaited here
                ended = True
                served = sum(await asyncio.gather(*clients))
                assert served == asked == len(server.requests) == len({head for _, head, _ in server.requests})
        server.stop()

    play(test)
