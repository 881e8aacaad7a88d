"""Every decision of a cloverhold node. Settings, events and actions: cloverhold/decision/interface.py.

The ordinary path is the design's (README.md): a table with a row per ready server, d random probes
per request whose replies overwrite rows, each request sent to a random lowest row, which is then raised by
one. All else is a filter or a bound around that one pick, with the failure it guards against beside it.
"""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Callable, Iterable
from random import Random

from cloverhold.decision.checks import check_settings
from cloverhold.decision.interface import (
    Action, Cancel, ClassSettings, ClientGone, Event, Fail, Group, Lifecycle, ListKind, ListMode,
    LoadReport, Log, Outcome, Probe, ProbeReply, Refuse, Repeat, Request, Send, ServerEntry,
    ServerList, SetTimer, Settings, Status, Streaming, Timer, Watch, WeightSource,
)

PROBE_SPEND = 0.01  # part of all service that a node may spend on probes; with their price this gives d
# Servers that a node keeps to: at least so many, and so many that each server is shared by this many nodes.
SUBSET_LEAST, SUBSET_SHARED = 4, 10
MOST_PROBES = 5  # d is never more: further replies would bring next to nothing new
# Times are multiples of the tightest aim: where all goes faster, a fixed one outlasts what it was made for.
AVERAGE = 60.0  # time over which a server's surplus in old reports is averaged
STALE = 0.03  # part of the reports that may miss what is known to be out before all are taken for old
CROWD = 0.4  # part of the tightest aim that work waiting at a server may take
# Parts of its share of a cold server's budget: at once, steadily, and steadily where it holds no request.
COLD_BURST, COLD_RATE, COLD_DEBT = 0.3, 0.5, 0.33
SILENT, SILENT_HINTED = 6.0, 3.0  # one without a sign of its server for this multiple (work hinted) stalls
EJECT_AT, BACK_AT = 0.6, 0.3  # failure averages at which a server is ejected, and called back for good
EJECT, EJECT_DOUBLINGS, EJECT_PART = 2.0, 4, 0.5
RETRY_PART, RETRY_BURST = 0.2, 10.0  # retry budget: further attempts for each request, most saved up
NEAR = 0.1  # classes served this much better than the worst count for a third as much as it
WAIT_PART = 0.03  # part of its aim that a request may wait for its own probes
JAM = 10.0  # how long after requests had to wait a place at a server counts as dear
POLL = 0.12  # how often waiting requests look at the table again

NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
# Weight of a failure in its average, of an attempt without any sign of life, and what an answer leaves of it.
# All are small: where peers spoil some answers of every server alike, two in a row are no sign of a bad one.
HARD = {Status.CONNECT_FAILED: 0.4, Status.RESET: 0.25, Status.ERROR: 0.2}
SILENCE, GOOD = 0.5, 0.75
LOSS_STEP = 0.05  # of a slow average of failures, for servers that fail now and then
LOSS_ONCE, LOSS_AGAIN = 8.0, 3.0  # what it adds to a server's cost: where no repeat may follow, where one may


class Record:
    """How a server, or one class of requests at it, has fared."""

    def __init__(self) -> None:
        self.answered_at = -math.inf
        self.failing, self.loss = 0.0, 0.0  # average of failures, 0 to 1; a slower one, without weights
        self.ejections, self.until = 0, -math.inf  # ejected until then

    def ejected(self, now: float, out: int) -> bool:
        """Ejected, or back on trial: one attempt at a time until an answer shows that it works again."""
        return now < self.until or (self.failing >= EJECT_AT and self.ejections > 0 and out > 0)


class Server:
    """What this node knows of one listed server."""

    def __init__(self, entry: ServerEntry, now: float, rank: float, kinds: Iterable[str]) -> None:
        self.entry, self.rank = entry, rank
        self.size = entry.weight  # as stated; where weights are live the largest, shown when it holds nothing
        self.ready = self.gone = False
        self.row = 0  # the table's figure
        self.replies = 0  # of probes, that filled the row
        self.surplus, self.heard_at = 0.0, now  # what others hold there over their usual; last reply
        self.out: dict[tuple[int, int], Attempt] = {}  # this node's attempts there, oldest first
        self.took, self.due = 0.0, 0.0  # time answers took, and what a typical server would take
        self.pace, self.pace_at = 1.0, -math.inf
        self.tokens, self.filled = math.nan, now  # the cold budget, in ms of work; not used so far
        self.probed_at: float | None = None  # the probe still out
        self.lost_probes, self.lost_since = 0, math.inf
        self.record, self.kinds = Record(), {name: Record() for name in kinds}
        self.askers: list[RequestState] = []  # requests that wait for the reply of the probe still out


