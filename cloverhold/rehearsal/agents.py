"""Discovery on loopback: for each node an agent with the list and its changes, at one address and then another."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Sequence
from typing import cast
from urllib.parse import parse_qs

import httptools

from cloverhold.rehearsal.catalog import Agent, CallQueue, Entry, line
from cloverhold.rehearsal.faults import (
    DiscoveryCrowded,
    DiscoveryHalfSilent,
    DiscoveryIncomplete,
    DiscoveryMisreports,
    DiscoverySlow,
    DiscoveryTrickle,
    Fault,
)
from cloverhold.rehearsal.incomplete_lists import IncompleteList
from cloverhold.rehearsal.misreports import Misreport, StillAnswer
from cloverhold.rehearsal.sockets import LOOPBACK, accepted, hold, listen, port_of
from cloverhold.rehearsal.wire import answer
from cloverhold.rehearsal.world import World

MOST_HOLD_S = 60.0
TRICKLE_PIECES = 20
STEP_S = 1.4  # from one version to the next, where they count on and nothing is new


class DiscoveryStandIn:
    """One node's discovery: its agent's state, two addresses, and what is wrong with it."""

    def __init__(
        self, world: World, node: int, endpoint: Callable[[str], int], call_queue: CallQueue | None = None
    ) -> None:
        self.world, self.node, self.endpoint = world, node, endpoint
        self.call_queue = call_queue  # None: what the agent has costs nothing
        self.agent = Agent(node, world.ledger.rows.append)
        self.held = [hold(), hold()]
        self.ports = [port_of(h) for h in self.held]
        self.listening: dict[int, socket.socket] = {}
        self.calls: set[Call] = set()
        self.current = 0
        self.down: dict[int, str] = {}  # by fault: how
        self.stale: set[int] = set()
        self.ailments: dict[int, Fault] = {}  # by fault
        self.misreports: dict[int, Misreport] = {}  # by fault
        self.incomplete: dict[int, IncompleteList] = {}  # by fault
        self._steps: dict[int, asyncio.TimerHandle] = {}  # of those, what comes next
        self.connections = 0  # that came so far
        self.calls_lost = 0  # calls that came while some are lost
        self.free_at = 0.0  # when the calls that came are worked through, where it is crowded

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
        if how not in ("silent", "mute"):
            for call in list(self.calls):
                call.abort()

    def mend(self, number: int) -> None:
        """It is back; calls that were left without an answer end, or stay as they are."""
        how = self.down.pop(number, None)
        if not self.down and how != "mute":
            for call in list(self.calls):
                if call.unheard:
                    call.abort()
        self.listen()
        self._release()

    def ail(self, number: int, fault: Fault) -> None:
        """Answers come late, in turn, in pieces or not at all."""
        self.ailments[number] = fault
        if isinstance(fault, DiscoveryMisreports):
            calls = {call.number for call in self.calls}
            self.misreports[number] = Misreport(fault, *self.agent.whole(), calls, self.world.now())
        if isinstance(fault, DiscoveryIncomplete):
            self._begin_incomplete(number, IncompleteList(fault, self.agent))
        if isinstance(fault, DiscoveryHalfSilent):
            for call in list(self.calls):
                call.lose()

    def heal(self, number: int) -> None:
        """That is over."""
        self.ailments.pop(number, None)
        self.misreports.pop(number, None)
        if (incomplete := self.incomplete.pop(number, None)) is not None:
            if (step := self._steps.pop(number, None)) is not None:
                step.cancel()
            incomplete.end(self.world.now(), is_held_on=self._is_held())
            if incomplete.fault.how != "changes_left_out":
                self.wake()

    def _begin_incomplete(self, number: int, incomplete: IncompleteList) -> None:
        self.incomplete[number] = incomplete
        incomplete.begin(self.world.now())
        self.wake()
        if incomplete.fault.how == "changes_left_out":
            self._steps[number] = self.world.loop.call_later(STEP_S, self._count_on, number)
        elif incomplete.fault.how == "lost_store":
            self._steps[number] = self.world.loop.call_later(incomplete.fault.after_s, self._lose_store, number)

    def _count_on(self, number: int) -> None:
        self.incomplete[number].count_on()
        self.wake()
        self._steps[number] = self.world.loop.call_later(STEP_S, self._count_on, number)

    def _lose_store(self, number: int) -> None:
        if self.down or self.stale:
            self._steps[number] = self.world.loop.call_later(STEP_S, self._lose_store, number)
            return
        self.incomplete[number].lose_store(self.world.now())
        self.wake()

    def still_answer(self, call: Call) -> StillAnswer | None:
        """The answer to a call that has come now, where it has come to who has heard nothing new."""
        for misreport in self.misreports.values():
            if misreport.stands_still(call.number, call.since, self.world.now()):
                return misreport.still(call.since)
        return None

    def loses_call(self) -> bool:
        """Whether a call that has come now is never answered."""
        every = min((a.every for a in self.ailments.values() if isinstance(a, DiscoveryHalfSilent)), default=0)
        if not every:
            return False
        self.calls_lost += 1
        return self.calls_lost % every == 0

    def delay_s(self) -> float:
        """How much later an answer is written that could be written now."""
        now, ailments = self.world.now(), self.ailments.values()
        late_s = max((a.delay_ms / 1000 for a in ailments if isinstance(a, DiscoverySlow)), default=0.0)
        call_s = max((a.call_ms / 1000 for a in ailments if isinstance(a, DiscoveryCrowded)), default=0.0)
        if call_s:
            self.free_at = max(self.free_at, now) + call_s
            late_s += self.free_at - now
        return late_s

    def trickle_s(self) -> float:
        """How long the pieces of an answer take to come."""
        return max((a.over_ms / 1000 for a in self.ailments.values() if isinstance(a, DiscoveryTrickle)), default=0.0)

    def freeze(self, number: int, *, on: bool) -> None:
        """Go on answering with nothing new, or no longer."""
        if on:
            self.stale.add(number)
            self.agent.hold()
        else:
            self.stale.discard(number)
            self._release()

    def _is_held(self) -> bool:
        """Whether a fault keeps news from the agent."""
        return bool(self.down or self.stale) or any(fault.holds_news() for fault in self.incomplete.values())

    def _release(self) -> None:
        if not self._is_held() and self.agent.release(self.world.now()):
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
        for step in self._steps.values():
            step.cancel()
        for place in list(self.listening):
            self._deaf(place)
        for call in list(self.calls):
            call.abort()
        for held in self.held:
            held.close()

    def told(self, since: int | None) -> tuple[int, bytes, bool]:
        """The answer to a call, with its version: the whole list, or what has changed; whether it is whole."""
        told_whole = any(incomplete.is_told_whole() for incomplete in self.incomplete.values())
        if since is None or since > self.agent.rev or told_whole:
            rev, entries = self.agent.whole()
            return rev, self.text(rev, entries, whole=True), True
        rev, entries = self.agent.changes(since)
        return rev, self.text(rev, entries, whole=False), False

    def has_news(self, since: int | None) -> bool:
        """Whether a call is answered at once."""
        return since is None or since > self.agent.rev or bool(self.agent.changes(since)[1])

    def text(self, rev: int, entries: Sequence[Entry], *, whole: bool) -> bytes:
        """An answer in discovery's form."""
        zone, unix = self.world.scenario.zone, self.world.unix_s
        targets = [line(e, f"{LOOPBACK}:{self.endpoint(e.uid)}", zone, unix) for e in entries]
        for misreport in self.misreports.values():
            targets = misreport.lines(targets, whole=whole)
        for incomplete in self.incomplete.values():
            targets = incomplete.lines(targets)
        return json.dumps({"rev": rev, "all": whole, "targets": targets}).encode()


