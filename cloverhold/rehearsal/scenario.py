"""A scenario: everything that a rehearsal plays, read from one TOML file and checked before anything starts.

Times ending in `_s` are seconds, in `_ms` milliseconds. Work is ms on a core of speed 1. The file's form is
described in docs/rehearsal.md; `version` names it, and a newer one is refused by name.
"""

from __future__ import annotations

import tomllib
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from cloverhold.rehearsal.faults import Fault

FORMAT = 1
FALL_SLACK_WORKS = 3.0  # mean works of the heaviest class that chance may add to a cold server's budget
Positive = Annotated[float, Field(gt=0)]
NotNegative = Annotated[float, Field(ge=0)]
Part = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,63}$")]


class ScenarioError(Exception):
    """A scenario that cannot be played; each line names file, key and what is allowed."""


class Table(BaseModel):
    """A table of the file: unknown keys are errors, nothing is converted between kinds."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class Kind(Table):
    """One kind of servers."""

    name: Name
    share: Positive = 1.0
    cores: Annotated[int, Field(ge=1, le=256)] = 1
    speed: Positive = 1.0
    slots: Annotated[int, Field(ge=1)] = 16  # requests at work at once
    queue: Annotated[int, Field(ge=0)] = 400  # requests waiting for a slot
    cold_from: Annotated[float, Field(gt=0, le=1)] = 0.4  # part of its capacity at its start
    cold_s: NotNegative = 6.0  # warm after this


class Fleet(Table):
    """The servers."""

    servers: Annotated[int, Field(ge=1, le=1000)] = 12
    cell_size: Annotated[int, Field(ge=1)] = 6  # servers that share which keys they have seen
    connection_cap: Annotated[int, Field(ge=1)] = 90  # open connections a core
    connection_work_ms: NotNegative = 18.0  # what a new connection costs; its first request waits for it
    idle_s: Positive = 60.0  # a connection idle for this long is closed
    probe_work_ms: NotNegative = 3.0
    probe_deep: bool = False  # a probe waits its turn like a request
    report_period_ms: Positive = 500.0
    report_lag_ms: NotNegative = 100.0
    report_noise: Part = 0.05
    reports: Literal["probe", "answers", "none"] = "probe"  # where a server tells its load
    attempt_noise: NotNegative = 0.2  # of the work, from attempt to attempt (coefficient of variation)
    error_rate: Part = 0.0
    choke_at: Positive | None = None  # held requests (in parts of cores + this x root of cores) that choke it
    choke_after_s: Positive = 2.0
    choke_slower: Annotated[float, Field(ge=1)] = 2.5
    choke_rest_s: Positive = 3.0
    kind: Annotated[tuple[Kind, ...], Field(min_length=1, strict=False)] = (Kind(name="media"),)


NOTIFIED_AFTER_S = 6.0  # whatever failed before


class DiscoverySettings(Table):
    """How late the list is."""

    notice_s: NotNegative = 1.0  # a process that ended or came is listed after this
    silent_notice_s: NotNegative = 8.0  # a machine that went silent is
    spread_ms: NotNegative = 60.0  # further lateness, another for each node
    weights: Literal["none", "nominal", "live"] = "live"
    weight_period_ms: Positive = 1000.0
    mode: Literal["push", "ask"] = "push"  # an agent for each node that has what it was sent, or one service for all
    capacity: Positive = 400.0  # asked: lines a second that it can write
    call_lines: NotNegative = 40.0  # asked: what a call costs beside its lines
    timeout_s: Positive = 2.0  # asked: a call that would wait longer is turned away
    must_ask_s: Positive = 10.0  # asked: without a call for this long, a node counts as told

    def notified_after_s(self) -> float:
        """After which a node counts as notified of what discovery has, whether or not it arrived. An agent's news
        counts at once; a service that is polled may have failed a call before, or lost a watch.
        """
        return 0.0 if self.mode == "push" else NOTIFIED_AFTER_S


class Nodes(Table):
    """The nodes under rehearsal and their limits."""

    count: Annotated[int, Field(ge=1, le=1000)] = 2  # a file's, played by real processes: at most 16
    cores: Positive = 1.0
    memory_mb: Annotated[int, Field(ge=16)] = 192
    sockets: Annotated[int, Field(ge=64)] = 1024
    probes: bool = True
    retry_after: bool = True
    max_retry_after_ms: NotNegative = 2000.0
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 4
    dial_timeout_ms: Positive = 250.0
    kill_slack_s: NotNegative = 1.0  # SIGKILL comes so long after the earliest moment that the rules allow
    operator: dict[str, Any] = {}  # the operator's own file; "{own}" in a string is a path of the node's own


class Rules(Table):
    """The figures of the four rules."""

    answer_slack_ms: NotNegative = 20.0
    drain_grace_ms: NotNegative = 500.0
    node_drain_s: Positive = 4.0  # a node that is told to drain has let its clients go by then
    fall_multiple: Positive = 2.5
    fall_ms: Positive = 1500.0


class Front(Table):
    """What spreads clients over the nodes."""

    notice_s: NotNegative = 2.0  # it goes on sending to a dead node for this long


class Class(Table):
    """One class of requests."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,63}$")]
    share: Positive
    work_ms: Positive
    work_cv: NotNegative = 1.0
    aim_ms: Positive
    deadline_ms: Positive
    worth: NotNegative = 1.0
    repeats: Literal["safe", "keyed", "unsafe"]
    group: Literal["all", "zone", "cell"] = "cell"
    key_ttl_ms: NotNegative = 0.0
    body_bytes: Annotated[int, Field(ge=0, le=65536)] = 200
    answer_bytes: Annotated[int, Field(ge=0, le=1_000_000)] = 300

    @model_validator(mode="after")
    def _agree(self) -> Class:
        if self.deadline_ms < self.aim_ms:
            raise ValueError("deadline_ms: must be at least aim_ms")
        if self.repeats == "keyed" and not self.key_ttl_ms:
            raise ValueError("key_ttl_ms: must be above 0 for a keyed class")
        return self


