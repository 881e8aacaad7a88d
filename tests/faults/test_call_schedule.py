"""When discovery is called: every short schedule of lost, refused and slow calls against the time owed, simulated."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise, product
from random import Random

import pytest

from cloverhold import Settings
from cloverhold.net.discovery.call_times import LINE_BYTES, PACE_S, CallTimes
from cloverhold.net.discovery.calls import HEAR_WITHIN_S, Abandon, Begin, CallEnd, CallKind, CallSchedule
from cloverhold.net.discovery.whole_lists import MOST_SPARE, SETTLE_FIRST_S, SETTLE_MOST_S, Heard
from loopback import ASKED, PUSHED
from simulated_discovery import Fate, Follower, Service

GRACE_S, SLACK_S = 0.5, 0.05
POLLED = replace(ASKED, must_ask_ms=10_000.0, drain_grace_ms=1000 * GRACE_S)
STREAMED = replace(PUSHED, drain_grace_ms=1000 * GRACE_S)
POLLED_TIMES, STREAMED_TIMES = CallTimes.of(POLLED, Random(1)), CallTimes.of(STREAMED, Random(1))
STEP_S = 1.4  # from one version to the next
SIGHUP_S = 4.0  # after which what discovery has counts as notified
LATENCIES_S = (0.01, 0.3, 1.0, 2.0)
SEEDS = range(4)


def quiet(settings: Settings, latency_s: float, seed: int, quiet_s: float = 20.0) -> Follower:
    """A follower that has heard discovery for a while."""
    follower = Follower(settings, Service(lambda: latency_s), seed)
    follower.run(quiet_s + seed * 0.7)
    assert follower.servers == {"s0": "active", "s1": "active"}
    return follower


def heard_after(follower: Follower, since: float) -> float:
    """Seconds from an instant to when a drain that discovery has now is known."""
    version = follower.change("s0", "leaving")
    follower.run(since + 60.0, stop=lambda: version in follower.heard)
    assert version in follower.heard, "never heard"
    return follower.heard[version] - since


@pytest.mark.parametrize("latency_s", LATENCIES_S)
@pytest.mark.parametrize("fates", [f for n in (1, 2, 3) for f in product(Fate, repeat=n) if Fate.ANSWER not in f[-1:]])
def test_polled_service_that_fails_some_calls_is_heard_in_6_s_of_the_last(
    fates: tuple[Fate, ...], latency_s: float
) -> None:
    for seed in SEEDS:
        follower = quiet(POLLED, latency_s, seed)
        follower.service.fates = deque(fates)
        follower.reset_watches()
        follower.run(follower.now + 60.0, stop=lambda f=follower: not f.service.fates)  # type: ignore[misc]
        assert heard_after(follower, follower.now) <= HEAR_WITHIN_S


@pytest.mark.parametrize("latency_s", LATENCIES_S)
@pytest.mark.parametrize("lost_after_s", [0.0, 0.5, 1.5, 2.9])
@pytest.mark.parametrize("drained_after_s", [0.0, 0.5, 2.0, 3.5, 5.0])
def test_polled_watch_that_falls_silent_costs_no_more_than_6_s(
    latency_s: float, lost_after_s: float, drained_after_s: float
) -> None:
    for seed in SEEDS:
        follower = quiet(POLLED, latency_s, seed)
        follower.run(follower.now + lost_after_s)
        follower.lose_watches()
        follower.run(follower.now + drained_after_s)
        assert heard_after(follower, follower.now) <= HEAR_WITHIN_S


@pytest.mark.parametrize("latency_s", LATENCIES_S)
@pytest.mark.parametrize("silent_s", [0.2, 1.0, 3.0, 8.0, 30.0, 100.0])
def test_polled_service_that_was_silent_is_heard_in_6_s_of_its_return(latency_s: float, silent_s: float) -> None:
    """Old calls stay silent, and their connections are not reset."""
    for seed in SEEDS:
        follower = quiet(POLLED, latency_s, seed)
        follower.service.silent_until = follower.now + silent_s
        follower.lose_watches()
        follower.run(follower.service.silent_until)
        assert heard_after(follower, follower.now) <= HEAR_WITHIN_S


@pytest.mark.parametrize("silent_s", [0.2, 1.0, 3.0, 8.0, 30.0, 100.0])
def test_streamed_news_of_an_agents_return_are_heard_within_the_grace(silent_s: float) -> None:
    for seed in range(20):
        follower = quiet(STREAMED, 0.01, seed)
        follower.service.silent_until = follower.now + silent_s
        follower.lose_watches()
        follower.run(follower.service.silent_until)
        assert heard_after(follower, follower.now) <= GRACE_S


@pytest.mark.parametrize("latency_s", [0.01, 0.1, 0.25, 0.3])
def test_streamed_news_of_a_slow_agent_are_heard_within_the_grace(latency_s: float) -> None:
    for seed in range(40):
        follower = quiet(STREAMED, 0.01, seed)
        follower.service.latency_s = lambda: latency_s
        follower.run(follower.now + 30.0 + 0.037 * seed)
        assert heard_after(follower, follower.now) <= GRACE_S + SLACK_S


@pytest.mark.parametrize("latency_s", [0.5, 1.0, 2.0, 3.0, 5.0])
def test_streamed_news_of_an_agent_slower_than_the_grace_wait_for_no_third_answer(latency_s: float) -> None:
    for seed in range(40):
        follower = quiet(STREAMED, 0.01, seed)
        follower.service.latency_s = lambda: latency_s
        follower.run(follower.now + 30.0 + 0.037 * seed)
        assert heard_after(follower, follower.now) <= 2 * latency_s + SLACK_S


@pytest.mark.parametrize("call_s", [0.05, 0.15, 0.2])
def test_streamed_agent_that_works_through_calls_in_turn_is_not_crowded_by_its_own_node(call_s: float) -> None:
    for seed in range(40):
        follower = quiet(STREAMED, 0.01, seed)
        follower.service.call_s = call_s
        follower.run(follower.now + 30.0 + 0.037 * seed)
        assert heard_after(follower, follower.now) <= GRACE_S + SLACK_S


@pytest.mark.parametrize("trouble", ["silent", "refused", "reset", "slow", "well"])
def test_polled_service_is_not_flooded(trouble: str) -> None:
    """A node calls once a second at most in the long run, whatever becomes of its calls, and holds three at most."""
    for seed in SEEDS:
        follower = quiet(POLLED, 0.01, seed)
        if trouble == "silent":
            follower.service.silent_until = 1e9
        elif trouble in ("refused", "reset"):
            follower.service.fates = deque([Fate(trouble)] * 10_000)
        elif trouble == "slow":
            follower.service.latency_s = lambda: 2.0
        begin = follower.now
        follower.run(begin + 100.0)
        assert sum(at > begin for at in follower.begun) <= 100 and follower.most_open <= 3


@pytest.mark.parametrize("latency_s", LATENCIES_S)
@pytest.mark.parametrize("fate", [Fate.LOST, Fate.REFUSED, Fate.RESET])
@pytest.mark.parametrize("settings", [POLLED, STREAMED])
def test_discovery_that_moved_is_heard_in_4_s_though_its_first_call_fails(
    settings: Settings, fate: Fate, latency_s: float
) -> None:
    for seed in range(20):
        follower = quiet(settings, 0.01, seed)
        follower.service.latency_s = lambda: latency_s
        follower.service.fates.append(fate)
        version = follower.change("s0", "leaving")
        follower.move()
        moved_at = follower.now
        follower.run(moved_at + 20.0, stop=lambda f=follower, v=version: v in f.heard)  # type: ignore[misc]
        assert follower.heard[version] - moved_at <= SIGHUP_S


def test_polled_calls_are_as_rare_after_trouble_as_before() -> None:
    for seed in SEEDS:
        follower = quiet(POLLED, 0.01, seed)
        follower.service.latency_s = lambda: 5.0
        follower.run(follower.now + 60.0)
        follower.service.latency_s = lambda: 0.01
        follower.run(follower.now + 60.0)
        begin = follower.now
        follower.run(begin + 60.0)
        whole_lists = sum(at > begin for at in follower.whole_begun)
        assert whole_lists <= 60 / POLLED_TIMES.whole_every_s + 1
        assert sum(at > begin for at in follower.begun) - whole_lists <= 60 / 2.5 + 1


@pytest.mark.parametrize("settings", [POLLED, STREAMED])
def test_answers_that_overtake_one_another_never_put_a_change_back(settings: Settings) -> None:
    for seed in range(100):
        chance = Random(f"overtake:{seed}")
        service = Service(lambda chance=chance: chance.choice([0.01, 0.2, 1.0, 3.0]))  # type: ignore[misc]
        follower = Follower(settings, service, seed)
        for _ in range(60):
            follower.run(follower.now + chance.uniform(0.05, 2.0))
            follower.change(f"s{chance.randrange(2)}", chance.choice(["active", "leaving"]))
            if chance.random() < 0.2:
                follower.service.fates.append(chance.choice(list(Fate)))
        follower.run(follower.now + 30.0)
        assert follower.versions == sorted(follower.versions)
        assert follower.servers == {uid: state for uid, (_, state) in service.servers.items()}


def two_calls(since: int | None) -> tuple[CallSchedule, int, int]:
    """A schedule that made a call and, as that was overdue, another."""
    times = CallTimes.of(POLLED, Random(1))
    schedule = CallSchedule(lambda: times, Random(1), version=since)
    schedule.start(0.0)
    schedule.tick(0.0)
    schedule.tick(schedule.next_at)
    older, newer = schedule.open_calls()
    return schedule, older.number, newer.number


def test_older_calls_end_with_the_answer_of_a_later_one() -> None:
    schedule, older, newer = two_calls(5)
    (ended,) = schedule.answered(newer, Heard(version=6, entries=1), 10.0)
    assert isinstance(ended, Abandon) and (ended.call.number, ended.why) == (older, CallEnd.SUPERSEDED)
    assert not schedule.open_calls() and schedule.next_at == 10.0


def test_refusals_between_silent_calls_do_not_lengthen_the_wait_for_the_next() -> None:
    times = CallTimes.of(POLLED, Random(1))
    schedule, now = CallSchedule(lambda: times, Random(1), version=5), 0.0
    schedule.start(now)
    for _ in range(5):
        (begin,) = schedule.tick(now)
        assert isinstance(begin, Begin)
        schedule.failed(begin.call.number, now, 503)
        now = schedule.next_at
    schedule.tick(now)
    assert schedule.next_at - now <= times.patience_s


@pytest.mark.parametrize("settings", [POLLED, STREAMED])
def test_service_that_counts_from_anew_is_believed(settings: Settings) -> None:
    for seed in range(20):
        follower = quiet(settings, 0.3, seed)
        for _ in range(50):
            follower.change("s0", "active")
        follower.run(follower.now + 10.0)
        follower.service.rev, follower.service.servers = 3, {"s0": (2, "leaving"), "s1": (3, "active")}
        follower.run(follower.now + 10.0)
        assert follower.servers == {"s0": "leaving", "s1": "active"} and follower.schedule.version == 3


@pytest.mark.parametrize(("status", "held"), [(503, True), (429, True), (408, True), (410, False), (404, False)])
def test_call_that_is_turned_away_for_load_does_not_ask_for_the_whole_list(status: int, held: bool) -> None:
    schedule, _, newer = two_calls(5)
    schedule.failed(newer, 10.0, status)
    assert (schedule.version == 5) is held


def streamed_whole_calls(listed: int, seconds: float) -> tuple[list[float], int]:
    """When the whole list is asked for by a streamed follower of so many servers, and how many calls it makes."""
    times = CallTimes.of(STREAMED, Random(1))
    schedule, now, begun, calls = CallSchedule(lambda: times, Random(1), version=5), 0.0, list[float](), 0
    schedule.start(now)
    while now < seconds:
        for action in schedule.tick(now):
            assert isinstance(action, Begin)
            calls += 1
            call = action.call
            if call.kind is CallKind.WHOLE:
                begun.append(now)
            now += call.hold_s + 0.001
            schedule.answered(call.number, Heard(version=5, entries=0, listed=listed), now)
        now = max(now, schedule.next_at)
    return begun, calls


def test_streamed_whole_list_is_asked_for_within_the_grace_though_changes_never_come() -> None:
    begun, calls = streamed_whole_calls(12, 60.0)
    assert begun[0] <= GRACE_S and max(b - a for a, b in pairwise(begun)) <= GRACE_S
    assert calls <= 60.0 / PACE_S + len(begun)


@pytest.mark.parametrize("listed", [50, 200, 3200])
def test_whole_lists_that_are_asked_for_without_need_stay_within_their_bytes(listed: int) -> None:
    begun, _ = streamed_whole_calls(listed, 600.0)
    assert begun and (len(begun) - 1) * listed * LINE_BYTES <= 600.0 * STREAMED_TIMES.whole_bytes_per_s


@pytest.mark.parametrize("listed", [2, 38, 76, 200, 3200])
def test_whole_lists_of_a_polled_service_are_as_rare_as_their_bytes_want_it(listed: int) -> None:
    servers = {f"s{i}": (1, "active") for i in range(listed)}
    for latency_s in LATENCIES_S:
        follower = Follower(POLLED, Service(lambda latency_s=latency_s: latency_s, servers=servers), 1)  # type: ignore[misc]
        follower.run(600.0)
        least_s = max(
            POLLED_TIMES.whole_every_s,
            listed * LINE_BYTES / POLLED_TIMES.whole_bytes_per_s,
        )
        assert len(follower.whole_begun) <= 600.0 / least_s + 2


@pytest.mark.parametrize("latency_s", [0.01, 0.1, 0.3, 0.5, 1.0, 2.0])
@pytest.mark.parametrize("settings", [POLLED, STREAMED])
def test_change_that_all_changes_left_out_is_heard_in_6_s(settings: Settings, latency_s: float) -> None:
    """Answers that are slower than the patience keep a call open at all times."""
    for seed in range(20):
        follower = quiet(settings, latency_s, seed)
        for _ in range(seed % 3):
            follower.change("s1", "active")
        follower.leave_out("s0", "leaving")
        begin = follower.now
        follower.run(begin + HEAR_WITHIN_S, stop=lambda f=follower: f.servers["s0"] == "leaving")  # type: ignore[misc]
        assert follower.servers["s0"] == "leaving"


def test_change_that_a_streamed_agent_left_out_is_heard_within_the_grace() -> None:
    for seed in range(20):
        follower = quiet(STREAMED, 0.01, seed)
        follower.leave_out("s0", "leaving")
        follower.run(follower.now + GRACE_S)
        assert follower.servers["s0"] == "leaving"


@pytest.mark.parametrize("settings", [POLLED, STREAMED])
@pytest.mark.parametrize("end_watches", [Follower.count_on, Follower.wake])
def test_watch_that_ends_early_without_a_line_does_not_count_as_slow(
    settings: Settings, end_watches: Callable[[Follower], None]
) -> None:
    follower = quiet(settings, 0.01, 1)
    for _ in range(20):
        follower.run(follower.now + 0.97)
        end_watches(follower)
        follower.run(follower.now + 0.05)
        assert follower.schedule.latency_s <= 0.05


def counted_on(follower: Follower, for_s: float) -> None:
    """Discovery's versions count on each 1.4 s without a change, for some time."""
    end = follower.now + for_s
    while follower.now + STEP_S < end:
        follower.at(follower.now + STEP_S, follower.count_on)
        follower.run(follower.now + STEP_S)
    follower.run(end)


