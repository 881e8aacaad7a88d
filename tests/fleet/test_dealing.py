"""Which nodes keep to which server."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from helpers import Node, entries

from cloverhold import ClassSettings, NewSettings, Settings
from cloverhold.decision.dealing import rank
from cloverhold.decision.table import SUBSET_SHARED


def told(me: int, nodes: int, living: tuple[int, ...] | None = None) -> Settings:
    """Settings of a node among so many numbers."""
    count = nodes if living is None else len(living)
    return Settings((ClassSettings("get", 500, 1000),), nodes=count, me=me, living=living, numbers=nodes)


def kept(me: int | None, nodes: int, servers: int) -> list[str]:
    node = Node(servers=servers, nodes=nodes, me=me, seed=me or 0)
    return [server.entry.server for server in node.balancer.table.well.places]


@pytest.mark.parametrize(("nodes", "servers"), [(40, 60), (41, 60), (12, 30), (300, 1000)])
def test_ranks_of_a_server_lie_evenly_over_the_nodes(nodes: int, servers: int) -> None:
    for at in range(0, servers, max(1, servers // 20)):
        steps = {int(rank(f"s{at}", told(node, nodes)) * nodes) for node in range(nodes)}
        assert len(steps) == nodes


def test_no_server_is_left_to_many_nodes_or_to_none() -> None:
    # Drawn by each node for itself, from one to twelve of forty nodes kept to a server of sixty.
    keepers = Counter(name for me in range(40) for name in kept(me, 40, 60))
    assert len(keepers) == 60
    assert min(keepers.values()) >= SUBSET_SHARED - 3 and max(keepers.values()) <= SUBSET_SHARED + 4


def test_a_server_that_goes_moves_no_other() -> None:
    node = Node(servers=60, nodes=40, me=7)
    before = {s.entry.server for s in node.balancer.table.well.places}
    gone = sorted(before)[0]
    node.list(tuple(entry for entry in entries(60) if entry.server != gone))
    after = {s.entry.server for s in node.balancer.table.well.places}
    assert before - after <= {gone} and len(after - before) <= 1


def test_a_node_that_restarts_keeps_to_the_same_servers() -> None:
    first, again = (Node(servers=60, nodes=40, me=7, seed=seed) for seed in (1, 2))
    names = [{s.entry.server for s in node.balancer.table.well.places} for node in (first, again)]
    assert names[0] == names[1]


def test_a_node_that_dies_moves_one_place_in_each_servers_order() -> None:
    """Of 40 nodes 28 die: the shares of the rest are even again, and a single death moves little."""
    for dead in ({7}, set(range(28))):
        living = tuple(node for node in range(40) if node not in dead)
        for at in range(20):
            places = sorted(int(rank(f"s{at}", told(node, 40, living)) * len(living)) for node in living)
            assert places == list(range(len(living)))
    some = tuple(node for node in range(40) if node != 7)
    first = {(at, node) for at in range(60) for node in range(40) if rank(f"s{at}", told(node, 40)) < 5 / 40}
    after = {(at, node) for at in range(60) for node in some if rank(f"s{at}", told(node, 40, some)) < 5 / 39}
    gone = {(at, node) for at, node in first if node == 7}
    assert first - gone <= after and len(after - first) == len(gone)


def test_the_module_follows_the_living_and_loses_no_row() -> None:
    node = Node(servers=60, nodes=40, me=39)
    before = {s.entry.server: s.row for s in node.balancer.table.servers.values()}
    whole = node.balancer.settings
    kept_before = {s.entry.server for s in node.balancer.table.well.places}
    living = tuple(range(28, 40))
    node.give(NewSettings(replace(whole, nodes=12, living=living, numbers=40)))
    kept_after = {s.entry.server for s in node.balancer.table.well.places}
    assert kept_before <= kept_after and len(kept_after) >= 2.5 * len(kept_before)
    node.give(NewSettings(whole))
    assert {s.entry.server for s in node.balancer.table.well.places} == kept_before
    assert {s.entry.server: s.row for s in node.balancer.table.servers.values()} == before
