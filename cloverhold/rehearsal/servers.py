"""Stand-in servers on loopback: PROTOCOL's server side, with a ledger of all that comes and what becomes of it.

Every server listens on a port of its own for each node, so that it is known who sends. A server's process may
end and come back; its address stays. What it does wrong is a set of behaviours that the script turns on and off.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cloverhold.rehearsal import faults as f
from cloverhold.rehearsal.ledger import Arrival, Life
from cloverhold.rehearsal.machine import Choke, Job, Machine, Offer, Pressure
from cloverhold.rehearsal.peer import Peer
from cloverhold.rehearsal.plan import ServerPlan, lognormal
from cloverhold.rehearsal.sockets import BACKLOG, Plug, accepted, hold, listen, port_of
from cloverhold.rehearsal.wire import Known, answer_of, body_of, digest
from cloverhold.rehearsal.world import World

CHOKE_LOOK_S = 0.25


@dataclass(frozen=True, slots=True)
class Sample:
    """What a load report says, as it was at one time."""

    at_s: float
    inflight: int
    queue: int
    qps: float


@dataclass(slots=True)
class Remembered:
    """A key that a group of servers has seen."""

    until_s: float
    body: bytes


class Group:
    """The servers of one cell: they drop each other's repeats of a key for a time."""

    def __init__(self) -> None:
        self.keys: dict[str, Remembered] = {}

    def recall(self, now: float, key: str) -> bytes | None:
        """The answer of the first run, if the key is still remembered."""
        seen = self.keys.get(key)
        return seen.body if seen is not None and now < seen.until_s else None

    def remember(self, now: float, key: str, ttl_s: float, body: bytes) -> None:
        """A key's first run begins; those that lapsed are forgotten."""
        while self.keys and next(iter(self.keys.values())).until_s <= now:
            del self.keys[next(iter(self.keys))]
        self.keys[key] = Remembered(now + ttl_s, body)


class Address:
    """Where a server is found: a port for each node, held from the start to the end of the rehearsal."""

    def __init__(self, nodes: int) -> None:
        self.held = [hold() for _ in range(nodes)]
        self.ports = [port_of(h) for h in self.held]

    def close(self) -> None:
        """Give the ports back."""
        for held in self.held:
            held.close()


