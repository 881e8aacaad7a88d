"""Checks of the tree itself: the width of the policy files, and who may import whom. Run by `make lint`."""

from __future__ import annotations

import ast
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
WIDEST = 110  # of the lines of the policy files
IO_MODULES = {"asyncio", "socket", "select", "selectors", "ssl", "uvloop", "httptools", "subprocess"}
# Modules that decide or judge: neither they nor what they import may do I/O.
PURE = (
    *(f"cloverhold/decision/{path.name}" for path in sorted((ROOT / "cloverhold/decision").glob("*.py"))),
    *(f"cloverhold/cells/{name}.py" for name in (
        "core", "draw", "evidence", "moves", "poison", "rebalance", "rules", "tenancy", "ward",
    )),
    *(f"cloverhold/store/{name}.py" for name in (
        "codec", "desk", "disk", "log", "recovery", "sent", "simulated", "wire",
    )),
    *(f"cloverhold/h3/{name}.py" for name in ("door", "keys", "requests", "session", "streams")),
    *("cloverhold/bodies/budget.py", "cloverhold/bodies/upload.py", "cloverhold/lifecycle.py", "cloverhold/limits.py",
      "cloverhold/permission.py", "cloverhold/net/fronts/waits.py", "cloverhold/net/start_times.py",
      "cloverhold/sent_ids.py"),
    *(f"cloverhold/net/discovery/{name}.py" for name in (
        "call_times", "calls", "departures", "lower_versions", "merge", "merge_results", "whole_lists",
    )),
    *(f"cloverhold/fleet/membership/{name}.py" for name in (
        "book", "core", "doubt", "interface", "joining", "links", "own", "rings", "rumours", "shares", "votes",
        "words",
    )),
    *(f"cloverhold/fleet/agreement/{name}.py" for name in ("interface", "log", "voter")),
    *(f"cloverhold/fleet/capacity/{name}.py" for name in ("reckoning", "slopes")),
    "cloverhold/fleet/wire/datagrams.py",
    "cloverhold/roster.py",
    "cloverhold/settings.py",
    "cloverhold/succession/core.py",
    "cloverhold/supervise/core.py",
    *(f"cloverhold/rehearsal/{name}.py" for name in (
        "scenario", "faults", "plan", "machine", "catalog", "front", "ledger", "judge", "rules", "service", "spoil",
        "wire", "members", "soak/draw", "soak/verdict",
    )),
    *(f"cloverhold/simulation/{name}.py" for name in (
        "days", "figures", "fleet", "hollow/settled", "members", "network", "nodes", "registry", "servers", "shares",
        "timeline", "voters",
    )),
)  # fmt: skip
NODE = (
    *("cloverhold/__main__.py", "cloverhold/benchlink.py", "cloverhold/parts.py", "cloverhold/roster.py"),
    *("cloverhold/net", "cloverhold/decision", "cloverhold/supervise", "cloverhold/cells", "cloverhold/config"),
    *("cloverhold/store", "cloverhold/h3", "cloverhold/bodies", "cloverhold/succession", "cloverhold/fleet"),
)


def imports(path: Path) -> Iterator[str]:
    """The modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{name.name}" for name in node.names)


def _file(module: str) -> Path | None:
    path = ROOT / (module.replace(".", "/") + ".py")
    return path if path.exists() else None


def reached(path: Path, seen: set[Path]) -> Iterator[tuple[Path, str]]:
    """All imports of a file and of the project's files that it imports."""
    if path in seen:
        return
    seen.add(path)
    for module in imports(path):
        yield path, module
        inner = _file(module)
        if inner is not None:
            yield from reached(inner, seen)


def faults() -> Iterator[str]:
    """What is wrong with the tree, a line each."""
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    policy = [line for name in deploy["policy"] for line in (ROOT / name).read_text().splitlines()]
    if (widest := max(map(len, policy))) > WIDEST:
        yield f"policy: widest line {widest} ({WIDEST} at most)"
    for name in PURE:
        for path, module in reached(ROOT / name, set()):
            if module.split(".")[0] in IO_MODULES:
                yield f"{name} does no I/O, but {path.relative_to(ROOT)} imports {module}"
    for name in NODE:
        files = sorted((ROOT / name).rglob("*.py")) if (ROOT / name).is_dir() else [ROOT / name]
        for file in files:
            for path, module in reached(file, set()):
                if module.startswith(("cloverhold.rehearsal", "cloverhold.simulation")):
                    yield f"the node imports the kit: {path.relative_to(ROOT)} imports {module}"


if __name__ == "__main__":
    found = list(faults())
    print("\n".join(found) or "layout: good")
    sys.exit(bool(found))
