"""When servers started, told by wall clocks that may be wrong: neither cold ones warm, nor warm ones cold."""

from __future__ import annotations

import time

import pytest
from discovery_service import DiscoveryService
from hypothesis import given
from hypothesis import strategies as st

from cloverhold.net.clock import Clock
from cloverhold.net.discovery.server_list import Members
from cloverhold.net.discovery.watcher import Discovery
from cloverhold.net.start_times import TOLD_LATEST_MS, StartTimes
from loopback import PUSHED, play, target, until

UNIX, HOUR, COLD = 1.8e12, 3.6e6, 9000.0  # ms
NOW = 1_000_000.0  # monotonic ms


def at(wall_error_ms: float) -> StartTimes:
    """Those of a node whose wall clock is ahead by so much at its start."""
    return StartTimes(UNIX + wall_error_ms)


def boot(monotonic_ms: float) -> float:
    return UNIX + monotonic_ms


@pytest.mark.parametrize("error", [0.0, -HOUR, -5000.0])
def test_warm_servers_are_not_taken_for_cold_by_a_clock_that_is_behind(error: float) -> None:
    """The fault: an hour behind, each server that had ever started was cold for that hour."""
    ages = {"s0": 100.0, "s1": 150.0, "s2": 30_000.0, "s3": 600_000.0}
    starts = at(error).resolve({uid: boot(NOW - age) for uid, age in ages.items()}, NOW, full=True, live=True)
    assert all(starts[uid] <= NOW for uid in ages)  # type: ignore[operator]
    for uid in ("s2", "s3"):
        assert NOW - starts[uid] > COLD  # type: ignore[operator]
    for uid in ("s0", "s1"):
        assert NOW - starts[uid] < COLD  # type: ignore[operator]


@pytest.mark.parametrize("error", [0.0, HOUR, -HOUR, 60_000.0])
def test_server_that_has_just_started_is_cold_whatever_the_clock_says(error: float) -> None:
    """The fault: an hour ahead, a server that had just started was warm at once, and got a full share."""
    known = at(error)
    known.resolve({"s0": 0.0, "s1": boot(NOW - 50_000.0)}, NOW, full=True, live=True)
    again = known.resolve({"s1": boot(NOW + 900.0)}, NOW + 1000.0, full=False, live=True)
    new = known.resolve({"s9": boot(NOW + 1900.0)}, NOW + 2000.0, full=False, live=True)
    assert again["s1"] is not None and NOW + 1000.0 - again["s1"] < 200.0
    assert new["s9"] is not None and NOW + 2000.0 - new["s9"] < 200.0


def test_start_that_has_been_told_keeps_its_instant() -> None:
    known = at(-HOUR)
    first = known.resolve({"s0": boot(NOW - 5000.0), "s1": boot(NOW - 7000.0)}, NOW, full=True, live=True)
    later = {"s0": boot(NOW - 5000.0), "s1": boot(NOW - 7000.0), "s2": boot(NOW), "s3": boot(NOW + 1.0)}
    second = known.resolve(later, NOW + 500.0, full=True, live=True)
    assert {uid: second[uid] for uid in first} == first


def test_start_is_told_on_as_it_was_told() -> None:
    """Else another process of the node would take it for another start."""
    known = at(-HOUR)
    starts = known.resolve({"s0": boot(NOW), "s1": 0.0}, NOW, full=True, live=True)
    assert known.boot_ms("s0", starts["s0"]) == boot(NOW) and known.boot_ms("s1", starts["s1"]) == 0.0


def test_one_server_with_a_wrong_clock_does_not_make_cold_ones_warm() -> None:
    known = at(0.0)
    told = {"bad": boot(NOW + 1e9), "s1": boot(NOW - 1000.0), "s2": boot(NOW - 60_000.0)}
    starts = known.resolve(told, NOW, full=True, live=True)
    assert starts["bad"] == NOW and starts["s1"] == pytest.approx(NOW - 1000.0)
    new = known.resolve({"s3": boot(NOW + 100.0)}, NOW + 200.0, full=False, live=True)
    assert new["s3"] == pytest.approx(NOW + 100.0)


def test_server_that_comes_back_with_its_old_start_is_as_warm_as_it_was() -> None:
    known = at(0.0)
    told = {"s0": boot(NOW - 300_000.0), "s1": boot(NOW - 200_000.0), "s2": boot(NOW - 100_000.0)}
    known.resolve(told, NOW, full=True, live=True)
    known.forget("s0")
    again = known.resolve({"s0": told["s0"]}, NOW + 60_000.0, full=False, live=True)
    assert again["s0"] == pytest.approx(NOW - 300_000.0)


def test_starts_within_a_long_outage_of_discovery_keep_their_age() -> None:
    known = at(0.0)
    known.resolve({"s0": boot(NOW - 300_000.0)}, NOW, full=True, live=True)
    new = known.resolve({"s1": boot(NOW + 5000.0)}, NOW + 60_000.0, full=False, live=True)
    assert new["s1"] == pytest.approx(NOW + 5000.0)


@given(st.floats(-2 * HOUR, 2 * HOUR), st.lists(st.floats(0.0, 5000.0), min_size=1, max_size=8))
def test_no_error_of_the_clock_makes_a_told_start_older_than_the_list_allows(error: float, gaps: list[float]) -> None:
    known, now = at(error), NOW
    known.resolve({"s0": 0.0}, now, full=True, live=True)
    for number, gap in enumerate(gaps):
        now += gap
        started = known.resolve({f"n{number}": boot(now - 50.0)}, now, full=False, live=True)[f"n{number}"]
        assert started is not None and now - gap - TOLD_LATEST_MS - 50.0 <= started <= now


def test_what_is_kept_is_bounded_by_the_list() -> None:
    known = at(0.0)
    for number in range(100):
        known.resolve({f"s{number}": boot(NOW)}, NOW, full=True, live=True)
    assert len(known._starts) == 1


def test_answers_without_news_count_as_heard_for_the_starts_of_servers() -> None:
    """Else a start that is told behind a quiet time passes for one of long ago where the wall clock is ahead."""

    async def test() -> None:
        service, told, clock = DiscoveryService([target("s0", 9)]), list[Members](), Clock()
        await service.start()
        clock.starts.unix_offset_ms += 3_600_000.0
        discovery = Discovery(("127.0.0.1", service.port), clock, told.append, lambda: None, lambda: PUSHED)
        discovery.watch()
        await until(lambda: told)
        clock.starts.note_heard(clock.now() - 7_200_000.0)
        calls = len(service.calls)
        await until(lambda: len(service.calls) > calls + 1)
        service.change([{**target("s1", 9), "boot_ms": time.time() * 1000}])
        await until(lambda: len(told) > 1)
        (entry,) = [entry for entry in told[-1].entries if entry.server == "s1"]
        assert entry.started_at is not None and clock.now() - entry.started_at < 10_000.0
        discovery.stop()
        service.stop()

    play(test)
