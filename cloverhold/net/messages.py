"""What requests and answers are to any protocol: bounds, fields that concern one connection only, and an answer."""

from __future__ import annotations

import json
from dataclasses import dataclass, field

HEAD_LIMIT = 64 * 1024
FIELDS_LIMIT = 256  # of one head: each costs some 200 bytes here, however short it is
BODY_LIMIT = 64 * 1024  # an answer up to this size is held until it is whole; requests of HTTP/3 hold no more
ANSWER_LIMIT = 1024 * 1024  # of answers that no front takes in pieces
LENGTH_LIMIT = 1 << 31  # of any body

NO_HOST = b"api.internal"  # said to servers where a client said none, and with probes

Field = tuple[bytes, bytes]  # name and value

# What concerns one connection only, or is written anew for the next one.
HOP_BY_HOP = {
    b"connection",
    b"content-length",
    b"expect",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
}


@dataclass(slots=True)
class Response:
    """One whole answer of a server."""

    status: int = 0
    fields: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name, the first value
    passed: list[Field] = field(default_factory=list)  # what is passed on
    body: bytes = b""
    keep_alive: bool = False  # whether its connection can serve another request

    def header(self, name: bytes) -> bytes:
        """The first value of a header, by its lower-case name; empty if there is none."""
        return self.fields.get(name, b"")

    def length(self) -> int | None:
        """The length that its head tells; None where it tells none."""
        text = self.header(b"content-length")
        return int(text) if text.isdigit() else None


def read_load(text: bytes) -> dict[str, float] | None:
    """A load report's figures; None if it can't be read. Servers are not trusted with what they send."""
    try:
        values = json.loads(text.decode())  # told the encoding, it need not look for it
    except (ValueError, RecursionError):  # the latter where brackets are nested without end
        return None
    if not isinstance(values, dict):
        return None
    return {k: float(v) for k, v in values.items() if isinstance(v, (int, float)) and 0 <= v < 1e9}


def origin_form(target: bytes) -> bytes:
    """The path and query of an absolute-form target (RFC 9112, section 3.2.2); any other as it is."""
    scheme, found, rest = target.partition(b"://")
    if not found or scheme.lower() != b"http":
        return target
    slash = rest.find(b"/")
    return rest[slash:] if slash >= 0 else b"/"
