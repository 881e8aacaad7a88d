"""Discovery: the list of servers, watched. Failures back off and never lose the last good list."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from cloverhold.decision import interface as io
from cloverhold.net.clock import Clock
from cloverhold.net.http1 import BadMessage, ResponseParser
from cloverhold.net.upstreams.calls import Address

log = logging.getLogger(__name__)

LIST_LIMIT = 4 * 1024 * 1024
PACE_S = 0.1  # between calls that bring nothing new; the next must come within 200 ms
LATE_S, LATE_TIMES = 0.05, 5  # a loop that is later than this may have an answer that it has not read
AT_ONCE = 2  # calls that fell silent in a row before a service is left alone for a while
AGAIN_S = 2.0  # after a fault of the node in the watch

_STATES = {"active": io.Lifecycle.READY, "leaving": io.Lifecycle.DRAINING, "left": io.Lifecycle.GONE}


class ListError(Exception):
    """An answer of discovery, or a remembered list, that cannot be used."""


def parse_address(text: str) -> Address:
    """`host:port`; ValueError if it is not that."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address:port")
    return host, int(port)


class Silent(ListError):
    """Discovery did not answer a call in its time."""


class Refused(ListError):
    """Discovery answered a call with a status of failure."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


@dataclass(frozen=True, slots=True)
class Waits:
    """How long calls may take, in seconds. What a watch that fell silent has missed counts as told 6 s after it fell
    silent, or 2 s after its wait is over if that is later, whether or not it came; and a drain is to be kept within
    its grace from then on.

    | | asked | pushed |
    | --- | --- | --- |
    | the wait | `hold`, 15 to 20 s: each call is work for the one service, and no wait above 4 s leaves more than 2 s behind it | a quarter of the grace: calls cost nothing |
    | its answer | 0.8 s behind the wait | a quarter of the grace |
    | then | two calls that do not wait, 0.6 s each: 0.8 + 0.6 + 0.6 = 2 s, so that one of them may be silent too | calls that do not wait, at a like pace: an agent that was silent is heard of within half of the grace, as what it gets at its return counts at once |
    """  # noqa: E501

    hold: float
    answer: float
    at_once: float  # a call for changes that does not wait
    whole: float  # a call for the whole list
    pause: float  # behind a call that failed, where lists are pushed

    @classmethod
    def of(cls, settings: io.Settings) -> Waits:
        """By what the settings say of discovery and drains."""
        if settings.list_mode is io.ListMode.ASK:
            return cls(random.uniform(15.0, 20.0), 0.8, 0.6, 2.0, 0.0)  # no two nodes in step
        part = min(0.5, max(0.05, settings.drain_grace_ms / 4000))
        return cls(part, part, part, 4 * part, part * random.uniform(0.5, 1.0))


@dataclass(frozen=True, slots=True)
class Members:
    """One answer: entries, and where their servers listen as seen from this node."""

    version: int
    full: bool
    entries: tuple[io.ServerEntry, ...]
    addresses: dict[str, Address]


def _start(line: dict[str, Any]) -> tuple[str, float]:
    """The uid, and when it started in Unix ms."""
    uid, boot = line["uid"], float(line.get("boot_ms") or 0)
    if not isinstance(uid, str) or not uid or not math.isfinite(boot):
        raise ValueError("uid or boot_ms")
    return uid, boot


def _entry(line: dict[str, Any]) -> tuple[io.ServerEntry, Address]:
    weight = float(line.get("capacity_hint", 1.0))
    if not math.isfinite(weight):
        raise ValueError("capacity_hint")
    entry = io.ServerEntry(
        server=line["uid"],
        zone=str(line.get("az") or ""),
        cell=int(line.get("pod_group") or 0),
        lifecycle=_STATES[line["state"]],
        weight=max(0.0, weight),
    )
    return entry, parse_address(line["endpoint"])


def read_members(value: object, clock: Clock, *, live: bool = True) -> Members:
    """Discovery's form of a list; ListError for one that is not that. live: whether discovery tells it now.

    A line that can't be read voids it: what it hid might be a drain. So does a name that stands twice, as one of the
    two lines would be passed over, and a whole list of nothing: a fleet has servers, a discovery that lost its store
    has none. A list whose servers all drain is taken at its word.
    """
    try:
        if not isinstance(value, dict):
            raise ValueError("not an object")
        lines, version, full = value["targets"], int(value["rev"]), bool(value["all"])
        pairs = [_entry(line) for line in lines]
        boots = dict(map(_start, lines))
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ListError(f"list of servers: {type(error).__name__}: {error}") from None
    addresses = {entry.server: address for entry, address in pairs}
    if len(addresses) < len(pairs):
        raise ListError("list of servers: a name stands twice")
    if full and not pairs:
        raise ListError("list of servers: names none")
    starts = clock.starts.resolve(boots, clock.now(), full=full, live=live)
    entries = tuple(_started(entry, starts[entry.server]) for entry, _ in pairs)
    for entry in entries:
        if entry.lifecycle is io.Lifecycle.GONE:
            clock.starts.forget(entry.server)
    return Members(version, full, entries, addresses)


def _started(entry: io.ServerEntry, started_at: float | None) -> io.ServerEntry:
    """The entry with its start; most of a large list has none."""
    return entry if started_at is None else replace(entry, started_at=started_at)


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
                "boot_ms": clock.starts.boot_ms(e.server, e.started_at),
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
        answer = asyncio.ensure_future(self._get(target))
        due = time.monotonic() + timeout_s
        try:
            for _ in range(LATE_TIMES):
                await asyncio.wait({answer}, timeout=max(0.0, due - time.monotonic()))
                late = time.monotonic() - due
                if answer.done() or late < LATE_S:
                    break
                due += late + LATE_S  # the loop is late, and not discovery: what has come is read first
            if not answer.done():
                raise Silent("no answer in time")
            return answer.result()
        except (OSError, ListError):
            self.close()
            raise
        finally:
            answer.cancel()

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


class Discovery:
    """Follows the list. `told` gets each list; `failed` hears of a call that did not succeed."""

    def __init__(
        self,
        address: Address,
        clock: Clock,
        told: Callable[[Members], None],
        failed: Callable[[], None],
        settings: Callable[[], io.Settings],
    ) -> None:
        """settings: those in use; they say whether discovery is asked, and how long a drain may go unknown."""
        self.link, self.clock, self.told, self.failed, self.settings = _Link(address), clock, told, failed, settings
        self.version: int | None = None  # None: the whole list is fetched first
        self.task: asyncio.Task[None] | None = None
        self.failures = self.silences = 0  # calls in a row that failed, that fell silent

    def resume(self, version: int) -> None:
        """Go on from a list that is held already: only what has changed since is asked for. Guards against a fleet
        that starts at once: each whole list is work for the one service, and the watches behind them then failed.
        """
        self.version = version

    def watch(self, on: bool = True) -> None:
        """Begin to watch, or end it. Where discovery is asked, a failure ends it until it is begun anew."""
        if on and self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._follow())
            self.task.add_done_callback(self._ended)
        elif not on:
            self.stop()

    def _ended(self, task: asyncio.Task[None]) -> None:
        """A watch that a fault of the node ended begins anew, with the whole list: its last may be half taken."""
        if task.cancelled() or (error := task.exception()) is None:
            return
        log.error("the watch has ended, and begins anew", exc_info=error)
        if self.task is task:
            self.task, self.version = None, None
            self.link.close()
            task.get_loop().call_later(AGAIN_S, self.watch)

    def follow(self, address: Address) -> None:
        """Watch discovery at another address. The last list stays until that one tells the whole of its own:
        its versions need not be those of the old one.
        """
        if address != self.link.address:
            log.info("discovery is now at %s:%d", *address)
            self.stop()
            self.link, self.version, self.failures, self.silences = _Link(address), None, 0, 0
        self.watch()

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.task = None
        self.link.close()

    async def _follow(self) -> None:
        while True:
            begun, settings = time.monotonic(), self.settings()
            waits, asked = Waits.of(settings), settings.list_mode is io.ListMode.ASK
            try:
                changed = await self._call(waits)
            except (ListError, OSError) as error:
                self.failures += 1
                self.silences = self.silences + 1 if isinstance(error, Silent) else 0
                if self.failures == 1:
                    log.warning("discovery: %s", error)
                if asked and not 0 < self.silences <= AT_ONCE:
                    self.task = None  # whoever hears of it may ask for a watch at once
                    self.failed()
                    return
                await asyncio.sleep(waits.pause)
                continue
            if self.failures:
                log.info("discovery is back")
            self.failures = self.silences = 0
            if not changed:  # an agent on this machine answers at once: it is asked at an even pace
                await asyncio.sleep(max(0.0, min(PACE_S, waits.hold) - (time.monotonic() - begun)))

    async def _call(self, waits: Waits) -> bool:
        target, timeout = "/catalog/members", waits.whole
        if self.version is not None:
            hold, timeout = (0.001, waits.at_once) if self.silences else (waits.hold, waits.hold + waits.answer)
            target += f"?from={self.version}&hold_ms={hold * 1000:.0f}"
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
