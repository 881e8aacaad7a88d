"""The one place that makes versions of a scope, and a relay, which passes them on. Pure.

A writer begins each of its lives by following its relays, until most of them have told what they hold: so it finds
what its own disk may have lost. Then it takes an epoch over all of that, durably, and writes. A change is told when it
is durable, never before; one a scope is written at a time, the others wait.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping

from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.interface import (
    Accepted, Action, Ask, Check, Declined, Downward, Entry, Mark, Note, Outrun, Persist, Session, Switch, Upward,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import DIGEST_BYTES, MOST, Scope, weigh
from cloverhold.fleet.distribution.source import MOST_NAME, MOST_SCOPES, Source

MOST_WAITING = 1_000  # changes of one scope that wait for the one that is being written


class Writer:
    """Makes versions, and tells them."""

    def __init__(self, held: Mapping[str, Scope], epoch: int, check: Check | None = None) -> None:
        """epoch: durable already, and over that of all that is held; ValueError where it is not. check: of what is
        asked for; what a node would hold until it is confirmed is written all the same.
        """
        self.check = check
        if any(scope.mark.epoch >= epoch for scope in held.values()):
            raise ValueError("epoch: must be over all that are held")
        self.epoch = epoch
        self._held = dict(held)
        self._waiting: dict[str, deque[tuple[int, Mapping[str, bytes | None]]]] = {}
        self._writing: dict[str, tuple[Scope, int | None, Mark | None]] = {}  # whose, and what it is written over
        self._over: dict[str, Mark] = {}  # marks of others that are to be written over
        self._lost: dict[str, Mark] = {}  # scopes that others hold, and of which nothing is known here
        self.source = Source(self.held)

    def held(self, name: str) -> Scope | None:
        """What is in force of a scope."""
        return self._held.get(name)

    def names(self) -> Collection[str]:
        """All scopes that are held."""
        return self._held.keys()

    def change(self, name: str, values: Mapping[str, bytes | None], ticket: int) -> list[Action]:
        """Set these keys, and delete those that are None, as one change. ticket: the asker's own, for the answer."""
        if len(name) > MOST_NAME:
            return [Declined(name[:MOST_NAME], f"a name has {MOST_NAME} characters at most", ticket)]
        if name in self._lost:
            return [Declined(name, f"{self._lost[name].version} is held elsewhere, and nothing here", ticket)]
        waiting = self._waiting.setdefault(name, deque())
        if len(waiting) >= MOST_WAITING:
            return [Declined(name, f"{MOST_WAITING} changes wait", ticket)]
        waiting.append((ticket, dict(values)))
        return self._write(name)

    def hear(self, session: Session, message: Upward, now: float) -> list[Action]:
        """A subscriber said this."""
        return self._watched(self.source.hear(session, message, now))

    def stored(self, name: str, upto: Mark, ok: bool, now: float) -> list[Action]:
        """What `Persist` asked for is done, or failed: then nothing of it is there."""
        made, ticket, over = self._writing.get(name, (None, None, None))
        if made is None or made.mark != upto:
            return []
        del self._writing[name]
        if not ok:
            waiting = self._waiting.pop(name, ())
            if over is not None:
                self._over[name] = max(over, self._over.get(name, over), key=lambda mark: mark.version)
            tickets = [*([] if ticket is None else [ticket]), *(other for other, _ in waiting)]
            return [Declined(name, "it could not be made durable", one) for one in tickets]
        before, self._held[name] = self._held.get(name), made
        out: list[Action] = [] if ticket is None else [Accepted(name, upto, ticket)]
        out.append(Switch(name, upto, made.changed(before)))
        return out + self._watched(self.source.changed(name, now)) + self._write(name)

    def turn(self, now: float) -> list[Action]:
        """Call every second or so: subscribers that take nothing, and what could not be written over."""
        out = self.source.turn(now)
        for name in sorted(self._over):
            out += self._write(name)
        return out

    def _watched(self, actions: list[Action]) -> list[Action]:
        """Write over what others hold and this writer does not know: it was set back."""
        out: list[Action] = []
        for action in actions:
            if isinstance(action, Outrun):
                out += self.outrun(action)
            else:
                out.append(action)
        return out

    def outrun(self, found: Outrun) -> list[Action]:
        """Somebody holds a mark that a source did not know. It is written over with what is held here, so that all come
        to one state; where nothing is held, nothing is done: an empty disk must not empty the fleet.
        """
        held, mark = self._held.get(found.scope), found.mark
        if held is None and found.scope not in self._writing:
            self._lost[found.scope] = mark
            return [Note("nothing held", found.scope, f"{mark.version} is held elsewhere")]
        if held is not None and (mark == held.mark or mark.version < held.mark.version):
            return []  # known here, or written over already
        if (over := self._over.get(found.scope)) is None or over.version < mark.version:
            self._over[found.scope] = mark
        why = f"{mark.version} is held elsewhere and not known here: what it had is written over"
        return [Note("written over", found.scope, why), *self._write(found.scope)]

    def _write(self, name: str) -> list[Action]:
        """Begin the next change, if none is being written."""
        out: list[Action] = []
        while name not in self._writing:
            held, over = self._held.get(name), self._over.pop(name, None)
            if over is not None and held is not None and over.version < held.mark.version:
                over = None  # written over already
            waiting = self._waiting.pop(name, None)
            if not waiting and over is None:
                break
            ticket, asked = waiting.popleft() if waiting else (None, {})
            if waiting:
                self._waiting[name] = waiting
            scope = held or Scope.begun(self.epoch)
            values = {key: value for key, value in asked.items() if scope.content.get(key) != value}
            refusal = self._refused(name, scope, values) if ticket is not None else None
            if ticket is not None and refusal is not None:
                out.append(Declined(name, refusal, ticket))
                if over is not None:
                    self._over[name] = over
            elif values or over is not None or held is None:
                out.append(self._persist(name, scope, values, over, ticket))
            elif ticket is not None:
                out.append(Accepted(name, held.mark, ticket))  # it is so already
        return out

    def _refused(self, name: str, scope: Scope, values: Mapping[str, bytes | None]) -> str | None:
        if self.check is None:
            return None
        after = {key: value for key, value in {**scope.content, **values}.items() if value is not None}
        refusal = self.check(name, scope.content, after)
        return refusal.why if refusal is not None and not refusal.held else None

    def _persist(
        self, name: str, scope: Scope, values: Mapping[str, bytes | None], over: Mark | None, ticket: int | None
    ) -> Persist:
        if over is not None:
            self.epoch = max(self.epoch, over.epoch + 1)
        number = max(scope.mark.number, over.number if over is not None else 0) + 1
        digest = int.from_bytes(scope.mark.digest, "big")
        for key, value in values.items():
            if (was := scope.content.get(key)) is not None:
                digest -= weigh(key, was)
            if value is not None:
                digest += weigh(key, value)
        upto = Mark(self.epoch, number, (digest % MOST).to_bytes(DIGEST_BYTES, "big"))
        entries = tuple(Entry(key, number, value) for key, value in values.items())
        made = scope.after(upto, entries)
        assert made is not None
        self._writing[name] = made, ticket, over
        return Persist(name, scope.mark if name in self._held else None, upto, made.floor, entries)


