"""How long a node's loop stands still while a version of a service is taken over: docs/measurements/distribution.md.

    .venv-dev/bin/python benchmarks/switching.py

Three turns of the loop: a part that is not the last (its resources are read), the last one (digest and meaning of the
whole, and what is to be made durable), and from "it is durable" to the switch. Real time of one core of this machine.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Sequence
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).parents[1]))

from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.interface import Entry, Mark, Told
from cloverhold.fleet.distribution.resources import Checker, Server, write
from cloverhold.fleet.distribution.scope import digest_of
from cloverhold.fleet.distribution.source import PART_BYTES, parted

SCOPE, TIMES = "service/a", 30


def service(servers: int) -> dict[str, bytes]:
    """So many servers, with all their fields."""
    return {
        f"server/s{n}": write(
            Server(f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80", "z1", "m1", 3, boot_ms=1_790_000_000_000 + n)
        )
        for n in range(servers)
    }


def taken(one: Follower, base: Mark | None, upto: Mark, entries: tuple[Entry, ...]) -> tuple[float, float, float]:
    """Ms of the three turns: the longest of the parts before the last, the last, the switch."""
    parts = list(parted(entries, PART_BYTES))
    turns = [0.0]
    for at, part in enumerate(parts):
        told = Told(SCOPE, base, upto, 0, at, len(parts), part)
        begun = time.perf_counter()
        one.hear(told, 0.0)
        turns.append(1000 * (time.perf_counter() - begun))
    begun = time.perf_counter()
    one.stored(SCOPE, upto, True, 0.0)
    switched = 1000 * (time.perf_counter() - begun)
    held = one.held(SCOPE)
    assert held is not None and held.mark == upto
    return max(turns[:-1]), turns[-1], switched


def played(servers: int) -> list[tuple[str, Sequence[tuple[float, float, float]]]]:
    """The whole into nothing, and one server that changes."""
    content = service(servers)
    mark = Mark(1, 1, digest_of(content))
    entries = tuple(Entry(key, 1, value) for key, value in content.items())
    wholes, changes = [], []
    for _ in range(TIMES):
        one = Follower({}, Checker())
        one.follow([SCOPE])
        wholes.append(taken(one, None, mark, entries))
    for number in range(2, TIMES + 2):
        value = write(Server(f"10.99.99.{number}:80"))
        content["server/s1"] = value
        upto = Mark(1, number, digest_of(content))
        changes.append(taken(one, mark, upto, (Entry("server/s1", number, value),)))
        mark = upto
    return [("the whole", wholes), ("one server", changes)]


if __name__ == "__main__":
    print("| servers | what came | a part, ms: median, most | the last part | the switch |\n" + "| --- " * 5 + "|")
    for size in (10, 100, 1_000, 10_000):
        for what, times in played(size):
            cells = [f"{median(turn):.2f}, {max(turn):.2f}" for turn in zip(*times, strict=True)]
            print(f"| {size:,} | {what} | {' | '.join(cells)} |", flush=True)
