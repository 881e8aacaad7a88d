"""What a seed makes of a soak: a fleet, its clients and faults that overlap. Pure.

Any two faults may meet, at one node too. Bounds on service are none: a soak is judged by the rules, not by figures.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, get_args

from cloverhold.rehearsal.faults import Hostility
from cloverhold.rehearsal.scenario import Scenario, server_name

LENGTH_S = 18.0
QUIET_S = 1.0  # at the start, before the first fault
LONG_QUIET_S = 20.0, 40.0  # the same, where it is long: the longest wait of a node begins and ends within it
LONG_QUIET = 0.25  # part of the soaks that are quiet for so long first
AILING = 0.8  # part of the soaks in which discovery answers badly around a drain
FEWEST, MOST = 5, 11  # faults
CROWDED = 0.3  # part of the soaks with a crowd of idle clients
NODES = 3, 6
SERVERS = 8, 16
HELD_UP_S = 0.15  # a node may be held up for so long
LONGEST_DEADLINES_MS = 500.0, 1000.0, 2000.0, 4000.0
Table = dict[str, Any]

ON_SERVERS: tuple[Callable[[Random], Table], ...] = (
    lambda r: {"kind": "crash"},
    lambda r: {"kind": "silent"},
    lambda r: {"kind": "hang"},
    lambda r: {"kind": "slow", "factor": r.uniform(2.0, 8.0)},
    lambda r: {"kind": "quick_errors", "share": r.uniform(0.2, 1.0)},
    lambda r: {
        "kind": "class_fails",
        "class": r.choice(["consulta", "alerta-umbral", "lote"]),
        "how": r.choice(["error", "reset", "silence"]),
    },
    lambda r: {
        "kind": "spoil",
        "how": r.choice(["cut", "noise", "noise_behind", "second_copy", "wrong_length", "endless_head", "early_1xx"]),
        "share": r.uniform(0.05, 0.4),
    },
    lambda r: {"kind": "idle_drop", "after_ms": r.uniform(50.0, 1000.0)},
    lambda r: {"kind": "late_connections", "for_s": r.uniform(0.2, 1.0)},
    lambda r: {"kind": "drain"},
    lambda r: {"kind": "replace", "gap_s": r.uniform(0.0, 1.0)},
    lambda r: {"kind": "rolling_restart", "drain_s": r.uniform(0.2, 1.0), "down_s": r.uniform(0.1, 0.5)},
)
ON_NODES: tuple[Callable[[Random], Table], ...] = (
    lambda r: {"kind": "discovery_down", "how": r.choice(["silent", "mute", "refuse", "error"])},
    lambda r: {"kind": "discovery_stale"},
    lambda r: {"kind": "node_kill"},
    lambda r: {"kind": "node_term"},
    lambda r: {"kind": "reload_move"},
    lambda r: {"kind": "reload_broken"},
    lambda r: {"kind": "node_drain"},
    lambda r: {"kind": "signal_series", "signal": "HUP", "for_s": r.uniform(0.1, 1.0)},
    lambda r: {"kind": "node_stop", "for_s": r.uniform(0.02, HELD_UP_S)},
    lambda r: {"kind": "wall_clock", "step_s": r.choice([-3600.0, -4.0, 4.0, 3600.0])},
)
ON_FLEET: tuple[Callable[[Random], Table], ...] = (
    lambda r: {"kind": "join", "count": r.randint(1, 4)},
    lambda r: {
        "kind": "heavy_tail",
        "class": "consulta",
        "share": r.uniform(0.02, 0.2),
        "factor": r.uniform(5.0, 30.0),
    },
)
AILMENTS_MOST_S = {"push": 0.15, "ask": 2.0}  # how much later an answer may come, by the mode of the lists
AILMENTS: tuple[Callable[[Random, float], Table], ...] = (
    lambda r, most: {"kind": "discovery_slow", "delay_ms": 1000 * r.uniform(most / 4, most)},
    lambda r, most: {"kind": "discovery_crowded", "call_ms": 1000 * r.uniform(most / 8, most / 2)},
    lambda r, most: {"kind": "discovery_trickle", "over_ms": 1000 * r.uniform(most / 4, most)},
    lambda r, most: {"kind": "discovery_half_silent", "every": r.randint(2, 4)},
    lambda r, most: {"kind": "discovery_down", "how": r.choice(["silent", "mute", "refuse", "error"])},
)
MISREPORTING = 0.4  # part of the soaks in which servers drain while discovery misreports
MISREPORTS = "open_connections", "stale_calls", "stale_connections", "unreadable", "named_twice"
INCOMPLETE = 0.3  # part of the soaks in which discovery's lists are not complete for one node or more
INCOMPLETE_LISTS = "names_nobody", "short_list", "bare_lines", "changes_left_out", "lost_store"
LAGGING = 0.15  # part of the soaks that end with a replica that lags at one node, behind servers that drain
LAGGING_FROM_S = 21.0  # the other faults are over
LAG_HEARD_S = 7.0  # until the drain is heard
LAG_S = 36.0  # longer than any span of a node that began with the drain
CALLS: tuple[tuple[str, str], ...] = (
    ("accept", "ENFILE"),
    ("accept", "EMFILE"),
    ("accept", "ECONNABORTED"),
    ("connect", "EADDRNOTAVAIL"),
    ("connect", "ENETUNREACH"),
    ("socket", "ENOBUFS"),
    ("recv", "short"),
    ("recv", "EINTR"),
    ("send", "short"),
    ("send", "EINTR"),
    ("wait", "EINTR"),
)


def draw(seed: int) -> Scenario:
    """The soak of this seed."""
    random = Random(f"soak:{seed}")
    nodes, servers = random.randint(*NODES), random.randint(*SERVERS)
    faults = [_fault(random, nodes, servers) for _ in range(random.randint(FEWEST, MOST))]
    if random.random() < CROWDED:
        faults.append(_crowd(random))
    faults.extend(_repeated_terms(faults))
    mode = random.choice(["push", "ask"])
    quiet_s, length_s = _quiet_s(seed), LENGTH_S
    if lagging := _drains_beside_lagging_replica(seed, nodes, servers):
        faults.extend(lagging)
        length_s = LAGGING_FROM_S + LAG_HEARD_S + LAG_S
    else:
        faults.extend(_drains_under_ailing_discovery(seed, mode, nodes, servers))
        misreporting = _drains_under_misreporting_discovery(seed, nodes, servers)
        faults.extend(misreporting or _drains_under_incomplete_lists(seed, nodes, servers))
    for fault in faults:
        fault["at_s"] += quiet_s
    raw: Table = {
        "name": f"soak-{seed}",
        "summary": "Random faults that overlap.",
        "seed": seed,
        "length_s": length_s + quiet_s,
        "fleet": {
            "servers": servers,
            "cell_size": random.choice([2, 4, servers]),
            "connection_work_ms": 2.0,
            "kind": [{"name": "media", "cold_s": random.choice([3.0, 6.0]), "cold_from": 0.4}],
        },
        "discovery": {
            "notice_s": random.choice([0.1, 1.0]),
            "silent_notice_s": random.choice([1.0, 4.0]),
            "mode": mode,
            "weights": "none" if any(fault.get("how") == "changes_left_out" for fault in faults) else "live",
        },
        "nodes": {
            "count": nodes,
            "kill_slack_s": 0.0,
            "sockets": random.choice([256, 1024]),
            "dial_timeout_ms": random.choice([250.0, 2000.0]),
        },
        "clients": {
            "rate_per_s": random.uniform(20.0, 45.0),
            "arrivals": "bursty",
            "retries": random.choice([0, 2]),
            "backoff_ms": random.choice([1.0, 100.0]),
            "impatient": random.choice([0.0, 0.15]),
            "ask_once": random.choice([0.0, 0.1]),
        },
        "class": _classes(random),
        "fault": faults,
    }
    return Scenario.model_validate(raw)


def _quiet_s(seed: int) -> float:
    random = Random(f"soak-quiet:{seed}")
    return random.uniform(*LONG_QUIET_S) if random.random() < LONG_QUIET else 0.0


def _part_of(random: Random, servers: int) -> list[str]:
    """The names of a quarter to a half of the servers."""
    return [server_name(n) for n in sorted(random.sample(range(servers), max(1, servers // random.randint(2, 4))))]


def _drain(at_s: float, for_s: float, servers: list[str]) -> Table:
    return {"kind": "drain", "at_s": at_s, "for_s": for_s, "servers": servers}


def _drains_under_ailing_discovery(seed: int, mode: str, nodes: int, servers: int) -> list[Table]:
    """Discovery answers some nodes badly, or was down for them, and servers drain meanwhile or right behind it.

    What an agent has counts as notified at once: there answers come late by less than the grace. No drain comes so late
    that its 6 s and its grace are not over in time to be judged.
    """
    random = Random(f"soak-discovery:{seed}")
    if random.random() >= AILING:
        return []
    begin, for_s = random.uniform(5.0, 6.5), random.uniform(1.0, 3.0)
    chosen = sorted(random.sample(range(nodes), random.randint(1, nodes)))
    drained = _part_of(random, servers)
    ailment = random.choice(AILMENTS)(random, AILMENTS_MOST_S[mode])
    drain_at = begin + random.choice([random.uniform(0.0, for_s), for_s + random.uniform(0.0, 0.5)])
    return [
        {"at_s": begin, "for_s": for_s, "nodes": chosen, **ailment},
        _drain(min(drain_at, LENGTH_S - 9.0), LENGTH_S, drained),
    ]


def _drains_under_misreporting_discovery(seed: int, nodes: int, servers: int) -> list[Table]:
    """Discovery is well in time, and odd in what it says to some nodes; servers drain meanwhile, to the end."""
    random = Random(f"soak-discovery-says:{seed}")
    if random.random() >= MISREPORTING:
        return []
    begin = random.uniform(2.0, 4.0)
    chosen = sorted(random.sample(range(nodes), random.randint(1, nodes)))
    drained = _part_of(random, servers)
    return [
        {
            "kind": "discovery_misreports",
            "how": random.choice(MISREPORTS),
            "at_s": begin,
            "for_s": LENGTH_S,
            "nodes": chosen,
        },
        _drain(begin + random.uniform(0.5, 4.0), LENGTH_S, drained),
    ]


def _drains_under_incomplete_lists(seed: int, nodes: int, servers: int) -> list[Table]:
    """Discovery's lists for some nodes are not complete for a while; servers drain meanwhile, to the end."""
    random = Random(f"soak-incomplete:{seed}")
    if random.random() >= INCOMPLETE:
        return []
    begin, for_s = random.uniform(1.0, 2.5), random.uniform(2.0, 3.5)
    chosen = sorted(random.sample(range(nodes), random.choice([1, 1, nodes])))
    drained = _part_of(random, servers)
    return [
        {
            "kind": "discovery_incomplete",
            "how": random.choice(INCOMPLETE_LISTS),
            "at_s": begin,
            "for_s": for_s,
            "nodes": chosen,
        },
        _drain(begin + random.uniform(0.2, for_s), LENGTH_S, drained),
    ]


