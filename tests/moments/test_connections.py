"""Connections to servers at the wrong instant: spoilt answers, drains and clients that leave while one is dialled."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cloverhold import Status
from cloverhold.bodies.budget import Budget
from cloverhold.bodies.upload import Upload
from cloverhold.net.upstreams import http1
from cloverhold.net.upstreams.calls import Outgoing, Upstream
from cloverhold.net.upstreams.http1 import Connection, Pool
from loopback import OK, Server, play, request, running, target, until
from test_upstream import GET, make_pool

STALE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"


def ask(pool: Pool, upstream: Upstream, told: list[tuple[Status, bytes]], outgoing: Outgoing = GET) -> None:
    pool.call(
        upstream, outgoing, lambda call, status: told.append((status, call.response.body if call.response else b""))
    )


@pytest.mark.parametrize("late", ["while it rests", "before it is read"])
def test_a_second_answer_is_never_the_next_requests(late: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The next request is begun in the very step that reads the first answer; the second one comes behind that."""
    monkeypatch.setattr(http1, "REST_S", 0.2)

    async def test() -> None:
        server = Server()
        await server.start()
        pool, told = make_pool(), list[tuple[Status, bytes]]()
        upstream = Upstream(("127.0.0.1", server.port))

        def first(call: object, status: Status) -> None:
            ask(pool, upstream, told)
            if late == "while it rests":
                server.writers[0].write(STALE)

        if late == "before it is read":
            server.reply = lambda target, body: OK + STALE if len(server.requests) == 1 else OK
        pool.call(upstream, GET, first)
        await until(lambda: told)
        assert told[0] in ((Status.CONNECT_FAILED, b""), (Status.OK, b"ok"))
        assert all(body != b"stale" for _, body in told)
        pool.close()
        server.stop()

    play(test)


def test_parts_of_a_body_that_come_while_the_connection_rests_stay_behind_the_head(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without the mend a part took the place of the head."""
    monkeypatch.setattr(http1, "REST_S", 0.2)

    async def test() -> None:
        server = Server()
        await server.start()
        pool, told = make_pool(), list[tuple[Status, bytes]]()
        upstream, upload = Upstream(("127.0.0.1", server.port)), Upload(Budget(1 << 20), 6)
        posted = Outgoing(b"POST", b"/lote", [(b"Host", b"api")], upload=upload)

        def first(call: object, status: Status) -> None:
            ask(pool, upstream, told, posted)
            upload.add(b"abc")
            upload.add(b"def")
            upload.end()

        pool.call(upstream, GET, first)
        await until(lambda: told)
        assert told == [(Status.OK, b"ok")] and server.requests[1][2] == b"abcdef"
        pool.close()
        server.stop()

    play(test)


def held(monkeypatch: pytest.MonkeyPatch) -> tuple[list[Connection], Callable[[], None]]:
    """Dials come up, and the loop hears of it only when told to."""
    waiting, connected = list[Connection](), Connection._connected

    def wait(self: Connection) -> None:
        self.pool.loop.remove_writer(self.socket.fileno())
        waiting.append(self)

    def go_on() -> None:
        for connection in waiting:
            if not connection.closed:
                connected(connection)

    monkeypatch.setattr(Connection, "_connected", wait)
    return waiting, go_on


def test_a_list_that_turns_a_server_away_while_it_is_dialled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the mend the request leaves for it behind the drain, however long the dial took."""

    async def test() -> None:
        first, second = Server(), Server()
        async with running(first, probes=False) as node:
            await second.start()
            waiting, go_on = held(monkeypatch)
            _reader, writer = await node.connect()
            writer.write(request())
            await until(lambda: waiting)
            node.catalog.change([target("s0", first.port, "leaving"), target("s1", second.port)])
            await until(lambda: any(c.upstream.address[1] == second.port for c in waiting) or second.requests)
            go_on()
            await until(lambda: second.requests)
            assert not first.requests
            writer.close()
            second.stop()

    play(test)


@pytest.mark.parametrize("way", ["closed", "half-closed", "reset"])
def test_a_client_that_leaves_while_a_server_is_dialled(way: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Its end is not read meanwhile, as in a loop that is late: the connection that comes up asks for it."""

    async def test() -> None:
        server = Server()
        async with running(server, probes=False) as node:
            waiting, go_on = held(monkeypatch)
            _reader, writer = await node.connect()
            writer.write(request("alerta"))
            await until(lambda: waiting)
            (client,) = node.node.listener.connections
            assert client.transport is not None
            client.transport.pause_reading()
            if way == "reset":
                writer.transport.abort()
            elif way == "half-closed":
                writer.write_eof()
            else:
                writer.close()
            await until(lambda: client.end.poll(0))
            go_on()
            assert not node.node.host.open and not node.node.host.call_ids
            assert not [c for c in node.node.pool.all if not c.closed]
            await until(lambda: not node.node.listener.connections)
            assert not server.requests
            writer.close()

    play(test)
