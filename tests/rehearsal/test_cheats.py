"""The judge catches cheats: nodes that are honest but for one thing, each run through the whole kit."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any

import pytest
import uvloop

from cheat import NAMES
from cloverhold.rehearsal.judge import Verdict, judge
from cloverhold.rehearsal.ledger import Arrival, Ledger, Life
from cloverhold.rehearsal.scenario import Scenario
from cloverhold.rehearsal.stage import rehearse
from small import CLASSES, small

CHEAT = Path(__file__).parent / "cheat.py"
RESETS = [
    {"kind": "class_fails", "class": name, "how": "reset", "at_s": 0.5, "for_s": 2.0, "servers": ["s0", "s1"]}
    for name in ("alerta-umbral", "lote")
]
DRAIN = [{"kind": "drain", "at_s": 0.5, "for_s": 3.0, "count": 1}]
NODE_DRAIN = [{"kind": "node_drain", "at_s": 0.5, "for_s": 2.5}]
COLD = [{"kind": "crash", "at_s": 0.3, "for_s": 0.5, "servers": ["s0"]}]
FAULTS: dict[str, list[dict[str, Any]]] = {
    "honest": RESETS + DRAIN,
    "repeats_unsafe": RESETS,
    "repeats_outside_group": RESETS,
    "refuses_what_ran": RESETS,
    "sends_to_draining": DRAIN,
    "floods_cold": COLD,
    "lies_in_a_drain": NODE_DRAIN,
    "holds_in_a_drain": NODE_DRAIN,
}
RULE = {
    "answers_twice": "one_answer",
    "answers_late": "one_answer",
    "drops_at_close": "one_answer",
    "invents_an_answer": "one_answer",
    "sends_after_answer": "one_answer",
    "repeats_unsafe": "no_repeat",
    "repeats_outside_group": "no_repeat",
    "two_at_once": "no_repeat",
    "refuses_what_ran": "no_repeat",
    "sends_to_draining": "drains_kept",
    "floods_cold": "cold_kept",
    "lies_in_a_drain": "one_answer",
    "holds_in_a_drain": "one_answer",
}


HEAVY = [{**kind, "work_ms": 4 * kind["work_ms"]} for kind in CLASSES]


def scenario(name: str) -> Scenario:
    changes: dict[str, Any] = {"fault": FAULTS.get(name, [])}
    if name == "floods_cold":  # one server's share has to be more than a cold one may get
        changes |= {"class": HEAVY, "clients": {"rate_per_s": 80.0, "retries": 0}}
    if "in_a_drain" in name:
        changes["rules"] = {"node_drain_s": 1.0}
    return small(name.replace("_", "-"), **changes)


@pytest.fixture(scope="module")
def seen(tmp_path_factory: pytest.TempPathFactory) -> dict[str, Ledger]:
    """All cheats, side by side."""

    async def one(name: str) -> Ledger:
        folder = tmp_path_factory.mktemp(name)
        return await rehearse(scenario(name), folder, (sys.executable, str(CHEAT), name))

    async def all_of_them() -> list[Ledger]:
        async with asyncio.timeout(120):
            return await asyncio.gather(*(one(name) for name in NAMES))

    return dict(zip(NAMES, uvloop.run(all_of_them()), strict=True))


@pytest.fixture(scope="module")
def verdicts(seen: dict[str, Ledger]) -> dict[str, Verdict]:
    return {name: judge(scenario(name), ledger) for name, ledger in seen.items()}


def test_a_cold_server_that_is_flooded_falls_over_and_stays_down(seen: dict[str, Ledger]) -> None:
    lives = [life for life in seen["floods_cold"].of(Life) if life.server == "s0"]
    assert [life.ended for life in lives] == ["crash", "fell"]
    fell = lives[-1].ended_s
    assert fell is not None and not [
        a for a in seen["floods_cold"].of(Arrival) if a.server == "s0" and a.first_byte_s > fell
    ]
    assert not [
        life
        for name, ledger in seen.items()
        if name != "floods_cold"
        for life in ledger.of(Life)
        if life.ended == "fell"
    ]


@pytest.mark.parametrize("name", NAMES)
def test_a_cheat_breaks_its_rule_and_no_other(name: str, verdicts: dict[str, Verdict]) -> None:
    verdict = verdicts[name]
    broken = {rule for rule, found in verdict.rules.items() if found}
    assert broken == ({RULE[name]} if name in RULE else set()), verdict.rules
    assert not verdict.crashes and not verdict.partial
    assert verdict.service.tries > 60
    for found in verdict.rules.values():
        for violation in found:
            assert violation.proof and (violation.id or violation.server)
