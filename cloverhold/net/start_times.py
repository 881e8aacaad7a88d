"""When servers started, on this node's monotonic clock, from the Unix times that discovery tells. Pure.

The wall clock of a node may be wrong, by seconds or by an hour, when the node starts, and may be stepped later; so may
that of one server. Four rules keep a wrong one from making warm servers cold, or cold ones warm:

1. A start is never in the future: one that seems to be is taken for now.
2. Where two starts or more seem to be, this node's wall clock is behind; it is set right by the second latest.
3. A start that discovery tells while it can be reached, of a server that had another one or one later than nearly all
   before, is no older than the time since discovery was last heard: one that seems much older is taken for now, and
   shows that this node's wall clock is ahead. (If it was that server's that is behind, rule 2 puts it back.)
4. A start that has been told once keeps its instant: else it would seem to be another, cold process.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

TOLD_LATEST_MS = 8000.0  # a start is told 6 s later at the latest, and the list takes a moment


@dataclass(frozen=True, slots=True)
class _Start:
    """One start of one server."""

    boot_ms: float  # Unix time, as discovery tells it
    at_ms: float  # monotonic


class StartTimes:
    """The starts of all servers that are listed."""

    def __init__(self, unix_offset_ms: float) -> None:
        """unix_offset_ms: Unix time less monotonic time, as this node's wall clock has it."""
        self.unix_offset_ms = unix_offset_ms
        self._starts: dict[str, _Start] = {}
        self._latest_boots = (0.0, 0.0)  # the second latest ever told, and the latest
        self._heard_at_ms: float | None = None  # when discovery was last heard

    def resolve(self, boots: Mapping[str, float], now_ms: float, *, full: bool, live: bool) -> dict[str, float | None]:
        """The monotonic instants of these starts; None: long ago.

        boots: Unix times in ms by server, 0 for long ago; full: whether all others are gone; live: whether discovery
        tells it now, and not a list that was remembered.
        """
        news = {uid: boot for uid, boot in boots.items() if boot > 0 and not self._is_known(uid, boot)}
        if len(news) > 1:
            self._set_right(sorted(news.values())[-2], now_ms)
        for uid, boot in news.items():
            self._starts[uid] = _Start(boot, self._instant(uid, boot, now_ms, live=live))
        self._latest_boots = _two_latest(*self._latest_boots, *news.values())
        if full:
            self._starts = {uid: start for uid, start in self._starts.items() if boots.get(uid, 0.0) > 0}
        if live:
            self.note_heard(now_ms)
        return {uid: self._starts[uid].at_ms if boot > 0 else None for uid, boot in boots.items()}

    def note_heard(self, now_ms: float) -> None:
        """Discovery has answered now, with or without a start."""
        self._heard_at_ms = now_ms

    def forget(self, uid: str) -> None:
        """It is listed no more."""
        self._starts.pop(uid, None)

    def boot_ms(self, uid: str, started_at: float | None) -> float:
        """A start in discovery's form, as it was told."""
        if started_at is None:
            return 0.0
        start = self._starts.get(uid)
        told = start is not None and start.at_ms == started_at
        return start.boot_ms if start is not None and told else started_at + self.unix_offset_ms

    def _is_known(self, uid: str, boot_ms: float) -> bool:
        start = self._starts.get(uid)
        return start is not None and start.boot_ms == boot_ms

    def _set_right(self, second_latest_ms: float, now_ms: float) -> None:
        """Rule 2."""
        self.unix_offset_ms = max(self.unix_offset_ms, second_latest_ms - now_ms)

    def _instant(self, uid: str, boot_ms: float, now_ms: float, *, live: bool) -> float:
        """Rules 1 and 3."""
        seems_at = boot_ms - self.unix_offset_ms
        if seems_at > now_ms:
            return now_ms
        fresh = live and self._heard_at_ms is not None and (uid in self._starts or boot_ms > self._latest_boots[0])
        if fresh and self._heard_at_ms is not None and seems_at < self._heard_at_ms - TOLD_LATEST_MS:
            self.unix_offset_ms = boot_ms - now_ms
            return now_ms
        return seems_at


def _two_latest(*boots: float) -> tuple[float, float]:
    second, latest = sorted(boots)[-2:]
    return second, latest
