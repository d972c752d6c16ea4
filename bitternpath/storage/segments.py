"""Segments of the write-ahead log: loading, batches, checkpoints. Blocks; one thread at a time.

Invariants on which loading relies:

- A batch is written only after the batch before it was synced, and a segment is begun only after the one
  before it was synced whole. So only the end of the last segment can be torn.
- A checkpoint writes each group's whole state into segments from a new one on, and only then removes the
  segments before that, the oldest first with a sync of the folder after each: what is left is always a run of
  consecutive segments, and each record in it that needs a removed one is followed by the group's whole state.
- A snapshot's file is on disk before the record that names it is written, and is removed after a record that
  names a later one was synced.
"""

from __future__ import annotations

import errno
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise

import logbook

from bitternpath.replication.records import PersistentState
from bitternpath.storage.commands import Batch
from bitternpath.storage.files import FileSystem
from bitternpath.storage.group_state import GroupStates, state_record
from bitternpath.storage.records import (
    SEGMENT_HEADER_BYTES,
    CorruptJournalError,
    Record,
    TombstoneRecord,
    decode_segment_header,
    encode_batch,
    encode_segment_header,
    has_batch_from,
    read_frame,
)
from bitternpath.storage.scrub import Scrubber, Target
from bitternpath.storage.snapshots import FOLDER as SNAPSHOT_FOLDER
from bitternpath.storage.snapshots import SnapshotFiles, file_name

log = logbook.Logger("disk")

FOLDER = "journal"
SEGMENT_BYTES = 8 << 20  # a segment is closed above this; small against the smallest disk (64 MB)
_NAME = re.compile(r"segment-(\d{8,})\.log")


@dataclass(slots=True)
class _Segment:
    """The segment that is written to. `end`: up to where it is synced; 0: it has no header yet."""

    number: int
    salt: int
    end: int

    @property
    def path(self) -> str:
        return _path(self.number)


def _path(number: int) -> str:
    return f"{FOLDER}/segment-{number:08d}.log"


