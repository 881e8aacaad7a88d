"""Discovery on loopback: for each node an agent with the list and its changes, at one address and then another."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Sequence
from typing import cast
from urllib.parse import parse_qs

import httptools

from cloverhold.rehearsal.catalog import Agent, Counter, Entry, line
from cloverhold.rehearsal.sockets import LOOPBACK, accepted, hold, listen, port_of
from cloverhold.rehearsal.wire import answer
from cloverhold.rehearsal.world import World

MOST_HOLD_S = 60.0


class Desk:
    """One node's discovery: its agent's state, two addresses, and what is wrong with it."""

    def __init__(self, world: World, node: int, endpoint: Callable[[str], int], counter: Counter | None = None) -> None:
        self.world, self.node, self.endpoint = world, node, endpoint
        self.counter = counter  # None: what the agent has costs nothing
        self.agent = Agent(node, world.ledger.rows.append)
        self.held = [hold(), hold()]
        self.ports = [port_of(h) for h in self.held]
        self.listening: dict[int, socket.socket] = {}
        self.calls: set[Call] = set()
        self.current = 0
        self.down: dict[int, str] = {}  # by fault: how
        self.stale: set[int] = set()

    def address(self) -> str:
        """The address that the configuration names."""
        return f"{LOOPBACK}:{self.ports[self.current]}"

    def listen(self) -> None:
        """Listen at the present address, where that is to be."""
        if self.current not in self.listening and "refuse" not in self.down.values():
            listening = listen(self.ports[self.current])
            self.listening[self.current] = listening
            self.world.loop.add_reader(listening.fileno(), self._accept, listening, self.current)

    def _accept(self, listening: socket.socket, place: int) -> None:
        for connection in accepted(listening):
            Call(self, place, connection)

    def _deaf(self, place: int) -> None:
        listening = self.listening.pop(place, None)
        if listening is not None:
            self.world.loop.remove_reader(listening.fileno())
            listening.close()

    def move(self) -> None:
        """Be found at the other address; the old one takes no new connection."""
        self._deaf(self.current)
        self.current = 1 - self.current
        self.listen()

    def close_old(self) -> None:
        """End what is open at the old address."""
        for call in list(self.calls):
            if call.place != self.current:
                call.abort()

    def fail(self, number: int, how: str) -> None:
        """Discovery goes down: watches end or fall silent."""
        self.down[number] = how
        self.agent.hold()
        if how == "refuse":
            self._deaf(self.current)
        if how != "silent":
            for call in list(self.calls):
                call.abort()

    def mend(self, number: int) -> None:
        """It is back; calls that were left without an answer end."""
        self.down.pop(number, None)
        if not self.down:
            for call in list(self.calls):
                if call.unheard:
                    call.abort()
        self.listen()
        self._release()

    def freeze(self, number: int, *, on: bool) -> None:
        """Go on answering with nothing new, or no longer."""
        if on:
            self.stale.add(number)
            self.agent.hold()
        else:
            self.stale.discard(number)
            self._release()

    def _release(self) -> None:
        if not self.down and not self.stale and self.agent.release(self.world.now()):
            self.wake()

    def put(self, entries: Sequence[Entry]) -> None:
        """News have come to the agent, together."""
        now = self.world.now()
        if any([self.agent.put(now, entry) for entry in entries]):
            self.wake()

    def wake(self) -> None:
        """Answer the calls that wait for news."""
        for call in list(self.calls):
            call.look()

    def close(self) -> None:
        """The rehearsal is over."""
        for place in list(self.listening):
            self._deaf(place)
        for call in list(self.calls):
            call.abort()
        for held in self.held:
            held.close()

    def told(self, since: int | None) -> tuple[int, bytes]:
        """The answer to a call: the whole list, or what has changed."""
        rev, entries = self.agent.whole() if since is None else self.agent.changes(since)
        zone, unix = self.world.scenario.zone, self.world.unix_s
        targets = [line(e, f"{LOOPBACK}:{self.endpoint(e.uid)}", zone, unix) for e in entries]
        return rev, json.dumps({"rev": rev, "all": since is None, "targets": targets}).encode()


class Call(asyncio.Protocol):
    """One connection from a node to its agent."""

    def __init__(self, desk: Desk, place: int, accepted: socket.socket) -> None:
        self.desk, self.place = desk, place
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.since: int | None = None
        self.waits = self.unheard = False
        self._timer: asyncio.TimerHandle | None = None
        desk.calls.add(self)
        loop = desk.world.loop
        self._up = loop.create_task(loop.connect_accepted_socket(lambda: self, accepted))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        self._rest()
        self.transport = None
        self.desk.calls.discard(self)

    def abort(self) -> None:
        """End it with a reset."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Bytes of a call."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """A call begins."""
        self.target = b""

    def on_url(self, url: bytes) -> None:
        """A part of its target."""
        self.target += url

    def on_message_complete(self) -> None:
        """The call is whole."""
        path, _, query = self.target.decode("latin-1").partition("?")
        said = parse_qs(query)
        if path != "/catalog/members":
            self._put(answer("404 Not Found", b""))
            return
        if self.desk.down:
            if "error" in self.desk.down.values():
                self._put(answer("503 Service Unavailable", b""))
            else:
                self.unheard = True
            return
        since, hold_ms = said.get("from", [""])[0], said.get("hold_ms", ["0"])[0]
        self.since = int(since) if since.isdigit() else None
        if self.since is None or self.desk.agent.changes(self.since)[1]:
            self._tell()
            return
        self.waits = True
        wait = min(MOST_HOLD_S, int(hold_ms) / 1000 if hold_ms.isdigit() else 0.0)
        self._timer = self.desk.world.loop.call_later(wait, self._tell)

    def look(self) -> None:
        """There are news: a call that waits is answered."""
        if self.waits and not self.desk.down:
            self._tell()

    def _rest(self) -> None:
        self.waits = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tell(self) -> None:
        self._rest()
        if self.desk.down:
            self.unheard = True
            return
        counter, now = self.desk.counter, self.desk.world.now()
        if counter is None:
            self._write()
            return
        lines = self.desk.agent.whole() if self.since is None else self.desk.agent.changes(self.since)
        wait = counter.take(now, len(lines[1]))
        if wait is None:
            self._put(answer("503 Service Unavailable", b""))
        else:
            self._timer = self.desk.world.loop.call_later(wait, self._write)

    def _write(self) -> None:
        rev, body = self.desk.told(self.since)
        self._put(answer("200 OK", body))
        if self.transport is not None:
            self.desk.agent.wrote(self.desk.world.now(), rev)

    def _put(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
