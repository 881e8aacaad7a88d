"""Which nodes keep to which server, dealt out by what all of them know.

Without a detector no word between nodes is needed: the numbers of the settings are dealt. Where one tells who is alive
(`Settings.living`), a server's order of all numbers stays and the living take its places in turn, so that a death moves
one place in each server's order and no other.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from hashlib import blake2b
from typing import TYPE_CHECKING

from cloverhold.decision.interface import Settings

if TYPE_CHECKING:
    from cloverhold.decision.table import Table


def rank(server: str, settings: Settings) -> float:
    """A server's rank at a node, from 0 to 1: a node keeps to those of the lowest rank. The settings tell its number.

    Over all nodes a server's ranks lie evenly: each has another of as many steps, in an order of the server's own
    (n -> a * n + b modulo the nodes, a without a common factor). Ranks drawn by each node for itself left a server to
    12 nodes by chance where it is meant for 5, and another to none. As in deterministic subsetting (Site Reliability
    Engineering, 2016, chapter 20), but a server that comes or goes moves no other.
    """
    me, living = settings.me or 0, settings.living
    nodes = settings.numbers if living is not None else settings.nodes
    drawn = int.from_bytes(blake2b(server.encode(), digest_size=16).digest(), "big")
    drawn, part = divmod(drawn, 1 << 32)
    drawn, first = divmod(drawn, nodes)
    step = 1 + drawn % nodes
    while math.gcd(step, nodes) != 1:
        step += 1
    place = (step * me + first) % nodes
    if living is not None:
        place, nodes = sum((step * number + first) % nodes < place for number in living), len(living)
    return (place + part / (1 << 32)) / nodes


def redeal(table: Table, settings: Settings, rank_of: Callable[[str], float]) -> None:
    """Deal anew where other nodes live than before; before the table has the new settings. Rows stay as they are."""
    if settings.living == table.settings.living:
        return
    for name, server in table.servers.items():
        new, well = rank_of(name), server in table.prefix.well
        if server.ready and new != server.rank:
            table.prefix.remove(server.rank, server)
            table.prefix.add(new, server, well=well)
        server.rank = new
