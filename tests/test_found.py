"""One small test for each failure found on the bench, driving the module by events."""

from helpers import CLASSES, Node, cold_room, make_settings, of, waiting

from cloverhold import (
    Balancer,
    ClassSettings,
    Group,
    Lifecycle,
    ListKind,
    Probe,
    Repeat,
    Request,
    Send,
    ServerEntry,
    ServerList,
    Status,
    WeightSource,
)
from cloverhold.decision.pools import Lane
from cloverhold.decision.state import RequestState
from cloverhold.decision.table import STALE, SUBSET_LEAST


def served(node: Node, first: int, count: int, took: float, kind: str = "safe") -> None:
    for ref in range(first, first + count):
        node.request(ref, kind)
        if node.sends.get(ref):
            node.run(took)
            node.reply_all({node.last_send(ref): 1.0})
            if ref in node.owed:
                node.outcome(ref, Status.OK)
        node.reply_all({})


def test_node_that_learned_too_long_times_still_sends() -> None:
    # guayaquil big-1: restarted into an overload, a node learned five times the true work and sent nothing.
    node = Node(servers=3)
    node.balancer.learned.factor = dict.fromkeys(node.balancer.learned.factor, (7.0, 5))
    node.balancer.learned.mix = 350.0
    for server in node.balancer.table.servers.values():
        server.row, server.replies = 1, 1  # others always hold one there
    node.refile()
    assert of(node.request(1), Send)


def test_learned_work_follows_arrivals_not_sends() -> None:
    # cuenca big-2: nodes that let only the heavy class through tightened their own bound ever more.
    node = Node(servers=1)
    node.balancer.learned.factor.update({"safe": (0.1, 50), "unsafe": (3.0, 50)})
    node.balancer.learned.mix = 30.0
    for ref in range(300):
        node.request(ref, "safe")
    assert node.balancer.learned.mix < 31


def test_learned_work_does_not_drift() -> None:
    # quito: work and pace are only known as a product; unanchored, work grew to 2.9 times the hint.
    node = Node(servers=4)
    served(node, 0, 400, 60.0)
    learned = node.balancer.learned
    assert 45 < learned.factor["safe"][0] * 50 < 75
    paces = [learned.pace(s, node.now) for s in node.balancer.table.servers.values()]
    assert all(0.75 < pace < 1.3 for pace in paces)


def test_old_reports_are_recognised_and_averaged() -> None:
    # incident ie1376f: reports grew seconds old, and all nodes flocked to what had been low.
    node = Node(servers=4)
    served(node, 0, 200, 30.0)
    table = node.balancer.table
    assert table.stale < STALE
    for ref in range(1000, 1120):
        node.request(ref, "unsafe")
        node.run(60)
        node.reply_all({})  # zero, though this node's own request has been there for long
        if ref in node.owed and node.sends.get(ref):
            node.outcome(ref, Status.OK)
    assert table.stale > STALE
    server = table.servers["s0"]
    server.surplus, server.heard_at = 0.0, node.now
    table.held, table.own, table.others = 4, 1.0, 2.0  # one out at each of four servers: two of others
    server.probed_at = node.now
    node.reply("s0", 0.0)
    assert server.row == len(server.out) + 2, "old news of emptiness is not followed"
    server.probed_at = node.now
    node.reply("s0", 9.0)
    assert server.row == 9, "old news of a crowd is heeded"


def test_lone_node_takes_old_reports_for_what_it_has_out() -> None:
    # guayaquil overload, one node: requests that had ended long ago were held to be others'.
    node = Node(servers=2, nodes=1)
    node.request(1)
    server = node.balancer.table.servers[node.last_send(1)]
    server.probed_at = node.now
    node.reply(server.entry.server, 6.0)
    assert server.row == 1


def test_while_reports_are_old_an_end_makes_room_without_a_probe() -> None:
    # guayaquil rough-1: 1.7 probes a request, each of which could only tell old news.
    node = Node(servers=2)
    for ref in range(20):
        node.request(ref, "unsafe")
    held = [ref for ref in range(20) if not node.sends.get(ref)]
    rows = {n: s.row for n, s in node.balancer.table.servers.items()}
    probes = len(of(node.actions, Probe))
    node.outcome(0, Status.OK)
    assert len(of(node.actions, Probe)) == probes
    assert any(node.sends.get(ref) for ref in held)
    assert all(s.row >= rows[n] for n, s in node.balancer.table.servers.items()), "only a probe lowers a row"


