"""Service as the operators count it: worth answered within its aim over worth asked for, less the prices.

Time counts from when a first try was meant to be sent (no coordinated omission: Tene, "How not to measure
latency"), and a client's retries are part of its first try. A pure reading of ledger and plan.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from cloverhold.rehearsal.faults import Poison
from cloverhold.rehearsal.ledger import Arrival, Dial, Ledger, Life, Probes, Try
from cloverhold.rehearsal.plan import FirstTry, Plan
from cloverhold.rehearsal.scenario import Scenario

WHOLE, WORST_WINDOW, WORST_CLASS = 0.55, 0.15, 0.30  # weights of service
WINDOW_S, STEP_S = 10.0, 1.0
# Points of service, and less in proportion: for work wasted as much as was asked for, for all failing only after
# its aim, for a new connection for each request, for 100 open connections a server, for one probe a request.
WASTE, LATE_FAIL, HANDSHAKE, CONNECTION, PROBE = 0.04, 0.03, 0.03, 0.03, 0.01


@dataclass(slots=True)
class Fate:
    """What became of one first try with its retries."""

    first: FirstTry
    worth: float
    served_s: float | None = None  # the time from its intended send to its answer
    in_aim: bool = False
    ended_s: float | None = None  # when it was over, unserved
    tries: int = 0


@dataclass(slots=True)
class Service:
    """The figures, each from 0 to 1 but `prices`, which are taken off."""

    service: float = 0.0
    whole: float = 0.0
    worst_window: float = 0.0
    worst_window_at_s: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 1.0  # of those that no fault poisons
    classes: dict[str, float] = field(default_factory=dict)
    tenants: dict[str, float] = field(default_factory=dict)
    latency_ms: dict[str, tuple[float, float, float]] = field(default_factory=dict)  # p50, p99, most
    prices: dict[str, float] = field(default_factory=dict)
    asked: int = 0
    answered: int = 0
    tries: int = 0
    attempts: int = 0

    def unpriced(self) -> float:
        """Service before its prices are taken off."""
        return WHOLE * self.whole + WORST_WINDOW * self.worst_window + WORST_CLASS * self.worst_class


def fates(scenario: Scenario, plan: Plan, ledger: Ledger) -> list[Fate]:
    """What became of each first try that fell into the time watched."""
    found: dict[int, Fate] = {}
    for first in plan.arrivals:
        if not ledger.partial or first.at_s <= ledger.ended_s:
            found[first.index] = Fate(first, scenario.class_of(first.class_name).worth)
    made = defaultdict(set)
    for arrival in ledger.of(Arrival):
        if arrival.outcome in ("served", "repeat"):
            made[arrival.id].add(arrival.digest)
    for row in ledger.of(Try):
        if (fate := found.get(row.first)) is not None:
            _count(scenario, fate, row, made[row.id])
    return list(found.values())


def _count(scenario: Scenario, fate: Fate, row: Try, made: set[str]) -> None:
    fate.tries += 1
    answer = row.answers[0] if row.answers else None
    if answer is not None and answer.status == 200 and answer.whole and answer.digest in made:
        took = answer.at_s - fate.first.at_s
        if fate.served_s is None or took < fate.served_s:
            fate.served_s = took
            fate.in_aim = took * 1000 <= scenario.class_of(row.class_name).aim_ms
        return
    until = answer.at_s if answer is not None else row.ended_s
    ended = min(until if until is not None else float("inf"), row.intended_s + row.budget_s)
    fate.ended_s = max(fate.ended_s or 0.0, ended)


def _ratio(part: list[Fate]) -> float:
    asked = sum(f.worth for f in part)
    return sum(f.worth for f in part if f.in_aim) / asked if asked else 1.0


def _worst_window(all_fates: list[Fate], length_s: float) -> tuple[float, float]:
    """The least ratio of any ten seconds, and when they begin."""
    worst, at, begin = (_ratio(all_fates), 0.0, 0.0) if length_s <= WINDOW_S else (2.0, 0.0, 0.0)
    while begin + WINDOW_S <= length_s:
        ratio = _ratio([f for f in all_fates if begin <= f.first.at_s < begin + WINDOW_S])
        if ratio < worst:
            worst, at = ratio, begin
        begin += STEP_S
    return worst, at


def percentile(values: list[float], part: float) -> float:
    """The least value that at least this part of the sorted values does not exceed; 0 without values."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, max(0, -int(-part * len(values) // 1) - 1))]


def _prices(scenario: Scenario, ledger: Ledger, all_fates: list[Fate]) -> dict[str, float]:
    tries = max(1, len(all_fates))
    offered = sum(f.first.work_ms for f in all_fates) or 1.0
    asked = sum(f.worth for f in all_fates) or 1.0
    probes = sum(row.count for row in ledger.of(Probes))
    useful_ids = {row.id for row in ledger.of(Try) if row.answers and row.answers[0].status == 200}
    wasted = probes * scenario.fleet.probe_work_ms
    for arrival in ledger.of(Arrival):
        wasted += arrival.handshake_ms
        if not (arrival.outcome == "served" and arrival.id in useful_ids):
            wasted += arrival.done_ms
    dials, end = ledger.of(Dial), max(ledger.ended_s, 1e-9)
    open_s = sum((min(end, d.closed_s) if d.closed_s is not None else end) - d.opened_s for d in dials)
    late = sum(
        f.worth
        for f in all_fates
        if f.served_s is None
        and f.ended_s is not None
        and (f.ended_s - f.first.at_s) * 1000 > scenario.class_of(f.first.class_name).aim_ms
    )
    servers = max(1, len({life.server for life in ledger.of(Life)}))
    return {
        "waste": WASTE * wasted / offered,
        "late_fail": LATE_FAIL * late / asked,
        "handshake": HANDSHAKE * len(dials) / tries,
        "connection": CONNECTION * max(0.0, open_s) / end / servers / 100,
        "probe": PROBE * probes / tries,
    }


def measure(scenario: Scenario, plan: Plan, ledger: Ledger) -> Service:
    """All figures of service."""
    every = fates(scenario, plan, ledger)
    service = Service(asked=len(every), answered=sum(f.served_s is not None for f in every))
    service.tries = sum(f.tries for f in every)
    service.attempts = sum(a.last_byte_s is not None for a in ledger.of(Arrival))
    service.whole = _ratio(every)
    length = min(scenario.length_s, ledger.ended_s) if ledger.partial else scenario.length_s
    service.worst_window, service.worst_window_at_s = _worst_window(every, length)
    for kind in scenario.classes:
        part = [f for f in every if f.first.class_name == kind.name]
        service.classes[kind.name] = _ratio(part)
        took = sorted(1000 * f.served_s for f in part if f.served_s is not None)
        most = took[-1] if took else 0.0
        service.latency_ms[kind.name] = (percentile(took, 0.5), percentile(took, 0.99), most)
    for tenant in scenario.tenants:
        service.tenants[tenant.name] = _ratio([f for f in every if f.first.tenant == tenant.name])
    poisoned = {fault.tenant for fault in scenario.faults if isinstance(fault, Poison)}
    well = [ratio for name, ratio in service.tenants.items() if name not in poisoned]
    service.worst_tenant = min(well, default=1.0)
    service.worst_class = min(service.classes.values())
    service.prices = _prices(scenario, ledger, every)
    service.service = max(0.0, service.unpriced() - sum(service.prices.values()))
    return service
