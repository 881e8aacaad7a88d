"""What processes of one node tell each other, and which part of the node's limits each may use. Pure.

| who else is there   | place | descriptors                                 | counts as    |
| ------------------- | ----- | ------------------------------------------- | ------------ |
| nobody              | ALONE | all                                         | the node     |
| only newer ones     | OLDER | what it holds, and its part of what is free | one of parts |
| an older one        | NEWER | the same                                    | one of parts |

The page of a process says how many descriptors it holds. What nobody holds is divided by the processes: even where all
grow at once, before they read each other's pages again, they stay within the whole. Where more is held than there is,
those let go that hold more than the whole divided by the processes. A fixed half for each closed clients of the older
process at the door while half of the node's descriptors were free.
"""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, TypeGuard

from cloverhold.decision.interface import Settings

VERSION = 1
PAGE_LIMIT = 256 * 1024  # bytes of a page: thousands of servers
LEAST = 48  # descriptors without which a process cannot serve at all
INTERPRETER_MB = 17.0  # what a further process takes before it holds anything
LEAST_BODIES_MB = 1.0


class Place(Enum):
    """A process among those of its node."""

    ALONE = "alone"
    OLDER = "older"
    NEWER = "newer"


@dataclass(frozen=True)
class Page:
    """What a process tells of itself. started: Unix time in seconds; held: descriptors."""

    started: float
    serving: bool
    held: int
    members: dict[str, Any] | None = None  # its list, in discovery's form
    monotonic_s: float | None = None  # when it started, on the machine's monotonic clock; None: of an older release

    def is_newer_than(self, started: float, monotonic_s: float | None) -> bool:
        """Whether it started later. The wall clock may have been stepped in between: it decides only beside an older
        release, which tells nothing else.
        """
        if self.monotonic_s is not None and monotonic_s is not None:
            return self.monotonic_s > monotonic_s
        return self.started > started


@dataclass(frozen=True)
class Share:
    """What a process may use of its node."""

    place: Place
    parts: int
    descriptors: int
    successor: bool  # whether a newer process serves


def write_page(page: Page) -> str:
    """A page as text."""
    return json.dumps(
        {
            "v": VERSION, "started": page.started, "serving": page.serving, "held": page.held, "members": page.members,
            "monotonic_s": page.monotonic_s,
        }
    )  # fmt: skip


def read_page(text: str) -> Page | None:
    """A page from text; None for one that is torn, of another version, or not what a page holds."""
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError):
        return None
    if not isinstance(raw, dict) or raw.get("v") != VERSION:
        return None
    started, serving, held, members = (raw.get(key) for key in ("started", "serving", "held", "members"))
    monotonic_s = raw.get("monotonic_s")
    if not _is_instant(started) or not (monotonic_s is None or _is_instant(monotonic_s)):
        return None
    if not isinstance(serving, bool) or isinstance(held, bool) or not isinstance(held, int) or held < 0:
        return None
    return Page(float(started), serving, held, members if isinstance(members, dict) else None, monotonic_s)


def _is_instant(value: object) -> TypeGuard[float]:
    return not isinstance(value, bool) and isinstance(value, (int, float)) and math.isfinite(value)


def share(
    started: float, held: int, others: Sequence[Page | None], sockets: int, monotonic_s: float | None = None
) -> Share:
    """The part of a process that holds so many descriptors; others: the pages of the living ones beside it, None for
    one that cannot be read: it is taken to hold its part. started, monotonic_s: its own, as in `Page`.
    """
    if not others:
        return Share(Place.ALONE, 1, sockets, False)
    told = [page for page in others if page is not None]
    parts = 1 + len(others)
    part = sockets // parts
    successor = any(page.serving and page.is_newer_than(started, monotonic_s) for page in told)
    free = sockets - held - sum(page.held if page is not None else part for page in others)
    most = held + free // parts if free >= 0 else min(held, max(part, held + free))
    older = len(told) == len(others) and all(page.is_newer_than(started, monotonic_s) for page in told)
    return Share(Place.OLDER if older else Place.NEWER, parts, max(LEAST, most), successor)


def as_one_of(settings: Settings, share: Share) -> Settings:
    """The settings of a process that is one of several: each counts as a node of its own, as workers do."""
    if share.parts == 1:
        return settings
    number = 0 if share.place is Place.OLDER else share.parts - 1
    me = settings.me * share.parts + number if settings.me is not None else None
    return replace(settings, nodes=settings.nodes * share.parts, me=me)


def bodies_of(whole: int, parts: int) -> int:
    """The bytes of bodies that one of so many processes may hold, of what one alone may."""
    left = whole - (parts - 1) * INTERPRETER_MB * 1024 * 1024
    return whole if parts == 1 else int(max(LEAST_BODIES_MB * 1024 * 1024, left / parts))


def latest(others: Sequence[Page | None]) -> dict[str, Any] | None:
    """The list of the process that started last, to begin with; None where none tells one."""
    told = [page for page in others if page is not None and page.members is not None]
    newest = None
    for page in told:
        if newest is None or page.is_newer_than(newest.started, newest.monotonic_s):
            newest = page
    return newest.members if newest is not None else None
