"""What single words do to the cores, and what a scope makes of its entries."""

from __future__ import annotations

import time
from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhold.fleet.distribution import follower as followers
from cloverhold.fleet.distribution import scope as scopes
from cloverhold.fleet.distribution import source as sources
from cloverhold.fleet.distribution import writer as writers
from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.interface import (
    Action, Ask, Behind, Down, Downward, Drop, Entries, Entry, Forget, Got, Leave, Mark, Note, Outrun,
    Persist, Refusal, Refused, Switch, Taken, Told, Unknown, Up, Upward,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import EMPTY, Scope, digest_of
from cloverhold.fleet.distribution.source import Source, parted
from cloverhold.fleet.distribution.writer import Relay, Writer


def made(number: int, content: Mapping[str, bytes], epoch: int = 1) -> Scope:
    """A scope all of whose keys were set by the last change."""
    upto = Mark(epoch, number, digest_of(content))
    scope = Scope.of(upto, 0, [Entry(key, number, value) for key, value in content.items()])
    assert scope is not None
    return scope


def following(scope: Scope, number: int, values: Mapping[str, bytes | None], epoch: int | None = None) -> Scope:
    content = {k: v for k, v in {**scope.content, **values}.items() if v is not None}
    upto = Mark(epoch or scope.mark.epoch, number, digest_of(content))
    after = scope.after(upto, [Entry(key, number, value) for key, value in values.items()])
    assert after is not None
    return after


def kinds(actions: list[Action]) -> list[str]:
    return [a.count if isinstance(a, Note) else type(getattr(a, "message", a)).__name__ for a in actions]


def change(a: Scope, b: Scope, **changes: object) -> Told:
    entries = b.since(a.mark)
    assert entries is not None
    words = {"base": a.mark, "upto": b.mark, "floor": 0, "part": 0, "parts": 1, "entries": entries, **changes}
    return Told("s", **words)  # type: ignore[arg-type]


# -------------------------------------------------------------------------------------------------------- a scope


values = st.one_of(st.none(), st.binary(max_size=3))
changes = st.lists(st.dictionaries(st.sampled_from("abcdef"), values, min_size=1, max_size=3), max_size=12)


@settings(max_examples=200, deadline=None)
@given(changes, st.integers(0, 12), st.integers(0, 4))
def test_a_change_from_any_kept_past_leads_to_the_same_as_the_whole(
    steps: list[dict[str, bytes | None]], start: int, kept: int
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(scopes, "MOST_DELETED", kept)
        past = [Scope.begun(1)]
        for number, step in enumerate(steps, 1):
            past.append(following(past[-1], number, step))
        first, last = past[min(start, len(past) - 1)], past[-1]
        whole = Scope.of(last.mark, last.floor, last.whole())
        assert whole is not None and whole.content == last.content and whole.numbers == last.numbers
        entries = last.since(first.mark)
        if entries is None:
            assert first.mark.number < last.floor and any(None in step.values() for step in steps)
        else:
            after = first.after(last.mark, entries)
            assert after is not None and after.content == last.content
        assert len(last.deleted) <= max(1, kept)
        assert last.changed(first) == {
            key: last.content.get(key) for key in first.content | last.content
            if first.content.get(key) != last.content.get(key)
        }  # fmt: skip


def test_a_digest_is_of_what_is_there_and_not_of_how_it_came() -> None:
    assert digest_of({}) == EMPTY
    assert digest_of({"a": b"1", "b": b"2"}) == digest_of({"b": b"2", "a": b"1"})
    different = [{"a": b"1"}, {"a": b"2"}, {"b": b"1"}, {"a1": b""}, {"a": b""}, {"a": b"1", "b": b""}]
    assert len({digest_of(content) for content in different}) == len(different)
    scope = made(1, {"a": b"1"})
    assert scope.after(Mark(1, 2, EMPTY), [Entry("b", 2, b"x")]) is None
    assert scope.content == {"a": b"1"}


# ---------------------------------------------------------------------------------------------------- a subscriber


def test_nothing_is_acknowledged_or_in_force_before_it_is_durable() -> None:
    one = Follower({})
    assert one.follow(["s"]) == [Up(Ask("s", None))]
    scope = made(1, {"a": b"1"})
    told = Told("s", None, scope.mark, 0, 0, 1, scope.whole())
    assert one.hear(told, 0) == [Persist("s", None, scope.mark, 0, scope.whole())]
    assert one.held("s") is None
    assert one.stored("s", Mark(9, 9, EMPTY), True, 0) == []
    assert one.stored("s", scope.mark, True, 0) == [Switch("s", scope.mark, {"a": b"1"}), Up(Taken("s", scope.mark))]
    held = one.held("s")
    assert held is not None and held.content == {"a": b"1"}


def test_a_write_that_fails_leaves_what_was_and_is_tried_again() -> None:
    first = made(1, {"a": b"1"})
    one = Follower({"s": first})
    second = following(first, 2, {"a": b"2"})
    one.hear(change(first, second), 0)
    assert kinds(one.stored("s", second.mark, False, 0)) == ["not stored", "Refused"]
    assert one.held("s") is first
    assert one.turn(followers.AGAIN_MS - 1) == []
    assert one.turn(followers.AGAIN_MS) == [Up(Ask("s", first.mark))]
    assert one.turn(10 * followers.AGAIN_MS) == []


def test_a_change_of_another_base_is_not_applied_and_a_wrong_one_is_told_by_its_digest() -> None:
    first = made(1, {"a": b"1"})
    second, other = following(first, 2, {"a": b"2"}), following(first, 2, {"b": b"9"})
    third = following(second, 3, {"a": b"3"})
    one = Follower({"s": first})
    assert kinds(one.hear(change(second, third), 0)) == ["another base", "Ask"]
    actions = one.hear(change(first, second, upto=other.mark), 0)
    assert kinds(actions) == ["wrong digest", "Ask"] and actions[1] == Up(Ask("s", first.mark, whole=True))
    torn = Told("s", None, third.mark, 0, 0, 1, third.whole()[:-1])
    assert kinds(one.hear(torn, 0)) == ["wrong digest", "Refused"]
    assert one.held("s") is first and one.turn(followers.AGAIN_MS) == [Up(Ask("s", first.mark))]


def test_a_lower_version_and_the_same_with_other_content_are_not_taken() -> None:
    scope = made(5, {"a": b"1"}, epoch=2)
    one = Follower({"s": scope})
    for lower in (made(4, {"b": b""}, epoch=2), made(9, {"b": b""}, epoch=1), made(5, {"b": b""}, epoch=2)):
        actions = one.hear(Told("s", None, lower.mark, 0, 0, 1, lower.whole()), 0)
        assert kinds(actions) == ["older", "Ask"] and one.held("s") is scope


def test_half_a_change_is_dropped_with_its_connection_and_parts_of_two_words_do_not_mix() -> None:
    first = made(1, {"a": b"1"})
    second = following(first, 2, {"b": b"2", "c": b"3"})
    third = following(second, 3, {"b": b"4", "c": b"5"})
    half, rest = (change(first, second, part=n, parts=2, entries=second.since(first.mark)[n : n + 1]) for n in (0, 1))  # type: ignore[index]
    one = Follower({"s": first})
    assert one.hear(half, 0) == [Up(Got("s", second.mark, 0))]
    assert one.joined() == [Up(Ask("s", first.mark))]
    assert kinds(one.hear(rest, 0)) == ["out of order", "Ask"]
    one.hear(half, 0)
    other = change(first, third, part=1, parts=2, entries=third.since(first.mark)[1:])  # type: ignore[index]
    assert kinds(one.hear(other, 0)) == ["out of order", "Ask"]
    one.hear(half, 0)
    assert kinds(one.hear(rest, 0)) == ["Persist"]


def test_what_is_refused_stays_out_and_what_is_held_waits_for_its_mark_to_be_confirmed() -> None:
    first = made(1, {"a": b"1"})
    second, third = following(first, 2, {"a": None}), following(first, 3, {"a": b"bad"})

    class Checks:
        def part(self, scope: str, entries: Entries, first: bool) -> None:
            pass

        def __call__(self, scope: str, before: Mapping[str, bytes], after: Mapping[str, bytes]) -> Refusal | None:
            if after.get("a") == b"bad":
                return Refusal("a: is bad")
            return Refusal("takes away 1 of 1", held=True) if not after else None

    one = Follower({"s": first}, Checks())
    assert one.hear(change(first, third), 0)[1] == Up(Refused("s", third.mark, "a: is bad"))
    one.confirm("s", third.mark)  # what is wrong is not confirmed
    assert kinds(one.hear(change(first, third), 0)) == ["refused", "Refused"]
    assert kinds(one.hear(change(first, second), 0)) == ["held", "Refused"]
    assert one.confirm("s", second.mark) == [Up(Ask("s", first.mark))]
    assert kinds(one.hear(change(first, second), 0)) == ["Persist"]
    assert one.confirm("other", second.mark) == []


def test_a_scope_that_is_unknown_is_asked_for_again_and_one_that_is_left_is_forgotten() -> None:
    one = Follower({})
    one.follow(["s", "t"])
    assert one.hear(Unknown("s", 5000.0), 100) == []
    assert one.turn(5099) == [] and one.turn(5100) == [Up(Ask("s", None))]
    assert one.follow(["t"]) == [Up(Leave("s")), Forget("s")]
    scope = made(1, {})
    assert one.hear(Told("s", None, scope.mark, 0, 0, 1, ()), 0) == []
    assert kinds(one.hear(Behind("t", scope.mark), 0)) == ["source behind"]


def test_a_word_without_an_end_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(followers, "MOST_ENTRIES", 100)
    one = Follower({})
    one.follow(["s"])
    mark = Mark(1, 1, EMPTY)
    answers: list[Action] = []
    for part in range(200):
        entries = tuple(Entry(f"{part}-{n}", 1, b"") for n in range(10))
        answers = one.hear(Told("s", None, mark, 0, part, 10_000, entries), 0)
        if kinds(answers) != ["Got"]:
            break
    assert kinds(answers) == ["too large", "Refused"] and part == 10


# ---------------------------------------------------------------------------------------------------------- a source


class Served:
    """A source with one scope that can be changed."""

    def __init__(self, scope: Scope | None, part_bytes: int = sources.PART_BYTES) -> None:
        self.scope = scope
        self.source = Source(lambda name: self.scope if name == "s" else None, part_bytes)
        self.source.joined(1)

    def said(self, message: Upward, session: int = 1, now: float = 0.0) -> list[Downward]:
        return [a.message for a in self.source.hear(session, message, now) if isinstance(a, Down)]

    def now_is(self, scope: Scope) -> list[Downward]:
        self.scope = scope
        return [a.message for a in self.source.changed("s", 0.0) if isinstance(a, Down)]


def test_a_source_tells_the_least_that_leads_on() -> None:
    first = made(1, {f"k{n}": b"0" for n in range(50)})
    second = following(first, 2, {"k7": b"1", "k8": None})
    served = Served(second)
    (told,) = served.said(Ask("s", first.mark))
    assert isinstance(told, Told) and told.base == first.mark
    assert {(e.key, e.value) for e in told.entries} == {("k7", b"1"), ("k8", None)}
    assert served.said(Ask("s", second.mark)) == []
    (told,) = served.said(Ask("s", None))
    assert isinstance(told, Told) and told.base is None and len(told.entries) == 50
    (told,) = served.said(Ask("s", first.mark, whole=True))
    assert isinstance(told, Told) and told.base is None


def test_a_key_that_changes_a_hundred_times_is_sent_twice_to_who_is_slow() -> None:
    scope = made(1, {"a": b"0"})
    served = Served(scope)
    served.said(Ask("s", scope.mark))
    words = []
    for number in range(2, 102):
        scope = following(scope, number, {"a": b"%d" % number})
        words += served.now_is(scope)
    assert len(words) == 1 and isinstance(words[0], Told)
    (last,) = served.said(Taken("s", words[0].upto))
    assert isinstance(last, Told) and last.upto == scope.mark and len(last.entries) == 1
    assert served.said(Taken("s", last.upto)) == []


def test_what_was_refused_is_not_told_again_and_the_next_is() -> None:
    scope = made(1, {"a": b"0"})
    served = Served(scope)
    served.said(Ask("s", scope.mark))
    (bad,) = served.now_is(following(scope, 2, {"a": b"bad"}))
    assert isinstance(bad, Told) and served.said(Refused("s", bad.upto, "bad")) == []
    assert served.source.changed("s", 0) == []
    (good,) = served.now_is(following(scope, 3, {"a": b"good"}))
    assert isinstance(good, Told) and good.base == scope.mark


def test_a_source_that_is_behind_says_so_and_passes_the_mark_up() -> None:
    own = made(5, {"a": b"0"}, epoch=2)
    served = Served(own)
    for mark in (made(6, {}, epoch=2).mark, made(1, {}, epoch=3).mark, made(5, {"b": b""}, epoch=2).mark):
        assert served.source.hear(1, Ask("s", mark), 0) == [Down(1, Behind("s", own.mark)), Outrun("s", mark)]
    assert served.said(Ask("t", None)) == [Unknown("t", sources.UNKNOWN_MS)]
    served.scope = None
    assert Outrun("s", own.mark) in served.source.hear(1, Ask("s", own.mark), 0)


def test_parts_go_one_by_one_and_who_lets_one_lie_is_dropped() -> None:
    scope = made(1, {f"key-{n:03}": b"x" * 20 for n in range(40)})
    served = Served(scope, part_bytes=200)
    (told,) = served.said(Ask("s", None))
    taken = 0
    while isinstance(told, Told) and told.part + 1 < told.parts:
        taken += len(told.entries)
        assert served.said(Got("s", scope.mark, told.part + 1)) == []  # not this one
        (told,) = served.said(Got("s", scope.mark, told.part), now=5_000)
    assert isinstance(told, Told) and taken + len(told.entries) == 40 and told.parts > 5
    assert served.source.turn(5_000 + sources.PATIENCE_MS) == []
    assert served.source.turn(5_001 + sources.PATIENCE_MS) == [Drop(1)]
    served.source.left(1)
    assert served.source.turn(1e9) == [] and served.source.changed("s", 0) == [] and served.said(Ask("s", None)) == []


def test_others_feel_nothing_of_one_that_takes_nothing() -> None:
    scope = made(1, {"a": b"0"})
    served = Served(scope)
    served.source.joined(2)
    for session in (1, 2):
        served.said(Ask("s", scope.mark), session)
    for number in range(2, 30):
        scope = following(scope, number, {"a": b"%d" % number})
        served.scope = scope
        words = [a for a in served.source.changed("s", 0.0) if isinstance(a, Down)]
        assert [word.session for word in words] == ([1, 2] if number == 2 else [2])
        served.said(Taken("s", scope.mark), 2)


def test_a_subscriber_follows_so_many_scopes_at_most(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(sources, "MOST_SCOPES", 3)
    source = Source(lambda name: None)
    source.joined(1)
    for n in range(5):
        actions = source.hear(1, Ask(f"s{n}", None), 0)
        assert kinds(actions) == (["Unknown"] if n < 3 else ["Unknown", "too many or too long"])
    source.hear(1, Leave("s0"), 0)
    assert kinds(source.hear(1, Ask("s9", None), 0)) == ["Unknown"]
    source.hear(1, Leave("s9"), 0)
    assert kinds(source.hear(1, Ask("x" * 301, None), 0)) == ["Unknown", "too many or too long"]


def test_a_relay_follows_what_it_is_asked_for_and_forgets_what_means_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(writers, "MOST_SCOPES", 3)
    relay = Relay({"s": made(1, {})})
    relay.source.joined(1)
    for n in range(4):
        said = kinds(relay.hear(1, Ask(f"s{n}", None), 0))
        assert said == (["Ask", "Unknown"] if n < 2 else ["Unknown"])
    assert kinds(relay.hear(1, Ask("x" * 301, None), 0)) == ["Unknown", "too many or too long"]
    assert kinds(relay.turn(0)) == []
    relay.source.left(1)
    assert kinds(relay.turn(0)) == ["Leave", "Forget"] * 2 and set(relay.follower.names()) == {"s"}


def test_a_writer_declines_what_its_check_refuses_and_writes_what_nodes_would_hold() -> None:
    class Checks:
        def part(self, scope: str, entries: Entries, first: bool) -> None:
            pass

        def __call__(self, scope: str, before: Mapping[str, bytes], after: Mapping[str, bytes]) -> Refusal | None:
            return Refusal("a: is bad", held=after["a"] == b"held") if after.get("a") in (b"bad", b"held") else None

    writer = Writer({}, 1, Checks())
    first = writer.change("s", {"a": b"1"}, 1)
    writer.change("s", {"a": b"bad"}, 2)
    writer.change("s", {"a": b"held"}, 3)
    said = [a for a in done(writer, first) if not isinstance(a, Switch)]
    assert [getattr(a, "ticket", 0) for a in said] == [1, 2, 3] and kinds(said) == ["Accepted", "Declined", "Accepted"]
    assert kinds(writer.change("x" * 301, {}, 4)) == ["Declined"]


def test_so_many_words_are_open_to_one_subscriber_and_all_scopes_have_their_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sources, "MOST_OPEN", 4)
    held = {f"s{n}": made(1, {"a": b"%d" % n}) for n in range(20)}
    source = Source(held.get)
    source.joined(1)
    opened = [a for n in range(20) for a in source.hear(1, Ask(f"s{n}", None), 0)]
    taken: list[str] = []
    source.hear(1, Leave("s19"), 0)
    while opened:
        assert len(opened) <= 4
        action = opened.pop(0)
        assert isinstance(action, Down) and isinstance(action.message, Told)
        taken.append(action.message.scope)
        if taken[-1] == "s3":
            held["s0"] = following(held["s0"], 2, {"a": b"more"})  # behind those that wait
            opened += source.changed("s0", 0)
        opened += source.hear(1, Taken(action.message.scope, action.message.upto), 0)
    assert sorted(taken) == sorted([*(f"s{n}" for n in range(19)), "s0"]) and len(taken) == 20


def test_parts_hold_all_entries_in_order() -> None:
    entries = tuple(Entry(f"{n}", n, b"x" * (n % 7 * 100)) for n in range(60))
    parts = list(parted(entries, 500))
    assert tuple(e for part in parts for e in part) == entries and all(parts)
    assert list(parted((), 500)) == [()]
    assert len(list(parted((Entry("a", 1, b"x" * 9999), Entry("b", 1, b"")), 500))) == 2


# ------------------------------------------------------------------------------------------------- a writer, a relay


def done(writer: Writer, actions: list[Action], ok: bool = True) -> list[Action]:
    """What comes of it, with all that is to be written written."""
    out: list[Action] = []
    while actions:
        action, *actions = actions
        if isinstance(action, Persist):
            actions = writer.stored(action.scope, action.upto, ok, 0) + actions
        else:
            out.append(action)
    return out


def test_changes_are_written_one_after_the_other_and_each_is_answered_once() -> None:
    writer = Writer({}, 1)
    first = writer.change("s", {"a": b"1"}, 7)
    assert kinds(first) == ["Persist"] and writer.held("s") is None
    assert writer.change("s", {"a": b"2"}, 7) == [] and writer.change("s", {"a": b"2"}, 7) == []
    said = done(writer, first)
    assert kinds(said) == ["Accepted", "Switch", "Accepted", "Switch", "Accepted"]  # the last is so already
    held = writer.held("s")
    assert held is not None and held.mark.number == 2 and held.content == {"a": b"2"}


def test_a_disk_that_is_full_declines_what_waits_and_changes_nothing() -> None:
    writer = Writer({}, 1)
    first = writer.change("s", {"a": b"1"}, 7)
    writer.change("s", {"a": b"2"}, 7)
    assert kinds(done(writer, first, ok=False)) == ["Declined", "Declined"] and writer.held("s") is None
    assert kinds(done(writer, writer.change("s", {"a": b"3"}, 7))) == ["Accepted", "Switch"]


def test_an_empty_disk_does_not_empty_the_fleet() -> None:
    writer = Writer({}, 1)
    assert kinds(writer.outrun(Outrun("s", Mark(1, 9, EMPTY)))) == ["nothing held"]
    assert kinds(writer.change("s", {"a": b"1"}, 7)) == ["Declined"]
    assert kinds(writer.change("t", {"a": b"1"}, 7)) == ["Persist"]


def test_a_writer_that_was_set_back_writes_over_what_others_hold_once() -> None:
    writer = Writer({"s": made(3, {"a": b"3"})}, 2)
    found = Outrun("s", made(7, {"a": b"7"}, epoch=4).mark)
    assert kinds(done(writer, writer.outrun(found))) == ["written over", "Switch"]
    held = writer.held("s")
    assert held is not None and held.mark.version == (5, 8) and held.content == {"a": b"3"}
    assert writer.outrun(found) == [] and writer.outrun(Outrun("s", held.mark)) == []
    assert kinds(done(writer, writer.outrun(found := Outrun("s", made(9, {}, epoch=5).mark)), ok=False)) == [
        "written over"
    ]
    assert kinds(done(writer, writer.turn(0))) == ["Switch"]
    with pytest.raises(ValueError, match="epoch: "):
        Writer({"s": made(3, {}, epoch=2)}, 2)


def test_a_thousand_changes_wait_and_no_more(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(writers, "MOST_WAITING", 3)
    writer = Writer({}, 1)
    said = [kinds(writer.change("s", {"a": b"%d" % n}, 7)) for n in range(6)]
    assert said == [["Persist"], [], [], [], ["Declined"], ["Declined"]]


def test_a_relay_tells_on_what_is_durable_there_and_nothing_before() -> None:
    relay = Relay({})
    relay.follower.follow(["s"])
    relay.source.joined(1)
    relay.hear(1, Ask("s", None), 0)
    scope = made(1, {"a": b"1"})
    assert kinds(relay.heard(Told("s", None, scope.mark, 0, 0, 1, scope.whole()), 0)) == ["Persist"]
    assert kinds(relay.stored("s", scope.mark, True, 0)) == ["Switch", "Told", "Taken"]


def test_a_scope_of_ten_thousand_servers_changes_by_what_changed() -> None:
    """Bytes and the time of a change, not of the whole: a wide margin, as the machine is shared."""
    scope = made(1, {f"server/s{n}": b"x" * 70 for n in range(10_000)})
    after = following(scope, 2, {"server/s7": b"y"})
    entries = after.since(scope.mark)
    assert entries is not None and len(entries) == 1
    begun = time.process_time()
    scope.after(after.mark, entries)
    assert time.process_time() - begun < 0.5
