"""A writer, 14 relays and thousands of nodes in simulated time: docs/measurements/distribution.md.

    .venv-dev/bin/python benchmarks/distribution_fleet.py 825 1650 3300 6600

The cores of the product with nothing but time and ways simulated: 0.3 to 2 ms one way within a region, 40 ms more
between two of the six, 1 ms for a durable write, and no more than 9,000 bytes a second to each node. Each node follows
`fleet` and the services dealt to it. Bytes are those of the frames; beats, once a second each way, are added as such.
Every number is the same for a seed but the processor's time, which is that of the nodes' cores alone.
"""

from __future__ import annotations

import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).parents[1]))

from cloverhold.fleet.distribution.dealing import Place, Service, deal
from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.frames import frame
from cloverhold.fleet.distribution.interface import (
    Action, Beat, Down, Drop, Forget, Outrun, Persist, Switch, Told, Up,
)  # fmt: skip
from cloverhold.fleet.distribution.resources import Checker, Class, Server, write
from cloverhold.fleet.distribution.writer import Relay, Writer

RELAYS, REGIONS, SERVERS = 14, 6, 25
SERVICES = 3100 / 6600  # a node
BYTES_PER_S = 9_000.0  # to a node
WRITE_S = 0.001
CALM_PER_S, BURST_PER_S = 31_000 / 86_400, 100.0
SILENT_S, CONNECT_S, FIRST_S, MOST_S = 3.0, 1.0, 0.5, 5.0  # as in shell.py
BEATS = 2 * len(frame(Beat()))  # a second


class End:
    """One process. source: who it is connected to."""

    def __init__(self, name: str, core: Any, region: int) -> None:
        self.name, self.core, self.region = name, core, region
        self.source: End | None = None
        self.session = 0
        self.subscribers: dict[int, End] = {}
        self.free_at = 0.0  # when the way to it has room
        self.heard = self.said = self.wholes = self.changes = 0
        self.cpu = 0.0
        self.alive = True
        self.tried: list[End] = []  # relays, in the order in which it tries them
        self.switched: dict[str, list[tuple[float, int]]] = {}


