"""Faults planted in the cores: what is patched, and by what.

That a change is applied to another base than its own goes unseen on the days: the digest finds it out in the next
line. test_words.py holds both guards by themselves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from contextlib import AbstractContextManager
from typing import Any
from unittest.mock import patch

from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.interface import (
    Accepted, Action, Entry, Mark, Persist, Session, Switch, Taken, Up, Upward,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import Scope
from cloverhold.fleet.distribution.source import Source
from cloverhold.fleet.distribution.writer import Writer

collected, stored, told, heard = Follower._collected, Follower.stored, Source._tell, Source.hear
entries, begun, asked = Scope._entries, Writer.__init__, Writer.change


def living(self: Scope, after: int) -> Iterable[Entry]:
    return (entry for entry in entries(self, after) if entry.value is not None)


def said_early(self: Follower, name: str, one: Any, word: Any, now: float) -> list[Action]:
    out = collected(self, name, one, word, now)
    return out + [Up(Taken(name, action.upto)) for action in out if isinstance(action, Persist)]


def switched_early(self: Follower, name: str, one: Any, word: Any, now: float) -> list[Action]:
    out = collected(self, name, one, word, now)
    return [Switch(name, a.upto, {}) for a in out if isinstance(a, Persist)] + out


def failed_is_held(self: Follower, name: str, upto: Mark, ok: bool, now: float) -> list[Action]:
    return stored(self, name, upto, True, now)


def tells_again(self: Source, session: Session, one: Any, name: str, now: float) -> list[Action]:
    one.following[name].refused = None
    return told(self, session, one, name, now)


def tells_from_the_last(self: Source, session: Session, message: Upward, now: float) -> list[Action]:
    out = heard(self, session, message, now)
    for one in self._sessions[session].following.values() if session in self._sessions else ():
        one.held = one.open or one.held
    return out


def takes_any_for_the_last(self: Source, session: Session, message: Upward, now: float) -> list[Action]:
    if isinstance(message, Taken) and session in self._sessions:
        one = self._sessions[session].following.get(message.scope)
        if one is not None and one.open:
            one.rest = []
            message = Taken(message.scope, one.open)
    return heard(self, session, message, now)


def keeps_its_epoch(self: Writer, held: Mapping[str, Scope], epoch: int) -> None:
    begun(self, held, epoch)
    self.epoch = max([1, *(scope.mark.epoch for scope in held.values())])


def accepts_early(self: Writer, name: str, values: Mapping[str, bytes | None], ticket: int) -> list[Action]:
    out = asked(self, name, values, ticket)
    return [Accepted(name, a.upto, ticket) for a in out if isinstance(a, Persist)] + out


def queue_of_all(self: Source, scope: str, now: float) -> list[Action]:
    """A word for each change, whatever is open."""
    out: list[Action] = []
    for session in sorted(self._followers.get(scope, ())):
        one = self._sessions[session]
        self._close(one, one.following[scope])
        out += told(self, session, one, scope, now)
    return out


Fault = Callable[[], AbstractContextManager[Any]]
FAULTS: dict[str, Fault] = {
    "a lower version is applied": lambda: patch.object(Follower, "_older", lambda *_: False),
    "deletions are not told": lambda: patch.object(Scope, "_entries", living),
    "the digest is not compared": lambda: patch.object(Scope, "named", staticmethod(lambda *_: True)),
    "acknowledged before durable": lambda: patch.object(Follower, "_collected", said_early),
    "parts of two words are mixed": lambda: patch.object(Follower, "_continues", lambda *_: True),
    "half a word outlives its connection": lambda: patch.object(Follower, "_drop_word", lambda *_: None),
    "the floor is not looked at": lambda: patch.object(Scope, "since", lambda s, m: tuple(s._entries(m.number))),
    "a refused version is told again": lambda: patch.object(Source, "_tell", tells_again),
    "a writer keeps its epoch": lambda: patch.object(Writer, "__init__", keeps_its_epoch),
    "any acknowledgement is the last one's": lambda: patch.object(Source, "hear", takes_any_for_the_last),
    "what was sent is taken for held": lambda: patch.object(Source, "hear", tells_from_the_last),
    "switched before durable": lambda: patch.object(Follower, "_collected", switched_early),
    "a failed write is taken for done": lambda: patch.object(Follower, "stored", failed_is_held),
    "one that is behind answers as if ahead": lambda: patch.object(Source, "_ahead", lambda *_: False),
    "accepted before durable": lambda: patch.object(Writer, "change", accepts_early),
    "what others hold is not written over": lambda: patch.object(Writer, "outrun", lambda *_: []),
    "a word a change, whatever is open": lambda: patch.object(Source, "changed", queue_of_all),
}
