"""Whatever a client's datagrams and streams hold: no exception, no state that stays, and the others are served.

What it has found stands in docs/measurements/http3.md.
"""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from cloverhold.h3.session import Session
from cloverhold.h3.streams import Take
from fuzzing import Bench, broken_frames, spoil


@pytest.fixture(scope="module")
def bench(tmp_path_factory: pytest.TempPathFactory) -> Bench:
    return Bench(tmp_path_factory.mktemp("keys"))


def test_the_driver_itself_brings_a_request_through(bench: Bench) -> None:
    pair = bench.pair()
    pair.ask("alerta", "1")
    pair.turn(lambda data: [data])
    assert [type(e) for e in pair.seen if isinstance(e, Take)] == [Take] and pair.client_ready


@pytest.mark.parametrize("seed", range(8))
def test_spoilt_datagrams(seed: int, bench: Bench) -> None:
    source = random.Random(seed)
    for _ in range(12):
        pair = bench.pair()
        for number in range(3):
            pair.ask("alerta", str(number))
        pair.turn(lambda data: spoil(data, source))
        for _ in range(6):
            pair.now += 0.4
            pair.turn(lambda data: spoil(data, source))
        assert len({e.stream for e in pair.seen if isinstance(e, Take)}) == sum(isinstance(e, Take) for e in pair.seen)
        over(pair.session, bench)


@pytest.mark.parametrize("seed", range(8))
def test_broken_frames_and_fields(seed: int, bench: Bench) -> None:
    source = random.Random(seed)
    for _ in range(12):
        pair = bench.pair()
        pair.turn(lambda data: [data])
        for _ in range(4):
            pair.raw(source.choice((0, 4, 8, 2, 6, 10)), broken_frames(source), end=source.random() < 0.4)
            pair.turn(lambda data: [data])
        pair.now += 3.0
        pair.sweep()
        over(pair.session, bench)


def over(session: Session, bench: Bench) -> None:
    """The connection ends, and nothing of it is left."""
    list(session.close())
    list(session.lost())
    assert (bench.budget.streams, bench.budget.bytes) == (0, 0)


def test_the_folder_of_keys_is_made_at_test_time(bench: Bench) -> None:
    assert Path(bench.folder, "node.key").exists()
