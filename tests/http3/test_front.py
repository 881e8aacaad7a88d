"""Clients over HTTP/3 before a real node: answers, bounds, drains, and what a client may do to a stream."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter
from pathlib import Path

import pytest

from cloverhold.h3.streams import REQUEST_CANCELLED, REQUEST_REJECTED
from loopback import OK, Running, Server, play, request, running, until
from peers import Field, H3Client, certificate, head, table


def at(node: Running) -> tuple[str, int]:
    return ("127.0.0.1", node.h3_port)


def ran(server: Server) -> Counter[str]:
    """How often each request came whole to a server."""
    ids = (line.split(b":")[1].strip().decode() for _, sent, _ in server.requests for line in sent.split(b"\r\n")
           if line.lower().startswith(b"x-call-id:"))  # fmt: skip
    return Counter(ids)


def echo(target: str, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Told: yes\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def silent(target: str, body: bytes) -> None:
    """Never answers."""


def test_a_request_gets_its_answer_and_goes_on_as_it_came(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(echo)
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            got = await client.ask("lote", "7", b"abcdef", extra=[(b"x-caller", b"acme")])
            assert (got.status, got.body, got.fields[b"x-told"]) == (200, b"abcdef", b"yes")
            target, sent, body = server.requests[0]
            assert target == "/lote?sid=7f3a" and body == b"abcdef"
            lines = sent.split(b"\r\n")
            assert {b"Host: api", b"x-call-id: 7", b"idempotency-key: k7", b"x-caller: acme"} <= set(lines)
            assert lines[0] == b"POST /lote?sid=7f3a HTTP/1.1"
            assert sum(line.lower().startswith(b"x-budget:") for line in lines) == 1
            assert (await client.ask("consulta", "8")).status == 200

    play(test)


def test_many_streams_of_one_connection_are_answered_each_by_its_own(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(echo)
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            streams = {n: client.begin(head("alerta", str(n)), b"body %d" % n) for n in range(30)}
            for n, stream in streams.items():
                got = await client.answer(stream)
                assert (got.status, got.body) == (200, b"body %d" % n)
            assert set(ran(server).values()) == {1} and len(ran(server)) == 30

    play(test)


@pytest.mark.parametrize(
    ("fields", "body", "status"),
    [
        (head("nada"), b"", 404),
        ([f for f in head() if f[0] != b"x-call-id"], b"", 400),
        ([*head(), (b"x-call-id", b"2")], b"", 400),
        ([*head(), (b"connection", b"close")], b"", 400),
        ([*head(), (b"transfer-encoding", b"chunked")], b"", 400),
        ([*head(), (b"x-evil", b"a\r\nX-Call-Id: 9")], b"", 400),
        ([*head(), (b"x evil", b"a")], b"", 400),
        ([(k, b"/consulta HTTP/1.1\r\nA: b" if k == b":path" else v) for k, v in head()], b"", 400),
        ([(k, b"a, b" if k == b":authority" else v) for k, v in head()], b"", 400),
        ([*head("alerta"), (b"content-length", b"3")], b"abcd", 400),
        ([*head("alerta"), (b"content-length", b"-3")], b"abc", 400),
        ([*head("alerta"), (b"content-length", b"99999999999999")], b"abc", 413),
        (head("alerta"), b"x" * 70_000, 413),
        ([*head(), *((b"x-large", b"y" * 1000) for _ in range(70))], b"", 431),
        (head("consulta", budget="none"), b"", 400),
        (head("consulta"), b"body", 400),
    ],
)
def test_what_is_not_as_agreed_gets_an_error_and_reaches_no_server(
    fields: list[Field], body: bytes, status: int, tmp_path: Path
) -> None:
    async def test() -> None:
        server = Server()
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            got = await client.answer(client.begin(fields, body))
            assert got.status == status and not server.requests
            assert (await client.ask("consulta", "other")).status == 200  # the connection stands

    play(test)


def test_a_request_that_does_not_become_whole_is_ended(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            got = await client.answer(client.begin(head("alerta"), b"half", end=False))
            assert got.status == 408 and not server.requests
            await until(lambda: not node.node.http3 or node.node.http3.budget.bytes == 0)

    play(test)


def test_an_answer_with_a_field_of_60_kb_goes_over(tmp_path: Path) -> None:
    """The library's own encoder ended its thread with a panic on one."""

    async def test() -> None:
        wide = b"HTTP/1.1 200 OK\r\nX-Wide: " + b"y" * 60_000 + b"\r\nContent-Length: 0\r\n\r\n"
        async with running(Server(lambda target, body: wide), http3=table(tmp_path)) as node:
            async with H3Client(at(node)) as client:
                got = await client.ask("alerta", "1", b"wide")
                assert got.status == 200 and len(got.fields[b"x-wide"]) == 60_000

    play(test)