class Attempt:
    """One send of a request; kept until its outcome."""

    def __init__(self, request: RequestState, server: Server, now: float, place: float, due: float) -> None:
        self.request, self.server, self.number = request, server, len(request.attempts)
        self.sent_at, self.place, self.due, self.expected = now, place, due, due * server.pace
        self.silent = (SILENT_HINTED if request.event.cost_ms else SILENT) * self.expected
        self.pending, self.may_have_run, self.cancelled = True, True, False


class RequestState:
    """One request that this node owes an answer, with all that has been tried for it."""

    def __init__(self, event: Request, kind: ClassSettings, now: float) -> None:
        self.id, self.kind, self.event, self.born = event.id, kind, event, now
        self.term = self.expires = now + event.expires_ms
        self.attempts: list[Attempt] = []
        self.work = self.base = 0.0
        self.rank = 0.0
        self.awaited = 0  # probe replies that it waits for before it is placed
        self.held = self.done = self.streaming = False
        self.token = -1

    def pending(self) -> list[Attempt]:
        return [a for a in self.attempts if a.pending]

    def may_refuse(self) -> bool:
        """A refusal promises that trying again is harmless."""
        keyed = self.kind.repeat is Repeat.KEYED and self.kind.group is Group.ALL
        return keyed or self.kind.repeat is Repeat.SAFE or not any(a.may_have_run for a in self.attempts)

    def may_send(self, now: float, settings: Settings) -> Callable[[Server], bool] | None:
        """Which servers may get a further attempt; None if none may."""
        if len(self.attempts) >= settings.max_attempts or self.streaming:
            return None
        ran = [a for a in self.attempts if a.may_have_run]
        if ran and (self.kind.repeat is Repeat.UNSAFE or (not settings.parallel_tries and self.pending())):
            return None
        if not ran or self.kind.repeat is Repeat.SAFE:
            return lambda server: True
        # Keyed: only while the group still remembers the first attempt that may have run, less a margin for
        # the way there.
        first = ran[0].server.entry
        if now > ran[0].sent_at + 0.9 * self.kind.key_ttl_ms - 2 * settings.tick_ms:
            return None
        cell = self.kind.group is Group.CELL
        if self.kind.group is Group.ALL:
            return lambda server: True
        return lambda s: s.entry.zone == first.zone and (not cell or s.entry.cell == first.cell)


