"""`python -m cloverhold`: one real node. Configuration, signals, start and stop."""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeVar

import uvloop

from cloverhold.decision import interface as io
from cloverhold.decision.checks import check_settings
from cloverhold.net.clock import Clock
from cloverhold.net.discovery import Discovery, ListError, Members, members_value, parse_address, read_members
from cloverhold.net.fronts.http1 import Listener
from cloverhold.net.host import Host
from cloverhold.net.upstreams.calls import Address
from cloverhold.net.upstreams.http1 import Pool
from cloverhold.settings import SettingsError, module_settings

if TYPE_CHECKING:
    from cloverhold.cells.shell import Router
    from cloverhold.cells.table import CellsTable
    from cloverhold.h3.table import Http3Table
    from cloverhold.net.fronts.http3 import Http3Front
    from cloverhold.store.remote import RemoteStore
    from cloverhold.store.service import StoreService
    from cloverhold.store.shell import Store
    from cloverhold.store.table import StoreTable
    from cloverhold.supervise.worker import Attached

log = logging.getLogger(__name__)
Opened = TypeVar("Opened")

WORKER = "CLOVERHOLD_WORKER"  # what a supervisor tells a worker
OPERATOR = "CLOVERHOLD_CONFIG"  # names the operator's own file; without it nothing of that is loaded

# Parts of the descriptors; the rest is for discovery, the listening socket and the interpreter.
CLIENT_PART, SERVER_PART = 0.5, 0.4
RESTING_PART = 1 / 6  # of connections between requests: clients hold a third at most
LINGER_S = 0.5  # after SIGTERM new connections still come for this long
GC_THRESHOLD = 5000, 20, 20  # by default collections took a twentieth of a busy node's CPU
DEADLINE_MOST_S, STOP_S = 3.0, 0.4  # SIGKILL comes 0.7 s after the longest deadline, of 3 s at most


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


@dataclass(frozen=True)
class Operator:
    """The tables of the operator's file; None for one that does not stand in it."""

    cells: CellsTable | None = None
    store: StoreTable | None = None
    http3: Http3Table | None = None


