"""Every decision of a cloverhold node. Settings, events and actions: cloverhold/decision/interface.py.

The ordinary path is the design's (README.md): a table with a row per ready server, d random probes
per request whose replies overwrite rows, each request sent to a random lowest row, which is then raised by
one. All else is a filter or a bound around that one pick, with the failure it guards against beside it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random

from cloverhold.decision.admission import Admission
from cloverhold.decision.checks import check_settings
from cloverhold.decision.dealing import rank, redeal
from cloverhold.decision.health import Health
from cloverhold.decision.index import Agenda
from cloverhold.decision.interface import (
    Action, Cancel, ClientGone, Event, Fail, Lifecycle, ListKind, ListMode, Log, NewSettings, Outcome, Probe,
    ProbeReply, Refuse, Request, Send, ServerEntry, ServerList, SetTimer, Settings, Status, Streaming, Timer,
    Watch, WeightSource, Whole,
)  # fmt: skip
from cloverhold.decision.learned import WARM, Learned, Warming
from cloverhold.decision.pools import Pool
from cloverhold.decision.records import Attempt, Server
from cloverhold.decision.state import NEVER_RAN, RequestState
from cloverhold.decision.table import Table
from cloverhold.decision.waiting import Waiting

WAIT_PART = 0.03  # part of its aim that a request may wait for its own probes
JAM = 10.0  # how long after requests had to wait a place at a server counts as dear
SILENT, SILENT_HINTED = 6.0, 3.0  # one without a sign of its server for this multiple (work hinted) stalls
POLL = 0.12  # how often waiting requests look at the table again
# Requests that may find no room for a reason of their own at one look at those that wait; guards against a
# walk over all of them on each event, in a surge.
MISSES = 16


class ListFollower:
    """Follows the server list, pushed or asked for."""

    def __init__(self, settings: Settings, random: Random) -> None:
        self.settings, self.random = settings, random
        self.failures = 0

    def ask_after(self, kind: ListKind) -> float | None:
        """After which time to subscribe (anew); None where there is nothing to ask for."""
        if kind is ListKind.ERROR:
            # Back off with jitter: the list service is one for all nodes and small. Two more calls lie within
            # the 6 s after which this node would be held to have heard what it has not.
            self.failures += 1
            most = min(2000.0, (self.settings.must_ask_ms or math.inf) / 2)
            return min(most, 500.0 * 2.0 ** min(self.failures, 6)) * self.random.uniform(0.5, 1.0)
        self.failures = 0
        return 0.0 if kind is ListKind.REMEMBERED and self.settings.list_mode is ListMode.ASK else None


class Balancer:
    """The decisions of one node: `handle` takes an event and returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        check_settings(settings)
        self.settings = settings
        self.random = Random(seed)
        self.learned = Learned(settings)
        self.warming = Warming(settings, self.learned, self.random)
        self.table = Table(settings, self.learned, self.warming, self.random)
        self.health = Health(self.table, self.learned, self.warming, self.random, self._log)
        self.admission = Admission(settings)
        self.follower = ListFollower(settings, self.random)
        self.requests: dict[int, RequestState] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.waiting = Waiting()
        # When requests must be looked at, and "poll" and "watch"; one timer is out for the first of them.
        self.wakes: Agenda[RequestState | str] = Agenda()
        self.rings: dict[int, float] = {}  # when the timers ring that are out, by their tokens
        self.ring = math.inf  # the first of these
        self.tokens = self.turn = self.overloaded = 0
        self.out: list[Action] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        """Decide on one event. Time never goes back."""
        self.out = []
        if self.health.agenda.stirs(now):
            for server in list(self.health.agenda.due(now)):
                self.health.review(server, now)
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
            case NewSettings():
                self._settle(event.settings, now)
            case ClientGone():
                if (request := self.requests.get(event.id)) is not None:
                    self._end(request, answer=False)
            case Streaming():
                self._streams(event, now)
            case Whole():
                self._whole(event, now)
        if (at := self.wakes.next()) < self.ring:
            self.tokens += 1
            self.rings[self.tokens] = self.ring = at
            self.out.append(SetTimer(max(0.0, at - now), self.tokens))
        return self.out

    def serves(self, pool: Pool) -> bool:
        """Whether a ready server of a pool looks well."""
        return any(self.table.looks_well(server) for server in self.table.members(pool))

    def _settle(self, settings: Settings, now: float) -> None:
        """New settings. Classes that are gone stay known while a request of theirs is under way."""
        check_settings(settings)
        self.settings = self.follower.settings = settings
        named = {c.name for c in settings.classes}
        under_way = [*self.requests.values(), *(attempt.request for attempt in self.attempts.values())]
        gone = {r.kind.name: r.kind for r in under_way if r.kind.name not in named}
        classes = (*settings.classes, *gone.values())
        self.learned.settle(settings, classes)
        self.warming.settle(settings)
        self.admission.settle(settings)
        redeal(self.table, settings, self._rank)
        self.table.settle(settings, classes)
        self.health.settle(classes, now)
        self._place_waiting(now)

    def _log(self, text: str) -> None:
        self.out.append(Log(text))

    # --------------------------------------------------------------------------------------------- requests

    def _request(self, event: Request, now: float) -> None:
        kind = self.admission.classes.get(event.class_name)
        if kind is None:
            return self.out.append(Refuse(event.id))
        if ready := self.table.ready:  # the round: what drifts for all is taken over by one server at a time
            self.turn = (self.turn + 1) % len(ready)
            self.health.review(ready[self.turn], now)
        request = RequestState(event, kind, now, event.pool or self.admission.lane)
        self.requests[event.id] = request
        # Past its deadline a hint says no more, and without a bound it spoils what is learned of all.
        request.base = min(max(0.0, event.cost_ms or 0.0), kind.deadline_ms) or kind.aim_ms / 8
        request.work = self.learned.work(request)
        # Of all that arrives, not of what is sent: while worthy heavy requests go first, the latter would
        # grow, tighten the bound on what waits at a server, and so let even less through.
        self.learned.mix += 0.01 * (request.work - self.learned.mix)
        self.admission.admit(request, now)
        # With many nodes its row is old: it waits for its own probes, a little, where they are quick.
        asked = self.table.probes(event.pool) if self.settings.probes else []
        self._probe(asked, now)
        patience = WAIT_PART * kind.aim_ms
        if asked and self.table.shared and (self.table.rtt or 0.0) <= 0.5 * patience:
            request.awaited = len(asked)
            for server in asked:
                server.askers.append(request)
            self.wakes.set(request, min(self._last_call(request), now + patience))
        else:
            self.wakes.set(request, self._last_call(request))
            self._wait(request, now)

    def _last_call(self, request: RequestState) -> float:
        """When a request must have its answer: a tick early, as a timer may come a tick late."""
        return request.term - self.settings.tick_ms

    def _wait(self, request: RequestState, now: float) -> None:
        """Place a request, behind those of its class that wait already."""
        if not request.lane.held and self._place(request, now):
            return
        self.waiting.add(request, self._gives_up(request))
        if request.line is not None and request.line.held == 1:
            self._place_waiting(now)

    def _gives_up(self, request: RequestState) -> float:
        """From when on even the fastest server could not answer a request in time."""
        return request.term - 0.8 * request.work * self.table.fastest()

    def _place_waiting(self, now: float, server: str = "") -> None:
        """Send waiting requests, the worthiest first, while servers have room; it has shown there."""
        waiting, misses = self.waiting, 0
        waiting.come_back(MISSES, server)
        while misses < MISSES and (request := waiting.best()) is not None:
            if self._place(request, now):
                continue
            request.lane.jam_until = now + JAM * self.table.tightest
            if self.table.room(request.kind.name, request.event.pool):
                waiting.stand_aside(request)
                misses += 1
            elif request.line is not None:
                waiting.stand_apart(request.line)
        if waiting.count and "poll" not in self.wakes.at:
            self.wakes.set("poll", now + POLL * self.table.tightest)

    def _poll(self, now: float) -> None:
        """A further look for those that wait; an early end for those that no server could answer in time."""
        if self.waiting.count:
            if not self.attempts:
                self._probe(self.table.probes(), now)  # no outcome will come that could ask for one
            for request in list(self.waiting.late(now)):
                if now > (gives_up := self._gives_up(request)):
                    self._end(request)
                else:
                    self.waiting.later(request, gives_up)
            self._place_waiting(now)
        if bool(self.overloaded) != bool(self.waiting.count):
            self.overloaded = self.waiting.count
            self._log("overload: requests wait" if self.overloaded else "overload is over")

    def _place(self, request: RequestState, now: float) -> bool:
        """Send a request, or end one that may not be sent; False where no server is fit for it now."""
        group = request.may_send(now, self.settings)
        if group is None:
            self._end(request)
            return True
        # Hints are rough: where nothing waited lately, a try that proves too long costs nobody else. With
        # nothing out, a node tries all the same, to learn better.
        own = 0.8 * request.work if now < request.lane.jam_until else 0.0
        picked = self.table.pick(request, group, request.term - now, own, not self.attempts)
        if picked is None:
            return False
        self._send(request, picked, now)
        return True

    def _send(self, request: RequestState, server: Server, now: float) -> None:
        self.learned.pace(server, now)
        place, within = self.table.load(server) + 1, request.leaves_by(self.settings) - now
        attempt = Attempt(request, server, now, place, (place - 1) * self.learned.mix + request.work)
        attempt.silent = (SILENT_HINTED if request.event.cost_ms else SILENT) * attempt.expected
        request.attempts.append(attempt)
        self.waiting.leave(request)
        server.row += 1
        attempt.may_have_run = not request.arriving
        if not request.arriving:
            self._counts(attempt)
        self.attempts[(request.id, attempt.number)] = attempt
        self.out.append(Send(request.id, server.entry.server, within_ms=within))
        if server.warm < WARM:
            self.warming.spend(server, request.work)
        self.health.sent(server, now)

    def _counts(self, attempt: Attempt, on: bool = True) -> None:
        """What a server has to do: from a request's last byte to the first of its answer."""
        key, out = (attempt.request.id, attempt.number), attempt.server.out
        if on:
            out[key] = attempt
            self.table.held += 1
        elif out.pop(key, None) is not None:
            self.table.held -= 1

    def _whole(self, event: Whole, now: float) -> None:
        """Its last byte has come: from here on its time counts, and a server may have run it."""
        request = self.requests.get(event.id)
        if request is None or not request.arriving:
            return
        request.arriving, request.born, request.expires = False, now, now + event.expires_ms
        self.admission.bound(request, now)
        if not request.awaited:
            self.wakes.set(request, self._last_call(request))
        for attempt in request.pending():
            attempt.sent_at, attempt.may_have_run = now, True
            self._counts(attempt)
            self.health.sent(attempt.server, now)

    def _streams(self, event: Streaming, now: float) -> None:
        """The answer has begun. But for a class of streams, all that is left is its way to the client."""
        attempt = self.attempts.get((event.id, event.attempt))
        if attempt is None or attempt.request.streaming:
            return
        attempt.request.streaming = True
        if not attempt.request.kind.stream:
            self._counts(attempt, on=False)
            self._answered(attempt, event.spent_ms, now)
            self._made_room(attempt.server, now)

    def _answered(self, attempt: Attempt, spent: float, now: float) -> None:
        self.learned.observe(attempt, spent, now, answered=True)
        self.health.good(attempt.server, attempt.request.kind.name, now)
        if attempt.server.ready:
            self.health.review(attempt.server, now)

    def _end(self, request: RequestState, answer: bool = True, served: bool = False) -> None:
        """The final answer where one is still owed; a refusal wherever that is allowed."""
        request.done = True
        self.waiting.leave(request)
        self.wakes.discard(request)
        del self.requests[request.id]
        self.admission.ended(request.kind.name, served=served)
        pending = request.pending()
        for attempt in pending:
            if self.settings.cancelling and not attempt.cancelled and not request.streaming:
                attempt.cancelled = True
                self.out.append(Cancel(request.id, attempt.number))
        if answer and not request.streaming:
            if request.may_refuse():
                wait = self.settings.max_retry_after_ms if self.settings.retry_after else 0.0
                self.out.append(Refuse(request.id, wait))
            else:
                self.out.append(Fail(request.id))
        if not pending:
            request.attempts.clear()  # each holds the request: none must wait for the collector of cycles

    # --------------------------------------------------------------------------------------------- outcomes

    def _outcome(self, event: Outcome, now: float) -> None:
        attempt = self.attempts.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        request, server = attempt.request, attempt.server
        attempt.pending = False
        attempt.may_have_run = event.status not in NEVER_RAN
        self._counts(attempt, on=False)
        if event.status is Status.OK:
            if request.kind.stream or not request.streaming:
                self._answered(attempt, event.spent_ms, now)
        else:
            if event.status in (Status.TIMEOUT, Status.CANCELLED):
                self.learned.observe(attempt, event.spent_ms, now, answered=False)
            self.health.bad(attempt, event.status, now)
            if server.ready:
                self.health.review(server, now)
        if not request.done:
            if event.closed:
                self._end(request, answer=False, served=event.status is Status.OK)
            elif not request.pending() and not request.held:
                self._again(request, now) if event.again else self._end(request)
        if request.done:
            request.attempts.clear()
        self._made_room(server, now)

    def _made_room(self, server: Server, now: float) -> None:
        if not self.waiting.count or not server.ready:
            return
        # No report could show better what room the end made.
        known = not self.table.shared or self.table.old()
        if known and self.table.looks_well(server):
            self._place_waiting(now, server.entry.server)
        elif server.probed_at is None:
            self._probe([server], now)  # only a probe can show what room there is

    def _again(self, request: RequestState, now: float) -> None:
        """After a failed attempt: another one where the class and the budget allow it, else the answer."""
        allowed = now < self._last_call(request) and request.may_send(now, self.settings) is not None
        if allowed and request.lane.retries >= 1:
            request.lane.retries -= 1  # a budget: further attempts cannot amplify an overload
            self._wait(request, now)
        else:
            self._end(request)

    # ----------------------------------------------------------------------------------- timers and probes

    def _timer(self, event: Timer, now: float) -> None:
        if self.rings.pop(event.token, None) is None:
            return
        self.ring = min(self.rings.values(), default=math.inf)
        for item in list(self.wakes.due(now + min(1.0, self.settings.tick_ms / 2))):  # timers may ring early
            if item == "poll":
                self._poll(now)
            elif item == "watch":
                self.out.append(Watch(True))
            elif isinstance(item, RequestState):
                if item.awaited > 0:
                    self._asked(item, now)
                elif not item.done and not item.streaming and not (item.arriving and item.pending()):
                    self._end(item)

    def _probe(self, servers: Iterable[Server], now: float) -> None:
        for server in servers if self.settings.probes else ():
            server.probed_at = now
            self.table.free.discard(server)
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
        elif event.status is not Status.FULL:
            server.lost_probes += 1
            server.lost_since = min(server.lost_since, sent)
        if server.ready:
            self.health.replied(server, now)
            if self.waiting.count and event.status is Status.OK and self.table.looks_well(server):
                self._place_waiting(now, event.server)
        for request in askers:
            request.awaited -= 1
            if request.awaited == 0 and not request.done:
                self._asked(request, now)

    def _asked(self, request: RequestState, now: float) -> None:
        request.awaited = 0  # its own probes have told what they could
        if request.done:
            return
        if now >= self._last_call(request):
            return self._end(request)  # a further timer could ring too late for the answer
        self.wakes.set(request, self._last_call(request))
        self._wait(request, now)

    # ----------------------------------------------------------------------------------------------- the list

    def _list(self, event: ServerList, now: float) -> None:
        lost, later = self.follower.failures, self.follower.ask_after(event.kind)
        self.wakes.discard("watch")
        if later == 0.0:
            self.out.append(Watch(True))
        elif later is not None:
            self.wakes.set("watch", now + later)
        if (lost == 0) != (self.follower.failures == 0):
            self._log("server list is back" if lost else "server list lost; asking again")
        if event.kind is ListKind.ERROR:
            return
        changed = [s for entry in event.entries if (s := self._listed(entry, now)) is not None]
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for name in [n for n in self.table.servers if n not in named]:
                self._drop(name)
        if self.table.counted():  # nodes are then more than servers: these are few
            changed = self.table.ready
        for server in changed:  # now that the mean size is known; others take it over in the round
            server.pace_at = -math.inf
            if server.ready:
                self.health.review(server, now)
        self._place_waiting(now)

    def _listed(self, entry: ServerEntry, now: float) -> Server | None:
        """Take over one line; the server that it changed. A new start under an old name is new and cold."""
        if entry.lifecycle is Lifecycle.GONE:
            self._drop(entry.server)
            return None
        server, health = self.table.servers.get(entry.server), self.health
        if server is not None and entry.started_at not in (None, server.entry.started_at):
            self._drop(entry.server)
            server = None
        if server is None:
            server = self.table.servers[entry.server] = Server(entry, now, self._rank(entry.server))
        old, server.entry, ready = server.entry, entry, entry.lifecycle is Lifecycle.READY
        largest = self.settings.weight_source is WeightSource.LIVE
        size = max(server.size, entry.weight) if largest else entry.weight
        if server.ready and (not ready or (old.zone, old.cell) != (entry.zone, entry.cell)):
            server.entry, row = old, server.row
            health.leave(server)
            server.entry = entry
            if ready:  # under another zone or cell, where its row is as it was
                health.enter(server, now)
                server.row = row
        if server.ready:
            if size == server.size and entry == old:
                return None
            self.table.resized(server, size)
            return server
        server.size = size
        if ready:
            health.enter(server, now)
        return server

    def _rank(self, server: str) -> float:
        return self.random.random() if self.settings.me is None else rank(server, self.settings)

    def _drop(self, name: str) -> None:
        server = self.table.servers.pop(name, None)
        if server is not None and server.ready:
            self.health.leave(server)
