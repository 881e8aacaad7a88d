"""Counters and log lines: complete in number, bounded in lines, and safe against what peers choose."""

from __future__ import annotations

import logging
from pathlib import Path

import pytest

from cloverhold.net.telemetry import LINES_PER_S, VALUE_LIMIT, Happening, Telemetry
from loopback import OK, Server, play, read_answer, request
from node_process import node_process
import asyncio


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
