"""Counters of what a node did and why, and log lines for the rare events among them.

A counter is named by what happened and the reason, as `connection_closed.body_stalled`. Log lines are bounded:
past `LINES_PER_S` of one name within a second the rest is counted, and the next line says how many were not
written.
"""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

log = logging.getLogger(__name__)

LINES_PER_S = 5
VALUE_LIMIT = 64  # characters of one value in a log line: peers choose some of them
NAMES_LIMIT = 2048  # of the names of several servers


class Happening(Enum):
    """What is counted."""

    CONNECTION_CLOSED = "connection_closed"  # by the node, of a client
    ANSWER_UNDELIVERED = "answer_undelivered"  # the node ended a connection whose client had not all of it, by why
    CONNECTION_LOST = "connection_lost"  # by the client, with a request that was not answered
    SERVER_CONNECTION_ENDED = "server_connection_ended"  # by why; logged where a request was open on it
    CONNECTION_REFUSED = "connection_refused"  # answered 503, as no more are served
    READING_HELD = "reading_held"  # of a client, by why
    ACCEPT_FAILED = "accept_failed"
    REQUEST_TAKEN = "request_taken"  # by its class
    REQUEST_ENDED = "request_ended"  # by its ending
    ATTEMPT_BEGUN = "attempt_begun"  # "first" or "retry"
    ATTEMPT_ENDED = "attempt_ended"  # by its outcome
    ACT_DENIED = "act_denied"  # what may not be done now, and was not
    RULE_VIOLATED = "rule_violated"  # what must never be asked for, or was found done
    DISCOVERY_CALL_BEGUN = "discovery_call_begun"  # by what it asks for
    DISCOVERY_CALL_ENDED = "discovery_call_ended"  # by why it is over
    DISCOVERY_ANSWER = "discovery_answer"  # by what it is worth
    DISCOVERY_NOT_TAKEN = "discovery_not_taken"  # a part of an answer, by why
    DISCOVERY_STATE = "discovery_state"  # "answering" or "not_answering", when that changes
    SERVERS_WITHHELD = "servers_withheld"  # listed as ready and sent nothing new, by why
    SERVERS_READMITTED = "servers_readmitted"  # withheld until now, by whose word
    CHANGES_LEFT_OUT = "changes_left_out"  # what a whole list told of a version that changes had told already
    LIST_NAMES_NOBODY = "list_names_nobody"  # "begins" or "ends"
    LIST_TAKEN = "list_taken"  # "whole", "changes" or "remembered"
    SERVERS_CHANGED = "servers_changed"  # by what a list changes: "draining", "gone", "replaced"
    PHASE_ENTERED = "phase_entered"  # of the process


class Ending(Enum):
    """Why a request has its final answer, or needs none."""

    SERVED = "served"
    REFUSED = "refused_by_policy"
    FAILED = "failed_by_policy"
    DEADLINE = "deadline_passed"
    SHORT_DEADLINE = "deadline_too_short"  # over before it could be sent anywhere
    DUPLICATE = "duplicate_id"  # of a request that is open
    RAN_BEFORE = "ran_before"  # by the record of an earlier life, or of another worker
    NOT_RECORDED = "not_recorded"  # its record is not durable, or was made for another effect
    CELL_CLOSED = "cell_refuses"
    STOPPING = "node_stopping"
    POLICY_FAULT = "policy_fault"
    CLIENT_GONE = "client_gone"


class ServerEnd(Enum):
    """Why a connection to a server has ended."""

    CLOSED = "closed_by_server"
    FAILED = "failed"  # reset, or another error of the socket
    NOT_UP = "never_came_up"
    REFUSED = "refused"
    BAD_ANSWER = "bad_answer"
    SILENT = "answer_stopped"
    LAST_ANSWER = "last_answer"  # its answer was whole, and its last
    GIVEN_UP = "given_up"  # by the node, with a request open on it
    IDLE = "idle"  # ended by the node while nothing was open on it


@dataclass(slots=True)
class _Window:
    """The log lines of one name within one second."""

    begun_s: float = float("-inf")
    written: int = 0
    omitted: int = 0


class Telemetry:
    """The counters of one process."""

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        self._now_s = now_s
        self._counts: Counter[tuple[Happening, str]] = Counter()
        self._windows: dict[tuple[Happening, str], _Window] = {}

    def count(self, happening: Happening, reason: str) -> None:
        """Count without a log line. reason: of a fixed set; never what a peer sent."""
        self._counts[happening, reason] += 1

    def event(self, happening: Happening, reason: str, **details: object) -> None:
        """Count, and write a line with the details unless too many of the name were written just now."""
        self.count(happening, reason)
        window = self._windows.setdefault((happening, reason), _Window())
        now = self._now_s()
        if now - window.begun_s >= 1.0:
            window.begun_s, window.written = now, 0
        if window.written >= LINES_PER_S:
            window.omitted += 1
            return
        window.written += 1
        if window.omitted:
            details["lines_omitted"] = window.omitted
            window.omitted = 0
        level = logging.ERROR if happening is Happening.RULE_VIOLATED else logging.INFO
        log.log(level, "%s: reason=%s%s", happening.value, reason, "".join(map(_pair, details.items())))

    def get(self, happening: Happening, reason: str) -> int:
        """One counter."""
        return self._counts[happening, reason]

    def report(self) -> dict[str, int]:
        """All counters that have ever counted, by name."""
        return {f"{happening.value}.{reason}": n for (happening, reason), n in sorted(self._counts.items(), key=str)}


def _pair(item: tuple[str, object]) -> str:
    """One detail of a log line: what peers chose is escaped and bounded."""
    name, value = item
    text = f"{value:.3f}" if isinstance(value, float) else repr(value) if isinstance(value, (bytes, str)) else value
    return f" {name}={str(text)[: NAMES_LIMIT if isinstance(value, tuple) else VALUE_LIMIT]}"
