"""A modelled server: the kit's machine behind connections, probes and reports, on a simulated timeline.

Times are ms on the timeline; rows of the ledger hold seconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from cloverhold.decision.interface import LoadReport, Status
from cloverhold.rehearsal.ledger import Arrival, Dial, Life
from cloverhold.rehearsal.machine import Choke, Job, Machine, Offer
from cloverhold.rehearsal.plan import ServerPlan, lognormal
from cloverhold.rehearsal.scenario import Fleet
from cloverhold.simulation.timeline import Timeline

COLD_LOOK_MS = 20.0  # while it warms up its rate changes
AFTER_MS = 1e-6  # a look falls just behind what is due


class State(Enum):
    """What a server's machine does."""

    UP = "up"
    DEAD = "dead"  # its process has ended: connections are refused
    HANGS = "hangs"  # takes requests and answers none


@dataclass(slots=True)
class Flight:
    """One attempt, or one probe (`row` is None), on its way to a server, at it, or on its way back."""

    node: int
    life: int
    number: tuple[int, int]
    server: Server
    dial: Dial
    sent_at: float
    done: Callable[[Flight, Status, LoadReport | None], None]
    row: Arrival | None = None
    new: bool = False  # its connection is
    work_ms: float = 0.0
    job: Job | None = None
    over: bool = False  # its node has heard its end, or needs it no longer


@dataclass(slots=True)
class Wrongs:
    """What a server does wrong at the moment."""

    slow: float = 1.0
    errors: float = 0.0  # part of what comes that is answered with an error at once


