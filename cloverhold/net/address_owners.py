"""Which server an address belongs to, where a list names two there. Pure.

One process listens at an address. A server that is new to the list at the address of another one runs in a new process,
and the process of the other has ended, whatever the list still says of it: what is sent to it would reach the new one.
That other server is taken for gone until its line changes. Of two that come with the same list the later start counts;
where neither start is known, both stay.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from typing import Protocol

from cloverhold.decision.interface import Lifecycle, ServerEntry
from cloverhold.net.discovery.server_list import Members

Address = tuple[str, int]


class Listening(Protocol):
    """What is known of a server's process."""

    address: Address
    started_at: float | None


class AddressOwners:
    """Servers whose address another one has taken, by uid, with the address and start that they were listed with."""

    def __init__(self) -> None:
        self._superseded: dict[str, tuple[Address, float | None]] = {}

    def resolve(self, members: Members, held: Mapping[str, Listening]) -> Members:
        """The same list, in which servers whose address has been taken are gone. held: the servers until now."""
        self._forget(members)
        lines = {entry.server: entry for entry in members.entries}
        named = set(members.addresses.values())
        owners = dict[Address, list[str]]()
        for uid, upstream in held.items():
            if upstream.address not in named:
                continue
            stays = members.addresses.get(uid, upstream.address) == upstream.address
            if stays and (not members.full or uid in lines):
                owners.setdefault(upstream.address, []).append(uid)
        losers = dict[str, ServerEntry]()
        for entry in members.entries:
            if entry.lifecycle is not Lifecycle.GONE:
                losers |= {uid: lines.get(uid, entry) for uid in self._losers(entry, members, held, owners)}
        if not losers:
            return members
        kept = [entry for entry in members.entries if entry.server not in losers]
        gone = [replace(entry, server=uid, lifecycle=Lifecycle.GONE) for uid, entry in losers.items() if uid in held]
        addresses = {uid: held[uid].address for uid in losers if uid in held} | members.addresses
        return replace(members, entries=(*kept, *gone), addresses=addresses)

    def _forget(self, members: Members) -> None:
        """A server that is gone, or listed with another address or start, is no longer superseded."""
        lines = {entry.server: entry for entry in members.entries}
        for uid in list(self._superseded):
            entry = lines.get(uid)
            if entry is None:
                stays = not members.full
            else:
                told = (members.addresses[uid], entry.started_at)
                stays = entry.lifecycle is not Lifecycle.GONE and told == self._superseded[uid]
            if not stays:
                del self._superseded[uid]

    def _losers(
        self, entry: ServerEntry, members: Members, held: Mapping[str, Listening], owners: dict[Address, list[str]]
    ) -> list[str]:
        """Who does not listen at this entry's address: the entry's own server, or those that did until now."""
        uid, address = entry.server, members.addresses[entry.server]
        if uid in self._superseded:
            return [uid]
        starts = {server.server: server.started_at for server in members.entries}
        losers = list[str]()
        for other in owners.setdefault(address, []):
            if other == uid:
                continue
            started = starts[other] if other in starts else held[other].started_at
            loser = _loser(uid, entry.started_at, other, started, other_is_older=other in held and uid not in held)
            if loser is not None:
                losers.append(loser)
                self._superseded[loser] = address, (entry.started_at if loser == uid else started)
        owners[address] = [owner for owner in dict.fromkeys((*owners[address], uid)) if owner not in losers]
        return losers


def _loser(
    uid: str, started: float | None, other: str, other_started: float | None, *, other_is_older: bool
) -> str | None:
    """Of two servers at one address, the one whose process has ended; None where that cannot be told."""
    if started is not None and other_started is not None and started != other_started:
        return other if started > other_started else uid
    return other if other_is_older else None