class Call(asyncio.Protocol):
    """One connection from a node to its agent."""

    def __init__(self, stand_in: DiscoveryStandIn, place: int, accepted: socket.socket) -> None:
        self.stand_in, self.place = stand_in, place
        self.number = stand_in.connections
        stand_in.connections += 1
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.since: int | None = None
        self.waits = self.unheard = False
        self._timer: asyncio.TimerHandle | None = None
        stand_in.calls.add(self)
        loop = stand_in.world.loop
        self._up = loop.create_task(loop.connect_accepted_socket(lambda: self, accepted))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is there."""
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """It has ended."""
        self._rest()
        self.transport = None
        self.stand_in.calls.discard(self)

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
        if self.stand_in.down:
            if "error" in self.stand_in.down.values():
                self._put(answer("503 Service Unavailable", b""))
            else:
                self.unheard = True
            return
        if self.stand_in.loses_call():
            self.unheard = True
            return
        since, hold_ms = said.get("from", [""])[0], said.get("hold_ms", ["0"])[0]
        self.since = int(since) if since.isdigit() else None
        wait = min(MOST_HOLD_S, int(hold_ms) / 1000 if hold_ms.isdigit() else 0.0)
        if (still := self.stand_in.still_answer(self)) is not None:
            text = self.stand_in.text(still.rev, still.entries, whole=still.whole)
            self._timer = self.stand_in.world.loop.call_later(
                0.0 if still.whole else wait, self._put, answer("200 OK", text)
            )
            return
        if self.stand_in.has_news(self.since):
            self._tell()
            return
        self.waits = True
        self._timer = self.stand_in.world.loop.call_later(wait, self._tell)

    def look(self) -> None:
        """There are news: a call that waits is answered."""
        if self.waits and not self.stand_in.down:
            self._tell()

    def lose(self) -> None:
        """A watch that waits falls silent."""
        if self.waits:
            self._rest()
            self.unheard = True

    def _rest(self) -> None:
        self.waits = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tell(self) -> None:
        self._rest()
        if self.stand_in.down:
            self.unheard = True
            return
        wait = self._turn_s()
        if wait is None:
            self._put(answer("503 Service Unavailable", b""))
            return
        wait += self.stand_in.delay_s()
        if wait:
            self._timer = self.stand_in.world.loop.call_later(wait, self._write)
        else:
            self._write()

    def _turn_s(self) -> float | None:
        """After how many seconds the service comes to this call; None where that would take too long."""
        call_queue = self.stand_in.call_queue
        if call_queue is None:
            return 0.0
        lines = self.stand_in.agent.whole() if self.since is None else self.stand_in.agent.changes(self.since)
        return call_queue.take(self.stand_in.world.now(), len(lines[1]))

    def _write(self) -> None:
        if self.stand_in.down:
            self.unheard = True
            return
        rev, body, is_whole = self.stand_in.told(self.since)
        since = None if is_whole else self.since
        data, over_s = answer("200 OK", body), self.stand_in.trickle_s()
        count = TRICKLE_PIECES if over_s else 1
        size = -(-len(data) // count)
        self._write_pieces([data[at : at + size] for at in range(0, len(data), size)], over_s / count, rev, since)

    def _write_pieces(self, pieces: list[bytes], gap_s: float, rev: int, since: int | None) -> None:
        """Write an answer; it counts as written with its last byte."""
        self._put(pieces[0])
        if len(pieces) > 1:
            self._timer = self.stand_in.world.loop.call_later(gap_s, self._write_pieces, pieces[1:], gap_s, rev, since)
        elif self.transport is not None:
            self.stand_in.agent.wrote(self.stand_in.world.now(), rev, since)

    def _put(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