@pytest.mark.parametrize("cut_s", [3.0, 10.0, 29.0])
@pytest.mark.parametrize("listed", [12, 200, 3200])
@pytest.mark.parametrize("settings", [POLLED, STREAMED])
def test_change_left_out_of_a_large_list_behind_versions_that_counted_on_is_heard_in_6_s(
    settings: Settings, listed: int, cut_s: float
) -> None:
    for seed in SEEDS:
        servers = {f"s{i}": (1, "active") for i in range(listed)}
        follower = Follower(settings, Service(lambda: 0.05, servers=servers), seed)
        follower.run(20.0 + seed * 0.7)
        counted_on(follower, cut_s + seed * 0.3)
        follower.leave_out("s0", "leaving")
        follower.run(follower.now + HEAR_WITHIN_S)
        assert follower.servers["s0"] == "leaving"


@pytest.mark.parametrize("settings", [POLLED, STREAMED])
def test_whole_lists_stay_within_their_bytes_while_versions_count_on_for_ever(settings: Settings) -> None:
    times, listed = CallTimes.of(settings, Random(1)), 3200
    follower = Follower(settings, Service(lambda: 0.05, servers={f"s{i}": (1, "active") for i in range(listed)}), 1)
    counted_on(follower, 1800.0)
    interval_s = listed * LINE_BYTES / times.whole_bytes_per_s
    assert len(follower.whole_begun) <= 1 + MOST_SPARE + 2 * 1800.0 / interval_s


