"""The one place that decides what may be done now: its table, against a plain reading of the rules."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cloverhold import ClassSettings, Group, Lifecycle, Repeat, ServerEntry
from cloverhold.decision import interface as io
from cloverhold.net.telemetry import Happening
from cloverhold.permission import (
    ANSWER_GRACE_MS, VIOLATIONS, Denial, Run, SendFacts, answered_in_time, may_close, may_send, may_take,
)  # fmt: skip
from loopback import Server, play, request, running, until

HERE = ServerEntry("s0", zone="a", cell=1)
KEYED = ClassSettings("lote", 400, 1000, Repeat.KEYED, Group.CELL, key_ttl_ms=300)
FIRST = SendFacts(KEYED, client_connected=True, left_ms=500.0, body_held=True, server=HERE, most_attempts=3)
AGAIN = replace(FIRST, number=1, ran=Run(1000.0, HERE), now_ms=1100.0)
SAFE, UNSAFE = replace(KEYED, repeat=Repeat.SAFE), replace(KEYED, repeat=Repeat.UNSAFE)


@pytest.mark.parametrize(
    "facts, denial",
    [
        (FIRST, None),
        (AGAIN, None),
        (replace(FIRST, client_connected=False), Denial.CLIENT_GONE),
        (replace(FIRST, left_ms=0.0), Denial.DEADLINE_PASSED),
        (replace(FIRST, body_held=False), Denial.BODY_GONE),
        (replace(FIRST, server=None), Denial.SERVER_UNLISTED),
        (replace(FIRST, server=replace(HERE, lifecycle=Lifecycle.DRAINING)), Denial.SERVER_DRAINING),
        (replace(FIRST, server=replace(HERE, lifecycle=Lifecycle.GONE)), Denial.SERVER_DRAINING),
        (replace(AGAIN, out=1), Denial.TWO_AT_ONCE),
        (replace(AGAIN, out=1, parallel=True), None),
        (replace(AGAIN, number=3), Denial.TOO_MANY_ATTEMPTS),
        (replace(AGAIN, kind=UNSAFE), Denial.UNSAFE_REPEAT),
        (replace(AGAIN, kind=UNSAFE, ran=None), None),
        (replace(AGAIN, kind=SAFE, now_ms=9e9), None),
        (replace(AGAIN, now_ms=1300.0), None),
        (replace(AGAIN, now_ms=1300.1), Denial.WINDOW_PASSED),
        (replace(AGAIN, server=replace(HERE, cell=2)), Denial.OUT_OF_GROUP),
        (replace(AGAIN, kind=replace(KEYED, group=Group.ZONE), server=replace(HERE, cell=2)), None),
        (replace(AGAIN, kind=replace(KEYED, group=Group.ZONE), server=replace(HERE, zone="b")), Denial.OUT_OF_GROUP),
        (replace(AGAIN, kind=replace(KEYED, group=Group.ALL), server=ServerEntry("s1", "b", 2)), None),
    ],
)
def test_sending_and_repeating(facts: SendFacts, denial: Denial | None) -> None:
    assert may_send(facts) is denial


def test_taking_closing_and_answering() -> None:
    good = {"ended": False, "left_ms": 1.0, "id_open": False, "may_have_run": False, "recordable": True}
    assert may_take(**good) is None
    assert may_take(**{**good, "ended": True}) is Denial.PROCESS_ENDED
    assert may_take(**{**good, "left_ms": 0.0}) is Denial.DEADLINE_PASSED
    assert may_take(**{**good, "id_open": True}) is Denial.DUPLICATE_ID
    assert may_take(**{**good, "may_have_run": True}) is Denial.MAY_HAVE_RUN
    assert may_take(**{**good, "recordable": False}) is Denial.NOT_RECORDABLE
    denials = {
        "answer_owed": Denial.ANSWER_OWED,
        "answer_undelivered": Denial.ANSWER_UNDELIVERED,
        "request_incomplete": Denial.REQUEST_INCOMPLETE,
        "bytes_unread": Denial.BYTES_UNREAD,
    }
    idle = dict.fromkeys(denials, False)
    assert may_close(**idle) is None
    for name, denial in denials.items():
        assert may_close(**{**idle, name: True}) is denial
    assert answered_in_time(-500.0) is None and answered_in_time(-500.1) is Denial.ANSWER_LATE


def test_policy_that_repeats_an_unsafe_request_is_counted_and_not_obeyed() -> None:
    """As a broken policy would: nothing leaves, the client still gets its one answer."""
    failed = b"HTTP/1.1 500 Sorry\r\nContent-Length: 0\r\n\r\n"

    async def test() -> None:
        servers = [Server(lambda target, body: failed) for _ in range(2)]
        async with running(*servers, probes=False) as node:
            host, handle = node.node.host, node.node.host.balancer.handle

            def broken(at: float, event: io.Event) -> list[io.Action]:
                again = isinstance(event, io.Outcome) and event.status is io.Status.ERROR and event.attempt == 0
                repeat: list[io.Action] = [io.Send(event.id, "s0")] if again else []  # type: ignore[union-attr]
                return [*repeat, *handle(at, event)]

            host.balancer.handle = broken  # type: ignore[method-assign]
            assert (await node.ask(request("alerta"))).status == 502
            assert host.telemetry.get(Happening.RULE_VIOLATED, Denial.UNSAFE_REPEAT.value) == 1
            assert sum(len(server.requests) for server in servers) == 1 and not host.open

    play(test)


def test_second_attempt_beside_one_that_is_out_is_counted_and_not_made() -> None:
    async def test() -> None:
        servers = [Server(lambda target, body: None) for _ in range(2)]
        async with running(*servers, probes=False) as node:
            host = node.node.host
            _reader, writer = await node.connect()
            writer.write(request("alerta"))
            await until(lambda: sum(len(server.requests) for server in servers) == 1)
            for server in ("s0", "s1"):
                host._send(io.Send(next(iter(host.open)), server))
            assert host.telemetry.get(Happening.RULE_VIOLATED, Denial.TWO_AT_ONCE.value) == 2
            assert host.telemetry.get(Happening.ATTEMPT_BEGUN, "first") == 1
            assert not host.telemetry.get(Happening.ATTEMPT_BEGUN, "retry")
            writer.close()

    play(test)


def test_violations_are_what_nobody_may_ask_for() -> None:
    assert {Denial.TWO_AT_ONCE, Denial.UNSAFE_REPEAT, Denial.OUT_OF_GROUP, Denial.ANSWER_DROPPED} < VIOLATIONS


def test_long_answer_that_is_cut_at_the_end_of_the_process_is_not_counted_as_late() -> None:
    """It began in its client's time, and goes on as long as its server gives it."""
    long = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"y" * 200_000

    async def test() -> None:
        async with running(Server(lambda target, body: long), probes=False) as node:
            host = node.node.host
            _reader, writer = await node.connect()
            writer.write(request())
            await until(lambda: any(opened.begun for opened in host.open.values()))
            next(iter(host.open.values())).expires_at = host.clock.now() - 2 * ANSWER_GRACE_MS
            host.fail_all()
            assert not host.telemetry.get(Happening.RULE_VIOLATED, Denial.ANSWER_LATE.value)
            writer.close()

    play(test)
