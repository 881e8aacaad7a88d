"""One node of a simulated fleet: an instance of the decision module, its connections, and what it owes clients."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from cloverhold.decision import interface as io
from cloverhold.rehearsal.ledger import Arrival, Dial, NodeLife, Row, Try
from cloverhold.rehearsal.plan import FirstTry
from cloverhold.simulation.registry import Reader, Registry
from cloverhold.simulation.servers import Flight, Server
from cloverhold.simulation.timeline import Timeline

STATUS = {"served": 200, "refused": 503, "failed": 502}


class Module(Protocol):
    """What decides: the decision module, or a variant of it."""

    def handle(self, now: float, event: io.Event) -> list[io.Action]:
        """The actions that an event asks for."""


@dataclass(slots=True)
class Owed:
    """A request that a node has taken, and not answered so far."""

    row: Try
    first: FirstTry
    came_at: float
    term: float  # until when its client waits
    flights: list[Flight] = field(default_factory=list)
    answered: bool = False


@dataclass(slots=True)
class Seen:
    """What a node did, for the figures."""

    requests: int = 0
    refused: int = 0
    never_sent: int = 0  # of these
    early: int = 0  # refused before half of its time was over
    waits_ms: list[float] = field(default_factory=list)  # to the first send
    probes: int = 0
    used: set[str] = field(default_factory=set)  # servers, only counted
    idle_parts: list[float] = field(default_factory=list)  # of all servers, at each refusal of what was never sent


class Surroundings(Protocol):
    """What a node finds about it."""

    timeline: Timeline
    registry: Registry
    servers: dict[str, Server]
    means: dict[str, float]  # work of each class, in ms

    def carry(self, flight: Flight) -> None:
        """Take an attempt or a probe to its server."""

    def answer(self, owed: Owed, what: str, retry_after_ms: float) -> None:
        """Take a final answer to the client."""

    def write(self, row: Row) -> None:
        """Put a row into the ledger."""

    def idle_part(self) -> float:
        """The part of the servers that could begin a request at once."""


class Node:
    """One address of the fleet, through all lives of its process."""

    def __init__(
        self, world: Surroundings, number: int, zone: str, idle_ms: float, make: Callable[[int, int], Module]
    ) -> None:
        self.world, self.number, self.zone, self.idle_ms, self.make = world, number, zone, idle_ms, make
        self.reader = Reader(number, self.give)
        self.seen = Seen()
        self.module: Module | None = None
        self.life: NodeLife | None = None
        self.owed: dict[int, Owed] = {}
        self.flights: dict[tuple[int, int], Flight] = {}
        self.asked: dict[str, Flight] = {}  # probes that are out
        self.resting: dict[str, list[tuple[float, Dial]]] = {}  # connections between requests, since when

    @property
    def lives(self) -> int:
        """The number of its present process, or of the last one."""
        return self.reader.life

    def start(self) -> None:
        """A process begins with nothing but its remembered list."""
        entries, known = self.world.registry.born(self.reader)
        now = self.world.timeline.now
        self.life = NodeLife(self.number, self.lives, now / 1000, known, ready_s=now / 1000)
        self.world.write(self.life)
        self.module = self.make(self.number, self.lives)
        self.give(io.ServerList(io.ListKind.REMEMBERED, entries, self.reader.version))

    def stop(self) -> list[Owed]:
        """The process ends: its connections are reset, and what it owed is gone."""
        lost, self.owed = list(self.owed.values()), {}
        for flight in [*self.flights.values(), *self.asked.values()]:
            flight.server.cancel(flight)
            flight.over = True
            self._close(flight.server, flight.dial)
        self.flights, self.asked = {}, {}
        for server, resting in self.resting.items():
            for _, dial in resting:
                self._close(self.world.servers[server], dial)
        self.resting, self.module, self.reader.alive = {}, None, False
        if self.life is not None:
            self.life.ended_s, self.life = self.world.timeline.now / 1000, None
        return lost

    # ---------------------------------------------------------------------------------- events and actions

    def give(self, event: io.Event) -> None:
        """Hand an event to the module and carry out what it asks for."""
        if self.module is None:
            return
        for action in self.module.handle(self.world.timeline.now, event):
            self._carry_out(action)

    def _carry_out(self, action: io.Action) -> None:
        match action:
            case io.Send():
                self._send(action)
            case io.SetTimer():
                self.world.timeline.after(max(1.0, action.delay_ms), self._ring, self.lives, action.token)
            case io.Probe():
                self._probe(self.world.servers[action.server])
            case io.Cancel():
                self._cancel((action.id, action.attempt))
            case io.Refuse():
                self._final(action.id, "refused", action.retry_after_ms)
            case io.Fail():
                self._final(action.id, "failed", 0.0)
            case io.Watch(on=True):
                self.world.registry.ask(self.reader)

    def _ring(self, life: int, token: int) -> None:
        if life == self.lives:
            self.give(io.Timer(token))

    # ----------------------------------------------------------------------------------------------- clients

    def take(self, ref: int, owed: Owed, *, again: bool) -> None:
        """A client's request has come."""
        self.owed[ref] = owed
        self.seen.requests += 1
        expires = owed.term - self.world.timeline.now
        self.give(io.Request(ref, owed.row.class_name, expires, is_retry=again, is_write=owed.row.key is not None))

    def leave(self, ref: int) -> None:
        """Its client has gone: nothing more is owed."""
        if self.owed.pop(ref, None) is not None:
            self.give(io.ClientGone(ref))

    def _final(self, ref: int, what: str, retry_after_ms: float) -> None:
        owed = self.owed.pop(ref, None)
        if owed is None:
            return
        if what == "refused":
            self.seen.refused += 1
            if not owed.flights:
                self.seen.never_sent += 1
                self.seen.early += self.world.timeline.now < (owed.came_at + owed.term) / 2
                self.seen.idle_parts.append(self.world.idle_part())
        self.world.answer(owed, what, retry_after_ms)

    # ----------------------------------------------------------------------------------------------- servers

    def _send(self, action: io.Send) -> None:
        owed, server = self.owed[action.id], self.world.servers[action.server]
        now = self.world.timeline.now
        if not owed.flights:
            self.seen.waits_ms.append(now - owed.came_at)
        self.seen.used.add(server.uid)
        number = (action.id, len(owed.flights))
        row = Arrival(
            server.uid, server.life, server.cell, self.number, 0, owed.row.id, owed.row.class_name, owed.row.key,
            now / 1000, work_ms=self.world.means[owed.row.class_name],  # what a node can know: judged for cold servers
        )  # fmt: skip
        flight = self._flight(server, number, self._ended, server.work(owed.first.work_ms), row)
        owed.flights.append(flight)
        self.flights[number] = flight
        self.world.write(row)
        self.world.carry(flight)
        self.world.timeline.at(owed.term, self._late, flight)

    def _flight(
        self, server: Server, number: tuple[int, int], done: Callable[[Flight, io.Status, io.LoadReport | None], None],
        work: float, row: Arrival | None = None,
    ) -> Flight:  # fmt: skip
        now, resting = self.world.timeline.now, self.resting.get(server.uid)
        new = not resting
        if resting:
            dial = resting.pop()[1]
        else:
            dial = Dial(server.uid, self.number, now / 1000)
            self.world.write(dial)
            server.connections += 1
            server.most_connections = max(server.most_connections, server.connections)
        return Flight(self.number, self.lives, number, server, dial, now, done, row, new, work)

    def _probe(self, server: Server) -> None:
        self.seen.probes += 1
        flight = self.asked[server.uid] = self._flight(server, (0, 0), self._replied, server.fleet.probe_work_ms)
        self.world.carry(flight)
        self.world.timeline.after(300.0, self._unheard, flight)

    def _replied(self, flight: Flight, status: io.Status, report: io.LoadReport | None) -> None:
        if flight.over:
            return
        flight.over = True
        self._rest(flight, status)
        self.asked.pop(flight.server.uid, None)
        spent = self.world.timeline.now - flight.sent_at
        self.give(io.ProbeReply(flight.server.uid, status, spent, report))

    def _unheard(self, flight: Flight) -> None:
        if not flight.over and self.asked.get(flight.server.uid) is flight:
            flight.server.cancel(flight)
            self._replied(flight, io.Status.TIMEOUT, None)

    def _ended(self, flight: Flight, status: io.Status, report: io.LoadReport | None) -> None:
        if flight.over:
            return
        flight.over = True
        ref, attempt = flight.number
        del self.flights[flight.number]
        self._rest(flight, status)
        closed = status is io.Status.OK and ref in self.owed
        if closed:
            self.world.answer(self.owed.pop(ref), "served", 0.0)
        spent = self.world.timeline.now - flight.sent_at
        self.give(io.Outcome(ref, attempt, flight.server.uid, status, spent, closed or ref not in self.owed, report))

    def _late(self, flight: Flight) -> None:
        if not flight.over and self.flights.get(flight.number) is flight:
            flight.server.cancel(flight)
            self._ended(flight, io.Status.TIMEOUT, None)

    def _cancel(self, number: tuple[int, int]) -> None:
        flight = self.flights.get(number)
        if flight is None or flight.over:
            return
        flight.server.cancel(flight)
        self.world.timeline.after(0.0, self._cancelled, flight)

    def _cancelled(self, flight: Flight) -> None:
        if self.flights.get(flight.number) is flight:
            self._ended(flight, io.Status.CANCELLED, None)

    # ------------------------------------------------------------------------------------------- connections

    def _rest(self, flight: Flight, status: io.Status) -> None:
        """An attempt that ends well leaves its connection for the next; any other closes it."""
        if status in (io.Status.OK, io.Status.ERROR, io.Status.FULL) and flight.server.connections > 0:
            self.resting.setdefault(flight.server.uid, []).append((self.world.timeline.now, flight.dial))
        else:
            self._close(flight.server, flight.dial)

    def _close(self, server: Server, dial: Dial) -> None:
        if dial.closed_s is None:
            dial.closed_s = self.world.timeline.now / 1000
            server.connections -= 1

    def dropped(self, server: Server) -> None:
        """A server's process has ended, and with it the connections that rested."""
        for _, dial in self.resting.pop(server.uid, ()):
            self._close(server, dial)

    def sweep(self) -> None:
        """Close what has been idle for too long."""
        oldest = self.world.timeline.now - self.idle_ms
        for uid, resting in list(self.resting.items()):
            for _, dial in [pair for pair in resting if pair[0] <= oldest]:
                self._close(self.world.servers[uid], dial)
            kept = [pair for pair in resting if pair[0] > oldest]
            if kept:
                self.resting[uid] = kept
            else:
                del self.resting[uid]
