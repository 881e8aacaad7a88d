"""A writer, two relays and a node with disks and connections of their own, and what can happen to them."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterator, Mapping, Sequence
from typing import Any

from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.interface import (
    Accepted, Action, Ask, Declined, Down, Drop, Entries, Mark, Note, Outrun, Persist, Refusal, Refused, Session,
    Switch, Taken, Told, Up,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import Scope
from cloverhold.fleet.distribution.source import Source
from cloverhold.fleet.distribution.writer import Relay, Writer

SCOPE = "service/s"
ENDS = ("W", "R1", "R2", "N")
RELAYS = ("R1", "R2")
PART = 20  # bytes: two keys are two parts


class RefusesBad:
    def part(self, scope: str, entries: Entries, first: bool) -> None:
        pass

    def __call__(self, scope: str, before: Mapping[str, bytes], after: Mapping[str, bytes]) -> Refusal | None:
        return Refusal("bad: is there") if "bad" in after else None


class Disk:
    """What is durable of one end. Writes wait until they are let through, in order."""

    def __init__(self) -> None:
        self.past: list[tuple[Scope | None, int]] = [(None, 0)]  # with the epoch that the writer had made durable
        self.waiting: deque[Persist] = deque()
        self.fails = 0

    @property
    def scope(self) -> Scope | None:
        return self.past[-1][0]

    def write(self, persist: Persist, epoch: int) -> bool:
        if self.fails:
            self.fails -= 1
            return False
        old = self.scope
        if persist.base is None and old is not None and epoch == 0:
            old = None
        made = (
            Scope.of(persist.upto, persist.floor, persist.entries)
            if persist.base is None or old is None
            else old.after(persist.upto, persist.entries)
        )
        assert made is not None, "what is written is not what its mark says"
        self.past.append((made, epoch))
        return True


class Link:
    """One connection of a subscriber to a source."""

    def __init__(self, session: Session, source: str) -> None:
        self.session, self.source = session, source
        self.up: deque[Any] = deque()
        self.down: deque[Any] = deque()
        self.asked: Ask | None = None
        self.words = 0  # told, and not answered by anything
        self.told: Mark | None = None  # what the last word led to
        self.refused: Mark | None = None  # and was answered with, if it was, since the last Ask


class World:
    """step: lets something happen, and gives what was wrong."""

    def __init__(self) -> None:
        self.now = 0.0
        self.sessions = 0
        self.disks = {end: Disk() for end in ENDS}
        self.links: dict[str, Link] = {}
        self.history: dict[Mark, dict[str, bytes]] = {}
        self.parent: dict[Mark, Mark | None] = {}
        self.forced: dict[str, Mark | None] = dict.fromkeys(ENDS)
        self.wrong: list[str] = []
        self.values = 0
        self.accepted = self.declined = self.asked = 0
        self.heard: list[tuple[str, Any]] = []  # by the node and from it
        self.stale = False  # whether any of it was heard again
        self.core: dict[str, Any] = {}
        for end in ENDS:
            self._start(end)
        for end in ENDS[1:]:
            self._join(end, "W" if end in RELAYS else "R1")
            follower = self.core[end].follower if end in RELAYS else self.core[end]
            self._do(end, follower.follow([SCOPE]))
        self._change({"a": b"first"})
        self._flow()

    # ------------------------------------------------------------------------------------------------ what happens

    def step(self, fault: str) -> Iterator[str]:
        word, _, end = fault.partition(" ")
        match word:
            case "set":
                self.values += 1
                self._change({end: b"%d" % self.values})
            case "both":
                self.values += 1
                self._change({"a": b"%d" % self.values, "b": b"%d" % self.values})
            case "delete":
                self._change({end: None})
            case "flow":
                self._flow()
            case "one":
                for queue in self._queues():
                    if queue:
                        self._move(queue)
            case "send":
                for end in ENDS[1:]:
                    if self.links[end].down:
                        self._move(("down", end))
            case "cut":
                self._cut(end)
            case "kill":
                self._kill(end)
            case "old":
                disk = self.disks[end]
                if len(disk.past) > 1:
                    disk.past.pop()
                self.forced[end] = None
                self._kill(end)
            case "alone":  # the writer's disk is set back, and it reaches no relay when it starts
                disk = self.disks["W"]
                if len(disk.past) > 1:
                    disk.past.pop()
                self._kill("W", reaches=())
            case "stale":  # something that was heard long ago is heard again
                past = [message for kind, message in self.heard if kind == end]
                if past:
                    self.stale = True
                    queue = self.links["N"].down if end == "down" else self.links["N"].up
                    queue.insert(len(queue) // 2, past[len(past) // 2])
            case "full":
                self.disks[end].fails += 1
            case "wait":
                self._wait()
            case _:
                raise ValueError(fault)
        found, self.wrong = self.wrong, []
        yield from found

    def end(self) -> Iterator[str]:
        """Faults are over: all come to what the writer has, each request for a change was answered."""
        for disk in self.disks.values():
            disk.fails = 0
        for _ in range(8):
            self._flow()
            self._wait()
        self._flow()
        own = self.core["W"].held(SCOPE)
        for end in ENDS[1:]:
            held = self._held(end)
            bad = end == "N" and own is not None and "bad" in own.content
            idle = end in RELAYS and held is None and not self._source(end).followed(SCOPE)  # nobody asked it
            if not bad and not idle and own is not None and (held is None or held.mark != own.mark):
                self.wrong.append(
                    f"at last {end} holds {held and held.mark.version}, the writer {own and own.mark.version}"
                )
        if self.accepted + self.declined != self.asked:
            self.wrong.append(
                f"{self.asked} changes were asked for, {self.accepted} accepted, {self.declined} declined"
            )
        yield from self.wrong

    def state(self) -> Hashable:
        return tuple((self._held(e) and self._held(e).mark, len(self.disks[e].waiting)) for e in ENDS), tuple(
            (len(link.up), len(link.down), link.source) for _, link in sorted(self.links.items())
        )

    # ------------------------------------------------------------------------------------------------------- parts

    def _start(self, end: str, reaches: Sequence[str] = RELAYS) -> None:
        disk = self.disks[end]
        disk.waiting.clear()
        if end == "W":
            self.asked = self.accepted + self.declined  # those who wait for an answer see their connections break
            scope = disk.scope
            for relay in reaches:  # it follows them one after the other, and takes what is newer
                theirs = self._held(relay) if relay in self.core else None
                if theirs is not None and (scope is None or theirs.mark.version > scope.mark.version):
                    scope = theirs
            epoch = max(scope.mark.epoch if scope is not None else 0, disk.past[-1][1]) + 1
            disk.past.append((scope, epoch))
            held = {SCOPE: scope} if scope is not None else {}
            self.core[end] = core = Writer(held, epoch)
            core.source.part_bytes = PART
            return
        held = {SCOPE: disk.scope} if disk.scope is not None else {}
        if end in RELAYS:
            self.core[end] = core = Relay(held)
            core.source.part_bytes = PART
        else:
            self.core[end] = Follower(held, RefusesBad())

    def _source(self, end: str) -> Source:
        return self.core[end].source

    def _held(self, end: str) -> Any:
        core = self.core[end]
        return core.held(SCOPE) if end in ("W", "N") else core.follower.held(SCOPE)

    def _join(self, end: str, source: str) -> None:
        self.sessions += 1
        self.links[end] = Link(self.sessions, source)
        self._source(source).joined(self.sessions)
        core = self.core[end]
        self._do(end, core.follower.joined() if end in RELAYS else core.joined())

    def _cut(self, end: str) -> None:
        """The connection breaks, with all that is on it; a node goes to the other relay."""
        link = self.links.pop(end)
        self._source(link.source).left(link.session)
        self._join(end, link.source if end in RELAYS else RELAYS[link.source == RELAYS[0]])

    def _kill(self, end: str, reaches: Sequence[str] = RELAYS) -> None:
        behind = [e for e, link in self.links.items() if link.source == end]
        if end in self.links:
            link = self.links.pop(end)
            self._source(link.source).left(link.session)
        source = "W" if end in RELAYS else link.source if end == "N" else ""
        self._start(end, reaches)
        for other in behind:
            del self.links[other]
        if source:
            self._join(end, source)
        for other in behind:
            self._join(other, end if other in RELAYS else RELAYS[end == RELAYS[0]])
        if self._follows_nothing(end):
            core = self.core[end]
            self._do(end, (core.follower if end in RELAYS else core).follow([SCOPE]))

    def _follows_nothing(self, end: str) -> bool:
        return end != "W" and self.disks[end].scope is None

    def _change(self, values: dict[str, bytes | None]) -> None:
        self.asked += 1
        self._do("W", self.core["W"].change(SCOPE, values, self.asked))

    def _wait(self) -> None:
        self.now += 6_000.0
        for end in ENDS:
            self._do(end, self.core[end].turn(self.now))

    def _queues(self) -> list[tuple[str, str]]:
        found = [("disk", end) for end in ENDS if self.disks[end].waiting]
        for end, link in sorted(self.links.items()):
            found += [("up", end)] * bool(link.up) + [("down", end)] * bool(link.down)
        return found

    def _flow(self) -> None:
        for _ in range(400):
            queues = self._queues()
            if not queues:
                return
            for queue in queues:
                self._move(queue)
        self.wrong.append("it does not come to rest")

    def _move(self, queue: tuple[str, str]) -> None:
        kind, end = queue
        core = self.core[end]
        if kind == "disk":
            if not self.disks[end].waiting:
                return
            persist = self.disks[end].waiting.popleft()
            ok = self.disks[end].write(persist, core.epoch if end == "W" else 0)
            if ok and end == "W":
                scope = self.disks[end].scope
                assert scope is not None
                self.history[persist.upto] = scope.content
                self.parent.setdefault(persist.upto, persist.base)
            self._do(end, core.stored(SCOPE, persist.upto, ok, self.now))
            return
        link = self.links.get(end)
        if link is None or not (link.up if kind == "up" else link.down):
            return
        if kind == "down":
            message = link.down.popleft()
            if end == "N":
                self.heard.append(("down", message))
            self._do(end, core.heard(message, self.now) if end in RELAYS else core.hear(message, self.now))
            return
        message, to = link.up.popleft(), link.source
        if end == "N":
            self.heard.append(("up", message))
        if isinstance(message, Ask):
            link.asked = message
            link.refused = None
        if isinstance(message, Refused) and message.mark == link.told:
            link.refused = message.mark
        if isinstance(message, (Ask, Taken, Refused)):
            link.words = 0
        if isinstance(message, Outrun):
            self._do("W", self.core["W"].outrun(message))
        else:
            self._do(to, self.core[to].hear(link.session, message, self.now))

    def _do(self, end: str, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Persist():
                    self.disks[end].waiting.append(action)
                case Up(message):
                    if end in self.links:
                        self._said(end, message)
                        self.links[end].up.append(message)
                case Down(session, message):
                    for link in self.links.values():
                        if link.session == session:
                            if isinstance(message, Told):
                                self._counted(end, link, message)
                            link.down.append(message)
                case Outrun():
                    if end in self.links:
                        self.links[end].up.append(action)
                case Drop(session):
                    for other, link in list(self.links.items()):
                        if link.session == session:
                            self._cut(other)
                case Switch(_, mark):
                    self._switched(end, mark)
                case Accepted(_, mark):
                    self.accepted += 1
                    if self.disks["W"].scope is None or self.disks["W"].scope.mark != mark:
                        self.wrong.append(f"accepted before it was durable: {mark.version}")
                case Declined():
                    self.declined += 1
                case Note("wrong digest"):
                    self._misled(end)
                case Note("another base") if not self.stale:
                    self.wrong.append(f"{end} was told from a mark that it does not hold")

    # ------------------------------------------------------------------------------------------------------ checks

    def _switched(self, end: str, mark: Mark) -> None:
        scope, before = self.disks[end].scope, self.forced[end]
        if scope is None or scope.mark != mark:
            self.wrong.append(f"{end} switched to {mark.version} before it was durable")
        if before is not None and mark.version <= before.version:
            self.wrong.append(f"{end} went from {before.version} to {mark.version}")
        self.forced[end] = mark
        held = self._held(end)
        if held is None or held.mark != mark or held.content != self.history.get(mark):
            self.wrong.append(f"{end} has in force what the writer never had at {mark.version}")

    def _said(self, end: str, message: object) -> None:
        if isinstance(message, Taken):
            scope = self.disks[end].scope
            if scope is None or scope.mark != message.mark:
                self.wrong.append(f"{end} acknowledged {message.mark.version} and does not have it durably")

    def _counted(self, end: str, link: Link, told: Told) -> None:
        """Nobody sends the whole where a change would do, a second word behind an open one, or what was refused."""
        if told.part == 0 and told.upto == link.refused:
            self.wrong.append(f"{end} told {told.upto.version} again, which was refused")
        link.words, link.told = link.words + (told.part == 0), told.upto
        if link.words > 1:
            self.wrong.append(f"{end} told another word before the first was answered")
        if told.base is not None or told.part > 0:
            return
        source, ask = self._held(end), link.asked
        if ask is None or ask.mark is None or ask.mark.number < source.floor:
            return
        if self._descends(told.upto, ask.mark):
            self.wrong.append(f"{end} sent the whole to one that has {ask.mark.version}, an ancestor")

    def _misled(self, end: str) -> None:
        """A change that does not fit may come of a history that forked, and of nothing else."""
        held, source = self._held(end), self._held(self.links[end].source)
        if held is not None and source is not None and self._descends(source.mark, held.mark):
            self.wrong.append(f"{end} was told a change that does not lead on from {held.mark.version}")

    def _descends(self, mark: Mark | None, ancestor: Mark) -> bool:
        while mark is not None and mark != ancestor:
            mark = self.parent.get(mark)
        return mark is not None
