"""Merges an answer of discovery into the list that is held: what is taken, what is not, and why. Pure.

Answers may be overtaken by others, come from a replica that lags, name a server twice, have lines that can't be read,
or count versions from anew. The invariant, for every order of answers: a server that was told to drain, or is gone, is
not ready again until a newer word says so (`departures.py`). What an answer says for sure is taken, whatever else is
odd in it.

| answer                                     | what is done                                                           |
| ------------------------------------------ | ---------------------------------------------------------------------- |
| of this version or a later one             | taken                                                                  |
| to a call that another one has overtaken   | passed over (`OVERTAKEN`)                                              |
| of a lower version                         | not taken; what it says to drain, or does not name, is withheld until  |
|                                            | an answer of this version comes, which shows that a replica lags       |
| only such for `ADOPT_AFTER_S`              | the next whole one is taken: discovery counts from anew; departures    |
| the first whole one of another discovery,  | and what is in doubt stay                                              |
| or behind a list that is remembered        |                                                                        |
| names a server twice, differently          | it stays as it is held; withheld, if state or start differ, until an   |
|                                            | answer names it once                                                   |
| has a line that can't be read              | the rest is taken; a state that can be read, too; else it is withheld  |
| says that a departed server is ready again | taken only if it is newer than the departure                           |
| names nobody                               | all are gone; a count that begins below this one lets them in, as such |
|                                            | a list may be that of a discovery that lost its store                  |

A server that is withheld is handed on as draining. Times are seconds on one monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import replace

from cloverhold.decision.interface import Lifecycle
from cloverhold.net.discovery.departures import Departure, DepartureChanges, Departures, Readmission
from cloverhold.net.discovery.lower_versions import LowerVersions
from cloverhold.net.discovery.merge_results import Asked, Merged, NotTaken, Withheld, Withholding, Worth
from cloverhold.net.discovery.server_list import NO_VERSION, ListAnswer, ServerLine, UnreadableLine


class HeldList:
    """The list as this node holds it, with what it withholds."""

    def __init__(self) -> None:
        self.version: int | None = None  # None: no list is held
        self._lines: dict[str, ServerLine] = {}
        self._departures = Departures()
        self._doubts: dict[str, int] = {}  # servers of which an answer of this version left in doubt whether they drain
        self._lower = LowerVersions()
        self._withheld: set[str] = set()  # listed as ready, handed on as draining
        self._live = False  # whether discovery itself told the list
        self._hand_on_whole = True  # the next whole list, whether or not it changes anything
        self._taken_at = -math.inf

    def __len__(self) -> int:
        return len(self._lines)

    def remember(self, version: int, lines: Iterable[ServerLine], departures: DepartureChanges | None = None) -> None:
        """Begin with a list from before. Discovery's first word counts, whatever its version, but for departures.
        departures: those of who held the list; None: not known, and whoever is not listed may have left.
        """
        self.version = version
        self._lines = {line.uid: line for line in lines}
        if departures is not None:
            self._departures.apply(departures)
        else:
            self._departures.unnamed = Departure(version, math.inf)
        self._departures.hear_version(version)
        for line in self._lines.values():
            self._remember_line(line, version, departures)
        self._update_withheld(self._lines)

    def _remember_line(self, line: ServerLine, version: int, departures: DepartureChanges | None) -> None:
        if line.lifecycle is Lifecycle.READY:
            self._departures.readmit(line.uid, version, line.boot_ms, -math.inf)
        elif departures is None:
            told_by = math.inf if version == NO_VERSION else version
            self._departures.note(line.uid, Departure(told_by, line.boot_ms))
        elif not self._drains(line.uid):
            self._doubts[line.uid] = version

    def learn(self, departures: DepartureChanges) -> Merged:
        """Note what another process of this node was told; who is let in there need not be let in here."""
        departures = departures.without_readmissions()
        touched = departures.noted.keys() & self._lines.keys()
        before = self._handed_on(touched)
        self._departures.apply(departures)
        for uid in touched:
            line = self._lines[uid]
            if line.lifecycle is Lifecycle.READY and self.version is not None:
                self._departures.readmit(uid, self.version, line.boot_ms, -math.inf)
        self._departures.forget_oldest(self._lines)
        merged = Merged(Worth.TAKEN)
        self._finish(merged, before, touched)
        return merged

    def readmit_withheld(self) -> Merged:
        """An operator lets in all servers that are withheld."""
        merged, touched = Merged(Worth.TAKEN), set(self._withheld)
        before = self._handed_on(touched)
        for uid in touched:
            self._departures.remove(uid)
            self._doubts.pop(uid, None)
            self._lower.doubts.pop(uid, None)
            merged.readmitted[uid] = Readmission.OPERATOR
        self._finish(merged, before, touched)
        return merged

    def expect_other_versions(self) -> None:
        """Discovery is another one, which need not count as the old one did, and may have other servers."""
        self._live = False
        self._departures.unnamed = None
        self._begin_other_count(0)

    def hand_on_again(self) -> None:
        """What was handed on last was not taken over: the next whole list is handed on, whatever it changes."""
        self._hand_on_whole = True
        self._departures.tell_again()

    def handed_on(self) -> list[ServerLine]:
        """All lines, as they are handed on."""
        return list(self._handed_on(self._lines).values())

    def withheld(self) -> int:
        """How many servers are listed as ready and get nothing new all the same."""
        return len(self._withheld)

    def withholdings(self) -> list[Withholding]:
        """Who is withheld, and why."""
        return [self._withholding(uid) for uid in sorted(self._withheld)]

    def departed(self) -> int:
        """How many departures are remembered one by one."""
        return len(self._departures)

    def departures(self) -> DepartureChanges:
        """All departures, for who goes on from this list."""
        return self._departures.everything()

    def departure_changes(self) -> DepartureChanges:
        """What has changed of the departures since the last call."""
        return self._departures.take_changes()

    def is_unsettled(self) -> bool:
        """Whether a whole list could tell what is in doubt."""
        return any(uid in self._lines for uid in self._doubts)

    def merge(self, answer: ListAnswer, asked: Asked, now: float) -> Merged:
        """Take what an answer says for sure."""
        worth = self._worth(answer, asked, now)
        match worth:
            case Worth.OVERTAKEN:
                return Merged(worth)
            case Worth.LOWER_VERSION:
                return self._merge_lower(answer, now)
            case Worth.ADOPTED:
                if self._lower.lowest is not None:
                    self._departures.hear_version(self._lower.lowest)
                self._begin_other_count(answer.version)
        return self._merge(answer, asked, worth, now)

    def _worth(self, answer: ListAnswer, asked: Asked, now: float) -> Worth:
        held = self.version
        if held is None:
            return Worth.TAKEN
        if answer.whole and not self._live:
            return Worth.TAKEN if answer.version >= held else Worth.ADOPTED
        if answer.whole:
            if answer.version >= held:
                return Worth.TAKEN
            if asked.begun_at < self._taken_at:
                return Worth.OVERTAKEN
            return Worth.ADOPTED if self._lower.is_counted_anew(now) else Worth.LOWER_VERSION
        if asked.since is not None and asked.since > held:
            return Worth.OVERTAKEN
        if answer.version < held:
            is_current = asked.since == held or (asked.since is None and asked.begun_at >= self._taken_at)
            return Worth.LOWER_VERSION if is_current else Worth.OVERTAKEN
        return Worth.TAKEN

    # ------------------------------------------------------------------ answers of this version or a later one

    def _merge(self, answer: ListAnswer, asked: Asked, worth: Worth, now: float) -> Merged:
        merged = Merged(worth, whole=answer.whole)
        is_compared = answer.whole and self._live and answer.version == self.version
        touched = self._touched(answer)
        before = self._handed_on(touched)
        self._note_current(answer.version, now)
        for line in self._once(answer, merged):
            self._take_line(line, answer, merged)
        self._take_unreadable(answer, merged)
        if answer.whole:
            self._take_absences(answer)
        self._departures.forget_oldest(self._lines)
        # A whole list that is said to be changes leaves out what changed else: the version stays, to be asked for.
        if answer.whole or asked.since is not None or self.version is None:
            self.version = answer.version
        merged.ask_whole = any(reason is not NotTaken.NOT_LATER for reason in merged.not_taken)
        after = self._finish(merged, before, touched)
        if is_compared:
            merged.left_out = self._differing(before, after)
        return merged

    def _differing(self, before: dict[str, ServerLine], after: dict[str, ServerLine]) -> list[str]:
        """Servers that came, went, or changed their state."""
        states = [{uid: line.lifecycle for uid, line in lines.items()} for lines in (before, after)]
        return sorted(uid for uid in before.keys() | after.keys() if states[0].get(uid) is not states[1].get(uid))

    def _touched(self, answer: ListAnswer) -> set[str]:
        """The servers that an answer may change."""
        uids = {line.uid for line in answer.lines} | self._lower.doubts.keys()
        uids.update(line.uid for line in answer.unreadable if line.uid is not None)
        return uids | self._lines.keys() if answer.whole else uids

    def _note_current(self, version: int, now: float) -> None:
        """An answer of this version shows that those of lower ones came from a replica that lags."""
        self._departures.hear_version(version)
        lowest = self._lower.lowest
        if self._live and lowest is not None and version >= (self.version or 0):
            self._lower.show_lag(now)
            self._departures.hear_version(lowest, of_replica=True)
        self._lower.end()
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

    def _take_line(self, line: ServerLine, answer: ListAnswer, merged: Merged) -> None:
        uid = line.uid
        if line.lifecycle is not Lifecycle.READY:
            self._note_departure(uid, answer, line)
            if line.lifecycle is Lifecycle.GONE:
                self._lines.pop(uid, None)
                self._doubts.pop(uid, None)
            else:
                self._lines[uid] = line
            return
        if uid not in self._lines:
            self._departures.cover(uid, answer.version, line.boot_ms)
        self._lines[uid] = line
        held_until = self.version if self.version is not None and merged.worth is Worth.TAKEN else -math.inf
        readmission = self._departures.readmit(uid, answer.version, line.boot_ms, held_until)
        if readmission is not None:
            merged.readmitted[uid] = readmission
        elif self._drains(uid):
            merged.not_taken[NotTaken.NOT_LATER] += 1
            if self.version is not None and self.version < answer.version:
                self._departures.reach(uid, answer.version)

    def _take_unreadable(self, answer: ListAnswer, merged: Merged) -> None:
        """Lines that are not whole: what they say of a drain for sure; else a server that they name is in doubt."""
        for line in answer.unreadable:
            merged.not_taken[NotTaken.UNREADABLE] += 1
            if line.uid is None or line.lifecycle is Lifecycle.READY:
                continue
            if line.lifecycle is not None:
                self._note_departure(line.uid, answer)
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
                self._note_departure(uid, answer)
                del self._lines[uid]
                self._doubts.pop(uid, None)
        if None not in named and not self._follows(answer.version):
            self._departures.lose_starts(self._lines)

    def _note_departure(self, uid: str, answer: ListAnswer, line: ServerLine | None = None) -> None:
        """line: what the answer says of the server, where it does."""
        held = self._lines.get(uid)
        start_ms = max(held.boot_ms if held is not None else 0.0, line.boot_ms if line is not None else 0.0)
        is_start_told = line is not None and (line.lifecycle is Lifecycle.DRAINING or line.boot_ms > 0)
        if not is_start_told and not self._follows(answer.version):
            start_ms = math.inf  # it may have started anew in a version between
        begins = self._departures.count_begins if answer.names_nobody() else None
        self._departures.note(uid, Departure(answer.version, start_ms, -math.inf if begins is None else begins))

    def _follows(self, version: int) -> bool:
        """Whether no version lies between the one that is held and this one."""
        return self.version is not None and self.version <= version <= self.version + 1

    # ------------------------------------------------------------------ answers of lower versions

    def _merge_lower(self, answer: ListAnswer, now: float) -> Merged:
        """Nothing is taken but doubts: if discovery counts from anew, they are drains that hold already."""
        merged = Merged(Worth.LOWER_VERSION)
        merged.not_taken[NotTaken.LOWER_VERSION] += 1
        self._lower.hear(answer.version, now)
        if self._lower.is_known_to_lag(now):
            return merged
        said: tuple[ServerLine | UnreadableLine, ...] = (*answer.lines, *answer.unreadable)
        ready = {line.uid for line in said if line.lifecycle is Lifecycle.READY}
        wanting = {line.uid for line in said if line.lifecycle is not Lifecycle.READY}
        absent = self._lines.keys() - ready if answer.whole else set[str]()
        doubted = {uid for uid in self._lines if uid in wanting or uid in absent}
        before = self._handed_on(doubted)
        for uid in doubted:
            self._lower.doubt(uid, answer.version)
        merged.ask_whole = not answer.whole
        self._finish(merged, before, doubted)
        return merged

    def _begin_other_count(self, version: int) -> None:
        """Versions count from anew, and begin with this one. Departures stay; what is in doubt becomes one, but for
        doubts of the new count that this version settles.
        """
        self._hand_on_whole = True
        if self.version is not None:
            self._departures.hold_until(self.version)
        lower_doubts = {uid: doubted for uid, doubted in self._lower.doubts.items() if doubted >= version}
        for doubts in (self._doubts, lower_doubts):
            for uid, doubted in doubts.items():
                self._departures.note(uid, Departure(doubted, math.inf))
        self._doubts.clear()
        self._lower.doubts.clear()

    # ------------------------------------------------------------------ what is handed on

    def _drains(self, uid: str) -> bool:
        return uid in self._departures

    def _is_withheld(self, line: ServerLine) -> bool:
        if line.lifecycle is not Lifecycle.READY:
            return False
        return self._drains(line.uid) or line.uid in self._doubts or line.uid in self._lower.doubts

    def _withholding(self, uid: str) -> Withholding:
        departure = self._departures.get(uid)
        if departure is not None:
            return Withholding(uid, Withheld.DEPARTED, departure.version)
        if uid in self._doubts:
            return Withholding(uid, Withheld.DOUBT, self._doubts[uid])
        return Withholding(uid, Withheld.LOWER_VERSION, self._lower.doubts.get(uid, 0))

    def _update_withheld(self, touched: Collection[str]) -> None:
        lines = (line for uid in touched if (line := self._lines.get(uid)) is not None)
        now = {line.uid for line in lines if self._is_withheld(line)}
        self._withheld.difference_update(touched)
        self._withheld |= now

    def _finish(self, merged: Merged, before: dict[str, ServerLine], touched: Collection[str]) -> dict[str, ServerLine]:
        """What a step changes for others: lines to hand on, and who is withheld from now on, or no more. The lines that
        it touched, as they are handed on now.
        """
        withheld_before = self._withheld.intersection(touched)
        self._update_withheld(touched)
        newly_withheld = self._withheld.intersection(touched) - withheld_before
        merged.withheld = [self._withholding(uid) for uid in sorted(newly_withheld)]
        let_in = [uid for uid in withheld_before - self._withheld if self._is_ready(uid)]
        merged.readmitted = {uid: merged.readmitted.get(uid, Readmission.SETTLED) for uid in let_in}
        after = self._handed_on(touched)
        self._note_changed(merged, before, after)
        return after

    def _is_ready(self, uid: str) -> bool:
        line = self._lines.get(uid)
        return line is not None and line.lifecycle is Lifecycle.READY

    def _handed_on(self, uids: Iterable[str]) -> dict[str, ServerLine]:
        """The lines of these servers, where they are listed, as they are handed on."""
        lines = [line for uid in uids if (line := self._lines.get(uid)) is not None]
        withheld = self._withheld
        return {
            line.uid: replace(line, lifecycle=Lifecycle.DRAINING) if line.uid in withheld else line for line in lines
        }

    def _note_changed(self, merged: Merged, before: dict[str, ServerLine], after: dict[str, ServerLine]) -> None:
        """What is handed on: the whole list, or the lines that differ; nothing where none does."""
        changed = [line for uid, line in after.items() if before.get(uid) != line]
        gone = [replace(line, lifecycle=Lifecycle.GONE) for uid, line in before.items() if uid not in after]
        merged.lines = changed + gone
        merged.is_news = bool(merged.lines)
        if merged.whole and (merged.is_news or self._hand_on_whole):
            self._hand_on_whole = False
            merged.lines, merged.is_news = self.handed_on(), True
