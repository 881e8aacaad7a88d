"""What a list of servers changes on a node: upstreams, the decision module, cells, and calls that have not left."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cloverhold.decision import interface as io
from cloverhold.net.address_owners import AddressOwners
from cloverhold.net.discovery.server_list import Members
from cloverhold.net.telemetry import Happening, Telemetry
from cloverhold.net.upstream_table import Change, UpstreamTable
from cloverhold.net.upstreams.calls import Pool

if TYPE_CHECKING:
    from cloverhold.cells.shell import Router


class ListUpdates:
    """Takes lists over, and changes of lists."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        pool: Pool,
        router: Router | None,
        telemetry: Telemetry,
        dispatch: Callable[[io.Event], None],
    ) -> None:
        self.upstreams, self.pool, self.router = upstreams, pool, router
        self.telemetry, self.dispatch = telemetry, dispatch
        self.address_owners = AddressOwners()
        self.has_list = False

    def take(self, members: Members, *, remembered: bool = False) -> None:
        """A list, or changes of it. New addresses hold before the module hears of them."""
        members = self.address_owners.resolve(members, self.upstreams)
        change = self.upstreams.take(members)
        kind = io.ListKind.FULL if members.full else io.ListKind.CHANGES
        if remembered:
            kind = io.ListKind.REMEMBERED
        self.has_list = True
        self._note(kind, members.version, change)
        self.dispatch(io.ServerList(kind, members.entries, members.version))
        if self.router is not None:
            self.router.members(members.entries, full=members.full)
        # Behind the module's word, which would else send what turns back to the same server again.
        for upstream in (*change.replaced, *self.upstreams.remove(change.gone)):
            self.pool.retire(upstream)
        for upstream in change.draining:
            self.pool.turn_back(upstream)

    def failed(self) -> None:
        """A call to discovery failed."""
        self.dispatch(io.ServerList(io.ListKind.ERROR))

    def _note(self, kind: io.ListKind, version: int, change: Change) -> None:
        self.telemetry.count(Happening.LIST_TAKEN, kind.value)
        counts = {
            "draining": len(change.newly_draining),
            "gone": len(change.gone),
            "replaced": len(change.replaced),
        }
        for what, count in counts.items():
            if count:
                self.telemetry.event(Happening.SERVERS_CHANGED, what, version=version, servers=count)
