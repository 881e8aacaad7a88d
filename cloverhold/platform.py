"""The platform's configuration: the file and the variables, read into one object, or refused in plain words."""

from __future__ import annotations

import json
import logging
import math
import os
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from cloverhold.decision import interface as io
from cloverhold.decision.checks import check_settings
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.server_list import ListError, Members, parse_address, read_members
from cloverhold.net.upstreams.calls import Address
from cloverhold.settings import SettingsError, module_settings, unlike

if TYPE_CHECKING:
    from cloverhold.cells.table import CellsTable
    from cloverhold.fleet.membership.table import MembershipTable
    from cloverhold.h3.table import Http3Table
    from cloverhold.store.table import StoreTable

log = logging.getLogger(__name__)

OPERATOR = "CLOVERHOLD_CONFIG"  # names the operator's own file; without it nothing of that is loaded
MOST_PEERS = 4096  # numbers of one fleet
LISTEN_FD = "PROXY_LISTEN_FD"  # names the listening socket that the platform holds, where it does


class ConfigError(Exception):
    """A configuration on which no node can run."""


@dataclass(frozen=True)
class Config:
    """What the platform tells a node."""

    listen: Address
    discovery: Address
    settings: io.Settings
    idle_ms: float
    dial_ms: float
    sockets: int
    seed: int
    known: Members | None
    cells: CellsTable | None = None
    store: StoreTable | None = None
    http3: Http3Table | None = None
    mgmt: Address | None = None
    listen_fd: int | None = None
    memory_mb: float = 192.0
    membership: MembershipTable | None = None
    peer_listen: Address | None = None  # with membership
    peers: tuple[Address, ...] = ()  # by number, this node's own among them
    raw: dict[str, Any] = field(default_factory=dict)  # the file, less the remembered list


@dataclass(frozen=True)
class Operator:
    """The tables of the operator's file; None for one that does not stand in it."""

    cells: CellsTable | None = None
    store: StoreTable | None = None
    http3: Http3Table | None = None
    membership: MembershipTable | None = None


def _address(raw: dict[str, Any], key: str, variable: str, *, file_wins: bool = False) -> Address:
    told = [os.environ.get(variable), raw.get(key)]
    text = next((t for t in (reversed(told) if file_wins else told) if t), None)
    if not isinstance(text, str):
        raise ConfigError(f"{key} is missing")
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_config(clock: Clock, before: Config | None = None) -> Config:
    """The configuration, from the file and the variables; ConfigError in plain words.

    Read again, after `before`, it must have all that the file in use has, and the file's address of discovery wins: the
    variable is as old as the process.
    """
    path = os.environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:  # the latter where brackets are nested without end
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: an object is needed")
    whole = {key: value for key, value in raw.items() if key != "known"}
    if before is not None and (fault := unlike(before.raw, whole)) is not None:
        raise ConfigError(f"{path}: {fault}")
    listen = _address(raw, "listen", "PROXY_LISTEN")
    discovery = _address(raw, "discovery", "PROXY_DISCOVERY", file_wins=before is not None)
    try:
        settings = module_settings(raw.get("settings"))
        check_settings(settings)
        limits = raw["settings"]["Limits"]
        idle, dial = (_positive(limits, *pair) for pair in (("ConnIdleMs", 60000.0), ("DialTimeoutMs", 250.0)))
        sockets = int((raw.get("limits") or {}).get("sockets", 1024))
        memory = _positive(raw.get("limits") or {}, "memory_mb", 192.0, "limits.")
        seed = int(str(raw.get("seed", "0")), 16)
    except (SettingsError, ValueError, TypeError, AttributeError, OverflowError) as error:
        raise ConfigError(f"{path}: {error}") from None
    said = _operator(os.environ[OPERATOR]) if os.environ.get(OPERATOR) else Operator()
    settings, known = replace(settings, pools=said.cells is not None), read_known(raw, clock)
    mgmt = _address(raw, "mgmt", "PROXY_MGMT") if raw.get("mgmt") or os.environ.get("PROXY_MGMT") else None
    peer_listen, peers = _peers(raw) if said.membership is not None else (None, ())
    return Config(
        listen, discovery, settings, idle, dial, sockets, seed, known, said.cells, said.store, said.http3,
        mgmt, _listen_fd(), memory, said.membership if peers else None, peer_listen, peers, whole,
    )  # fmt: skip


def _peers(raw: dict[str, Any]) -> tuple[Address | None, tuple[Address, ...]]:
    """Where words between nodes come and go; none where the settings do not allow them. ConfigError in plain words."""
    if raw["settings"]["Limits"].get("Peers") is not True:
        log.warning("membership: the settings allow no words between nodes; it stays off")
        return None, ()
    told, me = raw.get("peers"), raw["settings"].get("Me")
    if not isinstance(told, list) or not 2 <= len(told) <= MOST_PEERS:
        raise ConfigError(f"membership: peers: 2 to {MOST_PEERS} addresses are needed, one a number")
    try:
        peers = tuple(parse_address(str(text)) for text in told)
    except ValueError as error:
        raise ConfigError(f"membership: peers: {error}") from None
    if not isinstance(me, int) or not 0 <= me < len(peers):
        raise ConfigError("membership: settings: Me: this node's number among peers is needed")
    if len(set(peers)) < len(peers):
        raise ConfigError("membership: peers: an address stands there twice")
    return _address(raw, "peer_listen", "PROXY_PEER_LISTEN"), peers


def _positive(limits: dict[str, Any], key: str, default: float, where: str = "settings: Limits.") -> float:
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 < value < math.inf:
        raise ValueError(f"{where}{key}: must be a number above 0, got {value!r}")
    return float(value)


def _listen_fd() -> int | None:
    """The descriptor that the platform holds for clients; ConfigError where the variable names none."""
    text = os.environ.get(LISTEN_FD)
    if not text:
        return None
    if not text.isdecimal():
        raise ConfigError(f"{LISTEN_FD}: {text!r} is no descriptor")
    return int(text)


def _operator(path: str) -> Operator:
    """The operator's file; ConfigError in plain words."""
    try:
        from cloverhold.cells.table import CellsTable
        from cloverhold.config.reading import ConfigFaults, read_tables
        from cloverhold.fleet.membership.table import MembershipTable
        from cloverhold.h3.table import Http3Table
        from cloverhold.store.table import StoreTable
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path}: needs {error.name}: pip install 'cloverhold[cells]'") from None
    try:
        tables = read_tables(path, {
            "cells": CellsTable, "store": StoreTable, "http3": Http3Table, "membership": MembershipTable,
        })  # fmt: skip
    except ConfigFaults as error:
        raise ConfigError(str(error)) from None
    return Operator(**tables)  # type: ignore[arg-type]  # each of its own type: that is what reading them checked


def read_known(raw: dict[str, Any], clock: Clock) -> Members | None:
    """The remembered list. A bad one is no reason not to start: discovery will tell."""
    if not raw.get("known"):
        return None
    try:
        return read_members(raw["known"], clock)
    except ListError as error:
        log.warning("known: %s", error)
        return None
