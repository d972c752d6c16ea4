"""Encoding of consensus messages: one byte for the kind of message, then Avro (`transport.codec`).

The order of the classes in `MESSAGES` is the numbering on the wire.
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
    """The bytes of a consensus message."""
    return MESSAGES.encode(message)


def decode_message(data: bytes | memoryview) -> Message:
    """The message that `encode_message` turned into `data`; raises `transport.codec.CodecError`."""
    message: Message = MESSAGES.decode(data)
    return message
