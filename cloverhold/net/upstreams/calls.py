"""A call to a server, whatever protocol carries it, and the four outcomes that it can have.

| what came of it | status | has it run? |
| --- | --- | --- |
| its last byte was not written before its connection, or its stream, ended | CONNECT_FAILED | never |
| a whole answer 503 or 504 with `X-Rejected: 1` | FULL | never |
| any other whole answer | OK, ERROR | it may have |
| its connection or stream ended behind its last byte with no whole answer | RESET | it may have |

What the server's protocol itself says was never begun (RFC 9114, sections 4.1.1 and 5.2) is CONNECT_FAILED too.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from cloverhold.bodies.upload import Upload
from cloverhold.decision.interface import Status
from cloverhold.net.messages import Field, Response

Address = tuple[str, int]


# The ms that a node will still wait for an answer, from now. The only way by which a call knows it: a figure taken
# before the connection was up, or had rested, would be stale when it is written.
Left = Callable[[], float]


@dataclass(slots=True)
class Outgoing:
    """One request as a server is sent it."""

    method: bytes
    target: bytes
    fields: list[Field] = field(default_factory=list)
    body: bytes = b""
    upload: Upload | None = None  # in place of `body`, where that still comes, or is long
    left: Left | None = None  # asked in the step that writes the head, and told in it; None: nothing is told

    def call_id(self) -> bytes:
        """The client's name for the request; empty for what the node itself asks."""
        return next((value for name, value in self.fields if name.lower() == b"x-call-id"), b"")


def status_of(response: Response) -> Status:
    """What an answer says of the attempt."""
    if response.status == 200:
        return Status.OK
    if response.status in (503, 504) and response.header(b"x-rejected") == b"1":
        return Status.FULL
    return Status.ERROR


class Call(Protocol):
    """One exchange with a server. Its `Done` is told once how it ended, unless it was given up."""

    response: Response | None

    def pause(self) -> None:
        """Read no more of its answer, until `resume`."""

    def resume(self) -> None: ...

    def answer_comes(self) -> bool:
        """Whether a server is writing an answer of status 200, of which the receiver has had nothing yet."""

    def pass_on(self) -> None:
        """Hand that part to the receiver, and from here on what comes."""

    def give_up(self) -> None:
        """End it without a word to `Done`. No late byte of it may reach anybody else."""


class Receiver(Protocol):
    """Who takes a long answer of status 200 in pieces, as they come. `Done` still tells how it ended."""

    def begun(self, call: Call, response: Response) -> None:
        """Its head. From here on nothing may be tried again."""

    def write_chunk(self, call: Call, data: bytes) -> None: ...


Done = Callable[[Call, Status], None]
# Whether an exchange is still to be sent. Whoever says no has given it up.
Wanted = Callable[[], bool]


def always() -> bool:
    """As for what the node itself asks."""
    return True


class Upstream:
    """One process of a server, and the connections to it that are idle.

    Another uid or start is another one, also at the same address: neither may close the other's connections,
    or be handed one of them.
    """

    __slots__ = ("address", "idle", "retired", "started_at")

    def __init__(self, address: Address, started_at: float | None = None) -> None:
        self.address, self.started_at = address, started_at
        self.idle: list[Any] = []  # of the protocol that holds them
        self.retired = False  # nothing new goes there: connections close with the answer they wait for

    def rested(self, since: float) -> Any:
        """The idle connection used last that has rested since then; None where there is none."""
        return next((c for c in reversed(self.idle) if c.idle_since <= since), None)


class Pool(Protocol):
    """What carries calls to all servers."""

    def call(
        self, upstream: Upstream, outgoing: Outgoing, done: Done, receiver: Receiver | None = None,
        wanted: Wanted = always,
    ) -> Call:  # fmt: skip
        """Begin an exchange. `done` is never called before this returns. Without a receiver answers are held whole.
        `wanted` is asked once more where time passes before the first byte leaves.
        """

    def close_idle(self, upstream: Upstream) -> None:
        """Close the connections to a server on which nothing is open."""

    def turn_back(self, upstream: Upstream) -> None:
        """It wants nothing new: idle connections close, and what has no byte written yet ends as never begun."""

    def retire(self, upstream: Upstream) -> None:
        """Its process has ended, or has moved: as `turn_back`, and answers that are still awaited are their
        connections' last.
        """

    def close(self) -> None:
        """Close every socket."""
