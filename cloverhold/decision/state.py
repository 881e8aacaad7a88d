"""What a node keeps of attempts and requests, and what a request may still get."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cloverhold.decision.interface import ClassSettings, Group, Repeat, Request, ServerEntry, Settings, Status
from cloverhold.decision.pools import Lane
from cloverhold.decision.records import Server

if TYPE_CHECKING:
    from cloverhold.decision.waiting import Line

SILENT, SILENT_HINTED = 6.0, 3.0  # one without a sign of its server for this multiple (work hinted) stalls
NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class Attempt:
    """One send of a request; kept until its outcome."""

    __slots__ = ("cancelled", "due", "entry", "expected", "may_have_run", "number", "pending", "place",
                 "request", "sent_at", "server", "silent")  # fmt: skip

    def __init__(self, request: RequestState, server: Server, now: float, place: float, due: float) -> None:
        self.request, self.server, self.number = request, server, len(request.attempts)
        self.entry = server.entry  # as it was then: a server may come under another zone or cell
        self.sent_at, self.place, self.due, self.expected = now, place, due, due * server.pace
        self.silent = (SILENT_HINTED if request.event.cost_ms else SILENT) * self.expected
        self.pending, self.may_have_run, self.cancelled = True, True, False


class RequestState:
    """One request that this node owes an answer, with all that has been tried for it."""

    __slots__ = ("attempts", "awaited", "base", "born", "done", "event", "expires", "held", "id", "kind",
                 "lane", "line", "rank", "streaming", "term", "ticket", "work")  # fmt: skip

    def __init__(self, event: Request, kind: ClassSettings, now: float, lane: Lane) -> None:
        self.id, self.kind, self.event, self.born, self.lane = event.id, kind, event, now, lane
        self.line: Line | None = None  # where it waits
        self.term = self.expires = now + event.expires_ms
        self.attempts: list[Attempt] = []
        self.work = self.base = 0.0
        self.rank = 0.0
        self.awaited = 0  # probe replies that it waits for before it is placed
        self.held = self.done = self.streaming = False
        self.ticket = -1  # its place among those that wait

    def pending(self) -> list[Attempt]:
        return [a for a in self.attempts if a.pending]

    def may_refuse(self) -> bool:
        """A refusal promises that trying again is harmless."""
        keyed = self.kind.repeat is Repeat.KEYED and self.kind.group is Group.ALL
        return keyed or self.kind.repeat is Repeat.SAFE or not any(a.may_have_run for a in self.attempts)

    def may_send(self, now: float, settings: Settings) -> Group | None:
        """Among which servers it may get a further attempt: all, or those of the zone or cell of the first
        that may have run; None if none may.
        """
        attempts = self.attempts
        if len(attempts) >= settings.max_attempts or self.streaming:
            return None
        ran = [a for a in attempts if a.may_have_run]
        if ran and (self.kind.repeat is Repeat.UNSAFE or (not settings.parallel_tries and self.pending())):
            return None
        if not ran or self.kind.repeat is Repeat.SAFE:
            return Group.ALL
        # Keyed: only while the group still remembers the first attempt that may have run, less a margin for
        # the way there.
        if now > ran[0].sent_at + 0.9 * self.kind.key_ttl_ms - 2 * settings.tick_ms:
            return None
        return self.kind.group

    def first(self) -> ServerEntry:
        """Where the first attempt went that may have run; there must be one."""
        return next(a.entry for a in self.attempts if a.may_have_run)
