"""The four rules, with their near misses, and each outcome for each repeat class."""

import math

import pytest
from helpers import Node, entries, make_settings, of

from cloverhold import ClassSettings, Fail, Lifecycle, ListKind, Refuse, Repeat, Send, ServerEntry, Status

PROVEN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
MAYBE = (Status.ERROR, Status.RESET, Status.TIMEOUT, Status.CANCELLED)


@pytest.mark.parametrize("status", PROVEN)
@pytest.mark.parametrize("kind", ["safe", "keyed", "shared", "unsafe"])
def test_what_never_ran_is_sent_elsewhere(kind: str, status: Status) -> None:
    node = Node()
    node.request(1, kind)
    first = node.last_send(1)
    again = of(node.outcome(1, status), Send)
    assert len(again) == 1 and again[0].server != first


@pytest.mark.parametrize("status", MAYBE)
def test_safe_request_that_may_have_run_is_sent_again(status: Status) -> None:
    node = Node()
    node.request(1, "safe")
    assert len(of(node.outcome(1, status), Send)) == 1


@pytest.mark.parametrize("status", MAYBE)
def test_unsafe_request_that_may_have_run_fails(status: Status) -> None:
    node = Node()
    node.request(1, "unsafe")
    actions = node.outcome(1, status)
    assert of(actions, Fail) and not of(actions, Send) and not of(actions, Refuse)


def test_unsafe_request_refused_only_while_nothing_ran() -> None:
    node = Node(servers=1, max_attempts=1)
    node.request(1, "unsafe")
    assert of(node.outcome(1, Status.FULL), Refuse)
    node.request(2, "unsafe")
    node.run(1000)
    assert isinstance(node.answers[2], (Fail, Refuse))


@pytest.mark.parametrize(("kind", "same"), [("keyed", "cell"), ("zoned", "zone")])
def test_keyed_repeat_stays_in_the_group(kind: str, same: str) -> None:
    for seed in range(10):
        node = Node(servers=8, seed=seed)
        node.request(1, kind)
        node.outcome(1, Status.RESET)
        first, second = (t["line"] for t in node.sends[1])
        assert first.server != second.server
        assert getattr(first, same) == getattr(second, same)


@pytest.mark.parametrize("kind", ["safe", "keyed", "zoned", "shared", "unsafe"])
def test_each_attempt_says_until_when_it_may_leave(kind: str) -> None:
    """A keyed one from the second on: from the first that may have run, however many came between."""
    node = Node()
    sends = [*of(node.request(1, kind), Send)]
    for status in (Status.FULL, Status.ERROR, Status.ERROR):
        node.now += 20
        sends += of(node.outcome(1, status), Send)
    within = [send.within_ms for send in sends]
    if kind in ("safe", "unsafe"):
        assert within == [math.inf] * (4 if kind == "safe" else 2)
    else:
        window = 0.9 * 300 - 2 * node.balancer.settings.tick_ms
        assert within == [math.inf, math.inf, pytest.approx(window - 20), pytest.approx(window - 40)]


def test_keyed_repeat_ends_with_the_window() -> None:
    node = Node(servers=8)
    node.request(1, "keyed")
    node.now += 290  # a key is remembered for 300 ms, less the margin
    actions = node.outcome(1, Status.RESET)
    assert of(actions, Fail) and not of(actions, Send)


def test_window_counts_from_the_first_attempt_that_may_have_run() -> None:
    node = Node(servers=8)
    quick = {"keyed": (0.1, 100)}  # learned: 10 ms of work
    node.balancer.learned.factor.update(quick)
    node.request(1, "keyed")
    node.now += 80
    node.outcome(1, Status.FULL)  # proven not to have run: the window has not begun
    node.now += 240
    assert of(node.outcome(1, Status.RESET), Send)


@pytest.mark.parametrize("kind", ["safe", "keyed", "shared", "unsafe"])
@pytest.mark.parametrize("expires", [0.5, 3.0, 90.0, 1000.0])
@pytest.mark.parametrize("servers", [0, 2])
def test_each_request_gets_its_answer_in_time(kind: str, expires: float, servers: int) -> None:
    node = Node(servers=servers)
    node.request(1, kind, expires)
    node.run(expires + node.settings.answer_slack_ms)
    assert 1 in node.answers


