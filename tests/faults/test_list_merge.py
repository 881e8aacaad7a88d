"""What is held of the list of servers, by every short order of answers that lag, are odd or count versions anew."""

from __future__ import annotations

import json
import math
from dataclasses import replace
from itertools import pairwise, product

import pytest

from cloverhold import Lifecycle
from cloverhold.net.discovery.departures import MOST_GONE, Departure, Readmission, changes_value, read_changes
from cloverhold.net.discovery.lower_versions import ADOPT_AFTER_S, LEAST_TO_ADOPT
from cloverhold.net.discovery.merge import HeldList
from cloverhold.net.discovery.merge_results import Asked, Merged, NotTaken, Worth
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.server_list import (
    ListAnswer,
    ServerLine,
    UnreadableLine,
    lines_of,
    members_of,
    members_value,
    read_members,
)
from cloverhold.roster import Roster

READY, DRAINING, GONE = Lifecycle.READY, Lifecycle.DRAINING, Lifecycle.GONE
NOBODY = UnreadableLine(None, None)
# The state of each server at the versions of a discovery; None: it is not listed.
HISTORY: dict[int, dict[str, Lifecycle]] = {
    10: {"a": READY, "b": READY},
    11: {"a": DRAINING, "b": READY},
    12: {"b": READY, "c": READY},
    13: {"a": READY, "b": DRAINING, "c": READY},
}
TOP = max(HISTORY)


def line(uid: str, lifecycle: Lifecycle = READY, boot_ms: float = 0.0, port: int = 9) -> ServerLine:
    return ServerLine(uid, lifecycle, ("127.0.0.1", port), boot_ms)


def whole(version: int, states: dict[str, Lifecycle], *unreadable: UnreadableLine) -> ListAnswer:
    return ListAnswer(version, True, tuple(line(uid, state) for uid, state in states.items()), unreadable)


def changes(since: int, version: int) -> ListAnswer:
    """Every server that has changed between two versions of the history, as it is at the later one."""
    changed = dict[str, None]()
    for before, after in pairwise(range(since, version + 1)):
        uids = sorted(HISTORY[before].keys() | HISTORY[after].keys())
        changed |= {uid: None for uid in uids if HISTORY[before].get(uid) is not HISTORY[after].get(uid)}
    return ListAnswer(version, False, tuple(line(uid, HISTORY[version].get(uid, GONE)) for uid in changed))


def doubled(answer: ListAnswer) -> ListAnswer:
    """Each server's line behind one that says that it is ready."""
    lines = [part for own in answer.lines for part in (replace(own, lifecycle=READY), own)]
    return replace(answer, lines=tuple(lines))


class Follower:
    """A held list, what it handed on, and the newest versions that told each server to drain and to be ready."""

    def __init__(self, first: ListAnswer) -> None:
        self.held, self.now = HeldList(), 0.0
        self.listed: dict[str, Lifecycle] = {}
        self.drain_told: dict[str, int] = {}
        self.ready_told: dict[str, int] = {}
        self.take(first, None)

    def take(self, answer: ListAnswer, since: int | None, step_s: float = 0.1) -> Merged:
        """An answer to a call that was begun just now."""
        self.now += step_s
        merged = self.held.merge(answer, Asked(since, self.now), self.now)
        self._note(answer)
        if merged.whole and merged.is_news:
            self.listed.clear()
        self.listed.update((line.uid, line.lifecycle) for line in merged.lines)
        return merged

    def _note(self, answer: ListAnswer) -> None:
        told: dict[str, set[Lifecycle]] = {}
        for own in answer.lines:
            told.setdefault(own.uid, set()).add(own.lifecycle)
        absent = {uid: {GONE} for uid in self.ready_told if answer.whole and not answer.unreadable and uid not in told}
        for uid, states in (told | absent).items():
            newest = self.ready_told if states == {READY} else self.drain_told
            newest[uid] = max(newest.get(uid, 0), answer.version)

    def ready(self) -> set[str]:
        return {uid for uid, state in self.listed.items() if state is READY}

    def check(self) -> None:
        """No server is ready that was told to drain by no older version than the newest that had it ready."""
        for uid in self.ready():
            assert self.ready_told.get(uid, 0) > self.drain_told.get(uid, 0), uid


