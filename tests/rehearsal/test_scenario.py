"""Scenarios: what is refused, and in which words; the same seed gives the same plan."""

from __future__ import annotations

from pathlib import Path

import pytest

from cloverhold.rehearsal import faults
from cloverhold.rehearsal.files import find, load_scenario, shipped
from cloverhold.rehearsal.plan import make_plan
from cloverhold.rehearsal.scenario import ScenarioError
from cloverhold.rehearsal.spoil import spoilt
from small import small

GOOD = """
name = "good"
length_s = 5.0
[[class]]
name = "consulta"
share = 1.0
work_ms = 20.0
aim_ms = 500.0
deadline_ms = 1000.0
repeats = "safe"
"""


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("name = ", "not TOML"),
        ("version = 2\n" + GOOD, "version: 2 is newer than this kit, which reads up to 1"),
        (GOOD.replace('name = "good"', ""), "name: Field required"),
        (GOOD.replace("length_s = 5.0", "length_s = -1.0"), "length_s: Input should be greater than 0, got -1.0"),
        (GOOD.replace("length_s = 5.0", 'length_s = "long"'), "length_s: Input should be a valid number"),
        (GOOD + "[fleet]\nserver = 3\n", "fleet.server: Extra inputs are not permitted, got 3"),
        (GOOD.replace('"safe"', '"never"'), "class.0.repeats: Input should be 'safe', 'keyed' or 'unsafe'"),
        (GOOD.replace('"safe"', '"keyed"'), "class.0: key_ttl_ms: must be above 0 for a keyed class"),
        (GOOD.replace("deadline_ms = 1000.0", "deadline_ms = 100.0"), "deadline_ms: must be at least aim_ms"),
        (GOOD + GOOD[GOOD.index("[[") :], "class: two classes have one name"),
        (GOOD + '[[fault]]\nkind = "quake"\nat_s = 1.0\nfor_s = 1.0\n', "fault.0: Input tag 'quake'"),
        (GOOD + '[[fault]]\nkind = "crash"\nat_s = 1.0\nfor_s = 1.0\n', "exactly one of part, count and servers"),
        (GOOD + '[[fault]]\nkind = "crash"\nat_s = 9.0\nfor_s = 1.0\npart = 0.2\n', "fault.0.at_s: must be at most"),
        (
            GOOD + '[[fault]]\nkind = "crash"\nat_s = 1.0\nfor_s = 1.0\nservers = ["s99"]\n',
            "fault.0.servers: s0 to s11 are allowed, got 's99'",
        ),
        (
            GOOD + '[[fault]]\nkind = "node_kill"\nat_s = 1.0\nfor_s = 1.0\nnodes = [2]\n',
            "fault.0.nodes: 0 to 1 are allowed, got 2",
        ),
        (
            GOOD + '[[fault]]\nkind = "class_fails"\nclass = "other"\nat_s = 1.0\nfor_s = 1.0\ncount = 1\n',
            "fault.0.class: one of consulta is allowed, got 'other'",
        ),
        (GOOD + 'extends = "../x.toml"\n', "Extra inputs are not permitted"),
        (GOOD + '[clients]\narrivals = "steps"\n', "clients: steps: is needed with arrivals = 'steps'"),
        (GOOD + "[clients]\nsteps = [1.0]\n", "clients: steps: is needed with arrivals = 'steps'"),
    ],
)
def test_an_error_names_file_key_and_what_is_allowed(tmp_path: Path, text: str, said: str) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as caught:
        load_scenario(path)
    lines = str(caught.value).splitlines()
    assert any(said in line for line in lines)
    assert all(line.startswith(f"{path}: ") for line in lines)


def test_a_scenario_may_extend_one_beside_it(tmp_path: Path) -> None:
    (tmp_path / "under.toml").write_text(GOOD + "[fleet]\nservers = 5\ncell_size = 2\n")
    path = tmp_path / "over.toml"
    path.write_text('extends = "under.toml"\nname = "over"\n[fleet]\nservers = 7\n')
    scenario = load_scenario(path)
    assert (scenario.name, scenario.fleet.servers, scenario.fleet.cell_size) == ("over", 7, 2)
    path.write_text('extends = "over.toml"\n')
    with pytest.raises(ScenarioError, match="at most 4 files"):
        load_scenario(path)
    path.write_text('extends = "../over.toml"\n')
    with pytest.raises(ScenarioError, match="a file beside this one"):
        load_scenario(path)
    with pytest.raises(ScenarioError, match=r"none\.toml"):
        load_scenario(tmp_path / "none.toml")
    with pytest.raises(ScenarioError, match="'nowhere' is shipped"):
        find("nowhere")


@pytest.mark.parametrize("name", sorted(shipped()))
def test_a_shipped_scenario_is_good_and_says_what_it_is(name: str) -> None:
    scenario = find(name)
    assert scenario.name == name and scenario.summary.endswith(".")