class Relay:
    """Follows a writer, or another relay, and tells what it holds on: what it is asked for. It looks into no value."""

    def __init__(self, held: Mapping[str, Scope]) -> None:
        self.follower = Follower(held)
        self.source = Source(self.follower.held)

    def heard(self, message: Downward, now: float) -> list[Action]:
        """The writer said this."""
        return self._passed_on(self.follower.hear(message, now), now)

    def hear(self, session: Session, message: Upward, now: float) -> list[Action]:
        """A subscriber said this. `Outrun` is for the writer: the shell tells it."""
        out: list[Action] = []
        if isinstance(message, Ask) and len(message.scope) <= MOST_NAME and len(self.follower.names()) < MOST_SCOPES:
            out = self.follower.add(message.scope)
        return out + self.source.hear(session, message, now)

    def stored(self, name: str, upto: Mark, ok: bool, now: float) -> list[Action]:
        """What `Persist` asked for is done, or failed."""
        return self._passed_on(self.follower.stored(name, upto, ok, now), now)

    def turn(self, now: float) -> list[Action]:
        """Call every second or so. Names that mean nothing are forgotten with those who asked for them."""
        out: list[Action] = []
        for name in list(self.follower.names()):
            if self.follower.held(name) is None and not self.source.followed(name):
                out += self.follower.drop(name)
        return out + self.source.turn(now) + self.follower.turn(now)

    def _passed_on(self, actions: list[Action], now: float) -> list[Action]:
        out: list[Action] = []
        for action in actions:
            out.append(action)
            if isinstance(action, Switch):
                out += self.source.changed(action.scope, now)
        return out