def _address(raw: dict[str, Any], key: str, variable: str, *, file_wins: bool = False) -> Address:
    told = [os.environ.get(variable), raw.get(key)]
    text = next((t for t in (reversed(told) if file_wins else told) if t), None)
    if not isinstance(text, str):
        raise ConfigError(f"{key} is missing")
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def read_config(clock: Clock, *, again: bool = False) -> Config:
    """The configuration, from the file and the variables; ConfigError in plain words.

    Read again, the file's address of discovery wins: the variable is as old as the process.
    """
    path = os.environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"{path}: an object is needed")
    listen = _address(raw, "listen", "PROXY_LISTEN")
    discovery = _address(raw, "discovery", "PROXY_DISCOVERY", file_wins=again)
    try:
        settings = module_settings(raw.get("settings"))
        check_settings(settings)
        limits = raw["settings"]["Limits"]
        idle, dial = float(limits.get("ConnIdleMs", 60000)), float(limits.get("DialTimeoutMs", 250))
        sockets = int((raw.get("limits") or {}).get("sockets", 1024))
        seed = int(str(raw.get("seed", "0")), 16)
    except (SettingsError, ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None
    said = _operator(os.environ[OPERATOR]) if os.environ.get(OPERATOR) else Operator()
    settings, known = replace(settings, pools=said.cells is not None), _known(raw, clock)
    return Config(
        listen, discovery, settings, idle, dial, sockets, seed, known, said.cells, said.store, said.http3
    )


def _operator(path: str) -> Operator:
    """The operator's file; ConfigError in plain words."""
    try:
        from cloverhold.cells.table import CellsTable
        from cloverhold.config.reading import ConfigFaults, read_tables
        from cloverhold.h3.table import Http3Table
        from cloverhold.store.table import StoreTable
    except ModuleNotFoundError as error:
        raise ConfigError(f"{path}: needs {error.name}: pip install 'cloverhold[cells]'") from None
    try:
        tables = read_tables(path, {"cells": CellsTable, "store": StoreTable, "http3": Http3Table})
    except ConfigFaults as error:
        raise ConfigError(str(error)) from None
    return Operator(**tables)  # type: ignore[arg-type]  # each of its own type: that is what reading them checked


def _http3(config: Config, host: Host) -> Http3Front | None:
    """The front of HTTP/3, where the operator asks for it."""
    if config.http3 is None:
        return None
    try:
        from cloverhold.net.fronts.http3 import FrontError, Http3Front
    except ModuleNotFoundError as error:
        raise ConfigError(f"http3: needs {error.name}: pip install 'cloverhold[http3]'") from None
    try:
        return Http3Front(host, config.http3)
    except FrontError as error:
        raise ConfigError(str(error)) from None


def _own(cells: CellsTable, part: str) -> CellsTable:
    """The table of one worker: each moves by itself and keeps that in a file of its own."""
    import msgspec

    return msgspec.structs.replace(cells, state=f"{cells.state}.{part}") if part and cells.state else cells


def _router(config: Config, clock: Clock, store: Store | RemoteStore | None, part: str) -> Router | None:
    if config.cells is None:
        return None
    from cloverhold.cells.keep import KeepError
    from cloverhold.cells.shell import Router

    try:
        return Router(_own(config.cells, part), config.settings, clock.now, store)
    except KeepError as error:
        raise ConfigError(str(error)) from None


def _known(raw: dict[str, Any], clock: Clock) -> Members | None:
    """The remembered list. A bad one is no reason not to start: discovery will tell."""
    if not raw.get("known"):
        return None
    try:
        return read_members(raw["known"], clock)
    except ListError as error:
        log.warning("known: %s", error)
        return None


def _store(config: Config, clock: Clock, worker: Attached | None = None) -> Store | RemoteStore | None:
    """The open store, a worker's at its supervisor; None where it is off, or cannot be used and the operator says to
    serve all the same.
    """
    if config.store is None:
        return None
    if worker is not None:
        if worker.store is None:
            return None
        from cloverhold.store.remote import RemoteStore

        return RemoteStore(worker.store, config.store.most_delay_ms)
    from cloverhold.store.shell import Store

    return _opened(config.store, lambda table: Store(table, clock.now))


def _opened(table: StoreTable, opens: Callable[[StoreTable], Opened]) -> Opened | None:
    """What opens a store; ConfigError where it cannot be used and the operator says to stop then."""
    from cloverhold.store.codec import StoreError

    try:
        return opens(table)
    except (StoreError, OSError) as error:
        if table.unreadable == "stop":
            raise ConfigError(f"store: {table.path}: {error}") from None
        log.error("store: %s: %s; unsafe requests are refused", table.path, error)
        return None


def _service(config: Config, clock: Clock) -> StoreService | None:
    """The one store of all workers."""
    if config.store is None:
        return None
    from cloverhold.store.service import StoreService

    return _opened(config.store, lambda table: StoreService(table, clock.now))


class Node:
    """The parts of a node, put together."""

    def __init__(self, config: Config, clock: Clock, worker: Attached | None = None) -> None:
        loop = asyncio.get_running_loop()
        most_servers = max(8, int(SERVER_PART * config.sockets))
        self.config, self.clock, self.worker = config, clock, worker
        self.pool = Pool(loop, config.dial_ms / 1000, config.idle_ms / 1000, most_servers)
        self.part = str(worker.number) if worker is not None else ""  # of the operator's files
        self.store = _store(config, clock, worker)
        self.router = _router(config, clock, self.store, self.part)
        self.host = Host(
            config.settings, config.seed, clock, self.pool, lambda on: self.discovery.watch(on), self.router,
            self.store, unsafe=config.store is None or self.store is not None,
        )  # fmt: skip
        asked = config.settings.list_mode is io.ListMode.ASK
        self.discovery = Discovery(
            config.discovery, clock, self._members, self.host.list_failed, asked=asked
        )
        clients, resting = (max(8, int(part * config.sockets)) for part in (CLIENT_PART, RESTING_PART))
        self.listener = Listener(self.host, clients, resting)
        self.http3 = _http3(config, self.host)

    def _members(self, members: Members) -> None:
        self.host.members(members)
        if self.worker is not None:
            self.worker.told(members_value(members, self.clock))
        if self.store is not None:
            self.store.keep_list(members_value(members, self.clock))

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, and then answer what was taken."""
        known = self.config.known
        if self.store is not None:
            self.store.start(asyncio.get_running_loop())
            if known is None:
                known = _known({"known": self.store.known()}, self.clock)
        if known is not None:
            self.host.members(known, remembered=True)
            self.discovery.resume(known.version)
            if self.store is not None:
                self.store.keep_list(members_value(known, self.clock))
        if self.router is not None:
            self.router.start(asyncio.get_running_loop())
        self.discovery.watch()
        await self.listener.start(self.config.listen, self.worker.listening if self.worker else None)
        if self.http3 is not None:
            await self.http3.start()
            if self.http3.table.announce:
                self.listener.announce = b'Alt-Svc: h3=":%d"; ma=86400\r\n' % self.http3.port()
        if self.worker is not None:
            self.worker.begin(stop)
        log.info("listening on %s:%d", *self.config.listen)
        gc.freeze()  # what is there now stays: collections need not look at it again
        gc.set_threshold(*GC_THRESHOLD)
        await stop.wait()
        await self._drain()

    def reload(self) -> None:
        """Read the configuration again, also in an outage or while draining; a bad one changes nothing.

        Only the address of discovery can change under load: the rest shapes what holds open requests.
        """
        try:
            config = read_config(self.clock, again=True)
            config = self.worker.share(config) if self.worker else config
        except ConfigError as error:
            log.error("configuration: %s; the old one stays", error)
            return
        if (config.listen, config.settings, config.sockets, config.store) != (
            self.config.listen,
            self.config.settings,
            self.config.sockets,
            self.config.store,
        ):
            log.warning("configuration: of what changed, only discovery takes effect before a restart")
        if self.router is not None and config.cells is not None:
            if waits := self.router.reload(_own(config.cells, self.part)):
                log.warning("configuration: cells: %s take effect at a restart", ", ".join(waits))
        self._reload_http3(config)
        self.discovery.follow(config.discovery)

    def _reload_http3(self, config: Config) -> None:
        """Certificates and bounds of HTTP/3; what cannot be used changes nothing."""
        if (self.http3 is None) != (config.http3 is None):
            log.warning("configuration: http3 comes and goes at a restart")
        elif self.http3 is not None and config.http3 is not None:
            from cloverhold.net.fronts.http3 import FrontError

            try:
                waits = self.http3.reload(config.http3)
            except FrontError as error:
                log.error("configuration: %s; the old one stays", error)
                return
            if waits:
                log.warning("configuration: http3: %s take effect at a restart", ", ".join(waits))

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        longest = max(c.deadline_ms for c in self.config.settings.classes) / 1000
        until = loop.time() + min(longest, DEADLINE_MOST_S) + STOP_S
        self.listener.draining = True
        self.listener.announce = b""
        if self.http3 is not None:
            self.http3.drain()
        await asyncio.sleep(LINGER_S)
        self.listener.stop_accepting()
        while self._busy() and loop.time() < until:
            await asyncio.sleep(0.02)
        self.host.fail_all()
        await asyncio.sleep(0.05)  # the last answers leave
        self.close()

    def _busy(self) -> bool:
        return self.listener.busy() or (self.http3 is not None and self.http3.busy())

    def close(self) -> None:
        """Close every socket and end every task."""
        self.listener.close()
        if self.http3 is not None:
            self.http3.close()
        if self.router is not None:
            self.router.close()
        self.discovery.stop()
        self.pool.close()
        if self.store is not None:
            self.store.close()


async def serve() -> None:
    """One node, from its configuration to SIGTERM."""
    clock, worker = Clock(), None
    config = read_config(clock)
    if WORKER in os.environ:
        from cloverhold.supervise.worker import Attached

        worker = Attached(os.environ.pop(WORKER))
        config = worker.share(config)
        if (known := worker.known()) is not None:
            config = replace(config, known=_known({"known": known}, clock))
    node, stop = Node(config, clock, worker), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)  # its default would end the process
    await node.run(stop)


def main(workers: int = 1) -> int:
    """Run a node, of several workers where more than one is asked for; 0 after SIGTERM, 2 on a configuration that it
    cannot run on.
    """
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(levelname)s %(message)s")
    try:
        if workers > 1:
            from cloverhold.supervise.shell import supervise

            clock = Clock()
            config = read_config(clock)
            if config.http3 is not None:  # a datagram of a connection would come to any of them
                raise ConfigError("http3: is served by one process; --workers is to be 1")
            return supervise(workers, config.listen, _service(config, clock))
        uvloop.run(serve())
    except ConfigError as error:
        print(f"configuration: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
