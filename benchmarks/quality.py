"""How well requests are placed at size, in simulated time: the real module beside textbook policies.

    python benchmarks/quality.py [--servers 10,100,1000] [--nodes 1,10] [--loads 0.5,0.7,0.9] [--d 1,2,5] [--late 0]

The paper's world: servers alike, one request at a time each, service times exponential with a mean of 1 (100 ms to
the module), Poisson arrivals to a random node. `idle` is the part of the requests that met an idle server, `time` the
mean time to an answer in service times. The module has its own limits out of the way (aims of minutes). `--late`:
servers report what they held up to so many service times ago. JSQ(d) asks d servers for each request; JIQ: a server
that falls idle tells a random node. Below load 1 - 1/d the paper's one dispatcher with memory meets an idle server for
every request as servers grow without bound (Anselmi and Dufour, Theorems 2 and 3).
"""

from __future__ import annotations

import argparse
import heapq
from collections import deque
from dataclasses import dataclass, field
from random import Random

from cloverhold import (Balancer, ClassSettings, ListKind, LoadReport, Outcome, Probe, ProbeReply, Refuse, Repeat,
                        Request, Send, ServerEntry, ServerList, Settings, SetTimer, Status, Timer)  # fmt: skip

SERVICE_MS = 100.0
AIM_MS = 3e6


