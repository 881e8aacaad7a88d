"""The program itself: configuration, start and stop."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from loopback import OK, WAIT_S, Catalog, Peer, Server, free_ports, play, read_answer, request, target, until

ROOT = Path(__file__).parent.parent
SETTINGS: dict[str, Any] = {
    "Zone": "a",
    "GroupSize": 1,
    "ResolutionMs": 5.0,
    "RegistryMode": "automatic",
    "Limits": {"Probes": True, "Cancelling": True, "ParallelTries": False, "MaxAttempts": 4},
    "Guarantees": {
        "AnswerSlackMs": 20.0,
        "ColdFrom": 0.3,
        "ColdMs": 9000.0,
        "DrainGraceMs": 500.0,
        "FallMs": 1500.0,
        "FallMultiple": 2.5,
    },
    "Profiles": [{"Name": "consulta", "AimMs": 4000.0, "DeadlineMs": 8000.0, "Repeat": "read_like"}],
}


def config(**changes: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": SETTINGS,
        **changes,
    }


def environment(path: Path, discovery: int | None = None) -> dict[str, str]:
    kept = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    if discovery is not None:
        kept["PROXY_DISCOVERY"] = f"127.0.0.1:{discovery}"
    return {**kept, "PROXY_CONFIG": str(path)}


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("{", "config.json"),
        ("[]", "an object is needed"),
        (json.dumps(config(listen="nowhere")), "listen"),
        (json.dumps(config(discovery=None)), "discovery"),
        (json.dumps(config(settings={})), "Guarantees"),
        (json.dumps(config(settings={**SETTINGS, "Profiles": []})), "class"),
        (json.dumps(config(settings={**SETTINGS, "Limits": 3})), "Limits"),
        (json.dumps(config(seed="xyz")), "config.json"),
        (json.dumps(config(limits={"sockets": "many"})), "config.json"),
        (None, "config.json"),
    ],
)
def test_a_bad_configuration_is_one_plain_line(tmp_path: Path, text: str | None, said: str) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "cloverhold"],
        cwd=ROOT,
        env=environment(path),
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1 and said in done.stderr and "Traceback" not in done.stderr


@asynccontextmanager
async def started(
    tmp_path: Path, most_files: int = 1024, discovery: int | None = None
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int, Server]]:
    """A node that knows its one server, a silent one, from its remembered list: discovery is down."""
    server = Server(lambda target, body: None)
    await server.start()
    port, down = free_ports(2)
    known = {"rev": 1, "all": True, "targets": [target("s0", server.port)]}
    path = tmp_path / "config.json"
    nowhere = f"127.0.0.1:{down}"
    path.write_text(json.dumps(config(listen=f"127.0.0.1:{port}", discovery=nowhere, known=known)))
    process = await asyncio.create_subprocess_exec(
        *("/bin/sh", "-c", f"ulimit -n {most_files}; exec {sys.executable} -m cloverhold"),
        cwd=ROOT,
        env=environment(path, discovery),
        stderr=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        async with asyncio.timeout(WAIT_S):
            while b"listening" not in (line := await process.stderr.readline()):
                assert line, "the node has ended"
        yield process, port, server
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        server.stop()


def test_a_node_told_to_stop_answers_what_it_took(tmp_path: Path) -> None:
    async def test() -> None:
        async with started(tmp_path) as (process, port, server):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            idle, idle_writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request(number="1"))
            await until(lambda: server.requests)
            process.send_signal(signal.SIGTERM)
            late, late_writer = await asyncio.open_connection("127.0.0.1", port)  # still taken
            late_writer.write(request(number="2"))
            await until(lambda: len(server.requests) == 2)
            for peer in server.writers[:]:
                if not peer.is_closing():
                    peer.write(OK)
            assert [(await read_answer(r)).status for r in (reader, late)] == [200, 200]
            for left in (reader, late, idle):
                assert await asyncio.wait_for(left.read(), WAIT_S) == b""
            assert await asyncio.wait_for(process.wait(), WAIT_S) == 0
            for open_writer in (writer, idle_writer, late_writer):
                open_writer.close()

    play(test)


def test_a_node_told_to_stop_does_not_wait_for_a_silent_server(tmp_path: Path) -> None:
    async def test() -> None:
        async with started(tmp_path) as (process, port, server):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request(number="1", budget="60000m"))
            await until(lambda: server.requests)
            process.send_signal(signal.SIGTERM)
            assert (await read_answer(reader)).status in (502, 503, 504)
            assert await asyncio.wait_for(process.wait(), WAIT_S) == 0
            writer.close()

    play(test)


def test_a_node_told_to_reload_follows_the_new_discovery(tmp_path: Path) -> None:
    """SIGHUP with a bad file, with a good one, and while draining. By default it would end the process."""

    async def test() -> None:
        path, fresh = tmp_path / "config.json", Server()
        catalogs = [Catalog([]) for _ in range(3)]
        for listening in (fresh, *catalogs):
            await listening.start()
        old, new, last = catalogs
        new.targets = [target("s1", fresh.port)]
        async with started(tmp_path, discovery=old.port) as (process, port, server):
            old.change([target("s0", server.port)])
            await until(lambda: old.requests)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(request(number="1"))
            await until(lambda: server.requests)

            def reload(text: str) -> None:
                path.write_text(text)
                process.send_signal(signal.SIGHUP)

            whole = {**json.loads(path.read_text()), "known": None}
            reload("{")
            reload(json.dumps({**whole, "discovery": f"127.0.0.1:{new.port}"}))
            await until(lambda: len(new.requests) >= 2)  # its list, and then the watch
            old.news.set()
            await until(lambda: old.ended)  # what it says now finds a closed connection
            assert "from=" not in new.requests[0][0]
            second, second_writer = await asyncio.open_connection("127.0.0.1", port)
            second_writer.write(request(number="2"))
            assert (await read_answer(second)).status == 200 and len(fresh.requests) == 1
            server.writers[0].write(OK)
            assert (await read_answer(reader)).status == 200  # open all the while
            process.send_signal(signal.SIGTERM)
            reload(json.dumps({**whole, "discovery": f"127.0.0.1:{last.port}"}))
            await until(lambda: last.requests)
            assert await asyncio.wait_for(process.wait(), WAIT_S) == 0
            for open_writer in (writer, second_writer):
                open_writer.close()
        for listening in (fresh, *catalogs):
            listening.stop()

    play(test)


async def health(port: int) -> Peer:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
    return reader, writer


async def said(peer: Peer) -> bytes:
    """The status line's start; nothing where the connection was ended instead."""
    try:
        return await asyncio.wait_for(peer[0].read(12), WAIT_S)
    except ConnectionError:
        return b""


