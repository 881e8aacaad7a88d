"""Which nodes keep to which server."""

from __future__ import annotations

from collections import Counter

import pytest
from helpers import Node, entries

from cloverhold.decision.dealing import rank
from cloverhold.decision.table import SUBSET_SHARED


def kept(me: int | None, nodes: int, servers: int) -> list[str]:
    node = Node(servers=servers, nodes=nodes, me=me, seed=me or 0)
    return [server.entry.server for server in node.balancer.table.well.places]


@pytest.mark.parametrize(("nodes", "servers"), [(40, 60), (41, 60), (12, 30), (300, 1000)])
def test_ranks_of_a_server_lie_evenly_over_the_nodes(nodes: int, servers: int) -> None:
    for at in range(0, servers, max(1, servers // 20)):
        steps = {int(rank(f"s{at}", node, nodes) * nodes) for node in range(nodes)}
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