class SegmentLog:
    """The write-ahead log's files, and what they hold of each group."""

    def __init__(
        self,
        files: FileSystem,
        draw_salt: Callable[[], int],
        checkpoint_bytes: int,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        """Loads what is there. Raises `CorruptJournalError` and `OSError`."""
        self._files, self._draw_salt = files, draw_salt
        self._segment_bytes, self._checkpoint_bytes = segment_bytes, checkpoint_bytes
        self._checkpoint_above = checkpoint_bytes  # bytes of all segments
        self._pending: list[str] | None = None  # groups that a checkpoint has still to write
        self._bytes_left = 0  # of all segments after the last checkpoint
        self._first_needed = 0  # segments before it go when the checkpoint is complete
        self._unfinished = ""  # path of a next segment that the disk refused
        self._is_torn = False  # there may be bytes behind the current segment's `end`
        self._closed: dict[int, int] = {}  # sizes of the segments before the current one
        self._batch = 0  # number of the last one
        self._states = GroupStates()
        files.make_directory(FOLDER)
        self._snapshots = SnapshotFiles(files)
        self._scrubber = Scrubber(files)
        self._segment = self._load()
        self._segments_bytes = 0
        self._count()
        self._check_states()
        self._remove_unnamed_snapshots()

    # ---- reading

    @property
    def groups(self) -> tuple[str, ...]:
        """The groups of which anything is kept."""
        return tuple(self._states.by_group)

    def kept(self, group: str) -> PersistentState:
        """What is kept of a group; raises `CorruptJournalError`."""
        state = self._states.by_group[group]
        snapshot = self._snapshots.read(group, state.snapshot)
        before = state.before_index, state.before_term
        return PersistentState(state.term, state.vote, snapshot, before, list(state.entries))

    @property
    def forgotten(self) -> dict[str, int]:
        """Groups of which something was kept once and was then forgotten, and the generation at that."""
        return dict(self._states.forgotten)

    @property
    def bytes_used(self) -> int:
        """Bytes of all files; another thread may ask."""
        return self._segments_bytes + self._snapshots.bytes_used

    @property
    def snapshot_bytes_required(self) -> int:
        """Bytes of all snapshots and of the largest one again: it is replaced by one beside it."""
        return self._snapshots.bytes_used + self._snapshots.largest

    def _count(self) -> None:
        self._segments_bytes = sum(self._closed.values()) + self._segment.end

    def _load(self) -> _Segment:
        names = self._files.list_names(FOLDER)
        numbers = sorted(int(match[1]) for match in map(_NAME.fullmatch, names) if match)
        for before, after in pairwise(numbers):
            if after != before + 1:
                raise CorruptJournalError(_path(before + 1), 0, "the segment is missing")
        for number in numbers[:-1]:
            segment, size = self._load_segment(number)
            if segment is None or segment.end != size:
                raise CorruptJournalError(_path(number), segment.end if segment else 0, "not a whole record")
            self._closed[number] = size
        return self._load_last(numbers[-1] if numbers else 0)

    def _load_last(self, number: int) -> _Segment:
        if not number:
            return _Segment(1, 0, 0)
        segment, size = self._load_segment(number)
        if segment is None:
            if size > SEGMENT_HEADER_BYTES:
                raise CorruptJournalError(_path(number), 0, "no header of a segment")
            return _Segment(number, 0, 0)  # the process ended before its header was synced
        if segment.end != size:
            self._files.truncate(segment.path, segment.end)
        # Whole records may have been written by a process that was killed before it synced them.
        self._files.sync(segment.path)
        self._files.sync_directory(FOLDER)
        return segment

    def _load_segment(self, number: int) -> tuple[_Segment | None, int]:
        """Apply the whole batches of a segment; None where it has no header. The other is the file's size."""
        path = _path(number)
        data = self._files.read(path)
        salt = decode_segment_header(data)
        if salt is None:
            return None, len(data)
        end = SEGMENT_HEADER_BYTES
        offset, records = end, list[Record]()
        while (frame := read_frame(path, salt, data, offset)) is not None:
            if not self._batch:
                self._batch = frame.batch - 1  # the first one that is left
            if frame.batch != self._batch + 1:
                break
            records.append(frame.record)
            offset = frame.end
            if frame.is_last:
                self._batch, end = frame.batch, offset
                for record in records:
                    self._states.apply(record)
                records.clear()
        if has_batch_from(path, salt, data, offset, self._batch + 2):
            raise CorruptJournalError(path, offset, "not a whole record, and later ones follow")
        return _Segment(number, salt, end), len(data)

    def _check_states(self) -> None:
        for group, state in self._states.by_group.items():
            if fault := state.fault():
                raise CorruptJournalError(self._segment.path, self._segment.end, f"group {group}: {fault}")

    # ---- writing

    def write(self, batch: Batch) -> None:
        """The batch is on disk when this returns. May be called again with it after an `OSError`.

        On a full disk the journal is written anew at once, whatever its size: old segments may hold the room
        that the batch wants, and no checkpoint comes between the attempts at a batch.
        """
        try:
            self._write(batch)
        except OSError as error:
            if error.errno != errno.ENOSPC or not self._free_room():
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
        if not self._segment.end or self._segment.end > self._segment_bytes:
            self._roll()
        self._remove_unfinished()
        segment = self._segment
        if self._is_torn:
            self._files.truncate(segment.path, segment.end)
        self._is_torn = True
        data = encode_batch(segment.salt, self._batch + 1, records)
        self._files.write_at(segment.path, segment.end, data)
        self._files.sync(segment.path)
        self._is_torn = False
        self._batch += 1
        segment.end += len(data)
        self._count()
        for record in records:
            self._states.apply(record)

    def _roll(self) -> None:
        """Go on in a new segment, unless the current one is new."""
        before = self._segment
        if not before.end:
            self._segment = self._begin_segment(before.number)
            return
        if self._is_torn:
            self._files.truncate(before.path, before.end)
            self._files.sync(before.path)
            self._is_torn = False
        self._unfinished = _path(before.number + 1)
        self._segment = self._begin_segment(before.number + 1)
        self._unfinished = ""
        self._closed[before.number] = before.end
        self._count()

    def _remove_unfinished(self) -> None:
        """Remove a segment that the disk refused: while it is there, the current one would be taken for one
        that was synced whole, and the torn end of a batch in it for damage."""
        if self._unfinished:
            self._files.remove(self._unfinished)
            self._files.sync_directory(FOLDER)
            self._unfinished = ""

    def _begin_segment(self, number: int) -> _Segment:
        path, salt = _path(number), self._draw_salt()
        self._files.truncate(path, 0)
        self._files.write_at(path, 0, encode_segment_header(salt))
        self._files.sync(path)
        self._files.sync_directory(FOLDER)
        return _Segment(number, salt, SEGMENT_HEADER_BYTES)

    def _remove_unnamed_snapshots(self) -> None:
        named = {
            file_name(group, state.snapshot.index, state.snapshot.term)
            for group, state in self._states.by_group.items()
            if state.snapshot.size
        }
        self._snapshots.keep_only(named)

    def _free_room(self) -> bool:
        """Remove drafts and do a whole checkpoint; whether there is less on the disk after it."""
        before = self.bytes_used
        self._snapshots.remove_drafts()
        if self._pending is not None or self._segments_bytes != self._bytes_left:
            while self.checkpoint_step():
                pass
        return self.bytes_used < before

    # ---- scrubbing

    def scrub_step(self) -> str:
        """Read a piece of what is on disk and check it. The group whose snapshot was found damaged, which is
        to be written again; else empty. Damage in a segment is mended by a checkpoint, from memory."""
        found = self._scrubber.step(self._scrub_targets())
        if found is None:
            return ""
        log.error("event=corruption_detected file={}", found.path)
        if found.is_segment:
            self._checkpoint_above = -1
            return ""
        for group, state in self._states.by_group.items():
            reference = state.snapshot
            name = file_name(group, reference.index, reference.term)
            if reference.size and found.path == f"{SNAPSHOT_FOLDER}/{name}":
                return group
        return ""

    def _scrub_targets(self) -> list[Target]:
        segments = {_path(number): size for number, size in self._closed.items()}
        if self._segment.end:
            segments[self._segment.path] = self._segment.end
        targets = [Target(path, size, True) for path, size in segments.items()]
        return targets + [Target(path, size, False) for path, size in self._snapshots.sizes.items()]

    # ---- checkpoints

    @property
    def wants_checkpoint(self) -> bool:
        """Whether `checkpoint_step` has something to do."""
        return self._pending is not None or self._segments_bytes > self._checkpoint_above

    def checkpoint_step(self) -> bool:
        """One group's state, or the removal of one segment; whether there is more to do. May be called again
        after an `OSError`."""
        if self._pending is None:
            self._roll()
            self._pending = sorted(self._states.by_group | self._states.forgotten)
            self._first_needed = self._segment.number
        elif self._pending:
            self._write_state(self._pending[-1])
            self._pending.pop()
        elif self._closed and min(self._closed) < self._first_needed:
            self._remove_segment(min(self._closed))
        else:
            self._pending = None
            self._bytes_left = self._segments_bytes
            self._checkpoint_above = max(self._checkpoint_bytes, 2 * self._segments_bytes)
        return self._pending is not None

    def _write_state(self, group: str) -> None:
        state = self._states.by_group.get(group)
        forgotten = self._states.forgotten.get(group)
        records: list[Record] = [] if forgotten is None else [TombstoneRecord(group, forgotten)]
        if state is not None:  # of a group that was forgotten and joined again: both stay known
            records.append(state_record(group, state))
        self._append(records)

    def _remove_segment(self, number: int) -> None:
        self._files.remove(_path(number))
        self._files.sync_directory(FOLDER)
        del self._closed[number]
        self._count()

    def close(self) -> None:
        """Close all files."""
        self._files.close()
