"""Requests that may go to some servers only: where they go, and that one pool's trouble is no other's."""

from __future__ import annotations

from collections import Counter

from helpers import CLASSES, Node, make_settings
from hypothesis import given
from hypothesis import strategies as st

from cloverhold import ClassSettings, Lifecycle, ListKind, Repeat, Request, ServerEntry, Status
from cloverhold.decision.pools import RETRY_BURST, Pool


def ask(node: Node, ref: int, pool: Pool | None, kind: str = "safe", expires: float = 1000.0) -> None:
    node.owed[ref] = Request(ref, kind, expires, pool=pool)
    node.due[ref] = node.now + expires
    node.give(node.owed[ref])


def lone(servers: int = 12, **changes: object) -> Node:
    return Node(make_settings(nodes=1, probes=False, pools=True, **changes), servers=servers)


def test_a_request_goes_to_the_lowest_row_of_its_pool_alone() -> None:
    node, pool = lone(), Pool("a", ("s2", "s5", "s7", "gone"))
    for ref in range(30):
        ask(node, ref, pool)
    sent = Counter(node.last_send(ref) for ref in range(30) if ref in node.sends)
    assert set(sent) == {"s2", "s5", "s7"} and max(sent.values()) - min(sent.values()) <= 1
    ask(node, 100, None)
    assert node.last_send(100) not in sent, "one that may go anywhere goes where nothing is"


def test_a_node_with_pools_keeps_to_every_server() -> None:
    """Guards against a pool whose servers this node, one of many, would not keep to."""
    for pools in (True, False):
        node = Node(make_settings(nodes=40, probes=False, pools=pools), servers=20)
        inside = len(node.balancer.table.prefix.inside)
        assert (inside == 20) is pools


def test_a_repeat_stays_in_the_pool_and_in_the_group() -> None:
    node, pool = lone(), Pool("a", ("s0", "s2", "s3", "s5"))
    ask(node, 1, pool, "keyed")
    first = node.last_send(1)
    node.outcome(1, Status.RESET)
    again = node.last_send(1)
    assert again in pool.servers and int(again[1:]) % 2 == int(first[1:]) % 2 and again != first


def test_a_keyed_repeat_whose_group_has_forgotten_is_not_sent_again() -> None:
    node, pool = lone(), Pool("a", ("s0", "s2", "s4"))
    ask(node, 1, pool, "keyed")
    node.now += 400.0  # past the key's 300 ms
    node.outcome(1, Status.RESET)
    assert len(node.sends[1]) == 1 and 1 in node.answers


def test_a_tenant_larger_than_its_pool_fills_that_and_no_more() -> None:
    node = lone(classes=(ClassSettings("safe", 4e5, 1e6, Repeat.SAFE),))
    large, small = Pool("large", ("s0", "s1", "s2", "s3")), Pool("small", ("s2", "s3", "s4", "s5"))
    for ref in range(600):
        ask(node, ref, large, expires=5e5)
    assert large.held and not small.held
    for ref in range(1000, 1008):
        ask(node, ref, small, expires=5e5)
        assert node.last_send(ref) in ("s4", "s5"), "where the large one is not"
        node.outcome(ref, Status.OK)
    assert large.held and {node.last_send(r) for r in range(600) if r in node.sends} <= set(large.servers or ())


def test_a_pool_that_is_down_spends_its_own_retries_and_delays_nobody() -> None:
    node, bad, good = lone(), Pool("bad", ("s0", "s1")), Pool("good", ("s2", "s3"))
    least = bad.retries
    for ref in range(60):
        ask(node, ref, bad)
        least = min(least, bad.retries)
        while ref in node.owed and ref in node.sends and node.sends[ref][-1]["status"] is None:
            node.outcome(ref, Status.RESET)
    assert least < RETRY_BURST == good.retries == node.balancer.admission.lane.retries
    assert node.balancer.waiting.count, "what found no room in it waits"
    for ref in range(100, 110):
        ask(node, ref, good)
        assert node.last_send(ref) in good.servers
        node.outcome(ref, Status.OK)


def test_of_many_that_wait_those_come_first_that_may_go_where_room_shows() -> None:
    kinds = (ClassSettings("safe", 4e5, 1e6, Repeat.SAFE),)
    node = lone(servers=200, classes=kinds)
    pools = [Pool(f"p{at}", (f"s{at}",)) for at in range(200)]
    ref = 0
    for pool in pools:
        for _ in range(20):
            ask(node, ref, pool, expires=5e5)
            ref += 1
    waiting = node.balancer.waiting
    assert waiting.count and len(waiting.apart) > 150
    held = {pool.name: pool.held for pool in pools}
    out = next(name for name in (f"{r}" for r in node.sends) if node.last_send(int(name)) == "s150")
    node.outcome(int(out), Status.OK)
    assert pools[150].held == held["p150"] - 1, "though a hundred lines stood apart for longer"


def test_a_pool_none_of_whose_servers_looks_well_is_tried_and_said_to_be_down() -> None:
    node, pool = lone(), Pool("a", ("s0", "s1"))
    assert node.balancer.serves(pool) and not node.balancer.serves(Pool("b", ("gone",)))
    ref = 0
    while node.balancer.serves(pool) and ref < 200:
        ask(node, ref, pool)
        if ref in node.sends and node.sends[ref][-1]["status"] is None:
            node.outcome(ref, Status.CONNECT_FAILED)
        node.now += 20.0
        ref += 1
    assert not node.balancer.serves(pool)
    assert node.balancer.serves(Pool("c", ("s1", "s2")))


@given(st.lists(st.tuples(st.integers(0, 7), st.integers(0, 3), st.integers(0, 4)), max_size=60))
def test_after_any_history_every_count_is_that_of_a_recount(history: list[tuple[int, int, int]]) -> None:
    node = lone(servers=6)
    pools = [None, *(Pool(f"p{at}", tuple(f"s{(at + i) % 6}" for i in range(3))) for at in range(3))]
    for ref, (what, which, server) in enumerate(history):
        node.now += 7.0
        if what < 5:
            ask(node, ref, pools[which], CLASSES[what].name)
        elif what == 5 and node.sends:
            out = [r for r in node.sends if r in node.owed and node.sends[r][-1]["status"] is None]
            if out:
                node.outcome(out[which % len(out)], (Status.OK, Status.RESET, Status.FULL, Status.ERROR)[which])
        elif what == 6 and node.owed:
            node.gone(next(iter(node.owed)))
        elif what == 7:
            state = Lifecycle.DRAINING if which % 2 else Lifecycle.READY
            node.list((ServerEntry(f"s{server}", lifecycle=state),), ListKind.CHANGES)
        waiting, held = node.balancer.waiting, [r for r in node.balancer.requests.values() if r.held]
        assert waiting.count == len(held)
        for pool in pools:
            lane = pool or node.balancer.admission.lane
            mine = [r for r in held if r.lane is lane]
            assert lane.held == len(mine) == sum(line.held for line in lane.lines.values())
        lines = {r.line for r in held}
        assert lines == waiting.standing.keys() | waiting.apart.keys()
        assert {line for at in waiting.at.values() for line in at} <= waiting.apart.keys()
        for ref_sent, tries in node.sends.items():
            event = node.balancer.requests.get(ref_sent)
            pool = event.event.pool if event is not None else None
            assert pool is None or all(t["server"] in (pool.servers or ()) for t in tries)
