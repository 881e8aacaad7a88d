"""Watches what becomes of requests and servers, and names the keys that harm servers.

A server *fails* when it refuses connections, or hangs: one attempt there without a sign of life for `SILENT` times the
usual. Each failure of a server is one observation, until it answers again. Who was there: at a crash those whose
attempts ended with it, and those still out; at a hang those that were out at its last answer, and the first that came
after it. The tests stand in `evidence`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from cloverhold.cells.evidence import PRESENT, Bench, Count, outcome, presence
from cloverhold.cells.tenancy import Cell, Tenancy
from cloverhold.decision.interface import Status

SILENT = 6.0  # of the usual time: as long as the module waits before a server counts as stalled
USUAL_MOST = 3.0  # what an attempt counts for at most, in usual times
FIRST_MS = 50.0  # the usual time until answers tell
MOST_SUSPECTS = 2048
RECENT_MS = 2000.0  # attempts that ended with a crash count as there, found by a refused connection this much later
FAILED = (Status.ERROR, Status.RESET, Status.TIMEOUT)


class Place:
    """One server: what is out there and how it fares."""

    __slots__ = ("answered_at", "failed", "out", "recent")

    def __init__(self) -> None:
        self.out: dict[int, tuple[Tenancy, float]] = {}  # by request: whose, and when it was sent; oldest first
        self.recent: deque[tuple[float, Tenancy]] = deque(maxlen=64)  # that ended without an answer
        self.answered_at = -math.inf
        self.failed = False  # since its last answer

    def there(self, now: float, *, hung: bool) -> list[Tenancy]:
        """The keys that were there when it failed, each once."""
        found: dict[Tenancy, None] = {}
        if hung:
            after = 0
            for tenancy, sent_at in self.out.values():
                if sent_at > self.answered_at:
                    after += 1
                    if after > 1:
                        break
                found[tenancy] = None
            return list(found)
        found.update((tenancy, None) for at, tenancy in self.recent if now - at <= RECENT_MS)
        found.update((tenancy, None) for tenancy, _ in self.out.values())
        return list(found)


class Poison:
    """The evidence on all keys."""

    def __init__(self, false_alarms: float, nodes: int = 1) -> None:
        self.present = PRESENT / nodes  # the one at fault may have come through another node
        self.rate = false_alarms / 2  # two tests
        self.bench = Bench()
        self.servers: dict[str, Place] = {}
        self.suspects: dict[Tenancy, None] = {}
        self.usual: dict[str, float] = {}  # time of an answer, by class
        self.touched: dict[Tenancy, None] = {}  # those that something was said of since they were last judged

    def keep(self, names: Iterable[str]) -> None:
        """Forget servers that are no longer listed, once nothing is out there."""
        listed = set(names)
        self.bench.keep(listed)
        self.servers = {name: place for name, place in self.servers.items() if name in listed or place.out}

    def sent(self, ref: int, tenancy: Tenancy, server: str, now: float) -> None:
        """An attempt of a request goes there."""
        place = self.servers.get(server)
        if place is None:
            place = self.servers[server] = Place()
        place.out[ref] = (tenancy, now)

    def ended(self, ref: int, cell: Cell, kind: str, server: str, status: Status, spent: float, now: float) -> bool:
        """An attempt has ended; whether it failed by what the server did, as far as this node can tell."""
        tenancy, place = cell.tenancy, self.servers.get(server)
        usual = self.usual.get(kind, FIRST_MS)
        silent = status in (Status.TIMEOUT, Status.CANCELLED) and spent >= SILENT * usual
        failed = status in FAILED or silent
        if status is Status.OK:
            self.usual[kind] = usual + 0.02 * (min(spent, 10 * usual) - usual)
            if place is not None:
                place.answered_at, place.failed = now, False
        if place is not None:
            self._crash_or_hang(place, server, tenancy, status, silent, spent, now)
            place.out.pop(ref, None)
        if failed or status is Status.OK:
            tenancy.occupancy.add(min(spent, USUAL_MOST * usual), now)
            self._outcome(tenancy, server, failed, place.answered_at if place is not None else now, now)
        return failed

    def _crash_or_hang(
        self, place: Place, server: str, tenancy: Tenancy, status: Status, silent: bool, spent: float, now: float
    ) -> None:
        if status is Status.RESET:
            place.recent.append((now, tenancy))
        hung = silent and place.answered_at < now - spent
        if place.failed or not (hung or status is Status.CONNECT_FAILED):
            return
        place.failed = True
        self.failure(server, place.there(now, hung=hung), now)

    def gone(self, server: str, now: float) -> None:
        """The list says that its process has ended, or is another one."""
        place = self.servers.get(server)
        if place is not None and not place.failed and place.recent and now - place.recent[-1][0] <= RECENT_MS:
            place.failed = True
            self.failure(server, place.there(now, hung=False), now)

    def failure(self, server: str, there: list[Tenancy], now: float) -> None:
        """One failure of a server: it speaks against those that were there, and for those that were not."""
        for tenancy in there:
            ratio = presence(self._chance(tenancy, server, now), self.present, there=True)
            tenancy.presence.tell(ratio, server)
            self._note(tenancy)
        for tenancy in [t for t in self.suspects if t not in there]:
            if any(server in cell.servers for cell in tenancy.cells.values()):
                ratio = presence(self._chance(tenancy, server, now), self.present, there=False)
                tenancy.presence.tell(ratio, server)
                self._note(tenancy)

    def _chance(self, tenancy: Tenancy, server: str, now: float) -> float:
        """That an innocent is found there: by the time it spends there, or by its part of what is sent there."""
        servers = max((len(cell.servers) for cell in tenancy.cells.values()), default=1)
        count = self.bench.servers.get(server)
        seen = count.lately(now)[0] if count is not None else 0.0
        own = tenancy.count.lately(now)[0] / max(1, servers)
        return max(tenancy.occupancy.part(servers, now), own / (seen + 1) if seen else 0.0)

    def _outcome(self, tenancy: Tenancy, server: str, failed: bool, answered_at: float, now: float) -> None:
        self.bench.tell(server, now, failed=failed)
        tenancy.count.tell(now, failed=failed)
        if failed and tenancy.at is None:
            tenancy.at = {}
        if tenancy.at is None:
            return
        own = tenancy.at.get(server)
        if own is None:
            own = tenancy.at[server] = Count()
        own.tell(now, failed=failed)
        if failed and answered_at < own.spoke_at:
            return  # one cause is one observation: all that a key had there when the server died
        if failed:
            own.spoke_at = now
        if failed or tenancy.own.sum:
            others = self.bench.others(server, now, own, tenancy.count)
            tenancy.own.tell(outcome(others, failed=failed), server)
            self._note(tenancy)

    def _note(self, tenancy: Tenancy) -> None:
        self.touched[tenancy] = None
        if tenancy.suspect():
            self.suspects[tenancy] = None
            if len(self.suspects) > MOST_SUSPECTS:  # names are what clients send: the first to be suspected is let go
                self.clear(next(iter(self.suspects)))
        else:
            self.suspects.pop(tenancy, None)
            tenancy.at = None

    def guilty(self, tenancy: Tenancy, rate: float | None = None) -> str:
        """What proves that a key harms servers, in words; empty where nothing does."""
        rate = rate if rate is not None else self.rate
        for cusum, what in ((tenancy.presence, "servers fail where it is"), (tenancy.own, "its requests fail alone")):
            if cusum.alarms(rate):
                return f"{what}: ratio e^{cusum.sum:.1f}, servers {', '.join(cusum.witnesses)}"
        return ""

    def clear(self, tenancy: Tenancy) -> None:
        """Begin anew with a key."""
        for cusum in (tenancy.presence, tenancy.own):
            cusum.sum, cusum.witnesses = 0.0, ()
        self._note(tenancy)