@dataclass
class Fleet:
    """Servers, each with the requests that it holds: the time each came and who is told of its end."""

    random: Random
    count: int
    late_ms: float
    now: float = 0.0
    held: list[deque[tuple[float, int]]] = field(default_factory=list)
    reported: list[tuple[float, int]] = field(default_factory=list)
    queue: list[tuple[float, int, str, tuple[int, ...]]] = field(default_factory=list)
    sequence: int = 0
    answered: int = 0
    idle: int = 0
    total_ms: float = 0.0
    messages: int = 0

    def __post_init__(self) -> None:
        self.held = [deque() for _ in range(self.count)]
        self.reported = [(-self.random.random() * self.late_ms, 0) for _ in range(self.count)]

    def later(self, ms: float, what: str, *values: int) -> None:
        """Something happens after so many ms."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + ms, self.sequence, what, values))

    def place(self, server: int, ref: int) -> None:
        """A request goes to a server."""
        self.idle += not self.held[server]
        self.held[server].append((self.now, ref))
        if len(self.held[server]) == 1:
            self.later(self.random.expovariate(1 / SERVICE_MS), "end", server)

    def end(self, server: int) -> int:
        """The request at work there is done; its number."""
        came, ref = self.held[server].popleft()
        self.answered += 1
        self.total_ms += self.now - came
        if self.held[server]:
            self.later(self.random.expovariate(1 / SERVICE_MS), "end", server)
        return ref

    def report(self, server: int) -> int:
        """What a probe of a server is told."""
        self.messages += 1
        at, figure = self.reported[server]
        if self.now - at >= self.late_ms:
            figure = len(self.held[server])
            self.reported[server] = (self.now, figure)
        return figure


class Module:
    """The real module, one for each node."""

    def __init__(self, fleet: Fleet, nodes: int, d: int) -> None:
        self.fleet = fleet
        kind = ClassSettings("any", AIM_MS, 2 * AIM_MS, Repeat.SAFE)
        settings = Settings((kind,), nodes=nodes, probe_price=0.01 / d if d > 1 else 0.01)
        self.nodes = [Balancer(settings, seed) for seed in range(nodes)]
        assert self.nodes[0].table.d == d
        self.sent: dict[int, tuple[int, int, float]] = {}
        entries = tuple(ServerEntry(str(n)) for n in range(fleet.count))
        for at, node in enumerate(self.nodes):
            node.learned.factor["any"] = (SERVICE_MS / (AIM_MS / 8), 10**6)  # as a node knows it after a while
            node.learned.mix = SERVICE_MS
            self.give(at, ServerList(ListKind.FULL, entries))

    def arrive(self, node: int, ref: int) -> None:
        self.give(node, Request(ref, "any", 2 * AIM_MS))

    def ended(self, ref: int, server: int) -> None:
        node, _, at = self.sent.pop(ref)
        self.give(node, Outcome(ref, 0, str(server), Status.OK, self.fleet.now - at, True))

    def rang(self, node: int, token: int) -> None:
        self.give(node, Timer(token))

    def give(self, at: int, event: object) -> None:
        events = deque([event])
        while events:
            for action in self.nodes[at].handle(self.fleet.now, events.popleft()):  # type: ignore[arg-type]
                match action:
                    case Send(id=ref, server=name):
                        self.sent[ref] = (at, int(name), self.fleet.now)
                        self.fleet.place(int(name), ref)
                    case Probe(server=name):
                        load = LoadReport(inflight=self.fleet.report(int(name)))
                        events.append(ProbeReply(name, Status.OK, 0.1, load))
                    case SetTimer(delay_ms=ms, token=token):
                        self.fleet.later(ms, "ring", at, token)
                    case Refuse():
                        raise RuntimeError("refused: this world has no limits")


class Textbook:
    """Random, JSQ(d) and join-idle-queue."""

    def __init__(self, fleet: Fleet, nodes: int, d: int, name: str) -> None:
        self.fleet, self.d, self.name = fleet, d, name
        self.known: list[list[int]] = [[] for _ in range(nodes)]  # idle servers, as nodes were told
        for server in range(fleet.count):
            self.known[server % nodes].append(server)

    def arrive(self, node: int, ref: int) -> None:
        random, fleet = self.fleet.random, self.fleet
        if self.name == "jsq":
            asked = random.sample(range(fleet.count), min(self.d, fleet.count))
            figures = [(fleet.report(s), random.random(), s) for s in asked]
            fleet.place(min(figures)[2], ref)
        elif self.name == "jiq" and self.known[node]:
            known = self.known[node]
            at = random.randrange(len(known))
            known[at], known[-1] = known[-1], known[at]
            fleet.place(known.pop(), ref)
        else:
            fleet.place(random.randrange(fleet.count), ref)

    def ended(self, ref: int, server: int) -> None:
        if self.name == "jiq" and not self.fleet.held[server]:
            self.fleet.messages += 1
            self.fleet.random.choice(self.known).append(server)

    def rang(self, node: int, token: int) -> None:
        raise NotImplementedError


def play(policy: Module | Textbook, fleet: Fleet, nodes: int, load: float, requests: int) -> tuple[float, float, float]:
    """Part that met an idle server, mean time in services, messages a request; after a quarter to settle."""
    apart = SERVICE_MS / (load * fleet.count)
    fleet.later(0.0, "arrive", 0)
    while fleet.queue:
        fleet.now, _, what, values = heapq.heappop(fleet.queue)
        if what == "arrive":
            ref = values[0]
            if ref == requests // 4:
                fleet.idle = fleet.messages = fleet.answered = 0
                fleet.total_ms = 0.0
            if ref == requests:
                break
            policy.arrive(fleet.random.randrange(nodes), ref)
            fleet.later(fleet.random.expovariate(1 / apart), "arrive", ref + 1)
        elif what == "end":
            policy.ended(fleet.end(values[0]), values[0])
        else:
            policy.rang(*values)
    placed = requests - requests // 4
    return fleet.idle / placed, fleet.total_ms / max(1, fleet.answered) / SERVICE_MS, fleet.messages / placed


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--servers", default="10,100,1000")
    parser.add_argument("--nodes", default="1")
    parser.add_argument("--loads", default="0.5,0.7,0.9")
    parser.add_argument("--d", default="1,2,5")
    parser.add_argument("--late", type=float, default=0.0)
    parser.add_argument("--requests", type=int, default=20000, help="at least; 20 for each server")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print("| servers | nodes | load | policy | met an idle server | time in services | messages a request |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for servers in map(int, options.servers.split(",")):
        for nodes in map(int, options.nodes.split(",")):
            for load in map(float, options.loads.split(",")):
                many = [int(d) for d in options.d.split(",")]
                policies = [("random", 0), ("jiq", 0), *(("jsq", d) for d in many), *(("module", d) for d in many)]
                for name, d in policies:
                    fleet = Fleet(Random(options.seed), servers, options.late * SERVICE_MS)
                    policy: Module | Textbook = (
                        Module(fleet, nodes, d) if name == "module" else Textbook(fleet, nodes, d, name)
                    )
                    requests = max(options.requests, 20 * servers)
                    idle, time, messages = play(policy, fleet, nodes, load, requests)
                    shown = f"{name} d={d}" if d else name
                    print(
                        f"| {servers} | {nodes} | {load:g} | {shown} | {idle:.3f} | {time:.2f} | {messages:.2f} |",
                        flush=True,
                    )


if __name__ == "__main__":
    main()
