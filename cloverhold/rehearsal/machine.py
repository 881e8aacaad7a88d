"""One server's work, as arithmetic: slots and a waiting room, cores shared by what runs, a cold start.

No CPU is burnt and no clock is read: the time is handed in, in seconds, and only advances. What runs shares the
cores evenly (processor sharing), kept by one virtual clock: a job with work W that starts at virtual time V ends
at V + W, however many run beside it (the virtual time of fair queueing: Demers, Keshav, Shenker 1989).
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

ROUNDING_S = 1e-9  # a job whose end is this near has ended: sums of floats fall short of it
COLD_STEP_S = 0.02  # while it warms up its rate changes: it is looked at again this often


def warmth(age_s: float, cold_from: float, cold_s: float) -> float:
    """The part of its capacity that a server of this age has: it rises evenly."""
    if age_s >= cold_s:
        return 1.0
    return cold_from + (1 - cold_from) * max(0.0, age_s) / cold_s


class Offer(Enum):
    """What became of a job that was offered."""

    STARTED = "started"
    QUEUED = "queued"
    FULL = "full"


@dataclass(slots=True)
class Job:
    """Work in ms on a core of speed 1. `done_ms` is kept true at its start and end only."""

    work_ms: float
    started_at: float | None = None  # in virtual ms
    ends_at: float = math.inf
    over: bool = False  # it has ended, or has left
    done_ms: float = 0.0


@dataclass(slots=True)
class Pressure:
    """The budget of a cold server: work sent within any span against what it can do at that moment."""

    multiple: float
    span_s: float
    slack_ms: float  # for chance
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    total_ms: float = 0.0

    def add(self, now: float, work_ms: float, capacity: float) -> bool:
        """Count work that has come; whether it is more than the budget. `capacity` is in ms a ms."""
        self.sent.append((now, work_ms))
        self.total_ms += work_ms
        while self.sent and self.sent[0][0] <= now - self.span_s:
            self.total_ms -= self.sent.popleft()[1]
        return self.total_ms > self.multiple * capacity * self.span_s * 1000 + self.slack_ms


class Machine:
    """The work of one server from its start to its end."""

    def __init__(
        self, *, cores: int, speed: float, slots: int, queue: int, now: float,
        cold_from: float = 1.0, cold_s: float = 0.0,
    ) -> None:  # fmt: skip
        self.cores, self.speed, self.slots, self.room = cores, speed, slots, queue
        self.cold_from, self.cold_s, self.born = cold_from, cold_s, now
        self.slower = 1.0  # everything takes this many times as long
        self.stopped = False  # nothing advances
        self.now = now
        self.virtual = 0.0
        self.running: list[tuple[float, int, Job]] = []
        self.count = 0  # of jobs that run and have not left
        self.waiting: deque[Job] = deque()
        self.waited = 0  # of jobs that wait and have not left
        self._order = 0

    def warmth(self, now: float) -> float:
        """The part of its capacity that it has."""
        return warmth(now - self.born, self.cold_from, self.cold_s)

    def capacity(self, now: float) -> float:
        """Work that it can do, in ms a ms, whatever holds it up at the moment."""
        return self.cores * self.speed * self.warmth(now)

    def _rate(self, now: float) -> float:
        """Virtual ms a second."""
        if self.stopped or not self.count:
            return 0.0
        share = min(1.0, self.cores / self.count)
        return 1000 * self.speed * self.warmth(now) * share / self.slower

    def advance(self, now: float) -> list[Job]:
        """Pass the time to `now`; the jobs that ended, in order."""
        ended: list[Job] = []
        while True:
            self._drop_left()
            rate = self._rate((self.now + now) / 2 if now - self.now <= COLD_STEP_S else self.now)
            if rate <= 0 or not self.running:
                self.now = now
                return ended
            due = self.now + (self.running[0][0] - self.virtual) / rate
            upto = now if self.warmth(now) >= 1 and self.warmth(self.now) >= 1 else self.now + COLD_STEP_S
            if due > min(now, upto) + ROUNDING_S:
                step = min(now, upto)
                self.virtual += (step - self.now) * rate
                self.now = step
                if step >= now:
                    return ended
                continue
            self.now = max(self.now, due)
            ends_at, _, job = heapq.heappop(self.running)
            self.virtual = max(self.virtual, ends_at)
            self.count -= 1
            job.done_ms, job.over = job.work_ms, True
            ended.append(job)
            self._fill()

    def offer(self, now: float, job: Job) -> Offer:
        """Take a job in, if there is room. Call `advance` first."""
        if self.count < self.slots:
            self._start(job)
            return Offer.STARTED
        if self.waited < self.room:
            self.waiting.append(job)
            self.waited += 1
            return Offer.QUEUED
        return Offer.FULL

    def leave(self, job: Job) -> None:
        """Stop a job that was offered; work that is done stays done. Call `advance` first."""
        if job.over:
            return
        job.over = True
        if job.started_at is None:
            self.waited -= 1
            return
        job.done_ms = min(job.work_ms, self.virtual - job.started_at)
        self.count -= 1
        self._drop_left()
        self._fill()

    def next_due(self) -> float | None:
        """When `advance` would have something to tell at the latest; None while nothing runs."""
        self._drop_left()
        rate = self._rate(self.now)
        if rate <= 0 or not self.running:
            return None
        return self.now + max(0.0, (self.running[0][0] - self.virtual) / rate)

    def _start(self, job: Job) -> None:
        job.started_at, job.ends_at = self.virtual, self.virtual + job.work_ms
        self._order += 1
        heapq.heappush(self.running, (job.ends_at, self._order, job))
        self.count += 1

    def _fill(self) -> None:
        while self.waiting and self.count < self.slots:
            job = self.waiting.popleft()
            if not job.over:
                self.waited -= 1
                self._start(job)

    def _drop_left(self) -> None:
        while self.running and self.running[0][2].over:
            heapq.heappop(self.running)


class Choke:
    """A server that has held far more than its cores for a while turns slower until it has rested."""

    def __init__(self, cores: int, at: float, after_s: float, slower: float, rest_s: float) -> None:
        self.limit, self.after_s, self.slower, self.rest_s = (
            cores + at * math.sqrt(cores),
            after_s,
            slower,
            rest_s,
        )
        self.since: float | None = None  # crowded, or while choked at rest
        self.choked = False

    def look(self, now: float, held: int) -> float:
        """How many times slower it is, by what it holds now."""
        moved = held > self.limit if not self.choked else held <= 0.4
        if not moved:
            self.since = None
        elif self.since is None:
            self.since = now
        elif now - self.since >= (self.rest_s if self.choked else self.after_s):
            self.choked, self.since = not self.choked, None
        return self.slower if self.choked else 1.0
