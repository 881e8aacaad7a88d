"""What a node that remembers a list asks of discovery when it starts."""

from __future__ import annotations

import asyncio

from loopback import ASKED, PUSHED, Catalog, Server, play, running, target, until

from cloverhold import ListMode
from cloverhold.net.clock import Clock
from cloverhold.net.discovery.server_list import Members
from cloverhold.net.discovery.watcher import Discovery


def test_a_remembered_list_is_followed_by_its_changes_and_not_told_whole_again() -> None:
    # Forty nodes that each asked for sixty lines at start kept the one service so busy that their watches failed:
    # most had no news of drains for the whole day, and sent a third of all requests to servers that turned them away.
    async def test() -> None:
        async with running(Server(), known=1, list_mode=ListMode.ASK, must_ask_ms=10000.0) as run:
            await until(lambda: run.catalog.requests)
            assert "from=1&" in run.catalog.requests[0][0]
            gone = [{**line, "state": "left"} for line in run.catalog.targets]
            run.catalog.change(gone)
            await until(lambda: not run.node.host.upstreams)

    play(test)


def test_a_service_that_counts_from_anew_is_asked_for_the_whole_list() -> None:
    async def test() -> None:
        async with running(Server(), known=41) as run:
            await until(lambda: any("from=" not in asked for asked, _, _ in run.catalog.requests))

    play(test)


class Forgetful(Catalog):
    """Discovery that knows no version of before."""

    async def serve(self, asked: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if "from=41" in asked:
            self.requests.append((asked, head, body))
            writer.write(b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
            return True
        return await super().serve(asked, head, body, writer)


def test_a_service_that_does_not_know_the_version_is_asked_for_the_whole_list() -> None:
    async def test() -> None:
        service, told = Forgetful([target("s0", 9)]), asyncio.Event()
        await service.start()
        clock = Clock()
        discovery = Discovery(
            ("127.0.0.1", service.port), clock, lambda members: told.set(), lambda: None, lambda: PUSHED
        )
        discovery.resume(Members(41, True, (), {}))
        discovery.watch()
        await told.wait()
        discovery.stop()
        service.stop()
        assert ["from=" in asked for asked, _, _ in service.requests[:2]] == [True, False]

    play(test)


class Failing(Catalog):
    """Discovery that turns its first calls away, breaks off the next, and then answers."""

    async def serve(self, asked: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        calls = len(self.requests)
        if calls < 2:
            self.requests.append((asked, head, body))
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            return True
        if calls < 4:
            self.requests.append((asked, head, body))
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{"rev": 7, "all": true, ')
            writer.close()
            return False
        return await super().serve(asked, head, body, writer)


def test_calls_that_fail_are_made_again_from_the_same_version() -> None:
    async def test() -> None:
        service, told, failed = Failing([target("s0", 9)]), list[Members](), 0

        def fails() -> None:
            nonlocal failed
            failed += 1
            asyncio.get_running_loop().call_soon(discovery.watch)  # the module asks again in its own time

        await service.start()
        discovery = Discovery(("127.0.0.1", service.port), Clock(), told.append, fails, lambda: ASKED)
        discovery.resume(Members(0, True, (), {}))
        discovery.watch()
        await until(lambda: told)
        discovery.stop()
        service.stop()
        assert failed == 4 and all("from=0&" in asked for asked, _, _ in service.requests[:5])
        assert told[0].version == 1 and not told[0].full

    play(test)
