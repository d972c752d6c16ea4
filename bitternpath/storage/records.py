"""Format of the write-ahead log's records.

A record is a header and an Avro body. The header, little-endian: magic (4 bytes), CRC-32 of all that follows
it (4), length of the body (4), number of the batch (4), kind (1), flags (1). All records that were synced
together are one batch; the last of them has the flag `LAST_OF_BATCH`. Since a batch is written only after the
one before it was synced, a whole record of a later batch behind a damaged one proves that the damaged one had
been synced.

A segment begins with a header of its own: magic, format version, salt, CRC-32. The salt is drawn for each
segment and goes into the checksum of each of its records, so that no bytes of a client can pass for a record.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from bitternpath.replication.records import Entry, Members
from bitternpath.transport.codec import CodecError, RecordCodec

MAGIC = b"\xb1WAL"
_HEADER = struct.Struct("<4sIIIBB")
_CHECKED = struct.Struct("<IIBB")  # what of the header the checksum covers
_SEGMENT = struct.Struct("<4sII")
_CHECKSUM = struct.Struct("<I")
SEGMENT_MAGIC = b"BTWL"
FORMAT_VERSION = 1
SEGMENT_HEADER_BYTES = _SEGMENT.size + _CHECKSUM.size
HEADER_BYTES = _HEADER.size
LAST_OF_BATCH = 1


class CorruptJournalError(Exception):
    """Something that was synced doesn't read back whole."""

    def __init__(self, file: str, offset: int, reason: str) -> None:
        super().__init__(f"{file} at offset {offset}: {reason}")
        self.file, self.offset, self.reason = file, offset, reason


class RecordKind(IntEnum):
    """What a record's body is."""

    WRITE = 1
    STATE = 2
    FORGET = 3


@dataclass(frozen=True, slots=True)
class SnapshotReference:
    """A snapshot; its bytes are in a file of their own, and there is none where `size` is 0."""

    index: int
    term: int
    members: Members
    size: int


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """One `consensus.Write` of a group, applied to what the records before it gave."""

    group: str
    term: int
    vote: str
    cut: int | None
    before_index: int
    before_term: int
    snapshot: SnapshotReference | None
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class CheckpointRecord:
    """All that is kept of a group, in place of what the records before it gave."""

    group: str
    term: int
    vote: str
    before_index: int
    before_term: int
    snapshot: SnapshotReference
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class TombstoneRecord:
    """Nothing is kept of a group any more, since members of this generation that don't name the replica were
    committed."""

    group: str
    generation: int = 0


Record = WriteRecord | CheckpointRecord | TombstoneRecord

_KINDS: dict[type, RecordKind] = {
    WriteRecord: RecordKind.WRITE,
    CheckpointRecord: RecordKind.STATE,
    TombstoneRecord: RecordKind.FORGET,
}
_CODECS = {kind: RecordCodec(record) for record, kind in _KINDS.items()}


def encode_segment_header(salt: int) -> bytes:
    """The first bytes of a segment."""
    start = _SEGMENT.pack(SEGMENT_MAGIC, FORMAT_VERSION, salt)
    return start + _CHECKSUM.pack(zlib.crc32(start))


def decode_segment_header(data: bytes) -> int | None:
    """The salt of a segment, or None where its header isn't whole."""
    if len(data) < SEGMENT_HEADER_BYTES:
        return None
    magic, version, salt = _SEGMENT.unpack_from(data)
    (checksum,) = _CHECKSUM.unpack_from(data, _SEGMENT.size)
    whole = magic == SEGMENT_MAGIC and checksum == zlib.crc32(data[: _SEGMENT.size])
    return int(salt) if whole and version == FORMAT_VERSION else None


def encode_batch(salt: int, batch: int, records: Sequence[Record]) -> bytes:
    """The bytes of one batch."""
    parts = []
    for place, record in enumerate(records, 1):
        kind = _KINDS[type(record)]
        body = _CODECS[kind].encode(record)
        flags = LAST_OF_BATCH if place == len(records) else 0
        checksum = _checksum(salt, len(body), batch, kind, flags, body)
        parts.append(_HEADER.pack(MAGIC, checksum, len(body), batch, kind, flags))
        parts.append(body)
    return b"".join(parts)


def _checksum(salt: int, length: int, batch: int, kind: int, flags: int, body: bytes | memoryview) -> int:
    return zlib.crc32(body, zlib.crc32(_CHECKED.pack(length, batch, kind, flags), salt))


@dataclass(frozen=True, slots=True)
class Frame:
    """A whole record as found in a file."""

    start: int
    end: int
    batch: int
    is_last: bool
    record: Record


def read_frame(file: str, salt: int, data: bytes, offset: int) -> Frame | None:
    """The record at that offset, or None where none is whole there.

    A body that has its checksum and is no record raises `CorruptJournalError`.
    """
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    magic, checksum, length, batch, kind, flags = _HEADER.unpack_from(data, offset)
    end = start + length
    if magic != MAGIC or end > len(data):
        return None
    body = memoryview(data)[start:end]
    if _checksum(salt, length, batch, kind, flags, body) != checksum:
        return None
    try:
        record: Record = _CODECS[RecordKind(kind)].decode(bytes(body))
    except (ValueError, CodecError) as error:
        raise CorruptJournalError(file, offset, f"unreadable record: {error}") from error
    return Frame(offset, end, batch, bool(flags & LAST_OF_BATCH), record)


def has_batch_from(file: str, salt: int, data: bytes, offset: int, batch: int) -> bool:
    """Whether a whole record of that batch or a later one is anywhere behind the offset."""
    place = data.find(MAGIC, offset)
    while place >= 0:
        frame = read_frame(file, salt, data, place)
        if frame is not None and frame.batch >= batch:
            return True
        place = data.find(MAGIC, place + 1)
    return False
