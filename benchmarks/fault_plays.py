#!/usr/bin/env python3
"""More seeds of the plays in tests/faults than CI has time for: ends, slow uploads, drains beside crowds, memory.

    python benchmarks/fault_plays.py --first 100 --seeds 50 --jobs 7

Each seed draws its own sizes, rates, framings, limits and instants; the judges are the tests' own. The last line counts
the plays and the failures; a failure is printed with its seed.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "faults")]
PLAYS = ("ends", "uploads", "drains", "memory")
LONGEST_PLAY_S = 90.0


def play_one(name: str, seed: int) -> None:
    """One play in this process; an assertion fails where a rule is broken."""
    import test_drains_beside_crowds as drains
    import test_ends_of_connections as ends
    import test_memory_at_every_limit as memory
    import test_slow_uploads as uploads

    draw = random.Random(f"{name}:{seed}")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder)
        match name:
            case "ends":
                ends.test_any_end_of_an_answer_that_is_not_whole_is_told_to_many_clients_at_once(path, seed)
            case "uploads":
                uploads.test_final_answer_to_a_large_request_that_its_server_reads_slowly_comes_within_the_clients_time(
                    path, seed, draw.random() < 0.5
                )
            case "drains":
                state = draw.choice(["leaving", "left"])
                late = asyncio.run(drains.sent_late_beside(path, drains.Crowd.drawn(seed), state))
                assert not late, late
            case "memory":
                memory.test_crowd_of_hostile_clients_costs_neither_the_process_nor_usual_clients_their_answers(
                    path, draw.choice([memory.one_of_all, *memory.HOSTILE]), draw.randrange(32, 193),
                    draw.randrange(256, 1025),
                )  # fmt: skip


def run_one(job: tuple[str, int]) -> str | None:
    """One play in a process of its own; what failed, or None."""
    name, seed = job
    command = [sys.executable, __file__, "--play", name, "--first", str(seed)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LONGEST_PLAY_S, check=False)
    return None if done.returncode == 0 else f"{name} seed {seed}: {done.stderr.strip().splitlines()[-1][:300]}"


def main() -> int:
    """Play them all; 1 where any failed."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--first", type=int, default=100)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--play", choices=PLAYS, help="one play, of the first seed, in this process")
    options = parser.parse_args()
    if options.play:
        play_one(options.play, options.first)
        return 0
    jobs = [(name, seed) for seed in range(options.first, options.first + options.seeds) for name in PLAYS]
    with ThreadPoolExecutor(options.jobs) as pool:
        failures = [failure for failure in pool.map(run_one, jobs) if failure is not None]
    print("\n".join(failures))
    print(f"{len(jobs)} plays, {len(failures)} failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
