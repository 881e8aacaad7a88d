"""The file that moves are kept in, for a node with a lasting disk: replaced whole, so that no cut leaves half of it."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

FORMAT = 1


class KeepError(Exception):
    """A file that cannot be used; the text names it and what is wrong."""


def read_moves(path: str) -> list[Mapping[str, Any]]:
    """The records kept there; none where there is no file yet. Raises KeepError."""
    try:
        raw = json.loads(Path(path).read_bytes())
    except FileNotFoundError:
        return []
    except (OSError, ValueError, RecursionError) as error:
        raise KeepError(f"{path}: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("moves"), list):
        raise KeepError(f"{path}: no record of moves")
    if raw.get("format") != FORMAT:
        raise KeepError(f"{path}: format {raw.get('format')!r}; this program reads {FORMAT}")
    return list(raw["moves"])


def write_moves(path: str, moves: Sequence[Mapping[str, Any]]) -> None:
    """Put these records in the place of those before, durably. Raises OSError; then those before still stand."""
    _replace(path, {"format": FORMAT, "moves": list(moves)}, durable=True)


def write_status(path: str, status: Mapping[str, Any]) -> None:
    """Put a status beside the moves, for `cloverhold cells status`. Raises OSError."""
    _replace(f"{path}.status", status, durable=False)


def _replace(path: str, value: Mapping[str, Any], *, durable: bool) -> None:
    spare = f"{path}.new"
    with open(spare, "w", encoding="utf-8") as file:
        json.dump(value, file)
        file.flush()
        if durable:
            os.fsync(file.fileno())
    os.replace(spare, path)
    if durable:  # the name lasts only with its directory
        folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