class Learned:
    """Service times, from this node's own answers: the work of a class, the pace of a server."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # Until answers tell, work is taken for an eighth of the aim, rather too little: a class taken for
        # heavier than it is ranks low, is held back, and so would never show what it needs.
        self.factor = {c.name: (1.0, 0) for c in settings.classes}
        self.usual = {c.name: c.aim_ms / 8 for c in settings.classes}  # mean of what the factor is for
        self.typical = 1.0  # mean pace of the servers that answer
        self.mean_size = 1.0  # of ready servers, as the list states it
        self.mix = sum(c.aim_ms for c in settings.classes) / len(settings.classes) / 8

    def work(self, request: RequestState) -> float:
        """Expected work of a request, in ms on a typical server."""
        return request.base * self.factor[request.kind.name][0]

    def warmth(self, server: Server, now: float) -> float:
        """The part of its capacity that a server has at least."""
        started, s = server.entry.started_at, self.settings
        if started is None or now - started >= s.cold_ms:
            return 1.0
        return s.cold_from + (1 - s.cold_from) * max(0.0, now - started) / s.cold_ms

    def pace(self, server: Server, now: float) -> float:
        """How many times longer than a typical server it takes, drawn to 1 (cold: to what is stated)."""
        if server.pace_at == now:
            return server.pace
        prior = 4 * self.mix
        stated = self.mean_size / max(server.size, 0.1 * self.mean_size) / self.warmth(server, now)
        server.pace_at = now
        server.pace = (server.took + prior * stated) / (server.due + prior)
        return server.pace

    def observe(self, attempt: Attempt, took: float, now: float, answered: bool) -> None:
        """Learn from an answer; a silent attempt counts once it has lasted longer than was expected."""
        server, request = attempt.server, attempt.request
        if not answered and took < attempt.expected:
            return
        if answered:
            # Whether requests share a server in turn or at once, each takes about its place times its work.
            (mean, n), usual = self.factor[request.kind.name], self.usual[request.kind.name]
            pace = self.pace(server, now)
            self.typical += 0.02 * (pace - self.typical)
            own = took / attempt.place * self.typical / pace  # paces are kept about 1: else both would drift
            # A ratio of means: the mean of ratios is all small hints, beside which any wait is long.
            step = max(0.02, 1 / (n + 10))
            base = usual + step * (request.base - usual)
            work = mean * usual + step * (min(own, 10 * max(request.work, mean * usual)) - mean * usual)
            self.factor[request.kind.name], self.usual[request.kind.name] = (work / base, n + 1), base
        server.took = 0.85 * server.took + min(took, 10 * attempt.expected)  # a jump of the clock is no pace
        server.due = 0.85 * server.due + attempt.due


class Table:
    """The design's table: rows, the probes that overwrite them, and the pick."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings, self.random, self.shared = settings, random, settings.nodes > 1
        self.servers: dict[str, Server] = {}
        self.ready: list[Server] = []
        self.stale = 2 * STALE  # part of the reports that this node knows to be old; at first, till shown
        price = settings.probe_price
        self.d = MOST_PROBES if price * MOST_PROBES <= PROBE_SPEND else max(1, round(PROBE_SPEND / price))
        self.rtt: float | None = None  # how long a probe takes, on average
        self.full = 0.0  # part of the last attempts that were turned away as full
        self.level = 0.0  # mean of the last reports
        # Work that takes this long to wait for is a crowd; a row of this age says nothing.
        self.tightest = min(c.aim_ms for c in settings.classes)
        self.crowd_ms = CROWD * self.tightest
        self.held = 0  # attempts of this node that are out
        self.own, self.others = 1.0, settings.nodes - 1.0  # held at a server by it, by others

    def enter(self, server: Server) -> None:
        """A new server enters at the mean of the other rows until its first probe reply."""
        rows = [s.row for s in self.ready if s.ready]
        server.row = round(sum(rows) / len(rows)) if rows else 0

    def overwrite(self, server: Server, report: LoadReport, spent: float, now: float) -> None:
        """A probe reply overwrites the row, the only way a row falls.

        Reports may be old, always or for a while, and all nodes would flock to what was low then. One
        that counts less than this node has had there for some time proves it. The row then holds what this
        node has there and what others should have: their usual for each request of this node, and the
        server's surplus over that; or, if more, what was reported. A lone node knows all that is there.
        """
        figure = report.inflight if report.inflight is not None else report.queue
        if figure is None:
            return
        self.rtt = spent if self.rtt is None else self.rtt + 0.05 * (spent - self.rtt)
        arrived = now - self.rtt - 2 * self.settings.tick_ms - 10
        known = sum(attempt.sent_at < arrived for attempt in server.out.values())
        if known:
            self.stale += 0.02 * ((figure < known - 0.5) - self.stale)
        others = figure - len(server.out)
        self.level += 0.1 * (figure - self.level)
        step, count = min(1.0, (now - server.heard_at) / (AVERAGE * self.tightest)), max(1, len(self.ready))
        self.own += step / count * (self.held / count - self.own)
        self.others += step / count * (max(0.0, others) - self.others)
        server.replies += 1
        server.surplus += step * (others - self.usual() - server.surplus)
        server.heard_at = now
        if self.old():
            others = max(self.likely(server), others) if self.shared else 0.0
        server.row = len(server.out) + round(max(0.0, others))

    def old(self) -> bool:
        """Whether reports are old and this node can tell better: its own are many enough to go by."""
        return self.stale > STALE and not self.many()

    def many(self) -> bool:
        """Whether nodes are so many that this one's requests tell little of theirs."""
        return self.settings.nodes > 2 * len(self.ready)

    def usual(self) -> float:
        """What others hold at a server, by what this node holds now: a rise of all traffic shows at once."""
        return self.held / max(1, len(self.ready)) * self.others / self.own

    def load(self, server: Server) -> float:
        """Requests at a server, for the bounds: its row; while reports are old what is likely there now; and
        at a lone node what it has there. Guards against waiting for probes where no more room can show.
        """
        if not self.shared or self.old():
            return len(server.out) + self.likely(server)
        return server.row if server.replies else len(server.out)

    def likely(self, server: Server) -> float:
        return max(0.0, self.usual() + server.surplus) if self.shared else 0.0

    def probes(self, servers: list[Server]) -> list[Server]:
        """D distinct random ones of these servers; one probe at a time each, as servers take only a few."""
        # A lone node knows what it sent: a row holding just what is out cannot fall (the paper, section 6).
        free = [s for s in servers if s.probed_at is None and (self.shared or s.row > len(s.out))]
        return self.random.sample(free, min(self.d, len(free)))

    def blind(self) -> bool:
        """Whether most rows are old (many nodes, few probes each) while servers are not turning work away."""
        return self.many() and 2 * self.d < SUBSET_LEAST and self.full < 0.1

    def pick(self, servers: list[Server], paces: list[float], now: float) -> Server | None:
        """A random lowest row.

        The paper's servers are alike. Where one needs far longer for each request (slow machine, neighbour,
        cold start), its row counts that much more, in steps of root two, so that like servers still tie.
        """
        lowest, ties, many = math.inf, [], self.many()
        for server, pace in zip(servers, paces, strict=True):
            # Guards against nodes that flock to what was low long ago.
            aged = many and now - server.heard_at > self.crowd_ms
            row = max(server.row, round(self.level)) if aged else server.row
            figure = (row + 1) * 2.0 ** (round(2 * math.log2(pace)) / 2)
            if figure < lowest:
                lowest, ties = figure, [server]
            elif figure == lowest:
                ties.append(server)
        return self.random.choice(ties) if ties else None


