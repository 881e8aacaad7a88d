"""Fields of HTTP/3 to requests and answers as every front has them (RFC 9114, sections 4.2 and 4.3)."""

from __future__ import annotations

import re
from collections.abc import Iterable

from cloverhold.net.exchange import ONCE, BadRequest, Incoming
from cloverhold.net.messages import BODY_LIMIT, HEAD_LIMIT, HOP_BY_HOP, Field

# What goes on to a server over HTTP/1.1 becomes lines there: a line end inside a value would be a request of its own.
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9a-z]+")
_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")
_PATH = re.compile(rb"/[\x21-\x7e]*")
_METHOD = re.compile(rb"[A-Z]{1,16}")
_PSEUDO = {b":method", b":scheme", b":authority", b":path"}
FIELD_COST = 32  # what a field counts beyond its name and value (RFC 9114, section 4.2.2)


def read_head(headers: Iterable[Field]) -> Incoming:
    """A request's head, its body still to come. Raises BadRequest where it is malformed or too large."""
    request, pseudo = Incoming(), dict[bytes, bytes]()
    for name, value in headers:
        request.head_bytes += len(name) + len(value) + FIELD_COST
        if request.head_bytes > HEAD_LIMIT:
            raise BadRequest(431, "head too large")
        if name[:1] == b":":
            if name not in _PSEUDO or name in pseudo or request.fields:
                raise BadRequest(400, "pseudo-fields are not as agreed")
            pseudo[name] = value
            continue
        value = value.strip(b" \t")
        if not _NAME.fullmatch(name) or not _VALUE.fullmatch(value):
            raise BadRequest(400, "a field's name or value is not allowed")
        if name in ONCE and name in request.fields:
            raise BadRequest(400, f"{name.decode('latin-1')} is given twice")
        if name in HOP_BY_HOP and name not in (b"content-length", b"te", b"trailer", b"expect"):
            raise BadRequest(400, f"{name.decode('latin-1')} has no place here")
        request.fields[name] = value
        if name not in HOP_BY_HOP and name not in (b"x-budget", b"host"):  # both are told anew
            request.passed.append((name, value))
    request.method, request.target = pseudo.get(b":method", b""), pseudo.get(b":path", b"")
    host = pseudo.get(b":authority") or request.fields.get(b"host", b"")
    if not _METHOD.fullmatch(request.method) or not _PATH.fullmatch(request.target):
        raise BadRequest(400, "the method or the path is not allowed")
    if not host or not _VALUE.fullmatch(host) or b" " in host or b"," in host:
        raise BadRequest(400, "the authority is missing or not allowed")
    request.passed.insert(0, (b"Host", host))
    length = request.fields.get(b"content-length")
    if length is not None:
        if not length.isdigit():
            raise BadRequest(400, "Content-Length is no number")
        if len(length) > 12 or int(length) > BODY_LIMIT:
            raise BadRequest(413, "body too large")
    return request


def check_whole(request: Incoming) -> None:
    """Raises BadRequest where the body is not as long as was said (RFC 9114, section 4.1.2)."""
    length = request.fields.get(b"content-length")
    if length is not None and int(length) != len(request.body):
        raise BadRequest(400, "the body is not as long as was said")


def answer_head(status: int, length: int, fields: Iterable[Field]) -> list[Field]:
    """The head of an answer: what a server said may come from HTTP/1.1, so names go into lower case."""
    head = [(b":status", b"%d" % status), (b"content-length", b"%d" % length)]
    head.extend((lower, value) for name, value in fields if (lower := name.lower()) not in HOP_BY_HOP)
    return head


def _length(prefix: int, bits: int, number: int) -> bytes:
    """An integer behind the bits of a prefix (RFC 7541, section 5.1)."""
    most = (1 << bits) - 1
    if number < most:
        return bytes([prefix | number])
    out, number = bytearray([prefix | most]), number - most
    while number >= 0x80:
        out.append(number & 0x7F | 0x80)
        number >>= 7
    out.append(number)
    return bytes(out)


def field_section(fields: Iterable[Field]) -> bytes:
    """Fields as a client reads them, each written out (RFC 9204, section 4.5.6): no table that a stream could wait for.

    The library's own encoder takes no field of more than some 4 KB, and ends its thread with a panic on one.
    """
    out = [b"\x00\x00"]
    for name, value in fields:
        out += (_length(0x20, 3, len(name)), name, _length(0x00, 7, len(value)), value)
    return b"".join(out)
