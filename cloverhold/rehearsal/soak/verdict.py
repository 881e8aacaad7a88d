"""What a soak may not show: broken rules, processes that end unasked, violations counted, things left over.

Each finding is one line with all that is needed to play it again.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from cloverhold.rehearsal.judge import Verdict, judge, waits_in_vain
from cloverhold.rehearsal.ledger import Ledger
from cloverhold.rehearsal.scenario import Scenario

ALARMS = ("Traceback", "rule_violated", "MemoryError", "Task was destroyed")
# Beside the connections to servers that are kept, which are counted: what a process holds at rest, and some to spare.
MOST_DESCRIPTORS_AT_REST = 40
MOST_PROOF_LINES = 3


@dataclass(frozen=True, slots=True)
class AtRest:
    """What a node holds once its clients have left and some seconds have passed."""

    node: int
    descriptors: int
    server_connections: int


@dataclass(slots=True)
class SoakResult:
    """One seed's outcome."""

    seed: int
    requests: int
    service: float
    void: str  # why it does not count; empty where it does
    findings: list[str] = field(default_factory=list)


def assess(scenario: Scenario, ledger: Ledger, logs: Path, at_rest: list[AtRest]) -> SoakResult:
    """The outcome of a soak that was played."""
    verdict = judge(scenario, ledger)
    found = [*_broken(verdict), *_waiting(ledger), *_alarms(logs), *_left_over(at_rest)]
    service = verdict.service
    return SoakResult(scenario.seed, service.asked, service.service, verdict.void or verdict.partial, found)


def _broken(verdict: Verdict) -> Iterator[str]:
    for name, violations in verdict.rules.items():
        for v in violations[:MOST_PROOF_LINES]:
            where = f"n{v.node}" if v.node is not None else ""
            yield f"{name}: {v.what} (at {v.at_s:.2f} s, id {v.id or '-'}, {where} {v.server})"
        if len(violations) > MOST_PROOF_LINES:
            yield f"{name}: {len(violations) - MOST_PROOF_LINES} more"
    yield from verdict.crashes
    yield from verdict.goals


def _waiting(ledger: Ledger) -> Iterator[str]:
    for s in waits_in_vain(ledger)[:MOST_PROOF_LINES]:
        end = "nothing" if s.first_answer_s is None else f"an answer at {s.first_answer_s:.2f} s"
        stop = "" if s.stopped_s is None else f", stopped at {s.stopped_s:.2f} s"
        yield f"{s.how} {s.ids[0]} at n{s.node} came at {s.opened_s:.2f} s{stop}: {end}"


def _alarms(logs: Path) -> Iterator[str]:
    for path in sorted(logs.glob("*.log")):
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
        for line in [line for line in lines if any(alarm in line for alarm in ALARMS)][:MOST_PROOF_LINES]:
            yield f"log of {path.stem}: {line}"


def _left_over(at_rest: list[AtRest]) -> Iterator[str]:
    for held in at_rest:
        if held.descriptors > MOST_DESCRIPTORS_AT_REST + held.server_connections:
            yield f"n{held.node} holds {held.descriptors} descriptors at rest, {held.server_connections} to servers"
