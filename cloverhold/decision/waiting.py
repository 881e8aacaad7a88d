"""The requests that wait for room: a data structure beside the policy files. It decides nothing.

The order in it is the rank that admission gave; who looks, when, and at how many is the balancer's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterable, Iterator
from heapq import heapify, heappop, heappush

from cloverhold.decision.state import RequestState


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
