"""A node is restarted by plan while a client takes two seconds to read an answer; the node exits and cuts it off."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))

from stand import HOST, CannotRun, Discovery, Node, Record, Request, Server, free_port, head, main, settings

ROUNDS = 5  # restarts
LAST, LAST_AFTER_S = 8192, 1.0  # bytes of an answer that the server gives last, and how long after the others
PAUSE_S = 2.0  # a client reads nothing for so long behind the head of its answer
TERM_AFTER_S = 0.3  # behind the request
KILL_S = 3.7  # SIGKILL comes no sooner after SIGTERM: deadlines of 3 s or more, and 0.7 s
SEGMENT, QUEUE = 1448, 16384  # as on an Ethernet link; a client's receive queue
LEAST_SIZE, MOST_SIZE, STEP = 100_000, 2_000_000, 4_000  # of answers that are tried
KEPT_BACK = 24_000  # how much shorter the answers are than the longest that the node takes at once


async def long_answer(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
    """Write nearly the whole answer at once, and the rest somewhat later."""
    size = int(request.headers["x-call-info"].partition("=")[2])
    writer.write(f"HTTP/1.1 200 -\r\nContent-Length: {size}\r\n\r\n".encode() + bytes(size - LAST))
    await asyncio.sleep(LAST_AFTER_S if request.id().startswith("c") else 0.0)
    writer.write(bytes(LAST))
    await writer.drain()
    server.record.note(f"server {server.uid} has given all of its answer to {request.id()}")


async def ask(node: Node, record: Record, call_id: str, size: int) -> tuple[socket.socket, int]:
    """Send a request, and read the head of its answer; the connection, and what came of the answer's body."""
    loop, sock, data = asyncio.get_running_loop(), socket.socket(), b""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, QUEUE)
    sock.connect((HOST, node.port))
    sock.setblocking(False)
    record.note(f"client sends consulta {call_id} with 4000 ms; the answer has {size} bytes")
    await loop.sock_sendall(sock, head(call_id, "consulta", 4000, more=f"X-Call-Info: size={size}\r\n"))
    while b"\r\n\r\n" not in data:
        if not (part := await asyncio.wait_for(loop.sock_recv(sock, 1024), 5)):
            break
        data += part
    return sock, len(data.partition(b"\r\n\r\n")[2])


async def read_rest(sock: socket.socket, got: int, size: int) -> int:
    """Read to the end of the answer, or of the connection; what came of the answer's body."""
    loop = asyncio.get_running_loop()
    while got < size:
        try:
            part = await asyncio.wait_for(loop.sock_recv(sock, 65536), 10)
        except OSError:
            break
        if not part:
            break
        got += len(part)
    return got


async def served(node: Node) -> int:
    """How many requests the node has served, by the operators' call."""
    reader, writer = await asyncio.open_connection(*node.config["mgmt"].split(":"))
    writer.write(b"GET /_metrics HTTP/1.1\r\nHost: management\r\n\r\n")
    body = (await reader.read()).partition(b"\r\n\r\n")[2]
    writer.close()
    return int(json.loads(body).get("request_ended.served", 0))


async def longest(node: Node, record: Record) -> int:
    """The longest answer that the node takes from its server at once though its client reads nothing."""
    least, most, number = LEAST_SIZE, MOST_SIZE, 0
    while most - least > STEP:
        size, before, number = (least + most) // 2, await served(node), number + 1
        sock, _ = await ask(node, record, f"size{number}", size)
        await asyncio.sleep(0.3)
        least, most = (size, most) if await served(node) > before else (least, size)
        sock.close()
    return least


async def one_restart(node: Node, record: Record, call_id: str, size: int, trouble: bool) -> bool:
    """One request across one planned restart; whether its answer was cut off."""
    began = time.monotonic()
    sock, got = await ask(node, record, call_id, size)
    with sock:
        if trouble:
            await asyncio.sleep(TERM_AFTER_S)
            node.signal(signal.SIGTERM)
            record.note("the node gets SIGTERM")
        told_at = time.monotonic()
        await asyncio.sleep(max(0.0, PAUSE_S - (told_at - began)))
        got = await read_rest(sock, got, size)
    record.note(f"client has {got} of {size} bytes of {call_id}, {time.monotonic() - began:.2f} s after its request")
    if not trouble:
        told_at = time.monotonic()
        node.signal(signal.SIGTERM)
        record.note("the node gets SIGTERM")
    assert node.process is not None
    try:
        code = await asyncio.wait_for(node.process.wait(), told_at + KILL_S - time.monotonic())
    except TimeoutError:
        record.note("the node has not ended by itself, and gets SIGKILL")
        return False
    record.note(f"the node has ended with {code}")
    if code != 0:
        raise CannotRun(f"the node ended with {code}")
    return got < size


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Restart after restart; whether an answer was cut off at any."""
    discovery, server = Discovery(), Server("s1", record, long_answer)
    await discovery.start()
    await server.start()
    discovery.set("s1", server.endpoint)
    nodes, size, cut = list[Node](), 0, 0
    try:
        for number in range(ROUNDS):
            node = Node(folder, discovery.address, settings(), discovery.whole())
            nodes.append(node)
            node.config["mgmt"] = f"{HOST}:{free_port()}"
            await node.start()
            await node.ready()
            await asyncio.sleep(0.2)
            size = size or await longest(node, record) - KEPT_BACK
            cut += await one_restart(node, record, f"c{number}", size, trouble)
            await node.end()
        record.note(f"{cut} of {ROUNDS} answers were cut off")
        return cut > 0
    finally:
        for node in nodes:
            await node.end()
        server.stop()
        discovery.stop()


if __name__ == "__main__":
    main(__file__, play)
