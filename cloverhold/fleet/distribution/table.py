"""The operator's `[distribution]`."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cloverhold.fleet.distribution.resources import kind_of
from cloverhold.net.discovery.server_list import parse_address

Name = Annotated[str, Meta(min_length=1, max_length=64)]


class DistributionTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """sources: a relay's writer, a node's relays; of a writer, the relays that it asks what they hold when it starts.
    store: a folder of this process's own.
    """

    fleet: Name
    name: Name
    role: Literal["writer", "relay", "node"]
    store: Annotated[str, Meta(min_length=1)]
    listen: str = ""
    sources: tuple[str, ...] = ()
    scopes: tuple[str, ...] = ()
    held_part: Annotated[float, Meta(gt=0, le=1)] = 0.3

    def __post_init__(self) -> None:
        """Raises ValueError, naming the key."""
        if (self.role == "node") == bool(self.listen):
            raise ValueError(f"listen: a {self.role} {'has none' if self.listen else 'needs one'}")
        if self.role != "writer" and not self.sources:
            raise ValueError(f"sources: a {self.role} needs one")
        if (self.role == "node") != bool(self.scopes):
            raise ValueError(f"scopes: a {self.role} {'has none' if self.scopes else 'needs one'}")
        for address in (*self.sources, *([self.listen] if self.listen else [])):
            parse_address(address)
        for scope in self.scopes:
            kind_of(scope)

    def services(self) -> list[str]:
        """The scopes of services that are followed."""
        return [scope for scope in self.scopes if kind_of(scope) == "service"]
