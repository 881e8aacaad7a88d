"""Discovery: the list of servers, watched. Failures back off and never lose the last good list."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from cloverhold.decision import interface as io
from cloverhold.net.clock import Clock
from cloverhold.net.http1 import BadMessage, ResponseParser
from cloverhold.net.upstreams.calls import Address

log = logging.getLogger(__name__)

HOLD_MS = 20000
LIST_LIMIT = 4 * 1024 * 1024
ANSWER_S = 2.0  # an answer that may not wait, or has waited its time, comes within this
PACE_S = 0.1  # between calls that bring nothing new; the next must come within 200 ms
BACKOFF_S, BACKOFF_MOST_S = 0.1, 2.0

_STATES = {"active": io.Lifecycle.READY, "leaving": io.Lifecycle.DRAINING, "left": io.Lifecycle.GONE}


class ListError(Exception):
    """An answer of discovery, or a remembered list, that cannot be used."""


def parse_address(text: str) -> Address:
    """`host:port`; ValueError if it is not that."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address:port")
    return host, int(port)


class Refused(ListError):
    """Discovery answered a call with a status of failure."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


@dataclass(frozen=True, slots=True)
class Members:
    """One answer: entries, and where their servers listen as seen from this node."""

    version: int
    full: bool
    entries: tuple[io.ServerEntry, ...]
    addresses: dict[str, Address]


def _entry(line: dict[str, Any], clock: Clock) -> tuple[io.ServerEntry, Address]:
    boot, weight = float(line.get("boot_ms") or 0), float(line.get("capacity_hint", 1.0))
    uid = line["uid"]
    if not isinstance(uid, str) or not uid or not math.isfinite(boot) or not math.isfinite(weight):
        raise ValueError("uid, boot_ms or capacity_hint")
    entry = io.ServerEntry(
        server=uid,
        zone=str(line.get("az") or ""),
        cell=int(line.get("pod_group") or 0),
        lifecycle=_STATES[line["state"]],
        weight=max(0.0, weight),
        started_at=clock.from_unix(boot) if boot > 0 else None,
    )
    return entry, parse_address(line["endpoint"])


def read_members(value: object, clock: Clock) -> Members:
    """Discovery's form of a list; ListError for one that is not that.

    A line that can't be read voids it: what it hid might be a drain. So does a name that stands twice, as one of the
    two lines would be passed over, and a whole list of nothing: a fleet has servers, a discovery that lost its store
    has none. A list whose servers all drain is taken at its word.
    """
    try:
        if not isinstance(value, dict):
            raise ValueError("not an object")
        pairs = [_entry(line, clock) for line in value["targets"]]
        version, full = int(value["rev"]), bool(value["all"])
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"list of servers: {type(error).__name__}: {error}") from None
    addresses = {entry.server: address for entry, address in pairs}
    if len(addresses) < len(pairs):
        raise ListError("list of servers: a name stands twice")
    if full and not pairs:
        raise ListError("list of servers: names none")
    return Members(version, full, tuple(entry for entry, _ in pairs), addresses)


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
                "boot_ms": clock.to_unix(e.started_at) if e.started_at is not None else 0,
            }
            for e in members.entries
        ],
    }


class _Link:
    """One kept connection to discovery."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def get(self, target: str, timeout_s: float) -> object:
        """The JSON of one answer; raises ListError or OSError, and has then closed the connection."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._get(target)
        except TimeoutError:
            self.close()
            raise ListError("no answer in time") from None
        except (OSError, ListError):
            self.close()
            raise

    async def _get(self, target: str) -> object:
        if self.reader is None or self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        host = f"{self.address[0]}:{self.address[1]}"
        self.writer.write(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        parser, response = ResponseParser(LIST_LIMIT), None
        while response is None:
            data = await self.reader.read(64 * 1024)
            if not data:
                raise ListError("the connection ended")
            try:
                response = parser.feed(data)
            except BadMessage as error:
                raise ListError(str(error)) from None
        if not response.keep_alive:
            self.close()
        if response.status != 200:
            raise Refused(response.status)
        try:
            value: object = json.loads(response.body)
        except (ValueError, RecursionError):  # the latter where brackets are nested without end
            raise ListError("not JSON") from None
        return value

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def _report(task: asyncio.Task[None]) -> None:
    """A watch that ended by a fault of the node would else stay unseen: the task is kept, and so silent."""
    if not task.cancelled() and (error := task.exception()) is not None:
        log.error("the watch has ended", exc_info=error)


class Discovery:
    """Follows the list. `told` gets each list; `failed` hears of a call that did not succeed."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        told: Callable[[Members], None],
        failed: Callable[[], None],
        *,
        asked: bool,
    ) -> None:
        self.link, self.clock, self.told, self.failed, self.asked = _Link(address), clock, told, failed, asked
        self.version: int | None = None  # None: the whole list is fetched first
        self.task: asyncio.Task[None] | None = None

    def resume(self, version: int) -> None:
        """Go on from a list that is held already: only what has changed since is asked for. Guards against a fleet
        that starts at once: each whole list is work for the one service, and the watches behind them then failed.
        """
        self.version = version

    def watch(self, on: bool = True) -> None:
        """Begin to watch, or end it. Where discovery is asked, a failure ends it until it is begun anew."""
        if on and (self.task is None or self.task.done()):
            self.task = asyncio.get_running_loop().create_task(self._follow())
            self.task.add_done_callback(_report)
        elif not on:
            self.stop()

    def follow(self, address: Address) -> None:
        """Watch discovery at another address. The last list stays until that one tells the whole of its own:
        its versions need not be those of the old one.
        """
        if address != self.link.address:
            log.info("discovery is now at %s:%d", *address)
            self.stop()
            self.link, self.version = _Link(address), None
        self.watch()

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.link.close()

    async def _follow(self) -> None:
        failures = 0
        while True:
            begun = time.monotonic()
            try:
                changed = await self._call()
            except (ListError, OSError) as error:
                failures += 1
                if failures == 1:
                    log.warning("discovery: %s", error)
                if self.asked:
                    self.failed()
                    return
                wait = min(BACKOFF_MOST_S, BACKOFF_S * 2.0 ** min(failures - 1, 6))
                await asyncio.sleep(wait * random.uniform(0.5, 1.0))  # no two nodes in step
                continue
            if failures:
                log.info("discovery is back")
            failures = 0
            if not changed:  # an agent on this machine answers at once: it is asked at an even pace
                await asyncio.sleep(max(0.0, PACE_S - (time.monotonic() - begun)))

    async def _call(self) -> bool:
        target, timeout = "/catalog/members", ANSWER_S
        if self.version is not None:
            target += f"?from={self.version}&hold_ms={HOLD_MS}"
            timeout += HOLD_MS / 1000
        try:
            members = read_members(await self.link.get(target, timeout), self.clock)
        except Refused as error:
            if 400 <= error.status < 500:  # it may not know that version
                self.version = None
            raise
        changed = members.full or bool(members.entries)
        # One that counts from anew, and so knows nothing of what this node holds, tells the whole list next.
        reset = self.version is not None and not members.full and members.version < self.version
        self.version = None if reset else members.version
        if changed:
            self.told(members)
        return changed
