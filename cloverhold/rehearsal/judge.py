"""The judge: a pure function from what was seen to a verdict: service, the four rules, crashes, goals, void."""

from __future__ import annotations

from dataclasses import dataclass

from cloverhold.rehearsal.ledger import Lag, Ledger, NodeLife, Stranger
from cloverhold.rehearsal.members import members
from cloverhold.rehearsal.plan import make_plan
from cloverhold.rehearsal.rules import MARGIN_S, RULES, Case, Violation
from cloverhold.rehearsal.scenario import Scenario
from cloverhold.rehearsal.service import Service, measure, percentile

STOPPED_S = 3.0  # a client that has stopped within a request is owed an error or a close by then


@dataclass(slots=True)
class Verdict:
    """What the judge says of a rehearsal."""

    service: Service
    rules: dict[str, list[Violation]]
    crashes: list[str]
    goals: list[str]  # that were missed
    void: str  # why the run does not count; empty where it does
    partial: str
    lag_p99_ms: float = 0.0
    lag_max_ms: float = 0.0

    def passed(self) -> bool:
        """All rules kept, no crash, all goals met."""
        return not (any(self.rules.values()) or self.crashes or self.goals)

    def exit_code(self) -> int:
        """0: kept and met; 1: not, or a node crashed; 3: void, or interrupted."""
        if self.crashes:
            return 1
        if self.void or self.partial:
            return 3
        return 0 if self.passed() else 1


def lag_ms(ledger: Ledger) -> tuple[float, float]:
    """The kit's lag over the whole rehearsal: its 99th percentile and the most."""
    late = sorted(ms for lag in ledger.of(Lag) for ms in lag.late_ms)
    punctual = sum(lag.samples for lag in ledger.of(Lag)) - len(late)
    return percentile([0.0] * punctual + late, 0.99), late[-1] if late else 0.0


def _crashes(case: Case) -> list[str]:
    said = []
    for life in case.ledger.of(NodeLife):
        asked = life.killed_s is not None or life.term_s is not None
        why = f": it held more than {case.scenario.nodes.memory_mb} MB" if life.why == "memory" else ""
        if life.ended_s is not None and not asked:
            said.append(f"node n{life.node} ended by itself at {life.ended_s:.2f} s, status {life.code}{why}")
        elif life.term_s is not None and life.killed_s is None and life.code not in (0, None):
            said.append(f"node n{life.node} ended with status {life.code} on SIGTERM")
    return said


def _goals(scenario: Scenario, service: Service) -> list[str]:
    goals = scenario.goals
    pairs = (
        ("service", service.service, goals.service),
        ("worst class", service.worst_class, goals.worst_class),
        ("worst tenant", service.worst_tenant, goals.worst_tenant),
    )
    return [f"{name} {got:.3f}, under {goal:.3f}" for name, got, goal in pairs if got < goal]


def _void(scenario: Scenario, p99: float, most: float) -> str:
    bounds = scenario.bounds
    if p99 > bounds.lag_p99_ms:
        return f"the kit ran late: loop lag p99 {p99:.1f} ms, over {bounds.lag_p99_ms:g} ms"
    if most > bounds.lag_max_ms:
        return f"the kit ran late: loop lag of up to {most:.0f} ms, over {bounds.lag_max_ms:g} ms"
    return ""


def waits_in_vain(ledger: Ledger) -> list[Stranger]:
    """Strangers left with neither an error nor a close for longer than they are owed one: from when they came, and from
    when they are known to have stopped.
    """
    found = []
    for s in ledger.of(Stranger):
        ends = [t for t in (s.first_answer_s, s.ended_s if s.closed_by == "node" else None) if t is not None]
        limit = s.opened_s + s.patience_s + MARGIN_S
        if s.stopped_s is not None:
            limit = min(limit, s.stopped_s + STOPPED_S + MARGIN_S)
        if s.owed and ledger.ended_s >= limit and (not ends or min(ends) > limit):
            found.append(s)
    return found


def _strangers(ledger: Ledger) -> list[str]:
    count = len(waits_in_vain(ledger))
    return [f"{count} hostile clients got neither an error nor a close in their time"] if count else []


def judge(scenario: Scenario, ledger: Ledger) -> Verdict:
    """The verdict on a rehearsal. The same ledger gives the same verdict."""
    case = Case(scenario, ledger)
    service = measure(scenario, make_plan(scenario), ledger)
    p99, most = lag_ms(ledger)
    return Verdict(
        service=service,
        rules={name: sorted(rule(case), key=lambda v: v.at_s) for name, rule in RULES.items()},
        crashes=_crashes(case),
        goals=[] if ledger.partial else [*_goals(scenario, service), *_strangers(ledger), *members(scenario, ledger)],
        void=_void(scenario, p99, most),
        partial=ledger.partial,
        lag_p99_ms=p99,
        lag_max_ms=most,
    )
