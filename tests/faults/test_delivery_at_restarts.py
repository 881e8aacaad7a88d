"""A planned restart ends once its clients have their answers. One client each: another that is owed hides the fault."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loopback import play
from node_process import node_process
from pausing_reader import LongAnswers, PausingReader

TERM_AFTER_S, PAUSE_S = 0.3, 2.0  # behind the request
KILL_S = 3.7  # SIGKILL comes no sooner behind SIGTERM: deadlines of 3 s, and 0.7 s
SIZES = range(25_000, 400_001, 25_000)
AT_ONCE = 4  # nodes


async def lost_at_restart(folder: Path, size: int, last_after_s: float, further_after_s: float | None) -> int:
    """Bytes of its answer that the one client of a node lacks; the node ends by itself within its time."""
    folder.mkdir()
    server = LongAnswers(last_bytes=8192, last_after_s=last_after_s)
    async with node_process(folder, server, settings={"Probes": False}) as node:
        reader = PausingReader(size, PAUSE_S, further_after_s=further_after_s)
        reading = asyncio.create_task(reader.lost_bytes(node.port))
        await asyncio.sleep(TERM_AFTER_S)
        began = time.monotonic()
        assert await node.terminate() == 0
        assert time.monotonic() - began < KILL_S
        return await reading


@pytest.mark.parametrize("further_after_s", [None, 1.5], ids=["no_further_request", "further_request"])
@pytest.mark.parametrize("last_after_s", [0.0, 1.0], ids=["given_before", "given_meanwhile"])
def test_planned_restart_does_not_cut_off_an_answer_that_its_client_has_not_taken(
    tmp_path: Path, last_after_s: float, further_after_s: float | None
) -> None:
    """The node owed nothing more once an answer was handed to the transport, and exited with a part of it."""

    async def test() -> None:
        lost = list[int]()
        for first in range(0, len(SIZES), AT_ONCE):
            some = SIZES[first : first + AT_ONCE]
            plays = (lost_at_restart(tmp_path / str(size), size, last_after_s, further_after_s) for size in some)
            lost += await asyncio.gather(*plays)
        assert {size: count for size, count in zip(SIZES, lost, strict=True) if count} == {}

    play(test)
