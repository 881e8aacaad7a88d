"""What a node says of its calls to discovery: counters, log lines and gauges."""

from __future__ import annotations

import asyncio
from pathlib import Path

from click.testing import CliRunner

from altered_discovery import AlteredDiscovery, CutOff, FleetLeaves
from cloverhold.fleet.command import main
from discovery_service import Answer, DiscoveryService
from loopback import Server, play, target
from misreporting_service import Misreport, MisreportingService
from node_process import NodeProcess, node_process

SETTINGS = {"RegistryMode": "subscribe"}


async def counted(node: NodeProcess, name: str, least: float = 1) -> dict[str, float]:
    """The metrics, once a counter has come so far."""
    async with asyncio.timeout(20.0):
        while (metrics := await node.metrics()).get(name, 0) < least:
            await asyncio.sleep(0.05)
    return metrics


def test_silence_refusals_and_drains_are_counted_and_logged(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = Server(), Server()
        async with node_process(tmp_path, first, second, settings=SETTINGS, discovery=DiscoveryService) as node:
            service: DiscoveryService = node.catalog
            before = await counted(node, "discovery_call_begun.watch")
            assert before["discovery.version"] == 1 and before["discovery.open_calls"] == 1
            assert "discovery_state.not_answering" not in before
            service.conditions.next_calls.append(Answer.UNAVAILABLE)
            service.reset_open_calls()
            await counted(node, "discovery_call_ended.refused")
            after = await counted(node, "discovery_state.answering")
            assert after["discovery_call_ended.broken"] == after["discovery_call_ended.refused"] == 1
            await counted(node, "discovery_call_begun.watch", before["discovery_call_begun.watch"] + 1)
            service.lose_open_calls()
            await counted(node, "discovery_call_ended.superseded")
            service.change([target("s0", first.port, "leaving")])
            metrics = await counted(node, "servers_changed.draining")
            assert metrics["discovery.version"] == 2 and metrics["list_taken.changes"] == 1
            lines = [line for line in node.log if "discovery_" in line or "servers_changed" in line]
            for text in (
                "reason=broken call=2 kind='watch' since=1",
                "reason=refused call=3 kind='check' since=1",
                "error='status 503'",
                "reason=not_answering",
                "reason=answering",
                "reason=superseded",
                "reason=draining version=2 servers=1",
            ):
                assert any(text in line for line in lines), (text, lines)

    play(test)


def test_answers_by_which_versions_go_back_are_counted_and_logged_with_both_versions(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with node_process(tmp_path, server, settings=SETTINGS, discovery=MisreportingService) as node:
            service: MisreportingService = node.catalog
            await counted(node, "discovery_answer.take")
            service.misreport(Misreport.EVERY_OTHER_CALL_IS_STALE)
            service.change([target("s0", server.port)])
            service.reset_open_calls()
            metrics = await counted(node, "discovery_answer.lower_version")
            assert metrics["discovery.no_news_ms"] < 20_000
            lines = [line for line in node.log if "reason=lower_version" in line]
            assert any("version=1 held=2" in line for line in lines), node.log

    play(test)


def test_list_that_names_nobody_and_what_changes_left_out_are_logged_shown_and_told_by_a_command(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        server = Server()
        async with node_process(tmp_path, server, settings=SETTINGS, discovery=AlteredDiscovery) as node:
            service: AlteredDiscovery = node.catalog

            async def told() -> str:
                arguments = ["list", "--at", f"127.0.0.1:{node.management_port}"]
                return (await asyncio.to_thread(CliRunner().invoke, main, arguments)).output

            await counted(node, "discovery_answer.take")
            assert await told() == "version 40: 1 servers, 0 of them get nothing new\n"
            service.cut_off(CutOff.COUNTS_ON)
            service.change([target("s0", server.port, "leaving")])
            await counted(node, "discovery.version", 41)
            service.heal()
            metrics = await counted(node, "changes_left_out.found")
            assert metrics["discovery.listed_servers"] == 1 and metrics["discovery.names_nobody_ms"] == 0
            service.leave(FleetLeaves.EMPTY_LIST)
            metrics = await counted(node, "list_names_nobody.begins")
            assert metrics["discovery.listed_servers"] == 0 and metrics["discovery.names_nobody_ms"] >= 0
            first, second = (await told()).splitlines()
            assert first == "version 42: 0 servers, 0 of them get nothing new"
            assert "the list names nobody, for " in second
            assert second.endswith(f"by version 42 of discovery at 127.0.0.1:{service.port}")
            service.change([target("s1", server.port)])
            service.leaves = None
            metrics = await counted(node, "list_names_nobody.ends")
            assert metrics["discovery.listed_servers"] == 2 and metrics["discovery.names_nobody_ms"] == 0
            for text in (
                "changes_left_out: reason=found servers=('s0',) version=41 whole=True",
                "list_names_nobody: reason=begins version=42 whole=True",
                "list_names_nobody: reason=ends for_s=",
            ):
                assert any(text in line for line in node.log), (text, node.log)

    play(test)
