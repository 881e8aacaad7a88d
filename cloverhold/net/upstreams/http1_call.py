"""One exchange with a server over HTTP/1.1: its bytes, and how much of them has left."""

from __future__ import annotations

from typing import Protocol

from cloverhold.net.messages import Response
from cloverhold.net.upstreams.calls import Done, Outgoing, Receiver, Wanted, always


class Carrier(Protocol):
    """The connection that carries a call."""

    call: Call | None

    def more(self) -> None: ...
    def taken_at(self, now: float) -> float: ...
    def answer_comes(self) -> bool: ...
    def pass_on(self) -> None: ...
    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def give_up(self) -> None: ...


def payload(outgoing: Outgoing) -> bytes:
    """The bytes of a request as it leaves now: its head, and its body where that is held whole."""
    head = [b"%s %s HTTP/1.1\r\n" % (outgoing.method, outgoing.target)]
    head.extend([b"%s: %s\r\n" % pair for pair in outgoing.fields])
    if outgoing.left is not None:
        head.append(b"X-Budget: %du\r\n" % max(1, int(outgoing.left() * 1000)))
    if outgoing.upload is not None:
        length = outgoing.upload.length
        head.append(b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length)
    elif outgoing.body or outgoing.method != b"GET":
        head.append(b"Content-Length: %d\r\n" % len(outgoing.body))
    head.append(b"\r\n")
    head.append(outgoing.body)
    return b"".join(head)


class Call:
    """One exchange on a connection."""

    __slots__ = (
        "begun", "connection", "done", "ended", "leaves", "outgoing", "part", "receiver", "response", "upload",
        "wanted", "written",
    )  # fmt: skip

    def __init__(
        self, outgoing: Outgoing, done: Done, receiver: Receiver | None = None, wanted: Wanted = always
    ) -> None:
        self.wanted = wanted
        self.outgoing, self.done, self.receiver, self.upload = outgoing, done, receiver, outgoing.upload
        self.leaves = False  # whether its first byte has left
        self.part, self.written = b"", 0  # the request, or the part of it on its way; how much of that has left
        self.ended = self.upload is None  # whether no further part will come
        self.begun = False  # whether the receiver takes the answer in pieces
        self.connection: Carrier | None = None
        self.response: Response | None = None
        if self.upload is not None:
            self.upload.begin(self._more, self._taken_at)

    def _more(self) -> None:
        if self.connection is not None:
            self.connection.more()

    def _taken_at(self, now: float) -> float:
        return self.connection.taken_at(now) if self.connection is not None else 0.0

    def sent(self) -> bool:
        """Whether the last byte of the request has been written."""
        return self.ended and self.leaves and self.written == len(self.part)

    def unwritten(self) -> memoryview:
        """What is to be written now. The head is made here, and anew until its first byte has left."""
        if not self.leaves:
            self.part = payload(self.outgoing)
        return memoryview(self.part)[self.written :]

    def wrote(self, count: int) -> bool:
        """So much of `unwritten()` has left; whether that was all of it."""
        self.leaves = self.leaves or count > 0
        self.written += count
        if self.written < len(self.part):
            return False
        self.part, self.written = b"", 0  # not held until the answer comes
        return True

    def next_part(self) -> bool:
        """Go on to what the body holds next; whether there is any now."""
        upload = self.upload
        if upload is None or self.ended:
            return False
        data, chunked = upload.take(), upload.length is None
        self.ended = upload.drained() if chunked else upload.taken == upload.length
        if chunked and data:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        if chunked and self.ended:
            data += b"0\r\n\r\n"
        if not data:
            return False
        self.part, self.written = data, 0
        return True

    def over(self) -> None:
        """It has no connection any more, and takes no more of the body."""
        self.connection = None
        if self.upload is not None:
            self.upload.leave()

    def answer_comes(self) -> bool:
        return self.connection is not None and self.receiver is not None and self.connection.answer_comes()

    def pass_on(self) -> None:
        if self.connection is not None:
            self.connection.pass_on()

    def pause(self) -> None:
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        if self.connection is not None:
            self.connection.resume()

    def give_up(self) -> None:
        """Its connection closes: late bytes must reach nobody else."""
        connection = self.connection
        self.over()
        if connection is not None:
            connection.give_up()
