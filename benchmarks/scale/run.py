"""Play the scale tests and keep their slopes: python benchmarks/scale/run.py [--only NAME ...] [--jobs N] [--small].
`make scale` is all of it; docs/measurements/capacity.md says how long that takes.

Each play is a process of its own that ends with this one, also at ctrl-c or when it is killed. What was measured goes
to cloverhold/fleet/capacity/slopes.json, by name, with the commit; the charts to docs/measurements/capacity/.
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import subprocess
import sys
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ProcessPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from statistics import median

import msgspec
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

ROOT = Path(__file__).parents[2]
sys.path.insert(0, str(ROOT))

from benchmarks.scale import members, state  # noqa: E402
from cloverhold.fleet.capacity.page import MEASURED, measured, sloped  # noqa: E402
from cloverhold.fleet.capacity.slopes import Slope, Term  # noqa: E402

SERVERS = (5_000, 10_000, 20_000, 40_000, 79_000)
TENANTS = (12_000, 24_000, 48_000, 95_000, 190_000)
NUMBERS = (400, 800, 1_600, 3_200, 6_600)
FLEETS = (100, 200, 400, 800, 1_600)
SMALL = (24, 32, 48, 64, 96)


@dataclass(frozen=True)
class Play:
    """One function of a size (and a seed), and the slopes that come of it: name, figure, unit, term."""

    name: str
    call: Callable[..., dict[str, float]]
    of: str
    sizes: tuple[int, ...]
    times: int  # plays at each size, of a seed each where it draws
    slopes: tuple[tuple[str, str, str, Term], ...]


PLAYS = (
    Play("table", state.table, "servers", SERVERS, 3, (
        ("table_bytes", "bytes of the module's rows", "B", "linear"),
        ("table_ms", "entering the whole list", "ms", "linear"))),
    Play("list", state.whole_list, "servers", SERVERS, 1, (
        ("list_bytes", "bytes of the whole list", "B", "linear"),)),
    Play("tenants", state.tenants, "tenants", TENANTS, 1, (
        ("tenants_bytes", "bytes of tenants in cells", "B", "linear"),)),
    Play("book", state.book, "nodes", NUMBERS, 1, (
        ("book_bytes", "bytes of a member's book", "B", "linear"),
        ("view_bytes", "bytes of a whole view on the wire", "B", "linear"))),
    Play("rest", members.rest, "nodes", NUMBERS, 1, (
        ("rest_datagrams", "datagrams a node and second at rest", "", "flat"),
        ("rest_bytes", "bytes a node and second at rest", "B", "flat"),
        ("rest_cpu_ms", "ms of a core a node and second at rest, the simulated network in it", "ms", "flat"))),
    Play("death", members.death, "nodes", FLEETS, 3, (
        ("death_all_ms", "one death, until all know", "ms", "log"),
        ("death_worst_bytes", "one death, bytes of the dearest node in a second", "B", "log"))),
    Play("zone", members.zone, "nodes", FLEETS, 2, (
        ("zone_half_ms", "a twelfth dies, until half of all know", "ms", "linear"),
        ("zone_all_ms", "a twelfth dies, until all know of all", "ms", "linear"),
        ("zone_worst_bytes", "a twelfth dies, bytes of the dearest node in a second", "B", "linear"),
        ("zone_mean_bytes", "a twelfth dies, bytes of the mean node in the dearest second", "B", "linear"))),
    Play("restart", members.restart, "nodes", FLEETS, 2, (
        ("restart_all_ms", "one restart, until all hold its life", "ms", "log"),
        ("restart_own_bytes", "one restart, bytes that it sends in 8 s", "B", "log"),
        ("restart_extra_bytes", "one restart, bytes beyond rest in 8 s, a node", "B", "flat"))),
    Play("cold", members.cold, "nodes", (50, 100, 200, 400, 800), 2, (
        ("cold_all_ms", "all from cold, until one view", "ms", "linear"),
        ("cold_worst_bytes", "all from cold, bytes of the dearest node in a second", "B", "linear"),
        ("cold_bytes", "all from cold, bytes of a node until one view", "B", "linear"))),
    Play("apart", members.apart, "nodes", (24, 48, 96, 144, 192), 2, (
        ("apart_all_ms", "halves apart for five minutes, until one view after", "ms", "linear"),
        ("apart_worst_bytes", "halves that met, bytes of the dearest node in a second", "B", "linear"))),
)  # fmt: skip


def commit() -> str:
    """The commit that is played, with a plus where files differ from it."""
    words = ["git", "describe", "--always", "--dirty=+", "--abbrev=7", "--exclude=*"]
    return subprocess.run(words, cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()


def _end_with_parent() -> None:
    """In a play: end when whoever started it has ended, however it did. (A pool's process would go on to its end.)"""
    parent = multiprocessing.parent_process()
    assert parent is not None

    def watch() -> None:
        parent.join()
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()


def slopes_of(play: Play, found: dict[int, list[dict[str, float]]], at: str) -> Iterable[Slope]:
    """What all plays of one kind come to."""
    sizes = sorted(found)
    for name, figure, unit, term in play.slopes:
        values = [[row[name] for row in found[size]] for size in sizes]
        yield Slope(
            name, figure, unit, play.of, term, tuple(map(float, sizes)), tuple(float(median(v)) for v in values),
            tuple(float(min(v)) for v in values), tuple(float(max(v)) for v in values),
            f"benchmarks/scale/run.py --only {play.name}", at,
        )  # fmt: skip


def played(plays: Iterable[Play], jobs: int, *, small: bool = False) -> list[Slope]:
    """Play all sizes and seeds, the dearest first. Whoever is interrupted ends what runs."""
    at, found = commit(), {play.name: dict[int, list[dict[str, float]]]() for play in plays}
    todo = [
        (play, size, seed)
        for play in plays
        for size in (SMALL if small else play.sizes)
        for seed in range(1, 1 + play.times)
    ]
    todo.sort(key=lambda job: -job[1] / max(job[0].sizes))
    bar = Progress(TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with bar, ProcessPoolExecutor(jobs, initializer=_end_with_parent, max_tasks_per_child=1) as pool:
        line = bar.add_task("playing", total=len(todo))
        running: dict[Future[dict[str, float]], tuple[Play, int]] = {}
        try:
            for play, size, seed in todo:
                words = (size, seed) if play.call.__module__ == members.__name__ else (size,)
                running[pool.submit(play.call, *words)] = play, size
            for done in as_completed(running):
                play, size = running[done]
                found[play.name].setdefault(size, []).append(done.result())
                bar.update(line, advance=1, description=f"{play.name} {size:,}")
        except BaseException:
            for process in list((pool._processes or {}).values()):  # the pool itself would wait for what runs
                process.kill()
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return [slope for play in plays for slope in slopes_of(play, found[play.name], at)]


def charted(slopes: Iterable[Slope], folder: Path) -> None:
    """A chart each: what came, its spread, and the line that the smaller sizes drew to the largest."""
    import matplotlib as mpl

    mpl.use("svg")
    mpl.rcParams["svg.hashsalt"] = "cloverhold"  # the same bytes for the same figures
    from matplotlib import pyplot as plt

    folder.mkdir(parents=True, exist_ok=True)
    for slope in slopes:
        fig, axes = plt.subplots(figsize=(5, 3))
        spread = [[v - lo for v, lo in zip(slope.values, slope.low, strict=True)],
                  [hi - v for v, hi in zip(slope.values, slope.high, strict=True)]]  # fmt: skip
        axes.errorbar(slope.sizes, slope.values, yerr=spread, fmt="o", label="came")
        curve, steps = slope.curve(), [slope.sizes[0] + k * (slope.sizes[-1] - slope.sizes[0]) / 60 for k in range(61)]
        told = f"told by the {len(slope.sizes) - 1} smaller ({slope.term})"
        axes.plot(steps, [curve.at(n) for n in steps], label=told)
        axes.set(xlabel=slope.of, ylabel=slope.unit or "count", title=slope.figure, ylim=(0, None))
        axes.title.set_fontsize(8)
        axes.legend(fontsize=7)
        fig.tight_layout()
        fig.savefig(folder / f"{slope.name}.svg", metadata={"Date": None})
        plt.close(fig)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--only", nargs="+", choices=[play.name for play in PLAYS])
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--small", action="store_true", help="small fleets, kept nowhere: a look in a minute")
    options = parser.parse_args()
    plays = [play for play in PLAYS if not options.only or play.name in options.only]
    new = played(plays, options.jobs, small=options.small)
    if not options.small:
        held = measured() if MEASURED.exists() else {}
        held |= {slope.name: slope for slope in new}
        order = [name for play in PLAYS for name, *_ in play.slopes]
        kept = [held[name] for name in order if name in held]
        MEASURED.write_bytes(msgspec.json.format(msgspec.json.encode(kept), indent=1) + b"\n")
        charted(new, ROOT / "docs/measurements/capacity")
    print("\n".join(sloped(new)))


if __name__ == "__main__":
    try:
        main()
    except KeyboardInterrupt:
        sys.exit(130)
