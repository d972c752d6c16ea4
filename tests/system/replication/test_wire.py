"""Encoding of consensus messages."""

from __future__ import annotations

import unittest

from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from bitternpath.replication.records import Entry, EntryKind, Members
from bitternpath.replication.wire import decode_message, encode_message
from bitternpath.transport.errors import CodecError


class WireTest(unittest.TestCase):
    MESSAGES = (
        RequestVote(3, 10, 2, True, False),
        RequestVoteResponse(3, False, True),
        AppendEntries(
            3,
            9,
            2,
            (Entry(10, 3, EntryKind.COMMAND, b"x" * 300), Entry(11, 3, EntryKind.MEMBERS, b"")),
            8,
            77,
        ),
        AppendEntries(1, 0, 0, (), 0, 0),
        AppendEntriesResponse(3, False, 1 << 40, 5),
        InstallSnapshot(3, 9, 2, Members(("a", "b"), ("c",)), 1000, 128, b"\0\xff", 0xFFFF_FFFF, 6),
        InstallSnapshotResponse(3, 9, 130, False, 6),
        TimeoutNow(9),
    )

    def test_each_message_survives_a_round_trip(self) -> None:
        for message in self.MESSAGES:
            self.assertEqual(decode_message(encode_message(message)), message)

    def test_malformed_bytes_raise_a_codec_error(self) -> None:
        for message in self.MESSAGES:
            data = encode_message(message)
            for size in range(len(data)):
                if data[:size] != data:
                    with self.assertRaises(CodecError):
                        decode_message(data[:size])
        for data in (b"", b"\x07", b"\xff" * 40):
            with self.assertRaises(CodecError):
                decode_message(data)


if __name__ == "__main__":
    unittest.main()
