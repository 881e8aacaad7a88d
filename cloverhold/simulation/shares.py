"""Membership in a simulated fleet: a real member beside each module, on the same timeline; its view deals shares."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from cloverhold.decision import interface as io
from cloverhold.simulation.days import Day
from cloverhold.simulation.members import Fleet
from cloverhold.simulation.network import Network
from cloverhold.simulation.nodes import Node
from cloverhold.simulation.timeline import Timeline

LOOK_MS = 100.0  # between two looks at a view, as the node's shell does


class Shares:
    """Who lives, as each node sees it, told to its module."""

    def __init__(self, timeline: Timeline, day: Day, nodes: Sequence[Node]) -> None:
        self.day, self.nodes, self.timeline = day, nodes, timeline
        zones = [node.zone for node in nodes]

        def cut(sender: int, to: int, now: float) -> bool:
            """What parts a zone from the others parts its nodes from them too."""
            apart = (c for c in day.cuts if c.lasts(now / 1000))
            return any((zones[sender] == c.zone) != (zones[to] == c.zone) for c in apart)

        self.members = Fleet(len(nodes), day.seed, network=Network(cut=cut), wire=False, timeline=timeline)
        self.told: dict[int, tuple[int, tuple[int, ...] | None]] = {}  # by node: its life, and the view it goes by

    def begin(self) -> None:
        for node in self.nodes:
            self.started(node)
        self.timeline.after(LOOK_MS, self._look)

    def started(self, node: Node) -> None:
        """A process began."""
        self.members.start([node.number], 1.0)

    def ended(self, node: Node) -> None:
        """A process was killed."""
        if node.number in self.members.running:
            self.members.kill([node.number])

    def left(self, node: Node) -> None:
        """A process was told to stop."""
        if node.number in self.members.running:
            self.members.leave(node.number)

    def _look(self) -> None:
        for node in self.nodes:
            process = self.members.running.get(node.number)
            if node.module is None or process is None or not process.up:
                continue
            view, before = self.members.view(node.number), self.told.get(node.number, (-1, None))
            if before != (node.lives, view) and (view is not None or before[1] is not None):
                self.told[node.number] = node.lives, view
                settings = self.day.settings(node.number)
                if view is not None:
                    settings = replace(settings, nodes=len(view), living=view, numbers=len(self.nodes))
                node.give(io.NewSettings(settings))
        self.timeline.after(LOOK_MS, self._look)
