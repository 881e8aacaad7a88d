"""`python -m cloverhold`: one real node. Configuration, signals, start and stop."""

from __future__ import annotations

from cloverhold import signals

if __name__ == "__main__":  # before the rest is loaded, which takes a while
    signals.hold()

import asyncio
import gc
import json
import logging
import os
import signal
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import uvloop

from cloverhold import parts
from cloverhold.bodies.budget import Budget, budget_of, clients_within
from cloverhold.lifecycle import Event, Life
from cloverhold.limits import OWN, Descriptors, descriptors
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.departures import DEPARTURES, read_changes
from cloverhold.net.discovery.server_list import Members, members_value
from cloverhold.net.discovery.watcher import Discovery
from cloverhold.net.fronts.listener import Listener
from cloverhold.net.host import Host
from cloverhold.net.inherited import NotListening, inherited_socket
from cloverhold.net.telemetry import Happening, Telemetry
from cloverhold.net.upstreams.http1 import Pool
from cloverhold.platform import LISTEN_FD, Config, ConfigError, read_config, read_known

if TYPE_CHECKING:
    import socket

    from cloverhold.decision.interface import Settings
    from cloverhold.fleet.membership.shares import Heard
    from cloverhold.fleet.membership.table import MembershipTable
    from cloverhold.net.discovery.departures import DepartureChanges
    from cloverhold.net.fronts.management import Calls, ManagementFront
    from cloverhold.succession.core import Share
    from cloverhold.succession.shell import Succession
    from cloverhold.supervise.worker import Attached

log = logging.getLogger(__name__)

WORKER = "CLOVERHOLD_WORKER"  # what a supervisor tells a worker
REMEMBERED_S = 1.5  # a list that another process had, or this one remembers, is good enough after this long
BEAT_S = 0.25  # between two looks of a worker at the age of its view
LINGER_S = 0.5  # after SIGTERM new connections still come for this long
AT_START = (  # of the configuration
    "listen", "mgmt", "sockets", "memory_mb", "seed", "store", "listen_fd", "membership", "peer_listen",
)  # fmt: skip
GC_THRESHOLD = 5000, 20, 20  # by default collections took a twentieth of a busy node's CPU
# SIGKILL comes 0.7 s after the longest deadline, of 3 s at most.
DEADLINE_MOST_S, STOP_S, FLUSH_S = 3.0, 0.4, 0.15


