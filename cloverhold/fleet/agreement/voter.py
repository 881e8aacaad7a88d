"""One voter: Raft's roles with pre-vote and check-quorum. Pure: time is told, chance is seeded.

Source: Ongaro, Consensus: Bridging Theory and Practice (2014), 3.4 to 4.2.1, 6.2, 6.4, 9.6; one change of voters at a
time, and none before an entry of the leader's own term is decided (his mend of 2015). docs/design/agreement.md has the
table of roles.

Two rules hold the rest up. First: every entry looks at the clock before anything else; who slept leads nothing.
Second: `Persist` stands before whatever rests on it.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from cloverhold.fleet.agreement.interface import (
    Action, Append, Appended, AskVote, Became, Confirmed, Decided, Deliver, Disk, Entry, Index, Install, Message,
    Persist, Restored, Role, Stored, Timing, VoteSaid,
)  # fmt: skip
from cloverhold.fleet.agreement.log import Log

ENTRIES_MOST = 256  # in one word


class Voter:
    """A voter, or one that is brought up to be: it follows, and campaigns only where its own log has it vote."""

    def __init__(
        self, me: Disk, log: Log, term: int, vote: Disk | None, timing: Timing, chance: Random, now: float
    ) -> None:
        """log, term, vote: as they were made durable last."""
        self.me, self.log, self.term, self.vote = me, log, term, vote
        self.timing, self.chance = timing, chance
        self.role = Role.FOLLOWER
        self.leader: Disk | None = None
        self.decided: Index = log.stored.index
        self.called = now  # last
        self.heard: float | None = None  # a leader's word
        self.granted: set[Disk] = set()
        self.out: list[Action] = []
        self._be_patient(now)
        # Of a leader, by voter or one that is brought up:
        self.next: dict[Disk, Index] = {}
        self.match: dict[Disk, Index] = {}
        self.answered: dict[Disk, tuple[int, float]] = {}  # the last round, and when
        self.raised: set[Disk] = set()  # those that are brought up
        self.round = self.confirmed = 0
        self.speaks = now  # when its next word is due
        self.first: Index = 0  # its own term's first entry

    # ------------------------------------------------------------------------------------------------- being told

    def turn(self, now: float) -> list[Action]:
        """Time has passed; call every 25 ms."""
        self._begin(now)
        if self.role is Role.LEADER:
            if not self._majority(self._answering(now)):
                self._follow(now, "no majority answers")
            elif now >= self.speaks:
                self._speak(now)
        elif now >= self.patience and self._may_campaign():
            self._campaign(now, pre=True, why="silence")
        return self._done()

    def hear(self, sender: Disk, message: Message, now: float) -> list[Action]:
        """A voter said this. It may be late, a repetition, or of an earlier life."""
        self._begin(now)
        if sender != self.me:
            match message:
                case AskVote():
                    self._asked(sender, message, now)
                case VoteSaid():
                    self._vote_said(sender, message, now)
                case Append() | Install():
                    self._led(sender, message, now)
                case Appended():
                    self._appended(sender, message, now)
        return self._done()

    def propose(self, commands: Iterable[bytes], now: float) -> list[Action]:
        """Put commands into the log, if this voter leads; nothing otherwise. Whether they are decided is told later."""
        self._begin(now)
        entries = tuple(Entry(self.term, command) for command in commands)
        if self.role is Role.LEADER and entries:
            self._add(entries, now)
        return self._done()

    def change(self, voters: tuple[Disk, ...], command: bytes, now: float) -> list[Action]:
        """Let others vote from now on: one more or one fewer. Nothing where `may_change` says no."""
        self._begin(now)
        if self.may_change(voters):
            self._add((Entry(self.term, command, voters),), now)
        return self._done()

    def raise_up(self, disks: Iterable[Disk], now: float) -> list[Action]:
        """Send these the log too, so that they may vote later; they count for nothing so far."""
        self._begin(now)
        self.raised = set(disks)
        return self._done()

    def cut(self, stored: Stored, now: float) -> list[Action]:
        """Let a snapshot of what is decided take the place of the entries up to there."""
        self._begin(now)
        if self.log.stored.index < stored.index <= self.decided:
            self.log.cut(stored)
            self.out.append(Persist(self.term, self.vote, stored=stored))
        return self._done()

    # ------------------------------------------------------------------------------------------------- being asked

    def may_change(self, voters: tuple[Disk, ...]) -> bool:
        """Whether these may be the voters next. Two majorities without a common voter would be two fleets."""
        now = set(self.log.voters())
        return (
            self.role is Role.LEADER
            and self.decided >= self.first
            and not self.log.changes_after(self.decided)
            and len(now ^ set(voters)) == 1
            and len(set(voters)) == len(voters) > 0
            and all(self.match.get(disk, 0) >= self.first for disk in set(voters) - now)
        )

    # --------------------------------------------------------------------------------------------------- the role

    def _begin(self, now: float) -> None:
        """Before anything else: has this process been stopped?"""
        self.out = []
        if now - self.called >= self.timing.asleep_ms:
            if self.role is not Role.FOLLOWER:
                self._follow(now, "was not called in time")
            self._be_patient(now)
        self.called = max(now, self.called)

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    def _be_patient(self, now: float) -> None:
        self.patience = now + self.timing.silence_ms * (1 + self.chance.random() / 2)

    def _follow(self, now: float, why: str, term: int | None = None, leader: Disk | None = None) -> None:
        """Be a follower, of a later term where one is given."""
        if term is not None and term > self.term:
            self.term, self.vote = term, None
            self.out.append(Persist(self.term, None))
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._be_patient(now)
            self.out.append(Became(Role.FOLLOWER, self.term, why))
        self.leader = leader

    def _campaign(self, now: float, *, pre: bool, why: str) -> None:
        """Ask whether others would vote for this one, and then whether they do."""
        self.role, self.leader, self.granted = Role.PRE_CANDIDATE if pre else Role.CANDIDATE, None, {self.me}
        self._be_patient(now)
        if not pre:
            self.term, self.vote = self.term + 1, self.me
            self.out.append(Persist(self.term, self.vote))
        self.out.append(Became(self.role, self.term, why))
        question = AskVote(self.term + pre, pre, self.log.last, self.log.last_term)
        self.out += [Deliver(disk, question) for disk in self.log.voters() if disk != self.me]
        self._count(now)

    def _count(self, now: float) -> None:
        if not self._majority(self.granted):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre=False, why="a majority would vote for it")
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _lead(self, now: float) -> None:
        self.role, self.leader = Role.LEADER, self.me
        self.next, self.match, self.raised = {}, {}, set()
        self.answered = {disk: (0, now) for disk in self.log.voters()}
        self.round = self.confirmed = 0
        self.first = self.log.last + 1
        self.out.append(Became(Role.LEADER, self.term, "a majority voted for it"))
        self._add((Entry(self.term),), now)

    def _majority(self, disks: Iterable[Disk]) -> bool:
        voters = self.log.voters()
        return 2 * len(set(voters).intersection(disks)) > len(voters)

    def _may_campaign(self) -> bool:
        """Also where the last change, not known to be decided, takes its vote: nobody else may hold that change (of two
        voters one takes itself out, and the other one has not heard of it: neither could lead).
        """
        return self.me in self.log.voters() or self.me in self.log.voters(self.decided)

    def _reached(self, marks: dict[Disk, int]) -> int:
        """The highest mark that a majority has reached; 0 where none."""
        for mark in sorted(set(marks.values()), reverse=True):
            if self._majority(disk for disk, own in marks.items() if own >= mark):
                return mark
        return 0

    # ----------------------------------------------------------------------------------------------------- votes

    def _asked(self, sender: Disk, m: AskVote, now: float) -> None:
        sticky = self.role is Role.LEADER or (self.heard is not None and now - self.heard < self.timing.silence_ms)
        whole = (m.last_term, m.last) >= (self.log.last_term, self.log.last)
        if m.term < self.term or sticky:
            self.out.append(Deliver(sender, VoteSaid(self.term, m.pre, False)))
        elif m.pre:
            granted = whole and m.term > self.term
            self.out.append(Deliver(sender, VoteSaid(m.term if granted else self.term, True, granted)))
        else:
            if m.term > self.term:
                self._follow(now, "a later term", m.term)
            granted = whole and self.vote in (None, sender)
            if granted and self.vote is None:
                self.vote = sender
                self.out.append(Persist(self.term, sender))
            if granted:
                self._be_patient(now)
            self.out.append(Deliver(sender, VoteSaid(self.term, False, granted)))

    def _vote_said(self, sender: Disk, m: VoteSaid, now: float) -> None:
        if m.granted:
            asked = Role.PRE_CANDIDATE if m.pre else Role.CANDIDATE
            if self.role is asked and m.term == self.term + m.pre:
                self.granted.add(sender)
                self._count(now)
        elif m.term > self.term:
            self._follow(now, "a later term", m.term)

    # ------------------------------------------------------------------------------------------------- following

    def _led(self, sender: Disk, m: Append | Install, now: float) -> None:
        if m.term < self.term or (m.term == self.term and self.role is Role.LEADER):
            self.out.append(Deliver(sender, Appended(self.term, m.round, False, 0)))
            return
        self._follow(now, "another leads", m.term, sender)
        self.heard = now
        self._be_patient(now)
        if isinstance(m, Install):
            self._install(m.stored)
            self.out.append(Deliver(sender, Appended(self.term, m.round, True, m.stored.index)))
            return
        before, entries = m.before, m.entries
        if before < self.log.stored.index:  # what the snapshot holds was decided, and is the same
            entries = entries[self.log.stored.index - before :]
            before = self.log.stored.index
        elif self.log.term(before) != m.before_term:
            self.out.append(Deliver(sender, Appended(self.term, m.round, False, self._agreed_most(before))))
            return
        known = self.log.differs(before, entries)
        if new := entries[known:]:
            self.log.take(before + known, new)
            self.out.append(Persist(self.term, self.vote, before + known, new))
        upto = before + len(entries)
        self._decide(min(m.decided, upto))
        self.out.append(Deliver(sender, Appended(self.term, m.round, True, upto)))

    def _agreed_most(self, before: Index) -> Index:
        """How far the log may be the leader's, where it is not at this entry: no part of that entry's term is."""
        term = self.log.term(before)
        if term is None:
            return self.log.last
        while before > self.decided and self.log.term(before) == term:
            before -= 1
        return before

    def _install(self, stored: Stored) -> None:
        if stored.index > self.decided:
            self.log.cut(stored)
            self.decided = stored.index
            self.out += [Persist(self.term, self.vote, stored=stored), Restored(stored)]

    def _decide(self, upto: Index) -> None:
        while self.decided < upto:
            self.decided += 1
            self.out.append(Decided(self.decided, self.log.at(self.decided)))

    # --------------------------------------------------------------------------------------------------- leading

    def _add(self, entries: tuple[Entry, ...], now: float) -> None:
        after = self.log.last
        self.log.take(after, entries)
        self.out.append(Persist(self.term, self.vote, after, entries))
        self._advance()
        self._speak(now)

    def _answering(self, now: float) -> set[Disk]:
        """Those that answered within a silence, this voter among them."""
        since = now - self.timing.silence_ms
        return {self.me} | {disk for disk, (_, at) in self.answered.items() if at > since}

    def _speak(self, now: float) -> None:
        """A round: a word to each."""
        self.round += 1
        self.speaks = now + self.timing.word_ms
        for disk in sorted({*self.log.voters(), *self.raised} - {self.me}):  # in one order in every run
            self._word(disk)
        self._confirm()

    def _word(self, disk: Disk) -> None:
        before = self.next.setdefault(disk, self.log.last + 1) - 1
        term = self.log.term(before)
        if term is None:
            self.out.append(Deliver(disk, Install(self.term, self.round, self.log.stored)))
            return
        entries = self.log.after(before, ENTRIES_MOST)
        self.out.append(Deliver(disk, Append(self.term, self.round, before, term, self.decided, entries)))

    def _appended(self, sender: Disk, m: Appended, now: float) -> None:
        if m.term > self.term:
            self._follow(now, "a later term", m.term)
        if self.role is not Role.LEADER or m.term != self.term or sender not in self.next:
            return
        last, _ = self.answered.get(sender, (0, now))
        self.answered[sender] = max(last, m.round), now
        if m.ok:
            self.match[sender] = max(self.match.get(sender, 0), m.upto)
            behind = self.next[sender] <= m.upto < self.log.last
            self.next[sender] = max(self.next[sender], self.match[sender] + 1)
            self._advance()
        else:
            back = max(self.match.get(sender, 0) + 1, min(self.next[sender] - 1, m.upto + 1))
            behind = back < self.next[sender]  # else its disk was set back behind what it answered for: no use in haste
            self.next[sender] = back
        if behind and self.role is Role.LEADER:
            self._word(sender)
        self._confirm()

    def _advance(self) -> None:
        """Take for decided what a majority holds, up to an entry of this term."""
        upto = min(self._reached(self.match | {self.me: self.log.last}), self.log.last)
        if upto >= self.first:
            self._decide(upto)
        if self.decided >= self.first and self.me not in self.log.voters() and not self.log.changes_after(self.decided):
            self._follow(self.called, "it votes no more")

    def _confirm(self) -> None:
        """The last round that a majority has answered."""
        answered = {disk: last for disk, (last, _) in self.answered.items()} | {self.me: self.round}
        if self.role is Role.LEADER and (reached := self._reached(answered)) > self.confirmed:
            self.confirmed = reached
            self.out.append(Confirmed(reached))
