"""Whether something may be taken, sent, repeated or closed now: the one place that decides it. Pure.

Fronts, the host and the end of a process put their facts here and act only where there is no denial. The policy module
chooses servers and retries by the same rules; what it must never ask for is a violation here, and is not done.

| act    | denied where                                                                                         |
| ------ | ---------------------------------------------------------------------------------------------------- |
| take   | the process has ended, the client's time is over, its id is open already, it may not run twice and has been sent under this id, or cannot be recorded |
| send   | the client has left, its time is over, its body is gone, the server is not listed, or wants nothing new |
| repeat | another attempt is out, it may have run and is unsafe, the memory of its group is over, the server is of another group |
| close  | an answer is owed, its client has not taken all of one, a request is half here, bytes lie unread     |
| answer | more than `ANSWER_GRACE_MS` behind the client's time (counted only: the answer is given)             |
"""  # noqa: E501

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cloverhold.decision.interface import ClassSettings, Group, Lifecycle, Repeat, ServerEntry

ANSWER_GRACE_MS = 500.0  # behind its time an answer earns nothing; from here on it is a lost one


class Denial(Enum):
    """Why something may not be done."""

    PROCESS_ENDED = "process_ended"
    DEADLINE_PASSED = "deadline_passed"
    DUPLICATE_ID = "duplicate_id"
    MAY_HAVE_RUN = "may_have_run"  # under this id, and may not run twice
    NOT_RECORDABLE = "not_recordable"
    CLIENT_GONE = "client_gone"
    BODY_GONE = "body_gone"
    SERVER_UNLISTED = "server_unlisted"
    SERVER_DRAINING = "server_draining"
    WINDOW_PASSED = "window_passed"  # chosen within it, and too late by now
    ANSWER_OWED = "answer_owed"
    ANSWER_UNDELIVERED = "answer_undelivered"
    REQUEST_INCOMPLETE = "request_incomplete"
    BYTES_UNREAD = "bytes_unread"
    TOO_MANY_ATTEMPTS = "too_many_attempts"  # as new settings may say of what was chosen by the old ones
    # Violations: nobody may ask for these.
    TWO_AT_ONCE = "two_attempts_at_once"
    UNSAFE_REPEAT = "unsafe_repeat"
    OUT_OF_GROUP = "repeat_out_of_group"
    ANSWER_LATE = "answer_late"
    ANSWER_DROPPED = "answer_dropped"  # a connection was closed by the node while an answer was owed


VIOLATIONS = frozenset(
    {Denial.TWO_AT_ONCE, Denial.UNSAFE_REPEAT, Denial.OUT_OF_GROUP, Denial.ANSWER_LATE, Denial.ANSWER_DROPPED}
)


@dataclass(frozen=True, slots=True)
class Run:
    """The first attempt of a request that may have run."""

    sent_at_ms: float
    server: ServerEntry | None  # as it was listed then


@dataclass(slots=True)
class SendFacts:
    """What is known when an attempt is to begin, or its first byte to leave. Times in ms, monotonic."""

    kind: ClassSettings  # that the request came with
    client_connected: bool
    left_ms: float  # of the client's time
    body_held: bool  # from its first byte on
    server: ServerEntry | None  # as it is listed now
    number: int = 0  # attempts before this one
    out: int = 0  # of these, how many are out
    ran: Run | None = None
    now_ms: float = 0.0
    most_attempts: int = 1
    parallel: bool = False  # whether attempts may be out side by side


def may_take(*, ended: bool, left_ms: float, id_open: bool, may_have_run: bool, recordable: bool) -> Denial | None:
    """Whether a request may begin."""
    if ended:
        return Denial.PROCESS_ENDED
    if left_ms <= 0:
        return Denial.DEADLINE_PASSED
    if id_open:
        return Denial.DUPLICATE_ID
    if may_have_run:
        return Denial.MAY_HAVE_RUN
    return None if recordable else Denial.NOT_RECORDABLE


def may_send(facts: SendFacts) -> Denial | None:
    """Whether an attempt may begin."""
    if not facts.client_connected:
        return Denial.CLIENT_GONE
    if facts.left_ms <= 0:
        return Denial.DEADLINE_PASSED
    if facts.server is None:
        return Denial.SERVER_UNLISTED
    if facts.server.lifecycle is not Lifecycle.READY:
        return Denial.SERVER_DRAINING
    if not facts.body_held:
        return Denial.BODY_GONE
    return _may_repeat(facts, facts.server) if facts.number else None


def _may_repeat(facts: SendFacts, server: ServerEntry) -> Denial | None:
    """Whether a further attempt may begin."""
    kind, ran = facts.kind, facts.ran
    if facts.number >= facts.most_attempts:
        return Denial.TOO_MANY_ATTEMPTS
    if facts.out and not facts.parallel:
        return Denial.TWO_AT_ONCE
    if ran is None or kind.repeat is Repeat.SAFE:
        return None
    if kind.repeat is Repeat.UNSAFE:
        return Denial.UNSAFE_REPEAT
    if facts.now_ms > ran.sent_at_ms + kind.key_ttl_ms:
        return Denial.WINDOW_PASSED
    return None if ran.server is None or _same_group(kind.group, ran.server, server) else Denial.OUT_OF_GROUP


def _same_group(group: Group, first: ServerEntry, second: ServerEntry) -> bool:
    """Whether two servers share what they remember of keys."""
    if group is Group.CELL:
        return first.cell == second.cell
    return group is Group.ALL or first.zone == second.zone


def may_close(
    *, answer_owed: bool, answer_undelivered: bool, request_incomplete: bool, bytes_unread: bool
) -> Denial | None:
    """Whether a client's connection may be closed with no word."""
    if answer_owed:
        return Denial.ANSWER_OWED
    if answer_undelivered:
        return Denial.ANSWER_UNDELIVERED
    if request_incomplete:
        return Denial.REQUEST_INCOMPLETE
    return Denial.BYTES_UNREAD if bytes_unread else None


def answered_in_time(left_ms: float) -> Denial | None:
    """Whether a final answer is no lost one, with so much of the client's time left."""
    return Denial.ANSWER_LATE if left_ms < -ANSWER_GRACE_MS else None
