"""Membership among real processes: shipped scenarios, nodes with one fault planted that must fail them, the judge."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from cloverhold.rehearsal.files import find
from cloverhold.rehearsal.judge import Verdict, judge
from cloverhold.rehearsal.ledger import Ledger, NodeLife, Seen
from cloverhold.rehearsal.members import members
from cloverhold.rehearsal.scenario import Scenario
from cloverhold.rehearsal.stage import Stage, rehearse
from small import small
from test_kit import kept

ROOT = Path(__file__).parent.parent.parent
UNSOUND = ROOT / "tests/rehearsal/unsound.py"
# The longer ones, members-turning and members-long-stop, are played by benchmarks/membership.py.
PLAYED = ("members-stopped", "members-lossy", "members-one-link", "members-unheard", "members-halves", "members-mass")


def play(scenario: Scenario, folder: Path, *command: str) -> Verdict:
    async def run() -> Ledger:
        more = {"command": command} if command else {}
        return await rehearse(scenario, folder, **more)  # type: ignore[arg-type]

    return judge(scenario, uvloop.run(run()))


@pytest.mark.parametrize("name", PLAYED)
def test_real_processes_keep_their_views_and_the_rules(tmp_path: Path, name: str) -> None:
    verdict = play(find(name), tmp_path)
    assert kept(verdict) and verdict.goals == []


@pytest.mark.parametrize(
    ("fault", "name"),
    [
        ("OneVoteIsEnough", "members-one-link"),
        ("ViewWhileAway", "members-unheard"),
        ("RefutationLost", "members-halves"),
    ],
)
def test_a_node_with_a_planted_fault_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fault: str, name: str
) -> None:
    monkeypatch.setenv("PYTHONPATH", str(ROOT))
    verdict = play(find(name), tmp_path, sys.executable, str(UNSOUND), fault)
    assert any(goal.startswith("members: ") for goal in verdict.goals)


def seen(node: int, at_s: float, *alive: int, acts: bool = True, incarnation: int = 1) -> Seen:
    return Seen(node, 0, at_s, "member", acts, incarnation, list(alive))


def asked(goals: dict[str, Any], *faults: dict[str, Any]) -> Scenario:
    return small(nodes={"count": 3}, goals={"members": goals}, length_s=20.0, fault=list(faults))


LIVES = [NodeLife(n, 0, -2.0) for n in range(3)]
ALL = [seen(n, 0.1, 0, 1, 2) for n in range(3)]
KILL = {"kind": "node_kill", "at_s": 2.0, "for_s": 10.0, "nodes": [1]}
STOP = {"kind": "node_stop", "at_s": 2.0, "for_s": 3.0, "nodes": [1]}
CUT = {"kind": "words_cut", "at_s": 1.0, "for_s": 8.0, "senders": [1], "receivers": [0, 2]}


@pytest.mark.parametrize(
    ("scenario", "rows", "said"),
    [
        (asked({"stay": [0, 2]}), [*ALL, seen(2, 3.0, 1, 2)], "n2 held n0 for dead"),
        (asked({"stay": [0, 2]}), [seen(0, 0.1, 0, 2)], "n2 never held n0"),
        (asked({"known_s": 2.0}, KILL), ALL, "n0 held it alive 2 s later"),
        (asked({"one_view_s": 3.0}, CUT), [*ALL, seen(0, 4.0, 0, 2)], "n0 does not hold [0, 1, 2]"),
        (asked({"one_view_s": 15.0}, CUT), ALL, "the scenario ends before"),
        (asked({}, STOP), [*ALL, seen(1, 5.01, 0, 1, 2)], "n1 woke at 5.00 s and acted on the view from before"),
        (asked({"blind": [1]}, CUT), ALL, "n1 is cut off and acts on a view"),
    ],
    ids=["dead", "never", "unnoticed", "views-differ", "too-short", "woken", "not-blind"],
)  # fmt: skip
def test_the_judge_sees_each_breach(scenario: Scenario, rows: list[Seen], said: str) -> None:
    killed = any(fault.kind == "node_kill" for fault in scenario.faults)
    second = replace(LIVES[1], killed_s=2.0, ended_s=2.0) if killed else LIVES[1]
    ledger = Ledger(rows=[LIVES[0], second, LIVES[2], *rows])
    found = members(scenario, ledger)
    assert any(said in line for line in found), found


def test_the_script_begins_with_members_that_have_found_one_another() -> None:
    """Two that a loaded machine let find each other alone were never called dead by the others: a planted fault that
    loses the refutation went unseen.
    """

    def found(*rows: Seen) -> bool:
        nodes = [SimpleNamespace(number=n) for n in range(3)]
        stage = SimpleNamespace(nodes=nodes, world=SimpleNamespace(ledger=Ledger(rows=list(rows))))
        return Stage._found(cast(Stage, stage))

    assert not found() and not found(*ALL[:2])
    assert not found(*ALL[:2], seen(2, 0.1, 2)) and not found(*ALL, seen(1, 0.2, 1, 2))
    assert found(*ALL) and found(seen(0, 0.05, 0), *ALL)


def test_the_judge_passes_what_is_right() -> None:
    scenario = asked({"stay": [0, 2], "known_s": 2.0, "blind": [1]}, KILL)
    after = [seen(0, 3.5, 0, 2), seen(2, 3.6, 0, 2)]
    lives = [LIVES[0], replace(LIVES[1], killed_s=2.0, ended_s=2.0), LIVES[2]]
    assert members(scenario, Ledger(rows=[*lives, *ALL, *after])) == []
    back = [seen(1, 4.0, acts=False), seen(1, 5.5, 0, 1, 2, incarnation=2)]
    assert members(asked({}, STOP), Ledger(rows=[*LIVES, *ALL, *back])) == []