def answers() -> list[tuple[ListAnswer, int | None]]:
    """Answers of replicas that hold any version, to calls that name any version, some odd."""
    found: list[tuple[ListAnswer, int | None]] = []
    for version, states in HISTORY.items():
        found += [(whole(version, states), None), (whole(version, states), TOP)]
        found += [(changes(since, version), since) for since in HISTORY if since < version]
        found.append((ListAnswer(version, False, ()), version))
    found.append((ListAnswer(11, False, ()), TOP))
    found.append((whole(12, HISTORY[12], NOBODY), None))
    found.append((doubled(whole(11, HISTORY[11])), None))
    found.append((doubled(changes(12, 13)), 12))
    return found


@pytest.mark.parametrize("step_s", [0.1, ADOPT_AFTER_S])
def test_no_order_of_answers_makes_a_drained_server_ready_without_a_later_version(step_s: float) -> None:
    for order in product(answers(), repeat=3):
        follower = Follower(whole(10, HISTORY[10]))
        for answer, since in order:
            if since is None or since == follower.held.version:
                follower.take(answer, since, step_s)
                follower.check()
        follower.take(whole(TOP, HISTORY[TOP]), None)
        assert follower.listed == HISTORY[TOP] and follower.held.withheld() == 0


@pytest.mark.parametrize("anew", [3, 9])
def test_versions_that_count_from_anew_are_taken_and_take_no_drain_back(anew: int) -> None:
    for order in product(answers(), repeat=2):
        follower = Follower(whole(10, HISTORY[10]))
        for answer, since in order:
            if since is None or since == follower.held.version:
                follower.take(answer, since)
        for _ in range(40):
            follower.take(whole(anew, {"a": READY, "d": READY}), None)
            follower.check()
        assert follower.held.version == anew and "d" in follower.ready()
        drained = follower.held.departures().noted.keys() & {"a"}
        for _ in range(40):
            follower.take(whole(anew, {"a": READY, "d": READY}), None, step_s=3600.0)
            assert follower.ready() == {"a", "d"} - drained
        follower.take(whole(TOP + 1, {"a": READY, "d": READY}), None)
        assert follower.ready() == {"a", "d"} and follower.held.withheld() == 0


@pytest.mark.parametrize(
    ("since", "version", "is_whole", "begun_at", "worth"),
    [
        (5, 7, False, 0.0, Worth.OVERTAKEN),  # to a call that another one overtook
        (5, 8, False, 0.0, Worth.TAKEN),
        (5, 9, False, 0.0, Worth.TAKEN),
        (9, 9, False, 0.0, Worth.OVERTAKEN),  # builds on a version that is not held
        (8, 7, False, 2.0, Worth.LOWER_VERSION),
        (None, 7, True, 0.0, Worth.OVERTAKEN),
        (None, 7, True, 2.0, Worth.LOWER_VERSION),
        (None, 8, True, 0.0, Worth.TAKEN),
        (None, 7, False, 2.0, Worth.LOWER_VERSION),
    ],
)
def test_worth_of_an_answer_to_a_call_that_began_before_or_behind_the_list_that_is_held(
    since: int | None, version: int, is_whole: bool, begun_at: float, worth: Worth
) -> None:
    held = HeldList()
    held.merge(whole(8, {"a": READY}), Asked(None, 0.5), 1.0)
    answer = ListAnswer(version, is_whole, (line("a"),))
    assert held.merge(answer, Asked(since, begun_at), 3.0).worth is worth


def test_drain_of_a_lower_version_is_withheld_at_once_and_ends_with_an_answer_of_the_version_held() -> None:
    follower = Follower(whole(10, {"a": READY, "b": READY, "c": READY}))
    merged = follower.take(whole(3, {"a": READY, "b": DRAINING}), 10)
    assert merged.not_taken == {NotTaken.LOWER_VERSION: 1} and follower.ready() == {"a"}
    assert follower.held.version == 10 and follower.held.withheld() == 2
    follower.take(ListAnswer(10, False, ()), 10)
    assert follower.ready() == {"a", "b", "c"}
    assert not follower.take(whole(3, {"a": READY, "b": DRAINING}), 10).lines  # a replica that lags, as was shown