def _drains_beside_lagging_replica(seed: int, nodes: int, servers: int) -> list[Table]:
    """Servers drain, which all nodes hear; from then on to the end all calls of one reach a replica that has not. It
    may be moved, or begin anew, meanwhile. Nothing else changes in the list: that node could not hear it.
    """
    random = Random(f"soak-drains-beside-lag:{seed}")
    if random.random() >= LAGGING:
        return []
    at_s, chosen = LAGGING_FROM_S, [random.randrange(nodes)]
    drained = _part_of(random, servers)
    lag: Table = {"kind": "discovery_misreports", "how": "lagging_replica", "after_s": LAG_HEARD_S}
    faults: list[Table] = [
        {**lag, "at_s": at_s - 0.1, "for_s": LAG_S + LAG_HEARD_S, "nodes": chosen},
        _drain(at_s, LAG_S + LAG_HEARD_S, drained),
    ]
    for kind in ("node_kill", "node_term", "reload_move"):
        if random.random() < 0.4:
            begin = at_s + LAG_HEARD_S + random.uniform(1.0, LAG_S / 2)
            faults.append({"kind": kind, "at_s": begin, "for_s": random.uniform(0.3, 2.0), "nodes": chosen})
    return faults


def _crowd(random: Random) -> Table:
    """Idle clients, or clients that stop within a head, more than the descriptors of a small node bear."""
    how, begin = random.choice(["silent", "stays_in_head"]), random.uniform(QUIET_S, LENGTH_S - 6.0)
    rate = random.uniform(60.0, 150.0)
    return {"kind": "hostile", "how": how, "at_s": begin, "for_s": random.uniform(2.0, 5.0), "rate_per_s": rate}