def test_others_are_taken_to_hold_more_when_this_node_does() -> None:
    # incident i8b5f2b: in the first second eight nodes saw empty servers and drove a quarter of them over.
    node = Node(servers=4, nodes=8)
    table = node.balancer.table
    usual = table.usual()
    node.request(1, "unsafe")
    assert table.usual() > 1.3 * usual, "seven others, alike, have had one more too"
    for ref in range(2, 60):
        node.request(ref, "unsafe")
    assert max(len(s.out) for s in table.ready) <= 2, "two at a server from each node are sixteen from all"


def test_stated_sizes_count_until_answers_tell() -> None:
    # incident i8b5f2b: the list told from the first second which servers are slow.
    node = Node(servers=0)
    node.list(tuple(ServerEntry(f"s{i}", weight=2.0 if i else 1.0) for i in range(3)))
    slow, fast = (node.balancer.table.servers[n] for n in ("s0", "s1"))
    learned = node.balancer.learned
    assert learned.pace(slow, node.now) > 1.9 * learned.pace(fast, node.now)


def test_live_weights_give_the_size_when_nothing_is_held() -> None:
    node = Node(servers=0, weight_source=WeightSource.LIVE)
    for weight in (1.0, 0.2, 0.5):
        node.list((ServerEntry("s0", weight=weight),))
    assert node.balancer.table.servers["s0"].size == 1.0


def test_fresh_report_is_taken_as_it_is() -> None:
    node = Node(servers=4)
    served(node, 0, 200, 30.0)
    node.request(1000)
    name = node.last_send(1000)
    node.balancer.table.servers[name].probed_at = node.now
    node.reply(name, 7.0)
    assert node.balancer.table.servers[name].row == 7


def test_slow_probe_among_requests_is_no_stall() -> None:
    # guayaquil: deep probes wait in the queue; taken for pauses, they crowded the other servers.
    node = Node(servers=3)
    served(node, 0, 60, 50.0)
    table = node.balancer.table
    table.servers["s0"].probed_at = node.now - 200
    assert not node.balancer.health.stalled(table.servers["s0"], node.now)


def test_overdue_attempt_asks_its_server_once() -> None:
    # guayaquil: 3.4 probes a request, each a few milliseconds of server work.
    node = Node(servers=1, parallel_tries=True)
    served(node, 0, 60, 50.0)
    node.request(1000)
    node.reply_all({})
    before = len(of(node.actions, Probe))
    for _ in range(10):
        node.run(20)
        node.reply_all({})
    assert len(of(node.actions, Probe)) - before <= 1


def test_fast_server_takes_no_more_at_once() -> None:
    # guayaquil: a server twice as fast was given twice as many, over the count at which it turns slow.
    node = Node(servers=1)
    node.balancer.learned.factor["safe"] = (0.8, 100)
    node.balancer.learned.mix = 80.0
    server = node.balancer.table.servers["s0"]
    server.took, server.due = 1000.0, 4000.0
    for ref in range(20):
        node.request(ref)
    assert len(server.out) <= 4


def test_class_served_worst_is_not_starved() -> None:
    classes = (
        ClassSettings("rich", 400, 1000, Repeat.SAFE, worth=9.0),
        ClassSettings("poor", 400, 1000, Repeat.SAFE, worth=1.0),
    )
    for weight, first in ((0.0, "rich"), (0.5, "poor")):
        settings = make_settings(classes=classes, goal_worst_class=weight, goal_whole=0.1)
        node = Node(settings=settings, servers=1)
        node.balancer.admission.served["poor"] = 0.2
        for ref in range(10):
            node.request(ref, "rich")
        node.request(10, "poor")
        assert not node.sends.get(9) and not node.sends.get(10)
        assert waiting(node.balancer)[0].kind.name == first


def test_waiting_list_keeps_no_ended_requests() -> None:
    node = Node(servers=1)
    for ref in range(100):
        node.request(ref)
    for ref in range(100):
        if ref in node.owed:
            node.gone(ref)
    node.run(100)
    assert not node.balancer.waiting.count


def test_lone_silent_time_out_is_no_ejection() -> None:
    # A heavy request alone at a server ends without any answer there; only a second one tells of a hang.
    node = Node(servers=4)
    served(node, 0, 60, 20.0)
    node.request(1000, "unsafe")
    node.run(399)
    node.outcome(1000, Status.CANCELLED)
    assert not any("ejected" in line for line in node.logs)


