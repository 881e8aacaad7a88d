"""The core's end in a node: list entries in, log lines, warm connections and the kept moves out."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Protocol

from cloverhold.cells.core import TICK_MS, Cells
from cloverhold.cells.draw import Member
from cloverhold.cells.keep import KeepError, read_moves, write_moves, write_status
from cloverhold.cells.rules import Keep, Note, Warm
from cloverhold.cells.table import CellsTable
from cloverhold.cells.tenancy import Cell
from cloverhold.decision.interface import Lifecycle, Refuse, ServerEntry, Settings, Status, WeightSource
from cloverhold.decision.pools import Pool

log = logging.getLogger(__name__)
STATUS_TICKS = 50  # ticks between two states written for the operator


class Keeping(Protocol):
    """Where moves last, in place of a file: the store."""

    def moves(self) -> list[Any]: ...
    def keep_moves(self, moves: Sequence[Any]) -> None: ...


class Router:
    """Where each request may go, by the operator's cells. Raises KeepError where the kept moves cannot be read."""

    def __init__(
        self, table: CellsTable, settings: Settings, now: Callable[[], float], store: Keeping | None = None
    ) -> None:
        self.table, self.settings, self.now = table, settings, now
        self.cells = Cells(table.rules((t.name for t in settings.tenants), settings.nodes), self._serves)
        self.serves: Callable[[Pool], bool] = lambda pool: True  # until there is a host
        self.warm: Callable[[str], None] = lambda server: None
        self.entries: dict[str, ServerEntry] = {}
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._ticks = 0
        self.store = store
        if table.state or store is not None:
            try:
                self.cells.resume(read_moves(table.state) if table.state else store.moves() if store else (), now())
            except ValueError as error:
                raise KeepError(f"{table.state or 'store'}: {error}") from None

    def _serves(self, pool: Pool) -> bool:
        return self.serves(pool)

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to tick, and with the moves that the file asks for."""
        self._loop = loop
        self._timer = loop.call_later(TICK_MS / 1000, self._tick)
        self.cells.orders(self.table.orders(), self.now())
        self._act()

    def close(self) -> None:
        """Tick no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _tick(self) -> None:
        assert self._loop is not None
        self._timer = self._loop.call_later(TICK_MS / 1000, self._tick)
        now = self.now()
        self.cells.tick(now)
        self._act()
        self._ticks += 1
        if self.table.state and self._ticks % STATUS_TICKS == 0:
            try:
                write_status(self.table.state, self.cells.status(now))
            except OSError as error:
                log.warning("cells: status: %s", error)

    def reload(self, table: CellsTable) -> list[str]:
        """Take over the moves that a new file asks for; the keys that wait for a restart."""
        waits = [name for name in table.__struct_fields__ if name != "move"
                 and getattr(table, name) != getattr(self.table, name)]  # fmt: skip
        self.cells.orders(table.orders(), self.now())
        self._act()
        return waits

    def members(self, entries: Iterable[ServerEntry], *, full: bool) -> None:
        """A list, or changes of it."""
        if full:
            self.entries.clear()
        for entry in entries:
            if entry.lifecycle is Lifecycle.READY:
                self.entries[entry.server] = entry
            else:
                self.entries.pop(entry.server, None)
        self.cells.members({name: self._member(entry) for name, entry in self.entries.items()}, self.now())
        self._act()

    def _member(self, entry: ServerEntry) -> Member:
        settings = self.settings
        # A live weight falls with what a server holds, at each node at another time: no size to go by.
        stated = settings.weight_source in (WeightSource.NOMINAL, WeightSource.ROUGH)
        warm = entry.started_at + settings.cold_ms if entry.started_at is not None else 0.0
        size = max(entry.weight, 1e-6) if stated else 1.0
        return Member(entry.server, entry.zone, size, warm, settings.cold_from)

    def route(self, tenant: str | None, sid: int | None, kind: str) -> Cell | Refuse:
        """The cell of a new request, or why it is not taken in."""
        cell = self.cells.route(self.cells.key(tenant, sid, kind), self.now())
        self._act()
        return cell

    def sent(self, ref: int, cell: Cell, server: str) -> None:
        """An attempt goes to a server."""
        self.cells.sent(ref, cell, server, self.now())

    def ended(self, ref: int, cell: Cell, kind: str, server: str, status: Status, spent_ms: float) -> None:
        """An attempt has ended."""
        self.cells.ended(ref, cell, kind, server, status, spent_ms, self.now())
        self._act()

    def left(self, cell: Cell) -> None:
        """A request has had its answer."""
        self.cells.left(cell)

    def _act(self) -> None:
        if not self.cells.out:
            return
        for action in self.cells.take():
            match action:
                case Note(name=name, fields=fields):
                    log.info("%s %s", name, " ".join(f"{key}={value!r}" for key, value in fields.items()))
                case Warm(servers=servers):
                    for server in servers:
                        self.warm(server)
                case Keep(moves=moves) if self.table.state:
                    try:
                        write_moves(self.table.state, moves)
                    except OSError as error:  # the moves go on; what was kept before still stands
                        log.error("cells: moves are not kept: %s", error)
                case Keep(moves=moves) if self.store is not None:
                    self.store.keep_moves(moves)
                case Keep():
                    pass
