"""Encoding of a shard's complete state.

A snapshot is a sequence of Avro records, each preceded by its length (4 bytes, big-endian): a header, then
one record per message in log order. Times are stored as durations relative to the snapshot; the header has
its time of day. The records are stored on disk and sent over the network: the order and the types of their
fields must not change.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from bitternpath.queue.entries import (
    DELAY_CLOCK_MARGIN_S,
    Entry,
    Lease,
    compact,
    elapsed_beyond,
)
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.errors import CodecError
from bitternpath.transport.records import AttemptOutcome, Message, MessageState

_LENGTH = struct.Struct(">I")


@dataclass(frozen=True, slots=True)
class SnapshotHeader:
    """First record of a snapshot."""

    index: int  # log index of the last applied command
    wall_ms: int  # time of day of the snapshot, in milliseconds since 1970
    entries: int  # number of records that follow


@dataclass(frozen=True, slots=True)
class SavedLease:
    """Current lease of a message; fields as in `entries.Lease`."""

    lease_id: str
    holder: str
    duration_ms: int
    pulled: bool


@dataclass(frozen=True, slots=True)
class SavedEnd:
    """An ended lease and the outcome of its attempt."""

    lease_id: str
    outcome: AttemptOutcome


@dataclass(frozen=True, slots=True)
class SavedEntry:
    """One message or tombstone; fields as in `entries.Entry`, with durations for its times."""

    message: Message
    index: int
    state: MessageState
    stamp: str
    attempts: int
    leases_granted: int
    lease: SavedLease | None
    ended_leases: tuple[SavedEnd, ...]
    callback_pending: bool
    age_ms: int  # since its accept
    delay_left_ms: int  # until it is due
    ended_ms: int  # since its end; 0 if it has not ended


@dataclass(frozen=True, slots=True)
class RestoredState:
    """Decoded snapshot with times on the local steady clock."""

    index: int
    entries: tuple[Entry, ...]


_HEADER = RecordCodec(SnapshotHeader)
_ENTRY = RecordCodec(SavedEntry)


def encode_snapshot(index: int, entries: Iterable[Entry], now: float, wall_ms: int) -> bytes:
    """Return the snapshot of a state whose last applied command is at `index`.

    `now` is the local steady time in seconds, `wall_ms` the time of day in milliseconds since 1970.
    """
    ordered = sorted(entries, key=lambda entry: entry.index)
    result = bytearray()
    _write(result, _HEADER.encode(SnapshotHeader(index, wall_ms, len(ordered))))
    for entry in ordered:
        _write(result, _ENTRY.encode(_saved(entry, now)))
    return bytes(result)


def decode_snapshot(data: bytes, now: float, wall_ms: int) -> RestoredState:
    """Decode a snapshot written by `encode_snapshot`.

    Raises:
        CodecError: the data are damaged or incomplete.

    """
    records = _records(data)
    header = _HEADER.decode(next(records, b""))
    entries = tuple(_restored(_ENTRY.decode(record), header.wall_ms, now, wall_ms) for record in records)
    if len(entries) != header.entries:
        raise CodecError(f"snapshot holds {len(entries)} of {header.entries} messages")
    return RestoredState(header.index, entries)


def _write(result: bytearray, record: bytes) -> None:
    result += _LENGTH.pack(len(record))
    result += record


def _records(data: bytes) -> Iterator[memoryview]:
    view = memoryview(data)
    position = 0
    while position < len(data):
        start = position + _LENGTH.size
        if start > len(data):
            raise CodecError("snapshot ends within a length")
        position = start + _LENGTH.unpack_from(data, start - _LENGTH.size)[0]
        if position > len(data):
            raise CodecError("snapshot ends within a record")
        yield view[start:position]


def _saved(entry: Entry, now: float) -> SavedEntry:
    lease = entry.lease
    return SavedEntry(
        message=entry.message,
        index=entry.index,
        state=entry.state,
        stamp=entry.stamp,
        attempts=entry.attempts,
        leases_granted=entry.leases_granted,
        lease=None
        if lease is None
        else SavedLease(lease.lease_id, lease.holder, lease.duration_ms, lease.pulled),
        ended_leases=tuple(SavedEnd(lease_id, outcome) for lease_id, outcome in entry.ended_leases.items()),
        callback_pending=entry.callback_pending,
        age_ms=_milliseconds(now - entry.accepted_at),
        delay_left_ms=_milliseconds(entry.due_at - now),
        ended_ms=_milliseconds(now - entry.ended_at) if entry.ended else 0,
    )


def _restored(saved: SavedEntry, saved_wall_ms: int, now: float, wall_ms: int) -> Entry:
    elapsed_s = elapsed_beyond(DELAY_CLOCK_MARGIN_S, saved_wall_ms, wall_ms)
    lease = saved.lease
    return Entry(
        message=compact(saved.message),
        index=saved.index,
        accepted_at=now - saved.age_ms / 1000,
        due_at=now + max(0.0, saved.delay_left_ms / 1000 - elapsed_s),
        state=saved.state,
        stamp=saved.stamp,
        attempts=saved.attempts,
        leases_granted=saved.leases_granted,
        lease=None if lease is None else Lease(lease.lease_id, lease.holder, lease.duration_ms, lease.pulled),
        ended_leases={end.lease_id: end.outcome for end in saved.ended_leases},
        callback_pending=saved.callback_pending,
        ended_at=now - saved.ended_ms / 1000 if saved.state is not MessageState.QUEUED else 0.0,
    )


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * 1000))
