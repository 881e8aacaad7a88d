"""Hollow nodes on sockets: `python -m cloverhold.simulation.hollow.process PEERS FIRST COUNT` keeps some members of a
fleet in one process, each a node's own shell on a loopback address of its own.

A line on its input, a line of JSON on its output: `look` (what each has sent and holds, and the CPU of all), `kill N`,
`start N`. It ends with its input, so that no crash of whoever started it leaves one behind.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from random import SystemRandom
from typing import Any

import uvloop

from cloverhold.fleet.membership.shell import Address, Membership
from cloverhold.fleet.membership.table import MembershipTable
from cloverhold.fleet.wire.clock import now_ms

PORT = 7946


def address(number: int) -> Address:
    """Where a number listens: each has a loopback address of its own, so that no port can be taken."""
    return f"127.77.{number // 250}.{number % 250 + 1}", PORT


class Hollow:
    """Some members in one process."""

    def __init__(self, peers: int, fleet: str = "hollow") -> None:
        self.addresses = [address(number) for number in range(peers)]
        self.table = MembershipTable(fleet)
        self.chance = SystemRandom()
        self.running: dict[int, Membership] = {}

    async def start(self, number: int) -> None:
        """Start a member: it knows nobody. OSError where its address is taken."""
        life = self.chance.getrandbits(32) | 1
        shell = Membership(self.table, number, self.addresses[number], self.addresses, life, 1, changed=lambda: None)
        await shell.start()
        self.running[number] = shell

    def kill(self, number: int) -> None:
        """End a member with no word."""
        self.running.pop(number).close()

    def look(self) -> dict[str, Any]:
        """What each has sent and holds. cpu_s: of the whole process, all its members."""
        now = now_ms()
        return {
            "cpu_s": time.process_time(),
            "at_s": now / 1000,
            "nodes": {
                number: {
                    "datagrams": shell.sent, "bytes": shell.sent_bytes, "living": len(shell.member.book.living),
                    "acts_on_view": shell.member.view(now) is not None,
                }
                for number, shell in self.running.items()
            },
        }  # fmt: skip


async def serve(peers: int, first: int, count: int) -> None:
    """Keep the members, and do what comes on the input until it ends."""
    hollow, loop = Hollow(peers), asyncio.get_running_loop()
    for number in range(first, first + count):
        await hollow.start(number)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    print("{}", flush=True)
    while line := (await reader.readline()).decode().split():
        match line:
            case ["kill", which]:
                hollow.kill(int(which))
            case ["start", which]:
                await hollow.start(int(which))
        print(json.dumps(hollow.look()), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(*map(int, sys.argv[1:4])))
