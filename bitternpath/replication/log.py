"""The replicated log of one member: its entries, its snapshot, its membership, and how much is on disk.

Pure: changes are collected, `flush` gives them out as a `StorageWrite`, `write_completed` reports it done.

Invariants:

- `compacted_index <= snapshot.index <= last_index`, and the entries between `compacted_index` and
  `last_index` are all in memory, without gaps.
- `stable_index` never exceeds what the disk holds of *this* log: truncation lowers it, and lowers what the
  writes under way will raise it to.
- `members` is the last membership in the log, committed or not (T 4.1).
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

_MEMBERS_KIND = int(EntryKind.MEMBERS)  # an enum member's look-up costs as much as the rest of an append


class UnfinishedWrite(NamedTuple):
    """A write that was given out and isn't done. Once it is, the log is on disk up to `last_index`."""

    number: int
    last_index: int


class ReplicatedLog:
    """Entries after `compacted_index`, and the snapshot that covers the ones before."""

    def __init__(self, state: PersistentState) -> None:
        """`state`: what the disk holds; all of it is stable."""
        self.entries = list(state.entries)
        self.compacted_index, self.compacted_term = state.compacted_through
        self.snapshot = state.snapshot
        self.stable_index = self.last_index
        self.last_write_issued = 0  # number of the last write given out
        self.last_write_completed = 0  # number of the last write done
        self.changed = False  # something waits for `flush`
        self.unfinished_writes: list[UnfinishedWrite] = []
        self.truncate_from: int | None = None  # for the next write, as are the two below
        self._new_entries: list[Entry] = []
        self._new_snapshot: Snapshot | None = None
        self.members, self.members_index = self.members_upto(self.last_index)

    # ---- reading

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
        """Term of an entry in memory, or of the last compacted one; `IndexError` beyond the log."""
        if index == self.compacted_index:
            return self.compacted_term
        return self.entries[index - self.compacted_index - 1].term

    def has_entry_after(self, index: int) -> bool:
        """Whether the entry after `index` is not compacted away; it may not exist yet."""
        return index >= self.compacted_index

    def entries_from(self, index: int, limit: int | None = None) -> list[Entry]:
        """The entries from that index on, at most `limit` of them."""
        start = index - self.compacted_index - 1
        return self.entries[start:] if limit is None else self.entries[start : start + limit]

    def members_upto(self, index: int) -> tuple[Members, int]:
        """The membership in force at that index, and the index of the entry or snapshot that holds it."""
        for entry in reversed(self.entries):
            if entry.kind == _MEMBERS_KIND and entry.index <= index:
                return members_from(entry.data), entry.index
        return self.snapshot.members, self.snapshot.index

    # ---- changing

    def append(self, entry: Entry) -> None:
        """Add the next entry. A membership is in force at once (T 4.1)."""
        self.entries.append(entry)
        self._new_entries.append(entry)
        self.changed = True
        if entry.kind == _MEMBERS_KIND:
            self.members = members_from(entry.data)
            self.members_index = entry.index

    def truncate(self, index: int) -> None:
        """Remove the entries from that index on."""
        del self.entries[index - self.compacted_index - 1 :]
        self._new_entries = [entry for entry in self._new_entries if entry.index < index]
        self.truncate_from = index if self.truncate_from is None else min(self.truncate_from, index)
        self._limit_stable_index(index - 1)
        self.changed = True
        if self.members_index >= index:
            self._update_members()

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """Take `data` as the state after `index`; of the entries up to it the last `keep` stay."""
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
        """Take a leader's snapshot. Entries behind it stay only where the log agrees with it (fig. 13)."""
        index = snapshot.index
        if self.compacted_index < index <= self.last_index and self.term_at(index) == snapshot.term:
            self.entries = self.entries_from(index + 1)
            self._new_entries = [entry for entry in self._new_entries if entry.index > index]
        else:
            self.truncate_from = self.compacted_index + 1
            self._limit_stable_index(0)  # until the snapshot is on disk, nothing there is of this log
            self.entries = []
            self._new_entries = []
        self.compacted_index = index
        self.compacted_term = snapshot.term
        self.snapshot = snapshot
        self._new_snapshot = snapshot
        self.changed = True
        self._update_members()

    def rewrite_snapshot(self) -> None:
        """Have the next write store the snapshot again: its file was found corrupt."""
        self._new_snapshot = self.snapshot
        self.changed = True

    def _update_members(self) -> None:
        self.members, self.members_index = self.members_upto(self.last_index)

    def _limit_stable_index(self, index: int) -> None:
        self.stable_index = min(self.stable_index, index)
        self.unfinished_writes = [
            UnfinishedWrite(number, min(last_index, index)) for number, last_index in self.unfinished_writes
        ]

    # ---- writing

    def flush(self, term: int, vote: str) -> StorageWrite:
        """Give out all changes since the last call as one write."""
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
        """The writes up to that number are on disk."""
        self.last_write_completed = max(self.last_write_completed, number)
        while self.unfinished_writes and self.unfinished_writes[0].number <= number:
            self.stable_index = max(self.stable_index, self.unfinished_writes.pop(0).last_index)

    @property
    def all_writes_completed(self) -> bool:
        """Whether all writes given out are done."""
        return self.last_write_issued <= self.last_write_completed
