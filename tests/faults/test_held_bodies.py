"""Bodies that are held up by the node itself, with nobody who would let them go on."""

from __future__ import annotations

import asyncio

import pytest

from cloverhold.bodies.upload import WINDOW
from cloverhold.net.fronts import waits
from loopback import OK, WAIT_S, Scripted, Server, body_of, play, read_answer, request, running, until


@pytest.mark.parametrize("size", [WINDOW - 1, WINDOW, WINDOW + 1])
def test_body_of_which_just_one_window_has_come_goes_on(size: int) -> None:
    """At just the window nothing more was read, and the request was not begun either."""
    whole = size + 70_000

    async def test() -> None:
        server = Server()
        async with running(server) as node:
            reader, writer = await node.connect()
            writer.write(request("alerta").replace(b"Length: 0", b"Length: %d" % whole))
            await until(lambda: any(c.unfinished() for c in node.node.listener.connections))
            (connection,) = node.node.listener.connections
            sent = 0
            while sent < size:  # each part is read before the next one is sent
                part = min(65536, size - sent)
                writer.write(b"x" * part)
                sent += part
                await until(lambda sent=sent: connection.reader.body_bytes() >= sent)
            writer.write(b"x" * 70_000)
            assert (await read_answer(reader)).status == 200 and len(server.requests[0][2]) == whole
            writer.close()

    play(test)


def open_then_upload(size: int) -> bytes:
    """A request that its server leaves open, and the head of an upload behind it."""
    return request(number="1") + request("alerta", number="2").replace(b"Length: 0", b"Length: %d" % size)


def silent_for_reads() -> Scripted:
    """A server that answers whatever has a body, once it is whole; the writers of the others are kept."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0] or 0)
        if not length:
            await asyncio.sleep(1.5)  # several sweeps behind the bound
        await reader.readexactly(length)
        writer.write(OK)

    return Scripted(script)


def test_clients_that_leave_while_memory_is_missing_leave_nothing_behind() -> None:
    """Each left its place in the queue for memory, and itself with it, for as long as memory was missing."""

    async def test() -> None:
        async with running(Server(lambda target, body: None), probes=False) as node:
            budget = node.node.budget
            budget.take(budget.total)
            for _ in range(5):
                _reader, writer = await node.connect()
                writer.write(open_then_upload(50_000) + b"x" * 30_000)
                await until(lambda: len(budget._waiting) == 1)
                writer.transport.abort()
                await until(lambda: not node.node.listener.connections)
                assert not budget._waiting

    play(test)


def test_upload_behind_an_open_request_is_not_ended_for_being_held_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """It is the first request that it waits for, and no server of its own."""
    monkeypatch.setattr(waits, "SERVER_READ_TIMEOUT_S", 0.5)
    size = 300_000

    async def test() -> None:
        async with running(silent_for_reads(), probes=False) as node:
            reader, writer = await node.connect()
            writer.write(open_then_upload(size) + b"x" * size)
            assert [(await read_answer(reader)).status for _ in range(2)] == [200, 200]
            writer.close()

    play(test)


def test_answer_on_its_way_is_not_spoilt_by_the_wait_for_its_server_to_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """The server answers before it reads the body: the 504 of that wait must not come into the answer."""
    monkeypatch.setattr(waits, "SERVER_READ_TIMEOUT_S", 0.5)
    size, answer = 32_000_000, 200_000

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (2 * answer, b"y" * answer))
        await asyncio.sleep(1.5)  # several sweeps behind the bound
        await reader.readexactly(size)
        writer.write(b"y" * answer)

    async def test() -> None:
        async with running(Scripted(script), probes=False) as node:
            reader, writer = await node.connect()
            writer.write(request("alerta").replace(b"Length: 0", b"Length: %d" % size) + b"x" * size)
            async with asyncio.timeout(WAIT_S):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(2 * answer) == b"y" * 2 * answer
            writer.close()

    play(test)


def test_open_request_is_not_refused_where_memory_lacks_for_the_one_behind_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """503 promises that it never ran, and it may have."""
    monkeypatch.setattr(waits, "BODY_STALL_TIMEOUT_S", 0.3)

    async def test() -> None:
        server = Server(lambda target, body: None)
        async with running(server, probes=False) as node:
            reader, writer = await node.connect()
            writer.write(request("alerta", number="1"))
            await until(lambda: server.requests)
            budget = node.node.budget
            budget.take(budget.total)
            writer.write(request("alerta", number="2").replace(b"Length: 0", b"Length: 50000") + b"x" * 12_000)
            (connection,) = node.node.listener.connections
            await until(lambda: connection.reader.body_bytes() == 12_000)
            writer.write(b"x" * 10_000)
            await until(lambda: connection.reader.incoming.upload is not None)
            assert (await read_answer(reader)).status == 408
            budget.give(budget.total)
            writer.close()

    play(test)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("whole", [False, True])
def test_body_behind_an_open_request_is_ended_where_its_client_stops_and_not_where_all_of_it_is_here(
    monkeypatch: pytest.MonkeyPatch, whole: bool, chunked: bool
) -> None:
    """While the node read no further for the open request, half of a next one was waited for by nobody."""
    monkeypatch.setattr(waits, "BODY_STALL_TIMEOUT_S", 0.4)
    body = b"x" * 60_000
    second = request("alerta", number="2", body=body)
    if chunked:
        head = request("alerta", number="2", extra="Transfer-Encoding: chunked\r\n")
        second = head.replace(b"Content-Length: 0\r\n", b"") + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if await body_of(head, reader) == b"":
            await asyncio.sleep(1.5)  # several sweeps behind the bound
        writer.write(OK)

    async def test() -> None:
        async with running(Scripted(script), probes=False) as node:
            reader, writer = await node.connect()
            writer.write(request(number="1") + (second if whole else second[:-5000]))
            statuses = [(await read_answer(reader)).status]
            if whole:
                statuses.append((await read_answer(reader)).status)
            assert statuses == ([200, 200] if whole else [408])
            writer.close()

    play(test)


def test_place_of_a_request_that_was_answered_before_it_was_whole_is_free_again() -> None:
    async def early(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")

    async def test() -> None:
        async with running(Scripted(early), probes=False, max_attempts=1) as node:
            reader, writer = await node.connect()
            writer.write(request("alerta").replace(b"Length: 0", b"Length: 900000") + b"x" * 300_000)
            assert (await read_answer(reader)).status in (502, 503)
            assert not node.node.listener.arriving
            writer.close()

    play(test)


def test_body_that_breaks_after_its_request_was_begun_costs_that_request_alone() -> None:
    """What frames it was all that was kept of it, and nobody could close it any more."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if b"Transfer-Encoding" in head:
            await reader.read()
        else:
            await body_of(head, reader)
            writer.write(OK)

    async def test() -> None:
        async with running(Scripted(script), probes=False) as node:
            reader, writer = await node.connect()
            head = request("alerta", number="1", extra="Transfer-Encoding: chunked\r\n").replace(
                b"Content-Length: 0\r\n", b""
            )
            writer.write(head + (b"400\r\n" + b"x" * 1024 + b"\r\n") * 200)
            await until(lambda: node.node.host.open)
            writer.write(b"no chunk\r\n" * 3)
            await reader.read()
            await until(lambda: not node.node.host.open and not node.node.host.call_ids)
            assert (await node.ask(request("alerta", number="2"))).status == 200
            writer.close()

    play(test)
