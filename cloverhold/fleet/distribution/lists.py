"""A serving node's part of distribution: follows its service's scope, and says what its list comes to."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable
from random import Random

from cloverhold.fleet.distribution.beside import Beside
from cloverhold.fleet.distribution.durable import Durable
from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.interface import Switch
from cloverhold.fleet.distribution.resources import Checker
from cloverhold.fleet.distribution.shell import Shell
from cloverhold.fleet.distribution.table import DistributionTable
from cloverhold.net.discovery.server_list import Members, parse_address
from cloverhold.store.log import Log
from cloverhold.store.real import RealDisk

log = logging.getLogger(__name__)


class Lists:
    """Follows from `start` to `close`. Raises StoreError and OSError where its store cannot be used."""

    def __init__(self, table: DistributionTable, take: Callable[[Members], None]) -> None:
        """take: changes of the list that configuration makes."""
        self.table, self.take = table, take
        (service,) = table.services()
        self.beside = Beside(service)
        self._disk = RealDisk(table.store)
        try:
            durable = Durable(Log(self._disk, os.urandom(16)))
        except BaseException:
            self._disk.close()
            raise
        self._core = Follower(durable.scopes(), Checker(table.held_part))
        self.beside.configuration(self._core.held(service))  # what was in force before counts from the start
        self.shell = Shell(self._core, durable, table.fleet, table.name, self._switched, Random())

    async def start(self) -> None:
        """Begin to follow."""
        await self.shell.start(None, [parse_address(source) for source in self.table.sources], self.table.scopes)

    def close(self) -> None:
        """Follow no more."""
        if self.shell.close():
            self._disk.close()

    def gauges(self) -> dict[str, int]:
        """For `GET /_metrics`."""
        held = self._core.held(self.beside.scope)
        return {
            "distribution.taken_out_servers": len(self.beside.taken_out),
            "distribution.epoch": held.mark.epoch if held is not None else 0,
            "distribution.number": held.mark.number if held is not None else 0,
        } | {f"distribution.{what.replace(' ', '_')}": count for what, count in sorted(self.shell.counts.items())}

    def _switched(self, switch: Switch) -> None:
        log.info("distribution: %s is %d.%d", switch.scope, *switch.mark.version)
        if switch.scope == self.beside.scope:
            members = self.beside.configuration(self._core.held(switch.scope))
            if members is not None:
                self.take(members)
