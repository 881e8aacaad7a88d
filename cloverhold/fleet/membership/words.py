"""What a member says and hears: its phase, joining, claims of numbers. Pure; `core` watches and votes on top of it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import replace
from random import Random

from cloverhold.fleet.membership.book import Book, Reading
from cloverhold.fleet.membership.doubt import Lateness
from cloverhold.fleet.membership.interface import PHASES, Action, Changed, Deliver, Phase, Rules, Turn
from cloverhold.fleet.membership.joining import Joining
from cloverhold.fleet.membership.links import Links
from cloverhold.fleet.membership.own import Answer, Own
from cloverhold.fleet.membership.rumours import Rumours
from cloverhold.fleet.membership.votes import Ballots
from cloverhold.fleet.wire.datagrams import NEWEST, OLDEST, Claim, Datagram, Digest, Item, Kind, State, Vote, fill

TICK_MS = 25.0  # between two turns, where something is under way
PARTS, PARTS_JOINED = 8, 24  # datagrams of entries to one that differs, to one that joins


def _named(d: Datagram, number: int) -> Claim | None:
    """What a datagram claims of a number."""
    return next((item for item in d.items if isinstance(item, Claim) and item.number == number), None)


class Words(ABC):
    """One member of a fleet of numbers from 0 to `peers` - 1: all that it holds, and the words that change it."""

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
        self.rest = TICK_MS  # how long after the last call the next turn may come; later is late
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

    @abstractmethod
    def _answered(self, d: Datagram, now: float) -> None:
        """An answer to a ping came."""

    @abstractmethod
    def _hear_vote(self, vote: Vote, now: float) -> None:
        """A watcher says what it sees."""

    @abstractmethod
    def _look_into(self, claim: Claim, now: float) -> None:
        """Ask a number itself."""

    # ------------------------------------------------------------------------------------------------- the phase

    def _begin(self, now: float) -> None:
        """Before anything else: has this process been stopped?"""
        self.out = []
        if self.late.turn(now, self.rest) and self.phase in (Phase.JOINING, Phase.MEMBER, Phase.CUT):
            self._turn_to(Turn.STOPPED, now, "the loop did not turn")

    def _done(self, now: float) -> list[Action]:
        self.rest = self._rest(now)
        out, self.out = self.out, []
        return out

    @abstractmethod
    def _rest(self, now: float) -> float:
        """How long the next turn may wait, in ms."""

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
        self.joining.asking(nonce := self._fresh(), now)
        self._send(number, Kind.JOIN, nonce=nonce)

    def _claim(self, now: float, claim: Claim, why: str) -> None:
        """Say of oneself from now on."""
        self.own.claim = claim
        self.book.put(claim, now, why)
        self.rumours.add(claim, now)

    def _welcomed(self, datagram: Datagram, now: float) -> None:
        """A member answered: what it knows of this number comes first, then whom it knows."""
        mine = _named(datagram, self.me)
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

    def _form(self, to: int) -> int:
        """The form of datagrams that a number reads."""
        return min(self.newest, self.reads.get(to, OLDEST))

    def _fresh(self) -> int:
        """A nonce that is not out."""
        self.nonce = (self.nonce + 1) & 0xFFFFFFFF
        return self.nonce

    def _send(self, to: int, kind: Kind, items: tuple[Item, ...] = (), nonce: int = 0) -> None:
        form = self._form(to)
        self.out.append(Deliver(to, Datagram(
            kind, self.me, self.claim.incarnation, self.claim.life, nonce, self.doubts, items, form, self.newest,
            self.claim.over,
        )))  # fmt: skip

    def _load(self, to: int, now: float) -> tuple[Item, ...]:
        """Rumours for one datagram."""
        form = self._form(to)
        return self.rumours.take(len(self.book.living), form, now, 3 * self.rules.silence_ms)

    def _hear(self, d: Datagram, now: float) -> None:
        if d.kind is Kind.WELCOME:
            if self.phase is Phase.REPLACED:
                mine = _named(d, self.me)
                if self.joining.asked(d.nonce, now) and (mine is None or mine.state is not State.ALIVE):
                    self._turn_to(Turn.FREE, now, "the number is free again")
                return
            if not self.joining.asked(d.nonce, now) or self.phase not in (Phase.JOINING, Phase.RETURNING):
                return
            member = _named(d, d.sender) is not None
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
                    self._of_me(item, now, by=None)
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
        form = self._form(to)
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
            self._of_me(claim, now, by=d.sender if not d.doubt and d.sender in self.book.living else None)
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

    def _of_me(self, claim: Claim, now: float, *, by: int | None) -> None:
        """What others say of this number. by: a living member that is not in doubt, if it is one."""
        match self.own.told(claim, now, by=by):
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
