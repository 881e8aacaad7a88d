"""A real node hears of a drain, and keeps to it, though answers are odd or differ between connections."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from drain_play import ASK_SETTINGS, NOTIFIED_S, PUSH_SETTINGS, check
from misreporting_service import Misreport, MisreportingService

# What an agent has counts at once; a polled answer that may say otherwise elsewhere, 6 s later at the latest.
PUSHED, POLLED = pytest.param(PUSH_SETTINGS, 0.0, id="pushed"), pytest.param(ASK_SETTINGS, NOTIFIED_S, id="polled")

VERSIONS_BEFORE = 20
LONGEST_WATCH_S = 3.5  # one that was begun before is over


def play(folder: Path, settings: dict[str, Any], how: Misreport, notified_s: float, state: str = "leaving") -> None:
    async def trouble(service: MisreportingService) -> None:
        await asyncio.sleep(1.0)
        for _ in range(VERSIONS_BEFORE):
            service.change([line for _, line in service.targets.values()])
            await asyncio.sleep(0.05)
        service.misreport(how)
        await asyncio.sleep(LONGEST_WATCH_S)

    check(folder, settings, trouble, notified_s, state, MisreportingService)


@pytest.mark.parametrize(("settings", "notified_s"), [PUSHED, POLLED])
@pytest.mark.parametrize("state", ["leaving", "left"])
def test_connection_that_answers_without_news_for_ever_is_not_relied_on(
    tmp_path: Path, settings: dict[str, Any], notified_s: float, state: str
) -> None:
    play(tmp_path, settings, Misreport.OPEN_CONNECTIONS_SAY_NOTHING, notified_s, state)


def test_pushed_changes_that_are_told_by_the_whole_list_alone_are_heard(tmp_path: Path) -> None:
    play(tmp_path, PUSH_SETTINGS, Misreport.WATCHES_SAY_NOTHING, 0.0)


@pytest.mark.parametrize(("settings", "notified_s"), [PUSHED, POLLED])
@pytest.mark.parametrize("how", [Misreport.EVERY_OTHER_CALL_IS_STALE, Misreport.EVERY_OTHER_CONNECTION_IS_STALE])
@pytest.mark.parametrize("state", ["leaving", "left"])
def test_older_list_of_a_replica_that_stands_still_takes_no_drain_back(
    tmp_path: Path, settings: dict[str, Any], notified_s: float, how: Misreport, state: str
) -> None:
    play(tmp_path, settings, how, notified_s, state)


@pytest.mark.parametrize("settings", [PUSH_SETTINGS, ASK_SETTINGS], ids=["pushed", "polled"])
@pytest.mark.parametrize("state", ["leaving", "left"])
def test_line_that_cannot_be_read_costs_no_other_line(tmp_path: Path, settings: dict[str, Any], state: str) -> None:
    play(tmp_path, settings, Misreport.LINES_ARE_UNREADABLE, 0.0, state)


@pytest.mark.parametrize("settings", [PUSH_SETTINGS, ASK_SETTINGS], ids=["pushed", "polled"])
@pytest.mark.parametrize("how", [Misreport.SERVERS_ARE_NAMED_TWICE, Misreport.SERVERS_ARE_ALWAYS_NAMED_TWICE])
def test_drain_of_a_server_that_is_named_twice_is_heard(
    tmp_path: Path, settings: dict[str, Any], how: Misreport
) -> None:
    play(tmp_path, settings, how, 0.0)


@pytest.mark.parametrize(("settings", "notified_s"), [PUSHED, POLLED])
@pytest.mark.parametrize("state", ["leaving", "left"])
def test_drain_told_by_versions_that_begin_anew_is_heard(
    tmp_path: Path, settings: dict[str, Any], notified_s: float, state: str
) -> None:
    play(tmp_path, settings, Misreport.VERSIONS_BEGIN_ANEW, notified_s, state)
