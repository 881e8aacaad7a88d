"""A whole fleet on one timeline: clients, front, nodes, network, servers, list and troubles; what comes is a ledger."""

from __future__ import annotations

from collections.abc import Callable
from itertools import accumulate
from random import Random

from cloverhold.decision import interface as io
from cloverhold.decision.decide import Balancer
from cloverhold.rehearsal import faults as f
from cloverhold.rehearsal.ledger import Answer, Ledger, Row, Try
from cloverhold.rehearsal.plan import FirstTry, Plan, ServerPlan, Step, make_plan
from cloverhold.simulation.days import Day
from cloverhold.simulation.nodes import STATUS, Module, Node, Owed
from cloverhold.simulation.registry import Registry
from cloverhold.simulation.servers import Flight, Server, State
from cloverhold.simulation.shares import Shares
from cloverhold.simulation.timeline import Timeline

CLIENT_MS = 0.6  # one way between clients and nodes
SAME_MS, CROSS_MS = 0.24, 0.6  # one way between nodes and servers, within a zone and between two
DIAL_TRIPS = 2  # further ways there and back that a new connection takes
GIVE_UP_MS = 100.0  # past a try's time its client ends the connection
LEFT_MS = 3000.0  # what runs past the last arrival
SWEEP_MS = 5000.0
TERM_HEARD_MS = 300.0  # the front sends connections for so long after SIGTERM
TERM_LINGER_MS = 500.0  # a process takes what comes for so long after it
Make = Callable[[io.Settings, int], Module]


