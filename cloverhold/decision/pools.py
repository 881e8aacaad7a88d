"""Which servers a request may go to, and what is kept of all requests that may go to the same ones.

Data only: it decides nothing. A `Lane` is what requests share that compete for the same servers; a `Pool` is a lane
that is confined to some of them, told with each request by whoever routes it. Pools are equal by identity, and what is
kept of one goes with it: nothing here grows with the names that clients send.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cloverhold.decision.waiting import Line

RETRY_BURST = 10.0  # most further attempts saved up in a lane


class Lane:
    """What requests share that may go to the same servers: so that one lane's trouble is no other's."""

    __slots__ = ("held", "jam_until", "lines", "retries", "servers")

    def __init__(self, servers: tuple[str, ...] | None = None) -> None:
        self.servers = servers  # None: all
        self.retries = RETRY_BURST  # further attempts that it may make now
        self.jam_until = -math.inf  # until then a place at a server counts as dear
        self.held = 0  # requests that wait
        self.lines: dict[str, Line] = {}  # of those, by class


class Pool(Lane):
    """A lane confined to some servers.

    servers: their names as the list has them, in any order; those that are not listed, or not ready, count as absent.
    """

    __slots__ = ("name",)

    def __init__(self, name: str, servers: tuple[str, ...]) -> None:
        super().__init__(servers)
        self.name = name

    def __repr__(self) -> str:
        return f"Pool({self.name!r}, {self.servers!r})"
