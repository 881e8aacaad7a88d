"""The store against a disk that loses what real ones lose: every byte, every cut, every failed call."""

from __future__ import annotations

import errno
import json
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from random import Random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverhold.store.codec import HEAD_SIZE, Kind, Manifest, NewerFormat, StoreError, encode, head, segment_name
from cloverhold.store.command import main
from cloverhold.store.disk import LOCK, MANIFEST, MARK
from cloverhold.store.log import Log
from cloverhold.store.real import RealDisk
from cloverhold.store.recovery import recover
from cloverhold.store.simulated import Cut, File, SimulatedDisk

STORE = bytes(range(16))


def opened(disk: SimulatedDisk, segment_bytes: int = 400) -> Log:
    return Log(disk, STORE, segment_bytes=segment_bytes)


def contents(log: Log) -> dict[bytes, bytes]:
    return {key: entry.value for key, entry in log.index.items()}


def copy(files: dict[str, bytes]) -> SimulatedDisk:
    disk = SimulatedDisk()
    for name, data in files.items():
        file = File()
        file.seen, file.kept = bytearray(data), bytearray(data)
        disk.files[name] = disk.entries[name] = file
    return disk


def written(count: int = 40) -> tuple[dict[str, bytes], list[dict[bytes, bytes]]]:
    """A store's files with several segments, and its states after each record that was acknowledged."""
    disk = SimulatedDisk()
    log, states = opened(disk, 300), [{}]
    for n in range(count):
        if n % 7 == 6:
            log.delete(b"key-%d" % (n - 3))
        else:
            log.put(b"key-%d" % (n % 11), b"v%d" % n)
        log.flush()
        states.append(contents(log))
    assert len(log.manifest.sealed) >= 2
    return {name: disk.read(name) for name in disk.names()}, states


def spoilings(data: bytes) -> Iterator[tuple[str, bytes]]:
    """The file cut at every byte, and with bits turned, zeros and noise at every byte."""
    random = Random(4)
    for at in range(len(data)):
        yield f"cut at {at}", data[:at]
        yield f"bit turned at {at}", data[:at] + bytes([data[at] ^ (1 << random.randrange(8))]) + data[at + 1 :]
        size = random.randrange(1, 24)
        for what, noise in (("zeros", bytes(size)), ("noise", random.randbytes(size))):
            yield f"{what} at {at}", data[:at] + noise[: len(data) - at] + data[at + size :]


def test_every_byte_of_every_file_spoilt_gives_all_that_was_acknowledged_or_a_refusal() -> None:
    files, states = written()
    refused = good = 0
    for name, data in files.items():
        for what, spoilt in spoilings(data):
            if spoilt == data:
                continue
            disk = copy({**files, name: spoilt})
            try:
                found = recover(disk)
            except StoreError as error:
                refused += 1
                assert "\n" not in str(error) and (".log" in str(error) or MANIFEST in str(error)), (name, what)
                continue
            good += 1
            state = {key: record.value for key, record in found.live.items()}
            assert state == states[-1], f"{name}: {what}: neither all of it nor a refusal"
    assert refused > 1000 and good > 50, "the mark alone may be spoilt and harm nothing"


def test_without_the_mark_a_cut_tail_is_a_consistent_earlier_state() -> None:
    """As after a cut of power, which the mark need not have survived."""
    files, states = written()
    active = max(name for name in files if name.endswith(".log"))
    for what, spoilt in spoilings(files[active]):
        disk = copy({**files, active: spoilt})
        del disk.files[MARK]
        try:
            found = recover(disk)
        except StoreError:
            continue
        assert {key: record.value for key, record in found.live.items()} in states, what


@pytest.mark.parametrize("names", [[MANIFEST], ["0000000000000001.log"], [MANIFEST, MARK, LOCK]])
def test_what_is_missing_is_named(names: list[str]) -> None:
    files, _ = written()
    with pytest.raises(StoreError, match=names[0]):
        opened(copy({name: data for name, data in files.items() if name not in names}))


def test_a_newer_format_is_refused_by_name() -> None:
    files, _ = written()
    newer = Manifest(STORE, 1, (), 1).encode().partition(b" ")[0].replace(b'"format":1', b'"format":2')
    import google_crc32c

    files[MANIFEST] = b"%s %08x\n" % (newer, google_crc32c.value(newer))
    with pytest.raises(NewerFormat, match="format 2"):
        opened(copy(files))


def test_a_copy_is_refused_until_it_is_adopted() -> None:
    files, states = written()
    disk = copy(files)
    disk.identity = (1, 2)
    with pytest.raises(StoreError, match="copy"):
        opened(disk)
    assert len(recover(disk, copied=True).live) == len(states[-1])


