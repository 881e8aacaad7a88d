"""Three nodes; one hands its socket to a later process, and one of the two is killed at each step. The number stays one
member, clients are answered, and nothing runs twice.
"""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
from loopback import OK, WAIT_S, Server, free_ports, play, read_answer, request, until
from ops.test_inherited import UNSAFE, listening, manage, process
from test_process import SETTINGS

from cloverhold.rehearsal.relays import hold_words

OPERATOR = """[membership]
fleet = "upgraded"
period_ms = 100
silence_ms = 600
asleep_ms = 500
forget_ms = 60000
join_ms = 800
settle_ms = 200
"""
KILLS = ("nobody", "new at its start", "new when ready", "old before its stop", "old while it stops")


async def members(port: int) -> dict[str, Any]:
    """What a node says of its fellows; nothing where nobody listens."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /_members HTTP/1.1\r\nHost: x\r\n\r\n")
        whole = await asyncio.wait_for(reader.read(), WAIT_S)
        writer.close()
        return json.loads(whole.partition(b"\r\n\r\n")[2])  # type: ignore[no-any-return]
    except (OSError, ValueError):
        return {}


async def agrees(port: int) -> bool:
    """Whether a node acts on the view that all three live."""
    told = await members(port)
    return bool(told.get("acts_on_view")) and [m["state"] for m in told["members"]] == ["alive"] * 3


async def until_agreed(*ports: int) -> None:
    async with asyncio.timeout(WAIT_S):
        while not all([await agrees(port) for port in ports]):
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("killed", KILLS)
def test_a_number_stays_one_member_whoever_is_killed_in_an_upgrade(tmp_path: Path, killed: str) -> None:
    async def test() -> None:
        server = Server(lambda target, body: OK)
        await server.start()
        operator = tmp_path / "operator.toml"
        operator.write_text(OPERATOR)
        words = [hold_words() for _ in range(3)]
        peers = [f"127.0.0.1:{held.getsockname()[1]}" for held in words]
        ports = free_ports(4)
        ended, sent, answered = False, 0, 0

        async def client(name: int, port: int) -> None:
            """Asks on and on; what a killed process held is not asked for again."""
            nonlocal sent, answered
            peer = None
            while not ended:
                try:
                    peer = peer or await asyncio.open_connection("127.0.0.1", port)
                    sent += 1
                    peer[1].write(request("alerta", f"{name}-{sent}", body=b"x"))
                    answer = await read_answer(peer[0])
                    answered += answer.status == 200
                    closes = answer.fields.get(b"connection") == b"close"
                except (OSError, AssertionError):
                    closes = True
                if closes and peer is not None:
                    peer[1].close()
                    peer = None
                await asyncio.sleep(0.002)

        async with AsyncExitStack() as stack:
            doors = [stack.enter_context(listening()) for _ in range(3)]

            def begins(number: int, mgmt: int, *, ready: bool = True) -> Any:
                (folder := tmp_path / str(number)).mkdir(exist_ok=True)
                limits = {**SETTINGS["Limits"], "Peers": True}
                settings = {**SETTINGS, "GroupSize": 3, "Me": number, "Limits": limits,
                            "Profiles": [*SETTINGS["Profiles"], UNSAFE]}  # fmt: skip
                return process(
                    folder, doors[number], server, mgmt, operator=str(operator), ready=ready, settings=settings,
                    peer_listen=peers[number], peers=peers,
                )  # fmt: skip

            for number in (0, 1):
                await stack.enter_async_context(begins(number, ports[number]))
            old = await stack.enter_async_context(begins(2, ports[2]))
            await until_agreed(*ports[:3])
            port = doors[2].getsockname()[1]
            clients = [asyncio.create_task(client(name, port)) for name in range(4)]
            new = await stack.enter_async_context(begins(2, ports[3], ready=killed != "new at its start"))
            match killed:
                case "new at its start" | "new when ready":
                    new.kill()
                    await new.wait()
                case "old before its stop":
                    old.kill()
                    await old.wait()
                case _:
                    old.send_signal(signal.SIGTERM)
                    if killed == "old while it stops":
                        await asyncio.sleep(0.05)
                        old.kill()
                    await old.wait()
            lives = 2 if killed.startswith("new") else 3
            await until_agreed(ports[0], ports[1], ports[lives])
            assert await manage(ports[lives], "GET /_ready") == 200
            seen = answered
            await until(lambda: answered > seen + 20)
            ended = True
            await asyncio.gather(*clients)
            assert sent - answered <= 2 * len(clients), "only what a killed process held has no answer"
            assert len(server.requests) == len({head for _, head, _ in server.requests}), "nothing ran twice"
        for held in words:
            held.close()
        server.stop()

    play(test)
