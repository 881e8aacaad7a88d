"""Requests that wait for a record of the store: clients that leave, and classes that change their effect meanwhile."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from cloverhold import Repeat
from cloverhold.store.sent import Told
from cloverhold.store.table import StoreTable
from loopback import CLASSES, Running, Server, play, read_answer, request, running, until


def held_records(node: Running, monkeypatch: pytest.MonkeyPatch) -> list[Told]:
    """Records become durable, and the node hears of it only when the test says so."""
    store, told = node.node.store, list[Told]()
    assert store is not None
    record = store.record

    def hold(call_id: bytes, key: bytes, tell: Told) -> int | None:
        told.append(tell)
        return record(call_id, key, lambda how: None)

    monkeypatch.setattr(store, "record", hold)
    return told


@pytest.mark.parametrize("way", ["closed", "half-closed", "reset"])
def test_a_client_that_leaves_while_its_record_is_written(
    way: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        server = Server()
        async with running(server, store=StoreTable(str(tmp_path / "store")), probes=False) as node:
            told, host = held_records(node, monkeypatch), node.node.host
            _reader, writer = await node.connect()
            writer.write(request("alerta"))
            await until(lambda: told)
            if way == "reset":
                writer.transport.abort()
            elif way == "half-closed":
                writer.write_eof()
            else:
                writer.close()
            await until(lambda: not host.open)
            told[0]("durable")
            assert not host.open and not host.call_ids and not host.balancer.requests
            # It never left the node: the same id is new again.
            reader, other = await node.connect()
            other.write(request("alerta"))
            await until(lambda: len(told) == 2)
            told[1]("durable")
            assert (await read_answer(reader)).status == 200 and len(server.requests) == 1
            writer.close()
            other.close()

    play(test)


@pytest.mark.parametrize(("now", "served"), [(Repeat.SAFE, False), (Repeat.KEYED, False), (Repeat.UNSAFE, True)])
def test_a_class_that_changes_its_effect_while_a_record_is_written(
    now: Repeat, served: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The module goes by the new settings and could send it twice: it is refused, as it never ran."""

    async def test() -> None:
        server = Server()
        async with running(server, store=StoreTable(str(tmp_path / "store")), probes=False) as node:
            told, host = held_records(node, monkeypatch), node.node.host
            reader, writer = await node.connect()
            writer.write(request("alerta"))
            await until(lambda: told)
            classes = tuple(replace(c, repeat=now, aim_ms=3000.0) if c.name == "alerta" else c for c in CLASSES)
            host.settle(replace(host.settings, classes=classes))
            told[0]("durable")
            assert (await read_answer(reader)).status == (200 if served else 503)
            assert len(server.requests) == served and not host.open
            writer.close()

    play(test)


def test_a_class_that_goes_while_a_record_is_written(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        server = Server()
        async with running(server, store=StoreTable(str(tmp_path / "store")), probes=False) as node:
            told, host = held_records(node, monkeypatch), node.node.host
            reader, writer = await node.connect()
            writer.write(request("alerta"))
            await until(lambda: told)
            host.settle(replace(host.settings, classes=tuple(c for c in CLASSES if c.name != "alerta")))
            told[0]("durable")
            assert (await read_answer(reader)).status == 503
            assert not server.requests and not host.open and not host.call_ids
            writer.close()

    play(test)
