"""The table of a client connection's waits: each row ends by itself, whatever else is waited for."""

from __future__ import annotations

from dataclasses import fields

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverhold.h3 import streams
from cloverhold.net.fronts import http3, management, waits
from cloverhold.net.fronts.waits import Wait, Waiting

OWED_S, SWEEP_S, HELD_UP_S = 3.0, 0.2, 0.15
CLIENT_WAITS_S = 1.5
NO_INSTANTS = {"body_bytes", "client_waits_s"}
INSTANTS = [field.name for field in fields(Waiting) if field.name not in NO_INSTANTS]
ROWS = {
    "last_read_since": (Wait.LAST_READ, waits.LAST_READ_TIMEOUT_S),
    "lingering_since": (Wait.LINGER, waits.LINGER_TIMEOUT_S),
    "silent_since": (Wait.FIRST_BYTE, waits.HEAD_TIMEOUT_S),
    "head_since": (Wait.HEAD, waits.HEAD_TIMEOUT_S),
    "body_since": (Wait.BODY_RATE, waits.HEAD_TIMEOUT_S + waits.BODY_TIMEOUT_S),
    "progress_at": (Wait.BODY_STALL, waits.BODY_STALL_TIMEOUT_S),
    "written_since": (Wait.UPLOAD_LATE, CLIENT_WAITS_S - waits.LOOK_S),
    "held_since": (Wait.SERVER_READ, waits.SERVER_READ_TIMEOUT_S),
    "starved_since": (Wait.BUFFER, waits.BUFFER_TIMEOUT_S),
    "unread_since": (Wait.ANSWER_READ, waits.ANSWER_READ_TIMEOUT_S),
    "drains_at": (Wait.DRAIN, 0.0),
    "idle_since": (Wait.IDLE, waits.IDLE_TIMEOUT_S),
}


def test_every_instant_has_a_row() -> None:
    assert set(ROWS) == set(INSTANTS) and {wait for wait, _ in ROWS.values()} == set(Wait)


@pytest.mark.parametrize("name", ROWS)
def test_each_wait_ends_behind_its_bound_and_not_before(name: str) -> None:
    wait, bound = ROWS[name]
    waiting = Waiting(**{name: 0.0}, client_waits_s=CLIENT_WAITS_S)
    assert waiting.overdue(bound) is None and waiting.overdue(bound + 0.001) is wait


@given(st.sampled_from(sorted(ROWS)), st.dictionaries(st.sampled_from(sorted(ROWS)), st.floats(0.0, 100.0)))
def test_no_wait_hides_another_that_is_overdue(name: str, others: dict[str, float]) -> None:
    """The fault of the incident's chain of branches: an unread answer hid the half of a request."""
    _, bound = ROWS[name]
    waiting = Waiting(**{**others, name: 0.0}, client_waits_s=CLIENT_WAITS_S)
    assert waiting.overdue(bound + 0.001) is not None


@pytest.mark.parametrize("bound", [waits.HEAD_TIMEOUT_S, waits.BODY_STALL_TIMEOUT_S, waits.BUFFER_TIMEOUT_S])
def test_bounds_keep_the_3_s_owed_with_a_late_sweep_and_a_held_up_node(bound: float) -> None:
    assert bound + SWEEP_S + HELD_UP_S < OWED_S


def test_bytes_received_earn_no_time_without_progress() -> None:
    waiting = Waiting(body_since=0.0, body_bytes=4_000_000, progress_at=1.0)
    assert waiting.overdue(1.0 + waits.BODY_STALL_TIMEOUT_S + 0.001) is Wait.BODY_STALL


@pytest.mark.parametrize(
    "bound, sweep",
    [(streams.PATIENCE_S, http3.SWEEP_S), (management.PATIENCE_S, 0.0), (waits.HEAD_TIMEOUT_S, waits.LOOK_S)],
)
def test_every_front_ends_a_request_that_stops_within_3_s(bound: float, sweep: float) -> None:
    assert bound + sweep + HELD_UP_S < OWED_S