def test_records_of_another_segment_or_store_are_none_here() -> None:
    """A valid record after garbage, an old block under a new name: neither comes back."""
    disk = SimulatedDisk()
    log = opened(disk, 10_000)
    log.put(b"a", b"1")
    log.flush()
    active = segment_name(log.manifest.active)
    other = encode(7, Kind.PUT, 2, b"a", b"old")
    behind = encode(0, Kind.PUT, 3, b"a", b"later")
    disk.files[active].seen += other + behind
    assert contents(opened(disk)) == {b"a": b"1"}
    disk = copy({**{n: disk.read(n) for n in disk.names()}, segment_name(9): head(STORE, 9, 1) + other})
    assert contents(opened(disk)) == {b"a": b"1"}, "what no manifest names is no part of it"
    assert segment_name(9) not in disk.names()


def test_two_segments_that_claim_one_sequence_are_refused() -> None:
    files, _ = written()
    first, second = sorted(name for name in files if name.endswith(".log"))[:2]
    number = int(second[:16], 16)
    body = files[second][HEAD_SIZE:]
    with pytest.raises(StoreError, match=second):
        opened(copy({**files, second: head(STORE, number, 1) + body}))
    with pytest.raises(StoreError, match=first):
        opened(copy({**files, first: files[second], second: files[first]}))


def failing(at: int, error: Callable[[], BaseException]) -> Callable[[int, str], None]:
    def before(number: int, what: str) -> None:
        if number == at:
            raise error()

    return before


States = list[dict[bytes, bytes]]


def work(log: Log, random: Random, states: States, rounds: int) -> Iterator[None]:
    """Random work. `states` holds what may be found after a cut at that moment: the last is what was put by then."""
    for _ in range(rounds):
        for _ in range(random.randrange(1, 4)):
            key, state = b"k%d" % random.randrange(8), dict(states[-1])
            if random.random() < 0.25:
                log.delete(key)
                state.pop(key, None)
            else:
                state[key] = random.randbytes(random.randrange(30))
                log.put(key, state[key])
            states.append(state)
        log.flush()
        del states[:-1]
        if random.random() < 0.6:
            log.compact()
        yield


def test_a_cut_at_every_single_operation_keeps_what_was_acknowledged() -> None:
    """Creation, appends, syncs, segment switches, each step of compactions; by power and by the process's death."""
    disk = SimulatedDisk(0)
    log = opened(disk)
    for _ in work(log, Random(9), [{}], 60):
        pass
    assert log.manifest.sealed and log.manifest.epoch > 10
    steps, checked = disk.steps, 0
    for at in range(1, steps + 1):
        for power in (True, False):
            disk, states = SimulatedDisk(at, failing(at, Cut)), [{}]
            with suppress(Cut):
                for _ in work(opened(disk), Random(9), states, 60):
                    pass
            disk.before = lambda number, what: None
            (disk.cut if power else disk.crash)()
            after = contents(opened(disk))
            assert after in states, (at, power)
            again = contents(opened(disk))
            assert again == after, "opened twice it is the same"
            checked += 1
    assert checked == 2 * steps > 500


@settings(deadline=None, max_examples=120)
@given(st.integers(0, 2**32), st.integers(1, 400), st.integers(0, 3))
def test_cuts_on_cuts(seed: int, at: int, more: int) -> None:
    random, states = Random(seed), [{}]
    disk = SimulatedDisk(seed)
    for turn in range(more + 1):
        start = disk.steps
        disk.before = failing(start + 1 + (at * (turn + 1)) % 300, Cut)
        with suppress(Cut):
            for _ in work(opened(disk), random, states, 40):
                pass
        disk.before = lambda number, what: None
        (disk.cut if random.random() < 0.7 else disk.crash)()
        after = contents(opened(disk))
        assert after in states
        states = [after]


def no_room() -> OSError:
    return OSError(errno.ENOSPC, "No space left on device")


def test_a_failed_call_takes_back_what_waited_and_the_next_flush_goes_elsewhere() -> None:
    """At every operation once an error: never acknowledged and lost, never refused and there."""
    disk = SimulatedDisk(0)
    first = (opened(disk), disk.steps)[1]
    disk = SimulatedDisk(0)
    for _ in work(opened(disk), Random(3), [{}], 40):
        pass
    for at in range(first + 1, disk.steps + 1):
        for kind in (errno.EIO, errno.ENOSPC):
            disk = SimulatedDisk(at)
            disk.before = failing(at, lambda kind=kind: OSError(kind, "x"))  # type: ignore[misc]
            log, random, states = opened(disk), Random(3), [{}]
            for _ in range(40):
                try:
                    for _ in work(log, random, states, 1):
                        pass
                except OSError:
                    del states[1:]  # all that waited is taken back
                assert contents(log) == states[0], at
            log.put(b"last", b"1")
            log.flush()
            states[0][b"last"] = b"1"
            assert contents(log) == states[0]
            disk.cut()
            assert contents(opened(disk)) == states[0], at


