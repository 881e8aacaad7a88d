"""One member: what it hears, what it says, whom it takes for alive. Pure: time is told, chance is seeded.

Two rules hold the rest up. First: each turn looks at the clock before anything else; a turn that comes too late makes a
RETURNING node, which accuses nobody and shows no view. Second: life is a round trip of one's own, death is a count of
votes; what others only say is a reason to look.

The view is a hint for routing, never a permission: two nodes may differ, for seconds, or as long as they cannot reach
each other. docs/design/membership.md has the theory of operation.
"""

from __future__ import annotations

from dataclasses import replace

from cloverhold.fleet.membership.book import Reading
from cloverhold.fleet.membership.interface import Action, Phase, Standing, Turn
from cloverhold.fleet.membership.links import Links
from cloverhold.fleet.membership.words import TICK_MS, Words
from cloverhold.fleet.wire.datagrams import Claim, Datagram, Kind, State, Vote

PUSH_MS, PUSHED_TO = 40.0, 3  # rumours go to so many at once, no sooner than so long after the last time
SYNC_MS, HEAL_MS, FORGET_MS = 1000.0, 2000.0, 1000.0  # between two of each
MOST_CHECKS, CHECKED = 32, 0.67  # numbers looked into at once, and for what part of a window
REST_MS = 250.0  # between two turns at most, where nothing is under way
CUT_LEAST = 3  # a node that reaches none of so many others is cut off; of fewer, they may well be dead

__all__ = ["TICK_MS", "Member"]


