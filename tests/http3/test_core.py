"""The pure parts of HTTP/3: the table of streams, who may begin, keys, fields."""

from __future__ import annotations

import random
from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pylsqpack import Decoder

from cloverhold import ClassSettings, Repeat
from cloverhold.h3.door import BUSY_PART, RESETS_PER_S, Door, Verdict
from cloverhold.h3.keys import RETRY_S, Keys, Ticket
from cloverhold.h3.requests import answer_head, check_whole, field_section, read_head
from cloverhold.h3.streams import (
    NEXT, PATIENCE_S, Action, Budget, Drop, Gone, Health, Reject, Say, State, Streams, Take, What,
)  # fmt: skip
from cloverhold.net.exchange import BadRequest
from peers import Field, head

CLASSES = {c.name: c for c in (
    ClassSettings("consulta", 400, 800, Repeat.SAFE), ClassSettings("alerta", 400, 800, Repeat.UNSAFE),
)}  # fmt: skip


def streams(most: int = 4, budget: Budget | None = None, *, confirmed: bool = True) -> Streams:
    made = Streams(CLASSES, most, budget or Budget(100, 1_000_000))
    made.confirmed = confirmed
    return made


def ask(s: Streams, stream: int, name: str = "alerta", now: float = 0.0) -> list[Action]:
    """A whole request."""
    return [
        *s.begun(stream, now), *s.head(stream, head(name, str(stream))), *s.end(stream, now),
    ]  # fmt: skip


# ------------------------------------------------------------------------------------------------------ streams


def test_a_request_is_handed_over_once_and_answered_once() -> None:
    s = streams()
    took = ask(s, 0)
    assert [type(a) for a in took] == [Take] and s.has(0)
    assert not [*s.begun(0, 0.0), *s.head(0, head()), *s.end(0, 0.0)]  # what comes again changes nothing
    assert s.said(0) and not s.said(0) and not s.has(0)
    assert not ask(s, 0), "a stream that is over does not begin again"


def test_lower_streams_may_begin_behind_higher_ones() -> None:
    s = streams()
    assert [a.stream for a in (*ask(s, 8), *ask(s, 0), *ask(s, 4)) if isinstance(a, Take)] == [8, 0, 4]
    assert s.said(4) and not ask(s, 4) and not ask(s, 8), "what is over does not begin again"


def test_what_must_not_run_twice_waits_for_the_handshake_and_the_rest_does_not() -> None:
    s = streams(confirmed=False)
    assert [type(a) for a in ask(s, 0, "consulta")] == [Take]
    assert not ask(s, 4) and not s.has(4) and s.open() == 2
    assert not s.said(4), "nothing is owed on it yet"
    assert not ask(s, 12) and not ask(s, 8)
    assert [a.stream for a in s.complete() if isinstance(a, Take)] == [4, 8, 12], "in the order of their streams"
    assert not list(s.complete()) and s.has(4)


def test_a_request_whose_head_was_early_and_whose_end_was_not_goes_on_at_once() -> None:
    s = streams(confirmed=False)
    assert not [*s.begun(0, 0.0), *s.head(0, head("alerta"))]
    assert not list(s.complete())
    assert [type(a) for a in s.end(0, 0.0)] == [Take]


def test_an_early_request_whose_handshake_never_comes_is_turned_away_unread() -> None:
    s = streams(confirmed=False)
    ask(s, 0)
    assert not list(s.sweep(PATIENCE_S))
    assert list(s.sweep(PATIENCE_S + 0.1)) == [Reject(0)]
    assert not list(s.complete()), "it was turned away: it must not run any more"


@pytest.mark.parametrize(
    ("steps", "said"),
    [
        (["reset"], []),
        (["stop"], [Gone(0)]),
        (["reset", "stop"], [Gone(0)]),
        (["stop", "reset"], [Gone(0)]),
        (["stop", "stop"], [Gone(0)]),
    ],
)
def test_only_a_client_that_will_not_read_takes_back_what_was_handed_over(steps: list[str], said: list[Action]) -> None:
    s = streams()
    ask(s, 0)
    assert [a for step in steps for a in getattr(s, step)(0)] == said
    assert s.said(0) is not said


@pytest.mark.parametrize("step", ["reset", "stop"])
@pytest.mark.parametrize("held", [True, False])
def test_what_was_not_handed_over_is_dropped(step: str, held: bool) -> None:
    budget = Budget(100, 1_000_000)
    s = streams(budget=budget, confirmed=False)
    if held:
        ask(s, 0)
    else:
        assert not [*s.begun(0, 0.0), *s.head(0, head("alerta")), *s.data(0, b"half")]
    assert list(getattr(s, step)(0)) == [Drop(0)]
    assert not list(s.complete()) and (budget.streams, budget.bytes) == (0, 0)


