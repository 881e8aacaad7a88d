"""Discovery that is slow, crowded, trickling, silent or half-silent, on loopback."""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from typing import Any
from urllib.parse import parse_qs, urlsplit

from loopback import Listening

TRICKLE_BYTES = 16


class Answer(Enum):
    """What becomes of one call."""

    LIST = "list"
    UNAVAILABLE = "503"
    RESET = "reset"
    NONE = "none"


@dataclass
class Conditions:
    """What is wrong with the service now."""

    delay_s: float = 0.0  # each answer is written so much later
    trickle_s: float = 0.0  # between every 16 bytes of an answer
    call_s: float = 0.0  # calls are worked through in turn, each takes this long
    silent: bool = False  # calls that come are never answered; open ones neither
    next_calls: deque[Answer] = field(default_factory=deque)  # of the calls that come next


@dataclass(frozen=True)
class Call:
    """One call as it came."""

    at_s: float
    since: int | None
    hold_s: float


class DiscoveryService(Listening):
    """The list of servers with its changes; a watch waits for news until its wait is over."""

    def __init__(self, targets: Sequence[dict[str, Any]]) -> None:
        super().__init__()
        self.conditions = Conditions()
        self.rev = 1
        self.targets = {target["uid"]: (1, target) for target in targets}
        self.calls: list[Call] = []
        self.lost = 0  # raised when the open calls fall silent for good
        self._changed = asyncio.Event()
        self._in_turn = asyncio.Lock()

    def change(self, targets: Sequence[dict[str, Any]]) -> None:
        """A new version in which these lines are new; one in state "left" is in no whole list."""
        self.rev += 1
        self.targets.update((target["uid"], (self.rev, target)) for target in targets)
        self._wake()

    def _wake(self) -> None:
        """The calls that wait for news are answered."""
        self._changed.set()
        self._changed = asyncio.Event()

    def lose_open_calls(self) -> None:
        """All calls that are open now are never answered; their connections stay open."""
        self.lost += 1

    def reset_open_calls(self) -> None:
        """All connections are reset."""
        for writer in self.writers:
            writer.transport.abort()

    def be_silent(self, silent: bool) -> None:
        """Go silent, with all open calls, or come back; what came meanwhile is never answered."""
        self.conditions.silent = silent
        self.lose_open_calls()

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        lost, call = self.lost, self._note_call(target)
        planned = self.conditions.next_calls.popleft() if self.conditions.next_calls else Answer.LIST
        if self.conditions.silent or planned is Answer.NONE:
            return False
        if planned is Answer.RESET:
            writer.transport.abort()
            return False
        if planned is Answer.UNAVAILABLE:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        await self._wait_for_news(call.since, call.hold_s)
        await self._take_time()
        if self.lost != lost or writer.is_closing():
            return False
        await self._write(self._list(call.since), writer)
        return True

    def _note_call(self, target: str) -> Call:
        said = parse_qs(urlsplit(target).query)
        since = int(said["from"][0]) if "from" in said else None
        call = Call(time.monotonic(), since, int(said["hold_ms"][0]) / 1000 if "hold_ms" in said else 0.0)
        self.calls.append(call)
        return call

    async def _wait_for_news(self, since: int | None, hold_s: float) -> None:
        if since != self.rev:
            return
        with suppress(TimeoutError):
            await asyncio.wait_for(self._changed.wait(), hold_s)

    async def _take_time(self) -> None:
        if self.conditions.call_s:
            async with self._in_turn:
                await asyncio.sleep(self.conditions.call_s)
        await asyncio.sleep(self.conditions.delay_s)

    def _list(self, since: int | None) -> bytes:
        whole = since is None
        lines = [t for rev, t in self.targets.values() if (t["state"] != "left" if whole else rev > (since or 0))]
        return json.dumps({"rev": self.rev, "all": whole, "targets": lines}).encode()

    async def _write(self, text: bytes, writer: asyncio.StreamWriter) -> None:
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)
        if not self.conditions.trickle_s:
            writer.write(data)
            return
        for begin in range(0, len(data), TRICKLE_BYTES):
            if writer.is_closing():
                return
            writer.write(data[begin : begin + TRICKLE_BYTES])
            await asyncio.sleep(self.conditions.trickle_s)
