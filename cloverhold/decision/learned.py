"""What a node learns of work and paces from its own answers, and what it may send to cold servers."""

from __future__ import annotations

import math
from random import Random

from cloverhold.decision.interface import ClassSettings, Settings
from cloverhold.decision.records import Attempt, Server
from cloverhold.decision.state import RequestState

# Parts of its share of a cold server's budget: at once, steadily, and steadily where it holds no request.
COLD_BURST, COLD_RATE, COLD_DEBT = 0.3, 0.5, 0.33
WARM = 16  # steps from cold to warm


class Learned:
    """Service times, from this node's own answers: the work of a class, the pace of a server."""

    def __init__(self, settings: Settings) -> None:
        self.factor: dict[str, tuple[float, int]] = {}
        self.usual: dict[str, float] = {}  # mean of what the factor is for
        self.settle(settings, settings.classes)
        self.typical = 1.0  # mean pace of the servers that answer
        self.mean_size = 1.0  # of ready servers, as the list states it
        self.mix = sum(c.aim_ms for c in settings.classes) / len(settings.classes) / 8

    def settle(self, settings: Settings, classes: tuple[ClassSettings, ...]) -> None:
        """New settings; `classes` also holds those that are gone and still under way."""
        # Until answers tell, work is taken for an eighth of the aim, rather too little: a class taken for
        # heavier than it is ranks low, is held back, and so would never show what it needs.
        self.settings = settings
        self.factor = {c.name: self.factor.get(c.name, (1.0, 0)) for c in classes}
        self.usual = {c.name: self.usual.get(c.name, c.aim_ms / 8) for c in classes}

    def work(self, request: RequestState) -> float:
        """Expected work of a request, in ms on a typical server."""
        return request.base * self.factor[request.kind.name][0]

    def heaviest(self) -> float:
        """Expected work of the class that takes most."""
        return max(self.factor[name][0] * usual for name, usual in self.usual.items())

    def warmth(self, server: Server, now: float) -> float:
        """The part of its capacity that a server has at least."""
        started, s = server.entry.started_at, self.settings
        if started is None or now - started >= s.cold_ms or not s.cold_ms:
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


class Warming:
    """The budget of cold servers. Each node keeps to its share: all together cannot push one over.

    Warmth goes up in steps, each taken when it is reached in full. A server whose budget is spent is closed
    until it holds a request of the heaviest class again, or is full: what it lets through is then known.
    """

    def __init__(self, settings: Settings, learned: Learned, random: Random) -> None:
        self.learned, self.random, self.keepers = learned, random, float(settings.nodes)
        self.settle(settings)

    def settle(self, settings: Settings) -> None:
        """New settings: the shares are worked out anew, what is spent stays spent."""
        self.settings, keepers, self.keepers = settings, self.keepers, 0.0
        self.shared_by(keepers)

    def shared_by(self, keepers: float) -> None:
        """How many nodes keep to each server: a budget is theirs alone. Divided by all nodes, of which most
        never send there, three quarters of what new servers could do went unused while requests were refused.
        """
        if keepers != self.keepers:
            self.keepers = max(1.0, keepers)
            self.shares = [self._share(step) for step in range(WARM)]

    def _share(self, step: int) -> float:
        """Work that this node may send in any `fall_ms`, in ms."""
        s = self.settings
        warmth = s.cold_from + (1 - s.cold_from) * step / WARM
        return s.fall_multiple * warmth / self.keepers * s.fall_ms

    def step(self, server: Server, now: float) -> int:
        """How warm a server is at least."""
        started, cold = server.entry.started_at, self.settings.cold_ms
        if started is None or now - started >= cold or not cold:
            return WARM
        return int(max(0.0, now - started) / cold * WARM)

    def next_step(self, server: Server) -> float:
        """When it is a step warmer."""
        started = server.entry.started_at
        assert started is not None
        return started + self.settings.cold_ms * (server.warm + 1) / WARM

    def most_work(self, step: int) -> float:
        """The heaviest request that a server so warm may get."""
        return max(COLD_RATE * self.shares[step], 2 * self.learned.mix)

    def fill(self, server: Server, now: float) -> float:
        """Fill up the budget of a cold server; when it is open, at the earliest now."""
        share = self.shares[server.warm]
        full, mix = COLD_BURST * share, self.learned.mix
        debt = max(0.0, mix - COLD_RATE * share)
        if math.isnan(server.tokens):
            # Among many nodes no share holds a request. Each may owe one, from a random start, so that all
            # together send at the steady rate and not at once.
            server.tokens = -debt * self.random.random()
        rate = (COLD_DEBT if debt else COLD_RATE) * share / self.settings.fall_ms
        server.tokens = min(full, server.tokens + rate * (now - server.filled))
        server.filled = now
        # A full budget may go into debt for one larger request: it is paid back before the next.
        lacking = min(full, self.learned.heaviest()) - server.tokens
        return now + lacking / rate if lacking > 1e-9 * full else now

    def spend(self, server: Server, work: float) -> None:
        server.tokens -= work  # nan where it never was cold
