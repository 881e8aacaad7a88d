"""Two processes of one node: who gets what, what the dead leave, what a torn page does."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverhold.bodies.budget import budget_of
from cloverhold.succession.core import (
    LEAST,
    Page,
    Place,
    as_one_of,
    bodies_of,
    latest,
    read_page,
    share,
    write_page,
)
from cloverhold.succession.shell import Succession
from helpers import make_settings
from loopback import OK, WAIT_S, Server, free_ports, play, until

MB = 1024 * 1024
PAGES = st.builds(
    Page, st.floats(0, 9), st.booleans(), st.integers(0, 500), st.none() | st.just({"rev": 1, "targets": []})
)


@given(PAGES)
def test_a_page_is_read_as_it_was_written_and_torn_anywhere_not_at_all(page: Page) -> None:
    text = write_page(page)
    assert read_page(text) == page
    assert all(read_page(text[:end]) is None for end in range(len(text)))


@pytest.mark.parametrize(
    "text", ["", "[]", "3", "{}", "\x00", "[" * 100000, json.dumps({"v": 2, "started": 1, "serving": True, "held": 1})]
)
def test_what_is_no_page_tells_nothing(text: str) -> None:
    assert read_page(text) is None


@pytest.mark.parametrize("key", ["started", "serving", "held"])
@pytest.mark.parametrize("value", [None, "x", [], float("nan"), -1])
def test_a_page_with_a_wrong_value_tells_nothing(key: str, value: object) -> None:
    raw = json.loads(write_page(Page(1.0, True, 3)))
    raw[key] = value
    assert (read_page(json.dumps(raw)) is None) == ((key, value) != ("started", -1))


@given(st.integers(128, 1024), st.integers(0, 900), st.integers(0, 900))
def test_two_processes_that_take_all_they_may_stay_within_the_descriptors_of_one(
    sockets: int, first: int, second: int
) -> None:
    """Both read each other's pages at the same moment, and both then take, or let go, at once."""
    held = [min(first, sockets - LEAST), min(second, sockets - LEAST)]
    for _ in range(12):
        mine = share(1.0, held[0], [Page(2.0, False, held[1])], sockets)
        theirs = share(2.0, held[1], [Page(1.0, True, held[0])], sockets)
        assert (mine.place, theirs.place) == (Place.OLDER, Place.NEWER)
        if sum(held) <= sockets - 2 * LEAST:
            assert mine.descriptors + theirs.descriptors <= sockets
            assert mine.descriptors >= held[0] and theirs.descriptors >= held[1]  # nobody has to let go
        held = [mine.descriptors, theirs.descriptors]
    assert sum(held) <= sockets
    assert share(1.0, held[0], [], sockets).descriptors == sockets  # the whole again


def test_who_cannot_be_read_is_there_all_the_same() -> None:
    found = share(1.0, 100, [None], 400)
    assert (found.place, found.parts, found.descriptors, found.successor) == (Place.NEWER, 2, 150, False)


def test_a_successor_is_a_newer_one_that_serves() -> None:
    assert share(1.0, 9, [Page(2.0, True, 0)], 400).successor
    assert not share(1.0, 9, [Page(2.0, False, 0)], 400).successor
    assert not share(3.0, 9, [Page(2.0, True, 0)], 400).successor


def test_each_counts_as_a_node_of_its_own() -> None:
    settings = make_settings(nodes=3, me=2)
    older, newer = share(1.0, 9, [Page(2.0, True, 0)], 400), share(2.0, 9, [Page(1.0, True, 0)], 400)
    both = [as_one_of(settings, one) for one in (older, newer)]
    assert [s.nodes for s in both] == [6, 6] and [s.me for s in both] == [4, 5]
    assert as_one_of(settings, share(1.0, 9, [], 400)) is settings


@pytest.mark.parametrize("memory_mb", [32, 40, 64, 80, 192])
def test_bodies_of_two_leave_room_for_a_second_interpreter(memory_mb: int) -> None:
    whole = budget_of(memory_mb)
    assert bodies_of(whole, 1) == whole
    assert 2 * bodies_of(whole, 2) <= max(2 * MB, whole - 17 * MB)


def test_the_newest_list_is_the_one_to_begin_with() -> None:
    lists = [{"rev": n} for n in range(3)]
    assert latest([Page(2.0, True, 0, lists[0]), None, Page(3.0, True, 0, lists[1]), Page(4.0, True, 0)]) == lists[1]
    assert latest([None]) is None