def test_the_shipped_scenarios_play_every_fault() -> None:
    """Every kind of fault, of spoilt answer and of hostile client."""
    played = {f.kind for name in shipped() for f in find(name).faults}
    assert played == {name for name, _ in faults.catalogue()}
    every = [f for name in shipped() for f in find(name).faults]
    assert {f.how for f in every if isinstance(f, faults.Spoil)} == set(faults.Spoiling.__args__)
    assert {f.how for f in every if isinstance(f, faults.Hostile)} == set(faults.Hostility.__args__)


@pytest.mark.parametrize("name", ["release-week", "all-at-once", "rolling-restart", "replaced", "heavy-tail"])
def test_the_same_seed_gives_the_same_arrivals_and_faults(name: str) -> None:
    scenario = find(name)
    plan, again = make_plan(scenario), make_plan(scenario)
    other = make_plan(scenario.model_copy(update={"seed": scenario.seed + 1}))
    assert plan == again
    assert plan.arrivals != other.arrivals and len(plan.arrivals) > 100
    assert [s.at_s for s in plan.steps] == sorted(s.at_s for s in plan.steps)


def test_a_fault_strikes_its_part_of_the_fleet_and_ends() -> None:
    changes = {"length_s": 9.0, "fleet": {"servers": 12}}
    crash = {"kind": "crash", "at_s": 2.0, "for_s": 3.0, "part": 0.21}
    plan = make_plan(small(**changes, fault=[crash]))
    assert [(s.at_s, s.what) for s in plan.steps] == [(2.0, "die")] * 3 + [(5.0, "return")] * 3
    assert len({s.target for s in plan.steps}) == 3
    rolling = {"kind": "rolling_restart", "at_s": 1.0, "for_s": 4.0, "servers": ["s2", "s7"]}
    steps = [(s.what, s.target) for s in make_plan(small(**changes, fault=[rolling])).steps]
    each = ["leave", "die", "return", "rejoin"]
    assert steps == [(what, uid) for uid in ("s2", "s7") for what in each]


def test_arrivals_keep_their_rate_their_shape_and_their_mix() -> None:
    clients = {"rate_per_s": 100.0, "arrivals": "wave", "swing": 0.5, "period_s": 60.0}
    plan = make_plan(small(length_s=60.0, clients=clients))
    at = [a.at_s for a in plan.arrivals]
    first, second = sum(t < 30 for t in at), sum(t >= 30 for t in at)
    assert 5500 < len(at) < 6500 and first > 1.5 * second
    unsafe = [a for a in plan.arrivals if a.class_name == "alerta-umbral"]
    assert 0.26 < len(unsafe) / len(at) < 0.34
    assert 10 < sum(a.work_ms for a in unsafe) / len(unsafe) < 14
    assert all((a.key is not None) == (a.class_name == "lote") for a in plan.arrivals)


def test_arrivals_follow_given_steps() -> None:
    clients = {"rate_per_s": 200.0, "arrivals": "steps", "period_s": 2.0, "steps": [0.5, 0.0, 2.0]}
    at = [a.at_s for a in make_plan(small(length_s=6.0, clients=clients)).arrivals]
    counts = [sum(begin <= t < begin + 2 for t in at) for begin in (0, 2, 4)]
    assert 150 < counts[0] < 250 and counts[1] == 0 and 700 < counts[2] < 900


def test_each_spoilt_answer_is_one_that_no_client_takes_for_good_or_a_good_one_with_more() -> None:
    for how in faults.Spoiling.__args__:
        said = spoilt(how, b"the body")
        assert said.good is (said.first.count(b"\r\n\r\nthe body") >= 1 and how != "wrong_length")
        assert said.good or said.ends or said.more or how in ("noise", "wrong_length")
    with pytest.raises(KeyError):
        spoilt("well", b"")


def test_the_operators_page_names_every_fault_and_its_ways() -> None:
    page = (Path(__file__).parent.parent.parent / "docs/rehearsal.md").read_text()
    named = [name for name, _ in faults.catalogue()]
    assert [name for name in named if f"| `{name}` |" not in page] == []
    assert [how for how in (*faults.Spoiling.__args__, *faults.Hostility.__args__) if how not in page] == []


def test_a_heavy_tail_strikes_its_class_in_its_time() -> None:
    tail = {"kind": "heavy_tail", "class": "consulta", "share": 1.0, "factor": 50.0, "at_s": 1.0, "for_s": 1.0}
    with_tail, without = make_plan(small(fault=[tail])).arrivals, make_plan(small()).arrivals
    for struck, usual in zip(with_tail, without, strict=True):
        hit = usual.class_name == "consulta" and 1.0 <= usual.at_s < 2.0
        assert struck.work_ms == pytest.approx(usual.work_ms * (50.0 if hit else 1.0))
