"""Steps in which loads, paces and figures are filed, so that like servers tie. Arithmetic only: it decides nothing."""

from __future__ import annotations

import math

EXACT = 32  # loads above count in steps of root two: as far up, a bound need not be exact
OCTAVES = 20  # paces and figures lie within this many doublings from 1
POWER: dict[int, float] = {step: 2.0 ** (step / 2) for step in range(-2 * OCTAVES, 2 * OCTAVES + 1)}
PACE: dict[int, float] = {step: 2.0 ** (step / 4) for step in range(-4 * OCTAVES, 4 * OCTAVES + 1)}


def in_steps(steps: float, octave: int) -> int:
    """A factor as a whole number of steps, so many to a doubling, so that like servers tie."""
    return max(-octave * OCTAVES, min(octave * OCTAVES, round(steps)))


def load_key(load: float) -> float:
    """A load as the index files it: in quarters, and in steps of root two above `EXACT`, taken upwards."""
    if load <= EXACT:
        return round(4 * load) / 4
    return EXACT * POWER[min(math.ceil(2 * math.log2(load / EXACT)), 2 * OCTAVES)]
