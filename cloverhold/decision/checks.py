"""Checks of the settings; no decisions. Each error is a ValueError that names the key."""

from __future__ import annotations

import math
from collections.abc import Iterable

from cloverhold.decision.interface import ClassSettings, Settings, TenantSettings


def _number(key: str, value: object, low: float, *, above: bool = False, whole: bool = False) -> None:
    if isinstance(value, bool) or not isinstance(value, int if whole else (int, float)):
        raise ValueError(f"{key}: {'a whole number' if whole else 'a number'} is needed, got {value!r}")
    assert isinstance(value, (int, float))
    if not math.isfinite(value) or value < low or (above and value == low):
        raise ValueError(f"{key}: must be {'above' if above else 'at least'} {low:g}, got {value!r}")


def _unique(key: str, names: Iterable[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if not isinstance(name, str) or not name:
            raise ValueError(f"{key}: a name is needed, got {name!r}")
        if name in seen:
            raise ValueError(f"{key}: {name!r} is named twice")
        seen.add(name)


def check_settings(settings: Settings) -> None:
    """Raise ValueError, naming the key, for settings on which no node could act."""
    if not settings.classes:
        raise ValueError("classes: at least one class is needed")
    _unique("classes.name", (c.name for c in settings.classes))
    _unique("tenants.name", (t.name for t in settings.tenants))
    for kind in settings.classes:
        _check_class(kind)
    for tenant in settings.tenants:
        _check_tenant(tenant)
    _number("nodes", settings.nodes, 1, whole=True)
    if settings.living is not None:
        most = max(settings.living, default=0)
        if settings.me not in settings.living or len(settings.living) != settings.nodes or most >= settings.numbers:
            raise ValueError(f"living: must be numbers under {settings.numbers}, `me` and all others of `nodes`")
    elif settings.me is not None:
        _number("me", settings.me, 0, whole=True)
        if settings.me >= settings.nodes:
            raise ValueError(f"me: must be under nodes, {settings.nodes!r}, got {settings.me!r}")
    _number("max_attempts", settings.max_attempts, 1, whole=True)
    _number("max_held", settings.max_held, 1, whole=True)
    for key in ("tick_ms", "fall_multiple", "fall_ms", "cold_from"):
        _number(key, getattr(settings, key), 0, above=True)
    for key in (
        "answer_slack_ms",
        "drain_grace_ms",
        "cold_ms",
        "max_retry_after_ms",
        "over_share_worth",
        "goal_whole",
        "goal_worst_class",
        "probe_price",
        "cross_zone_price",
    ):
        _number(key, getattr(settings, key), 0)
    if settings.cold_from > 1:
        raise ValueError(f"cold_from: must be at most 1, got {settings.cold_from!r}")
    if settings.must_ask_ms is not None:
        _number("must_ask_ms", settings.must_ask_ms, 0, above=True)


def _check_class(kind: ClassSettings) -> None:
    _number(f"classes.{kind.name}.aim_ms", kind.aim_ms, 0, above=True)
    _number(f"classes.{kind.name}.deadline_ms", kind.deadline_ms, 0, above=True)
    for key in ("key_ttl_ms", "worth", "late_worth", "aim_stretch"):
        _number(f"classes.{kind.name}.{key}", getattr(kind, key), 0)


def _check_tenant(tenant: TenantSettings) -> None:
    _number(f"tenants.{tenant.name}.quota_per_s", tenant.quota_per_s, 0)
