"""The settings object, as the simulator's first message and a node's configuration both hold it."""

from __future__ import annotations

import math
from typing import Any

from cloverhold.decision import interface as io

_NUM = (int, float)
_REPEAT = {
    "read_like": io.Repeat.SAFE,
    "idempotency_key": io.Repeat.KEYED,
    "non_idempotent": io.Repeat.UNSAFE,
}
_GROUP = {group.value: group for group in io.Group}
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


def _number(obj: dict[str, Any], key: str, default: float, where: str = "") -> float:
    """A number that need not be there."""
    return float(_get(obj, key, _NUM, where)) if obj.get(key) is not None else default


def unlike(before: object, now: object, where: str = "") -> str | None:
    """What a file read again lacks of the one in use, as one plain line: a key, or a value of its kind; None where it
    has all. Guards against a file that is half written, or edited in haste: what is missing is no wish for a default.

    Of a list of objects each must have the keys that all of them had. Lists may be of any length.
    """
    if isinstance(before, dict):
        if not isinstance(now, dict):
            return f"{where or 'the file'}: an object is needed"
        for key, value in before.items():
            if key not in now:
                return f"{where}.{key} is missing".lstrip(".")
            if (fault := unlike(value, now[key], f"{where}.{key}".lstrip("."))) is not None:
                return fault
        return None
    if isinstance(before, list):
        if not isinstance(now, list):
            return f"{where}: a list is needed"
        if not before or not all(isinstance(item, dict) for item in before):
            return None
        common = {key: value for key, value in before[0].items() if all(key in item for item in before)}
        faults = (unlike(common, item, f"{where}[]") for item in now)
        return next((fault for fault in faults if fault is not None), None)
    kinds = (bool, _NUM, str)
    for kind in kinds if before is not None else ():
        if isinstance(before, kind):
            right = isinstance(now, kind) and (kind is bool or not isinstance(now, bool))
            right = right and (not isinstance(now, float) or math.isfinite(now))
            return None if right else f"{where}: has the wrong type: {now!r}"
    return None


def _word(table: dict[str, Any], key: object, what: str) -> Any:
    if not isinstance(key, str) or key not in table:
        raise SettingsError(f"unknown {what} {key!r}")
    return table[key]


def _wrong(where: str) -> bool:
    raise SettingsError(f"settings: {where} has the wrong type")


def _class(obj: dict[str, Any]) -> io.ClassSettings:
    where = "Profiles[]."
    if not isinstance(obj, dict):
        _wrong("Profiles[]")
    return io.ClassSettings(
        name=_get(obj, "Name", str, where),
        aim_ms=float(_get(obj, "AimMs", _NUM, where)),
        deadline_ms=float(_get(obj, "DeadlineMs", _NUM, where)),
        repeat=_word(_REPEAT, _get(obj, "Repeat", str, where), "Repeat"),
        group=_word(_GROUP, obj.get("Group") or "cell", "Group"),
        key_ttl_ms=_number(obj, "KeyTtlMs", 0.0, where),
        worth=_number(obj, "Points", 1.0, where),
        late_worth=_number(obj, "LateWorth", 0.0, where),
        aim_stretch=_number(obj, "AimStretch", 0.0, where),
        stream=bool(obj.get("Stream", False)),
    )


def module_settings(info: object) -> io.Settings:
    """The module's settings from the settings object. Unknown keys are skipped."""
    if not isinstance(info, dict):
        raise SettingsError("settings: an object is needed")
    rules, limits = _get(info, "Guarantees", dict), _get(info, "Limits", dict)
    prices, goal = info.get("Deductions") or {}, info.get("Goal") or {}
    if not isinstance(prices, dict) or not isinstance(goal, dict):
        raise SettingsError("settings: Deductions and Goal have the wrong type")
    must_ask = _number(rules, "MustAskInMs", 0.0, "Guarantees.")
    where = "Projects[]."
    tenants = tuple(
        io.TenantSettings(_get(t, "Name", str, where), float(_get(t, "QuotaPerS", _NUM, where)))
        for t in info.get("Projects") or ()
        if isinstance(t, dict) or _wrong("Projects[]")
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
        must_ask_ms=must_ask if must_ask and mode is io.ListMode.ASK else None,
        list_mode=mode,
        weight_source=_WEIGHTS.get(str(weight), io.WeightSource.NONE),
        probes=_get(limits, "Probes", bool, "Limits."),
        cancelling=_get(limits, "Cancelling", bool, "Limits."),
        parallel_tries=_get(limits, "ParallelTries", bool, "Limits."),
        retry_after=bool(limits.get("RetryAfter", False)),
        max_attempts=_get(limits, "MaxAttempts", int, "Limits."),
        max_held=int(_number(limits, "MostHeld", 0.0, "Limits.")) or 20000,
        max_retry_after_ms=_number(limits, "MaxRetryAfterMs", 0.0, "Limits."),
        worth_by_work=info.get("CountedBy") == "work",
        over_share_worth=_number(info, "OverShareWorth", 1.0),
        goal_whole=_number(goal, "Whole", 1.0, "Goal."),
        goal_worst_class=_number(goal, "WorstClass", 0.0, "Goal."),
        probe_price=_number(prices, "Probe", 0.0, "Deductions."),
        cross_zone_price=_number(prices, "CrossZone", 0.0, "Deductions."),
    )


def load_report(values: dict[str, float]) -> io.LoadReport:
    """A load report by the names of the settings or of the module. Unknown names are skipped."""
    return io.LoadReport(**{_LOAD_NAMES[n]: value for n, value in values.items() if n in _LOAD_NAMES})
