"""Ejection and return, by this node's own evidence; and the review that files a server by what is known."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from random import Random

from cloverhold.decision.index import Agenda
from cloverhold.decision.interface import ClassSettings, Repeat, Status
from cloverhold.decision.learned import WARM, Learned, Warming
from cloverhold.decision.records import Attempt, Record, Server
from cloverhold.decision.steps import POWER, in_steps
from cloverhold.decision.table import Table

EJECT_AT, BACK_AT = 0.6, 0.3  # failure averages at which a server is ejected, and called back for good
EJECT, EJECT_DOUBLINGS, EJECT_PART = 2.0, 4, 0.5
# Weight of a failure in its average, of an attempt without any sign of life, and what an answer leaves of it.
# All are small: where peers spoil some answers of every server alike, two in a row are no sign of a bad one.
HARD = {Status.CONNECT_FAILED: 0.4, Status.RESET: 0.25, Status.ERROR: 0.2}
SILENCE, GOOD = 0.5, 0.75
LOSS_STEP = 0.05  # of a slow average of failures, for servers that fail now and then
LOSS_ONCE, LOSS_AGAIN = 8.0, 3.0  # what it adds to a server's cost: where no repeat may follow, where one may
ALL = ""  # the name of what concerns all classes: no class is called so


class Health:
    """How servers fare, and when that next changes by itself."""

    def __init__(
        self, table: Table, learned: Learned, warming: Warming, random: Random, log: Callable[[str], None]
    ) -> None:
        self.table, self.learned, self.warming, self.random, self.log = table, learned, warming, random, log
        self.agenda: Agenda[Server] = Agenda()
        self.settle(table.settings.classes, -math.inf)

    def settle(self, classes: tuple[ClassSettings, ...], now: float) -> None:
        """Other classes. What is known of servers in those that are gone is dropped, the rest stays."""
        self.classes, names = classes, {c.name for c in classes}
        # Over ready servers, by class and in all: the sum of the averages of failures, and who is ejected.
        self.failing = dict.fromkeys((ALL, *names), 0.0)
        self.away: dict[str, dict[Server, None]] = {name: {} for name in self.failing}
        self._alike = {step: (step,) * len(classes) for step in POWER}
        for server in self.table.servers.values():
            server.kinds = {name: record for name, record in server.kinds.items() if name in names}
            server.spoilt, server.profile = True, None  # to be found anew
            if server.ready:
                self._count(server, now)
        for server in self.table.ready:
            self.review(server, now)

    # ------------------------------------------------------------------------------------------- membership

    def enter(self, server: Server, now: float) -> None:
        """A server has become ready. It is filed at its first review."""
        self._count(server, now)
        self.table.enter(server, well=self.usable(server, now))

    def _count(self, server: Server, now: float) -> None:
        for name, record in _records(server):
            self.failing[name] += record.failing
            if record.until > now:
                self.away[name][server] = None

    def leave(self, server: Server) -> None:
        """A server is no longer ready."""
        for name, record in _records(server):
            self.failing[name] -= record.failing
            self.away[name].pop(server, None)
        self.agenda.discard(server)
        self.table.leave(server)

    # ------------------------------------------------------------------------------------------------ state

    def stalled(self, server: Server, now: float) -> bool:
        """No sign of life where one is due. Guards against a paused or hung server that keeps a low row."""
        if server.lost_probes >= 2 and server.record.answered_at < server.lost_since:
            return True
        return now > self._stalls_at(server)

    def _stalls_at(self, server: Server) -> float:
        oldest = next(iter(server.out.values()), None)
        if oldest is None:
            return math.inf
        return max(oldest.sent_at, server.record.answered_at) + oldest.silent

    def usable(self, server: Server, now: float) -> bool:
        return not _ejected(server.record, now, len(server.out)) and not self.stalled(server, now)

    def serves(self, server: Server, kind: str, now: float) -> bool:
        """Whether it answers this class. Guards against a server that fails one and answers the others."""
        record = server.kinds.get(kind)
        if record is None or not record.ejections:
            return True
        return not _ejected(record, now, sum(a.request.kind.name == kind for a in server.out.values()))

    def cost(self, server: Server, kind: ClassSettings) -> float:
        """How much more a request costs there than at a server that never fails: a part of them is lost, and
        a quick loss leaves a low row.
        """
        own, loss = server.kinds.get(kind.name), server.record.loss
        if own is not None and own.loss > loss:
            loss = own.loss
        return 1 + (LOSS_ONCE if kind.repeat is Repeat.UNSAFE else LOSS_AGAIN) * loss

    def review(self, server: Server, now: float) -> None:
        """Find what a ready server is to a pick from now on, file it so, and note when that next changes."""
        table, closed = self.table, False
        octaves = math.log2(self.learned.pace(server, now))
        stalls, step = self._stalls_at(server), in_steps(2 * octaves, 2)
        figures: tuple[int | None, ...] = self._alike[step]
        due = stalls if stalls >= now else math.inf
        if server.spoilt:
            figures, until = self._spoilt(server, now)
            due = min(due, until)
        server.warm = self.warming.step(server, now)
        if server.warm < WARM:
            opens = self.warming.fill(server, now)
            closed = opens > now
            due = min(due, max(now, self.warming.next_step(server)), opens if closed else math.inf)
        aged = False
        if table.many and not (aged := table.aged(server, now)):
            due = min(due, server.heard_at + table.crowd_ms)
        server.closed = closed
        zone = server.entry.zone if table.by_zone else ""
        profile = (table.most(server.pace), in_steps(4 * octaves, 4), figures, server.warm, aged, zone)
        if profile != server.profile:  # else the same one: keys that are identical compare at once
            server.profile = profile
        table.turn(server, well=self.usable(server, now))
        table.place(server)
        self.agenda.set(server, due)

    def _spoilt(self, server: Server, now: float) -> tuple[tuple[int | None, ...], float]:
        """The figures by class of a server that has failed, and when one of its ejections ends."""
        until, spoilt, pace = math.inf, False, self.learned.pace(server, now)
        for name, record in _records(server):
            spoilt = spoilt or record.loss > 0 or record.ejections > 0 or record.failing > 0
            if record.until > now:
                until, spoilt = min(until, record.until), True
            else:
                self.away[name].pop(server, None)
        server.spoilt = spoilt
        cost = self.cost
        return tuple(
            in_steps(2 * math.log2(pace * cost(server, c)), 2) if self.serves(server, c.name, now) else None
            for c in self.classes
        ), until

    def sent(self, server: Server, now: float) -> None:
        """A request has gone there."""
        if server.spoilt or server.warm < WARM:  # on trial one at a time; the cold budget has less
            self.review(server, now)
            return
        self.table.place(server)
        if len(server.out) == 1:
            self.agenda.set(server, min(self.agenda.at.get(server, math.inf), self._stalls_at(server)))

    def replied(self, server: Server, now: float) -> None:
        """A probe's end has been counted."""
        if server.lost_probes >= 2 or not self.table.looks_well(server) or self.table.many:
            self.review(server, now)
        else:
            self.table.place(server)

    # --------------------------------------------------------------------------------------------- outcomes

    def good(self, server: Server, kind: str, now: float) -> None:
        for name, record in ((ALL, server.record), (kind, server.kind(kind))):
            record.answered_at = now
            if record.failing:
                self._failing(server, name, record, record.failing * GOOD if record.failing > 1e-6 else 0.0)
            record.loss = record.loss * (1 - LOSS_STEP) if record.loss > 1e-4 else 0.0
            if record.ejections and record.failing < BACK_AT:
                record.ejections = 0
                self.log(f"server {server.entry.server} is back")

    def _failing(self, server: Server, name: str, record: Record, value: float) -> None:
        if server.ready:
            self.failing[name] += value - record.failing
        record.failing = value

    def bad(self, attempt: Attempt, status: Status, now: float) -> None:
        """Count a failure. Guards against errors answered fast, which look like an idle server."""
        server, request = attempt.server, attempt.request
        ready, kind, server.spoilt = len(self.table.ready), request.kind.name, True
        if status is Status.ERROR:
            server.record.answered_at = server.kind(kind).answered_at = now
        waited = now - attempt.sent_at > min(attempt.silent, 0.9 * (request.term - request.born))
        weight = HARD.get(status, 0.0)
        ended = status in (Status.TIMEOUT, Status.CANCELLED) and waited
        for name, record in ((ALL, server.record), (kind, server.kind(kind))):
            if ended:
                weight = SILENCE if record.answered_at < attempt.sent_at else 0.0
            self._failing(server, name, record, record.failing + weight * (1 - record.failing))
            record.loss += LOSS_STEP * (status in HARD) * (1 - record.loss)
            if not weight or now < record.until or record.failing < EJECT_AT:
                continue
            # What all servers share, bad networks or too much work, is no fault of this one.
            usual = self.failing[name] / max(1, ready)
            if record.failing >= EJECT_AT + (1 - EJECT_AT) * usual and self.out(kind) < EJECT_PART * ready:
                span = EJECT * self.table.tightest * 2.0 ** min(record.ejections, EJECT_DOUBLINGS)
                span *= self.random.uniform(0.8, 1.2)
                record.until, record.ejections = now + span, record.ejections + 1
                if server.ready:
                    self.away[name][server] = None
                what = name or "all"
                self.log(f"server {server.entry.server} ejected ({what}) for {span:.0f} ms: {status.value}")

    def out(self, kind: str) -> int:
        """How many ready servers are ejected, wholly or for this class."""
        wholly = self.away[ALL]
        return len(wholly) + sum(server not in wholly for server in self.away[kind])


def _ejected(record: Record, now: float, out: int) -> bool:
    """Ejected, or back on trial: one attempt at a time until an answer shows that it works again."""
    return now < record.until or (record.failing >= EJECT_AT and record.ejections > 0 and out > 0)


def _records(server: Server) -> Iterator[tuple[str, Record]]:
    """A server's records by name, the one for all classes first."""
    yield ALL, server.record
    yield from server.kinds.items()
