"""Moves of a key between cells while it is served: each step, each way back, restarts, crossing orders."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverhold.cells.core import Cells
from cloverhold.cells.draw import Member
from cloverhold.cells.moves import ENDS, IN_NEW, NEXT, Move, Order, Place, Stage, Word
from cloverhold.cells.rules import By, Down, Keep, Rules, Warm
from cloverhold.cells.tenancy import Cell
from cloverhold.decision.interface import Refuse, Status

RULES = Rules(newcomers=0, prepare_ms=1000.0, watch_ms=2000.0, moves_a_minute=600.0)


def cells(rules: Rules = RULES, servers: int = 12, cold: int = 0) -> Cells:
    out = Cells(rules, lambda pool: True)
    members = {f"s{n}": Member(f"s{n}", "ab"[n % 2], 1.0, 9000.0 if n < cold else 0.0, 0.3) for n in range(servers)}
    out.members(members, 0.0)
    return out


def routed(held: Cells, key: str, now: float) -> Cell:
    cell = held.route(key, now)
    assert not isinstance(cell, Refuse)
    return cell


def test_the_table_leads_to_an_end_from_every_stage_and_nowhere_from_an_end() -> None:
    for stage in Stage:
        words = {word: to for (at, word), to in NEXT.items() if at is stage}
        assert bool(words) is (stage not in ENDS)
        if stage not in ENDS and stage is not Stage.BACK:
            assert Word.UNDO in words, "by hand it can always be turned back"
    reached, todo = {Stage.PREPARING}, [Stage.PREPARING]
    while todo:
        at = todo.pop()
        new = {to for (stage, _), to in NEXT.items() if stage is at} - reached
        reached |= new
        todo += new
    assert reached == set(Stage)


def test_a_move_takes_new_requests_over_and_lets_those_in_flight_be() -> None:
    held = cells()
    flying = routed(held, "acme", 0.0)
    before = flying.servers
    held.orders([Order("m1", "acme", Place(draw=1))], 10.0)
    warm = next(a for a in held.take() if isinstance(a, Warm))
    assert not set(warm.servers) & set(before)
    assert routed(held, "acme", 20.0) is flying, "until the new cell is ready"
    held.tick(100.0)
    new = routed(held, "acme", 110.0)
    assert new is not flying and new.place == Place(draw=1)
    assert flying.servers == before and flying.pool.servers == before, "what is in flight keeps its pool"
    held.left(flying)
    held.tick(200.0)
    assert held.moves["m1"].stage is Stage.DRAINING, "one of the old cell is still open"
    held.left(flying)
    held.tick(300.0)
    assert held.moves["m1"].stage is Stage.WATCHED
    held.tick(2400.0)
    assert held.moves["m1"].stage is Stage.DONE and held.tenancies.places["acme"] == Place(draw=1)
    held.orders([Order("m1", "acme", Place(draw=1))], 3000.0)
    assert held.moves["m1"].stage is Stage.DONE and not held.queue, "said again it is the same one"


def test_a_cell_of_which_half_is_cold_is_waited_for_and_given_up() -> None:
    for until, stage in ((900.0, Stage.DRAINING), (9000.0, Stage.UNDONE)):
        rules = Rules(newcomers=0, prepare_ms=1000.0, extra=0, servers=4)
        held = Cells(rules, lambda pool: True)
        drawn = held.tenancies.roster
        drawn.change({f"s{n}": Member(f"s{n}") for n in range(12)})
        new = drawn.draw("1:acme", 4)
        held.members({f"s{n}": Member(f"s{n}", "", 1.0, until if f"s{n}" in new[:2] else 0.0, 0.3)
                      for n in range(12)}, 0.0)  # fmt: skip
        held.orders([Order("m", "acme", Place(draw=1))], 0.0)
        held.tick(500.0)
        assert held.moves["m"].stage is Stage.PREPARING
        held.tick(1001.0)
        assert held.moves["m"].stage is stage


def test_a_move_that_makes_things_worse_is_turned_back_by_its_own_evidence() -> None:
    held, random = cells(), Random(1)
    for ref in range(200):
        cell = routed(held, "acme", ref * 10.0)
        held.sent(ref, cell, cell.servers[ref % 4], ref * 10.0)
        held.ended(ref, cell, "safe", cell.servers[ref % 4], Status.OK, 5.0, ref * 10.0 + 5)
        held.left(cell)
    held.orders([Order("m", "acme", Place(draw=1))], 2000.0)
    held.tick(2100.0)
    now, ref = 2100.0, 1000
    while held.moves["m"].stage in IN_NEW and ref < 1100:
        now, ref = now + 10.0, ref + 1
        cell = routed(held, "acme", now)
        server = random.choice(cell.servers)
        status = Status.ERROR if random.random() < 0.5 else Status.OK
        held.sent(ref, cell, server, now)
        held.ended(ref, cell, "safe", server, status, 5.0, now)
        held.left(cell)
    assert ref < 1060 and held.moves["m"].why == Word.WORSE.value
    assert routed(held, "acme", now).place == Place()
    held.tick(now + 100.0)
    assert held.moves["m"].stage is Stage.UNDONE


def test_of_two_moves_that_cross_the_later_one_stands() -> None:
    held = cells()
    flying = routed(held, "acme", 0.0)
    held.orders([Order("m1", "acme", Place(draw=1))], 0.0)
    held.tick(100.0)
    new = routed(held, "acme", 110.0)
    orders = [Order("m1", "acme", Place(draw=1)), Order("m2", "acme", Place(draw=2))]
    held.orders(orders, 120.0)
    assert held.moves["m1"].stage is Stage.BACK and "m2" in held.queue
    assert routed(held, "acme", 130.0) is flying
    held.left(new)
    held.tick(200.0)
    assert held.moves["m1"].stage is Stage.UNDONE
    held.tick(300.0)
    held.tick(400.0)
    assert routed(held, "acme", 410.0).place == Place(draw=2) and not held.queue


def test_undone_half_way_or_after_its_end() -> None:
    held = cells()
    held.orders([Order("m", "acme", Place(draw=1))], 0.0)
    held.tick(100.0)
    new = routed(held, "acme", 110.0)
    held.orders([Order("m", "acme", Place(draw=1), undo=True)], 120.0)
    old = routed(held, "acme", 130.0)
    assert held.moves["m"].stage is Stage.BACK and old.place == Place()
    held.left(new)
    held.left(old)
    held.tick(200.0)
    assert held.moves["m"].stage is Stage.UNDONE
    held.orders([Order("n", "acme", Place(draw=1))], 300.0)
    for now in (400.0, 500.0, 2700.0):
        held.tick(now)
    assert held.moves["n"].stage is Stage.DONE
    held.orders([Order("n", "acme", Place(draw=1), undo=True)], 2800.0)
    for now in (2900.0, 3000.0, 5200.0):
        held.tick(now)
    assert held.moves["n/undo"].stage is Stage.DONE and routed(held, "acme", 6000.0).place == Place()


def test_a_node_killed_at_each_stage_goes_on_where_it_was() -> None:
    for stage in Stage:
        held = cells()
        move = Move("m", "acme", Place(), Place(draw=1), 0.0)
        move.stage = stage
        held.resume([move.record()], 0.0)
        assert routed(held, "acme", 0.0).place == (Place(draw=1) if stage in IN_NEW else Place())
        held.left(routed(held, "acme", 0.0))
        held.left(held.tenancies.known["acme"].cells[next(iter(held.tenancies.known["acme"].cells))])
        for now in range(100, 6000, 100):
            held.tick(float(now))
        assert held.moves["m"].over()
        ends = Stage.UNDONE if stage in (Stage.BACK, Stage.UNDONE) else Stage.DONE
        assert held.moves["m"].stage is ends
    for bad in ({}, {"id": "m"}, {**move.record(), "stage": "?"}, {**move.record(), "old": [1]}):
        with pytest.raises(ValueError):
            cells().resume([bad], 0.0)


def test_moves_are_bounded_at_once_and_a_minute() -> None:
    held = cells(Rules(newcomers=0, moves_at_once=3, moves_a_minute=6.0, watch_ms=100.0))
    held.orders([Order(f"m{n}", f"t{n}", Place(draw=1)) for n in range(12)], 0.0)
    begun = []
    for now in range(0, 60_000, 100):
        held.tick(float(now))
        assert sum(not move.over() for move in held.moves.values()) <= 3
        begun.append(len(held.moves))
    assert begun[0] == 1 and 6 <= begun[-1] <= 8


def test_a_move_in_the_middle_of_a_drain_of_a_server_in_both_cells() -> None:
    held = cells(servers=5)
    flying = routed(held, "acme", 0.0)
    pool = flying.pool
    both = set(flying.servers) & set(held.tenancies.roster.draw("1:acme", 4))
    drained = next(iter(both))
    held.orders([Order("m", "acme", Place(draw=1))], 0.0)
    held.members({f"s{n}": Member(f"s{n}") for n in range(5) if f"s{n}" != drained}, 50.0)
    held.tick(100.0)
    new = routed(held, "acme", 110.0)
    assert drained not in held.ready and held.tenancies.capacity(new, 110.0) >= 3
    assert drained in (pool.servers or ()), "what is in flight there ends there"
    held.tick(60_100.0)
    assert drained not in held.tenancies.cell(held.tenancies.known["acme"], Place(), 60_200.0).servers


def test_a_cell_that_is_down_is_spilled_by_a_bounded_part_and_no_suspect_is() -> None:
    rules = Rules(newcomers=0, down=Down.SPILL, spill_per_s=2.0)
    held = Cells(rules, lambda pool: not pool.name.startswith("0:"))
    held.members({f"s{n}": Member(f"s{n}") for n in range(12)}, 0.0)
    spilled = [routed(held, "acme", now * 10.0).place.draw for now in range(1000)]
    assert 15 <= sum(spilled) <= 25, "two a second for ten seconds"
    held.tenancies.known["acme"].presence.tell(8.0, "s1")
    assert not any(routed(held, "acme", 20_000.0 + now).place.draw for now in range(0, 1000, 100))


def test_keys_are_bounded_and_newcomers_share_a_cell() -> None:
    held = cells(Rules(most_keys=50, newcomer_answers=3, known=frozenset({"acme"})))
    newcomers = {routed(held, f"new-{n}", float(n)).servers for n in range(500)}
    assert len(newcomers) == 1 and len(held.tenancies.known) == 50, "all of them are open, and none is forgotten"
    assert len(routed(held, "acme", 600.0).servers) == 4
    held = cells(Rules(most_keys=50, newcomer_answers=3))
    for n in range(500):
        cell = routed(held, f"new-{n}", float(n))
        held.ended(n, cell, "safe", cell.servers[0], Status.OK, 5.0, float(n))
        held.left(cell)
    assert len(held.tenancies.known) == 50 and "new-499" in held.tenancies.known
    for n in range(3):
        cell = routed(held, "new-499", 600.0)
        held.ended(n, cell, "safe", cell.servers[0], Status.OK, 5.0, 600.0)
    assert routed(held, "new-499", 601.0).key == "0:new-499"
    long = held.key("x" * 60_000, None, "safe")
    assert len(long) < 64 and long != held.key("y" * 60_000, None, "safe")


def test_an_empty_roster_refuses_and_one_server_left_serves() -> None:
    held = cells()
    held.members({}, 10.0)
    assert isinstance(held.route("acme", 20.0), Refuse)
    held.members({"s1": Member("s1")}, 30.0)
    held.tick(60_100.0)
    assert routed(held, "acme", 60_200.0).servers == ("s1",)


def test_a_server_that_went_keeps_its_place_for_a_while_so_that_a_poison_does_not_walk() -> None:
    held = cells()
    drawn = routed(held, "acme", 0.0).servers
    reached = set(drawn)
    held.tenancies.known["acme"].presence.tell(8.0, drawn[0])
    for turn in range(8):
        now = 100.0 + 1000.0 * turn
        dead = drawn[turn % 4]
        held.members({f"s{n}": Member(f"s{n}", "ab"[n % 2]) for n in range(12) if f"s{n}" != dead}, now)
        reached |= set(routed(held, "acme", now + 1.0).servers)
        held.members({f"s{n}": Member(f"s{n}", "ab"[n % 2], 1.0, now + 5e3, 0.3) for n in range(12)}, now + 500.0)
        reached |= set(routed(held, "acme", now + 501.0).servers)
    assert reached == set(drawn), "its floor takes in none for a suspect"
    held.members({f"s{n}": Member(f"s{n}", "ab"[n % 2]) for n in range(12) if f"s{n}" != drawn[0]}, 20_000.0)
    assert len(routed(held, "other", 20_001.0).servers) == 4
    held.tick(80_001.0)
    assert drawn[0] not in routed(held, "acme", 80_002.0).servers, "in the end it is replaced"


def test_a_cell_left_with_cold_servers_takes_in_more_and_gives_them_back() -> None:
    held = cells(servers=12, cold=6)
    tenancy = held.tenancies.get("acme", 0.0)
    sizes = {len(routed(held, f"t{n}", 0.0).servers) for n in range(40)}
    assert min(sizes) == 4 and max(sizes) > 4
    for n in range(40):
        cell = routed(held, f"t{n}", 0.0)
        assert held.tenancies.capacity(cell, 0.0) >= 0.75 * 4 - 0.01 or len(cell.servers) == 6
        assert len(routed(held, f"t{n}", 9001.0).servers) == 4, "warm again"
    assert tenancy.key == "acme"


def test_of_a_roster_that_loses_a_fifth_in_one_step_each_cell_changes_by_what_it_lost() -> None:
    rules = Rules(newcomers=0, linger_ms=0.0, extra=0, most_keys=400)
    held = Cells(rules, lambda pool: True)
    members = {f"s{n}": Member(f"s{n}") for n in range(60)}
    held.members(members, 0.0)
    before = {f"t{n}": set(routed(held, f"t{n}", 0.0).servers) for n in range(300)}
    gone = {f"s{n}" for n in range(0, 60, 5)}
    held.members({name: member for name, member in members.items() if name not in gone}, 10.0)
    for key, cell in before.items():
        after = set(routed(held, key, 20.0).servers)
        assert cell - after == cell & gone and len(after) == 4
    held.members(members, 30.0)
    assert all(set(routed(held, key, 40.0).servers) == cell for key, cell in before.items()), "and back"


def test_two_nodes_that_know_of_different_servers_differ_by_those_alone() -> None:
    one, two = cells(), cells()
    two.members({f"s{n}": Member(f"s{n}", "ab"[n % 2]) for n in range(2, 14)}, 100_000.0)
    two.tick(200_000.0)
    for key in (f"t{n}" for n in range(100)):
        mine, theirs = set(routed(one, key, 200_001.0).servers), set(routed(two, key, 200_001.0).servers)
        assert len(mine ^ theirs) <= 2 * 4, "four servers are known to one alone"


def test_two_nodes_that_hear_of_a_move_a_minute_apart_agree_before_and_after() -> None:
    one, two = cells(), cells()
    order, places = [Order("m", "acme", Place(draw=1))], []
    for now in range(0, 140_000, 1000):
        if now == 10_000:
            one.orders(order, float(now))
        if now == 70_000:
            two.orders(order, float(now))
        routes = [routed(node, "acme", float(now)) for node in (one, two)]
        places.append(tuple(cell.place.draw for cell in routes))
        for node, cell in zip((one, two), routes, strict=True):
            node.tick(float(now))
            node.left(cell)
    assert list(dict.fromkeys(places)) == [(0, 0), (1, 0), (1, 1)], "between the two it is in these cells alone"
    assert routed(one, "acme", 141_000.0).servers == routed(two, "acme", 141_000.0).servers
    assert one.moves["m"].stage is two.moves["m"].stage is Stage.DONE


def test_a_key_is_what_the_rules_say() -> None:
    assert cells(Rules(by=By.SID)).key("acme", 255, "safe") == "ff"
    assert cells(Rules(by=By.CLASS)).key("acme", 255, "safe") == "safe"
    assert cells(Rules(by=By.TENANT)).key(None, 255, "safe") == ""
    held = cells(Rules(by=By.TENANT_CLASS, known=frozenset({"acme"})))
    assert held.key("acme", 255, "safe") == "acme/safe"
    assert routed(held, "acme/safe", 0.0).key == "0:acme/safe", "its tenant is known"
    assert routed(held, "new/safe", 0.0).key == "shared:newcomers"


ORDERS = st.tuples(st.sampled_from(["order", "undo", "tick", "ask", "answer", "fail", "roster", "restart"]),
                   st.integers(0, 5), st.integers(0, 3))  # fmt: skip


@given(st.lists(ORDERS, max_size=80))
def test_in_any_history_one_move_of_a_key_is_under_way_and_open_requests_are_counted(
    history: list[tuple[str, int, int]],
) -> None:
    held, now, ref = cells(), 0.0, 0
    orders: dict[str, Order] = {}
    flying: dict[int, Cell] = {}
    kept: tuple[object, ...] = ()
    for what, which, other in history:
        now += 130.0
        ref += 1
        if what in ("order", "undo"):
            name = f"m{which}"
            to = orders[name].to if name in orders else Place(draw=other)
            orders[name] = Order(name, f"t{which % 3}", to, what == "undo")
            held.orders(list(orders.values()), now)
        elif what == "tick":
            held.tick(now)
        elif what == "ask":
            cell = routed(held, f"t{which % 3}", now)
            held.sent(ref, cell, cell.servers[0], now)
            flying[ref] = cell
        elif what in ("answer", "fail") and flying:
            done = next(iter(flying))
            cell = flying.pop(done)
            status = Status.OK if what == "answer" else Status.RESET
            held.ended(done, cell, "safe", cell.servers[0], status, 5.0, now)
            held.left(cell)
        elif what == "roster":
            names = [f"s{n}" for n in range(12) if n % 6 != which or other]
            held.members({name: Member(name) for name in names}, now)
        elif what == "restart":
            held, flying = cells(), {}
            held.resume([record for record in kept if isinstance(record, dict)], now)
            held.orders(list(orders.values()), now)
        for action in held.take():
            if isinstance(action, Keep):
                kept = action.moves
        open_now = Counter(id(cell) for cell in flying.values())
        assert all(cell.open == open_now[id(cell)] for cell in flying.values())
        by_key: dict[str, int] = {}
        for move in held.moves.values():
            by_key[move.key] = by_key.get(move.key, 0) + (not move.over())
        assert all(count <= 1 for count in by_key.values()), "one move of a key at a time"
        for tenancy in held.tenancies.known.values():
            assert (tenancy.move is not None) == bool(by_key.get(tenancy.key))
