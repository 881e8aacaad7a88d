"""The head of an answer in HTTP/1.1."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from cloverhold.net.messages import Field

NO_BODY = b"Content-Length: 0\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
_LINES = {int(s): f"HTTP/1.1 {int(s)} {s.phrase}\r\n".encode() for s in HTTPStatus}


def length_line(length: int | None, *, chunked: bool) -> bytes:
    """How the body is framed; neither: it ends with the connection."""
    if length is not None:
        return b"Content-Length: %d\r\n" % length
    return CHUNKED if chunked else b""


def answer_head(status: int, headers: Iterable[Field], framing: bytes, announce: bytes, *, close: bool) -> bytes:
    """framing, announce: whole lines. close: whether the connection ends with this answer."""
    head = [_LINES[status], framing]
    head.extend([b"%s: %s\r\n" % pair for pair in headers])
    head.append(announce)
    head.append(b"Connection: close\r\n\r\n" if close else b"\r\n")
    return b"".join(head)
