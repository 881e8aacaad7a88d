"""How a key changes its cell while it is served. A state machine as a table; nothing here does I/O.

Theory of operation. A move changes one thing: the pool that *new* requests of a key are told to the module with. Each
request keeps the pool that it came with, so an unsafe one in flight stays with its attempt, one that never ran waits
where it is, and a repeat of a keyed one is looked for among the servers of its own pool that its group remembers. Two
rules follow: the switch is one assignment between two events, and no request is ever in two cells.

- PREPARING: requests go to the old cell. The new one is ready once its servers can really do what the floor asks,
  cold ones counted at what they can do. Not ready in time: given up, nothing has happened.
- DRAINING: requests go to the new cell; those of the old one end.
- WATCHED: all are in the new cell; evidence is held against what was usual before.
- BACK: turned back, by evidence or by hand: requests go to the old cell again, those of the new one end.
- DONE and UNDONE are the ends.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from cloverhold.cells.evidence import Cusum, outcome

SLACK = 0.02  # of a failure rate, that a move may add before it counts as worse


class Stage(Enum):
    """How far a move is."""

    PREPARING = "preparing"
    DRAINING = "draining"
    WATCHED = "watched"
    BACK = "back"
    DONE = "done"
    UNDONE = "undone"


class Word(Enum):
    """What a move is told."""

    READY = "the new cell is ready"
    LATE = "the new cell was not ready in time"
    EMPTY = "the last request in the cell left has ended"
    PROVEN = "nothing got worse"
    WORSE = "it made things worse"
    UNDO = "turned back by hand"


NEXT: dict[tuple[Stage, Word], Stage] = {
    (Stage.PREPARING, Word.READY): Stage.DRAINING,
    (Stage.PREPARING, Word.LATE): Stage.UNDONE,
    (Stage.PREPARING, Word.UNDO): Stage.UNDONE,
    (Stage.DRAINING, Word.EMPTY): Stage.WATCHED,
    (Stage.DRAINING, Word.WORSE): Stage.BACK,
    (Stage.DRAINING, Word.UNDO): Stage.BACK,
    (Stage.WATCHED, Word.PROVEN): Stage.DONE,
    (Stage.WATCHED, Word.WORSE): Stage.BACK,
    (Stage.WATCHED, Word.UNDO): Stage.BACK,
    (Stage.BACK, Word.EMPTY): Stage.UNDONE,
}
ENDS = (Stage.DONE, Stage.UNDONE)
IN_NEW = (Stage.DRAINING, Stage.WATCHED, Stage.DONE)  # where new requests go to the new cell


@dataclass(frozen=True, slots=True)
class Place:
    """What a cell is drawn from: a number of the key's own draw (0 the first), or a cell by its name."""

    draw: int = 0
    cell: str = ""

    def said(self) -> str:
        """For people: `draw 1` or the cell's name."""
        return self.cell or f"draw {self.draw}"


@dataclass(frozen=True, slots=True)
class Order:
    """A move as an operator asks for it. id: names it for good; a second order under it is the same one."""

    id: str
    key: str
    to: Place
    undo: bool = False


class Move:
    """One move. `old` and `new`: the places; times are ms of the node's clock."""

    __slots__ = ("baseline", "began_at", "id", "key", "new", "old", "stage", "why", "worse")

    def __init__(self, id: str, key: str, old: Place, new: Place, now: float) -> None:
        self.id, self.key, self.old, self.new = id, key, old, new
        self.stage, self.began_at = Stage.PREPARING, now  # of the stage
        self.why = ""
        self.baseline = 0.0  # part of its requests that failed before
        self.worse = Cusum()

    def tell(self, word: Word, now: float) -> bool:
        """Take a step; False where the word means nothing at this stage (a late one, or one said twice)."""
        stage = NEXT.get((self.stage, word))
        if stage is None:
            return False
        self.stage, self.began_at, self.why = stage, now, word.value
        return True

    def over(self) -> bool:
        """Whether it has come to one of its ends."""
        return self.stage in ENDS

    def place(self) -> Place:
        """Where new requests go."""
        return self.new if self.stage in IN_NEW else self.old

    def seen(self, server: str, *, failed: bool, rate: float) -> bool:
        """Hold an outcome in the new cell against what was usual; whether that shows that it got worse."""
        if self.stage not in (Stage.DRAINING, Stage.WATCHED):
            return False
        self.worse.tell(outcome(self.baseline + SLACK, failed=failed), server)
        return self.worse.alarms(rate, 1)

    def record(self) -> dict[str, Any]:
        """What must last of it, in plain values."""
        return {
            "id": self.id,
            "key": self.key,
            "old": [self.old.draw, self.old.cell],
            "new": [self.new.draw, self.new.cell],
            "stage": self.stage.value,
            "why": self.why,
            "baseline": round(self.baseline, 6),
        }

    @classmethod
    def resumed(cls, record: Mapping[str, Any], now: float) -> Move:
        """A move as it was recorded, from before a restart. No request of before is in flight any more.

        Raises ValueError where the record is none.
        """
        try:
            old, new = (Place(int(draw), str(cell)) for draw, cell in (record["old"], record["new"]))
            move = cls(str(record["id"]), str(record["key"]), old, new, now)
            move.stage, move.why = Stage(record["stage"]), str(record["why"])
            move.baseline = float(record["baseline"])
        except (KeyError, TypeError) as error:
            raise ValueError(f"no record of a move: {error!r}") from None
        return move
