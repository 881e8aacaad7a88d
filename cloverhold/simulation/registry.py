"""The list of servers: one log of changes for all nodes, which each is told late, or must ask for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from cloverhold.decision.interface import Lifecycle, ListKind, ServerEntry, ServerList
from cloverhold.rehearsal.catalog import CallQueue
from cloverhold.rehearsal.ledger import Row, Told
from cloverhold.rehearsal.scenario import DiscoverySettings
from cloverhold.simulation.servers import Server
from cloverhold.simulation.timeline import Timeline

STATES = {Lifecycle.READY: "active", Lifecycle.DRAINING: "leaving", Lifecycle.GONE: "left"}
RETURN_MS = 5.0  # the way of a call's answer


@dataclass(slots=True)
class Reader:
    """One node as the list knows it."""

    node: int
    tell: Callable[[ServerList], None]
    life: int = -1  # of its process
    alive: bool = False
    watches: bool = False
    version: int = 0  # as far as it has been told
    due: int = 0  # as far as news are under way to it
    deaf_until: float = 0.0  # nothing reaches it before


class Registry:
    """Who is listed how, since when; versions count batches of changes."""

    def __init__(
        self, timeline: Timeline, how: DiscoverySettings, chance: Random, write: Callable[[Row], None]
    ) -> None:
        self.timeline, self.how, self.chance, self.write = timeline, how, chance, write
        self.entries: dict[str, ServerEntry] = {}
        self.fresh: dict[str, ServerEntry] = {}  # changed since the last batch
        self.batches: list[tuple[ServerEntry, ...]] = [()]
        self.published: dict[str, ServerEntry] = {}  # the list as of the last batch, those that left among it
        self.readers: list[Reader] = []
        self.owed: dict[int, list[tuple[int, Told]]] = {}  # by node: rows not yet written
        self.lines = self.calls = 0
        self.call_queue = CallQueue(how.capacity, how.call_lines, how.timeout_s) if how.mode == "ask" else None

    def put(self, server: Server, lifecycle: Lifecycle) -> None:
        """What is listed of a server from the next batch on."""
        born = server.born
        entry = ServerEntry(server.uid, server.zone, server.cell, lifecycle, server.nominal(), born)
        if (old := self.entries.get(server.uid)) is not None and (old.lifecycle, old.started_at) == (lifecycle, born):
            return
        self.fresh[server.uid] = self.entries[server.uid] = entry

    def weigh(self, server: Server) -> None:
        """The weight shows what a server holds."""
        old = self.entries.get(server.uid)
        if old is None or old.lifecycle is not Lifecycle.READY:
            return
        weight = round(server.nominal() / (1 + server.held / server.plan.kind.cores), 4)
        if weight != old.weight:
            entry = ServerEntry(old.server, old.zone, old.cell, old.lifecycle, weight, old.started_at)
            self.fresh[server.uid] = self.entries[server.uid] = entry

    def begin(self) -> None:
        """What is there now has been known for long."""
        self.batches, self.published, self.fresh = [tuple(self.entries.values())], dict(self.entries), {}

    def batch(self) -> None:
        """Publish what has changed since the last batch."""
        if not self.fresh:
            return
        changed, self.fresh = tuple(self.fresh.values()), {}
        self.batches.append(changed)
        for reader in self.readers:
            if reader.alive:
                self._owe(reader, changed, self.published)
                self._send(reader)
        self.published.update({entry.server: entry for entry in changed})

    def _known(self, version: int) -> dict[str, ServerEntry]:
        """The list as of a version, those that left among it."""
        return {entry.server: entry for changed in self.batches[: version + 1] for entry in changed}

    def _owe(self, reader: Reader, changed: tuple[ServerEntry, ...], before: dict[str, ServerEntry]) -> None:
        now = self.timeline.now / 1000
        for entry in changed:
            old = before.get(entry.server)
            if old is not None and (old.lifecycle, old.started_at) == (entry.lifecycle, entry.started_at):
                continue
            boot = entry.started_at / 1000 if entry.started_at is not None else None
            row = Told(reader.node, reader.life, entry.server, STATES[entry.lifecycle], boot, now)
            self.write(row)
            self.owed.setdefault(reader.node, []).append((len(self.batches) - 1, row))

    # ------------------------------------------------------------------------------------------------ a node

    def born(self, reader: Reader) -> tuple[tuple[ServerEntry, ...], dict[str, str]]:
        """A process of a node starts: the list that it remembers, and the states in it."""
        reader.life += 1
        reader.alive, reader.watches, reader.due = True, self.call_queue is None, reader.version
        known = self._known(reader.version)
        self.owed[reader.node] = []
        self._owe(reader, self._missed(reader), known)
        kept = tuple(entry for entry in known.values() if entry.lifecycle is not Lifecycle.GONE)
        self._send(reader)
        return kept, {entry.server: STATES[entry.lifecycle] for entry in kept}

    def ask(self, reader: Reader) -> None:
        """A node watches, anew perhaps; where the list is pushed its agent answers at once."""
        if self.call_queue is None:
            return
        self.calls += 1
        life, lines = reader.life, len(self._missed(reader))
        took = self.call_queue.take(self.timeline.now / 1000, lines)
        wait = 1000 * (took if took is not None else self.how.timeout_s) + RETURN_MS
        self.timeline.after(wait, self._answer, reader, life, took is not None)

    def _missed(self, reader: Reader, version: int | None = None) -> tuple[ServerEntry, ...]:
        """What has changed since a node was told, up to a version or to now."""
        upto = version + 1 if version is not None else len(self.batches)
        return tuple({e.server: e for batch in self.batches[reader.version + 1 : upto] for e in batch}.values())

    def _answer(self, reader: Reader, life: int, good: bool) -> None:
        if not reader.alive or reader.life != life:
            return
        reader.watches = good
        if good:
            self._deliver(reader, life, len(self.batches) - 1, empty=True)
        else:
            reader.tell(ServerList(ListKind.ERROR))

    def moved(self, reader: Reader) -> None:
        """A node follows another address: it is told the whole list."""
        if reader.alive:
            version = len(self.batches) - 1
            whole = [e for e in self.published.values() if e.lifecycle is not Lifecycle.GONE]
            self.timeline.after(RETURN_MS, self._whole, reader, reader.life, version, tuple(whole))

    def _whole(self, reader: Reader, life: int, version: int, whole: tuple[ServerEntry, ...]) -> None:
        if reader.alive and reader.life == life and version >= reader.version:
            self._wrote(reader, version, len(whole))
            reader.tell(ServerList(ListKind.FULL, whole, version))

    def _send(self, reader: Reader) -> None:
        version = len(self.batches) - 1
        if reader.watches and reader.due < version:
            reader.due = version
            late = self.chance.uniform(0.5, 1.5) * self.how.spread_ms
            heard = max(self.timeline.now, reader.deaf_until) + late
            self.timeline.at(heard, self._deliver, reader, reader.life, version)

    def _deliver(self, reader: Reader, life: int, version: int, empty: bool = False) -> None:
        if not reader.alive or reader.life != life:
            return
        if self.timeline.now < reader.deaf_until:
            return self.timeline.at(reader.deaf_until, self._deliver, reader, life, version, empty)
        version = max(version, reader.due)
        if version <= reader.version and not empty:
            return
        missed = self._missed(reader, version)
        self._wrote(reader, version, len(missed))
        reader.tell(ServerList(ListKind.CHANGES, missed, version))

    def _wrote(self, reader: Reader, version: int, lines: int) -> None:
        self.lines += lines
        reader.version, reader.due = version, max(reader.due, version)
        for at, row in self.owed.get(reader.node, ()):
            if at <= version and row.written_s is None:
                row.written_s = self.timeline.now / 1000
        self.owed[reader.node] = [(at, row) for at, row in self.owed.get(reader.node, ()) if at > version]
