"""What the parts of a rehearsal share: one clock, one ledger, the ids that were given out."""

from __future__ import annotations

import asyncio
import time
from dataclasses import fields
from random import Random

from cloverhold.rehearsal.ledger import Ledger
from cloverhold.rehearsal.plan import Plan
from cloverhold.rehearsal.scenario import Scenario
from cloverhold.rehearsal.wire import Known


class World:
    """The clock starts with the load; before that its times are negative."""

    def __init__(self, scenario: Scenario, plan: Plan) -> None:
        self.scenario, self.plan = scenario, plan
        self.ledger = Ledger(scenario.name, scenario.seed)
        self.known: dict[str, Known] = {}  # by id
        self.seen: set[str] = set()  # ids that have reached a server
        self.loop = asyncio.get_running_loop()
        self._began = time.monotonic()
        self._unix = time.time() - time.monotonic()

    def begin(self, in_s: float) -> None:
        """Let the load start in so many seconds; rows that are there already are moved with the clock."""
        shift = self.now() + in_s
        self._began += shift
        for row in self.ledger.rows:
            for cell in fields(row):
                value = getattr(row, cell.name)
                if cell.name.endswith("_s") and isinstance(value, float):
                    setattr(row, cell.name, value - shift)

    def now(self) -> float:
        """Seconds since the start of the load. Not the loop's time, which stands still within a turn."""
        return time.monotonic() - self._began

    async def until(self, at_s: float) -> None:
        """Sleep until this time; not at all where it has passed."""
        wait = at_s - self.now()
        if wait > 0:
            await asyncio.sleep(wait)

    def unix_s(self, at_s: float) -> float:
        """The same moment as Unix time."""
        return at_s + self._began + self._unix

    def source(self, *names: object) -> Random:
        """A source of random numbers of its own for this purpose, from the scenario's seed."""
        return Random(":".join(str(n) for n in (self.scenario.seed, "world", *names)))
