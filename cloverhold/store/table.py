"""The operator's `[store]`."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta


class StoreTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where it stands in the file, the store is on. path: a folder of this node's own, on a disk that lasts."""

    path: Annotated[str, Meta(min_length=1)]
    keep_s: Annotated[float, Meta(ge=1, le=86_400)] = 60.0  # a few times the longest deadline
    most_delay_ms: Annotated[float, Meta(ge=1, le=10_000)] = 100.0  # for a record to be durable, else refused
    segment_kb: Annotated[int, Meta(ge=16, le=1_048_576)] = 4096
    unreadable: Literal["stop", "serve"] = "stop"  # "serve": start all the same, and refuse unsafe classes
