"""The one store of a node of several workers, in its supervisor: a socket to each worker, one log behind them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

from cloverhold.store.desk import Desk
from cloverhold.store.sent import How
from cloverhold.store.shell import Store
from cloverhold.store.table import StoreTable
from cloverhold.store.wire import Ask, Frames, Hello, Listed, Message, Moves, Over, Told, WireError, frame

log = logging.getLogger(__name__)


class StoreService:
    """Opens the store at once; raises StoreError and OSError where it cannot be used."""

    def __init__(self, table: StoreTable, now: Callable[[], float]) -> None:
        """now: a clock that only advances, in ms."""
        self.table, self.store, self.desk = table, Store(table, now), Desk()
        self.ends: dict[int, _End] = {}  # by worker life

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin to write."""
        self.store.start(loop)

    async def connect(self, number: int, life: int) -> socket.socket:
        """The worker's end of a new socket, for its process to inherit. number: the worker's place, over its lives."""
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.create_unix_connection(lambda: _End(self, number, life), sock=ours)
        return theirs

    def close(self) -> None:
        """End all sockets, write what waits, and close."""
        for end in list(self.ends.values()):
            end.abort()
        self.store.close()


class _End(asyncio.Protocol):
    """The service's end of one worker's socket."""

    def __init__(self, service: StoreService, number: int, life: int) -> None:
        self.service, self.number, self.life = service, number, life
        self.frames = Frames()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport, store = cast(asyncio.Transport, transport), self.service.store
        self.service.ends[self.life] = self
        self._say(Hello(store.known(), store.moves(str(self.number))))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.service.ends.pop(self.life, None)
        for ticket in self.service.desk.gone(self.life):
            self.service.store.over(ticket, sent=True)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _say(self, message: Message) -> None:
        if self.transport is not None:
            self.transport.write(frame(message))

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.frames.feed(data):
                self._heard(message)
        except (WireError, ValueError) as error:
            log.error("store: worker %d: %s; its socket is closed", self.number, error)
            self.abort()

    def _heard(self, message: Message) -> None:
        store, desk = self.service.store, self.service.desk
        match message:
            case Ask(ref=ref, name=name):

                def told(how: How) -> None:
                    self._say(Told(ref, how))

                ticket = store.take(name, told)
                if ticket is None:
                    told("known")
                else:
                    desk.granted(self.life, ref, ticket)
            case Over(ref=ref, sent=sent):
                ticket = desk.over(self.life, ref)
                if ticket is not None:
                    store.over(ticket, sent=sent)
            case Listed(value=value):
                store.keep_list(value)
            case Moves(moves=moves):
                store.keep_moves(moves, str(self.number))
            case _:
                raise WireError(f"{type(message).__name__} is not for the store")
