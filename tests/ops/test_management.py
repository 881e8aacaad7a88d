"""Calls of the operators and drains, over loopback."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import pytest

from cloverhold import lifecycle
from cloverhold.net.fronts import management
from loopback import OK, WAIT_S, Peer, Running, Server, play, read_answer, request, running, until

HEALTH = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"


def handles() -> int:
    return len(list(Path(f"/proc/{os.getpid()}/fd").iterdir()))


async def raw(node: Running, *pieces: bytes) -> bytes:
    """What the management address says to these bytes, sent one piece after the other."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.mgmt_port)
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    whole = await asyncio.wait_for(reader.read(), WAIT_S)
    writer.close()
    return whole


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ([b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n"], 200),
        ([b"GET /_ready?all HTTP/1.0\r\n\r\n"], 200),
        ([b"POST /_lameduck", b"/on HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n", b"{}"], 200),
        ([b"POST /_ready HTTP/1.1\r\nHost: x\r\n\r\n"], 405),
        ([b"GET /_lameduck/on HTTP/1.1\r\nHost: x\r\n\r\n"], 405),
        ([b"GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"], 404),
        ([b"\x16\x03\x01\x02\x00\x01\r\n\r\n"], 400),
        ([b"POST /_lameduck/on HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}"], 400),
        ([b"GET /" + b"a" * 9000], 431),
        # Only the first call of a connection counts, also where a second comes with it.
        ([b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\nPOST /_lameduck/on HTTP/1.1\r\nHost: x\r\n\r\n"], 200),
    ],
)
def test_a_call_is_answered_whole_and_closed(pieces: list[bytes], status: int) -> None:
    async def test() -> None:
        async with running(Server(), mgmt=True) as node:
            whole = await raw(node, *pieces)
            head, _, body = whole.partition(b"\r\n\r\n")
            assert int(head.split(b" ")[1]) == status
            assert b"Connection: close" in head and b"Content-Length: %d" % len(body) in head
            assert node.node.life.duck == (pieces[0] == b"POST /_lameduck")

    play(test)


def test_a_call_that_is_not_whole_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(management, "PATIENCE_S", 0.05)

    async def test() -> None:
        async with running(Server(), mgmt=True) as node:
            said = await raw(node, b"POST /_lameduck/on HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{")
            assert said.startswith(b"HTTP/1.1 408") and not node.node.life.duck

    play(test)


def test_silent_callers_and_a_full_client_port_keep_no_operator_waiting() -> None:
    """Hard case: 200 that say nothing at the management address, and as many clients as there is room for."""

    async def test() -> None:
        async with running(Server(), mgmt=True, sockets=192) as node:
            before = handles()
            clients = [await node.connect() for _ in range(node.node.listener.most)]
            silent = [await asyncio.open_connection("127.0.0.1", node.mgmt_port) for _ in range(200)]
            for call in ("GET /_ready", "POST /_lameduck/on", "GET /_ready", "POST /_lameduck/off"):
                begun = time.monotonic()
                assert await node.manage(call) == 200
                assert time.monotonic() - begun < 1.0
            assert node.node.management is not None
            assert len(node.node.management.callers) <= management.MOST
            for _, writer in clients + silent:
                writer.close()
            await until(lambda: not node.node.management.callers and not node.node.listener.connections)
            await until(lambda: handles() <= before)

    play(test)


async def asked(node: Running, number: str) -> Peer:
    reader, writer = await node.connect()
    writer.write(request(number=number))
    assert (await read_answer(reader)).status == 200
    return reader, writer


async def health(node: Running) -> int:
    return (await node.ask(HEALTH)).status


def test_a_drained_node_says_no_ends_its_connections_and_lives_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "DUCK_FROM_S", 0.1)
    monkeypatch.setattr(lifecycle, "DUCK_BY_S", 0.3)

    async def test() -> None:
        server = Server(lambda target, body: OK if b"slow" not in body else None)
        async with running(server, mgmt=True) as node:
            idle = [await asked(node, str(number)) for number in range(8)]
            busy, busy_writer = await asked(node, "before")
            slow, slow_writer = await node.connect()
            slow_writer.write(request("alerta", "slow", body=b"slow"))
            await until(lambda: any(body == b"slow" for _, _, body in server.requests))
            assert await node.manage("POST /_lameduck/on") == 200 == await node.manage("POST /_lameduck/on")
            assert await health(node) == 503
            busy_writer.write(request(number="during"))
            answer = await read_answer(busy)
            assert answer.status == 200 and answer.fields[b"connection"] == b"close"
            for reader, writer in idle:
                assert await asyncio.wait_for(reader.read(), WAIT_S) == b""
                writer.close()
            assert (await node.ask(request(number="late"))).status == 200  # what comes all the same is served
            await until(lambda: len(node.node.listener.connections) == 1)  # the one that is owed an answer
            assert await node.manage("GET /_ready") == 200
            assert await node.manage("POST /_lameduck/off") == 200
            assert await health(node) == 200
            again, again_writer = await asked(node, "after")
            again_writer.write(request(number="kept"))
            assert (await read_answer(again)).status == 200  # nothing of the drain is left over
            for peer in server.writers:
                if not peer.is_closing():  # one of them owes the slow one
                    peer.write(OK)
            assert (await read_answer(slow)).status == 200
            assert sum(body == b"slow" for _, _, body in server.requests) == 1
            for writer in (busy_writer, slow_writer, again_writer):
                writer.close()

    play(test)


def test_a_drain_that_comes_and_goes_under_load_costs_no_answer() -> None:
    async def test() -> None:
        server, ended = Server(), False
        async with running(server, mgmt=True) as node:

            async def client(name: int) -> int:
                served, peer = 0, await node.connect()
                while not ended or served < 20:
                    peer[1].write(request("alerta", f"{name}-{served}", body=b"x"))
                    answer = await read_answer(peer[0])
                    assert answer.status == 200
                    served += 1
                    if answer.fields.get(b"connection") == b"close":
                        peer[1].close()
                        peer = await node.connect()
                peer[1].close()
                return served

            clients = [asyncio.create_task(client(name)) for name in range(4)]
            for turn in range(20):
                assert await node.manage(f"POST /_lameduck/{('on', 'off')[turn % 2]}") == 200
            ended = True
            served = sum(await asyncio.gather(*clients))
            assert served == len(server.requests) >= 80  # each once
            assert await health(node) == 200

    play(test)


def test_a_request_that_lies_unread_on_a_connection_is_served_before_that_ends() -> None:
    """Guards against a close that crosses a request: it would be reset unread."""

    async def test() -> None:
        async with running(Server()) as node:
            reader, writer = await asked(node, "1")
            (connection,) = node.node.listener.connections
            writer.write(request(number="2"))
            time.sleep(0.02)  # the loop must not see it first
            connection.close_if_idle()
            assert (await read_answer(reader)).status == 200
            connection.close_if_idle()
            assert await asyncio.wait_for(reader.read(), WAIT_S) == b""
            writer.close()

    play(test)
