"""Cells in a node on real sockets, and as a process: confinement, moves in flight, restarts, files."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from loopback import OK, Server, play, read_answer, request, running, until
from test_process import ROOT, config, environment, started

from cloverhold.cells.moves import Place, Stage
from cloverhold.cells.table import CellsTable, MoveTable

ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno"


def of(tenant: str, number: int, name: str = "consulta", body: bytes = b"") -> bytes:
    return request(name, str(number), body=body, extra=f"X-Caller: {tenant}\r\n")


def table(**changes: Any) -> CellsTable:
    return CellsTable(**{"servers": 2, "newcomers": 0, "watch_s": 0.1, "moves_a_minute": 6000.0, **changes})


def took(servers: list[Server], tenant: str) -> set[int]:
    named = f"x-caller: {tenant}\r\n".encode()
    return {at for at, server in enumerate(servers) if any(named in head.lower() for _, head, _ in server.requests)}


def test_each_tenant_is_confined_to_its_cell() -> None:
    async def test() -> None:
        servers = [Server() for _ in range(6)]
        async with running(*servers, cells=table()) as node:
            for number in range(120):
                answer = await node.ask(of(f"t{number % 6}", number))
                assert answer.status == 200
            router = node.node.router
            assert router is not None
            for tenant in (f"t{n}" for n in range(6)):
                cell = router.cells.tenancies.known[tenant].cells["draw:0"]
                assert {f"s{at}" for at in took(servers, tenant)} == set(cell.servers) and len(cell.servers) == 2
                assert cell.open == 0
        assert len(node.node.host.balancer.table.prefix.inside) == 6

    play(test)


def test_an_unsafe_request_in_flight_stays_where_it_is_and_is_never_sent_in_the_new_cell() -> None:
    """A move while it is out; its server answers late, resets, or says nothing and the client's time runs out."""

    async def one(how: str) -> None:
        held: list[asyncio.StreamWriter] = []
        servers = [Server(lambda target, body: None) for _ in range(6)]
        async with running(*servers, cells=table()) as node:
            router = node.node.router
            assert router is not None
            reader, writer = await node.connect()
            budget = "8000m" if how != "silent" else "400m"
            writer.write(request("alerta", "1", budget, b"x", "X-Caller: acme\r\n"))
            await until(lambda: any(server.requests for server in servers))
            at = next(n for n, server in enumerate(servers) if server.requests)
            router.reload(table(move=(MoveTable("m", "acme", draw=1),)))
            await until(lambda: router.cells.moves["m"].stage is Stage.DRAINING)
            new = router.cells.tenancies.known["acme"].cells["draw:1"]
            for server in servers:
                server.reply = lambda target, body: OK
            assert (await node.ask(of("acme", 2))).status == 200
            assert {f"s{n}" for n in took(servers, "acme")} - {f"s{at}"} <= set(new.servers)
            held = [w for w in servers[at].writers if not w.is_closing()]
            if how == "late":
                held[0].write(OK)
            elif how == "reset":
                for connection in held:
                    connection.transport.abort()
            answer = await read_answer(reader)
            assert answer.status == (200 if how == "late" else 502 if how == "reset" else answer.status)
            assert how != "silent" or answer.status in (502, 504)
            await until(lambda: router.cells.moves["m"].stage is Stage.DONE)
            unsafe = [n for n, server in enumerate(servers) for t, _, _ in server.requests if t.startswith("/alerta")]
            assert unsafe == [at], "it ran once, where it was"
            assert not any(cell.open for cell in router.cells.tenancies.known["acme"].cells.values())
            writer.close()

    async def test() -> None:
        for how in ("late", "reset", "silent"):
            await one(how)

    play(test)


def test_a_refusal_of_a_ward_says_when_to_come_back_and_it_is_then_taken() -> None:
    async def test() -> None:
        servers = [Server() for _ in range(4)]
        cells = table(held_per_s=20.0, quarantine=1)
        async with running(*servers, cells=cells) as node:
            router = node.node.router
            assert router is not None
            now = node.node.clock.now()
            router.cells._confine(router.cells.tenancies.get("bad", now), "by hand", now)
            codes = []
            for number in range(40):
                answer = await node.ask(of("bad", number))
                codes.append(answer.status)
                if answer.status == 503:
                    wait = float(answer.header(b"retry-after"))
                    assert 0 < wait <= 0.05
                    await asyncio.sleep(wait + 0.01)
                    assert (await node.ask(of("bad", 1000 + number))).status == 200
            assert 503 in codes and 200 in codes
            assert (await node.ask(of("good", 5000))).status == 200

    play(test)


