"""The side that is told: collects, checks, makes durable, switches, acknowledges, in that order. Pure.

| stage   | told, whole and right | told, not right | stored | not stored | refused by the check |
| ------- | --------------------- | --------------- | ------ | ---------- | -------------------- |
| RESTING | WRITING               | RESTING, asks   |        |            | RESTING              |
| WRITING | WRITING, asks later   | WRITING         | RESTING| RESTING    |                      |
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

from cloverhold.fleet.distribution.interface import (
    Action, Ask, Behind, Check, Downward, Entry, Forget, Got, Leave, Mark, Note, Persist, Refused, Switch, Taken, Told,
    Unknown, Up,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import Scope

AGAIN_MS = 1_000.0  # after a write that failed
MOST_ENTRIES = 200_000  # of one word


class Stage(Enum):
    """Of one scope."""

    RESTING = "resting"
    WRITING = "writing"


class _Followed:
    """One scope that is followed."""

    __slots__ = (
        "again", "base", "behind", "confirmed", "entries", "floor", "following", "held", "parts", "stage", "upto",
    )  # fmt: skip

    def __init__(self, held: Scope | None) -> None:
        self.held = held  # durable, and in force
        self.stage = Stage.RESTING
        self.following: Scope | None = None  # being written
        self.base: Mark | None = None  # of the word that is being collected, with the three below
        self.upto: Mark | None = None
        self.floor = self.parts = 0
        self.entries: list[Entry] = []
        self.behind = False  # whether a word was passed over while writing
        self.confirmed: Mark | None = None
        self.again: float | None = None  # when to ask again

    @property
    def mark(self) -> Mark | None:
        return self.held.mark if self.held is not None else None


class Follower:
    """Follows scopes from one source at a time. check: whether content may take force; a relay takes any."""

    def __init__(self, held: Mapping[str, Scope], check: Check | None = None) -> None:
        """held: what is durable, and in force from the start."""
        self.check = check
        self._followed = {name: _Followed(scope) for name, scope in held.items()}

    def held(self, name: str) -> Scope | None:
        """What is in force of a scope."""
        one = self._followed.get(name)
        return one.held if one is not None else None

    def follow(self, names: Iterable[str]) -> list[Action]:
        """These from now on, and no others."""
        wanted, out = set(names), list[Action]()
        for name in sorted(self._followed.keys() - wanted):
            out += self.drop(name)
        for name in sorted(wanted - self._followed.keys()):
            out += self.add(name)
        return out

    def names(self) -> Collection[str]:
        """What is followed."""
        return self._followed.keys()

    def add(self, name: str) -> list[Action]:
        """Follow one more."""
        if name in self._followed:
            return []
        self._followed[name] = one = _Followed(None)
        return [self._ask(name, one)]

    def drop(self, name: str) -> list[Action]:
        """Follow one no more."""
        return [Up(Leave(name)), Forget(name)] if self._followed.pop(name, None) is not None else []

    def joined(self) -> list[Action]:
        """Connected to a source, the same one or another: what is half collected is not its."""
        out: list[Action] = []
        for name, one in sorted(self._followed.items()):
            self._drop_word(one)
            if one.stage is Stage.WRITING:
                one.behind = True
            else:
                out.append(self._ask(name, one))
        return out

    def hear(self, message: Downward, now: float) -> list[Action]:
        """The source said this."""
        one = self._followed.get(message.scope)
        if one is None:
            return []
        match message:
            case Told():
                return self._told(message.scope, one, message, now)
            case Unknown(_, for_ms):
                one.again = now + for_ms
            case Behind(scope, mark):
                return [Note("source behind", scope, f"holds {mark.version}, {one.mark and one.mark.version} here")]
        return []

    def stored(self, name: str, upto: Mark, ok: bool, now: float) -> list[Action]:
        """What `Persist` asked for is done, or failed: then nothing of it is there."""
        one = self._followed.get(name)
        if one is None or one.following is None or one.following.mark != upto:
            return []
        made, one.following, one.stage = one.following, None, Stage.RESTING
        behind, one.behind = one.behind, False
        if not ok:
            one.again = now + AGAIN_MS
            return [Note("not stored", name, ""), Up(Refused(name, upto, "it could not be made durable"))]
        before, one.held = one.held, made
        out: list[Action] = [Switch(name, upto, made.changed(before))]
        out.append(self._ask(name, one) if behind else Up(Taken(name, upto)))
        return out

    def confirm(self, name: str, mark: Mark) -> list[Action]:
        """Somebody says that this mark may take force, whatever it takes away."""
        one = self._followed.get(name)
        if one is None:
            return []
        one.confirmed = mark
        return [self._ask(name, one)] if one.stage is Stage.RESTING else []

    def turn(self, now: float) -> list[Action]:
        """Call every second or so: what failed, or was not known, is asked for again."""
        due = [(n, one) for n, one in self._followed.items() if one.again is not None and now >= one.again]
        return [self._ask(name, one) for name, one in due if one.stage is Stage.RESTING]

    def _ask(self, name: str, one: _Followed, whole: bool = False) -> Action:
        self._drop_word(one)
        one.again = None
        return Up(Ask(name, one.mark, whole))

    def _drop_word(self, one: _Followed) -> None:
        one.base, one.upto, one.entries, one.parts = None, None, [], 0

    def _told(self, name: str, one: _Followed, told: Told, now: float) -> list[Action]:
        if one.stage is Stage.WRITING:
            one.behind = True
            return []
        if self._older(one, told.upto):
            # The source was set back, or this is late. It learns what is held here.
            why = f"{told.upto.version}, {one.mark and one.mark.version} here"
            return [Note("older", name, why), self._ask(name, one)]
        if told.part == 0:
            self._drop_word(one)
            one.base, one.upto, one.floor = told.base, told.upto, told.floor
        elif not self._continues(one, told):
            return [Note("out of order", name, f"part {told.part} of {told.parts}"), self._ask(name, one)]
        one.entries += told.entries
        one.parts += 1
        if len(one.entries) > MOST_ENTRIES:
            self._drop_word(one)
            return [Note("too large", name, ""), Up(Refused(name, told.upto, f"over {MOST_ENTRIES} entries"))]
        if self.check is not None:
            self.check.part(name, told.entries, told.part == 0)
        if told.part + 1 < told.parts:
            return [Up(Got(name, told.upto, told.part))]
        return self._collected(name, one, told, now)

    def _older(self, one: _Followed, upto: Mark) -> bool:
        return one.mark is not None and upto.version <= one.mark.version

    def _continues(self, one: _Followed, told: Told) -> bool:
        return (one.base, one.upto, one.floor, one.parts) == (told.base, told.upto, told.floor, told.part)

    def _fits(self, one: _Followed, base: Mark | None) -> bool:
        return base is None or base == one.mark

    def _collected(self, name: str, one: _Followed, told: Told, now: float) -> list[Action]:
        """All parts are there."""
        entries = tuple(one.entries)
        self._drop_word(one)
        if not self._fits(one, told.base):
            return [Note("another base", name, ""), self._ask(name, one)]
        if told.base is None or one.held is None:
            made = Scope.of(told.upto, told.floor, entries)
        else:
            made = one.held.after(told.upto, entries)
        if made is None:
            if told.base is None:
                one.again = now + AGAIN_MS
                return [Note("wrong digest", name, "of the whole"), Up(Refused(name, told.upto, "wrong digest"))]
            return [Note("wrong digest", name, "of a change"), self._ask(name, one, whole=True)]
        if self.check is not None:
            refusal = self.check(name, one.held.content if one.held is not None else {}, made.content)
            if refusal is not None and not (refusal.held and told.upto == one.confirmed):
                return [Note("held" if refusal.held else "refused", name, refusal.why),
                        Up(Refused(name, told.upto, refusal.why))]  # fmt: skip
        one.stage, one.following = Stage.WRITING, made
        return [Persist(name, told.base, told.upto, told.floor, entries)]
