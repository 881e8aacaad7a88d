"""From a file to typed tables: every fault of the file in one go, a line each."""

from __future__ import annotations

import stat
import tomllib
from collections.abc import Mapping
from difflib import get_close_matches
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T", bound=msgspec.Struct)
MOST_BYTES = 4 * 1024 * 1024


class ConfigFaults(Exception):
    """A file that cannot be used. lines: one for each fault, each names the file and the key."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def read_text(path: str) -> str:
    """The text of a configuration file. Raises ConfigFaults where it is not a readable, plain file of a sane size."""
    try:
        status = Path(path).stat()
        if not stat.S_ISREG(status.st_mode):  # a pipe would block the start, a directory has no text
            raise ConfigFaults([f"{path}: not a plain file"])
        if status.st_size > MOST_BYTES:
            raise ConfigFaults([f"{path}: {status.st_size} bytes, {MOST_BYTES} are allowed"])
        return Path(path).read_bytes()[: MOST_BYTES + 1].decode("utf-8-sig")
    except OSError as error:
        raise ConfigFaults([f"{path}: {error.strerror}"]) from None
    except UnicodeDecodeError as error:
        raise ConfigFaults([f"{path}: not UTF-8 at byte {error.start}"]) from None


def parse(text: str, path: str) -> dict[str, Any]:
    """The document's tables, unchecked. Raises ConfigFaults where the text is not TOML."""
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as error:  # ValueError: also an integer of more digits than are converted
        raise ConfigFaults([f"{path}: not TOML: {error}"]) from None


def read_tables(path: str, tables: Mapping[str, type[msgspec.Struct]]) -> dict[str, msgspec.Struct]:
    """The tables of a file that stand in it, each of its type. Raises ConfigFaults with all that is wrong."""
    raw, lines = parse(read_text(path), path), []
    out: dict[str, msgspec.Struct] = {}
    for name, value in raw.items():
        kind = tables.get(name)
        if kind is None:
            lines.append(f"{path}: {name}: no such table{_nearest(name, tables)}")
            continue
        found = list(faults(value, kind, name))
        lines.extend(f"{path}: {fault}" for fault in found)
        if not found:
            out[name] = msgspec.convert(value, kind)
    if lines:
        raise ConfigFaults(lines)
    return out


def faults(value: object, kind: type[msgspec.Struct], where: str) -> list[str]:
    """What is wrong with one table, a line for each key: the library itself stops at the first."""
    if not isinstance(value, dict):
        return [f"{where}: a table is needed, got {_shown(value)}"]
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    lines = []
    for key, given in value.items():
        field = fields.get(key)
        if field is None:
            lines.append(f"{where}.{key}: no such key{_nearest(key, fields)}")
            continue
        try:
            msgspec.convert(given, field.type)
        except msgspec.ValidationError as error:
            said, _, place = str(error).partition(" - at `$")
            lines.append(f"{where}.{key}{place.rstrip('`')}: {said[:1].lower()}{said[1:]}, got {_shown(given)}")
    lines.extend(
        f"{where}.{name}: is missing" for name, field in fields.items() if field.required and name not in value
    )
    if not lines:
        try:
            msgspec.convert(value, kind)  # what keys must agree on
        except msgspec.ValidationError as error:
            lines.append(f"{where}: {error}")
    return lines


def _nearest(name: str, known: Mapping[str, object]) -> str:
    near = get_close_matches(name, known, 1)
    return f"; {near[0]!r} is meant?" if near else f"; known: {', '.join(known)}"


def _shown(value: object) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."
