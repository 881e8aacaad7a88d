"""What a member does at each turn costs no walk over all members; what it draws is what a walk would have drawn."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Any

from cloverhold.fleet.membership.book import Book
from cloverhold.fleet.wire.datagrams import Claim, State
from cloverhold.simulation.members import Fleet


def book_of(living: list[int], fallen: list[int]) -> Book:
    book = Book(3)
    for number in (*living, *fallen):
        book.put(Claim(State.ALIVE, number, 1, 7), 0.0, "")
    for number in fallen:
        book.put(Claim(State.DEAD, number, 1, 7), 1000.0 * number, "")
    return book


def test_what_is_drawn_is_what_a_walk_over_all_would_have_drawn() -> None:
    for seed in range(200):
        drawn_as_by_a_walk(seed)


def drawn_as_by_a_walk(seed: int) -> None:
    draw = Random(seed)
    peers = draw.randrange(1, 40)
    numbers = draw.sample(range(peers + 5), draw.randrange(1, peers + 5))  # some above, as after a smaller file
    cut = draw.randrange(len(numbers) + 1)
    living, fallen, me = numbers[:cut], numbers[cut:], draw.randrange(peers)
    book = book_of(living, fallen)
    others = sorted(set(living) - {me})
    assert book.order == sorted(living) == list(book.view()) and book.others(me) == len(others)
    for count in (1, 3):
        held = book.some(Random(seed), count, me)
        assert held == Random(seed).sample(others, min(count, len(others)))
    away = [number for number in range(peers) if number not in living and number != me]
    assert book.away(Random(seed), me, peers) == (Random(seed).choice(away) if away else None)
    assert [claim.number for claim in book.part(len(numbers))] == list(book.entries)
    book.forget(1000.0 * peers / 2 + 500, 500.0)
    assert {n for n in fallen if 1000.0 * n >= 1000.0 * peers / 2} == set(book.entries) - set(living)
    assert book.numbers == list(book.entries) and book.fallen == set(book.entries) - set(living)


class Unwalked(set[int]):
    """The living, asked for single ones only."""

    def __iter__(self) -> Iterator[int]:
        raise AssertionError("a walk over the living")

    def __sub__(self, other: Any) -> set[int]:
        raise AssertionError("a walk over the living")


class UnwalkedEntries(dict[int, Any]):
    """The entries, likewise."""

    def __iter__(self) -> Iterator[int]:
        raise AssertionError("a walk over the entries")

    def items(self) -> Any:
        raise AssertionError("a walk over the entries")


def test_a_fleet_at_rest_walks_over_nothing() -> None:
    """Pings, rumours, digests, healing with one away, forgetting, views: for 5 s, after one has died."""
    fleet = Fleet(12, 1)
    fleet.start(range(12))
    fleet.run(4000)
    fleet.kill([5])
    fleet.run(4000)
    up = tuple(fleet.up())
    assert all(fleet.view(number) == up for number in up) and len(up) == 11
    for number in up:
        book = fleet.running[number].member.book
        book.living, book.entries = Unwalked(book.living), UnwalkedEntries(book.entries)
    before = sum(fleet.sent.values())
    fleet.run(5000)
    assert all(fleet.view(number) is fleet.view(number) for number in up), "drawn once, until somebody comes or goes"
    assert sum(fleet.sent.values()) - before > 11 * 5 * 20
