"""Connections to servers at the wrong instant: spoilt answers, drains and clients that leave while one is dialled."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import replace

import pytest

from cloverhold import Event, Outcome, Status
from cloverhold.bodies.budget import Budget
from cloverhold.bodies.upload import Upload
from cloverhold.net.upstreams import http1
from cloverhold.net.upstreams.calls import Outgoing, Upstream
from cloverhold.net.upstreams.http1 import Pool
from cloverhold.net.upstreams.http1_call import Call
from loopback import (
    CLASSES, OK, WAIT_S, Running, Scripted, Server, held, part, play, read_answer, request, running, target, until,
)  # fmt: skip
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
            part(writer, way)
            await until(lambda: client.end.poll(0))
            go_on()
            assert not node.node.host.open and not node.node.host.call_ids
            assert not [c for c in node.node.pool.all if not c.closed]
            await until(lambda: not node.node.listener.connections)
            assert not server.requests
            writer.close()

    play(test)


def told_ms(server: Server) -> float:
    """The time that the last request told its server."""
    (line,) = [line for line in server.requests[-1][1].split(b"\r\n") if line.lower().startswith(b"x-budget:")]
    assert line.endswith(b"u")
    return int(line[9:-1]) / 1000


async def slow_dial(node: Running, server: Server, monkeypatch: pytest.MonkeyPatch) -> tuple[float, float]:
    """A dial that comes up late; when its request had been read, and from when on it could leave."""
    waiting, go_on = held(monkeypatch)
    _reader, writer = await node.connect()
    writer.write(request(budget="6000m"))
    await until(lambda: waiting)
    read_by = time.monotonic()
    await asyncio.sleep(0.3)
    left_from = time.monotonic()
    go_on()
    await until(lambda: server.requests)
    writer.close()
    return read_by, left_from


async def resting(node: Running, server: Server, monkeypatch: pytest.MonkeyPatch) -> tuple[float, float]:
    """A connection that rests long; as above."""
    monkeypatch.setattr(http1, "REST_S", 0.3)
    reader, writer = await node.connect()
    writer.write(request(number="1"))
    await read_answer(reader)
    rests_from = time.monotonic()
    writer.write(request(number="2", budget="6000m"))
    await until(lambda: [c for c in node.node.pool.all if c.rests is not None])
    read_by = time.monotonic()
    await until(lambda: len(server.requests) == 2)
    writer.close()
    return read_by, rests_from + 0.25  # at the earliest: the rest began a moment before its answer was read here


@pytest.mark.parametrize("wait", [slow_dial, resting])
def test_the_time_told_to_a_server_is_what_is_left_when_its_request_leaves(
    wait: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the mend it was what was left when the server was chosen. Bounds from clocks read on both sides."""

    async def test() -> None:
        server = Server()
        async with running(server, probes=False) as node:
            read_by, left_from = await wait(node, server, monkeypatch)  # type: ignore[misc]
            assert 0 < told_ms(server) <= 6000 - 1000 * (left_from - read_by)

    play(test)


def test_a_head_that_finds_its_socket_full_tells_the_time_anew() -> None:
    """Until its first byte has left; from then on its bytes stand."""
    lefts = iter((900.0, 500.0, 100.0))
    call = Call(Outgoing(b"GET", b"/consulta", left=lambda: next(lefts)), lambda call, status: None)
    assert b"X-Budget: 900000u\r\n" in bytes(call.unwritten()) and not call.wrote(0) and not call.sent()
    second = bytes(call.unwritten())
    assert b"X-Budget: 500000u\r\n" in second and not call.wrote(10)
    assert bytes(call.unwritten()) == second[10:] and call.wrote(len(second) - 10) and call.sent()