def joined(folder: Path) -> Succession:
    one = Succession(folder, 400, lambda: 7, lambda: True)
    one.join()
    return one


def test_a_dead_process_leaves_its_share_and_its_files_are_removed(tmp_path: Path) -> None:
    """Killed at any step: with a page, without one, with a draft, before its lock had its name."""
    folder = tmp_path / "cloverhold"
    folder.mkdir()
    for name in ("1-1.lock", "1-1.json", "1-1.draft", "2-2.lock", "3-3.new", "4-4.json"):
        (folder / name).write_text("{torn")
    first = joined(folder)
    assert first.share.parts == 1 and not (folder / "1-1.lock").exists() and not (folder / "1-1.json").exists()
    second = joined(folder)
    assert second.share.place is Place.NEWER and second.share.parts == 2
    second.close()
    third = joined(folder)
    assert third.share.parts == 2  # the first, and not the second
    first.close()
    third.close()
    assert not list(folder.glob("*.lock"))


def test_a_folder_that_cannot_be_used_leaves_a_process_alone(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    one = joined(tmp_path / "file")
    one.start()
    assert one.share.parts == 1
    one.close()


def test_pages_tell_what_is_held_and_the_list(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = joined(tmp_path / "c"), joined(tmp_path / "c")
        seen = []
        first.changed = seen.append
        second.told({"rev": 3, "all": True, "targets": []})
        first.start()
        second.start()
        await until(lambda: seen and seen[-1].successor)
        third = Succession(tmp_path / "c", 400, lambda: 0, lambda: True)
        pages = third.join()
        await until(lambda: third.share.parts == 3)
        assert latest(pages) == {"rev": 3, "all": True, "targets": []}
        for one in (third, second):
            one.close()
        await until(lambda: seen[-1].place is Place.ALONE)
        first.close()

    play(test)


def test_kills_at_the_hand_over_leave_the_other_with_the_whole(tmp_path: Path) -> None:
    """Hard case: the new one killed before and after its yes, then the old one; descriptors counted in /proc."""
    from test_inherited import listening, manage, process

    async def test() -> None:
        server = Server(lambda target, body: OK)
        await server.start()
        folder = tmp_path / "cloverhold"
        with listening() as held:
            ports = free_ports(4)
            async with process(tmp_path, held, server, ports[0]) as first:
                async with process(tmp_path, held, server, ports[1]) as second:
                    assert len(list(folder.glob("*.lock"))) == 2
                    both = sum(len(os.listdir(f"/proc/{p.pid}/fd")) for p in (first, second))
                    assert both <= 256
                    second.kill()
                    await second.wait()
                assert await manage(ports[0], "GET /_ready") == 200
                async with process(tmp_path, held, server, ports[2]) as third:
                    first.kill()
                    await first.wait()
                    assert await manage(ports[2], "GET /_ready") == 200
                    await until(lambda: len(list(folder.glob("*.lock"))) == 1)
                    async with process(tmp_path, held, server, ports[3]) as fourth:  # an upgrade works again
                        third.send_signal(signal.SIGTERM)
                        assert await asyncio.wait_for(third.wait(), WAIT_S) == 0
                        assert fourth.returncode is None
        server.stop()

    play(test)


@pytest.mark.parametrize("step_s", [-3600.0, -5.0, 3600.0])
def test_wall_clock_that_is_stepped_between_two_starts_does_not_turn_their_order(step_s: float) -> None:
    """Stepped back, the old process took its successor for an older one, and told clients to stay away."""
    old, new = Page(1000.0, True, 10, None, 50.0), Page(1000.0 + step_s + 2.0, True, 10, {"rev": 2}, 52.0)
    mine = share(old.started, 10, [new], 400, old.monotonic_s)
    theirs = share(new.started, 10, [old], 400, new.monotonic_s)
    assert (mine.place, mine.successor) == (Place.OLDER, True)
    assert (theirs.place, theirs.successor) == (Place.NEWER, False)
    assert latest([old, new]) == latest([new, old]) == {"rev": 2}


def test_process_of_an_older_release_is_placed_by_its_wall_clock() -> None:
    old = Page(1000.0, True, 10)
    assert share(1002.0, 10, [old], 400, 52.0).place is Place.NEWER
    assert share(998.0, 10, [old], 400, 52.0).successor
