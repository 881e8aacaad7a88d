"""The store as a worker has it: its records are kept by the supervisor, for all workers together."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from typing import Any, cast

from cloverhold.store.patience import Patience
from cloverhold.store.sent import Told, identity
from cloverhold.store.wire import Ask, Frames, Hello, Listed, Message, Moves, Over, WireError, frame
from cloverhold.store.wire import Told as Answer


FIRST_S = 5.0  # the supervisor's first word is there before the worker's process is


class RemoteStore(asyncio.Protocol):
    """A worker's end. Reads the store's first word at once, which blocks; raises OSError where none comes."""

    def __init__(self, channel: socket.socket, most_delay_ms: float) -> None:
        self.channel, self.most_delay_ms = channel, most_delay_ms
        self.frames = Frames()
        self.hello = self._first()
        self.transport: asyncio.Transport | None = None
        self.waiting: dict[int, Told] = {}
        self.refs = 0
        self.gone = False  # the supervisor's end has closed: nothing is recorded any more
        self._patience: Patience | None = None
        self._task: asyncio.Task[Any] | None = None
        self._unsaid: list[Message] = []  # before the socket is the loop's

    def _first(self) -> Hello:
        self.channel.settimeout(FIRST_S)
        while True:
            data = self.channel.recv(64 * 1024)
            if not data:
                raise OSError("the store of the supervisor has gone")
            for message in self.frames.feed(data):
                if isinstance(message, Hello):
                    return message
                raise OSError(f"the store began with {type(message).__name__}")

    def known(self) -> Any:
        """The last list that was kept, in discovery's form; None where there is none."""
        return self.hello.known

    def moves(self) -> list[Any]:
        """The moves of cells of this worker that were kept."""
        return self.hello.moves

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Go on in this loop."""
        self._patience = Patience(loop, self.most_delay_ms)
        self.channel.setblocking(False)
        self._task = loop.create_task(loop.create_unix_connection(lambda: self, sock=self.channel))

    def close(self) -> None:
        """End it; what was sent to servers counts as sent for the store."""
        if self._task is not None:
            self._task.cancel()
        if self.transport is not None:
            self.transport.close()
        else:
            self.channel.close()

    # ------------------------------------------------------------------------------------------ as the store

    def record(self, call_id: bytes, key: bytes, told: Told) -> int:
        """Record a request that may run; the ticket for `over`. `told` is called once, later, with what became of it;
        "known": it may have run before, also at another worker.
        """
        assert self._patience is not None
        self.refs += 1
        ref = self.refs
        if self.gone or self._patience.hangs():
            asyncio.get_running_loop().call_soon(told, "failed")
            return ref
        self.waiting[ref] = self._patience.wait(told)
        self._say(Ask(ref, identity(call_id, key)))
        return ref

    def over(self, ticket: int, *, sent: bool) -> None:
        """A recorded request has had its answer."""
        self._say(Over(ticket, sent))

    def keep_list(self, value: dict[str, Any]) -> None:
        """Keep a list, or changes of it."""
        self._say(Listed(value))

    def keep_moves(self, moves: Sequence[Any]) -> None:
        """Keep the moves of cells, all of them each time."""
        self._say(Moves(list(moves)))

    # ---------------------------------------------------------------------------------------- on the socket

    def _say(self, message: Message) -> None:
        if self.transport is not None:
            self.transport.write(frame(message))
        elif not self.gone:
            self._unsaid.append(message)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The socket is the loop's."""
        self.transport = cast(asyncio.Transport, transport)
        unsaid, self._unsaid = self._unsaid, []
        for message in unsaid:
            self._say(message)

    def data_received(self, data: bytes) -> None:
        """The store's answers."""
        try:
            for message in self.frames.feed(data):
                if isinstance(message, Answer) and (done := self.waiting.pop(message.ref, None)) is not None:
                    done(message.how)
        except WireError:
            assert self.transport is not None
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """The supervisor has gone: what waits was never sent, and is refused."""
        self.gone, self.transport = True, None
        waiting, self.waiting = self.waiting, {}
        for done in waiting.values():
            done("failed")
