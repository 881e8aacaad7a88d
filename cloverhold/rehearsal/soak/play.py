"""One soak, from its first port to its verdict."""

from __future__ import annotations

import asyncio
import gc
import tempfile
from collections.abc import Sequence
from pathlib import Path

import uvloop

from cloverhold.rehearsal.ledger import Dial
from cloverhold.rehearsal.nodes import COMMAND, NodeFailed, usage
from cloverhold.rehearsal.soak.draw import draw
from cloverhold.rehearsal.soak.verdict import AtRest, SoakResult, assess
from cloverhold.rehearsal.stage import Stage, staged

REST_S = 3.0  # after the last client has left: idle connections of clients end in 2 s


def play(seed: int, logs: Path | None = None, command: Sequence[str] = COMMAND) -> SoakResult:
    """Play the soak of this seed with real nodes; logs: where theirs are kept; command: what starts a node."""
    if logs is not None:
        folder = logs / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(_play(seed, folder, command))
    with tempfile.TemporaryDirectory(prefix="cloverhold-soak-") as name:
        return uvloop.run(_play(seed, Path(name), command))


async def _play(seed: int, folder: Path, command: Sequence[str]) -> SoakResult:
    scenario = draw(seed)
    gc.freeze()
    gc.disable()  # a collection of the kit's would look like a late node
    try:
        async with staged(scenario, folder, command) as stage:
            await stage.ready()
            at_rest = list[AtRest]()
            if not stage.stopped.is_set():
                await stage.play()
                at_rest = await _rest(stage)
            ledger = await stage.end()
            return assess(scenario, ledger, folder, at_rest)
    except NodeFailed as error:
        return SoakResult(seed, 0, 0.0, "", [f"a node did not start: {error}"])
    finally:
        gc.enable()
        gc.unfreeze()


async def _rest(stage: Stage) -> list[AtRest]:
    """What the nodes hold when nobody asks anything of them any more."""
    await stage.strangers.close()
    await stage.clients.close()
    await asyncio.sleep(REST_S)
    held = []
    for node in stage.nodes:
        if node.process is None or not node.serves():
            continue
        dials = [d for d in stage.world.ledger.of(Dial) if d.node == node.number and d.closed_s is None]
        try:
            descriptors = usage(node.process.pid)[1]
        except (OSError, IndexError):  # it has just ended, which is found elsewhere
            continue
        held.append(AtRest(node.number, descriptors, len(dials)))
    return held
