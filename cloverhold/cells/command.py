"""`cloverhold cells`: what an operator asks of cells, and how moves are ordered: by the operator's file."""

from __future__ import annotations

import json
import os
import secrets
from collections import Counter
from math import comb
from pathlib import Path
from typing import Any

import click
import tomlkit
from tomlkit.exceptions import TOMLKitError
from tomlkit.items import AoT, Table

from cloverhold.cells.draw import Member, Roster
from cloverhold.cells.keep import KeepError, read_moves
from cloverhold.cells.moves import Place
from cloverhold.cells.rebalance import loads_of, rebalance
from cloverhold.cells.rules import Rules
from cloverhold.cells.table import CellsTable
from cloverhold.cells.tenancy import Tenancies
from cloverhold.config.reading import ConfigFaults, read_tables, read_text
from cloverhold.store.table import StoreTable

DRAWS = 4  # further draws of a key that a rebalancing looks at

config_option = click.option(
    "--config", "path", required=True, envvar="CLOVERHOLD_CONFIG", help="The operator's file, with [cells]."
)
json_option = click.option("--json", "as_json", is_flag=True, help="For programs.")


def _table(path: str) -> CellsTable:
    try:
        table = read_tables(path, {"cells": CellsTable, "store": StoreTable}).get("cells")
    except ConfigFaults as error:
        raise click.ClickException("\n".join(error.lines)) from None
    if not isinstance(table, CellsTable):
        raise click.ClickException(f"{path}: has no [cells]")
    return table


def _json(path: Path) -> Any:
    try:
        return json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def _roster(path: Path) -> dict[str, Member]:
    """The servers of a list in discovery's form."""
    raw = _json(path)
    targets = raw.get("targets") if isinstance(raw, dict) else None
    if not isinstance(targets, list):
        raise click.ClickException(f"{path}: a list as GET /catalog/members gives it is needed")
    try:
        return {t["uid"]: Member(t["uid"], t.get("az", "")) for t in targets if t.get("state") == "active"}
    except (TypeError, KeyError, AttributeError):
        raise click.ClickException(f"{path}: a target has no uid") from None


@click.group()
def main() -> None:
    """Cells: who may go to which servers, and moving them. docs/cells.md tells more."""


@main.command()
@config_option
@click.option("--roster", required=True, type=click.Path(path_type=Path), help="A list, as discovery gives it.")
@click.option("--key", "keys", multiple=True, help="A tenant to place; may be given again.")
@click.option("--status", "status", type=click.Path(path_type=Path), help="A node's status, for loads to rebalance.")
@click.option("--slots", default=16.0, show_default=True, help="Requests that a server holds at once.")
@click.option("--goal", default=0.7, show_default=True, help="Of its slots, what the fullest server may hold.")
@click.option("--most", default=10, show_default=True, help="Moves to propose.")
@json_option
def plan(
    path: str, roster: Path, keys: tuple[str, ...], status: Path | None, slots: float, goal: float, most: int,
    as_json: bool,
) -> None:  # fmt: skip
    """Where keys are, how cells overlap, and which moves would even out the load.

    Example: cloverhold cells plan --config node.toml --roster members.json --key acme
    """
    rules, members = _table(path).rules(), _roster(roster)
    tenancies = Tenancies(rules)
    tenancies.roster.change(members)
    loads = {str(key): float(load) for key, load in (_json(status) if status else {}).get("loads", {}).items()}
    names = list(dict.fromkeys([*keys, *loads]))
    cells = {name: _servers(tenancies, name, tenancies.home(name)) for name in names}
    proposals = []
    if loads and members:
        capacity = dict.fromkeys(members, slots)
        proposals = rebalance(loads, cells, capacity, lambda key: _options(tenancies, rules, key), goal, most)
    fullest = max(loads_of(loads, cells, dict.fromkeys(members, slots)).values(), default=0.0)
    said: dict[str, Any] = {
        "servers": len(members),
        "cells": {name: list(cell) for name, cell in cells.items()},
        "overlap": _overlap(tenancies.roster, rules),
        "fullest": round(fullest, 4),
        "moves": [{"key": p.key, "to": p.to.said(), "before": round(p.before, 4), "after": round(p.after, 4)}
                  for p in proposals],
    }  # fmt: skip
    if as_json:
        click.echo(json.dumps(said, indent=1))
        return
    for name, cell in cells.items():
        click.echo(f"{name}: {', '.join(cell)}")
    for shared, part in said["overlap"].items():
        click.echo(f"shares {shared} servers with one key: {100 * part:.3g}% of all keys")
    for move in said["moves"]:
        click.echo(f"move {move['key']} to {move['to']}: fullest server {move['before']} to {move['after']}")