def test_lower_versions_are_taken_only_once_no_other_came_for_a_while() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    lower, step_s = whole(3, {"a": READY}), ADOPT_AFTER_S / LEAST_TO_ADOPT
    for _ in range(LEAST_TO_ADOPT + 1):
        assert follower.take(lower, 10, step_s).worth is Worth.LOWER_VERSION
    assert follower.take(lower, 10, step_s).worth is Worth.ADOPTED
    assert follower.held.version == 3


def test_first_list_of_discovery_is_handed_on_whatever_version_is_remembered() -> None:
    held = HeldList()
    held.remember(41, [line("a"), line("b")])
    merged = held.merge(whole(2, {"a": READY}), Asked(None, 0.0), 1.0)
    assert merged.whole and [own.uid for own in merged.lines] == ["a"] and held.version == 2


def test_whole_list_is_handed_on_again_only_where_it_changes_something_or_the_last_was_not_taken_over() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    assert follower.take(whole(10, HISTORY[10]), None).lines == []
    follower.held.hand_on_again()
    assert len(follower.take(whole(10, HISTORY[10]), None).lines) == 2
    assert len(follower.take(whole(11, HISTORY[11]), None).lines) == 2


def test_server_that_changes_left_out_is_found_by_the_whole_list_of_the_same_version() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(ListAnswer(11, False, ()), 10)
    assert follower.ready() == {"a", "b"}
    follower.take(whole(11, HISTORY[11]), None)
    assert follower.ready() == {"b"}


@pytest.mark.parametrize(
    ("unreadable", "ready"),
    [
        (UnreadableLine("a", DRAINING), {"b"}),
        (UnreadableLine("a", GONE), {"b"}),
        (UnreadableLine("a", READY), {"a", "b"}),
        (UnreadableLine("a", None), {"b"}),
        (UnreadableLine("x", None), {"a", "b"}),
        (NOBODY, {"a", "b"}),
    ],
)
def test_line_that_cannot_be_read_is_taken_for_what_is_sure_in_it(unreadable: UnreadableLine, ready: set[str]) -> None:
    follower = Follower(whole(10, HISTORY[10]))
    merged = follower.take(ListAnswer(11, False, (line("b"),), (unreadable,)), 10)
    assert follower.ready() == ready and merged.ask_whole and merged.not_taken[NotTaken.UNREADABLE] == 1
    follower.take(whole(12, HISTORY[10]), None)
    assert follower.ready() == {"a", "b"}


def test_server_that_a_whole_list_with_an_unreadable_line_does_not_name_is_withheld_and_not_forgotten() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(whole(11, {"b": READY}, NOBODY), None)
    assert follower.listed == {"a": DRAINING, "b": READY}
    follower.take(whole(11, HISTORY[10]), None)
    assert follower.ready() == {"a", "b"}


@pytest.mark.parametrize(
    ("lines", "ready"),
    [
        ([line("a"), line("a", DRAINING)], {"b"}),
        ([line("a", DRAINING), line("a")], {"b"}),
        ([line("a"), line("a", GONE)], {"b"}),
        ([line("a"), line("a", boot_ms=5.0)], {"b"}),
        ([line("a"), line("a", port=10)], {"a", "b"}),
        ([line("a"), line("a")], {"a", "b"}),
        ([line("n"), line("n", port=10)], {"a", "b"}),
    ],
)
def test_server_that_is_named_twice_gets_nothing_new_where_its_lines_differ_in_what_matters(
    lines: list[ServerLine], ready: set[str]
) -> None:
    follower = Follower(whole(10, HISTORY[10]))
    merged = follower.take(ListAnswer(11, False, tuple(lines)), 10)
    assert follower.ready() == ready and merged.ask_whole is (lines[0] != lines[1])
    follower.take(whole(12, HISTORY[10]), None)
    assert follower.ready() == {"a", "b"}


def test_servers_that_are_gone_are_remembered_within_a_bound_and_stay_out_though_they_are_forgotten() -> None:
    follower, last = Follower(whole(1, {"a": READY})), MOST_GONE + 99
    follower.take(whole(2, {"b": READY}), None)
    for version in range(3, last + 1):
        come, go = line(f"s{version}"), line(f"s{version - 1}", GONE)
        follower.take(ListAnswer(version, False, (come, go)), version - 1)
    remembered = follower.held.departures()
    assert len(remembered.noted) <= MOST_GONE + 2 and f"s{MOST_GONE}" in remembered.noted
    assert "a" not in remembered.noted and remembered.forgotten is not None
    lower = whole(last - 1, {"a": READY, "b": READY, f"s{last}": READY})
    for _ in range(2 * LEAST_TO_ADOPT):
        follower.take(lower, None, step_s=3600.0)
    assert follower.held.version == last - 1 and follower.ready() == {"b", f"s{last}"}
    follower.take(whole(last + 1, {"a": READY, "b": READY}), None)
    assert follower.ready() == {"a", "b"}


