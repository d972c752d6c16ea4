"""Segment files of the write-ahead log: appending batches, creating and removing segments.

All operations block.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.storage.files import FileSystem
from bitternpath.storage.record_format import SEGMENT_HEADER_BYTES, encode_batch, encode_segment_header
from bitternpath.storage.records import Record
from bitternpath.storage.segment_loading import DIRECTORY, LoadedSegments, Segment, segment_path


class SegmentFiles:
    """The current segment, to which batches are appended, and the closed segments before it.

    Attributes:
        bytes_used: total size of all segments; safe to read from another thread.
    """

    def __init__(
        self, files: FileSystem, generate_salt: Callable[[], int], segment_bytes: int, loaded: LoadedSegments
    ) -> None:
        """Continue the segments that were loaded.

        Args:
            files: the data directory.
            generate_salt: returns a random 32-bit number for each new segment.
            segment_bytes: size above which a segment is closed.
            loaded: result of `load_segments`.
        """
        self._files = files
        self._generate_salt = generate_salt
        self._segment_bytes = segment_bytes
        self._current = loaded.current
        self._closed = loaded.closed
        self._last_batch = loaded.last_batch
        self._tail_may_be_torn = False  # the current segment may have bytes after its `end`
        # The next segment, if creating it failed: the file may exist with an incomplete header. Else empty.
        self._unfinished_segment_path = ""
        self.bytes_used = 0
        self._update_total()

    @property
    def current(self) -> Segment:
        """The segment to which batches are appended."""
        return self._current

    @property
    def oldest_closed(self) -> int | None:
        """Number of the oldest closed segment, or None if no segment is closed."""
        return min(self._closed, default=None)

    @property
    def synced_sizes(self) -> dict[str, int]:
        """Synced size of each segment by path, closed segments first."""
        sizes = {segment_path(number): size for number, size in self._closed.items()}
        if self._current.end:
            sizes[self._current.path] = self._current.end
        return sizes

    def append(self, records: Sequence[Record]) -> None:
        """Write records as the next batch; they are durable when this returns.

        Raises:
            OSError: the batch wasn't appended. It may be retried, or a different batch written instead.
        """
        if not self._current.end or self._current.end > self._segment_bytes:
            self.roll()
        self._remove_unfinished_segment()
        segment = self._current
        if self._tail_may_be_torn:
            self._files.truncate(segment.path, segment.end)
        self._tail_may_be_torn = True
        data = encode_batch(segment.salt, self._last_batch + 1, records)
        self._files.write_at(segment.path, segment.end, data)
        self._files.sync(segment.path)
        self._tail_may_be_torn = False
        self._last_batch += 1
        segment.end += len(data)
        self._update_total()

    def roll(self) -> None:
        """Close the current segment and create the next.

        A current segment without a header isn't closed but created anew. Raises `OSError`; batches are then
        still appended to the current segment.
        """
        previous = self._current
        if not previous.end:
            self._current = self._create_segment(previous.number)
            return
        if self._tail_may_be_torn:
            self._files.truncate(previous.path, previous.end)
            self._files.sync(previous.path)
            self._tail_may_be_torn = False
        self._unfinished_segment_path = segment_path(previous.number + 1)
        self._current = self._create_segment(previous.number + 1)
        self._unfinished_segment_path = ""
        self._closed[previous.number] = previous.end
        self._update_total()

    def remove_closed(self, number: int) -> None:
        """Remove a closed segment, which must be the oldest, and make the removal durable.

        Raises `OSError`; the removal must then be retried.
        """
        self._files.remove(segment_path(number))
        self._files.sync_directory(DIRECTORY)
        del self._closed[number]
        self._update_total()

    def _create_segment(self, number: int) -> Segment:
        path = segment_path(number)
        salt = self._generate_salt()
        self._files.truncate(path, 0)
        self._files.write_at(path, 0, encode_segment_header(salt))
        self._files.sync(path)
        self._files.sync_directory(DIRECTORY)
        return Segment(number, salt, SEGMENT_HEADER_BYTES)

    def _remove_unfinished_segment(self) -> None:
        """Remove the file of a next segment whose creation failed, before appending to the current segment.

        As long as that file exists, loading treats the current segment as closed and completely synced, and
        would report a torn batch at its end as corruption.
        """
        if self._unfinished_segment_path:
            self._files.remove(self._unfinished_segment_path)
            self._files.sync_directory(DIRECTORY)
            self._unfinished_segment_path = ""

    def _update_total(self) -> None:
        self.bytes_used = sum(self._closed.values()) + self._current.end
