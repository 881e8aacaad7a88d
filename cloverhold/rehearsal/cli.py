"""`cloverhold rehearse`: plays a scenario with a live line, and ends with the table of service and rules.

Exit status 0: all rules kept and the scenario's goals met; 1: not; 2: bad input, nothing started; 3: void or
interrupted.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import shlex
import signal
import sys
import tempfile
from collections.abc import Iterator, Sequence
from pathlib import Path

import uvloop
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from cloverhold.rehearsal import ledger as ledgers
from cloverhold.rehearsal.faults import catalogue
from cloverhold.rehearsal.files import find, load_scenario, shipped
from cloverhold.rehearsal.judge import judge
from cloverhold.rehearsal.nodes import COMMAND, NodeFailed
from cloverhold.rehearsal.report import as_json, print_verdict
from cloverhold.rehearsal.scenario import Scenario, ScenarioError
from cloverhold.rehearsal.stage import Stage, rehearse

DEFAULT = "release-week"
FAILED, BAD = 1, 2


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cloverhold rehearse",
        description="Play a scenario: real nodes before a stand-in fleet that fails on a script.",
        epilog="Exit status 0: rules kept and goals met; 1: not; 2: bad input; 3: void or interrupted.",
    )
    parser.add_argument("scenario", nargs="?", default=DEFAULT, help="a shipped scenario's name, or a TOML file")
    parser.add_argument("--list", action="store_true", help="list the shipped scenarios")
    parser.add_argument("--faults", action="store_true", help="list the faults that a scenario may name")
    parser.add_argument("--check", metavar="FILE", help="check a scenario and start nothing")
    parser.add_argument("--seed", type=int, help="in place of the scenario's own")
    parser.add_argument("--json", metavar="FILE", type=Path, help="write the verdict as JSON")
    parser.add_argument("--html", metavar="FILE", type=Path, help="write one page with plots")
    parser.add_argument("--ledger", metavar="FILE", type=Path, help="write all that was seen, as JSON lines")
    parser.add_argument("--judge", metavar="FILE", type=Path, help="play nothing: judge this ledger again")
    parser.add_argument("--logs", metavar="DIR", type=Path, help="keep the nodes' logs and configurations there")
    parser.add_argument("--node", metavar="COMMAND", help="what to start as a node (default: this cloverhold)")
    return parser


def _say(lines: list[tuple[str, str]], title: str) -> int:
    table = Table(title=title, title_justify="left", box=None, padding=(0, 2, 0, 0))
    table.add_column(style="bold", no_wrap=True)
    table.add_column()
    for row in lines:
        table.add_row(*row)
    Console().print(table)
    return 0


@contextlib.contextmanager
def _folder(kept: Path | None) -> Iterator[Path]:
    if kept is not None:
        kept.mkdir(parents=True, exist_ok=True)
        yield kept
        return
    with tempfile.TemporaryDirectory(prefix="cloverhold-") as name:
        yield Path(name)


async def _watch(stage: Stage, console: Console) -> None:
    columns = (TextColumn("{task.description}"), BarColumn(bar_width=24), TimeRemainingColumn())
    with Progress(*columns, console=console, transient=True) as bar:
        task = bar.add_task("starting", total=stage.scenario.length_s)
        while True:
            seen = stage.progress()
            trouble = ", ".join(dict.fromkeys(seen.faults)) or "calm"
            text = (
                f"{max(0.0, seen.at_s):5.1f} s  {seen.sent} sent  {seen.open} open  {seen.servers_up} servers  "
                f"{seen.nodes_up} nodes  lag {seen.lag_ms:.1f} ms  {trouble}"
            )
            bar.update(task, completed=min(seen.at_s, seen.length_s), description=text)
            await asyncio.sleep(0.2)


async def _play(scenario: Scenario, folder: Path, command: Sequence[str], console: Console) -> ledgers.Ledger:
    loop = asyncio.get_running_loop()
    watching: list[asyncio.Task[None]] = []

    def started(stage: Stage) -> None:
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stage.stop, f"interrupted by {number.name}")
        if console.is_terminal:
            watching.append(loop.create_task(_watch(stage, console)))

    try:
        return await rehearse(scenario, folder, command, started=started)
    finally:
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)


def _ledger(options: argparse.Namespace, scenario: Scenario, console: Console) -> ledgers.Ledger:
    if options.judge is not None:
        with options.judge.open(encoding="utf-8") as file:
            return ledgers.read(file)
    console.print(f"playing {scenario.name}, {scenario.length_s:g} s of load, seed {scenario.seed}", highlight=False)
    command = shlex.split(options.node) if options.node else COMMAND
    with _folder(options.logs) as folder:
        return uvloop.run(_play(scenario, folder, command, console))


def _write(options: argparse.Namespace, scenario: Scenario, ledger: ledgers.Ledger) -> int:
    verdict = judge(scenario, ledger)
    print_verdict(Console(), scenario, verdict)
    if options.ledger is not None:
        with options.ledger.open("w", encoding="utf-8") as file:
            file.writelines(line + "\n" for line in ledgers.lines(ledger))
    if options.json is not None:
        options.json.write_text(as_json(scenario, verdict), encoding="utf-8")
    if options.html is not None:
        from cloverhold.rehearsal.page import page  # plots are slow to load: only where they are asked for

        options.html.write_text(page(scenario, ledger, verdict), encoding="utf-8")
    return verdict.exit_code()


def main(argv: Sequence[str]) -> int:
    """Run the command; its exit status."""
    options = _parser().parse_args(argv)
    if options.list:
        return _say([(name, load_scenario(path).summary) for name, path in shipped().items()], "Scenarios")
    if options.faults:
        return _say(catalogue(), "Faults")
    try:
        scenario = load_scenario(Path(options.check)) if options.check else find(options.scenario)
        if options.check:
            print(f"{options.check}: {scenario.name}, {scenario.length_s:g} s, {len(scenario.faults)} faults: good")
            return 0
        if options.seed is not None:
            scenario = scenario.model_copy(update={"seed": options.seed})
        return _write(options, scenario, _ledger(options, scenario, Console(stderr=True)))
    except (ScenarioError, ledgers.LedgerError, OSError) as error:
        print(error, file=sys.stderr)
        return BAD
    except NodeFailed as error:
        print(error, file=sys.stderr)
        return FAILED
