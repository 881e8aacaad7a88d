"""Watches that fall silent, are reset or meet a fault, on real sockets: what may be missed, and for how long."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import threading
import time
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest

from cloverhold import ListKind, ServerList, SetTimer, Settings, Timer
from cloverhold.decision.decide import Balancer
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.call_times import CallTimes
from cloverhold.net.discovery.calls import Begin, CallSchedule
from cloverhold.net.discovery.server_list import Members
from cloverhold.net.discovery.watcher import Discovery
from cloverhold.net.telemetry import Happening, Telemetry
from loopback import ASKED, PUSHED, Catalog, Server, free_ports, list_value, play, request, running, target, until


class Mute(Catalog):
    """Discovery that swallows calls: those it has been given for good, and so many of those that come."""

    def __init__(self, targets: list[dict[str, Any]], swallows: int = 0) -> None:
        super().__init__(targets)
        self.swallows = swallows

    async def serve(self, asked: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if self.swallows:
            self.swallows -= 1
            self.requests.append((asked, head, body))
            return False
        return await super().serve(asked, head, body, writer)


def begins_in_a_silence(settings: Settings, seed: int, seconds: float) -> list[float]:
    """When calls begin, from a watch on that is lost as all after it are."""
    chance = random.Random(seed)
    schedule, now, begun = CallSchedule(lambda: CallTimes.of(settings, chance), chance, version=1), 0.0, list[float]()
    schedule.start(now)
    while now < seconds:
        begun.extend(now for action in schedule.tick(now) if isinstance(action, Begin))
        now = schedule.next_at
    return begun


@pytest.mark.parametrize("grace", [100.0, 300.0, 500.0, 2000.0, 60000.0])
def test_what_a_silent_watch_missed_is_asked_for_before_it_counts_as_told(grace: float) -> None:
    """Also where the first call behind the watch falls silent too."""
    for seed in range(50):
        polled = begins_in_a_silence(replace(ASKED, drain_grace_ms=grace), seed, 60.0)
        assert polled[2] < 5.0 and max(b - a for a, b in pairwise(polled[1:])) <= 2.0
        streamed = begins_in_a_silence(replace(PUSHED, drain_grace_ms=grace), seed, 60.0)
        assert max(b - a for a, b in pairwise(streamed)) <= max(0.1, min(1.0, grace / 1000 / 2))


@pytest.mark.parametrize("must_ask", [None, 1000.0, 10000.0, 60000.0])
def test_a_service_that_is_back_is_asked_twice_before_its_news_counts_as_told(must_ask: float | None) -> None:
    """6 s behind its return, however long it was away and whatever else the settings allow. Without the mend the second
    call came after up to 10 s, or up to 60.
    """
    settings = replace(ASKED, must_ask_ms=must_ask)
    balancer, times = Balancer(settings, 1), CallTimes.of(settings, random.Random(1))
    schedule = CallSchedule(lambda: times, random.Random(1), version=1)
    schedule.start(0.0)
    for failure in range(40):
        now = 100_000.0 * failure
        (delay,) = [a.delay_ms for a in balancer.handle(now, ServerList(ListKind.ERROR)) if isinstance(a, SetTimer)]
        assert 2 * (delay + 1000 * 0.6) < 6000 and delay <= (must_ask or 4000.0) / 2
        balancer.handle(now + delay, Timer(failure + 1))
        (begin,) = schedule.tick(schedule.next_at)
        schedule.failed(begin.call.number, now / 1000, 503)
        backoff = 1000 * schedule.next_at - now
        assert 2 * (backoff + 1000 * times.patience_s) < 6000 and backoff <= (must_ask or 4000.0) / 2


def test_two_silent_calls_in_a_row_cost_a_node_that_asks_no_news(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the mend: the next call came 22 s later, and behind a back-off."""

    async def test() -> None:
        times = CallTimes(0.3, 0.2, 0.2, 1.0, 2.0, 0.1, 0.2, 3)
        monkeypatch.setattr(CallTimes, "of", classmethod(lambda cls, settings, chance: times))
        service, told, failed = Mute([target("s0", 9)], swallows=2), list[Members](), list[int]()
        await service.start()
        service.rev = 42
        discovery = Discovery(
            ("127.0.0.1", service.port), Clock(), told.append, lambda: failed.append(1), lambda: ASKED
        )
        discovery.resume(Members(41, True, (), {}))
        discovery.watch()
        await until(lambda: told)
        holds = [asked.split("hold_ms=")[1] for asked, _, _ in service.requests[:3]]
        assert holds == ["300", "1", "1"] and not failed and told[0].version == 42
        discovery.stop()
        service.stop()

    play(test)


def test_an_agent_that_was_silent_is_heard_of_at_its_return() -> None:
    """A drain that it got meanwhile counts at once. Without the mend: known after up to 22 s."""

    async def test() -> None:
        lines = [target("s0", 9), target("s1", 9)]
        agent, told = Mute(lines), list[Members]()
        await agent.start()
        discovery = Discovery(("127.0.0.1", agent.port), Clock(), told.append, lambda: None, lambda: PUSHED)
        discovery.watch()
        await until(lambda: told)
        agent.swallows = 10**9
        await until(lambda: sum("hold_ms=1" in asked.split("&")[-1] for asked, _, _ in agent.requests) > 3)
        agent.rev, agent.targets = 2, [{**line, "state": "leaving"} for line in lines]
        agent.swallows, back = 0, time.monotonic()
        await until(lambda: len(told) > 1)
        assert time.monotonic() - back < 5.0  # wide: machines are slow at times
        discovery.stop()
        agent.stop()

    play(test)