def _servers(tenancies: Tenancies, key: str, place: Place) -> tuple[str, ...]:
    return tenancies.cell(tenancies.get(key, 0.0), place, 0.0).servers


def _options(tenancies: Tenancies, rules: Rules, key: str) -> list[tuple[Place, tuple[str, ...]]]:
    places = [Place(cell=name) for name in rules.fixed] or [Place(draw=n) for n in range(1, DRAWS + 1)]
    return [(place, _servers(tenancies, key, place)) for place in places]


def _overlap(roster: Roster, rules: Rules) -> dict[int, float]:
    """The part of all keys that share so many servers with any one key, drawn at random without zones."""
    servers, size = len(roster.members), min(rules.servers, len(roster.members))
    if rules.fixed or not size:
        return {}
    every = comb(servers, size)
    shared = Counter({n: comb(size, n) * comb(servers - size, size - n) / every for n in range(size + 1)})
    return {n: part for n, part in sorted(shared.items()) if part}


@main.command()
@config_option
@click.argument("key")
@click.option("--draw", type=click.IntRange(0, 1000), help="To the key's own draw of this number; 0 the first.")
@click.option("--cell", help="To a fixed cell.")
def move(path: str, key: str, draw: int | None, cell: str | None) -> None:
    """Order a move: writes it into the operator's file, which nodes read again on SIGHUP.

    Example: cloverhold cells move acme --draw 1 --config node.toml
    """
    if (draw is None) == (cell is None):
        raise click.UsageError("one of --draw and --cell is needed")
    entry = tomlkit.table()
    entry["id"] = name = f"{key}-{secrets.token_hex(4)}"
    entry["key"] = key
    if draw is not None:
        entry["draw"] = draw
    else:
        entry["cell"] = cell
    _change(path, lambda moves: moves.append(entry))
    click.echo(f"{name}: ordered; SIGHUP the nodes")


@main.command()
@config_option
@click.argument("move_id")
def undo(path: str, move_id: str) -> None:
    """Turn a move back, whether it is under way or over: in the operator's file, read on SIGHUP.

    Example: cloverhold cells undo acme-1f0c2b7a --config node.toml
    """

    def turn(moves: AoT) -> None:
        named = [entry for entry in moves if entry["id"] == move_id]
        if not named:
            raise click.ClickException(f"{path}: no move {move_id!r}")
        named[0]["undo"] = True

    _change(path, turn)
    click.echo(f"{move_id}: to be turned back; SIGHUP the nodes")


def _change(path: str, change: Any) -> None:
    """Change the file's moves, with its comments kept; replaced whole, and only by what a node would take."""
    _table(path)
    try:
        document = tomlkit.parse(read_text(path))
    except (TOMLKitError, ConfigFaults) as error:
        raise click.ClickException(f"{path}: {error}") from None
    cells = document["cells"]
    assert isinstance(cells, Table)
    if not isinstance(cells.get("move"), AoT):
        moves = tomlkit.aot()
        for inline in cells.get("move", ()):
            moves.append(tomlkit.item(dict(inline)))
        cells.pop("move", None)
        cells["move"] = moves
    change(cells["move"])
    spare = f"{path}.new"
    Path(spare).write_text(tomlkit.dumps(document), encoding="utf-8")
    try:
        _table(spare)
        os.replace(spare, path)
    finally:
        Path(spare).unlink(missing_ok=True)


@main.command()
@config_option
@json_option
def status(path: str, as_json: bool) -> None:
    """The moves that a node has kept, and its last status; needs `state` in [cells].

    Example: cloverhold cells status --config node.toml
    """
    state = _table(path).state
    if not state:
        raise click.ClickException(f"{path}: cells.state is not set: nothing is kept")
    try:
        moves = read_moves(state)
    except KeepError as error:
        raise click.ClickException(str(error)) from None
    beside = Path(f"{state}.status")
    last = _json(beside) if beside.exists() else {}
    if as_json:
        click.echo(json.dumps({"moves": moves, "status": last}, indent=1))
        return
    for record in moves:
        old, new = (Place(*record[end]).said() for end in ("old", "new"))
        click.echo(f"{record['id']}: {record['key']} from {old} to {new}: {record['stage']} {record['why']}".rstrip())
    for ward in last.get("wards", ()):
        click.echo(f"quarantine: {ward['key']} {ward['step']}, fell {ward['falls']} times")
    for suspect in last.get("suspects", ()):
        click.echo(f"suspect: {suspect['key']} presence {suspect['presence']} own {suspect['own']}")
    click.echo(f"{last.get('keys', 0)} keys, {last.get('servers', 0)} servers, queued: {len(last.get('queued', ()))}")
