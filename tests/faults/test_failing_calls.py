"""System calls that fail for a moment: no request is lost, none runs twice, the process lives on."""

from __future__ import annotations

import asyncio
import errno
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from cloverhold.rehearsal.failing_calls import SHORT, Call, Control, build
from loopback import OK, Server, play, read_answer, request
from node_process import NodeProcess, node_process


@pytest.fixture(scope="session")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """The library, built once."""
    return build(tmp_path_factory.mktemp("shim"))


@asynccontextmanager
async def failing_node(folder: Path, shim: Path, server: Server) -> AsyncIterator[tuple[NodeProcess, Control]]:
    """A node whose system calls can be made to fail."""
    control = Control(folder / "failures", seed=7)
    async with node_process(folder, server, variables=control.variables(shim)) as node:
        yield node, control
    control.close()


async def ask(port: int, name: str, number: str) -> int:
    """One request on a connection of its own; its status, 0 where the connection ended with none."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request(name, number=number, budget="3000m"))
        return (await read_answer(reader)).status
    except (AssertionError, ConnectionError):
        return 0
    finally:
        writer.close()


@pytest.mark.parametrize("error", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "ECONNABORTED", "EPROTO", "EINTR"])
def test_request_on_a_connection_whose_accept_fails_is_answered(error: str, shim: Path, tmp_path: Path) -> None:
    """The event loop's library closed it unread."""

    async def test() -> None:
        async with failing_node(tmp_path, shim, Server(lambda target, body: OK)) as (node, control):
            for number in range(5):
                control.fail(Call.ACCEPT, getattr(errno, error), count=1)
                assert await ask(node.port, "alerta", f"{number}") == 200
                assert control.failed(Call.ACCEPT) == 1

    play(test)


FAILURES = [
    (Call.ACCEPT, "ECONNABORTED", 0.3),
    (Call.ACCEPT, "ENFILE", 0.3),
    (Call.SOCKET, "ENFILE", 0.3),
    (Call.SOCKET, "ENOBUFS", 0.3),
    (Call.CONNECT, "EADDRNOTAVAIL", 0.3),
    (Call.CONNECT, "ENETUNREACH", 0.3),
    (Call.CONNECT, "ECONNREFUSED", 0.3),
    (Call.CONNECT, "EINTR", 0.3),
    (Call.RECV, "EINTR", 0.2),
    (Call.RECV, "", 0.3),
    (Call.SEND, "EINTR", 0.2),
    (Call.SEND, "", 0.3),
    (Call.SEND, "EAGAIN", 0.3),
    (Call.SEND, "ENOBUFS", 0.02),
    (Call.RECV, "ETIMEDOUT", 0.02),
    (Call.RECV, "EHOSTUNREACH", 0.02),
    (Call.SEND, "EHOSTUNREACH", 0.02),
    (Call.WAIT, "EINTR", 0.3),
]
BREAKS_CONNECTIONS = {("ETIMEDOUT"), ("EHOSTUNREACH"), ("ENOBUFS")}


@pytest.mark.parametrize("call, error, share", FAILURES, ids=lambda value: getattr(value, "name", str(value)))
def test_node_bears_a_call_that_fails_now_and_then(
    call: Call, error: str, share: float, shim: Path, tmp_path: Path
) -> None:
    """Each request has one final answer, unless its own connection broke; nothing unsafe runs twice."""

    async def test() -> None:
        server = Server(lambda target, body: OK)
        async with failing_node(tmp_path, shim, server) as (node, control):
            control.fail(call, getattr(errno, error) if error else SHORT, share=share)
            names = [("consulta", "alerta", "lote")[number % 3] for number in range(60)]
            told = [await ask(node.port, name, f"{number}") for number, name in enumerate(names)]
            failed = control.failed(call)
            control.stop()
            assert failed, "nothing failed"
            if error not in BREAKS_CONNECTIONS or call is Call.SOCKET:
                assert 0 not in told
            runs = Counter(line.split(b"X-Call-Id: ")[1].split(b"\r")[0] for _, line, _ in server.requests)
            unsafe = {f"{number}".encode() for number, name in enumerate(names) if name == "alerta"}
            assert all(runs[name] <= 1 for name in unsafe)
            assert [await ask(node.port, "alerta", f"after {number}") for number in range(5)] == 5 * [200]
            assert await node.terminate() == 0
            assert not any("Traceback" in line for line in node.log), node.log

    play(test)
