"""The supervisor's processes, signals and channels; what is done about them `core` decides."""

from __future__ import annotations

import asyncio
import ctypes
import json
import logging
import os
import signal
import socket
import sys
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any

from cloverhold import signals
from cloverhold.fleet.wire.clock import now_ms
from cloverhold.net.discovery.departures import DEPARTURES, names_departures
from cloverhold.roster import Roster
from cloverhold.supervise.core import Action, Finish, Note, Start, Supervisor, Tell, Word

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from cloverhold.fleet.membership.shell import Membership
    from cloverhold.store.service import StoreService

log = logging.getLogger(__name__)

SIGNALS = {Word.STOP: signal.SIGTERM, Word.RELOAD: signal.SIGHUP, Word.KILL: signal.SIGKILL}
SAID_S = 0.25  # between two words on the living nodes
LINE_MOST = 8 * 1024 * 1024  # a list of 10,000 servers takes some 1.5 MB


PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def _outlive_no_supervisor() -> None:
    """A worker that is stopped when its supervisor dies goes on, sees the channel's end and ends too. Set before it
    runs: one that was stopped while it still started stayed for ever.
    """
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGCONT)


class Fellows:
    """The node's membership, which its supervisor keeps: to other nodes all workers are one member."""

    def __init__(self, membership: Membership, peers: Callable[[], Sequence[tuple[str, int]]]) -> None:
        """peers: reads the configuration's again; none where it is bad."""
        self.membership, self.peers = membership, peers
        self.timer: asyncio.TimerHandle | None = None

    async def start(self, loop: asyncio.AbstractEventLoop, tell: Callable[[bytes], None]) -> None:
        """Join, and tell the workers the view whenever it changes, and again before they hold it for too old."""
        self.loop, self.tell = loop, tell
        self.membership.changed = self.say
        await self.membership.start()
        self._again()

    def say(self) -> None:
        view = self.membership.followed_view()
        word = {"me": self.membership.member.me, "living": view, "said_ms": now_ms()}
        self.tell(json.dumps(word).encode() + b"\n")

    def _again(self) -> None:
        self.say()
        self.timer = self.loop.call_later(SAID_S, self._again)

    def reload(self) -> None:
        if peers := self.peers():
            self.membership.follow(peers)

    def close(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.membership.close()


class Shell:
    """One supervisor."""

    def __init__(
        self, listening: list[socket.socket], store: StoreService | None = None, fellows: Fellows | None = None
    ) -> None:
        self.store, self.fellows = store, fellows
        self.core, self.workers, self.listening = Supervisor(len(listening)), len(listening), listening
        self.loop = asyncio.get_running_loop()
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.writers: dict[int, asyncio.StreamWriter] = {}  # by life, of the workers that serve
        self.tasks: set[asyncio.Task[None]] = set()
        self.roster = Roster()  # the last list that any worker was told
        self.timer: asyncio.TimerHandle | None = None
        self.over: asyncio.Future[int] = self.loop.create_future()

    async def run(self) -> int:
        """Until all workers have ended; the exit status."""
        now = self.loop.time
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._stop)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.loop.add_signal_handler(signal.SIGUSR2, lambda: self.act(self.core.replace(now())))
        _watch_children_without_threads(self.loop)
        signals.release()  # before any worker starts: it would inherit what is held
        if self.fellows is not None:
            await self.fellows.start(self.loop, self._tell)
        self.act(self.core.begin(now()))
        try:
            return await self.over
        finally:
            signals.hold()  # their handlers go with the loop, before the process
            if self.fellows is not None:
                self.fellows.close()
            if self.timer is not None:
                self.timer.cancel()
            for task in self.tasks:
                task.cancel()

    def _stop(self) -> None:
        if self.fellows is not None:
            self.fellows.membership.leave()
        self.act(self.core.stop(self.loop.time()))

    def _reload(self) -> None:
        if self.fellows is not None:
            self.fellows.reload()
        self.act(self.core.reload())

    def _tell(self, line: bytes) -> None:
        """Tell all workers that serve; one that does not read, hung or stopped, is told the next."""
        for writer in self.writers.values():
            if not writer.transport.get_write_buffer_size():
                writer.write(line)

    @staticmethod
    def _pass_on_departures(members: dict[str, Any], writers: Sequence[asyncio.StreamWriter]) -> None:
        """What one worker was told of servers that leave holds at others, too."""
        if names_departures(members):
            line = json.dumps({DEPARTURES: members[DEPARTURES]}).encode() + b"\n"
            for writer in writers:
                writer.write(line)

    def act(self, actions: list[Action]) -> None:
        """Carry out what was decided, and ring when something is due next."""
        for action in actions:
            match action:
                case Start(number=number, life=life):
                    task = self.loop.create_task(self._worker(number, life))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                case Tell(life=life, word=word):
                    process = self.processes.get(life)
                    if process is not None and process.returncode is None:
                        process.send_signal(SIGNALS[word])
                case Note(text=text):
                    log.warning("%s", text)
                case Finish(status=status):
                    if not self.over.done():
                        self.over.set_result(status)
        if self.timer is not None:
            self.timer.cancel()
        due = self.core.next()
        if due is not None:
            self.timer = self.loop.call_at(due, lambda: self.act(self.core.due(self.loop.time())))

    async def _worker(self, number: int, life: int) -> None:
        """One process from its start to its end."""
        ours, theirs = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ours, limit=LINE_MOST)
        try:
            with ExitStack() as stack:
                passed = {"listening": self.listening[number], "channel": stack.enter_context(theirs)}
                if self.store is not None:
                    passed["store"] = stack.enter_context(await self.store.connect(number, life))
                handles = {name: one.fileno() for name, one in passed.items()}
                told = {"number": number, "life": life, "workers": self.workers, "store": None, **handles}
                process = await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "cloverhold", env={**os.environ, "CLOVERHOLD_WORKER": json.dumps(told)},
                    pass_fds=tuple(handles.values()), preexec_fn=_outlive_no_supervisor,
                )  # fmt: skip
            self.processes[life] = process
            writer.write(json.dumps(self.roster.value()).encode() + b"\n")
            await self._listen(life, reader, writer)
            status = await process.wait()
        finally:
            self.writers.pop(life, None)
            writer.close()
        del self.processes[life]
        self.act(self.core.exited(life, status, self.loop.time()))

    async def _listen(self, life: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """What a worker says, until its end of the channel closes."""
        try:
            while line := await reader.readline():
                message = json.loads(line)
                if "ready" in message:
                    self.writers[life] = writer
                    if self.roster.version is not None:  # what others heard while it started
                        self._pass_on_departures(self.roster.value() or {}, [writer])
                    self.act(self.core.ready(life, self.loop.time()))
                elif "list" in message:
                    self.roster.take(message["list"])
                    others = [writer for other, writer in self.writers.items() if other != life]
                    self._pass_on_departures(message["list"], others)
                else:
                    self.act(self.core.beat(life, self.loop.time()))
        except (ConnectionError, ValueError) as error:
            log.warning("a worker's channel: %s", error)


def _watch_children_without_threads(loop: asyncio.AbstractEventLoop) -> None:
    """Signals are held by each thread for itself: one that waits for a child would take them at the end. The default
    from Python 3.14 on, where the watchers are gone.
    """
    if sys.version_info < (3, 14):
        watcher = asyncio.PidfdChildWatcher()
        watcher.attach_loop(loop)
        asyncio.set_child_watcher(watcher)


def supervise(
    workers: int, address: tuple[str, int], store: StoreService | None = None, fellows: Fellows | None = None
) -> int:
    """Run so many workers behind one port, until SIGTERM; the exit status. OSError where the port is taken.

    store: what all workers keep their records in. fellows: the node among others.
    """

    async def run(listening: list[socket.socket]) -> int:
        if store is None:
            return await Shell(listening, None, fellows).run()
        store.start(asyncio.get_running_loop())
        try:
            return await Shell(listening, store, fellows).run()
        finally:
            store.close()

    # A queue for each number: the kernel deals connections evenly among them. They stay open here, so that what
    # waits in a dead worker's queue is its successor's and is not reset.
    socket.create_server(address).close()  # several may share a port: else one that is taken would not show
    with ExitStack() as stack:
        listening: list[socket.socket] = []
        for _ in range(workers):
            free = listening[0].getsockname() if listening else address
            one = socket.create_server(free, backlog=1024, reuse_port=True)
            listening.append(stack.enter_context(one))
        return asyncio.run(run(listening))
