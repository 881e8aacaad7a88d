"""A list of servers in discovery's form, put together from what was told. Pure."""

from __future__ import annotations

from typing import Any


class Roster:
    """The last whole list with all changes since, as several followers of one discovery tell them."""

    def __init__(self) -> None:
        self.targets: dict[str, dict[str, Any]] = {}  # by uid
        self.version: int | None = None  # None: nothing was told

    def take(self, value: dict[str, Any]) -> bool:
        """A whole list, or changes; whether anything was taken over.

        Guards against a follower that is behind another: its older changes would put back what has changed since, and
        who goes on from this version would never hear of that again. A whole list always counts: a discovery that
        counts from anew has lower versions.
        """
        if not value["all"] and self.version is not None and value["rev"] < self.version:
            return False
        if value["all"]:
            self.targets = {}
        for target in value["targets"]:
            if target["state"] == "left":
                self.targets.pop(target["uid"], None)
            else:
                self.targets[target["uid"]] = target
        self.version = value["rev"]
        return True

    def value(self) -> dict[str, Any] | None:
        """The whole list; None where nothing was told."""
        if self.version is None:
            return None
        return {"rev": self.version, "all": True, "targets": list(self.targets.values())}
