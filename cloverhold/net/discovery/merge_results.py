"""What merging an answer of discovery into the held list came to. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from cloverhold.net.discovery.departures import Readmission
from cloverhold.net.discovery.server_list import ServerLine


class Worth(Enum):
    """What an answer is worth."""

    TAKEN = "take"
    OVERTAKEN = "stale"  # another call's answer has told it already, or it builds on what is not held
    LOWER_VERSION = "lower_version"
    ADOPTED = "restarted"  # of a lower version, by which discovery counts now


class NotTaken(Enum):
    """Why something that an answer says is not taken as it stands."""

    LOWER_VERSION = "lower_version"
    UNREADABLE = "unreadable_line"
    DUPLICATE = "named_twice"
    NOT_LATER = "return_not_later"  # that a server is ready again, by no newer word than that of its departure


class Withheld(Enum):
    """Why a server that is listed as ready gets nothing new."""

    DEPARTED = "departed"  # no newer word than its departure has it ready
    DOUBT = "in_doubt"  # an answer left open whether it leaves
    LOWER_VERSION = "lower_version"  # answers of lower versions say that it leaves, or do not name it


@dataclass(frozen=True, slots=True)
class Withholding:
    """That a server is withheld from now on."""

    uid: str
    why: Withheld
    version: float  # that holds it; infinity: no version lets it in


@dataclass(frozen=True, slots=True)
class Asked:
    """The call that is answered."""

    since: int | None  # the version from which on changes were asked for; None: the whole list
    begun_at: float


@dataclass(slots=True)
class Merged:
    """What an answer came to."""

    worth: Worth
    whole: bool = False  # whether `lines` are the whole list
    is_news: bool = False  # whether there is something to hand on
    lines: list[ServerLine] = field(default_factory=list)  # to hand on: the whole list may be one of none
    left_out: list[str] = field(default_factory=list)  # whom a whole list has otherwise than changes up to its version
    not_taken: Counter[NotTaken] = field(default_factory=Counter)
    ask_whole: bool = False  # whether only a whole list can tell the rest
    withheld: list[Withholding] = field(default_factory=list)  # from now on
    readmitted: dict[str, Readmission] = field(default_factory=dict)  # withheld until now, by uid