def test_bounds_hold_for_a_connection_and_over_all() -> None:
    budget = Budget(6, 1_000_000)
    first, second = streams(4, budget), streams(4, budget)
    assert [type(a) for n in range(5) for a in ask(first, 4 * n)] == [Take] * 4 + [Reject]
    assert [type(a) for n in range(3) for a in ask(second, 4 * n)] == [Take, Take, Reject]
    assert [a for a in first.lost()] == [Gone(4 * n) for n in range(4)]
    assert [a for a in second.lost()] == [Gone(0), Gone(4)]
    assert (budget.streams, budget.bytes) == (0, 0)


def test_bytes_of_requests_are_bounded_over_all() -> None:
    budget = Budget(100, 50_000)
    s = streams(40, budget)
    for n in range(3):
        assert not [*s.begun(4 * n, 0.0), *s.head(4 * n, head("alerta", str(n))), *s.data(4 * n, b"x" * 20_000)]
    assert budget.full() and list(s.begun(12, 0.0)) == [Reject(12)]


def test_a_drain_names_the_first_stream_that_it_does_not_take() -> None:
    s = streams()
    ask(s, 4)
    assert s.drain() == 8 == s.drain()
    assert [type(a) for a in ask(s, 0)] == [Take], "begun before, and overtaken"
    assert [type(a) for a in ask(s, 8)] == [Reject]
    assert streams().drain() == 0


def test_health_is_asked_for_on_any_stream() -> None:
    fields = [(k, b"/_health" if k == b":path" else v) for k, v in head()]
    s = streams(confirmed=False)
    assert [*s.begun(0, 0.0), *s.head(0, fields), *s.end(0, 0.0)] == [Health(0)]


STEPS = ("ask", "head", "data", "end", "reset", "stop", "said", "complete", "sweep", "drain", "lost")


@given(st.lists(st.tuples(st.sampled_from(STEPS), st.integers(0, 5)), max_size=60), st.booleans())
def test_whatever_comes_each_request_is_handed_over_and_ends_once(steps: list[tuple[str, int]], early: bool) -> None:
    """Any order of events: one Take a stream, at most one end behind it, nothing unsafe early, and no bound leaks."""
    budget, now = Budget(4, 100_000), 0.0
    s = streams(3, budget, confirmed=not early)
    taken, ended = set[int](), set[int]()
    for what, number in steps:
        stream, now, done = 4 * number, now + 0.3, list[Action]()
        match what:
            case "ask":
                done = ask(s, stream, "alerta" if number % 2 else "consulta", now)
            case "head":
                done = [*s.begun(stream, now), *s.head(stream, head("alerta"))]
            case "data":
                done = list(s.data(stream, b"x" * 30_000))
            case "end":
                done = list(s.end(stream, now))
            case "reset" | "stop":
                done = list(getattr(s, what)(stream))
            case "said" if s.said(stream):
                assert stream in taken and stream not in ended
                ended.add(stream)
            case "complete" | "lost":
                done = list(getattr(s, what)())
            case "sweep":
                done = list(s.sweep(now))
            case "drain":
                s.drain()
        for action in done:
            if isinstance(action, Take):
                assert action.stream not in taken
                assert s.confirmed or action.asked.kind.repeat is Repeat.SAFE
                taken.add(action.stream)
            elif isinstance(action, Gone):
                assert action.stream in taken and action.stream not in ended
                ended.add(action.stream)
            elif not isinstance(action, Health):
                assert action.stream not in taken
    ended |= {a.stream for a in s.lost() if isinstance(a, Gone)}
    assert ended == taken and (budget.streams, budget.bytes) == (0, 0)


def test_the_table_leaves_no_state_without_a_way_out() -> None:
    for state, what in product(State, What):
        assert NEXT.get((state, what), state) in (*State, None)
    for state in State:
        assert any(s is state and end is None for (s, _), end in NEXT.items())


# --------------------------------------------------------------------------------------------- fields of a head


@given(st.lists(st.tuples(st.binary(max_size=20), st.binary(max_size=40)), max_size=8))
def test_no_field_breaks_out_of_its_line(extra: list[Field]) -> None:
    """What goes on to a server over HTTP/1.1 is one line a field, whatever a client puts into it."""
    try:
        request = read_head([*head("alerta"), *extra])
    except BadRequest:
        return
    for name, value in request.passed:
        assert not set(name + value) & {0, 10, 13} and b":" not in name and b" " not in name


@pytest.mark.parametrize("authority", [b"", b"a,b", b"a b", b"a\r\nb"])
def test_an_authority_names_one_host(authority: bytes) -> None:
    with pytest.raises(BadRequest):
        read_head([(k, authority if k == b":authority" else v) for k, v in head()])


def test_a_body_must_be_as_long_as_was_said() -> None:
    request = read_head([*head("alerta"), (b"content-length", b"3")])
    request.body = b"abc"
    check_whole(request)
    request.body = b"ab"
    with pytest.raises(BadRequest):
        check_whole(request)


