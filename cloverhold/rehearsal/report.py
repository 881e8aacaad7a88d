"""A verdict for people, as a table, and for programs, as JSON (`"report": 1`; docs/rehearsal.md tells its keys)."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

from rich.console import Console
from rich.table import Table

from cloverhold.rehearsal.judge import Verdict
from cloverhold.rehearsal.rules import TITLES, Violation
from cloverhold.rehearsal.scenario import Scenario

FORMAT = 1
SHOWN = 5  # violations of a rule in the table; all are in the JSON


def word(verdict: Verdict) -> str:
    """The verdict in a word."""
    if verdict.crashes:
        return "FAIL"
    if verdict.partial:
        return "PARTIAL"
    if verdict.void:
        return "VOID"
    return "PASS" if verdict.passed() else "FAIL"


def _violation(found: Violation) -> dict[str, Any]:
    return {
        "what": found.what,
        "at_s": round(found.at_s, 4),
        "id": found.id,
        "server": found.server,
        "node": found.node,
        "proof": [[type(row).__name__.lower(), asdict(row)] for row in found.proof],
    }


def as_json(scenario: Scenario, verdict: Verdict) -> str:
    """The verdict as JSON."""
    return json.dumps(
        {
            "report": FORMAT,
            "scenario": scenario.name,
            "seed": scenario.seed,
            "verdict": word(verdict).lower(),
            "exit": verdict.exit_code(),
            "service": asdict(verdict.service),
            "rules": {
                name: {"kept": not found, "violations": [_violation(v) for v in found]}
                for name, found in verdict.rules.items()
            },
            "crashes": verdict.crashes,
            "goals_missed": verdict.goals,
            "void": verdict.void,
            "partial": verdict.partial,
            "lag_ms": {"p99": verdict.lag_p99_ms, "max": verdict.lag_max_ms},
        },
        indent=1,
    )


def print_verdict(console: Console, scenario: Scenario, verdict: Verdict) -> None:
    """The table at the end of a rehearsal."""
    console.print(_service_table(scenario, verdict))
    console.print(_rules_table(verdict))
    for name, found in verdict.rules.items():
        for one in found[:SHOWN]:
            where = " ".join(p for p in (one.id, one.server, f"n{one.node}" if one.node is not None else "") if p)
            console.print(f"  {name} at {one.at_s:.3f} s: {one.what} ({where})", highlight=False)
        if len(found) > SHOWN:
            console.print(f"  {name}: {len(found) - SHOWN} more")
    for text in (*verdict.crashes, *(f"goal missed: {g}" for g in verdict.goals)):
        console.print(f"  {text}", highlight=False)
    if verdict.partial:
        console.print(f"  partial: {verdict.partial}", highlight=False)
    if verdict.void:
        console.print(f"  void: {verdict.void}", highlight=False)
    colour = {"PASS": "green", "FAIL": "red"}.get(word(verdict), "yellow")
    console.print(f"{scenario.name} (seed {scenario.seed}): [bold {colour}]{word(verdict)}", highlight=False)


def _service_table(scenario: Scenario, verdict: Verdict) -> Table:
    service = verdict.service
    table = Table(title="Service", title_justify="left")
    for heading in ("", "served in aim", "p50 ms", "p99 ms"):
        table.add_column(heading, justify="left" if not heading else "right")
    for name, part in service.classes.items():
        p50, p99, _ = service.latency_ms[name]
        table.add_row(name, f"{part:.3f}", f"{p50:.0f}", f"{p99:.0f}")
    table.add_section()
    table.add_row("whole run", f"{service.whole:.3f}", "", "")
    table.add_row(f"worst 10 s (from {service.worst_window_at_s:.0f} s)", f"{service.worst_window:.3f}", "", "")
    table.add_row("worst class", f"{service.worst_class:.3f}", "", "")
    if service.tenants:
        table.add_row("worst tenant", f"{service.worst_tenant:.3f}", "", "")
    table.add_row("prices", f"-{sum(service.prices.values()):.3f}", "", "")
    table.add_row("service", f"[bold]{service.service:.3f}", "", "")
    table.caption = (
        f"{service.asked} asked for, {service.answered} answered, {service.tries} tries, {service.attempts} attempts"
    )
    return table


def _rules_table(verdict: Verdict) -> Table:
    table = Table(title="Rules", title_justify="left")
    table.add_column("rule")
    table.add_column("verdict")
    table.add_column("violations", justify="right")
    for name, title in TITLES.items():
        found = verdict.rules[name]
        table.add_row(title, "[red]FAIL" if found else "[green]PASS", str(len(found)))
    return table
