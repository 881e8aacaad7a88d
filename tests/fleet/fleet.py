"""Forty nodes of the decision module in one simulated time, before what the tests make of servers and discovery."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from helpers import Node

from cloverhold import Action, Cancel, Probe, Send, Settings, Status, Watch

NODES, SERVERS = 40, 60
TICK_MS = 5.0

Verdict = tuple[Status, float]  # how an attempt ends, and after how many ms; math.inf: never by itself


class Fleet:
    """Nodes with seeds and numbers of their own. `answers(server, now, draw)` says how an attempt there fares."""

    def __init__(
        self, settings: Callable[[int], Settings], answers: Callable[[str, float, Random], Verdict], nodes: int = NODES
    ) -> None:
        self.nodes = [Node(settings=settings(me), servers=0, seed=me) for me in range(nodes)]
        self.answers, self.chance = answers, Random(1)
        self.now = self.began = self.nodes[0].now
        self.asked: list[tuple[float, int]] = []  # calls of discovery: when, by which node
        self.sent: list[tuple[float, int, str, str]] = []  # when, by which node, where, which class
        self.ends: list[tuple[float, int, int, int, Status]] = []
        self.refs = 0
        self.seen = [0] * nodes
        self.kinds: dict[int, str] = {}

    def request(self, me: int, kind: str, expires: float = 400.0) -> int:
        """A request comes to a node."""
        self.refs += 1
        self.kinds[self.refs] = kind
        self.nodes[me].request(self.refs, kind, expires, settle=False)
        return self.refs

    def run(self, ms: float, each: Callable[[], None] = lambda: None) -> None:
        """Let time pass for all; `each` is called at every tick."""
        end = self.now + ms
        while self.now < end:
            self.now += TICK_MS
            for node in self.nodes:
                node.run(self.now - node.now)
            each()
            due = [item for item in self.ends if item[0] <= self.now]
            self.ends = [item for item in self.ends if item[0] > self.now]
            for _, me, ref, attempt, status in due:
                if self.nodes[me].sends[ref][attempt]["status"] is None:
                    self.nodes[me].outcome(ref, status, attempt)
            for me, node in enumerate(self.nodes):
                for action in node.actions[self.seen[me] :]:
                    self._act(me, node, action)
                self.seen[me] = len(node.actions)

    def _act(self, me: int, node: Node, action: Action) -> None:
        match action:
            case Watch(on=True):
                self.asked.append((self.now, me))
            case Send(id=ref, server=server):
                self.sent.append((self.now, me, server, self.kinds[ref]))
                status, after = self.answers(server, self.now, self.chance)
                self.ends.append((self.now + after, me, ref, len(node.sends[ref]) - 1, status))
            case Cancel(id=ref, attempt=attempt):
                node.outcome(ref, Status.CANCELLED, attempt)
            case Probe(server=server):
                node.reply(server, self.chance.randint(0, 2))

    def last_tries(self, server: str) -> Counter[int]:
        """How many sends each node made to a server."""
        return Counter(me for _, me, name, _ in self.sent if name == server)