@pytest.mark.parametrize("latency_s", [0.6, 1.0, 2.0])
def test_slow_polled_service_is_not_asked_for_large_lists_ahead_of_their_time(latency_s: float) -> None:
    servers = {f"s{i}": (1, "active") for i in range(3200)}
    follower = Follower(POLLED, Service(lambda: latency_s, servers=servers), 1)
    follower.run(20.0)
    for _ in range(5):
        counted_on(follower, 10.0)
        follower.run(follower.now + 10.0)
    assert not [at for at in follower.whole_begun if at > 20.0]


def test_nodes_that_see_versions_without_a_line_do_not_ask_for_the_whole_list_at_once() -> None:
    begun = []
    for seed in range(20):
        servers = {f"s{i}": (1, "active") for i in range(3200)}
        follower = Follower(POLLED, Service(lambda: 0.05, servers=servers), seed)
        follower.run(20.0)
        counted_on(follower, 10.0)
        follower.run(follower.now + 10.0)
        begun.append(follower.whole_begun[-1])
    assert max(begun) - min(begun) >= 1.0


def test_whole_lists_are_rarer_while_a_polled_service_turns_calls_away() -> None:
    follower = quiet(POLLED, 0.01, 1)
    follower.service.fates = deque([Fate.REFUSED, Fate.ANSWER] * 1000)
    begin = follower.now
    follower.run(begin + 100.0)
    most = 100.0 / (2 * POLLED_TIMES.whole_every_s)
    assert sum(at > begin for at in follower.whole_begun) <= most
    follower.service.fates.clear()
    follower.leave_out("s0", "leaving")
    follower.run(follower.now + HEAR_WITHIN_S)
    assert follower.servers["s0"] == "leaving"


