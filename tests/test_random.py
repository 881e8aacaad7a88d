"""Random legal event sequences with fixed seeds; helpers.Node asserts the node-visible part of the rules."""

import os
import random
import subprocess
import sys

import pytest
from helpers import Node

from cloverhold import Lifecycle, ListKind, ListMode, ServerEntry, Status, Timer

STATUSES = (Status.OK,) * 12 + (
    Status.ERROR,
    Status.FULL,
    Status.TIMEOUT,
    Status.CONNECT_FAILED,
    Status.RESET,
)
KINDS = ("safe", "keyed", "zoned", "shared", "unsafe")


def play(seed: int, steps: int = 1500) -> Node:
    chance = random.Random(seed)
    node = Node(
        servers=0,
        seed=seed,
        nodes=chance.choice((1, 3)),
        tick_ms=chance.choice((1.0, 5.0)),
        probes=chance.random() < 0.8,
        parallel_tries=chance.random() < 0.5,
        cancelling=chance.random() < 0.7,
        max_attempts=chance.randint(1, 5),
        list_mode=chance.choice(tuple(ListMode)),
    )
    ref = 2**31 + seed
    fleet = {f"s{i}": ServerEntry(f"s{i}", f"z{i % 2}", i % 3) for i in range(chance.randint(1, 9))}
    node.list(tuple(fleet.values()), ListKind.REMEMBERED)
    for _ in range(steps):
        node.run(chance.choice((0.0, 1.0, 7.0, 40.0)))
        roll = chance.random()
        if roll < 0.45:
            ref += 1
            node.request(
                ref,
                chance.choice(KINDS),
                chance.choice((2.0, 60.0, 500.0, 1000.0)),
                is_retry=chance.random() < 0.2,
            )
        elif roll < 0.8:
            pending = [(r, n) for r, tries in node.sends.items() for n, t in enumerate(tries) if t["status"] is None]
            if pending:
                which, number = chance.choice(pending)
                node.outcome(which, chance.choice(STATUSES), number)
        elif roll < 0.9 and node.probes:
            server = chance.choice(node.probes)
            node.reply(server, chance.randint(0, 6), chance.choice((Status.OK, Status.OK, Status.TIMEOUT)))
        elif roll < 0.93 and node.owed:
            node.gone(chance.choice(sorted(node.owed)))
        elif roll < 0.97:
            change(node, fleet, chance)
        elif roll < 0.98:
            node.give(Timer(chance.randrange(10**9)))
        else:
            node.list((), ListKind.ERROR)
    node.run(3000)
    assert not node.owed, "an answer is missing"
    return node


def change(node: Node, fleet: dict[str, ServerEntry], chance: random.Random) -> None:
    name = f"s{chance.randrange(10)}"
    state = chance.choice(tuple(Lifecycle))
    started = chance.choice((None, node.now, node.now - 4000))
    entry = ServerEntry(name, f"z{int(name[1:]) % 2}", int(name[1:]) % 3, state, 1.0, started)
    if state is Lifecycle.GONE:
        fleet.pop(name, None)
    else:
        fleet[name] = entry
    if chance.random() < 0.5:
        node.list((entry,), ListKind.CHANGES)
    else:
        node.list(tuple(fleet.values()), ListKind.FULL)


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_through_random_days(seed: int) -> None:
    play(seed)


def test_same_events_same_actions_under_any_hash_seed() -> None:
    code = "import sys; sys.path[:0] = ['tests', '.']\n"
    code += "from test_random import play\nprint(play(7, 600).actions)"
    seen = set()
    for value in ("0", "1", "31337"):
        env = {**os.environ, "PYTHONHASHSEED": value}
        done = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, check=True)
        seen.add(done.stdout)
    assert len(seen) == 1 and len(seen.pop()) > 1000
