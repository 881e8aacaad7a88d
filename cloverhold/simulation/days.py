"""Days of a whole fleet, drawn from their kind and a seed: sizes, zones, uneven traffic and troubles, as data."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from cloverhold.decision import interface as io
from cloverhold.rehearsal.scenario import Scenario, check, server_name

LENGTH_S = 25.0
MEAN_SPEED = 0.2 * 2.0 + 0.37 * 1.2 + 0.43 * 0.8
MEAN_WORK = 0.49 * 131.0 + 0.30 * 70.0 + 0.21 * 132.0  # ms, at the usual scale


@dataclass(frozen=True, slots=True)
class Prices:
    """Points of service for each unit, where the settings of large fleets state others than the kit's."""

    handshake: float = 0.08  # a new connection for each request
    probe: float = 0.08  # a probe for each request
    lines: float = 0.05  # 100 lines of the list for each request
    held_back: float = 0.10  # every request refused, and never sent


@dataclass(frozen=True, slots=True)
class Span:
    """What lasts for a while, in seconds after the start."""

    at_s: float
    for_s: float

    def lasts(self, now_s: float) -> bool:
        """Whether it is under way."""
        return self.at_s <= now_s < self.at_s + self.for_s


@dataclass(frozen=True, slots=True)
class Cut(Span):
    """Nodes and servers of one zone hear nothing of the others, nor the other way round; nor does discovery reach
    the nodes there.
    """

    zone: str


@dataclass(frozen=True, slots=True)
class Losses(Span):
    """Parts of all attempts that go wrong on the way, at any server."""

    lost: float = 0.0  # the answer never comes, though the request has run
    reset: float = 0.0  # the connection is reset under the request
    spoilt: float = 0.0  # what comes is no answer: a reset to the node, after the request has run


@dataclass(frozen=True, slots=True)
class Day:
    """One day: the kit's scenario, and what only a fleet has."""

    kind: str
    seed: int
    scenario: Scenario
    zones: tuple[str, ...]
    weights: tuple[float, ...]  # what each node gets of the traffic, in parts of the mean
    shift: tuple[float, ...] = ()  # factors on the traffic of each zone's nodes in the second half
    cuts: tuple[Cut, ...] = ()
    losses: tuple[Losses, ...] = ()
    prices: Prices = Prices()

    def node_zone(self, node: int) -> str:
        """The zone of a node."""
        return self.zones[node % len(self.zones)]

    def server_zone(self, cell: int) -> str:
        """The zone of a server of this cell."""
        return self.zones[cell % len(self.zones)]

    def settings(self, node: int) -> io.Settings:
        """What the platform tells a node."""
        scenario = self.scenario
        repeats = {"safe": io.Repeat.SAFE, "keyed": io.Repeat.KEYED, "unsafe": io.Repeat.UNSAFE}
        classes = tuple(
            io.ClassSettings(
                c.name, c.aim_ms, c.deadline_ms, repeats[c.repeats], io.Group(c.group), c.key_ttl_ms, c.worth
            )
            for c in scenario.classes
        )  # fmt: skip
        asked = scenario.discovery.mode == "ask"
        return io.Settings(
            classes=classes, zone=self.node_zone(node), nodes=scenario.nodes.count, me=node, tick_ms=1.0,
            answer_slack_ms=scenario.rules.answer_slack_ms, drain_grace_ms=scenario.rules.drain_grace_ms,
            cold_from=min(k.cold_from for k in scenario.fleet.kind),
            cold_ms=1000 * max(k.cold_s for k in scenario.fleet.kind),
            fall_multiple=scenario.rules.fall_multiple, fall_ms=scenario.rules.fall_ms,
            must_ask_ms=1000 * scenario.discovery.must_ask_s if asked else None,
            list_mode=io.ListMode.ASK if asked else io.ListMode.PUSH, weight_source=io.WeightSource.LIVE,
            max_attempts=scenario.nodes.max_attempts, max_retry_after_ms=scenario.nodes.max_retry_after_ms,
            goal_whole=0.55, goal_worst_class=0.3, probe_price=self.prices.probe,
        )  # fmt: skip


