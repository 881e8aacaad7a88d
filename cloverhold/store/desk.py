"""Which worker holds which record of the store that they share. Pure: worker's words in, what the store is to do out.

A record is its worker's from the moment it is granted until the worker says that the request is over. Where the worker
dies first, nobody knows whether the request was sent: it counts as sent, and no other worker may send it until a repeat
can no longer come. A worker's word on what it does not hold (the store had known the request) changes nothing.
"""

from __future__ import annotations


class Desk:
    """The records under way, by worker life and by the worker's own number for each."""

    def __init__(self) -> None:
        self._held: dict[int, dict[int, int]] = {}  # life: ref: the store's ticket

    def granted(self, life: int, ref: int, ticket: int) -> None:
        """The store has taken this worker's request. Raises ValueError for a number that is in use."""
        held = self._held.setdefault(life, {})
        if ref in held:
            raise ValueError(f"worker life {life} has a request {ref} already")
        held[ref] = ticket

    def over(self, life: int, ref: int) -> int | None:
        """The ticket of a request that is over; None where the worker holds no such record."""
        return self._held.get(life, {}).pop(ref, None)

    def gone(self, life: int) -> list[int]:
        """A worker has died: the tickets of what it may have sent, in the order in which they were granted."""
        return list(self._held.pop(life, {}).values())

    def count(self) -> int:
        """Records under way, over all workers."""
        return sum(map(len, self._held.values()))
