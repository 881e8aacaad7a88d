"""Whom a newcomer asks, and until when. Pure."""

from __future__ import annotations

from random import Random

ASK_MS, ASKED = 250.0, 8  # so many are asked each time, until one answers
AGAIN_MS = 2000.0  # a replaced process asks one so often whether its number is free


class Joining:
    """Asks all numbers in turn, in an order of its own: through any one that lives it gets in."""

    def __init__(self, number: int, peers: int, give_up_ms: float, chance: Random, now: float) -> None:
        self.me, self.peers, self.give_up_ms, self.chance = number, peers, give_up_ms, chance
        self.order: list[int] = []
        self.out: dict[int, float] = {}  # nonces of joins, and when each was sent
        self.begin(now)

    def begin(self, now: float) -> None:
        """Ask anew: an answer to what was asked before counts no longer."""
        self.since, self.next = now, now
        self.order.clear()
        self.out.clear()

    def given_up(self, now: float) -> bool:
        """Whether nobody has answered for long enough."""
        return now - self.since >= self.give_up_ms

    def half(self, now: float) -> bool:
        """Whether half of that time has passed."""
        return now - self.since >= self.give_up_ms / 2

    def ask(self, now: float) -> list[int]:
        """Whom to ask now."""
        if now < self.next:
            return []
        self.next = now + ASK_MS
        return [number for _ in range(min(ASKED, self.peers - 1)) if (number := self.one()) != self.me]

    def ask_again(self, now: float) -> bool:
        """Whether a replaced process asks now."""
        if now < self.next:
            return False
        self.next = now + AGAIN_MS
        return self.peers > 1

    def asking(self, nonce: int, now: float) -> None:
        """A join was sent."""
        self.out = {n: at for n, at in self.out.items() if now - at <= AGAIN_MS}
        self.out[nonce] = now

    def asked(self, nonce: int, now: float) -> bool:
        """Whether an answer is to a join of this node, and not too old."""
        sent = self.out.get(nonce)
        return sent is not None and now - sent <= AGAIN_MS

    def one(self) -> int:
        """The next in turn."""
        if not self.order:
            self.order = [number for number in range(self.peers) if number != self.me]
            self.chance.shuffle(self.order)
        return self.order.pop() if self.order else self.me
