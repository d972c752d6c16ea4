"""What a shard still owes for messages that have ended: their call-backs, and tombstones for some time."""

from __future__ import annotations

from random import Random

from bitternpath.queue.callbacks import CallbackQueue
from bitternpath.queue.edge_nodes import EdgeNodeTable
from bitternpath.queue.entries import Entry
from bitternpath.queue.tombstones import TombstoneQueue


class EndedMessages:
    """Call-backs and tombstones of one shard. Rebuilt from the state by a new owner."""

    def __init__(self, edges: EdgeNodeTable, random: Random, status_retention_s: float) -> None:
        """Call back by `edges`; keep tombstones for `status_retention_s` and a margin."""
        self.callbacks = CallbackQueue(edges, random)
        self.tombstones = TombstoneQueue(status_retention_s)

    def add(self, entry: Entry) -> None:
        """Add a message that has ended."""
        self.tombstones.add(entry)
        if entry.callback_pending:
            self.callbacks.add(entry)
