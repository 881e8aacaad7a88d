"""One rehearsal from its first port to its last: starts what is needed, plays the script, ends all of it."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from cloverhold.rehearsal import faults as f
from cloverhold.rehearsal.agents import DiscoveryStandIn
from cloverhold.rehearsal.catalog import CallQueue
from cloverhold.rehearsal.clients import Clients
from cloverhold.rehearsal.front import Front
from cloverhold.rehearsal.hostile import Strangers, patience_s
from cloverhold.rehearsal.lag import LagMeter
from cloverhold.rehearsal.ledger import FaultSpan, Ledger, Probes, Seen
from cloverhold.rehearsal.nodes import COMMAND, READY_S, Node, NodeFailed
from cloverhold.rehearsal.plan import ServerPlan, Step, make_plan
from cloverhold.rehearsal.relays import Relays
from cloverhold.rehearsal.roster import Roster
from cloverhold.rehearsal.scenario import Scenario
from cloverhold.rehearsal.servers import Address, Group, Server
from cloverhold.rehearsal.sockets import port_of
from cloverhold.rehearsal.world import World

LEAD_S = 0.2  # between the last node's readiness and the load
FOUND_S = 10.0  # members that have not found one another by then do not: the judge will say so
POISONED = -2  # the cause of what a poisoned request did to a server, beside the numbers of faults
TAIL_S = 1.0  # after the last deadline, for what is late


@dataclass(slots=True)
class Progress:
    """How far a rehearsal is, for those who watch."""

    at_s: float
    length_s: float
    sent: int
    open: int
    servers_up: int
    nodes_up: int
    faults: Sequence[str] = ()
    lag_ms: float = 0.0


class Stage:
    """The parts of one rehearsal, and the script's steps."""

    def __init__(self, scenario: Scenario, folder: Path, command: Sequence[str]) -> None:
        self.scenario = scenario
        self.world = World(scenario, make_plan(scenario))
        world, nodes = self.world, scenario.nodes.count
        self.addresses: dict[str, Address] = {}
        self.servers: dict[str, Server] = {}
        self.at: dict[str, str] = {}  # who is at a place of the fleet, where that is no longer the first one
        self.groups: dict[int, Group] = {}
        self.front = Front(scenario.front.notice_s, world.source("front"))
        asked, call_queue = scenario.discovery, None
        if asked.mode == "ask":
            call_queue = CallQueue(asked.capacity, asked.call_lines, asked.timeout_s)
        self.stand_ins = [
            DiscoveryStandIn(world, n, lambda uid, n=n: self.addresses[uid].ports[n], call_queue)  # type: ignore[misc]
            for n in range(nodes)
        ]
        self.nodes = [
            Node(world, n, self.stand_ins[n], self.front, folder, command, self._node_ended) for n in range(nodes)
        ]
        words = [port_of(node.words) for node in self.nodes if node.words is not None]
        self.relays = Relays(world, words) if words else None
        ports = [node.port for node in self.nodes]
        self.clients = Clients(world, self.front, ports)
        self.strangers = Strangers(world, self.front, self.clients, ports)
        self.roster = Roster(world, self.stand_ins, self.servers)
        self.meter = LagMeter(world)
        self.stopped = asyncio.Event()
        self.why = ""
        self.timers: set[asyncio.TimerHandle] = set()
        self.tasks: list[asyncio.Task[None]] = []
        for plan in world.plan.servers:
            self._add(plan)

    def _add(self, plan: ServerPlan, *, at: str = "") -> Server:
        """A server, at an address of its own or at another's."""
        address = self.addresses[at] if at else Address(self.scenario.nodes.count)
        self.addresses[plan.uid] = address
        group = self.groups.setdefault(plan.cell, Group())
        server = self.servers[plan.uid] = Server(self.world, plan, address, group, replaces=at)
        server.poisoned = self._poisoned
        return server

    # ---------------------------------------------------------------------------------------------- running

    def stop(self, why: str) -> None:
        """End the rehearsal early; its report will say so."""
        if not self.stopped.is_set():
            self.why = why
            self.stopped.set()

    def _node_ended(self, number: int) -> None:
        row = self.nodes[number].row
        if row is not None and row.term_s is None and row.killed_s is None:
            self.front.ends(number, self.world.now())
            why = ": it held more memory than it may" if row.why == "memory" else ""
            self.stop(f"node n{number} ended by itself, status {row.code}{why}")

    async def ready(self) -> None:
        """Start discovery and the nodes; wait until each has said that it is well, or the rehearsal is stopped.

        Raises NodeFailed.
        """
        for plan in self.world.plan.servers:
            self.roster.first(plan)
        for stand_in in self.stand_ins:
            stand_in.listen()
        if self.relays is not None:
            await self.relays.open()
        for node in self.nodes:
            if self.relays is not None:
                node.peers = self.relays.addresses(node.number)
            await node.start()
        until = self.world.now() + READY_S
        while not all(node.row is not None and node.row.ready_s is not None for node in self.nodes):
            if self.stopped.is_set():
                if any(node.row is not None and node.row.ended_s is not None for node in self.nodes):
                    raise NodeFailed(self.why)
                return
            if self.world.now() > until:
                raise NodeFailed(f"a node was not ready within {READY_S:g} s")
            await asyncio.sleep(0.02)
        until = self.world.now() + FOUND_S
        while self.scenario.goals.members is not None and not self._found() and self.world.now() < until:
            if self.stopped.is_set():
                return
            await asyncio.sleep(0.02)

    def _found(self) -> bool:
        """Whether each node says that it holds all: the script's cuts are meant for a fleet that has found itself."""
        told = {row.node: row.alive for row in self.world.ledger.of(Seen)}
        return all(len(told.get(node.number, ())) == len(self.nodes) for node in self.nodes)

    async def play(self) -> None:
        """The load and the script, to the end or until it is stopped."""
        self.world.begin(LEAD_S)
        for plan in self.world.plan.servers:
            self.servers[plan.uid].start(cold=False)
        self.meter.start()
        if self.scenario.discovery.weights == "live":
            self.roster.weigh()
        for at, fault in enumerate(self.scenario.faults):
            targets = sorted({s.target for s in self.world.plan.steps if s.fault == at})
            span = FaultSpan(fault.kind, fault.at_s, fault.at_s + fault.for_s, targets)
            self.world.ledger.rows.append(span)
        create = self.world.loop.create_task
        self.tasks = [create(self.clients.run()), create(self._script()), create(self.strangers.run())]
        finished = create(self._finished())
        stopped = create(self.stopped.wait())
        try:
            await asyncio.wait([finished, stopped], return_when=asyncio.FIRST_COMPLETED)
            for task in (*self.tasks, finished):
                if task.done() and not task.cancelled() and (error := task.exception()) is not None:
                    raise error
        finally:
            finished.cancel()
            stopped.cancel()
            await asyncio.gather(finished, stopped, return_exceptions=True)

    async def _finished(self) -> None:
        """All is sent, and has its answer or is past its time."""
        await self.world.until(self.scenario.length_s)
        owed = max((patience_s(v.how) for v in self.world.plan.visits), default=0.0)
        until = self.world.now() + max(self.scenario.longest_s(), owed) + TAIL_S
        while self.world.now() < until and not (self.clients.idle_now() and not self.strangers.tasks):
            if any(task.done() and not task.cancelled() and task.exception() for task in self.tasks):
                return
            await asyncio.sleep(0.05)

    async def end(self) -> Ledger:
        """A planned stop of the nodes, and the ledger."""
        ledger = self.world.ledger
        ledger.partial, ledger.ended_s = self.why, self.world.now()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.strangers.close()
        await self.clients.close()
        if not self.why:
            for node in self.nodes:
                node.term()
            await asyncio.gather(*(node.gone() for node in self.nodes))
        self.meter.close()
        for server in self.servers.values():
            for number, count in sorted(server.probes.items()):
                ledger.rows.append(Probes(server.plan.uid, number, count))
        return ledger

    async def close(self) -> None:
        """End every child and give back every port, whatever state they are in."""
        for timer in self.timers:
            timer.cancel()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await asyncio.gather(*(node.close() for node in self.nodes))
        await self.strangers.close()
        await self.clients.close()
        self.roster.close()
        self.meter.close()
        for server in self.servers.values():
            server.close()
        for stand_in in self.stand_ins:
            stand_in.close()
        if self.relays is not None:
            self.relays.close()
        for address in {id(a): a for a in self.addresses.values()}.values():
            address.close()
        await asyncio.sleep(0)  # transports that were aborted close their sockets in the next turn

    def progress(self) -> Progress:
        """How far it is."""
        now = self.world.now()
        faults = [x.kind for x in self.scenario.faults if x.at_s <= now < x.at_s + x.for_s]
        return Progress(
            at_s=now, length_s=self.scenario.length_s, sent=self.clients.sent, open=len(self.clients.pending),
            servers_up=sum(s.machine is not None and not s.silent for s in self.servers.values()),
            nodes_up=sum(node.is_up() for node in self.nodes), faults=faults, lag_ms=self.meter.last_ms,
        )  # fmt: skip

    # ----------------------------------------------------------------------------------------------- script

    async def _script(self) -> None:
        for step in self.world.plan.steps:
            await self.world.until(step.at_s)
            await self._do(step)

    async def _do(self, step: Step) -> None:
        if step.what in _ON_SERVERS:
            _ON_SERVERS[step.what](self, self.servers[self.at.get(step.target, step.target)], step)
        elif step.what in _ON_FLEET:
            _ON_FLEET[step.what](self, step)
        elif step.what in _ON_STAND_INS:
            _ON_STAND_INS[step.what](self, self.stand_ins[int(step.target[1:])], step)
        else:
            await self._on_node(self.nodes[int(step.target[1:])], step)

    def _die(self, server: Server, step: Step) -> None:
        server.causes.add(step.fault)
        life = server.life
        server.end("crash")
        self._list_down(server, life)

    def _list_down(self, server: Server, life: int) -> None:
        notice = self.scenario.discovery.notice_s
        self.roster.list_after(notice, server.plan, "left", lambda: server.life == life)

    def _poisoned(self, server: Server, harm: f.Poison) -> None:
        """A request has harmed its server: it crashes and comes back cold, or hangs, for as long as the fault says."""
        if server.machine is None or POISONED in server.causes or POISONED in server.wrong:
            return
        step = Step(self.world.now(), "", server.plan.uid, POISONED)
        if harm.how == "crash":
            self._die(server, step)
            self._in(harm.down_s, lambda: self._return(server, step))
        else:
            server.behave(POISONED, f.Hang(kind="hang", at_s=0.0, for_s=harm.down_s, servers=(server.plan.uid,)))
            self._in(harm.down_s, lambda: server.behave_again(POISONED))

    def _in(self, delay_s: float, call: Callable[[], None]) -> None:
        def fire() -> None:
            self.timers.discard(handle)
            call()

        handle = self.world.loop.call_later(delay_s, fire)
        self.timers.add(handle)

    def _die_for_good(self, server: Server, step: Step) -> None:
        server.causes.add(step.fault)
        server.end("replaced")
        self.roster.list_after(self.scenario.discovery.notice_s, server.plan, "left", lambda: True)

    def _silence(self, server: Server, step: Step) -> None:
        server.causes.add(step.fault)
        life = server.life
        server.fall_silent()
        notice = self.scenario.discovery.silent_notice_s
        self.roster.list_after(notice, server.plan, "left", lambda: server.life == life)

    def _return(self, server: Server, step: Step) -> None:
        """It comes back cold, unless something else keeps it down, or it is another one by now."""
        if step.fault not in server.causes:
            return
        server.causes.discard(step.fault)
        if server.causes:
            return
        server.end("crash")
        server.start(cold=True)
        self._list_up(server)

    def _list_up(self, server: Server) -> None:
        life = server.life
        notice = self.scenario.discovery.notice_s

        def same() -> bool:
            return server.life == life and server.machine is not None and not server.leaving

        self.roster.list_after(notice, server.plan, "active", same)

    def _leave(self, server: Server, step: Step) -> None:
        server.leaving = True
        self.roster.list_after(0.0, server.plan, "leaving", lambda: server.leaving)

    def _rejoin(self, server: Server, step: Step) -> None:
        server.leaving = False
        if server.machine is not None:
            self._list_up(server)

    def _replace(self, step: Step) -> None:
        assert step.other is not None
        old = self.at.get(step.target, step.target)
        self.servers[old].end("replaced")
        self.at[step.target] = step.other.uid
        server = self._add(step.other, at=old)
        server.start(cold=True)
        self._list_up(server)

    def _join(self, step: Step) -> None:
        assert step.other is not None
        server = self._add(step.other)
        server.start(cold=True)
        self._list_up(server)

    def _down(self, stand_in: DiscoveryStandIn, step: Step) -> None:
        fault = self.scenario.faults[step.fault]
        assert isinstance(fault, f.DiscoveryDown)
        stand_in.fail(step.fault, fault.how)

    def _ails(self, stand_in: DiscoveryStandIn, step: Step) -> None:
        stand_in.ail(step.fault, self.scenario.faults[step.fault])

    async def _on_node(self, node: Node, step: Step) -> None:
        match step.what:
            case "node_kill":
                node.kill()
            case "node_term":
                node.term()
            case "node_stop":
                node.stop()
            case "node_continue":
                node.go_on()
            case "node_drain" | "node_undrain":
                node.drain(on=step.what == "node_drain")
            case "node_start":
                if not node.serves():  # else another fault's end has started it
                    await node.gone()
                    await node.start()
            case "reload_move":
                node.stand_in.move()
                node.write()
                node.hup()
            case "reload_broken":
                node.write('{"listen": ')
                node.hup()
            case "reconfigure":
                fault = self.scenario.faults[step.fault]
                assert isinstance(fault, f.Reconfigure)
                node.reconfigure(fault.operator)
            case "reconfigured":
                pass
            case "signal":
                fault = self.scenario.faults[step.fault]
                assert isinstance(fault, f.SignalSeries)
                node.signal_again(fault)
            case "fail_calls" | "mend_calls":
                fault = self.scenario.faults[step.fault]
                assert isinstance(fault, f.FailingCalls)
                node.fail_calls(fault, on=step.what == "fail_calls")
            case "step_wall_clock" | "step_wall_clock_back":
                fault = self.scenario.faults[step.fault]
                assert isinstance(fault, f.WallClock)
                node.step_wall_clock(fault.step_s if step.what == "step_wall_clock" else 0.0)
            case "reload_mended":
                node.write()
                node.hup()
            case _:
                raise ValueError(f"no such step: {step.what}")


