"""How services lie over nodes, and what moves when nodes come and go: docs/measurements/distribution.md.

    .venv-dev/bin/python benchmarks/dealing.py            # all sizes: some two minutes
    .venv-dev/bin/python benchmarks/dealing.py 10 100     # these sizes

Three ways are dealt side by side: rendezvous hashing (no bound), jump hashing with bounded loads from scratch, and the
same that keeps what was dealt before. Counts are the same on any machine; times are of one core of this one.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random

import numpy as np

sys.path.insert(0, str(Path(__file__).parents[1]))

from cloverhold.fleet.distribution.dealing import (
    Bounds, Dealing, Place, Service, copies_of, deal, loads, moved,
)  # fmt: skip

SIZES = (10, 100, 1000, 6600)
SERVICES = 3100 / 6600  # a node
ZONES = 12
COLUMNS = (
    "nodes", "loads", "way", "worst / mean", "worst after any moment", "least / mean", "services crowded in a zone",
    "one dies", "1 in 100 die", "a zone dies", "1 in 10 more", "1 in 10 services twice as loud", "ms, first",
    "ms, a death",
)  # fmt: skip
Way = Callable[[Sequence[Service], Sequence[Place], Dealing], Dealing]


def rendezvous(services: Sequence[Service], places: Sequence[Place], before: Dealing) -> Dealing:
    """Each service at the nodes of its highest draws (Thaler, Ravishankar, 1998); weights as in its weighted form."""
    mean = sum(s.load for s in services) / sum(p.weight for p in places)
    numbers = np.array([p.number for p in places], dtype=np.uint64)
    weights = np.array([p.weight for p in places])
    out = {}
    for service in services:
        seed = np.uint64(Random(service.name).getrandbits(64))
        with np.errstate(over="ignore"):
            mixed = (numbers + seed) * np.uint64(0x9E3779B97F4A7C15)
            for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
                mixed = (mixed ^ (mixed >> np.uint64(shift))) * np.uint64(factor)
            mixed ^= mixed >> np.uint64(31)
        drawn = -weights / np.log((mixed.astype(np.float64) + 1) / 2.0**64)
        count = copies_of(service, mean, len(places), Bounds(), len(before.get(service.name, ())))
        order = np.lexsort((numbers, -drawn))[:count]
        out[service.name] = tuple(int(numbers[n]) for n in order)
    return out


def scratch(services: Sequence[Service], places: Sequence[Place], before: Dealing) -> Dealing:
    """Bounded, and nothing remembered."""
    return deal(services, places)


def keeping(services: Sequence[Service], places: Sequence[Place], before: Dealing) -> Dealing:
    """Bounded, and what was dealt before stays where it may."""
    return deal(services, places, before)


WAYS: dict[str, Way] = {"rendezvous": rendezvous, "bounded, from scratch": scratch, "bounded, keeping": keeping}


def fleet(nodes: int, skewed: bool) -> tuple[list[Service], list[Place]]:
    """skewed: a service's load falls with its place in their order, as 1 over it."""
    count = max(1, round(nodes * SERVICES))
    services = [Service(f"service-{n}", 1 / (n + 1) if skewed else 1.0) for n in range(count)]
    return services, [Place(n, f"z{n % ZONES}") for n in range(nodes)]


def crowded(dealing: Dealing, places: Sequence[Place]) -> int:
    """Services of which some zone has more copies than an even spread gives it."""
    zone = {place.number: place.zone for place in places}
    zones = len(set(zone.values()))
    found = 0
    for numbers in dealing.values():
        held = [zone[n] for n in numbers]
        found += max(map(held.count, set(held))) > -(-len(held) // zones)
    return found


def played(nodes: int, skewed: bool) -> list[str]:
    """The lines of a size."""
    services, places = fleet(nodes, skewed)
    chance = Random(1)
    one = places[nodes // 2].number
    some = set(chance.sample([p.number for p in places], max(1, nodes // 100)))
    louder = set(chance.sample([s.name for s in services], max(1, len(services) // 10)))
    moments: dict[str, tuple[list[Service], list[Place]]] = {
        "one dies": (services, [p for p in places if p.number != one]),
        "1 in 100 die": (services, [p for p in places if p.number not in some]),
        "a zone dies": (services, [p for p in places if p.zone != "z0"]),
        "1 in 10 more": (services, places + [Place(nodes + n, f"z{n % ZONES}") for n in range(max(1, nodes // 10))]),
        "1 in 10 services twice as loud": (
            [Service(s.name, s.load * (1 + (s.name in louder))) for s in services], places,
        ),
    }  # fmt: skip
    lines = []
    for name, way in WAYS.items():
        begun = time.process_time()
        first = way(services, places, {})
        took = [time.process_time() - begun]
        borne = loads(first, services, places)
        mean = sum(s.load for s in services) / nodes
        figures, worst = [], max(borne.values()) / mean
        for changed, now in moments.values():
            begun = time.process_time()
            after = way(changed, now, first)
            took.append(time.process_time() - begun)
            living = {p.number for p in now}
            lost = sum(n not in living for numbers in first.values() for n in numbers)
            figures.append(f"{moved(first, after):,} / {lost:,}")
            worst = max(worst, max(loads(after, changed, now).values()) / (sum(s.load for s in changed) / len(now)))
        lines.append(
            f"| {nodes:,} | {'skewed' if skewed else 'even'} | {name} | {max(borne.values()) / mean:.2f} | "
            f"{worst:.2f} | {min(borne.values()) / mean:.2f} | {crowded(first, places)} | {' | '.join(figures)} | "
            f"{1000 * took[0]:,.0f} | {1000 * took[1]:,.0f} |"
        )
    return lines


def restarts(nodes: int, times: int = 50) -> str:
    """Nodes die and return one after the other: what moves in the long run, beside what the dead ones held."""
    services, places = fleet(nodes, True)
    chance, now, copies, lost, worst = Random(2), deal(services, places), 0, 0, 0.0
    mean = sum(s.load for s in services) / nodes
    for _ in range(times):
        gone = chance.randrange(nodes)
        lost += sum(gone in numbers for numbers in now.values())
        without = deal(services, [p for p in places if p.number != gone], now)
        again = deal(services, places, without)
        copies += moved(now, without) + moved(without, again)
        worst, now = max(worst, max(loads(again, services, places).values()) / mean), again
    return f"| {nodes:,} | {times} | {copies / times:.1f} | {lost / times:.1f} | {worst:.2f} |"


def main(sizes: Sequence[int]) -> None:
    """The page's tables."""
    print("| " + " | ".join(COLUMNS) + " |")
    print("|" + " --- |" * len(COLUMNS))
    for nodes in sizes:
        for skewed in (False, True):
            print("\n".join(played(nodes, skewed)), flush=True)
    print("\n| nodes | restarts | copies moved a restart | held by the one that died | worst / mean |")
    print("|" + " --- |" * 5)
    for nodes in sizes:
        print(restarts(nodes), flush=True)


if __name__ == "__main__":
    main(tuple(int(word) for word in sys.argv[1:]) or SIZES)