class Fleet:
    """All of them, and what happens next."""

    def __init__(self, nodes: int, seed: int = 1) -> None:
        self.now, self.order, self.chance = 0.0, 0, Random(seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sessions = 0
        self.cut = False  # whether the relays of the upper three regions are apart from the writer
        self.accepted: list[tuple[float, str, int]] = []
        count = max(1, round(nodes * SERVICES))
        self.services = [f"service/{n}" for n in range(count)]
        dealt = deal([Service(name) for name in self.services], [Place(n, f"z{n % 12}") for n in range(nodes)])
        follows: dict[int, list[str]] = {n: ["fleet"] for n in range(nodes)}
        for name, numbers in dealt.items():
            for number in numbers:
                follows[number].append(name)
        self.writer = End("w", Writer({}, 1), 0)
        self.relays = [End(f"r{n}", Relay({}), n % REGIONS) for n in range(RELAYS)]
        self.nodes = [End(f"n{n}", Follower({}, Checker()), n % REGIONS) for n in range(nodes)]
        self.follows = follows
        for node in self.nodes:
            node.tried = self.chance.sample(self.relays, RELAYS)
        for name in self.services:
            self.change(name, {f"server/s{n}": write(Server(f"10.0.0.{n}:80", "z1", "m1", 3)) for n in range(SERVERS)})
        self.change("fleet", {f"class/{n}": write(Class(500.0, 1000.0)) for n in range(12)})
        self.run(1.0)
        for relay in self.relays:
            self.join(relay, self.writer)
            self.do(relay, relay.core.follower.follow(["fleet", *self.services]))
        self.run(60.0)
        assert all(len(relay.core.follower.names()) == count + 1 for relay in self.relays)

    # ---------------------------------------------------------------- time and ways

    def at(self, when: float, what: Callable[[], None]) -> None:
        self.order += 1
        heappush(self.events, (when, self.order, what))

    def run(self, for_s: float) -> None:
        """Let so much time pass."""
        end = self.now + for_s
        while self.events and self.events[0][0] <= end:
            self.now, _, what = heappop(self.events)
            what()
        self.now = end

    def way_s(self, one: End, other: End) -> float:
        return self.chance.uniform(0.0003, 0.002) + (0.04 if one.region != other.region else 0.0)

    def apart(self, one: End, other: End) -> bool:
        return self.cut and self.writer in (one, other) and max(one.region, other.region) >= REGIONS // 2

    def carry(self, sender: End, to: End, session: int, size: int, what: Callable[[], None]) -> None:
        """In order on each connection; to a node no more bytes a second than are allowed."""
        sender.said += size
        to.heard += size
        limited = to in self.limited
        begin = max(self.now, to.free_at) if limited else self.now
        if limited:
            to.free_at = begin + size / BYTES_PER_S
        arrives = (to.free_at if limited else begin) + self.way_s(sender, to)
        queue = self.on_way.setdefault((session, to is sender.source), deque())
        arrives = max(arrives, queue[-1] if queue else 0.0)
        queue.append(arrives)

        def come() -> None:
            queue.popleft()
            if sender.alive and to.alive and not self.apart(sender, to):
                what()

        self.at(arrives, come)

    limited: frozenset[End] = frozenset()
    on_way: dict[tuple[int, bool], deque[float]] = {}  # noqa: RUF012

    def join(self, end: End, source: End) -> None:
        self.sessions += 1
        end.source, end.session = source, self.sessions
        source.subscribers[end.session] = end
        source.core.source.joined(end.session)
        core = end.core.follower if isinstance(end.core, Relay) else end.core
        self.do(end, core.joined())

    def leave(self, end: End) -> None:
        if end.source is not None:
            end.source.subscribers.pop(end.session, None)
            end.source.core.source.left(end.session)
            end.source = None

    def come_back(self, end: End, tries: int = 0) -> None:
        """To the next relay of its own order, after a time that is drawn, as the shell does; a machine that is gone
        does not even refuse.
        """

        def attempt() -> None:
            relay = end.tried[tries % len(end.tried)]
            if relay.alive:
                end.tried = end.tried[tries % len(end.tried) + 1 :] + end.tried[: tries % len(end.tried) + 1]
                self.join(end, relay)
            else:
                self.at(self.now + CONNECT_S, lambda: self.come_back(end, tries + 1))

        waits = min(MOST_S, FIRST_S * 2 ** min(tries // len(end.tried), 10))
        self.at(self.now + self.chance.uniform(0, waits), attempt)

    # ---------------------------------------------------------------- what the cores ask for

    def do(self, end: End, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Up(message):
                    self._up(end, message)
                case Outrun():
                    self._up(end, action)
                case Down(session, message):
                    to = end.subscribers.get(session)
                    if to is not None:
                        if isinstance(message, Told) and message.part == 0:
                            end.wholes += message.base is None
                            end.changes += message.base is not None
                        self.carry(end, to, session, len(frame(message)), self._heard(to, session, message))
                case Persist(name, _, upto):
                    self.at(self.now + WRITE_S, self._stored(end, name, upto))
                case Switch(name, mark):
                    end.switched.setdefault(name, []).append((self.now, mark.number))
                    if end is self.writer:
                        self.accepted.append((self.now, name, mark.number))
                case Drop(session):
                    if session in end.subscribers:
                        one = end.subscribers[session]
                        self.leave(one)
                        self.come_back(one)
                case Forget():
                    pass

    def _up(self, end: End, message: Any) -> None:
        source, session = end.source, end.session
        if source is None:
            return

        def come() -> None:
            if session in source.subscribers:
                if isinstance(message, Outrun):
                    self.do(source, source.core.outrun(message) if source is self.writer else [message])
                else:
                    self.do(source, source.core.hear(session, message, self.now * 1000))

        self.carry(end, source, session, len(frame(message)), come)

    def _heard(self, to: End, session: int, message: Any) -> Callable[[], None]:
        def come() -> None:
            if to.session == session and to.source is not None:
                begun = time.process_time()
                core = to.core
                actions = (core.heard if isinstance(core, Relay) else core.hear)(message, self.now * 1000)
                to.cpu += time.process_time() - begun
                self.do(to, actions)

        return come

    def _stored(self, end: End, name: str, upto: Any) -> Callable[[], None]:
        def done() -> None:
            if end.alive:
                begun = time.process_time()
                actions = end.core.stored(name, upto, True, self.now * 1000)
                end.cpu += time.process_time() - begun
                self.do(end, actions)

        return done

    def change(self, name: str, values: dict[str, bytes | None]) -> None:
        self.do(self.writer, self.writer.core.change(name, values, 0))

    # ---------------------------------------------------------------- moments

    def changes(self, count: int, per_s: float) -> list[tuple[float, str, int]]:
        """So many at a rate, one in a hundred of all nodes' scope; what the writer made of them."""
        first = len(self.accepted)
        for n in range(count):
            name = "fleet" if n % 100 == 50 else self.chance.choice(self.services)
            value: dict[str, bytes | None] = (
                {"class/0": write(Class(500.0 + self.order, 5e9 / 2e3))} if name == "fleet"
                else {"server/s1": write(Server(f"10.1.{n % 250}.{self.order % 250}:80"))}
            )  # fmt: skip
            self.at(self.now + n / per_s, lambda name=name, value=value: self.change(name, value))  # type: ignore[misc]
        self.run(count / per_s + 1.0)
        return self.accepted[first:]

    def delays(self, made: Sequence[tuple[float, str, int]], since: float = 0.0) -> list[float]:
        """Seconds from the acceptance, or from `since` if later, of each change at each node of its scope."""
        by_scope: dict[str, list[tuple[float, int]]] = {}
        for when, name, number in made:
            by_scope.setdefault(name, []).append((when, number))
        out = []
        for node in self.nodes:
            for name, switched in node.switched.items():
                for when, number in by_scope.get(name, ()):
                    force = next((t for t, reached in switched if reached >= number), float("inf"))
                    out.append(force - max(when, since))
        return sorted(out)


def shown(found: Sequence[float]) -> str:
    """99 in 100, and the last."""
    return f"{found[len(found) * 99 // 100]:.2f}, {found[-1]:.2f}"


def played(nodes: int) -> str:
    """A row."""
    Fleet.on_way = {}
    fleet = Fleet(nodes)
    fleet.limited = frozenset(fleet.nodes)
    # Cold: all within a second.
    begun = fleet.now
    for number, node in enumerate(fleet.nodes):
        node.core.follow(fleet.follows[number])
        fleet.come_back(node)
    while not all(len(n.switched) == len(fleet.follows[i]) for i, n in enumerate(fleet.nodes)):
        fleet.run(0.25)
        assert fleet.now - begun < 120
    cold = max(times[0][0] for node in fleet.nodes for times in node.switched.values()) - begun
    cold_bytes = max(node.heard + node.said for node in fleet.nodes)
    even = Counter(node.source for node in fleet.nodes)
    before = [(n.heard + n.said, n.cpu) for n in fleet.nodes]
    for node in fleet.nodes:
        node.switched = {name: times[-1:] for name, times in node.switched.items()}
    calm = fleet.changes(60, CALM_PER_S)
    passed = 60 / CALM_PER_S
    fleet.run(5)
    calm_delays = fleet.delays(calm)
    spent = [(n.heard + n.said - b, n.cpu - c) for n, (b, c) in zip(fleet.nodes, before, strict=True)]
    calm_bytes, calm_cpu = max(b for b, _ in spent) / passed + BEATS, 100 * max(c for _, c in spent) / passed
    before = [(n.heard + n.said, n.cpu) for n in fleet.nodes]
    relays = [r.said for r in fleet.relays]
    burst = fleet.changes(1000, BURST_PER_S)
    fleet.run(5)
    burst_delays = fleet.delays(burst)
    spent = [(n.heard + n.said - b, n.cpu - c) for n, (b, c) in zip(fleet.nodes, before, strict=True)]
    burst_bytes, burst_cpu = max(b for b, _ in spent) / 10 + BEATS, 100 * max(c for _, c in spent) / 10
    relay_bytes = max(r.said - s for r, s in zip(fleet.relays, relays, strict=True)) / 10
    # Four relays die; their nodes hear nothing for 3 s, and come again elsewhere. Ten changes a second meanwhile.
    wholes = sum(r.wholes for r in fleet.relays)
    for relay in fleet.relays[:4]:
        relay.alive = False
        for node in list(relay.subscribers.values()):
            node.source = None
            fleet.at(fleet.now + SILENT_S, lambda node=node: fleet.come_back(node))  # type: ignore[misc]
    lost = fleet.changes(100, 10.0)
    fleet.run(25)
    lost_delays = fleet.delays(lost)
    left = Counter(node.source for node in fleet.nodes)
    # The upper three regions' relays are apart from the writer for five minutes.
    fleet.cut = True
    apart = fleet.changes(round(300 * CALM_PER_S), CALM_PER_S)
    fleet.cut, since = False, fleet.now
    for relay in fleet.relays:
        if relay.alive and relay.region >= REGIONS // 2:
            fleet.leave(relay)
            fleet.at(fleet.now + fleet.chance.uniform(0, MOST_S), lambda r=relay: fleet.join(r, fleet.writer))  # type: ignore[misc]
    fleet.run(20)
    apart_delays = [max(0.0, delay) for delay in fleet.delays(apart, since)]
    wholes = sum(r.wholes for r in fleet.relays) - wholes
    assert fleet.writer.core.held("fleet") is not None
    mean = nodes / RELAYS
    return (
        f"| {nodes:,} | {cold:.1f} | {cold_bytes:,} | {max(even.values()) / mean:.2f} | {shown(calm_delays)} | "
        f"{calm_bytes:.0f} | {calm_cpu:.3f} | {shown(burst_delays)} | {burst_bytes:.0f} | {burst_cpu:.2f} | "
        f"{relay_bytes / 1000:.0f} | {shown(lost_delays)} | {max(left.values()) / (nodes / 10):.2f} | "
        f"{shown(apart_delays)} | {wholes} |"
    )


COLUMNS = (
    "nodes", "cold, s", "bytes of the dearest", "busiest relay / mean", "calm, s: 99%, last", "dearest node, B/s",
    "% of a core", "burst, s: 99%, last", "dearest node, B/s", "% of a core", "dearest relay, kB/s",
    "four relays lost, s: 99%, last", "busiest of ten / mean", "apart five minutes, s after: 99%, last",
    "wholes told since cold",
)  # fmt: skip


def main(sizes: Sequence[int]) -> None:
    """The page's table."""
    print("| " + " | ".join(COLUMNS) + " |\n|" + " --- |" * len(COLUMNS))
    for nodes in sizes:
        begun = time.monotonic()
        print(played(nodes), flush=True)
        print(f"{nodes}: {time.monotonic() - begun:.0f} s", file=sys.stderr, flush=True)


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or [825, 1650, 3300, 6600])
