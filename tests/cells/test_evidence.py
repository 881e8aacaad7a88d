"""The tests for poison: innocents are left alone at the stated rate, culprits are found."""

from __future__ import annotations

from random import Random

from cloverhold.cells.core import Cells
from cloverhold.cells.draw import Member
from cloverhold.cells.evidence import Cusum, outcome, presence
from cloverhold.cells.rules import Note, Rules, Terms
from cloverhold.cells.tenancy import Cell
from cloverhold.cells.ward import Step, Ward
from cloverhold.decision.interface import Refuse, Status


def alarms(rate: float, p: float, true: float, observations: int, seed: int) -> int:
    """Alarms of a test for innocents that are there with `true` while the test takes it for `p`."""
    random, cusum, count = Random(seed), Cusum(), 0
    for at in range(observations):
        cusum.tell(presence(p, 0.95, there=random.random() < true), f"s{at % 5}")
        if cusum.alarms(rate):
            cusum, count = Cusum(), count + 1
    return count


def test_false_alarms_keep_to_the_stated_rate() -> None:
    for p in (0.01, 0.1, 0.4):
        seen = sum(alarms(1e-3, p, p, 20000, seed) for seed in range(10))
        assert seen <= 200, f"{seen} in 200,000 observations at p = {p}; 1e-3 is stated"


def test_a_culprit_is_found_within_a_few_failures() -> None:
    for p, most in ((0.01, 5), (0.1, 9), (0.4, 22)):
        random, cusum, needed = Random(3), Cusum(), 0
        while not cusum.alarms(1e-6):
            needed += 1
            cusum.tell(presence(p, 0.95, there=random.random() < 0.97), f"s{needed % 4}")
        assert needed <= most, p


def test_one_server_alone_accuses_nobody() -> None:
    cusum = Cusum()
    for _ in range(100):
        cusum.tell(outcome(0.01, failed=True), "s1")
    assert cusum.sum > 100 and not cusum.alarms(1e-6)
    cusum.tell(outcome(0.01, failed=True), "s2")
    assert cusum.alarms(1e-6)


class Fleet:
    """Tenants on a core of cells, and servers that die of one of them."""

    def __init__(self, seed: int, **rules: object) -> None:
        self.random, self.now, self.ref = Random(seed), 0.0, 0
        self.cells = Cells(Rules(newcomers=0, **rules), lambda pool: True)  # type: ignore[arg-type]
        self.up = {f"s{n}": 0.0 for n in range(12)}
        self.cells.members({name: Member(name) for name in self.up}, 0.0)
        self.out: list[tuple[float, int, Cell, str, Status, float]] = []
        self.notes: list[Note] = []

    def ask(self, key: str, *, kills: bool = False, fails: float = 0.0) -> None:
        cell = self.cells.route(key, self.now)
        if isinstance(cell, Refuse):
            return
        self.ref += 1
        server = self.random.choice(cell.servers)
        self.cells.sent(self.ref, cell, server, self.now)
        if self.up[server] > self.now:
            self._end(self.ref, cell, server, Status.CONNECT_FAILED, 1.0)
        elif kills:
            for entry in [e for e in self.out if e[3] == server]:
                self.out.remove(entry)
                self._end(entry[1], entry[2], server, Status.RESET, 20.0)
            self._end(self.ref, cell, server, Status.RESET, 2.0)
            self.up[server] = self.now + 3000.0
        else:
            spent = self.random.expovariate(1 / 60.0)
            status = Status.ERROR if self.random.random() < fails else Status.OK
            self.out.append((self.now + spent, self.ref, cell, server, status, spent))

    def _end(self, ref: int, cell: Cell, server: str, status: Status, spent: float) -> None:
        self.cells.ended(ref, cell, "safe", server, status, spent, self.now)
        self.cells.left(cell)

    def wait(self, ms: float) -> None:
        self.now += ms
        for entry in sorted(e for e in self.out if e[0] <= self.now):
            self.out.remove(entry)
            self._end(*entry[1:])
        self.cells.tick(self.now)
        self.notes += [a for a in self.cells.take() if isinstance(a, Note)]

    def accused(self) -> list[str]:
        return [str(n.fields["key"]) for n in self.notes if n.name == "cells.quarantined"]


