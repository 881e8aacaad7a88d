"""What a scenario's seed makes of it: arrivals, servers, hostile visits and the steps of its faults, as data.

The same scenario and seed give the same plan, whatever the nodes then do. Times are seconds after the start of
the load.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

from cloverhold.rehearsal import faults as f
from cloverhold.rehearsal.scenario import Class, Kind, Scenario, server_name


SIGNAL_EVERY_S = 0.05


@dataclass(frozen=True, slots=True)
class FirstTry:
    """One request of the usual clients, at its first try."""

    index: int
    at_s: float
    class_name: str
    work_ms: float
    key: str | None
    subject: str
    honours: bool  # comes back when Retry-After says
    leaves_s: float | None  # leaves this long after each send, with no answer
    tenant: str = ""  # of the scenario
    caller: str = ""  # what it calls itself
    harm: int | None = None  # the fault by which it harms the server it comes to
    once: bool = False  # asks on a connection of its own and keeps that open, unused


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """One server of the fleet at the start, or one that comes later."""

    uid: str
    kind: Kind
    speed: float
    cell: int


@dataclass(frozen=True, slots=True)
class Visit:
    """One connection of a client that keeps no rule."""

    at_s: float
    how: str
    number: int


@dataclass(frozen=True, slots=True)
class Step:
    """One thing that is done to one target. `fault` is its place in the scenario."""

    at_s: float
    what: str
    target: str
    fault: int
    other: ServerPlan | None = None  # the server that comes


@dataclass(frozen=True, slots=True)
class Plan:
    """All that happens by the script, in order of time."""

    servers: tuple[ServerPlan, ...]
    arrivals: tuple[FirstTry, ...]
    steps: tuple[Step, ...]
    visits: tuple[Visit, ...]


def lognormal(random: Random, mean: float, cv: float) -> float:
    """A lognormal draw with this mean and coefficient of variation."""
    if cv <= 0:
        return mean
    sigma = math.sqrt(math.log(1 + cv * cv))
    return mean * math.exp(random.gauss(0.0, sigma) - sigma * sigma / 2)


def make_plan(scenario: Scenario) -> Plan:
    """The plan of a scenario. Each part draws from a source of its own, so that a change of one keeps the rest."""
    servers = tuple(_server(scenario, i, server_name(i)) for i in range(scenario.fleet.servers))
    steps = sorted(_steps(scenario, servers), key=lambda s: s.at_s)
    return Plan(servers, tuple(_arrivals(scenario)), tuple(steps), tuple(_visits(scenario)))


def _source(scenario: Scenario, *names: object) -> Random:
    return Random(":".join(str(n) for n in (scenario.seed, *names)))


def _server(scenario: Scenario, index: int, uid: str) -> ServerPlan:
    random, fleet = _source(scenario, "server", uid), scenario.fleet
    # Kinds are dealt out by their shares in turn, not drawn: a small fleet then has its mix.
    total = sum(k.share for k in fleet.kind)
    place, kind = (index * 0.6180339887 % 1.0) * total, fleet.kind[-1]
    for candidate in fleet.kind:
        if place < candidate.share:
            kind = candidate
            break
        place -= candidate.share
    return ServerPlan(uid, kind, kind.speed * random.uniform(0.95, 1.05), index // fleet.cell_size)


# ------------------------------------------------------------------------------------------------- arrivals


def _rate(scenario: Scenario) -> Callable[[float], float]:
    clients = scenario.clients
    if clients.arrivals == "steady":
        return lambda t: clients.rate_per_s
    if clients.arrivals == "wave":
        return lambda t: clients.rate_per_s * (1 + clients.swing * math.sin(2 * math.pi * t / clients.period_s))
    if clients.arrivals == "steps":
        steps = clients.steps
        return lambda t: clients.rate_per_s * steps[int(t / clients.period_s) % len(steps)]
    random, t, turns = _source(scenario, "bursts"), 0.0, [0.0]
    while t < scenario.length_s:
        t += random.expovariate(2 / clients.period_s)
        turns.append(t)

    def bursty(at: float) -> float:
        turn = sum(start <= at for start in turns)
        return clients.rate_per_s * (1 + (clients.swing if turn % 2 == 0 else -clients.swing))

    return bursty


def _arrivals(scenario: Scenario) -> Iterator[FirstTry]:
    """A Poisson stream, thinned to the rate of each moment (Lewis and Shedler, 1979)."""
    clients, random, rate = scenario.clients, _source(scenario, "arrivals"), _rate(scenario)
    most = clients.most_per_s()
    tails = [x for x in scenario.faults if isinstance(x, f.HeavyTail)]
    weights = [c.share for c in scenario.classes]
    at, index = 0.0, 0
    while (at := at + random.expovariate(most)) < scenario.length_s:
        draw = _source(scenario, "request", index)
        kind = draw.choices(scenario.classes, weights)[0]
        kept = random.random() * most < rate(at)
        if not kept:
            continue
        yield _first_try(kind, clients_draw=draw, index=index, at=at, tails=tails, scenario=scenario)
        index += 1


def _tenant(scenario: Scenario, index: int, at: float) -> tuple[str, str, int | None]:
    """Who sends a request, under which name, and the fault by which it does harm. Draws of its own."""
    if not scenario.tenants:
        return "", "", None
    draw = _source(scenario, "tenant", index)
    tenant = caller = draw.choices(scenario.tenants, [t.share for t in scenario.tenants])[0].name
    harm, struck = None, draw.random()
    for number, fault in enumerate(scenario.faults):
        if isinstance(fault, f.Poison) and fault.tenant == tenant and fault.at_s <= at < fault.at_s + fault.for_s:
            if fault.renamed_s is not None:
                caller = f"{tenant}-{int((at - fault.at_s) / fault.renamed_s)}"
            if struck < fault.share:
                harm = number
    return tenant, caller, harm


def _first_try(
    kind: Class, *, clients_draw: Random, index: int, at: float, tails: list[f.HeavyTail], scenario: Scenario
) -> FirstTry:
    draw, clients = clients_draw, scenario.clients
    work = lognormal(draw, kind.work_ms, kind.work_cv)
    for tail in tails:
        struck = draw.random() < tail.share
        if struck and tail.class_name == kind.name and tail.at_s <= at < tail.at_s + tail.for_s:
            work *= tail.factor
    tenant, caller, harm = _tenant(scenario, index, at)
    return FirstTry(
        index=index,
        at_s=at,
        class_name=kind.name,
        work_ms=work,
        key=f"k{scenario.seed:x}-{index:x}" if kind.repeats == "keyed" else None,
        subject=f"{draw.getrandbits(52):x}",
        honours=draw.random() < clients.honour,
        leaves_s=draw.uniform(0.02, 0.5) * kind.aim_ms / 1000 if draw.random() < clients.impatient else None,
        tenant=tenant,
        caller=caller,
        harm=harm,
        once=draw.random() < clients.ask_once,
    )


def _visits(scenario: Scenario) -> Iterator[Visit]:
    visits = []
    for at, fault in enumerate(scenario.faults):
        if isinstance(fault, f.Hostile):
            random, t = _source(scenario, "hostile", at), fault.at_s
            while (t := t + random.expovariate(fault.rate_per_s)) < fault.at_s + fault.for_s:
                visits.append((t, fault.how))
    for number, (t, how) in enumerate(sorted(visits)):
        yield Visit(t, how, number)


# --------------------------------------------------------------------------------------------------- faults

_PAIRS: dict[type, tuple[str, str]] = {
    # fault: the step at its begin and the step at its end, for each of its targets
    f.Crash: ("die", "return"),
    f.Silent: ("silence", "return"),
    f.Hang: ("behave", "behave_again"),
    f.Slow: ("behave", "behave_again"),
    f.QuickErrors: ("behave", "behave_again"),
    f.ClassFails: ("behave", "behave_again"),
    f.Spoil: ("behave", "behave_again"),
    f.IdleDrop: ("behave", "behave_again"),
    f.LateConnections: ("behave", "behave_again"),
    f.Drain: ("leave", "rejoin"),
    f.DiscoveryDown: ("discovery_down", "discovery_up"),
    f.DiscoveryStale: ("discovery_stale", "discovery_fresh"),
    f.DiscoverySlow: ("discovery_ails", "discovery_heals"),
    f.DiscoveryCrowded: ("discovery_ails", "discovery_heals"),
    f.DiscoveryTrickle: ("discovery_ails", "discovery_heals"),
    f.DiscoveryHalfSilent: ("discovery_ails", "discovery_heals"),
    f.DiscoveryMisreports: ("discovery_ails", "discovery_heals"),
    f.DiscoveryIncomplete: ("discovery_ails", "discovery_heals"),
    f.NodeKill: ("node_kill", "node_start"),
    f.NodeTerm: ("node_term", "node_start"),
    f.NodeDrain: ("node_drain", "node_undrain"),
    f.NodeStop: ("node_stop", "node_continue"),
    f.ReloadBroken: ("reload_broken", "reload_mended"),
    f.Reconfigure: ("reconfigure", "reconfigured"),
    f.FailingCalls: ("fail_calls", "mend_calls"),
    f.WallClock: ("step_wall_clock", "step_wall_clock_back"),
    f.ReloadMove: ("reload_move", "discovery_old_closes"),
}


def _drawn(scenario: Scenario, at: int, fault: f.Fault, servers: tuple[ServerPlan, ...]) -> list[str]:
    if isinstance(fault, f._OnNodes):
        return [f"n{node}" for node in fault.nodes]
    if not isinstance(fault, f._OnServers):
        return []
    if fault.servers:
        return list(fault.servers)
    count = fault.count if fault.count is not None else max(1, round((fault.part or 0.0) * len(servers)))
    return _source(scenario, "fault", at).sample([s.uid for s in servers], min(count, len(servers)))


def _steps(scenario: Scenario, servers: tuple[ServerPlan, ...]) -> Iterator[Step]:
    by_uid = {s.uid: s for s in servers}
    for at, fault in enumerate(scenario.faults):
        targets = _drawn(scenario, at, fault, servers)
        begin, end = fault.at_s, fault.at_s + fault.for_s
        if type(fault) in _PAIRS:
            first, last = _PAIRS[type(fault)]
            for target in targets:
                yield Step(begin, first, target, at)
                yield Step(end, last, target, at)
        elif isinstance(fault, f.SignalSeries):
            for number in range(int(fault.for_s / SIGNAL_EVERY_S) + 1):
                yield from (Step(begin + number * SIGNAL_EVERY_S, "signal", target, at) for target in targets)
        elif isinstance(fault, f.Replace):
            for target in targets:
                old = by_uid[target]
                new = ServerPlan(f"{target}r{at}", old.kind, old.speed, old.cell)
                yield Step(begin, "die_for_good", target, at)
                yield Step(begin + fault.gap_s, "replace", target, at, new)
        elif isinstance(fault, f.Join):
            for number in range(fault.count):
                new = _server(scenario, len(servers) + number, f"j{at}-{number}")
                yield Step(begin, "join", new.uid, at, new)
        elif isinstance(fault, f.RollingRestart):
            each = fault.for_s / len(targets)
            for place, target in enumerate(targets):
                start = begin + place * each
                yield Step(start, "leave", target, at)
                yield Step(start + fault.drain_s, "die", target, at)
                yield Step(start + fault.drain_s + fault.down_s, "return", target, at)
                yield Step(start + fault.drain_s + fault.down_s, "rejoin", target, at)
