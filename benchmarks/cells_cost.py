"""What cells cost: module and cells together a request, beside the module alone; memory a key; a change of the roster.

    python benchmarks/cells_cost.py [--servers 12,1000] [--keys 10000] [--nodes 1,2] [--requests 20000] [--size 4]

All events of a request in simulated time, as benchmarks/module_cost.py plays them; no sockets. Best of three rounds.
"""

from __future__ import annotations

import argparse
import gc
import time
import tracemalloc
from dataclasses import replace
from random import Random

from module_cost import CLASSES, World

from cloverhold import ListKind, Outcome, Request, Send, ServerEntry, ServerList, Settings
from cloverhold.cells.core import Cells
from cloverhold.cells.draw import Member
from cloverhold.cells.rules import Rules
from cloverhold.cells.tenancy import Cell
from cloverhold.decision.decide import Balancer


class Confined(World):
    """The same world with each request in the cell of its key; all keys ask alike."""

    def __init__(self, servers: int, nodes: int, load: float, keys: int, size: int) -> None:
        super().__init__(servers, nodes, load, spread=False)
        settings = Settings(CLASSES, nodes=nodes, tick_ms=5.0, probe_price=0.01, cold_from=0.4, cold_ms=6000.0)
        self.balancer = Balancer(replace(settings, pools=True), 1)
        self.queue, self.keys = [], keys
        rules = Rules(servers=size, newcomers=0, most_keys=2 * keys)
        self.cells = Cells(rules, self.balancer.serves)
        self.routed: dict[int, tuple[Cell, str]] = {}
        self.draw = Random(2)
        names = list(self.inflight)
        self.cells.members({name: Member(name) for name in names}, 0.0)
        for n in range(keys):  # each key's first draw is in the other table
            cell = self.cells.route(f"tenant-{n}", 0.0)
            assert isinstance(cell, Cell)
            self.cells.left(cell)
        self.give(ServerList(ListKind.FULL, tuple(ServerEntry(name) for name in names)))

    def give(self, event: object) -> float:
        """Hand in an event, with what cells do beside it."""
        if not hasattr(self, "routed"):
            return 0.0  # while the plain world is made
        begun = time.perf_counter()
        if isinstance(event, Request):
            key = f"tenant-{int(self.keys * self.draw.random())}"
            cell = self.cells.route(key, self.now)
            assert isinstance(cell, Cell)
            event.pool = cell.pool
            self.routed[event.id] = (cell, event.class_name)
        elif isinstance(event, Outcome):
            cell, kind = self.routed.pop(event.id)
            self.cells.ended(event.id, cell, kind, event.server, event.status, event.spent_ms, self.now)
            self.cells.left(cell)
        self.spent += time.perf_counter() - begun
        took = super().give(event)
        for action in self.last:
            if isinstance(action, Send):
                begun = time.perf_counter()
                self.cells.sent(action.id, self.routed[action.id][0], action.server, self.now)
                self.spent += time.perf_counter() - begun
        return took


def memory(servers: int, keys: int, size: int) -> float:
    """Bytes that a key takes that has asked once."""
    cells = Cells(Rules(servers=size, newcomers=0, most_keys=2 * keys), lambda pool: True)
    cells.members({f"s{n}": Member(f"s{n}") for n in range(servers)}, 0.0)
    gc.collect()
    tracemalloc.start()
    for n in range(keys):
        cell = cells.route(f"tenant-{n}", 0.0)
        assert isinstance(cell, Cell)
        cells.left(cell)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / keys


def change(servers: int, keys: int, size: int) -> tuple[float, float, float]:
    """Milliseconds: a first draw; a fifth of the roster goes in one step; a key's next request after that, mean."""
    cells = Cells(Rules(servers=size, newcomers=0, most_keys=2 * keys, linger_ms=0.0), lambda pool: True)
    members = {f"s{n}": Member(f"s{n}") for n in range(servers)}
    cells.members(members, 0.0)
    begun = time.perf_counter()
    for n in range(keys):
        cells.route(f"tenant-{n}", 0.0)
    first = time.perf_counter() - begun
    begun = time.perf_counter()
    cells.members({name: m for n, (name, m) in enumerate(members.items()) if n % 5}, 1.0)
    step = time.perf_counter() - begun
    begun = time.perf_counter()
    for n in range(keys):
        cells.route(f"tenant-{n}", 2.0)
    return 1e3 * first / keys, 1e3 * step, 1e3 * (time.perf_counter() - begun) / keys


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--servers", default="12,1000")
    parser.add_argument("--keys", type=int, default=10000)
    parser.add_argument("--nodes", default="1,2")
    parser.add_argument("--requests", type=int, default=20000)
    parser.add_argument("--size", type=int, default=4)
    parser.add_argument("--load", type=float, default=0.5)
    options = parser.parse_args()
    print("| nodes | servers | us a request, off | on | ratio |")
    print("| --- | --- | --- | --- | --- |")
    for nodes in map(int, options.nodes.split(",")):
        for servers in map(int, options.servers.split(",")):
            best = []
            for confined in (False, True):
                gc.unfreeze()
                gc.collect()
                gc.set_threshold(5000, 20, 20)
                world = (
                    Confined(servers, nodes, options.load, options.keys, options.size)
                    if confined
                    else World(servers, nodes, options.load, False)
                )
                gc.freeze()
                world.play(options.requests)
                best.append(min(world.play(options.requests) for _ in range(3)))
            print(f"| {nodes} | {servers} | {best[0]:.1f} | {best[1]:.1f} | {best[1] / best[0]:.2f} |", flush=True)
    print("\n| servers | keys | bytes a key | ms a first draw | ms a fifth goes | ms a key's next request |")
    print("| --- | --- | --- | --- | --- | --- |")
    for servers in map(int, options.servers.split(",")):
        first, step, after = change(servers, options.keys, options.size)
        used = memory(servers, options.keys, options.size)
        print(f"| {servers} | {options.keys} | {used:.0f} | {first:.3f} | {step:.2f} | {after:.4f} |", flush=True)


if __name__ == "__main__":
    main()