def test_list_of_another_discovery_is_taken_whatever_its_version_but_for_drains() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(whole(11, HISTORY[11]), None)
    follower.held.expect_other_versions()
    follower.take(whole(2, {"a": READY, "d": READY}), None)
    assert follower.held.version == 2 and follower.ready() == {"d"}
    follower.take(whole(12, {"a": READY, "d": READY}), None)
    assert follower.ready() == {"a", "d"}


def test_server_that_lower_versions_left_in_doubt_is_ready_again_once_they_are_taken() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(whole(3, {"a": READY, "b": DRAINING}), 10)
    for _ in range(LEAST_TO_ADOPT):
        follower.take(whole(4, HISTORY[10]), 10, ADOPT_AFTER_S)
    assert follower.held.version == 4 and follower.ready() == {"a", "b"}


def test_whole_list_that_is_marked_as_changes_is_taken_where_none_is_held_and_removes_nobody_where_one_is() -> None:
    marked = ListAnswer(10, False, (line("a"),))
    follower = Follower(marked)
    assert follower.ready() == {"a"} and follower.held.version == 10
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(ListAnswer(12, False, (line("a", DRAINING),)), None)
    assert follower.ready() == {"b"} and follower.held.version == 10


def test_server_is_not_ready_again_by_a_list_of_the_very_version_that_told_it_to_drain() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(ListAnswer(11, False, (line("a", DRAINING),)), 10)
    merged = follower.take(whole(11, HISTORY[10]), None)
    assert follower.ready() == {"b"} and merged.not_taken == {NotTaken.NOT_LATER: 1}
    follower.take(whole(12, HISTORY[10]), None)
    assert follower.ready() == {"a", "b"}


def test_later_start_of_a_server_lets_it_in_where_versions_count_from_anew() -> None:
    follower = Follower(ListAnswer(10, True, (line("a", boot_ms=5.0), line("b"))))
    follower.take(ListAnswer(11, False, (line("a", DRAINING, boot_ms=5.0),)), 10)
    follower.held.expect_other_versions()
    follower.take(ListAnswer(2, True, (line("a", boot_ms=5.0), line("b"))), None)
    assert follower.ready() == {"b"}
    merged = follower.take(ListAnswer(3, True, (line("a", boot_ms=6.0), line("b"))), None)
    assert follower.ready() == {"a", "b"} and merged.readmitted == {"a": Readmission.LATER_START}


def test_start_that_a_kept_list_tells_less_exactly_is_not_a_later_one() -> None:
    held = HeldList()
    held.remember(11, [line("a", DRAINING, boot_ms=5.0 - 1e-6), line("b")])
    merged = held.merge(ListAnswer(10, True, (line("a", boot_ms=5.0), line("b"))), Asked(None, 0.0), 1.0)
    assert [own.uid for own in merged.lines if own.lifecycle is READY] == ["b"]


def test_start_that_may_lie_before_a_departure_lets_nobody_in() -> None:
    """It is gone in a version behind others that were not heard, in which it may have started anew."""
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(whole(13, {"b": READY}), None)
    follower.held.expect_other_versions()
    follower.take(ListAnswer(12, True, (line("a", boot_ms=5.0), line("b"))), None)
    assert follower.ready() == {"b"}


def test_versions_that_reach_the_number_of_a_departure_without_it_are_not_later() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(whole(11, HISTORY[11]), None)
    follower.held.expect_other_versions()
    for version in range(9, 20):
        follower.take(whole(version, HISTORY[10]), None)
        assert follower.ready() == {"b"}, version
    follower.take(ListAnswer(20, False, (line("a", DRAINING),)), 19)
    follower.take(whole(21, HISTORY[10]), None)
    assert follower.ready() == {"a", "b"}


