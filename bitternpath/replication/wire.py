"""Encoding of consensus messages: one byte for the message type, then Avro (`transport.codec`).

The order of the classes in `MESSAGES` defines the type numbers on the wire.
"""

from __future__ import annotations

from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from bitternpath.transport.codec import RecordSet

MESSAGES = RecordSet(
    RequestVote,
    RequestVoteResponse,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    TimeoutNow,
)


def encode_message(message: Message) -> bytes:
    """Encode a consensus message."""
    return MESSAGES.encode(message)


def decode_message(data: bytes | memoryview) -> Message:
    """Decode the output of `encode_message`. Raises `transport.errors.CodecError`."""
    message: Message = MESSAGES.decode(data)
    return message
