"""The ordinary path of the design."""

from helpers import Node, entries, make_settings, of

from cloverhold import Lifecycle, ListKind, Probe, Send, ServerEntry, Status


def rows(node: Node) -> dict[str, int]:
    return {name: s.row for name, s in node.balancer.table.servers.items()}


def test_request_waits_for_its_own_probes_and_the_row_is_raised_by_one() -> None:
    # With hundreds of nodes a row is seconds old, and the request that asked was placed before the answer.
    node = Node()
    actions = node.request(1, settle=False)
    assert of(actions, Probe) and not of(actions, Send)
    node.reply_all({"s0": 3, "s1": 0, "s2": 2, "s3": 1})
    assert node.last_send(1) == "s1"
    assert rows(node) == {"s0": 3, "s1": 1, "s2": 2, "s3": 1}


def test_wait_for_probes_is_bounded() -> None:
    node = Node()
    node.request(1, settle=False)
    node.run(0.02 * 400)
    assert not node.sends.get(1)
    node.run(0.02 * 400)
    assert node.last_send(1)


def test_no_wait_where_probes_take_long() -> None:
    node = Node()
    node.balancer.table.rtt = 30.0
    actions = node.request(1, settle=False)
    assert of(actions, Probe) and of(actions, Send)


def test_wait_ends_before_the_last_call() -> None:
    # A wait that outlasts the client would leave its answer to a timer that rings too late.
    node = Node(tick_ms=5.0)
    node.request(1, expires=6.0, settle=False)
    node.now += 4.0
    node.reply_all({})
    assert 1 in node.answers and not node.sends.get(1)


def test_probes_go_to_distinct_servers() -> None:
    node = Node(servers=8)
    probed = [a.server for a in of(node.request(1), Probe)]
    assert len(probed) == len(set(probed)) == node.balancer.table.d


def test_the_price_of_a_probe_sets_d() -> None:
    assert Node(probe_price=0.01).balancer.table.d == 1
    assert Node(probe_price=0.0).balancer.table.d > 1


def test_dear_probes_keep_a_fleet_within_its_spend() -> None:
    # A probe for each request at a price of 0.08 cost 0.08 of all service: d is 0.01 / 0.08 on average.
    node = Node(servers=8, probe_price=0.08)
    for number in range(800):
        node.now += 1.0
        node.request(number, settle=False)
        node.reply_all({})
        node.outcome(number, Status.OK)
    asked = [action.server for action in of(node.actions, Probe)]
    assert 60 <= len(asked) <= 140  # 100 expected, of a deviation of 9
    assert len(set(asked)) == 8


def test_reply_overwrites_the_row_and_the_lowest_row_is_picked() -> None:
    node = Node(servers=3, probe_price=0.0)
    node.balancer.table.stale = 0.0  # fresh reports
    node.request(1)
    node.reply_all({"s0": 3, "s1": 0, "s2": 2})
    node.outcome(1, Status.OK)
    own = node.sends[1][0]["server"]
    assert rows(node) == {s: max(v, 1 if s == own else 0) for s, v in {"s0": 3, "s1": 0, "s2": 2}.items()}


def test_queue_length_stands_in_for_the_count() -> None:
    from cloverhold import LoadReport, ProbeReply

    node = Node(servers=2)
    node.balancer.table.stale = 0.0  # fresh reports
    node.request(1)
    other = next(s for s in ("s0", "s1") if s != node.last_send(1))
    node.give(ProbeReply(other, Status.OK, 1.0, LoadReport(queue=4)))
    assert rows(node)[other] == 4


def test_only_a_probe_lowers_a_row() -> None:
    node = Node(servers=2)
    node.request(1)
    before = rows(node)
    node.outcome(1, Status.OK)
    assert rows(node) == before
    node.reply(node.last_send(1), 0)
    assert rows(node)[node.last_send(1)] == 0


def test_ties_are_broken_at_random() -> None:
    first = set()
    for seed in range(30):
        node = Node(servers=4, seed=seed)
        node.request(1)
        first.add(node.last_send(1))
    assert len(first) == 4


def test_new_server_enters_at_the_mean_row() -> None:
    node = Node(servers=2)
    node.balancer.table.servers["s0"].row = 1
    node.balancer.table.servers["s1"].row = 5
    node.refile()
    node.list((ServerEntry("new"),), ListKind.CHANGES)
    assert rows(node)["new"] == 3


def test_without_probes_the_row_holds_the_raises() -> None:
    node = Node(servers=3, probes=False)
    for ref in range(9):
        node.request(ref)
        node.outcome(ref, Status.OK)
    assert not of(node.actions, Probe)
    assert rows(node) == {"s0": 3, "s1": 3, "s2": 3}


def test_old_report_does_not_hide_what_this_node_sent_since() -> None:
    # Reports that are a second old tell of nothing sent since; the row must not fall below what is out.
    node = Node(servers=1, probe_price=0.01)
    for ref in range(3):
        node.request(ref)
    node.reply("s0", 0)
    assert rows(node)["s0"] >= 3


def test_slow_server_counts_for_more() -> None:
    node = Node(settings=make_settings(probe_price=0.01), servers=2)
    for ref in range(100):
        node.request(ref)
        server = node.last_send(ref)
        node.now += 300 if server == "s0" else 50
        node.outcome(ref, Status.OK)
        for name in list(node.probes):
            node.reply(name, 0)
    late = [node.last_send(ref) for ref in range(60, 100)]
    assert late.count("s1") > 33


def test_a_drained_server_gets_nothing() -> None:
    node = Node(servers=2)
    node.list((ServerEntry("s0", "z0", 0, Lifecycle.DRAINING),), ListKind.CHANGES)
    for ref in range(4):
        node.request(ref)
        assert node.last_send(ref) == "s1"
        node.now += 100
        node.outcome(ref, Status.OK)
        node.reply_all({})


def test_a_server_missing_from_a_full_list_is_gone() -> None:
    node = Node(servers=3)
    node.list(entries(1))
    node.request(1)
    assert node.last_send(1) == "s0"
    assert set(node.balancer.table.servers) == {"s0"}


def test_lone_node_probes_only_where_a_row_can_fall() -> None:
    node = Node(servers=3, nodes=1)
    node.request(1)
    assert not of(node.actions, Probe)  # every row holds just what is out
    node.outcome(1, Status.OK)
    assert [a.server for a in of(node.request(2), Probe)] == [node.last_send(1)]


def test_lone_node_waits_for_no_probe_where_an_end_made_room() -> None:
    """Guards against requests that wait while servers stand idle: a busy node's probes come back late."""
    node = Node(servers=2, nodes=1)
    for ref in range(100, 140):
        node.request(ref)
        node.run(50)
        node.outcome(ref, Status.OK)
        node.reply_all({})
    node.balancer.table.stale = 0.0  # fresh reports
    for ref in range(20):
        node.request(ref)
    assert node.balancer.waiting.count
    node.reply_all({"s0": 9.0, "s1": 9.0})  # the last that probes tell
    for server in node.balancer.table.servers.values():
        assert server.replies
    ended = 0
    while node.balancer.waiting.count and ended < 10:
        ref = next(r for r, tries in node.sends.items() if r in node.owed and tries[-1]["status"] is None)
        out = len(node.balancer.attempts)
        node.run(5)
        node.outcome(ref, Status.OK)
        assert len(node.balancer.attempts) >= out
        ended += 1
    assert ended >= 5
