"""An edge node's catalogue of workers: the newest reading of the platform's endpoint list, and its age."""

from __future__ import annotations

from collections.abc import Callable

from bitternpath.transport.feed_messages import CatalogueEntry, CatalogueUpdate

ChangedCallback = Callable[[list[CatalogueEntry], list[str]], None]


class Catalogue:
    """Workers that aren't draining, by instance. Times are seconds of a monotonic clock.

    Updated from the feed and, if the feed is stale, by the node's own reading of the list.

    Attributes:
        read_at: when the newest reading began; minus infinity before the first.
    """

    def __init__(self, changed: ChangedCallback) -> None:
        """Create an empty catalogue.

        Args:
            changed: called after each reading with the workers that aren't draining, and with the instances
                that were removed from the catalogue.
        """
        self._changed = changed
        self._entries: dict[str, CatalogueEntry] = {}
        self._version = (0, 0)  # epoch and serial of the newest update of the feed
        self.read_at = float("-inf")

    def update(self, now: float, update: CatalogueUpdate) -> None:
        """Apply an update of the feed; one without entries confirms those of the same epoch and serial."""
        version = update.epoch, update.serial
        read_at = now - update.age_ms / 1000
        if update.entries is None:
            if version == self._version:
                self.read_at = max(self.read_at, read_at)
            return
        if version < self._version:
            return
        self._version = version
        self.replace(read_at, update.entries)

    def replace(self, read_at: float, entries: tuple[CatalogueEntry, ...]) -> None:
        """Store a complete list whose reading began at `read_at`, unless a newer one is known."""
        if read_at < self.read_at:
            return
        self.read_at = read_at
        active = {entry.instance: entry for entry in entries if not entry.draining}
        removed = [instance for instance in self._entries if instance not in active]
        self._entries = active
        self._changed(list(active.values()), removed)

    def age(self, now: float) -> float:
        """Seconds since the newest reading began."""
        return now - self.read_at
