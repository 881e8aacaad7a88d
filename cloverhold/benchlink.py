"""`python -m cloverhold.benchlink`: the bench's wire on standard input and output.

Turns wire lines into the module's events and its actions into wire lines, for many instances that share
nothing but the lists read here. No decisions. A malformed line ends the process with a plain message;
an exception in the module becomes the wire's fault action.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, BinaryIO, TextIO

from cloverhold.decision import interface as io
from cloverhold.decision.decide import Balancer
from cloverhold.settings import SettingsError, load_report, module_settings

_STATUS = {
    0: io.Status.OK,
    5: io.Status.ERROR,
    11: io.Status.FULL,
    110: io.Status.TIMEOUT,
    111: io.Status.CONNECT_FAILED,
    104: io.Status.RESET,
    125: io.Status.CANCELLED,
    114: io.Status.MOOT,
}
_LIST_KIND = {
    "diff": io.ListKind.CHANGES,
    "snapshot": io.ListKind.FULL,
    "disk": io.ListKind.REMEMBERED,
    "error": io.ListKind.ERROR,
}
_LIFECYCLE = {
    "healthy": io.Lifecycle.READY,
    "cordoned": io.Lifecycle.DRAINING,
    "deregistered": io.Lifecycle.GONE,
}


class WireError(Exception):
    """A line that the wire does not allow."""


class Ended(WireError):
    """The input ended inside a batch or a list."""


def _word(table: dict[Any, Any], key: object, what: str) -> Any:
    try:
        return table[key]
    except KeyError:
        raise WireError(f"unknown {what} {key!r}") from None


def settings_from_wire(text: str) -> io.Settings:
    """The module's settings from the wire's JSON."""
    try:
        return module_settings(json.loads(text))
    except ValueError as error:
        raise WireError(f"settings are not JSON: {error}") from None
    except SettingsError as error:
        raise WireError(str(error)) from None


def _opt(value: str) -> str | None:
    return None if value == "-" else value


def _num(value: str) -> float:
    return 0.0 if value == "-" else float(value)


def _load(text: str) -> io.LoadReport | None:
    if text == "-":
        return None
    values: dict[str, float] = {}
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"load report pair {pair!r}")
        if value != "-":
            values[name] = float(value)
    return load_report(values)


def _entry(line: str) -> io.ServerEntry:
    parts = line.split(" ")
    if len(parts) != 8 or parts[0] != "ITEM":
        raise WireError("a list entry is needed here")
    _, server, zone, _model, cell, lifecycle, weight, since = parts
    started = _num(since)
    return io.ServerEntry(
        server=server,
        zone="" if zone == "-" else zone,
        cell=int(_num(cell)),
        lifecycle=_word(_LIFECYCLE, lifecycle, "Lifecycle"),
        weight=1.0 if weight == "-" else float(weight),
        started_at=started if started > 0 else None,
    )


def _status(code: str) -> io.Status:
    status: io.Status = _word(_STATUS, int(code), "outcome")
    return status


def _request(f: list[str]) -> io.Request:
    flags = int(_num(f[7]))
    cost = _opt(f[6])
    tenant = _opt(f[3])
    return io.Request(
        id=int(f[1]),
        class_name=f[2],
        tenant=None if tenant == "0" else tenant,
        key=None if f[4] == "-" else int(f[4]),
        expires_ms=float(f[5]),
        cost_ms=float(cost) if cost is not None and flags & 1 else None,
        is_retry=bool(flags & 2),
        is_write=bool(flags & 4),
    )


_Make = Callable[[list[str]], io.Event]
# Event lines of one instance: the number of values, and how they become an event.
_EVENTS: dict[str, tuple[int, _Make]] = {
    "WORK_ITEM": (8, _request),
    "STREAMING": (5, lambda f: io.Streaming(int(f[1]), int(f[2]), f[3], _num(f[4]))),
    "REPLY": (
        8,
        lambda f: io.Outcome(int(f[1]), int(f[2]), f[3], _status(f[4]), _num(f[5]), f[6] == "1", _load(f[7])),
    ),
    "LEFT": (2, lambda f: io.ClientGone(int(f[1]))),
    "RING": (2, lambda f: io.Timer(int(f[1]))),
    "ECHO": (5, lambda f: io.ProbeReply(f[1], _status(f[2]), _num(f[3]), _load(f[4]))),
    "MEMO": (3, lambda f: io.PeerMessage(int(f[1]), b"" if f[2] == "-" else bytes.fromhex(f[2]))),
}


def action_line(who: int, action: io.Action) -> str:
    """One action as a wire line."""
    match action:
        case io.Send(id=ref, server=server, timeout_ms=cap):
            return f"SUBMIT_TO {who} {ref} {cap:.3f} {server}" if cap else f"SUBMIT_TO {who} {ref} - {server}"
        case io.Probe(server=server):
            return f"PROBE {who} {server}"
        case io.SetTimer(delay_ms=delay, token=token):
            return f"SET_ALARM {who} {delay:.3f} {token}"
        case io.Cancel(id=ref, attempt=attempt):
            return f"RECALL {who} {ref} {attempt}"
        case io.Refuse(id=ref, retry_after_ms=wait):
            return f"BOUNCE {who} {ref} {wait:.3f}" if wait else f"BOUNCE {who} {ref} -"
        case io.Fail(id=ref):
            return f"REPORT_FAILURE {who} {ref}"
        case io.Watch(on=on):
            return f"STREAM_CHANGES {who} {1 if on else 0}"
        case io.Fetch():
            return f"SNAPSHOT {who}"
        case io.CloseIdle(server=server):
            return f"HANG_UP {who} {server}"
        case io.Tell(node=node, data=data):
            return f"MEMO_TO {who} {'all' if node is None else node} {data.hex() or '-'}"
        case io.Log(text=text):
            return f"SAY_LOG {who} {' '.join(text.split())}"


@dataclass
class Link:
    """The instances of this process and the numbered lists of the wire."""

    source: BinaryIO
    sink: TextIO
    number: int = 0  # of the line being read
    line: str = ""
    instances: dict[int, Balancer] = field(default_factory=dict)
    lists: dict[int, tuple[io.ServerEntry, ...]] = field(default_factory=dict)

    def _next(self) -> str | None:
        raw = self.source.readline()
        if not raw:
            return None
        self.number += 1
        self.line = raw.decode("utf-8").rstrip("\r\n")
        return self.line

    def _read(self) -> str:
        line = self._next()
        if line is None:
            raise Ended("the input ended inside a batch")
        return line

    def run(self) -> None:
        """Answer batches until the input ends."""
        while (line := self._next()) is not None:
            if not line:
                continue
            head = line.split(" ")
            if head[0] != "BEGIN_BATCH" or len(head) != 2:
                raise WireError("BEGIN_BATCH and a clock are needed here")
            out = self._batch(float(head[1]))
            out.append("ACK\n")
            self.sink.write("\n".join(out))
            self.sink.flush()

    def _batch(self, now: float) -> list[str]:
        out: list[str] = []
        while (line := self._read()) != "GO":
            name, _, rest = line.partition(" ")
            if name == "DIRECTORY":
                slot, _, count = rest.partition(" ")
                self.lists[int(slot)] = tuple(_entry(self._read()) for _ in range(int(_num(count))))
            elif name == "START":
                parts = rest.split(" ", 2)
                if len(parts) != 3:
                    raise WireError("START needs Who, Prng and BootInfo")
                settings = settings_from_wire(parts[2])
                try:
                    self.instances[int(parts[0])] = Balancer(settings, int(parts[1]))
                except ValueError as error:
                    raise WireError(f"settings: {error}") from None
            elif name == "DESTROY":
                self.instances.pop(int(rest), None)
            elif name == "REGISTRY":
                self._handle(now, rest.split(" "), self._registry, 4, name, out)
            elif name in _EVENTS:
                count_, make = _EVENTS[name]
                self._handle(now, rest.split(" "), make, count_, name, out)
            else:
                raise WireError(f"unknown message {name!r}")
        return out

    def _registry(self, f: list[str]) -> io.Event:
        kind: io.ListKind = _word(_LIST_KIND, f[1], "Kind")
        version = None if f[2] == "-" else int(f[2])
        if kind is io.ListKind.ERROR:
            return io.ServerList(kind, (), version)
        return io.ServerList(kind, _word(self.lists, int(f[3]), "list number"), version)

    def _handle(self, now: float, values: list[str], make: _Make, count: int, name: str, out: list[str]) -> None:
        if len(values) != count:
            raise WireError(f"{name} needs {count} values, got {len(values)}")
        who = int(values[0])
        balancer = _word(self.instances, who, "instance")
        event = make(values)
        try:
            actions = balancer.handle(now, event)
        except Exception as error:  # the wire's fault action tells of it, and the day ends
            out.append(f"BUG {who} {type(error).__name__}: {' '.join(str(error).split())} on {name}")
            return
        out.extend(action_line(who, action) for action in actions)


def main() -> int:
    """Run the adapter; 0 at the end of the input, 2 after a malformed line."""
    link = Link(sys.stdin.buffer, sys.stdout)
    try:
        link.run()
    except (WireError, ValueError, IndexError) as error:
        shown = link.line if len(link.line) <= 300 else link.line[:300] + "..."
        print(f"benchlink: line {link.number}: {error}: {shown}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
