"""Cells in curves: whom one poison hurts against k and n, beside theory; and what confinement costs the pick.

    python benchmarks/cells_curves.py [--harm] [--cost] [--tenants 5000] [--requests 30000]

`--harm`: of all tenants, the part that shares every server with one (its cell is down with the poison's) and at least
one; beside 1 / C(n, k) and 1 - C(n - k, k) / C(n, k). Draws of the real code. `--cost`: the world of
benchmarks/quality.py (servers alike, exponential service times, Poisson arrivals) with the real module and every
request confined to the cell of one of 400 tenants that ask alike; k = all is no cells.
"""

from __future__ import annotations

import argparse
from math import comb
from random import Random

from quality import AIM_MS, Fleet, Module, play

from cloverhold import Request
from cloverhold.cells.draw import Member, Roster
from cloverhold.decision.pools import Pool


def roster(servers: int) -> Roster:
    """So many servers in one zone."""
    out = Roster()
    out.change({str(n): Member(str(n)) for n in range(servers)})
    return out


def harm(servers: int, size: int, tenants: int, poisons: int = 40) -> tuple[float, float]:
    """The part of the tenants that share all servers with a poison, and at least one; mean over poisons."""
    held = roster(servers)
    cells = [frozenset(held.draw(f"tenant-{n}", size)) for n in range(tenants)]
    whole = some = 0
    for poison in cells[:poisons]:
        whole += sum(cell == poison for cell in cells) - 1
        some += sum(bool(cell & poison) for cell in cells) - 1
    return whole / poisons / (tenants - 1), some / poisons / (tenants - 1)


class Confined(Module):
    """The module with each request in the cell of a tenant."""

    def __init__(self, fleet: Fleet, nodes: int, d: int, size: int, tenants: int = 400) -> None:
        super().__init__(fleet, nodes, d)
        held = roster(fleet.count)
        # A pool holds what a node learned of it: each node has its own.
        self.pools = [[Pool(f"t{n}", held.draw(f"t{n}", size)) for n in range(tenants)] for _ in range(nodes)]
        self.draw = Random(5)

    def arrive(self, node: int, ref: int) -> None:
        """A request of one of the tenants."""
        self.give(node, Request(ref, "any", 2 * AIM_MS, pool=self.draw.choice(self.pools[node])))


def cost(servers: int, size: int, load: float, requests: int, nodes: int) -> tuple[float, float]:
    """The part of the requests that met an idle server, and the mean time in service times."""
    fleet = Fleet(Random(11), servers, 0.0)
    policy = Confined(fleet, nodes, 2, size) if size < servers else Module(fleet, nodes, 2)
    idle, time, _ = play(policy, fleet, nodes, load, requests)
    return idle, time


def main() -> None:
    """Print the tables that are asked for, both without a word."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--harm", action="store_true")
    parser.add_argument("--cost", action="store_true")
    parser.add_argument("--tenants", type=int, default=5000)
    parser.add_argument("--requests", type=int, default=30000)
    options = parser.parse_args()
    if options.harm or not options.cost:
        print("| servers | k | shares all: seen | 1 / C(n, k) | shares any: seen | theory |")
        print("| --- | --- | --- | --- | --- | --- |")
        for servers, size in ((12, 2), (12, 3), (12, 4), (12, 6), (60, 2), (60, 4), (60, 8), (1000, 4)):
            whole, some = harm(servers, size, options.tenants if servers < 1000 else 1000)
            every = comb(servers, size)
            print(
                f"| {servers} | {size} | {whole:.5f} | {1 / every:.5f} | {some:.4f} | "
                f"{1 - comb(servers - size, size) / every:.4f} |",
                flush=True,
            )
    if options.cost or not options.harm:
        sizes = (2, 3, 4, 6, 8)
        print(f"\n| servers | nodes | load | {' | '.join(f'k = {size}' for size in sizes)} | all |")
        print(f"| --- | --- | --- | {' | '.join('---' for _ in sizes)} | --- |")
        for servers, nodes in ((12, 1), (12, 2), (100, 1)):
            for load in (0.5, 0.6, 0.7, 0.8, 0.9):
                found = [cost(servers, size, load, options.requests, nodes) for size in (*sizes, servers)]
                cells = " | ".join(f"{idle:.2f} {time:.2f}" for idle, time in found)
                print(f"| {servers} | {nodes} | {load} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
