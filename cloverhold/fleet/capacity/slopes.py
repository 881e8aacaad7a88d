"""Slopes: a figure measured at several sizes, the curve through it, and how well it told the largest. Pure.

Least squares by `statistics.linear_regression` over one term of the size; which term is said by whoever measures, from
what the code does, and the residuals show whether that is so.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import log2
from statistics import linear_regression, mean
from typing import Literal

from msgspec import Struct

Term = Literal["flat", "log", "linear", "square"]
TERMS: dict[Term, Callable[[float], float]] = {
    "flat": lambda n: 0.0,
    "log": lambda n: log2(n),
    "linear": lambda n: n,
    "square": lambda n: n * n,
}
LEAST = 4  # sizes for a slope, and the largest beside them, which is predicted


class Slope(Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of one role. low, high: the spread over the plays at each size; values: their medians."""

    name: str
    figure: str
    unit: str
    of: str  # what `sizes` counts: nodes, servers, tenants
    term: Term
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    low: tuple[float, ...]
    high: tuple[float, ...]
    command: str
    commit: str

    def __post_init__(self) -> None:
        """Raises ValueError for what is no slope."""
        if not len(self.sizes) == len(self.values) == len(self.low) == len(self.high) > LEAST:
            raise ValueError(f"{self.name}: {LEAST} sizes and a largest are needed, each with its value and spread")
        if list(self.sizes) != sorted(set(self.sizes)) or self.sizes[0] < 1:
            raise ValueError(f"{self.name}: sizes rise, from 1 on")
        if self.term not in TERMS:
            raise ValueError(f"{self.name}: no such term: {self.term}")
        if not all(low <= value <= high for low, value, high in zip(self.low, self.values, self.high, strict=True)):
            raise ValueError(f"{self.name}: a value lies outside its spread")

    def curve(self) -> Curve:
        """Through all sizes but the largest."""
        return fitted(self.term, self.sizes[:-1], self.values[:-1])

    def whole(self) -> Curve:
        """Through all of them: what is reckoned with."""
        return fitted(self.term, self.sizes, self.values)

    def told(self) -> float:
        """What the smaller sizes say of the largest."""
        return self.curve().at(self.sizes[-1])

    def missed(self) -> float:
        """By what part that was off; above 0: the largest was more than told."""
        return self.values[-1] / self.told() - 1 if self.told() else 0.0


@dataclass(frozen=True, slots=True)
class Curve:
    """base + rate x term(size). off: the largest residual, as a part of the value there."""

    term: Term
    base: float
    rate: float
    off: float

    def at(self, size: float) -> float:
        """The figure at a size."""
        return self.base + self.rate * TERMS[self.term](size)


def fitted(term: Term, sizes: tuple[float, ...], values: tuple[float, ...]) -> Curve:
    """The curve through these points. ValueError for fewer than two."""
    if len(sizes) < 2:
        raise ValueError("two points at least")
    if term == "flat":
        base, rate = mean(values), 0.0
    else:
        rate, base = linear_regression([TERMS[term](size) for size in sizes], values)
    bare = Curve(term, base, rate, 0.0)
    residuals = [abs(bare.at(size) - value) / abs(value) for size, value in zip(sizes, values, strict=True) if value]
    return Curve(term, base, rate, max(residuals, default=0.0))
