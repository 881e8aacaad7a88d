"""The operator's `[cells]`: keys, bounds and defaults, and the rules that they make."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cloverhold.cells.moves import Order, Place
from cloverhold.cells.rules import By, Down, Rules, Terms

Count = Annotated[int, Meta(ge=1, le=10_000)]
Some = Annotated[int, Meta(ge=0, le=10_000)]
Part = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0.1, le=86_400)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]


class MoveTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One `[[cells.move]]`."""

    id: Name  # names the move for good: said again it is the same one
    key: Name  # the tenant (or sid, or class) that moves
    draw: Annotated[int, Meta(ge=0, le=1000)] | None = None  # to the key's own draw of this number; 0 the first
    cell: Name | None = None  # or to a fixed cell
    undo: bool = False  # turn it back

    def __post_init__(self) -> None:
        if (self.draw is None) == (self.cell is None):
            raise ValueError("one of draw and cell is needed")

    def order(self) -> Order:
        """As the core takes it."""
        return Order(self.id, self.key, Place(self.draw or 0, self.cell or ""), self.undo)


class CellsTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[cells]`; where it stands in the file, cells are on."""

    by: Literal["tenant", "sid", "class", "tenant-class"] = "tenant"
    servers: Count = 4
    fixed: tuple[Name, ...] = ()
    sizes: dict[str, Count] = {}
    floor: Part = 0.75
    extra: Some = 2
    linger_s: Annotated[float, Meta(ge=0, le=86_400)] = 60.0
    newcomers: Some = 3
    newcomer_answers: Count = 50
    known: tuple[Name, ...] = ()
    down: Literal["refuse", "spill"] = "refuse"
    spill_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 5.0
    most_keys: Annotated[int, Meta(ge=16, le=1_000_000)] = 20_000
    poison: bool = True
    false_alarms: Annotated[float, Meta(gt=0, le=0.01)] = 1e-6
    quarantine: Count = 2
    held_per_s: Annotated[float, Meta(ge=0, le=1e6)] = 0.0
    eased_per_s: Annotated[float, Meta(gt=0, le=1e6)] = 1.0
    ward_hold_s: Seconds = 30.0
    prepare_s: Seconds = 30.0
    watch_s: Seconds = 60.0
    moves_at_once: Count = 8
    moves_a_minute: Annotated[float, Meta(gt=0, le=6000)] = 30.0
    state: str = ""
    move: tuple[MoveTable, ...] = ()

    def __post_init__(self) -> None:
        ids = [move.id for move in self.move]
        if twice := sorted({name for name in ids if ids.count(name) > 1}):
            raise ValueError(f"move.id: {', '.join(twice)} is named twice")
        if len(set(self.fixed)) != len(self.fixed):
            raise ValueError("fixed: a cell is named twice")
        if unknown := sorted({move.cell for move in self.move if move.cell and move.cell not in self.fixed}):
            raise ValueError(f"move.cell: {', '.join(unknown)}: no such cell in fixed")

    def rules(self, tenants: Iterable[str] = (), nodes: int = 1) -> Rules:
        """The rules; tenants: those that the platform names, no newcomers; nodes: that share the servers."""
        return Rules(
            nodes=nodes, by=By(self.by), servers=self.servers, fixed=self.fixed, sizes=self.sizes, floor=self.floor,
            extra=self.extra, linger_ms=self.linger_s * 1000,
            known=frozenset(tenants) | frozenset(self.known) | self.sizes.keys(), newcomers=self.newcomers,
            newcomer_answers=self.newcomer_answers, down=Down(self.down), spill_per_s=self.spill_per_s,
            most_keys=self.most_keys, quarantine=self.quarantine, poison=self.poison,
            false_alarms=self.false_alarms, terms=Terms(self.held_per_s, self.eased_per_s, self.ward_hold_s * 1000),
            prepare_ms=self.prepare_s * 1000, watch_ms=self.watch_s * 1000, moves_at_once=self.moves_at_once,
            moves_a_minute=self.moves_a_minute,
        )  # fmt: skip

    def orders(self) -> list[Order]:
        """The moves asked for, in the file's order."""
        return [move.order() for move in self.move]