def _repeated_terms(faults: list[Table]) -> list[Table]:
    """SIGTERM comes in series, each time that one comes."""
    return [
        {"kind": "signal_series", "signal": "TERM", "at_s": x["at_s"] + 0.02, "for_s": 1.0, "nodes": x["nodes"]}
        for x in faults
        if x["kind"] == "node_term"
    ]


def _classes(random: Random) -> list[Table]:
    """Three classes, one of each effect; deadlines short or long."""
    longest = random.choice(LONGEST_DEADLINES_MS)
    short = max(400.0, longest * random.uniform(0.3, 1.0))
    group = random.choice(["all", "cell"])
    return [
        {"name": "consulta", "share": 0.45, "work_ms": 20.0, "aim_ms": longest / 2, "deadline_ms": longest,
         "repeats": "safe"},
        {"name": "alerta-umbral", "share": 0.3, "work_ms": 12.0, "aim_ms": short / 2, "deadline_ms": short,
         "worth": 5.0, "repeats": "unsafe", "body_bytes": random.choice([200, 20_000, 60_000])},
        {"name": "lote", "share": 0.25, "work_ms": 20.0, "aim_ms": longest / 2, "deadline_ms": longest, "worth": 2.0,
         "repeats": "keyed", "group": group, "key_ttl_ms": random.uniform(300.0, 2500.0),
         "answer_bytes": random.choice([300, 100_000])},
    ]  # fmt: skip


def _fault(random: Random, nodes: int, servers: int) -> Table:
    """One fault, its targets and its time."""
    begin = random.uniform(QUIET_S, LENGTH_S - 3.0)
    table: Table = {"at_s": begin, "for_s": random.uniform(0.3, 5.0)}
    chosen = random.random()
    if chosen < 0.4:
        count = random.randint(1, max(1, servers // 3))
        targets = sorted(server_name(n) for n in random.sample(range(servers), count))
        return {**table, **random.choice(ON_SERVERS)(random), "servers": targets}
    if chosen < 0.6:
        rate = random.uniform(1.0, 8.0)
        return {**table, "kind": "hostile", "how": random.choice(get_args(Hostility)), "rate_per_s": rate}
    if chosen < 0.65:
        return {**table, **random.choice(ON_FLEET)(random)}
    targets_of_nodes = sorted(random.sample(range(nodes), random.randint(1, max(1, nodes // 2))))
    if chosen < 0.77:
        call, error = random.choice(CALLS)
        failing = {"kind": "failing_calls", "call": call, "error": error, "share": random.uniform(0.01, 0.2)}
        return {**table, **failing, "nodes": targets_of_nodes}
    return {**table, **random.choice(ON_NODES)(random), "nodes": targets_of_nodes}
