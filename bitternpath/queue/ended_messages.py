"""Call-backs and tombstones of messages that have ended."""

from __future__ import annotations

from random import Random

from bitternpath.queue.callbacks import CallbackQueue
from bitternpath.queue.edge_nodes import EdgeNodeTable
from bitternpath.queue.entries import Entry
from bitternpath.queue.tombstones import TombstoneQueue


class EndedMessages:
    """Call-backs and tombstones of one shard. A new owner rebuilds it from the state."""

    def __init__(self, edges: EdgeNodeTable, random: Random, status_retention_s: float) -> None:
        """Send call-backs through `edges`; retain tombstones for `status_retention_s` plus a margin."""
        self.callbacks = CallbackQueue(edges, random)
        self.tombstones = TombstoneQueue(status_retention_s)

    def add(self, entry: Entry) -> None:
        """Add a message that has ended."""
        self.tombstones.add(entry)
        if entry.callback_pending:
            self.callbacks.add(entry)
