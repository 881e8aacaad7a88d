"""The requests that wait for room: a data structure beside the policy files. It decides nothing.

The order in it is the rank that admission gave; who looks, when, and at how many is the balancer's.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from heapq import heapify, heappop, heappush

from cloverhold.decision.pools import Lane
from cloverhold.decision.state import RequestState

BY_SERVER = 16  # lines of larger pools come back in turn alone: there are few of those


class Line:
    """Those of one class that may go to the same servers, the worthiest first."""

    __slots__ = ("heap", "held", "kind", "lane")

    def __init__(self, kind: str, lane: Lane) -> None:
        self.kind, self.lane = kind, lane
        self.held = 0
        self.heap: list[tuple[float, int, RequestState]] = []  # also some that wait no longer

    def servers(self) -> tuple[str, ...]:
        """Where its requests may go, if that is to some servers and few."""
        servers = self.lane.servers
        return servers if servers is not None and len(servers) <= BY_SERVER else ()

    def push(self, request: RequestState) -> None:
        heappush(self.heap, (-request.rank, request.ticket, request))


class Waiting:
    """Requests that wait for room, the worthiest first; equal ones as they came.

    A line a class and pool. One that no server has room for stands apart, so that it is in nobody's way, and so does
    a request that found no room for a reason of its own. A few of both come back at each look, the longest apart
    first, and those first that may go where room has shown: a look costs no walk over all.
    """

    def __init__(self) -> None:
        self.standing: dict[Line, None] = {}  # lines that are looked at
        self.apart: dict[Line, None] = {}
        self.at: dict[str, dict[Line, None]] = {}  # of those apart, by server
        self.aside: deque[tuple[int, RequestState]] = deque()
        self._late: list[tuple[float, int, RequestState]] = []
        self._tickets = 0
        self.count = 0

    def add(self, request: RequestState, gives_up: float) -> None:
        """A request begins to wait; from `gives_up` on it may be too late for it."""
        self._tickets += 1
        request.ticket, request.held = self._tickets, True
        lane, kind = request.lane, request.kind.name
        line = lane.lines.get(kind)
        if line is None:
            line = lane.lines[kind] = Line(kind, lane)
        if not line.held:
            self.standing[line] = None
        request.line = line
        self.count += 1
        lane.held += 1
        line.held += 1
        line.push(request)
        heappush(self._late, (gives_up, request.ticket, request))
        self._shrink(line)

    def leave(self, request: RequestState) -> None:
        """It waits no longer; nothing where it did not."""
        line, request.line = request.line, None
        if line is None:
            return
        request.held, request.ticket = False, -1
        self.count -= 1
        line.lane.held -= 1
        line.held -= 1
        if not line.held:
            self.standing.pop(line, None)
            self._rejoin(line)
            line.heap.clear()

    def best(self) -> RequestState | None:
        """The worthiest of the lines that are looked at."""
        best: tuple[float, int, RequestState] | None = None
        for line in self.standing:
            heap = line.heap
            while heap and heap[0][2].ticket != heap[0][1]:
                heappop(heap)
            if heap and (best is None or heap[0][:2] < best[:2]):
                best = heap[0]
        return best[2] if best is not None else None

    def stand_aside(self, request: RequestState) -> None:
        """The best of its line makes way for the next."""
        assert request.line is not None
        heappop(request.line.heap)
        self.aside.append((request.ticket, request))

    def stand_apart(self, line: Line) -> None:
        """A whole line makes way: there is no room for any of it."""
        del self.standing[line]
        self.apart[line] = None
        for server in line.servers():
            self.at.setdefault(server, {})[line] = None

    def come_back(self, most: int, server: str = "") -> None:
        """So many requests and lines, the longest away first, get in line again; also lines that may go there."""
        for _ in range(min(most, len(self.aside))):
            ticket, request = self.aside.popleft()
            if request.ticket == ticket and request.line is not None:
                request.line.push(request)
        for line in _first(self.at.get(server, {}), most) + _first(self.apart, most):
            if self._rejoin(line):
                self.standing[line] = None

    def _rejoin(self, line: Line) -> bool:
        if line not in self.apart:
            return False
        del self.apart[line]
        for server in line.servers():
            lines = self.at[server]
            del lines[line]
            if not lines:
                del self.at[server]
        return True

    def late(self, now: float) -> Iterator[RequestState]:
        """Take those for which it may be too late; `later` puts one back."""
        late = self._late
        while late and late[0][0] < now:
            _, ticket, request = heappop(late)
            if request.ticket == ticket:
                yield request

    def later(self, request: RequestState, gives_up: float) -> None:
        heappush(self._late, (gives_up, request.ticket, request))

    def _shrink(self, line: Line) -> None:
        """Requests that wait no longer leave their entries behind: never more than there are others."""
        if len(self._late) > 2 * self.count + 64:
            self._late = [entry for entry in self._late if entry[2].ticket == entry[1]]
            heapify(self._late)
            self.aside = deque(entry for entry in self.aside if entry[1].ticket == entry[0])
        if len(line.heap) > 2 * line.held + 64:
            line.heap = [entry for entry in line.heap if entry[2].ticket == entry[1]]
            heapify(line.heap)


def _first(lines: dict[Line, None], most: int) -> list[Line]:
    """The first of some lines, in their order."""
    return [line for line, _ in zip(lines, range(most), strict=False)]
