"""What membership says, spends and knows, by the size of the fleet, in simulated time. Used by benchmarks/scale/run.py.

Each moment begins with a settled fleet at rest. Times are ms of simulated time; bytes are a node's own, in a second.
"""

from __future__ import annotations

import gc
import time
from collections import Counter
from collections.abc import Callable

from cloverhold.simulation.hollow.settled import Settled
from cloverhold.simulation.members import Fleet
from cloverhold.simulation.network import Network

REST_S, LOOK_S = 3, 8
ZONES = 12
FAR_S = 300  # for which regions lose one another


def settled(nodes: int, seed: int) -> Settled:
    """A fleet at rest: its first pings are over, and links have answered."""
    fleet = Settled(nodes, seed, network=Network(), wire=False)
    fleet.settle(range(nodes))
    gc.collect()
    gc.freeze()  # nothing of it is garbage, and a collection would walk all of it
    fleet.run(2000)
    return fleet


def seconds(fleet: Fleet, count: int, over: Callable[[], bool] = lambda: False) -> list[Counter[int]]:
    """Let so many seconds pass, or until it is over: the bytes that each node sent in each of them."""
    found = []
    for _ in range(count):
        before = fleet.bytes.copy()
        fleet.run(1000)
        found.append(Counter({number: size - before[number] for number, size in fleet.bytes.items()}))
        if over():
            break
    return found


def worst(rows: list[Counter[int]]) -> float:
    """The most bytes of any node in any second."""
    return max(max(row.values(), default=0) for row in rows)


def mean_of_worst(rows: list[Counter[int]], nodes: int) -> float:
    """The mean of the nodes in the dearest second."""
    return max(row.total() for row in rows) / nodes


def rest(nodes: int, seed: int) -> dict[str, float]:
    """Nothing happens."""
    fleet = settled(nodes, seed)
    sent, begun = fleet.sent.total(), time.process_time()
    rows = seconds(fleet, REST_S)
    spent = time.process_time() - begun
    assert not fleet.deaths() and fleet.agreed()
    return {
        "rest_datagrams": (fleet.sent.total() - sent) / nodes / REST_S,
        "rest_bytes": sum(row.total() for row in rows) / nodes / REST_S,
        "rest_worst_bytes": worst(rows),
        "rest_cpu_ms": 1000 * spent / nodes / REST_S,
    }


def _known(fleet: Fleet, at: float, dead: set[int]) -> list[float]:
    """For each pair of a living node and a dead one: when the first noted the death, in ms from `at`; in order."""
    first: dict[tuple[int, int], float] = {}
    for note in fleet.deaths(at):
        if note.change.number in dead:
            first.setdefault((note.of, note.change.number), note.at - at)
    return sorted(first.values())


def _all_know(fleet: Fleet, dead: set[int]) -> Callable[[], bool]:
    def over() -> bool:
        up = fleet.up()
        return all(not dead & fleet.running[number].member.book.living for number in up)

    return over


def _died(fleet: Settled, dead: set[int], name: str, most_s: int) -> dict[str, float]:
    at, left = fleet.now(), len(fleet.up()) - len(dead)
    fleet.kill(sorted(dead))
    rows = seconds(fleet, most_s, _all_know(fleet, dead))
    times = _known(fleet, at, dead)
    pairs = left * len(dead)
    assert len(times) == pairs, f"{name}: {len(times)} of {pairs} pairs know"
    assert {note.change.number for note in fleet.deaths(at)} == dead, f"{name}: somebody else was called dead"
    return {
        f"{name}_half_ms": times[pairs // 2],
        f"{name}_most_ms": times[int(0.99 * (pairs - 1))],
        f"{name}_all_ms": times[-1],
        f"{name}_worst_bytes": worst(rows),
        f"{name}_mean_bytes": mean_of_worst(rows, left),
    }


def death(nodes: int, seed: int) -> dict[str, float]:
    """One machine dies."""
    return _died(settled(nodes, seed), {nodes // 2}, "death", LOOK_S)


def zone(nodes: int, seed: int) -> dict[str, float]:
    """A twelfth of all dies at once."""
    return _died(settled(nodes, seed), set(range(nodes // ZONES)), "zone", 60)


def restart(nodes: int, seed: int) -> dict[str, float]:
    """One process is killed and its next life starts at once: until all hold that life."""
    fleet, number = settled(nodes, seed), nodes // 2
    rested = sum(row.total() for row in seconds(fleet, LOOK_S))
    at, before, own = fleet.now(), fleet.bytes.total(), fleet.bytes[number]
    fleet.restart(number)
    fleet.run(1)
    life = fleet.running[number].member.claim.life

    def told() -> bool:
        held = [fleet.running[n].member.book.entries.get(number) for n in fleet.up()]
        return all(entry is not None and entry.claim.life == life for entry in held)

    assert fleet.until(told, 1000 * LOOK_S - 1, 10) is not None, "not all know of a restart in time"
    took = fleet.now() - at
    fleet.run(1000 * LOOK_S - took)
    return {
        "restart_all_ms": took,
        "restart_own_bytes": fleet.bytes[number] - own,
        "restart_extra_bytes": (fleet.bytes.total() - before - rested) / nodes,
    }


def cold(nodes: int, seed: int) -> dict[str, float]:
    """All start within a second, and know nobody."""
    fleet = Fleet(nodes, seed, network=Network(), wire=False)
    fleet.start(range(nodes), 1000.0)
    rows = seconds(fleet, 120, fleet.agreed)
    assert fleet.agreed(), "not one view after two minutes"
    return {
        "cold_all_ms": fleet.now(),
        "cold_worst_bytes": worst(rows),
        "cold_mean_bytes": mean_of_worst(rows, nodes),
        "cold_bytes": fleet.bytes.total() / nodes,
    }


def apart(nodes: int, seed: int) -> dict[str, float]:
    """Two halves lose one another for five minutes, then meet: until all hold all again."""
    fleet, half = settled(nodes, seed), nodes // 2
    fleet.network.cut = lambda sender, to, now: (sender < half) is not (to < half)
    gone = seconds(fleet, FAR_S)
    halves = [tuple(range(half)), tuple(range(half, nodes))]
    assert all(fleet.view(n) == halves[n >= half] for n in range(nodes)), "a half does not hold itself"
    fleet.network.cut = lambda sender, to, now: False
    at = fleet.now()
    rows = seconds(fleet, 300, fleet.agreed)
    assert fleet.agreed(), "not one view five minutes after they met"
    return {
        "apart_all_ms": fleet.now() - at,
        "apart_worst_bytes": worst(rows),
        "apart_mean_bytes": mean_of_worst(rows, nodes),
        "apart_cut_bytes": gone[-1].total() / nodes,
    }


MOMENTS: dict[str, Callable[[int, int], dict[str, float]]] = {
    "rest": rest, "death": death, "zone": zone, "restart": restart, "cold": cold, "apart": apart,
}  # fmt: skip