def test_cold_server_gets_one_larger_request_when_its_budget_is_full() -> None:
    # incident i469331: a share of a new server's budget never held one usual request; new servers idled.
    node = Node(servers=0, nodes=4, cold_from=0.2, cold_ms=60000.0, fall_multiple=3.0, fall_ms=1000.0)
    node.list((ServerEntry("cold", started_at=node.now),))
    server = node.balancer.table.servers["cold"]
    room = [at for at in range(0, 4000, 10) if cold_room(node.balancer, server, 50.0, node.now + at)]
    assert 500 < room[0] < 700, "50 ms of work fit once all of 45 are saved up"
    server.tokens -= 50.0
    room = [at for at in range(4000, 6000, 10) if cold_room(node.balancer, server, 50.0, node.now + at)]
    assert room[0] > 4000, "and are paid back before the next"
    assert not cold_room(node.balancer, server, 150.0, node.now + 9000), "more than half the share never fits"


def test_a_hint_makes_silence_a_surer_sign() -> None:
    # quito quiet: at 6 times what was expected a request behind a stalled server found no other in time.
    for hint, stalled in ((50.0, True), (None, False)):
        node = Node(servers=2)
        node.request(1, cost_ms=hint)
        server = next(s for s in node.balancer.table.ready if s.out)
        assert node.balancer.health.stalled(server, node.now + 200) is stalled


def test_each_node_keeps_to_a_few_servers_where_nodes_are_many() -> None:
    # stallkeep big-1: 396 nodes with a connection to each of 83 servers, which take 75: 86% found no room.
    used = []
    for seed in range(2):
        node = Node(servers=60, nodes=400, me=seed)
        for ref in range(200):
            node.request(ref)
            node.reply_all({})
            node.outcome(ref, Status.OK)
        used.append({server.entry.server for server in node.balancer.table.prefix.inside})
        assert {node.last_send(ref) for ref in range(200)} <= used[-1]
    assert all(len(names) == SUBSET_LEAST for names in used)
    assert used[0] != used[1], "and not all to the same ones"


def test_a_lost_server_of_the_subset_is_replaced() -> None:
    node = Node(servers=60, nodes=400)
    known = {s.entry.server for s in node.balancer.table.well.places}
    lost = sorted(known)[0]
    node.list((ServerEntry(lost, lifecycle=Lifecycle.GONE),), ListKind.CHANGES)
    after = {s.entry.server for s in node.balancer.table.well.places}
    assert len(after) == len(known) == SUBSET_LEAST and known - {lost} < after


def test_few_nodes_use_every_server() -> None:
    node = Node(servers=18, nodes=3)
    assert len(node.balancer.table.well) == 18


def test_many_nodes_with_a_share_under_one_request_still_use_a_cold_server() -> None:
    # stallkeep big-2: a share of 2.7 ms held no request of 80, so new servers idled until fully warm.
    for nodes in (300, 800):
        cold = {"cold_from": 0.2, "cold_ms": 20000.0, "fall_multiple": 3.0, "fall_ms": 2000.0}
        settings = make_settings(nodes=nodes, **cold)
        sent = []
        for seed in range(nodes):
            balancer = Balancer(settings, seed)
            balancer.handle(0.0, ServerList(ListKind.FULL, (ServerEntry("cold", started_at=0.0),)))
            server = balancer.table.servers["cold"]
            for at in range(1, 20000, 100):
                if cold_room(balancer, server, 50.0, float(at)):
                    server.tokens -= 50.0
                    sent.append(at)
        warmth = [0.2 + 0.8 * at / 20000 for at in range(0, 18000, 500)]
        for at, part in zip(range(0, 18000, 500), warmth, strict=True):
            work = 50.0 * sum(at <= when < at + 2000 for when in sent)
            assert work < 0.8 * 3.0 * part * 2000, "never near what pushes it over"
        assert 50.0 * len(sent) > 0.5 * sum(part * 500 for part in warmth), "yet most of what it can do"


