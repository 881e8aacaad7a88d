"""What a node keeps of attempts and requests, and what a request may still get."""

from __future__ import annotations

import math

from cloverhold.decision.interface import Group, Repeat, ServerEntry, Settings, Status
from cloverhold.decision.records import Attempt, RequestRecord

NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)


class RequestState(RequestRecord):
    """One request that this node owes an answer, with all that has been tried for it."""

    __slots__ = ()

    def pending(self) -> list[Attempt]:
        return [a for a in self.attempts if a.pending]

    def may_refuse(self) -> bool:
        """A refusal promises that trying again is harmless."""
        keyed = self.kind.repeat is Repeat.KEYED and self.kind.group is Group.ALL
        return keyed or self.kind.repeat is Repeat.SAFE or not any(a.may_have_run for a in self.attempts)

    def may_send(self, now: float, settings: Settings) -> Group | None:
        """Among which servers it may get a further attempt: all, or those of the zone or cell of the first
        that may have run; None if none may.
        """
        attempts = self.attempts
        if len(attempts) >= settings.max_attempts or self.streaming:
            return None
        ran = [a for a in attempts if a.may_have_run]
        if ran and (self.kind.repeat is Repeat.UNSAFE or (not settings.parallel_tries and self.pending())):
            return None
        if not ran or self.kind.repeat is Repeat.SAFE:
            return Group.ALL
        return self.kind.group if now <= self.leaves_by(settings) else None

    def leaves_by(self, settings: Settings) -> float:
        """Until when the last byte of a further attempt may leave. A keyed one: only while the group still
        remembers the first that may have run, less a margin for the way there.
        """
        ran = [a.sent_at for a in self.attempts if a.may_have_run and self.kind.repeat is Repeat.KEYED]
        return ran[0] + 0.9 * self.kind.key_ttl_ms - 2 * settings.tick_ms if ran else math.inf

    def first(self) -> ServerEntry:
        """Where the first attempt went that may have run; there must be one."""
        return next(a.entry for a in self.attempts if a.may_have_run)
