"""The table of docs/CAPACITY.md: what each role holds, says and spends at a size, beside its budget. Pure.

A row is a figure that was measured (by a slope), a bound that stands in the code, or something that nothing carries
yet; what is not measured says so, and is never filled in by a guess.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Literal

from cloverhold.fleet.capacity.slopes import Slope

DAY_S = 86_400.0
REACH = 4.5  # times the largest size that was played, up to which a line is drawn on
Verdict = Literal["holds", "over", "not built", "not known"]


@dataclass(frozen=True, slots=True)
class Size:
    """A fleet, and what it has to keep to. The defaults are the operators' size of the next two years."""

    nodes: int = 6_600
    servers: int = 79_000
    services: int = 3_100
    requests_per_s: float = 650_000.0
    routes: int = 39_000
    tenants: int = 190_000
    zones: int = 12
    changes_per_day: float = 31_000.0
    restarts_per_day: float = 8_100.0
    machines: int = 14  # set aside for control
    core: float = 0.032  # part of a core that control may take on a node
    memory_mb: float = 64.0
    bytes_per_s: float = 9_000.0
    added_ms: float = 6.1
    in_force_s: float = 15.0

    def __post_init__(self) -> None:
        """Raises ValueError, naming the field, for what is no fleet."""
        for name in self.__slots__:
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be above 0")


@dataclass(frozen=True, slots=True)
class Row:
    """One line. value and budget: in `unit`, None where there is none; slope: where the value comes from. played: the
    largest size that was played, where the one asked for lies too far past it: the value is then that size's.
    """

    role: str
    moment: str
    figure: str
    value: float | None
    budget: float | None
    unit: str
    carried_by: str
    slope: str
    verdict: Verdict
    played: float | None = None

    def factor(self) -> float | None:
        """How often the budget goes into it."""
        return self.value / self.budget if self.value is not None and self.budget else None


@dataclass(frozen=True, slots=True)
class _Line:
    role: str
    moment: str
    figure: str
    unit: str
    carried_by: str
    slope: str = ""
    value: Callable[[Callable[[float], float], Size], float] | None = None
    budget: Callable[[Size], float] | None = None
    built: bool = True


PATH, CONTROL, ZONE, FLEET, MACHINES = "node, data path", "node, control", "zone", "region and fleet", "the machines"
LIST_LIMIT = 4 * 1024 * 1024  # bytes of one answer of discovery: net/discovery/connection.py
MOST_PEERS = 4096  # numbers of one fleet: platform.py
# ms added, 99 in 100: the mean of two phases of benchmarks/scale/felt.py among 80 fellows (docs/measurements/).
# It hangs on the rate a node and on the servers of a service, which are not varied there.
FELT_MS = 10.6

