"""A node that is one of several workers: what it takes from its supervisor, and what it tells."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING, Any

from cloverhold.net.discovery.departures import DEPARTURES
from cloverhold.net.socket_watcher import SocketWatcher

if TYPE_CHECKING:
    from cloverhold.platform import Config

BEAT_S = 0.5
LINE_MOST = 1024 * 1024  # of the supervisor's words; far more than the numbers of a fleet


class Attached:
    """The channel to the supervisor: a line of JSON a message, the remembered list first."""

    def __init__(self, text: str) -> None:
        told = json.loads(text)
        self.number, self.life, self.workers = int(told["number"]), int(told["life"]), int(told["workers"])
        self.listening = socket.socket(fileno=int(told["listening"]))
        self.listening.setblocking(False)
        self.channel = socket.socket(fileno=int(told["channel"]))
        # The supervisor's store; None where it has none, or cannot use it.
        self.store = socket.socket(fileno=int(handle)) if (handle := told.get("store")) is not None else None
        self.unsent, self.unread = b"", b""
        self.heard: Callable[[Any], None] = lambda view: None  # of the living nodes
        self.departures_heard: Callable[[Any], None] = lambda value: None  # of servers, by another worker

    def known(self) -> Any:
        """The last list that any worker was told; None at the first start. Waits for the supervisor's word."""
        line = b""
        while not line.endswith(b"\n"):
            data = self.channel.recv(64 * 1024)
            if not data:
                raise OSError("the supervisor has gone")
            line += data
        self.channel.setblocking(False)
        return json.loads(line)

    def share(self, config: Config) -> Config:
        """The part of a worker in what the node was given: it counts as a node of its own."""
        settings, workers = config.settings, self.workers
        me = settings.me * workers + self.number if settings.me is not None else None
        return replace(
            config,
            settings=replace(settings, nodes=settings.nodes * workers, me=me),
            sockets=max(64, config.sockets // self.workers),
            seed=Random(f"{config.seed}/{self.life}").getrandbits(63),
        )

    def begin(self, stop: asyncio.Event) -> None:
        """It serves: tell so, and live until the supervisor goes."""
        self.loop, self.stop = asyncio.get_running_loop(), stop
        self.watcher = SocketWatcher(self.loop, self.channel, self._readable)
        self.watcher.resume_reading()
        self._say({"ready": True})
        self._beat()

    def told(self, members: dict[str, Any]) -> None:
        """A list, for those that are started after this."""
        self._say({"list": members})

    def _beat(self) -> None:
        self._say({"beat": True})
        if not self.stop.is_set():
            self.loop.call_later(BEAT_S, self._beat)

    def _say(self, message: dict[str, Any]) -> None:
        self.unsent += json.dumps(message).encode() + b"\n"
        try:
            self.unsent = self.unsent[self.channel.send(self.unsent) :]
        except BlockingIOError:
            pass  # said with the next beat
        except OSError:
            self.unsent = b""  # the supervisor has gone: the reader sees to it

    def _readable(self) -> None:
        try:
            data = self.channel.recv(64 * 1024)
        except OSError:
            data = b""
        if not data:
            self.watcher.close()
            self.stop.set()
            return
        *lines, self.unread = (self.unread + data)[-LINE_MOST:].split(b"\n")
        messages = [json.loads(line) for line in lines]
        for message in messages:
            if DEPARTURES in message:
                self.departures_heard(message[DEPARTURES])
        views = [message for message in messages if DEPARTURES not in message]
        if views:
            self.heard(views[-1])  # what came before it is past
