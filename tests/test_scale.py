"""The module at fleet size: what a list, a mass failure, a crowd of waiting requests or a jump of the clock leave."""

from __future__ import annotations

import os
from collections import Counter

import pytest
from helpers import Node, cold_room, entries, make_settings, waiting

from cloverhold import (
    ClassSettings,
    Lifecycle,
    ListKind,
    Outcome,
    Repeat,
    Request,
    ServerEntry,
    Status,
    Timer,
)
from cloverhold.decision.health import Health

COMPILED = os.environ.get("CLOVERHOLD_COMPILE") == "1"


def test_a_list_of_ten_thousand_changes_by_one_and_by_half_in_traffic() -> None:
    node = Node(servers=0, probe_price=0.01)
    node.list(entries(10000))
    for ref in range(50):
        node.request(ref)
    out = {node.last_send(ref) for ref in range(50)}
    gone = next(name for name in sorted(node.listed) if name not in out)
    node.list((ServerEntry(gone, lifecycle=Lifecycle.GONE),), ListKind.CHANGES)
    names = {s.entry.server for s in node.balancer.table.ready}
    assert len(names) == 9999 and gone not in names
    half = entries(5000)
    node.list(half)
    assert {s.entry.server for s in node.balancer.table.ready} == {e.server for e in half}
    assert set(node.balancer.table.well.places) <= set(node.balancer.table.ready)
    for ref in range(50):
        node.outcome(ref, Status.OK)  # also of servers that are gone
    for ref in range(100, 200):
        node.request(ref)
        assert node.last_send(ref) in node.listed
    assert node.balancer.table.rows == sum(s.row for s in node.balancer.table.ready)


@pytest.mark.skipif(COMPILED, reason="counts the calls of a method")
def test_an_event_looks_at_few_servers_however_many_there_are(monkeypatch: pytest.MonkeyPatch) -> None:
    looked, review = Counter[str](), Health.review

    def counted(self: Health, server: object, now: float) -> None:
        looked["all"] += 1
        review(self, server, now)  # type: ignore[arg-type]

    node = Node(servers=0, probe_price=0.01)
    node.list(entries(3000))
    monkeypatch.setattr(Health, "review", counted)
    for ref in range(300):
        node.request(ref)
        node.outcome(ref, Status.OK)
        node.reply_all({})
    assert looked["all"] <= 300 * 3
    looked.clear()
    node.list((ServerEntry("s7", lifecycle=Lifecycle.DRAINING),), ListKind.CHANGES)
    assert looked["all"] <= 2


def test_a_fifth_dies_at_once_and_comes_back_cold() -> None:
    """Each node's share of a cold server's budget holds, and the dead are found out."""
    settings = make_settings(probe_price=0.01, fall_multiple=2.5, fall_ms=1500.0, cold_from=0.4, cold_ms=6000.0)
    node = Node(settings=settings, servers=0)
    node.list(entries(100))
    dead = {f"s{n}" for n in range(21)}
    ref = 0
    sent = Counter[str]()
    for step in range(900):
        ref += 1
        node.request(ref)
        node.run(3.0)
        for which, tries in list(node.sends.items()):
            number = len(tries) - 1
            if which in node.owed and tries[number]["status"] is None and node.now - tries[number]["at"] >= 20.0:
                node.outcome(which, Status.RESET if tries[number]["server"] in dead else Status.OK, number)
        for name in list(node.probes):
            node.reply(name, status=Status.CONNECT_FAILED if name in dead else Status.OK)
        if step > 600:
            sent[node.last_send(ref)] += 1
    assert sum(sent[name] for name in dead) < 0.05 * sent.total(), "one in five of all servers, few of the sends"
    back = tuple(ServerEntry(name, started_at=node.now) for name in sorted(dead))
    node.list(back, ListKind.CHANGES)
    begun = node.now
    work: Counter[str] = Counter()
    for _ in range(400):
        ref += 1
        before = len(node.sends.get(ref, ()))
        node.request(ref)
        for each in node.sends.get(ref, ())[before:]:
            work[each["server"]] += node.balancer.learned.mix
        node.run(1.0)
        if node.now - begun > 1500.0:
            break
    share = 2.5 * 0.4 / 2 * 1500.0
    assert any(work[name] for name in dead), "cold, but of use"
    assert all(work[name] <= share for name in dead)
    server = node.balancer.table.servers["s0"]
    assert not cold_room(node.balancer, server, 0.75 * share, node.now), "no more than half of what it takes by now"


def test_twenty_thousand_wait_and_one_place_appears() -> None:
    kinds = (
        ClassSettings("plain", 4e5, 1e6, Repeat.SAFE),
        ClassSettings("unserved", 4e5, 1e6, Repeat.UNSAFE, worth=5.0),
    )
    node = Node(servers=1, nodes=1, classes=kinds, probes=False, max_attempts=1)
    server = node.balancer.table.servers["s0"]
    record = server.kind("unserved")  # this server has been ejected for one class
    record.until, record.ejections, record.failing, server.spoilt = node.now + 1e6, 1, 1.0, True
    node.balancer.learned.mix = 1e5
    node.refile()
    for ref in range(20000):
        node.owed[ref] = Request(ref, kinds[ref % 2].name, 5e5)
        node.due[ref] = node.now + 5e5
        node.give(node.owed[ref])
    first = [ref for ref in node.sends]
    assert first and all(ref % 2 == 0 for ref in first), "the class that nobody serves holds up nobody"
    held = node.balancer.waiting.count
    assert held == 20000 - len(first)
    assert waiting(node.balancer)[0].kind.name == "unserved", "though it is worth more"
    node.now += 1.0
    node.outcome(first[0], Status.OK)
    sent = list(node.sends)[len(first) :]
    assert sent and sent == list(range(2 * len(first), 2 * len(first) + 2 * len(sent), 2)), "the next in line"
    assert node.balancer.waiting.count == held - len(sent) and len(server.out) <= 4
    for ref in list(node.owed):
        node.gone(ref)
    assert not node.balancer.waiting.count
    lines = node.balancer.waiting
    heaps = [line.heap for line in node.balancer.admission.lane.lines.values()]
    assert sum(map(len, heaps)) + len(lines.aside) <= 2 * 20000 + 128


def test_ties_among_a_thousand_are_drawn_evenly() -> None:
    sends = Counter[str]()
    node = Node(servers=1000, nodes=1, probes=False)
    for ref in range(4000):
        node.request(ref)
        sends[node.last_send(ref)] += 1
        node.give(Outcome(ref, 0, node.last_send(ref), Status.OK, 50.0, True))
    assert set(sends.values()) == {4}, "without probes each row is raised in its turn"


def test_the_clock_jumps_by_minutes() -> None:
    node = Node(servers=6, probe_price=0.01)
    for ref in range(60):
        node.request(ref)
    node.now += 300_000.0
    for at, _, token in sorted(node.timers):
        assert at < node.now
        node.due = {ref: node.now for ref in node.due}  # what was due then is answered now
        node.give(Timer(token))
    node.timers.clear()
    assert not node.owed and not node.balancer.waiting.count
    for ref, tries in node.sends.items():
        for number, each in enumerate(tries):
            if each["status"] is None:
                node.outcome(ref, Status.CANCELLED, number)
    node.run(5000.0)
    for ref in range(100, 140):
        node.request(ref)
        node.run(20.0)
        assert node.last_send(ref)
        node.outcome(ref, Status.OK)
        node.reply_all({})
    assert len({node.last_send(ref) for ref in range(100, 140)}) == 6
