"""What a day came to: service less the day's prices, what was refused and when, what the fleet paid, rules broken."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from cloverhold.decision.decide import Balancer
from cloverhold.rehearsal.ledger import Dial, Ledger
from cloverhold.rehearsal.rules import RULES, Case, Violation
from cloverhold.rehearsal.service import fates, measure, percentile
from cloverhold.simulation.days import Day
from cloverhold.simulation.fleet import Fleet, Make
from cloverhold.simulation.nodes import Seen


@dataclass(frozen=True, slots=True)
class Figures:
    """One day. Parts are of 1; `prices` are taken off `service`."""

    kind: str
    seed: int
    nodes: int
    servers: int
    requests: int
    service: float
    whole: float
    worst_window: float
    worst_class: float
    classes: dict[str, float]
    by_5_s: tuple[float, ...]  # served in time, of the worth asked for, by when it was asked
    prices: dict[str, float]
    refused: float  # of all tries
    never_sent: float  # refused, and never sent to a server
    early: float  # the same, before half of its time was over
    idle: float  # servers idle when such a one was refused, on average
    refused_busy: float  # part refused at the tenth of the nodes with the most traffic
    refused_rest: float
    wait_p99_ms: float  # to the first send
    probes: float  # a request
    dials: float  # new connections a request
    most_connections: int  # at one server at once
    most_held: int  # by one server at once
    servers_used: float  # by a node in all
    calls: int  # of discovery
    rules: dict[str, int]  # breaches

    def kept(self) -> bool:
        """Whether all four rules were kept."""
        return not any(self.rules.values())


def _window(day: Day, fleet: Fleet, ledger: Ledger) -> tuple[float, ...]:
    asked: dict[int, float] = defaultdict(float)
    got: dict[int, float] = defaultdict(float)
    for fate in fates(day.scenario, fleet.plan, ledger):
        at = int(fate.first.at_s // 5)
        asked[at] += fate.worth
        got[at] += fate.worth * fate.in_aim
    return tuple(round(got[at] / asked[at], 4) for at in sorted(asked))


def _prices(day: Day, fleet: Fleet, live: dict[str, float], *, dials: int, tries: int, held: int) -> dict[str, float]:
    """The kit's prices at the day's rates, and those that only a fleet pays."""
    prices, first = day.prices, max(1, len(fleet.plan.arrivals))
    probes = sum(node.seen.probes for node in fleet.nodes)
    return {
        "waste": live["waste"], "late_fail": live["late_fail"], "connection": live["connection"],
        "handshake": prices.handshake * dials / first, "probe": prices.probe * probes / first,
        "lines": prices.lines * fleet.registry.lines / (100 * first),
        "held_back": prices.held_back * held / max(1, tries),
    }  # fmt: skip


def breaches(day: Day, ledger: Ledger) -> dict[str, list[Violation]]:
    """What the kit's judge finds of the four rules."""
    case = Case(day.scenario, ledger)
    return {name: list(rule(case)) for name, rule in RULES.items()}


def _refused(part: list[Seen]) -> float:
    return sum(s.refused for s in part) / max(1, sum(s.requests for s in part))


def figures(day: Day, fleet: Fleet, ledger: Ledger) -> Figures:
    """The figures of a day that has been played."""
    service = measure(day.scenario, fleet.plan, ledger)
    seen = [node.seen for node in fleet.nodes]
    tries, first = sum(s.requests for s in seen), max(1, len(fleet.plan.arrivals))
    held, dials = sum(s.never_sent for s in seen), len(ledger.of(Dial))
    prices = _prices(day, fleet, service.prices, dials=dials, tries=tries, held=held)
    order = sorted(seen, key=lambda s: -s.requests)
    busy, rest = order[: max(1, len(order) // 10)], order[max(1, len(order) // 10) :]
    idle = [part for s in seen for part in s.idle_parts]
    return Figures(
        kind=day.kind, seed=day.seed, nodes=len(fleet.nodes), servers=day.scenario.fleet.servers, requests=first,
        service=service.unpriced() - sum(prices.values()), whole=service.whole, worst_window=service.worst_window,
        worst_class=service.worst_class, classes=service.classes, by_5_s=_window(day, fleet, ledger), prices=prices,
        refused=_refused(seen), never_sent=held / max(1, tries), early=sum(s.early for s in seen) / max(1, tries),
        idle=sum(idle) / max(1, len(idle)), refused_busy=_refused(busy), refused_rest=_refused(rest),
        wait_p99_ms=percentile(sorted(ms for s in seen for ms in s.waits_ms), 0.99),
        probes=sum(s.probes for s in seen) / first, dials=dials / first,
        most_connections=max(s.most_connections for s in fleet.servers.values()),
        most_held=max(s.most_held for s in fleet.servers.values()),
        servers_used=sum(len(s.used) for s in seen) / len(seen), calls=fleet.registry.calls,
        rules={name: len(found) for name, found in breaches(day, ledger).items()},
    )  # fmt: skip


def play(day: Day, make: Make = Balancer, *, membership: bool = False) -> Figures:
    """Play a day and work out what it came to."""
    fleet = Fleet(day, make, membership=membership)
    return figures(day, fleet, fleet.run())
