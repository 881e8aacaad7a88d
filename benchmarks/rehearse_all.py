"""Plays every shipped scenario (or those named) with several seeds and prints a table. Takes some minutes.

    python benchmarks/rehearse_all.py [--seeds 1,2,3] [--at-once 3] [--out DIR] [SCENARIO ...]

Exit status 0: every run passed; 1: not. A void run is played once more, by itself.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from cloverhold.rehearsal.files import shipped

VOID = 3


def play(name: str, seed: int, out: Path) -> dict[str, Any]:
    """One run; its verdict."""
    stem = out / f"{Path(name).stem}-{seed}"
    said = stem.with_suffix(".json")
    command = [sys.executable, "-m", "cloverhold.cli", "rehearse", name, "--seed", str(seed), "--json", str(said)]
    command += ["--ledger", str(stem.with_suffix(".jsonl")), "--logs", str(stem.with_suffix(".logs"))]
    done = subprocess.run(command, capture_output=True, text=True, timeout=300, check=False)
    if not said.exists():
        return {"verdict": "none", "exit": done.returncode, "said": done.stderr.strip(), "rules": {}}
    verdict: dict[str, Any] = json.loads(said.read_text())
    return verdict


def row(name: str, verdicts: list[dict[str, Any]]) -> str:
    """A line of the table."""
    service = [v["service"]["service"] for v in verdicts if "service" in v]
    lag = max((v["lag_ms"]["p99"] for v in verdicts if "lag_ms" in v), default=0.0)
    broken = sorted({rule for v in verdicts for rule, found in v["rules"].items() if not found["kept"]})
    words = ", ".join(dict.fromkeys(v["verdict"] for v in verdicts))
    shown = f"{min(service):.3f} to {max(service):.3f}" if service else "-"
    return f"| {name} | {shown} | {', '.join(broken) or 'kept'} | {words} | {lag:.1f} |"


def main() -> int:
    """Play them all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("scenarios", nargs="*", default=sorted(shipped()))
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    seeds = [int(s) for s in options.seeds.split(",")]
    with tempfile.TemporaryDirectory() as spare, ThreadPoolExecutor(options.at_once) as pool:
        out = options.out or Path(spare)
        out.mkdir(parents=True, exist_ok=True)
        runs = {(n, s): pool.submit(play, n, s, out) for n in options.scenarios for s in seeds}
        print(f"{os.cpu_count()} cores, {options.at_once} runs at once, seeds {options.seeds}\n")
        print("| scenario | service | rules | verdict | lag p99 ms |\n| --- | --- | --- | --- | --- |")
        passed = True
        for name in options.scenarios:
            verdicts = [runs[name, s].result() for s in seeds]
            verdicts = [v if v["exit"] != VOID else play(name, s, out) for v, s in zip(verdicts, seeds, strict=True)]
            passed = passed and all(v["exit"] == 0 for v in verdicts)
            print(row(Path(name).stem, verdicts), flush=True)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
