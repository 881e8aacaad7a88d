"""What was seen in a rehearsal, row by row: the judge's only input, and a file.

Times are seconds after the start of the load, on the kit's one monotonic clock. The file is JSON lines: a header
`{"ledger": 1, ...}`, a row `[name, {...}]` a line, and a footer with the number of rows; docs/rehearsal.md tells
the rows. A file of a newer version is refused by name.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field, fields
from typing import Any

FORMAT = 1


class LedgerError(Exception):
    """A ledger that cannot be read; the text names the line."""


@dataclass(slots=True)
class Answer:
    """One answer that a client read."""

    at_s: float  # of its last byte
    status: int
    digest: str  # of its body
    whole: bool = True
    retry_after_s: float | None = None


@dataclass(slots=True)
class Try:
    """One request that a usual client sent, on one connection."""

    id: str
    first: int  # its first try's place in the plan
    number: int  # 0 for the first try
    class_name: str
    key: str | None
    node: int
    connection: int
    reused: bool  # the connection had carried a request before
    intended_s: float  # when it was meant to be sent
    budget_s: float  # how long the client waits from then on
    again: bool = False  # the same request once more, as its connection ended unread
    sent_s: float | None = None  # its last byte was written
    answers: list[Answer] = field(default_factory=list)
    ended_s: float | None = None  # the node's side ended the connection
    ended: str = ""  # "closed", "reset" or "refused"
    left_s: float | None = None  # the client left early
    watched_s: float | None = None  # until when its connection was watched


@dataclass(slots=True)
class Arrival:
    """One request that reached a server, or a part of one."""

    server: str
    life: int
    cell: int
    node: int
    connection: int
    id: str
    class_name: str
    key: str | None
    first_byte_s: float
    last_byte_s: float | None = None
    work_ms: float = 0.0
    handshake_ms: float = 0.0  # that its connection, if it was the first on it, cost
    outcome: str = "partial"  # see OUTCOMES
    executed: bool = False
    ended_s: float | None = None  # its answer was written, or the server gave it up
    digest: str = ""
    closed_s: float | None = None  # the node ended the connection, or it ended for both
    done_ms: float = 0.0  # work that was done for it
    told_s: float | None = None  # how long the node said that it would wait


OUTCOMES = {
    "partial": "the connection ended before its last byte",
    "held": "at work or waiting",
    "served": "answered with 200",
    "repeat": "a repeat of a key that its group knew: answered with 200, not run",
    "rejected": "turned away with X-Rejected",
    "unknown": "an id that no client sent in this form: answered 400",
    "error": "answered with 500",
    "spoilt": "run, and answered with what is no answer",
    "reset": "its server ended or dropped the connection",
    "silent": "never answered",
    "cancelled": "the node ended the connection first",
}


@dataclass(slots=True)
class Life:
    """One process of a server, from its start to its end."""

    server: str
    life: int
    cell: int
    capacity: float  # ms of work a ms, when warm
    cold_from: float
    cold_s: float
    started_s: float
    ended_s: float | None = None
    ended: str = ""  # "crash", "silent", "replaced", "fell" or "end"
    replaces: str = ""  # the server that had its address before


@dataclass(slots=True)
class Told:
    """A change of one server's state that discovery had for one node."""

    node: int
    node_life: int
    server: str
    state: str  # "active", "leaving" or "left"
    boot_s: float | None  # when that process started; None: long ago
    due_s: float  # when it was there to be told
    written_s: float | None = None  # when it was written to the node


@dataclass(slots=True)
class NodeLife:
    """One process of a node."""

    node: int
    life: int
    started_s: float
    known: dict[str, str] = field(default_factory=dict)  # the states of its remembered list
    ready_s: float | None = None
    term_s: float | None = None  # SIGTERM was sent
    killed_s: float | None = None  # SIGKILL was sent
    ended_s: float | None = None
    code: int | None = None  # exit status; negative: the signal
    hups: list[float] = field(default_factory=list)
    why: str = ""  # it was ended for, as the platform would: "memory"
    stops: list[tuple[float, float]] = field(default_factory=list)  # SIGSTOP and SIGCONT, seconds


@dataclass(slots=True)
class Said:
    """What a node said to a call: at its management address, or to `/_health` while it drains."""

    node: int
    life: int
    call: str  # "on", "off" or "health"
    at_s: float  # when it was asked
    status: int  # 0: nothing came
    took_s: float


@dataclass(slots=True)
class Seen:
    """What a node said of its fellows; a row where that has changed."""

    node: int
    life: int
    at_s: float
    phase: str
    acts: bool  # whether it goes by this view
    incarnation: int
    alive: list[int]


