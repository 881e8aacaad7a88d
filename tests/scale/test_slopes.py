"""Slopes and the reckoning: what they say of figures that are known, and what they refuse."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from cloverhold.fleet.capacity.page import measured, reckoned
from cloverhold.fleet.capacity.reckoning import LINES, LIST_LIMIT, MOST_PEERS, Size, alone, rows
from cloverhold.fleet.capacity.slopes import Slope, Term, fitted
from cloverhold.fleet.command import main
from cloverhold.net.discovery import connection
from cloverhold import platform

ROOT = Path(__file__).parents[2]
SIZES = (10.0, 20.0, 40.0, 80.0, 160.0)


def slope(term: Term, values: tuple[float, ...], **changes: object) -> Slope:
    told = {"low": values, "high": values, "sizes": SIZES, **changes}
    return Slope("a", "a figure", "B", "nodes", term=term, values=values, command="c", commit="0", **told)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("term", "values"),
    [
        ("flat", (5.0,) * 5),
        ("linear", tuple(3 + 2 * n for n in SIZES)),
        ("square", tuple(1 + n * n for n in SIZES)),
        ("log", (10.0, 11.0, 12.0, 13.0, 14.0)),
    ],
)
def test_a_curve_goes_through_what_it_is_made_of(term: Term, values: tuple[float, ...]) -> None:
    one = slope(term, values)
    assert one.told() == pytest.approx(values[-1]) and one.missed() == pytest.approx(0.0)
    assert one.curve().off == pytest.approx(0.0, abs=1e-12)
    assert one.whole().at(20.0) == pytest.approx(values[1])


def test_the_largest_is_told_without_looking_at_it() -> None:
    """And a term that is not the figure's shows in how far off that is."""
    values = tuple(n * n for n in SIZES)
    wrong = slope("linear", values)
    assert wrong.told() == fitted("linear", SIZES[:4], values[:4]).at(160.0) < 0.6 * values[-1]
    assert wrong.missed() > 0.7 and wrong.curve().off > 0.5


@pytest.mark.parametrize(
    "changes",
    [
        {"sizes": SIZES[:4]},
        {"sizes": (10.0, 20.0, 40.0, 80.0, 80.0)},
        {"sizes": (0.0, 20.0, 40.0, 80.0, 160.0)},
        {"low": (9.0,) * 5},
        {"high": (1.0,) * 5},
    ],
)
def test_what_is_no_slope_is_refused(changes: dict[str, object]) -> None:
    with pytest.raises(ValueError, match="a: "):
        slope("flat", (5.0,) * 5, **changes)
    raw = msgspec.to_builtins(slope("flat", (5.0,) * 5)) | changes
    with pytest.raises(msgspec.ValidationError, match="a: "):
        msgspec.convert(raw, Slope, strict=False)


def test_a_row_holds_or_is_over_and_what_is_not_measured_is_not_known() -> None:
    size = Size(nodes=100, servers=1000)
    held = {"table_bytes": slope("linear", tuple(1e5 * n for n in SIZES))}
    found = {row.figure: row for row in rows(size, held)}
    table = found["rows of all servers"]
    assert table.verdict == "over" and table.value == pytest.approx(100.0)
    assert table.factor() == pytest.approx(100 / 64)
    smaller = {row.figure: row.verdict for row in rows(Size(nodes=100, servers=600), held)}
    assert smaller["rows of all servers"] == "holds"
    assert found["what it holds of its fellows"].verdict == "not known"
    assert found["routes and services"].verdict == "not built"
    assert found["numbers of one fleet"].verdict == "holds"


def test_far_past_what_was_played_a_figure_is_known_only_where_it_was_over_already() -> None:
    most = SIZES[-1]
    quiet, loud = (slope("flat", (value,) * 5) for value in (100.0, 20_000.0))
    for nodes, one, verdict, played in (
        (int(4 * most), quiet, "holds", None),
        (int(5 * most), quiet, "not known", most),
        (int(5 * most), loud, "over", most),
    ):
        found = {row.figure: row for row in rows(Size(nodes=nodes), {"rest_bytes": one})}["membership, bytes a second"]
        assert (found.verdict, found.played) == (verdict, played)


def test_bounds_are_those_of_the_code_and_each_slope_that_a_line_names_was_measured() -> None:
    assert (LIST_LIMIT, MOST_PEERS) == (connection.LIST_LIMIT, platform.MOST_PEERS)
    held = measured()
    assert {line.slope for line in LINES if line.slope} <= held.keys()


def test_the_figures_alone_are_plain_arithmetic() -> None:
    said = {what: value for what, value, _ in alone(Size())}
    assert said["requests a node"] == pytest.approx(98.48, abs=0.01)
    assert said["nodes a machine"] == pytest.approx(471.4, abs=0.1)
    assert said["one service's requests at a node that serves all: one in"] == pytest.approx(31.5, abs=0.1)


@pytest.mark.parametrize("name", ["nodes", "in_force_s", "machines"])
def test_a_size_that_is_none_is_refused(name: str) -> None:
    with pytest.raises(ValueError, match=f"{name}: must be above 0"):
        Size(**{name: 0})


def test_the_page_has_the_table_that_the_command_prints() -> None:
    told = "\n".join(reckoned(Size(), measured()))
    assert CliRunner().invoke(main, ["capacity"]).output == told + "\n"
    page = (ROOT / "docs/CAPACITY.md").read_text()
    assert told in page
    assert "\n".join(reckoned(Size(nodes=200), measured())) not in page


def test_bad_words_to_the_command_are_refused() -> None:
    for words in (["--nodes", "1"], ["--servers", "many"], ["--requests", "0"], ["--zones", "3"]):
        assert CliRunner().invoke(main, ["capacity", *words]).exit_code == 2
