"""The shipped scenario `store-kills` with many seeds, with and without its store, judged by the kit.

    python benchmarks/store_rehearsed.py [--seeds 18] [--at-once 4]

Prints kills, ids that were sent again to a node's next life, their answers, and the breaches of "nothing unsafe twice".
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from cloverhold.rehearsal.files import find
from cloverhold.rehearsal.judge import judge
from cloverhold.rehearsal.ledger import NodeLife, Try
from cloverhold.rehearsal.scenario import Scenario
from cloverhold.rehearsal.stage import rehearse

KEYS = ("kills", "ids sent again", "breaches")


def play(seed: int, store: bool) -> Counter[Any]:
    """One rehearsal's counts."""
    raw: dict[str, Any] = find("store-kills").model_dump(by_alias=True)
    raw["seed"] = seed
    if not store:
        raw["nodes"]["operator"] = {}
    scenario = Scenario.model_validate(raw)
    with tempfile.TemporaryDirectory() as folder:
        seen = asyncio.run(rehearse(scenario, Path(folder)))
    again = [row for row in seen.of(Try) if row.again and row.sent_s is not None]
    out: Counter[Any] = Counter(row.answers[0].status if row.answers else 0 for row in again)
    out["kills"] = sum(life.killed_s is not None and life.killed_s < scenario.length_s for life in seen.of(NodeLife))
    out["ids sent again"] = len({row.id for row in again})
    out["breaches"] = len(judge(scenario, seen).rules["no_repeat"])
    return out


def main() -> None:
    """Both ways, a table row each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=18)
    parser.add_argument("--at-once", type=int, default=4)
    options = parser.parse_args()
    print("| store | " + " | ".join(KEYS) + " | answers to repeats (0: none) |\n" + "| --- " * 5 + "|", flush=True)
    for store in (True, False):
        total: Counter[Any] = Counter()
        with ProcessPoolExecutor(options.at_once) as pool:
            for found in pool.map(play, range(1, options.seeds + 1), [store] * options.seeds):
                total.update(found)
        answers = ", ".join(f"{status}: {total[status]}" for status in sorted(k for k in total if isinstance(k, int)))
        counts = " | ".join(str(total[key]) for key in KEYS)
        print(f"| {'on' if store else 'off'} | {counts} | {answers} |", flush=True)


if __name__ == "__main__":
    main()