def test_a_cell_of_which_every_server_errs_harms_no_other_cell() -> None:
    async def test() -> None:
        servers = [Server() for _ in range(8)]
        async with running(*servers, cells=table(poison=False)) as node:
            router = node.node.router
            assert router is not None
            cells = router.cells
            bad = set(cells.tenancies.cell(cells.tenancies.get("bad", 0.0), Place(), 0.0).servers)
            good = next(
                name for name in (f"t{n}" for n in range(100))
                if not bad & set(cells.tenancies.cell(cells.tenancies.get(name, 0.0), Place(), 0.0).servers)
            )  # fmt: skip
            for name in bad:
                servers[int(name[1:])].reply = lambda target, body: ERROR
            ill = [
                asyncio.create_task(node.ask(request("consulta", f"b{n}", "1500m", extra="X-Caller: bad\r\n")))
                for n in range(60)
            ]
            await until(lambda: node.node.host.balancer.waiting.count)
            for number in range(40):
                assert (await node.ask(of(good, number))).status == 200
            assert node.node.host.balancer.waiting.count, "the ill ones still wait: they held up nobody"
            assert all([(await task).status != 200 for task in ill])

    play(test)


def test_a_process_resumes_its_moves_and_says_what_waits_for_a_restart(tmp_path: Path) -> None:
    operator, state = tmp_path / "node.toml", tmp_path / "cells"
    text = f'[cells]\nservers = 1\nstate = "{state}"\nwatch_s = 0.1\n'
    order = '[[cells.move]]\nid = "m1"\nkey = "acme"\ndraw = 3\n'
    record = {"id": "m0", "key": "other", "old": [0, ""], "new": [2, ""], "stage": "watched", "why": "", "baseline": 0}
    state.write_text(json.dumps({"format": 1, "moves": [record]}))
    operator.write_text(text)

    async def test() -> None:
        os.environ["CLOVERHOLD_CONFIG"] = str(operator)
        try:
            async with started(tmp_path) as (process, _, _):
                assert process.stderr is not None
                operator.write_text(text.replace("servers = 1", "servers = 2") + order)
                process.send_signal(signal.SIGHUP)
                await until(lambda: "m1" in state.read_text())
                await until(lambda: json.loads(state.read_text())["moves"][0]["stage"] == "done")
                operator.write_text("[cells]\nservers = 0\n")
                process.send_signal(signal.SIGHUP)
                said = b""
                while b"the old one stays" not in said:
                    said += await process.stderr.readline()
                assert b"cells: servers take effect at a restart" in said
                assert b"cells.servers: expected `int` >= 1, got 0" in said
                process.send_signal(signal.SIGTERM)
                assert await process.wait() == 0
        finally:
            del os.environ["CLOVERHOLD_CONFIG"]

    play(test)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[cells]\nserver = 2\n", "cells.server: no such key; 'servers' is meant?"),
        ("[cels]\n", "cels: no such table; 'cells' is meant?"),
        ("[cells]\nstate = '{state}'\n", "no record of moves"),
        (None, "No such file"),
    ],
)
def test_a_bad_operators_file_is_one_plain_line(tmp_path: Path, text: str | None, said: str) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config()))
    (tmp_path / "state").write_text("[1]")
    if text is not None:
        (tmp_path / "node.toml").write_text(text.format(state=tmp_path / "state"))
    env = {**environment(tmp_path / "config.json"), "CLOVERHOLD_CONFIG": str(tmp_path / "node.toml")}
    done = subprocess.run([sys.executable, "-m", "cloverhold"], cwd=ROOT, env=env, capture_output=True, text=True,
                          timeout=60)  # fmt: skip
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    assert said in done.stderr and "Traceback" not in done.stderr


def test_a_node_without_the_file_loads_nothing_of_it(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config()))
    program = (
        "import sys, cloverhold.__main__ as m; from cloverhold.net.clock import Clock; m.read_config(Clock());"
        "print(sorted(n for n in sys.modules if n.startswith(('cloverhold.cells', 'cloverhold.config', 'msgspec',"
        " 'xxhash', 'click', 'tomlkit'))))"
    )
    env = {k: v for k, v in environment(tmp_path / "config.json").items() if k != "CLOVERHOLD_CONFIG"}
    done = subprocess.run([sys.executable, "-c", program], cwd=ROOT, env=env, capture_output=True, text=True,
                          check=True)  # fmt: skip
    assert done.stdout.strip() == "[]"
