"""Requests that wait for a record of the store: clients that leave, and classes that change their effect meanwhile."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path

import pytest

from cloverhold import ClassSettings, Repeat
from cloverhold.store.sent import Told
from cloverhold.store.table import StoreTable
from loopback import CLASSES, Peer, Running, Server, part, play, read_answer, request, running, until


@dataclass
class Waiting:
    """A node with a store, and a client whose unsafe request waits for its record."""

    node: Running
    server: Server
    told: list[Told]  # records are durable, and the node hears of each only by these
    peer: Peer


@asynccontextmanager
async def waiting(folder: Path, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Waiting]:
    server, told = Server(), list[Told]()
    async with running(server, store=StoreTable(str(folder / "store")), probes=False) as node:
        store = node.node.store
        assert store is not None
        record = store.record

        def hold(call_id: bytes, key: bytes, tell: Told) -> int | None:
            told.append(tell)
            return record(call_id, key, lambda how: None)

        monkeypatch.setattr(store, "record", hold)
        peer = await node.connect()
        peer[1].write(request("alerta"))
        await until(lambda: told)
        yield Waiting(node, server, told, peer)
        peer[1].close()


@pytest.mark.parametrize("way", ["closed", "half-closed", "reset"])
def test_a_client_that_leaves_while_its_record_is_written(
    way: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with waiting(tmp_path, monkeypatch) as w:
            host = w.node.node.host
            part(w.peer[1], way)
            await until(lambda: not host.open)
            w.told[0]("durable")
            assert not host.open and not host.call_ids and not host.balancer.requests
            # It never left the node: the same id is new again.
            reader, other = await w.node.connect()
            other.write(request("alerta"))
            await until(lambda: len(w.told) == 2)
            w.told[1]("durable")
            assert (await read_answer(reader)).status == 200 and len(w.server.requests) == 1
            other.close()

    play(test)


def changed(now: Repeat | None) -> tuple[ClassSettings, ...]:
    """The classes with another effect of the one that is asked for, or without it."""
    if now is None:
        return tuple(c for c in CLASSES if c.name != "alerta")
    return tuple(replace(c, repeat=now, aim_ms=3000.0) if c.name == "alerta" else c for c in CLASSES)


@pytest.mark.parametrize(
    ("now", "served"), [(Repeat.SAFE, False), (Repeat.KEYED, False), (Repeat.UNSAFE, True), (None, False)]
)
def test_a_class_that_changes_its_effect_or_goes_while_a_record_is_written(
    now: Repeat | None, served: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module goes by the new settings and could send it twice: it is refused, as it never ran."""

    async def test() -> None:
        async with waiting(tmp_path, monkeypatch) as w:
            host = w.node.node.host
            host.settle(replace(host.settings, classes=changed(now)))
            w.told[0]("durable")
            assert (await read_answer(w.peer[0])).status == (200 if served else 503)
            assert len(w.server.requests) == served and not host.open and not host.call_ids

    play(test)
