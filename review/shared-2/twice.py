"""Servers that answer some requests twice: the second copy comes some milliseconds late. A thread for each connection.

    twice.py COUNT TURNED_AWAY SHARE LEAST_MS MOST_MS LOG

Prints an address a line, and then serves until it is ended. TURNED_AWAY: the share of requests that are turned away
(503, X-Rejected: 1) and do not run. SHARE: of the answers that come twice; where requests are turned away, of the
answers that say so, and no other comes twice. LOG gets a line for each request that runs (`ran ID`) and for each second
copy (`copy ID MS`, with the time from the end of the first copy's write to the begin of the second one's). A copy is
not sent where something else waits on its connection by then, as far as a server at the site could know, nor where it
would come later than MOST_MS.
"""

from __future__ import annotations

import random
import select
import socket
import sys
import threading
import time
from pathlib import Path

from stand import HOST, answer

WORK_S = 0.01
# The way to the node and back: 0.16 to 0.32 ms each at the site ([net] same_ms), and next to nothing on loopback. What
# a server can know of its connection when its copy reaches the node is so old.
WAY_MS = 0.5
LOAD = b'{"inflight":0,"queue":0,"qps":1}'


class Play:
    """What the servers do, and what they note of it."""

    def __init__(self, turned_away: float, share: float, least_ms: float, most_ms: float, log: Path) -> None:
        self.turned_away, self.share, self.least_ms, self.most_ms = turned_away, share, least_ms, most_ms
        self._file, self._lock = log.open("a"), threading.Lock()

    def note(self, line: str) -> None:
        """One line of the log."""
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()


def waits(peer: socket.socket) -> bool:
    """Whether anything has come on a connection, and is not read yet."""
    return bool(select.select([peer], [], [], 0)[0])


def wait_until(since: float, late_ms: float) -> float:
    """Wait until so long behind an instant; how long it really was, in ms."""
    while (passed_ms := (time.monotonic() - since) * 1000) < late_ms:
        time.sleep(max(0.0, late_ms - passed_ms - 1) / 1000)
    return passed_ms


def serve(peer: socket.socket, play: Play) -> None:
    """The requests of one connection, one after the other. They have no bodies."""
    peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    held, chance = b"", random.Random()
    try:
        while True:
            while b"\r\n\r\n" not in held:
                if not (data := peer.recv(65536)):
                    return
                held += data
            head, _, held = held.partition(b"\r\n\r\n")
            if head.startswith((b"GET /_load", b"GET /ping")):
                peer.sendall(answer(200, LOAD))
                continue
            call_id = head.lower().partition(b"\r\nx-call-id: ")[2].partition(b"\r\n")[0]
            turned_away = chance.random() < play.turned_away
            if turned_away:
                whole = answer(503, b"", "X-Rejected: 1\r\n")
            else:
                play.note(f"ran {call_id.decode()}")
                whole = answer(200, call_id)
            time.sleep(WORK_S)
            peer.sendall(whole)
            if (play.turned_away and not turned_away) or chance.random() >= play.share:
                continue
            written_at, late_ms = time.monotonic(), chance.uniform(play.least_ms, play.most_ms)
            wait_until(written_at, late_ms - WAY_MS)
            if waits(peer):
                continue
            passed_ms = wait_until(written_at, late_ms)
            if passed_ms <= play.most_ms:
                peer.sendall(whole)
                play.note(f"copy {call_id.decode()} {passed_ms:.2f}")
    except OSError:
        pass
    finally:
        peer.close()


def accept(listening: socket.socket, play: Play) -> None:
    """A thread for each connection."""
    while True:
        peer, _ = listening.accept()
        threading.Thread(target=serve, args=(peer, play), daemon=True).start()


def main() -> None:
    """Serve until ended."""
    count, turned_away, share, least_ms, most_ms, log = sys.argv[1:]
    play = Play(float(turned_away), float(share), float(least_ms), float(most_ms), Path(log))
    for _ in range(int(count)):
        listening = socket.create_server((HOST, 0), backlog=128)
        print("{}:{}".format(*listening.getsockname()[:2]), flush=True)
        threading.Thread(target=accept, args=(listening, play), daemon=True).start()
    threading.Event().wait()


if __name__ == "__main__":
    main()
