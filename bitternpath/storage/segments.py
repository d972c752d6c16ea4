"""The write-ahead log on disk: segments, the snapshots that their records reference, and the group states.

All operations block; the module isn't thread-safe. A snapshot file is durable before the record that
references it is written, and is removed only after a record that references a later snapshot was synced.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Sequence

import logbook

from bitternpath.replication.records import PersistentState
from bitternpath.storage.checkpoint import Checkpointer
from bitternpath.storage.commands import Batch
from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.files import FileSystem
from bitternpath.storage.group_state import GroupStates
from bitternpath.storage.records import Record, TombstoneRecord
from bitternpath.storage.scrub import Scrubber, ScrubTarget
from bitternpath.storage.segment_files import SegmentFiles
from bitternpath.storage.segment_loading import DIRECTORY, load_segments
from bitternpath.storage.snapshots import DIRECTORY as SNAPSHOT_DIRECTORY
from bitternpath.storage.snapshots import SnapshotFiles, file_name

log = logbook.Logger("disk")

SEGMENT_BYTES = 8 << 20  # a segment is closed above this size; a small fraction of the smallest disk (64 MB)


class SegmentLog:
    """The write-ahead log's files and the group states recovered from them."""

    def __init__(
        self,
        files: FileSystem,
        generate_salt: Callable[[], int],
        checkpoint_bytes: int,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        """Load the log from the disk.

        Args:
            files: the data directory.
            generate_salt: returns a random 32-bit number for each new segment.
            checkpoint_bytes: total size of all segments above which the first checkpoint is due.
            segment_bytes: size above which a segment is closed.

        Raises:
            CorruptJournalError: synced data is missing or corrupt.
            OSError: a file can't be read or written.
        """
        self._files = files
        self._states = GroupStates()
        files.make_directory(DIRECTORY)
        self._snapshots = SnapshotFiles(files)
        self._scrubber = Scrubber(files)
        self._segments = SegmentFiles(files, generate_salt, segment_bytes, load_segments(files, self._states))
        self._checkpointer = Checkpointer(self._segments, self._states, self._append, checkpoint_bytes)
        self._verify_states()
        self._remove_unnamed_snapshots()

    # Reading

    @property
    def groups(self) -> tuple[str, ...]:
        """Names of the groups whose state is in the log."""
        return tuple(self._states.by_group)

    @property
    def states(self) -> GroupStates:
        """The states of all groups; callers must not modify them."""
        return self._states

    def persistent_state(self, group: str) -> PersistentState:
        """Return a group's state, including the data of its snapshot.

        Raises:
            CorruptJournalError: the snapshot file is missing or corrupt.
            OSError: the snapshot file can't be read.
        """
        state = self._states.by_group[group]
        snapshot = self._snapshots.read(group, state.snapshot)
        compacted_through = state.compacted_index, state.compacted_term
        return PersistentState(state.term, state.vote, snapshot, compacted_through, list(state.entries))

    @property
    def tombstones(self) -> dict[str, int]:
        """A copy of `GroupStates.tombstones`."""
        return dict(self._states.tombstones)

    @property
    def bytes_used(self) -> int:
        """Total size of all files; safe to read from another thread."""
        return self._segments.bytes_used + self._snapshots.bytes_used

    @property
    def snapshot_bytes_required(self) -> int:
        """Total size of all snapshots plus the largest.

        A new snapshot is written before the previous snapshot of its group is removed.
        """
        return self._snapshots.bytes_used + self._snapshots.largest_bytes

    def _verify_states(self) -> None:
        for group, state in self._states.by_group.items():
            if inconsistency := state.inconsistency():
                segment = self._segments.current
                raise CorruptJournalError(segment.path, segment.end, f"group {group}: {inconsistency}")

    # Writing

    def write(self, batch: Batch) -> None:
        """Write a batch; it is durable when this returns.

        If the disk is full, a complete checkpoint is written immediately, whatever the size of the log:
        removing superseded segments may free the space that the batch needs, and the writer starts no
        checkpoint between two attempts at a batch.

        Raises:
            OSError: the write failed and may be retried with the same batch.
        """
        try:
            self._write(batch)
        except OSError as error:
            if error.errno != errno.ENOSPC or not self._free_space():
                raise
            self._write(batch)

    def _write(self, batch: Batch) -> None:
        while batch.snapshots:
            new_snapshot = batch.snapshots[0]
            self._snapshots.write(new_snapshot.group, new_snapshot.snapshot)
            batch.snapshots.pop(0)
        self._append(batch.records)
        if any(isinstance(record, TombstoneRecord) or record.snapshot for record in batch.records):
            self._remove_unnamed_snapshots()

    def _append(self, records: Sequence[Record]) -> None:
        self._segments.append(records)
        for record in records:
            self._states.apply(record)

    def _remove_unnamed_snapshots(self) -> None:
        named = {
            file_name(group, state.snapshot.index, state.snapshot.term)
            for group, state in self._states.by_group.items()
            if state.snapshot.size
        }
        self._snapshots.remove_except(named)

    def _free_space(self) -> bool:
        """Remove drafts and write a complete checkpoint; returns whether disk usage decreased."""
        bytes_before = self.bytes_used
        self._snapshots.remove_drafts()
        if self._checkpointer.would_free_space:
            while self._checkpointer.step():
                pass
        return self.bytes_used < bytes_before

    # Checkpoints

    @property
    def checkpoint_due(self) -> bool:
        """Whether a checkpoint is due or in progress."""
        return self._checkpointer.is_due

    def checkpoint_step(self) -> bool:
        """Do one step of a checkpoint: write a group's state or remove a segment.

        Returns:
            Whether the checkpoint has further steps.

        Raises:
            OSError: the step failed; the next call retries it.
        """
        return self._checkpointer.step()

    # Scrubbing

    def scrub_step(self) -> str | None:
        """Read and verify one chunk of the files.

        A corrupt segment makes a checkpoint due, which writes the group states from memory and removes the
        segment.

        Returns:
            The group whose snapshot is corrupt and must be rewritten, or None.
        """
        corrupt = self._scrubber.step(self._scrub_targets())
        if corrupt is None:
            return None
        log.error("event=corruption_detected file={}", corrupt.path)
        if corrupt.is_segment:
            self._checkpointer.request()
            return None
        return self._group_of_snapshot(corrupt.path)

    def _group_of_snapshot(self, path: str) -> str | None:
        for group, state in self._states.by_group.items():
            reference = state.snapshot
            name = file_name(group, reference.index, reference.term)
            if reference.size and path == f"{SNAPSHOT_DIRECTORY}/{name}":
                return group
        return None

    def _scrub_targets(self) -> list[ScrubTarget]:
        segments = self._segments.synced_sizes.items()
        snapshots = self._snapshots.sizes.items()
        targets = [ScrubTarget(path, size, is_segment=True) for path, size in segments]
        return targets + [ScrubTarget(path, size, is_segment=False) for path, size in snapshots]

    def close(self) -> None:
        """Close all files."""
        self._files.close()
