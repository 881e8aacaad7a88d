"""Requests as any front takes them, and the exchange that is owed one answer. Nothing of a protocol's bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import parse_qs

from cloverhold.bodies.budget import FIELD_COST_BYTES
from cloverhold.bodies.upload import Upload
from cloverhold.decision.interface import ClassSettings, Repeat
from cloverhold.net.messages import Field

# Fields that a request has once: of two, one reader goes by the first and the next by the last.
ONCE = (b"x-call-id", b"x-call-class", b"x-budget", b"idempotency-key", b"host", b"transfer-encoding")


@dataclass(slots=True)
class Incoming:
    """One request as a client sent it."""

    method: bytes = b""
    target: bytes = b""
    fields: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name, the last value
    passed: list[Field] = field(default_factory=list)  # the fields that are passed on
    head_bytes: int = 0
    field_count: int = 0
    body: bytes = b""
    upload: Upload | None = None  # in place of `body`, where that is long
    shed: bool = False  # whether nothing was held of it, for lack of memory: it is refused in its turn
    whole: bool = True  # whether its last byte has come
    http10: bool = False
    keep_alive: bool = True
    came_at: float = 0.0  # monotonic, in seconds, of the last byte

    def held_bytes(self) -> int:
        """What it costs to hold it; an upload counts itself."""
        return self.head_bytes + self.field_count * FIELD_COST_BYTES + len(self.target) + len(self.body)

    def drop(self) -> None:
        """Nobody needs it any more."""
        if self.upload is not None:
            self.upload.drop()

    def repeatable(self) -> bool:
        """Whether its body is still there from the first byte on."""
        return self.upload is None or self.upload.repeatable()


class BadRequest(Exception):
    """A request that cannot be taken."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


@dataclass(slots=True)
class Asked:
    """What the headers of a request say."""

    kind: ClassSettings
    budget_ms: float
    tenant: str | None
    key: int | None
    cost_ms: float | None
    is_retry: bool


NUMBER_LIMIT = 32  # characters of a number in a head
MOST_MS = 1e9  # of a time that a client states


def _time_ms(text: bytes, unit_ms: float) -> float:
    """A plain decimal number of units, as ms below `MOST_MS`; float() alone would take 'nan', '1e9' or '1_0', and a
    long row of digits for infinity.
    """
    if not text or len(text) > NUMBER_LIMIT or not text.replace(b".", b"", 1).isdigit():
        raise ValueError(text)
    stated = float(text) * unit_ms
    if stated >= MOST_MS:
        raise ValueError(text)
    return stated


def read_budget(text: bytes) -> float:
    """`X-Budget` in ms: a number and a unit."""
    scale = {b"m": 1.0, b"u": 0.001}.get(text[-1:])
    if scale is None:
        raise ValueError(text)
    budget = _time_ms(text[:-1], scale)
    if budget <= 0:
        raise ValueError(text)
    return budget


def _sid(query: bytes) -> int | None:
    """The subject of a request, as a number below 2^53."""
    if b"sid=" not in query:
        return None
    text = query.decode("latin-1")
    if text.startswith("sid=") and not any(mark in text for mark in "&%+;"):  # as nearly always
        value = text[4:]
    else:
        value = next(iter(parse_qs(text).get("sid", ())), "")
    try:
        return int(value, 16) & (2**53 - 1) if value else None
    except ValueError:
        return None


