"""A proxy before discovery that changes what answers say, or what single connections do.

Usage: proxy.py HOST:PORT LISTEN_PORT MODE. The fault begins FAULTS_FROM_S (environment, default 5) after the start and
lasts FAULTS_FOR_S (default: to the end). The proxy ends by itself after `LIFETIME_S`, or with its parent.

| mode              | what a node behind it gets                                                    |
| ----------------- | ----------------------------------------------------------------------------- |
| none              | discovery's answers                                                           |
| idle_connections  | connections that are open when the fault begins answer each watch without     |
|                   | news, when its wait is over; new connections are well                         |
| stale_calls       | every other call is answered by a replica that stands still from then on      |
| stale_connections | every other connection leads to such a replica                                |
| duplicates        | each changed server is named twice, its older state first                     |
| unreadable        | each answer with entries has one more line, which can't be read               |
| counts_anew       | versions begin at 1 when the fault begins                                     |
| partial_whole     | whole lists come without the last half of their lines, marked as changes      |
"""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

LIFETIME_S = 300.0
MOST_HEAD_BYTES = 16 * 1024
UPSTREAM_TIMEOUT_S = 30.0
PATH = "/catalog/members"
Answer = dict[str, Any]


@dataclass
class Upstream:
    """Discovery itself, asked by one blocking call at a time and connection."""

    host: str
    port: int

    def get(self, since: int | None, hold_ms: int) -> Answer:
        """One answer; OSError or HTTPException where there is none."""
        connection = http.client.HTTPConnection(self.host, self.port, timeout=UPSTREAM_TIMEOUT_S)
        query = "" if since is None else f"?from={since}&hold_ms={max(1, hold_ms)}"
        try:
            connection.request("GET", PATH + query)
            response = connection.getresponse()
            if response.status != http.HTTPStatus.OK:
                raise OSError(f"status {response.status}")
            answer: Answer = json.load(response)
            return answer
        finally:
            connection.close()


@dataclass
class Fault:
    """What is wrong, and since when."""

    mode: str
    begins_at_s: float
    ends_at_s: float
    stale: Answer | None = None  # the whole list as it was when the fault began
    states: dict[str, Answer] = field(default_factory=dict)  # the line of each server before its last one
    calls: int = 0
    connections: int = 0

    def is_on(self) -> bool:
        """Whether it has begun and is not over."""
        return self.begins_at_s <= time.monotonic() < self.ends_at_s


class Proxy:
    """Answers calls by what discovery says and what the fault makes of it."""

    def __init__(self, upstream: Upstream, fault: Fault) -> None:
        self.upstream, self.fault = upstream, fault

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection of a node."""
        self.fault.connections += 1
        number, opened_at_s = self.fault.connections, time.monotonic()
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                answer = await self._answer(head, number, opened_at_s)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        except (OSError, http.client.HTTPException, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: bytes, number: int, opened_at_s: float) -> Answer:
        said = parse_qs(urlsplit(head.split()[1].decode()).query)
        since = int(said["from"][0]) if "from" in said else None
        hold_ms = int(said.get("hold_ms", ["0"])[0])
        fault = self.fault
        if not fault.is_on():
            return self._note(await self._get(since, hold_ms))
        fault.calls += 1
        match fault.mode:
            case "idle_connections" if opened_at_s < fault.begins_at_s and since is not None:
                await asyncio.sleep(hold_ms / 1000)
                return {"rev": since, "all": False, "targets": []}
            case "stale_calls" if fault.calls % 2:
                return await self._stale(since, hold_ms)
            case "stale_connections" if number % 2:
                return await self._stale(since, hold_ms)
            case "counts_anew":
                return await self._counted_anew(since, hold_ms)
        answer = await self._get(since, hold_ms)
        change = CHANGES.get(fault.mode)
        return self._note(change(fault, answer) if change is not None else answer)

    async def _get(self, since: int | None, hold_ms: int) -> Answer:
        return await asyncio.to_thread(self.upstream.get, since, hold_ms)

    def _note(self, answer: Answer) -> Answer:
        """Keep what the answer says of each server."""
        self.fault.states.update((line["uid"], line) for line in answer["targets"] if isinstance(line, dict))
        return answer

    async def _stale(self, since: int | None, hold_ms: int) -> Answer:
        """As a replica answers whose list is that of the fault's begin."""
        stale = await self.still()
        if since is None or since > stale["rev"]:
            return stale
        await asyncio.sleep(hold_ms / 1000)
        return {"rev": stale["rev"], "all": False, "targets": []}

    async def still(self) -> Answer:
        """The list as it was when the fault began."""
        if self.fault.stale is None:
            self.fault.stale = await self._get(None, 0)
        return self.fault.stale

    async def _counted_anew(self, since: int | None, hold_ms: int) -> Answer:
        """By versions less those that discovery had when the fault began."""
        offset = (await self.still())["rev"] - 1
        known = since is not None and since + offset <= (await self._get(None, 0))["rev"]
        answer = await self._get(since + offset if since is not None and known else None, hold_ms)
        return {**answer, "rev": answer["rev"] - offset}


def _with_duplicates(fault: Fault, answer: Answer) -> Answer:
    lines = answer["targets"]
    older = [fault.states[line["uid"]] for line in lines if line["uid"] in fault.states]
    return {**answer, "targets": older + lines}


def _with_unreadable(fault: Fault, answer: Answer) -> Answer:
    lines = answer["targets"]
    return {**answer, "targets": [*lines, {"uid": None, "state": 7}] if lines else lines}


def _partial(fault: Fault, answer: Answer) -> Answer:
    if not answer["all"]:
        return answer
    lines = answer["targets"]
    return {**answer, "all": False, "targets": lines[: len(lines) // 2]}


CHANGES: dict[str, Callable[[Fault, Answer], Answer]] = {
    "duplicates": _with_duplicates,
    "unreadable": _with_unreadable,
    "partial_whole": _partial,
}


async def main(address: str, listen_port: int, mode: str) -> None:
    """Serve until the lifetime is over or the parent has ended."""
    host, _, port = address.rpartition(":")
    begun_at_s = time.monotonic()
    begins_at_s = begun_at_s + float(os.environ.get("FAULTS_FROM_S", "5"))
    fault = Fault(mode, begins_at_s, begins_at_s + float(os.environ.get("FAULTS_FOR_S", "1e9")))
    proxy = Proxy(Upstream(host, int(port)), fault)
    await asyncio.start_server(proxy.serve, "127.0.0.1", listen_port, limit=MOST_HEAD_BYTES)
    while time.monotonic() - begun_at_s < LIFETIME_S and os.getppid() != 1:
        if mode.startswith("stale") or mode == "counts_anew":
            if fault.is_on() and fault.stale is None:
                await proxy.still()
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3]))
