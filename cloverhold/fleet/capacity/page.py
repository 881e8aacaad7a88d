"""The reckoning as a page's tables, and the slopes that were measured. No I/O but reading the file beside this one."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path

import msgspec

from cloverhold.fleet.capacity.reckoning import Row, Size, alone, rows
from cloverhold.fleet.capacity.slopes import Slope

MEASURED = Path(__file__).with_name("slopes.json")


def measured(path: Path = MEASURED) -> dict[str, Slope]:
    """The slopes by name. Raises OSError, or msgspec.ValidationError (a ValueError) for what is none."""
    found = msgspec.json.decode(path.read_bytes(), type=list[Slope])
    return {slope.name: slope for slope in found}


def shown(value: float | None) -> str:
    """Three digits that count; thousands parted."""
    if value is None:
        return "-"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def table(head: Sequence[str], lines: Iterable[Sequence[str]]) -> Iterator[str]:
    """A table in Markdown."""
    yield f"| {' | '.join(head)} |"
    yield f"| {' | '.join('---' for _ in head)} |"
    for line in lines:
        yield f"| {' | '.join(line)} |"


def _line(row: Row) -> tuple[str, ...]:
    factor, unit = row.factor(), f" {row.unit}" if row.unit else ""
    verdict = f"over, {factor:.3g} times" if row.verdict == "over" and factor is not None else row.verdict
    value = shown(row.value) + (unit if row.value is not None else "")
    if row.played is not None:
        value += f" at {row.played:,.0f}"
        verdict += " already" if row.verdict == "over" else " past it"
    return (
        row.role, row.moment, row.figure, value,
        shown(row.budget) + (unit if row.budget is not None else ""), row.carried_by, row.slope or "-", verdict,
    )  # fmt: skip


def reckoned(size: Size, slopes: Mapping[str, Slope]) -> Iterator[str]:
    """The page's tables at a size."""
    yield from table(
        ("role", "moment", "figure", "at this size", "budget", "carried by", "slope", "verdict"),
        map(_line, rows(size, slopes)),
    )
    yield ""
    yield from table(("from the figures alone", "", ""), ((what, shown(v), of) for what, v, of in alone(size)))


def sloped(slopes: Iterable[Slope]) -> Iterator[str]:
    """The slopes, each with what its smaller sizes told of the largest."""
    lines = []
    for s in slopes:
        curve = s.curve()
        spread = max((high - low) / value for low, high, value in zip(s.low, s.high, s.values, strict=True) if value)
        lines.append((
            s.name, s.figure, s.of, ", ".join(f"{size:,.0f}" for size in s.sizes), s.term, shown(curve.base),
            shown(curve.rate), f"{curve.off:.1%}", f"{spread:.1%}", shown(s.told()), f"{shown(s.values[-1])} {s.unit}",
            f"{s.missed():+.1%}", s.commit,
        ))  # fmt: skip
    yield from table(
        ("slope", "figure", "of", "sizes, the largest last", "term", "base", "rate", "residual at most",
         "spread at most", "told of the largest", "came", "off by", "commit"),
        lines,
    )  # fmt: skip