LINES: Sequence[_Line] = (
    _Line(PATH, "quiet", "rows of all servers", "MB", "decision/table.py", "table_bytes",
          lambda at, s: at(s.servers) / 1e6, lambda s: s.memory_mb),
    _Line(PATH, "cold", "one turn of the loop that enters them", "s", "decision/decide.py", "table_ms",
          lambda at, s: at(s.servers) / 1000, lambda s: s.in_force_s),
    _Line(PATH, "quiet", "tenants that have asked once", "MB", "cells/tenancy.py", "tenants_bytes",
          lambda at, s: at(s.tenants) / 1e6, lambda s: s.memory_mb),
    _Line(PATH, "quiet", "routes and services", "", "none yet", built=False),
    _Line(PATH, "peak", "added to a request, 99 in 100, control beside it", "ms", "net/upstreams/http1.py", "",
          lambda at, s: FELT_MS, lambda s: s.added_ms),
    _Line(CONTROL, "cold", "the whole list in one answer", "MB", "net/discovery/connection.py", "list_bytes",
          lambda at, s: at(s.servers) / 1e6, lambda s: LIST_LIMIT / 1e6),
    _Line(CONTROL, "cold", "the whole list at the bytes allowed", "s", "net/discovery/connection.py", "list_bytes",
          lambda at, s: at(s.servers) / s.bytes_per_s, lambda s: s.in_force_s),
    _Line(CONTROL, "changes", "configuration: routes, tenants, settings", "", "a file and SIGHUP", built=False),
    _Line(CONTROL, "quiet", "numbers of one fleet", "nodes", "platform.py", "",
          lambda at, s: s.nodes, lambda s: MOST_PEERS),
    _Line(CONTROL, "quiet", "what it holds of its fellows", "MB", "fleet/membership/book.py", "book_bytes",
          lambda at, s: at(s.nodes) / 1e6, lambda s: s.memory_mb),
    _Line(CONTROL, "quiet", "membership, bytes a second", "B/s", "fleet/membership", "rest_bytes",
          lambda at, s: at(s.nodes), lambda s: s.bytes_per_s),
    _Line(CONTROL, "quiet", "membership, the core's processor time", "% of a core", "fleet/membership", "rest_cpu_ms",
          lambda at, s: at(s.nodes) / 10, lambda s: 100 * s.core),
    _Line(CONTROL, "a machine", "a death known to all", "s", "fleet/membership", "death_all_ms",
          lambda at, s: at(s.nodes) / 1000, lambda s: s.in_force_s),
    _Line(CONTROL, "a machine", "bytes of the dearest node in a second", "B/s", "fleet/membership", "death_worst_bytes",
          lambda at, s: at(s.nodes), lambda s: s.bytes_per_s),
    _Line(CONTROL, "restarts, spread", "bytes a second for all restarts of a day", "B/s", "fleet/membership",
          "restart_extra_bytes", lambda at, s: at(s.nodes) * s.restarts_per_day / DAY_S, lambda s: s.bytes_per_s),
    _Line(CONTROL, "restarts, spread", "what the restarted one sends at the bytes allowed", "s", "fleet/membership",
          "restart_own_bytes", lambda at, s: at(s.nodes) / s.bytes_per_s, lambda s: s.in_force_s),
    _Line(CONTROL, "restarts, spread", "a whole view at the bytes allowed", "s", "fleet/membership", "view_bytes",
          lambda at, s: at(s.nodes) / s.bytes_per_s, lambda s: s.in_force_s),
    _Line(ZONE, "a zone", "its death known to all", "s", "fleet/membership", "zone_all_ms",
          lambda at, s: at(s.nodes) / 1000, lambda s: s.in_force_s),
    _Line(ZONE, "a zone", "bytes of the dearest node in a second", "B/s", "fleet/membership", "zone_worst_bytes",
          lambda at, s: at(s.nodes), lambda s: s.bytes_per_s),
    _Line(FLEET, "all from cold", "one view, at any bytes", "s", "fleet/membership", "cold_all_ms",
          lambda at, s: at(s.nodes) / 1000, lambda s: s.in_force_s),
    _Line(FLEET, "all from cold", "bytes that each sends till then, at the bytes allowed", "s", "fleet/membership",
          "cold_bytes", lambda at, s: at(s.nodes) / s.bytes_per_s, lambda s: s.in_force_s),
    _Line(FLEET, "halves apart", "one view after they meet", "s", "fleet/membership", "apart_all_ms",
          lambda at, s: at(s.nodes) / 1000, lambda s: s.in_force_s),
    _Line(FLEET, "halves apart", "bytes of the dearest node in a second", "B/s", "fleet/membership",
          "apart_worst_bytes", lambda at, s: at(s.nodes), lambda s: s.bytes_per_s),
    _Line(MACHINES, "changes", "relays of configuration and lists", "", "none yet", built=False),
    _Line(MACHINES, "quiet", "voters of agreed views", "", "fleet/agreement: the core alone", built=False),
    _Line(MACHINES, "quiet", "metrics of all nodes", "", "none yet", built=False),
)  # fmt: skip


def rows(size: Size, slopes: Mapping[str, Slope]) -> Iterator[Row]:
    """The table. A line whose slope is not there is not known; nor is one far past what was played, but where it was
    over at the largest size already.
    """
    for line in LINES:
        slope = slopes.get(line.slope)
        value = played = None
        if line.value is not None and (slope is not None or not line.slope):
            at: Callable[[float], float] = slope.whole().at if slope is not None else lambda n: n
            if slope is not None and getattr(size, slope.of) > REACH * slope.sizes[-1]:
                played, at = slope.sizes[-1], lambda n, last=slope.values[-1]: last  # type: ignore[misc]
            value = line.value(at, size)
        budget = line.budget(size) if line.budget is not None else None
        verdict: Verdict = "not built" if not line.built else "not known"
        if line.built and value is not None and budget is not None:
            verdict = "over" if value > budget else "holds" if played is None else "not known"
        yield Row(
            line.role, line.moment, line.figure, value, budget, line.unit, line.carried_by, line.slope, verdict, played,
        )  # fmt: skip


def alone(size: Size) -> Iterator[tuple[str, float, str]]:
    """What follows from the figures alone: what, how much, of what."""
    yield "requests a node", size.requests_per_s / size.nodes, "a second"
    yield "requests a server", size.requests_per_s / size.servers, "a second"
    yield "servers a service", size.servers / size.services, ""
    yield "nodes a service, where each node serves one", size.nodes / size.services, ""
    apart = size.nodes / size.requests_per_s  # seconds between two requests at a node
    yield "one service's requests at a node that serves all: one in", size.services * apart, "s"
    yield "one server's probes by such a node, two a request: one in", size.servers * apart / 2, "s"
    yield "control of all nodes", size.nodes * size.bytes_per_s / 1e6, "MB a second"
    yield "of it at each machine", size.nodes * size.bytes_per_s / size.machines / 1e6, "MB a second"
    yield "nodes a machine", size.nodes / size.machines, ""
    yield "nodes a zone", size.nodes / size.zones, ""
    yield "servers a zone", size.servers / size.zones, ""
    yield "changes of configuration: one in", DAY_S / size.changes_per_day, "s"
    yield "restarts: one in", DAY_S / size.restarts_per_day, "s"
