"""Settings, events and actions of the decision module: types only, no logic.

Times are milliseconds. `now`, handed to `Balancer.handle` with each event, comes from any clock that
only advances; `ServerEntry.started_at` is on the same clock. Events and actions are made for each request and handed
over once: they are not frozen, as that makes each three times as dear. Nobody changes one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import Union

from cloverhold.decision.pools import Pool

# ---------------------------------------------------------------- settings


class Repeat(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"  # dropped by the servers of one group, for a time
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListMode(Enum):
    """Whether the server list arrives by itself or must be asked for."""

    PUSH = "push"
    ASK = "ask"


class WeightSource(Enum):
    """What the weight of a list entry means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"  # nominal size, lowered by the requests held, some time ago


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """One class of requests."""

    name: str
    aim_ms: float  # an answer within it is worth `worth`
    deadline_ms: float  # what a client waits in all, over all its tries
    repeat: Repeat = Repeat.UNSAFE
    group: Group = Group.ALL
    key_ttl_ms: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    stream: bool = False


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """One tenant and what it may send within its share, over all nodes."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a node is told at start."""

    classes: tuple[ClassSettings, ...]
    tenants: tuple[TenantSettings, ...] = ()
    zone: str = ""
    nodes: int = 1  # how many nodes share the servers
    me: int | None = None  # this one's number among them, from 0; None where it is not told
    living: tuple[int, ...] | None = None  # numbers of those that are there, where that is known; `nodes` counts them
    numbers: int = 0  # how many numbers there are, of the living and others; with `living`
    tick_ms: float = 1.0  # the least time between two calls of `handle`
    answer_slack_ms: float = 5.0
    drain_grace_ms: float = 1000.0
    cold_from: float = 1.0  # share of its capacity that a started server has at once
    cold_ms: float = 0.0  # it is warm after this time at the latest
    fall_multiple: float = 4.0
    fall_ms: float = 1000.0
    must_ask_ms: float | None = None
    list_mode: ListMode = ListMode.PUSH
    weight_source: WeightSource = WeightSource.NONE
    probes: bool = True
    cancelling: bool = True
    parallel_tries: bool = False
    retry_after: bool = True
    max_attempts: int = 3
    max_held: int = 20000
    max_retry_after_ms: float = 1000.0
    worth_by_work: bool = False  # worth counts for each unit of work, not for each request
    over_share_worth: float = 1.0
    goal_whole: float = 1.0  # weight of all service in the goal
    goal_worst_class: float = 0.0  # weight of the class served worst
    probe_price: float = 0.0  # of one probe for each request, as a part of all service
    cross_zone_price: float = 0.0
    pools: bool = False  # whether requests come with pools: the node then keeps to every server


# ------------------------------------------------------------------ events


class ListKind(Enum):
    """How a server list is to be read."""

    CHANGES = "changes"
    FULL = "full"
    REMEMBERED = "remembered"  # from before a restart, may be stale
    ERROR = "error"  # a call failed or the subscription broke


class Lifecycle(Enum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Status(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"  # never sent


@dataclass(slots=True)
class LoadReport:
    """A server's own figures; None where it does not give them."""

    inflight: float | None = None
    queue: float | None = None
    util: float | None = None
    latency_ms: float | None = None
    qps: float | None = None
    errors_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of a server list."""

    server: str
    zone: str = ""
    cell: int = 0
    lifecycle: Lifecycle = Lifecycle.READY
    weight: float = 1.0
    started_at: float | None = None  # None: long ago


@dataclass(frozen=True, slots=True)
class ServerList:
    """What discovery says of the servers."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()
    version: int | None = None


@dataclass(slots=True)
class Request:
    """A client's request; exactly one final answer is owed for it."""

    id: int
    class_name: str
    expires_ms: float  # until the client gives up this try
    tenant: str | None = None
    key: int | None = None
    cost_ms: float | None = None  # hinted work; None without a valid hint
    is_retry: bool = False
    is_write: bool = False
    pool: Pool | None = None  # the servers that it may go to; None: all
    arriving: bool = False  # its body still comes: its time begins with `Whole`


@dataclass(slots=True)
class Whole:
    """The last byte of a request has come that was `arriving`."""

    id: int
    expires_ms: float  # from now until the client gives up this try


@dataclass(slots=True)
class Streaming:
    """The answer of an attempt has begun; the attempt belongs to the client now."""

    id: int
    attempt: int
    server: str
    spent_ms: float = 0.0


@dataclass(slots=True)
class Outcome:
    """How an attempt ended; one for each `Send`. `closed`: the request has its final answer."""

    id: int
    attempt: int
    server: str
    status: Status
    spent_ms: float
    closed: bool = False
    load: LoadReport | None = None
    again: bool = True  # whether the request could be sent again: its body is still held from the start


@dataclass(slots=True)
class ClientGone:
    """The client left; nothing more is owed."""

    id: int


@dataclass(slots=True)
class Timer:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(slots=True)
class ProbeReply:
    """The result of one `Probe`."""

    server: str
    status: Status
    spent_ms: float
    load: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """A message from another node. The module sends none and passes over those it gets."""

    sender: int
    data: bytes


@dataclass(slots=True)
class NewSettings:
    """Other settings from now on. A request under way keeps the class that it came with."""

    settings: Settings


Event = Union[NewSettings, ServerList, Request, Whole, Streaming, Outcome, ClientGone, Timer, ProbeReply, PeerMessage]

# ----------------------------------------------------------------- actions


@dataclass(slots=True)
class Send:
    """Start an attempt. Attempts of a request count from 0. timeout_ms 0: until the client gives up. within_ms: its
    last byte leaves within this time; what would leave later is not sent, and ends as moot.
    """

    id: int
    server: str
    timeout_ms: float = 0.0
    within_ms: float = math.inf


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, trying again is harmless."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Ask for `Timer(token)` after this time."""

    delay_ms: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a server for its load."""

    server: str


@dataclass(slots=True)
class CloseIdle:
    """Close this node's idle connections to a server."""

    server: str


@dataclass(slots=True)
class Tell:
    """Send bytes to a node, or to all of them (None). Never used by this module."""

    node: int | None
    data: bytes


@dataclass(slots=True)
class Watch:
    """Subscribe to changes of the server list, or end that."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Ask for the whole server list once."""


@dataclass(slots=True)
class Log:
    """A line for the people on call."""

    text: str


Action = Union[Send, Cancel, Refuse, Fail, SetTimer, Probe, CloseIdle, Tell, Watch, Fetch, Log]
