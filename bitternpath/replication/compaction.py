"""When a group replaces log entries by a snapshot, and how many entries it retains. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bitternpath.replication.log import ReplicatedLog

COMPACTION_BYTES = 8 << 20  # limit on entries applied since the last snapshot
HOST_COMPACTION_BYTES = 32 << 20  # limit for all groups together, since entries are also in memory
DISK_SHARE_DIVISOR = 8  # entries between snapshots use 1/8 of a disk, or `MAX_BOUND_GROWTH` times that
COMPACTION_ENTRIES = 20_000  # limit on the number of entries applied since the last snapshot
RETAINED_ENTRIES = 256  # entries retained behind a snapshot for followers that lag slightly
COMPACTION_JITTER = 0.25  # bounds are raised by up to this share, so that replicas don't compact together
ENTRY_OVERHEAD_BYTES = 64  # approximate size of an entry without its data
MAX_BOUND_GROWTH = 2  # factor by which a large state may raise the bound on entries between snapshots


@dataclass(frozen=True, slots=True)
class CompactionBounds:
    """Limits of the log size that trigger compaction, in bytes and entries."""

    size: int = COMPACTION_BYTES
    host_size: int = HOST_COMPACTION_BYTES  # shared by all groups of a process
    entries: int = COMPACTION_ENTRIES
    entries_to_keep: int = RETAINED_ENTRIES


def bounds_for_disk(size: int) -> CompactionBounds:
    """Bounds for a disk of `size` bytes; 0 if the size is unknown.

    During a checkpoint the disk contains the entries twice, in addition to each group's old and new snapshot.
    """
    host_size = min(HOST_COMPACTION_BYTES, size // DISK_SHARE_DIVISOR) if size else HOST_COMPACTION_BYTES
    return CompactionBounds(size=min(COMPACTION_BYTES, host_size), host_size=host_size)


class CompactionSchedule:
    """Determines when one group's log is due for compaction."""

    def __init__(self, bounds: CompactionBounds, random: Random, snapshot_size: int) -> None:
        """Start with a snapshot of `snapshot_size` bytes. `random` draws the jitter."""
        self._bounds = bounds
        self._random = random
        self._snapshot_size = snapshot_size
        self._applied_bytes = 0  # size of the entries applied since the last snapshot
        self._jitter_factor = self._draw_jitter_factor()
        self.size_bound = bounds.size  # in bytes; the host lowers it if it has many groups

    def _draw_jitter_factor(self) -> float:
        return 1.0 + self._random.random() * COMPACTION_JITTER

    def entries_applied(self, entries: int, data_bytes: int) -> None:
        """Record that `entries` entries with a total of `data_bytes` bytes of data were applied."""
        self._applied_bytes += data_bytes + entries * ENTRY_OVERHEAD_BYTES

    def restored(self, snapshot_size: int) -> None:
        """Record that the state was restored from a snapshot of this size in bytes."""
        self._applied_bytes = 0
        self._snapshot_size = snapshot_size

    def compacted(self, snapshot_size: int) -> None:
        """Record that entries were replaced by a snapshot of this size in bytes."""
        self.restored(snapshot_size)
        self._jitter_factor = self._draw_jitter_factor()

    def is_due(self, entries: int) -> bool:
        """Whether compaction is due after `entries` entries applied since the last snapshot."""
        if entries > self._bounds.entries * self._jitter_factor:
            return True
        return self._applied_bytes > self._entries_bound * self._jitter_factor

    @property
    def _entries_bound(self) -> int:
        """Maximum size of the entries between snapshots, in bytes.

        It grows with the state, so that writing snapshots costs little more than writing entries. The growth
        is limited because entries stay on disk until the next checkpoint.
        """
        return max(self.size_bound, min(self._snapshot_size, MAX_BOUND_GROWTH * self.size_bound))

    def entries_to_keep(self, log: ReplicatedLog, applied: int, needed_index: int | None) -> int:
        """The number of entries up to `applied` to retain behind a snapshot.

        By default this is a small number that takes up at most a quarter of the size bound. A leader passes
        the first index that its peers need, and retains the entries from there on within the size bound or,
        if larger, the size of the state: a snapshot can be sent in full and followed up by entries as long as
        entries aren't written faster than the snapshot is sent.
        """
        default_count = _last_entries_within(log, applied, self._bounds.entries_to_keep, self.size_bound // 4)
        if needed_index is None:
            return default_count
        needed_count = applied + 1 - needed_index
        bound = max(self.size_bound, self._snapshot_size)
        return max(default_count, _last_entries_within(log, applied, needed_count, bound))


def _last_entries_within(log: ReplicatedLog, applied: int, limit: int, limit_bytes: int) -> int:
    """The number of entries, counted back from `applied`, that fit both limits."""
    in_memory = applied - log.compacted_index
    entries_to_keep = 0
    size = 0
    while entries_to_keep < min(limit, in_memory):
        size += len(log.entries[in_memory - entries_to_keep - 1].data)
        if size > limit_bytes:
            break
        entries_to_keep += 1
    return entries_to_keep
