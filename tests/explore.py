"""Every schedule of a menu of faults, up to a bound: for cores that are told time and chance.

Weighed: the registries' model checkers take models in a language of their own (a second text beside the core that may
say something else), and hypothesis draws instead of going through all. This plays the core itself, from its start for
each schedule, so that no state need be copied; what it finds is a schedule, which is a test.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import product
from typing import Generic, TypeVar

S = TypeVar("S")


@dataclass
class Explored:
    """What came of it. found: each schedule that went wrong, with what was wrong."""

    schedules: int = 0
    states: set[Hashable] = field(default_factory=set)
    found: list[tuple[tuple[str, ...], str]] = field(default_factory=list)


@dataclass(frozen=True)
class Play(Generic[S]):
    """A core and what can happen to it. step: lets one fault of the menu happen, and gives what was wrong meanwhile."""

    begin: Callable[[], S]
    step: Callable[[S, str], Iterator[str]]
    end: Callable[[S], Iterator[str]]
    state: Callable[[S], Hashable]


def run(play: Play[S], schedule: Sequence[str], into: Explored) -> None:
    """One schedule, to its end or to the first thing that is wrong."""
    into.schedules += 1
    world = play.begin()
    for fault in schedule:
        for wrong in play.step(world, fault):
            into.found.append((tuple(schedule), wrong))
            return
        into.states.add(play.state(world))
    for wrong in play.end(world):
        into.found.append((tuple(schedule), wrong))
        return


def explore(play: Play[S], *menus: Sequence[str]) -> Explored:
    """All schedules that take one fault of each menu in turn."""
    found = Explored()
    for schedule in product(*menus):
        run(play, schedule, found)
    return found
