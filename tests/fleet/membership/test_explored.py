"""All schedules of two faults among three members; benchmarks/membership.py goes one deeper, with all faults."""

from __future__ import annotations

import pytest

from tests.explore import Explored, explore, run
from tests.fleet.membership.planted import IncarnationNotRaised, RefutationLost, SuspicionNeverEnds
from tests.fleet.membership.three import FIRST, SHORT, three


@pytest.mark.parametrize("first", FIRST)
def test_every_schedule_of_two_faults(first: str) -> None:
    explored = explore(three(), (first,), SHORT, SHORT)
    assert explored.schedules == len(SHORT) ** 2 and explored.found == []
    print(f"{first}: {explored.schedules} schedules, {len(explored.states)} states")


@pytest.mark.parametrize("fault", [IncarnationNotRaised, RefutationLost, SuspicionNeverEnds])
def test_a_planted_fault_is_found(fault: type) -> None:
    assert explore(three(fault), FIRST, ("nothing", "unheard 0"), ("old words",)).found


@pytest.mark.parametrize(
    "schedule",
    [
        ("kill 2", "stop 0", "stop 1"),  # of two, one returned and one was cut off: each waited for the other's word
        ("leave 2", "stop 1", "stop 0"),
    ],
)
def test_a_schedule_that_was_found(schedule: tuple[str, ...]) -> None:
    explored = Explored()
    run(three(), schedule, explored)
    assert explored.found == []
