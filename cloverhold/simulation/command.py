"""`cloverhold simulate fleet`: plays days of a whole fleet in simulated time and prints what they came to.

Exit status 0: all rules kept; 1: one was broken; 2: bad input, in one line, and nothing was played.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict

import click

from cloverhold.commands import run
from cloverhold.simulation.days import KINDS, draw
from cloverhold.simulation.figures import Figures, play

BROKEN = 1
LEAST_NODES, MOST_NODES = 4, 400
COLUMNS = (
    "day", "seed", "nodes", "servers", "service", "worst 10 s", "worst class", "refused", "early", "idle then",
    "probes", "dials", "held", "rules",
)  # fmt: skip


def _cells(f: Figures) -> tuple[str, ...]:
    broken = ", ".join(name for name, count in f.rules.items() if count)
    return (
        f.kind, str(f.seed), str(f.nodes), str(f.servers), f"{f.service:.3f}", f"{f.worst_window:.3f}",
        f"{f.worst_class:.3f}", f"{f.refused:.3f}", f"{f.early:.3f}", f"{f.idle:.2f}", f"{f.probes:.2f}",
        f"{f.dials:.3f}", str(f.most_held), broken or "kept",
    )  # fmt: skip


def _line(cells: Sequence[str]) -> str:
    return "".join(cell.ljust(len(name) + 2) for cell, name in zip(cells, COLUMNS, strict=True)).rstrip()


@click.group()
def simulate() -> None:
    """Simulated days: no sockets, no processes, the same for the same seed. docs/simulation.md tells more."""


@simulate.command()
@click.argument("day", type=click.Choice([*KINDS, "all"]))
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True, help="How many, in turn.")
@click.option("--nodes", type=click.IntRange(LEAST_NODES, MOST_NODES), help="In place of the seed's own, about 200.")
@click.option("--membership", is_flag=True, help="Nodes know who of them lives, and share servers by that.")
@click.option("--json", "as_json", is_flag=True, help="A line of JSON a day, for programs.")
def fleet(day: str, seed: int, seeds: int, nodes: int | None, membership: bool, as_json: bool) -> None:
    """Some 200 nodes before 120 servers, through one kind of trouble.

    Example: cloverhold simulate fleet zone --seed 3 --nodes 60
    """
    if not as_json:
        click.echo(_line(COLUMNS))
    kept = True
    for kind in KINDS if day == "all" else (day,):
        for number in range(seed, seed + seeds):
            found = play(draw(kind, number, nodes), membership=membership)
            kept = kept and found.kept()
            click.echo(json.dumps(asdict(found)) if as_json else _line(_cells(found)))
    if not kept:
        raise click.exceptions.Exit(BROKEN)


def main(words: Sequence[str], prog_name: str) -> int:
    """Run the command; its exit status."""
    return run(simulate, words, prog_name)
