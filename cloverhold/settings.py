"""The settings object, as the simulator's first message and a node's configuration both hold it."""

from __future__ import annotations

from typing import Any

from cloverhold.decision import interface as io

_NUM = (int, float)
_REPEAT = {
    "read_like": io.Repeat.SAFE,
    "idempotency_key": io.Repeat.KEYED,
    "non_idempotent": io.Repeat.UNSAFE,
}
_MODE = {"automatic": io.ListMode.PUSH, "subscribe": io.ListMode.ASK}
_WEIGHTS = {"nominal": io.WeightSource.NOMINAL, "rough": io.WeightSource.ROUGH, "live": io.WeightSource.LIVE}
_LOAD = {
    "active": "inflight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency_ms",
    "rps": "qps",
    "err_rps": "errors_per_s",
}
_LOAD_NAMES = _LOAD | {name: name for name in _LOAD.values()}


class SettingsError(Exception):
    """Settings that cannot be read; the text names the key."""


def _get(obj: dict[str, Any], key: str, kind: type | tuple[type, ...], where: str = "") -> Any:
    """A needed value of the settings; the error names its key."""
    if key not in obj:
        raise SettingsError(f"settings: {where}{key} is missing")
    value = obj[key]
    if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
        raise SettingsError(f"settings: {where}{key} has the wrong type: {value!r}")
    return value


def _word(table: dict[str, Any], key: str, what: str) -> Any:
    if key not in table:
        raise SettingsError(f"unknown {what} {key!r}")
    return table[key]


def _class(obj: dict[str, Any]) -> io.ClassSettings:
    where = "Profiles[]."
    if not isinstance(obj, dict):
        raise SettingsError("settings: Profiles[] has the wrong type")
    return io.ClassSettings(
        name=_get(obj, "Name", str, where),
        aim_ms=float(_get(obj, "AimMs", _NUM, where)),
        deadline_ms=float(_get(obj, "DeadlineMs", _NUM, where)),
        repeat=_word(_REPEAT, _get(obj, "Repeat", str, where), "Repeat"),
        group=io.Group(obj["Group"]) if obj.get("Group") in ("all", "zone", "cell") else io.Group.CELL,
        key_ttl_ms=float(obj.get("KeyTtlMs") or 0.0),
        worth=float(obj.get("Points", 1.0)),
        late_worth=float(obj.get("LateWorth") or 0.0),
        aim_stretch=float(obj.get("AimStretch") or 0.0),
        stream=bool(obj.get("Stream", False)),
    )


def module_settings(info: object) -> io.Settings:
    """The module's settings from the settings object. Unknown keys are skipped."""
    if not isinstance(info, dict):
        raise SettingsError("settings: an object is needed")
    rules, limits = _get(info, "Guarantees", dict), _get(info, "Limits", dict)
    prices = info.get("Deductions") or {}
    goal = info.get("Goal") or {}
    must_ask = rules.get("MustAskInMs")
    where = "Projects[]."
    tenants = tuple(
        io.TenantSettings(_get(t, "Name", str, where), float(_get(t, "QuotaPerS", _NUM, where)))
        for t in info.get("Projects") or ()
    )
    weight = info.get("WeightSource", "none")
    mode = _word(_MODE, _get(info, "RegistryMode", str), "RegistryMode")
    return io.Settings(
        classes=tuple(_class(c) for c in _get(info, "Profiles", list)),
        tenants=tenants,
        zone=_get(info, "Zone", str),
        nodes=_get(info, "GroupSize", int),
        me=_get(info, "Me", int) if "Me" in info else None,
        tick_ms=float(_get(info, "ResolutionMs", _NUM)),
        answer_slack_ms=float(_get(rules, "AnswerSlackMs", _NUM, "Guarantees.")),
        drain_grace_ms=float(_get(rules, "DrainGraceMs", _NUM, "Guarantees.")),
        cold_from=float(_get(rules, "ColdFrom", _NUM, "Guarantees.")),
        cold_ms=float(_get(rules, "ColdMs", _NUM, "Guarantees.")),
        fall_multiple=float(_get(rules, "FallMultiple", _NUM, "Guarantees.")),
        fall_ms=float(_get(rules, "FallMs", _NUM, "Guarantees.")),
        must_ask_ms=float(must_ask) if must_ask and mode is io.ListMode.ASK else None,
        list_mode=mode,
        weight_source=_WEIGHTS.get(weight, io.WeightSource.NONE),
        probes=_get(limits, "Probes", bool, "Limits."),
        cancelling=_get(limits, "Cancelling", bool, "Limits."),
        parallel_tries=_get(limits, "ParallelTries", bool, "Limits."),
        retry_after=bool(limits.get("RetryAfter", False)),
        max_attempts=_get(limits, "MaxAttempts", int, "Limits."),
        max_held=int(limits.get("MostHeld") or 20000),
        max_retry_after_ms=float(limits.get("MaxRetryAfterMs") or 0.0),
        worth_by_work=info.get("CountedBy") == "work",
        over_share_worth=float(info.get("OverShareWorth", 1.0)),
        goal_whole=float(goal.get("Whole", 1.0)),
        goal_worst_class=float(goal.get("WorstClass", 0.0)),
        probe_price=float(prices.get("Probe") or 0.0),
        cross_zone_price=float(prices.get("CrossZone") or 0.0),
    )


def load_report(values: dict[str, float]) -> io.LoadReport:
    """A load report by the names of the settings or of the module. Unknown names are skipped."""
    return io.LoadReport(**{_LOAD_NAMES[n]: value for n, value in values.items() if n in _LOAD_NAMES})
