"""Who may begin a connection: decided before anything is kept for a client.

An Initial costs its sender one datagram, from any address it likes. So what is kept before the client's address is
known is bounded; past a part of that each address must first show that it hears us (Retry, RFC 9000, section 8.1.2),
which keeps nothing here; and past all of it, or while the node drains, nothing is begun.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Literal

RetryWhen = Literal["always", "busy", "never"]
BUSY_PART = 0.25  # of the handshakes that may be under way
RESETS_PER_S = 20.0  # stateless resets: an answer to anybody's bytes must not be worth asking for


class Verdict(Enum):
    """What is done with an Initial."""

    TAKE = auto()
    RETRY = auto()
    DROP = auto()


@dataclass(slots=True)
class Door:
    """most: connections; most_new: of those, how many may be in their handshake."""

    most: int
    most_new: int
    retry: RetryWhen = "busy"
    draining: bool = False
    resets: float = RESETS_PER_S
    counted_s: float = 0.0

    def initial(self, connections: int, new: int, *, validated: bool) -> Verdict:
        """An Initial of a client that is not known; validated: its address has come back with a token of ours."""
        if self.draining or connections >= self.most or new >= self.most_new:
            return Verdict.DROP
        if validated or self.retry == "never":
            return Verdict.TAKE
        return Verdict.RETRY if self.retry == "always" or new >= BUSY_PART * self.most_new else Verdict.TAKE

    def reset(self, now: float) -> bool:
        """Whether a packet of no known connection is answered by a stateless reset."""
        self.resets = min(RESETS_PER_S, self.resets + RESETS_PER_S * (now - self.counted_s))
        self.counted_s = now
        if self.resets < 1:
            return False
        self.resets -= 1
        return True
