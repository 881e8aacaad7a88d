"""CPU per proxied request and requests a second on one core: the node beside a bare forwarder, in the same run.

    python benchmarks/node_cost.py [--seconds 4] [--servers 12,100,1000] [--connections 1,16,128] [--tree DIR]

Servers answer two bytes at once and probes too. What is measured runs alone on one core, servers and clients on
others. CLOVERHOLD_CONFIG, where it is set, goes on to the node. The ratio is the figure: it holds when the machine's
speed does not. Everything is on loopback, and each cell is bounded in time and count.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import cast

import httptools
import uvloop

HERE = Path(__file__).parent
LOADERS = 2  # processes that send
TICKS = os.sysconf("SC_CLK_TCK")
MOST = 400_000  # requests of a cell
TENANTS = 10_000  # that clients call themselves, in turn
SETTINGS = {
    "Zone": "z", "GroupSize": 1, "ResolutionMs": 5.0, "RegistryMode": "automatic", "WeightSource": "none",
    "Goal": {"Whole": 0.55, "WorstClass": 0.3}, "Deductions": {"Probe": 0.01},
    "Limits": {"Probes": True, "Cancelling": True, "ParallelTries": False, "MaxAttempts": 4, "RetryAfter": True,
               "MaxRetryAfterMs": 2000.0, "ConnIdleMs": 60000.0, "DialTimeoutMs": 250.0},
    "Guarantees": {"AnswerSlackMs": 20.0, "ColdFrom": 0.3, "ColdMs": 9000.0, "DrainGraceMs": 500.0,
                   "FallMs": 1500.0, "FallMultiple": 2.5},
    "Profiles": [{"Name": "consulta", "AimMs": 1500.0, "DeadlineMs": 4000.0, "Repeat": "read_like", "Points": 1.0}],
}  # fmt: skip


# ------------------------------------------------------------------------------------------- servers and clients


class Answering(asyncio.Protocol):
    """A server's end: two bytes for each request, a report for each probe."""

    REPORT = b'{"inflight":0,"queue":0,"qps":1}'

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        body = self.REPORT if url == b"/_load" else b"ok"
        self.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def on_message_complete(self) -> None:
        self.transport.write(self.answer)


