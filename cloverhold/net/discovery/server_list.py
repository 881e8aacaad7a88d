"""Discovery's form of a list of servers, read and written. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import Any

from cloverhold.decision import interface as io
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.calls import Answer
from cloverhold.net.upstreams.calls import Address

_STATES = {"active": io.Lifecycle.READY, "leaving": io.Lifecycle.DRAINING, "left": io.Lifecycle.GONE}


class ListError(Exception):
    """An answer of discovery, or a remembered list, that cannot be used."""


def parse_address(text: str) -> Address:
    """`host:port`; ValueError if it is not that."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address:port")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Members:
    """One answer: entries, and where their servers listen as seen from this node."""

    version: int
    full: bool
    entries: tuple[io.ServerEntry, ...]
    addresses: dict[str, Address]


def answer_of(value: object) -> Answer:
    """What an answer says of itself, before its entries are read; ListError for one that is not a list."""
    try:
        if not isinstance(value, dict):
            raise ValueError("not an object")
        return Answer(int(value["rev"]), bool(value["all"]), len(value["targets"]))
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise ListError(f"list of servers: {type(error).__name__}: {error}") from None


def _start(line: dict[str, Any]) -> tuple[str, float]:
    """The uid, and when it started in Unix ms."""
    uid, boot = line["uid"], float(line.get("boot_ms") or 0)
    if not isinstance(uid, str) or not uid or not math.isfinite(boot):
        raise ValueError("uid or boot_ms")
    return uid, boot


def _entry(line: dict[str, Any]) -> tuple[io.ServerEntry, Address]:
    weight = float(line.get("capacity_hint", 1.0))
    if not math.isfinite(weight):
        raise ValueError("capacity_hint")
    entry = io.ServerEntry(
        server=line["uid"],
        zone=str(line.get("az") or ""),
        cell=int(line.get("pod_group") or 0),
        lifecycle=_STATES[line["state"]],
        weight=max(0.0, weight),
    )
    return entry, parse_address(line["endpoint"])


def read_members(value: object, clock: Clock, *, live: bool = True) -> Members:
    """Discovery's form of a list; ListError for one that is not that. live: whether discovery tells it now.

    A line that can't be read voids it: what it hid might be a drain. So does a name that stands twice, as one of the
    two lines would be passed over, and a whole list of nothing: a fleet has servers, a discovery that lost its store
    has none. A list whose servers all drain is taken at its word.
    """
    try:
        if not isinstance(value, dict):
            raise ValueError("not an object")
        lines, version, full = value["targets"], int(value["rev"]), bool(value["all"])
        pairs = [_entry(line) for line in lines]
        boots = dict(map(_start, lines))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"list of servers: {type(error).__name__}: {error}") from None
    addresses = {entry.server: address for entry, address in pairs}
    if len(addresses) < len(pairs):
        raise ListError("list of servers: a name stands twice")
    if full and not pairs:
        raise ListError("list of servers: names none")
    starts = clock.starts.resolve(boots, clock.now(), full=full, live=live)
    entries = tuple(_started(entry, starts[entry.server]) for entry, _ in pairs)
    for entry in entries:
        if entry.lifecycle is io.Lifecycle.GONE:
            clock.starts.forget(entry.server)
    return Members(version, full, entries, addresses)


def _started(entry: io.ServerEntry, started_at: float | None) -> io.ServerEntry:
    """The entry with its start; most of a large list has none."""
    return entry if started_at is None else replace(entry, started_at=started_at)


def members_value(members: Members, clock: Clock) -> dict[str, Any]:
    """A list in discovery's form, as `read_members` reads it."""
    names = {state: name for name, state in _STATES.items()}
    return {
        "rev": members.version,
        "all": members.full,
        "targets": [
            {
                "uid": e.server,
                "endpoint": "{}:{}".format(*members.addresses[e.server]),
                "az": e.zone,
                "pod_group": e.cell,
                "state": names[e.lifecycle],
                "capacity_hint": e.weight,
                "boot_ms": clock.starts.boot_ms(e.server, e.started_at),
            }
            for e in members.entries
        ],
    }
