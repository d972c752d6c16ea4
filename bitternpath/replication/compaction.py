"""When a group replaces log entries by a snapshot, and how many entries stay behind it. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bitternpath.replication.log import ReplicatedLog

COMPACTION_BYTES = 8 << 20  # of entries applied since the last snapshot
HOST_COMPACTION_BYTES = 32 << 20  # likewise, of all groups together: entries are also kept in memory
DISK_SHARE_DIVISOR = (
    8  # entries of all groups between snapshots take one part of a disk, or twice that (`MAX_BOUND_GROWTH`)
)
COMPACTION_ENTRIES = 20_000  # entries applied since the last snapshot
RETAINED_ENTRIES = 256  # left behind a snapshot, for followers that lag a little
COMPACTION_JITTER = 0.25  # the bounds grow by up to this share, so that replicas don't compact together
ENTRY_OVERHEAD_BYTES = 64  # of an entry besides its data, roughly
MAX_BOUND_GROWTH = (
    2  # entries between snapshots may exceed their bound by this factor where the state is large
)


@dataclass(frozen=True, slots=True)
class CompactionBounds:
    """Bounds of the log, in bytes and entries."""

    size: int = COMPACTION_BYTES
    host_size: int = HOST_COMPACTION_BYTES  # shared by all groups of a process
    entries: int = COMPACTION_ENTRIES
    entries_to_keep: int = RETAINED_ENTRIES


def bounds_for_disk(size: int) -> CompactionBounds:
    """Bounds for a disk of that many bytes; 0: of unknown size.

    The disk holds the entries twice during a checkpoint, and beside each group's old and new snapshot.
    """
    host_size = min(HOST_COMPACTION_BYTES, size // DISK_SHARE_DIVISOR) if size else HOST_COMPACTION_BYTES
    return CompactionBounds(size=min(COMPACTION_BYTES, host_size), host_size=host_size)


class CompactionSchedule:
    """Tells when the applied entries of one group are due for compaction."""

    def __init__(self, bounds: CompactionBounds, random: Random, snapshot_size: int) -> None:
        """`snapshot_size`: bytes of the snapshot with which the group begins."""
        self._bounds = bounds
        self._random = random
        self._snapshot_size = snapshot_size
        self._applied_bytes = 0  # of entries applied since the last snapshot
        self._jitter_factor = self._draw_jitter_factor()
        self.size_bound = bounds.size  # bytes; the host lowers it where it has many groups

    def _draw_jitter_factor(self) -> float:
        return 1.0 + self._random.random() * COMPACTION_JITTER

    def entries_applied(self, entries: int, data_bytes: int) -> None:
        """So many entries were applied, with so many bytes of data together."""
        self._applied_bytes += data_bytes + entries * ENTRY_OVERHEAD_BYTES

    def restored(self, snapshot_size: int) -> None:
        """The state was replaced by a snapshot of that many bytes."""
        self._applied_bytes = 0
        self._snapshot_size = snapshot_size

    def compacted(self, snapshot_size: int) -> None:
        """Entries were replaced by a snapshot of that many bytes."""
        self.restored(snapshot_size)
        self._jitter_factor = self._draw_jitter_factor()

    def is_due(self, entries: int) -> bool:
        """Whether the log is to be compacted, with that many entries applied since the last snapshot."""
        if entries > self._bounds.entries * self._jitter_factor:
            return True
        return self._applied_bytes > self._entries_bound * self._jitter_factor

    @property
    def _entries_bound(self) -> int:
        """Bytes of entries between snapshots.

        It grows with the state, so that writing snapshots costs little more than writing entries, up to a
        bound: the disk holds the entries until there is a checkpoint.
        """
        return max(self.size_bound, min(self._snapshot_size, MAX_BOUND_GROWTH * self.size_bound))

    def entries_to_keep(self, log: ReplicatedLog, applied: int, needed_index: int | None) -> int:
        """How many of the entries up to `applied` stay behind a snapshot.

        A few, and not more than a quarter of the bound on bytes. A leader passes the index from which on its
        peers need entries: then as many as that, within the bound or the size of the state, since a snapshot
        transfer ends if entries are written no faster than the snapshot is sent.
        """
        default_count = _last_entries_within(log, applied, self._bounds.entries_to_keep, self.size_bound // 4)
        if needed_index is None:
            return default_count
        needed_count = applied + 1 - needed_index
        bound = max(self.size_bound, self._snapshot_size)
        return max(default_count, _last_entries_within(log, applied, needed_count, bound))


def _last_entries_within(log: ReplicatedLog, applied: int, limit: int, limit_bytes: int) -> int:
    """How many entries, from `applied` back, stay within both limits."""
    in_memory = applied - log.compacted_index
    entries_to_keep = 0
    size = 0
    while entries_to_keep < min(limit, in_memory):
        size += len(log.entries[in_memory - entries_to_keep - 1].data)
        if size > limit_bytes:
            break
        entries_to_keep += 1
    return entries_to_keep