async def serve(count: int) -> None:
    """So many servers in one process; their ports go to standard output."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Answering, "127.0.0.1", 0) for _ in range(count)]
    print(*(s.sockets[0].getsockname()[1] for s in servers), flush=True)
    await asyncio.Event().wait()


class Asking(asyncio.Protocol):
    """One client: the next request as soon as the last has its answer."""

    def __init__(self, name: str, until: float) -> None:
        self.name, self.until, self.count, self.failed, self.number = name, until, 0, 0, 0
        self.over = asyncio.get_running_loop().create_future()
        self.head = (
            "GET /consulta?sid=7f3a HTTP/1.1\r\nHost: api\r\nX-Call-Class: consulta\r\nX-Budget: 2600m\r\n"
            f"X-Call-Id: {name}-"
        ).encode()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = httptools.HttpResponseParser(self)
        self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.over.done():
            self.over.set_result(None)

    def _ask(self) -> None:
        self.number += 1
        self.transport.write(self.head + b"%d\r\nX-Caller: t%d\r\n\r\n" % (self.number, self.number * 7919 % TENANTS))

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        self.count += 1
        self.failed += self.parser.get_status_code() != 200
        if time.monotonic() < self.until and self.count < MOST:
            self._ask()
        elif not self.over.done():
            self.over.set_result(None)


async def load(port: int, connections: int, seconds: float) -> None:
    """Closed loop on so many connections; prints the requests answered, those that failed, and the time taken."""
    loop, until = asyncio.get_running_loop(), time.monotonic() + seconds
    asking = [
        (await loop.create_connection(lambda n=n: Asking(f"{os.getpid()}-{n}", until), "127.0.0.1", port))[1]
        for n in range(connections)
    ]
    begun = time.monotonic()
    await asyncio.wait([a.over for a in asking], timeout=seconds + 10)
    took = time.monotonic() - begun
    print(sum(a.count for a in asking), sum(a.failed for a in asking), took, flush=True)


# ------------------------------------------------------------------------------------------------------ measuring


def cpu_s(pid: int) -> float:
    """The CPU time that a process has used, in seconds."""
    cells = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(cells[11]) + int(cells[12])) / TICKS


@contextmanager
def started(command: list[str], cpus: set[int], **changes: object) -> Iterator[subprocess.Popen[str]]:
    """A process on these cores, ended on the way out."""
    process = subprocess.Popen(
        command, text=True, preexec_fn=lambda: os.sched_setaffinity(0, cpus), **changes  # type: ignore[call-overload]
    )  # fmt: skip
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        for pipe in (process.stdout, process.stderr):
            if pipe is not None:
                pipe.close()


def free_port() -> int:
    """A port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def until_listening(port: int) -> None:
    """Wait until something accepts."""
    for _ in range(600):
        try:
            socket.create_connection(("127.0.0.1", port), timeout=1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nothing listens on {port}")


def measure(pid: int, port: int, connections: int, seconds: float, cpus: list[set[int]]) -> tuple[float, float, int]:
    """CPU in microseconds a request, requests a second, and failures."""
    split = [connections // LOADERS + (n < connections % LOADERS) for n in range(LOADERS)]
    before = cpu_s(pid)
    loaders = [
        subprocess.Popen(
            [sys.executable, __file__, "--role", "load", str(port), str(part), str(seconds)],
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=lambda c=c: os.sched_setaffinity(0, c),
        )
        for part, c in zip(split, cpus, strict=True)
        if part
    ]
    said = [tuple(map(float, loader.communicate(timeout=seconds + 30)[0].split())) for loader in loaders]
    used, count = cpu_s(pid) - before, sum(s[0] for s in said)
    return 1e6 * used / max(1, count), sum(s[0] / s[2] for s in said), int(sum(s[1] for s in said))


def node_command(folder: Path, port: int, ports: list[int]) -> tuple[list[str], dict[str, str]]:
    """A node before these servers, that it knows from its remembered list."""
    targets = [
        {"uid": f"s{n}", "endpoint": f"127.0.0.1:{p}", "az": "z", "model": "m", "pod_group": 0, "state": "active",
         "capacity_hint": 1.0, "boot_ms": 0}
        for n, p in enumerate(ports)
    ]  # fmt: skip
    path = folder / "node.json"
    path.write_text(json.dumps({
        "name": "n0", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{free_port()}", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 8192}, "settings": SETTINGS,
        "known": {"rev": 1, "all": True, "targets": targets},
    }))  # fmt: skip
    return [sys.executable, "-m", "cloverhold"], {**os.environ, "PROXY_CONFIG": str(path)}


def cell(servers: int, connections: int, seconds: float, rounds: int, tree: str) -> dict[str, float]:
    """One cell of the table: node and forwarder in turn, the median of the rounds."""
    cores = sorted(os.sched_getaffinity(0))
    own, backend, loaders = {cores[0]}, {cores[1 % len(cores)]}, [{c} for c in (cores * 4)[2 : 2 + LOADERS]]
    with (
        tempfile.TemporaryDirectory() as name,
        started(
            [sys.executable, __file__, "--role", "serve", str(servers)], backend, stdout=subprocess.PIPE
        ) as serving,
    ):
        assert serving.stdout is not None
        ports = [int(p) for p in serving.stdout.readline().split()]
        port, bare_port = free_port(), free_port()
        command, env = node_command(Path(name), port, ports)
        bare = [sys.executable, str(HERE / "forwarder.py"), str(bare_port), ",".join(map(str, ports))]
        quiet = {"stderr": subprocess.DEVNULL}
        with started(command, own, env=env, cwd=tree, **quiet) as node, started(bare, own, **quiet) as forwarder:
            until_listening(port)
            until_listening(bare_port)
            rows = []
            for at in range(rounds + 1):
                mine = measure(node.pid, port, connections, seconds, loaders)
                theirs = measure(forwarder.pid, bare_port, connections, seconds, loaders)
                if at:  # the first round warms up
                    rows.append((*mine, *theirs))
    median = [statistics.median(column) for column in zip(*rows, strict=True)]
    return {
        "node_us": median[0], "node_rps": median[1], "node_failed": median[2], "bare_us": median[3],
        "bare_rps": median[4], "ratio": statistics.median(r[0] / r[3] for r in rows),
    }  # fmt: skip


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--servers", default="12,100,1000")
    parser.add_argument("--connections", default="1,16,128")
    parser.add_argument("--tree", default=".", help="the folder whose cloverhold runs, as build/compiled")
    parser.add_argument("--role", nargs="+", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.role:
        match options.role:
            case ["serve", count]:
                uvloop.run(serve(int(count)))
            case ["load", port, connections, seconds]:
                uvloop.run(load(int(port), int(connections), float(seconds)))
        return
    print(f"{os.cpu_count()} cores, {options.rounds} rounds of {options.seconds:g} s\n")
    print("| servers | connections | node us | node req/s | failed | bare us | bare req/s | ratio |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for servers in map(int, options.servers.split(",")):
        for connections in map(int, options.connections.split(",")):
            got = cell(servers, connections, options.seconds, options.rounds, options.tree)
            print(
                f"| {servers} | {connections} | {got['node_us']:.0f} | {got['node_rps']:.0f} | "
                f"{got['node_failed']:.0f} | {got['bare_us']:.0f} | {got['bare_rps']:.0f} | {got['ratio']:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
