"""New settings in a running node: what the module carries over, and files that change nothing."""

from __future__ import annotations

import copy
import json
import random
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverhold import ClassSettings, Fail, ListKind, Refuse, Repeat, Send, Status
from cloverhold.platform import Config, ConfigError, read_config
from cloverhold.net.clock import Clock
from cloverhold.settings import unlike
from helpers import CLASSES, Node, entries, of
from test_process import SETTINGS, config

SAFE, UNSAFE = CLASSES[0], CLASSES[-1]


def test_a_class_that_is_gone_lives_on_with_its_requests() -> None:
    node = Node()
    node.request(1, "safe")
    node.settle(classes=(UNSAFE,))
    node.outcome(1, Status.ERROR)
    assert len(node.sends[1]) == 2  # tried again, as it came
    assert of(node.request(2, "safe"), Refuse)  # as an unknown one
    node.outcome(1, Status.OK)
    node.settle(classes=(UNSAFE, ClassSettings("new", 400, 1000)))
    learned = node.balancer.learned
    assert set(learned.factor) == set(learned.usual) == set(node.balancer.table.kinds) == {"unsafe", "new"}
    assert set(node.balancer.health.away) == {"", "unsafe", "new"}
    assert all(set(s.kinds) <= {"unsafe", "new"} for s in node.balancer.table.servers.values())
    assert not node.balancer.admission.lane.lines.keys() - {"unsafe", "new"}
    assert of(node.request(3, "new"), Send)


def test_a_request_is_repeated_as_its_class_was_when_it_came() -> None:
    node = Node()
    node.request(1, "safe")
    node.settle(classes=(replace(SAFE, repeat=Repeat.UNSAFE), UNSAFE))
    node.outcome(1, Status.RESET)
    assert len(node.sends[1]) == 2
    node.request(2, "safe")
    assert of(node.outcome(2, Status.RESET), Fail) and len(node.sends[2]) == 1
    node.request(3, "unsafe")
    node.settle(classes=(SAFE, replace(UNSAFE, repeat=Repeat.SAFE)))
    assert of(node.outcome(3, Status.RESET), Fail)  # it came as one that must not run twice


def test_attempts_lowered_below_what_a_request_has_used_are_its_last() -> None:
    node = Node()
    node.request(1, "safe")
    for _ in range(2):
        node.outcome(1, Status.ERROR)
    node.settle(max_attempts=1)
    assert of(node.outcome(1, Status.ERROR), Refuse) and len(node.sends[1]) == 3


def test_what_was_learned_of_classes_and_servers_that_stay_stays() -> None:
    node = Node(servers=3)
    for ref in range(40):
        node.request(ref, "safe")
        node.run(25)
        node.outcome(ref, Status.OK)
        node.reply_all({})
    node.request(100, "safe")
    bad = node.last_send(100)
    server = node.balancer.table.servers[bad]
    for _ in range(9):
        server.record.failing = 0.9
    server.record.until, server.record.ejections = node.now + 5000, 1
    before = node.balancer.learned.factor["safe"]
    rows = {s.entry.server: s.row for s in node.balancer.table.ready}
    node.settle(classes=(*CLASSES, ClassSettings("new", 100, 1000)))
    assert node.balancer.learned.factor["safe"] == before
    assert rows == {s.entry.server: s.row for s in node.balancer.table.ready}
    assert server in node.balancer.health.away[""]
    assert not node.balancer.table.looks_well(server)
    assert node.balancer.table.tightest == 100


@pytest.mark.parametrize("seed", range(20))
def test_the_rules_hold_whatever_settings_come(seed: int) -> None:
    """Random days on which classes come, go and change, with attempts out and waiting."""
    chance = random.Random(seed)
    node = Node(servers=0, seed=seed, nodes=2, cancelling=chance.random() < 0.5)
    node.list(entries(4), ListKind.FULL)
    names, ref = ["safe", "keyed", "zoned", "shared", "unsafe", "x0", "x1", "x2"], 0
    for _ in range(700):
        node.run(chance.choice((0.0, 1.0, 20.0)))
        roll = chance.random()
        if roll < 0.5:
            ref += 1
            node.request(ref, chance.choice(names), chance.choice((60.0, 800.0)))
        elif roll < 0.85:
            out = [(r, n) for r, tries in node.sends.items() for n, t in enumerate(tries) if t["status"] is None]
            if out:
                which, number = chance.choice(out)
                node.outcome(which, chance.choice((Status.OK, Status.OK, Status.ERROR, Status.RESET)), number)
        elif node.probes and roll < 0.92:
            node.reply(chance.choice(node.probes), chance.randint(0, 6))
        elif roll > 0.94:
            kinds = [
                ClassSettings(n, 400, 1000, chance.choice(tuple(Repeat)), key_ttl_ms=300, group=chance.choice(
                    [c.group for c in CLASSES])) for n in chance.sample(names, chance.randint(1, 6))
            ]  # fmt: skip
            node.settle(classes=tuple(kinds), max_attempts=chance.randint(1, 4), nodes=chance.randint(1, 3))
            assert len(node.balancer.learned.factor) <= len(names)
    node.run(3000)
    assert not node.owed, "an answer is missing"


