"""Discovery of one node that says that the fleet leaves in odd ways, or leaves changes out for a while, on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from enum import Enum
from typing import Any

from discovery_service import DiscoveryService

Line = dict[str, Any]
FIRST_VERSION = 40
LEAD = 25  # versions that a discovery which is cut off counts ahead of the others, where it does


class FleetLeaves(Enum):
    """How discovery says, from one moment on, that no server is there any more."""

    EMPTY_LIST = "an empty whole list of the next version"
    EMPTY_LIST_OF_THE_SAME_VERSION = "an empty whole list of the same version"
    EMPTY_LIST_OF_A_LOWER_VERSION = "an empty whole list of a lower version"
    EMPTY_LIST_ONCE = "an empty whole list once, then silence"
    EMPTY_LIST_BESIDE_A_REPLICA = "an empty whole list at every other call, the others at a replica that stands still"
    BARE_LINES_LEAVING = "a whole list of lines with a name and `leaving` alone"
    BARE_LINES_LEFT = "a whole list of lines with a name and `left` alone"
    WEIGHTS_UNREADABLE = "a whole list of lines that leave, whose weights are no numbers"


class CutOff(Enum):
    """What a discovery that hears nothing says meanwhile; its versions count on as the others' do."""

    COUNTS_ON = "no changes"
    COUNTS_AHEAD = "no changes, some versions ahead"


class AlteredDiscovery(DiscoveryService):
    """Discovery that is well until `leave` or `cut_off`."""

    def __init__(self, targets: Sequence[Line]) -> None:
        super().__init__(targets)
        self.rev = FIRST_VERSION
        self.leaves: FleetLeaves | None = None
        self.cut: CutOff | None = None
        self._version_before = self._version_said = 0
        self._lines_before: list[Line] = []
        self._odd_calls = 0

    def active(self) -> list[Line]:
        """The lines of the servers that are there."""
        return [line for _, line in self.targets.values() if line["state"] == "active"]

    def leave(self, how: FleetLeaves) -> None:
        """From now on no server is there."""
        self._freeze()
        self._version_said = {
            FleetLeaves.EMPTY_LIST_OF_THE_SAME_VERSION: self.rev,
            FleetLeaves.EMPTY_LIST_OF_A_LOWER_VERSION: self.rev - 1,
        }.get(how, self.rev + 1)
        self.leaves = how
        self._wake()

    def cut_off(self, how: CutOff) -> None:
        """Hear nothing from now on."""
        self._freeze()
        self.cut = how

    def heal(self) -> None:
        """Be well again: all that the others have is there, and what is older than a version is not told by changes."""
        self.cut = None
        self._wake()

    def come_back(self, *, anew: bool) -> None:
        """Name the fleet again, by a later version, or by a count that begins at 1."""
        self.rev = 1 if anew else self._version_said + 1
        self.targets = {line["uid"]: (self.rev, line) for line in self._lines_before}
        self.leaves = None
        self._wake()

    def _freeze(self) -> None:
        self._version_before, self._lines_before = self.rev, self.active()

    async def serve(self, target: str, head: bytes, body: bytes, writer: asyncio.StreamWriter) -> bool:
        if self.leaves is None:
            return await super().serve(target, head, body, writer)
        call = self._note_call(target)
        self._odd_calls += 1
        if self.leaves is FleetLeaves.EMPTY_LIST_ONCE and self._odd_calls > 1:
            return False
        beside = self.leaves is FleetLeaves.EMPTY_LIST_BESIDE_A_REPLICA and self._odd_calls % 2 == 0
        version = self._version_before if beside else self._version_said
        if call.since == version:
            await asyncio.sleep(call.hold_s)
            answer = {"rev": version, "all": False, "targets": []}
        else:
            answer = {"rev": version, "all": True, "targets": self._lines_before if beside else self._leaving_lines()}
        if not writer.is_closing():
            await self._write(json.dumps(answer).encode(), writer)
        return True

    def _leaving_lines(self) -> list[Line]:
        match self.leaves:
            case FleetLeaves.BARE_LINES_LEAVING:
                return [{"uid": line["uid"], "state": "leaving"} for line in self._lines_before]
            case FleetLeaves.BARE_LINES_LEFT:
                return [{"uid": line["uid"], "state": "left"} for line in self._lines_before]
            case FleetLeaves.WEIGHTS_UNREADABLE:
                return [{**line, "state": "leaving", "capacity_hint": "much"} for line in self._lines_before]
        return []

    def _counted(self) -> int:
        """The version that it says."""
        return self.rev + (LEAD if self.cut is CutOff.COUNTS_AHEAD else 0)

    async def _wait_for_news(self, since: int | None, hold_s: float) -> None:
        """While it is cut off, news are that the version counts on."""
        await super()._wait_for_news(self.rev if since == self._counted() else None, hold_s)

    def _list(self, since: int | None) -> bytes:
        if self.cut is None:
            return super()._list(since if since is not None and since <= self.rev else None)
        lines = self._lines_before if since is None else []
        return json.dumps({"rev": self._counted(), "all": since is None, "targets": lines}).encode()
