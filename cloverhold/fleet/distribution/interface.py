"""Words of distribution: marks, what is told, and what the cores ask for. Pure. docs/design/distribution.md."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from msgspec import Struct

Session = int  # one connection between a subscriber and a source, never used again


class Mark(Struct, frozen=True, array_like=True):
    """A scope's content, named: its version, and a digest of what is there."""

    epoch: int
    number: int
    digest: bytes

    @property
    def version(self) -> tuple[int, int]:
        """What orders marks of one scope."""
        return self.epoch, self.number


class Entry(Struct, frozen=True, array_like=True):
    """A key as it was last touched, by the change of that number. value None: deleted then."""

    key: str
    number: int
    value: bytes | None


Entries = tuple[Entry, ...]


# ---------------------------------------------------------------------------------------------- from a subscriber


class Ask(Struct, frozen=True, tag=True, array_like=True):
    """Tell me this scope from that mark on; None, or `whole`: all of it. Takes the place of any earlier one."""

    scope: str
    mark: Mark | None
    whole: bool = False


class Leave(Struct, frozen=True, tag=True, array_like=True):
    """Tell me this scope no more."""

    scope: str


class Got(Struct, frozen=True, tag=True, array_like=True):
    """A part came that is not the last: send the next."""

    scope: str
    upto: Mark
    part: int


class Taken(Struct, frozen=True, tag=True, array_like=True):
    """The mark is durable here, and in force."""

    scope: str
    mark: Mark


class Refused(Struct, frozen=True, tag=True, array_like=True):
    """The mark is not taken, and why: one line. What was in force before still is."""

    scope: str
    mark: Mark
    why: str


# ---------------------------------------------------------------------------------------------------- from a source


class Told(Struct, frozen=True, tag=True, array_like=True):
    """Part `part` (from 0) of `parts` of what leads from `base` to `upto`; base None: all that there is at `upto`.

    floor: deletions up to that number are not in it.
    """

    scope: str
    base: Mark | None
    upto: Mark
    floor: int
    part: int
    parts: int
    entries: Entries


class Unknown(Struct, frozen=True, tag=True, array_like=True):
    """No such scope is known here; it may be asked for again after so long."""

    scope: str
    for_ms: float


class Behind(Struct, frozen=True, tag=True, array_like=True):
    """The source holds less than the subscriber, or something else under the same version. It will tell what comes."""

    scope: str
    mark: Mark


class Outrun(Struct, frozen=True, tag=True, array_like=True):
    """A subscriber of this relay holds a mark that the relay does not know, at or over its own: the writer has to write
    over it, if it does not know it either. As an action: pass it up.
    """

    scope: str
    mark: Mark


Upward = Ask | Leave | Got | Taken | Refused
Downward = Told | Unknown | Behind


# ------------------------------------------------------------------------------------------- of a connection itself


class Hello(Struct, frozen=True, tag=True, array_like=True):
    """The first word of both sides. wire: the newest form that is understood; the lower of both is spoken."""

    fleet: str
    name: str
    wire: int


class Beat(Struct, frozen=True, tag=True, array_like=True):
    """Still here."""


# --------------------------------------------------------------------------------------------------- for operators


class Change(Struct, frozen=True, tag=True, array_like=True):
    """To a writer: set these keys, delete those that are None, as one change."""

    scope: str
    values: dict[str, bytes | None]


class Answer(Struct, frozen=True, tag=True, array_like=True):
    """To a change. mark None: it was not made, and why."""

    scope: str
    mark: Mark | None
    why: str


class Who(Struct, frozen=True, tag=True, array_like=True):
    """Who runs what?"""


class Row(Struct, frozen=True, array_like=True):
    """One scope at one process, as the process that is asked knows it."""

    name: str
    scope: str
    held: Mark | None
    refused: Mark | None
    why: str


class Runs(Struct, frozen=True, tag=True, array_like=True):
    """Some rows of the answer; the first ones are those of the process itself."""

    rows: tuple[Row, ...]
    last: bool


# ------------------------------------------------------------------------------------------------------------ actions


@dataclass(frozen=True, slots=True)
class Up:
    """Send to the source, over the session that is open; nothing where none is."""

    message: Upward


@dataclass(frozen=True, slots=True)
class Down:
    """Send to a subscriber."""

    session: Session
    message: Downward


@dataclass(frozen=True, slots=True)
class Persist:
    """Make this change of a scope durable, as one, then say so by `stored`. base None: it takes the place of all."""

    scope: str
    base: Mark | None
    upto: Mark
    floor: int
    entries: Entries


@dataclass(frozen=True, slots=True)
class Forget:
    """Drop a scope from what is durable: it is followed no more."""

    scope: str


@dataclass(frozen=True, slots=True)
class Switch:
    """From now on this is in force. changed: the keys whose values differ from before, None where deleted."""

    scope: str
    mark: Mark
    changed: Mapping[str, bytes | None]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A writer's answer to whoever asked for a change: it is durable, under this mark. ticket: of the asker's."""

    scope: str
    mark: Mark
    ticket: int


@dataclass(frozen=True, slots=True)
class Declined:
    """A writer's answer: the change was not made, and why."""

    scope: str
    why: str
    ticket: int


@dataclass(frozen=True, slots=True)
class Drop:
    """End a subscriber's connection: it took nothing for too long."""

    session: Session


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the people on call. count: the name of its counter."""

    count: str
    scope: str
    why: str


Action = Up | Down | Persist | Forget | Switch | Outrun | Accepted | Declined | Drop | Note


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why content is not taken. held: it would be, if somebody confirmed its mark."""

    why: str
    held: bool = False


class Check(Protocol):
    """What a follower asks whether content may take force."""

    def part(self, scope: str, entries: Entries, first: bool) -> None:
        """A part has come, the first one of a word or a later one: work that need not wait for the last."""
        ...

    def __call__(self, scope: str, before: Mapping[str, bytes], after: Mapping[str, bytes]) -> Refusal | None:
        """Content as it is, and as it would be; None: take it."""
        ...
