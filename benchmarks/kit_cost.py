"""What the rehearsal kit itself costs: its loop's lag at growing sizes, with the kit and its nodes on some cores.

    python benchmarks/kit_cost.py [--cores 4] [--length 20]

Each size is played once, without faults, at a load of about a third of the fleet. The kit is one process: its own
core is the bound. Figures: lag of the kit's loop (p99 and most, over the whole run), its CPU, and the nodes'.
"""

from __future__ import annotations

import argparse
import os
import resource
import sys
import tempfile
import time
from pathlib import Path

import uvloop

from cloverhold.rehearsal.files import find
from cloverhold.rehearsal.judge import judge
from cloverhold.rehearsal.scenario import Scenario
from cloverhold.rehearsal.stage import rehearse

SIZES = ((2, 20, 400), (2, 40, 800), (4, 60, 1000), (4, 60, 1400), (6, 60, 1800), (8, 100, 2400), (8, 200, 3000))
WORK_MS = 0.33 * 1000  # of all cores' time in a second


def sized(nodes: int, servers: int, rate: float, length_s: float) -> Scenario:
    """The base scenario at this size: the work of a request is scaled so that servers are a third busy."""
    base = find("client-silent").model_copy(update={"faults": (), "length_s": length_s, "name": "size"})
    mean = sum(c.share * c.work_ms for c in base.classes) / sum(c.share for c in base.classes)
    scale = 1.15 * servers * WORK_MS / (rate * mean)
    classes = tuple(c.model_copy(update={"work_ms": c.work_ms * scale}) for c in base.classes)
    return base.model_copy(update={
        "classes": classes,
        "fleet": base.fleet.model_copy(update={"servers": servers, "choke_at": None}),
        "nodes": base.nodes.model_copy(update={"count": nodes}),
        "clients": base.clients.model_copy(update={"rate_per_s": float(rate), "arrivals": "steady"}),
    })  # fmt: skip


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--cores", type=int, default=4)
    parser.add_argument("--length", type=float, default=20.0)
    options = parser.parse_args()
    os.sched_setaffinity(0, set(sorted(os.sched_getaffinity(0))[: options.cores]))
    print(f"{os.cpu_count()} cores, {options.cores} of them for kit and nodes; {options.length:g} s each\n")
    print("| nodes | servers | requests/s | lag p99 ms | lag most ms | kit CPU | nodes' CPU | service | rules |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for nodes, servers, rate in SIZES:
        scenario = sized(nodes, servers, rate, options.length)
        kit, children = resource.getrusage(resource.RUSAGE_SELF), resource.getrusage(resource.RUSAGE_CHILDREN)
        begun = time.monotonic()
        with tempfile.TemporaryDirectory() as folder:
            ledger = uvloop.run(rehearse(scenario, Path(folder)))
        took = time.monotonic() - begun
        kit_after, children_after = (
            resource.getrusage(who) for who in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)
        )
        verdict = judge(scenario, ledger)
        kit_s = kit_after.ru_utime + kit_after.ru_stime - kit.ru_utime - kit.ru_stime
        nodes_s = children_after.ru_utime + children_after.ru_stime - children.ru_utime - children.ru_stime
        kept = "kept" if not any(verdict.rules.values()) else "broken"
        void = " (void)" if verdict.void else ""
        print(
            f"| {nodes} | {servers} | {rate} | {verdict.lag_p99_ms:.1f} | {verdict.lag_max_ms:.0f} | "
            f"{kit_s / took:.2f} | {nodes_s / took:.2f} | {verdict.service.service:.3f} | {kept}{void} |",
            flush=True,
        )


if __name__ == "__main__":
    sys.exit(main())
