"""Membership in figures: membership.py known [NxDEATHS ...] | false MINUTES FIRST-LAST_SEED [DETECTOR] | explore |
cost | service | node. docs/measurements/membership.md has them.

known: from a death to its being known, beside heartbeats and SWIM. false: deaths called of those that live, under each
kind of fault. explore: all schedules of three faults among three members. cost: CPU of the core and its wire.
service: simulated fleets of 60 nodes with it off and on. node: CPU of ten real nodes with it off and on.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from multiprocessing import Pool
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from typing import Any

import uvloop

sys.path.insert(0, str(Path(__file__).parent.parent))

from benchmarks.membership_baselines import Heartbeats, Plain, Swim
from cloverhold.rehearsal import nodes as nodes_of_the_kit
from cloverhold.rehearsal.files import find
from cloverhold.rehearsal.ledger import Usage
from cloverhold.rehearsal.stage import rehearse
from cloverhold.simulation.days import draw
from cloverhold.simulation.figures import play
from cloverhold.simulation.members import Fleet
from cloverhold.simulation.network import Network

PROCESSES = 8
SIZES = ("2x30", "10x30", "100x30", "1000x4")  # members, and how many deaths
KINDS: dict[str, Callable[[Any, int], None]] = {
    "calm": lambda f, n: None,
    "stops of 1 s": lambda f, n: [f.timeline.after(2500.0 * k, f.stop, k % n, 1000.0) for k in range(240)],
    "30% lost, all late": lambda f, n: _set(f, loss=0.3, twice=0.05, late=1.0, late_ms=100.0),
    "one link cut": lambda f, n: _set(f, cut=lambda s, t, now: {s, t} == {0, 1}),
    "one link turns": lambda f, n: _set(f, cut=lambda s, t, now: (s, t) == ((0, 1) if now % 2000 < 1000 else (1, 0))),
    "one late by 500 ms": lambda f, n: _starve(f, [1]),
    "all late by 500 ms": lambda f, n: _starve(f, range(n)),
}  # fmt: skip


def _set(f: Any, **changes: Any) -> None:
    for name, value in changes.items():
        setattr(f.network, name, value)


def _starve(f: Any, numbers: Iterable[int]) -> None:
    if isinstance(f, Fleet):
        f.starve(numbers, 500)
    else:
        for number in numbers:
            f.every[number] = 500.0


def _fleet(n: int, seed: int) -> Fleet:
    f = Fleet(n, seed, network=Network(), wire=False)
    spread = max(500.0, 10.0 * n)
    f.start(range(n), spread)
    f.run(spread + 100)
    f.until(f.agreed, 20_000, 500)
    f.run(1000)
    return f


def known(args: tuple[str, int, int]) -> tuple[str, int, list[float], float, float]:
    """Times to one, half and all of one death, and the datagrams and bytes a node and second before it."""
    what, n, seed = args
    if what == "membership":
        f: Any = _fleet(n, seed)
        sent, size, at = f.sent.total(), f.bytes.total(), f.now()
        f.run(3000)
        rate, bytes_ = (f.sent.total() - sent) / n / 3, (f.bytes.total() - size) / n / 3
        f.run(f.chance.random() * 250)
        at = f.now()
        f.kill([n // 2])
        f.run(6000)
        times = sorted(note.at - at for note in f.deaths(at) if note.change.number == n // 2)
    else:
        f = (Heartbeats if what == "heartbeats" else Swim)(n, seed)
        f.timeline.run(3000)
        rate, bytes_ = f.sent.total() / n / 3, f.bytes / n / 3
        f.timeline.run(3000 + f.chance.random() * 250)
        at = f.timeline.now
        f.kill(n // 2)
        f.timeline.run(at + 6000)
        times = sorted(t - at for t, by, of in f.deaths if of == n // 2 and t >= at)
    full = times[: n - 1]
    got = [full[0], full[len(full) // 2], full[-1]] if len(full) == n - 1 else [float("inf")] * 3
    return what, n, got, rate, bytes_


def false(args: tuple[str, str, int, int, float]) -> tuple[str, str, float, int]:
    """Deaths called of members that live, in so many simulated minutes."""
    what, kind, n, seed, minutes = args
    if what == "membership":
        f: Any = _fleet(n, seed)
        KINDS[kind](f, n)
        since = f.now()
        f.run(60_000 * minutes)
        return what, kind, n * minutes / 60, len(f.deaths(since))
    plain: Plain = (Heartbeats if what == "heartbeats" else Swim)(n, seed)
    KINDS[kind](plain, n)
    plain.timeline.run(60_000 * minutes)
    return what, kind, n * minutes / 60, len(plain.deaths)


def explore(first: tuple[str, str]) -> tuple[int, int, list[Any]]:
    from tests.explore import explore as every
    from tests.fleet.membership.three import FAULTS, three

    found = every(three(), (first[0],), (first[1],), FAULTS, FAULTS)
    return found.schedules, len(found.states), found.found


def cost(n: int) -> None:
    """CPU of the core and the wire, of one member among n: the whole simulation's, parted by its members."""
    f = Fleet(n, 1, wire=True)
    f.start(range(n), 500)
    f.run(4000)
    begun, at = time.process_time(), f.now()
    f.run(10_000)
    spent = time.process_time() - begun
    print(f"{n:5} members: {100 * spent / n / (f.now() - at) * 1000:.2f}% of a core, the simulated network in it")


