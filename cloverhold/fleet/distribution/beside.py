"""What discovery and the operators' configuration say of the same servers, put together. Pure.

Discovery says which servers there are; configuration only takes away: a server that it says to leave, or that it had
and has deleted, gets no new work until configuration lists it as active again, whatever discovery says, and a server
that discovery drains stays drained, whatever configuration says. A server that configuration never named is discovery's
alone. Where either falls silent, its last word holds.
"""

from __future__ import annotations

from dataclasses import replace

from cloverhold.decision.interface import Lifecycle, ServerEntry
from cloverhold.fleet.distribution.resources import Server, Wrong, read
from cloverhold.fleet.distribution.scope import Scope
from cloverhold.net.discovery.server_list import Members

SERVER = "server/"


class Beside:
    """The servers of one service."""

    def __init__(self, scope: str) -> None:
        self.scope = scope
        self.taken_out: frozenset[str] = frozenset()  # by configuration
        self._members: Members | None = None  # all that discovery lists, as it says it

    def discovery(self, members: Members) -> Members:
        """Discovery's list, or changes of it, as the node is to take it."""
        held = self._members
        if members.full or held is None:
            self._members = members
        else:
            entries = {entry.server: entry for entry in (*held.entries, *members.entries)}
            alive = {uid: entry for uid, entry in entries.items() if entry.lifecycle is not Lifecycle.GONE}
            addresses = {**held.addresses, **members.addresses}
            self._members = Members(
                members.version, held.full, tuple(alive.values()), {uid: addresses[uid] for uid in alive},
            )  # fmt: skip
        return replace(members, entries=tuple(map(self._seen, members.entries)))

    def configuration(self, scope: Scope | None) -> Members | None:
        """What is in force of the scope: the changes that the node is to take; None where nothing changes."""
        before, self.taken_out = self.taken_out, self._out(scope)
        held = self._members
        if held is None:
            return None
        changed = before ^ self.taken_out
        entries = tuple(self._seen(entry) for entry in held.entries if entry.server in changed)
        addresses = {entry.server: held.addresses[entry.server] for entry in entries}
        return Members(held.version, False, entries, addresses) if entries else None

    def _out(self, scope: Scope | None) -> frozenset[str]:
        """Deletions are kept in a scope down to its floor; one of before stays out as long as discovery lists it."""
        if scope is None:
            return self.taken_out
        named = {key.removeprefix(SERVER) for key in scope.content if key.startswith(SERVER)}
        listed = {entry.server for entry in self._members.entries} if self._members is not None else set[str]()
        out = {key.removeprefix(SERVER) for key in scope.deleted if key.startswith(SERVER)}
        out |= (self.taken_out & listed) - named
        try:
            resources = read(self.scope, scope.content)
        except Wrong:  # it was checked before it took force: not of this program's kinds
            return frozenset(out) | self.taken_out
        active = [key for key, one in resources.items() if isinstance(one, Server) and one.state == "active"]
        return frozenset(out | (named - {key.removeprefix(SERVER) for key in active}))

    def _seen(self, entry: ServerEntry) -> ServerEntry:
        if entry.server in self.taken_out and entry.lifecycle is Lifecycle.READY:
            return replace(entry, lifecycle=Lifecycle.DRAINING)
        return entry