def test_whole_list_that_was_lost_is_asked_for_again_within_the_6_s() -> None:
    for seed in range(20):
        follower = quiet(POLLED, 0.01, seed)
        follower.leave_out("s0", "leaving")
        begin, calls = follower.now, len(follower.whole_begun)
        while len(follower.whole_begun) == calls:
            follower.service.fates = deque([Fate.LOST])
            follower.run(follower.schedule.next_at)
        follower.service.fates.clear()
        follower.run(begin + HEAR_WITHIN_S)
        assert follower.servers["s0"] == "leaving"


def test_whole_list_that_is_slow_is_not_given_up_for_changes_that_are_told_meanwhile() -> None:
    times = replace(STREAMED_TIMES, whole_every_s=0.0)
    schedule = CallSchedule(lambda: times, Random(1), version=5)
    schedule.start(0.0)
    schedule.tick(0.0)
    schedule.answered(1, Heard(version=5, entries=0, listed=2), 0.0)
    schedule.tick(1.0)
    (whole,) = schedule.open_calls()
    schedule.tick(schedule.next_at)
    _, watch = schedule.open_calls()
    assert (whole.kind, watch.kind) == (CallKind.WHOLE, CallKind.WATCH)
    assert not schedule.answered(watch.number, Heard(version=6, entries=1, listed=2), 1.5)
    assert schedule.open_calls() == [whole]


@pytest.mark.parametrize("settings", [POLLED, STREAMED])
def test_answer_that_is_never_taken_whole_is_followed_by_whole_lists_at_growing_intervals(settings: Settings) -> None:
    times = CallTimes.of(settings, Random(1))
    schedule, now, begun = CallSchedule(lambda: times, Random(1), version=5), 0.0, list[float]()
    schedule.start(now)
    while now < 120.0:
        for action in schedule.tick(now):
            assert isinstance(action, Begin)
            if action.call.kind is CallKind.WHOLE:
                begun.append(now)
            now += action.call.hold_s + 0.001
            heard = Heard(version=5, entries=2, listed=10**6, ask_whole=True, unsettled=True)
            schedule.answered(action.call.number, heard, now)
        now = max(now, schedule.next_at)
    gaps = [b - a for a, b in pairwise(begun)]
    assert begun[0] <= times.hold_s + 2 * SETTLE_FIRST_S + times.hold_s
    assert len(begun) <= 30 and max(gaps) <= SETTLE_MOST_S + 2 * times.hold_s + 1.0
