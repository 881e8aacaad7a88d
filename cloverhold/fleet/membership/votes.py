"""What watchers say of a subject, and the count. Pure.

Dead is who has more votes down than up, a grace after the first; three graces where no more than half of the watchers
say so, as the votes of others may be lost or late; a window later where one stands alone. Silence of a watcher is no
vote: it may be dead itself.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field

from cloverhold.fleet.wire.datagrams import Vote

FEW = 3  # graces, where few say so


@dataclass(slots=True)
class Ballot:
    """The votes on one subject in one life and incarnation."""

    key: tuple[int, int]
    since: float | None = None  # of the first vote down that has not faded since
    votes: dict[int, tuple[Vote, float]] = field(default_factory=dict)  # by watcher: the last one, when heard


@dataclass(frozen=True, slots=True)
class Count:
    """Votes that hold now."""

    down: int
    up: int


class Ballots:
    """By subject."""

    def __init__(self, window_ms: float, grace_ms: float) -> None:
        self.window, self.grace = window_ms, grace_ms
        self.held: dict[int, Ballot] = {}

    def hear(self, vote: Vote, now: float) -> bool:
        """Take a vote; False where it, or a later one of its watcher, is known."""
        key = (vote.incarnation, vote.life)
        ballot = self.held.get(vote.subject)
        if ballot is None or ballot.key < key:
            ballot = self.held[vote.subject] = Ballot(key)
        if key != ballot.key:
            return False
        known = ballot.votes.get(vote.watcher)
        if known is not None and (vote.count - known[0].count - 1) & 0xFFFF >= 0x8000:
            return False
        ballot.votes[vote.watcher] = (vote, now)
        if not vote.up and ballot.since is None:
            ballot.since = now
        return True

    def tidy(self, subject: int, now: float) -> None:
        """Drop votes that have faded, and the ballot with the last one."""
        ballot = self.held[subject]
        faded = [watcher for watcher, (_, at) in ballot.votes.items() if now - at > self.window]
        for watcher in faded:
            del ballot.votes[watcher]
        if all(vote.up for vote, _ in ballot.votes.values()):
            ballot.since = None
        if not ballot.votes:
            del self.held[subject]

    def accused(self, subject: int) -> bool:
        """Whether a vote against it holds."""
        ballot = self.held.get(subject)
        return ballot is not None and ballot.since is not None

    def count(self, subject: int, voters: Container[int], me: int, *, weak: bool) -> Count:
        """The votes of those that may vote; weak: whether votes said in doubt count."""
        down = up = 0
        for watcher, (vote, _) in self.held[subject].votes.items():
            if watcher in voters and (weak or watcher == me or not vote.weak):
                down, up = down + (not vote.up), up + vote.up
        return Count(down, up)

    def dead(self, subject: int, count: Count, watchers: int, now: float) -> bool:
        """Whether the count is the verdict. watchers: how many could vote, where all of them live."""
        ballot = self.held[subject]
        if ballot.since is None or count.down <= count.up:
            return False
        if count.down == 1 and watchers > 1:
            return now - ballot.since >= self.grace + self.window
        return now - ballot.since >= self.grace * (1 if 2 * count.down > watchers else FEW)

    def lone(self, subject: int, count: Count, now: float) -> bool:
        """Whether one vote down stands alone for longer than others would take to be heard: the others may be gone."""
        ballot = self.held[subject]
        return (count.down, count.up) == (1, 0) and ballot.since is not None and now - ballot.since >= self.grace

    def clear(self) -> None:
        self.held.clear()
