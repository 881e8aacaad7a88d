"""What fails at fleet size, over all nodes: discovery, bad servers, a release. The rules are checked by each `Node`."""

from __future__ import annotations

import math
from collections import Counter
from itertools import pairwise
from random import Random

import pytest
from fleet import NODES, SERVERS, Fleet, Verdict
from helpers import entries, make_settings

from cloverhold import Lifecycle, ListKind, ListMode, ServerEntry, ServerList, Settings, Status
from cloverhold.rehearsal.catalog import CallQueue as Service


def settings(me: int) -> Settings:
    return make_settings(
        nodes=NODES, me=me, probe_price=0.08, fall_multiple=2.5, fall_ms=1500.0,
        list_mode=ListMode.ASK, must_ask_ms=10000.0,
    )  # fmt: skip


def fine(server: str, now: float, chance: Random) -> Verdict:
    return Status.OK, chance.uniform(5.0, 60.0)


def traffic(fleet: Fleet, rate: float, kinds: tuple[str, ...] = ("safe", "keyed", "unsafe")) -> None:
    """So many requests at each node in a tick, on average."""
    for me in range(len(fleet.nodes)):
        if fleet.chance.random() < rate:
            fleet.request(me, fleet.chance.choice(kinds))


def test_all_restart_at_once_before_a_discovery_that_fails_most_calls() -> None:
    fleet = Fleet(settings, fine)
    service = Service(lines_per_s=60.0, call_lines=3.0, timeout_s=0.5)  # a call takes 50 ms, ten may wait
    told: dict[int, float] = {}
    begun = {me: fleet.chance.uniform(0.0, 1000.0) for me in range(NODES)}
    old = entries(SERVERS)
    answered = 0

    def each() -> None:
        nonlocal answered
        for me, at in list(begun.items()):
            if fleet.now - fleet.began >= at:
                del begun[me]
                fleet.nodes[me].list(old, ListKind.REMEMBERED)
        calls, answered = fleet.asked[answered:], len(fleet.asked)
        for _, me in calls:
            works = service.take(fleet.now / 1000, lines=0) is not None and fleet.chance.random() < 0.3
            if works:
                told.setdefault(me, fleet.now - fleet.began)
                fleet.nodes[me].give(ServerList(ListKind.CHANGES, ()))
            else:
                fleet.nodes[me].give(ServerList(ListKind.ERROR))

    fleet.run(60000.0, each)
    by_second = Counter(int((at - fleet.began) // 1000.0) for at, _ in fleet.asked)
    assert max(by_second[0], by_second[1]) <= 2 * NODES, "each as it starts, and the first to ask again"
    assert max(by_second[second] for second in range(2, 60)) <= NODES
    assert len(told) == NODES and max(told.values()) <= 45000.0
    # None is let to count as told what it was not: each asks again within half of the time for that.
    for me in range(NODES):
        calls = [at for at, who in fleet.asked if who == me]
        assert all(b - a <= 5000.0 + 10.0 or told[me] <= a - fleet.began for a, b in pairwise(calls))


@pytest.mark.parametrize(
    ("status", "after", "most"),
    [(Status.CONNECT_FAILED, 1.0, 6), (Status.FULL, 1.0, 60), (Status.TIMEOUT, math.inf, 5), (Status.ERROR, 1.0, 12)],
)
def test_a_bad_server_costs_each_node_few_requests(status: Status, after: float, most: int) -> None:
    """Refuses connections, turns away as full, is silent, or errs quickly: each node finds out by itself."""

    def answers(server: str, now: float, chance: Random) -> Verdict:
        return (status, after) if server == "s7" else fine(server, now, chance)

    fleet = Fleet(settings, answers)
    for node in fleet.nodes:
        node.list(entries(SERVERS))
    fleet.run(8000.0, lambda: traffic(fleet, 0.12))
    tries = fleet.last_tries("s7")
    keepers = [node for node in fleet.nodes if any(s.entry.server == "s7" for s in node.balancer.table.prefix.inside)]
    assert 1 <= len(keepers) <= 12
    assert max(tries.values()) <= most, tries
    share = sum(tries.values()) / len(fleet.sent)
    assert status is Status.FULL or share < 0.5 / SERVERS


def test_six_in_ten_replaced_in_seven_seconds() -> None:
    """Nothing goes to what drains (each Node checks), nothing is left of it, and the new ones share what comes."""

    def answers(server: str, now: float, chance: Random) -> Verdict:
        if server.startswith("bad"):
            return Status.ERROR if chance.random() < 0.5 else Status.OK, 2.0
        return fine(server, now, chance)

    fleet = Fleet(settings, answers)
    for node in fleet.nodes:
        node.list(entries(SERVERS))
    fleet.run(2000.0, lambda: traffic(fleet, 0.12))
    replaced = 0
    waves = {}

    def release() -> None:
        nonlocal replaced
        traffic(fleet, 0.12)
        at = fleet.now - fleet.began - 2000.0
        while replaced < 36 and at >= replaced * 7000.0 / 36:
            old = entries(SERVERS)[replaced]
            name = f"bad{replaced}" if replaced % 9 == 0 else f"new{replaced}"
            new = ServerEntry(name, old.zone, old.cell, started_at=fleet.now)
            waves[name] = fleet.now
            for node in fleet.nodes:
                drained = ServerEntry(old.server, old.zone, old.cell, Lifecycle.DRAINING)
                node.list((drained, new), ListKind.CHANGES)
            replaced += 1

    fleet.run(9000.0, release)
    gone = tuple(ServerEntry(e.server, e.zone, e.cell, Lifecycle.GONE) for e in entries(36))
    for node in fleet.nodes:
        node.list(gone, ListKind.CHANGES)
    fleet.run(2000.0)
    names = {e.server for e in gone}
    for node in fleet.nodes:
        balancer = node.balancer
        assert not names & set(balancer.table.servers) and not balancer.attempts and not node.owed
        table, health = balancer.table, balancer.health
        for held in (table.well.places, table.unwell.places, health.agenda.at, *health.away.values()):
            assert not names & {server.entry.server for server in held}
    usual = len(fleet.sent) / SERVERS / 11.0  # sends a server and second
    for name, born in waves.items():
        first = sum(1 for at, _, server, _ in fleet.sent if server == name and at < born + 1000.0)
        assert first <= 2.0 * usual, (name, first, usual)


def test_unsafe_requests_through_a_day_of_failures_never_run_twice() -> None:
    """Each Node holds every send and answer against the rules; here servers fail in every way at once."""
    ways = (Status.RESET, Status.ERROR, Status.CONNECT_FAILED, Status.FULL, Status.TIMEOUT)

    def answers(server: str, now: float, chance: Random) -> Verdict:
        number = int(server[1:])
        if number < 20:
            way = ways[number % len(ways)]
            return way, math.inf if way is Status.TIMEOUT else 3.0
        return fine(server, now, chance)

    fleet = Fleet(settings, answers)
    for node in fleet.nodes:
        node.list(entries(SERVERS))
    fleet.run(4000.0, lambda: traffic(fleet, 0.15, ("unsafe", "keyed")))
    fleet.run(1500.0)
    assert all(not node.owed for node in fleet.nodes), "each has had its answer"
    tries = [t for node in fleet.nodes for ref, t in node.sends.items() if fleet.kinds[ref] == "unsafe"]
    assert any(len(t) > 1 for t in tries), "what never ran was sent again"
