"""Scenarios as files: one may extend another beside it, and some are shipped."""

from __future__ import annotations

from importlib import resources
from pathlib import Path
from typing import Any

from cloverhold.rehearsal.scenario import Scenario, ScenarioError, check, merged, parse

BASE = "base"  # what the shipped scenarios extend; not one to play
MOST_EXTENDED = 4  # files over one another
MOST_PROCESSES = 16  # nodes of a scenario that is played by real ones


def _tables(path: Path, left: int) -> dict[str, Any]:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    raw = parse(text, str(path))
    under = raw.pop("extends", None)
    if under is None:
        return raw
    if not isinstance(under, str) or Path(under).name != under:
        raise ScenarioError(f"{path}: extends: the name of a file beside this one is allowed, got {under!r}")
    if left <= 1:
        raise ScenarioError(f"{path}: extends: at most {MOST_EXTENDED} files over one another are allowed")
    return merged(_tables(path.parent / under, left - 1), raw)


def load_scenario(path: Path) -> Scenario:
    """The scenario in a file. Raises ScenarioError, also where a file cannot be read."""
    scenario = check(_tables(path, MOST_EXTENDED), str(path))
    if scenario.nodes.count > MOST_PROCESSES:
        raise ScenarioError(f"{path}: nodes.count: at most {MOST_PROCESSES} is allowed, got {scenario.nodes.count}")
    return scenario


def shipped() -> dict[str, Path]:
    """The shipped scenarios by name."""
    with resources.as_file(resources.files("cloverhold.rehearsal") / "scenarios") as folder:
        return {path.stem: path for path in sorted(folder.glob("*.toml")) if path.stem != BASE}


def find(name: str) -> Scenario:
    """A shipped scenario by its name, or one in a file. Raises ScenarioError."""
    path = shipped().get(name)
    if path is None and "/" not in name and not name.endswith(".toml"):
        raise ScenarioError(f"no scenario {name!r} is shipped; `cloverhold rehearse --list` lists them")
    return load_scenario(path or Path(name))
