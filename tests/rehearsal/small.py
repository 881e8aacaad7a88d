"""Small scenarios for the tests of the kit."""

from __future__ import annotations

from typing import Any

from cloverhold.rehearsal.scenario import Scenario

CLASSES: list[dict[str, Any]] = [
    {"name": "consulta", "share": 0.5, "work_ms": 20.0, "aim_ms": 1000.0, "deadline_ms": 2000.0, "repeats": "safe"},
    {
        "name": "alerta-umbral", "share": 0.3, "work_ms": 12.0, "aim_ms": 600.0, "deadline_ms": 1200.0, "worth": 5.0,
        "repeats": "unsafe",
    },
    {
        "name": "lote", "share": 0.2, "work_ms": 20.0, "aim_ms": 1000.0, "deadline_ms": 2000.0, "worth": 2.0,
        "repeats": "keyed", "key_ttl_ms": 1500.0,
    },
]  # fmt: skip


def small(name: str = "small", **changes: Any) -> Scenario:
    """One node, four servers, three seconds."""
    raw: dict[str, Any] = {
        "name": name,
        "length_s": 3.0,
        "fleet": {"servers": 4, "cell_size": 2, "connection_work_ms": 2.0, "kind": [{"name": "media", "cold_s": 3.0}]},
        "discovery": {"notice_s": 0.1, "silent_notice_s": 1.0},
        "nodes": {"count": 1},
        "clients": {"rate_per_s": 40.0, "retries": 1},
        "class": CLASSES,
        **changes,
    }
    return Scenario.model_validate(raw)
