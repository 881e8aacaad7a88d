"""Probes of servers, and connections opened ahead of their first request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from cloverhold.decision import interface as io
from cloverhold.net.clock import Clock
from cloverhold.net.messages import NO_HOST, read_load
from cloverhold.net.upstreams.calls import Call, Outgoing, Pool, Upstream
from cloverhold.settings import load_report

PROBE_TIMEOUT_MS = 300.0
PROBE = Outgoing(b"GET", b"/_load", [(b"Host", NO_HOST)])


class Prober:
    """Asks servers for their load. Each probe has one reply, or the probe's timeout."""

    def __init__(
        self,
        clock: Clock,
        pool: Pool,
        upstreams: Mapping[str, Upstream],
        dispatch: Callable[[io.ProbeReply], None],
    ) -> None:
        self.clock, self.pool, self.upstreams, self.dispatch = clock, pool, upstreams, dispatch
        self.loop = asyncio.get_running_loop()

    def probe(self, server: str) -> None:
        """Ask a server for its load."""
        upstream, sent_at = self.upstreams.get(server), self.clock.now()
        if upstream is None:
            self.dispatch(io.ProbeReply(server, io.Status.CONNECT_FAILED, 0.0))
            return

        def reply(status: io.Status, load: io.LoadReport | None = None) -> None:
            now = self.upstreams.get(server)
            if now is None or now.started_at != upstream.started_at:
                return  # of a process that has ended: its successor has a row of its own
            self.dispatch(io.ProbeReply(server, status, self.clock.now() - sent_at, load))

        def done(call: Call, status: io.Status) -> None:
            timer.cancel()
            response = call.response
            if response is not None and response.status == 503:
                status = io.Status.FULL
            load = None
            if status is io.Status.OK and response is not None:
                load = parse_load(response.body) or parse_load(response.header(b"x-load-report"))
            reply(status, load)

        def timed_out() -> None:
            call.give_up()
            reply(io.Status.TIMEOUT)

        timer = self.loop.call_later(PROBE_TIMEOUT_MS / 1000, timed_out)
        call = self.pool.call(upstream, PROBE, done)

    def warm(self, server: str) -> None:
        """Open a connection to a server that will soon be sent to; its answer tells the module nothing."""
        upstream = self.upstreams.get(server)
        if upstream is None or upstream.idle:
            return
        call = self.pool.call(upstream, PROBE, lambda call, status: timer.cancel())
        timer = self.loop.call_later(PROBE_TIMEOUT_MS / 1000, call.give_up)


def parse_load(text: bytes) -> io.LoadReport | None:
    """A load report; None where there is none that can be read."""
    values = read_load(text) if text else None
    return load_report(values) if values is not None else None
