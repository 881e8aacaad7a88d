"""The sockets, the timer and the disk's thread of a writer, a relay or a node. Decides nothing."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import threading
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Sequence
from queue import SimpleQueue
from random import Random
from typing import TypeVar

from cloverhold.fleet.distribution.durable import Durable
from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.frames import (
    WIRE, BadFrame, FromSource, FromSubscriber, Reader, frame, source_words, subscriber_words,
)  # fmt: skip
from cloverhold.fleet.distribution.interface import (
    Accepted, Action, Answer, Beat, Change, Declined, Down, Drop, Forget, Hello, Mark, Note, Outrun, Persist, Row, Runs,
    Session, Switch, Told, Up, Who,
)  # fmt: skip
from cloverhold.fleet.distribution.writer import Relay, Writer
from cloverhold.fleet.wire.clock import now_ms

log = logging.getLogger(__name__)

Address = tuple[str, int]
T = TypeVar("T")
TURN_S = 1.0
SILENT_S = 3.0  # without a word from the other side
CONNECT_S = 1.0
FIRST_S, MOST_S = 0.5, 5.0  # between two tries to connect, drawn
MOST_SESSIONS = 2_000
MOST_UNSENT = 4 * 1024 * 1024  # bytes to one subscriber
CLOSE_S = 0.5  # for the disk
ROWS = 200  # of one answer to `Who`
CHUNK = 64 * 1024


class DiskThread:
    """One thread that writes, so that the loop never waits for a disk."""

    def __init__(self, durable: Durable, loop: asyncio.AbstractEventLoop) -> None:
        self.durable, self.loop = durable, loop
        self._queue: SimpleQueue[tuple[Persist | Forget, Callable[[bool], None]] | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._write, name="scopes", daemon=True)
        self._thread.start()

    def put(self, what: Persist | Forget, done: Callable[[bool], None]) -> None:
        """Write this, then say on the loop whether it lasts."""
        self._queue.put((what, done))

    def close(self) -> bool:
        """Write what waits, and end; whether that is done: a disk that hangs does not hold it up."""
        self._queue.put(None)
        self._thread.join(CLOSE_S)
        return not self._thread.is_alive()

    def _write(self) -> None:
        while (item := self._queue.get()) is not None:
            what, done = item
            try:
                if isinstance(what, Persist):
                    self.durable.write(what)
                else:
                    self.durable.forget(what.scope)
                good = True
            except OSError as error:
                log.error("distribution: %s: not made durable: %s", what.scope, error)
                good = False
            with contextlib.suppress(RuntimeError):  # the loop has ended: nobody waits
                self.loop.call_soon_threadsafe(done, good)
            with contextlib.suppress(OSError):  # nothing is lost: the next slice begins anew
                self.durable.log.compact()


class Shell:
    """One process: what comes is told to the core, and what the core asks for is done."""

    def __init__(
        self, core: Writer | Relay | Follower, durable: Durable, fleet: str, name: str,
        switched: Callable[[Switch], None], chance: Random,
    ) -> None:  # fmt: skip
        """switched: called when something is in force, in the same turn of the loop."""
        self.core, self.fleet, self.name, self.switched, self.chance = core, fleet, name, switched, chance
        self.disk = DiskThread(durable, asyncio.get_running_loop())
        self.counts: Counter[str] = Counter()
        self.follower = core if isinstance(core, Follower) else core.follower if isinstance(core, Relay) else None
        self._up: asyncio.StreamWriter | None = None
        self._sessions: dict[Session, tuple[str, asyncio.StreamWriter]] = {}
        self._last = 0
        self._askers: dict[int, asyncio.StreamWriter] = {}  # by ticket: who waits for a change
        self._tickets = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._server: asyncio.Server | None = None
        self.told_bytes = self.heard_bytes = 0

    async def start(self, listen: Address | None, sources: Sequence[Address], scopes: Iterable[str] = ()) -> None:
        """Listen and connect. OSError where it cannot listen."""
        if listen is not None:
            self._server = await asyncio.start_server(self._serve, *listen, backlog=1024)
        if isinstance(self.core, Follower):
            self.do(self.core.follow(scopes))
        if sources and not isinstance(self.core, Writer):
            self._tasks.append(asyncio.ensure_future(self._follow(sources)))
        self._tasks.append(asyncio.ensure_future(self._turn()))

    def close(self) -> bool:
        """End all of it; whether the disk is used no more."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for _, writer in list(self._sessions.values()):
            writer.transport.abort()
        if self._up is not None:
            self._up.transport.abort()
        return self.disk.close()

    # ---------------------------------------------------------------- what the core asks for

    def do(self, actions: Iterable[Action]) -> None:
        """Carry out, in this order."""
        for action in actions:
            match action:
                case Up(message):
                    self._say(self._up, message)
                case Outrun():
                    self._say(self._up, action)
                case Down(session, message):
                    if session in self._sessions:
                        self._say(self._sessions[session][1], message)
                    if isinstance(message, Told) and message.part == 0:
                        self.counts["whole told" if message.base is None else "change told"] += 1
                case Persist(name, _, upto):
                    self.disk.put(action, lambda good, name=name, upto=upto: self._stored(name, upto, good))  # type: ignore[misc]
                case Forget():
                    self.disk.put(action, lambda good: None)
                case Switch():
                    self.switched(action)
                case Accepted(name, mark, ticket):
                    self._say(self._askers.pop(ticket, None), Answer(name, mark, ""))
                case Declined(name, why, ticket):
                    self._say(self._askers.pop(ticket, None), Answer(name, None, why))
                case Drop(session):
                    if session in self._sessions:
                        self._sessions[session][1].transport.abort()
                case Note(count, name, why):
                    self.counts[count] += 1
                    log.info("distribution: %s: %s: %s", count, name, why)

    def _stored(self, name: str, upto: Mark, good: bool) -> None:
        self.do(self.core.stored(name, upto, good, now_ms()))

    def _say(self, to: asyncio.StreamWriter | None, word: FromSubscriber | FromSource) -> None:
        if to is None or to.transport.is_closing():
            return
        data = frame(word)
        self.told_bytes += len(data)
        to.write(data)
        if to.transport.get_write_buffer_size() > MOST_UNSENT:
            self.counts["took nothing"] += 1
            to.transport.abort()

    async def _turn(self) -> None:
        while True:
            await asyncio.sleep(TURN_S)
            self.do(self.core.turn(now_ms()))
            for _, writer in list(self._sessions.values()):
                self._say(writer, Beat())
            self._say(self._up, Beat())

    # ---------------------------------------------------------------- to a source

    async def _follow(self, sources: Sequence[Address]) -> None:
        """Stay with a source as long as it speaks; then the next, spread out over time."""
        order = list(sources)
        self.chance.shuffle(order)
        rounds = 0
        while True:
            for address in order:
                if await self._followed(address):
                    rounds = 0
                await asyncio.sleep(self.chance.uniform(0, min(MOST_S, FIRST_S * 2 ** min(rounds, 10))))
            rounds += 1  # all have been tried: four that are gone must not cost one that is there its 15 s

    async def _followed(self, address: Address) -> bool:
        """One connection to its end; whether anything was heard on it."""
        heard = False
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_S)
        except (OSError, TimeoutError):
            return False
        try:
            words = source_words()
            self._say(writer, Hello(self.fleet, self.name, WIRE))
            async for word in _words(reader, words, self._heard):
                if isinstance(word, Hello):
                    if word.fleet != self.fleet:
                        log.error("distribution: %s:%d is of another fleet: %s", *address, word.fleet)
                        return False
                    assert self.follower is not None
                    self._up = writer
                    self.do(self.follower.joined())
                    heard = True
                elif not heard:
                    return False
                elif not isinstance(word, (Beat, Answer, Runs)):
                    core = self.core
                    assert not isinstance(core, Writer)
                    self.do(core.heard(word, now_ms()) if isinstance(core, Relay) else core.hear(word, now_ms()))
        except (OSError, TimeoutError, BadFrame) as error:
            log.info("distribution: %s:%d: %s", *address, error or type(error).__name__)
        finally:
            if self._up is writer:
                self._up = None
            writer.transport.abort()
        return heard

    def _heard(self, count: int) -> None:
        self.heard_bytes += count

    # ---------------------------------------------------------------- to subscribers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        core, session = self.core, 0
        try:
            assert not isinstance(core, Follower)
            if len(self._sessions) >= MOST_SESSIONS:
                return
            async for word in _words(reader, subscriber_words(), self._heard):
                if isinstance(word, Hello):
                    if session or word.fleet != self.fleet:
                        return
                    self._last += 1
                    session = self._last
                    self._say(writer, Hello(self.fleet, self.name, WIRE))
                    self._sessions[session] = word.name, writer
                    core.source.joined(session)
                elif not session:
                    return
                elif isinstance(word, Who):
                    for runs in self._runs():
                        self._say(writer, runs)
                        await writer.drain()
                elif isinstance(word, Change):
                    self._change(word, writer)
                elif isinstance(word, Outrun):
                    self.do(core.outrun(word) if isinstance(core, Writer) else [word])
                elif not isinstance(word, Beat):
                    self.do(core.hear(session, word, now_ms()))
        except (OSError, TimeoutError, BadFrame) as error:
            log.info("distribution: a subscriber: %s", error or type(error).__name__)
        finally:
            if session:
                del self._sessions[session]
                assert not isinstance(core, Follower)
                core.source.left(session)
            writer.transport.abort()

    def _change(self, change: Change, writer: asyncio.StreamWriter) -> None:
        if not isinstance(self.core, Writer):
            self._say(writer, Answer(change.scope, None, "this is no writer"))
            return
        self._tickets += 1
        self._askers[self._tickets] = writer
        self.do(self.core.change(change.scope, change.values, self._tickets))

    def _runs(self) -> Iterator[Runs]:
        core = self.core
        assert not isinstance(core, Follower)
        rows = [Row(self.name, name, mark, None, "") for name, mark in self.marks()]
        names = {session: name for session, (name, _) in self._sessions.items()}
        rows += [
            Row(names.get(session, ""), scope, held, refused, why[:200])
            for session, scope, held, refused, why in core.source.report()
        ]
        for at in range(0, max(1, len(rows)), ROWS):
            yield Runs(tuple(rows[at : at + ROWS]), at + ROWS >= len(rows))

    def marks(self) -> Iterator[tuple[str, Mark]]:
        """What is in force here."""
        core = self.core
        names = core.names() if isinstance(core, Writer) else self.follower.names() if self.follower else ()
        for name in sorted(names):
            held = core.held(name) if not isinstance(core, Relay) else core.follower.held(name)
            if held is not None:
                yield name, held.mark


async def _words(reader: asyncio.StreamReader, words: Reader[T], count: Callable[[int], None]) -> AsyncIterator[T]:
    """What the other side says, until it is silent for too long (TimeoutError) or ends."""
    while data := await asyncio.wait_for(reader.read(CHUNK), SILENT_S):
        count(len(data))
        for word in words.feed(data):
            yield word