class Health:
    """Ejection and return, by this node's own evidence."""

    def __init__(self, table: Table, learned: Learned, random: Random, log: Callable[[str], None]) -> None:
        self.table, self.learned, self.random, self.log = table, learned, random, log

    def stalled(self, server: Server, now: float) -> bool:
        """No sign of life where one is due. Guards against a paused or hung server that keeps a low row."""
        if server.gone:
            return True
        if server.lost_probes >= 2 and server.record.answered_at < server.lost_since:
            return True
        oldest = next(iter(server.out.values()), None)
        if oldest is None:
            return False
        return now - max(oldest.sent_at, server.record.answered_at) > oldest.silent

    def usable(self, server: Server, now: float) -> bool:
        return not server.record.ejected(now, len(server.out)) and not self.stalled(server, now)

    def serves(self, server: Server, kind: str, now: float) -> bool:
        """Whether it answers this class. Guards against a server that fails one and answers the others."""
        record = server.kinds[kind]
        if not record.ejections:
            return True
        return not record.ejected(now, sum(a.request.kind.name == kind for a in server.out.values()))

    def subset(self, now: float) -> tuple[list[Server], list[Server]]:
        """The servers this node keeps to: the first that look well in an order of its own, and the unwell
        before them; and those that look well, or, as that is likelier its own view, all if none does.

        Guards against full connection tables: with many nodes, each at every server, none takes them all.
        """
        ready = self.table.ready
        count = max(SUBSET_LEAST, math.ceil(SUBSET_SHARED * len(ready) / self.table.settings.nodes))
        known, well = [], []
        for server in ready:
            known.append(server)
            if self.usable(server, now):
                well.append(server)
                if len(well) == count:
                    break
        return known, well or ready[:count]

    def cost(self, server: Server, kind: ClassSettings) -> float:
        """How much more a request costs there than at a server that never fails: a part of them is lost, and
        a quick loss leaves a low row.
        """
        loss = max(server.record.loss, server.kinds[kind.name].loss)
        return 1 + (LOSS_ONCE if kind.repeat is Repeat.UNSAFE else LOSS_AGAIN) * loss

    def good(self, server: Server, kind: str, now: float) -> None:
        for record in (server.record, server.kinds[kind]):
            record.answered_at = now
            record.failing *= GOOD
            record.loss *= 1 - LOSS_STEP
            if record.ejections and record.failing < BACK_AT:
                record.ejections = 0
                self.log(f"server {server.entry.server} is back")

    def bad(self, attempt: Attempt, status: Status, now: float) -> None:
        """Count a failure. Guards against errors answered fast, which look like an idle server."""
        server, request = attempt.server, attempt.request
        ready, kind = self.table.ready, request.kind.name
        if status is Status.ERROR:
            server.record.answered_at = server.kinds[kind].answered_at = now
        waited = now - attempt.sent_at > min(attempt.silent, 0.9 * (request.term - request.born))
        weight = HARD.get(status, 0.0)
        ended = status in (Status.TIMEOUT, Status.CANCELLED) and waited
        for record, peers, what in (
            (server.record, [s.record for s in ready], "all"),
            (server.kinds[kind], [s.kinds[kind] for s in ready], kind),
        ):
            if ended:
                weight = SILENCE if record.answered_at < attempt.sent_at else 0.0
            record.failing += weight * (1 - record.failing)
            record.loss += LOSS_STEP * (status in HARD) * (1 - record.loss)
            if not weight or now < record.until or record.failing < EJECT_AT:
                continue
            # What all servers share, bad networks or too much work, is no fault of this one.
            usual = sum(r.failing for r in peers) / max(1, len(peers))
            out = sum(s.record.until > now or s.kinds[kind].until > now for s in ready)
            if record.failing >= EJECT_AT + (1 - EJECT_AT) * usual and out < EJECT_PART * len(ready):
                span = EJECT * self.table.tightest * 2.0 ** min(record.ejections, EJECT_DOUBLINGS)
                span *= self.random.uniform(0.8, 1.2)
                record.until, record.ejections = now + span, record.ejections + 1
                self.log(f"server {server.entry.server} ejected ({what}) for {span:.0f} ms: {status.value}")


