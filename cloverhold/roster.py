"""A list of servers in discovery's form, put together from what was told. Pure."""

from __future__ import annotations

from typing import Any

from cloverhold.net.discovery.departures import DEPARTURES, Departures, changes_value, read_changes


class Roster:
    """The last whole list with all changes since, as several followers of one discovery tell them."""

    def __init__(self) -> None:
        self.targets: dict[str, dict[str, Any]] = {}  # by uid
        self.version: int | None = None  # None: nothing was told
        self._departures: Departures | None = None  # None: those who tell lists do not know them

    def take(self, value: dict[str, Any]) -> bool:
        """A whole list, or changes; whether anything was taken over.

        Guards against a follower that is behind another: its older changes would put back what has changed since, and
        who goes on from this version would never hear of that again. A whole list always counts: a discovery that
        counts from anew has lower versions.
        """
        is_behind = not value["all"] and self.version is not None and value["rev"] < self.version
        has_news = self._note_departures(value, is_behind=is_behind)
        if is_behind:
            return has_news
        if value["all"]:
            self.targets = {}
        for target in value["targets"]:
            if target["state"] == "left":
                self.targets.pop(target["uid"], None)
            else:
                self.targets[target["uid"]] = target
        self.version = value["rev"]
        return True

    def _note_departures(self, value: dict[str, Any], *, is_behind: bool) -> bool:
        """What a list says of servers that leave, or were let in again; whether that is new."""
        if value.get(DEPARTURES) is None:
            return False
        changes = read_changes(value[DEPARTURES])
        if self._departures is None:
            self._departures = Departures()
        self._departures.apply(changes.without_readmissions() if is_behind else changes)
        self._departures.forget_oldest(self.targets)
        news = self._departures.take_changes()
        return bool(news.noted) or news.forgotten is not None

    def value(self) -> dict[str, Any] | None:
        """The whole list, with all departures; None where nothing was told."""
        if self.version is None:
            return None
        whole: dict[str, Any] = {"rev": self.version, "all": True, "targets": list(self.targets.values())}
        if self._departures is not None:
            whole[DEPARTURES] = changes_value(self._departures.everything())
        return whole