class Server:
    """One address in the list, through all lives of its process."""

    def __init__(
        self, timeline: Timeline, fleet: Fleet, plan: ServerPlan, zone: str, chance: Random,
        wrote: Callable[[Life], None], *, cold: bool = False,
    ) -> None:  # fmt: skip
        self.timeline, self.fleet, self.plan, self.zone = timeline, fleet, plan, zone
        self.chance, self.wrote = chance, wrote
        self.uid, self.cell = plan.uid, plan.cell
        self.state, self.wrongs, self.leaving = State.UP, Wrongs(), False
        self.flights: dict[int, Flight] = {}  # at it, by the identity of their jobs
        self.connections = self.most_connections = self.most_held = 0
        self.life = -1
        self.born: float | None = None  # None: long ago
        self.report = LoadReport(inflight=0.0, queue=0.0)
        self._looks = 0
        self.start(cold=cold)

    def start(self, *, cold: bool) -> None:
        """A process begins, warm only at the start of a day."""
        now, kind = self.timeline.now, self.plan.kind
        self.life += 1
        self.state = State.UP
        self.born = now if cold else None
        self.machine = Machine(
            cores=kind.cores, speed=self.plan.speed, slots=kind.slots, queue=kind.queue, now=now / 1000,
            cold_from=kind.cold_from if cold else 1.0, cold_s=kind.cold_s if cold else 0.0,
        )  # fmt: skip
        choke = self.fleet
        self.choke = Choke(
            kind.cores, choke.choke_at or math.inf, choke.choke_after_s, choke.choke_slower, choke.choke_rest_s
        )
        self.alive = Life(
            self.uid, self.life, self.cell, kind.cores * self.plan.speed, kind.cold_from if cold else 1.0,
            kind.cold_s if cold else 0.0, now / 1000,
        )  # fmt: skip
        self.wrote(self.alive)

    def end(self, why: str) -> None:
        """Its process ends; what it held is reset."""
        self.touch()
        self.state = State.DEAD
        self.alive.ended_s, self.alive.ended = self.timeline.now / 1000, why
        held, self.flights = list(self.flights.values()), {}
        for flight in held:
            self._answer(flight, Status.RESET, "reset")

    def hang(self, *, on: bool) -> None:
        """It takes requests and answers none, or goes on with what it holds."""
        self.touch()
        self.state = State.HANGS if on else State.UP
        self.machine.stopped = on
        self.touch()

    @property
    def held(self) -> int:
        """Requests at work or waiting."""
        return self.machine.count + self.machine.waited

    def nominal(self) -> float:
        """Its size, as the list states it."""
        return self.plan.kind.cores * round(2 * self.plan.kind.speed) / 2

    def idle(self) -> bool:
        """Whether it could begin a request at once."""
        return self.state is State.UP and not self.leaving and self.machine.count == 0

    # ------------------------------------------------------------------------------------------- what comes

    def arrive(self, flight: Flight) -> None:
        """A request's last byte has come, or a probe."""
        if self.state is State.DEAD or flight.over:
            if not flight.over:
                self._answer(flight, Status.CONNECT_FAILED if flight.new else Status.RESET, "reset")
            return
        row, now = flight.row, self.timeline.now / 1000
        self.touch()
        if row is not None:
            row.life = self.life
            row.first_byte_s = row.last_byte_s = now
        full = self.leaving or self.connections > self.fleet.connection_cap * self.plan.kind.cores
        if full and row is not None:
            return self._answer(flight, Status.FULL, "rejected")
        if row is not None and self.wrongs.errors and self.chance.random() < self.wrongs.errors:
            row.executed = True
            return self._answer(flight, Status.ERROR, "error")
        handshake = self.fleet.connection_work_ms if flight.new else 0.0
        if row is not None:
            row.handshake_ms = handshake
        job = flight.job = Job(flight.work_ms + handshake)
        if self.machine.offer(now, job) is Offer.FULL:
            return self._answer(flight, Status.FULL, "rejected")
        self.flights[id(job)] = flight
        if row is not None:
            row.outcome, row.executed = "held", True
        elif not self.fleet.probe_deep and self.state is State.UP:
            self._answer(flight, Status.OK, "", self.report)
        self.most_held = max(self.most_held, self.held)
        self.touch()

    def cancel(self, flight: Flight) -> None:
        """The node has closed the connection: what is not done stays undone."""
        self.touch()
        row, job = flight.row, flight.job
        if job is not None and self.flights.pop(id(job), None) is not None:
            self.machine.leave(job)
            if row is not None:
                row.done_ms = job.done_ms
        if row is not None and row.closed_s is None:
            row.closed_s = self.timeline.now / 1000
            if row.outcome in ("held", "partial"):
                row.outcome = "cancelled"
        self.touch()

    def sample(self, noise: Random) -> None:
        """What a probe is told from now on, until the next sample."""
        shaken = 1 + noise.gauss(0.0, self.fleet.report_noise)
        self.report = LoadReport(inflight=max(0.0, self.held * shaken), queue=float(self.machine.waited))

    # ------------------------------------------------------------------------------------------ its own time

    def touch(self) -> None:
        """Pass the time to now, answer what has ended, and note when to look again."""
        now = self.timeline.now
        if self.state is State.DEAD:
            return
        for job in self.machine.advance(now / 1000):
            flight = self.flights.pop(id(job), None)
            if flight is None:
                continue
            if flight.row is not None:
                flight.row.done_ms = job.done_ms
            if flight.row is not None or self.fleet.probe_deep:
                self._answer(flight, Status.OK, "served", self.report if flight.row is None else None)
        self.machine.slower = self.wrongs.slow * self.choke.look(now / 1000, self.held)
        self._looks += 1
        due = self.machine.next_due()
        if due is not None:
            wait = max(0.0, 1000 * due - now)
            if self.machine.warmth(now / 1000) < 1:
                wait = min(wait, COLD_LOOK_MS)
            self.timeline.after(wait + AFTER_MS, self._look, self._looks)

    def _look(self, look: int) -> None:
        if look == self._looks:
            self.touch()

    def _answer(self, flight: Flight, status: Status, outcome: str, report: LoadReport | None = None) -> None:
        row = flight.row
        if row is not None:
            row.ended_s = self.timeline.now / 1000
            row.outcome = outcome if row.last_byte_s is not None else "partial"
            row.digest = row.id if outcome == "served" else ""
        flight.done(flight, status, report)

    def work(self, work_ms: float) -> float:
        """What a request of so much work takes here this time."""
        return lognormal(self.chance, work_ms, self.fleet.attempt_noise)