class Member(Words):
    """One member: told time and datagrams, it says what is to be done; asked, it shows whom it takes for alive."""

    # ------------------------------------------------------------------------------------------------ being told

    def turn(self, now: float) -> list[Action]:
        """Time has passed; call when `rest` says, or sooner. What is to be done."""
        self._begin(now)
        if self.phase in (Phase.JOINING, Phase.RETURNING):
            self._join(now)
        elif self.phase is Phase.REPLACED:
            if self.joining.ask_again(now):
                self._ask(self.joining.one(), now)
        elif self.phase is not Phase.GONE:
            self._watch(now)
            self._check(now)
            self._count(now)
            self._refute(now)
            self._spread(now)
        return self._done(now)

    def hear(self, datagram: Datagram, now: float) -> list[Action]:
        """A datagram came from the address of its sender's number. What is to be done."""
        self._begin(now)
        if self.phase is not Phase.GONE and datagram.sender != self.me and datagram.sender < self.peers:
            self.reads[datagram.sender] = min(datagram.reads, self.newest)
            self._hear(datagram, now)
            if datagram.kind is Kind.PING:
                self.links.pull(now)
        return self._done(now)

    def leave(self, now: float) -> list[Action]:
        """The process was told to stop: say so to those that watch it, and to some more."""
        self._begin(now)
        if self.phase in (Phase.MEMBER, Phase.CUT):
            left = replace(self.claim, state=State.LEFT)
            near = self.book.rings.watchers(self.me) | self.book.rings.subjects(self.me)
            near |= set(self.book.some(self.chance, PUSHED_TO, self.me))
            for number in sorted(near):
                self._send(number, Kind.PUSH, (left,))
        self._turn_to(Turn.LEAVE, now, "told to stop")
        return self._done(now)

    def resize(self, peers: int) -> None:
        """The configuration names so many numbers from now on."""
        self.peers = self.joining.peers = peers

    # ---------------------------------------------------------------------------------------------- being asked

    def view(self, now: float) -> tuple[int, ...] | None:
        """The numbers of the living, this one among them: a hint. None where this node has no view to act on: while it
        joins, after it slept, cut off, replaced, called dead, or alone among many.
        """
        if self.phase is not Phase.MEMBER or now - self.since < self.rules.settle_ms:
            return None
        if self.own.called_dead(len(self.book.living)):
            return None
        if self.late.turned is not None and now - self.late.turned >= self.rules.asleep_ms:
            return None  # it has slept, and no turn has noticed yet
        if len(self.book.living) == 1 and self.peers > CUT_LEAST:
            return None
        return self.book.view()

    def standings(self, now: float) -> list[Standing]:
        """All that is held, by number, as operators see it."""
        found = []
        for number, entry in sorted(self.book.entries.items()):
            state = entry.claim.state.name.lower()
            if self.ballots.accused(number) and state == "alive":
                state = "suspected"
            link = self.links.held.get(number)
            found.append(Standing(
                number, state, entry.claim.incarnation, now - entry.since, entry.why, entry.claim.program,
                link.rtt if link is not None else None, link.lost if link is not None else None,
            ))  # fmt: skip
        return found

    def _rest(self, now: float) -> float:
        """Until the next ping, where all is calm; each turn wakes a core that may do better things."""
        calm = self.phase is Phase.MEMBER and now - self.since >= self.rules.settle_ms and not (
            self.ballots.held or self.checked or self.own.refute_at is not None or self.rumours.fresh()
        )  # fmt: skip
        rest = self.links.rest(now, REST_MS) if calm else None
        return TICK_MS if rest is None else rest

    # -------------------------------------------------------------------------------------------- looking into it

    def _look_into(self, claim: Claim, now: float) -> None:
        """Ask a number itself. An unknown one that answers is alive; a living one that does not is dead."""
        if claim.number not in self.checked and len(self.checked) < MOST_CHECKS:
            self.checked[claim.number] = claim
            self.checks.watch(self.checked, now)

    def _check(self, now: float) -> None:
        if self.checks.held.keys() != self.checked.keys():
            self.checks.watch(self.checked, now)
        for number, link in list(self.checks.due(now)):
            if now - link.since > self.late.stretch(self.rules.silence_ms) * CHECKED:
                claim = self.checked.pop(number)
                if claim.state is State.DEAD and self.book.read(claim) is Reading.DENIED:
                    self._news(claim, now, "called dead by others, and silent to this node")
                elif self.book.alive(number) == claim and self.phase is Phase.MEMBER:
                    self._vote(number, now, up=False)
            else:
                self._ping(number, now, self.checks)

    def _found_alive(self, d: Datagram, now: float) -> None:
        """One that was looked into has answered: the header says in which life."""
        claim = self.checked.pop(d.sender, None)
        said = Claim(State.ALIVE, d.sender, d.incarnation, d.life, d.over, claim.program if claim is not None else 0)
        if claim is not None and self.book.read(claim) is Reading.DENIED and said.key() == claim.key():
            self._send(d.sender, Kind.PUSH, (claim,))
        elif self.book.read(said) is Reading.NEWS:
            self._news(said, now, "answers")

    def _answered(self, d: Datagram, now: float) -> None:
        """A round trip, if the nonce is of a ping of this node."""
        watched = self.links.answer(d.sender, d.nonce, now)
        if self.checks.answer(d.sender, d.nonce, now):
            self._found_alive(d, now)
        elif not watched:
            return
        self.links.last = now
        if self.phase is Phase.CUT:
            self._turn_to(Turn.HEARD, now, f"{d.sender} answers again")
        elif watched and self.ballots.accused(d.sender) and self.voted.get(d.sender, (True, 0.0))[0] is False:
            self._vote(d.sender, now, up=True)

    # -------------------------------------------------------------------------------------------------- watching

    def _ping(self, number: int, now: float, links: Links) -> None:
        links.asked(links.held[number], nonce := self._fresh(), now)
        self._send(number, Kind.PING, self._load(number, now), nonce)

    def _watch(self, now: float) -> None:
        self.doubts = self.phase is Phase.MEMBER and self.links.doubt(now)
        if self.seen != self.book.changes:
            self.seen = self.book.changes
            subjects = self.book.rings.subjects(self.me) if self.me in self.book.living else set()
            self.links.watch(subjects, now)
            self.voted = {number: said for number, said in self.voted.items() if number in self.book.living}
        for number, _ in list(self.links.due(now)):
            self._ping(number, now, self.links)
        if self.phase is not Phase.MEMBER:
            return
        window = self.late.stretch(self.rules.silence_ms)
        unheard = now - (self.links.last if self.links.last is not None else now)
        if len(self.book.living) > CUT_LEAST and unheard > window:
            self._turn_to(Turn.UNHEARD, now, "no answer from anybody")
        if self.phase is not Phase.MEMBER or (unheard > window / 2 and len(self.book.living) > CUT_LEAST):
            return
        for number, link in self.links.held.items():
            accused = self.ballots.accused(number)
            silent = link.silent(now)
            if silent > window or (accused and silent > 0.75 * window):
                self._vote_again(number, now, up=False)
            elif accused and link.answered and silent <= window / 2:
                self._vote_again(number, now, up=True)

    def _vote_again(self, number: int, now: float, *, up: bool) -> None:
        """Say what is seen, if that is other than before or was said half a window ago."""
        said = self.voted.get(number)
        if said is None or said[0] is not up or now - said[1] >= self.rules.silence_ms / 2:
            self._vote(number, now, up=up)

    def _vote(self, number: int, now: float, *, up: bool) -> None:
        claim = self.book.alive(number)
        if claim is None:
            return
        self.votes += 1
        self.voted[number] = (up, now)
        vote = Vote(
            up, self.doubts, self.me, number, claim.incarnation, claim.life, self.votes & 0xFFFF
        )  # fmt: skip
        if self.ballots.hear(vote, now):
            self.rumours.add(vote, now)

    def _hear_vote(self, vote: Vote, now: float) -> None:
        """A vote counts where its watcher lives and its subject is held alive in that life."""
        claim = self.book.alive(vote.subject)
        if vote.watcher == self.me or vote.subject == self.me or claim is None or vote.watcher not in self.book.living:
            return
        if claim.key() != (vote.incarnation, vote.life):
            return
        if self.ballots.hear(vote, now):
            self.rumours.add(vote, now)
            if vote.weak and not vote.up and vote.subject not in self.links.held and not self.doubts:
                self._look_into(replace(claim, state=State.DEAD, over=0), now)

    def _count(self, now: float) -> None:
        if self.phase is not Phase.MEMBER:
            return
        # Most of what it watches is gone, and so may the watchers of others be: look around, as far as there is room.
        if self.doubts and len(self.checked) < MOST_CHECKS:
            for number in self.book.living - self.links.held.keys() - {self.me}:
                if number not in self.voted:
                    self._look_into(self.book.entries[number].claim, now)
        for number in list(self.ballots.held):
            self.ballots.tidy(number, now)
            if number not in self.ballots.held:
                continue
            count = self.ballots.count(number, self.book.living, self.me, weak=self.doubts)
            if self.ballots.dead(number, count, len(self.book.rings.watchers(number)), now):
                claim = self.book.alive(number)
                del self.ballots.held[number]
                if claim is not None:
                    why = f"no answer to {count.down} of {count.down + count.up} watchers"
                    self._news(replace(claim, state=State.DEAD, over=0), now, why)
            elif self.ballots.lone(number, count, now) and number not in self.links.held and number not in self.voted:
                self._look_into(self.book.entries[number].claim, now)

    # --------------------------------------------------------------------------------------------- passing on

    def _spread(self, now: float) -> None:
        others = self.book.others(self.me)
        if others and now - self.pushed >= PUSH_MS and self.rumours.fresh():
            self.pushed = now
            for number in self.book.some(self.chance, PUSHED_TO, self.me):
                self._send(number, Kind.PUSH, self._load(number, now))
        if others and now - self.synced >= SYNC_MS:
            self.synced = now
            (number,) = self.book.some(self.chance, 1, self.me)
            self._send(number, Kind.PING, (self.book.digest(),), 0)
        if now - self.healed >= (HEAL_MS if others else HEAL_MS / 8):
            self.healed = now
            self._heal(now)
        if now - self.tidied >= FORGET_MS:
            self.tidied = now
            self.book.forget(now, self.rules.forget_ms)

    def _heal(self, now: float) -> None:
        """Look whether a number that is not alive here is: halves that lost each other find each other so."""
        number = self.book.away(self.chance, self.me, self.peers)
        if number is None:
            return
        held = self.book.entries.get(number)
        self._look_into(Claim(State.ALIVE, number, 0, 0) if held is None else held.claim, now)
        if held is not None:
            self._send(number, Kind.PUSH, (held.claim,))
