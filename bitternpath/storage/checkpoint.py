"""Checkpoints of the write-ahead log: each group's state is written again, then old segments go.

A checkpoint begins a new segment, writes there one `CheckpointRecord` for each group (and a
`TombstoneRecord` for each removed one), and then removes the segments before it, the oldest first with a
sync of the directory after each. So each remaining record that relies on a removed one is followed by its
group's complete state.

It goes on in single steps, so that batches can be written between them.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.storage.group_state import GroupStates, checkpoint_record
from bitternpath.storage.records import Record, TombstoneRecord
from bitternpath.storage.segment_files import SegmentFiles

GROWTH_FACTOR = 2  # of the segments between checkpoints: their cost stays in proportion to the writes

Append = Callable[[Sequence[Record]], None]


class Checkpointer:
    """Decides when a checkpoint is due, and does it step by step."""

    def __init__(self, segments: SegmentFiles, states: GroupStates, append: Append, min_bytes: int) -> None:
        """Begin without a checkpoint under way.

        Args:
            segments: files that are to be bounded.
            states: the groups' states, kept up to date by others.
            append: writes records as one batch, and applies them to the states.
            min_bytes: size of all segments above which the first checkpoint is due, and the least size for
                later ones.
        """
        self._segments = segments
        self._states = states
        self._append = append
        self._min_bytes = min_bytes
        self._due_above = min_bytes  # bytes of all segments
        self._requested = False  # a checkpoint is due whatever the size
        self._pending: list[str] | None = None  # groups still to be written; None: no checkpoint is under way
        self._first_needed = 0  # segments before it are removed once nothing is pending
        self._bytes_after_last_checkpoint = 0  # of all segments after the last checkpoint

    @property
    def is_due(self) -> bool:
        """Whether `step` has something to do."""
        return self._pending is not None or self._requested or self._segments.bytes_used > self._due_above

    @property
    def would_free_space(self) -> bool:
        """Whether a complete checkpoint now could leave less on the disk."""
        return self._pending is not None or self._segments.bytes_used != self._bytes_after_last_checkpoint

    def request(self) -> None:
        """Make a checkpoint due whatever the size, so that current segments are superseded."""
        self._requested = True

    def step(self) -> bool:
        """Begin a checkpoint, write one group's state, or remove one segment.

        Returns:
            Whether there is more to do.

        Raises:
            OSError: the same step is tried by the next call.
        """
        oldest = self._segments.oldest_closed
        if self._pending is None:
            self._begin()
        elif self._pending:
            self._write_state(self._pending[-1])
            self._pending.pop()
        elif oldest is not None and oldest < self._first_needed:
            self._segments.remove_closed(oldest)
        else:
            self._end()
        return self._pending is not None

    def _begin(self) -> None:
        self._segments.roll()
        self._pending = sorted(self._states.by_group | self._states.tombstones)
        self._first_needed = self._segments.current.number

    def _write_state(self, group: str) -> None:
        records: list[Record] = []
        generation = self._states.tombstones.get(group)
        if generation is not None:
            records.append(TombstoneRecord(group, generation))
        state = self._states.by_group.get(group)
        if state is not None:  # behind the tombstone, where the group was removed and joined again
            records.append(checkpoint_record(group, state))
        self._append(records)

    def _end(self) -> None:
        self._pending = None
        self._requested = False
        self._bytes_after_last_checkpoint = self._segments.bytes_used
        self._due_above = max(self._min_bytes, GROWTH_FACTOR * self._segments.bytes_used)
