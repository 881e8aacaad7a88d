"""The bytes of the usual clients' requests, as PROTOCOL words them, and how a server knows them again.

Bodies follow from ids, so that either side can check what it was sent without asking the other.
"""

from __future__ import annotations

from hashlib import blake2b
from dataclasses import dataclass

from cloverhold.rehearsal.scenario import Class

REFUSED = (429, 503)  # trying again is harmless
# A request that crosses its kept connection's close meets it within this time; a close that comes later has
# taken the request with it.
CROSSING_S = 0.1


@dataclass(frozen=True, slots=True)
class Known:
    """What a server may expect of an id."""

    class_name: str
    method: str
    target: str
    key: str | None
    work_ms: float
    body_bytes: int
    caller: str = ""
    harm: int | None = None  # the fault by which it harms its server


def digest(body: bytes) -> str:
    """A short digest of a body."""
    return blake2b(body, digest_size=8).hexdigest()


def body_of(name: str, size: int) -> bytes:
    """The body that goes with an id."""
    return (name.encode() * (size // len(name) + 1))[:size]


def answer_of(name: str, server: str, life: int, run: int, size: int) -> bytes:
    """The body of a server's answer; no two executions have the same."""
    head = f'{{"id":"{name}","server":"{server}","life":{life},"run":{run},"pad":"'.encode()
    return head + b"." * max(0, size - len(head) - 2) + b'"}'


def expected(
    kind: Class, subject: str, key: str | None, work_ms: float, caller: str = "", harm: int | None = None
) -> Known:
    """What a request of this class is like."""
    method = "GET" if kind.repeats == "safe" else "POST"
    size = 0 if method == "GET" else kind.body_bytes
    return Known(kind.name, method, f"/{kind.name}?sid={subject}", key, work_ms, size, caller, harm)


def request_bytes(name: str, known: Known, budget_s: float, *, retry: bool) -> bytes:
    """A request as the usual clients send it."""
    lines = [
        f"{known.method} {known.target} HTTP/1.1",
        "Host: api.internal",
        f"X-Call-Id: {name}",
        f"X-Call-Class: {known.class_name}",
        f"X-Budget: {max(1, round(budget_s * 1e6))}u",
    ]
    if known.caller:
        lines.append(f"X-Caller: {known.caller}")
    if retry:
        lines.append("X-Again: 1")
    if known.key is not None:
        lines.append(f"Idempotency-Key: {known.key}")
    if known.method == "POST":
        lines.append(f"Content-Length: {known.body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode() + body_of(name, known.body_bytes)


def budget_s(text: bytes) -> float | None:
    """The time in an X-Budget header; None where there is none that can be read."""
    scale = {b"m": 1e-3, b"u": 1e-6}.get(text[-1:])
    return float(text[:-1]) * scale if scale is not None and text[:-1].isdigit() else None


def answer(status: str, body: bytes, *extra: str) -> bytes:
    """An answer's bytes."""
    head = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *extra, "", ""]
    return "\r\n".join(head).encode() + body
