"""Which keys to move so that the fullest server meets a goal, with few moves. Pure arithmetic on measured loads."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from cloverhold.cells.moves import Place

LARGEST = 32  # of the keys on the fullest server, those that are looked at

Option = tuple[Place, tuple[str, ...]]


@dataclass(frozen=True, slots=True)
class Proposal:
    """One move. before, after: the load of the fullest server, in parts of its capacity."""

    key: str
    to: Place
    before: float
    after: float


def loads_of(
    loads: Mapping[str, float], cells: Mapping[str, tuple[str, ...]], capacity: Mapping[str, float]
) -> dict[str, float]:
    """The load of each server in parts of its capacity. A key's load (requests at once) is even over its cell."""
    out = dict.fromkeys(capacity, 0.0)
    for key, load in loads.items():
        _add(out, load, cells[key], capacity)
    return out


def _add(out: dict[str, float], load: float, servers: tuple[str, ...], capacity: Mapping[str, float]) -> None:
    for name in servers:
        out[name] += load / len(servers) / capacity[name]


def rebalance(
    loads: Mapping[str, float],
    cells: Mapping[str, tuple[str, ...]],
    capacity: Mapping[str, float],
    options: Callable[[str], Sequence[Option]],
    goal: float,
    most: int,
) -> list[Proposal]:
    """Moves, the most useful first, until no server is above the goal, none helps, or there are `most`.

    loads: by key, requests held at once; cells: each key's servers; capacity: by server, requests it can hold at once
    above 0; options: where else a key could be. Greedy: the move that leaves the least load above the goal over all
    servers. The best set of moves is bin packing (NP-hard); each proposal is checked to help by itself, so that any
    first part of the list may be carried out.
    """
    cells = dict(cells)
    used = loads_of(loads, cells, capacity)
    out: list[Proposal] = []
    while len(out) < most:
        fullest = max(used, key=lambda name: (used[name], name), default="")
        if not fullest or used[fullest] <= goal:
            break
        on = [key for key, load in loads.items() if load > 0 and fullest in cells[key]]
        on.sort(key=lambda key: (-loads[key] / len(cells[key]), key))
        best: tuple[float, str, Option, dict[str, float]] | None = None
        now = _above(used, goal)
        for key in on[:LARGEST]:
            for option in options(key):
                if not option[1] or set(option[1]) == set(cells[key]):
                    continue
                then = dict(used)
                _add(then, -loads[key], cells[key], capacity)
                _add(then, loads[key], option[1], capacity)
                above = _above(then, goal)
                if above < now - 1e-9 and (best is None or above < best[0]):
                    best = above, key, option, then
        if best is None:
            break
        _, key, (place, servers), then = best
        out.append(Proposal(key, place, used[fullest], max(then.values())))
        cells[key], used = servers, then
    return out


def _above(used: Mapping[str, float], goal: float) -> float:
    """How far all servers are above the goal: squares, so that one far above counts more than two a little."""
    return sum((load - goal) ** 2 for load in used.values() if load > goal)