class Server:
    """One server: its lives, its connections, what it does wrong."""

    def __init__(self, world: World, plan: ServerPlan, address: Address, group: Group, *, replaces: str = "") -> None:
        self.world, self.plan, self.address, self.group, self.replaces = world, plan, address, group, replaces
        self.random = world.source("server", plan.uid)
        self.life = -1
        self.row: Life | None = None
        self.machine: Machine | None = None  # None while it is down
        self.pressure: Pressure | None = None
        self.choke: Choke | None = None
        self.listening: list[socket.socket] = []
        self.plugs: list[Plug] = []
        self.late: list[Plug] = []  # while new connections come up late
        self.peers: set[Peer] = set()
        self.jobs: dict[int, tuple[Job, Callable[[], None]]] = {}  # by the job's identity
        self.causes: set[int] = set()  # faults that keep it down
        self.wrong: dict[int, f.Fault] = {}  # behaviours, by their fault
        self.silent = self.leaving = False
        self.poisoned: Callable[[Server, f.Poison], None] = lambda server, harm: None  # the stage's part of it
        self.samples: deque[Sample] = deque(maxlen=64)
        self.done: deque[float] = deque()
        self.runs = 0
        self.probes: dict[int, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._ticks: list[asyncio.TimerHandle] = []

    # ------------------------------------------------------------------------------------------- lives

    def start(self, *, cold: bool) -> None:
        """Begin a life, and listen."""
        now, kind = self.world.now(), self.plan.kind
        self.life += 1
        self.machine = Machine(
            cores=kind.cores, speed=self.plan.speed, slots=kind.slots, queue=kind.queue, now=now,
            cold_from=kind.cold_from if cold else 1.0, cold_s=kind.cold_s if cold else 0.0,
        )  # fmt: skip
        rules, fleet = self.world.scenario.rules, self.world.scenario.fleet
        self.pressure = Pressure(rules.fall_multiple, rules.fall_ms / 1000, self.world.scenario.fall_slack_ms())
        if fleet.choke_at is not None:
            self.choke = Choke(kind.cores, fleet.choke_at, fleet.choke_after_s, fleet.choke_slower, fleet.choke_rest_s)
        self.row = Life(
            self.plan.uid, self.life, self.plan.cell, kind.cores * self.plan.speed,
            self.machine.cold_from, self.machine.cold_s, now, replaces=self.replaces,
        )  # fmt: skip
        self.world.ledger.rows.append(self.row)
        self.samples.clear()
        self.done.clear()
        self._apply()
        self._listen()
        self._sample()
        if self.choke is not None:
            self._look()

    def _listen(self) -> None:
        for node, port in enumerate(self.address.ports):
            listening = listen(port)
            self.listening.append(listening)
            self.world.loop.add_reader(listening.fileno(), self._accept, listening, node)
        self._delay_connections()

    def _delay_connections(self) -> None:
        """Hold new connections back while a fault says so. The kernel drops what asks, and its caller asks again after
        1 s.
        """
        late = any(isinstance(w, f.LateConnections) for w in self.wrong.values())
        if late and not self.late:
            for node, listening in enumerate(self.listening):
                self._accept(listening, node)
                self.world.loop.remove_reader(listening.fileno())
                self.late.append(Plug(listening))
        elif not late and self.late:
            self._pull(self.late)
            for node, listening in enumerate(self.listening):
                for connection in accepted(listening):
                    connection.close()  # the kit's own
                listening.listen(BACKLOG)
                self.world.loop.add_reader(listening.fileno(), self._accept, listening, node)

    @staticmethod
    def _pull(plugs: list[Plug]) -> None:
        for plug in plugs:
            plug.pull()
        plugs.clear()

    def _accept(self, listening: socket.socket, node: int) -> None:
        for connection in accepted(listening):
            Peer(self, node, connection)

    def boot_s(self) -> float | None:
        """When the present process started; None for one that was there from the beginning."""
        return self.row.started_s if self.row is not None and self.row.cold_s > 0 else None

    def end(self, how: str) -> None:
        """The process ends: its connections are reset, and new ones refused."""
        if self.machine is None:
            return
        now = self.world.now()
        self._settle(now)
        machine, self.machine = self.machine, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for tick in self._ticks:
            tick.cancel()
        self._ticks = []
        self._deaf()
        for peer in list(self.peers):
            peer.reset("reset")
        for job, _ in self.jobs.values():
            machine.leave(job)
        self.jobs.clear()
        self.silent = False
        self._pull(self.plugs)
        self._pull(self.late)
        if self.row is not None and self.row.ended_s is None:
            self.row.ended_s, self.row.ended = now, how

    def _deaf(self) -> None:
        for listening in self.listening:
            self.world.loop.remove_reader(listening.fileno())
            listening.close()
        self.listening = []

    def fall_silent(self) -> None:
        """The machine vanishes: what is open stays open, new connections never come up, nothing is answered."""
        if self.machine is None or self.silent:
            return
        self._settle(self.world.now())
        self.silent = True
        if self.row is not None:
            self.row.ended_s, self.row.ended = self.world.now(), "silent"
        for listening in self.listening:
            self.world.loop.remove_reader(listening.fileno())
            self.plugs.append(Plug(listening))
        for job, _ in self.jobs.values():
            self.machine.leave(job)
        self.jobs.clear()

    def close(self) -> None:
        """The rehearsal is over."""
        self.end("end")

    # --------------------------------------------------------------------------------------- behaviours

    def behave(self, number: int, fault: f.Fault) -> None:
        """Begin to do something wrong."""
        self.wrong[number] = fault
        self._apply()

    def behave_again(self, number: int) -> None:
        """Stop doing so."""
        self.wrong.pop(number, None)
        self._apply()

    def _apply(self) -> None:
        if self.machine is None or self.silent:
            return
        self._settle(self.world.now())
        self.machine.stopped = self.hangs()
        slower = 1.0
        for wrong in self.wrong.values():
            slower *= wrong.factor if isinstance(wrong, f.Slow) else 1.0
        if self.choke is not None and self.choke.choked:
            slower *= self.choke.slower
        self.machine.slower = slower
        self._delay_connections()
        self._arm()

    def hangs(self) -> bool:
        """Whether it takes work and answers nothing."""
        return any(isinstance(w, f.Hang) for w in self.wrong.values())

    def idle_limit_s(self) -> float:
        """After which an idle connection is dropped."""
        drops = [w.after_ms / 1000 for w in self.wrong.values() if isinstance(w, f.IdleDrop)]
        return min([*drops, self.world.scenario.fleet.idle_s])

    def crowded(self) -> bool:
        """Whether more connections are open than it takes."""
        return len(self.peers) > self.world.scenario.fleet.connection_cap * self.plan.kind.cores

    def fault_for(self, known: Known) -> str | None:
        """What goes wrong with this request before it runs: "error", "reset" or "silence"; None if nothing does."""
        for wrong in self.wrong.values():
            if isinstance(wrong, f.QuickErrors) and self.random.random() < wrong.share:
                return "error"
            if isinstance(wrong, f.ClassFails) and wrong.class_name == known.class_name:
                return wrong.how
        return None

    def harmed(self, fault: int, error: Callable[[], None]) -> None:
        """A request that has begun does what a poisoned one does; `error` answers it with an error."""
        harm = self.world.scenario.faults[fault]
        assert isinstance(harm, f.Poison)
        if harm.how == "error":
            error()
        else:
            self.poisoned(self, harm)

    def spoils(self) -> str | None:
        """How this answer is spoilt; None if it is not."""
        for wrong in self.wrong.values():
            if isinstance(wrong, f.Spoil) and self.random.random() < wrong.share:
                return wrong.how
        return None

    def errs(self) -> bool:
        """Whether this request fails by the server's own rate of errors."""
        rate = self.world.scenario.fleet.error_rate
        return rate > 0 and self.random.random() < rate

    # --------------------------------------------------------------------------------------------- work

    def offer(self, arrival: Arrival, handshake_ms: float, ended: Callable[[], None]) -> Job | None:
        """Take a request in; None if it is full, or fell over. `ended` is called when its work is done."""
        machine, now = self.machine, self.world.now()
        assert machine is not None and self.pressure is not None and self.row is not None
        if self.row.cold_s > 0 and self.pressure.add(now, arrival.work_ms, machine.capacity(now)):
            if machine.warmth(now) < 1.0:
                self.causes.add(-1)  # it stays down
                self.end("fell")
                return None
        self._settle(now)
        job = Job(arrival.work_ms + handshake_ms)
        if machine.offer(now, job) is Offer.FULL:
            return None
        self.jobs[id(job)] = (job, ended)
        self._arm()
        return job

    def work_of(self, known: Known) -> float:
        """The work that one attempt of a request takes."""
        return known.work_ms * lognormal(self.random, 1.0, self.world.scenario.fleet.attempt_noise)

    def drop(self, job: Job) -> None:
        """Nobody waits for this job any more: its work stops."""
        if self.jobs.pop(id(job), None) is None or self.machine is None:
            return
        self._settle(self.world.now())
        self.machine.leave(job)
        self._arm()

    def probe(self, node: int) -> None:
        """A probe costs work, and is answered beside the queue."""
        self.probes[node] = self.probes.get(node, 0) + 1
        if self.machine is not None:
            self._settle(self.world.now())
            self.machine.offer(self.world.now(), Job(self.world.scenario.fleet.probe_work_ms))
            self._arm()

    def _settle(self, now: float) -> None:
        """Pass the time; hand out what has ended."""
        if self.machine is None or self.silent:
            return
        for job in self.machine.advance(now):
            found = self.jobs.pop(id(job), None)
            if found is not None:
                self.done.append(now)
                found[1]()

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.machine.next_due() if self.machine is not None else None
        if due is not None and not self.silent:
            self._timer = self.world.loop.call_later(max(0.0, due - self.world.now()), self._due)

    def _due(self) -> None:
        self._timer = None
        self._settle(self.world.now())
        self._arm()

    # ------------------------------------------------------------------------------------------ reports

    def _sample(self) -> None:
        fleet, now = self.world.scenario.fleet, self.world.now()
        if self.machine is None:
            return
        while self.done and self.done[0] < now - 1.0:
            self.done.popleft()
        noise = 1 + self.random.gauss(0.0, fleet.report_noise)
        held = round(self.machine.count * noise) if self.machine.count else 0
        self.samples.append(Sample(now, held + self.machine.waited, self.machine.waited, float(len(self.done))))
        self._ticks = [t for t in self._ticks if t.when() > self.world.loop.time()]
        self._ticks.append(self.world.loop.call_later(fleet.report_period_ms / 1000, self._sample))

    def _look(self) -> None:
        if self.machine is None or self.choke is None:
            return
        was = self.choke.choked
        self.choke.look(self.world.now(), self.held())
        if was != self.choke.choked:
            self._apply()
        self._ticks.append(self.world.loop.call_later(CHOKE_LOOK_S, self._look))

    def held(self) -> int:
        """Requests that it holds, at work and waiting."""
        return self.machine.count + self.machine.waited if self.machine is not None else 0

    def report(self) -> bytes:
        """The load report as it reads now: old by its period and lag."""
        until = self.world.now() - self.world.scenario.fleet.report_lag_ms / 1000
        said = next((s for s in reversed(self.samples) if s.at_s <= until), Sample(0.0, 0, 0, 0.0))
        return json.dumps({"inflight": said.inflight, "queue": said.queue, "qps": said.qps}).encode()

    # ------------------------------------------------------------------------------------------ answers

    def run(self, arrival: Arrival, known: Known) -> bytes:
        """The body that answers a request which has run."""
        self.runs += 1
        size = self.world.scenario.class_of(known.class_name).answer_bytes
        body = answer_of(arrival.id, self.plan.uid, self.life, self.runs, size)
        arrival.digest = digest(body)
        return body

    def recognise(self, name: str, method: str, target: str, key: str | None, body: bytes) -> Known | None:
        """What is known of an id, if the request has the form in which its client sent it."""
        known = self.world.known.get(name)
        if known is None or (known.method, known.target, known.key) != (method, target, key):
            return None
        return known if body == body_of(name, known.body_bytes) else None
