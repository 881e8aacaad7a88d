"""A node that no longer hears discovery some seconds after its start, as a soak is to find it.

Started as `python tests/faults/deaf_node.py`, in place of `python -m cloverhold`.
"""

from __future__ import annotations

import sys
import time

from cloverhold.__main__ import main
from cloverhold.net.discovery.server_list import Members
from cloverhold.net.discovery.watcher import Discovery

HEARS_FOR_S = 6.0


def deafen(started_at_s: float) -> None:
    """Drop each list that comes later."""
    hand_on = Discovery._hand_on

    def drop(self: Discovery, members: Members) -> Exception | None:
        return hand_on(self, members) if time.monotonic() - started_at_s < HEARS_FOR_S else None

    Discovery._hand_on = drop  # type: ignore[method-assign]


if __name__ == "__main__":
    deafen(time.monotonic())
    sys.exit(main())
