"""How long calls of discovery may take, and how far apart they are, by the settings. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from random import Random

from cloverhold.decision import interface as io

PACE_S = 0.1  # between the begins of calls that bring nothing new; the next must come within 200 ms
LINE_BYTES = 160  # of a whole list, for each server


@dataclass(frozen=True, slots=True)
class CallTimes:
    """How long calls may take, in seconds."""

    hold_s: float  # the longest wait of a watch
    patience_s: float  # least time that an answer is waited for alone
    patience_most_s: float
    patience_per_latency: float  # patience as a multiple of how long answers take
    whole_patience_s: float  # least time where the whole list is asked for
    backoff_first_s: float
    retry_most_s: float  # between the begins of two calls while none is answered
    most_open: int
    connection_s: float = 1.0  # a connection older than this is used for no further call
    pace_most_s: float = 1.0  # between the begins of calls that are answered with lower versions
    whole_every_s: float = math.inf  # least time between two whole lists that are asked for to compare
    whole_bytes_per_s: float = math.inf  # of those lists at most

    @classmethod
    def of(cls, settings: io.Settings, random: Random) -> CallTimes:
        """By what the settings say of discovery and drains."""
        if settings.list_mode is io.ListMode.ASK:
            return cls._polled(settings, random)
        return cls._streamed(settings)

    @classmethod
    def _polled(cls, settings: io.Settings, random: Random) -> CallTimes:
        """One service for all nodes: each call is work for it. Half of `must_ask_ms` bounds the time without a call."""
        must_ask_s = math.inf if settings.must_ask_ms is None else settings.must_ask_ms / 1000
        return cls(
            hold_s=random.uniform(2.5, 3.0),  # no two nodes in step
            patience_s=0.5,
            patience_most_s=1.5,
            patience_per_latency=2.0,
            whole_patience_s=1.0,
            backoff_first_s=1.0,
            retry_most_s=min(2.0, must_ask_s / 2),
            most_open=3,
            whole_every_s=2.5,
            whole_bytes_per_s=2 * 1024,
        )

    @classmethod
    def _streamed(cls, settings: io.Settings) -> CallTimes:
        """An agent on this machine: calls cost nothing, and what it has counts as notified at once. So calls overlap,
        and the time between two of them stays within half of the grace, also through an outage.
        """
        part_s = min(0.5, max(0.05, settings.drain_grace_ms / 4000))
        return cls(
            hold_s=part_s,
            patience_s=part_s,
            patience_most_s=1.5,
            patience_per_latency=0.8,  # two calls in flight: more would only queue at an agent that is crowded
            whole_patience_s=4 * part_s,
            backoff_first_s=part_s,
            retry_most_s=2 * part_s,
            most_open=5,
            connection_s=part_s,
            pace_most_s=PACE_S,
            whole_every_s=2 * part_s,
            whole_bytes_per_s=8 * 1024,
        )

    def whole_interval_s(self, listed: int) -> float:
        """From one whole list of so many servers to the next."""
        bytes_s = listed * LINE_BYTES / self.whole_bytes_per_s
        return max(self.whole_every_s, bytes_s)