def test_a_sync_that_failed_is_never_trusted_again() -> None:
    disk = SimulatedDisk(1)
    log = opened(disk)
    log.put(b"a", b"1")
    log.flush()
    active = log.manifest.active
    disk.before = failing(disk.steps + 2, lambda: OSError(errno.EIO, "x"))
    log.put(b"b", b"2")
    with pytest.raises(OSError):
        log.flush()
    assert log.get(b"b") is None and log.durable == 1
    log.put(b"c", b"3")
    log.flush()
    assert log.manifest.active == active + 1, "in another file"
    disk.cut()
    assert contents(opened(disk)) == {b"a": b"1", b"c": b"3"}


def test_a_full_disk_in_a_compaction_gives_room_back_and_loses_nothing() -> None:
    disk = SimulatedDisk(2)
    log, model = opened(disk), {}
    for n in range(130):
        key = b"k%d" % (n % 9) if n >= 10 else b"stays-%d" % n
        log.put(key, b"v%d" % n)
        model[key] = b"v%d" % n
        log.flush()
    assert log.due()
    disk.room = 10
    with pytest.raises(OSError):
        while log.compact():
            pass
    assert contents(log) == model
    disk.room = 2000
    while log.compact():
        pass
    assert contents(log) == model and not log.due() and disk.room > 2000, "more than it took"
    disk.cut()
    assert contents(opened(disk)) == model


def test_the_size_under_a_steady_load_is_bounded() -> None:
    disk, most = SimulatedDisk(3), 0
    log = opened(disk, 4000)
    for n in range(6000):
        log.put(b"id-%d" % n)
        if n >= 50:
            log.forget(b"id-%d" % (n - 50))
        if n % 10 == 9:
            log.flush()
            log.compact()
        most = max(most, log.size())
    assert len(log.index) == 50 and most < 2 * log.live + 3 * 4000
    assert len(disk.names()) < 8


def test_the_commands_check_dump_compact_adopt_and_salvage(tmp_path: Path) -> None:
    run, path, out = CliRunner(), tmp_path / "store", tmp_path / "new"
    disk = RealDisk(str(path))
    log = Log(disk, STORE, segment_bytes=300)
    for n in range(60):
        log.put(b"k%d" % (n % 9), b"v%d" % n)
        log.flush()
    assert "keys 9" in run.invoke(main, ["check", str(path)]).output, "also while it is held"
    assert run.invoke(main, ["compact", str(path)]).exit_code == 1, "a node holds it"
    disk.close()
    assert len(run.invoke(main, ["dump", str(path)]).output.splitlines()) == 9
    assert run.invoke(main, ["compact", str(path)]).exit_code == 0
    assert json.loads(run.invoke(main, ["check", str(path), "--json"]).output)["keys"] == 9
    (path / "LOCK").rename(path / "was")
    (path / "LOCK").touch()
    assert "adopt" in run.invoke(main, ["check", str(path)]).output
    with pytest.raises(StoreError, match="copy"):
        recover(RealDisk(str(path), write=False))
    assert run.invoke(main, ["adopt", str(path)]).exit_code == 0
    assert recover(RealDisk(str(path), write=False)).live
    largest = max(path.glob("*.log"), key=lambda file: file.stat().st_size)
    data = largest.read_bytes()
    largest.write_bytes(data[:80] + b"\xff" * 8 + data[88:])
    said = run.invoke(main, ["check", str(path)])
    assert said.exit_code == 1 and largest.name in said.output and "Traceback" not in said.output
    said = run.invoke(main, ["salvage", str(path), str(out)])
    assert said.exit_code == 0 and "1 places damaged" in said.output
    assert "keys 8" in run.invoke(main, ["check", str(out)]).output


def test_what_a_killed_life_wrote_and_never_synced_is_made_durable_before_it_counts() -> None:
    """Found by cuts at length: read from the cache, sealed as durable, and then lost with the power."""
    for seed in range(20):
        disk = SimulatedDisk(seed)
        log = opened(disk)
        log.put(b"a", b"1")
        log.flush()
        disk.before = failing(disk.steps + 2, Cut)
        log.put(b"b", b"2")
        with suppress(Cut):
            log.flush()  # it dies in the sync
        disk.before = lambda number, what: None
        disk.crash()
        assert contents(opened(disk)) == {b"a": b"1", b"b": b"2"}
        disk.cut()
        assert contents(opened(disk)) == {b"a": b"1", b"b": b"2"}, seed