def service(args: tuple[str, int, bool, float]) -> tuple[str, float, float]:
    """One simulated day. The last: how long killed nodes stay away, in s; 0: as long as the day has it."""
    kind, seed, on, away = args
    day = draw(kind, seed, 60)
    if away:
        kept, longer = day.scenario.faults, {"for_s": away}
        faults = tuple(f.model_copy(update=longer) if f.kind == "node_kill" else f for f in kept)
        day = replace(day, scenario=day.scenario.model_copy(update={"faults": faults}))
    figures = play(day, membership=on)
    name = f"{kind}{f', away for {away:g} s' if away else ''} {seed} {'on' if on else 'off'}"
    return name, figures.service, figures.refused


def node() -> None:
    """CPU of ten nodes under a light load, a part of a core each, from the kit's own looks at them."""
    base = find("members-base")
    nodes_of_the_kit.LOOK_S = 2.0  # twenty looks a second would be most of what is measured
    for on in (False, True):
        nodes = base.nodes.model_copy(update={"count": 10, **({} if on else {"operator": {}})})
        scenario = base.model_copy(update={"nodes": nodes, "length_s": 15.0})
        with TemporaryDirectory() as folder:
            ledger = uvloop.run(rehearse(scenario, Path(folder)))
        rows = [row for row in ledger.of(Usage) if 2.0 < row.at_s < 14.0]
        spent = []
        for number in range(10):
            own = [row for row in rows if row.node == number]
            spent.append((own[-1].cpu_ms - own[0].cpu_ms) / (own[-1].at_s - own[0].at_s) / 10)
        print(f"membership {'on' if on else 'off'}: {median(spent):.2f}% of a core a node, most {max(spent):.2f}%")


def main(words: list[str]) -> None:
    with Pool(PROCESSES) as pool:
        if words[0] == "known":
            sizes = {int(n): int(k) for n, k in (word.split("x") for word in words[1:] or SIZES)}
            jobs = [(w, n, s) for w in ("membership", "swim", "heartbeats") for n, k in sizes.items() for s in range(k)
                    if (w, n) != ("heartbeats", 1000)]  # fmt: skip
            rows: dict[tuple[str, int], list[Any]] = {}
            for what, n, got, rate, size in pool.imap_unordered(known, jobs):
                rows.setdefault((what, n), []).append((got, rate, size))
            print("| detector | members | deaths | first ms | half ms | all ms (median, most) | datagrams | bytes |")
            for (what, n), found in sorted(rows.items()):
                first, half, last = ([row[0][k] for row in found] for k in range(3))
                print(f"| {what} | {n} | {len(found)} | {median(first):.0f} | {median(half):.0f} | {median(last):.0f},"
                      f" {max(last):.0f} | {median(r[1] for r in found):.0f} | {median(r[2] for r in found):.0f} |",
                      flush=True)  # fmt: skip
        elif words[0] == "false":
            minutes, (first, last) = float(words[1]), map(int, words[2].split("-"))
            jobs2 = [(w, kind, 10, s, minutes) for s in range(first, last + 1) for kind in KINDS
                     for w in (words[3:] or ("membership", "swim", "heartbeats"))]  # fmt: skip
            sums: dict[tuple[str, str], list[float]] = {}
            for what, kind, hours, deaths in pool.imap_unordered(false, jobs2):
                held = sums.setdefault((kind, what), [0.0, 0.0])
                held[0], held[1] = held[0] + hours, held[1] + deaths
            for (kind, what), (hours, deaths) in sorted(sums.items()):
                print(f"| {kind} | {what} | {hours:.1f} | {deaths:.0f} | {deaths / hours:.2f} |", flush=True)
        elif words[0] == "explore":
            from tests.fleet.membership.three import FAULTS, FIRST

            found3 = pool.map(explore, [(a, b) for a in FIRST for b in FAULTS], chunksize=1)
            print(f"{sum(f[0] for f in found3)} schedules, {sum(len(f[2]) for f in found3)} went wrong")
            for _, _, wrong in found3:
                print(*wrong, sep="\n", end="\n" if wrong else "")
        elif words[0] == "service":
            days = [(k, s, on, 0.0) for k in ("herd", "roll", "zone") for s in (1, 2, 3) for on in (False, True)]
            days += [("herd", s, on, 9.0) for s in (1, 2, 3, 4) for on in (False, True)]
            for name, served, refused in pool.imap(service, days, chunksize=1):
                print(f"| {name} | {served:.3f} | {refused:.3f} |", flush=True)
        elif words[0] == "node":
            node()
        else:
            for n in (2, 10, 100):
                cost(n)


if __name__ == "__main__":
    main(sys.argv[1:])