class Node:
    """The parts of a node, put together."""

    def __init__(self, config: Config, clock: Clock, worker: Attached | None = None) -> None:
        loop = asyncio.get_running_loop()
        shares = self._shares(config.sockets, config)
        self.life = Life()
        self.telemetry = Telemetry()
        self.config, self.clock, self.worker = config, clock, worker
        self.budget = Budget(budget_of(config.memory_mb), shares.clients)
        self.pool = Pool(
            loop, config.dial_ms / 1000, config.idle_ms / 1000, shares.servers, self.budget, self.telemetry
        )
        self.part = str(worker.number) if worker is not None else ""  # of the operator's files
        self.store = parts.store_of(config, clock, worker)
        self.router = parts.router_of(config, clock, self.store, self.part)
        self.host = Host(
            config.settings, config.seed, clock, self.pool, lambda on: self.discovery.watch(on), self.router,
            self.store, unsafe=config.store is None or self.store is not None, telemetry=self.telemetry,
        )  # fmt: skip
        self.discovery = Discovery(
            config.discovery, clock, self._members, self.host.lists.failed, lambda: self.host.settings, self.telemetry
        )
        self.listener = Listener(self.host, self.life, self.budget, shares, self.telemetry)
        self.http3 = parts.http3_of(config, self.host)
        self.succession = self._succession() if config.listen_fd is not None else None
        self.listener.successor = lambda: self.succession is not None and self.succession.share.successor
        self.membership = parts.membership_of(config, self._members_changed) if worker is None else None
        self.heard = self._heard(worker, config.membership) if worker is not None else None
        self.management = self._management() if config.mgmt is not None else None

    @staticmethod
    def _shares(sockets: int, config: Config) -> Descriptors:
        """How many connections of each kind fit: so many descriptors, and the memory that they take."""
        most_clients = clients_within(config.memory_mb)
        return descriptors(sockets, management=config.mgmt is not None, most_clients=most_clients)

    def _succession(self) -> Succession:
        import tempfile  # and much with it, which other nodes need not hold

        from cloverhold.succession.shell import Succession

        folder = Path(tempfile.gettempdir()) / "cloverhold"
        return Succession(
            folder, self.config.sockets, lambda: OWN + self.listener.held_connections() + len(self.pool.all),
            self.life.ready, self.host.sent_ids,
        )  # fmt: skip

    def _shared(self, share: Share) -> None:
        """Another process of this node has come or gone, or holds more or less."""
        from cloverhold.succession.core import bodies_of

        shares = self._shares(share.descriptors, self.config)
        self.listener.resize(shares)
        self.pool.resize(shares.servers)
        self.budget.resize(bodies_of(budget_of(self.config.memory_mb), share.parts))
        settings = self._own_settings(self.config.settings)
        if settings != self.host.settings:
            self.host.settle(settings)

    def _joined(self) -> Members | None:
        """Take a place among the node's processes; the list of another one, to begin with."""
        if self.succession is None:
            return None
        from cloverhold.succession.core import latest

        members = latest(self.succession.join())
        self.succession.changed = self._shared
        self.succession.departures_heard = self._learn
        self._shared(self.succession.share)
        return read_known({"known": members}, self.clock) if members is not None else None

    def _management(self) -> ManagementFront:
        from cloverhold.net.fronts.management import ManagementFront

        calls: Calls = {
            b"/_ready": (b"GET", lambda: self.life.ready() and self.host.ready()),
            b"/_lameduck/on": (b"POST", lambda: self._lame_duck(on=True)),
            b"/_lameduck/off": (b"POST", lambda: self._lame_duck(on=False)),
            b"/_metrics": (b"GET", lambda: json.dumps(self._metrics()).encode()),
            b"/_list": (b"GET", lambda: json.dumps(self.discovery.report.list_value()).encode()),
            b"/_withheld": (b"GET", lambda: json.dumps(self.discovery.withheld_value()).encode()),
            b"/_readmit": (b"POST", self.discovery.readmit_withheld),
        }
        if (membership := self.membership) is not None:
            calls[b"/_members"] = (b"GET", lambda: json.dumps(membership.report()).encode())
        return ManagementFront(calls, self.telemetry)

    def _metrics(self) -> dict[str, int]:
        """Counters, and gauges of what is held now."""
        memory = {
            "memory.budget_bytes": self.budget.total,
            "memory.held_bytes": self.budget.used,
            "memory.waiting": self.budget.waiting(),
            "connections.clients": len(self.listener.connections),
            "connections.servers": len(self.pool.all),
        }
        return self.telemetry.report() | self.discovery.gauges() | memory

    def _heard(self, worker: Attached, table: MembershipTable | None) -> Heard | None:
        """The view of a worker, which its supervisor tells."""
        if table is None:
            return None
        from cloverhold.fleet.membership.shares import Heard
        from cloverhold.fleet.wire.clock import now_ms

        loop, heard = asyncio.get_running_loop(), Heard(worker.workers, table.asleep_ms)

        def hear(view: dict[str, Any]) -> None:
            living = tuple(view["living"]) if view["living"] is not None else None
            if heard.hear(view["me"], living, view["said_ms"], now_ms()):
                log.info("members: shares among %s nodes", len(living) if living is not None else "the stated")
                self._members_changed()

        def fade() -> None:
            if heard.fade(now_ms()):
                log.warning("members: the supervisor says nothing: shares among the stated nodes")
                self._members_changed()
            loop.call_later(BEAT_S, fade)

        worker.heard = hear
        loop.call_later(BEAT_S, fade)
        return heard

    def _members_changed(self) -> None:
        """Other nodes live than before: shares of servers are dealt anew."""
        settings = self._own_settings(self.config.settings)
        if settings != self.host.settings:
            self.host.settle(settings)

    def _tell_life(self, event: Event) -> None:
        """An event of the process's life; each phase it enters is logged and counted."""
        before = self.life.phase
        after = self.life.tell(event, time.monotonic())
        if after is not before:
            self.telemetry.event(Happening.PHASE_ENTERED, after.value, before=before.value)

    def _lame_duck(self, *, on: bool) -> bool:
        """Drain the node, or take clients again; False where it stops."""
        if not self.life.lame_duck(on, time.monotonic()):
            return False
        if self.http3 is not None:
            self.http3.drain(on=on)
        return True

    def _members(self, members: Members) -> None:
        """Take over a list, or changes of one, and tell it to the node's other processes and to the store."""
        self.host.lists.take(members)
        self._tell_life(Event.LISTED)
        if self.succession is None and self.worker is None and self.store is None:
            return
        value = members_value(members, self.clock)
        if self.succession is not None:
            self.succession.told(value)
        if self.worker is not None:
            self.worker.told(value)
        if self.store is not None:
            self.store.keep_list(value)

    def _kept_departures(self) -> list[DepartureChanges]:
        """Those of the store, which may know more than the list that the node begins with."""
        kept = self.store.known() if self.store is not None else None
        return [read_changes(kept[DEPARTURES])] if kept is not None and DEPARTURES in kept else []

    def _learn(self, value: Any) -> None:
        """Departures that another process of this node has heard, as JSON."""
        try:
            self.discovery.learn(read_changes(value))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("departures of another process: %r", error)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until told to stop, and then answer what was taken."""
        inherited = self.worker.listening if self.worker else self._inherited()
        known = self._joined() or self.config.known
        if self.store is not None:
            self.store.start(asyncio.get_running_loop())
            if known is None:
                known = read_known({"known": self.store.known()}, self.clock)
        if known is not None:
            known = self.discovery.resume(known, self._kept_departures())
            self.host.lists.take(known, remembered=True)
            # Beside a process that serves, one is ready once its list is of now, or discovery does not answer.
            wait = REMEMBERED_S if self.succession is not None and self.succession.share.parts > 1 else 0.0
            asyncio.get_running_loop().call_later(wait, self._tell_life, Event.LISTED)
            if self.store is not None:
                self.store.keep_list(members_value(known, self.clock))
        if self.router is not None:
            self.router.start(asyncio.get_running_loop())
        self.discovery.watch()
        await self.listener.start(self.config.listen, inherited)
        if self.management is not None and self.config.mgmt is not None:
            await self.management.start(self.config.mgmt)
        if self.succession is not None:
            self.succession.start()
        if self.membership is not None:
            await self.membership.start()
        if self.http3 is not None:
            await self.http3.start()
            if self.http3.table.announce:
                self.listener.announce = b'Alt-Svc: h3=":%d"; ma=86400\r\n' % self.http3.port()
        if self.worker is not None:
            self.worker.departures_heard = self._learn
            self.worker.begin(stop)
        self._tell_life(Event.LISTENING)
        log.info("listening on %s:%d", *self.config.listen)
        gc.freeze()  # what is there now stays: collections need not look at it again
        gc.set_threshold(*GC_THRESHOLD)
        await stop.wait()
        await self._drain()

    def _inherited(self) -> socket.socket | None:
        """The listening socket that the platform holds, where it does."""
        if self.config.listen_fd is None:
            return None
        try:
            return inherited_socket(self.config.listen_fd, self.config.listen)
        except NotListening as error:
            raise ConfigError(f"{LISTEN_FD}: {error}") from None

    def reload(self) -> None:
        """Read the configuration again, also in an outage or while draining; a bad one changes nothing.

        Settings and the address of discovery change under load, the rest at the next start.
        """
        if self.life.ended():
            return  # nothing is watched any more, and nothing begins anew
        try:
            config = read_config(self.clock, self.config)
            config = self.worker.share(config) if self.worker else config
        except ConfigError as error:
            log.error("configuration: %s; the old one stays", error)
            return
        waiting = [key for key in AT_START if getattr(config, key) != getattr(self.config, key)]
        if waiting:
            log.warning("configuration: %s: takes effect at a restart", ", ".join(waiting))
        if config.settings != self.config.settings:
            self.host.settle(self._own_settings(config.settings))
            log.info("configuration: new settings, classes %s", ", ".join(c.name for c in config.settings.classes))
        if self.membership is not None and config.peers:
            self.membership.follow(config.peers)
        self.pool.retime(config.dial_ms / 1000, config.idle_ms / 1000)
        started = {key: getattr(self.config, key) for key in AT_START}
        self.config = replace(config, **started, cells=self.config.cells, http3=self.config.http3)
        if self.router is not None and config.cells is not None:
            if waits := self.router.reload(parts.own(config.cells, self.part)):
                log.warning("configuration: cells: %s take effect at a restart", ", ".join(waits))
        self._reload_http3(config)
        self.discovery.follow(config.discovery)

    def _own_settings(self, settings: Settings) -> Settings:
        """Settings as this process counts: it may be one of several."""
        if self.succession is not None and self.succession.share.parts > 1:
            from cloverhold.succession.core import as_one_of

            return as_one_of(settings, self.succession.share)
        view = self.membership or self.heard
        return view.overlaid(settings) if view is not None else settings

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
        longest = self.host.longest_ms() / 1000
        until = loop.time() + min(longest, DEADLINE_MOST_S) + STOP_S
        self._tell_life(Event.TERM)
        if self.membership is not None:
            self.membership.leave()
        self.listener.announce = b""
        if self.http3 is not None:
            self.http3.drain(on=True)
        if self.config.listen_fd is None:
            await asyncio.sleep(LINGER_S)
            await self.listener.stop_accepting()
            self.listener.close_idle_connections()
            await asyncio.sleep(0.02)  # what lay unread on one of them is taken
        else:  # what waits there is another process's; connections here end with an answer, or late
            await self.listener.stop_accepting()
        while self._busy() and loop.time() < until:
            await asyncio.sleep(0.02)
        self.host.fail_all()
        await asyncio.sleep(0.05)  # the last answers leave
        while self._busy() and loop.time() < until + FLUSH_S:  # some clients read slowly
            await asyncio.sleep(0.02)
        self._tell_life(Event.EMPTY)
        self.close()

    def _busy(self) -> bool:
        inherited = self.config.listen_fd is not None
        held = bool(self.listener.connections) if inherited else self.listener.busy()
        return held or (self.http3 is not None and self.http3.busy())

    def close(self) -> None:
        """Close every socket and end every task."""
        self.listener.close()
        if self.management is not None:
            self.management.close()
        if self.http3 is not None:
            self.http3.close()
        if self.router is not None:
            self.router.close()
        if self.succession is not None:
            self.succession.close()
        if self.membership is not None:
            self.membership.close()
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
            config = replace(config, known=read_known({"known": known}, clock))
    node, stop = Node(config, clock, worker), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    signals.release()
    await node.run(stop)
    signals.hold()  # their handlers go with the loop, before the process


def log_to_stderr() -> None:
    """Write the log to standard error, each line with its time: UTC, to the millisecond, by the wall clock."""
    logging.Formatter.converter = time.gmtime
    line = "%(levelname)s %(asctime)s.%(msecs)03dZ %(message)s"
    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format=line, datefmt="%Y-%m-%dT%H:%M:%S")


def main(workers: int = 1) -> int:
    """Run a node, of several workers where more than one is asked for; 0 after SIGTERM, 2 on a configuration that it
    cannot run on.
    """
    signals.hold()  # of the command line, which did not begin here
    log_to_stderr()
    try:
        if workers > 1:
            from cloverhold.supervise.shell import supervise

            clock = Clock()
            config = read_config(clock)
            if config.http3 is not None:  # a datagram of a connection would come to any of them
                raise ConfigError("http3: is served by one process; --workers is to be 1")
            if config.mgmt is not None or config.listen_fd is not None:
                raise ConfigError(f"mgmt and {LISTEN_FD}: are for one process; --workers is to be 1")
            return supervise(workers, config.listen, parts.service_of(config, clock), parts.fellows_of(config, clock))
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