def _classes(scale: float) -> list[dict[str, Any]]:
    """The site's three classes; on quick machines all times are shorter by one factor."""
    rows = (
        ("consulta", 0.49, 131.0, 1500.0, 4000.0, 1.0, "safe"),
        ("alerta-umbral", 0.30, 70.0, 500.0, 1000.0, 5.0, "unsafe"),
        ("lote", 0.21, 132.0, 1500.0, 4000.0, 2.0, "keyed"),
    )
    return [
        {"name": name, "share": share, "work_ms": work * scale, "work_cv": 1.1, "aim_ms": aim * scale,
         "deadline_ms": deadline * scale, "worth": worth, "repeats": repeats,
         **({"group": "cell", "key_ttl_ms": 2500.0} if repeats == "keyed" else {})}
        for name, share, work, aim, deadline, worth, repeats in rows
    ]  # fmt: skip


def _kinds(random: Random) -> list[dict[str, Any]]:
    shares = (("rapida", 0.2, 2.0), ("media", 0.37, 1.2), ("lenta", 0.43, 0.8))
    return [
        {"name": name, "share": share, "speed": speed * random.uniform(0.9, 1.1), "slots": random.randint(8, 24),
         "queue": 400, "cold_from": random.uniform(0.32, 0.58), "cold_s": random.uniform(3.5, 8.0)}
        for name, share, speed in shares
    ]  # fmt: skip


@dataclass(slots=True)
class _Draft:
    """A day while its trouble is drawn."""

    random: Random
    nodes: int
    servers: int
    scale: float
    tables: dict[str, Any]
    zones: tuple[str, ...]
    faults: list[dict[str, Any]]
    losses: list[Losses]
    cuts: list[Cut]
    shift: tuple[float, ...] = ()

    def some(self, part: float, last: int = 0, of: str = "server") -> list[Any]:
        """So large a part of the servers, or of the nodes, drawn; none of the first `last`."""
        count = self.servers if of == "server" else self.nodes
        drawn = sorted(self.random.sample(range(last, count), max(1, round(part * count))))
        return [server_name(i) for i in drawn] if of == "server" else drawn

    def bad_eighth(self, at_s: float) -> None:
        """One of eight servers is slow, or fails, from then on."""
        targets, rest = self.some(1 / 8), LENGTH_S - at_s
        if self.random.random() < 0.5:
            self.faults.append({"kind": "slow", "at_s": at_s, "for_s": rest, "servers": targets, "factor": 4.0})
        else:
            self.faults.append({"kind": "quick_errors", "at_s": at_s, "for_s": rest, "servers": targets, "share": 0.5})

    def load(self, part: float, steps: tuple[float, ...]) -> None:
        """The traffic, as a part of what the warm fleet can do, and its steps of five seconds."""
        capacity = self.servers * MEAN_SPEED * 1000 / (MEAN_WORK * self.scale)
        self.tables["clients"].update(rate_per_s=part * capacity, arrivals="steps", period_s=5.0, steps=list(steps))


def _calm(draft: _Draft) -> None:
    draft.load(draft.random.uniform(0.5, 0.6), (1.0, 1.0, 1.5, 1.0, 1.0))
    draft.shift = tuple(draft.random.uniform(0.6, 1.4) for _ in draft.zones)


def _roll(draft: _Draft) -> None:
    draft.load(draft.random.uniform(0.5, 0.58), (1.0,))
    steps, half = 5, draft.some(0.5)
    draft.random.shuffle(half)
    for step in range(steps):
        at, part = 4.0 + 3.0 * step, half[step::steps]
        draft.faults.append({"kind": "drain", "at_s": at, "for_s": 1.9, "servers": part})
        draft.faults.append({"kind": "replace", "at_s": at + 1.5, "for_s": 1.0, "servers": part, "gap_s": 0.3})
    order = list(range(draft.nodes))
    draft.random.shuffle(order)
    for tenth in range(10):
        draft.faults.append({"kind": "node_term", "at_s": 4.0 + 1.6 * tenth, "for_s": 0.2, "nodes": order[tenth::10]})
    draft.faults.append({"kind": "reload_move", "at_s": 10.0, "nodes": list(range(draft.nodes))})


def _herd(draft: _Draft) -> None:
    draft.load(draft.random.uniform(0.5, 0.58), (1.0, 1.2, 1.2, 1.0, 1.0))
    at = draft.random.uniform(6.0, 9.0)
    draft.faults.append({"kind": "node_kill", "at_s": at, "for_s": 1.5, "nodes": draft.some(0.7, of="node")})
    draft.faults.append({"kind": "replace", "at_s": at + 0.5, "for_s": 1.0, "servers": draft.some(0.15), "gap_s": 0.5})
    draft.bad_eighth(3.0)


