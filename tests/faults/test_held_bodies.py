"""Bodies that are held up by the node itself, with nobody who would let them go on."""

from __future__ import annotations

import pytest

from cloverhold.bodies.upload import WINDOW
from loopback import Server, play, read_answer, request, running, until


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
