"""Scopes on a disk that is cut, full or set back at any step; and words on a connection."""

from __future__ import annotations

import errno
from collections.abc import Iterator
from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhold.fleet.distribution import durable as durables
from cloverhold.fleet.distribution.durable import Durable
from cloverhold.fleet.distribution.frames import (
    HEAD, MOST_FRAME, BadFrame, Reader, frame, source_words, subscriber_words,
)  # fmt: skip
from cloverhold.fleet.distribution.interface import (
    Ask, Beat, Behind, Entry, Got, Hello, Leave, Mark, Outrun, Persist, Refused, Taken, Told, Unknown,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import Scope, digest_of
from cloverhold.store.log import Log
from cloverhold.store.simulated import Cut, SimulatedDisk

IDENTITY = b"0123456789abcdef"


def history(seed: int, count: int) -> Iterator[tuple[Persist, Scope]]:
    """Changes of two scopes, some of them told whole, with what they lead to."""
    chance = Random(seed)
    held: dict[str, Scope] = {}
    for number in range(1, count + 1):
        name = chance.choice(["service/a", "service/b"])
        scope = held.get(name) or Scope.begun(1)
        values = {chance.choice("abcdef"): chance.choice([None, bytes([number])]) for _ in range(chance.randint(1, 3))}
        content = {k: v for k, v in {**scope.content, **values}.items() if v is not None}
        upto = Mark(1 + number // 20, number, digest_of(content))
        made = scope.after(upto, [Entry(key, number, value) for key, value in values.items()])
        assert made is not None
        whole = name not in held or chance.random() < 0.1
        entries = made.whole() if whole else made.since(scope.mark)
        assert entries is not None
        held[name] = made
        yield Persist(name, None if whole else scope.mark, upto, made.floor, entries), made


def contents(durable: Durable) -> dict[str, tuple[Mark, dict[str, bytes]]]:
    return {name: (scope.mark, scope.content) for name, scope in durable.scopes().items()}


@pytest.fixture(autouse=True)
def few_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(durables, "MOST_CHANGES", 4)


def test_what_was_written_is_there_again() -> None:
    disk = SimulatedDisk()
    durable, held = Durable(Log(disk, IDENTITY)), {}
    for persist, made in history(1, 60):
        durable.write(persist)
        held[persist.scope] = made.mark, made.content
        durable = Durable(Log(disk, IDENTITY))  # another life
        assert contents(durable) == held
    assert max(len(keys) for keys in durable._keys.values()) <= 4
    durable.forget("service/a")
    durable.forget("service/none")
    assert list(contents(Durable(Log(disk, IDENTITY)))) == ["service/b"]


@pytest.mark.parametrize("seed", range(6))
def test_a_cut_at_every_step_leaves_what_was_acknowledged_or_the_change_that_was_under_way(seed: int) -> None:
    """Each step of the disk in turn is the last one; and what a cut leaves of it is drawn."""
    reached = 0
    for last in range(1, 400):

        def before(number: int, what: str, last: int = last) -> None:
            if number >= last:
                raise Cut

        disk = SimulatedDisk(seed * 1000 + last, before)
        acknowledged: dict[str, tuple[Mark, dict[str, bytes]]] = {}
        under_way: dict[str, tuple[Mark, dict[str, bytes]]] = {}
        whole = False
        try:
            durable = Durable(Log(disk, IDENTITY, segment_bytes=600))
            for persist, made in history(seed, 25):
                under_way = {**acknowledged, persist.scope: (made.mark, made.content)}
                durable.write(persist)
                acknowledged = under_way
            whole = True
        except Cut:
            reached += 1
        disk.before = lambda number, what: None
        disk.cut()
        assert contents(Durable(Log(disk, IDENTITY, segment_bytes=600))) in (acknowledged, under_way)
        if whole:
            break
    assert reached > 60 and whole


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_write_that_fails_leaves_what_was_and_the_next_goes_on(error: int) -> None:
    fails = False

    def before(number: int, what: str) -> None:
        if fails and what.startswith(("append", "sync")):
            raise OSError(error, "no")

    disk = SimulatedDisk(3, before)
    durable = Durable(Log(disk, IDENTITY))
    steps = list(history(2, 12))
    for persist, _ in steps[:11]:
        durable.write(persist)
    held = contents(durable)
    fails = True
    persist, made = steps[11]
    for _ in range(2):
        with pytest.raises(OSError, match="no"):
            durable.write(persist)
        assert contents(durable) == held
    fails = False
    durable.write(persist)
    assert contents(Durable(Log(disk, IDENTITY)))[persist.scope] == (made.mark, made.content)


def test_a_scope_that_is_too_large_is_refused_before_anything_is_written(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(durables, "MOST_VALUE", 10)
    durable = Durable(Log(SimulatedDisk(), IDENTITY))
    (persist, _), *_ = history(1, 1)
    with pytest.raises(OSError, match="bytes, 10 are most"):
        durable.write(persist)
    assert durable.scopes() == {}


def test_epochs_rise_over_every_life() -> None:
    disk = SimulatedDisk()
    assert [Durable(Log(disk, IDENTITY)).next_epoch(0) for _ in range(3)] == [1, 2, 3]
    assert Durable(Log(disk, IDENTITY)).next_epoch(9) == 10


# ---------------------------------------------------------------------------------------------- words on connections


MARK = Mark(3, 1 << 40, bytes(range(16)))
UP = [Hello("f", "n1", 1), Beat(), Ask("s", None), Ask("s", MARK, True), Leave("s"), Got("s", MARK, 3),
      Taken("s", MARK), Refused("s", MARK, "why"), Outrun("s", MARK)]  # fmt: skip
DOWN = [Hello("f", "r1", 1), Beat(), Told("s", None, MARK, 4, 0, 1, (Entry("k", 4, b"v"), Entry("l", 5, None))),
        Told("s", MARK, MARK, 0, 1, 2, ()), Unknown("s", 5000.0), Behind("s", MARK)]  # fmt: skip


@pytest.mark.parametrize(("words", "reader"), [(UP, subscriber_words), (DOWN, source_words)])
@pytest.mark.parametrize("step", [1, 7, 1000])
def test_words_come_as_they_were_said_however_they_are_cut(words: list, reader: type[Reader], step: int) -> None:  # type: ignore[type-arg]
    data, one, heard = b"".join(map(frame, words)), reader(), []  # type: ignore[call-arg]
    for at in range(0, len(data), step):
        heard += list(one.feed(data[at : at + step]))
    assert heard == words


def test_each_turned_bit_is_found() -> None:
    data = bytearray(frame(DOWN[2]))
    for bit in range(8 * len(data)):
        data[bit // 8] ^= 1 << bit % 8
        try:
            assert list(source_words().feed(bytes(data))) == []  # it waits for more
        except BadFrame as error:
            assert "\n" not in str(error)
        data[bit // 8] ^= 1 << bit % 8


def packed(body: bytes) -> bytes:
    import google_crc32c

    return HEAD.pack(len(body), google_crc32c.value(body)) + body


@pytest.mark.parametrize(
    "body",
    [b"", b"\xc0", b"\x91" * 100_000 + b"\xc0", b"\x81" * 1000, msgspec.msgpack.encode(["Told"]),
     msgspec.msgpack.encode(["Nothing", 1]), msgspec.msgpack.encode(["Ask", "s", None]),
     msgspec.msgpack.encode(["Behind", "s", [1, 2]]), msgspec.msgpack.encode(["Behind", "s", [1, -1e300, b""]])],
)  # fmt: skip
def test_a_whole_frame_that_is_no_word_is_refused_in_one_line(body: bytes) -> None:
    with pytest.raises(BadFrame) as caught:
        list(source_words().feed(packed(body)))
    assert "\n" not in str(caught.value)


def test_a_frame_that_is_too_long_is_refused_by_its_head() -> None:
    reader = source_words()
    with pytest.raises(BadFrame):
        list(reader.feed(HEAD.pack(MOST_FRAME + 1, 0)))
    with pytest.raises(ValueError, match="are most"):
        frame(Refused("s", MARK, "x" * MOST_FRAME))


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=200))
def test_any_bytes_are_words_or_bad(data: bytes) -> None:
    for reader in (source_words(), subscriber_words()):
        try:
            list(reader.feed(packed(data)))
        except BadFrame as error:
            assert "\n" not in str(error)
