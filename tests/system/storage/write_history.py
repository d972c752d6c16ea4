"""A random history of writes to a write-ahead log, with the expected states after each batch."""

from __future__ import annotations

from contextlib import suppress
from random import Random

from bitternpath.replication.records import Entry, EntryKind, PersistentState, Snapshot, StorageWrite
from bitternpath.storage.commands import Batch, JournalCommand, NewSnapshot, make_batch
from bitternpath.storage.group_state import GroupState, GroupStates, write_record
from bitternpath.storage.records import TombstoneRecord
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from tests.system.storage.log_samples import MEMBERS, open_segment_log

TOMBSTONE_SHARE = 0.05  # share of tombstones in the records of an existing group
TRUNCATION_SHARE = 0.2  # share of the writes that truncate the log, where they can
SNAPSHOT_SHARE = 0.2  # share of the writes that reference a new snapshot, where they can


class History:
    """Writes random batches to a log and records the expected states after each batch.

    Attributes:
        batch_states: states of the groups before the first batch and after each batch.
        acknowledged: index in `batch_states` of the states after the last synced batch.
        states: states of the groups after the last batch.
        snapshots: the latest snapshot of each group.
        pending: the batch that failed and must be retried, or None.
    """

    def __init__(self, seed: int, checkpoint_bytes: int = 1_500, segment_bytes: int = 400) -> None:
        self.random = Random(seed)
        self.checkpoint_bytes = checkpoint_bytes
        self.segment_bytes = segment_bytes
        self.states = GroupStates()
        self.batch_states: list[dict[str, PersistentState]] = [{}]
        self.acknowledged = 0
        self.snapshots: dict[str, Snapshot] = {}
        self.pending: Batch | None = None

    def open(self, disk: SimulatedFileSystem) -> None:
        """Load the log of a disk."""
        self.log = open_segment_log(disk, self.checkpoint_bytes, self.segment_bytes)

    def step(self) -> None:
        """Write one batch, and do a checkpoint step if one is due."""
        commands = [self._command() for _ in range(self.random.randint(1, 3))]
        self.batch_states.append(self._expected_states())
        self.pending = make_batch(commands)
        self._write()

    def retry(self) -> None:
        """Retry the failed batch until it succeeds."""
        while self.pending is not None:
            with suppress(OSError):
                self._write()

    def _write(self) -> None:
        assert self.pending is not None
        self.log.write(self.pending)
        self.pending = None
        self.acknowledged = len(self.batch_states) - 1
        if self.log.checkpoint_due:
            self.log.checkpoint_step()

    def _expected_states(self) -> dict[str, PersistentState]:
        expected = {}
        for group, state in self.states.by_group.items():
            snapshot = self.snapshots[group] if state.snapshot.size else Snapshot()
            compacted_through = state.compacted_index, state.compacted_term
            expected[group] = PersistentState(
                state.term, state.vote, snapshot, compacted_through, list(state.entries)
            )
        return expected

    def _command(self) -> JournalCommand:
        group = self.random.choice("xyz")
        state = self.states.by_group.get(group)
        if state is not None and self.random.random() < TOMBSTONE_SHARE:
            self.states.apply(TombstoneRecord(group))
            return JournalCommand(TombstoneRecord(group), None, None)
        write = self._storage_write(group, state or GroupState(term=1))
        record = write_record(group, write)
        self.states.apply(record)
        new_snapshot = None if write.snapshot is None else NewSnapshot(group, write.snapshot)
        return JournalCommand(record, new_snapshot, None)

    def _storage_write(self, group: str, state: GroupState) -> StorageWrite:
        random = self.random
        term = state.term
        compacted_through = state.compacted_index, state.compacted_term
        last_index = state.compacted_index + len(state.entries)
        truncate_from = None
        if random.random() < TRUNCATION_SHARE and last_index > state.snapshot.index:
            truncate_from = random.randint(state.snapshot.index + 1, last_index)
            last_index = truncate_from - 1
            term += 1
        entries = tuple(
            Entry(index, term, EntryKind.COMMAND, random.randbytes(random.randint(0, 60)))
            for index in range(last_index + 1, last_index + 1 + random.randint(0, 4))
        )
        snapshot = None
        if random.random() < SNAPSHOT_SHARE and last_index > state.snapshot.index:
            snapshot = Snapshot(last_index, term, MEMBERS, random.randbytes(random.randint(1, 200)))
            compacted_through = last_index, term
            self.snapshots[group] = snapshot
        vote = random.choice(["", "a"])
        return StorageWrite(1, term, vote, truncate_from, entries, snapshot, compacted_through)
