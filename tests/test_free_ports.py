"""Ports that tests draw for what they start."""

from __future__ import annotations

import pytest

from loopback import free_ports, worker_ports


def test_workers_of_one_test_run_never_draw_the_same_port(monkeypatch: pytest.MonkeyPatch) -> None:
    drawn = []
    monkeypatch.setenv("PYTEST_XDIST_WORKER_COUNT", "7")
    for worker in range(7):
        monkeypatch.setenv("PYTEST_XDIST_WORKER", f"gw{worker}")
        drawn.append(set(worker_ports()))
        assert set(free_ports(20)) <= drawn[-1]
    assert sum(len(ports) for ports in drawn) == len(set[int]().union(*drawn))


def test_port_that_was_given_a_short_time_ago_is_not_given_again() -> None:
    drawn = [port for _ in range(16) for port in free_ports(4)]
    assert len(set(drawn)) == len(drawn)
