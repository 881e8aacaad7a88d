"""Words of the core: its rules, what it is told, what it asks for, and the view that it shows. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cloverhold.fleet.wire.datagrams import Datagram


@dataclass(frozen=True, slots=True)
class Rules:
    """Times are in ms. The defaults know a death at all of 100 members within 2 s."""

    watchers: int = 8
    period_ms: float = 250.0  # between two pings to one subject
    silence_ms: float = 1500.0  # a watcher without an answer for so long votes its subject down
    grace_ms: float = 150.0  # from the first vote against a member to the count
    asleep_ms: float = 1000.0  # a loop that did not turn for so long was stopped
    forget_ms: float = 120_000.0  # how long the dead and those that left are kept
    join_ms: float = 1500.0  # nobody answered a joining node for so long: it begins alone
    settle_ms: float = 500.0  # after it was taken in a member does not act on its view yet

    def __post_init__(self) -> None:
        """Raises ValueError, naming the key, for times that cannot stand beside one another."""
        if self.silence_ms < 4 * self.period_ms:
            raise ValueError(f"silence_ms: at least four times period_ms, {4 * self.period_ms:g}, is needed")
        if self.asleep_ms >= self.silence_ms:
            raise ValueError(f"asleep_ms: must be under silence_ms, {self.silence_ms:g}")
        if self.forget_ms < 10 * self.silence_ms:
            raise ValueError(f"forget_ms: at least ten times silence_ms, {10 * self.silence_ms:g}, is needed")


class Phase(Enum):
    """What this process is among the members. Only a MEMBER accuses or is asked for its view.

    | phase     | WELCOMED | ALONE  | STOPPED   | UNHEARD | HEARD     | OUTBID   | FREE    | LEAVE  |
    | --------- | -------- | ------ | --------- | ------- | --------- | -------- | ------- | ------ |
    | JOINING   | MEMBER   | MEMBER | RETURNING |         |           | REPLACED |         | GONE   |
    | MEMBER    |          |        | RETURNING | CUT     |           | REPLACED |         | GONE   |
    | CUT       |          |        | RETURNING |         | RETURNING | REPLACED |         | GONE   |
    | RETURNING | MEMBER   | CUT    |           |         |           | REPLACED |         | GONE   |
    | REPLACED  |          |        |           |         |           |          | JOINING | GONE   |
    | GONE      |          |        |           |         |           |          |         |        |
    """

    JOINING = "joining"
    MEMBER = "member"
    CUT = "cut off"
    RETURNING = "returning"
    REPLACED = "replaced"
    GONE = "gone"


class Turn(Enum):
    """What changes the phase."""

    WELCOMED = "a member answered a join"
    ALONE = "nobody answered a join"
    STOPPED = "the loop did not turn"
    UNHEARD = "no round trip with anybody"
    HEARD = "a round trip again"
    OUTBID = "a later life holds this number"
    FREE = "the number is free again"
    LEAVE = "told to stop"


PHASES: dict[tuple[Phase, Turn], Phase] = {
    (Phase.JOINING, Turn.WELCOMED): Phase.MEMBER,
    (Phase.JOINING, Turn.ALONE): Phase.MEMBER,
    (Phase.JOINING, Turn.STOPPED): Phase.RETURNING,
    (Phase.MEMBER, Turn.STOPPED): Phase.RETURNING,
    (Phase.MEMBER, Turn.UNHEARD): Phase.CUT,
    (Phase.CUT, Turn.STOPPED): Phase.RETURNING,
    (Phase.CUT, Turn.HEARD): Phase.RETURNING,
    (Phase.RETURNING, Turn.WELCOMED): Phase.MEMBER,
    (Phase.RETURNING, Turn.ALONE): Phase.CUT,
    **{(p, Turn.OUTBID): Phase.REPLACED for p in (Phase.JOINING, Phase.MEMBER, Phase.CUT, Phase.RETURNING)},
    (Phase.REPLACED, Turn.FREE): Phase.JOINING,
    **{(p, Turn.LEAVE): Phase.GONE for p in Phase if p is not Phase.GONE},
}


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send a datagram to a number."""

    to: int
    datagram: Datagram


@dataclass(frozen=True, slots=True)
class Changed:
    """One change of what this node holds of a number, or of its own phase (number its own)."""

    number: int
    state: str
    incarnation: int
    why: str


Action = Deliver | Changed


@dataclass(frozen=True, slots=True)
class Standing:
    """A member as operators see it. since_ms: for how long it has stood so."""

    number: int
    state: str  # alive, suspected, dead, left
    incarnation: int
    since_ms: float
    why: str
    program: int
    rtt_ms: float | None  # of the last round trip, where this node watches it
    lost: float | None  # part of the pings to it that had no answer
