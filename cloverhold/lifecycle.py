"""What a process of the node is: starting, serving, stopping, ended, and whether it is a lame duck.

Pure: events in, answers out. Fronts, health, readiness and the drain ask here and keep no flag of their own.

| phase     | LISTED    | LISTENING | SIGTERM  | EMPTY |
| --------- | --------- | --------- | -------- | ----- |
| NEW       | LISTED    | LISTENING | STOPPING |       |
| LISTED    |           | SERVING   | STOPPING |       |
| LISTENING | SERVING   |           | STOPPING |       |
| SERVING   |           |           | STOPPING |       |
| STOPPING  |           |           |          | ENDED |
| ENDED     |           |           |          |       |

Where a cell is empty the event changes nothing. The lame duck is told on and off beside that, in any phase but the last
two: a process may be drained before it serves, and one that stops is drained already.
"""

from __future__ import annotations

from enum import Enum


class Phase(Enum):
    """How far a process is."""

    NEW = "new"
    LISTED = "listed"  # it knows servers
    LISTENING = "listening"  # it listens, and knows none yet
    SERVING = "serving"
    STOPPING = "stopping"
    ENDED = "ended"


class Event(Enum):
    """What happens to a process."""

    LISTED = "the first list has been told"
    LISTENING = "it listens"
    TERM = "it was told to stop"
    EMPTY = "nothing is open any more"


TABLE: dict[tuple[Phase, Event], Phase] = {
    (Phase.NEW, Event.LISTED): Phase.LISTED,
    (Phase.NEW, Event.LISTENING): Phase.LISTENING,
    (Phase.LISTED, Event.LISTENING): Phase.SERVING,
    (Phase.LISTENING, Event.LISTED): Phase.SERVING,
    **{(phase, Event.TERM): Phase.STOPPING for phase in (Phase.NEW, Phase.LISTED, Phase.LISTENING, Phase.SERVING)},
    (Phase.STOPPING, Event.EMPTY): Phase.ENDED,
}
OVER = (Phase.STOPPING, Phase.ENDED)

# Seconds after a drain began. New connections stop 0.3 s after the call at the latest (the front asks ten times a
# second, and 0.2 s after a no it stops); from then on a connection that rests may end. All have ended well before 4 s.
DUCK_FROM_S, DUCK_BY_S = 0.5, 1.7
# At a stop with a successor the later ones end late, so that most are ended by the answer to a request of their client.
STOP_FROM_S, STOP_BY_S = 0.8, 2.2
LATECOMER_S = 0.3  # one that came or rested later than all that ends then


class Life:
    """The life of one process. Times are in seconds, of any one clock."""

    def __init__(self) -> None:
        self.phase, self.duck = Phase.NEW, False
        self.since = 0.0  # of the drain, by lame duck or SIGTERM, whichever came first

    def tell(self, event: Event, now: float = 0.0) -> Phase:
        """An event; the phase from now on."""
        phase = TABLE.get((self.phase, event), self.phase)
        if phase is not self.phase and event is Event.TERM:
            self.since = now
        self.phase = phase
        return phase

    def lame_duck(self, on: bool, now: float) -> bool:
        """Drain, or take clients again; False where it stops, and so can do neither. Twice the same changes nothing."""
        if self.phase in OVER:
            return False
        if on and not self.duck:
            self.since = now
        self.duck = on
        return True

    def healthy(self) -> bool:
        """Whether clients may be sent here."""
        return self.phase is Phase.SERVING and not self.duck

    def ready(self) -> bool:
        """Whether the process can serve. A lame duck can: it is told not to."""
        return self.phase is Phase.SERVING

    def stopping(self) -> bool:
        """Whether it has been told to stop."""
        return self.phase in OVER

    def ended(self) -> bool:
        """Whether nothing is owed any more."""
        return self.phase is Phase.ENDED

    def closing(self) -> bool:
        """Whether an answer is its connection's last."""
        return self.duck or self.phase in OVER

    def rests_until(self, rested: float, place: float) -> float:
        """Until when a connection may stay that rests since `rested`; `place`, from 0 to 1, is its own in the spread.

        Only where answers close connections. Spread, so that few requests cross the end of theirs at once.
        """
        first, last = (STOP_FROM_S, STOP_BY_S) if self.phase in OVER else (DUCK_FROM_S, DUCK_BY_S)
        return max(self.since + first + place * (last - first), min(rested, self.since + last) + LATECOMER_S)
