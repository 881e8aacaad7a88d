"""What is to be passed on: bounded in number and in how often each is sent. Pure."""

from __future__ import annotations

from heapq import nsmallest
from math import ceil, log2

from cloverhold.fleet.wire.datagrams import ROOM, Claim, Item, Vote, size

MOST_ITEMS = 16  # more do not fit into a datagram
MULTIPLE = 3  # of log2 of the members: how often a rumour is sent


class Rumours:
    """One rumour a number and kind: a later one of the same takes its place."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.held: dict[tuple[int, ...], tuple[Item, int, float]] = {}  # by what it is of: it, times sent, since when

    def add(self, item: Claim | Vote, now: float) -> None:
        """Pass this on from now on."""
        key = (item.number,) if isinstance(item, Claim) else (item.watcher, item.subject)
        self.held.pop(key, None)
        self.held[key] = (item, 0, now)
        if len(self.held) > self.most:
            del self.held[next(iter(self.held))]

    def take(self, members: int, form: int, now: float, life_ms: float) -> tuple[Item, ...]:
        """Rumours for one datagram, those sent least often first; none that is older than `life_ms`."""
        room = ROOM
        taken: list[Item] = []
        if not self.held:
            return ()
        bound = MULTIPLE * ceil(log2(members + 2))
        for key, (item, sent, since) in nsmallest(MOST_ITEMS, self.held.items(), key=lambda pair: pair[1][1]):
            need = size(item, form)
            if now - since > life_ms:
                del self.held[key]
            elif need <= room:
                room -= need
                taken.append(item)
                if sent + 1 >= bound:
                    del self.held[key]
                else:
                    self.held[key] = (item, sent + 1, since)
        return tuple(taken)

    def fresh(self) -> bool:
        """Whether something was never sent."""
        return any(sent == 0 for _, sent, _ in self.held.values())

    def clear(self) -> None:
        self.held.clear()
