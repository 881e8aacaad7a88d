"""A poisoned tenant on a live fleet, with cells and without: the others' service beside that of a day without poison.

    python benchmarks/cells_poison.py [--scenario cells-poison] [--seeds 1,2,3] [--at-once 2] [--out DIR]

Each seed is played four times: cells on and off, with the fault and without. Real nodes, stand-in servers, loopback;
about half a minute a play.
"""

from __future__ import annotations

import argparse
import json
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import tomlkit

from cloverhold.rehearsal.files import shipped


def variant(scenario: str, out: Path, *, cells: bool, poison: bool) -> Path:
    """The scenario's file with cells and fault as asked for."""
    raw: dict[str, Any] = tomllib.loads(shipped()[scenario].read_text())
    if not cells:
        del raw["nodes"]
    if not poison:
        del raw["fault"]
    raw["goals"] = {}
    shutil.copy(shipped()[scenario].parent / "base.toml", out)
    path = out / f"{scenario}-{'cells' if cells else 'plain'}-{'poison' if poison else 'calm'}.toml"
    path.write_text(tomlkit.dumps(raw))
    return path


def play(path: Path, seed: int, out: Path) -> dict[str, Any]:
    """One run; its report. A void one is played once more."""
    for _ in range(2):
        said = out / f"{path.stem}-{seed}.json"
        command = [sys.executable, "-m", "cloverhold.cli", "rehearse", str(path), "--seed", str(seed),
                   "--json", str(said), "--logs", str(out / f"{path.stem}-{seed}.logs")]  # fmt: skip
        subprocess.run(command, capture_output=True, text=True, timeout=300, check=False)
        report: dict[str, Any] = json.loads(said.read_text())
        if not report["void"]:
            break
    return report


def others(report: dict[str, Any], shares: dict[str, float]) -> float:
    """The service of all tenants but the poisoned one, weighed by what they ask."""
    rest = {name: share for name, share in shares.items() if name != "veneno"}
    return sum(report["service"]["tenants"][name] * share for name, share in rest.items()) / sum(rest.values())


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--scenario", default="cells-poison")
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    seeds = [int(seed) for seed in options.seeds.split(",")]
    kinds = [(True, False), (True, True), (False, False), (False, True)]
    with tempfile.TemporaryDirectory() as spare, ThreadPoolExecutor(options.at_once) as pool:
        out = options.out or Path(spare)
        out.mkdir(parents=True, exist_ok=True)
        paths = {kind: variant(options.scenario, out, cells=kind[0], poison=kind[1]) for kind in kinds}
        tenants = tomllib.loads(paths[kinds[0]].read_text())["tenant"]
        shares = {t["name"]: t.get("share", 1.0) for t in tenants}
        runs = {(kind, seed): pool.submit(play, paths[kind], seed, out) for kind in kinds for seed in seeds}
        print("| seed | cells | others, calm | others, poison | lost | worst tenant, calm | poison | rules | lag ms |")
        print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
        for seed in seeds:
            for cells in (True, False):
                calm, bad = (runs[(cells, poison), seed].result() for poison in (False, True))
                before, after = others(calm, shares), others(bad, shares)
                worst = [min(v for n, v in r["service"]["tenants"].items() if n != "veneno") for r in (calm, bad)]
                broken = sorted({n for r in (calm, bad) for n, rule in r["rules"].items() if not rule["kept"]})
                lag = max(r["lag_ms"]["p99"] for r in (calm, bad))
                print(
                    f"| {seed} | {'on' if cells else 'off'} | {before:.4f} | {after:.4f} | {before - after:+.4f} | "
                    f"{worst[0]:.3f} | {worst[1]:.3f} | {', '.join(broken) or 'kept'} | {lag:.1f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
