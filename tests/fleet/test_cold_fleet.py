"""Forty nodes before sixty servers, of which a third has just started: what all send there together."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from helpers import Node, entries, make_settings

from cloverhold import Send, Status

NODES, SERVERS = 40, 60
SPAN_MS, WORK_MS = 1500.0, 40.0


def cold_work(nodes: list[Node], cold: int) -> Counter[str]:
    """What each cold server gets within the time of the rule, in ms of work, where all nodes have more than enough."""
    back = {f"s{number}" for number in range(cold)}
    work: Counter[str] = Counter()
    started = nodes[0].now
    for node in nodes:
        node.list(tuple(replace(e, started_at=started if e.server in back else None) for e in entries(SERVERS)))
    ref = 0
    while nodes[0].now < started + SPAN_MS:
        for node in nodes:
            ref += 1
            before = len(node.actions)
            node.request(ref, settle=False)
            node.run(15.0)
            node.reply_all({})
            sends = [action for action in node.actions[before:] if isinstance(action, Send)]
            for send in sends:
                work[send.server] += WORK_MS if send.server in back else 0
            for id in [id for id, tries in node.sends.items() if tries[-1]["status"] is None]:
                if node.now - node.sends[id][-1]["at"] >= WORK_MS:
                    node.outcome(id, Status.OK)
            del node.actions[:]
    return work


@pytest.mark.parametrize("alive", [NODES, NODES // 2])
@pytest.mark.parametrize("cold", [SERVERS // 3, SERVERS])
def test_what_returns_cold_is_used_within_its_budget(cold: int, alive: int) -> None:
    # Shares of a fortieth left three quarters of what a cold server could do unused: five of forty nodes keep to it.
    nodes = [
        Node(
            settings=make_settings(nodes=NODES, me=me, probe_price=0.08, fall_multiple=2.5, fall_ms=SPAN_MS),
            servers=0,
            seed=me,
        )
        for me in range(alive)
    ]
    work = cold_work(nodes, cold)
    can = nodes[0].settings.cold_from * SPAN_MS  # what a cold server does in this time, of one core
    assert max(work.values()) < 2.5 * can, "none is pushed over"
    used = sum(work[f"s{number}"] for number in range(cold)) / cold
    assert used > 0.3 * can * alive / NODES, "nor left idle while others have more than they can do"
