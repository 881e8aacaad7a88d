"""A disk that fails for a while under a real store: what is not recorded never runs, what was taken runs once."""

from __future__ import annotations

import asyncio
import errno
from pathlib import Path

import pytest

from cloverhold.rehearsal.failing_calls import SHORT, Call, Control, build
from loopback import OK, WAIT_S, Server, play, read_answer, request
from node_process import node_process


async def ask(port: int, number: str) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request("alerta", number=number, budget="2000m"))
    status = (await read_answer(reader)).status
    writer.close()
    return status


def runs(server: Server, number: str) -> int:
    return sum(f"x-call-id: {number}\r\n".encode() in head.lower() for _, head, _ in server.requests)


FAILURES = {
    "sync EIO": (Call.DISK_SYNC, errno.EIO),
    "write ENOSPC": (Call.DISK_WRITE, errno.ENOSPC),
    "write EIO": (Call.DISK_WRITE, errno.EIO),
    "write short": (Call.DISK_WRITE, SHORT),
}


@pytest.mark.parametrize("call, error", FAILURES.values(), ids=FAILURES)
def test_failing_disk_runs_nothing_twice_and_nothing_unrecorded(call: Call, error: int, tmp_path: Path) -> None:
    (tmp_path / "node.toml").write_text(f'[store]\npath = "{tmp_path / "store"}"\n')
    control = Control(tmp_path / "failures")
    variables = {**control.variables(build(tmp_path)), "CLOVERHOLD_CONFIG": str(tmp_path / "node.toml")}
    told: dict[str, int] = {}

    async def test() -> None:
        server = Server(lambda target, body: OK)
        async with node_process(tmp_path, server, variables=variables) as node:
            told["before"] = await ask(node.port, "before")
            control.fail(call, error)
            for number in range(8):
                told[f"during{number}"] = await ask(node.port, f"during{number}")
            assert control.failed(call), "nothing failed"
            control.stop()
            async with asyncio.timeout(WAIT_S):
                while await ask(node.port, f"after{len(told)}") != 200:
                    told[f"after{len(told)}"] = 503
                    await asyncio.sleep(0.1)
            node.process.kill()
        for name, status in told.items():
            assert runs(server, name) == (status == 200), (name, status)
        again = Server(lambda target, body: OK)
        async with node_process(tmp_path, again, variables=variables) as node:
            for name, status in told.items():
                if status == 200:
                    assert await ask(node.port, name) == 409 and not runs(again, name)

    play(test)
    assert told["before"] == 200 and (error == SHORT or 200 not in [told[f"during{n}"] for n in range(8)])
