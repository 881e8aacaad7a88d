"""What one request costs the decision module, by the number of servers: all its events, no sockets.

    python benchmarks/module_cost.py [--servers 12,100,1000,10000] [--nodes 1,2,40] [--requests 20000] [--rows any]

Servers answer after a time of their own, in simulated time, and probes after 1 ms; the fleet is kept at `--load` of
what it can take at once. Each figure is the CPU time of all events of a request, best of three rounds. `list` is the
longest that one event of the server list took: all servers, one changed, half of them changed.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import time
from random import Random

from cloverhold import (Balancer, ClassSettings, Lifecycle, ListKind, LoadReport, Outcome, Probe, ProbeReply, Repeat,
                        Request, Send, ServerEntry, ServerList, Settings, SetTimer, Status, Timer)  # fmt: skip

CLASSES = (
    ClassSettings("consulta", 500.0, 1500.0, Repeat.SAFE, worth=1.0),
    ClassSettings("tablero", 900.0, 2500.0, Repeat.SAFE, worth=2.0),
    ClassSettings("ingesta", 700.0, 2000.0, Repeat.KEYED, key_ttl_ms=5000.0, worth=1.5),
    ClassSettings("alerta", 500.0, 1500.0, Repeat.UNSAFE, worth=4.0),
)


class World:
    """A balancer and its servers in simulated time."""

    def __init__(self, servers: int, nodes: int, load: float, spread: bool) -> None:
        self.random, self.now, self.ref, self.sequence = Random(1), 0.0, 0, 0
        settings = Settings(CLASSES, nodes=nodes, tick_ms=5.0, probe_price=0.01, cold_from=0.4, cold_ms=6000.0)
        self.balancer = Balancer(settings, 1)
        self.queue: list[tuple[float, int, object]] = []
        self.inflight = {f"s{n}": self.random.randrange(1000) if spread else 0 for n in range(servers)}
        self.spent = 0.0
        self.longest = 0.0
        self.last: list[object] = []
        self.apart = 20.0 / (load * servers)  # ms between requests: each takes 20 ms of a server
        self.give(ServerList(ListKind.FULL, tuple(ServerEntry(name) for name in self.inflight)))

    def give(self, event: object) -> float:
        """Hand in an event; the seconds that it took."""
        begun = time.perf_counter()
        actions = self.balancer.handle(self.now, event)  # type: ignore[arg-type]
        took = time.perf_counter() - begun
        self.spent += took
        self.longest = max(self.longest, took)
        self.last = actions
        for action in actions:
            match action:
                case Send(id=ref, server=name):
                    self.inflight[name] += 1
                    ms = self.random.uniform(10.0, 30.0)
                    self.later(ms, Outcome(ref, 0, name, Status.OK, ms, True))
                case Probe(server=name):
                    self.later(1.0, ProbeReply(name, Status.OK, 1.0, LoadReport(inflight=self.inflight[name])))
                case SetTimer(delay_ms=ms, token=token):
                    self.later(ms, Timer(token))
        return took

    def later(self, ms: float, event: object) -> None:
        """Hand in an event after so many ms."""
        self.sequence += 1
        heapq.heappush(self.queue, (self.now + ms, self.sequence, event))

    def play(self, requests: int) -> float:
        """CPU microseconds a request."""
        self.spent = 0.0
        for _ in range(requests):
            upto = self.now + self.apart
            while self.queue and self.queue[0][0] <= upto:
                self.now, _, event = heapq.heappop(self.queue)
                if isinstance(event, Outcome):
                    self.inflight[event.server] -= 1
                self.give(event)
            self.now = upto
            self.ref += 1
            kind = self.random.choice(CLASSES)
            self.give(Request(self.ref, kind.name, kind.aim_ms * 2, key=self.ref))
        return 1e6 * self.spent / requests


def lists(world: World, servers: int) -> tuple[float, float, float]:
    """Milliseconds that the list event takes: the same list again, one entry changed, half of them gone."""
    entries = [ServerEntry(f"s{n}") for n in range(servers)]
    again = world.give(ServerList(ListKind.FULL, tuple(entries)))
    one = world.give(ServerList(ListKind.CHANGES, (ServerEntry("s1", lifecycle=Lifecycle.DRAINING),)))
    half = world.give(ServerList(ListKind.FULL, tuple(entries[: servers // 2])))
    return 1e3 * again, 1e3 * one, 1e3 * half


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--servers", default="12,100,1000,10000")
    parser.add_argument("--nodes", default="1,2,40")
    parser.add_argument("--requests", type=int, default=20000)
    parser.add_argument("--load", type=float, default=0.7)
    parser.add_argument("--rows", choices=("even", "any"), default="even", help="any: reports of 0 to 999, all kinds")
    options = parser.parse_args()
    print("| nodes | servers | us a request | longest event ms | list first ms | again | one changed | half gone |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for nodes in map(int, options.nodes.split(",")):
        for servers in map(int, options.servers.split(",")):
            gc.unfreeze()
            gc.collect()  # the last world
            gc.set_threshold(5000, 20, 20)  # as a node has it
            world = World(servers, nodes, options.load, options.rows == "any")
            first = 1e3 * world.longest
            gc.freeze()
            world.play(options.requests // 4)
            world.longest = 0.0
            best = min(world.play(options.requests) for _ in range(3))
            longest = 1e3 * world.longest
            again, one, half = lists(world, servers)
            print(
                f"| {nodes} | {servers} | {best:.1f} | {longest:.2f} | {first:.2f} | {again:.2f} | {one:.3f} | "
                f"{half:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
