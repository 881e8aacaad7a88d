"""Two plain detectors to hold membership against, on the same simulated network: heartbeats of all to all, and SWIM.

SWIM as in Das, Gupta, Motivala (2002): one random probe a period, three indirect ones, suspicion that the suspect may
refute, news piggybacked 3 log2 n times. No Lifeguard. Neither refuses to accuse when it slept.
"""

from __future__ import annotations

from collections import Counter
from math import ceil, log2
from random import Random
from typing import Any

from cloverhold.simulation.network import Network
from cloverhold.simulation.timeline import Timeline

PERIOD_MS, SILENCE_MS = 250.0, 1500.0
DIRECT_MS, SUSPECT_MS, HELPERS, NEWS = 100.0, 1100.0, 3, 8
HEAD, ITEM = 32, 9


class Plain:
    """What both have in common: who is up, stopped or late, and the way of a datagram."""

    def __init__(self, n: int, seed: int, network: Network | None = None) -> None:
        self.n, self.network, self.chance = n, network or Network(), Random(f"plain {seed}")
        self.timeline = Timeline()
        self.up, self.stopped = [True] * n, [False] * n
        self.every = [0.0] * n
        self.waiting: list[list[Any]] = [[] for _ in range(n)]
        self.deaths: list[tuple[float, int, int]] = []  # when, who says it, of whom
        self.sent: Counter[int] = Counter()
        self.bytes = 0
        for me in range(n):
            self.timeline.at(self.chance.random() * PERIOD_MS, self._loop, me)

    def _loop(self, me: int) -> None:
        if not self.up[me]:
            return
        if not self.stopped[me]:
            for what in self.waiting[me]:
                self.heard(me, what)
            self.waiting[me].clear()
            self.beat(me)
        self.timeline.after(max(PERIOD_MS, self.every[me]), self._loop, me)

    def send(self, me: int, to: int, what: Any, items: int = 0) -> None:
        net, chance, now = self.network, self.chance, self.timeline.now
        self.sent[me] += 1
        self.bytes += HEAD + ITEM * items
        if (net.loss and chance.random() < net.loss) or net.cut(me, to, now):
            return
        way = net.least_ms + chance.random() * (net.most_ms - net.least_ms)
        if net.late and chance.random() < net.late:
            way += chance.random() * net.late_ms
        self.timeline.after(way, self._arrive, to, what)

    def _arrive(self, to: int, what: Any) -> None:
        if not self.up[to]:
            return
        if self.stopped[to] or self.every[to]:
            self.waiting[to].append(what)
        else:
            self.heard(to, what)

    def stop(self, number: int, ms: float) -> None:
        self.stopped[number] = True
        self.timeline.after(ms, self._wake, number)

    def _wake(self, number: int) -> None:
        self.stopped[number] = False

    def kill(self, number: int) -> None:
        self.up[number] = False

    def beat(self, me: int) -> None:
        raise NotImplementedError

    def heard(self, me: int, what: Any) -> None:
        raise NotImplementedError


class Heartbeats(Plain):
    """Each sends to all others each period; silent for the window is dead."""

    def __init__(self, n: int, seed: int, network: Network | None = None) -> None:
        super().__init__(n, seed, network)
        self.last = [[0.0] * n for _ in range(n)]
        self.dead: list[set[int]] = [set() for _ in range(n)]

    def beat(self, me: int) -> None:
        now, last = self.timeline.now, self.last[me]
        for to in range(self.n):
            if to != me:
                self.send(me, to, me)
                if now - last[to] > SILENCE_MS and to not in self.dead[me]:
                    self.dead[me].add(to)
                    self.deaths.append((now, me, to))

    def heard(self, me: int, what: Any) -> None:
        self.last[me][what] = self.timeline.now
        self.dead[me].discard(what)


class Swim(Plain):
    """One probe a period, with helpers, suspicion and refutation."""

    def __init__(self, n: int, seed: int, network: Network | None = None) -> None:
        super().__init__(n, seed, network)
        self.order: list[list[int]] = [[] for _ in range(n)]
        self.held: list[dict[int, tuple[int, str]]] = [{o: (0, "alive") for o in range(n)} for _ in range(n)]
        self.news: list[dict[int, list[Any]]] = [{} for _ in range(n)]  # by number: what and how often sent
        self.open: list[dict[int, bool]] = [{} for _ in range(n)]  # probes without an answer, by number
        self.own = [0] * n
        self.most = 3 * ceil(log2(n + 1))

    def _news(self, me: int) -> tuple[Any, ...]:
        out = []
        for number, entry in sorted(self.news[me].items(), key=lambda pair: pair[1][1])[:NEWS]:
            out.append((number, *entry[0]))
            entry[1] += 1
            if entry[1] >= self.most:
                del self.news[me][number]
        return tuple(out)

    def _say(self, me: int, to: int, *what: Any) -> None:
        news = self._news(me)
        self.send(me, to, (*what, news), len(news))

    def beat(self, me: int) -> None:
        living = [o for o in range(self.n) if o != me and self.held[me][o][1] != "dead"]
        if not living:
            return
        if not self.order[me]:
            self.order[me] = self.chance.sample(living, len(living))
        to = self.order[me].pop()
        if self.held[me][to][1] == "dead":
            return
        self.open[me][to] = True
        self._say(me, to, "ping", me, me)
        self.timeline.after(DIRECT_MS, self._indirect, me, to)
        self.timeline.after(PERIOD_MS - 1, self._over, me, to)

    def _indirect(self, me: int, to: int) -> None:
        if self.open[me].get(to) and self.up[me] and not self.stopped[me]:
            others = [o for o in range(self.n) if o not in (me, to) and self.held[me][o][1] == "alive"]
            for helper in self.chance.sample(others, min(HELPERS, len(others))):
                self._say(me, helper, "ask", me, to)

    def _over(self, me: int, to: int) -> None:
        if self.open[me].pop(to, False) and self.up[me] and not self.stopped[me]:
            incarnation, state = self.held[me][to]
            if state == "alive":
                self._take(me, to, incarnation, "suspect")

    def _take(self, me: int, number: int, incarnation: int, state: str) -> None:
        if number == me:
            if state != "alive" and incarnation >= self.own[me]:
                self.own[me] = incarnation + 1
                self.news[me][me] = [(self.own[me], "alive"), 0]
            return
        order = ("alive", "suspect", "dead")
        held = self.held[me][number]
        newer = (incarnation, order.index(state)) > (held[0], order.index(held[1]))
        if not newer or (held[1] == "dead" and incarnation <= held[0]):
            return
        self.held[me][number] = (incarnation, state)
        self.news[me][number] = [(incarnation, state), 0]
        if state == "suspect":
            self.timeline.after(SUSPECT_MS, self._bury, me, number, incarnation)
        if state == "dead":
            self.deaths.append((self.timeline.now, me, number))

    def _bury(self, me: int, number: int, incarnation: int) -> None:
        if self.up[me] and not self.stopped[me] and self.held[me][number] == (incarnation, "suspect"):
            self._take(me, number, incarnation, "dead")

    def heard(self, me: int, what: Any) -> None:
        kind, sender, about, news = what
        for number, incarnation, state in news:
            self._take(me, number, incarnation, state)
        if kind == "ping":
            self._say(me, sender, "ack", me, about)
        elif kind == "ask":
            self._say(me, about, "ping for", me, sender)
        elif kind == "ping for":
            self._say(me, sender, "ack for", me, about)
        elif kind == "ack for":
            self._say(me, about, "ack", sender, sender)
        elif kind == "ack":
            self.open[me].pop(sender, None)
