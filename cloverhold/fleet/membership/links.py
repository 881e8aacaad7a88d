"""Round trips: what this node has had back for its own pings. Nothing else counts as life. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from math import floor

PULLED = 0.25  # of a period: what is due so soon goes at once, where the process is awake
HASTE = 3  # a silent subject is asked so many times as often
SMOOTH = 0.2  # weight of the newest round trip, and of the newest answer or miss


class Link:
    """One number that is pinged. Times are in ms."""

    __slots__ = ("answered", "due", "last", "lost", "missed", "out", "rtt", "since")

    def __init__(self, now: float, due: float) -> None:
        self.since, self.due = now, due
        self.last = now  # of the last answer, or since when it is watched
        self.answered = False
        self.out: dict[int, float] = {}  # nonces without an answer: when each was sent
        self.missed = 0  # in a row
        self.rtt: float | None = None
        self.lost = 0.0

    def silent(self, now: float) -> float:
        """How long it has not answered, in ms."""
        return now - self.last


class Links:
    """The numbers that this node watches, and those that it looks into for a while (`checks`)."""

    def __init__(self, period_ms: float, window_ms: float) -> None:
        self.period, self.window = period_ms, window_ms
        self.held: dict[int, Link] = {}
        self.last: float | None = None  # of the last answer by anybody
        self.first: float | None = None  # the pings keep to steps from here: those of one period go, and come, together

    def watch(self, numbers: Iterable[int], now: float) -> None:
        """Watch these and no others; the watch of those that stay goes on."""
        wanted = sorted(numbers)
        for number in [number for number in self.held if number not in wanted]:
            del self.held[number]
        for number in wanted:
            if number not in self.held:
                self.held[number] = Link(now, now)

    def due(self, now: float) -> Iterator[tuple[int, Link]]:
        """Those to be pinged now."""
        for number, link in self.held.items():
            if now >= link.due:
                yield number, link

    def asked(self, link: Link, nonce: int, now: float) -> None:
        """A ping was sent."""
        late = [n for n, at in link.out.items() if now - at > self.window]
        for old in late:
            del link.out[old]
        link.missed = len(link.out)
        if link.missed >= 2:
            link.lost += SMOOTH * (1 - link.lost)
        link.out[nonce] = now
        step = self.period / HASTE if link.missed >= 2 else self.period
        if self.first is None:
            self.first = now
        link.due = self.first + (floor((now - self.first) / step + 0.5) + 1) * step

    def pull(self, now: float) -> None:
        """Where it is awake anyway, send at once what is due soon. Members that ping each other fall into step so, and
        one waking does for many datagrams. Nobody pings sooner than three quarters of a period after the last time.
        """
        soon = now + self.period * PULLED
        if self.first is not None and all(now < link.due <= soon and link.missed < 2 for link in self.held.values()):
            self.first = now
            for link in self.held.values():
                link.due = now

    def rest(self, now: float, most_ms: float) -> float | None:
        """How long until the next ping, at most `most_ms`; None while one of them does not answer."""
        for link in self.held.values():
            if link.missed >= 2:
                return None
            most_ms = min(most_ms, link.due - now)
        return max(0.0, most_ms)

    def answer(self, number: int, nonce: int, now: float) -> bool:
        """An answer came; whether it is one to a ping of this node that is not too old."""
        link = self.held.get(number)
        sent = link.out.pop(nonce, None) if link is not None else None
        if link is None or sent is None or now - sent > self.window:
            return False
        spent = now - sent
        link.rtt = spent if link.rtt is None else link.rtt + SMOOTH * (spent - link.rtt)
        if link.missed < 2:
            link.lost -= SMOOTH * link.lost
        link.out = {n: at for n, at in link.out.items() if at > sent}
        link.missed, link.last, link.answered = len(link.out), now, True
        self.last = now
        return True

    def doubt(self, now: float) -> bool:
        """Whether most of those watched for long enough have been silent for half a window."""
        half = self.window / 2
        old = [link for link in self.held.values() if now - link.since > half]
        return 2 * sum(link.silent(now) > half for link in old) > len(old) > 0

    def reset(self, now: float) -> None:
        """Begin all watches anew: what was silent may have been this node."""
        numbers = list(self.held)
        self.held.clear()
        self.last = now
        self.watch(numbers, now)
