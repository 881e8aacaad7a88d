"""What is worth doing and in which order, the budgets that bound it, and the requests that wait."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Container, Iterable, Iterator
from heapq import heapify, heappop, heappush

from cloverhold.decision.interface import ClassSettings, Settings
from cloverhold.decision.state import RequestState

RETRY_PART, RETRY_BURST = 0.2, 10.0  # retry budget: further attempts for each request, most saved up
NEAR = 0.1  # classes served this much better than the worst count for a third as much as it
PULLS = 8  # requests after which the classes' pull is worked out anew: a slow average moves little in between


class Admission:
    """Ranks and shares."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.retries = RETRY_BURST
        self.classes: dict[str, ClassSettings] = {c.name: c for c in settings.classes}
        own = 1000 * settings.nodes
        self.shares = {t.name: (t.quota_per_s / own, 1.0, -math.inf) for t in settings.tenants}
        self.usual_try: dict[str, float] = {}  # the longest try seen of each class
        self.share = {c.name: 1 / len(settings.classes) for c in settings.classes}  # of what arrives
        self.served = {c.name: 1.0 for c in settings.classes}  # part answered in time, lately
        self.pull: dict[str, float] = {}  # weight of each class in the goal: served worst, or near it
        self.until_pull = 0

    def over_share(self, tenant: str | None, now: float) -> bool:
        """Whether a tenant has used up its share at this node; a second's worth may come at once."""
        if tenant is None or tenant not in self.shares:
            return False
        rate, saved, then = self.shares[tenant]
        saved = min(max(1.0, 1000 * rate), saved + rate * (now - then)) - 1
        self.shares[tenant] = (rate, max(saved, 0.0), now)
        return saved < 0

    def admit(self, request: RequestState, now: float) -> None:
        """Set until when an answer is worth anything, and the rank among waiting requests."""
        kind, s = request.kind, self.settings
        self.retries = min(RETRY_BURST, self.retries + RETRY_PART)
        aim = kind.aim_ms + kind.aim_stretch * request.work
        usual = max(self.usual_try.get(kind.name, 0.0), request.event.expires_ms)
        self.usual_try[kind.name] = usual
        # A client's repeat that has less time than a first try is cut by the deadline: its age is then known.
        if request.event.is_retry and request.event.expires_ms < 0.98 * usual:
            aim -= kind.deadline_ms - request.event.expires_ms
        if not kind.late_worth:
            request.term = min(request.expires, now + max(aim, 0.0))
        share = self.share
        for name in share:
            share[name] *= 0.99
        share[kind.name] += 0.01
        # What serving it adds to the goal: to the whole, and to the class served worst (or near it).
        self.until_pull -= 1
        if self.until_pull < 0:
            self.until_pull = PULLS
            low = min(self.served.values())
            pull = {name: math.exp((low - part) / NEAR) for name, part in self.served.items()}
            all_pull = sum(pull.values())
            self.pull = {name: part / all_pull for name, part in pull.items()}
        offered = sum(part * self.classes[name].worth for name, part in share.items())
        worst = s.goal_worst_class * self.pull[kind.name] / share[kind.name]
        request.rank = s.goal_whole * kind.worth / max(offered, 1e-9) + worst
        request.rank /= 1.0 if s.worth_by_work else max(request.work, 1e-9)
        if self.over_share(request.event.tenant, now):
            request.rank *= s.over_share_worth

    def ended(self, kind: str, *, served: bool) -> None:
        """A request has had its answer."""
        self.served[kind] += 0.02 * (served - self.served[kind])


class Waiting:
    """Requests that wait for room, the worthiest first; equal ones as they came.

    A heap a class, so that a class that no server serves now stands in nobody's way. Those that found no room
    for a reason of their own stand aside, and a few come back at each look: a look costs no walk over all.
    """

    def __init__(self, kinds: Iterable[str]) -> None:
        self.heaps: dict[str, list[tuple[float, int, RequestState]]] = {name: [] for name in kinds}
        self.held = dict.fromkeys(self.heaps, 0)  # how many wait, by class
        self.aside: deque[tuple[int, RequestState]] = deque()
        self._late: list[tuple[float, int, RequestState]] = []
        self._tickets = 0
        self.count = 0

    def add(self, request: RequestState, gives_up: float) -> None:
        """A request begins to wait; from `gives_up` on it may be too late for it."""
        self._tickets += 1
        request.ticket, request.held = self._tickets, True
        self.count += 1
        self.held[request.kind.name] += 1
        self._push(request)
        heappush(self._late, (gives_up, request.ticket, request))
        self._shrink()

    def leave(self, request: RequestState) -> None:
        """It waits no longer; nothing where it did not."""
        if request.held:
            request.held, request.ticket = False, -1
            self.count -= 1
            self.held[request.kind.name] -= 1

    def best(self, shut: Container[str]) -> RequestState | None:
        """The worthiest that stands in line, of classes other than these."""
        best: tuple[float, int, RequestState] | None = None
        for name, heap in self.heaps.items():
            if name in shut or not self.held[name]:
                continue
            while heap and heap[0][2].ticket != heap[0][1]:
                heappop(heap)
            if heap and (best is None or heap[0][:2] < best[:2]):
                best = heap[0]
        return best[2] if best is not None else None

    def stand_aside(self, request: RequestState) -> None:
        """The best of its class makes way for the next."""
        heappop(self.heaps[request.kind.name])
        self.aside.append((request.ticket, request))

    def come_back(self, most: int) -> None:
        """So many of those that stand aside, the longest first, get in line again."""
        for _ in range(min(most, len(self.aside))):
            ticket, request = self.aside.popleft()
            if request.ticket == ticket:
                self._push(request)

    def late(self, now: float) -> Iterator[RequestState]:
        """Take those for which it may be too late; `later` puts one back."""
        late = self._late
        while late and late[0][0] < now:
            _, ticket, request = heappop(late)
            if request.ticket == ticket:
                yield request

    def later(self, request: RequestState, gives_up: float) -> None:
        heappush(self._late, (gives_up, request.ticket, request))

    def _push(self, request: RequestState) -> None:
        heappush(self.heaps[request.kind.name], (-request.rank, request.ticket, request))

    def _shrink(self) -> None:
        """Requests that wait no longer leave their entries behind: never more than there are others."""
        if len(self._late) > 2 * self.count + 64:
            self._late = [entry for entry in self._late if entry[2].ticket == entry[1]]
            heapify(self._late)
            self.aside = deque(entry for entry in self.aside if entry[1].ticket == entry[0])
        for heap in self.heaps.values():
            if len(heap) > 2 * self.count + 64:
                heap[:] = [entry for entry in heap if entry[2].ticket == entry[1]]
                heapify(heap)
