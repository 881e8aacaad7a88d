"""What a node keeps of each server. Data only: it decides nothing."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cloverhold.decision.interface import ServerEntry

if TYPE_CHECKING:
    from cloverhold.decision.state import Attempt, RequestState


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
