"""Answers as no server should give them: what is written in place of a good one. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from cloverhold.rehearsal.wire import answer


@dataclass(frozen=True, slots=True)
class Spoilt:
    """What is written: `first`, and then `more` again and again, until the other side has had enough."""

    first: bytes
    more: bytes = b""
    good: bool = False  # the answer itself is whole and can be used
    ends: bool = False  # the connection is closed behind it


def spoilt(how: str, body: bytes) -> Spoilt:
    """An answer with this body, spoilt in a way of `faults.Spoiling`. KeyError for any other."""
    good = answer("200 OK", body)
    head = b"HTTP/1.1 200 OK\r\n"
    return {
        "cut": Spoilt(good[: -max(1, len(body) // 2)], ends=True),
        "noise": Spoilt(b"\x16\x03\x01\x00\xff" * 20 + b"\r\n\r\n"),
        "wrong_length": Spoilt(head + b"Content-Length: 1x7\r\n\r\n" + body),
        "endless_head": Spoilt(head, b"X-More: " + b"y" * 4000 + b"\r\n"),
        "endless_1xx": Spoilt(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
        "endless_body": Spoilt(head + b"Content-Length: 3000000000\r\n\r\n", b"z" * 16000),
        "noise_behind": Spoilt(good + b"\x00\xffnoise\r\n", good=True),
        "second_copy": Spoilt(good + good, good=True),
        "bad_report": Spoilt(answer("200 OK", body, "X-Load-Report: " + "[" * 2000), good=True),
        "early_1xx": Spoilt(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + good, good=True),
    }[how]
