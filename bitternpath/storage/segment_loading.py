"""Recovery of the write-ahead log: reads the segments when a process starts.

Loading relies on two invariants of writing (`segment_files`, `checkpoint`):

- A batch is written only after the previous batch was synced, and a segment is created only after the
  previous segment was synced completely. So only the end of the last segment can be torn.
- Segments are removed oldest first, and each removal is synced. So the remaining segments are consecutive.

A torn tail is truncated. Any other unreadable data is reported as corruption.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from itertools import pairwise

from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.files import FileSystem
from bitternpath.storage.group_state import GroupStates
from bitternpath.storage.record_format import (
    SEGMENT_HEADER_BYTES,
    contains_batch_from,
    decode_segment_header,
    read_frame,
)
from bitternpath.storage.records import Record

DIRECTORY = "journal"
_FILE_NAME = re.compile(r"segment-(\d{8,})\.log")


@dataclass(slots=True)
class Segment:
    """A segment that can be appended to.

    Attributes:
        number: sequence number; the first segment is 1.
        salt: initial value of the checksums of its records.
        end: synced size in bytes; 0 if the header isn't written yet.
    """

    number: int
    salt: int
    end: int

    @property
    def path(self) -> str:
        """Path of the segment's file, relative to the data directory."""
        return segment_path(self.number)


@dataclass(slots=True)
class LoadedSegments:
    """Result of loading the segments of a log.

    Attributes:
        current: the last segment, to which further batches are appended.
        closed: sizes in bytes of the segments before it, by number.
        last_batch: number of the last batch; 0 if the log is empty.
    """

    current: Segment
    closed: dict[int, int] = field(default_factory=dict)
    last_batch: int = 0


def segment_path(number: int) -> str:
    """Return the path of a segment's file, relative to the data directory."""
    return f"{DIRECTORY}/segment-{number:08d}.log"


def load_segments(files: FileSystem, states: GroupStates) -> LoadedSegments:
    """Apply all complete batches to `states`, truncate a torn tail, and sync the last segment.

    Raises:
        CorruptJournalError: synced data is missing or corrupt.
        OSError: a file can't be read, truncated or synced.
    """
    return _SegmentLoader(files, states).load()


class _SegmentLoader:
    def __init__(self, files: FileSystem, states: GroupStates) -> None:
        self._files = files
        self._states = states
        self._last_batch = 0

    def load(self) -> LoadedSegments:
        names = self._files.list_names(DIRECTORY)
        numbers = sorted(int(match[1]) for match in map(_FILE_NAME.fullmatch, names) if match)
        for previous, number in pairwise(numbers):
            if number != previous + 1:
                raise CorruptJournalError(segment_path(previous + 1), 0, "the segment is missing")
        closed = {number: self._load_closed(number) for number in numbers[:-1]}
        current = self._load_last(numbers[-1]) if numbers else Segment(1, 0, 0)
        return LoadedSegments(current, closed, self._last_batch)

    def _load_closed(self, number: int) -> int:
        """Apply a segment that was synced completely; returns its size in bytes."""
        segment, size = self._load_segment(number)
        if segment is None or segment.end != size:
            raise CorruptJournalError(segment_path(number), segment.end if segment else 0, "no intact record")
        return size

    def _load_last(self, number: int) -> Segment:
        segment, size = self._load_segment(number)
        if segment is None:
            if size > SEGMENT_HEADER_BYTES:
                raise CorruptJournalError(segment_path(number), 0, "no segment header")
            return Segment(number, 0, 0)  # the process ended before it had synced the header
        if segment.end != size:
            self._files.truncate(segment.path, segment.end)
        # The last complete batch may not be synced yet, if the process that wrote it was killed.
        self._files.sync(segment.path)
        self._files.sync_directory(DIRECTORY)
        return segment

    def _load_segment(self, number: int) -> tuple[Segment | None, int]:
        """Apply the complete batches of a segment.

        Returns:
            The segment, with `end` after its last complete batch, or None if the header isn't intact; and the
            size of the file.
        """
        path = segment_path(number)
        data = self._files.read(path)
        salt = decode_segment_header(data)
        if salt is None:
            return None, len(data)
        end = SEGMENT_HEADER_BYTES
        offset = end
        records: list[Record] = []
        while (frame := read_frame(path, salt, data, offset)) is not None:
            if not self._last_batch:
                self._last_batch = frame.batch - 1  # earlier segments were removed by a checkpoint
            if frame.batch != self._last_batch + 1:
                break
            records.append(frame.record)
            offset = frame.end
            if frame.is_last:
                self._last_batch = frame.batch
                end = offset
                for record in records:
                    self._states.apply(record)
                records.clear()
        if contains_batch_from(path, salt, data, offset, self._last_batch + 2):
            raise CorruptJournalError(path, offset, "no intact record, and records of later batches follow")
        return Segment(number, salt, end), len(data)
