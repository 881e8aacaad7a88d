"""A follower's calls against a discovery in simulated time: slow, crowded, losing calls, refusing, counting anew."""

from __future__ import annotations

import heapq
import itertools
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from cloverhold import Settings
from cloverhold import Lifecycle
from cloverhold.net.discovery.call_times import CallTimes
from cloverhold.net.discovery.calls import Abandon, Action, Begin, CallSchedule, OpenCall
from cloverhold.net.discovery.merge import HeldList
from cloverhold.net.discovery.merge_results import Asked, Worth
from cloverhold.net.discovery.server_list import ListAnswer, ServerLine
from cloverhold.net.discovery.whole_lists import Heard


STATES = {"active": Lifecycle.READY, "leaving": Lifecycle.DRAINING, "left": Lifecycle.GONE}


class Fate(Enum):
    """What becomes of one call."""

    ANSWER = "answer"
    LOST = "lost"
    REFUSED = "refused"
    RESET = "reset"


@dataclass
class Service:
    """Discovery: servers with the version of their last change."""

    latency_s: Callable[[], float]
    call_s: float = 0.0  # calls are worked through in turn
    fates: deque[Fate] = field(default_factory=deque)
    silent_until: float = 0.0  # calls that come before are lost
    rev: int = 1
    servers: dict[str, tuple[int, str]] = field(default_factory=lambda: {"s0": (1, "active"), "s1": (1, "active")})
    free_at: float = 0.0


class Follower:
    """The schedule of one node, its list, and the time."""

    def __init__(self, settings: Settings, service: Service, seed: int) -> None:
        chance = Random(seed)
        self.service, self.now = service, 0.0
        self.schedule = CallSchedule(lambda: CallTimes.of(settings, chance), chance)
        self.held = HeldList()
        self.servers: dict[str, str] = {}
        self.heard: dict[int, float] = {}  # when each version was held first
        self.begun: list[float] = []
        self.whole_begun: list[float] = []  # the calls for the whole list among them
        self.most_open = 0
        self.versions: list[int] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._watching: dict[int, OpenCall] = {}  # watches that wait at the service
        self._dead: set[int] = set()  # calls whose connection was closed
        self.schedule.start(0.0)

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Let something happen at a time."""
        heapq.heappush(self._events, (when, next(self._order), do))

    def run(self, until: float, *, stop: Callable[[], bool] = lambda: False) -> None:
        """Let time pass."""
        while not stop():
            due = min(self.schedule.next_at, self._events[0][0] if self._events else math.inf)
            if due > until:
                break
            self.now = max(self.now, due)
            if self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            else:
                self._carry_out(self.schedule.tick(self.now))
        self.now = max(self.now, until) if not stop() else self.now

    def change(self, uid: str, state: str) -> int:
        """Discovery has a change; its version."""
        service = self.service
        service.rev += 1
        service.servers[uid] = (service.rev, state)
        self.wake()
        return service.rev

    def count_on(self) -> None:
        """Discovery has a version in which nothing is new."""
        self.service.rev += 1
        self.wake()

    def wake(self) -> None:
        """The watches that wait are answered."""
        for call in list(self._watching.values()):
            self._answer_later(call)

    def leave_out(self, uid: str, state: str) -> None:
        """Discovery has a change that no version tells which is later than the one that the follower holds."""
        assert self.schedule.version is not None
        self.service.servers[uid] = (min(self.schedule.version, self.service.rev), state)

    def move(self) -> None:
        """SIGHUP: discovery is at another address, which has the same list."""
        self._carry_out(self.schedule.stop())
        self.schedule.forget_version()
        self.schedule.start(self.now)

    def lose_watches(self) -> None:
        """The watches that wait are never answered."""
        self._watching.clear()

    def reset_watches(self) -> None:
        """The watches that wait are reset."""
        for call in list(self._watching.values()):
            self._watching.pop(call.number)
            self._fail(call, 0)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Begin(call):
                    self.begun.append(self.now)
                    self.whole_begun.extend([self.now] if call.since is None else [])
                    self._come(call)
                case Abandon(call, _):
                    self._dead.add(call.number)
                    self._watching.pop(call.number, None)
        self.most_open = max(self.most_open, len(self.schedule.open_calls()))

    def _come(self, call: OpenCall) -> None:
        service = self.service
        fate = service.fates.popleft() if service.fates else Fate.ANSWER
        if fate is Fate.LOST or self.now < service.silent_until:
            return
        if fate is not Fate.ANSWER:
            self.at(self.now + 0.001, lambda: self._fail(call, 503 if fate is Fate.REFUSED else 0))
        elif call.since == service.rev and call.hold_s > 0:
            self._watching[call.number] = call
            self.at(self.now + call.hold_s, lambda: self._answer_later(call, only_waiting=True))
        else:
            self._answer_later(call)

    def _answer_later(self, call: OpenCall, *, only_waiting: bool = False) -> None:
        waiting = self._watching.pop(call.number, None)
        if only_waiting and waiting is None:
            return
        service = self.service
        service.free_at = max(service.free_at, self.now) + service.call_s
        rev, since = service.rev, call.since
        news = {u: s for u, (at, s) in service.servers.items() if since is None or at > since}
        self.at(service.free_at + service.latency_s(), lambda: self._answer(call, rev, news))

    def _fail(self, call: OpenCall, status: int) -> None:
        if call.number not in self._dead:
            self.schedule.failed(call.number, self.now, status)

    def _answer(self, call: OpenCall, rev: int, news: dict[str, str]) -> None:
        if call.number in self._dead:
            return
        lines = tuple(ServerLine(uid, STATES[state], ("127.0.0.1", 1), 0.0) for uid, state in news.items())
        answer = ListAnswer(rev, call.since is None, lines)
        merged = self.held.merge(answer, Asked(call.since, call.begun_at), self.now)
        taken = merged.worth in (Worth.TAKEN, Worth.ADOPTED)
        heard = Heard(
            version=self.held.version,
            entries=len(lines),
            listed=len(self.held),
            taken=taken,
            lower=merged.worth is Worth.LOWER_VERSION,
            ask_whole=merged.ask_whole,
            unsettled=self.held.is_unsettled(),
        )
        self._carry_out(self.schedule.answered(call.number, heard, self.now))
        names = {state: name for name, state in STATES.items()}
        told = {line.uid: names[line.lifecycle] for line in merged.lines}
        self.servers = {**({} if merged.whole and merged.is_news else self.servers), **told}
        if not taken:
            return
        self.versions.append(rev)
        for version in range(1, rev + 1):
            self.heard.setdefault(version, self.now)
