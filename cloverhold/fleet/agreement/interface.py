"""What the voters' cores are told and what they ask for. Times are in ms of a clock that counts sleep."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct

Index = int  # of an entry in the log, from 1 on
Disk = bytes  # 16 random bytes, drawn when a voter's folder is made


class Role(Enum):
    """What a voter is."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the log. command: what it does, in the machine's own form; empty for a new leader's first."""

    term: int
    command: bytes = b""
    voters: tuple[Disk, ...] = ()  # who votes from this entry on, where it changes that


class Stored(Struct, frozen=True, array_like=True):
    """A snapshot: what all entries up to `index` came to."""

    index: Index
    term: int
    voters: tuple[Disk, ...]
    state: bytes


# ----------------------------------------------------------------------------------------------------------- messages


class AskVote(Struct, frozen=True, tag=True, array_like=True):
    """Would you vote for me in this term (pre), or do you?"""

    term: int
    pre: bool
    last: Index
    last_term: int


class VoteSaid(Struct, frozen=True, tag=True, array_like=True):
    """The answer. term: of the question, or the higher one that speaks against it."""

    term: int
    pre: bool
    granted: bool


class Append(Struct, frozen=True, tag=True, array_like=True):
    """The leader's word: entries after `before`, and how far all is decided. round: which word of this term it is."""

    term: int
    round: int
    before: Index
    before_term: int
    decided: Index
    entries: tuple[Entry, ...] = ()


class Appended(Struct, frozen=True, tag=True, array_like=True):
    """The answer. upto: how far the log is the leader's, durably; where `ok` is not set, how far it may be at most."""

    term: int
    round: int
    ok: bool
    upto: Index


class Install(Struct, frozen=True, tag=True, array_like=True):
    """A snapshot in the place of entries that the leader has no more."""

    term: int
    round: int
    stored: Stored


Message = AskVote | VoteSaid | Append | Appended | Install


# ------------------------------------------------------------------------------------------------------------ actions


@dataclass(frozen=True, slots=True)
class Persist:
    """Make this durable before any later action of the same list is carried out. Where that fails the process must end:
    nobody knows what of it is there. after: entries behind this one are cut off; `entries` follow it.
    """

    term: int
    vote: Disk | None
    after: Index | None = None
    entries: tuple[Entry, ...] = ()
    stored: Stored | None = None  # in the place of all entries up to its index


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send a message to the voter with this disk. It may be lost."""

    to: Disk
    message: Message


@dataclass(frozen=True, slots=True)
class Decided:
    """An entry is decided, and known here to be: in order, each once in the life of a process."""

    index: Index
    entry: Entry


@dataclass(frozen=True, slots=True)
class Restored:
    """All up to a snapshot is decided; its state takes the place of what entries did before."""

    stored: Stored


@dataclass(frozen=True, slots=True)
class Became:
    """The role has changed. For the log, and for what a leader alone does."""

    role: Role
    term: int
    why: str


@dataclass(frozen=True, slots=True)
class Confirmed:
    """A majority answered round `round` of this term: whatever was heard before it began was heard while leading."""

    round: int


Action = Persist | Deliver | Decided | Restored | Became | Confirmed


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of the voters, in ms. Raises ValueError for what cannot stand together."""

    word_ms: float = 150.0  # between two words of a leader to each
    silence_ms: float = 750.0  # a follower waits for so long at least, and for half more at most
    asleep_ms: float = 400.0  # a voter that was not called for so long was stopped

    def __post_init__(self) -> None:
        if self.word_ms <= 0 or self.silence_ms < 3 * self.word_ms:
            raise ValueError("silence_ms: at least three times word_ms")
        if not self.word_ms < self.asleep_ms < self.silence_ms:
            raise ValueError("asleep_ms: between word_ms and silence_ms")
