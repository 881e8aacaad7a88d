"""The operator's file: bounds of every key, faults named, odd files; and the command line over it."""

from __future__ import annotations

import re
import json
import os
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from cloverhold.cells.command import main
from cloverhold.cells.keep import KeepError, read_moves, write_moves
from cloverhold.cells.moves import Place
from cloverhold.cells.rebalance import loads_of, rebalance
from cloverhold.cells.table import CellsTable
from cloverhold.h3.table import Http3Table
from cloverhold.store.table import StoreTable
from cloverhold.config.reading import MOST_BYTES, ConfigFaults, parse, read_tables, read_text

TABLES = {"cells": CellsTable}
SCHEMA = msgspec.json.schema(CellsTable)["$defs"]["CellsTable"]["properties"]
BOUNDED = [
    (name, kind, said) for name, said in SCHEMA.items() for kind in ("minimum", "maximum", "exclusiveMinimum")
    if kind in said
]  # fmt: skip


def faults(path: Path, text: str | bytes) -> list[str]:
    path.write_bytes(text.encode() if isinstance(text, str) else text)
    try:
        read_tables(str(path), TABLES)
    except ConfigFaults as error:
        return error.lines
    return []


@pytest.mark.parametrize(("name", "kind", "said"), BOUNDED, ids=[f"{name}-{kind}" for name, kind, _ in BOUNDED])
def test_every_bound_holds(tmp_path: Path, name: str, kind: str, said: dict[str, float]) -> None:
    bound = said[kind]
    past = bound - 1 if kind == "minimum" else bound + 1 if kind == "maximum" else bound
    lines = faults(tmp_path / "node.toml", f"[cells]\n{name} = {past}\n")
    assert len(lines) == 1 and f"cells.{name}: " in lines[0] and f"got {past}" in lines[0]
    if kind != "exclusiveMinimum":
        assert not faults(tmp_path / "node.toml", f"[cells]\n{name} = {bound}\n")


def test_all_faults_are_named_in_one_go(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    text = '[cells]\nservers = "four"\nfloor = 2.0\nnewcommers = 3\n[cells.sizes]\nacme = 0\n[nodes]\n'
    lines = faults(path, text)
    assert len(lines) == 5 and all(line.startswith(f"{path}: ") for line in lines)
    assert any("'newcomers' is meant?" in line for line in lines)
    assert any("cells.sizes[...]" in line or "cells.sizes" in line for line in lines)
    moves = '[cells]\nfixed = ["a"]\n[[cells.move]]\nid = "m"\nkey = "t"\ncell = "b"\n'
    assert "no such cell in fixed" in faults(path, moves)[0]
    twice = '[cells]\n[[cells.move]]\nid = "m"\nkey = "t"\ndraw = 1\n[[cells.move]]\nid = "m"\nkey = "u"\ndraw = 1\n'
    assert "named twice" in faults(path, twice)[0]
    assert "one of draw and cell" in faults(path, '[cells]\n[[cells.move]]\nid = "m"\nkey = "t"\n')[0]


def test_odd_files_are_told_apart(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    assert not faults(path, b"\xef\xbb\xbf[cells]\n"), "a byte order mark is no fault"
    assert "not UTF-8" in faults(path, b"[cells]\n\xff")[0]
    assert "not TOML" in faults(path, "[cells]\nservers = 1\nservers = 2\n")[0]
    assert "not TOML" in faults(path, f"[cells]\nservers = {'9' * 5000}\n")[0]
    assert faults(path, f"[cells]\nservers = {'9' * 400}\n")
    path.write_bytes(b"#" * (MOST_BYTES + 1))
    with pytest.raises(ConfigFaults, match="are allowed"):
        read_text(str(path))
    with pytest.raises(ConfigFaults, match="not a plain file"):
        read_text(str(tmp_path))
    os.mkfifo(tmp_path / "pipe")
    with pytest.raises(ConfigFaults, match="not a plain file"):
        read_text(str(tmp_path / "pipe"))


def test_the_file_that_is_shipped_turns_nothing_on_and_its_examples_hold(tmp_path: Path) -> None:
    text = (Path(__file__).parents[2] / "deploy" / "node.toml").read_text()
    path, tables = tmp_path / "node.toml", {**TABLES, "store": StoreTable, "http3": Http3Table}
    path.write_text(text)
    assert read_tables(str(path), tables) == {}
    path.write_text("\n".join(line[2:] for line in text.splitlines() if re.match(r"# (\[|\w+ = )", line)))
    assert set(read_tables(str(path), tables)) == {"cells", "store", "http3"}


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=6),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from([*SCHEMA, "servrs", "x"]), VALUES, max_size=5))
def test_any_table_is_a_configuration_or_lines_that_name_the_key(raw: dict[str, object]) -> None:
    from cloverhold.config.reading import faults as found

    lines = found(raw, CellsTable, "cells")
    if lines:
        assert all(line.startswith("cells") and "\n" not in line for line in lines)
        return
    table = msgspec.convert(raw, CellsTable)
    assert table.rules(["acme"]).known >= {"acme"} and len(table.orders()) == len(table.move)


