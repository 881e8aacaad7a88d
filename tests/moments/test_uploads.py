"""An answer that crosses the body of its own request: the request is begun once, and no other one pays for it."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import pytest

from loopback import WAIT_S, Scripted, Server, play, read_answer, request, running, until

PIECE = b"x" * 65536


def early(said: bytes) -> Scripted:
    """Answers at a request's head, and drops what follows."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(said)
        while await reader.read(65536):
            pass

    return Scripted(script)


@pytest.mark.parametrize("status", [b"500 Sorry", b"503 Full\r\nX-Rejected: 1"])
def test_a_request_that_is_answered_while_its_body_comes_is_begun_once(status: bytes, caplog: Any) -> None:
    """Seen: the module's timer was lost with the exception, and every request behind it waited out its whole time."""

    async def test() -> None:
        server = early(b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status)
        async with running(server) as node:
            begun = list[int]()
            take = node.node.host.take

            def count(exchange: Any) -> None:
                begun.append(exchange.request.fields[b"x-call-id"])
                take(exchange)

            node.node.host.take = count  # type: ignore[method-assign]
            reader, writer = await node.connect()
            head = request("alerta", "long", extra="Transfer-Encoding: chunked\r\n")
            writer.write(head.replace(b"Content-Length: 0\r\n", b""))
            writer.write(b"".join(b"%x\r\n%s\r\n" % (len(PIECE), PIECE) for _ in range(6)))
            answer = await read_answer(reader)
            assert answer.status in (502, 503) and answer.fields[b"connection"] == b"close"
            assert await asyncio.wait_for(reader.read(), WAIT_S) == b""
            writer.close()
            await until(lambda: not node.node.listener.connections)
            assert begun.count(b"long") == 1 and sum(b"X-Call-Id: long\r\n" in head for head in server.heads) <= 4
            balancer = node.node.host.balancer
            assert not balancer.requests and not node.node.host.open

    with caplog.at_level(logging.ERROR):
        play(test)
    assert "Exception" not in caplog.text and "Traceback" not in caplog.text


def test_a_fault_in_one_action_costs_no_other_action_and_no_event() -> None:
    """The module's timer stands behind the answers: lost, nobody who waits would be looked at again."""

    async def test() -> None:
        async with running(Server()) as node:
            host, done = node.node.host, list[object]()

            def act(action: object) -> None:
                done.append(action)
                if action == "first":
                    host.events.append((0.0, "event"))  # type: ignore[arg-type]
                    raise RuntimeError("a fault")

            class Plain:
                def handle(self, now: float, event: object) -> list[object]:
                    return ["first", "second", "third"] if event == "begin" else [event]

            host._act = act  # type: ignore[method-assign]
            host.balancer = Plain()  # type: ignore[assignment]
            with pytest.raises(RuntimeError):
                host.dispatch("begin")  # type: ignore[arg-type]
            assert done == ["first", "second", "third"]
            await until(lambda: "event" in done)

    play(test)
