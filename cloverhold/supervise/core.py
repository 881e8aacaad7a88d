"""Which workers run. Events in, actions out; times in seconds of any clock that only advances.

A worker is in one of these phases; a number may hold two workers, the old one and its replacement:

| phase | Ready | Beat | Exited | Due | Stop |
| --- | --- | --- | --- | --- | --- |
| STARTING | SERVING; the one it replaces is told to stop | - | WAITING | killed | STOPPING |
| SERVING | - | lives on | WAITING | killed: it hangs | STOPPING |
| STOPPING | - | - | gone | killed | - |
| WAITING | - | - | - | started again | gone |
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

START_S = 15.0  # a worker has said within this time that it is ready
HUNG_S = 3.0  # one that has said nothing for so long hangs, or is stopped
STOP_S = 6.0  # one that was told to stop has ended by then: the longest deadline, what clients still send, some more
BACKOFF_S, BACKOFF_MOST_S = 0.1, 5.0
SETTLED_S = 10.0  # one that served for so long and dies is started again at once
BAD_CONFIG = 2  # the status of a worker that cannot run on its configuration


class Phase(Enum):
    """What a worker does."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"
    WAITING = "waiting"


class Word(Enum):
    """What a worker is told."""

    STOP = "stop"
    RELOAD = "reload"
    KILL = "kill"


@dataclass(slots=True)
class Start:
    """Start a worker under this number; `life` names this very process."""

    number: int
    life: int


@dataclass(slots=True)
class Tell:
    """Send a worker a signal."""

    life: int
    word: Word


@dataclass(slots=True)
class Note:
    """A line for the people on call."""

    text: str


@dataclass(slots=True)
class Finish:
    """All workers are gone: end with this status."""

    status: int


Action = Start | Tell | Note | Finish


@dataclass(slots=True)
class Worker:
    """One process, or one that is to be started."""

    number: int
    life: int
    phase: Phase
    due: float  # when something is done about it if nothing is heard
    began: float
    replaces: int | None = None  # the life that it takes over from


class Supervisor:
    """The workers of one node."""

    def __init__(self, workers: int) -> None:
        self.count = workers
        self.workers: dict[int, Worker] = {}  # by life
        self.lives = 0
        self.failures = dict.fromkeys(range(workers), 0)  # in a row, by number
        self.rolling: list[int] = []  # numbers still to be replaced
        self.wanted = False  # all are to be replaced, once all serve
        self.ever_ready = self.stopping = False
        self.status = 0
        self.out: list[Action] = []

    def begin(self, now: float) -> list[Action]:
        """Start all workers."""
        for number in range(self.count):
            self._start(number, now)
        return self._take()

    def ready(self, life: int, now: float) -> list[Action]:
        """A worker serves."""
        worker = self.workers.get(life)
        if worker is not None and worker.phase is Phase.STARTING:
            self.ever_ready = True
            worker.phase, worker.due, worker.began = Phase.SERVING, now + HUNG_S, now
            if worker.replaces is not None and worker.replaces in self.workers:
                self._stop(self.workers[worker.replaces], now)
            self._roll_if_all_serve(now)
        return self._take()

    def beat(self, life: int, now: float) -> list[Action]:
        """A worker lives."""
        worker = self.workers.get(life)
        if worker is not None and worker.phase is Phase.SERVING:
            worker.due = now + HUNG_S
        return self._take()

    def exited(self, life: int, status: int, now: float) -> list[Action]:
        """A worker's process has ended."""
        worker = self.workers.pop(life, None)
        if worker is None:
            return []
        if worker.phase is Phase.STOPPING:
            self._roll(now)
        elif status == BAD_CONFIG and not self.ever_ready:
            self.status = BAD_CONFIG  # none will fare better
            self._stop_all(now)
        else:
            self._again(worker, status, now)
        return self._finished()

    def due(self, now: float) -> list[Action]:
        """Time has passed: what is overdue is killed, or started."""
        for worker in [w for w in self.workers.values() if w.due <= now]:
            if worker.phase is Phase.WAITING:
                del self.workers[worker.life]
                self._start(worker.number, now)
                continue
            self.out.append(Note(f"worker {worker.number} is {worker.phase.value} for too long: killed"))
            self.out.append(Tell(worker.life, Word.KILL))
            worker.due = now + STOP_S
        return self._take()

    def next(self) -> float | None:
        """When `due` is to be called."""
        return min((w.due for w in self.workers.values()), default=None)

    def reload(self) -> list[Action]:
        """All are to read their configuration again."""
        self.out += [Tell(w.life, Word.RELOAD) for w in self._running()]
        return self._take()

    def replace(self, now: float) -> list[Action]:
        """Put a new worker in the place of each, one after the other, each old one ending once the new serves.

        It begins once all serve, and a second word while it goes on says nothing new.
        """
        if not self.stopping and not any(w.replaces in self.workers for w in self.workers.values()):
            self.wanted = True
            self._roll_if_all_serve(now)
        return self._take()

    def stop(self, now: float) -> list[Action]:
        """End all: each answers what it has taken."""
        self._stop_all(now)
        return self._finished()

    # ------------------------------------------------------------------------------------------------- inside

    def _take(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    def _running(self) -> Iterator[Worker]:
        return (w for w in self.workers.values() if w.phase in (Phase.STARTING, Phase.SERVING))

    def _start(self, number: int, now: float, replaces: int | None = None) -> None:
        self.lives += 1
        self.workers[self.lives] = Worker(number, self.lives, Phase.STARTING, now + START_S, now, replaces)
        self.out.append(Start(number, self.lives))

    def _stop(self, worker: Worker, now: float) -> None:
        if worker.phase is Phase.WAITING:
            del self.workers[worker.life]
        elif worker.phase is not Phase.STOPPING:
            worker.phase, worker.due = Phase.STOPPING, now + STOP_S
            self.out.append(Tell(worker.life, Word.STOP))

    def _stop_all(self, now: float) -> None:
        self.stopping, self.wanted, self.rolling = True, False, []
        for worker in list(self.workers.values()):
            self._stop(worker, now)

    def _again(self, worker: Worker, status: int, now: float) -> None:
        """A worker died by itself. Bounded: one that cannot start must not fill the machine with starts."""
        settled = worker.phase is Phase.SERVING and now - worker.began >= SETTLED_S
        failures = self.failures[worker.number] = 0 if settled else self.failures[worker.number] + 1
        wait = min(BACKOFF_MOST_S, BACKOFF_S * 2.0 ** min(failures, 10)) if failures else 0.0
        self.out.append(Note(f"worker {worker.number} ended with status {status} while {worker.phase.value}"))
        if any(w.number == worker.number for w in self._running()):
            self.rolling = []  # an old one or its replacement is left: that one goes on, and no more are replaced
            return
        self.lives += 1
        self.workers[self.lives] = Worker(worker.number, self.lives, Phase.WAITING, now + wait, now)

    def _roll_if_all_serve(self, now: float) -> None:
        serve = [w.number for w in self.workers.values() if w.phase is Phase.SERVING]
        if self.wanted and len(self.workers) == len(serve) == self.count:
            self.wanted, self.rolling = False, list(range(self.count))
            self._roll(now)

    def _roll(self, now: float) -> None:
        while self.rolling:
            number = self.rolling.pop(0)
            there = [w for w in self.workers.values() if w.number == number]
            if [w.phase for w in there] == [Phase.SERVING]:
                self._start(number, now, replaces=there[0].life)
                return

    def _finished(self) -> list[Action]:
        if self.stopping and not self.workers:
            self.out.append(Finish(self.status))
        return self._take()
