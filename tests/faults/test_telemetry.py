"""Counters and log lines: complete in number, bounded in lines, and safe against what peers choose."""

from __future__ import annotations

import asyncio
import logging
import re
from pathlib import Path

import pytest

from cloverhold.net.telemetry import LINES_PER_S, VALUE_LIMIT, Happening, Telemetry
from loopback import OK, Scripted, Server, play, read_answer, request, until
from node_process import node_process


def test_every_event_is_counted_and_lines_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    now = [0.0]
    telemetry = Telemetry(lambda: now[0])
    caplog.set_level(logging.INFO)
    for _ in range(100):
        telemetry.event(Happening.CONNECTION_CLOSED, "idle")
    assert telemetry.get(Happening.CONNECTION_CLOSED, "idle") == 100 and len(caplog.records) == LINES_PER_S
    now[0] = 1.0
    telemetry.event(Happening.CONNECTION_CLOSED, "idle")
    assert caplog.messages[-1] == f"connection_closed: reason=idle lines_omitted={100 - LINES_PER_S}"


def test_frequent_event_does_not_hide_a_rare_one(caplog: pytest.LogCaptureFixture) -> None:
    telemetry = Telemetry(lambda: 0.0)
    caplog.set_level(logging.INFO)
    for _ in range(100):
        telemetry.event(Happening.REQUEST_ENDED, "refused_by_policy")
    telemetry.event(Happening.REQUEST_ENDED, "policy_fault")
    assert caplog.messages[-1] == "request_ended: reason=policy_fault"


def test_bytes_of_a_peer_cannot_forge_a_log_line(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    Telemetry().event(Happening.REQUEST_ENDED, "served", id=b"1\nERROR forged" + 1000 * b"x")
    assert "\n" not in caplog.messages[0] and len(caplog.messages[0]) < 2 * VALUE_LIMIT


def test_node_tells_its_counters_at_the_management_address(tmp_path: Path) -> None:
    async def test() -> None:
        async with node_process(tmp_path, Server(lambda target, body: OK)) as node:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            writer.write(request("alerta"))
            assert (await read_answer(reader)).status == 200
            told = await node.metrics()
            assert told["request_taken.alerta"] == told["request_ended.served"] == told["attempt_begun.first"] == 1
            assert told["phase_entered.serving"] == 1 and not any("violated" in name for name in told)
            writer.close()

    play(test)


def test_log_line_has_its_time_and_the_end_of_a_servers_connection_its_reason(tmp_path: Path) -> None:
    """The logs of report 4021a4 could not tell when, or why, a server's connection had ended."""

    async def script(head: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
        await writer.drain()
        writer.transport.abort()

    async def test() -> None:
        async with node_process(tmp_path, Scripted(script)) as node:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            writer.write(request("alerta", number="7f"))
            assert (await read_answer(reader)).status == 502
            await until(lambda: any("server_connection_ended: reason=" in line for line in node.log))
            line = next(line for line in node.log if "server_connection_ended" in line)
            assert re.match(r"INFO 20\d\d-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z ", line)
            assert "id=b'7f'" in line and "sent=True" in line
            told = await node.metrics()
            assert sum(count for name, count in told.items() if name.startswith("server_connection_ended.")) >= 1
            writer.close()

    play(test)
