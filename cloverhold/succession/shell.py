"""The pages and locks of a node's processes in `$TMPDIR/cloverhold/`. All of it is some kilobytes."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import mmap
import os
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from cloverhold.net.discovery.departures import DEPARTURES, names_departures
from cloverhold.roster import Roster
from cloverhold.sent_ids import KEEP_MS, TABLE_BYTES, NodeSentIds, SentIds
from cloverhold.succession.core import PAGE_LIMIT, Page, Share, read_page, share, write_page

log = logging.getLogger(__name__)

LOOK_S = 0.2
MOST = 16  # files looked at: more there cannot be of one node
SUFFIXES = (".lock", ".json", ".draft", ".ids")


class Succession:
    """A process among those of its node. Where the folder cannot be used it is alone, and says so once."""

    def __init__(
        self, folder: Path, sockets: int, held: Callable[[], int], serving: Callable[[], bool],
        sent_ids: NodeSentIds | None = None,
    ) -> None:  # fmt: skip
        """sent_ids: what this process has sent, which the others are to see, and what they have."""
        self.folder, self.sockets, self.held, self.serving = folder, sockets, held, serving
        self.sent_ids = sent_ids if sent_ids is not None else NodeSentIds()
        self._mapped: dict[str, tuple[SentIds, float]] = {}  # by process, with when it was last seen
        self.started, self.monotonic_s = time.time(), time.monotonic()
        self.name = f"{int(self.started * 1e6):017d}-{os.getpid()}"
        self.roster = Roster()
        self.share = share(self.started, 0, [], sockets, self.monotonic_s)
        self.changed: Callable[[Share], None] = lambda share: None
        self.departures_heard: Callable[[Any], None] = lambda value: None  # as JSON, of another process
        self._heard: dict[str, Any] = {}  # the departures that each other process told last
        self._lock: int | None = None
        self._said = ""
        self._timer: asyncio.TimerHandle | None = None

    def told(self, members: dict[str, Any]) -> None:
        """A list, or changes of it, in discovery's form. Who leaves is told to the others at once."""
        self.roster.take(members)
        if names_departures(members) and self._lock is not None:
            try:
                self._tell()
            except OSError as error:
                log.warning("%s: %s", self.folder, error)

    def join(self) -> list[Page | None]:
        """Be seen by the others; their pages."""
        try:
            self.folder.mkdir(exist_ok=True)
            # Locked before it has its name: a lock file that is not locked is a dead process's.
            draft = self.folder / f"{self.name}.new"
            self._lock = os.open(draft, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._share_sent_ids()
            draft.rename(self.folder / f"{self.name}.lock")
            others = self._others()
        except OSError as error:
            log.warning("%s: %s; other processes of this node are not seen", self.folder, error)
            self.close()
            return []
        self.share = share(self.started, self.held(), others, self.sockets, self.monotonic_s)
        return others

    def start(self) -> None:
        """Look for the others from now on."""
        if self._lock is not None:
            self._look()

    def _look(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)
        try:
            others = self._others()
            now = share(self.started, self.held(), others, self.sockets, self.monotonic_s)
            self._tell()
        except OSError as error:  # a full or vanished $TMPDIR: what was known last holds
            log.warning("%s: %s", self.folder, error)
            return
        before, self.share = self.share, now
        if now != before:
            if now.place is not before.place:
                log.info("processes of this node: %d, this is the %s one", now.parts, now.place.value)
            self.changed(now)
        self._hear_departures(others)

    def _hear_departures(self, others: Sequence[Page | None]) -> None:
        """What other processes were told of servers that leave holds here, too."""
        pages = {str(page.started): page.members for page in others if page is not None and page.members is not None}
        self._heard = {name: told for name, told in self._heard.items() if name in pages}
        for name, members in pages.items():
            told = members.get(DEPARTURES)
            if told is not None and told != self._heard.get(name):
                self._heard[name] = told
                self.departures_heard(told)

    def _tell(self) -> None:
        """Write the page anew where it has changed; only its reader needs to know what is held."""
        held = self.held() if self.share.parts > 1 else 0
        text = write_page(Page(self.started, self.serving(), held, self.roster.value(), self.monotonic_s))
        if text != self._said:
            draft = self.folder / f"{self.name}.draft"
            draft.write_text(text)
            draft.rename(self.folder / f"{self.name}.json")
            self._said = text

    def _others(self) -> list[Page | None]:
        """The pages of the other living processes; what the dead have left is removed."""
        found: list[Page | None] = []
        for lock in sorted(self.folder.glob("*.lock"))[-MOST:]:
            if lock.stem == self.name:
                continue
            self._read_sent_ids(lock.with_suffix(".ids"))
            if _dead(lock):
                for suffix in SUFFIXES:
                    lock.with_suffix(suffix).unlink(missing_ok=True)
            else:
                found.append(_page(lock.with_suffix(".json")))
        self._forget_sent_ids()
        return found

    def _share_sent_ids(self) -> None:
        """Keep what this process sends where the others can read it."""
        path = self.folder / f"{self.name}.ids"
        path.write_bytes(bytes(TABLE_BYTES))
        with path.open("r+b") as file:
            self.sent_ids.own = SentIds(mmap.mmap(file.fileno(), TABLE_BYTES))

    def _read_sent_ids(self, path: Path) -> None:
        """See what another process sends, from now on; that stays when its file is removed."""
        known = self._mapped.get(path.stem)
        try:
            with path.open("rb") as file:
                ids = known[0] if known else SentIds(mmap.mmap(file.fileno(), TABLE_BYTES, prot=mmap.PROT_READ))
        except (OSError, ValueError):  # of an older release, or not whole
            return
        self._mapped[path.stem] = ids, time.monotonic()

    def _forget_sent_ids(self) -> None:
        """What a process had sent that ended long ago is of no use any more."""
        oldest = time.monotonic() - KEEP_MS / 1000
        self._mapped = {name: (ids, seen) for name, (ids, seen) in self._mapped.items() if seen >= oldest}
        self.sent_ids.others = [ids for ids, _ in self._mapped.values()]

    def close(self) -> None:
        """Be seen no more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._lock is not None:
            for suffix in (*SUFFIXES, ".new"):
                (self.folder / f"{self.name}{suffix}").unlink(missing_ok=True)
            os.close(self._lock)
            self._lock = None


def _dead(lock: Path) -> bool:
    """Whether the process that a lock file is of has ended, however it did."""
    try:
        handle = os.open(lock, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return True
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(handle)
    return True


def _page(path: Path) -> Page | None:
    try:
        with path.open("rb") as file:
            data = file.read(PAGE_LIMIT + 1)
    except OSError:
        return None
    return read_page(data.decode("utf-8", "replace")) if len(data) <= PAGE_LIMIT else None
