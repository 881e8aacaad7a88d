"""Clients read nothing for five seconds in the middle of an answer, and then go on; the node has cut it off by then."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))

from stand import HOST, CannotRun, Discovery, Node, Record, Request, Server, answer, head, main, settings

SIZES = range(100_000, 900_001, 12_500)  # of the answers, one client each; the page allows 32 MB
PAUSE_S = 5.0  # a client reads nothing for so long, once
SEGMENT, QUEUE = 1448, 16384  # as on an Ethernet link; a client's receive queue


async def long_answer(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
    """Write the whole answer, as fast as the node takes it."""
    writer.write(answer(200, bytes(int(request.headers["x-call-info"].partition("=")[2]))))
    await writer.drain()


async def ask(node: Node, record: Record, size: int, pause_s: float) -> int:
    """One client; how many bytes of its answer's body it has in the end."""
    loop, call_id = asyncio.get_running_loop(), f"c{size}"
    with socket.socket() as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE)
        sock.connect((HOST, node.port))
        sock.setblocking(False)
        more = f"X-Call-Info: size={size}\r\n"
        record.note(f"client sends consulta {call_id} with 4000 ms; the answer has {size} bytes")
        await loop.sock_sendall(sock, head(call_id, "consulta", 4000, more=more))
        data = b""
        while b"\r\n\r\n" not in data:
            if not (part := await asyncio.wait_for(loop.sock_recv(sock, 4096), 5)):
                return 0
            data += part
        got = len(data.partition(b"\r\n\r\n")[2])
        record.note(f"client has the head of {call_id}: {data.partition(b' ')[2][:3].decode()}; it reads nothing now")
        await asyncio.sleep(pause_s)
        while got < size:
            try:
                part = await asyncio.wait_for(loop.sock_recv(sock, 65536), 10)
            except OSError as error:
                record.note(f"client: {call_id}: {type(error).__name__}")
                break
            if not part:
                break
            got += len(part)
    record.note(f"client has {got} of {size} bytes of {call_id}")
    return got


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """A request of each client; whether any answer was cut off."""
    discovery, server = Discovery(), Server("s1", record, long_answer)
    await discovery.start()
    await server.start()
    discovery.set("s1", server.endpoint)
    node = Node(folder, discovery.address, settings(), discovery.whole())
    await node.start()
    try:
        await node.ready()
        await asyncio.sleep(0.3)
        got = []
        for first in range(0, len(SIZES), 4):  # few at a time: one core serves them
            some = SIZES[first : first + 4]
            got += [asyncio.create_task(ask(node, record, size, PAUSE_S if trouble else 0.0)) for size in some]
            await asyncio.sleep(0.2)
        cut = sum(had < size for had, size in zip(await asyncio.gather(*got), SIZES, strict=True))
        record.note(f"{cut} of {len(SIZES)} answers were cut off; the server ran {len(server.ran)} requests")
        if node.process is None or node.process.returncode is not None or len(server.ran) != len(SIZES):
            raise CannotRun("the node ended, or did not send each request on once")
        return cut > 0
    finally:
        await node.end()
        server.stop()
        discovery.stop()


if __name__ == "__main__":
    main(__file__, play)
