"""What a node is put together from, as its configuration asks. What is off is not imported."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from cloverhold import __version__
from cloverhold.net.clock import Clock
from cloverhold.net.host import Host
from cloverhold.platform import Config, ConfigError, read_config

if TYPE_CHECKING:
    from cloverhold.cells.shell import Router
    from cloverhold.cells.table import CellsTable
    from cloverhold.fleet.membership.shell import Membership
    from cloverhold.net.fronts.http3 import Http3Front
    from cloverhold.store.remote import RemoteStore
    from cloverhold.store.service import StoreService
    from cloverhold.store.shell import Store
    from cloverhold.store.table import StoreTable
    from cloverhold.supervise.shell import Fellows
    from cloverhold.supervise.worker import Attached

log = logging.getLogger(__name__)
Opened = TypeVar("Opened")


def http3_of(config: Config, host: Host) -> Http3Front | None:
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


def own(cells: CellsTable, part: str) -> CellsTable:
    """The table of one worker: each moves by itself and keeps that in a file of its own."""
    import msgspec

    return msgspec.structs.replace(cells, state=f"{cells.state}.{part}") if part and cells.state else cells


def router_of(config: Config, clock: Clock, store: Store | RemoteStore | None, part: str) -> Router | None:
    if config.cells is None:
        return None
    from cloverhold.cells.keep import KeepError
    from cloverhold.cells.shell import Router

    try:
        return Router(own(config.cells, part), config.settings, clock.now, store)
    except KeepError as error:
        raise ConfigError(str(error)) from None


def store_of(config: Config, clock: Clock, worker: Attached | None = None) -> Store | RemoteStore | None:
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


def service_of(config: Config, clock: Clock) -> StoreService | None:
    """The one store of all workers."""
    if config.store is None:
        return None
    from cloverhold.store.service import StoreService

    return _opened(config.store, lambda table: StoreService(table, clock.now))


def membership_of(config: Config, changed: Callable[[], None]) -> Membership | None:
    """The node among its fellows. A life is drawn anew by each process, also under the same seed."""
    if config.membership is None:
        return None
    from cloverhold.fleet.membership.shell import Membership

    listen, me = config.peer_listen, config.settings.me
    assert listen is not None and me is not None
    life = int.from_bytes(os.urandom(4), "big") or 1
    major, minor = (int(part) for part in __version__.split(".")[:2])
    return Membership(config.membership, me, listen, config.peers, life, major << 8 | minor, changed)


def fellows_of(config: Config, clock: Clock) -> Fellows | None:
    """The same for a node of several workers: its supervisor is the member."""
    membership = membership_of(config, lambda: None)
    if membership is None:
        return None
    from cloverhold.supervise.shell import Fellows

    def peers() -> tuple[tuple[str, int], ...]:
        try:
            return read_config(clock, config).peers
        except ConfigError as error:
            log.error("configuration: %s; the old one stays", error)
            return ()

    return Fellows(membership, peers)
