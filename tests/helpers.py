"""A small driver: it feeds a balancer events and checks what the node itself can see of the four rules."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from cloverhold import (
    Action,
    Balancer,
    Cancel,
    ClassSettings,
    ClientGone,
    Event,
    Fail,
    Group,
    Lifecycle,
    ListKind,
    LoadReport,
    NewSettings,
    Outcome,
    Probe,
    ProbeReply,
    Refuse,
    Repeat,
    Request,
    Send,
    ServerEntry,
    ServerList,
    SetTimer,
    Settings,
    Status,
    Timer,
)
from cloverhold.decision.decide import WAIT_PART
from cloverhold.decision.learned import WARM
from cloverhold.decision.records import Server
from cloverhold.decision.state import RequestState

NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT)
CLASSES = (
    ClassSettings("safe", 400, 1000, Repeat.SAFE),
    ClassSettings("keyed", 400, 1000, Repeat.KEYED, Group.CELL, key_ttl_ms=300),
    ClassSettings("zoned", 400, 1000, Repeat.KEYED, Group.ZONE, key_ttl_ms=300),
    ClassSettings("shared", 400, 1000, Repeat.KEYED, Group.ALL, key_ttl_ms=300),
    ClassSettings("unsafe", 400, 1000, Repeat.UNSAFE),
)


def make_settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "nodes": 2,
        "max_attempts": 4,
        "cold_from": 0.3,
        "cold_ms": 9000.0,
    }
    return Settings(**{**values, **changes})


def entries(count: int, **changes: Any) -> tuple[ServerEntry, ...]:
    return tuple(ServerEntry(f"s{i}", zone=f"z{i % 2}", cell=i % 2, **changes) for i in range(count))


class Node:
    """One balancer, its clock, and the rules as far as a node can see them."""

    def __init__(self, settings: Settings | None = None, servers: int = 4, seed: int = 1, **changes: Any) -> None:
        self.settings = settings or make_settings(**changes)
        self.kinds = {c.name: c for c in self.settings.classes}
        self.balancer = Balancer(self.settings, seed)
        self.now = 100000.0
        self.timers: list[tuple[float, int, int]] = []
        self.actions: list[Action] = []
        self.owed: dict[int, Request] = {}
        self.came: dict[int, ClassSettings] = {}  # the class that a request came with
        self.due: dict[int, float] = {}
        self.sends: dict[int, list[dict[str, Any]]] = {}
        self.answers: dict[int, Action] = {}
        self.listed: dict[str, ServerEntry] = {}
        self.probes: list[str] = []
        self.logs: list[str] = []
        if servers:
            self.list(entries(servers))

    def list(self, lines: tuple[ServerEntry, ...], kind: ListKind = ListKind.FULL) -> list[Action]:
        if kind in (ListKind.FULL, ListKind.REMEMBERED):
            self.listed = {}
        for line in lines:
            self.listed[line.server] = line
        return self.give(ServerList(kind, lines))

    def give(self, event: Event) -> list[Action]:
        """Hand in an event and check the actions against the rules."""
        if isinstance(event, Outcome):
            self._ended(event)
        elif isinstance(event, Request) and event.class_name in self.kinds:
            self.came[event.id] = self.kinds[event.class_name]
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check(action)
        self.actions.extend(actions)
        return actions

    def settle(self, **changes: Any) -> None:
        """Other settings from now on."""
        self.settings = replace(self.settings, **changes)
        self.kinds = {c.name: c for c in self.settings.classes}
        self.give(NewSettings(self.settings))

    def _ended(self, event: Outcome) -> None:
        tries = self.sends.get(event.id, [])
        if event.attempt < len(tries):
            tries[event.attempt]["status"] = event.status
        if event.closed:
            self.owed.pop(event.id, None)

    def _check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            at = self.now + max(action.delay_ms, self.settings.tick_ms)
            self.timers.append((at, action.token, action.token))
            self.timers.sort()
        elif isinstance(action, Probe):
            assert self.settings.probes
            self.probes.append(action.server)
        elif isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, Cancel):
            assert self.settings.cancelling
            assert action.attempt < len(self.sends[action.id])
        elif isinstance(action, (Refuse, Fail)):
            assert action.id in self.owed, "one final answer only"
            assert self.now <= self.due[action.id] + self.settings.answer_slack_ms, "answered too late"
            if isinstance(action, Refuse):
                self._check_refusal(action.id)
            self.answers[action.id] = action
            del self.owed[action.id]
        elif type(action).__name__ == "Log":
            self.logs.append(action.text)  # type: ignore[union-attr]

    def _check_send(self, action: Send) -> None:
        assert action.id in self.owed, "nothing is sent after the end"
        line = self.listed.get(action.server)
        assert line is not None and line.lifecycle is Lifecycle.READY, "drains kept"
        tries = self.sends.setdefault(action.id, [])
        assert len(tries) < self.settings.max_attempts
        kind = self.came[action.id]
        pending = [t for t in tries if t["status"] is None]
        ran = [t for t in tries if t["status"] not in NEVER_RAN]
        assert self.settings.parallel_tries or not pending, "two at once"
        if ran:
            assert kind.repeat is not Repeat.UNSAFE, "an effect twice"
            if kind.repeat is Repeat.KEYED:
                first = ran[0]
                assert self.now <= first["at"] + kind.key_ttl_ms
                if kind.group is Group.CELL:
                    assert line.cell == first["line"].cell
                elif kind.group is Group.ZONE:
                    assert line.zone == first["line"].zone
        tries.append({"server": action.server, "line": line, "at": self.now, "status": None})

    def _check_refusal(self, ref: int) -> None:
        if (kind := self.came.get(ref)) is None:
            return
        ran = [t for t in self.sends.get(ref, []) if t["status"] not in NEVER_RAN]
        if kind.repeat is Repeat.UNSAFE or (kind.repeat is Repeat.KEYED and kind.group is not Group.ALL):
            assert not ran, "a refusal promises that nothing ran"

    def request(
        self, ref: int, kind: str = "safe", expires: float = 1000.0, settle: bool = True, **more: Any
    ) -> list[Action]:
        event = Request(ref, kind, expires, **more)
        self.owed[ref] = event
        self.due[ref] = self.now + expires
        first = len(self.actions)
        self.give(event)
        if settle:  # the node waits this long, at the most, for its own probes
            aim = self.kinds[kind].aim_ms if kind in self.kinds else 0.0
            self.run(min(WAIT_PART * aim, expires))
        return self.actions[first:]

    def outcome(self, ref: int, status: Status, attempt: int = -1, closed: bool | None = None) -> list[Action]:
        tries = self.sends[ref]
        number = attempt if attempt >= 0 else len(tries) - 1
        done = tries[number]
        if closed is None:
            closed = status is Status.OK or ref not in self.owed
        return self.give(Outcome(ref, number, done["server"], status, self.now - done["at"], closed))

    def reply(self, server: str, inflight: float = 0.0, status: Status = Status.OK, **more: Any) -> list[Action]:
        if server in self.probes:
            self.probes.remove(server)
        load = LoadReport(inflight=inflight, **more) if status is Status.OK else None
        return self.give(ProbeReply(server, status, 1.0, load))

    def reply_all(self, loads: dict[str, float]) -> None:
        for server in list(self.probes):
            self.reply(server, loads.get(server, 0.0))

    def gone(self, ref: int) -> list[Action]:
        self.owed.pop(ref, None)
        return self.give(ClientGone(ref))

    def run(self, ms: float) -> None:
        """Let time pass, delivering timers in order."""
        end = self.now + ms
        while self.timers and self.timers[0][0] <= end:
            self.now, _, token = self.timers.pop(0)
            self.give(Timer(token))
        self.now = end

    def refile(self) -> None:
        """Take over what a test has set by hand."""
        for server in self.balancer.table.ready:
            self.balancer.health.review(server, self.now)

    def last_send(self, ref: int) -> str:
        return str(self.sends[ref][-1]["server"])


def waiting(balancer: Balancer) -> list[RequestState]:
    """Those that wait, the worthiest first."""
    held = [r for r in balancer.requests.values() if r.held]
    return sorted(held, key=lambda r: (-r.rank, r.ticket))


def cold_room(balancer: Balancer, server: Server, work: float, now: float) -> bool:
    """Whether a cold server may get a request of so much work."""
    warming = balancer.warming
    server.warm = warming.step(server, now)
    return server.warm == WARM or (warming.fill(server, now) <= now and work <= warming.most_work(server.warm))


def of(actions: list[Action], kind: type) -> list[Any]:
    return [a for a in actions if isinstance(a, kind)]
