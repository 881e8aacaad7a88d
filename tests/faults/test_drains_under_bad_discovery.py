"""A real node hears of a drain in time while its discovery is slow, crowded, trickling, silent or half-silent."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from discovery_service import Answer, DiscoveryService
from drain_play import ASK_SETTINGS, NOTIFIED_S, PUSH_SETTINGS, check

LONGEST_WATCH_S = 21.5  # a watch of up to 20 s, and what its answer is waited for


@pytest.mark.parametrize("delay_s", [0.3, 0.5, 1.0, 2.0])
def test_pushed_drain_is_heard_though_each_answer_is_slow(tmp_path: Path, delay_s: float) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.delay_s = delay_s
        await asyncio.sleep(4.0)

    check(tmp_path, PUSH_SETTINGS, trouble, 2 * delay_s)


def test_pushed_drain_is_heard_though_abandoned_calls_crowd_the_agent(tmp_path: Path) -> None:
    """The agent is silent for some seconds, then works through all calls in turn, dead ones too."""

    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.call_s = 0.15
        await asyncio.sleep(5.0)

    check(tmp_path, PUSH_SETTINGS, trouble, 1.5)


def test_pushed_drain_is_heard_though_the_answer_trickles(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.trickle_s = 0.012  # 1.2 s for the drain's list
        await asyncio.sleep(2.0)

    check(tmp_path, PUSH_SETTINGS, trouble, 2.0)


def test_pushed_drain_that_the_agent_gets_at_its_return_is_heard_within_the_grace(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.be_silent(True)
        await asyncio.sleep(8.0)
        service.be_silent(False)

    check(tmp_path, PUSH_SETTINGS, trouble, 0.0)


@pytest.mark.parametrize("delay_s", [1.0, 2.0])
def test_asked_service_that_answers_slowly_after_a_quiet_time_is_heard(tmp_path: Path, delay_s: float) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.conditions.delay_s = delay_s
        await asyncio.sleep(LONGEST_WATCH_S + 2.0)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)


def test_asked_service_that_resets_then_refuses_then_loses_a_call_is_heard_in_6_s(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(2.0)
        service.conditions.next_calls.extend([Answer.UNAVAILABLE, Answer.NONE])
        service.reset_open_calls()

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)


@pytest.mark.parametrize("state", ["leaving", "left"])
def test_watch_begun_while_the_service_was_silent_is_not_trusted_for_its_wait(tmp_path: Path, state: str) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(2.0)
        service.be_silent(True)
        service.reset_open_calls()
        await asyncio.sleep(3.0)
        service.be_silent(False)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S, state)


def test_watch_begun_into_a_silence_without_any_failure_is_not_trusted_for_its_wait(tmp_path: Path) -> None:
    """The silence begins behind an answer, so that no call fails before the watch that is lost."""

    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(2.0)
        service.conditions.next_calls.append(Answer.NONE)
        service.change([])  # answers the open watch; the next one is lost
        await asyncio.sleep(0.5)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)


def test_asked_service_that_is_crowded_after_an_outage_is_heard_in_6_s(tmp_path: Path) -> None:
    async def trouble(service: DiscoveryService) -> None:
        await asyncio.sleep(1.0)
        service.be_silent(True)
        service.reset_open_calls()
        await asyncio.sleep(6.0)
        service.conditions.call_s = 0.7
        service.be_silent(False)

    check(tmp_path, ASK_SETTINGS, trouble, NOTIFIED_S)