@given(st.lists(st.tuples(st.binary(min_size=1, max_size=300), st.binary(max_size=3000)), min_size=1, max_size=6))
def test_what_is_written_out_is_read_back(fields: list[Field]) -> None:
    decoder = Decoder(4096, 0)  # of another library; the one used here takes no byte above 0x7f that is not UTF-8
    assert list(decoder.feed_header(0, field_section(fields))[1]) == fields


def test_an_answer_says_nothing_of_its_servers_connection() -> None:
    fields = [(b"X-Told", b"yes"), (b"Connection", b"close"), (b"Transfer-Encoding", b"chunked"), (b"Keep-Alive", b"5")]
    assert answer_head(200, 3, fields) == [(b":status", b"200"), (b"content-length", b"3"), (b"x-told", b"yes")]


# --------------------------------------------------------------------------------------------------------- door


def test_past_a_part_of_the_handshakes_an_address_must_show_that_it_hears_us() -> None:
    door = Door(100, 40)
    assert door.initial(0, 0, validated=False) is Verdict.TAKE
    assert door.initial(50, int(BUSY_PART * 40), validated=False) is Verdict.RETRY
    assert door.initial(50, 39, validated=True) is Verdict.TAKE
    assert door.initial(50, 40, validated=True) is Verdict.DROP
    assert door.initial(100, 0, validated=True) is Verdict.DROP
    assert Door(100, 40, "always").initial(0, 0, validated=False) is Verdict.RETRY
    assert Door(100, 40, "never").initial(0, 39, validated=False) is Verdict.TAKE
    door.draining = True
    assert door.initial(0, 0, validated=True) is Verdict.DROP


def test_stateless_resets_are_few_a_second() -> None:
    door = Door(100, 40)
    assert sum(door.reset(0.0) for _ in range(1000)) == RESETS_PER_S
    assert sum(door.reset(0.001 * n) for n in range(2000)) <= 2 * RESETS_PER_S + 1


# --------------------------------------------------------------------------------------------------------- keys

OLD, NEW = b"o" * 32, b"n" * 32
TICKET = Ticket(0x1302, 1000.0, 2000.0, 0xFFFFFFFF, b"s" * 48)


def test_what_any_known_secret_sealed_is_opened_and_nothing_else() -> None:
    sealed = Keys([OLD]).seal(TICKET)
    assert Keys([NEW, OLD]).open(sealed) == TICKET and Keys([NEW]).open(sealed) is None
    assert sealed != Keys([OLD]).seal(TICKET), "two tickets of one client cannot be told to be of one"
    for at in range(len(sealed)):
        assert Keys([OLD]).open(sealed[:at] + bytes([sealed[at] ^ 1]) + sealed[at + 1 :]) is None
        assert Keys([OLD]).open(sealed[:at]) is None


@given(st.binary(max_size=200))
def test_noise_opens_nothing(noise: bytes) -> None:
    keys = Keys([OLD])
    assert keys.open(noise) is None and keys.asked_cid(noise, "10.0.0.1", b"own", 0.0) is None


def test_a_retry_token_is_good_for_its_address_its_connection_and_a_while() -> None:
    keys = Keys([NEW, OLD])
    token = Keys([OLD]).retry_token("10.0.0.1", b"asked", b"own", 100.0)
    assert keys.asked_cid(token, "10.0.0.1", b"own", 100.0 + RETRY_S) == b"asked"
    assert keys.asked_cid(token, "10.0.0.1", b"own", 101.0 + RETRY_S) is None
    assert keys.asked_cid(token, "10.0.0.1", b"own", 90.0) is None, "made in a time that has not come"
    assert keys.asked_cid(token, "10.0.0.2", b"own", 100.0) is None
    assert keys.asked_cid(token, "10.0.0.1", b"other", 100.0) is None
    for at in range(len(token)):
        changed = token[:at] + bytes([token[at] ^ 1]) + token[at + 1 :]
        assert keys.asked_cid(changed, "10.0.0.1", b"own", 100.0) is None


def test_keys_of_one_secret_differ_from_each_other_and_from_anothers() -> None:
    source = random.Random(1)
    made = [Keys([source.randbytes(32)]) for _ in range(20)]
    assert len({k.reset_token(b"cid") for k in made}) == 20
    assert made[0].reset_token(b"cid") != made[0].reset_token(b"cie")
    for wrong in ([], [b"short"], [OLD, b""]):
        with pytest.raises(ValueError, match="32 bytes"):
            Keys(wrong)


def test_a_request_that_is_turned_away_is_told_why_and_the_client_to_stop() -> None:
    s = streams()
    said = [*s.begun(0, 0.0), *s.head(0, [*head("alerta"), (b"connection", b"close")])]
    assert said == [Say(0, 400, "connection has no place here", more=True)]
    assert not [*s.data(0, b"x" * 100_000), *s.end(0, 0.0)] and s.budget.streams == 0