_ON_SERVERS: dict[str, Callable[[Stage, Server, Step], None]] = {
    "die": Stage._die,
    "die_for_good": Stage._die_for_good,
    "silence": Stage._silence,
    "return": Stage._return,
    "leave": Stage._leave,
    "rejoin": Stage._rejoin,
    "behave": lambda stage, server, step: server.behave(step.fault, stage.scenario.faults[step.fault]),
    "behave_again": lambda stage, server, step: server.behave_again(step.fault),
}
_ON_FLEET: dict[str, Callable[[Stage, Step], None]] = {"replace": Stage._replace, "join": Stage._join}
_ON_STAND_INS: dict[str, Callable[[Stage, DiscoveryStandIn, Step], None]] = {
    "discovery_down": Stage._down,
    "discovery_up": lambda stage, stand_in, step: stand_in.mend(step.fault),
    "discovery_ails": Stage._ails,
    "discovery_heals": lambda stage, stand_in, step: stand_in.heal(step.fault),
    "discovery_stale": lambda stage, stand_in, step: stand_in.freeze(step.fault, on=True),
    "discovery_fresh": lambda stage, stand_in, step: stand_in.freeze(step.fault, on=False),
    "discovery_old_closes": lambda stage, stand_in, step: stand_in.close_old(),
}


@asynccontextmanager
async def staged(scenario: Scenario, folder: Path, command: Sequence[str] = COMMAND) -> AsyncIterator[Stage]:
    """A stage that is cleared whatever happens on it."""
    stage = Stage(scenario, folder, command)
    try:
        yield stage
    finally:
        await stage.close()


async def rehearse(
    scenario: Scenario,
    folder: Path,
    command: Sequence[str] = COMMAND,
    *,
    started: Callable[[Stage], object] = lambda stage: None,
) -> Ledger:
    """Play a scenario; `started` gets the stage before anything runs on it. Raises NodeFailed."""
    async with staged(scenario, folder, command) as stage:
        started(stage)
        gc.freeze()
        gc.disable()  # see `tidy`
        with contextlib.ExitStack() as undo:
            undo.callback(gc.enable)
            undo.callback(gc.unfreeze)
            await stage.ready()
            if not stage.stopped.is_set():
                await stage.play()
            return await stage.end()
