"""Nothing in the program is one customer's: its files hold no name of a class, tenant or zone of any deployment."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[2]
FIXTURES = ("rehearsal", "simulation")  # scenarios and modelled days, which the daemon does not import
WORDS = {"mover"}  # also plain words


def test_the_daemons_files_name_no_deployments_classes_and_import_no_fixtures() -> None:
    names = set[str]()
    for site in (ROOT / "deploy/sites").glob("*.toml"):
        raw = tomllib.loads(site.read_text())
        told = [*raw["class"], *raw.get("tenant", []), *raw["tier"]]
        names |= {entry["name"] for entry in told} | set(raw["net"]["zones"])
    names |= {"consulta", "alerta-umbral", "lote"}  # those that the kit's scenarios play
    assert len(names) > 15
    files = [
        path for path in (ROOT / "cloverhold").rglob("*.py")
        if path.relative_to(ROOT / "cloverhold").parts[0] not in FIXTURES and path.name != "cli.py"
    ]  # fmt: skip
    files += [ROOT / "deploy/balancer.toml", ROOT / "deploy/node.toml"]
    for path in files:
        text = path.read_text()
        found = [name for name in names - WORDS if f'"{name}"' in text or f"'{name}'" in text]
        assert not found, (path, found)
        assert not any(f"cloverhold.{fixture}" in text for fixture in FIXTURES), path
