"""Hollow nodes beside real ones: the same fleet, at rest and with two deaths. Used by benchmarks/scale/run.py.

Real nodes are `cloverhold run` with `[membership]` and no traffic; their processor time is taken beside the same nodes
without it. All on loopback, one address a number.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from benchmarks.node_cost import cpu_s
from cloverhold.simulation.hollow.process import address

ROOT = Path(__file__).parents[2]
REST_S, AFTER_S, WAIT_S = 6.0, 5.0, 60.0
SETTINGS: dict[str, Any] = {
    "Zone": "a",
    "ResolutionMs": 5.0,
    "RegistryMode": "automatic",
    "Limits": {"Probes": True, "Cancelling": True, "ParallelTries": False, "MaxAttempts": 4, "Peers": True},
    "Guarantees": {"AnswerSlackMs": 20.0, "ColdFrom": 0.3, "ColdMs": 9000.0, "DrainGraceMs": 500.0, "FallMs": 1500.0,
                   "FallMultiple": 2.5},
    "Profiles": [{"Name": "get", "AimMs": 4000.0, "DeadlineMs": 8000.0, "Repeat": "read_like"}],
}  # fmt: skip


class Real:
    """Real nodes."""

    def __init__(self, nodes: int, folder: Path, *, membership: bool) -> None:
        self.nodes, self.folder, self.membership = nodes, folder, membership
        self.processes: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, number: int) -> None:
        host, port = address(number)
        told = {
            "name": f"n{number}", "listen": f"{host}:{port + 1}", "discovery": f"{host}:{port + 2}",
            "mgmt": f"{host}:{port + 3}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "settings": {**SETTINGS, "GroupSize": self.nodes, "Me": number}, "peer_listen": f"{host}:{port}",
            "peers": ["{}:{}".format(*address(n)) for n in range(self.nodes)],
        }  # fmt: skip
        config, operator = self.folder / f"{number}.json", self.folder / "operator.toml"
        config.write_text(json.dumps(told))
        operator.write_text("[membership]\nfleet = 'real'\n" if self.membership else "")
        env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        env |= {"PROXY_CONFIG": str(config), "CLOVERHOLD_CONFIG": str(operator), "TMPDIR": str(self.folder)}
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "cloverhold"], cwd=ROOT, env=env,
            stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        )  # fmt: skip

    def kill(self, number: int) -> None:
        process = self.processes.pop(number)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def look(self) -> dict[str, Any]:
        spent = sum(cpu_s(process.pid) for process in self.processes.values())
        nodes = {}
        for number in self.processes if self.membership else ():
            host, port = address(number)
            connection = http.client.HTTPConnection(host, port + 3, timeout=5)
            connection.request("GET", "/_members")
            said = json.loads(connection.getresponse().read())
            connection.close()
            living = sum(m["state"] in ("alive", "suspected") for m in said["members"])
            nodes[number] = {**said["sent"], "living": living, "acts_on_view": said["acts_on_view"]}
        return {"cpu_s": spent, "at_s": time.monotonic(), "nodes": nodes}

    def close(self) -> None:
        for number in list(self.processes):
            self.kill(number)


class Hollow:
    """Hollow ones, all in one process."""

    def __init__(self, nodes: int) -> None:
        words = [sys.executable, "-m", "cloverhold.simulation.hollow.process", str(nodes), "0", str(nodes)]
        self.process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self._said()

    def _said(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        said: dict[str, Any] = json.loads(self.process.stdout.readline())
        return said

    def _ask(self, words: str) -> dict[str, Any]:
        assert self.process.stdin is not None
        print(words, file=self.process.stdin, flush=True)
        return self._said()

    def kill(self, number: int) -> None:
        self._ask(f"kill {number}")

    def look(self) -> dict[str, Any]:
        return self._ask("look")

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


@contextmanager
def real(nodes: int, *, membership: bool = True) -> Iterator[Real]:
    """So many real nodes, ended with the block."""
    with ExitStack() as stack:
        one = Real(nodes, Path(stack.enter_context(TemporaryDirectory())), membership=membership)
        stack.callback(one.close)
        for number in range(nodes):
            one.start(number)
        yield one


@contextmanager
def hollow(nodes: int) -> Iterator[Hollow]:
    """So many hollow ones."""
    one = Hollow(nodes)
    try:
        yield one
    finally:
        one.close()


def until(true: Callable[[], bool], what: str) -> None:
    """Wait for it; TimeoutError where it does not come."""
    end = time.monotonic() + WAIT_S
    while not true():
        if time.monotonic() > end:
            raise TimeoutError(what)
        time.sleep(0.2)


def one_view(fleet: Real | Hollow, nodes: int) -> bool:
    """Whether that many hold one another, and act on it."""
    try:
        rows = list(fleet.look()["nodes"].values())
    except OSError:
        return False  # one does not answer yet
    return len(rows) == nodes and all(row["living"] == nodes and row["acts_on_view"] for row in rows)


def _apart(before: dict[str, Any], after: dict[str, Any]) -> dict[str, float]:
    """What a node said and spent a second between two looks."""
    over = (after["at_s"] - before["at_s"]) * len(after["nodes"])
    found = {"cpu_ms": 1000 * (after["cpu_s"] - before["cpu_s"]) / over}
    for key in ("datagrams", "bytes"):
        found[key] = sum(row[key] - before["nodes"][n][key] for n, row in after["nodes"].items()) / over
    return found


def played(fleet: Real | Hollow, nodes: int) -> dict[str, float]:
    """One view, some seconds of rest, two deaths: datagrams, bytes and CPU a node and second, and who is held."""
    until(lambda: one_view(fleet, nodes), "one view")
    time.sleep(6.0)  # news of the start is passed on for some seconds
    first = fleet.look()
    time.sleep(REST_S)
    second = fleet.look()
    for number in (0, nodes // 2):
        fleet.kill(number)
    after = fleet.look()
    time.sleep(AFTER_S)
    last = fleet.look()
    assert one_view(fleet, nodes - 2), "the dead are not known to all"
    found = {f"rest_{key}": value for key, value in _apart(first, second).items()}
    found |= {f"deaths_{key}": value for key, value in _apart(after, last).items() if key != "cpu_ms"}
    return found | {"living": float(min(row["living"] for row in last["nodes"].values()))}


def idle_cpu_ms(nodes: int) -> float:
    """Processor time of a real node and second without membership."""
    with real(nodes, membership=False) as fleet:
        time.sleep(5.0)
        first = fleet.look()
        time.sleep(REST_S)
        last = fleet.look()
        return float(1000 * (last["cpu_s"] - first["cpu_s"]) / (last["at_s"] - first["at_s"]) / nodes)


def compared(nodes: int) -> dict[str, dict[str, float]]:
    """Both, one after the other."""
    with hollow(nodes) as one:
        thin = played(one, nodes)
    bare = idle_cpu_ms(nodes)
    with real(nodes) as one:
        whole = played(one, nodes)
    whole["rest_cpu_ms"] -= bare
    return {"hollow": thin, "real": whole, "idle": {"cpu_ms": bare}}