def read_request(request: Incoming, classes: dict[str, ClassSettings]) -> Asked:
    """Check a request against what is agreed with clients; BadRequest where it is not kept."""
    headers = request.fields
    path, _, query = request.target.partition(b"?")
    coding = headers.get(b"transfer-encoding", b"chunked")
    if coding.lower() != b"chunked":  # nobody here undoes others: the body would pass on as coded
        raise BadRequest(501, "Transfer-Encoding other than chunked")
    name = headers.get(b"x-call-class", b"").decode("latin-1")
    kind = classes.get(path.lstrip(b"/").partition(b"/")[0].decode("latin-1"))
    if kind is None:
        raise BadRequest(404, "unknown class")
    if name != kind.name:
        raise BadRequest(400, "X-Call-Class and the path do not agree")
    if not headers.get(b"x-call-id"):
        raise BadRequest(400, "X-Call-Id is missing")
    if request.method != (b"GET" if kind.repeat is Repeat.SAFE else b"POST"):
        raise BadRequest(400, "the method does not fit the class")
    if (request.body or request.upload is not None) and kind.repeat is Repeat.SAFE:
        raise BadRequest(400, "a body does not fit the class")
    if kind.repeat is Repeat.KEYED and not headers.get(b"idempotency-key"):
        raise BadRequest(400, "Idempotency-Key is missing")
    try:
        budget = read_budget(headers.get(b"x-budget", b""))
        cost = headers.get(b"x-call-cost")
        cost_ms = _time_ms(cost, 0.001) if cost else None
    except ValueError:
        raise BadRequest(400, "X-Budget or X-Call-Cost is no such number") from None
    tenant = headers.get(b"x-caller", b"").decode("latin-1") or None
    return Asked(kind, budget, tenant, _sid(query), cost_ms, headers.get(b"x-again") == b"1")


class Taker(Protocol):
    """What takes requests over; it owes each `Exchange` one answer."""

    classes: dict[str, ClassSettings]

    def take(self, exchange: Exchange) -> None: ...
    def whole(self, exchange: Exchange, written_at: float) -> None:
        """The last byte of a request that was taken before has come to this machine: its time runs, from when its
        client may have written that byte (monotonic, in seconds).
        """

    def client_gone(self, exchange: Exchange) -> None: ...
    def come_back(self) -> tuple[Field, ...]:
        """When a client that is refused for lack of room may come back, where that may be told."""

    def ready(self) -> bool: ...


class Front(Protocol):
    """What an exchange came in by, and its answer goes out by."""

    def answer(self, exchange: Exchange, status: int, body: bytes, headers: Iterable[Field]) -> None: ...

    def is_client_connected(self, exchange: Exchange) -> bool:
        """Whether the client still waits. False where it has left, also where its end lies unread: nothing may be sent
        on for it then.
        """


class PassingFront(Protocol):
    """A front that takes long answers in pieces."""

    def begin(self, exchange: Exchange, headers: Iterable[Field], length: int | None) -> None:
        """The head of an answer of status 200; length: of its body, None where only its end will show."""

    def write_chunk(self, exchange: Exchange, data: bytes) -> bool:
        """Part of its body; whether more may follow at once. If not, `Exchange.resume` is called when it may."""

    def finish(self, exchange: Exchange) -> None:
        """It is whole."""

    def abort_answer(self, exchange: Exchange) -> None:
        """It will never be whole, and the client is to see that."""


def _nothing() -> None:
    """Nobody waits."""


class Exchange:
    """One request and the one answer that it gets."""

    __slots__ = ("asked", "connection", "passing", "ref", "request", "resume")

    def __init__(self, connection: Front, request: Incoming, asked: Asked, passing: PassingFront | None = None) -> None:
        """passing: the front, where it takes answers in pieces."""
        self.connection, self.request, self.asked, self.passing = connection, request, asked, passing
        self.ref = -1  # its number at the host
        self.resume: Callable[[], None] = _nothing

    def answer(self, status: int, body: bytes = b"", headers: Iterable[Field] = ()) -> None:
        """Write the answer. Nothing where the client has gone."""
        self.connection.answer(self, status, body, headers)

    def release(self) -> None:
        """Let go of the call whose answer was passed on: it holds this object, and both would wait for a collection."""
        self.resume = _nothing

    def is_client_connected(self) -> bool:
        """Whether the client still waits for it."""
        return self.connection.is_client_connected(self)


def retry_after(ms: float) -> tuple[Field, ...]:
    """The field that tells a client when to come back."""
    return ((b"Retry-After", b"%.3f" % (ms / 1000)),) if ms > 0 else ()
