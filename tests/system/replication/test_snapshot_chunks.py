"""Snapshots sent in chunks: lost chunks, restarts, and confirmation."""

from __future__ import annotations

import unittest
from random import Random
from unittest.mock import patch

from bitternpath.replication import snapshots
from bitternpath.replication.compaction import CompactionBounds
from bitternpath.replication.messages import (
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from tests.system.replication.quiet_logs import QuietLogsTestCase
from tests.system.replication.scripted_peers import TRIO, ScriptedHost


class SnapshotChunksTest(QuietLogsTestCase):
    def setUp(self) -> None:
        super().setUp()
        patched = patch.object(snapshots, "CHUNK_BYTES", 100)
        patched.start()
        self.addCleanup(patched.stop)
        self.host = ScriptedHost("a", bounds=CompactionBounds(size=1 << 20, entries=20, entries_to_keep=0))
        self.host.open(TRIO)
        self.host.lead()
        for i in range(100):
            self.host.host.propose("g", b"command %d" % i)
            self.host.answer("b", self.host.turn())
            self.host.run(0.003)

    def play(self, follower: ScriptedHost, seconds: float, lost: frozenset[int] = frozenset()) -> int:
        """Exchange messages except the chunks numbered in `lost`; returns the number of chunks with data."""
        chunks = 0
        for _ in range(round(seconds / 0.002)):
            sent = self.host.run(0.002)
            self.host.answer("b", sent)
            for receiver, message in sent:
                if receiver != "c":
                    continue
                if isinstance(message, InstallSnapshot) and message.chunk:
                    chunks += 1
                    if chunks in lost:
                        continue
                follower.receive("a", message)
            for _, answer in follower.run(0.002):
                if isinstance(answer, AppendEntriesResponse | InstallSnapshotResponse):
                    self.host.receive("c", answer)
        return chunks

    def follower(self) -> ScriptedHost:
        follower = ScriptedHost("c")
        follower.open(TRIO)
        return follower

    @property
    def offset(self) -> int:
        """Offset of the last chunk sent."""
        outgoing_snapshot = self.host.host.groups["g"].raft.peers["c"].outgoing_snapshot
        return outgoing_snapshot.offset if outgoing_snapshot is not None else 0

    @property
    def size(self) -> int:
        return len(self.host.host.groups["g"].raft.snapshot.data)

    def test_each_chunk_is_sent_once_and_the_rest_as_entries(self) -> None:
        follower = self.follower()
        chunks = self.play(follower, 2)
        self.assertEqual(chunks, -(-self.size // 100))
        self.assertEqual(follower.machine.commands, self.host.machine.commands)

    def test_a_lost_chunk_is_sent_again(self) -> None:
        follower = self.follower()
        chunks = self.play(follower, 3, lost=frozenset({1, 4}))
        self.assertEqual(chunks, -(-self.size // 100) + 2)
        self.assertEqual(follower.machine.commands, self.host.machine.commands)

    def test_a_follower_restarted_during_installation_gets_the_complete_snapshot(self) -> None:
        """Guards against the leader repeating the old offset forever after the follower lost its chunks."""
        first = self.follower()
        while self.offset < 300:
            self.play(first, 0.002)
        restarted = self.follower()
        self.play(restarted, 3)
        self.assertEqual(restarted.machine.commands, self.host.machine.commands)

    def test_the_snapshot_is_on_disk_before_it_is_confirmed(self) -> None:
        follower = self.follower()
        self.play(follower, 2)
        follower.disk.lose_power(Random(1))
        restarted = ScriptedHost("c", follower.disk)
        restarted.open(None)
        self.assertGreater(len(restarted.machine.commands), 50)
        self.assertEqual(restarted.host.members("g"), TRIO)


if __name__ == "__main__":
    unittest.main()
