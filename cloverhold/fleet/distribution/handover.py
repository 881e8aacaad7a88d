"""How a service passes from the nodes that it was dealt to before to those that it is dealt to now. Pure.

Requests are led to the nodes that are shown: those that have the service's scope, durable and in force. A node gives it
up only when another has it in its place, so there is never a service without a ready node while one of its ready nodes
lives. A node that has died or lost its memory is not shown from the moment that this is told.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum


class Stage(Enum):
    """What a node is to a service.

    | stage   | DEALT   | UNDEALT | READY   | FORGOT  | DIED | REPLACED |
    | ------- | ------- | ------- | ------- | ------- | ---- | -------- |
    | NONE    | COMING  |         |         |         |      |          |
    | COMING  |         | NONE    | HOLDING |         | NONE |          |
    | HOLDING |         | LEAVING |         | COMING  | NONE |          |
    | LEAVING | HOLDING |         |         | NONE    | NONE | NONE     |

    COMING and HOLDING are dealt to, HOLDING and LEAVING are shown.
    """

    NONE = "none"
    COMING = "coming"
    HOLDING = "holding"
    LEAVING = "leaving"


class Turn(Enum):
    """What changes a stage."""

    DEALT = "the service is dealt to the node"
    UNDEALT = "it is dealt to it no more"
    READY = "it acknowledged the service's scope"
    FORGOT = "it started with nothing"
    DIED = "it died, or left"
    REPLACED = "as many are shown without it as the service is dealt to"


STAGES: dict[tuple[Stage, Turn], Stage] = {
    (Stage.NONE, Turn.DEALT): Stage.COMING,
    (Stage.COMING, Turn.UNDEALT): Stage.NONE,
    (Stage.COMING, Turn.READY): Stage.HOLDING,
    (Stage.COMING, Turn.DIED): Stage.NONE,
    (Stage.HOLDING, Turn.UNDEALT): Stage.LEAVING,
    (Stage.HOLDING, Turn.FORGOT): Stage.COMING,
    (Stage.HOLDING, Turn.DIED): Stage.NONE,
    (Stage.LEAVING, Turn.DEALT): Stage.HOLDING,
    (Stage.LEAVING, Turn.FORGOT): Stage.NONE,
    (Stage.LEAVING, Turn.DIED): Stage.NONE,
    (Stage.LEAVING, Turn.REPLACED): Stage.NONE,
}
SHOWN = (Stage.HOLDING, Stage.LEAVING)
DEALT = (Stage.COMING, Stage.HOLDING)


@dataclass(frozen=True, slots=True)
class Prepare:
    """Have the node follow the service's scope."""

    service: str
    number: int


@dataclass(frozen=True, slots=True)
class Show:
    """Lead requests of the service to these nodes from now on."""

    service: str
    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Release:
    """Have the node follow the scope no more, once it has no open request of the service. After `Show` without it."""

    service: str
    number: int


Action = Prepare | Show | Release


class Handover:
    """All services' stages, at the place that deals them."""

    def __init__(self) -> None:
        self._stages: dict[str, dict[int, Stage]] = {}
        self._of: dict[int, set[str]] = {}  # by node, the services of which it is something

    def stage(self, service: str, number: int) -> Stage:
        """What a node is to a service."""
        return self._stages.get(service, {}).get(number, Stage.NONE)

    def shown(self, service: str) -> tuple[int, ...]:
        """The nodes that requests are led to."""
        stages = self._stages.get(service, {})
        return tuple(sorted(number for number, stage in stages.items() if stage in SHOWN))

    def dealt(self, service: str, numbers: Collection[int]) -> list[Action]:
        """The service is dealt to these nodes from now on."""
        stages = self._stages.get(service, {})
        turns = [(number, Turn.DEALT) for number in numbers if stages.get(number, Stage.NONE) not in DEALT]
        turns += [(n, Turn.UNDEALT) for n, stage in stages.items() if stage in DEALT and n not in numbers]
        return self._turned(service, turns)

    def ready(self, service: str, number: int) -> list[Action]:
        """A node acknowledged the scope. It may come late, or again."""
        return self._turned(service, [(number, Turn.READY)])

    def forgot(self, number: int, kept: Collection[str] = ()) -> list[Action]:
        """A node has started, and has the scopes of `kept` alone."""
        out: list[Action] = []
        for service in sorted(self._of.get(number, set()) - set(kept)):
            out += self._turned(service, [(number, Turn.FORGOT)])
            if self.stage(service, number) is Stage.COMING:
                out.append(Prepare(service, number))
        return out

    def died(self, number: int) -> list[Action]:
        """A node died, or left. Whoever deals does so anew without it."""
        out: list[Action] = []
        for service in sorted(self._of.get(number, ())):
            out += self._turned(service, [(number, Turn.DIED)])
        return out

    def _turned(self, service: str, turns: Iterable[tuple[int, Turn]]) -> list[Action]:
        """Actions in the order in which they must be carried out: nobody is released before others are shown."""
        before = self.shown(service)
        prepared, released = [], []
        for number, turn in turns:
            was = self.stage(service, number)
            now = self._set(service, number, turn)
            if now is Stage.COMING and was is Stage.NONE:
                prepared.append(number)
            elif now is Stage.NONE and was is not Stage.NONE and turn is not Turn.DIED:
                released.append(number)
        stages = self._stages.get(service, {})
        coming = sum(stage is Stage.COMING for stage in stages.values())
        leaving = sorted(number for number, stage in stages.items() if stage is Stage.LEAVING)
        for number in self._released(service, leaving, coming):
            self._set(service, number, Turn.REPLACED)
            released.append(number)
        out: list[Action] = [Prepare(service, number) for number in prepared]
        if (after := self.shown(service)) != before:
            out.append(Show(service, after))
        return out + [Release(service, number) for number in released]

    def _released(self, service: str, leaving: list[int], coming: int) -> list[int]:
        """Who may go: one stays for each that is still coming, and the last one that is shown stays in any case."""
        spare = max(0, len(leaving) - coming)
        if len(leaving) == len(self.shown(service)):
            spare = min(spare, len(leaving) - 1)
        return leaving[:spare]

    def _set(self, service: str, number: int, turn: Turn) -> Stage:
        stages = self._stages.setdefault(service, {})
        was = stages.get(number, Stage.NONE)
        now = STAGES.get((was, turn), was)
        if now is Stage.NONE:
            stages.pop(number, None)
            self._of.get(number, set()).discard(service)
        else:
            stages[number] = now
            self._of.setdefault(number, set()).add(service)
        if not stages:
            self._stages.pop(service, None)
        return now