class Tenant(Table):
    """One of those that send requests."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]
    share: Positive = 1.0
    known: bool = True  # the platform names it to the nodes


class Clients(Table):
    """The usual clients: open loop, each try's time counted from when it was meant to be sent."""

    rate_per_s: Positive = 60.0
    arrivals: Literal["steady", "bursty", "wave", "steps"] = "steady"
    swing: Part = 0.3  # how far the rate swings about its mean, for bursty and wave
    period_s: Positive = 10.0  # of a wave, of a burst and a lull, of each step
    steps: Annotated[tuple[NotNegative, ...], Field(strict=False)] = ()  # rates, in parts of rate_per_s, in turn
    retries: Annotated[int, Field(ge=0, le=10)] = 2
    backoff_ms: NotNegative = 100.0
    backoff: Literal["fixed", "exp"] = "exp"
    honour: Part = 0.85  # part of the clients that come back when Retry-After says
    try_share: Annotated[float, Field(gt=0, le=1)] = 0.65  # of the deadline, after which a try is given up
    impatient: Part = 0.0  # part of the tries whose client leaves early
    again_s: NotNegative = 0.0  # an unsafe request without an answer goes to its node again, under its id, after this
    ask_once: Part = 0.0  # part of the connections that ask once and stay open, unused
    idle_s: Positive = 10.0  # a client closes a connection unused for this long

    @model_validator(mode="after")
    def _agree(self) -> Clients:
        if (self.arrivals == "steps") != bool(self.steps):
            raise ValueError("steps: is needed with arrivals = 'steps', and allowed with no other")
        return self

    def most_per_s(self) -> float:
        """A rate that the load never exceeds."""
        return self.rate_per_s * max(self.steps, default=1 + self.swing)


class MemberGoals(Table):
    """What the nodes' views of one another must keep to. 0, or none: not asked."""

    stay: Annotated[tuple[int, ...], Field(strict=False)] = ()  # hold each other for alive, from the first view on
    blind: Annotated[tuple[int, ...], Field(strict=False)] = ()  # show no view while cut off
    known_s: NotNegative = 0.0  # who is killed is dead at all that run, after this
    one_view_s: NotNegative = 0.0  # after the last fault


class Goals(Table):
    """What the rehearsal must reach beside the four rules."""

    service: Part = 0.0  # least service, prices taken off
    worst_class: Part = 0.0
    worst_tenant: Part = 0.0  # of those that no fault poisons
    members: MemberGoals | None = None


class Bounds(Table):
    """When the kit itself was too late for its verdict to count."""

    lag_p99_ms: Positive = 25.0  # of the kit's own loop
    lag_max_ms: Positive = 250.0