def test_small_hints_do_not_make_a_class_heavy() -> None:
    # alberta rough-1: work is 60 ms and waits on others 70, hints are rough; the mean of took / hint came to
    # 4, the bound on what waits held all requests back, and a fifth was late.
    node = Node(servers=1, nodes=1)
    for ref in range(300):
        node.request(ref, cost_ms=5.0 if ref % 2 else 115.0)
        if node.sends.get(ref):
            node.run(60)
            node.outcome(ref, Status.OK)
    assert node.balancer.learned.factor["safe"][0] < 1.5


def test_old_low_row_is_not_flocked_to_where_nodes_are_many() -> None:
    # saskatoon big-2: rows of seconds ago, low then, drew the requests of hundreds of nodes.
    node = Node(servers=2, nodes=100)
    table = node.balancer.table
    table.level, table.servers["s0"].row, table.servers["s1"].row = 3.0, 0, 2
    table.servers["s0"].heard_at, table.servers["s1"].heard_at = node.now - 5000.0, node.now
    request = RequestState(Request(1, "safe", 400.0), CLASSES[0], node.now, Lane())
    for server in ("s1", "s0"):
        node.refile()
        assert table.pick(request, Group.ALL, 400.0, 0.0, True) is table.servers[server]
        table.servers["s0"].heard_at = node.now


def test_no_bound_by_rows_among_many_nodes() -> None:
    # alberta: one probe a request for 8 rows; held requests waited seconds for a row that no probe lowered.
    for price in (0.01, 0.0):
        node = Node(servers=1, nodes=100, probe_price=price)
        node.balancer.table.servers["s0"].replies, node.balancer.table.servers["s0"].row = 1, 20
        node.refile()
        node.request(1, settle=False)
        node.run(20)
        assert node.sends.get(1)


def test_rough_hint_alone_refuses_nothing_where_nothing_waits() -> None:
    # saskatoon quiet: 9% were refused on an idle fleet, as their rough hints looked too long for the aim.
    for jammed in (False, True):
        node = Node(servers=2)
        served(node, 0, 20, 50.0)
        node.balancer.admission.lane.jam_until = node.now + 1000.0 if jammed else node.now
        node.request(1000)
        node.reply_all({})
        node.request(1001, cost_ms=900.0)
        assert bool(node.sends.get(1001)) is not jammed


def test_many_nodes_are_bound_by_what_others_hold() -> None:
    # zone+mass: while servers are few beside nodes there was no bound at all, and up to 38 waited at one server.
    node = Node(servers=4, nodes=100, probe_price=0.08)
    table = node.balancer.table
    assert table.many
    table.others, table.own = 6.0, 0.01
    for ref in range(8):
        node.request(ref, "unsafe")
    assert len(node.balancer.attempts) == 1, "one is tried, with none out: the others wait"


def test_one_request_of_its_own_is_no_rise_of_all_traffic() -> None:
    # calm+mass, 204 nodes: a node with 0.3 out on average held back its fourth request, on a fleet with room.
    table = Node(servers=100, nodes=200, probe_price=0.08).balancer.table
    table.others, table.own = 0.8, 0.3 / 100
    table.held = 3
    assert table.usual() < 2 * 0.8, "not tenfold"
    table.held = 30
    assert table.usual() > 6 * 0.8, "a rise that cannot be chance shows"


def test_an_uneven_share_of_the_traffic_is_learned_from_the_kept_servers() -> None:
    # calm+mass: with five times the mean traffic a node took all servers for five times as full, and kept to that.
    node = Node(servers=100, nodes=200, probe_price=0.08)
    table = node.balancer.table
    for ref in range(300):
        node.request(ref, "unsafe")
        node.run(30)
        node.reply_all(dict.fromkeys(table.servers, 1.0))
        if ref >= 2 and node.sends.get(ref - 2) and (ref - 2) in node.owed:
            node.outcome(ref - 2, Status.OK)
    assert table.usual() < 1.6, "others hold one at a server, whatever this node holds"


def test_reports_that_are_late_both_ways_show_no_one_else_on_average() -> None:
    # lbsim big-1, two nodes: cut off at nothing, the mean held both back by half too much (0.90 to 0.74).
    node = Node(servers=1, nodes=2, probe_price=0.01)
    node.request(1, "unsafe")
    table, server = node.balancer.table, node.balancer.table.servers["s0"]
    for at in range(200):
        node.now += 2000.0
        server.probed_at = node.now
        node.reply("s0", 2.0 * (at % 2))  # one of its own is there, shown or not
    assert table.others < 0.2
