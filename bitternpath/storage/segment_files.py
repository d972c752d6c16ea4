"""Segment files of the write-ahead log: appends batches, begins and removes segments. Blocks."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.storage.files import FileSystem
from bitternpath.storage.record_format import SEGMENT_HEADER_BYTES, encode_batch, encode_segment_header
from bitternpath.storage.records import Record
from bitternpath.storage.segment_loading import DIRECTORY, LoadedSegments, Segment, segment_path


class SegmentFiles:
    """The segments: one that is appended to, and the closed ones before it.

    Attributes:
        bytes_used: size of all segments; another thread may read it.
    """

    def __init__(
        self, files: FileSystem, generate_salt: Callable[[], int], segment_bytes: int, loaded: LoadedSegments
    ) -> None:
        """Go on with the segments that were loaded.

        Args:
            files: the data directory.
            generate_salt: returns a random number of 32 bits, for each new segment.
            segment_bytes: size above which a segment is closed.
            loaded: what `load_segments` found.
        """
        self._files = files
        self._generate_salt = generate_salt
        self._segment_bytes = segment_bytes
        self._current = loaded.current
        self._closed = loaded.closed
        self._last_batch = loaded.last_batch
        self._tail_may_be_torn = False  # there may be bytes behind the current segment's `end`
        self._unfinished_segment_path = ""  # of a next segment that the disk refused; it may be there in part
        self.bytes_used = 0
        self._update_total()

    @property
    def current(self) -> Segment:
        """The segment that is appended to."""
        return self._current

    @property
    def oldest_closed(self) -> int | None:
        """Number of the oldest closed segment; None where there is none."""
        return min(self._closed, default=None)

    @property
    def synced_sizes(self) -> dict[str, int]:
        """Bytes of each segment that are synced, by path, closed ones first."""
        sizes = {segment_path(number): size for number, size in self._closed.items()}
        if self._current.end:
            sizes[self._current.path] = self._current.end
        return sizes

    def append(self, records: Sequence[Record]) -> None:
        """Write records as the next batch; they are durable when this returns.

        Raises:
            OSError: nothing of the batch counts. The same batch, or another one, may be tried next.
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
        """Close the current segment and begin the next one; one without a header is begun instead.

        Raises `OSError`; the current segment is then still appended to.
        """
        before = self._current
        if not before.end:
            self._current = self._begin(before.number)
            return
        if self._tail_may_be_torn:
            self._files.truncate(before.path, before.end)
            self._files.sync(before.path)
            self._tail_may_be_torn = False
        self._unfinished_segment_path = segment_path(before.number + 1)
        self._current = self._begin(before.number + 1)
        self._unfinished_segment_path = ""
        self._closed[before.number] = before.end
        self._update_total()

    def remove_closed(self, number: int) -> None:
        """Remove a closed segment, which must be the oldest one, and make its removal durable.

        Raises `OSError`; then it is to be tried again.
        """
        self._files.remove(segment_path(number))
        self._files.sync_directory(DIRECTORY)
        del self._closed[number]
        self._update_total()

    def _begin(self, number: int) -> Segment:
        path = segment_path(number)
        salt = self._generate_salt()
        self._files.truncate(path, 0)
        self._files.write_at(path, 0, encode_segment_header(salt))
        self._files.sync(path)
        self._files.sync_directory(DIRECTORY)
        return Segment(number, salt, SEGMENT_HEADER_BYTES)

    def _remove_unfinished_segment(self) -> None:
        """Remove a next segment that the disk refused, before the current one is appended to.

        While it is there, the current one would be taken at loading for one that was synced completely, and a
        torn batch at its end for corruption.
        """
        if self._unfinished_segment_path:
            self._files.remove(self._unfinished_segment_path)
            self._files.sync_directory(DIRECTORY)
            self._unfinished_segment_path = ""

    def _update_total(self) -> None:
        self.bytes_used = sum(self._closed.values()) + self._current.end
