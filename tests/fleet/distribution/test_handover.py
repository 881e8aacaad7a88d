"""A service passes between nodes: every order of what can happen, up to a bound, and mistakes that this finds."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from cloverhold.fleet.distribution.handover import (
    SHOWN, STAGES, Action, Handover, Prepare, Release, Show, Stage, Turn,
)  # fmt: skip
from tests.explore import Explored, Play, explore

MENU = [
    "deal 01", "deal 12", "deal 2", "deal", "ready 0", "ready 1", "ready 2", "forgot 0", "forgot 1", "died 0", "died 1",
]  # fmt: skip


class World:
    """One service, three nodes that do what they are asked, and what requests would meet."""

    def __init__(self, core: type[Handover]) -> None:
        self.core = core()
        self.follows: set[int] = set()
        self.has: set[int] = set()  # acknowledged, and not forgotten
        self.shown: tuple[int, ...] = ()
        self.dealt: set[int] = set()

    def done(self, actions: list[Action]) -> Iterator[str]:
        for action in actions:
            match action:
                case Prepare(_, number):
                    self.follows.add(number)
                case Show(_, numbers):
                    self.shown = numbers
                    if set(numbers) - self.has:
                        yield f"shown without the scope: {set(numbers) - self.has}"
                case Release(_, number):
                    if number in self.shown:
                        yield f"{number} was released while it is shown"
                    self.follows.discard(number)
                    self.has.discard(number)

    def step(self, fault: str) -> Iterator[str]:
        word, _, rest = fault.partition(" ")
        ready_before = set(self.shown) & self.has
        if word == "deal":
            self.dealt = {int(digit) for digit in rest}
            yield from self.done(self.core.dealt("s", self.dealt))
        elif word == "ready":
            if int(rest) in self.follows:
                self.has.add(int(rest))
                yield from self.done(self.core.ready("s", int(rest)))
        else:
            number = int(rest)
            ready_before.discard(number)
            self.has.discard(number)
            if word == "died":
                self.follows.discard(number)
                self.dealt.discard(number)
                yield from self.done(self.core.died(number))
            else:
                yield from self.done(self.core.forgot(number))
        if set(self.shown) - self.has:
            yield f"shown without the scope: {set(self.shown) - self.has}"
        if ready_before and not self.shown:
            yield "no ready node, and there was one"
        if min(len(self.dealt), len(ready_before)) > len(self.shown):
            yield "fewer are shown than were ready and are wanted"
        if self.dealt - self.follows:
            yield f"dealt to and not told: {self.dealt - self.follows}"

    def end(self) -> Iterator[str]:
        """All that are dealt to become ready: these alone are left."""
        for number in sorted(self.dealt):
            yield from self.step(f"ready {number}")
        if self.dealt and set(self.shown) != self.dealt:
            yield f"shown at last: {self.shown}, dealt to: {self.dealt}"
        if self.dealt and self.follows != self.dealt:
            yield f"follow at last: {self.follows}, dealt to: {self.dealt}"


def played(core: type[Handover], length: int) -> Explored:
    play = Play(
        lambda: World(core),
        lambda world, fault: world.step(fault),
        lambda world: world.end(),
        lambda world: (world.shown, frozenset(world.follows), frozenset(world.has), frozenset(world.dealt)),
    )
    return explore(play, ["deal 01"], *[MENU] * length)


def test_no_order_leaves_a_service_without_a_ready_node() -> None:
    found = played(Handover, 4)
    assert found.found == []
    assert found.schedules == len(MENU) ** 4 and len(found.states) == 28  # as many as with five


class ReleasesAtOnce(Handover):
    """Who is dealt to no more goes, whoever has come."""

    def _released(self, service: str, leaving: list[int], coming: int) -> list[int]:
        return leaving


class ReleasesTheLast(Handover):
    """One goes for each that is not coming any more, the last one too."""

    def _released(self, service: str, leaving: list[int], coming: int) -> list[int]:
        return leaving[: max(0, len(leaving) - coming)]


class NeverReleases(Handover):
    """Who was dealt to once stays."""

    def _released(self, service: str, leaving: list[int], coming: int) -> list[int]:
        return []


class ShowsWhoForgot(Handover):
    """A node that started with nothing is taken for ready still."""

    def forgot(self, number: int, kept: object = ()) -> list[Action]:
        return []


class ForgetsToPrepareAgain(Handover):
    """Who died and is dealt to anew is taken for told."""

    def _turned(self, service: str, turns: object) -> list[Action]:
        told = getattr(self, "told", set())
        out = [a for a in super()._turned(service, turns) if not (isinstance(a, Prepare) and a.number in told)]  # type: ignore[arg-type]
        self.told = told | {a.number for a in out if isinstance(a, Prepare)}
        return out


@pytest.mark.parametrize(
    "fault", [ReleasesAtOnce, ReleasesTheLast, NeverReleases, ShowsWhoForgot, ForgetsToPrepareAgain]
)
def test_planted_fault_is_found(fault: type[Handover]) -> None:
    assert played(fault, 3).found


def test_the_table_of_the_docstring_is_the_one_that_is_used() -> None:
    lines = [line.split("|")[1:-1] for line in (Stage.__doc__ or "").splitlines() if line.strip().startswith("|")]
    turns = [Turn[cell.strip()] for cell in lines[0][1:]]
    told = {
        (Stage[line[0].strip()], turn): Stage[cell.strip()]
        for line in lines[2:]
        for turn, cell in zip(turns, line[1:], strict=True)
        if cell.strip()
    }
    assert told == STAGES
    assert {was for was, turn in STAGES if turn is Turn.REPLACED} == {Stage.LEAVING}
    assert set(SHOWN) == {Stage.HOLDING, Stage.LEAVING}


def test_a_node_that_starts_with_its_memory_goes_on() -> None:
    core = Handover()
    core.dealt("a", [1, 2])
    core.dealt("b", [1])
    for service in "ab":
        core.ready(service, 1)
    assert core.forgot(1, kept=["a"]) == [Show("b", ()), Prepare("b", 1)]
    assert core.shown("a") == (1,)
    assert core.died(7) == [] and core.ready("c", 1) == []
