"""Tests that fail for a real fault that waits to be mended: `KNOWN-RED.txt` at the root names them, and only these.

One line each, `test id | command and seed | what was seen | issue`. They run; that they fail does not fail the checks,
and each is printed at the end, also one that passes by now: it is to be taken out of the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
FIELDS = 4


@dataclass(frozen=True, slots=True)
class Red:
    """One line."""

    test: str
    command: str  # that shows the failure, with its seed
    seen: str
    issue: str


def read(text: str) -> list[Red]:
    """The lines of the file; ValueError for one that is not whole, or for one twice."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    found = []
    for line in lines:
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != FIELDS or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"not 'test id | command and seed | what was seen | issue': {line}")
        found.append(Red(*parts))
    if len({red.test for red in found}) < len(found):
        raise ValueError("a test stands twice")
    return found


def known(path: Path = PATH) -> list[Red]:
    """Those of the file, none where there is no file."""
    return read(path.read_text(encoding="utf-8")) if path.exists() else []
