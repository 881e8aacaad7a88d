"""A listening socket that the platform holds and every process of the node inherits."""

from __future__ import annotations

import socket


class NotListening(Exception):
    """A descriptor that is no listening socket of the told address."""


def inherited_socket(fd: int, address: tuple[str, int]) -> socket.socket:
    """The socket behind a descriptor, once it is sure that clients come there.

    It is shared: closing it takes it from this process alone, and nothing else may be done to it.
    """
    try:
        found = socket.socket(fileno=fd)
    except OSError as error:
        raise NotListening(f"descriptor {fd}: {error.strerror}") from None
    try:
        if found.type != socket.SOCK_STREAM or not found.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise NotListening(f"descriptor {fd}: is no listening stream socket")
        if (there := found.getsockname()[:2]) != address:
            raise NotListening("descriptor {}: listens on {}:{}, not on {}:{}".format(fd, *there, *address))
    except NotListening:
        found.detach()
        raise
    found.setblocking(False)
    return found
