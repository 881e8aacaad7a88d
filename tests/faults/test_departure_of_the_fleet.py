"""A whole fleet leaves, and the discovery of one node of two says so oddly, or left it out of its changes."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop

from altered_discovery import CutOff, FleetLeaves
from discovery_service import DiscoveryService
from drain_play import ASK_SETTINGS, LEAST_USE, NOTIFIED_S, PUSH_SETTINGS
from fleet_departure_play import SLOW_ANSWER_S, Departure, Play, cut_off, leaves, play_departure
from loopback import Server, play, read_answer, request, target
from node_process import node_process

# What an agent has counts at once; what a polled discovery has, 6 s later at the latest.
MODES = pytest.mark.parametrize(
    ("settings", "notified_s"),
    [pytest.param(PUSH_SETTINGS, 0.0, id="streamed"), pytest.param(ASK_SETTINGS, NOTIFIED_S, id="polled")],
)
RETURN_S, SERVED_S = 6.0, 1.0  # to a fleet that is named again there are requests from then on
LARGE = 320  # servers: polled, such a list is compared each 25 s
EMPTY_LISTS = (
    FleetLeaves.EMPTY_LIST,
    FleetLeaves.EMPTY_LIST_OF_THE_SAME_VERSION,
    FleetLeaves.EMPTY_LIST_OF_A_LOWER_VERSION,
    FleetLeaves.EMPTY_LIST_ONCE,
    FleetLeaves.EMPTY_LIST_BESIDE_A_REPLICA,
)
BARE_LINES = FleetLeaves.BARE_LINES_LEAVING, FleetLeaves.BARE_LINES_LEFT, FleetLeaves.WEIGHTS_UNREADABLE


def check(folder: Path, settings: dict[str, Any], notified_s: float, departures: dict[str, Departure]) -> None:
    """Play them side by side; the altered node sends nothing past the grace."""

    async def broken(number: int, name: str, departure: Departure) -> str:
        found = await play_departure(folder / str(number), settings, departure, notified_s)
        return f"{name}: {found['n1']}" if found["n1"].count else ""

    async def test() -> None:
        plays = (broken(number, name, how) for number, (name, how) in enumerate(departures.items()))
        found = await asyncio.gather(*plays)
        assert not any(found), [text for text in found if text]

    uvloop.run(test())


@MODES
def test_whole_list_that_names_nobody_means_that_all_are_gone(
    tmp_path: Path, settings: dict[str, Any], notified_s: float
) -> None:
    check(tmp_path, settings, notified_s, {how.value: leaves(how) for how in EMPTY_LISTS})


@MODES
def test_state_that_is_sure_counts_though_no_line_of_a_whole_list_is_whole(
    tmp_path: Path, settings: dict[str, Any], notified_s: float
) -> None:
    check(tmp_path, settings, notified_s, {how.value: leaves(how) for how in BARE_LINES})


@MODES
def test_what_changes_left_out_while_versions_counted_on_is_found(
    tmp_path: Path, settings: dict[str, Any], notified_s: float
) -> None:
    cuts = {f"{how.value} {replaced}": cut_off(how, replaced=replaced) for how in CutOff for replaced in (True, False)}
    check(tmp_path, settings, notified_s, cuts)


@pytest.mark.parametrize("settings", [PUSH_SETTINGS, ASK_SETTINGS], ids=["streamed", "polled"])
def test_what_changes_left_out_is_found_though_a_call_is_always_open(tmp_path: Path, settings: dict[str, Any]) -> None:
    slow = cut_off(CutOff.COUNTS_ON, replaced=True, delay_s=SLOW_ANSWER_S)
    check(tmp_path, settings, NOTIFIED_S, {"slow answers": slow})


def test_what_changes_left_out_of_a_large_polled_list_is_found_in_6_s(tmp_path: Path) -> None:
    async def test() -> None:
        cut = cut_off(CutOff.COUNTS_ON, replaced=True)
        found = await play_departure(tmp_path, ASK_SETTINGS, cut, NOTIFIED_S, servers=LARGE)
        assert not found["n1"].count, str(found["n1"])

    uvloop.run(test())


@MODES
def test_fleet_that_is_named_again_gets_work_within_seconds_by_a_later_version_and_by_a_lost_store(
    tmp_path: Path, settings: dict[str, Any], notified_s: float
) -> None:
    async def returns(anew: bool) -> int:
        async def named_again(play: Play) -> None:
            play.discovery.come_back(anew=anew)
            await asyncio.sleep(RETURN_S + SERVED_S)
            served.append(play.sent("n1", time.monotonic() - SERVED_S))

        served, folder = list[int](), tmp_path / str(anew)
        await play_departure(folder, settings, leaves(FleetLeaves.EMPTY_LIST), notified_s, then=named_again)
        return served[0]

    async def test() -> None:
        assert min(await asyncio.gather(returns(False), returns(True))) >= LEAST_USE

    uvloop.run(test())


def test_node_whose_first_list_names_nobody_is_ready_and_serves_once_a_list_names_somebody(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        await server.start()
        async with node_process(tmp_path, settings=PUSH_SETTINGS, discovery=DiscoveryService) as node:
            reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
            writer.write(request(budget="300m"))
            assert (await read_answer(reader)).status == 503
            node.catalog.change([target("s0", server.port)])
            writer.write(request(number="2"))
            assert (await read_answer(reader)).status == 200
            writer.close()
        server.stop()

    play(test)
