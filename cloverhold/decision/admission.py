"""What is worth doing and in which order, and the budgets that bound it."""

from __future__ import annotations

import math

from cloverhold.decision.interface import ClassSettings, Settings
from cloverhold.decision.pools import RETRY_BURST, Lane
from cloverhold.decision.state import RequestState

RETRY_PART = 0.2  # retry budget: further attempts for each request
NEAR = 0.1  # classes served this much better than the worst count for a third as much as it
PULLS = 8  # requests after which the classes' pull is worked out anew: a slow average moves little in between


class Admission:
    """Ranks and shares."""

    def __init__(self, settings: Settings) -> None:
        self.lane = Lane()  # of requests that may go to any server
        self.shares: dict[str, tuple[float, float, float]] = {}
        self.usual_try: dict[str, float] = {}  # the longest try seen of each class
        self.share: dict[str, float] = {}  # of what arrives
        self.served: dict[str, float] = {}  # part answered in time, lately
        self.settle(settings)

    def settle(self, settings: Settings) -> None:
        """New settings: classes and tenants that stay keep what is known of them."""
        self.settings, classes, own = settings, settings.classes, 1000 * settings.nodes
        self.classes: dict[str, ClassSettings] = {c.name: c for c in classes}
        known = {t.name: self.shares.get(t.name, (0.0, 1.0, -math.inf)) for t in settings.tenants}
        self.shares = {t.name: (t.quota_per_s / own, *known[t.name][1:]) for t in settings.tenants}
        self.usual_try = {name: usual for name, usual in self.usual_try.items() if name in self.classes}
        self.share = {c.name: self.share.get(c.name, 1 / len(classes)) for c in classes}
        whole = sum(self.share.values())
        self.share = {name: part / whole for name, part in self.share.items()}
        self.served = {c.name: self.served.get(c.name, 1.0) for c in classes}
        self.pull: dict[str, float] = {}  # weight of each class in the goal: served worst, or near it
        self.until_pull = 0
        self.lane.lines = {k: line for k, line in self.lane.lines.items() if line.held or k in self.classes}

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
        self.bound(request, now)
        request.lane.retries = min(RETRY_BURST, request.lane.retries + RETRY_PART)
        share = self.share
        for name in share:
            share[name] *= 0.99
        share[kind.name] += 0.01
        # What serving it adds to the goal: to the whole, and to the class served worst (or near it).
        self.until_pull -= 1
        if self.until_pull < 0:
            self.until_pull = PULLS
            low = min(self.served.values())
            pull = {name: math.exp((low - part) / NEAR) for name, part in self.served.items()}
            all_pull = sum(pull.values())
            self.pull = {name: part / all_pull for name, part in pull.items()}
        offered = sum(part * self.classes[name].worth for name, part in share.items())
        worst = s.goal_worst_class * self.pull[kind.name] / share[kind.name]
        request.rank = s.goal_whole * kind.worth / max(offered, 1e-9) + worst
        request.rank /= 1.0 if s.worth_by_work else max(request.work, 1e-9)
        if self.over_share(request.event.tenant, now):
            request.rank *= s.over_share_worth

    def bound(self, request: RequestState, now: float) -> None:
        """Set until when an answer is worth anything, from now on."""
        kind, left = request.kind, request.expires - now
        aim = kind.aim_ms + kind.aim_stretch * request.work
        usual = self.usual_try[kind.name] = max(self.usual_try.get(kind.name, 0.0), left)
        # A client's repeat that has less time than a first try is cut by the deadline: its age is then known.
        if request.event.is_retry and left < 0.98 * usual:
            aim -= kind.deadline_ms - left
        request.term = request.expires if kind.late_worth else min(request.expires, now + max(aim, 0.0))

    def ended(self, kind: str, *, served: bool) -> None:
        """A request has had its answer; its class may be gone."""
        if kind in self.served:
            self.served[kind] += 0.02 * (served - self.served[kind])
