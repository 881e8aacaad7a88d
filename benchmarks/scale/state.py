"""What one node holds, at a size, nothing of it shared; a play is a process. Used by benchmarks/scale/run.py."""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from random import Random

from cloverhold import Balancer, ClassSettings, ListKind, ServerEntry, ServerList, Settings
from cloverhold.cells.core import Cells
from cloverhold.cells.draw import Member as Place
from cloverhold.cells.rules import Rules as CellRules
from cloverhold.cells.tenancy import Cell
from cloverhold.fleet.membership.book import Book
from cloverhold.fleet.membership.core import Member
from cloverhold.fleet.membership.interface import Rules
from cloverhold.fleet.wire.datagrams import NEWEST, Claim, Datagram, Digest, Kind, State, encode, fill, fleet_of
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.connection import LIST_LIMIT
from cloverhold.net.discovery.server_list import read_members

FLEET = fleet_of("scale")


def _grown(build: Callable[[], object]) -> tuple[int, float]:
    """Bytes of Python's objects that a build leaves, and its seconds without the count."""
    begun = time.process_time()
    kept = build()
    took = time.process_time() - begun
    del kept
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return used, took


def table(servers: int) -> dict[str, float]:
    """The module's rows, entered as one whole list."""

    def build() -> Balancer:
        balancer = Balancer(Settings((ClassSettings("get", 500.0, 1500.0),), nodes=6600, me=7), 1)
        entries = tuple(ServerEntry(f"service-{n // 25}-{n % 25}", zone=f"z{n % 12}") for n in range(servers))
        balancer.handle(0.0, ServerList(ListKind.FULL, entries))
        return balancer

    used, took = _grown(build)
    return {"table_bytes": used, "table_ms": 1000 * took}


def line(number: int) -> dict[str, object]:
    """One server in discovery's form."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080"
    return {
        "uid": f"service-{number // 25}-{number % 25}",
        "az": f"z{number % 12}", "model": "m1", "pod_group": number // 25, "state": "active", "endpoint": address,
        "capacity_hint": 1.0, "boot_ms": 1_790_000_000_000 + number,
    }  # fmt: skip


def whole_list(servers: int) -> dict[str, float]:
    """A whole list on the wire, and read. list_limit: what the node takes of an answer."""
    text = json.dumps({"rev": 1, "all": True, "targets": [line(n) for n in range(servers)]}).encode()
    begun = time.process_time()
    read_members(json.loads(text), Clock())
    return {"list_bytes": len(text), "list_ms": 1000 * (time.process_time() - begun), "list_limit": LIST_LIMIT}


def tenants(count: int) -> dict[str, float]:
    """Tenants of cells that have asked once, before 100 servers."""

    def build() -> Cells:
        cells = Cells(CellRules(servers=4, newcomers=0, most_keys=2 * count), lambda pool: True)
        cells.members({f"s{n}": Place(f"s{n}") for n in range(100)}, 0.0)
        for n in range(count):
            cell = cells.route(f"tenant-{n}", 0.0)
            assert isinstance(cell, Cell)
            cells.left(cell)
        return cells

    used, _ = _grown(build)
    return {"tenants_bytes": used}


def book(members: int) -> dict[str, float]:
    """What a member holds of the others, told one by one; and what a newcomer is sent of it."""

    def build() -> Member:
        chance = Random(1)
        member = Member(0, members, 1, Rules(), chance, 0.0)
        for n in range(members):
            member.book.put(Claim(State.ALIVE, n, 1, chance.getrandbits(32)), 0.0, f"told by {n}")
        member.joining.one()  # the order in which it would ask
        member.book.view()
        return member

    used, _ = _grown(build)
    items = [Digest(1, members), *(Claim(State.ALIVE, n, 1, 1) for n in range(members))]
    parts = [encode(Datagram(Kind.ENTRIES, 1, 1, 1, items=part), FLEET) for part in fill(items, NEWEST)]
    return {"book_bytes": used, "view_bytes": sum(map(len, parts))}


def rings(members: int) -> dict[str, float]:
    """A death and a birth in a book of this size: microseconds for both."""
    book = Book(8)
    for n in range(members):
        book.put(Claim(State.ALIVE, n, 1, n + 1), 0.0, "")
    begun, times = time.process_time(), 2000
    for k in range(times):
        n = (k * 7919) % members
        book.bury(n, 1.0, "")
        book.put(Claim(State.ALIVE, n, 2 + k, n + 1), 2.0, "")
        book.view()
    return {"change_us": 1e6 * (time.process_time() - begun) / times}