class Admission:
    """What is worth doing, in which order, and the budgets that bound it."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.retries = RETRY_BURST
        self.classes = {c.name: c for c in settings.classes}
        own = 1000 * settings.nodes
        self.shares = {t.name: (t.quota_per_s / own, 1.0, -math.inf) for t in settings.tenants}
        self.usual_try: dict[str, float] = {}  # the longest try seen of each class
        self.share = {c.name: 1 / len(settings.classes) for c in settings.classes}  # of what arrives
        self.served = {c.name: 1.0 for c in settings.classes}  # part answered in time, lately

    def over_share(self, tenant: str | None, now: float) -> bool:
        """Whether a tenant has used up its share at this node; a second's worth may come at once."""
        if tenant is None or tenant not in self.shares:
            return False
        rate, saved, then = self.shares[tenant]
        saved = min(max(1.0, 1000 * rate), saved + rate * (now - then)) - 1
        self.shares[tenant] = (rate, max(saved, 0.0), now)
        return saved < 0

    def admit(self, request: RequestState, now: float) -> None:
        """Set until when an answer is worth anything, and the rank among waiting requests."""
        kind, s = request.kind, self.settings
        self.retries = min(RETRY_BURST, self.retries + RETRY_PART)
        aim = kind.aim_ms + kind.aim_stretch * request.work
        usual = max(self.usual_try.get(kind.name, 0.0), request.event.expires_ms)
        self.usual_try[kind.name] = usual
        # A client's repeat that has less time than a first try is cut by the deadline: its age is then known.
        if request.event.is_retry and request.event.expires_ms < 0.98 * usual:
            aim -= kind.deadline_ms - request.event.expires_ms
        if not kind.late_worth:
            request.term = min(request.expires, now + max(aim, 0.0))
        for name in self.share:
            self.share[name] += 0.01 * ((name == kind.name) - self.share[name])
        # What serving it adds to the goal: to the whole, and to the class served worst (or near it).
        low = min(self.served.values())
        pull = {name: math.exp((low - part) / NEAR) for name, part in self.served.items()}
        offered = sum(part * self.classes[name].worth for name, part in self.share.items())
        worst = s.goal_worst_class * pull[kind.name] / sum(pull.values()) / self.share[kind.name]
        request.rank = s.goal_whole * kind.worth / max(offered, 1e-9) + worst
        request.rank /= 1.0 if s.worth_by_work else max(request.work, 1e-9)
        if self.over_share(request.event.tenant, now):
            request.rank *= s.over_share_worth


