"""Discovery's form of a list of servers, read and written. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

from cloverhold.decision import interface as io
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.departures import DEPARTURES, DepartureChanges, changes_value, read_changes
from cloverhold.net.upstreams.calls import Address

_STATES = {"active": io.Lifecycle.READY, "leaving": io.Lifecycle.DRAINING, "left": io.Lifecycle.GONE}
NO_VERSION = 0  # of a list that does not say which it is: no version can be shown to be later
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class ListError(Exception):
    """An answer of discovery, or a remembered list, that cannot be used."""


def parse_address(text: str) -> Address:
    """`host:port`; ValueError if it is not that."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address:port")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class ServerLine:
    """What an answer says of one server."""

    uid: str
    lifecycle: io.Lifecycle
    address: Address
    boot_ms: float  # Unix time; 0: long ago
    zone: str = ""
    cell: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class UnreadableLine:
    """What can be read of a line that is not whole; None where that can't be read either."""

    uid: str | None
    lifecycle: io.Lifecycle | None


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """One answer of discovery, as it was read."""

    version: int
    whole: bool  # whether it names all servers, and not only those that changed
    lines: tuple[ServerLine, ...]
    unreadable: tuple[UnreadableLine, ...] = ()

    def names_nobody(self) -> bool:
        """Whether it is a whole list without a line."""
        return self.whole and not self.lines and not self.unreadable


@dataclass(frozen=True, slots=True)
class Members:
    """A list, or changes of it, as the node takes it over, and where the servers listen as seen from this node.

    departures: what has changed of them, with a remembered list all of them; None where they are not known.
    """

    version: int
    full: bool
    entries: tuple[io.ServerEntry, ...]
    addresses: dict[str, Address]
    departures: DepartureChanges | None = None


def read_answer(value: object) -> ListAnswer:
    """An answer, with what can be read of its lines; ListError where it is no list.

    It is taken at its word, however unlikely: a whole list that names nobody says that all servers are gone. One whose
    version can't be read is of `NO_VERSION`, which is lower than any.
    """
    try:
        if not isinstance(value, dict):
            raise ValueError("not an object")
        whole, targets = bool(value["all"]), list(value["targets"])
    except _UNREADABLE as error:
        raise _list_error(error) from None
    version = _read_version(value)
    lines, unreadable = list[ServerLine](), list[UnreadableLine]()
    for target in targets:
        try:
            lines.append(_line(target))
        except _UNREADABLE:
            unreadable.append(_what_is_left(target))
    return ListAnswer(NO_VERSION if version is None else version, whole, tuple(lines), tuple(unreadable))


def _read_version(value: dict[str, Any]) -> int | None:
    try:
        return int(value["rev"])
    except _UNREADABLE:
        return None


def _list_error(error: Exception) -> ListError:
    return ListError(f"list of servers: {type(error).__name__}: {error}")


def _line(target: dict[str, Any]) -> ServerLine:
    uid, boot_ms = target["uid"], float(target.get("boot_ms") or 0)
    if not isinstance(uid, str) or not uid or not math.isfinite(boot_ms):
        raise ValueError("uid or boot_ms")
    weight = float(target.get("capacity_hint", 1.0))
    if not math.isfinite(weight):
        raise ValueError("capacity_hint")
    return ServerLine(
        uid=uid,
        lifecycle=_STATES[target["state"]],
        address=parse_address(target["endpoint"]),
        boot_ms=boot_ms,
        zone=str(target.get("az") or ""),
        cell=int(target.get("pod_group") or 0),
        weight=max(0.0, weight),
    )


def _what_is_left(target: object) -> UnreadableLine:
    if not isinstance(target, dict):
        return UnreadableLine(None, None)
    uid, state = target.get("uid"), target.get("state")
    return UnreadableLine(
        uid if isinstance(uid, str) and uid else None, _STATES.get(state) if isinstance(state, str) else None
    )


def read_members(value: object, clock: Clock) -> Members:
    """A remembered list in discovery's form; ListError for one that is not whole in all its lines."""
    answer = read_answer(value)
    if answer.unreadable or (isinstance(value, dict) and _read_version(value) is None):
        raise ListError("list of servers: a line or the version can't be read")
    if len({line.uid for line in answer.lines}) < len(answer.lines):
        raise ListError("list of servers: a name stands twice")
    departures = _read_departures(value)
    return members_of(answer.version, answer.lines, clock, full=answer.whole, live=False, departures=departures)


def _read_departures(value: object) -> DepartureChanges | None:
    told = value.get(DEPARTURES) if isinstance(value, dict) else None
    if told is None:
        return None
    try:
        return read_changes(told)
    except _UNREADABLE as error:
        raise _list_error(error) from None


def members_of(
    version: int,
    lines: Iterable[ServerLine],
    clock: Clock,
    *,
    full: bool,
    live: bool = True,
    departures: DepartureChanges | None = None,
) -> Members:
    """Lines, each server's once, as the node takes them over. live: whether discovery tells them now."""
    lines = tuple(lines)
    starts = clock.starts.resolve({line.uid: line.boot_ms for line in lines}, clock.now(), full=full, live=live)
    for line in lines:
        if line.lifecycle is io.Lifecycle.GONE:
            clock.starts.forget(line.uid)
    entries = tuple(_entry(line, starts[line.uid]) for line in lines)
    return Members(version, full, entries, {line.uid: line.address for line in lines}, departures)


def _entry(line: ServerLine, started_at: float | None) -> io.ServerEntry:
    entry = io.ServerEntry(line.uid, line.zone, line.cell, line.lifecycle, line.weight)
    return entry if started_at is None else replace(entry, started_at=started_at)


def lines_of(members: Members, clock: Clock) -> tuple[ServerLine, ...]:
    """A list that was taken over, as an answer would tell it."""
    return tuple(
        ServerLine(
            uid=entry.server,
            lifecycle=entry.lifecycle,
            address=members.addresses[entry.server],
            boot_ms=clock.starts.boot_ms(entry.server, entry.started_at),
            zone=entry.zone,
            cell=entry.cell,
            weight=entry.weight,
        )
        for entry in members.entries
    )


def members_value(members: Members, clock: Clock) -> dict[str, Any]:
    """A list in discovery's form, as `read_members` reads it, with the node's own key for departures."""
    names = {state: name for name, state in _STATES.items()}
    departures = {DEPARTURES: changes_value(members.departures)} if members.departures is not None else {}
    return {
        "rev": members.version,
        "all": members.full,
        "targets": [
            {
                "uid": line.uid,
                "endpoint": "{}:{}".format(*line.address),
                "az": line.zone,
                "pod_group": line.cell,
                "state": names[line.lifecycle],
                "capacity_hint": line.weight,
                "boot_ms": line.boot_ms,
            }
            for line in lines_of(members, clock)
        ],
        **departures,
    }
