"""What discovery may say wrongly: the last good list stays, and the node goes on asking within its bound."""

from __future__ import annotations

import json
from typing import Any

import pytest
from loopback import Server, list_value, play, request, running, target, until

from cloverhold.net.clock import Clock
from cloverhold.net.discovery.server_list import ListError, read_members


@pytest.mark.parametrize(
    "said",
    [
        b"{",
        b"[" * 20000,
        json.dumps(list_value(2, [target("s0", 9), target("s0", 10)])).encode(),
    ],
    ids=["cut", "nested", "doubled"],
)
def test_a_list_that_is_none_changes_nothing_and_is_asked_for_again(said: bytes) -> None:
    async def test() -> None:
        server = Server()
        async with running(server) as run:
            run.catalog.raw = said
            run.catalog.change(run.catalog.targets)
            calls = len(run.catalog.requests)
            await until(lambda: len(run.catalog.requests) >= calls + 2)
            assert (await run.ask(request())).status == 200
            run.catalog.raw = None
            run.catalog.change([target("s0", server.port, "leaving")])
            await until(lambda: not run.node.host.balancer.table.ready)

    play(test)


@pytest.mark.parametrize("targets", [[], [{**target("s0", 9), "state": "unheard of"}]], ids=["empty", "unknown state"])
def test_server_that_a_whole_list_does_not_have_as_ready_gets_nothing_new(targets: list[dict[str, Any]]) -> None:
    async def test() -> None:
        server = Server()
        async with running(server) as run:
            run.catalog.raw = json.dumps(list_value(2, targets)).encode()
            run.catalog.change(run.catalog.targets)
            await until(lambda: not run.node.host.balancer.table.ready)
            assert (await run.ask(request(budget="300m"))).status == 503 and not server.requests

    play(test)


def test_what_voids_a_list() -> None:
    with pytest.raises(ListError):
        read_members(list_value(1, [target("s0", 9), target("s0", 9)]), Clock())
    assert not read_members(list_value(1, []), Clock()).entries


def test_changes_may_be_none() -> None:
    assert not read_members(list_value(1, [], full=False), Clock()).entries
