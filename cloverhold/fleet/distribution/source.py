"""The side that tells: what subscribers follow, and what is on its way to each. Pure.

There is no queue of changes. One word a scope is open to a subscriber at most; the next is made from what the scope
holds when that one is acknowledged, so that the latest value wins, and who takes nothing costs two marks a scope.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from cloverhold.fleet.distribution.interface import (
    Action, Ask, Behind, Down, Drop, Entries, Entry, Got, Leave, Mark, Note, Outrun, Refused, Session, Taken, Told,
    Unknown, Upward,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import Scope

PART_BYTES = 32 * 1024
UNKNOWN_MS = 5_000.0
PATIENCE_MS = 10_000.0  # for one part: at 9 KB/s the largest takes 3.6 s
MOST_SCOPES = 10_000  # that one subscriber follows: a relay follows all
MOST_NAME = 300  # characters of a scope's
MOST_OPEN = 64  # words to one subscriber: with a part each 2 MiB at most wait for one that does not read


class _Following:
    """One subscriber's following of one scope."""

    __slots__ = ("held", "open", "refused", "rest", "sent", "since", "why")

    def __init__(self) -> None:
        self.held: Mark | None = None  # what it said last that it has
        self.open: Mark | None = None  # the mark that the word on its way leads to
        self.rest: list[Told] = []  # its parts that are to come
        self.sent = 0  # the part that was sent last
        self.refused: Mark | None = None
        self.why = ""
        self.since = 0.0  # when something was sent last


class _Session:
    """One subscriber."""

    __slots__ = ("following", "open", "waiting")

    def __init__(self) -> None:
        self.following: dict[str, _Following] = {}
        self.open = 0  # words
        self.waiting: dict[str, None] = {}  # scopes whose word is not opened, as so many are open; first come first


def parted(entries: Entries, most: int) -> Iterator[Entries]:
    """Entries in parts of so many bytes, or of one entry that is larger."""
    part: list[Entry] = []
    size = 0
    for entry in entries:
        weight = len(entry.key) + len(entry.value or b"") + 12
        if part and size + weight > most:
            yield tuple(part)
            part, size = [], 0
        part.append(entry)
        size += weight
    yield tuple(part)


class Source:
    """Tells scopes to subscribers."""

    def __init__(self, held: Callable[[str], Scope | None], part_bytes: int = PART_BYTES) -> None:
        """held: looks a scope up, as it is in force here; None where there is none."""
        self.part_bytes = part_bytes
        self.held = held
        self._sessions: dict[Session, _Session] = {}
        self._followers: dict[str, set[Session]] = defaultdict(set)

    def joined(self, session: Session) -> None:
        """A subscriber has connected."""
        self._sessions[session] = _Session()

    def left(self, session: Session) -> None:
        """Its connection has ended."""
        ended = self._sessions.pop(session, None)
        for scope in ended.following if ended is not None else ():
            self._unfollow(scope, session)

    def hear(self, session: Session, message: Upward, now: float) -> list[Action]:
        """A subscriber said this. What does not belong to the word that is open is late, and passed over."""
        one = self._sessions.get(session)
        if one is None:
            return []
        if isinstance(message, Ask):
            out = self._asked(session, one, message, now)
        else:
            following = one.following.get(message.scope)
            if following is None:
                return []
            out = self._answered(session, one, following, message, now)
        while one.waiting and one.open < MOST_OPEN:
            name = next(iter(one.waiting))
            del one.waiting[name]
            out += self._tell(session, one, name, now)
        return out

    def _answered(
        self, session: Session, one: _Session, following: _Following, message: Leave | Got | Taken | Refused, now: float
    ) -> list[Action]:
        match message:
            case Leave(scope):
                self._close(one, following)
                one.waiting.pop(scope, None)
                del one.following[scope]
                self._unfollow(scope, session)
            case Got(_, upto, part):
                if following.open == upto and following.sent == part and following.rest:
                    return [self._next(session, following, now)]
            case Taken(scope, mark):
                if following.open == mark and not following.rest:
                    self._close(one, following)
                    following.held = mark
                    return self._tell(session, one, scope, now)
            case Refused(scope, mark, why):
                if following.open == mark:
                    self._close(one, following)
                    following.refused, following.why = mark, why
                    return [Note("refused", scope, why), *self._tell(session, one, scope, now)]
        return []

    def changed(self, scope: str, now: float) -> list[Action]:
        """Something else is in force here than before."""
        out: list[Action] = []
        for session in sorted(self._followers.get(scope, ())):
            one = self._sessions[session]
            if one.following[scope].open is None:
                out += self._tell(session, one, scope, now)
        return out

    def turn(self, now: float) -> list[Action]:
        """Call every second or so: who lets a word lie is dropped. Its state goes with `left`."""
        return [
            Drop(session)
            for session, held in sorted(self._sessions.items())
            if held.open
            and any(one.open is not None and now - one.since > PATIENCE_MS for one in held.following.values())
        ]

    def followed(self, scope: str) -> bool:
        """Whether any subscriber follows it."""
        return scope in self._followers

    def report(self) -> Iterator[tuple[Session, str, Mark | None, Mark | None, str]]:
        """Of each subscriber and scope: the mark that it holds as far as known, one that it refused, and why."""
        for session, one in sorted(self._sessions.items()):
            for scope, following in sorted(one.following.items()):
                yield session, scope, following.held, following.refused, following.why

    def _unfollow(self, scope: str, session: Session) -> None:
        self._followers[scope].discard(session)
        if not self._followers[scope]:
            del self._followers[scope]

    def _asked(self, session: Session, one: _Session, ask: Ask, now: float) -> list[Action]:
        following = one.following.get(ask.scope)
        if following is None:
            if len(one.following) >= MOST_SCOPES or len(ask.scope) > MOST_NAME:
                name = ask.scope[:MOST_NAME]
                return [Down(session, Unknown(name, UNKNOWN_MS)), Note("too many or too long", name, "")]
            following = one.following[ask.scope] = _Following()
            self._followers[ask.scope].add(session)
        self._close(one, following)
        following.held, following.refused = (None if ask.whole else ask.mark), None
        return self._tell(session, one, ask.scope, now)

    def _tell(self, session: Session, one: _Session, name: str, now: float) -> list[Action]:
        """Open the next word of a scope, if there is one to tell."""
        scope, following = self.held(name), one.following[name]
        if scope is None:
            unknown: Action = Down(session, Unknown(name, UNKNOWN_MS))
            return [unknown] if following.held is None else [unknown, Outrun(name, following.held)]
        own, theirs = scope.mark, following.held
        if own in (theirs, following.refused):
            return []
        if theirs is not None and self._ahead(theirs, own):
            return [Down(session, Behind(name, own)), Outrun(name, theirs)]
        if one.open >= MOST_OPEN:
            one.waiting[name] = None
            return []
        base, entries = theirs, None if theirs is None else scope.since(theirs)
        if entries is None:
            base, entries = None, scope.whole()
        parts = list(parted(entries, self.part_bytes))
        words = [Told(name, base, own, scope.floor, at, len(parts), part) for at, part in enumerate(parts)]
        following.open, following.rest = own, words
        one.open += 1
        return [self._next(session, following, now)]

    def _close(self, one: _Session, following: _Following) -> None:
        """No word of this scope is open any more."""
        one.open -= following.open is not None
        following.open, following.rest = None, []

    def _ahead(self, theirs: Mark, own: Mark) -> bool:
        return theirs.version >= own.version

    def _next(self, session: Session, following: _Following, now: float) -> Action:
        word = following.rest.pop(0)
        following.sent, following.since = word.part, now
        return Down(session, word)
