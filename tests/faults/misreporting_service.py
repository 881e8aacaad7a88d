"""Discovery whose answers are odd, or differ from one connection or call to the next, on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from enum import Enum
from typing import Any

from discovery_service import DiscoveryService

UNREADABLE = {"uid": None, "state": 7}
Line = dict[str, Any]


class Misreport(Enum):
    """What is wrong with the answers."""

    OPEN_CONNECTIONS_SAY_NOTHING = "open_connections"  # those that are open when it begins: no news, ever
    WATCHES_SAY_NOTHING = "watches"  # only the whole list tells
    EVERY_OTHER_CALL_IS_STALE = "calls"  # answered by a replica that stands still
    EVERY_OTHER_CONNECTION_IS_STALE = "connections"
    LINES_ARE_UNREADABLE = "unreadable"  # one in each answer with entries
    SERVERS_ARE_NAMED_TWICE = "twice"  # in changes, the older state first
    SERVERS_ARE_ALWAYS_NAMED_TWICE = "always_twice"  # in whole lists too
    VERSIONS_BEGIN_ANEW = "anew"


class MisreportingService(DiscoveryService):
    """Discovery that is well until `misreport`."""

    def __init__(self, targets: Sequence[Line]) -> None:
        super().__init__(targets)
        self.how: Misreport | None = None
        self.before: dict[str, Line] = {}  # each server's line before its last one
        self._still_rev, self._still_targets = 0, dict(self.targets)
        self._opened_before: set[asyncio.StreamWriter] = set()
        self._connections: dict[asyncio.StreamWriter, int] = {}
        self._first_call = 0

    def misreport(self, how: Misreport) -> None:
        """From now on."""
        self.how, self._first_call = how, len(self.calls)
        self._still_rev, self._still_targets = self.rev, dict(self.targets)
        self._opened_before = set(self._connections)
        if how is Misreport.VERSIONS_BEGIN_ANEW:
            self.rev = 1
            self.targets = {uid: (1, line) for uid, (_, line) in self.targets.items()}

    def change(self, targets: Sequence[Line]) -> None:
        self.before.update((line["uid"], self.targets[line["uid"]][1]) for line in targets)
        super().change(targets)

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        number = self._connections.setdefault(writer, len(self._connections))
        if self.how is not None and self._stands_still(number, "from=" in target, writer):
            call = self._note_call(target)
            await self._write(await self._still(call.since, call.hold_s), writer)
            return True
        return await super().serve(target, head, body, writer)

    def _stands_still(self, connection: int, watches: bool, writer: asyncio.StreamWriter) -> bool:
        match self.how:
            case Misreport.OPEN_CONNECTIONS_SAY_NOTHING:
                return watches and writer in self._opened_before
            case Misreport.WATCHES_SAY_NOTHING:
                return watches
            case Misreport.EVERY_OTHER_CALL_IS_STALE:
                return (len(self.calls) - self._first_call) % 2 == 0
            case Misreport.EVERY_OTHER_CONNECTION_IS_STALE:
                return connection % 2 == 0
        return False

    async def _still(self, since: int | None, hold_s: float) -> bytes:
        """The answer of who has heard nothing since `misreport`."""
        if self.how in (Misreport.OPEN_CONNECTIONS_SAY_NOTHING, Misreport.WATCHES_SAY_NOTHING):
            await asyncio.sleep(hold_s)
            return json.dumps({"rev": since, "all": False, "targets": []}).encode()
        whole = since is None or since > self._still_rev
        if not whole:
            await asyncio.sleep(hold_s)
        lines = [line for _, line in self._still_targets.values()] if whole else []
        return json.dumps({"rev": self._still_rev, "all": whole, "targets": lines}).encode()

    async def _wait_for_news(self, since: int | None, hold_s: float) -> None:
        if since is None or since <= self.rev:  # a version of another count is answered at once
            await super()._wait_for_news(since, hold_s)

    def _list(self, since: int | None) -> bytes:
        known = since if since is not None and since <= self.rev else None
        answer = json.loads(super()._list(known))
        lines = answer["targets"]
        if self.how is Misreport.LINES_ARE_UNREADABLE and lines:
            lines.insert(len(lines) // 2, UNREADABLE)
        named_twice = self.how is Misreport.SERVERS_ARE_NAMED_TWICE and not answer["all"]
        if named_twice or self.how is Misreport.SERVERS_ARE_ALWAYS_NAMED_TWICE:
            lines[:0] = [self.before[line["uid"]] for line in lines if line["uid"] in self.before]
        return json.dumps(answer).encode()
