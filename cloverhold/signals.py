"""Signals that are held from the program's first line until their handlers stand, and from their last step to its exit.

By default each would end the process, and what SIGHUP says of a file that has just been read would be lost.
"""

from __future__ import annotations

import signal

HELD = {signal.SIGHUP, signal.SIGTERM, signal.SIGINT}


def hold() -> None:
    """From here on they wait; twice the same changes nothing. Processes that are started meanwhile hold them too."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HELD)


def release() -> None:
    """Their handlers stand: what came meanwhile is heard now."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HELD)
