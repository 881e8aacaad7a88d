"""The node's part of membership: its socket, its timer, its log. Decides nothing."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any

from cloverhold.decision.interface import Settings
from cloverhold.fleet.membership.core import TICK_MS, Member
from cloverhold.fleet.membership.interface import Action, Changed
from cloverhold.fleet.membership.shares import dealt
from cloverhold.fleet.membership.table import MembershipTable
from cloverhold.fleet.wire.clock import now_ms
from cloverhold.fleet.wire.datagrams import BadDatagram, decode, encode, fleet_of

log = logging.getLogger(__name__)

Address = tuple[str, int]
STRANGER_MS = 10_000.0  # between two lines on words from strange addresses
FOLLOWED_MS = 100.0  # between two changes of the view: shares are dealt anew ten times a second at most


class Membership(asyncio.DatagramProtocol):
    """One member on a socket. What it shows is a hint for routing, never a permission."""

    def __init__(
        self, table: MembershipTable, number: int, listen: Address, peers: Sequence[Address], life: int, program: int,
        changed: Callable[[], None],
    ) -> None:  # fmt: skip
        """peers: the address of each number, as this node reaches it. changed: called when the view has changed."""
        self.table, self.listen, self.changed = table, listen, changed
        self.fleet = fleet_of(table.fleet)
        self.member = Member(number, len(peers), life, table.rules(), Random(life), now_ms(), program=program)
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = 0  # datagrams, and their bytes
        self.shown: tuple[int, ...] | None = None
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.wakes = 0.0  # when it rings, in s of the loop's clock
        self.followed = -FOLLOWED_MS
        self.told = -STRANGER_MS  # of a stranger, last
        self._name(peers)

    def _name(self, peers: Sequence[Address]) -> None:
        self.peers = list(peers)
        self.numbers = {address: number for number, address in enumerate(peers)}

    def follow(self, peers: Sequence[Address]) -> None:
        """Other addresses from now on; numbers past their end are heard no more."""
        self._name(peers)
        self.member.resize(len(peers))

    async def start(self) -> None:
        """Open the socket; OSError where that cannot be. A later process of this node may open it beside this one: it
        gets the datagrams from then on, and its life is the later one.
        """
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.setblocking(False)
        try:
            opened.bind(self.listen)
        except OSError:
            opened.close()
            raise
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=opened)
        self.transport = transport
        self.member.late.turned = None
        self._tick()

    def _tick(self) -> None:
        self.timer = None
        now = now_ms()
        self._do(self.member.turn(now))
        view = self.member.view(now_ms())
        if view != self.shown and (view is None or now - self.followed >= FOLLOWED_MS):
            self.shown, self.followed = view, now
            self.changed()
        self._wake(TICK_MS if view != self.shown else self.member.rest)

    def _wake(self, rest_ms: float) -> None:
        """Turn after so long, or when it was to be, whichever comes first."""
        loop = asyncio.get_running_loop()
        at = loop.time() + rest_ms / 1000
        if self.timer is None or at < self.wakes:
            self._sleep()
            self.timer, self.wakes = loop.call_at(at, self._tick), at

    def _sleep(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        number = self.numbers.get((addr[0], addr[1]))
        if number is None:
            self.dropped["address"] += 1
            self._stranger(data, addr)
            return
        try:
            datagram = decode(data, self.fleet)
        except BadDatagram as error:
            self.dropped[error.reason] += 1
            return
        if datagram.sender != number:
            self.dropped["sender"] += 1
            return
        self._do(self.member.hear(datagram, now_ms()))
        self._wake(self.member.rest)

    def _stranger(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Words of this fleet from an address that no number has here: most likely two hosts under one name."""
        now = now_ms()
        if now - self.told < STRANGER_MS:
            return
        try:
            sender = decode(data, self.fleet).sender
        except BadDatagram:
            return
        self.told = now
        log.warning("members: %s:%s says that it is %d; peers gives that another address", addr[0], addr[1], sender)

    def error_received(self, exc: Exception) -> None:
        """A fellow's port is closed: that is silence too."""

    def _do(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Changed):
                log.info("members: %d is %s (%d): %s", action.number, action.state, action.incarnation, action.why)
            elif self.transport is not None and action.to < len(self.peers):
                data = encode(action.datagram, self.fleet)
                self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)
                self.transport.sendto(data, self.peers[action.to])

    def overlaid(self, settings: Settings) -> Settings:
        """Settings with the living members in place of the number that they state, where there is a view to go by."""
        return dealt(settings, self.followed_view(), self.member.me)

    def followed_view(self) -> tuple[int, ...] | None:
        """The view that shares of servers go by; None where there is none, or the operator wants none to."""
        # Not what was shown last: whoever asks a process that has just woken comes before its first turn.
        return self.shown if self.table.routing and self.member.view(now_ms()) is not None else None

    def leave(self) -> None:
        """Say that this process ends; the socket stays open until `close`."""
        self._do(self.member.leave(now_ms()))

    def close(self) -> None:
        self._sleep()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def report(self) -> dict[str, Any]:
        """All that operators may ask, for JSON."""
        now = now_ms()
        return {
            "me": self.member.me,
            "phase": self.member.phase.value,
            "incarnation": self.member.claim.incarnation,
            "acts_on_view": self.member.view(now) is not None,
            "in_doubt": self.member.doubts,
            "dropped": {**self.dropped, "old": self.member.dropped},
            "sent": {"datagrams": self.sent, "bytes": self.sent_bytes},
            "members": [
                {
                    "number": s.number, "state": s.state, "incarnation": s.incarnation,
                    "since_s": round(s.since_ms / 1000, 1),
                    "why": s.why, "program": f"{s.program >> 8}.{s.program & 255}",
                    "rtt_ms": None if s.rtt_ms is None else round(s.rtt_ms, 2),
                    "lost": None if s.lost is None else round(s.lost, 3),
                }
                for s in self.member.standings(now)
            ],
        }  # fmt: skip
