"""What is to be passed on: bounded in number and in how often each is sent. Pure."""

from __future__ import annotations

from itertools import islice
from math import ceil, log2

from cloverhold.fleet.wire.datagrams import ROOM, Claim, Item, Vote, size

MOST_ITEMS = 16  # more do not fit into a datagram
MULTIPLE = 3  # of log2 of the members: how often a rumour is sent

Key = tuple[int, ...]


class Rumours:
    """One rumour a number and kind: a later one of the same takes its place. They lie by how often they were sent, so
    that a datagram's load costs the same however many there are.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.sent: dict[Key, int] = {}  # by what it is of: how often it was sent
        self.lots: list[dict[Key, tuple[Item, float]]] = [{}]  # by that: it, and since when; the longest there first

    def add(self, item: Claim | Vote, now: float) -> None:
        """Pass this on from now on."""
        key = (item.number,) if isinstance(item, Claim) else (item.watcher, item.subject)
        self._drop(key)
        if len(self.sent) >= self.most:  # the one that went out most often gives way
            self._drop(next(iter(next(lot for lot in reversed(self.lots) if lot))))
        self.sent[key] = 0
        self.lots[0][key] = item, now

    def _drop(self, key: Key) -> None:
        sent = self.sent.pop(key, None)
        if sent is not None:
            del self.lots[sent][key]

    def take(self, members: int, form: int, now: float, life_ms: float) -> tuple[Item, ...]:
        """Rumours for one datagram, those sent least often first; none that is older than `life_ms`."""
        room = ROOM
        taken: list[tuple[Key, Item, float]] = []
        if not self.sent:
            return ()
        for lot in self.lots:
            for key, (item, since) in list(islice(lot.items(), MOST_ITEMS)):
                need = size(item, form)
                if now - since > life_ms:
                    self._drop(key)
                elif need <= room and len(taken) < MOST_ITEMS:
                    room -= need
                    taken.append((key, item, since))
            if len(taken) == MOST_ITEMS:
                break
        bound = MULTIPLE * ceil(log2(members + 2))
        for key, item, since in taken:
            sent = self.sent[key] + 1
            self._drop(key)
            if sent < bound:
                if sent == len(self.lots):
                    self.lots.append({})
                self.sent[key] = sent
                self.lots[sent][key] = item, since
        return tuple(item for _, item, _ in taken)

    def fresh(self) -> bool:
        """Whether something was never sent."""
        return bool(self.lots[0])

    def clear(self) -> None:
        self.sent.clear()
        self.lots = [{}]
