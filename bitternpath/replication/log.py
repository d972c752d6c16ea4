"""The replicated log of one member: entries, snapshot, membership, and the index up to which it is on disk.

Performs no I/O: `flush` returns the accumulated changes as a `StorageWrite`, and the caller reports its
completion by `write_completed`.

Invariants:

- `compacted_index <= snapshot.index <= last_index`, and the entries between `compacted_index` and
  `last_index` are all in memory, without gaps.
- `stable_index` never exceeds the last entry of *this* log that is on disk. Truncation lowers it, and also
  lowers the index to which unfinished writes will raise it.
- `members` is the latest membership in the log, committed or not (T 4.1).
"""

from __future__ import annotations

from typing import NamedTuple

from bitternpath.replication.records import (
    Entry,
    EntryKind,
    LogPosition,
    Members,
    PersistentState,
    Snapshot,
    StorageWrite,
    members_from,
)

_MEMBERS_KIND = int(EntryKind.MEMBERS)  # looking up an enum member costs as much as the rest of an append


class UnfinishedWrite(NamedTuple):
    """An issued write that hasn't completed. Afterwards the log is on disk up to `last_index`."""

    number: int
    last_index: int


class ReplicatedLog:
    """Entries after `compacted_index`, and a snapshot that covers the compacted entries."""

    def __init__(self, state: PersistentState) -> None:
        """Start from the persistent state that was read from disk. All of it is stable."""
        self.entries = list(state.entries)
        self.compacted_index, self.compacted_term = state.compacted_through
        self.snapshot = state.snapshot
        self.stable_index = self.last_index
        self.last_write_issued = 0  # number of the last write that `flush` returned
        self.last_write_completed = 0  # number of the last completed write
        self.changed = False  # whether there are changes for `flush`
        self.unfinished_writes: list[UnfinishedWrite] = []
        self.truncate_from: int | None = None  # this and the two attributes below describe the next write
        self._new_entries: list[Entry] = []
        self._new_snapshot: Snapshot | None = None
        self.members, self.members_index = self.members_upto(self.last_index)

    # ---- queries

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.compacted_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    @property
    def compacted_through(self) -> LogPosition:
        """Position of the last entry that was removed by compaction."""
        return self.compacted_index, self.compacted_term

    def term_at(self, index: int) -> int:
        """Term of an entry in memory or of the last compacted one. Raises `IndexError` beyond the log."""
        if index == self.compacted_index:
            return self.compacted_term
        return self.entries[index - self.compacted_index - 1].term

    def has_entry_after(self, index: int) -> bool:
        """Whether the entry after `index` isn't compacted. It may not exist yet."""
        return index >= self.compacted_index

    def entries_from(self, index: int, limit: int | None = None) -> list[Entry]:
        """The entries from `index` on, at most `limit` of them."""
        start = index - self.compacted_index - 1
        return self.entries[start:] if limit is None else self.entries[start : start + limit]

    def members_upto(self, index: int) -> tuple[Members, int]:
        """The membership in effect at `index`, and the index of the entry or snapshot that contains it."""
        for entry in reversed(self.entries):
            if entry.kind == _MEMBERS_KIND and entry.index <= index:
                return members_from(entry.data), entry.index
        return self.snapshot.members, self.snapshot.index

    # ---- changes

    def append(self, entry: Entry) -> None:
        """Append the next entry. A membership takes effect immediately (T 4.1)."""
        self.entries.append(entry)
        self._new_entries.append(entry)
        self.changed = True
        if entry.kind == _MEMBERS_KIND:
            self.members = members_from(entry.data)
            self.members_index = entry.index

    def truncate(self, index: int) -> None:
        """Remove all entries from `index` on."""
        del self.entries[index - self.compacted_index - 1 :]
        self._new_entries = [entry for entry in self._new_entries if entry.index < index]
        self.truncate_from = index if self.truncate_from is None else min(self.truncate_from, index)
        self._limit_stable_index(index - 1)
        self.changed = True
        if self.members_index >= index:
            self._update_members()

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """Replace entries up to `index` by a snapshot with the state `data`, except for the last `keep`."""
        members, _ = self.members_upto(index)
        snapshot = Snapshot(index, self.term_at(index), members, data)
        self.snapshot = snapshot
        self._new_snapshot = snapshot
        through = max(index - keep, self.compacted_index)
        through_term = self.term_at(through)
        self.entries = self.entries_from(through + 1)
        self.compacted_index = through
        self.compacted_term = through_term
        self._new_entries = [entry for entry in self._new_entries if entry.index > through]
        self.changed = True

    def install(self, snapshot: Snapshot) -> None:
        """Install a leader's snapshot. Later entries stay only if the log matches the snapshot (fig. 13)."""
        index = snapshot.index
        if self.compacted_index < index <= self.last_index and self.term_at(index) == snapshot.term:
            self.entries = self.entries_from(index + 1)
            self._new_entries = [entry for entry in self._new_entries if entry.index > index]
        else:
            self.truncate_from = self.compacted_index + 1
            self._limit_stable_index(0)  # no entry on disk belongs to this log before the snapshot is written
            self.entries = []
            self._new_entries = []
        self.compacted_index = index
        self.compacted_term = snapshot.term
        self.snapshot = snapshot
        self._new_snapshot = snapshot
        self.changed = True
        self._update_members()

    def rewrite_snapshot(self) -> None:
        """Include the snapshot in the next write again, because its file was found corrupt."""
        self._new_snapshot = self.snapshot
        self.changed = True

    def _update_members(self) -> None:
        self.members, self.members_index = self.members_upto(self.last_index)

    def _limit_stable_index(self, index: int) -> None:
        self.stable_index = min(self.stable_index, index)
        self.unfinished_writes = [
            UnfinishedWrite(number, min(last_index, index)) for number, last_index in self.unfinished_writes
        ]

    # ---- writes

    def flush(self, term: int, vote: str) -> StorageWrite:
        """Return all changes since the last call as one write."""
        self.last_write_issued += 1
        self.unfinished_writes.append(UnfinishedWrite(self.last_write_issued, self.last_index))
        write = StorageWrite(
            self.last_write_issued,
            term,
            vote,
            self.truncate_from,
            tuple(self._new_entries),
            self._new_snapshot,
            self.compacted_through,
        )
        self.changed = False
        self.truncate_from = None
        self._new_entries = []
        self._new_snapshot = None
        return write

    def write_completed(self, number: int) -> None:
        """Record that all writes up to `number` are on disk."""
        self.last_write_completed = max(self.last_write_completed, number)
        while self.unfinished_writes and self.unfinished_writes[0].number <= number:
            self.stable_index = max(self.stable_index, self.unfinished_writes.pop(0).last_index)

    @property
    def all_writes_completed(self) -> bool:
        """Whether all issued writes have completed."""
        return self.last_write_issued <= self.last_write_completed
