"""The operator's `[http3]`."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from cloverhold.h3.door import RetryWhen

Path = Annotated[str, Meta(min_length=1)]


class Http3Table(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where it stands in the file, clients may come by HTTP/3 too."""

    certificate: Path  # PEM, with what stands between it and the root
    key: Path  # PEM
    listen: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")] = "0.0.0.0:8443"  # UDP
    secrets: tuple[Path, ...] = ()  # files of 32 bytes, the one in use first; none: drawn at start, lost at its end
    retry: RetryWhen = "busy"  # when an address must show that it hears us before anything is kept for it
    early: bool = True  # whether safe requests are taken from 0-RTT data
    announce: bool = False  # say Alt-Svc in answers over HTTP/1.1
    most_connections: Annotated[int, Meta(ge=8, le=1_000_000)] = 1000
    most_handshakes: Annotated[int, Meta(ge=4, le=100_000)] = 100
    most_streams: Annotated[int, Meta(ge=1, le=100)] = 32  # of one connection at a time
    most_requests: Annotated[int, Meta(ge=1, le=1_000_000)] = 2000  # of all connections at a time
    most_kb: Annotated[int, Meta(ge=64, le=1_048_576)] = 8192  # of requests that are not answered yet

    def __post_init__(self) -> None:
        host, _, port = self.listen.rpartition(":")
        if int(port) > 65535 or len(parts := host.split(".")) != 4 or any(not p or int(p) > 255 for p in parts):
            raise ValueError("listen: an IPv4 address and a port are needed")