# --------------------------------------------------------------------------------- streams that clients take back


@pytest.mark.parametrize("how", ["reset", "stop", "both"])
def test_a_client_that_takes_back_what_is_at_a_server_makes_it_run_no_second_time(how: str, tmp_path: Path) -> None:
    """A reset behind the last byte alone takes nothing back: the answer is still owed, and comes."""

    async def test() -> None:
        first, second = Server(silent), Server(silent)
        async with running(first, second, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            stream = client.begin(head("alerta", "1"))
            await until(lambda: ran(first) + ran(second))
            held = first if first.requests else second
            if how in ("reset", "both"):
                client.quic.reset_stream(stream, REQUEST_CANCELLED)
            if how in ("stop", "both"):
                client.quic.stop_stream(stream, REQUEST_CANCELLED)
            client.flush()
            if how == "reset":
                await client.ask("alerta", "2", budget="300m")  # what came behind it has been read
                assert node.node.host.open
                for writer in held.writers:
                    writer.write(OK)
                assert (await client.answer(stream)).status == 200
            else:
                await until(lambda: not node.node.host.open)
                await until(lambda: held.ended)  # the attempt's connection is closed
            assert (ran(first) + ran(second))["1"] == 1
            assert (await client.ask("nada", "3")).status == 404  # the connection stands

    play(test)


def test_a_request_taken_back_before_it_was_whole_never_ran(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            stream = client.begin(head("alerta", "1"), b"half", end=False)
            client.quic.reset_stream(stream, REQUEST_CANCELLED)
            client.flush()
            assert (await client.answer(stream)).reset == REQUEST_CANCELLED
            assert (await client.ask("alerta", "2")).status == 200
            assert ran(server) == {"2": 1}
            await until(lambda: node.node.http3 is not None and not node.node.http3.budget.streams)

    play(test)


def test_a_connection_that_ends_takes_its_requests_with_it(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(silent)
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            client.begin(head("alerta", "1"))
            await until(lambda: server.requests)
            client.close()
            await until(lambda: not node.node.host.open)
            front = node.node.http3
            assert front is not None and not front.clients and not front._by_cid and not front.budget.streams
            assert ran(server) == {"1": 1}

    play(test)


# ------------------------------------------------------------------------------------------- bounds and floods


def test_streams_past_their_number_are_turned_away_unread(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(silent)
        async with running(server, http3=table(tmp_path, most_streams=4)) as node, H3Client(at(node)) as client:
            taken = [client.begin(head("alerta", str(n))) for n in range(4)]
            await until(lambda: len(server.requests) == 4)
            late = client.begin(head("alerta", "late"), b"half", end=False)
            await client.until(lambda: client.got[late].reset is not None and client.got[late].stopped is not None)
            got = client.got[late]
            assert got.reset == got.stopped == REQUEST_REJECTED and "late" not in ran(server)
            for writer in server.writers:
                writer.write(OK)
            assert [(await client.answer(s)).status for s in taken] == [200] * 4

    play(test)


def test_streams_held_open_over_many_connections_are_bounded_and_cost_others_nothing(tmp_path: Path) -> None:
    """Heads that never end, on every stream that each connection may have."""

    async def test() -> None:
        server = Server()
        async with running(server, http3=table(tmp_path, most_requests=100)) as node:
            front = node.node.http3
            assert front is not None
            holders = [H3Client(at(node)) for _ in range(8)]
            for holder in holders:
                await holder.open()
                await holder.connect()
                for _ in range(30):
                    holder.quic.send_stream_data(holder.quic.get_next_available_stream_id(), b"\x01\x44")
                holder.flush()
            await until(lambda: front.budget.streams >= 100)
            async with H3Client(at(node)) as client:
                got = await client.answer(client.begin(head("alerta", "0")))
                assert got.reset == REQUEST_REJECTED  # turned away unread: it may come again
                await until(lambda: front.budget.streams < 10)  # patience ends
                assert (await client.ask("alerta", "1")).status == 200
            assert ran(server) == {"1": 1}
            for holder in holders:
                holder.drop()

    play(test)


def test_a_client_that_lets_no_answer_out_is_ended_and_costs_others_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        large = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 900_000
        server = Server(lambda target, body: large if body == b"large" else OK)
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            closed = H3Client(at(node), max_data=2000, max_stream_data=1000)
            await closed.open()
            await closed.connect()
            # It never opens its windows: the library would, as data is read.
            for n in range(2):  # fewer bytes than it may leave unread: its time is what ends it
                closed.begin(head("alerta", f"large{n}"), b"large")
            closed.quic._core = Frozen(closed.quic._core)  # type: ignore[assignment]
            front = node.node.http3
            assert front is not None
            await until(lambda: len(front.clients) == 2)
            for n in range(5):
                assert (await client.ask("alerta", str(n))).status == 200
            await until(lambda: len(front.clients) == 1)
            assert (await client.ask("alerta", "last")).status == 200
            closed.drop()

    monkeypatch.setattr("cloverhold.h3.session.UNREAD_S", 0.5)
    play(test)


class Frozen:
    """A transport core that reads nothing more and goes on acknowledging nothing."""

    def __init__(self, core: object) -> None:
        self._core = core

    def __getattr__(self, name: str) -> object:
        return getattr(self._core, name)

    def receive_datagram(self, *_: object) -> tuple[int, ...]:
        return (0, 0, 0, 0, 0)


def test_a_flood_from_made_up_addresses_keeps_nothing_past_its_bound(tmp_path: Path) -> None:
    """Initials of new clients by thousands, tiny ones, other versions, noise; meanwhile a client is served."""

    async def test() -> None:
        server = Server()
        async with running(server, http3=table(tmp_path, most_handshakes=20)) as node:
            front = node.node.http3
            assert front is not None
            loop = asyncio.get_running_loop()
            first = H3Client(at(node))
            first.quic.connect(at(node), loop.time())
            initial = first.quic.datagrams_to_send(loop.time())[0][0]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as flood:
                flood.setblocking(False)
                flood.connect(at(node))
                heard = 0
                for n in range(2000):
                    other = H3Client(at(node))
                    if n % 40 == 0:
                        other.quic.connect(at(node), loop.time())
                        initial = other.quic.datagrams_to_send(loop.time())[0][0]
                    for data in (
                        initial, initial[:600], os.urandom(40), b"\xc0\x0a\x0a\x0a\x0a" + initial[5:],
                        b"\xc0\x0a\x0a\x0a\x0a" + initial[5:300], b"\x40" + os.urandom(50), b"",
                    ):  # fmt: skip
                        flood.send(data)
                    if n % 20 == 0:
                        await asyncio.sleep(0)
                        while True:
                            try:
                                heard += len(flood.recv(4096))
                            except BlockingIOError:
                                break
                assert front.new <= 20 and len(front.clients) <= 20
                assert len(front._by_cid) <= 20 * 10
            async with H3Client(at(node)) as client:  # its address is shown by a token, and it is served
                assert (await client.ask("alerta", "1")).status == 200
            assert ran(server) == {"1": 1}

    play(test)


# --------------------------------------------------------------------------------------------------- drains


def test_a_drain_answers_what_was_taken_and_takes_nothing_new(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(silent)
        async with running(server, http3=table(tmp_path)) as node, H3Client(at(node)) as client:
            taken = [client.begin(head("alerta", str(n))) for n in range(3)]
            await until(lambda: len(server.requests) == 3)
            ending = asyncio.ensure_future(node.node._drain())
            await client.until(lambda: client.goaway is not None)
            assert client.goaway == max(taken) + 4
            late = client.begin(head("alerta", "late"))
            assert (await client.answer(late)).reset == REQUEST_REJECTED
            for writer in server.writers:
                writer.write(OK)
            assert [(await client.answer(s)).status for s in taken] == [200] * 3
            await ending
            await asyncio.wait_for(client.ended.wait(), 20)
            assert "late" not in ran(server)

    play(test)


def test_a_new_certificate_is_shown_from_a_reload_on_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(Server(), http3=table(tmp_path)) as node, H3Client(at(node)) as old:
            front = node.node.http3
            assert front is not None
            was = front.configuration.certificate
            (tmp_path / "node.pem").write_text("no certificate")
            with pytest.raises(Exception, match="http3"):
                front.reload(table(tmp_path))
            assert front.configuration.certificate is was
            certificate(tmp_path, "other")
            (tmp_path / "node.pem").write_bytes((tmp_path / "other.pem").read_bytes())  # its key is another
            with pytest.raises(Exception, match="http3"):
                front.reload(table(tmp_path))
            certificate(tmp_path)
            assert front.reload(table(tmp_path)) == []
            async with H3Client(at(node)) as new:
                shown = [c.quic.get_peercert() for c in (old, new)]
                assert shown[0] is not None and shown[1] is not None
                assert shown[0].public_bytes() != shown[1].public_bytes()
                assert [(await c.ask("alerta", str(n))).status for n, c in enumerate((old, new))] == [200, 200]

    play(test)


def test_answers_over_http1_tell_of_http3_where_the_operator_asks_for_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(Server(), http3=table(tmp_path, announce=True)) as node:
            assert (await node.ask(request())).header(b"alt-svc") == b'h3=":%d"; ma=86400' % node.h3_port
        async with running(Server(), http3=table(tmp_path)) as node:
            assert (await node.ask(request())).header(b"alt-svc") == b""

    play(test)
