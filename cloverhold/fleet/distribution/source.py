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


class _Following:
    """One subscriber's following of one scope."""

    __slots__ = ("held", "open", "refused", "rest", "sent", "since")

    def __init__(self) -> None:
        self.held: Mark | None = None  # what it said last that it has
        self.open: Mark | None = None  # the mark that the word on its way leads to
        self.rest: list[Told] = []  # its parts that are to come
        self.sent = 0  # the part that was sent last
        self.refused: Mark | None = None
        self.since = 0.0  # when something was sent last


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
        self._sessions: dict[Session, dict[str, _Following]] = {}
        self._followers: dict[str, set[Session]] = defaultdict(set)

    def joined(self, session: Session) -> None:
        """A subscriber has connected."""
        self._sessions[session] = {}

    def left(self, session: Session) -> None:
        """Its connection has ended."""
        for scope in self._sessions.pop(session, {}):
            self._unfollow(scope, session)

    def hear(self, session: Session, message: Upward, now: float) -> list[Action]:
        """A subscriber said this. What does not belong to the word that is open is late, and passed over."""
        following = self._sessions.get(session)
        if following is None:
            return []
        if isinstance(message, Ask):
            return self._asked(session, following, message, now)
        one = following.get(message.scope)
        if one is None:
            return []
        match message:
            case Leave(scope):
                del following[scope]
                self._unfollow(scope, session)
            case Got(scope, upto, part):
                if one.open == upto and one.sent == part and one.rest:
                    return [self._next(session, one, now)]
            case Taken(scope, mark):
                if one.open == mark and not one.rest:
                    one.open, one.held = None, mark
                    return self._tell(session, scope, one, now)
            case Refused(scope, mark, why):
                if one.open == mark:
                    one.open, one.rest, one.refused = None, [], mark
                    return [Note("refused", scope, why), *self._tell(session, scope, one, now)]
        return []

    def changed(self, scope: str, now: float) -> list[Action]:
        """Something else is in force here than before."""
        out: list[Action] = []
        for session in sorted(self._followers.get(scope, ())):
            one = self._sessions[session][scope]
            if one.open is None:
                out += self._tell(session, scope, one, now)
        return out

    def turn(self, now: float) -> list[Action]:
        """Call every second or so: who lets a word lie is dropped. Its state goes with `left`."""
        return [
            Drop(session)
            for session, following in sorted(self._sessions.items())
            if any(one.open is not None and now - one.since > PATIENCE_MS for one in following.values())
        ]

    def _unfollow(self, scope: str, session: Session) -> None:
        self._followers[scope].discard(session)
        if not self._followers[scope]:
            del self._followers[scope]

    def _asked(self, session: Session, following: dict[str, _Following], ask: Ask, now: float) -> list[Action]:
        one = following.get(ask.scope)
        if one is None:
            if len(following) >= MOST_SCOPES:
                return [Down(session, Unknown(ask.scope, UNKNOWN_MS)), Note("too many scopes", ask.scope, "")]
            one = following[ask.scope] = _Following()
            self._followers[ask.scope].add(session)
        one.held, one.open, one.rest, one.refused = (None if ask.whole else ask.mark), None, [], None
        return self._tell(session, ask.scope, one, now)

    def _tell(self, session: Session, name: str, one: _Following, now: float) -> list[Action]:
        """Open the next word, if there is one to tell."""
        scope = self.held(name)
        if scope is None:
            unknown: Action = Down(session, Unknown(name, UNKNOWN_MS))
            return [unknown] if one.held is None else [unknown, Outrun(name, one.held)]
        own, theirs = scope.mark, one.held
        if own in (theirs, one.refused):
            return []
        base, entries = None, None
        if theirs is not None:
            if self._ahead(theirs, own):
                return [Down(session, Behind(name, own)), Outrun(name, theirs)]
            base, entries = theirs, scope.since(theirs)
        if entries is None:
            base, entries = None, scope.whole()
        parts = list(parted(entries, self.part_bytes))
        words = [Told(name, base, own, scope.floor, at, len(parts), part) for at, part in enumerate(parts)]
        one.open, one.rest = own, words
        return [self._next(session, one, now)]

    def _ahead(self, theirs: Mark, own: Mark) -> bool:
        return theirs.version >= own.version

    def _next(self, session: Session, one: _Following, now: float) -> Action:
        word = one.rest.pop(0)
        one.sent, one.since = word.part, now
        return Down(session, word)
