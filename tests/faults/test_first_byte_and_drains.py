"""A request of which no byte has left by the time its server drains never reaches that server."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cloverhold.bodies.budget import Budget
from cloverhold.decision.interface import Status
from cloverhold.net.upstreams.calls import Outgoing, Upstream
from cloverhold.net.upstreams.http1 import Pool
from loopback import Server, play, until


def test_request_whose_socket_took_nothing_yet_is_turned_back_with_its_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Only what was dialled or rested was turned back; a first write may find no room, too (EAGAIN)."""

    async def test() -> None:
        server, outcomes = Server(), list[Status]()
        await server.start()
        pool = Pool(asyncio.get_running_loop(), 1.0, 60.0, 8, Budget(1 << 20))
        upstream = Upstream(("127.0.0.1", server.port))

        class Full(socket.socket):
            def send(self, data: object, flags: int = 0) -> int:  # type: ignore[override]
                raise BlockingIOError

        monkeypatch.setattr(socket, "socket", Full)
        pool.call(upstream, Outgoing(b"GET", b"/consulta"), lambda call, status: outcomes.append(status))
        (connection,) = pool.all
        await until(lambda: connection.dial_timer is None)
        pool.turn_back(upstream)
        assert outcomes == [Status.CONNECT_FAILED] and connection.closed
        monkeypatch.undo()
        await asyncio.sleep(0.05)
        assert not server.requests
        pool.close()
        server.stop()

    play(test)