class Fleet:
    """One day in play. `run` plays it to its end."""

    def __init__(self, day: Day, make: Make = Balancer, *, membership: bool = False) -> None:
        """membership: whether nodes know who of them lives, and share servers by that."""
        self.day, self.scenario = day, day.scenario
        self.plan: Plan = make_plan(self.scenario)
        self.timeline = Timeline()
        self.ledger = Ledger(self.scenario.name, day.seed)
        self.chance = self._source("network")
        self.clients = self._source("clients")
        self.registry = Registry(self.timeline, self.scenario.discovery, self._source("list"), self.write)
        self.servers: dict[str, Server] = {}
        for plan in self.plan.servers:
            self.registry.put(self._server(plan), io.Lifecycle.READY)
        self.registry.begin()
        settings = [day.settings(number) for number in range(self.scenario.nodes.count)]

        def module(number: int, life: int) -> Module:
            return make(settings[number], self._source("node", number, life).getrandbits(63))

        idle_ms = 1000 * self.scenario.fleet.idle_s
        self.nodes = [Node(self, n, day.node_zone(n), idle_ms, module) for n in range(len(settings))]
        self.registry.readers = [node.reader for node in self.nodes]
        self.means = {kind.name: kind.work_ms for kind in self.scenario.classes}
        self.dealt: list[int] = []  # nodes that the front takes for alive
        self._weights: list[float] = []
        self.refs = 0
        self.shares = Shares(self.timeline, day, self.nodes) if membership else None

    def _source(self, *names: object) -> Random:
        return Random(":".join(str(n) for n in ("fleet", self.day.kind, self.day.seed, *names)))

    def _server(self, plan: ServerPlan, *, cold: bool = False) -> Server:
        zone, chance = self.day.server_zone(plan.cell), self._source("server", plan.uid)
        server = Server(self.timeline, self.scenario.fleet, plan, zone, chance, self.write, cold=cold)
        self.servers[plan.uid] = server
        return server

    def write(self, row: Row) -> None:
        """Put a row into the ledger."""
        self.ledger.rows.append(row)

    def run(self) -> Ledger:
        """Play the day; the ledger of it."""
        timeline = self.timeline
        for node in self.nodes:
            node.start()
            self.dealt.append(node.number)
        if self.shares is not None:
            self.shares.begin()
        self._deal()
        for first in self.plan.arrivals:
            timeline.at(1000 * first.at_s, self._try, first, 0)
        for step in self.plan.steps:
            timeline.at(1000 * step.at_s, self._step, step)
        for cut in self.day.cuts:
            for node in self.nodes:
                if node.zone == cut.zone:
                    timeline.at(1000 * cut.at_s, self._deafen, node, 1000 * (cut.at_s + cut.for_s))
        timeline.at(500 * self.scenario.length_s, self._deal)
        timeline.after(self.scenario.fleet.report_period_ms, self._sample)
        timeline.after(self.scenario.discovery.weight_period_ms, self._publish)
        timeline.after(SWEEP_MS, self._sweep)
        timeline.run(1000 * self.scenario.length_s + 1000 * self.scenario.longest_s() + LEFT_MS)
        self.ledger.ended_s = timeline.now / 1000
        return self.ledger

    def idle_part(self) -> float:
        """The part of the servers that could begin a request at once."""
        return sum(server.idle() for server in self.servers.values()) / max(1, len(self.servers))

    # --------------------------------------------------------------------------------------- what recurs

    def _sample(self) -> None:
        for server in self.servers.values():
            self.timeline.after(self.scenario.fleet.report_lag_ms, server.sample, self.chance)
        self.timeline.after(self.scenario.fleet.report_period_ms, self._sample)

    def _publish(self) -> None:
        for server in self.servers.values():
            if server.state is not State.DEAD:
                self.registry.weigh(server)
        self.registry.batch()
        self.timeline.after(self.scenario.discovery.weight_period_ms, self._publish)

    def _sweep(self) -> None:
        for node in self.nodes:
            node.sweep()
        self.timeline.after(SWEEP_MS, self._sweep)

    def _deafen(self, node: Node, until: float) -> None:
        node.reader.deaf_until = until

    # ------------------------------------------------------------------------------------------- clients

    def _deal(self) -> None:
        """The front's shares anew: who is alive, and how the zones' traffic has shifted."""
        late = 2 * self.timeline.now >= 1000 * self.scenario.length_s
        shift = dict(zip(self.day.zones, self.day.shift, strict=False)) if late else {}
        self._weights = list(accumulate(self.day.weights[n] * shift.get(self.nodes[n].zone, 1.0) for n in self.dealt))

    def _try(self, first: FirstTry, number: int) -> None:
        """A client sends a request, for the first time or again."""
        kind, clients = self.scenario.class_of(first.class_name), self.scenario.clients
        now = self.timeline.now
        budget = min(clients.try_share * kind.deadline_ms, 1000 * first.at_s + kind.deadline_ms - now)
        if budget <= 0 or not self.dealt:
            return
        node = self.nodes[self.clients.choices(self.dealt, cum_weights=self._weights)[0]]
        self.refs += 1
        row = Try(
            f"{first.index:x}-{number}", first.index, number, kind.name, first.key, node.number, self.refs, False,
            now / 1000, budget / 1000, sent_s=now / 1000,
        )  # fmt: skip
        self.write(row)
        owed = Owed(row, first, now + CLIENT_MS, now + budget)
        self.timeline.after(CLIENT_MS, self._arrive, node, self.refs, owed)
        if first.leaves_s is not None and 1000 * first.leaves_s < budget:
            self.timeline.after(1000 * first.leaves_s, self._impatient, node, self.refs, owed)
        self.timeline.after(budget + GIVE_UP_MS, self._give_up, node, self.refs, owed)

    def _arrive(self, node: Node, ref: int, owed: Owed) -> None:
        if node.module is None or not node.reader.alive:
            return self._refused(owed)
        node.take(ref, owed, again=owed.row.number > 0)

    def _refused(self, owed: Owed) -> None:
        """No process listens there, or it has died: the client comes again."""
        owed.row.ended_s, owed.row.ended, owed.answered = self.timeline.now / 1000, "refused", True
        self._again(owed, None)

    def _impatient(self, node: Node, ref: int, owed: Owed) -> None:
        if not owed.answered:
            owed.answered, owed.row.left_s = True, self.timeline.now / 1000
            owed.row.watched_s = owed.row.left_s
            node.leave(ref)

    def _give_up(self, node: Node, ref: int, owed: Owed) -> None:
        if not owed.answered:
            owed.answered, owed.row.watched_s = True, self.timeline.now / 1000
            node.leave(ref)
            self._again(owed, None)

    def answer(self, owed: Owed, what: str, retry_after_ms: float) -> None:
        """Take a final answer to the client."""
        self.timeline.after(CLIENT_MS, self._answered, owed, what, retry_after_ms)

    def _answered(self, owed: Owed, what: str, retry_after_ms: float) -> None:
        now, row = self.timeline.now, owed.row
        after = retry_after_ms / 1000 if what == "refused" and retry_after_ms else None
        row.answers.append(Answer(now / 1000, STATUS[what], row.id if what == "served" else "", True, after))
        if owed.answered:
            return
        owed.answered = True
        if what != "served":
            self._again(owed, after)

    def _again(self, owed: Owed, after_s: float | None) -> None:
        """The client comes again, where it does."""
        clients, number = self.scenario.clients, owed.row.number
        if number >= clients.retries:
            return
        wait = clients.backoff_ms * (2**number if clients.backoff == "exp" else 1) * self.clients.uniform(0.5, 1.0)
        if after_s is not None and owed.first.honours:
            wait = max(wait, 1000 * after_s)
        self.timeline.after(wait, self._try, owed.first, number + 1)

    # ------------------------------------------------------------------------------------------- network

    def _cut(self, node: Node, server: Server) -> bool:
        """Whether nothing passes between the two."""
        now = self.timeline.now / 1000
        return any(c.lasts(now) and (node.zone == c.zone) != (server.zone == c.zone) for c in self.day.cuts)

    def _way(self, node: Node, server: Server) -> float:
        return (SAME_MS if node.zone == server.zone else CROSS_MS) * self.chance.uniform(0.8, 1.3)

    def carry(self, flight: Flight) -> None:
        """Take an attempt or a probe to its server."""
        node, server = self.nodes[flight.node], flight.server
        way, inner = self._way(node, server), flight.done

        def back(ended: Flight, status: io.Status, report: io.LoadReport | None) -> None:
            self._back(node, ended, inner, status, report)

        flight.done = back
        if self._cut(node, server):
            if flight.new:
                wait = self.scenario.nodes.dial_timeout_ms
                self.timeline.after(wait, inner, flight, io.Status.CONNECT_FAILED, None)
            return
        trips = 2 * DIAL_TRIPS if flight.new else 0
        self.timeline.after(way * (1 + trips), self._reach, flight)

    def _reach(self, flight: Flight) -> None:
        if flight.row is not None and not flight.over and flight.server.state is not State.DEAD:
            loss, draw = self._losses(), self.chance.random()
            if draw < loss:
                flight.row.first_byte_s = flight.row.last_byte_s = self.timeline.now / 1000
                flight.row.outcome, flight.row.ended_s = "reset", self.timeline.now / 1000
                return flight.done(flight, io.Status.RESET, None)
        flight.server.arrive(flight)

    def _losses(self) -> float:
        now = self.timeline.now / 1000
        return sum(loss.reset for loss in self.day.losses if loss.lasts(now))

    def _back(
        self, node: Node, flight: Flight, done: Callable[[Flight, io.Status, io.LoadReport | None], None],
        status: io.Status, report: io.LoadReport | None,
    ) -> None:  # fmt: skip
        """An answer's way back, where it may be lost or spoilt."""
        if self._cut(node, flight.server):
            return
        if status is io.Status.OK and flight.row is not None:
            now, draw = self.timeline.now / 1000, self.chance.random()
            for loss in self.day.losses:
                if loss.lasts(now):
                    if draw < loss.lost:
                        flight.row.outcome, flight.row.ended_s = "silent", None
                        return
                    if draw < loss.lost + loss.spoilt:
                        status, flight.row.outcome = io.Status.RESET, "spoilt"
        self.timeline.after(self._way(node, flight.server), done, flight, status, report)

    # ------------------------------------------------------------------------------------------ troubles

    def _step(self, step: Step) -> None:
        """One thing of the script."""
        if step.what.startswith(("node_", "reload_", "discovery_")):
            return self._node_step(self.nodes[int(step.target[1:])], step.what)
        if step.other is not None:  # one that was not there
            return self._list(self._server(step.other, cold=True), io.Lifecycle.READY, self._added_s())
        server, fault = self.servers[step.target], self.scenario.faults[step.fault]
        match step.what:
            case "die" | "die_for_good":
                self.die(server, for_good=step.what == "die_for_good")
            case "return":
                server.start(cold=True)
                self._list(server, io.Lifecycle.READY, self._added_s())
            case "leave" | "rejoin":
                server.leaving = step.what == "leave"
                if server.state is not State.DEAD:
                    self._list(server, io.Lifecycle.DRAINING if server.leaving else io.Lifecycle.READY, 0.0)
            case "behave":
                server.touch()
                if isinstance(fault, f.Slow):
                    server.wrongs.slow = fault.factor
                elif isinstance(fault, f.QuickErrors):
                    server.wrongs.errors = fault.share
                elif isinstance(fault, f.Hang):
                    server.hang(on=True)
                server.touch()
            case "behave_again":
                if isinstance(fault, f.Hang):
                    server.hang(on=False)
                server.wrongs.slow, server.wrongs.errors = 1.0, 0.0
                server.touch()

    def die(self, server: Server, *, for_good: bool) -> None:
        """A server's process ends: what it held is reset, and the list hears of it after a while."""
        if server.state is State.DEAD:
            return
        server.end("replaced" if for_good else "crash")
        for node in self.nodes:
            node.dropped(server)
        self._list(server, io.Lifecycle.GONE, self.scenario.discovery.notice_s)

    def _added_s(self) -> float:
        return self.scenario.discovery.notice_s / 2  # what comes is listed sooner than what goes

    def _list(self, server: Server, lifecycle: io.Lifecycle, after_s: float) -> None:
        self.timeline.after(1000 * after_s, self._listed, server, server.life, lifecycle)

    def _listed(self, server: Server, life: int, lifecycle: io.Lifecycle) -> None:
        if life == server.life and (lifecycle is io.Lifecycle.GONE) == (server.state is State.DEAD):
            self.registry.put(server, lifecycle)

    def _node_step(self, node: Node, what: str) -> None:
        now = self.timeline.now
        match what:
            case "node_kill" if node.life is not None:
                node.life.killed_s = now / 1000
                if self.shares is not None:
                    self.shares.ended(node)
                for owed in node.stop():
                    owed.row.ended_s, owed.row.ended, owed.answered = now / 1000, "reset", True
                    self._again(owed, None)
                self.timeline.after(1000 * self.scenario.front.notice_s, self._forget, node, node.lives)
            case "node_term" if node.life is not None:
                node.life.term_s = now / 1000
                if self.shares is not None:
                    self.shares.left(node)
                self.timeline.after(TERM_HEARD_MS, self._forget, node, node.lives)
                self.timeline.after(TERM_LINGER_MS, self._emptied, node, node.lives, now + 3400.0)
            case "node_start":
                self.timeline.after(0.0, self._starts, node)
            case "reload_move":
                self.registry.moved(node.reader)

    def _forget(self, node: Node, life: int) -> None:
        if node.number in self.dealt and (node.lives == life or node.module is None):
            self.dealt.remove(node.number)
            self._deal()

    def _emptied(self, node: Node, life: int, until: float) -> None:
        """A process that was told to stop ends once it owes nothing."""
        if node.lives != life or node.life is None:
            return
        if node.owed and self.timeline.now < until:
            return self.timeline.after(20.0, self._emptied, node, life, until)
        node.life.code = 0
        node.stop()
        self.timeline.after(500.0, self._starts, node)

    def _starts(self, node: Node) -> None:
        """A process begins, once the one before it has ended."""
        if node.module is not None:
            return
        node.start()
        if self.shares is not None:
            self.shares.started(node)
        if node.number not in self.dealt:
            self.dealt.append(node.number)
        self._deal()
