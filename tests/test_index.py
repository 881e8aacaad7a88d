"""The index beside a plain walk: the same ties, each with the same probability, and every count a recount."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

import pytest
from helpers import CLASSES, Node, entries
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cloverhold import Group, Lifecycle, ListKind, Request, ServerEntry, Status, Timer
from cloverhold.decision.index import Agenda, Choice, Index, Level, Prefix
from cloverhold.decision.learned import WARM
from cloverhold.decision.pools import Lane
from cloverhold.decision.records import Server
from cloverhold.decision.state import RequestState
from cloverhold.decision.table import POWER, SUBSET_LEAST, SUBSET_SHARED, load_key

STATUSES = (Status.ERROR, Status.RESET, Status.CONNECT_FAILED, Status.TIMEOUT, Status.FULL)


class Quantile(Random):
    """Draws the middle of the n-th of so many equal parts."""

    def __init__(self, at: int, parts: int) -> None:
        super().__init__(0)
        self.value = (at + 0.5) / parts

    def random(self) -> float:
        return self.value


def known_and_used(node: Node) -> tuple[list[Server], list[Server]]:
    """By definition: the servers up to the n-th that looks well, and those that may be used."""
    table, health = node.balancer.table, node.balancer.health
    ready = sorted((s for s in table.servers.values() if s.ready), key=lambda s: s.rank)
    count = max(SUBSET_LEAST, math.ceil(SUBSET_SHARED * len(ready) / table.settings.nodes))
    known, well = [], []
    for server in ready:
        known.append(server)
        if health.usable(server, node.now):
            well.append(server)
            if len(well) == count:
                break
    return known, well or ready[:count]


def walked(node: Node, request: RequestState, left: float, own: float, idle: bool) -> list[Server]:
    """The ties that a walk over all servers finds."""
    balancer, table = node.balancer, node.balancer.table
    lowest, ties = math.inf, []
    for server in known_and_used(node)[1]:
        assert server.profile is not None
        room, pace, figures, warm, aged, _ = server.profile
        step = figures[table.kinds[request.kind.name]]
        if step is None or server.closed:
            continue
        load = table.usable().places[server][1] + table.shift()
        if load > room and not (idle and table.shared and table.old()):
            continue
        if warm < WARM and request.work > balancer.warming.most_work(warm):
            continue
        if ((0 if idle else load) * balancer.learned.mix + own) * 2.0 ** (pace / 4) > left:
            continue
        row = max(server.row, round(table.level)) if aged else server.row
        figure = (row + 1) * POWER[step]
        if figure < lowest:
            lowest, ties = figure, [server]
        elif figure == lowest:
            ties.append(server)
    return ties


def recount(node: Node) -> None:
    """Every derived count, as its definition has it."""
    balancer, table, health = node.balancer, node.balancer.table, node.balancer.health
    ready = [s for s in table.servers.values() if s.ready]
    assert set(table.ready) == set(ready) and [s.rank for s in table.ready] == sorted(s.rank for s in ready)
    assert table.rows == sum(s.row for s in ready)
    assert table.sizes == pytest.approx(sum(s.size for s in ready))
    assert table.held == sum(len(s.out) for s in table.servers.values()) + sum(
        a.server not in table.servers.values() for a in balancer.attempts.values()
    )
    known, used = known_and_used(node)
    assert set(known) == table.prefix.inside
    lone = not table.shared
    assert {s for s in known if s.probed_at is None and not (lone and s.row <= len(s.out))} == set(table.free.items)
    assert table.prefix.well == {s for s in ready if health.usable(s, node.now)}
    assert set(table.usable().places) == {s for s in used if not s.closed}
    for index in (table.well, table.unwell):
        for server, (key, load, row) in index.places.items():
            assert (key, row) == (server.profile, server.row)
            # Where the usual is more than what a server's surplus takes off it, the sum is held at nothing.
            assert load == load_key(table.base(server)) or (table.old() and server.surplus < 0)
            assert server in index.buckets[key][load].rows[row]
        assert sum(len(g) for b in index.buckets.values() for v in b.values() for g in v.rows.values()) == len(index)
    for name, total in health.failing.items():
        records = [s.kinds.get(name) if name else s.record for s in ready]
        assert total == pytest.approx(sum(r.failing for r in records if r is not None), abs=1e-9)
        away = {s for s, r in zip(ready, records, strict=True) if r is not None and r.until > node.now}
        assert set(health.away[name]) == away
    held = Counter(r.kind.name for r in balancer.requests.values() if r.held)
    assert balancer.waiting.count == held.total()
    lines = balancer.admission.lane.lines
    assert {k: line.held for k, line in lines.items() if line.held} == dict(held)


def same_ties(node: Node, chance: Random) -> None:
    """The index gives each of the ties of the walk for its part of all draws, and nothing else."""
    table, kept = node.balancer.table, node.balancer.table.random
    kind = chance.choice(CLASSES)
    request = RequestState(Request(10**9, kind.name, 500.0), kind, node.now, Lane())
    request.work = chance.choice((1.0, 40.0, 400.0))
    left, own, idle = chance.choice((500.0, 90.0)), chance.choice((0.0, 30.0)), chance.random() < 0.5
    ties = walked(node, request, left, own, idle)
    drawn = []
    for at in range(max(1, len(ties))):
        table.random = Quantile(at, max(1, len(ties)))
        drawn.append(table.pick(request, Group.ALL, left, own, idle))
    table.random = kept
    assert Counter(drawn) == Counter(ties or [None])


OPS = ("request",) * 6 + ("outcome",) * 8 + ("reply",) * 6 + ("wait",) * 4 + ("change", "change", "lists", "gone")


@settings(max_examples=40, deadline=None)
@example(2, False, 437)  # drained while ejected, and ready again: was not counted as out
@example(30, False, 37)  # listed under another cell between an attempt and its repeat: the group moved with it
@example(30, True, 258139078)  # more and fewer servers than half the nodes within one list: loads of two kinds
@given(st.sampled_from((1, 2, 30)), st.booleans(), st.integers(0, 2**32))
def test_any_history_picks_as_a_walk_does(nodes: int, old: bool, seed: int) -> None:
    chance = Random(seed)
    node = Node(servers=0, nodes=nodes, seed=seed, probe_price=0.01, cold_ms=3000.0)
    table = node.balancer.table
    table.stale = 1e9 if old else -1e9
    node.list(entries(7))
    ref = 0
    for _ in range(160):
        table.stale = 1e9 if old else -1e9  # no reply changes that: a turn would be taken over in the round
        step(node, chance, ref)
        ref += 8
        node.give(Timer(10**9))  # nobody's: what has changed with time is taken over
        recount(node)
        same_ties(node, chance)


def step(node: Node, chance: Random, ref: int) -> None:
    """Something happens. Two of the servers fail most of what they get, and answer no probe."""
    match chance.choice(OPS):
        case "request":
            for at in range(chance.randint(1, 8)):
                node.request(ref + at, chance.choice(CLASSES).name, settle=chance.random() < 0.5)
        case "outcome":
            out = [(r, n) for r, ts in node.sends.items() for n, t in enumerate(ts) if t["status"] is None]
            for which, attempt in chance.sample(out, min(len(out), chance.randint(1, 4))):
                bad = node.sends[which][attempt]["server"] in ("s0", "s1") and chance.random() < 0.8
                node.outcome(which, chance.choice(STATUSES) if bad else Status.OK, attempt)
        case "reply":
            for server in chance.sample(node.probes, min(len(node.probes), chance.randint(1, 3))):
                status = Status.TIMEOUT if server == "s0" else chance.choice((Status.OK, Status.OK, Status.FULL))
                node.reply(server, chance.randint(0, 6), status)
        case "change":
            started = chance.choice((None, None, node.now, node.now - 1500))
            state = chance.choice((Lifecycle.READY, Lifecycle.READY, Lifecycle.DRAINING, Lifecycle.GONE))
            number, weight = chance.randrange(9), chance.choice((1.0, 2.0))
            node.list((ServerEntry(f"s{number}", f"z{number % 2}", 0, state, weight, started),), ListKind.CHANGES)
        case "lists":
            names = sorted(chance.sample(range(24), chance.choice((2, 7, 12, 20))))
            node.list(tuple(ServerEntry(f"s{n}", f"z{n % 2}", n % 2) for n in names))
        case "gone" if node.owed:
            node.gone(chance.choice(sorted(node.owed)))
        case _:
            node.run(chance.choice((0.0, 3.0, 40.0, 200.0, 900.0)))


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=60), st.integers(1, 5))
def test_a_choice_holds_what_a_set_holds(steps: list[tuple[bool, int]], count: int) -> None:
    choice: Choice[int] = Choice()
    plain: set[int] = set()
    for add, item in steps:
        (choice.add if add else choice.discard)(item)
        (plain.add if add else plain.discard)(item)
        assert sorted(choice.items) == sorted(plain) and all(choice.items[i] == x for x, i in choice.places.items())
    drawn = choice.sample(Random(1), count)
    assert len(set(drawn)) == len(drawn) == min(count, len(plain)) and set(drawn) <= plain


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 300)), max_size=120))
def test_a_level_knows_its_lowest_row_and_stays_small(steps: list[tuple[int, int]]) -> None:
    level: Level[int] = Level()
    rows: dict[int, int] = {}
    for item, row in steps:
        if item in rows:
            level.discard(rows[item], item)
        rows[item] = row
        level.add(row, item)
        assert level.lowest() == min(rows.values())
        assert len(level.heap) <= 2 * len(level.rows) + 17


def test_an_index_leaves_nothing_behind() -> None:
    index: Index[str, str] = Index()
    for at in range(50):
        index.file("a", f"key{at}", at / 4, at)
    assert len(index.buckets) == 1 and index.drop("a") == ("key49", 49 / 4, 49)
    assert not index.buckets and not index.places and index.drop("a") is None


@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from((0.0, 1.0, 2.0, 3.0, 7.0, math.inf))), max_size=60))
def test_an_agenda_rings_each_item_once_at_its_last_time(steps: list[tuple[int, float]]) -> None:
    agenda: Agenda[int] = Agenda()
    plain: dict[int, float] = {}
    for now, (item, at) in enumerate(steps):
        agenda.set(item, now / 10 + at)
        plain[item] = now / 10 + at
        plain = {i: t for i, t in plain.items() if t != math.inf}
        assert agenda.next() == min(plain.values(), default=math.inf)
        due = list(agenda.due(now / 10))
        assert due == sorted(due, key=lambda i: plain[i])
        assert set(due) == {i for i, t in plain.items() if t <= now / 10}
        plain = {i: t for i, t in plain.items() if t > now / 10}
    assert agenda.at == plain


@given(st.lists(st.tuples(st.sampled_from(("add", "remove", "turn", "count")), st.integers(0, 30)), max_size=80))
def test_a_prefix_ends_at_the_nth_that_is_well(steps: list[tuple[str, int]]) -> None:
    told: set[int] = set()
    prefix: Prefix[int] = Prefix(told.add)
    items: dict[int, bool] = {}
    for step, number in steps:
        before = set(prefix.inside), set(prefix.leading)
        told.clear()
        if step == "add" and number not in items:
            items[number] = number % 3 > 0
            prefix.add(float(number), number, well=items[number])
        elif step == "remove" and items.pop(number, None) is not None:
            prefix.remove(float(number), number)
        elif step == "turn" and number in items:
            items[number] = not items[number]
            prefix.turn(number, well=items[number])
        elif step == "count":
            prefix.resize(1 + number % 6)
        inside, wells = set(), 0
        for item in sorted(items):
            if wells == prefix.count:
                break
            inside.add(item)
            wells += items[item]
        assert prefix.inside == inside and prefix.wells == wells
        assert prefix.leading == set(sorted(items)[: prefix.count])
        assert (before[0] ^ inside) | (before[1] ^ prefix.leading) <= told | {number}
