"""Fleets of members that hold one another from the beginning, in simulated time: a cold start costs the square of the
members, and is measured by itself. Pure.

What members hold of one another is shared between them until it changes: a book of 6,600 takes some 1.2 MB beside the
shared part, in place of 8.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from cloverhold.fleet.membership.book import Book
from cloverhold.fleet.membership.core import Member
from cloverhold.fleet.membership.interface import Deliver
from cloverhold.fleet.wire.datagrams import Claim, Datagram, Kind, State
from cloverhold.simulation.members import Fleet, Process

WITHIN_MS = 250.0  # members begin spread over a period


def copied(book: Book, of: Book) -> None:
    """Let one book hold what another does. Entries and places in rings are never changed, only replaced."""
    book.entries, book.living, book.order = dict(of.entries), set(of.living), list(of.order)
    book.numbers, book.fallen, book.sum = list(of.numbers), set(of.fallen), of.sum
    book.rings.rings = [list(ring) for ring in of.rings.rings]
    book.changes, book.drawn = book.changes + 1, of.drawn


class Settled(Fleet):
    """A fleet whose members were taken in long ago."""

    def settle(self, numbers: Iterable[int]) -> None:
        """Begin with these members, each of which holds all of them."""
        held, found = Book(self.rules.watchers), list(numbers)
        lives = {number: self.chance.getrandbits(32) for number in found}
        for number in found:
            held.put(Claim(State.ALIVE, number, 1, lives[number]), self.now(), "settled")
        held.view()
        for number in found:
            self.timeline.after(self.chance.random() * WITHIN_MS, self._settled, number, lives[number], held)
        self.run(WITHIN_MS)

    def _settled(self, number: int, life: int, held: Book) -> None:
        """A member is welcomed by another, and holds at once what that would have told it."""
        now = self.now()
        member = self.make(number, self.peers, life, self.rules, Random(self.chance.getrandbits(64)), now)
        asked = next(action for action in member.turn(now) if isinstance(action, Deliver))
        by = held.entries[asked.to].claim if asked.to in held.entries else next(iter(held.entries.values())).claim
        member.hear(Datagram(Kind.WELCOME, by.number, 1, by.life, asked.datagram.nonce, items=(by,)), now)
        copied(member.book, held)
        member.rumours.clear()  # nobody has news
        process = self.running[number] = Process(member)
        self.born[number] = now
        self._loop(process, process.set)

    def restart(self, number: int) -> None:
        """Kill a process, and start the number's next at once: it knows nobody."""
        self.kill([number])
        self._start(number)


def books_alike(a: Member, b: Member) -> bool:
    """Whether two members hold the same, whatever way they came to it."""
    one, other = a.book, b.book
    return (
        {n: e.claim for n, e in one.entries.items()} == {n: e.claim for n, e in other.entries.items()}
        and (one.living, one.order, one.sum, one.fallen) == (other.living, other.order, other.sum, other.fallen)
        and one.rings.rings == other.rings.rings
    )