@given(st.text(max_size=60))
def test_any_text_is_tables_or_one_line(text: str) -> None:
    try:
        assert isinstance(parse(text, "f"), dict)
    except ConfigFaults as error:
        assert len(error.lines) == 1


def test_kept_moves_are_replaced_whole_or_refused_by_name(tmp_path: Path) -> None:
    path = str(tmp_path / "cells")
    assert read_moves(path) == []
    write_moves(path, [{"id": "m"}])
    assert read_moves(path) == [{"id": "m"}] and os.listdir(tmp_path) == ["cells"]
    for text in ("", "{", "[]", '{"moves": []}', '{"moves": 3, "format": 1}', '{"format": 2, "moves": []}', "[" * 9999):
        Path(path).write_text(text)
        with pytest.raises(KeepError, match="cells"):
            read_moves(path)
    with pytest.raises(OSError):
        write_moves(str(tmp_path / "none" / "cells"), [])


def test_the_commands_plan_order_undo_and_show(tmp_path: Path) -> None:
    run, path, roster = CliRunner(), tmp_path / "node.toml", tmp_path / "members.json"
    state = tmp_path / "cells"
    path.write_text(f'# kept\n[cells]\nservers = 3 # three\nstate = "{state}"\n')
    targets = [{"uid": f"s{n}", "az": "ab"[n % 2], "state": "active"} for n in range(12)]
    roster.write_text(json.dumps({"rev": 1, "all": True, "targets": targets}))
    status = {"loads": {f"t{n}": 12.0 if n < 3 else 0.5 for n in range(20)}}
    (tmp_path / "status").write_text(json.dumps(status))
    args = ["plan", "--config", str(path), "--roster", str(roster), "--key", "acme"]
    said = run.invoke(main, [*args, "--json"])
    plan = json.loads(said.output)
    assert len(plan["cells"]["acme"]) == 3 and abs(sum(plan["overlap"].values()) - 1) < 1e-9
    said = run.invoke(main, [*args, "--status", str(tmp_path / "status"), "--goal", "0.4"])
    assert said.exit_code == 0 and "acme: " in said.output
    said = run.invoke(main, ["move", "acme", "--draw", "1", "--config", str(path)])
    assert said.exit_code == 0 and said.output.startswith("acme-")
    name = said.output.partition(":")[0]
    table = read_tables(str(path), TABLES)["cells"]
    assert isinstance(table, CellsTable) and table.orders()[0].to == Place(draw=1)
    assert "# kept" in path.read_text() and "# three" in path.read_text()
    assert run.invoke(main, ["undo", name, "--config", str(path)]).exit_code == 0
    table = read_tables(str(path), TABLES)["cells"]
    assert isinstance(table, CellsTable) and table.orders()[0].undo
    before = path.read_text()
    for bad in (["undo", "nobody"], ["move", "acme"], ["move", "acme", "--cell", "x"], ["move", "", "--draw", "1"]):
        said = run.invoke(main, [*bad, "--config", str(path)])
        assert said.exit_code != 0 and "Traceback" not in said.output, bad
    assert path.read_text() == before and not Path(f"{path}.new").exists()
    write_moves(str(state), [{"id": "m", "key": "acme", "old": [0, ""], "new": [1, ""], "stage": "done", "why": ""}])
    assert "acme from draw 0 to draw 1: done" in run.invoke(main, ["status", "--config", str(path)]).output
    path.write_text("[cells]\n")
    assert run.invoke(main, ["status", "--config", str(path)]).exit_code == 1


LOADS = st.lists(st.floats(0, 20), min_size=1, max_size=25)


@given(LOADS, st.integers(2, 4), st.integers(0, 12))
def test_every_first_part_of_a_rebalancing_helps(sizes: list[float], cells: int, most: int) -> None:
    names = [f"c{n}" for n in range(cells)]
    parts = {name: (f"{name}-0", f"{name}-1") for name in names}
    loads = {f"t{n}": load for n, load in enumerate(sizes)}
    at = {key: parts[names[0]] for key in loads}
    capacity = {server: 16.0 for part in parts.values() for server in part}
    options = [(Place(cell=name), parts[name]) for name in names]
    moves = rebalance(loads, at, capacity, lambda key: options, 0.6, most)
    assert len(moves) <= most
    worst = max(loads_of(loads, at, capacity).values())
    for move in moves:
        assert abs(move.before - worst) < 1e-9 and worst > 0.6
        at[move.key] = parts[move.to.cell]
        worst = max(loads_of(loads, at, capacity).values())
        assert abs(move.after - worst) < 1e-9
    if len(moves) < most and sum(sizes) / (32.0 * cells) < 0.3 and max(sizes) < 2:
        assert worst <= 0.6, "light ones can always be spread"
