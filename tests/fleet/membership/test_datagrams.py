"""The wire: what is written is read again; what was cut, turned or meant for others is dropped for a reason."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhold.fleet.wire.datagrams import (
    MOST_BYTES, BadDatagram, Claim, Datagram, Digest, Kind, State, Vote, decode, encode, fill, fleet_of,
)  # fmt: skip

FLEET = fleet_of("ours")
U16, U32 = st.integers(0, 0xFFFF), st.integers(0, 0xFFFFFFFF)
CLAIMS = st.builds(Claim, st.sampled_from(State), U16, U32, U32, U32, U16)
VOTES = st.builds(Vote, st.booleans(), st.booleans(), U16, U16, U32, U32, U16)
ITEMS = st.one_of(CLAIMS, VOTES, st.builds(Digest, U32, U16))
DATAGRAMS = st.builds(
    Datagram, st.sampled_from(Kind), U16, U32, U32, U32, st.booleans(), st.lists(ITEMS, max_size=9).map(tuple),
    over=U32,
)  # fmt: skip
ONE = Datagram(
    Kind.PING, 3, 7, 99, 5, True, (Claim(State.ALIVE, 3, 7, 99, 4, 258), Vote(False, True, 1, 2, 3, 4, 5), Digest(8, 9))
)


@given(DATAGRAMS)
def test_what_is_written_is_read(datagram: Datagram) -> None:
    assert decode(encode(datagram, FLEET), FLEET) == datagram


@given(DATAGRAMS)
def test_form_1_is_form_2_less_the_program(datagram: Datagram) -> None:
    items = tuple(replace(item, program=0) if isinstance(item, Claim) else item for item in datagram.items)
    old = replace(datagram, form=1, reads=1)
    assert decode(encode(old, FLEET), FLEET, newest=1) == replace(old, items=items)


def test_every_cut_and_every_turned_bit_is_dropped() -> None:
    whole = encode(ONE, FLEET)
    for at in range(len(whole)):
        with pytest.raises(BadDatagram):
            decode(whole[:at], FLEET)
        for bit in range(8):
            turned = bytearray(whole)
            turned[at] ^= 1 << bit
            with pytest.raises(BadDatagram):
                decode(bytes(turned), FLEET)


def test_reasons() -> None:
    for data, reason in (
        (encode(ONE, fleet_of("theirs")), "fleet"),
        (b"", "size"),
        (bytes(300), "size"),
        (bytes(64), "sum"),
    ):
        with pytest.raises(BadDatagram) as raised:
            decode(data, FLEET)
        assert raised.value.reason == reason
    with pytest.raises(BadDatagram, match="form"):
        decode(encode(ONE, FLEET), FLEET, newest=1)


@settings(max_examples=300)
@given(st.binary(max_size=300))
def test_bytes_of_strangers_never_do_more_than_be_dropped(data: bytes) -> None:
    with pytest.raises(BadDatagram):
        decode(data, FLEET)


@given(st.lists(ITEMS, max_size=60), st.sampled_from([1, 2]))
def test_filled_datagrams_hold_all_items_and_stay_in_bounds(items: list[Claim | Vote | Digest], form: int) -> None:
    parts = list(fill(items, form))
    assert [item for part in parts for item in part] == items
    for part in parts:
        assert len(encode(replace(ONE, items=part, form=form, reads=2), FLEET)) <= MOST_BYTES
