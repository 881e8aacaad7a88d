"""The rooms of a simulated fleet by themselves: time, a server, the list, the command."""

from __future__ import annotations

import json
from random import Random

import pytest

from cloverhold import Lifecycle, ListKind, ServerList, Status
from cloverhold.cli import main
from cloverhold.rehearsal.ledger import Arrival, Dial, Row
from cloverhold.rehearsal.plan import ServerPlan
from cloverhold.rehearsal.scenario import DiscoverySettings, Fleet, Kind
from cloverhold.simulation.days import KINDS, draw
from cloverhold.simulation.registry import Reader, Registry
from cloverhold.simulation.servers import Flight, Server
from cloverhold.simulation.timeline import Timeline

KIND = Kind(name="media", slots=2, queue=1, cold_from=0.5, cold_s=4.0)


def test_calls_of_one_time_come_in_the_order_in_which_they_were_set() -> None:
    timeline, seen = Timeline(), []
    for name in "abc":
        timeline.at(5.0, seen.append, name)
    timeline.at(2.0, lambda: timeline.at(1.0, seen.append, "past"))
    timeline.run(5.0)
    assert seen == ["past", "a", "b", "c"] and timeline.now == 5.0


class Bench:
    """One server, and what comes back from it."""

    def __init__(self, *, cold: bool = False, fleet: Fleet | None = None) -> None:
        self.timeline, self.lives, self.ends = Timeline(), [], []
        plan = ServerPlan("s0", KIND, 1.0, 0)
        self.server = Server(
            self.timeline, fleet or Fleet(connection_work_ms=10.0), plan, "a", Random(1), self.lives.append, cold=cold
        )

    def send(self, ref: int, work_ms: float, *, new: bool = False) -> Flight:
        row = Arrival("s0", 0, 0, 0, 0, str(ref), "c", None, 0.0, work_ms=work_ms)
        dial = Dial("s0", 0, 0.0)
        flight = Flight(0, 0, (ref, 0), self.server, dial, self.timeline.now, self._ended, row, new, work_ms)
        self.server.arrive(flight)
        return flight

    def _ended(self, flight: Flight, status: Status, report: object) -> None:
        self.ends.append((round(self.timeline.now), flight.number[0], status))


def test_what_runs_shares_the_core_and_what_finds_no_place_is_turned_away() -> None:
    bench = Bench()
    for ref in range(4):
        bench.send(ref, 100.0)
    assert bench.ends == [(0, 3, Status.FULL)], "two at work, one waits"
    bench.timeline.run(1000.0)
    assert bench.ends[1:] == [(200, 0, Status.OK), (200, 1, Status.OK), (300, 2, Status.OK)]
    assert bench.server.most_held == 3


def test_a_new_connection_a_cold_start_and_a_cancelled_request_cost_what_they_cost() -> None:
    bench = Bench()
    bench.send(0, 100.0, new=True)
    bench.timeline.run(1000.0)
    assert bench.ends == [(110, 0, Status.OK)]
    cold = Bench(cold=True)
    cold.send(0, 100.0)
    cold.timeline.run(1000.0)
    assert 185 <= cold.ends[0][0] <= 200, "half of its capacity, rising"
    left = Bench()
    first, _ = left.send(0, 100.0), left.send(1, 100.0)
    left.timeline.run(50.0)
    left.server.cancel(first)
    left.timeline.run(1000.0)
    assert left.ends == [(125, 1, Status.OK)], "25 done, 75 by itself"
    assert first.row is not None and (first.row.outcome, round(first.row.done_ms)) == ("cancelled", 25)


def test_a_process_that_ends_resets_what_it_held_and_refuses_what_comes() -> None:
    bench = Bench()
    bench.send(0, 100.0)
    bench.server.end("crash")
    bench.send(1, 100.0, new=True)
    bench.send(2, 100.0)
    assert [status for _, _, status in bench.ends] == [Status.RESET, Status.CONNECT_FAILED, Status.RESET]
    bench.server.start(cold=True)
    bench.send(3, 1.0)
    bench.timeline.run(100.0)
    assert bench.ends[-1][1:] == (3, Status.OK) and [life.life for life in bench.lives] == [0, 1]


