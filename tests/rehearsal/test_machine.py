"""A server's work as arithmetic, against what can be counted by hand and a slow reading in small steps."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhold.rehearsal.machine import Choke, Job, Machine, Offer, Pressure


def machine(**changes: float) -> Machine:
    return Machine(**{"cores": 1, "speed": 1.0, "slots": 8, "queue": 2, "now": 0.0, **changes})  # type: ignore[arg-type]


def test_jobs_share_a_core_evenly() -> None:
    m = machine()
    first, second = Job(100), Job(50)
    assert m.offer(0.0, first) is Offer.STARTED
    assert m.next_due() == pytest.approx(0.1)
    assert m.advance(0.05) == []
    m.offer(0.05, second)  # both have 50 ms left: together they take 100 ms
    assert m.next_due() == pytest.approx(0.15)
    assert set(map(id, m.advance(0.15))) == {id(first), id(second)}
    assert m.next_due() is None and m.count == 0


def test_cores_slots_and_the_waiting_room_bound_it() -> None:
    m = machine(cores=2, slots=2, queue=1, speed=2.0)
    jobs = [Job(100) for _ in range(4)]
    offers = [m.offer(0.0, job) for job in jobs]
    assert offers == [Offer.STARTED, Offer.STARTED, Offer.QUEUED, Offer.FULL]
    assert m.advance(0.05) == jobs[:2]  # at speed 2, each on its own core
    assert m.advance(0.1) == [jobs[2]]


def test_a_job_that_leaves_frees_its_place_and_keeps_what_was_done() -> None:
    m = machine(slots=1)
    first, waits, gone = Job(100), Job(30), Job(30)
    for job in (first, gone, waits):
        m.offer(0.0, job)
    m.advance(0.04)
    m.leave(gone)
    m.leave(first)
    m.leave(first)  # once is enough
    assert first.done_ms == pytest.approx(40) and gone.done_ms == 0
    assert (m.count, m.waited) == (1, 0)
    assert m.advance(0.07) == [waits]


def test_a_cold_machine_warms_up_evenly() -> None:
    m = machine(cold_from=0.5, cold_s=10.0)
    assert [m.warmth(t) for t in (0.0, 5.0, 10.0, 99.0)] == [0.5, 0.75, 1.0, 1.0]
    m.offer(0.0, Job(5000))
    done: list[float] = []
    for step in range(1, 2001):
        if m.advance(step * 0.005):
            done.append(step * 0.005)
    # the integral of the warmth: 0.5 t + 0.025 t^2 = 5 s
    assert done == [pytest.approx(7.32, abs=0.05)]


def test_a_stopped_machine_does_nothing_and_goes_on_later() -> None:
    m = machine()
    job = Job(100)
    m.offer(0.0, job)
    m.advance(0.05)
    m.stopped = True
    assert m.next_due() is None and m.advance(9.0) == []
    m.stopped = False
    assert m.next_due() == pytest.approx(9.05) and m.advance(9.06) == [job]


@settings(max_examples=40, deadline=None)
@given(
    cores=st.integers(1, 3),
    slots=st.integers(1, 4),
    jobs=st.lists(st.tuples(st.integers(0, 30), st.integers(1, 30), st.integers(0, 200)), min_size=1, max_size=8),
)
def test_it_agrees_with_a_slow_reading_in_small_steps(cores: int, slots: int, jobs: list[tuple[int, int, int]]) -> None:
    """Each job: when it comes (in 5 ms), its work, and after how many ms it leaves (past 100: never)."""
    m = machine(cores=cores, slots=slots, queue=99)
    come = [(5 * at, Job(float(work)), 5 * at + leaves if leaves <= 100 else None) for at, work, leaves in sorted(jobs)]
    ended: dict[int, float] = {}
    left = {id(job): job.work_ms for _, job, _ in come}
    slow: dict[int, float] = {}
    running: list[Job] = []
    waiting: list[Job] = []
    for ms in range(450):
        ended.update((id(job), ms) for job in m.advance(ms / 1000))
        for at, job, leaves in come:
            if at == ms:
                m.offer(ms / 1000, job)
                waiting.append(job)
            if leaves == ms:
                m.leave(job)
                running = [j for j in running if j is not job]
                waiting = [j for j in waiting if j is not job]
        for _ in range(10):  # 0.1 ms each
            while waiting and len(running) < slots:
                running.append(waiting.pop(0))
            share = min(1.0, cores / len(running)) if running else 0.0
            for job in running[:]:
                left[id(job)] -= 0.1 * share
                if left[id(job)] <= 1e-9:
                    running.remove(job)
                    slow[id(job)] = ms + 1
    near = 2 + 0.2 * len(jobs)  # a job may end in one reading just as it leaves in the other
    for _, job, leaves in come:
        at = slow.get(id(job), ended.get(id(job)))
        if at is not None and (leaves is None or leaves > at + near):
            assert ended[id(job)] == pytest.approx(slow[id(job)], abs=near)
    assert m.count == m.waited == 0


def test_a_cold_servers_budget_is_work_within_a_span() -> None:
    p = Pressure(multiple=2.5, span_s=1.5, slack_ms=100.0)
    assert not p.add(0.0, 1500, capacity=0.4)  # 2.5 * 0.4 * 1500 and the slack: 1600 ms
    assert not p.add(1.0, 100, capacity=0.4)
    assert p.add(1.4, 1, capacity=0.4)
    assert not p.add(1.6, 1, capacity=0.4)  # the first has fallen out of the span
    assert not p.add(1.7, 1400, capacity=0.4)


def test_a_crowded_server_chokes_until_it_has_rested() -> None:
    choke = Choke(cores=1, at=7.0, after_s=2.0, slower=2.5, rest_s=3.0)
    assert [choke.look(t, 9) for t in (0.0, 1.9)] == [1.0, 1.0]
    assert choke.look(1.95, 3) == 1.0  # not crowded for a moment: it begins anew
    assert [choke.look(t, 9) for t in (2.0, 4.0)] == [1.0, 2.5]
    assert [choke.look(t, 0) for t in (5.0, 7.9)] == [2.5, 2.5]
    assert choke.look(8.0, 0) == 1.0
