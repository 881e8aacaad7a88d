"""Resources: shapes, what they say of one another, lines that name resource and field, and what is held."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhold.fleet.command import main
from cloverhold.fleet.distribution.interface import Entry, Refusal
from cloverhold.fleet.distribution.resources import (
    KINDS, MOST_BYTES, Cell, Checker, Class, Confirmed, Route, Server, Service, Tenant, Wrong, kind_of, meaning, page,
    read, ready, schema, write, written,
)  # fmt: skip

PAGE = Path(__file__).parents[3] / "docs/resources.md"
SCOPES = {
    "server": "service/a", "route": "service/a", "cell": "service/a", "class": "fleet", "service": "services",
    "tenant": "tenants/7", "confirmed": "service/a",
}  # fmt: skip
WHOLE = {
    "server": ["10.0.0.1:80", "z1", "m1", 3, "leaving", 0.5, 1_790_000_000_000],
    "route": ["api.example", "/v1/", "get"], "cell": [["s1", "s2"]], "class": [500.0, 1000.0, "safe", 2.0, 10, 5.0],
    "service": [12.0, 20], "tenant": [7.5, "red"], "confirmed": ["operator", 4],
}  # fmt: skip


def packed(*fields: object) -> bytes:
    return msgspec.msgpack.encode(fields)


def servers(count: int, leaving: int = 0) -> dict[str, bytes]:
    return {
        f"server/s{n}": write(Server(f"10.0.{n >> 8}.{n & 255}:80", state="leaving" if n < leaving else "active"))
        for n in range(count)
    }


@pytest.mark.parametrize("kind", KINDS)
def test_each_kind_is_read_as_it_was_written(kind: str) -> None:
    content = {f"{kind}/x": packed(*WHOLE[kind])}
    (one,) = read(SCOPES[kind], content).values()
    assert type(one) is KINDS[kind] and write(one) == content[f"{kind}/x"]
    assert json.loads(msgspec.json.encode(one)) == WHOLE[kind]


@pytest.mark.parametrize(
    ("kind", "at", "value"),
    [
        ("server", 0, "nohost"), ("server", 0, "a b:80"), ("server", 0, "a:80\n"), ("server", 4, "gone"),
        ("server", 5, 0.0), ("server", 5, float("nan")), ("server", 5, float("inf")), ("server", 5, 10.0**300),
        ("server", 6, -1), ("server", 6, 1 << 60), ("server", 1, "z\n"), ("server", 1, 4), ("route", 0, ""),
        ("route", 0, "a\r"), ("route", 1, "v1"), ("route", 1, "/v1 x"), ("route", 2, None), ("class", 0, 0.0),
        ("class", 1, float("nan")), ("class", 2, "sometimes"), ("class", 4, 1.5), ("service", 0, -1.0),
        ("service", 1, 0), ("tenant", 0, float("nan")), ("tenant", 0, "7"), ("cell", 0, []), ("cell", 0, ["a\n"]),
    ],
)  # fmt: skip
def test_a_wrong_field_is_named_in_one_line(kind: str, at: int, value: object) -> None:
    fields = [*WHOLE[kind][:at], value, *WHOLE[kind][at + 1 :]]
    with pytest.raises(Wrong) as caught:
        read(SCOPES[kind], {f"{kind}/x": packed(*fields)})
    name = KINDS[kind].__struct_fields__[at]
    assert str(caught.value).startswith(f"{kind}/x: {name}: ") and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    "value",
    [b"", b"\xc1", b"\x91" * 1000 + b"\xc0", b"\x91" * (MOST_BYTES + 1), packed(1), packed(*WHOLE["server"], "more"),
     packed(), b"\x80", write(Server("a:1")) + b"\x00", write(Server("a:1"))[:-1]],
)  # fmt: skip
def test_what_is_no_resource_is_refused_in_one_line(value: bytes) -> None:
    with pytest.raises(Wrong, match=r"^server/x: ") as caught:
        read("service/a", {"server/x": value})
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 300


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(KINDS)), st.binary(max_size=60))
def test_any_bytes_are_a_resource_or_wrong(kind: str, value: bytes) -> None:
    try:
        (one,) = read(SCOPES[kind], {f"{kind}/x": value}).values()
    except Wrong as wrong:
        assert str(wrong).startswith(f"{kind}/x: ") and "\n" not in str(wrong)
    else:
        assert read(SCOPES[kind], {f"{kind}/x": write(one)}) == {f"{kind}/x": one}


def test_keys_and_scopes_that_are_none() -> None:
    for scope in (
        "",
        "fleet/x",
        "service",
        "service/",
        "tenants/4096",
        "tenants/x",
        "tenants/-1",
        "other/x",
        "tenants/²",
    ):
        with pytest.raises(Wrong):
            kind_of(scope)
    assert [kind_of(scope) for scope in ("fleet", "services", "service/a/b", "tenants/0")] == [
        "fleet", "services", "service", "tenants",
    ]  # fmt: skip
    for key in ("server", "server/", "tenant/x", "", "server/a\nb", "server/" + "x" * 2000, "server/é"):
        with pytest.raises(Wrong):
            read("service/a", {key: write(Server("a:1"))})


def test_what_resources_say_of_one_another() -> None:
    good = {"server/a": Server("h:1"), "server/b": Server("h:2"), "cell/c": Cell(("a", "b")),
            "route/1": Route("h", "/", "get"), "route/2": Route("h", "/v1", "get")}  # fmt: skip
    meaning(good)
    for key, one, says in (
        ("server/c", Server("h:1"), "server/c: address: h:1 is server/a's too"),
        ("server/c", Server("h:0"), "server/c: address: 0 is no port"),
        ("server/c", Server("h:65536"), "server/c: address: 65536 is no port"),
        ("route/3", Route("h", "/v1", "post"), "route/3: prefix: h/v1 is route/2's too"),
        ("cell/d", Cell(("a", "z")), "cell/d: servers: there is no server z"),
        ("class/d", Class(5.0, 4.0), "class/d: aim_ms: 5 is over deadline_ms, 4"),
    ):
        with pytest.raises(Wrong) as caught:
            meaning({**good, key: one})
        assert str(caught.value) == says


def test_a_content_is_checked_whole() -> None:
    check = Checker()
    before = servers(10)
    assert check("service/a", {}, before) is None
    cell = {"cell/c": write(Cell(("s3",)))}
    assert check("service/a", before, before | cell) is None
    without = {key: value for key, value in (before | cell).items() if key != "server/s3"}
    assert check("service/a", before | cell, without) == Refusal("cell/c: servers: there is no server s3")
    assert check("service/a", before, {**before, "server/s3": b"\xc0"}) == Refusal(
        "server/s3: Expected `array`, got `None`"
    )


@pytest.mark.parametrize(
    ("was", "gone", "held"), [(10, 3, False), (10, 4, True), (10, 10, True), (3, 3, False), (4, 4, True), (1, 1, False)]
)
def test_a_version_that_takes_away_many_ready_servers_is_held(was: int, gone: int, held: bool) -> None:
    before = servers(was)
    for after in (servers(was, leaving=gone), {k: v for n, (k, v) in enumerate(before.items()) if n >= gone}):
        refusal = Checker()("service/a", before, after)
        assert refusal == (Refusal(f"takes away {gone} of {was} ready servers", held=True) if held else None)
    assert Checker()("service/a", servers(was, leaving=was), servers(was)) is None
    assert Checker(held_part=1.0)("service/a", before, {}) is None


def test_an_operator_confirms_with_the_next_version() -> None:
    before = servers(10)
    for number in (1, 2):
        after = {"confirmed/removal": write(Confirmed("operator", number))}
        assert Checker()("service/a", before, after) is None
        before = {**servers(10), **after}
        assert Checker()("service/a", before, after) == Refusal("takes away 10 of 10 ready servers", held=True)


def test_resources_are_written_from_fields_by_name() -> None:
    assert written("server/a", {"address": "h:1", "weight": 2.0}) == write(Server("h:1", weight=2.0))
    assert written("cell/c", {"servers": ["a"]}) == write(Cell(("a",)))
    for key, fields, says in (
        ("server/a", {"adress": "h:1"}, "server/a: adress: no such field"),
        ("server/a", {"address": "h:1", "state": "gone"}, "server/a: state: "),
        ("server/a", {}, "server/a: "),
        ("tenant/a", {"quota_per_s": float("inf")}, "tenant/a: quota_per_s: "),
        ("thing/a", {}, "'thing/a': kinds are server, "),
    ):
        with pytest.raises(Wrong) as caught:
            written(key, fields)
        assert str(caught.value).startswith(says) and "\n" not in str(caught.value)


def test_a_check_reads_what_changed_and_forgets_what_was_refused() -> None:
    check = Checker()
    before = servers(50)
    check("service/a", {}, before)
    after = {**before, "server/s1": write(Server("10.9.9.9:80"))}
    assert check("service/a", before, {**before, "server/s1": b""}) is not None
    assert check("service/a", before, after) is None
    new = check.resources("service/a", after)
    assert (
        new["server/s1"] == Server("10.9.9.9:80")
        and new["server/s2"] is check.resources("service/a", after)["server/s2"]
    )
    assert len(ready(new)) == 50


def test_parts_that_were_read_before_are_used_and_nothing_of_another_word() -> None:
    check, before = Checker(), servers(6)
    entries = [Entry(key, 1, value) for key, value in before.items()]
    check.part("service/a", tuple(entries[:3]), True)
    check.part("service/a", tuple(entries[3:]), False)
    assert check("service/a", {}, before) is None
    other = write(Server("10.8.8.8:80"))
    check.part("service/a", (Entry("server/s1", 2, other),), True)
    after = {**before, "server/s1": write(Server("10.7.7.7:80"))}
    assert check("service/a", before, after) is None  # the word that came was another one
    assert check.resources("service/a", after)["server/s1"] == Server("10.7.7.7:80")
    check.part("service/a", (Entry("server/s1", 3, b"\xc0"), Entry("x", 3, None)), True)
    assert check("service/a", after, {**after, "server/s1": b"\xc0"}) is not None


def test_the_schema_and_its_page_are_of_the_types() -> None:
    told = schema()
    assert set(told["kinds"]) == set(KINDS) == {kind for kinds in told["scopes"].values() for kind in kinds}
    assert [type_.__name__ for type_ in KINDS.values()] == list(told["$defs"])
    assert json.loads(CliRunner().invoke(main, ["resources", "--json"]).output) == told
    assert "\n".join(page()).rstrip() in PAGE.read_text()
    assert CliRunner().invoke(main, ["resources"]).output.rstrip() == "\n".join(page()).rstrip()


def test_small_kinds() -> None:
    assert read("services", {"service/a": write(Service())})["service/a"] == Service(1.0, 10)
    assert read("tenants/1", {"tenant/a b": write(Tenant(1.0))})["tenant/a b"] == Tenant(1.0)
