"""Settings that no node could act on, and odd but legal ones."""

from dataclasses import replace

import pytest
from helpers import Node, make_settings, of

from cloverhold import Balancer, ClassSettings, Repeat, Send, Status


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("nodes", 0),
        ("nodes", 1.5),
        ("me", -1),
        ("me", 2),  # of two nodes
        ("max_attempts", 0),
        ("tick_ms", 0.0),
        ("tick_ms", "1"),
        ("cold_from", 0.0),
        ("cold_from", 1.5),
        ("fall_ms", -1.0),
        ("probe_price", float("nan")),
        ("must_ask_ms", 0),
        ("classes", ()),
    ],
)
def test_bad_setting_is_named(key: str, value: object) -> None:
    with pytest.raises(ValueError, match=key):
        Balancer(replace(make_settings(), **{key: value}), 1)  # type: ignore[arg-type]


@pytest.mark.parametrize(("key", "value"), [("aim_ms", 0.0), ("deadline_ms", -1.0), ("worth", -1.0)])
def test_bad_class_setting_is_named(key: str, value: float) -> None:
    bad = replace(ClassSettings("get", 100.0, 200.0), **{key: value})
    with pytest.raises(ValueError, match=f"get.{key}"):
        Balancer(make_settings(classes=(bad,)), 1)


def test_class_named_twice() -> None:
    twice = ClassSettings("get", 100.0, 200.0)
    with pytest.raises(ValueError, match=r"classes\.name"):
        Balancer(make_settings(classes=(twice, twice)), 1)


@pytest.mark.parametrize(
    "changes",
    [
        {"probes": False},
        {"nodes": 1},
        {"cancelling": False},
        {"max_attempts": 1},
        {"cold_ms": 0.0, "cold_from": 1.0},
    ],
)
@pytest.mark.parametrize("servers", [1, 5])
def test_odd_but_legal_fleets_are_served(servers: int, changes: dict[str, object]) -> None:
    one = (ClassSettings("only", 400, 1000, Repeat.SAFE),)
    node = Node(settings=make_settings(classes=one, **changes), servers=servers)
    for ref in range(60):
        node.request(ref, "only")
        assert len(of(node.actions, Send)) == ref + 1
        node.run(20)
        node.outcome(ref, Status.OK)
        node.reply_all({})
    used = {node.last_send(ref) for ref in range(60)}
    assert len(used) == servers
