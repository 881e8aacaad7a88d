"""Writer, relays and node: all short schedules of faults, drawn days, planted faults, and what single words do."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import pytest

from cloverhold.fleet.distribution import scope as scopes
from tests.explore import Explored, Play, explore
from tests.fleet.distribution.planted import FAULTS
from tests.fleet.distribution.world import World

MENU = (
    "set a", "both", "delete a", "set bad", "delete bad", "flow", "one", "send", "wait", "cut N", "cut R1", "kill N",
    "kill R1", "kill W", "old N", "old R1", "old W", "alone", "full N",
    "stale down",
)  # fmt: skip
DAY = (*MENU, *("one",) * 4, "set b", "delete b", "stale up", "stale down", "cut R2", "kill R2", "full R1", "full W")


@pytest.fixture(autouse=True)
def few_deletions(monkeypatch: pytest.MonkeyPatch) -> None:
    """So that floors rise within a schedule."""
    monkeypatch.setattr(scopes, "MOST_DELETED", 1)


def day(seed: int) -> Iterator[str]:
    """What went wrong first on the day of a seed."""
    chance, world = Random(seed), World()
    for _ in range(chance.randint(5, 40)):
        for wrong in world.step(chance.choice(DAY)):
            yield wrong
            return
    yield from world.end()


def explored(length: int) -> Explored:
    play = Play(World, lambda w, fault: w.step(fault), lambda w: w.end(), lambda w: w.state())
    return explore(play, *[MENU] * length)


def test_all_schedules_of_three_faults() -> None:
    found = explored(3)
    assert found.found == []
    assert found.schedules == len(MENU) ** 3 and len(found.states) > 200


@pytest.mark.parametrize("first", range(0, 2000, 500))
def test_drawn_days(first: int) -> None:
    """Seeds 757 and 1791 found that a write over what others hold was forgotten when the disk was full."""
    assert [(seed, wrong) for seed in range(first, first + 500) for wrong in day(seed)] == []


@pytest.mark.parametrize("fault", FAULTS)
def test_planted_fault_is_found(fault: str) -> None:
    with FAULTS[fault]():
        assert any(wrong for seed in range(1200) for wrong in day(seed))
