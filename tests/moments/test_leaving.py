"""Clients that leave, in each place of waiting: nothing is sent on for them, and what they held is free at once."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loopback import Scripted, Server, play, request, running, until
from test_upstream import rest

PIECE = b"x" * 65536


async def deaf(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads all that comes, and answers nothing."""
    while await reader.read(65536):
        pass


def leave(client: socket.socket, way: str) -> None:
    if way == "half-closed":
        client.shutdown(socket.SHUT_WR)
    else:
        client.close()


@pytest.mark.parametrize("way", ["closed", "half-closed"])
@pytest.mark.parametrize("count", [1, 5])
def test_a_late_loop_reads_requests_and_their_end_in_one_turn(way: str, count: int) -> None:
    """All of it lies in the kernel before the loop goes on, the connection not yet accepted."""

    async def test() -> None:
        server = Server()
        async with running(server, probes=False) as node:
            assert (await node.ask(request())).status == 200
            rest(node.node.pool)  # one could be used at once
            assert node.node.pool.idle
            client = socket.create_connection(("127.0.0.1", node.port))
            client.sendall(b"".join(request("alerta", f"{n}") for n in range(count)))
            leave(client, way)
            listener = node.node.listener
            await until(lambda: listener.came == 2 and not listener.connections)
            assert len(server.requests) == 1
            assert not node.node.host.open and not node.node.host.call_ids
            client.close()
            assert (await node.ask(request())).status == 200  # one that stays is served

    play(test)


def test_a_client_that_leaves_while_nothing_is_read_from_it() -> None:
    """So much of its body waits here that reading is held back: without the mend its end was never seen."""

    async def test() -> None:
        server = Scripted(deaf)
        async with running(server, probes=False) as node:
            _, writer = await node.connect()
            head = request("alerta", extra="Transfer-Encoding: chunked\r\n").replace(b"Content-Length: 0\r\n", b"")
            writer.write(head)
            host = node.node.host
            for _ in range(4):
                writer.write(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
            await until(lambda: host.open)
            (client,) = node.node.listener.connections
            upload = client.incoming.upload
            assert upload is not None
            upload.take = lambda: b""  # type: ignore[method-assign]  # the server takes no more: it waits here
            while not client.paused:
                writer.write(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
                await asyncio.sleep(0.005)
            begun = asyncio.get_running_loop().time()
            writer.transport.abort()
            await until(lambda: not host.open)
            assert asyncio.get_running_loop().time() - begun < 2  # its time is 8 s; wide: machines are slow at times
            await until(lambda: not node.node.listener.connections)
            assert not host.call_ids and node.node.budget.used == 0

    play(test)
