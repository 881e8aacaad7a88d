"""What a client's connection waits for: each wait with its bound, and the instant from which that counts. Pure.

Every wait that holds is looked at: none hides another. The first row that is overdue ends the connection. A client has an
answer, and takes bytes, as `cloverhold.net.delivery` says: until it has all that was written, a connection doesn't rest.

| wait         | for                                     | counts from                         | then                 |
| ------------ | --------------------------------------- | ----------------------------------- | -------------------- |
| LAST_READ    | the client reads its last answer        | when it last took bytes             | abort                |
| LINGER       | the client closes its side              | when it had its last answer         | abort                |
| FIRST_BYTE   | the first request's first byte          | when the connection came            | close                |
| HEAD         | the rest of a request's head            | the head's first byte               | 408, or its own error |
| BODY_STALL   | the next bytes of a request's body      | the client's last progress          | 408, or its own error |
| BODY_RATE    | the whole body                          | its head's first byte, without the time in which the node did not read | 408, or its own error |
| UPLOAD_LATE  | the rest of a body, which lies unread   | when its client may have written its end | 504, or 503      |
| SERVER_READ  | the server takes more of the body       | when reading stopped for that, or it last took bytes | 504 |
| BUFFER       | memory for the body                     | when reading stopped for lack of it | 503                  |
| ANSWER_READ  | the client reads an answer              | when it last took bytes             | abort                |
| DRAIN        | a further request on a draining node    | see `Life.rests_until`              | close, if all is read |
| IDLE         | a further request                       | when it had its last answer         | close, if all is read |
"""  # noqa: E501

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

HEAD_TIMEOUT_S = 2.3
# Owed to a client that stops: an error or a close 3 s after its last byte. A slow one may pause for 2 s.
BODY_STALL_TIMEOUT_S = 2.4
BODY_TIMEOUT_S, MINIMUM_BODY_RATE = 5.0, 16 * 1024  # of a whole body: so long, and as long as it takes at so many B/s
SERVER_READ_TIMEOUT_S = 5.0
BUFFER_TIMEOUT_S = 2.4
ANSWER_READ_TIMEOUT_S = LAST_READ_TIMEOUT_S = 20.0
LINGER_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 2.0
LOOK_S = 0.2  # between two looks at a connection


class Wait(Enum):
    """What a connection waits for; the value names it in counters and logs."""

    LAST_READ = "last_answer_unread"
    LINGER = "closed"
    FIRST_BYTE = "nothing_received"
    HEAD = "head_incomplete"
    BODY_STALL = "body_stalled"
    BODY_RATE = "body_too_slow"
    UPLOAD_LATE = "body_read_too_slowly"  # by the server, or for lack of memory here
    SERVER_READ = "server_reads_nothing"
    BUFFER = "no_buffer"
    ANSWER_READ = "answer_unread"
    DRAIN = "draining"
    IDLE = "idle"


@dataclass(slots=True)
class Waiting:
    """The instants (seconds, monotonic) from which a connection's waits count; None: it does not wait for that."""

    last_read_since: float | None = None
    lingering_since: float | None = None
    silent_since: float | None = None
    head_since: float | None = None
    body_since: float | None = None
    body_bytes: int = 0
    progress_at: float | None = None
    held_since: float | None = None
    written_since: float | None = None  # when the client may have written the last byte of its body
    client_waits_s: float = math.inf
    starved_since: float | None = None
    unread_since: float | None = None
    drains_at: float | None = None  # when a draining node may close it
    idle_since: float | None = None

    def overdue(self, now: float) -> Wait | None:
        """The first wait that has lasted too long; None where none has."""
        body_timeout = HEAD_TIMEOUT_S + BODY_TIMEOUT_S + self.body_bytes / MINIMUM_BODY_RATE
        rows = (
            (Wait.LAST_READ, self.last_read_since, LAST_READ_TIMEOUT_S),
            (Wait.LINGER, self.lingering_since, LINGER_TIMEOUT_S),
            (Wait.FIRST_BYTE, self.silent_since, HEAD_TIMEOUT_S),
            (Wait.HEAD, self.head_since, HEAD_TIMEOUT_S),
            (Wait.BODY_STALL, self.progress_at, BODY_STALL_TIMEOUT_S),
            (Wait.BODY_RATE, self.body_since, body_timeout),
            (Wait.UPLOAD_LATE, self.written_since, self.client_waits_s - LOOK_S),
            (Wait.SERVER_READ, self.held_since, SERVER_READ_TIMEOUT_S),
            (Wait.BUFFER, self.starved_since, BUFFER_TIMEOUT_S),
            (Wait.ANSWER_READ, self.unread_since, ANSWER_READ_TIMEOUT_S),
            (Wait.DRAIN, self.drains_at, 0.0),
            (Wait.IDLE, self.idle_since, IDLE_TIMEOUT_S),
        )
        return next((wait for wait, since, bound in rows if since is not None and now - since > bound), None)
