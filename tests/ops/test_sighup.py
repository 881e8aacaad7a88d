"""SIGHUP in the real program: new classes in use, broken files turned down, at any pace."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from loopback import OK, WAIT_S, play, read_answer, request, until
from test_process import SETTINGS, started

NEW = {"Name": "alerta", "AimMs": 4000.0, "DeadlineMs": 8000.0, "Repeat": "non_idempotent"}


def test_classes_come_and_go_while_a_request_is_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with started(tmp_path) as (process, port, server):
            path = tmp_path / "config.json"
            whole = json.loads(path.read_text())
            reader, writer = await asyncio.open_connection("127.0.0.1", port)

            async def ask(number: str, name: str) -> int:
                one, other = await asyncio.open_connection("127.0.0.1", port)
                other.write(request(name, number))
                status = (await read_answer(one)).status
                other.close()
                return status

            async def told(text: str) -> None:
                path.write_text(text)
                process.send_signal(signal.SIGHUP)

            writer.write(request(number="open"))
            await until(lambda: server.requests)
            server.reply = lambda target, body: OK
            assert await ask("1", "alerta") == 404
            only_new = {**whole, "settings": {**SETTINGS, "Profiles": [NEW]}}
            for text in ("", json.dumps(only_new)[:-9], json.dumps(only_new)):
                for _ in range(10):
                    await told(text)
            async with asyncio.timeout(WAIT_S):
                while await ask("2", "alerta") != 200:
                    await asyncio.sleep(0.01)
            assert await ask("3", "consulta") == 404
            server.writers[0].write(OK)
            server.writers[0].close()  # the stand-in reads no further request there
            assert (await read_answer(reader)).status == 200  # of a class that is gone
            await told(json.dumps({**only_new, "settings": {**SETTINGS, "Profiles": [{**NEW, "DeadlineMs": 0}]}}))
            assert await ask("4", "alerta") == 200
            writer.close()

    play(test)