def test_the_attempt_limit_ends_a_request() -> None:
    node = Node(servers=8, max_attempts=3)
    node.request(1)
    for _ in range(3):
        node.outcome(1, Status.RESET)
    assert len(node.sends[1]) == 3 and 1 in node.answers


def test_nothing_is_sent_after_the_end() -> None:
    node = Node()
    node.request(1)
    node.gone(1)
    assert not of(node.outcome(1, Status.RESET), Send)
    assert not of(node.outcome(1, Status.RESET), Send)  # and an outcome nobody waits for is passed over


def test_a_held_request_waits_for_the_list() -> None:
    node = Node(servers=0)
    node.request(1)
    assert not node.sends.get(1)
    node.list(entries(2))
    assert len(node.sends[1]) == 1


def test_cold_server_gets_no_more_than_this_nodes_share() -> None:
    for nodes in (1, 3):
        node = Node(servers=0, nodes=nodes, cold_from=0.2, cold_ms=10000.0, fall_multiple=3.0, fall_ms=1000.0)
        node.list((ServerEntry("cold", started_at=node.now),))
        sent_at = []
        for ref in range(400):
            node.request(ref, expires=300.0)
            if node.sends.get(ref):
                sent_at.append(node.now)
                node.run(2)
                node.outcome(ref, Status.OK)
                node.reply_all({})
            node.run(5)
        # What is sent in any span must stay under this node's share of multiple x capacity x span. Each
        # request is taken for a full 100 ms of work until answers tell otherwise, and never less than 10.
        for at in sent_at:
            span = [t for t in sent_at if at <= t < at + 1000]
            capacity = 0.2 + 0.8 * (min(at + 1000, 100000 + 10000) - 100000) / 10000
            assert len(span) * 2.0 <= 3.0 * capacity * 1000 / nodes


def test_restart_under_the_same_name_is_a_new_cold_server() -> None:
    node = Node(servers=1, nodes=3)
    node.request(1)
    node.outcome(1, Status.OK)
    node.list((ServerEntry("s0", "z0", 0, started_at=node.now),), ListKind.CHANGES)
    assert not of(node.request(2), Send)


def test_drain_and_return() -> None:
    node = Node(servers=1)
    node.list((ServerEntry("s0", "z0", 0, Lifecycle.DRAINING),), ListKind.CHANGES)
    assert not of(node.request(1), Send)
    node.list((ServerEntry("s0", "z0", 0),), ListKind.CHANGES)
    assert node.last_send(1) == "s0"


def test_answer_before_the_aim_is_over_rather_than_after() -> None:
    node = Node(settings=make_settings(), servers=2)
    node.request(1, "unsafe")
    node.run(400)
    assert isinstance(node.answers[1], Fail)


@pytest.mark.parametrize("status", MAYBE)
@pytest.mark.parametrize("kind", ["keyed", "zoned", "shared"])
def test_keyed_request_that_may_have_run_is_sent_again_in_its_window(kind: str, status: Status) -> None:
    node = Node(servers=8)
    node.request(1, kind)
    assert len(of(node.outcome(1, status), Send)) == 1


@pytest.mark.parametrize("kind", ["safe", "keyed", "shared", "unsafe"])
def test_success_ends_a_request(kind: str) -> None:
    node = Node()
    node.request(1, kind)
    node.outcome(1, Status.OK)
    node.run(2000)
    assert len(node.sends[1]) == 1 and 1 not in node.answers


def test_refusal_of_a_keyed_request_that_may_have_run_only_where_all_servers_drop_it() -> None:
    for kind, answer in (("keyed", Fail), ("zoned", Fail), ("shared", Refuse)):
        node = Node(max_attempts=1)
        node.request(1, kind)
        node.outcome(1, Status.RESET)
        assert isinstance(node.answers[1], answer)


def test_unsafe_is_never_sent_again_whatever_its_key_time() -> None:
    # The wire states a key time for every class; for an unsafe one it must not open a second attempt.
    unsafe = (ClassSettings("unsafe", 400, 1000, Repeat.UNSAFE, key_ttl_ms=5000.0),)
    for status in (Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED):
        node = Node(settings=make_settings(classes=unsafe), servers=4)
        node.request(1, "unsafe")
        node.outcome(1, status, closed=False)
        assert len(node.sends[1]) == 1
        assert isinstance(node.answers[1], Fail)
