"""The replicated log of one member: its entries, its snapshot, the members that it names, and which of all
that is on disk. Pure: it gives out writes and is told when they are done."""

from __future__ import annotations

from bitternpath.replication.records import (
    Entry,
    EntryKind,
    Members,
    PersistentState,
    Snapshot,
    StorageWrite,
    members_from,
)


class ReplicatedLog:
    """Entries after `before`, the last entry that isn't needed any more; the snapshot is at or after it.

    Changes are collected until `flush` makes one write of them. Writes are numbered and done in order.
    """

    def __init__(self, kept: PersistentState) -> None:
        self.entries = list(kept.entries)
        self.before = kept.compacted_through  # index and term
        self.snapshot = kept.snapshot
        self.stable_index = self.last_index  # what is on disk up to here
        self.written = self.done = 0  # numbers of writes given out, and done
        self.changed = False  # something waits for `flush`
        self._pending: list[list[int]] = []  # number and last index of the writes that are not done
        self._cut: int | None = None
        self._new_entries: list[Entry] = []
        self._new_snapshot: Snapshot | None = None
        self.members, self.members_index = self.members_upto(self.last_index)

    # ---- reading

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.before[0]

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Of an entry that is kept, or of the one before the first."""
        if index == self.before[0]:
            return self.before[1]
        return self.entries[index - self.before[0] - 1].term

    def has_entry_after(self, index: int) -> bool:
        """Whether the entry after `index`, if there is one, is still kept."""
        return index >= self.before[0]

    def entries_from(self, index: int, most: int | None = None) -> list[Entry]:
        """The entries from that index on; `most` of them."""
        start = index - self.before[0] - 1
        return self.entries[start:] if most is None else self.entries[start : start + most]

    def members_upto(self, index: int) -> tuple[Members, int]:
        """The last members named by then, and by which entry."""
        for entry in reversed(self.entries):
            if entry.kind == EntryKind.MEMBERS and entry.index <= index:
                return members_from(entry.data), entry.index
        return self.snapshot.members, self.snapshot.index

    # ---- changing

    def append(self, entry: Entry) -> None:
        """Add the next entry. The last members in the log count, committed or not (T 4.1)."""
        self.entries.append(entry)
        self._new_entries.append(entry)
        self.changed = True
        if entry.kind == EntryKind.MEMBERS:
            self.members, self.members_index = members_from(entry.data), entry.index

    def cut_from(self, index: int) -> None:
        """Remove the entries from that index on."""
        del self.entries[index - self.before[0] - 1 :]
        self._new_entries = [entry for entry in self._new_entries if entry.index < index]
        self._cut = index if self._cut is None else min(self._cut, index)
        self._limit_stable(index - 1)
        self.changed = True
        if self.members_index >= index:
            self._find_members()

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """`data` is the state after `index`; entries go, but for `keep` ones up to it and those behind it."""
        members, _ = self.members_upto(index)
        self.snapshot = self._new_snapshot = Snapshot(index, self.term_at(index), members, data)
        before = max(index - keep, self.before[0])
        self.before, self.entries = (before, self.term_at(before)), self.entries_from(before + 1)
        self._new_entries = [entry for entry in self._new_entries if entry.index > before]
        self.changed = True

    def install(self, snapshot: Snapshot) -> None:
        """Take a leader's snapshot. Entries behind it stay only where the log agrees with it (fig. 13)."""
        index = snapshot.index
        if self.before[0] < index <= self.last_index and self.term_at(index) == snapshot.term:
            self.entries = self.entries_from(index + 1)
            self._new_entries = [entry for entry in self._new_entries if entry.index > index]
        else:
            self._cut = self.before[0] + 1
            self._limit_stable(0)  # until the snapshot is on disk, nothing there is of this log
            self.entries, self._new_entries = [], []
        self.before = index, snapshot.term
        self.snapshot = self._new_snapshot = snapshot
        self.changed = True
        self._find_members()

    def rewrite_snapshot(self) -> None:
        """Write the snapshot again as it is: its file is damaged."""
        self._new_snapshot = self.snapshot
        self.changed = True

    def _find_members(self) -> None:
        self.members, self.members_index = self.members_upto(self.last_index)

    def _limit_stable(self, index: int) -> None:
        self.stable_index = min(self.stable_index, index)
        for pending in self._pending:
            pending[1] = min(pending[1], index)

    # ---- writing

    def flush(self, term: int, vote: str) -> StorageWrite:
        """All changes since the last one, as one write."""
        self.written += 1
        self._pending.append([self.written, self.last_index])
        entries, snapshot = tuple(self._new_entries), self._new_snapshot
        write = StorageWrite(self.written, term, vote, self._cut, entries, snapshot, self.before)
        self.changed, self._cut, self._new_entries, self._new_snapshot = False, None, [], None
        return write

    def stored(self, number: int) -> None:
        """The writes up to that number are done."""
        self.done = max(self.done, number)
        while self._pending and self._pending[0][0] <= number:
            self.stable_index = max(self.stable_index, self._pending.pop(0)[1])

    @property
    def all_stored(self) -> bool:
        """Whether all writes given out are done."""
        return self.written <= self.done
