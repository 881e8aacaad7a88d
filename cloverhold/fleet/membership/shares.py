"""How shares of servers follow the living, and what a worker goes by: its supervisor is the member. Pure."""

from __future__ import annotations

from dataclasses import replace

from cloverhold.decision.interface import Settings


def dealt(settings: Settings, living: tuple[int, ...] | None, me: int, workers: int = 1) -> Settings:
    """Settings of a node, or of one of its workers, with the living in place of the number of nodes that they state.

    living: numbers of nodes; None where there is no view to act on: the settings stay. me: the number that the view is
    of; settings of another number stay too. workers: at each node, those of node n being n * workers and on.
    """
    if living is None or settings.me is None or settings.me // workers != me:
        return settings
    each = tuple(n * workers + w for n in living for w in range(workers))
    return replace(settings, nodes=len(each), living=each, numbers=max(settings.nodes, each[-1] + 1))


class Heard:
    """A worker's view: the last word of its supervisor, and no older than `stale_ms`. A supervisor that was stopped is
    dead to the fleet, and what it said before is nothing to go by. Words carry their time, of the clock that all
    processes of a machine share and that counts sleep: one that lay unread meanwhile is as old as it is.
    """

    def __init__(self, workers: int, stale_ms: float) -> None:
        self.workers, self.stale_ms = workers, stale_ms
        self.me = 0
        self.living: tuple[int, ...] | None = None
        self.at = 0.0

    def hear(self, me: int, living: tuple[int, ...] | None, said: float, now: float) -> bool:
        """The supervisor's word, and when it was said, in ms; whether that changed anything."""
        before = self.me, self.living
        self.me, self.living, self.at = me, living if now - said < self.stale_ms else None, said
        return before != (self.me, self.living)

    def fade(self, now: float) -> bool:
        """Time has passed; whether the view is gone by that."""
        if self.living is None or now - self.at < self.stale_ms:
            return False
        self.living = None
        return True

    def overlaid(self, settings: Settings) -> Settings:
        """A worker's settings as the living members make them."""
        return dealt(settings, self.living, self.me, self.workers)
