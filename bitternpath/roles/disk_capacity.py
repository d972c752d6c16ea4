"""Whether a storage node's disk has capacity for more messages."""

from __future__ import annotations

from bitternpath.roles.node_base import NodeBase

MAX_USED_SHARE = 0.75  # share of the disk above which no message is accepted
MAX_SNAPSHOT_SHARE = 0.7  # share of the disk for all snapshots and the successor of the largest one


class DiskCapacity:
    """Compares the journal's size with `limits.disk_mb`."""

    def __init__(self, base: NodeBase) -> None:
        """`base` must be that of a node with a disk."""
        self._base = base
        self._disk_bytes = base.settings.disk_mb << 20

    def has_capacity(self) -> bool:
        """Whether new messages may be accepted: the journal works, and both shares are below their limits.

        If the size of the disk is unknown, messages are refused only while the journal fails.
        """
        journal = self._base.journal
        if journal is None or journal.failing:
            return False
        if not self._disk_bytes:
            return True
        return (
            journal.bytes_used < self._disk_bytes * MAX_USED_SHARE
            and journal.snapshot_bytes_required < self._disk_bytes * MAX_SNAPSHOT_SHARE
        )
