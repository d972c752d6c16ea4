"""Encoding of the write-ahead log's records and segment headers.

A record consists of a header and an Avro body. The header, little-endian: magic (4 bytes), CRC-32 of all
bytes after the checksum (4), length of the body (4), batch number (4), kind (1), flags (1). All records that
are synced together form a batch; the last of them has the flag `LAST_OF_BATCH`. A batch is written only after
the previous batch was synced. So an intact record of a later batch after a corrupt record proves that the
corrupt record had been synced.

A segment starts with a segment header: magic, format version, salt, CRC-32. The salt is a random number,
different in each segment, and the initial value of each record's CRC-32, so that payload bytes chosen by a
client can't be mistaken for a record.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from bitternpath.storage.errors import CorruptJournalError
from bitternpath.storage.records import CheckpointRecord, Record, RecordKind, TombstoneRecord, WriteRecord
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.errors import CodecError

FORMAT_VERSION = 1  # version of the segment format
MAGIC = b"\xb1WAL"
SEGMENT_MAGIC = b"BTWL"
LAST_OF_BATCH = 1  # bit of the flags field

_HEADER = struct.Struct("<4sIIIBB")  # magic, checksum, body length, batch, kind, flags
_CHECKED_FIELDS = struct.Struct("<IIBB")  # the header's fields after the checksum
_CHECKED_OFFSET = _HEADER.size - _CHECKED_FIELDS.size
_SEGMENT = struct.Struct("<4sII")  # magic, format version, salt
_SEGMENT_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER.size
SEGMENT_HEADER_BYTES = _SEGMENT.size + _SEGMENT_CHECKSUM.size

_KINDS: dict[type, RecordKind] = {
    WriteRecord: RecordKind.WRITE,
    CheckpointRecord: RecordKind.CHECKPOINT,
    TombstoneRecord: RecordKind.TOMBSTONE,
}
_CODECS = {kind: RecordCodec(record) for record, kind in _KINDS.items()}


@dataclass(frozen=True, slots=True)
class RecordFrame:
    """An intact record read from a segment.

    Attributes:
        start: offset of the header in the segment.
        end: offset of the first byte after the body.
        batch: number of the batch.
        is_last: whether this is the last record of the batch.
        record: the decoded body.
    """

    start: int
    end: int
    batch: int
    is_last: bool
    record: Record


def encode_segment_header(salt: int) -> bytes:
    """Encode the first `SEGMENT_HEADER_BYTES` of a segment."""
    fields = _SEGMENT.pack(SEGMENT_MAGIC, FORMAT_VERSION, salt)
    return fields + _SEGMENT_CHECKSUM.pack(zlib.crc32(fields))


def decode_segment_header(data: bytes) -> int | None:
    """Return the salt of the segment that starts with `data`, or None if its header isn't intact."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    magic, version, salt = _SEGMENT.unpack_from(data)
    (checksum,) = _SEGMENT_CHECKSUM.unpack_from(data, _SEGMENT.size)
    is_intact = magic == SEGMENT_MAGIC and checksum == zlib.crc32(data[: _SEGMENT.size])
    return int(salt) if is_intact and version == FORMAT_VERSION else None


def encode_batch(salt: int, batch: int, records: Sequence[Record]) -> bytes:
    """Encode the records of one batch for a segment with the given salt."""
    chunks = []
    for position, record in enumerate(records, 1):
        kind = _KINDS[type(record)]
        body = _CODECS[kind].encode(record)
        flags = LAST_OF_BATCH if position == len(records) else 0
        checked_fields = _CHECKED_FIELDS.pack(len(body), batch, kind, flags)
        checksum = _checksum(salt, checked_fields, body)
        chunks.append(_HEADER.pack(MAGIC, checksum, len(body), batch, kind, flags))
        chunks.append(body)
    return b"".join(chunks)


def read_frame(file: str, salt: int, data: bytes, offset: int) -> RecordFrame | None:
    """Decode the record at an offset of a segment's data; None if there is no intact record.

    Raises:
        CorruptJournalError: a body with a valid checksum can't be decoded; `file` is the path to report.
    """
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    magic, checksum, length, batch, kind, flags = _HEADER.unpack_from(data, offset)
    end = start + length
    if magic != MAGIC or end > len(data):
        return None
    body = memoryview(data)[start:end]
    if _checksum(salt, data[offset + _CHECKED_OFFSET : start], body) != checksum:
        return None
    try:
        record: Record = _CODECS[RecordKind(kind)].decode(bytes(body))
    except (ValueError, CodecError) as error:
        raise CorruptJournalError(file, offset, f"unreadable record: {error}") from error
    return RecordFrame(offset, end, batch, bool(flags & LAST_OF_BATCH), record)


def contains_batch_from(file: str, salt: int, data: bytes, offset: int, batch: int) -> bool:
    """Whether `data` has an intact record of the given batch or a later batch at or after the offset."""
    candidate = data.find(MAGIC, offset)
    while candidate >= 0:
        frame = read_frame(file, salt, data, candidate)
        if frame is not None and frame.batch >= batch:
            return True
        candidate = data.find(MAGIC, candidate + 1)
    return False


def _checksum(salt: int, checked_fields: bytes, body: bytes | memoryview) -> int:
    return zlib.crc32(body, zlib.crc32(checked_fields, salt))
