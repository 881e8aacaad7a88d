"""What a node is told and when, what discovery can do in a second, and to whom the front deals."""

from __future__ import annotations

from random import Random

from cloverhold.rehearsal.catalog import Agent, CallQueue, Entry, line
from cloverhold.rehearsal.front import Front
from cloverhold.rehearsal.ledger import Told


def entry(uid: str, state: str = "active", **changes: float) -> Entry:
    return Entry(uid, state, "media", 0, **changes)  # type: ignore[arg-type]


def agent() -> tuple[Agent, list[Told]]:
    told: list[Told] = []
    made = Agent(0, told.append)
    for uid in ("s0", "s1"):
        made.put(0.0, entry(uid))
    made.wrote(0.0, made.rev)
    made.born(0.0, 0)
    told.clear()
    return made, told


def test_a_change_is_told_when_it_is_written() -> None:
    a, told = agent()
    since = a.rev
    assert a.put(1.0, entry("s0", "leaving")) and not a.put(1.1, entry("s0", "leaving"))
    assert [(t.server, t.state, t.due_s, t.written_s) for t in told] == [("s0", "leaving", 1.0, None)]
    rev, news = a.changes(since)
    assert [e.uid for e in news] == ["s0"] and a.changes(rev)[1] == []
    a.wrote(1.2, rev)
    assert told[0].written_s == 1.2
    a.put(1.3, entry("s0", "leaving", weight=0.5))  # a weight is news, but no change of state
    assert len(told) == 1 and a.changes(rev)[1]


def test_what_is_gone_is_a_change_and_not_in_the_whole_list() -> None:
    a, _ = agent()
    since = a.rev
    a.put(1.0, entry("s1", "left"))
    assert [e.state for e in a.changes(since)[1]] == ["left"]
    assert [e.uid for e in a.whole()[1]] == ["s0"]


def test_a_restarted_node_remembers_what_was_written_and_is_told_the_rest() -> None:
    a, told = agent()
    a.put(1.0, entry("s0", "left"))  # never written
    known = a.born(2.0, 1)
    assert {uid: e.state for uid, e in known.items()} == {"s0": "active", "s1": "active"}
    late = [t for t in told if t.node_life == 1]
    assert [(t.server, t.state, t.due_s) for t in late] == [("s0", "left", 2.0)]
    a.wrote(2.5, a.rev)
    assert late[0].written_s == 2.5 and set(a.born(3.0, 2)) == {"s1"}


def test_while_discovery_is_down_nothing_is_there_to_be_told() -> None:
    a, told = agent()
    a.hold()
    assert not a.put(1.0, entry("s0", "leaving")) and not told
    a.put(2.0, entry("s0", "left"))
    assert a.release(5.0)
    assert [(t.state, t.due_s) for t in told] == [("left", 5.0)]
    assert not a.release(6.0)


def test_an_asked_service_works_through_calls_in_turn() -> None:
    call_queue = CallQueue(lines_per_s=100.0, call_lines=40.0, timeout_s=1.0)
    assert [call_queue.take(0.0, 10) for _ in range(4)] == [0.5, 1.0, 1.5, None]
    assert call_queue.take(1.5, 10) == 0.5


def test_a_line_is_in_discoverys_form() -> None:
    said = line(entry("s0", boot_s=2.0, weight=1.23456), "127.0.0.1:9", "z", lambda at: 1000.0 + at)
    assert (said["boot_ms"], said["capacity_hint"], said["state"]) == (1002000, 1.2346, "active")


def test_the_front_deals_to_a_dead_node_until_it_notices() -> None:
    front = Front(2.0, Random(1))
    assert front.deal(0.0) is None
    front.ready(0)
    front.ready(1)
    assert {front.deal(0.0) for _ in range(50)} == {0, 1}
    front.ends(1, 1.0)
    assert {front.deal(2.9) for _ in range(50)} == {0, 1}
    assert {front.deal(3.0) for _ in range(50)} == {0}
    front.ends(0, 4.0, 0.3)
    assert front.deal(4.2) == 0 and front.deal(4.3) is None
    front.ready(1)
    assert front.deal(9.0) == 1
