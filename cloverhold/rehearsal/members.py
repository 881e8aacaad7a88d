"""What the nodes' views of one another came to: the judge's part for membership. A pure reading of the ledger."""

from __future__ import annotations

from collections.abc import Iterator

from cloverhold.rehearsal.faults import NodeStop, WordsCut, WordsRough
from cloverhold.rehearsal.ledger import Ledger, NodeLife, Seen
from cloverhold.rehearsal.scenario import Scenario

ASKED_S = 0.25  # between two looks at a view, with the way there, in a kit that is late
STOP_S = 1.3  # a process that was stopped for this long shows no view from before


def members(scenario: Scenario, ledger: Ledger) -> list[str]:
    """What was missed, a line each; none where the scenario asks for nothing."""
    goals = scenario.goals.members
    if goals is None:
        return []
    seen = sorted((row for row in ledger.of(Seen) if row.at_s <= scenario.length_s), key=lambda row: row.at_s)
    lives: list[NodeLife] = ledger.of(NodeLife)
    found = [*_stay(goals.stay, seen), *_woken(scenario, seen), *_blind(scenario, goals.blind, seen)]
    if goals.known_s:
        found += _known(scenario, goals.known_s, seen, lives)
    if goals.one_view_s:
        found += _one_view(scenario, goals.one_view_s, seen, lives)
    return found


def _acted(seen: list[Seen], node: int, life: int | None = None) -> Iterator[Seen]:
    return (row for row in seen if row.node == node and row.acts and life in (None, row.life))


def _stay(stay: tuple[int, ...], seen: list[Seen]) -> Iterator[str]:
    """From its first view on each of these holds the others for alive."""
    for node in stay:
        for other in stay:
            since = next((row.at_s for row in _acted(seen, node) if other in row.alive), None)
            if since is None:
                yield f"members: n{node} never held n{other} for alive"
                continue
            lost = next((row for row in seen if row.node == node and row.at_s > since and other not in row.alive), None)
            if lost is not None:
                yield f"members: n{node} held n{other} for dead at {lost.at_s:.2f} s"


def _ends(scenario: Scenario, life: NodeLife) -> float | None:
    """When a process was killed by the script, if it stayed away for long enough to be missed."""
    for fault in scenario.faults:
        if fault.kind == "node_kill" and life.node in fault.nodes and life.killed_s is not None:
            if abs(life.killed_s - fault.at_s) < 0.5 * fault.for_s:
                return life.killed_s
    return None


def _stopped(scenario: Scenario, node: int, begin: float, end: float) -> bool:
    stops = (f for f in scenario.faults if isinstance(f, NodeStop) and node in f.nodes)
    return any(f.at_s < end and begin < f.at_s + f.for_s for f in stops)


def _known(scenario: Scenario, known_s: float, seen: list[Seen], lives: list[NodeLife]) -> Iterator[str]:
    """Who was killed is dead, in time, at each that ran on."""
    for life in lives:
        if (died := _ends(scenario, life)) is None:
            continue
        limit = died + known_s + ASKED_S
        for other in lives:
            runs = other.started_s < died - known_s and (other.ended_s is None or other.ended_s > limit)
            if other.node == life.node or not runs or _stopped(scenario, other.node, died, limit):
                continue
            rows = [row for row in seen if (row.node, row.life) == (other.node, other.life) and row.at_s <= limit]
            if rows and life.node in rows[-1].alive:
                late = f"n{other.node} held it alive {known_s:g} s later"
                yield f"members: n{life.node} was killed at {died:.2f} s, and {late}"


def _one_view(scenario: Scenario, within_s: float, seen: list[Seen], lives: list[NodeLife]) -> Iterator[str]:
    """So long after the last fault has begun or ended all that run hold one another, and nobody else."""
    ends = [f.at_s + f.for_s if f.at_s + f.for_s <= scenario.length_s else f.at_s for f in scenario.faults]
    limit = max(ends, default=0.0) + within_s + ASKED_S
    up = sorted({
        life.node for life in lives if life.started_s < limit and (life.ended_s is None or life.ended_s > limit)
    })  # fmt: skip
    if limit > scenario.length_s:
        yield f"members: the scenario ends before {limit:.1f} s, when one view is due"
    for node in up:
        rows = [row for row in seen if row.node == node and row.at_s <= limit]
        if not rows or not rows[-1].acts or list(rows[-1].alive) != up:
            yield f"members: at {limit:.1f} s n{node} does not hold {up}: {rows[-1] if rows else 'never asked'}"


def _woken(scenario: Scenario, seen: list[Seen]) -> Iterator[str]:
    """A process that was stopped for long shows no view until it is back in a new incarnation."""
    for fault in scenario.faults:
        if not isinstance(fault, NodeStop) or fault.for_s < STOP_S:
            continue
        woke = fault.at_s + fault.for_s
        for node in fault.nodes:
            before = [row for row in seen if row.node == node and row.at_s < fault.at_s]
            after = [row for row in seen if row.node == node and row.at_s > fault.at_s + STOP_S]
            if not before or not after:
                yield f"members: n{node} was not asked before and after its stop at {fault.at_s:g} s"
            old = before[-1].incarnation if before else 0
            wrong = next((row for row in after if row.acts and row.incarnation <= old), None)
            if wrong is not None:
                yield f"members: n{node} woke at {woke:.2f} s and acted on the view from before at {wrong.at_s:.2f} s"


def _blind(scenario: Scenario, blind: tuple[int, ...], seen: list[Seen]) -> Iterator[str]:
    """Who is cut off shows no view: from 3 s after the first cut to the end of the last."""
    cuts = [f for f in scenario.faults if isinstance(f, (WordsCut, WordsRough))]
    if not blind or not cuts:
        return
    begin, end = min(f.at_s for f in cuts) + 3.0, max(f.at_s + f.for_s for f in cuts)
    for node in blind:
        rows = [row for row in seen if row.node == node and row.at_s < end]
        at = next((row for row in reversed(rows) if row.at_s <= begin), None)
        for row in ([at] if at is not None else []) + [row for row in rows if begin < row.at_s < end]:
            if row.acts:
                yield f"members: n{node} is cut off and acts on a view at {max(begin, row.at_s):.2f} s"
                break
