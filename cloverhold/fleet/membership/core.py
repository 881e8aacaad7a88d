"""One member: what it hears, what it says, whom it takes for alive. Pure: time is told, chance is seeded.

Two rules hold the rest up. First: each turn looks at the clock before anything else; a turn that comes too late makes a
RETURNING node, which accuses nobody and shows no view. Second: life is a round trip of one's own, death is a count of
votes; what others only say is a reason to look.

The view is a hint for routing, never a permission: two nodes may differ, for seconds, or as long as they cannot reach
each other. docs/design/membership.md has the theory of operation.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

from cloverhold.fleet.membership.book import Book, Reading
from cloverhold.fleet.membership.doubt import Lateness
from cloverhold.fleet.membership.interface import PHASES, Action, Changed, Deliver, Phase, Rules, Standing, Turn
from cloverhold.fleet.membership.joining import Joining
from cloverhold.fleet.membership.links import Links
from cloverhold.fleet.membership.own import Answer, Own
from cloverhold.fleet.membership.rumours import Rumours
from cloverhold.fleet.membership.votes import Ballots
from cloverhold.fleet.wire.datagrams import NEWEST, OLDEST, Claim, Datagram, Digest, Item, Kind, State, Vote, fill

TICK_MS = 25.0  # between two turns
PUSH_MS, PUSHED_TO = 40.0, 3  # rumours go to so many at once, no sooner than so long after the last time
SYNC_MS, HEAL_MS, FORGET_MS = 1000.0, 2000.0, 1000.0  # between two of each
PARTS, PARTS_JOINED = 8, 24  # datagrams of entries to one that differs, to one that joins
MOST_CHECKS, CHECKED = 32, 0.67  # numbers looked into at once, and for what part of a window
CUT_LEAST = 3  # a node that reaches none of so many others is cut off; of fewer, they may well be dead


class Member:
    """One member of a fleet of numbers from 0 to `peers` - 1."""

    def __init__(
        self, number: int, peers: int, life: int, rules: Rules, chance: Random, now: float, *, program: int = 0,
        newest: int = NEWEST,
    ) -> None:  # fmt: skip
        """life: drawn anew by each process. newest: the highest form of datagrams that it writes and reads."""
        self.me, self.peers, self.rules, self.chance, self.newest = number, peers, rules, chance, newest
        self.own = Own(Claim(State.ALIVE, number, 1, life, 0, program))
        self.phase, self.since = Phase.JOINING, now
        self.book = Book(rules.watchers)
        self.links = Links(rules.period_ms, rules.silence_ms)
        self.checks = Links(rules.period_ms / 3, rules.silence_ms)  # of numbers whose claims contradict
        self.checked: dict[int, Claim] = {}  # what is looked into: the claim that holds where they stay silent
        self.ballots = Ballots(rules.silence_ms, rules.grace_ms)
        self.rumours = Rumours(most=4 * peers + 64)
        self.late = Lateness(TICK_MS, rules.asleep_ms)
        self.joining = Joining(number, peers, rules.join_ms, chance, now)
        self.reads: dict[int, int] = {}  # by number: the highest form it reads
        self.voted: dict[int, tuple[bool, float]] = {}  # by subject: this node's last vote and when
        self.votes = 0
        self.doubts = False  # whether most of those it watches are silent
        self.seen = -1  # the book's changes that the watches follow
        self.pushed = self.synced = self.healed = self.tidied = now
        self.nonce = chance.getrandbits(32)
        self.dropped = 0  # datagrams of an old life or incarnation
        self.out: list[Action] = []

    @property
    def claim(self) -> Claim:
        """What this process says of itself."""
        return self.own.claim

    # ------------------------------------------------------------------------------------------------ being told

    def turn(self, now: float) -> list[Action]:
        """Time has passed; call every 25 ms. What is to be done."""
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
        return self._done()

    def hear(self, datagram: Datagram, now: float) -> list[Action]:
        """A datagram came from the address of its sender's number. What is to be done."""
        self._begin(now)
        if self.phase is not Phase.GONE and datagram.sender != self.me and datagram.sender < self.peers:
            self.reads[datagram.sender] = min(datagram.reads, self.newest)
            self._hear(datagram, now)
        return self._done()

    def leave(self, now: float) -> list[Action]:
        """The process was told to stop: say so to those that watch it, and to some more."""
        self._begin(now)
        if self.phase in (Phase.MEMBER, Phase.CUT):
            left = replace(self.claim, state=State.LEFT)
            near = self.book.rings.watchers(self.me) | self.book.rings.subjects(self.me)
            others = sorted(self.book.living - {self.me})
            near |= set(self.chance.sample(others, min(PUSHED_TO, len(others))))
            for number in sorted(near):
                self._send(number, Kind.PUSH, (left,))
        self._turn_to(Turn.LEAVE, now, "told to stop")
        return self._done()

    def resize(self, peers: int) -> None:
        """The configuration names so many numbers from now on."""
        self.peers = self.joining.peers = peers

    # ---------------------------------------------------------------------------------------------- being asked

    def view(self, now: float) -> tuple[int, ...] | None:
        """The numbers of the living, this one among them: a hint. None where this node has no view to act on: while it
        joins, after it slept, cut off, replaced, called dead, or alone among many.
        """
        if self.phase is not Phase.MEMBER or now - self.since < self.rules.settle_ms or self.own.called_dead:
            return None
        if self.late.turned is not None and now - self.late.turned >= self.rules.asleep_ms:
            return None  # it has slept, and no turn has noticed yet
        if len(self.book.living) == 1 and self.peers > CUT_LEAST:
            return None
        return tuple(sorted(self.book.living))

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

    # ------------------------------------------------------------------------------------------------- the phase

    def _begin(self, now: float) -> None:
        """Before anything else: has this process been stopped?"""
        self.out = []
        if self.late.turn(now) and self.phase in (Phase.JOINING, Phase.MEMBER, Phase.CUT):
            self._turn_to(Turn.STOPPED, now, "the loop did not turn")

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out

    def _turn_to(self, turn: Turn, now: float, why: str) -> None:
        """Take a turn of the table; nothing where it has no such cell."""
        phase = PHASES.get((self.phase, turn))
        if phase is None:
            return
        self.phase, self.since = phase, now
        self.out.append(Changed(self.me, phase.value, self.claim.incarnation, why))
        if phase in (Phase.RETURNING, Phase.REPLACED, Phase.GONE):
            self.ballots.clear()  # whatever it thought of others is of before
            self.rumours.clear()
            self.voted.clear()
            self.checked.clear()
            self.own.settle()
        if phase in (Phase.RETURNING, Phase.JOINING):
            self.joining.begin(now)
        if phase is Phase.CUT:
            self.links.reset(now)
        if phase is Phase.MEMBER:
            self.links.last = now

    def _join(self, now: float) -> None:
        if self.joining.given_up(now):
            alone = self.phase is Phase.JOINING
            self._turn_to(Turn.ALONE, now, "nobody answered")
            if alone:
                self._claim(now, self.claim, "alone")
            return
        for number in self.joining.ask(now):
            self._ask(number, now)

    def _ask(self, number: int, now: float) -> None:
        self.nonce = (self.nonce + 1) & 0xFFFFFFFF
        self.joining.asking(self.nonce, now)
        self._send(number, Kind.JOIN, nonce=self.nonce)

    def _claim(self, now: float, claim: Claim, why: str) -> None:
        """Say of oneself from now on."""
        self.own.claim = claim
        self.book.put(claim, now, why)
        self.rumours.add(claim, now)

    def _welcomed(self, datagram: Datagram, now: float) -> None:
        """A member answered: what it knows of this number comes first, then whom it knows."""
        mine = next((i for i in datagram.items if isinstance(i, Claim) and i.number == self.me), None)
        returns = self.phase is Phase.RETURNING
        if mine is not None and mine.state is State.ALIVE and mine.over == self.claim.life:
            self._turn_to(Turn.OUTBID, now, "a later process holds this number")
            return
        if returns:
            self.book.clear()  # the view from before is nothing to go by
            self.own.claim = replace(self.claim, incarnation=self.claim.incarnation + 1)
        if mine is not None and (mine.life != self.claim.life or mine.key() >= self.claim.key()):
            self.own.claim = self.own.above(mine)
        self._turn_to(Turn.WELCOMED, now, f"welcomed by {datagram.sender}")
        self._claim(now, self.claim, "returned" if returns else "joined")

    # ----------------------------------------------------------------------------------------------- datagrams

    def _send(self, to: int, kind: Kind, items: tuple[Item, ...] = (), nonce: int = 0) -> None:
        form = min(self.newest, self.reads.get(to, OLDEST))
        self.out.append(Deliver(to, Datagram(
            kind, self.me, self.claim.incarnation, self.claim.life, nonce, self.doubts, items, form, self.newest,
            self.claim.over,
        )))  # fmt: skip

    def _load(self, to: int, now: float) -> tuple[Item, ...]:
        """Rumours for one datagram."""
        form = min(self.newest, self.reads.get(to, OLDEST))
        return self.rumours.take(len(self.book.living), form, now, 3 * self.rules.silence_ms)

    def _hear(self, d: Datagram, now: float) -> None:
        if d.kind is Kind.WELCOME:
            if self.phase is Phase.REPLACED:
                mine = next((i for i in d.items if isinstance(i, Claim) and i.number == self.me), None)
                if self.joining.asked(d.nonce, now) and (mine is None or mine.state is not State.ALIVE):
                    self._turn_to(Turn.FREE, now, "the number is free again")
                return
            if not self.joining.asked(d.nonce, now) or self.phase not in (Phase.JOINING, Phase.RETURNING):
                return
            member = any(isinstance(item, Claim) and item.number == d.sender for item in d.items)
            if self.phase is Phase.RETURNING and not member and not self.joining.half(now):
                return  # as little a member as this node: good enough only where no other answers
            self._welcomed(d, now)
        if d.kind is Kind.JOIN and self.phase is not Phase.REPLACED:
            self._welcome(d, now)
        if d.kind is Kind.JOIN or self.phase not in (Phase.MEMBER, Phase.CUT):
            return
        if d.kind is Kind.ACK:
            self._answered(d, now)
        if not self._sender(d, now):
            for item in d.items:  # even one that is dead here may tell this node what it is held for
                if isinstance(item, Claim) and item.number == self.me:
                    self._of_me(item, now, trusted=False)
            return
        if d.kind is Kind.PING:
            digest = next((item for item in d.items if isinstance(item, Digest)), None)
            self._send(d.sender, Kind.ACK, self._load(d.sender, now), d.nonce)
            if digest is not None and digest.sum != self.book.digest().sum:
                self._entries(d.sender, PARTS)
        believed = d.kind is Kind.WELCOME or (d.kind is Kind.ENTRIES and now - self.since < self.rules.settle_ms)
        for item in d.items:
            if isinstance(item, Claim):
                self._hear_claim(item, d, now, believed=believed)
            elif isinstance(item, Vote):
                self._hear_vote(item, now)
        if d.kind is Kind.ENTRIES and any(isinstance(i, Digest) and i.sum != self.book.digest().sum for i in d.items):
            self._entries(d.sender, PARTS, answer=True)

    def _sender(self, d: Datagram, now: float) -> bool:
        """Whether a datagram's sender is a living member in its own latest incarnation, so that its word counts."""
        said = Claim(State.ALIVE, d.sender, d.incarnation, d.life, d.over)
        held = self.book.entries.get(d.sender)
        if held is None:
            self._look_into(said, now)  # a number that nobody has told of, or that was dropped long ago
            if d.kind is Kind.PING:  # answered all the same: two that wait for each other's word would do so for ever
                self._send(d.sender, Kind.ACK, (), d.nonce)
            return d.kind in (Kind.WELCOME, Kind.ENTRIES)
        if said.key() < held.claim.key():
            self.dropped += 1
            self._correct(d, held.claim)
            return False
        if said.key() > held.claim.key():
            program = held.claim.program if held.claim.life == d.life else 0
            self._news(replace(said, program=program), now, "heard itself")
        elif held.claim.state is not State.ALIVE:
            # It is answered, so that what it holds of this node does not hang on what this node holds of it.
            if d.kind is Kind.PING:
                self._send(d.sender, Kind.ACK, (held.claim,), d.nonce)
            else:
                self._correct(d, held.claim)
            return d.kind is Kind.ENTRIES
        return True

    def _correct(self, d: Datagram, held: Claim) -> None:
        """Tell a sender what is held of it. Only where it asked: two that hold each other dead would never end."""
        if d.kind in (Kind.PING, Kind.JOIN, Kind.ENTRIES):
            self._send(d.sender, Kind.PUSH, (held,))

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

    def _welcome(self, d: Datagram, now: float) -> None:
        """Say what is known of a number that asks; a member also names itself, and whom it knows. One that is no member
        answers too: of two that return at the same time each would wait for the other.
        """
        held, member = self.book.entries.get(d.sender), self.phase is Phase.MEMBER
        first: tuple[Item, ...] = (held.claim,) if held is not None else ()
        self._send(d.sender, Kind.WELCOME, (*first, self.claim) if member else first, d.nonce)
        if member:
            self._entries(d.sender, PARTS_JOINED)

    def _entries(self, to: int, parts: int, *, answer: bool = False) -> None:
        """Send what is held, in so many datagrams at most, going on where the last such part ended. A digest asks the
        other side for its own; an answer asks for nothing.
        """
        form = min(self.newest, self.reads.get(to, OLDEST))
        room = len(next(fill([self.claim] * 64, form)))
        items: list[Item] = list(self.book.part(parts * room - 1))
        if not answer:
            items.insert(0, self.book.digest())
        for part in fill(items, form):
            self._send(to, Kind.ENTRIES, part)

    # -------------------------------------------------------------------------------------------------- claims

    def _hear_claim(self, claim: Claim, d: Datagram, now: float, *, believed: bool) -> None:
        if claim.number >= self.peers:
            return
        if claim.number == self.me:
            self._of_me(claim, now, trusted=not d.doubt and d.sender in self.book.living)
            return
        match self.book.read(claim):
            case Reading.NEWS:
                unknown = claim.number not in self.book.entries
                if d.kind is Kind.ENTRIES and claim.state is State.ALIVE and unknown and not believed:
                    self._look_into(claim, now)
                else:
                    self._news(claim, now, f"told by {d.sender}")
            case Reading.DENIED:
                if believed:
                    self._news(claim, now, f"told by {d.sender}")
                else:
                    self._denied(claim, now)

    def _news(self, claim: Claim, now: float, why: str) -> None:
        """Hold a claim, and pass it on."""
        before = self.book.entries.get(claim.number)
        self.book.put(claim, now, why)
        self.ballots.held.pop(claim.number, None)
        self.voted.pop(claim.number, None)
        self.checked.pop(claim.number, None)
        if claim.state is not State.DEAD:  # of deaths each node is told by votes, or finds out itself
            self.rumours.add(claim, now)
        if before is None or (before.claim.state, before.claim.life) != (claim.state, claim.life):
            self.out.append(Changed(claim.number, claim.state.name.lower(), claim.incarnation, why))

    def _denied(self, claim: Claim, now: float) -> None:
        """One that is alive here is called dead: its own answers decide. Where it answers, it is told, and says so."""
        link = self.links.held.get(claim.number)
        if link is not None and link.answered and link.silent(now) <= self.rules.silence_ms / 2:
            self._send(claim.number, Kind.PUSH, (claim,))
        else:
            self._look_into(claim, now)

    def _of_me(self, claim: Claim, now: float, *, trusted: bool) -> None:
        """What others say of this number. trusted: by a living member that is not in doubt."""
        match self.own.told(claim, now, trusted=trusted):
            case Answer.OUTBID:
                self._turn_to(Turn.OUTBID, now, "a later process holds this number")
            case Answer.RAISED:
                self._claim(now, self.own.above(claim), "another life of this number")
            case Answer.WAITS:
                why = f"back in {self.own.wait_ms:.0f} ms"
                self.out.append(Changed(self.me, "called dead", claim.incarnation, why))

    def _refute(self, now: float) -> None:
        if (claim := self.own.refutation(now)) is not None:
            self._claim(now, claim, "refuted its death")

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

    # -------------------------------------------------------------------------------------------------- watching

    def _ping(self, number: int, now: float, links: Links) -> None:
        self.nonce = (self.nonce + 1) & 0xFFFFFFFF
        links.asked(links.held[number], self.nonce, now)
        self._send(number, Kind.PING, self._load(number, now), self.nonce)

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
        if self.doubts:  # most of what it watches is gone, and so may the watchers of others be: look around
            for number in self.book.living - self.links.held.keys() - {self.me}:
                if number not in self.voted:
                    self._look_into(self.book.entries[number].claim, now)
        for number in list(self.ballots.held):
            self.ballots.tidy(number, now)
            if number not in self.ballots.held:
                continue
            count = self.ballots.count(number, self.book.living, self.me, weak=self.doubts)
            if self.ballots.dead(number, count, len(self.book.living) - 1, now):
                claim = self.book.alive(number)
                del self.ballots.held[number]
                if claim is not None:
                    why = f"no answer to {count.down} of {count.down + count.up} watchers"
                    self._news(replace(claim, state=State.DEAD, over=0), now, why)
            elif self.ballots.lone(number, count, now) and number not in self.links.held and number not in self.voted:
                self._look_into(self.book.entries[number].claim, now)

    # --------------------------------------------------------------------------------------------- passing on

    def _spread(self, now: float) -> None:
        others = self._others()
        if others and now - self.pushed >= PUSH_MS and self.rumours.fresh():
            self.pushed = now
            for number in self.chance.sample(others, min(PUSHED_TO, len(others))):
                self._send(number, Kind.PUSH, self._load(number, now))
        if others and now - self.synced >= SYNC_MS:
            self.synced = now
            self._send(self.chance.choice(others), Kind.PING, (self.book.digest(),), 0)
        if now - self.healed >= (HEAL_MS if others else HEAL_MS / 8):
            self.healed = now
            self._heal(now)
        if now - self.tidied >= FORGET_MS:
            self.tidied = now
            self.book.forget(now, self.rules.forget_ms)

    def _others(self) -> list[int]:
        return sorted(self.book.living - {self.me})

    def _heal(self, now: float) -> None:
        """Look whether a number that is not alive here is: halves that lost each other find each other so."""
        away = [n for n in range(self.peers) if n not in self.book.living and n != self.me]
        if not away:
            return
        number = self.chance.choice(away)
        held = self.book.entries.get(number)
        self._look_into(Claim(State.ALIVE, number, 0, 0) if held is None else held.claim, now)
        if held is not None:
            self._send(number, Kind.PUSH, (held.claim,))