class Listed:
    """A list with one server and one node that hears of it."""

    def __init__(self, **how: object) -> None:
        self.timeline, self.rows, self.told = Timeline(), [], []
        self.registry = Registry(self.timeline, DiscoverySettings(**how), Random(1), self.rows.append)
        self.server = Server(self.timeline, Fleet(), ServerPlan("s0", KIND, 1.0, 0), "a", Random(1), lambda row: None)
        self.registry.put(self.server, Lifecycle.READY)
        self.registry.begin()
        self.reader = Reader(0, self.told.append)
        self.registry.readers = [self.reader]
        self.registry.born(self.reader)

    def change(self) -> None:
        self.registry.put(self.server, Lifecycle.DRAINING)
        self.registry.batch()


def written(rows: list[Row]) -> list[float | None]:
    return [row.written_s for row in rows]  # type: ignore[union-attr]


def test_a_change_is_told_late_and_later_to_one_that_is_cut_off() -> None:
    listed = Listed()
    listed.reader.deaf_until = 3000.0
    listed.change()
    listed.timeline.run(2999.0)
    assert not listed.told and written(listed.rows) == [None]
    listed.timeline.run(4000.0)
    assert [e.lifecycle for e in listed.told[0].entries] == [Lifecycle.DRAINING]
    assert 3.0 <= (written(listed.rows)[0] or 0.0) <= 3.2


def test_a_new_process_remembers_what_it_was_told_and_is_owed_the_rest() -> None:
    listed = Listed()
    listed.reader.alive = False
    listed.change()
    kept, known = listed.registry.born(listed.reader)
    assert known == {"s0": "active"} and [e.lifecycle for e in kept] == [Lifecycle.READY]
    listed.timeline.run(1000.0)
    assert listed.told[0].kind is ListKind.CHANGES and written(listed.rows)[-1] is not None


def test_a_list_that_is_asked_for_answers_in_turn_or_fails() -> None:
    listed = Listed(mode="ask", capacity=100.0, call_lines=50.0, timeout_s=0.4)
    for _ in range(3):
        listed.registry.ask(listed.reader)
    listed.timeline.run(5000.0)
    kinds = [news.kind for news in listed.told if isinstance(news, ServerList)]
    assert sorted(k.value for k in kinds) == ["changes", "error", "error"] and listed.registry.calls == 3


@pytest.mark.parametrize("kind", KINDS)
def test_a_seed_draws_one_day_and_another_seed_another(kind: str) -> None:
    assert draw(kind, 5, 16) == draw(kind, 5, 16) != draw(kind, 6, 16)
    day = draw(kind, 5)
    assert 190 <= len(day.weights) <= 220 and sum(day.weights) == pytest.approx(len(day.weights))


@pytest.mark.parametrize(
    ("words", "said"),
    [
        (["fleet", "nope"], "'nope' is not one of"),
        (["fleet"], "Missing argument"),
        (["fleet", "calm", "--nodes", "3"], "3 is not in the range"),
        (["fleet", "calm", "--seed", "x"], "'x' is not a valid"),
        (["river"], "No such command 'river'"),
    ],
)
def test_bad_input_is_one_line_and_status_2(words: list[str], said: str, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["simulate", *words]) == 2
    out, err = capsys.readouterr()
    assert said in err and err.count("\n") == 1 and not out


def test_the_command_prints_a_day_for_people_and_for_programs(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["simulate", "fleet", "calm", "--nodes", "4", "--seed", "3", "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert (found["kind"], found["seed"], found["nodes"]) == ("calm", 3, 4) and not any(found["rules"].values())
    assert main(["simulate", "fleet", "calm", "--nodes", "4", "--seed", "3"]) == 0
    head, row = capsys.readouterr().out.splitlines()
    assert head.startswith("day") and f"{found['service']:.3f}" in row and row.endswith("kept")
