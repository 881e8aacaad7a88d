"""What a node says of discovery: counters, gauges, and log lines of calls, answers and servers."""

from __future__ import annotations

import time

from dataclasses import dataclass
from typing import Any

from cloverhold.net.discovery.calls import CallEnd, CallSchedule, OpenCall
from cloverhold.net.discovery.merge import HeldList
from cloverhold.net.discovery.merge_results import Merged, Worth
from cloverhold.net.discovery.server_list import ListAnswer
from cloverhold.net.telemetry import Happening, Telemetry


@dataclass(frozen=True, slots=True)
class EmptyList:
    """Since when the list names nobody, and by which answer."""

    since_s: float  # on the monotonic clock
    version: int
    discovery: str  # its address

    def age_s(self) -> float:
        """For how long."""
        return time.monotonic() - self.since_s


class DiscoveryReport:
    """Counts and logs what a follower of the list meets."""

    def __init__(self, telemetry: Telemetry, held: HeldList, schedule: CallSchedule) -> None:
        self._telemetry, self._held, self._schedule = telemetry, held, schedule
        self._is_answering = True
        self._answered_at_s = self._news_at_s = time.monotonic()
        self._empty: EmptyList | None = None

    def silent_s(self) -> float:
        """How long ago discovery answered last, in seconds."""
        return time.monotonic() - self._answered_at_s

    def gauges(self) -> dict[str, int]:
        """How it stands now, by the names that the counters' report gives; version 0: no list is held."""
        return {
            "discovery.version": self._held.version or 0,
            "discovery.listed_servers": len(self._held),
            "discovery.names_nobody_ms": round(1000 * self._empty.age_s()) if self._empty is not None else 0,
            "discovery.withheld_servers": self._held.withheld(),
            "discovery.departed_servers": self._held.departed(),
            "discovery.silent_ms": round(1000 * self.silent_s()),
            "discovery.no_news_ms": round(1000 * (time.monotonic() - self._news_at_s)),
            "discovery.latency_ms": round(1000 * self._schedule.latency_s),
            "discovery.open_calls": len(self._schedule.open_calls()),
        }

    def list_value(self) -> dict[str, Any]:
        """What list is held, for JSON."""
        empty = self._empty
        return {
            "version": self._held.version,
            "servers": len(self._held),
            "withheld": self._held.withheld(),
            "silent_s": self.silent_s(),
            "names_nobody": None
            if empty is None
            else {"for_s": empty.age_s(), "version": empty.version, "discovery": empty.discovery},
        }

    def begun(self, call: OpenCall) -> None:
        """A call was begun."""
        self._telemetry.count(Happening.DISCOVERY_CALL_BEGUN, call.kind.value)

    def ended(self, call: OpenCall, why: CallEnd, **details: object) -> None:
        """A call has ended without an answer that could be used."""
        self._telemetry.event(
            Happening.DISCOVERY_CALL_ENDED, why.value, call=call.number, kind=call.kind.value, since=call.since,
            took_s=time.monotonic() - call.begun_at, hold_s=call.hold_s, **details,
        )  # fmt: skip

    def answered(self, call: OpenCall) -> None:
        """A call has ended with an answer."""
        self._telemetry.count(Happening.DISCOVERY_CALL_ENDED, CallEnd.ANSWERED.value)
        if not self._is_answering:
            self._is_answering = True
            self._note_state("answering", call)
        self._answered_at_s = time.monotonic()

    def unanswered(self, call: OpenCall) -> None:
        """An answer is overdue, or a call has failed."""
        if self._is_answering:
            self._is_answering = False
            self._note_state("not_answering", call)

    def _note_state(self, state: str, call: OpenCall) -> None:
        self._telemetry.event(
            Happening.DISCOVERY_STATE, state, call=call.number, silent_s=self.silent_s(),
            latency_s=self._schedule.latency_s, version=self._schedule.version,
        )  # fmt: skip

    def merged(self, call: OpenCall, answer: ListAnswer, merged: Merged, held_before: int | None) -> None:
        """What an answer is worth; a line for one that is not taken, or not whole."""
        if answer.version != held_before:
            self._news_at_s = time.monotonic()
        details = {
            "call": call.number, "kind": call.kind.value, "since": call.since, "version": answer.version,
            "held": held_before, "whole": answer.whole, "entries": len(answer.lines),
        }  # fmt: skip
        if merged.worth is Worth.TAKEN:
            self._telemetry.count(Happening.DISCOVERY_ANSWER, merged.worth.value)
        else:
            self._telemetry.event(Happening.DISCOVERY_ANSWER, merged.worth.value, **details)
        for reason, servers in merged.not_taken.items():
            withheld = self._held.withheld()
            self._telemetry.event(
                Happening.DISCOVERY_NOT_TAKEN, reason.value, servers=servers, withheld=withheld, **details
            )

    def listed(self, answer: ListAnswer, merged: Merged, discovery: str) -> None:
        """Whether the list names anybody, when that changes, and whom changes had left out."""
        details = {"version": answer.version, "whole": answer.whole, "discovery": discovery}
        if merged.left_out:
            servers = tuple(merged.left_out)
            self._telemetry.event(Happening.CHANGES_LEFT_OUT, "found", servers=servers, **details)
        if self._empty is None and not len(self._held):
            self._empty = EmptyList(time.monotonic(), answer.version, discovery)
            self._telemetry.event(Happening.LIST_NAMES_NOBODY, "begins", **details)
        elif self._empty is not None and len(self._held):
            self._telemetry.event(Happening.LIST_NAMES_NOBODY, "ends", for_s=self._empty.age_s(), **details)
            self._empty = None

    def servers(self, merged: Merged, details: dict[str, object]) -> None:
        """Servers that get nothing new from now on, by which version, and those that do again, by whose word."""
        withheld = dict[tuple[str, float], list[str]]()
        for held in merged.withheld:
            withheld.setdefault((held.why.value, held.version), []).append(held.uid)
        for (why, version), uids in withheld.items():
            self._telemetry.event(Happening.SERVERS_WITHHELD, why, by=version, servers=tuple(uids), **details)
        readmitted = dict[str, list[str]]()
        for uid, readmission in merged.readmitted.items():
            readmitted.setdefault(readmission.value, []).append(uid)
        for by, uids in readmitted.items():
            self._telemetry.event(Happening.SERVERS_READMITTED, by, servers=tuple(uids), **details)
