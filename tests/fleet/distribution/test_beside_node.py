"""A serving node beside real writer and relay: servers taken out by configuration, discovery or relays away."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any

import pytest
from loopback import Server, request, running, target, until
from test_process import ROOT, config, environment

import json
import subprocess
import sys

from cloverhold.decision.interface import Lifecycle
from cloverhold.fleet.distribution import resources
from cloverhold.fleet.distribution.table import DistributionTable
from tests.fleet.distribution.processes import FLEET, Fleet


def states(node: Any) -> dict[str, Lifecycle]:
    return {name: server.entry.lifecycle for name, server in node.host.balancer.table.servers.items()}


def value(number: int, state: str = "active") -> bytes:
    return resources.write(resources.Server(f"10.0.0.{number}:80", state=state))  # type: ignore[arg-type]


async def served(node: Any, count: int, first: int) -> None:
    for number in range(first, first + count):
        assert (await node.ask(request(number=str(number)))).status == 200


@pytest.mark.parametrize("stops", ["relay", "discovery"])
def test_a_server_taken_out_by_configuration_gets_nothing_new(tmp_path: Path, stops: str) -> None:
    with Fleet(tmp_path, relays=1, nodes=()) as fleet:
        relay = fleet.relays[0]
        table = DistributionTable(
            FLEET, "n", "node", str(tmp_path / "n"), sources=(f"127.0.0.1:{relay.port}",), scopes=("service/x",)
        )

        async def play() -> None:
            first, second = Server(), Server()
            async with running(first, second, distribution=table) as node:
                await served(node, 20, 0)
                assert first.requests and second.requests
                changes = {"server/s0": value(1, "leaving"), "server/s1": value(2)}
                await asyncio.to_thread(fleet.change, changes, "service/x")
                await until(lambda: states(node.node)["s0"] is Lifecycle.DRAINING)
                had = len(first.requests)
                await served(node, 30, 100)
                assert len(first.requests) == had
                if stops == "relay":
                    relay.end(signal.SIGKILL)
                    node.catalog.change([target("s0", first.port), target("s1", second.port)])
                    await asyncio.sleep(0.5)
                else:
                    node.catalog.stop()
                await served(node, 30, 200)
                assert len(first.requests) == had
                assert node.node.lists is not None and node.node.lists.gauges()["distribution.taken_out_servers"] == 1
                if stops == "relay":
                    return
                await asyncio.to_thread(fleet.change, {"server/s0": value(1)}, "service/x")
                await until(lambda: states(node.node)["s0"] is Lifecycle.READY)
                await served(node, 30, 300)
                assert len(first.requests) > had

        asyncio.run(play())


def test_a_node_starts_with_what_configuration_took_out(tmp_path: Path) -> None:
    with Fleet(tmp_path, relays=1, nodes=()) as fleet:
        relay = fleet.relays[0]
        table = DistributionTable(
            FLEET, "n", "node", str(tmp_path / "n"), sources=(f"127.0.0.1:{relay.port}",), scopes=("service/x",)
        )
        fleet.change({f"server/s{n}": value(n) for n in range(3)}, "service/x")
        mark = fleet.change({"server/s0": None}, "service/x")

        async def play(*, first: bool) -> None:
            away, *others = Server(), Server(), Server()
            async with running(away, *others, distribution=table) as node:
                if first:
                    await until(lambda: node.node.lists.gauges()["distribution.number"] == mark.number)
                await until(lambda: states(node.node)["s0"] is Lifecycle.DRAINING)
                had = len(away.requests)
                await served(node, 30, 0)
                assert len(away.requests) == had
                assert first or not had  # the second life never sent it anything

        asyncio.run(play(first=True))
        relay.end(signal.SIGKILL)
        asyncio.run(play(first=False))


@pytest.mark.parametrize(
    ("operator", "said"),
    [
        ("role = 'relay'\nlisten = 'h:1'\nsources = ['h:2']", "distribution: role must be node"),
        ("role = 'node'\nsources = ['h:2']\nscopes = ['fleet']", "scopes must name one service"),
        ("role = 'node'\nsources = ['h:2']\nscopes = ['service/a', 'service/b']", "scopes must name one service"),
        ("role = 'node'\nscopes = ['service/a']", "distribution: sources: a node needs one"),
    ],
)
def test_a_bad_table_is_one_plain_line(tmp_path: Path, operator: str, said: str) -> None:
    (tmp_path / "config.json").write_text(json.dumps(config()))
    begin = f"[distribution]\nfleet = 'f'\nname = 'n'\nstore = '{tmp_path}/store'\n"
    (tmp_path / "operator.toml").write_text(begin + operator)
    env = {**environment(tmp_path / "config.json"), "CLOVERHOLD_CONFIG": str(tmp_path / "operator.toml")}
    words = [sys.executable, "-m", "cloverhold"]
    done = subprocess.run(words, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and said in done.stderr, done.stderr
