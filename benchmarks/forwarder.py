"""A bare forwarder on the node's libraries (uvloop, httptools) that takes no decision: the yardstick of its cost.

It parses each request and each answer, sends requests to the servers in turn on kept connections, and does nothing
else: no checks, no deadlines, no retries, no list, no probes. `python forwarder.py LISTEN_PORT PORT[,PORT...]`.
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from typing import cast

import httptools
import uvloop


class Upstream(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, idle: deque[Upstream]) -> None:
        self.idle = idle
        self.client: Client | None = None
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, client: Client, data: bytes) -> None:
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        client, self.client = self.client, None
        body, self.body = self.body, b""
        self.idle.append(self)
        if client is not None and client.transport is not None:
            client.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


class Client(asyncio.Protocol):
    """One connection from a client."""

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.headers = []

    def on_url(self, url: bytes) -> None:
        self.target = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_message_complete(self) -> None:
        lines = [b"%s %s HTTP/1.1\r\n" % (self.parser.get_method(), self.target)]
        lines.extend(b"%s: %s\r\n" % pair for pair in self.headers)
        lines.append(b"\r\n")
        self.forwarder.forward(self, b"".join(lines))


class Forwarder:
    """Servers in turn, with their idle connections."""

    def __init__(self, ports: list[int]) -> None:
        self.ports, self.turn = ports, 0
        self.idle: dict[int, deque[Upstream]] = {port: deque() for port in ports}
        self.tasks: set[asyncio.Task[None]] = set()

    def forward(self, client: Client, data: bytes) -> None:
        port = self.ports[self.turn % len(self.ports)]
        self.turn += 1
        if self.idle[port]:
            self.idle[port].pop().send(client, data)
            return
        task = asyncio.get_running_loop().create_task(self._dial(port, client, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _dial(self, port: int, client: Client, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, upstream = await loop.create_connection(lambda: Upstream(self.idle[port]), "127.0.0.1", port)
        upstream.send(client, data)


async def main(port: int, ports: list[int]) -> None:
    """Serve until killed."""
    forwarder = Forwarder(ports)
    server = await asyncio.get_running_loop().create_server(lambda: Client(forwarder), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), [int(p) for p in sys.argv[2].split(",")]))
