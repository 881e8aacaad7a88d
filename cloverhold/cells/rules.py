"""The rules that cells are kept by, and what the core says to its host: types only. Times are ms."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Union

from cloverhold.cells.moves import Place
from cloverhold.cells.ward import Terms


class By(Enum):
    """What a request's cell goes by."""

    TENANT = "tenant"
    SID = "sid"
    CLASS = "class"
    TENANT_CLASS = "tenant-class"  # each class of each tenant by itself


class Down(Enum):
    """What becomes of a key whose cell is down."""

    REFUSE = "refuse"  # it stays in its cell: refused, or answered by what comes back
    SPILL = "spill"  # a bounded part goes to the key's second draw


@dataclass(frozen=True, slots=True)
class Rules:
    """How cells are drawn, kept and left. Counts are of servers where nothing else is said."""

    nodes: int = 1  # that share the servers
    by: By = By.TENANT
    servers: int = 4  # of a cell of the key's own
    fixed: tuple[str, ...] = ()  # names of fixed cells: then each key is in one of these, and none has its own
    sizes: Mapping[str, int] = field(default_factory=dict)  # of single keys' cells
    floor: float = 0.75  # part of its servers' usual capacity that a cell holds at least, cold ones at what they do
    extra: int = 2  # most servers taken in beside to hold the floor
    linger_ms: float = 60_000.0  # a server that went keeps its place in cells for so long
    known: frozenset[str] = frozenset()  # keys that are no newcomers
    newcomers: int = 3  # of the cell that new keys share; 0: they get their own at once
    newcomer_answers: int = 50  # good answers after which a key is new no more
    down: Down = Down.REFUSE
    spill_per_s: float = 5.0  # of one key, at each node
    most_keys: int = 20_000  # remembered at once
    quarantine: int = 2
    poison: bool = True  # whether keys that harm servers are looked for
    false_alarms: float = 1e-6  # most of them an observation
    terms: Terms = field(default_factory=Terms)
    prepare_ms: float = 30_000.0
    watch_ms: float = 60_000.0
    moves_at_once: int = 8
    moves_a_minute: float = 30.0


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the people on call. name: of the event."""

    name: str
    fields: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Warm:
    """Open a connection to each of these servers, so that a move's first requests do not pay for it."""

    servers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Keep:
    """What must last has changed: the records of all moves, in order of their beginning."""

    moves: tuple[Mapping[str, Any], ...]


Action = Union[Note, Warm, Keep]


__all__ = ["Action", "By", "Down", "Keep", "Note", "Place", "Rules", "Terms", "Warm"]
