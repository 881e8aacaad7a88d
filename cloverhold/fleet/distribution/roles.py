"""A writer, a relay or a node as a process of its own: `cloverhold fleet distribute FILE`."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
import time
from random import Random

from cloverhold.fleet.distribution.client import Unanswered, adopt
from cloverhold.fleet.distribution.durable import Durable
from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.interface import Switch
from cloverhold.fleet.distribution.resources import Checker
from cloverhold.fleet.distribution.scope import Scope
from cloverhold.fleet.distribution.shell import Shell
from cloverhold.fleet.distribution.table import DistributionTable
from cloverhold.fleet.distribution.writer import Relay, Writer
from cloverhold.net.discovery.server_list import parse_address
from cloverhold.store.log import Log
from cloverhold.store.real import RealDisk

log = logging.getLogger(__name__)
AGAIN_S = 0.2  # between two rounds over a writer's relays


async def recovered(table: DistributionTable, durable: Durable) -> dict[str, Scope]:
    """What a writer holds, with what most of its relays hold that is newer: its own disk may have been set back."""
    held = durable.scopes()
    left = [parse_address(source) for source in table.sources]
    enough = (len(left) - 1) // 2  # that may be left
    while left and len(left) > enough:
        for address in left.copy():
            try:
                await adopt(address, table.fleet, table.name, held, durable)
                left.remove(address)
            except Unanswered as error:
                log.warning("distribution: waits for what %s:%d holds: %s", *address, error)
        await asyncio.sleep(AGAIN_S)
    return held


def _say(**fields: object) -> None:
    print(json.dumps({"t": time.time(), **fields}), flush=True)


async def run(table: DistributionTable) -> None:
    """Until SIGTERM. Raises StoreError and OSError where it cannot begin."""
    loop, ended = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    disk = RealDisk(table.store)
    try:
        durable = Durable(Log(disk, os.urandom(16)))
        check = Checker(table.held_part)
        core: Writer | Relay | Follower
        if table.role == "writer":
            recovering = asyncio.ensure_future(recovered(table, durable))
            ending = asyncio.ensure_future(ended.wait())
            await asyncio.wait({recovering, ending}, return_when=asyncio.FIRST_COMPLETED)
            if not recovering.done():
                recovering.cancel()
                return
            ending.cancel()
            held = recovering.result()
            over = max((scope.mark.epoch for scope in held.values()), default=0)
            core = Writer(held, durable.next_epoch(over), check)
        elif table.role == "relay":
            core = Relay(durable.scopes())
        else:
            core = Follower(durable.scopes(), check)

        def switched(switch: Switch) -> None:
            _say(event="switched", scope=switch.scope, epoch=switch.mark.epoch, number=switch.mark.number,
                 digest=switch.mark.digest.hex(), changed=len(switch.changed))  # fmt: skip

        shell = Shell(core, durable, table.fleet, table.name, switched, Random())
        listen = parse_address(table.listen) if table.listen else None
        await shell.start(listen, [parse_address(source) for source in table.sources], table.scopes)
        for name, mark in shell.marks():
            _say(event="held", scope=name, epoch=mark.epoch, number=mark.number, digest=mark.digest.hex())
        _say(event="ready", role=table.role)
        await ended.wait()
        _say(event="ended", told=shell.told_bytes, heard=shell.heard_bytes, counts=dict(shell.counts))
        shell.close()
    finally:
        disk.close()


def main(table: DistributionTable) -> int:
    """Exit status: 0 ended by a signal, 1 could not begin."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(message)s")
    from cloverhold.store.codec import StoreError

    try:
        asyncio.run(run(table))
    except (StoreError, OSError) as error:
        print(f"distribution: {error}", file=sys.stderr)
        return 1
    return 0
