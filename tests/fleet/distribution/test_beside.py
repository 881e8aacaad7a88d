"""Discovery and configuration say different things of the same servers: who gets new work, in every order."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from cloverhold.decision.interface import Lifecycle, ServerEntry
from cloverhold.fleet.distribution.beside import Beside
from cloverhold.fleet.distribution.interface import Entry, Mark
from cloverhold.fleet.distribution.resources import Server, write
from cloverhold.fleet.distribution.scope import Scope, digest_of
from cloverhold.net.discovery.server_list import Members
from tests.explore import Explored, Play, explore

SERVERS = ("a", "b")
MENU = [f"{what} {server}" for server in SERVERS for what in (
    "found", "drains", "lost", "named", "leaving", "deleted", "unnamed",
)] + ["changes", "again"]  # fmt: skip


class World:
    """What discovery and configuration say, what each said last of a server, and the list as the node has taken it."""

    def __init__(self, core: type[Beside] = Beside) -> None:
        self.kind = core
        self.core = core("service/x")
        self.listed = dict.fromkeys(SERVERS, Lifecycle.READY)
        self.content: dict[str, bytes] = {}
        self.scope = Scope.begun(1)
        self.out: set[str] = set()  # by configuration: leaving, or deleted since it was named last
        self.node: dict[str, Lifecycle] = {}
        self.version = 0
        self.take(self.core.discovery(self.members()))

    def members(self, *, full: bool = True, only: str | None = None) -> Members:
        self.version += 1
        entries = tuple(
            ServerEntry(uid, lifecycle=state) for uid, state in self.listed.items()
            if (state is not Lifecycle.GONE or not full) and only in (None, uid)
        )  # fmt: skip
        return Members(self.version, full, entries, {entry.server: ("h", 1) for entry in entries})

    def take(self, members: Members | None) -> None:
        if members is None:
            return
        assert members.addresses.keys() == {entry.server for entry in members.entries}
        if members.full:
            self.node = {}
        for entry in members.entries:
            if entry.lifecycle is Lifecycle.GONE:
                self.node.pop(entry.server, None)
            else:
                self.node[entry.server] = entry.lifecycle

    def configure(self, uid: str, value: bytes | None) -> None:
        content = {k: v for k, v in {**self.scope.content, f"server/{uid}": value}.items() if v is not None}
        number = self.scope.mark.number + 1
        scope = self.scope.after(Mark(1, number, digest_of(content)), [Entry(f"server/{uid}", number, value)])
        assert scope is not None
        self.scope = scope
        self.take(self.core.configuration(scope))

    def step(self, fault: str) -> Iterator[str]:
        word, _, uid = fault.partition(" ")
        match word:
            case "found" | "drains" | "lost":
                states = {"found": Lifecycle.READY, "drains": Lifecycle.DRAINING, "lost": Lifecycle.GONE}
                self.listed[uid] = states[word]
                self.take(self.core.discovery(self.members(full=False, only=uid)))
            case "named" | "leaving":
                state = "active" if word == "named" else "leaving"
                self.configure(uid, write(Server(f"{uid}:1", state=state)))  # type: ignore[arg-type]
                (self.out.discard if word == "named" else self.out.add)(uid)
            case "deleted":
                if f"server/{uid}" in self.scope.content:
                    self.configure(uid, None)
                    self.out.add(uid)
            case "unnamed":  # the deletion itself is forgotten: it was long ago
                self.scope.deleted.pop(f"server/{uid}", None)
                self.take(self.core.configuration(self.scope))
                if self.listed[uid] is Lifecycle.GONE and f"server/{uid}" not in self.scope.content:
                    self.out.discard(uid)
            case "changes":
                self.take(self.core.discovery(self.members()))
            case "again":  # the node starts anew, from what is durable
                self.core = self.kind("service/x")
                self.core.configuration(self.scope)
                self.node = {}
                self.take(self.core.discovery(self.members()))
                self.out &= {k.removeprefix("server/") for k in (*self.scope.deleted, *self.scope.content)}
        yield from self.wrong()

    def wrong(self) -> Iterator[str]:
        for uid, state in self.listed.items():
            seen = self.node.get(uid, Lifecycle.GONE)
            if state is not Lifecycle.READY and seen is not state:
                yield f"{uid} is {seen}, and discovery says {state}"
            if uid in self.out and seen is Lifecycle.READY:
                yield f"{uid} is ready, and was taken out"
            if uid not in self.out and state is Lifecycle.READY and seen is not Lifecycle.READY:
                yield f"{uid} is {seen}, and nobody says so"

    def end(self) -> Iterator[str]:
        yield from ()


def explored(core: type[Beside], length: int) -> Explored:
    play = Play(
        lambda: World(core),
        lambda world, fault: world.step(fault),
        lambda world: world.end(),
        lambda world: (tuple(world.node.items()), tuple(world.listed.items()), frozenset(world.out)),
    )
    return explore(play, *[MENU] * length)


def test_no_order_brings_back_a_server_that_either_took_out() -> None:
    found = explored(Beside, 4)
    assert found.found == [] and found.schedules == len(MENU) ** 4


class ForgetsDeletions(Beside):
    """Only what is there is looked at."""

    def _out(self, scope: Scope | None) -> frozenset[str]:
        bare = Scope(scope.mark, scope.content, scope.numbers, {}, 0) if scope is not None else None
        self.taken_out = frozenset()
        return super()._out(bare)


class ForgetsWhatDiscoverySaid(Beside):
    """Changes of discovery are passed on and not kept."""

    def discovery(self, members: Members) -> Members:
        held = self._members
        out = super().discovery(members)
        if held is not None and not members.full:
            self._members = held
        return out


class PassesDiscoveryOn(Beside):
    """What discovery says anew is taken as it stands."""

    def discovery(self, members: Members) -> Members:
        super().discovery(members)
        return members


class ConfigurationBringsBack(Beside):
    """A server that configuration names as active is ready."""

    def _seen(self, entry: ServerEntry) -> ServerEntry:
        seen = super()._seen(entry)
        return seen if entry.server in self.taken_out else ServerEntry(entry.server)


class KeepsOutForGood(Beside):
    """What was taken out once stays out."""

    def _out(self, scope: Scope | None) -> frozenset[str]:
        return super()._out(scope) | self.taken_out


@pytest.mark.parametrize(
    "fault", [ForgetsDeletions, ForgetsWhatDiscoverySaid, PassesDiscoveryOn, ConfigurationBringsBack, KeepsOutForGood]
)
def test_planted_fault_is_found(fault: type[Beside]) -> None:
    assert explored(fault, 3).found


def test_configuration_before_any_list_changes_nothing_and_counts_from_the_first() -> None:
    core = Beside("service/x")
    content = {"server/a": write(Server("a:1", state="leaving"))}
    scope = Scope.of(Mark(1, 1, digest_of(content)), 0, [Entry("server/a", 1, content["server/a"])])
    assert core.configuration(None) is None and core.configuration(scope) is None
    members = Members(1, True, (ServerEntry("a"), ServerEntry("b")), {"a": ("h", 1), "b": ("h", 2)})
    told = core.discovery(members)
    assert [entry.lifecycle for entry in told.entries] == [Lifecycle.DRAINING, Lifecycle.READY]
    assert core.configuration(scope) is None