def test_a_watch_that_is_asked_for_inside_the_word_of_a_failure_begins() -> None:
    """Without the mend it was ignored, as the task that tells so had not ended, and nobody watched any more."""

    async def test() -> None:
        (port,), calls = free_ports(1), list[int]()

        def failed() -> None:
            calls.append(1)
            if len(calls) < 3:
                discovery.watch()

        discovery = Discovery(("127.0.0.1", port), Clock(), lambda members: None, failed, lambda: ASKED)
        discovery.watch()
        await until(lambda: len(calls) == 3)
        discovery.stop()

    play(test)


def test_a_fault_behind_a_list_does_not_end_the_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("cloverhold.net.discovery.watcher.RESTART_DELAY_S", 0.01)
        service, told = Catalog([target("s0", 9)]), list[Members]()
        await service.start()

        def fault(members: Members) -> None:
            told.append(members)
            if len(told) == 1:
                raise RuntimeError("a fault of the node")

        discovery = Discovery(("127.0.0.1", service.port), Clock(), fault, lambda: None, lambda: PUSHED)
        discovery.watch()
        await until(lambda: len(told) == 2)
        assert told[1].full and ["from=" in asked for asked, _, _ in service.requests[:2]] == [False, False]
        discovery.stop()
        service.stop()

    play(test)


def test_an_answer_that_a_late_loop_has_not_read_is_no_silence() -> None:
    """The loop is held up past the call's time while an answer comes whose end it reads a turn later."""

    async def test() -> None:
        text = json.dumps(list_value(1, [target("s0", 9)])).encode()
        with socket.create_server(("127.0.0.1", 0)) as listening:

            def serve() -> None:
                peer, _ = listening.accept()
                peer.recv(1000)
                kept.append(peer)
                peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text[:9]))
                said.set()
                if rest.wait(5):
                    peer.sendall(text[9:])

            said, rest, kept = threading.Event(), threading.Event(), list[socket.socket]()
            threading.Thread(target=serve, daemon=True).start()
            loop, told, telemetry = asyncio.get_running_loop(), list[Members](), Telemetry()

            def hold_up() -> None:
                assert said.wait(5)
                time.sleep(2.0)  # as long as many calls may take
                loop.call_later(0.005, rest.set)

            loop.call_later(0.15, hold_up)
            address = ("127.0.0.1", listening.getsockname()[1])
            discovery = Discovery(address, Clock(), told.append, lambda: None, lambda: PUSHED, telemetry)
            discovery.watch()
            await until(lambda: told)
            ends = {name for name in telemetry.report() if name.startswith("discovery_call_ended.")}
            assert told[0].version == 1 and ends == {"discovery_call_ended.answered"}
            assert telemetry.get(Happening.DISCOVERY_CALL_BEGUN, "whole") == 1
            discovery.stop()
            for client in kept:
                client.close()

    play(test)


def test_list_without_a_length_is_whole_at_the_end_of_its_connection() -> None:
    """Without the mend such a discovery was never heard: each of its answers was taken for a broken connection."""

    class Closing(Catalog):
        async def serve(self, asked: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
            text = json.dumps(list_value(7, [target("s0", 9)])).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text[: 5 + len(self.requests)])
            await asyncio.sleep(0.01)
            self.requests.append((asked, head, body))
            writer.write(text[4 + len(self.requests) :])
            writer.close()
            return True

    async def test() -> None:
        service, told = Closing([]), list[Members]()
        await service.start()
        discovery = Discovery(("127.0.0.1", service.port), Clock(), told.append, lambda: None, lambda: PUSHED)
        discovery.watch()
        await until(lambda: told)
        assert told[0].version == 7 and told[0].full
        discovery.stop()
        service.stop()

    play(test)


def test_sighup_moves_discovery_while_the_old_one_is_silent_and_the_new_one_too() -> None:
    async def test() -> None:
        async with running(Server()) as node:
            new = Mute(node.catalog.targets, swallows=2)
            await new.start()
            discovery = node.node.discovery
            discovery.follow(("127.0.0.1", new.port))
            await until(lambda: len(new.requests) >= 3 and discovery.version == new.rev)
            assert "from=" not in new.requests[0][0] and node.node.host.ready()
            new.stop()

    play(test)


@pytest.mark.parametrize("mode", [ASKED, PUSHED])
def test_watches_that_are_reset_just_before_a_drain(mode: Settings) -> None:
    """Reset and drain lie in one turn of discovery; the watch is begun anew, and nothing goes there since."""

    async def test() -> None:
        first, second = Server(), Server()
        async with running(first, second, list_mode=mode.list_mode, probes=False) as node:
            lines, calls = node.catalog.targets, len(node.catalog.requests)
            if mode is ASKED:
                await until(lambda: any("from=" in asked for asked, _, _ in node.catalog.requests))
            begun = time.monotonic()
            for writer in node.catalog.writers:
                writer.transport.abort()
            node.catalog.change([{**lines[0], "state": "leaving"}, lines[1]])
            servers = node.node.host.balancer.table.servers
            await until(lambda: not servers["s0"].ready)
            assert time.monotonic() - begun < 3.0 and len(node.catalog.requests) > calls  # its first back-off is 1 s
            for number in range(8):
                assert (await node.ask(request(number=f"{number}"))).status == 200
            assert not first.requests and len(second.requests) == 8

    play(test)
