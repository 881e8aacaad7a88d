"""Real processes and faults between them. Times: a change is in force everywhere within 15 s (docs/CAPACITY.md)."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner

from cloverhold.fleet.command import main
from cloverhold.fleet.distribution.frames import HEAD, WIRE, frame
from cloverhold.fleet.distribution.interface import Ask, Hello
from cloverhold.fleet.distribution.resources import Confirmed, write
from tests.fleet.distribution.processes import FLEET, Fleet, server, servers, until

A = "service/a"
IN_FORCE_S = 15.0


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path) as one:
        yield one


def told(of: dict[str, int], what: str) -> int:
    return of.get(f"{what} told", 0)


def test_changes_are_in_force_everywhere_and_a_killed_relay_costs_no_whole(fleet: Fleet) -> None:
    mark = fleet.change(servers(200))
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, f"{node.name} has the first")
    first = max(fleet.relays, key=lambda relay: len(fleet.behind(relay)))
    other = next(relay for relay in fleet.relays if relay is not first)
    assert fleet.behind(first)
    first.end(signal.SIGKILL)
    mark = fleet.change({"server/s7": server(7, "leaving")})
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, f"{node.name} has it through the other")
    other.end(signal.SIGKILL)  # both: nodes serve on, and say nothing
    mark = fleet.change({"server/s8": server(8, "leaving"), "server/s9": None})
    time.sleep(2)
    for relay in fleet.relays:
        relay.start()
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, f"{node.name} has what came meanwhile")
    for relay in fleet.relays:
        assert relay.end() == 0
    counts = [relay.events("ended")[0]["counts"] for relay in fleet.relays]
    assert sum(told(c, "whole") for c in counts) == 0 and sum(told(c, "change") for c in counts) == 3
    assert all(node.process is not None and node.process.poll() is None for node in fleet.nodes)


def test_a_node_starts_from_what_it_had_also_with_nobody_there(fleet: Fleet) -> None:
    mark = fleet.change(servers(20))
    node = fleet.nodes[0]
    until(node.has(A, mark), IN_FORCE_S, "it has it")
    node.end(signal.SIGKILL)
    for relay in fleet.relays:
        relay.end(signal.SIGKILL)
    node.start()
    until(lambda: bool(node.events("ready")), 10, "it is ready")
    assert node.mark(A) == mark and [event["event"] for event in node.events()] == ["held", "ready"]
    for relay in fleet.relays:
        relay.start()
    mark = fleet.change({"server/s1": None})
    until(node.has(A, mark), IN_FORCE_S, "it goes on")


def test_a_stopped_node_and_one_that_never_reads_disturb_nobody(fleet: Fleet) -> None:
    mark = fleet.change(servers(2000))
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, "all have it")
    stopped, *others = fleet.nodes
    stopped.send(signal.SIGSTOP)
    deaf = [socket.create_connection(relay.at) for relay in fleet.relays]
    for one in deaf:
        one.sendall(frame(Hello(FLEET, "deaf", WIRE)) + frame(Ask(A, None)) * 50)
    begun = time.monotonic()
    for number in range(40):
        mark = fleet.change({"server/s1": server(3000 + number)})
    for node in others:
        until(node.has(A, mark), IN_FORCE_S, f"{node.name} has the last")
    assert time.monotonic() - begun < IN_FORCE_S
    stopped.send(signal.SIGCONT)
    until(stopped.has(A, mark), IN_FORCE_S, "the stopped one has it")
    changed = [event["number"] for event in stopped.events("switched")]
    assert len(changed) < 20  # the latest value wins: not each of the forty
    for one in deaf:
        one.close()


@pytest.mark.parametrize("deaf", ["node", "relay"])
def test_a_one_way_cut_sends_a_node_to_the_other_relay(fleet: Fleet, deaf: str) -> None:
    mark = fleet.change(servers(20))
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, "all have it")
    one = fleet.nodes[0]
    way = fleet.way(one)
    (way.back if deaf == "node" else way.there).held = True
    mark = fleet.change({"server/s1": None})
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, f"{node.name} has what came meanwhile")
    mark = fleet.change({"server/s2": None})
    until(one.has(A, mark), IN_FORCE_S, "it goes on through the other")
    other = next(w for w in fleet.down[0] if w is not way)
    assert other.passed > 0


def test_a_relay_apart_from_its_writer_serves_on_and_catches_up_by_changes(fleet: Fleet) -> None:
    mark = fleet.change(servers(50))
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, "all have it")
    holding = sum(any(row.name == relay.name for row in fleet.rows(relay)) for relay in fleet.relays)
    for way in fleet.up:
        way.there.held = way.back.held = True
    for number in range(20):
        mark = fleet.change({f"server/s{number}": server(400 + number)})
    time.sleep(5)  # longer than anybody waits for a word
    assert all(node.mark(A) != mark for node in fleet.nodes)
    for way in fleet.up:
        way.there.held = way.back.held = False
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, f"{node.name} has all of it")
    assert fleet.writer.end() == 0
    counts = fleet.writer.events("ended")[0]["counts"]
    assert told(counts, "whole") == holding >= 1  # at first, to each relay that a node came to


def test_bytes_that_trickle_and_come_late_hold_up_nobody_else(fleet: Fleet) -> None:
    slow, late, plain = fleet.nodes
    for way in fleet.down[0]:
        way.back.per_s = 9_000.0  # what a node may spend
    for way in fleet.down[1]:
        way.there.delay_s = way.back.delay_s = 0.15
    begun = time.monotonic()
    mark = fleet.change(servers(400))  # two parts: 3 s at that rate
    until(plain.has(A, mark), 5, "the plain one has it")
    until(late.has(A, mark), 5, "the late one has it")
    until(slow.has(A, mark), IN_FORCE_S, "the slow one has it")
    assert time.monotonic() - begun > 1.0


def test_a_writer_that_was_set_back_goes_on_from_what_its_relays_hold(fleet: Fleet, tmp_path: Path) -> None:
    fleet.change(servers(10))
    assert fleet.writer.end() == 0
    yesterday = fleet.writer.copy(tmp_path / "yesterday")
    fleet.writer.start()
    until(lambda: bool(fleet.writer.events("ready")), 10, "the writer is ready")
    mark = fleet.change({"server/new": server(300)})
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, "all have it")
    fleet.writer.end(signal.SIGKILL)
    fleet.writer.set_back(yesterday)
    fleet.writer.start()
    until(lambda: bool(fleet.writer.events("ready")), 10, "the writer is ready again")
    assert fleet.writer.mark(A) == mark
    after = fleet.change({"server/s1": None})
    assert after.version > mark.version
    for node in fleet.nodes:
        until(node.has(A, after), IN_FORCE_S, "all have what follows")


def test_a_version_that_takes_away_much_is_held_until_it_is_confirmed(fleet: Fleet) -> None:
    before = fleet.change(servers(10))
    for node in fleet.nodes:
        until(node.has(A, before), IN_FORCE_S, "all have it")
    fleet.change({f"server/s{n}": None for n in range(6)})
    until(
        lambda: sum(row.refused is not None for relay in fleet.relays for row in fleet.rows(relay)) == 3,
        IN_FORCE_S, "all have refused it",
    )  # fmt: skip
    rows = [row for relay in fleet.relays for row in fleet.rows(relay) if row.refused is not None]
    assert {row.why for row in rows} == {"takes away 6 of 10 ready servers"} and {row.held for row in rows} == {before}
    assert all(node.mark(A) == before for node in fleet.nodes)
    at = f"127.0.0.1:{fleet.relays[0].port}"
    shown = CliRunner().invoke(main, ["config", "--at", at, "--fleet", FLEET]).output
    assert "name" in shown and (not fleet.behind(fleet.relays[0]) or "takes away 6 of 10" in shown)
    mark = fleet.change({"confirmed/removal": write(Confirmed("test", 1))})
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, "all have it now")


def test_a_thousand_changes_in_ten_seconds(fleet: Fleet) -> None:
    fleet.change(servers(30))
    begun = time.monotonic()
    marks = fleet.stream(1000, 100.0)
    assert [mark.number for mark in marks] == list(range(marks[0].number, marks[0].number + 1000))
    for node in fleet.nodes:
        until(node.has(A, marks[-1]), IN_FORCE_S, "all have the last")
    assert time.monotonic() - begun < 10 + IN_FORCE_S
    for node in fleet.nodes:
        numbers = [event["number"] for event in node.events("switched")]
        assert numbers == sorted(set(numbers))


def test_an_unknown_scope_comes_when_it_is_there_and_others_come_meanwhile(tmp_path: Path) -> None:
    with Fleet(tmp_path, nodes=[("service/none", A)]) as fleet:
        mark = fleet.change(servers(3))
        until(fleet.nodes[0].has(A, mark), IN_FORCE_S, "the other scope")
        late = fleet.change(servers(3), scope="service/none")
        until(fleet.nodes[0].has("service/none", late), IN_FORCE_S, "the late one")


def test_what_is_no_word_ends_its_connection_alone(fleet: Fleet) -> None:
    hello = frame(Hello(FLEET, "odd", WIRE))
    odd = [b"GET / HTTP/1.1\r\n\r\n", HEAD.pack(1 << 31, 0), hello + hello, frame(Hello("other", "x", WIRE)),
           frame(Ask(A, None)), hello + frame(Ask(A, None))[:-1] + b"\x00"]  # fmt: skip
    for data in odd:
        with socket.create_connection(fleet.relays[0].at) as one:
            one.settimeout(5)
            one.sendall(data)
            ended = False
            try:
                while one.recv(4096):
                    pass
                ended = True
            except ConnectionResetError:
                ended = True
            assert ended, data
    mark = fleet.change(servers(3))
    for node in fleet.nodes:
        until(node.has(A, mark), IN_FORCE_S, "all have it")


def test_a_change_that_is_wrong_is_declined_in_a_line(fleet: Fleet, tmp_path: Path) -> None:
    first = fleet.change(servers(3))
    answer = fleet.asked({"server/s9": server(1)})
    assert answer.mark is None and answer.why == "server/s9: address: 10.0.0.1:80 is server/s1's too"
    file, at = tmp_path / "change.json", f"127.0.0.1:{fleet.writer.port}"
    words = ["change", "--at", at, "--fleet", FLEET, "--scope", A, str(file)]
    for text, status, says in (
        ("{", 2, "change.json: "), ("[]", 2, "an object of keys"), ('{"server/x": 3}', 2, "an object of keys"),
        ('{"server/x": {"adress": "h:1"}}', 2, "server/x: adress: no such field"),
        ('{"server/x": {"address": "10.0.0.1:80"}}', 1, "is server/s1's too"),
        (json.dumps({"server/x": {"address": "h:1"}, "server/s0": None}), 0, f"{A}: {first.epoch}.{first.number + 1}"),
    ):  # fmt: skip
        file.write_text(text)
        result = CliRunner().invoke(main, words)
        assert result.exit_code == status and says in result.output, result.output
    assert "no writer" in CliRunner().invoke(main, [*words[:2], f"127.0.0.1:{fleet.relays[0].port}", *words[3:]]).output


NODE = "[distribution]\nfleet = 'f'\nname = 'n'\nrole = 'node'\nstore = 's'\n"


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("", "[distribution] is missing"),
        ("[distribution]\nfleet = 'f'\nname = 'n'\nrole = 'relay'\nstore = 's'", "listen: a relay needs one"),
        (NODE + "sources = ['h:1']", "scopes: a node needs"),
        ("[distribution]\nfleet = 'f'\nname = 'n'\nrole = 'boss'\nstore = 's'", "distribution.role"),
        (NODE + "sources = ['h']\nscopes = ['a']", "'h' "),
    ],
)  # fmt: skip
def test_bad_input_is_refused_in_a_line(tmp_path: Path, text: str, says: str) -> None:
    file = tmp_path / "x.toml"
    file.write_text(text)
    result = CliRunner().invoke(main, ["distribute", str(file)])
    assert result.exit_code == 2 and says in result.output and result.output.count("\n") == 1, result.output


def test_a_node_of_the_platform_loads_nothing_of_it() -> None:
    code = "import cloverhold.__main__, sys; print([m for m in sys.modules if 'distribution' in m])"
    assert subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout == "[]\n"
