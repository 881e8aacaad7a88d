"""The life of a process: every order of events, against a plain model of what an operator would say."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverhold.lifecycle import (
    DUCK_BY_S,
    DUCK_FROM_S,
    LATECOMER_S,
    STOP_BY_S,
    Event,
    Life,
    Phase,
)

STEPS = st.lists(st.sampled_from([*Event, "on", "off"]), max_size=14)


@given(STEPS)
def test_any_history_says_what_a_plain_reading_of_it_says(steps: list[Event | str]) -> None:
    life, seen, duck = Life(), set(), False
    for at, step in enumerate(steps):
        over = Event.TERM in seen
        if isinstance(step, str):
            assert life.lame_duck(step == "on", float(at)) is not over
            duck = duck if over else step == "on"
        else:
            life.tell(step, float(at))
            if step is not Event.EMPTY or over:  # nothing can end before it is told to stop
                seen.add(step)
        over = Event.TERM in seen
        serves = {Event.LISTED, Event.LISTENING} <= seen and not over
        assert (life.ready(), life.healthy()) == (serves, serves and not duck)
        assert (life.stopping(), life.closing()) == (over, over or duck)
        assert (life.phase is Phase.ENDED) == (over and Event.EMPTY in seen)


def test_a_drain_counts_from_its_first_call_and_a_stop_from_its_signal() -> None:
    life = Life()
    life.lame_duck(True, 10.0)
    life.lame_duck(True, 11.0)
    assert life.since == 10.0
    life.tell(Event.TERM, 12.0)
    life.tell(Event.TERM, 13.0)
    assert life.since == 12.0


@pytest.mark.parametrize("place", [0.0, 0.5, 1.0])
@pytest.mark.parametrize("rested", [-9.0, 0.0, 1.0, 1.6, 3.0])
def test_a_connection_at_rest_ends_between_the_fronts_notice_and_four_seconds(place: float, rested: float) -> None:
    life = Life()
    life.lame_duck(True, 0.0)
    until = life.rests_until(rested, place)
    assert DUCK_FROM_S <= until <= DUCK_BY_S + LATECOMER_S < 3.0
    life.tell(Event.TERM, 0.0)
    assert life.rests_until(rested, place) <= STOP_BY_S + LATECOMER_S < 3.0


def test_those_of_a_drain_end_one_after_another() -> None:
    life = Life()
    life.lame_duck(True, 0.0)
    ends = sorted(life.rests_until(0.0, place / 100) for place in range(100))
    assert max(b - a for a, b in pairwise(ends)) < 0.02