def test_a_tenant_that_kills_each_server_it_reaches_is_found_and_no_other() -> None:
    for seed in range(6):
        fleet = Fleet(seed)
        for turn in range(4000):
            fleet.wait(10.0)
            fleet.ask(f"t{fleet.random.randrange(40)}")
            if turn % 300 == 299:
                fleet.ask("poison", kills=True)
        assert set(fleet.accused()) == {"poison"}, (seed, fleet.accused())


def test_a_busy_neighbour_of_a_culprit_is_not_accused() -> None:
    for seed in range(4):
        fleet = Fleet(seed, servers=3)
        for turn in range(4000):
            fleet.wait(10.0)
            fleet.ask("busy")
            fleet.ask(f"t{fleet.random.randrange(20)}")
            if turn % 250 == 249:
                fleet.ask("poison", kills=True)
        assert "busy" not in fleet.accused() and "poison" in fleet.accused()


def test_servers_that_die_of_nobody_accuse_nobody() -> None:
    accused = 0
    for seed in range(6):
        fleet = Fleet(seed)
        for turn in range(4000):
            fleet.wait(10.0)
            fleet.ask(f"t{fleet.random.randrange(40)}", kills=turn % 200 == 199)  # another one each time
        accused += len(fleet.accused())
    assert not accused


def test_a_tenant_whose_requests_fail_alone_is_found_where_all_fail_alike_nobody_is() -> None:
    fleet = Fleet(1)
    for _ in range(3000):
        fleet.wait(10.0)
        fleet.ask(f"t{fleet.random.randrange(40)}", fails=0.05)
        if fleet.random.random() < 0.1:
            fleet.ask("broken", fails=0.9)
    assert set(fleet.accused()) == {"broken"}
    fleet = Fleet(2)
    for _ in range(4000):
        fleet.wait(10.0)
        fleet.ask(f"t{fleet.random.randrange(40)}", fails=0.4)
    assert not fleet.accused()


def test_a_ward_is_let_out_step_by_step_and_falls_back_on_less_evidence() -> None:
    fleet = Fleet(1, terms=Terms(1.0, 4.0, 2000.0))
    for turn in range(2500):
        fleet.wait(10.0)
        fleet.ask(f"t{fleet.random.randrange(40)}")
        if turn % 150 == 149:
            fleet.ask("poison", kills=True)
    ward = fleet.cells.tenancies.known["poison"].ward
    assert ward is not None and ward.confined()
    cell = fleet.cells.route("poison", fleet.now + 5000.0)
    assert not isinstance(cell, Refuse) and len(cell.servers) == 2
    refused = fleet.cells.route("poison", fleet.now + 5001.0)
    assert isinstance(refused, Refuse) and 900 < refused.retry_after_ms <= 1000, "one a second, and told so"
    fleet.cells.left(cell)
    steps = []
    falls = ward.falls
    for _ in range(2000):
        fleet.wait(100.0)
        fleet.ask("poison")
        ward = fleet.cells.tenancies.known["poison"].ward
        step = ward.step.value if ward else "free"
        if not steps or steps[-1] != step:
            steps.append(step)
    assert steps == ["held", "eased", "probation", "free"]
    again = Ward(Terms(1.0, 4.0, 100.0), 0.0)
    assert not again.rest(99.0) and again.rest(100.0) and again.rest(200.0) and again.step is Step.PROBATION
    again.harm(250.0)
    assert again.step is Step.HELD and not again.rest(449.0) and again.rest(450.0), "the quiet time is doubled"
    assert falls <= 4


def test_suspects_are_bounded_whatever_names_come() -> None:
    fleet = Fleet(1, most_keys=200)
    for turn in range(6000):
        fleet.wait(1.0)
        fleet.ask(f"name-{turn}", fails=1.0)
    poison = fleet.cells.poison
    assert len(poison.suspects) <= 2048 and len(fleet.cells.tenancies.known) <= 200
    assert len(poison.touched) < 100 and sum(len(place.out) for place in poison.servers.values()) < 400