@pytest.mark.parametrize("late", ["a dial", "a rest"])
def test_what_comes_up_behind_the_clients_time_is_not_sent(late: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The loop is late: the connection is ready in the turn in which the time ends, before its guard rings."""

    async def test() -> None:
        server = Server()
        async with running(server, probes=False) as node:
            host = node.node.host
            if late == "a rest":
                monkeypatch.setattr(http1, "REST_S", 0.2)
                assert (await node.ask(request(number="0"))).status == 200
            else:
                _waiting, go_on = held(monkeypatch)
            reader, writer = await node.connect()
            writer.write(request())
            await until(lambda: host.open)
            (opened,) = host.open.values()
            opened.expires_at = host.clock.now()  # as at the end of 8 s; its guard has not rung
            if late == "a dial":
                await until(lambda: _waiting)
                go_on()
            assert (await read_answer(reader)).status in (503, 504)
            assert len(server.requests) == (late == "a rest") and not host.open
            writer.close()

    play(test)


def test_a_dial_that_comes_up_in_the_turn_in_which_it_is_given_up() -> None:
    """Both lie in one batch of the loop's poll: what gives it up is ready first, and the connection up behind it."""

    async def test() -> None:
        server, loop = Server(), asyncio.get_running_loop()
        await server.start()
        pool, told, calls = make_pool(), list[tuple[Status, bytes]](), list[Call]()
        upstream, (reads, writes) = Upstream(("127.0.0.1", server.port)), socket.socketpair()

        def give_up() -> None:
            reads.recv(1)
            calls[-1].give_up()

        loop.add_reader(reads, give_up)
        for number in range(1, 11):
            writes.send(b"x")
            calls.append(pool.call(upstream, GET, lambda call, status: told.append((status, b""))))
            time.sleep(0.02)  # the loop is held up: the connection is up in the kernel
            # Its server has read to the end of each connection: all that was ever written there.
            await until(lambda number=number: server.ended == number)
            assert not told and not server.requests and not pool.all
        loop.remove_reader(reads)
        for end in (reads, writes):
            end.close()
        pool.close()
        server.stop()

    play(test)


@pytest.mark.parametrize("late", ["a dial", "a rest"])
def test_a_keyed_repeat_leaves_while_its_group_remembers_or_not_at_all(
    late: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was chosen within the window, and its connection is ready behind it. Without the mend it left all the same."""
    classes = tuple(replace(c, key_ttl_ms=300.0) if c.name == "lote" else c for c in CLASSES)
    monkeypatch.setattr(http1, "REST_S", 0.4)
    kept = b"" if late == "a rest" else b"Connection: close\r\n"

    async def test() -> None:
        server = Server(lambda target, body: b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n%s\r\n" % kept)
        async with running(server, probes=False, classes=classes) as node:
            waiting, go_on = held(monkeypatch)
            host, ended = node.node.host, list[Status]()
            dispatch = host.dispatch

            def heard(event: Event, at: float | None = None) -> None:
                ended.extend([event.status] if isinstance(event, Outcome) else [])
                dispatch(event, at)

            monkeypatch.setattr(host, "dispatch", heard)
            reader, writer = await node.connect()
            writer.write(request("lote"))
            await until(lambda: waiting)
            (opened,) = host.open.values()
            go_on()
            await until(lambda: opened.sent == 2)
            if late == "a dial":
                await until(lambda: len(waiting) == 2)
                await asyncio.sleep(0.4)
                go_on()
            assert (await read_answer(reader)).status == 502
            assert ended == [Status.ERROR, Status.MOOT] and len(server.requests) == 1 and not host.open
            writer.close()

    play(test)


def test_a_keyed_repeat_that_is_answered_while_it_comes_ends_with_its_window() -> None:
    """Its answer is on the way in pieces when the rest of its body comes, too late to leave: the client sees an end."""
    classes = tuple(replace(c, key_ttl_ms=300.0) if c.name == "lote" else c for c in CLASSES)
    piece = b"%x\r\n%s\r\n" % (150_000, 150_000 * b"x")

    async def early(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(server.heads) == 1:
            writer.write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + 500_000 * b"y")
        while data := await reader.read(65536):
            got.extend(data)

    async def test() -> None:
        async with running(server, probes=False, classes=classes) as node:
            reader, writer = await node.connect()
            head = request("lote", extra="Transfer-Encoding: chunked\r\n").replace(b"Content-Length: 0\r\n", b"")
            writer.write(head + piece)
            await until(lambda: any(o.begun for o in node.node.host.open.values()))
            await asyncio.sleep(0.4)  # its window is over
            writer.write(b"3\r\nend\r\n0\r\n\r\n")
            try:
                async with asyncio.timeout(WAIT_S):
                    while await reader.read(65536):
                        pass
            except ConnectionResetError:
                pass
            await until(lambda: server.ended == 2)
            assert len(server.heads) == 2 and not got.endswith(b"0\r\n\r\n") and not node.node.host.open
            writer.close()

    server, got = Scripted(early), bytearray()
    play(test)
