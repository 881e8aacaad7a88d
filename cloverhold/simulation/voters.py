"""Voters in simulated time: messages lost, late, twice and one way; processes stopped and killed between any two of
their actions, and back from what was durable. What may never be is looked at after every action. Pure, from seeds.

Nothing of the core is copied or replaced: the same `Voter` that a node runs, told a simulated clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from cloverhold.fleet.agreement.interface import (
    Action, Became, Confirmed, Decided, Deliver, Disk, Entry, Index, Message, Persist, Restored, Role, Stored, Timing,
)  # fmt: skip
from cloverhold.fleet.agreement.log import Log
from cloverhold.fleet.agreement.voter import Voter
from cloverhold.simulation.network import Network
from cloverhold.simulation.timeline import Timeline

TURN_MS = 25.0


@dataclass(slots=True)
class Durable:
    """What a disk holds."""

    log: Log
    term: int = 0
    vote: Disk | None = None

    def write(self, what: Persist) -> None:
        self.term, self.vote = what.term, what.vote
        if what.stored is not None:
            self.log.cut(what.stored)
        if what.after is not None:
            self.log.take(what.after, what.entries)


@dataclass(slots=True)
class Process:
    """One life of a voter."""

    voter: Voter
    up: bool = True
    stopped: bool = False
    waiting: list[tuple[Disk, Message]] = field(default_factory=list)
    rounds: dict[int, float] = field(default_factory=dict)  # of the term that it leads: when each began


class Fleet:
    """Some voters on one network, and all that they have ever decided."""

    def __init__(
        self, disks: Iterable[Disk], seed: int, timing: Timing | None = None, make: Callable[..., Voter] = Voter,
        voters: Iterable[Disk] | None = None,
    ) -> None:  # fmt: skip
        """voters: who votes to begin with; all where it is None."""
        self.disks = tuple(disks)
        self.timing, self.roads, self.make = timing or Timing(), Network(), make
        self.chance, self.timeline = Random(f"voters {seed}"), Timeline()
        first = Stored(0, 0, tuple(voters) if voters is not None else self.disks, b"")
        self.durable = {disk: Durable(Log(first)) for disk in self.disks}
        self.running: dict[Disk, Process] = {}
        self.history: dict[Index, Entry] = {}  # what was decided, by anybody, ever
        self.leaders: dict[int, Disk] = {}  # by term
        self.elected: list[tuple[float, int]] = []  # when, and the term
        self.known: dict[Disk, Index] = {}  # how far each has said that all is decided, in this life
        self.wrong: list[str] = []
        self.stops: dict[Disk, int] = {}  # a process dies, or sleeps, after so many more actions
        self.sleeps: dict[Disk, float] = {}  # and for how long it sleeps, where it doesn't die
        self.words = 0

    def now(self) -> float:
        return self.timeline.now

    # ------------------------------------------------------------------------------------------------- processes

    def start(self, disk: Disk) -> None:
        """A new life, from what its disk holds."""
        held = self.durable[disk]
        log = Log(held.log.stored, held.log.entries)
        source = Random(self.chance.getrandbits(64))
        voter = self.make(disk, log, held.term, held.vote, self.timing, source, self.now())
        self.known[disk] = log.stored.index
        self.running[disk] = process = Process(voter)
        self._turn(disk, process)

    def start_all(self) -> None:
        for disk in self.disks:
            self.start(disk)

    def kill(self, disk: Disk) -> None:
        self.running[disk].up = False

    def stop(self, disk: Disk, ms: float, then: list[Action] | None = None) -> None:
        """SIGSTOP, and SIGCONT after so long. then: what it was about to do, and goes on with."""
        process = self.running[disk]
        process.stopped = True
        self.timeline.after(ms, self._wake, disk, process, then or [])

    def _wake(self, disk: Disk, process: Process, then: list[Action]) -> None:
        process.stopped = False
        if process.up:
            self._do(disk, process, then)
        waiting, process.waiting = process.waiting, []
        for sender, message in waiting:
            self._arrive(sender, disk, message, process)

    def _turn(self, disk: Disk, process: Process) -> None:
        if not process.up:
            return
        if not process.stopped:
            self._do(disk, process, process.voter.turn(self.now()))
        self.timeline.after(TURN_MS, self._turn, disk, process)

    def propose(self, disk: Disk, command: bytes) -> None:
        process = self.running.get(disk)
        if process is not None and process.up and not process.stopped:
            self._do(disk, process, process.voter.propose([command], self.now()))

    def call(self, disk: Disk, what: Callable[[Voter, float], list[Action]]) -> None:
        """Anything else that a voter may be told."""
        process = self.running.get(disk)
        if process is not None and process.up and not process.stopped:
            self._do(disk, process, what(process.voter, self.now()))

    def run(self, ms: float) -> None:
        self.timeline.run(self.now() + ms)

    # --------------------------------------------------------------------------------------------------- actions

    def _do(self, disk: Disk, process: Process, actions: list[Action]) -> None:
        """Carry out actions, one after the other; the process may die or sleep between any two."""
        for at, action in enumerate(actions):
            if disk in self.stops:
                if self.stops[disk] == 0:
                    del self.stops[disk]
                    if (asleep := self.sleeps.pop(disk, None)) is None:
                        process.up = False
                        return
                    self.stop(disk, asleep, actions[at:])
                    return
                self.stops[disk] -= 1
            self._act(disk, process, action)

    def _act(self, disk: Disk, process: Process, action: Action) -> None:
        now = self.now()
        match action:
            case Persist():
                self.durable[disk].write(action)
            case Deliver():
                self._carry(disk, action.to, action.message)
                round_ = getattr(action.message, "round", None)
                if round_ is not None and process.voter.role is Role.LEADER:
                    process.rounds.setdefault(round_, now)
            case Decided():
                self._decided(disk, action.index, action.entry)
            case Restored():
                self.known[disk] = action.stored.index
            case Became():
                if action.role is Role.LEADER:
                    process.rounds.clear()
                    self._leads(disk, action.term)
            case Confirmed():
                self._confirmed(disk, process, action.round)

    def _carry(self, sender: Disk, to: Disk, message: Message) -> None:
        self.words += 1
        for way in self.roads.ways(sender, to, self.now(), self.chance):
            self.timeline.after(way, self._arrive, sender, to, message)

    def _arrive(self, sender: Disk, to: Disk, message: Message, waited: Process | None = None) -> None:
        process = self.running.get(to)
        if process is None or not process.up or (waited is not None and waited is not process):
            return
        if process.stopped:
            process.waiting.append((sender, message))
        else:
            self._do(to, process, process.voter.hear(sender, message, self.now()))

    # ------------------------------------------------------------------------------------------ what may never be

    def _leads(self, disk: Disk, term: int) -> None:
        if self.leaders.setdefault(term, disk) != disk:
            self.wrong.append(f"{self.now():.0f}: two leaders in term {term}")
        self.elected.append((self.now(), term))

    def _decided(self, disk: Disk, index: Index, entry: Entry) -> None:
        if index != self.known[disk] + 1:
            self.wrong.append(f"{self.now():.0f}: {disk!r} skips from {self.known[disk]} to {index}")
        self.known[disk] = index
        if self.history.setdefault(index, entry) != entry:
            self.wrong.append(f"{self.now():.0f}: {disk!r} decides another entry {index}")

    def _confirmed(self, disk: Disk, process: Process, round_: int) -> None:
        """Nobody led a later term before the round began that a leader takes for answered by a majority."""
        began, term = process.rounds.get(round_), process.voter.term
        if began is not None and any(at < began and other > term for at, other in self.elected):
            self.wrong.append(f"{self.now():.0f}: {disk!r} confirms a round begun after a later leader was elected")

    # ---------------------------------------------------------------------------------------------- being asked

    def leader(self) -> Disk | None:
        """Who leads the highest term, of those that run."""
        led = [(p.voter.term, d) for d, p in self.running.items() if p.up and p.voter.role is Role.LEADER]
        return max(led)[1] if led else None

    def until(self, holds: Callable[[], bool], most_ms: float) -> float | None:
        """Run until it holds; how long that took in ms, None where it did not."""
        begun = self.now()
        while self.now() - begun < most_ms:
            if holds():
                return self.now() - begun
            self.run(TURN_MS)
        return None