@dataclass(slots=True)
class Usage:
    """What a node's process held at one time."""

    node: int
    at_s: float
    memory_mb: float  # resident
    descriptors: int
    cpu_ms: float  # since its start


@dataclass(slots=True)
class Stranger:
    """One connection of a client that keeps no rule."""

    how: str
    node: int
    opened_s: float
    ids: list[str] = field(default_factory=list)
    owed: bool = True  # an error or a close within `patience_s`
    patience_s: float = 3.0
    statuses: list[int] = field(default_factory=list)
    first_answer_s: float | None = None
    ended_s: float | None = None
    closed_by: str = ""  # "node" or "kit"
    stopped_s: float | None = None  # when the node's machine had taken its last byte


@dataclass(slots=True)
class Dial:
    """One connection that a node opened to a server."""

    server: str
    node: int
    opened_s: float
    closed_s: float | None = None


@dataclass(slots=True)
class Probes:
    """Probes that a server answered or not, by node."""

    server: str
    node: int
    count: int


@dataclass(slots=True)
class FaultSpan:
    """A fault as it was played."""

    name: str
    begin_s: float
    end_s: float
    targets: list[str]


@dataclass(slots=True)
class Lag:
    """How late the kit's own loop was within a second: a sample each few ms."""

    at_s: float  # the end of that second
    samples: int
    late_ms: list[float] = field(default_factory=list)  # the samples that were late at all, in order of time


Row = Try | Arrival | Life | Told | NodeLife | Said | Seen | Usage | Stranger | Dial | Probes | FaultSpan | Lag
_ROWS: dict[str, type[Any]] = {
    "try": Try, "arrival": Arrival, "life": Life, "told": Told, "node": NodeLife, "said": Said, "seen": Seen,
    "usage": Usage, "stranger": Stranger, "dial": Dial, "probes": Probes, "fault": FaultSpan, "lag": Lag,
}  # fmt: skip
_NAMES = {kind: name for name, kind in _ROWS.items()}


@dataclass(slots=True)
class Ledger:
    """All rows of one rehearsal. `partial`: it was interrupted, and why."""

    scenario: str = ""
    seed: int = 0
    partial: str = ""
    ended_s: float = 0.0  # when the last was watched
    rows: list[Row] = field(default_factory=list)

    def of(self, kind: type[Any]) -> list[Any]:
        """The rows of one kind, in the order in which they began."""
        return [row for row in self.rows if type(row) is kind]


def lines(ledger: Ledger) -> Iterator[str]:
    """The ledger's file, line by line."""
    head = {"ledger": FORMAT, "scenario": ledger.scenario, "seed": ledger.seed}
    yield json.dumps({**head, "partial": ledger.partial, "ended_s": ledger.ended_s})
    for row in ledger.rows:
        yield json.dumps([_NAMES[type(row)], asdict(row)])
    yield json.dumps({"rows": len(ledger.rows)})


def _row(value: Any, number: int) -> Row:
    try:
        name, cells = value
        kind = _ROWS[name]
        if kind is Try:
            cells = {**cells, "answers": [Answer(**a) for a in cells["answers"]]}
        unknown = set(cells) - {f.name for f in fields(kind)}
        if unknown:
            raise ValueError(f"unknown cells {sorted(unknown)}")
        row: Row = kind(**cells)
        return row
    except (KeyError, TypeError, ValueError) as error:
        raise LedgerError(f"line {number}: no row of a ledger: {error}") from None


def read(text: Iterable[str]) -> Ledger:
    """A ledger from its lines. Raises LedgerError where one cannot be read, or some are missing."""
    ledger, number, closed = Ledger(), 0, False
    for number, line in enumerate(text, 1):
        try:
            value = json.loads(line)
        except ValueError as error:
            raise LedgerError(f"line {number}: not JSON: {error}") from None
        if number == 1:
            _head(ledger, value)
        elif isinstance(value, dict):
            closed = value.get("rows") == len(ledger.rows)
        else:
            ledger.rows.append(_row(value, number))
    if not number or not closed:
        raise LedgerError(f"line {number}: the end is missing: the file was cut")
    return ledger


def _head(ledger: Ledger, value: Any) -> None:
    version = value.get("ledger") if isinstance(value, dict) else None
    if not isinstance(version, int):
        raise LedgerError("line 1: not a ledger")
    if version > FORMAT:
        raise LedgerError(f"line 1: version {version} is newer than this kit, which reads up to {FORMAT}")
    ledger.scenario, ledger.seed = str(value.get("scenario", "")), int(value.get("seed", 0))
    ledger.partial, ledger.ended_s = str(value.get("partial", "")), float(value.get("ended_s", 0.0))
