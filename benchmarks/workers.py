"""Requests a second of N workers behind one port, each with a core to itself, beside one worker.

    python benchmarks/workers.py [--workers 1,4] [--seconds 4] [--servers 12] [--connections 64] [--rounds 3]

Closed loop; servers answer two bytes at once. The workers have the first cores, one server process and the clients the
rest, so that a fleet of four wants eight cores. Memory is the resident set of one worker at the end of the last round.
"""

from __future__ import annotations

import argparse
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from node_cost import __file__ as LOADS
from node_cost import cpu_s, free_port, node_command, started, until_listening


def children(pid: int) -> list[int]:
    """The workers of a supervisor; none where the node is one process."""
    return [int(p) for p in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def rss_mb(pid: int) -> float:
    """Resident memory of a process."""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def load(port: int, connections: int, seconds: float, cpus: list[int]) -> tuple[float, int]:
    """Requests a second and failures, of one loading process a core."""
    command = [sys.executable, LOADS, "--role", "load", str(port), str(connections // len(cpus)), str(seconds)]
    loaders = [
        subprocess.Popen(
            command, stdout=subprocess.PIPE, text=True, preexec_fn=lambda c=c: os.sched_setaffinity(0, {c})
        )
        for c in cpus
    ]
    said = [tuple(map(float, p.communicate(timeout=seconds + 30)[0].split())) for p in loaders]
    return sum(s[0] / s[2] for s in said), int(sum(s[1] for s in said))


def cell(workers: int, options: argparse.Namespace) -> tuple[float, float, float, int]:
    """Requests a second, CPU us a request, MB a worker, failures."""
    cores = sorted(os.sched_getaffinity(0))
    own, backend, loaders = set(cores[:workers]), {cores[-1]}, cores[max(workers, 4) : -1]
    serve = [sys.executable, LOADS, "--role", "serve", str(options.servers)]
    with tempfile.TemporaryDirectory() as name, started(serve, backend, stdout=subprocess.PIPE) as serving:
        assert serving.stdout is not None
        port, ports = free_port(), [int(p) for p in serving.stdout.readline().split()]
        command, env = node_command(Path(name), port, ports)
        command = [sys.executable, "-m", "cloverhold.cli", "run", *(["--workers", str(workers)] if workers > 1 else [])]
        with started(command, own, env=env, stderr=subprocess.DEVNULL) as node:
            until_listening(port)
            time.sleep(2.0)
            pids = children(node.pid) if workers > 1 else [node.pid]
            for pid, core in zip(pids, sorted(own), strict=True):
                os.sched_setaffinity(pid, {core})
            rates, costs, failed = [], [], 0
            for at in range(options.rounds + 1):
                before = sum(map(cpu_s, pids))
                rate, bad = load(port, options.connections, options.seconds, loaders)
                if at:  # the first round warms up
                    rates.append(rate)
                    costs.append(1e6 * (sum(map(cpu_s, pids)) - before) / (rate * options.seconds))
                    failed += bad
            memory = max(map(rss_mb, pids))
            node.send_signal(signal.SIGTERM)
            node.wait(15)
    return statistics.median(rates), statistics.median(costs), memory, failed


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--workers", default="1,2,4")
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--servers", type=int, default=12)
    parser.add_argument("--connections", type=int, default=63)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    print("| workers | req/s | beside one | CPU us a request | MB a worker | failed |")
    print("| --- | --- | --- | --- | --- | --- |")
    first = 0.0
    for workers in map(int, options.workers.split(",")):
        rate, cost, memory, failed = cell(workers, options)
        first = first or rate
        print(f"| {workers} | {rate:.0f} | {rate / first:.2f} | {cost:.0f} | {memory:.0f} | {failed} |", flush=True)


if __name__ == "__main__":
    main()