class Scenario(Table):
    """One rehearsal."""

    version: Literal[1] = 1
    name: Name
    summary: str = ""
    seed: Annotated[int, Field(ge=0, lt=2**63)] = 1
    length_s: Annotated[float, Field(gt=0, le=3600)] = 30.0
    zone: str = "sur"
    fleet: Fleet = Fleet()
    discovery: DiscoverySettings = DiscoverySettings()
    nodes: Nodes = Nodes()
    rules: Rules = Rules()
    front: Front = Front()
    clients: Clients = Clients()
    goals: Goals = Goals()
    bounds: Bounds = Bounds()
    classes: Annotated[tuple[Class, ...], Field(alias="class", min_length=1, strict=False)]
    tenants: Annotated[tuple[Tenant, ...], Field(alias="tenant", strict=False)] = ()
    faults: Annotated[tuple[Fault, ...], Field(alias="fault", strict=False)] = ()

    @model_validator(mode="after")
    def _agree(self) -> Scenario:
        names = [c.name for c in self.classes]
        if len(set(names)) != len(names):
            raise ValueError("class: two classes have one name")
        tenants = [t.name for t in self.tenants]
        if len(set(tenants)) != len(tenants):
            raise ValueError("tenant: two tenants have one name")
        servers = {server_name(i) for i in range(self.fleet.servers)}
        for at, fault in enumerate(self.faults):
            where = f"fault.{at}"
            if fault.at_s > self.length_s:
                raise ValueError(f"{where}.at_s: must be at most length_s ({self.length_s:g})")
            named = getattr(fault, "class_name", None)
            if named is not None and named not in names:
                raise ValueError(f"{where}.class: one of {', '.join(names)} is allowed, got {named!r}")
            poisoned = getattr(fault, "tenant", None)
            if poisoned is not None and poisoned not in tenants:
                raise ValueError(f"{where}.tenant: one of {', '.join(tenants)} is allowed, got {poisoned!r}")
            for node in (n for key in ("nodes", "senders", "receivers") for n in getattr(fault, key, ())):
                if node >= self.nodes.count:
                    raise ValueError(f"{where}.nodes: 0 to {self.nodes.count - 1} are allowed, got {node}")
            for server in getattr(fault, "servers", ()):
                if server not in servers:
                    raise ValueError(f"{where}.servers: s0 to s{len(servers) - 1} are allowed, got {server!r}")
        return self

    def class_of(self, name: str) -> Class:
        """The class of that name; KeyError if there is none."""
        for kind in self.classes:
            if kind.name == name:
                return kind
        raise KeyError(name)

    def longest_s(self) -> float:
        """The longest deadline, in seconds."""
        return max(c.deadline_ms for c in self.classes) / 1000

    def fall_slack_ms(self) -> float:
        """What chance may add to a cold server's budget, in ms of work."""
        return FALL_SLACK_WORKS * max(c.work_ms for c in self.classes)


def server_name(index: int) -> str:
    """The uid of the server that starts at this place of the fleet."""
    return f"s{index}"


def _key(where: tuple[int | str, ...]) -> str:
    # The tag of the fault union stands in the path; the file does not have it.
    parts = [str(p) for p in where]
    if len(parts) > 2 and parts[0] == "fault" and parts[1].isdigit():
        del parts[2]
    return ".".join(parts)


def _lines(name: str, error: ValidationError) -> str:
    lines = []
    for item in error.errors(include_url=False):
        key, said = _key(item["loc"]), item["msg"].removeprefix("Value error, ")
        got = item["input"]
        shown = f", got {got!r}" if isinstance(got, (str, int, float, bool)) else ""
        lines.append(f"{name}: {key + ': ' if key else ''}{said}{shown}")
    return "\n".join(lines)


def parse(text: str, name: str) -> dict[str, Any]:
    """The tables of a scenario's text, unchecked but for its version. Raises ScenarioError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: not TOML: {error}") from None
    said = raw.get("version", FORMAT)
    if isinstance(said, int) and said > FORMAT:
        raise ScenarioError(f"{name}: version: {said} is newer than this kit, which reads up to {FORMAT}")
    return raw


def merged(under: dict[str, Any], over: dict[str, Any]) -> dict[str, Any]:
    """Tables laid over others, key by key; arrays and values are replaced whole."""
    out = dict(under)
    for key, value in over.items():
        below = out.get(key)
        out[key] = merged(below, value) if isinstance(below, dict) and isinstance(value, dict) else value
    return out


def check(raw: dict[str, Any], name: str) -> Scenario:
    """The scenario in these tables. Raises ScenarioError, a line for each fault, with `name` as the file."""
    try:
        return Scenario.model_validate(raw)
    except ValidationError as error:
        raise ScenarioError(_lines(name, error)) from None
