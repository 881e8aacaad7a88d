"""What one HTTP/1.1 connection of a client waits for, as rows of the table in `waits`."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cloverhold.net.exchange import read_budget
from cloverhold.net.fronts.waits import BUFFER_TIMEOUT_S, Waiting

if TYPE_CHECKING:
    from cloverhold.net.fronts.http1 import ClientConnection

STARVED_PART = 0.7  # of a client's time, which may run already: so long it may wait for room to be read


def waits_of(client: ClientConnection, now: float) -> Waiting:
    """What a connection waits for now."""
    waiting = Waiting()
    if client.closing is not None:
        if client.delivery.undelivered:
            waiting.last_read_since = client.delivery.waits_since
        else:
            waiting.lingering_since = max(client.closing, client.delivery.taken_at)
        return waiting
    if client.delivery.undelivered:
        waiting.unread_since = client.delivery.waits_since
    if client.open is not None and client.open.request is client.reader.incoming and not client.writer.streaming:
        waiting.held_since = _held_since(client, now)
    is_first = client.open is None or client.open.request is client.reader.incoming
    if (
        is_first
        and client.reader.incoming.upload is not None
        and not client.reader.incoming.whole
        and not client.writer.streaming
    ):
        waiting.written_since, waiting.client_waits_s = client.reading.earliest_end(now), _client_waits_s(client)
    if client.reading.starved_since is not None and client.open is None:
        # As if it had waited longer, where its client waits for less.
        less_s = BUFFER_TIMEOUT_S - STARVED_PART * _client_waits_s(client)
        waiting.starved_since = client.reading.starved_since - max(0.0, less_s)
    if client.reading.waits_its_turn and client.reading.rest_is_here:
        return waiting  # all is here, and the node does not read on
    if client.unfinished() or client.reader.broken is not None:
        if not client.writer.streaming:
            _wait_for_request(client, waiting)
        elif client.delivery.undelivered:  # else the answer that is on the way waits for its server
            waiting.progress_at = max(client.reading.progress_at, client.delivery.waits_since)
    elif client.idle() and not client.delivery.undelivered:
        _wait_idle(client, waiting, now)
    return waiting


def _held_since(client: ClientConnection, now: float) -> float | None:
    """Since when the server has taken nothing of the body that comes; None where reading goes on."""
    since, upload = client.reading.paused_since, client.reader.incoming.upload
    if since is None or upload is None:
        return since
    return max(since, upload.taken_at(now))


def _client_waits_s(client: ClientConnection) -> float:
    """How long the client of the request that comes says that it will wait; infinite where it says nothing."""
    try:
        return read_budget(client.reader.incoming.fields.get(b"x-budget", b"")) / 1000
    except ValueError:
        return math.inf


def _wait_for_request(client: ClientConnection, waiting: Waiting) -> None:
    """A request is half here."""
    if client.reader.in_head:
        waiting.head_since = client.reader.begun
        return
    waiting.body_since, waiting.body_bytes = client.reader.begun, client.reader.body_bytes()
    if not (client.reader.expects and not client.idle()):  # else it waits to be told to go on
        waiting.progress_at = client.reading.progress_at
        if client.delivery.undelivered:  # it is busy with an answer, as long as it takes that
            waiting.progress_at = max(waiting.progress_at, client.delivery.taken_at)


def _wait_idle(client: ClientConnection, waiting: Waiting, now: float) -> None:
    """Nothing is here of any request, and its client has all answers."""
    life = client.listener.life
    waiting.silent_since = client.reader.begun  # None behind a first request
    if life.closing():
        waiting.drains_at = life.rests_until(client.delivery.taken_at or client.reader.begun or now, client.place)
    elif client.reader.begun is None:
        waiting.idle_since = client.delivery.taken_at
