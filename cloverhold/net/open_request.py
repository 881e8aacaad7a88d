"""Requests that are owed an answer, and their attempts that are out."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from cloverhold.decision.interface import Repeat, Status
from cloverhold.net.exchange import Exchange
from cloverhold.net.messages import Response
from cloverhold.permission import Run
from cloverhold.net.upstreams.calls import Call, Left, Outgoing

if TYPE_CHECKING:
    from cloverhold.cells.tenancy import Cell


@dataclass(slots=True)
class Attempt:
    """One send that is out."""

    number: int
    server: str
    call: Call
    sent_at: float
    timer: asyncio.TimerHandle | None = None
    begun_after: float | None = None  # ms to the first byte of an answer that is passed on
    cell: Cell | None = None
    kind: str = ""


@dataclass(slots=True)
class OpenRequest:
    """One request that is owed an answer."""

    exchange: Exchange
    expires_at: float
    deadline_timer: asyncio.TimerHandle | None
    sent: int = 0
    last_status: Status | None = None  # how the attempt before the next one ended
    cell: Cell | None = None  # where it is confined to
    record: int | None = None  # the store's ticket
    out: dict[int, Attempt] = field(default_factory=dict)
    ran: Run | None = None  # the first attempt that may have run
    begun: bool = False  # whether its answer is on the way in pieces

    def call_id(self) -> bytes:
        """The client's name for it."""
        return self.exchange.request.fields[b"x-call-id"]

    def is_unsafe(self) -> bool:
        """Whether it must never run twice."""
        return self.exchange.asked.kind.repeat is Repeat.UNSAFE


class StreamOwner(Protocol):
    """Who passes long answers on to clients."""

    def begun(self, ref: int, number: int, call: Call, response: Response) -> None:
        """The answer of an attempt has begun."""

    def chunk(self, ref: int, call: Call, data: bytes) -> None:
        """Part of an answer that has begun."""


class ResponseStream:
    """Takes a long answer of one attempt."""

    __slots__ = ("number", "owner", "ref")

    def __init__(self, owner: StreamOwner, ref: int, number: int) -> None:
        self.owner, self.ref, self.number = owner, ref, number

    def begun(self, call: Call, response: Response) -> None:
        self.owner.begun(self.ref, self.number, call, response)

    def write_chunk(self, call: Call, data: bytes) -> None:
        self.owner.chunk(self.ref, call, data)


def take_attempt(opened: OpenRequest, number: int) -> Attempt | None:
    """The attempt, which is no longer out; None where it was not."""
    attempt = opened.out.pop(number, None)
    if attempt is not None and attempt.timer is not None:
        attempt.timer.cancel()
    return attempt


def request_to_send(exchange: Exchange, left: Left) -> Outgoing:
    """What a server is sent: the request as it came, with the time that this node will wait when it leaves."""
    request = exchange.request
    return Outgoing(request.method, request.target, request.passed, request.body, request.upload, left)