class ListFollower:
    """Follows the server list, pushed or asked for."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings, self.random = settings, random
        self.failures = 0

    def ask_after(self, kind: ListKind) -> float | None:
        """After which time to subscribe (anew); None where there is nothing to ask for."""
        if kind is ListKind.ERROR:
            # Back off with jitter: the list service is one for all nodes and small. Never past the time
            # after which this node would be held to have heard what it has not.
            self.failures += 1
            most = (self.settings.must_ask_ms or 10000.0) / 2
            return min(most, 500.0 * 2.0 ** min(self.failures, 6)) * self.random.uniform(0.5, 1.0)
        self.failures = 0
        return 0.0 if kind is ListKind.REMEMBERED and self.settings.list_mode is ListMode.ASK else None


class Balancer:
    """The decisions of one node: `handle` takes an event and returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        self.settings = settings
        self.random = Random(seed)
        self.table = Table(settings, self.random)
        self.learned = Learned(settings)
        self.health = Health(self.table, self.learned, self.random, lambda text: self.out.append(Log(text)))
        self.admission = Admission(settings)
        self.follower = ListFollower(settings, self.random)
        self.requests: dict[int, RequestState] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.waiting: list[tuple[float, int, RequestState]] = []
        self.timers: dict[int, RequestState | None] = {}
        self.poll_token, self.watch_token, self.jam_until = -1, -1, -math.inf
        self.tokens = self.arrivals = self.overloaded = 0
        self.out: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event. Time never goes back."""
        self.out = []
        match event:
            case Request():
                self._request(event, now)
            case Outcome():
                self._outcome(event, now)
            case ProbeReply():
                self._probe_reply(event, now)
            case Timer():
                self._timer(event, now)
            case ServerList():
                self._list(event, now)
            case ClientGone():
                if (request := self.requests.get(event.id)) is not None:
                    self._end(request, answer=False)
            case Streaming():
                if (request := self.requests.get(event.id)) is not None:
                    request.streaming = True
        return self.out

    def _request(self, event: Request, now: float) -> None:
        kind = self.admission.classes.get(event.class_name)
        if kind is None:
            return self.out.append(Refuse(event.id))
        request = RequestState(event, kind, now)
        self.requests[event.id] = request
        request.base = max(0.0, event.cost_ms or 0.0) or kind.aim_ms / 8
        request.work = self.learned.work(request)
        # Of all that arrives, not of what is sent: while worthy heavy requests go first, the latter would
        # grow, tighten the bound on what waits at a server, and so let even less through.
        self.learned.mix += 0.01 * (request.work - self.learned.mix)
        self.admission.admit(request, now)
        self._wake(request, self._last_call(request), now)
        # With many nodes its row is old: it waits for its own probes, a little, where they are quick.
        asked = self.table.probes(self.health.subset(now)[0]) if self.settings.probes else []
        self._probe(asked, now)
        patience = WAIT_PART * kind.aim_ms
        if asked and self.table.shared and (self.table.rtt or 0.0) <= 0.5 * patience:
            request.awaited = len(asked)
            for server in asked:
                server.askers.append(request)
            self._wake(request, min(self._last_call(request), now + patience), now)
        else:
            self._wait(request, now)

    def _last_call(self, request: RequestState) -> float:
        """When a request must have its answer: a tick early, as a timer may come a tick late."""
        return request.term - self.settings.tick_ms

    def _wait(self, request: RequestState, now: float) -> None:
        """Place a request, behind those that wait already."""
        self.arrivals += 1
        alone = not self.waiting
        request.held = True
        insort(self.waiting, (-request.rank, self.arrivals, request), key=lambda w: w[:2])
        if alone:
            self._place_waiting(now, self.health.subset(now)[1])

    def _place_waiting(self, now: float, servers: list[Server]) -> None:
        """Send waiting requests, the worthiest first, while one of these servers has room."""
        waiting, left = [w for w in self.waiting if w[2].held and not w[2].done], []
        room = [s for s in servers if s.ready and self._roomy(s, now)]
        for at, item in enumerate(waiting):
            if not room:  # guards against a walk over all that wait on each event, in a surge
                left += waiting[at:]
                break
            if self._place(item[2], room, now):
                room = [s for s in room if self._roomy(s, now)]
            else:
                left.append(item)
        self.waiting = left
        if left:
            self.jam_until = now + JAM * self.table.tightest
            if self.poll_token < 0:
                self.poll_token = self._set_timer(POLL * self.table.tightest, None)

    def _poll(self, now: float) -> None:
        """A further look for those that wait; an early end for those that no server could answer in time."""
        if self.waiting:
            known, usable = self.health.subset(now)
            if not self.attempts:
                self._probe(self.table.probes(known), now)  # no outcome will come that could ask for one
            best = min((self.learned.pace(s, now) for s in usable), default=1.0)
            self.waiting = [item for item in self.waiting if item[2].held]
            for _, _, request in self.waiting:
                if now + 0.8 * request.work * best > request.term:
                    self._end(request)
            self._place_waiting(now, usable)
        if bool(self.overloaded) != bool(self.waiting):
            self.overloaded = len(self.waiting)
            self.out.append(Log("overload: requests wait" if self.overloaded else "overload is over"))

    def _roomy(self, server: Server, now: float) -> bool:
        """Bounds what waits at a server. Guards the tightest aim and keeps servers from being crowded into
        a slow state; what finds no room waits here, where it can still be ordered or refused.
        """
        load = self.table.load(server)
        pace = max(1.0, self.learned.pace(server, now))  # nor does a fast server take more at once
        # One at work and one behind it are always allowed: a node that learned too long times, restarted into
        # an overload, would else send nothing and never learn better.
        return load <= 1 or self.table.blind() or load * self.learned.mix * pace <= self.table.crowd_ms

    def _place(self, request: RequestState, servers: list[Server], now: float) -> bool:
        allowed = request.may_send(now, self.settings)
        if allowed is None:
            self._end(request)
            return True
        fit, tried = [], {a.server.entry.server for a in request.attempts}
        # Hints are rough: where nothing waited lately, a try that proves too long costs nobody else.
        own = 0.8 * request.work if now < self.jam_until else 0.0
        for server in servers:
            if not allowed(server) or not self.health.serves(server, request.kind.name, now):
                continue
            pace = self.learned.pace(server, now)
            load = self.table.load(server) if self.attempts and not self.table.blind() else 0.0
            if (load * self.learned.mix + own) * pace > request.term - now:
                continue  # could not answer in time; with nothing out, a node tries, to learn better
            if not self._cold_room(server, request.work, now):
                continue
            fit.append(server)
        fit = [s for s in fit if s.entry.server not in tried] or fit  # a further attempt goes elsewhere
        paces = [self.learned.pace(s, now) * self.health.cost(s, request.kind) for s in fit]
        picked = self.table.pick(fit, paces, now)
        if picked is None:
            return False
        self._send(request, picked, now)
        return True

    def _cold_room(self, server: Server, work: float, now: float) -> bool:
        """Each node keeps to its share of a cold server's budget: all together cannot push it over."""
        warmth, s = self.learned.warmth(server, now), self.settings
        if warmth >= 1:
            return True
        share = s.fall_multiple * warmth / s.nodes * s.fall_ms  # in any such time
        full, part = COLD_BURST * share, (now - server.filled) / s.fall_ms
        debt = max(0.0, self.learned.mix - COLD_RATE * share)
        if math.isnan(server.tokens):
            # Among many nodes no share holds a request. Each may owe one, from a random start, so that all
            # together send at the steady rate and not at once.
            server.tokens = -debt * self.random.random()
        rate = (COLD_DEBT if debt else COLD_RATE) * share
        server.tokens, server.filled = min(full, server.tokens + rate * part), now
        # A full budget may go into debt for one larger request: it is paid back before the next.
        return server.tokens >= min(work, full) and work <= max(COLD_RATE * share, 2 * self.learned.mix)

    def _send(self, request: RequestState, server: Server, now: float) -> None:
        place = self.table.load(server) + 1
        due = (place - 1) * self.learned.mix + request.work
        attempt = Attempt(request, server, now, place, due)
        request.attempts.append(attempt)
        request.held = False
        server.row += 1
        server.tokens -= request.work  # nan where it never was cold
        server.out[(request.id, attempt.number)] = attempt
        self.table.held += 1
        self.attempts[(request.id, attempt.number)] = attempt
        self.out.append(Send(request.id, server.entry.server))

    def _end(self, request: RequestState, answer: bool = True, served: bool = False) -> None:
        """The final answer where one is still owed; a refusal wherever that is allowed."""
        request.done, request.held = True, False
        del self.requests[request.id]
        lately = self.admission.served
        lately[request.kind.name] += 0.02 * (served - lately[request.kind.name])
        for attempt in request.pending():
            if self.settings.cancelling and not attempt.cancelled and not request.streaming:
                attempt.cancelled = True
                self.out.append(Cancel(request.id, attempt.number))
        if answer and not request.streaming:
            if request.may_refuse():
                wait = self.settings.max_retry_after_ms if self.settings.retry_after else 0.0
                self.out.append(Refuse(request.id, wait))
            else:
                self.out.append(Fail(request.id))

    def _outcome(self, event: Outcome, now: float) -> None:
        attempt = self.attempts.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        request, server = attempt.request, attempt.server
        attempt.pending = False
        attempt.may_have_run = event.status not in NEVER_RAN
        server.out.pop((event.id, event.attempt), None)
        self.table.held -= 1
        self.table.full += 0.05 * ((event.status is Status.FULL) - self.table.full)
        if event.status is Status.OK:
            self.learned.observe(attempt, event.spent_ms, now, answered=True)
            self.health.good(server, request.kind.name, now)
        else:
            if event.status in (Status.TIMEOUT, Status.CANCELLED):
                self.learned.observe(attempt, event.spent_ms, now, answered=False)
            self.health.bad(attempt, event.status, now)
        if not request.done:
            if event.closed:
                self._end(request, answer=False, served=event.status is Status.OK)
            elif not request.pending() and not request.held:
                self._again(request, now)
        # No report could show better what room the end made.
        known = not self.table.shared or self.table.old()
        if self.waiting and server.ready and known and self.health.usable(server, now):
            self._place_waiting(now, [server])
        elif self.waiting and server.ready and server.probed_at is None:
            self._probe([server], now)  # an answer may have made room there; only a probe can show it

    def _again(self, request: RequestState, now: float) -> None:
        """After a failed attempt: another one where the class and the budget allow it, else the answer."""
        allowed = now < self._last_call(request) and request.may_send(now, self.settings) is not None
        if allowed and self.admission.retries >= 1:
            self.admission.retries -= 1  # a budget: further attempts cannot amplify an overload
            self._wait(request, now)
        else:
            self._end(request)

    def _set_timer(self, delay: float, request: RequestState | None) -> int:
        self.tokens += 1
        self.timers[self.tokens] = request
        self.out.append(SetTimer(max(0.0, delay), self.tokens))
        return self.tokens

    def _wake(self, request: RequestState, at: float, now: float) -> None:
        """Only the last timer set for a request counts."""
        self.timers.pop(request.token, None)
        request.token = self._set_timer(at - now, request)

    def _timer(self, event: Timer, now: float) -> None:
        if event.token not in self.timers:
            return
        request = self.timers.pop(event.token)
        if request is not None:
            if request.awaited > 0 and not request.done:
                self._asked(request, now)
            elif not request.done and not request.streaming:
                self._end(request)
        elif event.token == self.poll_token:
            self.poll_token = -1
            self._poll(now)
        elif event.token == self.watch_token:
            self.out.append(Watch(True))

    def _probe(self, servers: list[Server], now: float) -> None:
        for server in servers if self.settings.probes else []:
            server.probed_at = now
            self.out.append(Probe(server.entry.server))

    def _probe_reply(self, event: ProbeReply, now: float) -> None:
        server = self.table.servers.get(event.server)
        if server is None or server.probed_at is None:
            return
        sent, server.probed_at = server.probed_at, None
        askers, server.askers = server.askers, []
        if event.status is Status.OK:
            server.lost_probes, server.lost_since = 0, math.inf
            if event.load is not None:
                self.table.overwrite(server, event.load, event.spent_ms, now)
            if self.waiting and server.ready and self.health.usable(server, now):
                self._place_waiting(now, [server])
        elif event.status is not Status.FULL:
            server.lost_probes += 1
            server.lost_since = min(server.lost_since, sent)
        for request in askers:
            request.awaited -= 1
            if request.awaited == 0 and not request.done:
                self._asked(request, now)

    def _asked(self, request: RequestState, now: float) -> None:
        request.awaited = 0  # its own probes have told what they could
        if now >= self._last_call(request):
            return self._end(request)  # a further timer could ring too late for the answer
        self._wake(request, self._last_call(request), now)
        self._wait(request, now)

    def _list(self, event: ServerList, now: float) -> None:
        lost, later = self.follower.failures, self.follower.ask_after(event.kind)
        self.watch_token = -1
        if later == 0.0:
            self.out.append(Watch(True))
        elif later is not None:
            self.watch_token = self._set_timer(later, None)
        if (lost == 0) != (self.follower.failures == 0):
            self.out.append(Log("server list is back" if lost else "server list lost; asking again"))
        if event.kind is ListKind.ERROR:
            return
        named = set()
        for entry in event.entries:
            named.add(entry.server)
            self._listed(entry, now)
        if event.kind is not ListKind.CHANGES:
            for name in [n for n in self.table.servers if n not in named]:
                self._drop(name)
        ready = sorted((s for s in self.table.servers.values() if s.ready), key=lambda s: s.rank)
        self.table.ready = ready
        self.learned.mean_size = sum(s.size for s in ready) / len(ready) if ready else 1.0
        self._place_waiting(now, self.health.subset(now)[1])

    def _listed(self, entry: ServerEntry, now: float) -> None:
        """Take over one line. A new start under an old name is a new, cold server."""
        if entry.lifecycle is Lifecycle.GONE:
            self._drop(entry.server)
            return
        server = self.table.servers.get(entry.server)
        if server is not None and entry.started_at not in (None, server.entry.started_at):
            self._drop(entry.server)
            server = None
        if server is None:
            server = self.table.servers[entry.server] = Server(
                entry, now, self.random.random(), self.admission.classes)
        entering = entry.lifecycle is Lifecycle.READY and not server.ready
        largest = self.settings.weight_source is WeightSource.LIVE
        server.size = max(server.size, entry.weight) if largest else entry.weight
        server.entry, server.ready = entry, entry.lifecycle is Lifecycle.READY
        if entering:
            self.table.enter(server)
            self.table.ready.append(server)

    def _drop(self, name: str) -> None:
        server = self.table.servers.pop(name, None)
        if server is not None:
            server.ready, server.gone = False, True
