"""What is counted and logged of client connections that the node ends."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from cloverhold.net.delivery import unacknowledged_bytes, undelivered_bytes
from cloverhold.net.telemetry import Happening

if TYPE_CHECKING:
    from cloverhold.net.fronts.http1 import ClientConnection


def count_close(client: ClientConnection, reason: str) -> None:
    """The node ends a connection, or the request that comes on it."""
    request = client.reader.incoming
    client.listener.telemetry.event(
        Happening.CONNECTION_CLOSED,
        reason,
        client=client.transport.get_extra_info("peername") if client.transport is not None else None,
        id=request.fields.get(b"x-call-id", b""),
        in_head=client.reader.in_head,
        body_bytes=client.reader.body_bytes(),
        silent_s=time.monotonic() - client.reading.progress_at,
        open=client.open is not None,
        paused=client.reading.paused_since is not None,
    )


def note_undelivered(client: ClientConnection, reason: str) -> None:
    """The node ends a connection: whether its client lacks bytes of an answer, and where they lie."""
    transport = client.transport
    if transport is None or not undelivered_bytes(transport):
        return
    client.listener.telemetry.event(
        Happening.ANSWER_UNDELIVERED,
        reason,
        client=transport.get_extra_info("peername"),
        in_process_bytes=transport.get_write_buffer_size(),
        in_kernel_bytes=unacknowledged_bytes(transport.get_extra_info("socket")),
    )
