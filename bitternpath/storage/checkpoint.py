"""Checkpoints of the write-ahead log: rewrites each group's state, then removes the old segments.

A checkpoint starts a new segment, appends a `CheckpointRecord` for each group (and a `TombstoneRecord` for
each removed group), and then removes the earlier segments, oldest first, with a sync of the directory after
each. So each remaining record that depends on a removed record is followed by its group's complete state.

A checkpoint runs in steps, so that batches can be written in between.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.storage.group_state import GroupStates, checkpoint_record
from bitternpath.storage.records import Record, TombstoneRecord
from bitternpath.storage.segment_files import SegmentFiles

# A checkpoint is due when the segments have grown by this factor since the previous checkpoint. This bounds
# the cost of checkpoints in proportion to the writes.
GROWTH_FACTOR = 2

Append = Callable[[Sequence[Record]], None]


class Checkpointer:
    """Decides when a checkpoint is due and runs it step by step."""

    def __init__(self, segments: SegmentFiles, states: GroupStates, append: Append, min_bytes: int) -> None:
        """Create a checkpointer with no checkpoint in progress.

        Args:
            segments: files whose total size is limited.
            states: current states of the groups, updated by the caller.
            append: writes records as one batch and applies them to the states.
            min_bytes: total size of all segments above which the first checkpoint is due, and lower limit of
                this threshold for later checkpoints.
        """
        self._segments = segments
        self._states = states
        self._append = append
        self._min_bytes = min_bytes
        self._due_above = min_bytes  # total size of all segments above which a checkpoint is due
        self._requested = False  # a checkpoint is due whatever the size
        self._pending: list[str] | None = None  # groups still to be written; None if no checkpoint is running
        self._first_needed = 0  # segments with lower numbers are removed when no group is pending any more
        self._bytes_after_last_checkpoint = 0  # total size of all segments

    @property
    def is_due(self) -> bool:
        """Whether a checkpoint is due or in progress."""
        return self._pending is not None or self._requested or self._segments.bytes_used > self._due_above

    @property
    def would_free_space(self) -> bool:
        """Whether a complete checkpoint could reduce disk usage."""
        return self._pending is not None or self._segments.bytes_used != self._bytes_after_last_checkpoint

    def request(self) -> None:
        """Make a checkpoint due whatever the size, so that the current segments are superseded."""
        self._requested = True

    def step(self) -> bool:
        """Start a checkpoint, write one group's state, or remove one segment.

        Returns:
            Whether the checkpoint has further steps.

        Raises:
            OSError: the step failed; the next call retries it.
        """
        oldest = self._segments.oldest_closed
        if self._pending is None:
            self._start()
        elif self._pending:
            self._write_state(self._pending[-1])
            self._pending.pop()
        elif oldest is not None and oldest < self._first_needed:
            self._segments.remove_closed(oldest)
        else:
            self._finish()
        return self._pending is not None

    def _start(self) -> None:
        self._segments.roll()
        self._pending = sorted(self._states.by_group | self._states.tombstones)
        self._first_needed = self._segments.current.number

    def _write_state(self, group: str) -> None:
        records: list[Record] = []
        generation = self._states.tombstones.get(group)
        if generation is not None:
            records.append(TombstoneRecord(group, generation))
        state = self._states.by_group.get(group)
        if state is not None:  # after the tombstone, if the group was removed and joined again
            records.append(checkpoint_record(group, state))
        self._append(records)

    def _finish(self) -> None:
        self._pending = None
        self._requested = False
        self._bytes_after_last_checkpoint = self._segments.bytes_used
        self._due_above = max(self._min_bytes, GROWTH_FACTOR * self._segments.bytes_used)
