"""Waiting for what a disk has to say, and no longer than is set: the loop's side of a record."""

from __future__ import annotations

import asyncio
from cloverhold.store.sent import How, Told


class Patience:
    """Tells each who waits once: what became of the record, or "late" where nobody knows in time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, most_ms: float) -> None:
        """most_ms: how long anyone waits, in milliseconds."""
        self._loop, self._most_s = loop, most_ms / 1000
        self.late = 0  # that were told so and of which nothing is known yet

    def hangs(self) -> bool:
        """Whether waiting is of no use now: what was asked for before is not done in its time."""
        return self.late > 0

    def wait(self, told: Told) -> Told:
        """Begin to wait; to be called with how it ended, also when that is too late."""
        waiting = True

        def done(how: How) -> None:
            nonlocal waiting
            if not waiting:
                self.late -= 1
                return
            waiting = False
            timer.cancel()
            told(how)

        def late() -> None:
            nonlocal waiting
            waiting = False
            self.late += 1
            told("late")

        timer = self._loop.call_later(self._most_s, late)
        return done
