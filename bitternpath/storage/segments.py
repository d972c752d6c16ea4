"""The write-ahead log on disk: segments, the snapshots that their records name, and what both hold.

Blocks; one thread at a time. A snapshot's file is durable before the record that names it is written, and it
is removed only after a record that names a later one was synced.
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

SEGMENT_BYTES = 8 << 20  # a segment is closed above this; small against the smallest disk (64 MB)


class SegmentLog:
    """The write-ahead log's files, and the state of each group that they hold."""

    def __init__(
        self,
        files: FileSystem,
        generate_salt: Callable[[], int],
        checkpoint_bytes: int,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        """Load what is on the disk.

        Args:
            files: the data directory.
            generate_salt: returns a random number of 32 bits, for each new segment.
            checkpoint_bytes: size of all segments above which the first checkpoint is due.
            segment_bytes: size above which a segment is closed.

        Raises:
            CorruptJournalError: what was synced doesn't read back.
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

    # ---- reading

    @property
    def groups(self) -> tuple[str, ...]:
        """The groups of which the log holds a state."""
        return tuple(self._states.by_group)

    @property
    def states(self) -> GroupStates:
        """The groups' states; not to be changed by the reader."""
        return self._states

    def persistent_state(self, group: str) -> PersistentState:
        """Return a group's state, with the data of its snapshot.

        Raises:
            CorruptJournalError: the snapshot's file isn't what was written.
            OSError: it can't be read.
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
        """Bytes of all files; safe to read from another thread."""
        return self._segments.bytes_used + self._snapshots.bytes_used

    @property
    def snapshot_bytes_required(self) -> int:
        """Bytes of all snapshots and of the largest one again: its successor is written beside it."""
        return self._snapshots.bytes_used + self._snapshots.largest_bytes

    def _verify_states(self) -> None:
        for group, state in self._states.by_group.items():
            if inconsistency := state.inconsistency():
                segment = self._segments.current
                raise CorruptJournalError(segment.path, segment.end, f"group {group}: {inconsistency}")

    # ---- writing

    def write(self, batch: Batch) -> None:
        """Write a batch; it is durable when this returns.

        On a full disk a complete checkpoint is made at once, whatever the log's size: superseded segments may
        hold the space that the batch needs, and no checkpoint is made between the attempts at a batch.

        Raises:
            OSError: the call may be repeated with the same batch.
        """
        try:
            self._write(batch)
        except OSError as error:
            if error.errno != errno.ENOSPC or not self._free_space():
                raise
            self._write(batch)

    def _write(self, batch: Batch) -> None:
        while batch.snapshots:
            new = batch.snapshots[0]
            self._snapshots.write(new.group, new.snapshot)
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
        """Remove drafts and make a complete checkpoint; whether there is less on the disk after it."""
        before = self.bytes_used
        self._snapshots.remove_drafts()
        if self._checkpointer.would_free_space:
            while self._checkpointer.step():
                pass
        return self.bytes_used < before

    # ---- checkpoints

    @property
    def checkpoint_due(self) -> bool:
        """Whether `checkpoint_step` has something to do."""
        return self._checkpointer.is_due

    def checkpoint_step(self) -> bool:
        """Do one step of a checkpoint: a group's state, or the removal of a segment.

        Returns:
            Whether there is more to do.

        Raises:
            OSError: the step is tried again by the next call.
        """
        return self._checkpointer.step()

    # ---- scrubbing

    def scrub_step(self) -> str | None:
        """Read a chunk of what is on the disk and verify it.

        A corrupt segment makes a checkpoint due, which supersedes it from memory.

        Returns:
            A group whose snapshot was found corrupt, for it to be written again; else None.
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
