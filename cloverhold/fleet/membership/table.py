"""The operator's `[membership]`."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from cloverhold.fleet.membership.interface import Rules

Ms = Annotated[float, Meta(ge=1, le=3_600_000)]


class MembershipTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where it stands in the file, membership is on. fleet: a name that all its nodes share; others are not heard."""

    fleet: Annotated[str, Meta(min_length=1, max_length=64)]
    watchers: Annotated[int, Meta(ge=1, le=16)] = 8
    period_ms: Ms = 250.0
    silence_ms: Ms = 1500.0
    grace_ms: Ms = 150.0
    asleep_ms: Ms = 1000.0
    forget_ms: Ms = 120_000.0
    join_ms: Ms = 1500.0
    settle_ms: Ms = 500.0
    routing: bool = True  # whether shares of servers follow the living members

    def __post_init__(self) -> None:
        """Raises ValueError for times that cannot stand beside one another."""
        self.rules()

    def rules(self) -> Rules:
        return Rules(
            self.watchers, self.period_ms, self.silence_ms, self.grace_ms, self.asleep_ms, self.forget_ms, self.join_ms,
            self.settle_ms,
        )  # fmt: skip
