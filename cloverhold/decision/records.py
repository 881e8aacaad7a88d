"""What a node keeps of each server, and of each send to one. Data only: it decides nothing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cloverhold.decision.interface import ClassSettings, Request, ServerEntry
from cloverhold.decision.pools import Lane

if TYPE_CHECKING:
    from cloverhold.decision.state import RequestState
    from cloverhold.decision.waiting import Line


class Record:
    """How a server, or one class of requests at it, has fared."""

    __slots__ = ("answered_at", "ejections", "failing", "loss", "until")

    def __init__(self) -> None:
        self.answered_at = -math.inf
        self.failing, self.loss = 0.0, 0.0  # average of failures, 0 to 1; a slower one, without weights
        self.ejections, self.until = 0, -math.inf  # ejected until then


# What makes servers alike in a pick: the most load at which they have room; the pace in quarters of a
# doubling; for each class the weighted figure in halves (None: not served); how warm; whether the row is
# aged; and the zone where repeats keep to theirs.
Profile = tuple[float, int, tuple[int | None, ...], int, bool, str]


class Server:
    """What this node knows of one listed server."""

    __slots__ = (
        "askers", "closed", "counted", "due", "entry", "filled", "heard_at", "kinds", "lost_probes",
        "lost_since", "out", "pace", "pace_at", "probed_at", "profile", "rank", "ready", "record", "replies",
        "row", "size", "spoilt", "surplus", "tokens", "took", "warm",
    )  # fmt: skip

    def __init__(self, entry: ServerEntry, now: float, rank: float) -> None:
        self.entry, self.rank = entry, rank
        self.size = entry.weight  # as stated; where weights are live the largest, shown when it holds nothing
        self.ready = False
        self.row = self.counted = 0  # the table's figure, and as it last went into the sum of all
        self.replies = 0  # of probes, that filled the row
        self.surplus, self.heard_at = 0.0, now  # what others hold there over their usual; last reply
        self.out: dict[tuple[int, int], Attempt] = {}  # this node's attempts there, oldest first
        self.took, self.due = 0.0, 0.0  # time answers took, and what a typical server would take
        self.pace, self.pace_at = 1.0, -math.inf
        self.tokens, self.filled = math.nan, now  # the cold budget, in ms of work; not used so far
        self.warm, self.closed = 0, False  # steps of warmth; whether the cold budget is spent for now
        self.probed_at: float | None = None  # the probe still out
        self.lost_probes, self.lost_since = 0, math.inf
        self.record, self.spoilt = Record(), False  # whether any record knows of a failure
        self.kinds: dict[str, Record] = {}  # by class, from its first outcome there on
        self.askers: list[RequestState] = []  # requests that wait for the reply of the probe still out
        self.profile: Profile | None = None  # as last found

    def kind(self, name: str) -> Record:
        record = self.kinds.get(name)
        if record is None:
            record = self.kinds[name] = Record()
        return record


class Attempt:
    """One send of a request; kept until its outcome."""

    __slots__ = ("cancelled", "due", "entry", "expected", "may_have_run", "number", "pending", "place",
                 "request", "sent_at", "server", "silent")  # fmt: skip

    def __init__(self, request: RequestState, server: Server, now: float, place: float, due: float) -> None:
        self.request, self.server, self.number = request, server, len(request.attempts)
        self.entry = server.entry  # as it was then: a server may come under another zone or cell
        self.sent_at, self.place, self.due, self.expected = now, place, due, due * server.pace
        self.silent = math.inf  # one without a sign of its server for so long stalls
        self.pending, self.may_have_run, self.cancelled = True, True, False


class RequestRecord:
    """What a node keeps of a request; what it may still get says `RequestState`."""

    __slots__ = (
        "arriving", "attempts", "awaited", "base", "born", "done", "event", "expires", "held", "id", "kind",
        "lane", "line", "rank", "streaming", "term", "ticket", "work",
    )  # fmt: skip

    def __init__(self, event: Request, kind: ClassSettings, now: float, lane: Lane) -> None:
        self.id, self.kind, self.event, self.born, self.lane = event.id, kind, event, now, lane
        self.line: Line | None = None  # where it waits
        self.term = self.expires = now + event.expires_ms
        self.attempts: list[Attempt] = []
        self.work = self.base = 0.0
        self.rank = 0.0
        self.awaited = 0  # probe replies that it waits for before it is placed
        self.held = self.done = self.streaming = False
        self.arriving = event.arriving  # no server has begun it, nor can before its last byte has come
        self.ticket = -1  # its place among those that wait
