"""Who harms servers: sequential tests with a stated rate of false alarms.

Both tests are cumulative sums of log-likelihood ratios, floored at 0 (Page, 1954). With the threshold ln(1 / rate) an
innocent's mean number of observations up to an alarm is at least 1 / rate (Lorden, 1971): `rate` is the most false
alarms an observation, whatever happened before.

**Presence.** When a server fails, the one at fault was there. An innocent is there with the part p of the time that it
has something out at that server; so each failure at which it was there speaks against it by ln(q / p), and each where
it could have been and was not for it by ln((1 - q) / (1 - p)). Neighbours of a culprit that are often there are cleared
by p; those that are seldom there, by the failures that they miss.

**Own outcomes.** A tenant whose requests fail, one like another, where the others' at the same server do not. An
innocent's requests fail as the others' do there.

Neither accuses on the word of one server: that would be the server's own fault.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

PRESENT = 0.95  # that the one at fault was there when a server failed
LEAST, MOST = 0.002, 0.9  # bounds on what an innocent is given
SERVERS = 2  # how many must bear witness
PRIOR = 8.0  # requests' worth of the fleet's own rate, where a server has told little
SPAN_MS = 30_000.0  # over which counts fade


class Cusum:
    """One sum against one threshold."""

    __slots__ = ("sum", "witnesses")

    def __init__(self) -> None:
        self.sum = 0.0
        self.witnesses: tuple[str, ...] = ()  # servers that spoke against it since it was last clear, at most SERVERS

    def tell(self, ratio: float, witness: str) -> None:
        """Add a log-likelihood ratio, told by a server."""
        self.sum = max(0.0, self.sum + ratio)
        if not self.sum:
            self.witnesses = ()
        elif ratio > 0 and witness not in self.witnesses and len(self.witnesses) < SERVERS:
            self.witnesses = (*self.witnesses, witness)

    def alarms(self, rate: float, servers: int = SERVERS) -> bool:
        """Whether it is past the threshold for so many false alarms an observation, by so many servers' word."""
        return self.sum > math.log(1 / rate) and len(self.witnesses) >= servers


def presence(p: float, q: float, *, there: bool) -> float:
    """What one failure of a server says, with p the part of the time that an innocent is there, and q that the one at
    fault is there and seen. Where an innocent is there as often, nothing.
    """
    p = min(MOST, max(LEAST, p))
    if q <= p:
        return 0.0
    return math.log(q / p) if there else math.log((1 - q) / (1 - p))


def outcome(p: float, *, failed: bool) -> float:
    """What one outcome says, with p the part of the others' requests that fail there."""
    p = min(MOST, max(LEAST, p))
    guilty = max(0.5, (1 + p) / 2)
    return math.log(guilty / p) if failed else math.log((1 - guilty) / (1 - p))


class Count:
    """Requests that ended and those of them that failed, lately: old ones fade with time, at each count alike."""

    __slots__ = ("all", "at", "failed", "spoke_at")

    def __init__(self) -> None:
        self.spoke_at = -math.inf  # when a failure last counted as evidence
        self.all = self.failed = 0.0
        self.at = -math.inf

    def tell(self, now: float, *, failed: bool) -> None:
        """One more, at `now` in ms."""
        self.all, self.failed = self.lately(now)
        self.at = now
        self.all += 1
        self.failed += failed

    def lately(self, now: float) -> tuple[float, float]:
        """What is left of both by now."""
        fade = math.exp((self.at - now) / SPAN_MS)
        return self.all * fade, self.failed * fade


class Occupancy:
    """How much of the time a key has something out at one of its servers, from its rate and the usual time.

    Failed attempts count for the usual time, not for as long as they hung: else the one that makes servers silent
    would be excused by the time that it spends there.
    """

    __slots__ = ("at", "load")

    def __init__(self, now: float) -> None:
        self.load, self.at = 0.0, now

    def add(self, ms: float, now: float) -> None:
        """An attempt that took so long, or would usually have."""
        self.load = self.load * math.exp((self.at - now) / SPAN_MS) + ms / SPAN_MS
        self.at = now

    def part(self, servers: int, now: float) -> float:
        """The chance to find it at one of so many servers at any moment (as of independent arrivals)."""
        return 1 - math.exp(-self.load * math.exp((self.at - now) / SPAN_MS) / max(1, servers))


class Bench:
    """What is known of all servers, against which one tenant is judged."""

    def __init__(self) -> None:
        self.servers: dict[str, Count] = {}
        self.fleet = Count()

    def keep(self, names: Iterable[str]) -> None:
        """Forget servers that are no longer listed."""
        listed = set(names)
        self.servers = {name: count for name, count in self.servers.items() if name in listed}

    def tell(self, server: str, now: float, *, failed: bool) -> None:
        """An outcome there."""
        count = self.servers.get(server)
        if count is None:
            count = self.servers[server] = Count()
        count.tell(now, failed=failed)
        self.fleet.tell(now, failed=failed)

    def others(self, server: str, now: float, own: Count | None, own_fleet: Count) -> float:
        """The part of the requests of all others that fail at a server, drawn to what is usual in the fleet."""
        count = self.servers.get(server)
        seen, failed = count.lately(now) if count is not None else (0.0, 0.0)
        of_own, own_failed = own.lately(now) if own is not None else (0.0, 0.0)
        fleet, fleet_failed = self.fleet.lately(now)
        of_fleet, own_fleet_failed = own_fleet.lately(now)
        usual = max(0.0, fleet_failed - own_fleet_failed) / (max(0.0, fleet - of_fleet) + 1)
        return (max(0.0, failed - own_failed) + PRIOR * usual) / (max(0.0, seen - of_own) + PRIOR)
