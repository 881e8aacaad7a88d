"""Follows the list of servers: when discovery is called, and what its answers change."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from dataclasses import dataclass

from cloverhold.decision import interface as io
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.connection import Connection, Refused, Silent
from cloverhold.net.discovery.server_list import ListError, Members, read_members
from cloverhold.net.upstreams.calls import Address

log = logging.getLogger(__name__)

PACE_S = 0.1  # between calls that bring nothing new; the next must come within 200 ms
AT_ONCE = 2  # calls that fell silent in a row before a service is left alone for a while
AGAIN_S = 2.0  # after a fault of the node in the watch


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
        self.link, self.clock, self.told, self.failed, self.settings = (
            Connection(address),
            clock,
            told,
            failed,
            settings,
        )
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
            self.link, self.version, self.failures, self.silences = Connection(address), None, 0, 0
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
