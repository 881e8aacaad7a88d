"""What asks a writer or a relay and waits for its answer: operators' commands, and a writer that starts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

from cloverhold.fleet.distribution.follower import Follower
from cloverhold.fleet.distribution.frames import (
    WIRE, BadFrame, FromSource, FromSubscriber, Reader, frame, source_words,
)  # fmt: skip
from cloverhold.fleet.distribution.durable import Durable
from cloverhold.fleet.distribution.interface import (
    Action, Answer, Beat, Behind, Change, Hello, Persist, Row, Runs, Switch, Told, Unknown, Up, Who,
)  # fmt: skip
from cloverhold.fleet.distribution.scope import Scope
from cloverhold.fleet.wire.clock import now_ms

Address = tuple[str, int]
CONNECT_S, ANSWER_S = 2.0, 10.0


class Unanswered(Exception):
    """No answer, in a line."""


class Line:
    """A connection on which words are said and heard."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.words: Reader[FromSource] = source_words()
        self.heard: list[FromSource] = []
        self.name = ""  # of the other side

    def say(self, word: FromSubscriber) -> None:
        self.writer.write(frame(word))

    async def hear(self) -> FromSource:
        """The next word that is no beat. Raises Unanswered."""
        while True:
            while self.heard:
                word = self.heard.pop(0)
                if not isinstance(word, Beat):
                    return word
            try:
                data = await asyncio.wait_for(self.reader.read(64 * 1024), ANSWER_S)
                self.heard = list(self.words.feed(data))
            except (OSError, TimeoutError, BadFrame) as error:
                raise Unanswered(str(error) or type(error).__name__) from None
            if not data:
                raise Unanswered("the connection was ended")


@asynccontextmanager
async def line(at: Address, fleet: str, name: str) -> AsyncIterator[Line]:
    """Connect. Raises Unanswered."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*at), CONNECT_S)
    except (OSError, TimeoutError) as error:
        raise Unanswered(str(error) or "no connection") from None
    try:
        one = Line(reader, writer)
        one.say(Hello(fleet, name, WIRE))
        hello = await one.hear()
        if not isinstance(hello, Hello):
            raise Unanswered("no process of distribution")
        one.name = hello.name
        yield one
    finally:
        writer.transport.abort()


async def change(at: Address, fleet: str, scope: str, values: Mapping[str, bytes | None]) -> Answer:
    """Have a writer make a change; its answer. Raises Unanswered: then nobody knows whether it was made."""
    async with line(at, fleet, "operator") as one:
        one.say(Change(scope, dict(values)))
        while not isinstance(word := await one.hear(), Answer):
            pass
        return word


async def _rows(one: Line) -> list[Row]:
    one.say(Who())
    rows: list[Row] = []
    while True:
        word = await one.hear()
        if isinstance(word, Runs):
            rows += word.rows
            if word.last:
                return rows


async def who(at: Address, fleet: str) -> tuple[str, list[Row]]:
    """The name of the process that is asked, and who runs what as far as it knows. Raises Unanswered."""
    async with line(at, fleet, "operator") as one:
        return one.name, await _rows(one)


async def adopt(at: Address, fleet: str, name: str, held: dict[str, Scope], durable: Durable) -> None:
    """Take over what a relay holds that is newer than `held`, durably. Raises Unanswered, and OSError of the disk."""
    async with line(at, fleet, name) as one:
        rows = await _rows(one)
        newer = {row.scope: row.held.version for row in rows if row.name == one.name and row.held is not None}
        newer = {s: version for s, version in newer.items() if s not in held or held[s].mark.version < version}
        follower = Follower({scope: held[scope] for scope in newer if scope in held})

        def do(actions: list[Action]) -> None:
            for action in actions:
                match action:
                    case Up(message):
                        one.say(message)
                    case Persist(scope, _, upto):
                        durable.write(action)
                        do(follower.stored(scope, upto, True, now_ms()))
                    case Switch(scope):
                        taken = follower.held(scope)
                        assert taken is not None
                        held[scope] = taken

        do(follower.joined())
        for scope in sorted(newer):
            do(follower.add(scope))
        while any(s not in held or held[s].mark.version < version for s, version in newer.items()):
            word = await one.hear()
            if isinstance(word, (Told, Unknown, Behind)):
                do(follower.hear(word, now_ms()))