def test_departure_holds_as_of_the_versions_that_were_taken_behind_it() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(whole(11, HISTORY[11]), None)
    follower.take(whole(15, {"a": DRAINING, "b": READY}), None)
    follower.held.expect_other_versions()
    follower.take(whole(13, HISTORY[10]), None)
    assert follower.ready() == {"b"}


def test_operator_lets_in_all_that_is_withheld_and_a_later_drain_is_heard() -> None:
    follower = Follower(whole(10, HISTORY[10]))
    follower.take(whole(11, HISTORY[11]), None)
    follower.held.expect_other_versions()
    follower.take(whole(2, HISTORY[10]), None)
    assert [own.uid for own in follower.held.withholdings()] == ["a"]
    merged = follower.held.readmit_withheld()
    assert merged.readmitted == {"a": Readmission.OPERATOR} and merged.lines == [line("a")]
    follower.take(whole(3, HISTORY[11]), None)
    assert follower.held.withheld() == 0 and "a" not in follower.ready()


def test_remembered_list_lets_nobody_in_who_had_left_or_is_not_in_it() -> None:
    held = HeldList()
    held.remember(41, [line("a"), line("b", DRAINING)])
    merged = held.merge(whole(40, {"a": READY, "b": READY, "c": READY}), Asked(None, 0.0), 1.0)
    assert {own.uid for own in merged.lines if own.lifecycle is READY} == {"a"}
    merged = held.merge(whole(42, {"a": READY, "b": READY, "c": READY}), Asked(None, 2.0), 3.0)
    assert {own.uid for own in merged.lines if own.lifecycle is READY} == {"a", "b", "c"}


def test_drain_in_a_remembered_list_without_a_version_ends_with_a_word_on_that_server_alone() -> None:
    held = HeldList()
    held.remember(0, [line("a"), line("b", DRAINING), line("c", DRAINING), line("d", DRAINING)])

    def ready(answer: ListAnswer, at_s: float) -> set[str]:
        lines = held.merge(answer, Asked(None, at_s), at_s).lines
        return {own.uid for own in lines if own.lifecycle is READY}

    again = (line("a"), line("b"), line("c", boot_ms=5.0), line("d", DRAINING))
    assert ready(ListAnswer(59, True, again), 1.0) == {"a", "c"}
    assert ready(whole(60, {"a": READY, "b": READY, "c": READY, "d": READY}), 2.0) == {"a", "c", "d"}


def test_departure_that_another_process_of_the_node_heard_holds_here_until_a_newer_word() -> None:
    ahead, behind = Follower(whole(10, HISTORY[10])), Follower(whole(10, HISTORY[10]))
    ahead.take(whole(11, HISTORY[11]), None)
    told = ahead.held.departures()
    assert [own.lifecycle for own in behind.held.learn(told).lines] == [DRAINING]
    assert behind.held.withheld() == 1
    behind.take(whole(12, HISTORY[10]), None)
    assert behind.ready() == {"a", "b"} and not behind.held.learn(told).lines


def emptied(version: int = 14) -> Follower:
    """A follower that heard versions from 10 on, and then a whole list that names nobody."""
    follower = Follower(whole(10, {"a": READY, "b": READY}))
    follower.take(whole(version, {}), None)
    assert not follower.listed and len(follower.held) == 0
    return follower


def test_fleet_that_is_named_again_by_a_later_version_gets_work_at_once() -> None:
    follower = emptied()
    follower.take(whole(15, {"a": READY, "b": READY}), None)
    assert follower.ready() == {"a", "b"} and follower.held.withheld() == 0


@pytest.mark.parametrize("empty_version", [3, 10, 14])
def test_fleet_that_a_discovery_without_its_store_named_no_more_gets_work_once_that_counts_from_anew(
    empty_version: int,
) -> None:
    follower = Follower(whole(10, {"a": READY, "b": READY}))
    follower.take(whole(empty_version, {}), None)
    assert not follower.ready()
    for version in range(4, 4 + LEAST_TO_ADOPT + 2):
        follower.take(whole(version, {"a": READY, "b": READY}), None, ADOPT_AFTER_S / LEAST_TO_ADOPT)
    assert follower.ready() == {"a", "b"} and follower.held.withheld() == 0


