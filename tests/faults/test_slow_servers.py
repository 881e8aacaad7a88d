"""Servers that write or read slowly: their answers are not cut off, and no client's time is stretched by them."""

from __future__ import annotations

import asyncio

import pytest

from cloverhold.bodies.upload import WINDOW
from cloverhold.net.upstreams import http1 as upstream
from loopback import WAIT_S, Scripted, body_of, play, read_answer, request, running, until

ANSWER = bytes(range(200)) * 200  # 40 KB


def writing(answer: bytes, pause_s: float, parts: int = 20) -> Scripted:
    """Answers in so many parts with a pause behind each."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await body_of(head, reader)
        size = len(answer) // parts + 1
        for at in range(0, len(answer), size):
            writer.write(answer[at : at + size])
            await asyncio.sleep(pause_s)

    return Scripted(script)


@pytest.mark.parametrize("framing", [b"Content-Length: 40000", b"Transfer-Encoding: chunked"])
@pytest.mark.parametrize("name", ["consulta", "alerta", "lote"])
def test_short_answer_that_is_still_written_when_its_time_is_over_is_not_cut_off(name: str, framing: bytes) -> None:
    """With a length it was failed (502) at the client's time, while one in chunks came whole."""
    body = ANSWER if b"Length" in framing else b"%x\r\n%s\r\n0\r\n\r\n" % (len(ANSWER), ANSWER)
    answer = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + body

    async def test() -> None:
        async with running(writing(answer, 0.05), probes=False) as node:
            reader, writer = await node.connect()
            writer.write(request(name, budget="300m", extra="Connection: close\r\n"))
            response = await read_answer(reader)
            assert (response.status, response.body) == (200, ANSWER)
            writer.close()
            assert not node.node.host.open and not node.node.host.balancer.attempts

    play(test)


@pytest.mark.parametrize("framing", [b"Content-Length: 40000", b"Transfer-Encoding: chunked"])
def test_answer_of_which_a_part_comes_each_few_seconds_is_not_cut_off(framing: bytes) -> None:
    """With a length it was broken off once nothing had come for 3 s behind its client's time."""
    body = ANSWER if b"Length" in framing else b"%x\r\n%s\r\n0\r\n\r\n" % (len(ANSWER), ANSWER)
    answer = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n" + body

    async def test() -> None:
        async with running(writing(answer, 4.5, parts=3), probes=False) as node:
            reader, writer = await node.connect()
            writer.write(request("alerta", budget="300m", extra="Connection: close\r\n"))
            assert (await read_answer(reader)).body == ANSWER
            writer.close()

    play(test)


def test_answer_whose_length_does_not_fit_is_broken_off_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "SILENT_S", 0.2)

    async def test() -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n" + b"x" * 2000
        async with running(writing(answer, WAIT_S, parts=1), probes=False) as node:
            reader, writer = await node.connect()
            writer.write(request("alerta", budget="300m"))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await asyncio.wait_for(reader.readexactly(3000), WAIT_S)
            writer.close()
            assert not node.node.host.open

    play(test)


@pytest.mark.parametrize("part", [b"", b"x" * 10])
def test_answer_of_a_server_that_is_stuck_fails_in_time(part: bytes) -> None:
    async def test() -> None:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + part
        async with running(writing(answer, WAIT_S, parts=1), probes=False) as node:
            assert (await node.ask(request("alerta", budget="300m"))).status in (502, 504)

    play(test)


@pytest.mark.parametrize("chunked", [False, True])
def test_time_of_a_request_runs_from_its_last_byte_though_its_server_does_not_read(chunked: bool) -> None:
    """It began when the node had read the request, which it does as its server does: 504 came seconds late."""
    body = b"x" * (WINDOW + 40_000)

    async def test() -> None:
        async with running(Scripted(stuck), probes=False) as node:
            reader, writer = await node.connect()
            if chunked:
                head = request("alerta", budget="1000m", extra="Transfer-Encoding: chunked\r\n")
                raw = head.replace(b"Content-Length: 0\r\n", b"") + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            else:
                raw = request("alerta", budget="1000m", body=body)
            writer.write(raw[:1000])
            await until(lambda: any(c.unfinished() for c in node.node.listener.connections))
            (connection,) = node.node.listener.connections
            connection.reader.stream_body()
            upload = connection.reader.incoming.upload
            assert upload is not None
            upload.take = lambda: b""  # type: ignore[method-assign]  # the server takes nothing
            writer.write(raw[1000:])
            await until(lambda: connection.reading.paused_since is not None)
            begun = asyncio.get_running_loop().time()
            assert (await read_answer(reader)).status in (502, 504)
            assert asyncio.get_running_loop().time() - begun < 1.0 + 0.5
            writer.close()

    play(test)


async def stuck(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads no body, and answers nothing."""
    await asyncio.sleep(WAIT_S)
