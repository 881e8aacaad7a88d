"""The module and bodies that pass in pieces: when time counts, what may be tried again, what a server has to do."""

from __future__ import annotations

from cloverhold import Cancel, Fail, Outcome, Refuse, Send, Status, Streaming, Whole
from helpers import Node, of, waiting


def whole(node: Node, ref: int, expires: float = 1000.0) -> None:
    node.due[ref] = node.now + expires
    node.give(Whole(ref, expires))


def streams(node: Node, ref: int) -> None:
    tries = node.sends[ref]
    node.give(Streaming(ref, len(tries) - 1, tries[-1]["server"], node.now - tries[-1]["at"]))


def test_time_counts_from_the_last_byte() -> None:
    node = Node()
    node.request(1, "unsafe", arriving=True)
    node.due[1] = 1e9
    node.run(30000)  # a slow upload: far past its aim and its deadline
    assert not of(node.actions, Fail) and not of(node.actions, Refuse) and not of(node.actions, Cancel)
    server = node.balancer.table.servers[node.last_send(1)]
    assert not server.out and node.balancer.table.held == 0  # the server has nothing to do yet
    assert node.balancer.table.looks_well(server)
    whole(node, 1)
    assert len(server.out) == 1 and node.balancer.table.held == 1
    node.run(500)
    assert of(node.actions, Cancel) and of(node.actions, Fail)  # past its aim: it may have run


def test_before_its_last_byte_a_request_that_ends_never_ran() -> None:
    node = Node()
    node.request(1, "unsafe", arriving=True)
    node.outcome(1, Status.CONNECT_FAILED)
    assert len(node.sends[1]) == 2  # the body is still held
    tries = node.sends[1]
    tries[-1]["status"] = Status.CONNECT_FAILED
    node.give(Outcome(1, 1, tries[-1]["server"], Status.CONNECT_FAILED, 1.0, again=False))
    assert len(tries) == 2 and of(node.actions, Refuse)  # part of it is gone: harmless for the client to try again


def test_a_request_that_no_server_has_room_for_is_refused_in_its_aim_though_it_still_comes() -> None:
    node = Node(servers=0)
    node.request(1, "unsafe", arriving=True)
    assert waiting(node.balancer)
    node.run(500)
    assert of(node.actions, Refuse)


def test_an_answer_that_has_begun_is_the_clients() -> None:
    node = Node()
    node.request(1, "safe")
    server = node.balancer.table.servers[node.last_send(1)]
    node.run(20)
    streams(node, 1)
    streams(node, 1)  # once is enough
    assert not server.out and node.balancer.table.held == 0
    factor = node.balancer.learned.factor["safe"]
    assert factor[1] == 1
    node.run(60000)  # nothing times out, no server looks stalled
    assert not of(node.actions, Cancel) and not of(node.actions, Fail) and not of(node.actions, Refuse)
    assert node.balancer.table.looks_well(server)
    node.outcome(1, Status.OK, closed=True)
    assert node.balancer.learned.factor["safe"] == factor  # the way to a slow client is no work
    assert not node.balancer.requests and not node.balancer.attempts and node.balancer.table.held == 0


def test_an_answer_that_breaks_off_is_not_tried_again() -> None:
    node = Node()
    node.request(1, "safe")
    streams(node, 1)
    node.outcome(1, Status.RESET, closed=True)
    assert len(of(node.actions, Send)) == 1 and not node.balancer.requests