def test_count_that_has_passed_the_versions_heard_by_the_time_it_is_taken_is_known_by_its_first_ones() -> None:
    follower = emptied(20)
    for version in (4, *range(12, 12 + LEAST_TO_ADOPT + 1)):
        follower.take(whole(version, {"a": READY, "b": READY}), None, ADOPT_AFTER_S / LEAST_TO_ADOPT)
    assert follower.ready() == {"a", "b"} and follower.held.withheld() == 0


def test_absence_from_an_empty_list_is_not_ended_by_a_replica_that_lags_however_long() -> None:
    for version in (10, 11, 13, 14):
        follower = emptied()
        for _ in range(10 * LEAST_TO_ADOPT):
            follower.take(whole(version, {"a": READY, "b": READY}), None, step_s=3600.0)
            assert not follower.ready()
        follower.take(whole(15, {"a": READY, "b": READY}), None)
        assert follower.ready() == {"a", "b"}


def test_version_below_those_heard_is_of_a_replica_where_one_was_shown_to_lag_so_far() -> None:
    follower = Follower(whole(10, {"a": READY, "b": READY}))
    follower.take(whole(8, {"a": READY, "b": READY}), None)
    follower.take(ListAnswer(10, False, ()), 10)
    follower.take(whole(14, {}), None)
    for _ in range(10):
        follower.take(whole(8, {"a": READY, "b": READY}), None, step_s=3600.0)
    assert not follower.ready()


def test_drain_that_a_line_told_is_not_ended_by_another_count_behind_an_empty_list() -> None:
    for line_first in (True, False):
        follower = Follower(whole(10, {"a": READY, "b": READY}))
        told = whole(11, {"a": DRAINING, "b": READY}), whole(12, {})
        for answer in told if line_first else reversed(told):
            follower.take(answer, None)
            follower.take(ListAnswer(answer.version, False, ()), answer.version)
        for _ in range(10):
            follower.take(whole(3, {"a": READY, "b": READY}), None, ADOPT_AFTER_S)
        assert follower.ready() == ({"b"} if line_first else {"a", "b"})


def test_no_order_of_answers_around_an_empty_list_makes_a_gone_server_ready_without_a_later_version() -> None:
    empty = whole(TOP + 1, {})
    for first, *rest in product(answers(), repeat=3):
        follower = Follower(whole(10, HISTORY[10]))
        for answer, since in (first, (empty, None), *rest, *rest, *rest):
            if since is None or since == follower.held.version:
                follower.take(answer, since, ADOPT_AFTER_S)
                follower.check()
        follower.take(whole(TOP + 2, HISTORY[TOP]), None)
        assert follower.listed == HISTORY[TOP] and follower.held.withheld() == 0


def test_absence_from_an_empty_list_is_passed_on_whole_and_read_where_it_has_two_numbers() -> None:
    departures = emptied().held.departures()
    assert read_changes(changes_value(departures)) == departures
    assert departures.noted["a"] == Departure(14, math.inf, 10)
    assert read_changes({"noted": {"a": [14, None]}, "forgotten": None}).noted["a"] == Departure(14, math.inf)


def test_large_fleet_that_left_at_once_is_remembered_one_by_one() -> None:
    fleet = {f"s{i}": READY for i in range(3 * MOST_GONE)}
    follower = Follower(whole(10, fleet))
    follower.take(whole(11, {}), None)
    assert follower.held.departures().forgotten is None and follower.held.departed() == len(fleet)


@pytest.mark.parametrize(("version", "lets_in"), [(13, False), (14, False), (15, True), (3, True)])
def test_empty_list_holds_in_the_next_process_that_a_roster_hands_it_to(version: int, lets_in: bool) -> None:
    clock, roster = Clock(), Roster()
    first, gone = HeldList(), HeldList()
    for held, answer in ((first, whole(10, HISTORY[10])), (first, whole(14, {}))):
        merged = held.merge(answer, Asked(None, answer.version), answer.version)
        members = members_of(answer.version, merged.lines, clock, full=True, departures=held.departure_changes())
        assert roster.take(json.loads(json.dumps(members_value(members, clock))))
    kept = read_members(roster.value(), clock)
    gone.remember(kept.version, lines_of(kept, clock), kept.departures)
    assert len(gone) == 0
    merged = gone.merge(whole(version, HISTORY[10]), Asked(None, 20.0), 21.0)
    assert {own.uid for own in merged.lines if own.lifecycle is READY} == ({"a", "b"} if lets_in else set())