def test_running_out_of_descriptors_does_not_end_accepting(tmp_path: Path) -> None:
    """Fewer than the configuration promises, so that the bound on connections does not help. Nobody is closed unread:
    an idle connection gives its place to the next.
    """

    async def test() -> None:
        async with started(tmp_path, most_files=40) as (process, port, _):
            async with asyncio.timeout(WAIT_S):
                peers = [await health(port) for _ in range(80)]
            assert [await said(peer) for peer in peers] == 80 * [b"HTTP/1.1 200"]
            for _, writer in peers:
                writer.close()
            assert process.stderr is not None
            async with asyncio.timeout(WAIT_S):
                while b"accept_failed: reason=EMFILE" not in (line := await process.stderr.readline()):
                    assert line, "descriptors never ran out"
            async with asyncio.timeout(WAIT_S):
                while await said(await health(port)) != b"HTTP/1.1 200":
                    await asyncio.sleep(0.05)
            assert process.returncode is None

    play(test)


def test_package_holds_no_signal_up_by_loading_more_than_its_first_lines() -> None:
    """`python -m cloverhold` loads the package before the line that holds signals: SIGHUP ended a node meanwhile."""
    loaded = "import sys, cloverhold; print([name for name in sys.modules if name.startswith('cloverhold.')])"
    done = subprocess.run([sys.executable, "-c", loaded], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
