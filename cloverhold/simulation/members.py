"""Fleets of members in simulated time: datagrams lost, late, twice and one way; processes killed, stopped and starved.

Nothing of the core is copied or replaced: the same `Member` that a node runs, told a simulated clock. Pure, from seeds.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from cloverhold.fleet.membership.core import TICK_MS, Member
from cloverhold.fleet.membership.interface import Changed, Deliver, Phase, Rules
from cloverhold.fleet.wire.datagrams import BadDatagram, Datagram, decode, encode, fleet_of, size
from cloverhold.simulation.network import Network
from cloverhold.simulation.timeline import Timeline

FLEET = fleet_of("simulated")
KERNEL = 400  # datagrams that wait for a stopped process
HEAD_BYTES = 32  # of a datagram without items


@dataclass(slots=True)
class Heard:
    """A change that one process noted. of: whose note it is."""

    at: float
    of: int
    change: Changed


class Process:
    """One process of a member: it runs, is stopped, or is gone."""

    def __init__(self, member: Member) -> None:
        self.member = member
        self.up, self.stopped = True, False
        self.every = 0.0  # between two turns of its loop, where it is starved; it reads its socket no sooner either
        self.wakes, self.set = 0.0, 0  # when its timer rings, and which one that is
        self.waiting: deque[Datagram] = deque(maxlen=KERNEL)


class Fleet:
    """Some processes on one network."""

    def __init__(
        self, peers: int, seed: int, rules: Rules | None = None, network: Network | None = None, *, wire: bool = True,
        make: Callable[..., Member] = Member, timeline: Timeline | None = None,
    ) -> None:  # fmt: skip
        """wire: whether each datagram goes through its bytes; without, they are only counted. timeline: of a larger
        world that it stands in.
        """
        self.peers, self.rules, self.network = peers, rules or Rules(), network or Network()
        self.chance, self.timeline = Random(f"members {seed}"), timeline or Timeline()
        self.wire, self.make = wire, make
        self.running: dict[int, Process] = {}
        self.notes: list[Heard] = []
        self.sent: Counter[int] = Counter()  # datagrams, by sender
        self.bytes: Counter[int] = Counter()
        self.born: dict[int, float] = {}
        self.newest: dict[int, int] = {}

    def now(self) -> float:
        return self.timeline.now

    def start(self, numbers: Iterable[int], over_ms: float = 200.0) -> None:
        """Start a process for each, spread over some time."""
        for number in numbers:
            self.timeline.after(self.chance.random() * over_ms, self._start, number)

    def _start(self, number: int) -> None:
        now = self.now()
        more = {"newest": self.newest[number]} if number in self.newest else {}
        life, source = self.chance.getrandbits(32), Random(self.chance.getrandbits(64))
        member = self.make(number, self.peers, life, self.rules, source, now, **more)
        process = self.running[number] = Process(member)
        self.born[number] = now
        self._loop(process, process.set)

    def _loop(self, process: Process, timer: int) -> None:
        if not process.up or timer != process.set:
            return
        if not process.stopped:
            while process.waiting:
                self._do(process, process.member.hear(process.waiting.popleft(), self.now()))
            self._do(process, process.member.turn(self.now()))
        self._wake(process, process.every or (process.member.rest if not process.stopped else TICK_MS))

    def _wake(self, process: Process, rest_ms: float) -> None:
        process.wakes, process.set = self.now() + rest_ms, process.set + 1
        self.timeline.after(rest_ms, self._loop, process, process.set)

    def _do(self, process: Process, actions: Iterable[object]) -> None:
        me = process.member.me
        for action in actions:
            if isinstance(action, Changed):
                self.notes.append(Heard(self.now(), me, action))
            elif isinstance(action, Deliver):
                self.carry(me, action.to, action.datagram)

    def carry(self, sender: int, to: int, datagram: Datagram) -> None:
        """Take a datagram on its way."""
        self.sent[sender] += 1
        self.bytes[sender] += HEAD_BYTES + sum(size(item, datagram.form) for item in datagram.items)
        for way in self.network.ways(sender, to, self.now(), self.chance):
            self.timeline.after(way, self._arrive, to, encode(datagram, FLEET) if self.wire else datagram)

    def _arrive(self, to: int, what: bytes | Datagram) -> None:
        process = self.running.get(to)
        if process is None or not process.up:
            return
        if isinstance(what, bytes):
            try:
                what = decode(what, FLEET, process.member.newest)
            except BadDatagram:
                return
        if process.stopped or process.every:
            process.waiting.append(what)
            return
        self._do(process, process.member.hear(what, self.now()))
        if self.now() + process.member.rest < process.wakes:
            self._wake(process, process.member.rest)

    def run(self, ms: float) -> None:
        self.timeline.run(self.now() + ms)

    # ---------------------------------------------------------------------------------------------------- faults

    def kill(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            self.running[number].up = False

    def leave(self, number: int) -> None:
        """Tell it to stop."""
        process = self.running[number]
        self._do(process, process.member.leave(self.now()))
        process.up = False

    def stop(self, number: int, ms: float) -> None:
        """SIGSTOP, and SIGCONT after so long."""
        process = self.running[number]
        process.stopped = True

        def wake() -> None:
            process.stopped = False

        self.timeline.after(ms, wake)

    def starve(self, numbers: Iterable[int], every_ms: float) -> None:
        """Their loops turn no more often than this."""
        for number in numbers:
            self.running[number].every = every_ms

    # ------------------------------------------------------------------------------------------------ being asked

    def up(self) -> list[int]:
        return sorted(number for number, process in self.running.items() if process.up)

    def view(self, number: int) -> tuple[int, ...] | None:
        return self.running[number].member.view(self.now())

    def agreed(self) -> bool:
        """Whether all that run hold the same: one another."""
        up = tuple(self.up())
        return all(self.view(number) == up for number in up)

    def until(self, holds: Callable[[], bool], most_ms: float, step_ms: float = 25.0) -> float | None:
        """Run until it holds; how long that took in ms, None where it did not."""
        begun = self.now()
        while self.now() - begun < most_ms:
            if holds():
                return self.now() - begun
            self.run(step_ms)
        return None

    def deaths(self, since: float = 0.0) -> list[Heard]:
        """All notes of a death."""
        return [note for note in self.notes if note.at >= since and note.change.state == "dead"]

    def phase(self, number: int) -> Phase:
        return self.running[number].member.phase
