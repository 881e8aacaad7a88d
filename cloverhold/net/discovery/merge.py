"""Merges an answer of discovery into the list that is held: what is taken, what is not, and why. Pure.

Answers may be overtaken by others, come from a replica that lags, name a server twice, have lines that can't be read,
or count versions from anew. The invariant, for every order of answers: a server that was told to drain, or is gone, is
not ready again until an answer of a later version says so. What an answer says for sure is taken, whatever else is odd
in it.

| answer                                     | what is done                                                           |
| ------------------------------------------ | ---------------------------------------------------------------------- |
| of this version or a later one             | taken                                                                  |
| to a call that another one has overtaken   | passed over (`OVERTAKEN`)                                              |
| of a lower version                         | not taken; what it says to drain, or does not name, is withheld until  |
|                                            | an answer of this version comes, which shows that a replica lags       |
| only such for `ADOPT_AFTER_S`              | the next whole one is taken: discovery counts from anew; drains stay   |
| names a server twice, differently          | it stays as it is held; withheld, if state or start differ, until an   |
|                                            | answer names it once                                                   |
| has a line that can't be read              | the rest is taken; a state that can be read, too; else it is withheld  |
| says that a drained server is ready again  | taken only if its version is later than that of the drain              |

A server that is withheld is handed on as draining. Times are seconds on one monotonic clock.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from cloverhold.decision.interface import Lifecycle
from cloverhold.net.discovery.server_list import ListAnswer, ServerLine

ADOPT_AFTER_S = 2.0  # of lower versions alone; drains among them are kept at once, so this delays only returns
LEAST_TO_ADOPT = 3  # answers of lower versions
LAG_MEMORY_S = 3.0  # after an answer that showed a replica to lag, what lower versions say is passed over
FORMER_DRAIN_S = 30.0  # from when versions count from anew, so long a drain of before holds against a lower version
MOST_GONE = 4096  # servers that are gone and remembered


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
    NOT_LATER = "return_not_later"  # that a server is ready again, by no later version than that of its drain


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
    lines: list[ServerLine] = field(default_factory=list)  # to hand on: none where nothing has changed
    not_taken: Counter[NotTaken] = field(default_factory=Counter)
    ask_whole: bool = False  # whether only a whole list can tell the rest


@dataclass(frozen=True, slots=True)
class _FormerDrain:
    """A drain that was told before versions counted from anew."""

    version: int
    holds_until: float


class HeldList:
    """The list as this node holds it, with what it withholds."""

    def __init__(self) -> None:
        self.version: int | None = None  # None: no list is held
        self._lines: dict[str, ServerLine] = {}
        self._drained: dict[str, int] = {}  # servers told to drain or gone, by the version that said so last
        self._former_drains: dict[str, _FormerDrain] = {}
        self._doubts: dict[str, int] = {}  # servers of which an answer of this version left in doubt whether they drain
        self._lower_doubts: dict[str, int] = {}  # the same, by answers of lower versions
        self._live = False  # whether discovery itself told the list
        self._hand_on_whole = True  # the next whole list, whether or not it changes anything
        self._taken_at = -math.inf
        self._lower_since: float | None = None  # since when all answers are of lower versions
        self._lower_answers = 0
        self._lag_shown_at = -math.inf

    def __len__(self) -> int:
        return len(self._lines)

    def remember(self, version: int, lines: Iterable[ServerLine]) -> None:
        """Begin with a list from before. Discovery's first word counts, whatever its version."""
        self.version = version
        self._lines = {line.uid: line for line in lines}

    def expect_other_versions(self) -> None:
        """Discovery is another one, which need not count as the old one did."""
        self._live = False
        self._retire_drains(self._taken_at, 0)

    def hand_on_again(self) -> None:
        """What was handed on last was not taken over: the next whole list is handed on, whatever it changes."""
        self._hand_on_whole = True

    def withheld(self) -> int:
        """How many servers are listed as ready and get nothing new all the same."""
        return sum(self._is_withheld(line) for line in self._lines.values())

    def is_unsettled(self) -> bool:
        """Whether a whole list could tell what is in doubt."""
        return any(uid in self._lines for uid in (*self._doubts, *self._former_drains))

    def merge(self, answer: ListAnswer, asked: Asked, now: float) -> Merged:
        """Take what an answer says for sure."""
        worth = self._worth(answer, asked, now)
        match worth:
            case Worth.OVERTAKEN:
                return Merged(worth)
            case Worth.LOWER_VERSION:
                return self._merge_lower(answer, now)
            case Worth.ADOPTED:
                self._retire_drains(now, answer.version)
        return self._merge(answer, asked, worth, now)

    def _worth(self, answer: ListAnswer, asked: Asked, now: float) -> Worth:
        held = self.version
        if held is None or (answer.whole and not self._live):
            return Worth.TAKEN
        if answer.whole:
            if answer.version >= held:
                return Worth.TAKEN
            if asked.begun_at < self._taken_at:
                return Worth.OVERTAKEN
            return Worth.ADOPTED if self._is_counted_anew(now) else Worth.LOWER_VERSION
        if asked.since is not None and asked.since > held:
            return Worth.OVERTAKEN
        if answer.version < held:
            is_current = asked.since == held or (asked.since is None and asked.begun_at >= self._taken_at)
            return Worth.LOWER_VERSION if is_current else Worth.OVERTAKEN
        return Worth.TAKEN

    def _is_counted_anew(self, now: float) -> bool:
        if self._lower_since is None:
            return False
        return now - self._lower_since >= ADOPT_AFTER_S and self._lower_answers >= LEAST_TO_ADOPT

    # ------------------------------------------------------------------ answers of this version or a later one

    def _merge(self, answer: ListAnswer, asked: Asked, worth: Worth, now: float) -> Merged:
        merged = Merged(worth, whole=answer.whole)
        touched = self._touched(answer)
        before = self._handed_on(touched)
        self._note_current(answer.version, now)
        for line in self._once(answer, merged):
            self._take_line(line, answer, merged, now)
        self._take_unreadable(answer, merged)
        if answer.whole:
            self._take_absences(answer)
        self._forget_oldest_gone(now)
        # A whole list that is said to be changes leaves out what changed else: the version stays, to be asked for.
        if answer.whole or asked.since is not None or self.version is None:
            self.version = answer.version
        merged.ask_whole = any(reason is not NotTaken.NOT_LATER for reason in merged.not_taken)
        merged.lines = self._changed(before, touched, whole=answer.whole)
        return merged

    def _touched(self, answer: ListAnswer) -> set[str]:
        """The servers that an answer may change."""
        uids = {line.uid for line in answer.lines} | self._lower_doubts.keys()
        uids.update(line.uid for line in answer.unreadable if line.uid is not None)
        return uids | self._lines.keys() if answer.whole else uids

    def _note_current(self, version: int, now: float) -> None:
        """An answer of this version shows that those of lower ones came from a replica that lags."""
        lags = self._live and self._lower_since is not None and version >= (self.version or 0)
        if lags:
            self._lag_shown_at = now
        self._lower_since, self._lower_answers = None, 0
        self._lower_doubts.clear()
        self._live, self._taken_at = True, now

    def _once(self, answer: ListAnswer, merged: Merged) -> list[ServerLine]:
        """A line for each server. Of one whose lines differ only a drain is sure; the rest stays as it is held."""
        named: dict[str, list[ServerLine]] = {}
        for line in answer.lines:
            named.setdefault(line.uid, []).append(line)
        lines = []
        for uid, own in named.items():
            if all(line == own[0] for line in own):
                self._settle(uid, answer)
                lines.append(own[0])
            else:
                merged.not_taken[NotTaken.DUPLICATE] += 1
                lines.append(self._sure_part(own, answer))
        return lines

    def _settle(self, uid: str, answer: ListAnswer) -> None:
        if self._doubts.get(uid, math.inf) <= answer.version:
            del self._doubts[uid]

    def _sure_part(self, lines: list[ServerLine], answer: ListAnswer) -> ServerLine:
        """What is held of a server that is named by lines that differ; draining where the last line says so."""
        last = lines[-1]
        held = self._lines.get(last.uid)
        alike = all((line.lifecycle, line.boot_ms) == (last.lifecycle, last.boot_ms) for line in lines)
        if held is None or not alike:
            self._doubts[last.uid] = answer.version
        lifecycle = Lifecycle.DRAINING if last.lifecycle is Lifecycle.DRAINING else Lifecycle.READY
        return replace(held or last, lifecycle=lifecycle)

    def _take_line(self, line: ServerLine, answer: ListAnswer, merged: Merged, now: float) -> None:
        uid = line.uid
        if line.lifecycle is not Lifecycle.READY:
            self._note_drain(uid, answer.version)
            if line.lifecycle is Lifecycle.GONE:
                self._lines.pop(uid, None)
                self._doubts.pop(uid, None)
            else:
                self._lines[uid] = line
            return
        self._lines[uid] = line
        if answer.version > self._drained.get(uid, -1):
            self._drained.pop(uid, None)
        former = self._former_drains.get(uid)
        if former is not None and (answer.version > former.version or now >= former.holds_until):
            del self._former_drains[uid]
        if self._drains(uid):
            merged.not_taken[NotTaken.NOT_LATER] += 1

    def _take_unreadable(self, answer: ListAnswer, merged: Merged) -> None:
        """Lines that are not whole: what they say of a drain for sure; else a server that they name is in doubt."""
        for line in answer.unreadable:
            merged.not_taken[NotTaken.UNREADABLE] += 1
            if line.uid is None or line.lifecycle is Lifecycle.READY:
                continue
            if line.lifecycle is not None:
                self._note_drain(line.uid, answer.version)
            elif line.uid in self._lines:
                self._doubts[line.uid] = answer.version

    def _take_absences(self, answer: ListAnswer) -> None:
        """Servers that a whole list does not name are gone; where one of its lines names nobody, that is in doubt."""
        named: set[str | None] = {line.uid for line in answer.lines}
        named.update(line.uid for line in answer.unreadable)
        for uid in self._lines.keys() - named:
            if None in named:
                self._doubts[uid] = answer.version
            else:
                self._note_drain(uid, answer.version)
                del self._lines[uid]
                self._doubts.pop(uid, None)

    def _note_drain(self, uid: str, version: int) -> None:
        self._drained.pop(uid, None)  # so that the latest are last
        self._drained[uid] = version

    def _forget_oldest_gone(self, now: float) -> None:
        over = [uid for uid, drain in self._former_drains.items() if now >= drain.holds_until]
        for uid in over:
            if uid not in self._lines:
                del self._former_drains[uid]
        for drains in (self._drained, self._former_drains):
            if len(drains) > MOST_GONE + len(self._lines):
                gone = [uid for uid in drains if uid not in self._lines]
                for uid in gone[: len(gone) - MOST_GONE]:
                    del drains[uid]

    # ------------------------------------------------------------------ answers of lower versions

    def _merge_lower(self, answer: ListAnswer, now: float) -> Merged:
        """Nothing is taken but doubts: if discovery counts from anew, they are drains that hold already."""
        merged = Merged(Worth.LOWER_VERSION)
        merged.not_taken[NotTaken.LOWER_VERSION] += 1
        self._lower_since = now if self._lower_since is None else self._lower_since
        self._lower_answers += 1
        if now - self._lag_shown_at < LAG_MEMORY_S:
            return merged
        named = {line.uid for line in answer.lines if line.lifecycle is Lifecycle.READY}
        wanting = {line.uid for line in answer.lines if line.lifecycle is not Lifecycle.READY}
        absent = self._lines.keys() - named if answer.whole and not answer.unreadable else set[str]()
        doubted = (wanting | absent) & self._lines.keys()
        before = self._handed_on(doubted)
        for uid in doubted:
            self._lower_doubts[uid] = max(self._lower_doubts.get(uid, 0), answer.version)
        merged.ask_whole = not answer.whole
        merged.lines = self._changed(before, doubted, whole=False)
        return merged

    def _retire_drains(self, now: float, version: int) -> None:
        """Versions count from anew, and begin with this one: drains of before hold until a later version than theirs,
        or for some time. So do doubts, but for those of the new count that this version settles.
        """
        self._hand_on_whole = True
        doubts = {uid: doubted for uid, doubted in self._lower_doubts.items() if doubted > version}
        for drains in (self._drained, self._doubts, doubts):
            for uid, drained in drains.items():
                former = self._former_drains.get(uid)
                if former is None or former.version < drained:
                    self._former_drains[uid] = _FormerDrain(drained, now + FORMER_DRAIN_S)
        self._drained.clear()
        self._doubts.clear()
        self._lower_doubts.clear()

    # ------------------------------------------------------------------ what is handed on

    def _drains(self, uid: str) -> bool:
        return uid in self._drained or uid in self._former_drains

    def _is_withheld(self, line: ServerLine) -> bool:
        if line.lifecycle is not Lifecycle.READY:
            return False
        return self._drains(line.uid) or line.uid in self._doubts or line.uid in self._lower_doubts

    def _handed_on(self, uids: Iterable[str]) -> dict[str, ServerLine]:
        """The lines of these servers, where they are listed, as they are handed on."""
        lines = [line for uid in uids if (line := self._lines.get(uid)) is not None]
        return {
            line.uid: replace(line, lifecycle=Lifecycle.DRAINING) if self._is_withheld(line) else line for line in lines
        }

    def _changed(self, before: dict[str, ServerLine], touched: Iterable[str], *, whole: bool) -> list[ServerLine]:
        """What is handed on: the whole list, or the lines that differ; none where nothing does."""
        after = self._handed_on(touched)
        changed = [line for uid, line in after.items() if before.get(uid) != line]
        gone = [replace(line, lifecycle=Lifecycle.GONE) for uid, line in before.items() if uid not in after]
        if whole and (changed or gone or self._hand_on_whole):
            self._hand_on_whole = False
            return list(self._handed_on(self._lines).values())
        return changed + gone
