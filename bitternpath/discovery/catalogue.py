"""An edge node's catalogue of workers: what the platform's list showed last, and how long ago."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.transport.feed_messages import CatalogueEntry, CatalogueUpdate


class Catalogue:
    """Workers by service. Written by the feed and, where that is stale, by the node's own reading."""

    def __init__(self, changed: Callable[[list[CatalogueEntry], list[str]], None]) -> None:
        self._changed = changed  # hears workers that are usable, and instances that left
        self._entries: dict[str, CatalogueEntry] = {}
        self._stamp = (0, 0)
        self.read_at = float("-inf")  # when the newest reading began

    def update(self, now: float, update: CatalogueUpdate) -> None:
        """A reading has come over the feed; one without entries confirms those before."""
        stamp = update.epoch, update.serial
        if update.entries is None:
            if stamp == self._stamp:
                self.read_at = max(self.read_at, now - update.age_ms / 1000)
            return
        if stamp < self._stamp:
            return
        self._stamp = stamp
        self.replace(now - update.age_ms / 1000, update.entries)

    def replace(self, read_at: float, entries: tuple[CatalogueEntry, ...]) -> None:
        """A whole list, unless a newer reading is known."""
        if read_at < self.read_at:
            return
        self.read_at = read_at
        listed = {entry.instance: entry for entry in entries if not entry.draining}
        left = [instance for instance in self._entries if instance not in listed]
        self._entries = listed
        self._changed(list(listed.values()), left)

    def age(self, now: float) -> float:
        """Seconds since the newest reading began."""
        return now - self.read_at
