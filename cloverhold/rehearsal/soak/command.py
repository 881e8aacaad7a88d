"""`cloverhold soak`: random, overlapping faults from seeds, several soaks side by side.

Exit status 0: nothing found; 1: a rule was broken, or something else that may not be; 2: bad input; 3: a run was void.
"""

from __future__ import annotations

import json
import multiprocessing
import shlex
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from functools import partial
from pathlib import Path

import click

from cloverhold.commands import run
from cloverhold.rehearsal.nodes import COMMAND
from cloverhold.rehearsal.soak.play import play
from cloverhold.rehearsal.soak.verdict import SoakResult

FOUND, VOID = 1, 3


def _line(result: SoakResult) -> str:
    state = "FOUND" if result.findings else f"VOID ({result.void})" if result.void else "kept"
    return f"seed {result.seed:>6}  {result.requests:>5} requests  service {result.service:.3f}  {state}"


@click.command()
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1, 10_000), default=1, show_default=True, help="How many, in turn.")
@click.option("--jobs", type=click.IntRange(1, 16), default=2, show_default=True, help="Soaks side by side.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the nodes' logs and configurations there.")
@click.option("--node", metavar="COMMAND", help="What to start as a node (default: this cloverhold).")
@click.option("--json", "as_json", is_flag=True, help="A line of JSON a seed, for programs.")
def soak(seed: int, seeds: int, jobs: int, logs: Path | None, node: str | None, as_json: bool) -> None:
    """Real nodes before stand-ins, under random faults that overlap; judged by the rules alone.

    Example: cloverhold soak --seed 1 --seeds 50 --jobs 4
    """
    results, command = [], shlex.split(node) if node else COMMAND
    with ProcessPoolExecutor(jobs, mp_context=multiprocessing.get_context("spawn")) as pool:
        for done in as_completed(
            pool.submit(partial(play, logs=logs, command=command), n) for n in range(seed, seed + seeds)
        ):
            result = done.result()
            results.append(result)
            click.echo(json.dumps(asdict(result)) if as_json else _line(result))
            if not as_json:
                for finding in result.findings:
                    click.echo(f"    {finding}")
    found, void = sum(bool(r.findings) for r in results), sum(bool(r.void) for r in results)
    if not as_json:
        click.echo(f"{len(results)} seeds: {found} with findings, {void} void")
    if found or void:
        raise click.exceptions.Exit(FOUND if found else VOID)


def main(words: Sequence[str], prog_name: str) -> int:
    """Run the command; its exit status."""
    return run(soak, words, prog_name)