def _zone(draft: _Draft) -> None:
    draft.load(draft.random.uniform(0.5, 0.58), (1.0, 1.0, 1.1, 1.0, 1.0))
    lost = draft.some(0.3)
    if len(draft.zones) > 1:
        size = draft.tables["fleet"]["cell_size"]
        lost = [server_name(i) for i in range(draft.servers) if i // size % len(draft.zones) == 0]
        draft.cuts.append(Cut(17.0, 3.0, draft.zones[1]))
    draft.faults.append({"kind": "crash", "at_s": 7.5, "for_s": 5.0, "servers": lost})
    draft.bad_eighth(3.0)


def _split(draft: _Draft) -> None:
    draft.load(draft.random.uniform(0.5, 0.58), (1.0,))
    if len(draft.zones) > 1:
        draft.cuts.append(Cut(8.0, 6.0, draft.zones[0]))
    else:
        draft.faults.append({"kind": "hang", "at_s": 8.0, "for_s": 6.0, "servers": draft.some(0.2)})
    draft.tables["discovery"]["notice_s"] = 3.0
    draft.losses.append(Losses(6.0, 12.0, lost=0.005, reset=0.01))


def _join(draft: _Draft) -> None:
    draft.load(draft.random.uniform(0.5, 0.58), (1.0,))
    replaced, steps = draft.some(0.6), 7
    draft.random.shuffle(replaced)
    for step in range(steps):
        at, part = 6.0 + step, replaced[step::steps]
        draft.faults.append({"kind": "drain", "at_s": at, "for_s": 1.4, "servers": part})
        draft.faults.append({"kind": "replace", "at_s": at + 1.0, "for_s": 1.0, "servers": part, "gap_s": 0.3})
    draft.tables["clients"].update(impatient=0.03, backoff_ms=20.0, honour=0.6)
    draft.losses.append(Losses(4.0, 18.0, spoilt=0.01))


KINDS: dict[str, Callable[[_Draft], None]] = {
    "calm": _calm, "roll": _roll, "herd": _herd, "zone": _zone, "split": _split, "join": _join,
}  # fmt: skip


def uneven(random: Random, nodes: int) -> tuple[float, ...]:
    """What each node gets of the traffic: most about the mean, one in twenty three to five times it; mean 1."""
    drawn = [random.uniform(3.0, 5.0) if random.random() < 0.05 else random.uniform(0.5, 1.2) for _ in range(nodes)]
    mean = sum(drawn) / nodes
    return tuple(weight / mean for weight in drawn)


def draw(kind: str, seed: int, nodes: int | None = None) -> Day:
    """The day of this kind and seed, with so many nodes, or as many as the seed says. KeyError for no such kind."""
    trouble, random = KINDS[kind], Random(f"day:{kind}:{seed}")
    drawn = random.randint(190, 220)
    nodes = drawn if nodes is None else nodes
    servers = max(4, round(nodes * random.uniform(0.55, 0.7)))
    scale = random.uniform(0.6, 1.0)
    zones = ("sur",) if random.random() < 0.6 else ("sur-a", "sur-b", "sur-c")
    tables: dict[str, Any] = {
        "name": f"fleet-{kind}", "seed": seed, "length_s": LENGTH_S, "class": _classes(scale),
        "fleet": {
            "servers": servers, "cell_size": random.randint(4, 8), "kind": _kinds(random),
            "connection_work_ms": random.uniform(14.0, 22.0), "probe_work_ms": random.uniform(2.5, 5.0),
            "report_period_ms": random.uniform(510.0, 1500.0), "report_lag_ms": random.uniform(70.0, 480.0),
            "choke_at": random.uniform(4.0, 7.0), "choke_after_s": random.uniform(1.5, 2.5),
            "choke_slower": random.uniform(2.1, 3.1), "choke_rest_s": random.uniform(2.2, 4.7),
            "probe_deep": random.random() < 0.5,
        },
        "discovery": {"notice_s": random.uniform(0.6, 2.0), "weight_period_ms": random.uniform(510.0, 1500.0)},
        "rules": {"answer_slack_ms": 5.0}, "clients": {"try_share": random.uniform(0.5, 0.8)},
    }  # fmt: skip
    draft = _Draft(random, nodes, servers, scale, tables, zones, [], [], [])
    trouble(draft)
    faults = [x for x in draft.faults if x.get("servers", True) and x.get("nodes", True)]  # a small fleet's steps
    scenario = check({**tables, "nodes": {"count": nodes}, "fault": faults}, f"{kind} {seed}")
    return Day(
        kind, seed, scenario, zones, uneven(Random(f"uneven:{kind}:{seed}"), nodes), draft.shift, tuple(draft.cuts),
        tuple(draft.losses),
    )  # fmt: skip