# ------------------------------------------------------------------------------------------------------ the file


def whole() -> dict[str, Any]:
    profile = {**SETTINGS["Profiles"][0], "Points": 1.0, "Group": "all", "KeyTtlMs": 5000.0}
    settings = {**SETTINGS, "Profiles": [profile, {**profile, "Name": "lote", "Repeat": "idempotency_key"}]}
    return copy.deepcopy(config(settings=settings, mgmt="127.0.0.1:3"))


@pytest.fixture
def reads(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[..., Config]:
    path = tmp_path / "config.json"
    monkeypatch.setenv("PROXY_CONFIG", str(path))

    def read(text: str, before: Config | None = None) -> Config:
        path.write_text(text)
        return read_config(Clock(), before)

    return read


def paths(value: object, at: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Every key below a value, as the steps to it."""
    if not isinstance(value, (dict, list)):
        return []
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    found = [] if isinstance(value, list) else [(*at, key) for key in value]
    return found + [path for key, inner in pairs for path in paths(inner, (*at, key))]


def owner(value: Any, path: tuple[Any, ...]) -> Any:
    for step in path[:-1]:
        value = value[step]
    return value


def test_a_file_cut_at_any_byte_is_turned_down(reads: Callable[..., Config]) -> None:
    before = reads(json.dumps(whole()))
    text = json.dumps({**whole(), "discovery": "127.0.0.1:9"})
    for end in range(len(text)):
        with pytest.raises(ConfigError):
            reads(text[:end], before)
    assert reads(text, before).discovery == ("127.0.0.1", 9)


def test_a_file_with_any_key_missing_or_turned_is_turned_down(reads: Callable[..., Config]) -> None:
    before = reads(json.dumps(whole()))
    for path in paths(whole()):
        if path[0] == "seed":
            continue
        for turned in ("missing", None, [], {}, "x", True, -1, 0, 1e400, float("nan")):
            broken = whole()
            holder = owner(broken, path)
            old = holder.pop(path[-1]) if turned == "missing" else holder[path[-1]]
            if turned != "missing":
                holder[path[-1]] = turned
            if type(turned) is type(old) or (turned in (0, -1) and path[-1] in FREE):
                continue  # such a value is allowed there
            try:
                taken = reads(json.dumps(broken), before)
            except ConfigError as error:
                assert "\n" not in str(error)
            else:
                raise AssertionError(f"{path} {turned!r}: {taken.settings}")


# Keys at which a number like 0 or -1 is allowed, or is not this program's to judge.
FREE = {
    "cores", "memory_mb", "sockets", "Points", "KeyTtlMs", "AnswerSlackMs", "DrainGraceMs", "ColdMs", "Me",
}  # fmt: skip


@pytest.mark.parametrize("key", ["DeadlineMs", "AimMs"])
@pytest.mark.parametrize("value", [0, -5, float("nan"), float("inf"), True, "9", None])
def test_a_time_that_is_not_positive_is_turned_down(key: str, value: object, reads: Callable[..., Config]) -> None:
    before, broken = reads(json.dumps(whole())), whole()
    broken["settings"]["Profiles"][1][key] = value
    with pytest.raises(ConfigError):
        reads(json.dumps(broken), before)


@pytest.mark.parametrize("value", [0, -1, 1.5, float("nan"), True, "4", None])
def test_attempts_that_are_no_positive_number_are_turned_down(value: object, reads: Callable[..., Config]) -> None:
    before, broken = reads(json.dumps(whole())), whole()
    broken["settings"]["Limits"]["MaxAttempts"] = value
    with pytest.raises(ConfigError):
        reads(json.dumps(broken), before)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=2),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=8,
)


@given(JSON)
def test_a_file_is_like_itself(value: object) -> None:
    assert unlike(value, value) is None


def test_lists_may_grow_and_shrink_and_need_what_all_had() -> None:
    before = {"p": [{"n": "a", "k": 1}, {"n": "b"}]}
    assert unlike(before, {"p": [{"n": "c"}], "more": 1}) is None
    assert unlike(before, {"p": []}) is None
    assert unlike(before, {"p": [{"k": 1}]}) == "p[].n is missing"
    assert unlike(before, {}) == "p is missing"
    assert unlike({"n": 1}, {"n": True}) == "n: has the wrong type: True"
