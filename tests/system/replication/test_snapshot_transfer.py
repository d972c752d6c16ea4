"""Installation of snapshots in virtual time: completion under load, checksums, and rate limiting."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from unittest.mock import patch
from zlib import crc32

from bitternpath.replication import snapshots
from bitternpath.replication.bandwidth import SnapshotRateLimiter, UnlimitedSnapshotRateLimiter
from bitternpath.replication.compaction import CompactionBounds
from bitternpath.replication.consensus import Raft
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
)
from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState, Snapshot
from bitternpath.replication.wire import decode_message
from bitternpath.testing.simulation import replica_group
from bitternpath.testing.simulation.replica_group import GROUP, Process
from tests.system.replication.loaded_group import LoadedGroup
from tests.system.replication.quiet_logs import QuietLogsTestCase
from tests.system.storage.state_machines import LastCommands, NoOpListener

TRIO = Members(("a", "b", "c"))
SMALL_CHUNK = 150  # bytes
MISSED_CHANGES = 300  # changes made while the returning node is down
CHANGE_INTERVAL_S = 0.005  # while the node catches up; the leader takes a snapshot every 12 changes
LINK_BYTES_PER_SECOND = 50 << 20
STATE_BYTES = 8 << 20
GROUPS = 6
GROUP_BYTES = 3 << 20  # state of each group


class SupersededSnapshotTest(QuietLogsTestCase):
    """A follower returns under load, while the leader takes snapshots faster than it can send them."""

    def setUp(self) -> None:
        super().setUp()
        small = patch.object(snapshots, "CHUNK_BYTES", SMALL_CHUNK)
        small.start()
        self.addCleanup(small.stop)

    def return_to_group(self, wiped: bool, seconds: float) -> tuple[bool, int]:
        """Whether the node caught up under load, and how many snapshots the leader took in the meantime."""
        simulation = LoadedGroup()
        node = simulation.follower()
        simulation._end(node)
        for _ in range(MISSED_CHANGES):
            simulation.propose_next()
            simulation.run_until(lambda: False, 0.01)
        raft = simulation.owner().host.groups[GROUP].raft
        snapshot_indexes: list[int] = []
        real = raft.log.compact

        def compact(index: int, data: bytes, keep: int) -> None:
            snapshot_indexes.append(index)
            real(index, data, keep)

        with patch.object(raft.log, "compact", compact):
            simulation.propose_periodically(CHANGE_INTERVAL_S)
            if wiped:
                node.disk.wipe()
                node.wipes += 1
                simulation._repeat(0.1, simulation._reconcile_members)
            simulation._start(node, None)
            caught_up = simulation.run_until(lambda: simulation.is_current(node), seconds)
        return caught_up, len(snapshot_indexes)

    def test_a_snapshot_is_completed_although_newer_ones_are_taken(self) -> None:
        for wiped in (False, True):
            with self.subTest(wiped=wiped):
                caught_up, snapshot_indexes = self.return_to_group(wiped, 5.0)
                self.assertTrue(caught_up)
                self.assertGreater(snapshot_indexes, 3, "the transfer was not superseded")

    def test_a_build_that_restarts_at_each_snapshot_is_caught(self) -> None:
        """Guards against continuing with the newest snapshot, whose first chunks the follower lacks."""
        real = Raft.compact

        def compact(self: Raft, index: int, data: bytes, keep: int) -> None:
            real(self, index, data, keep)
            for peer in self.peers.values():
                if peer.outgoing_snapshot is not None:
                    peer.outgoing_snapshot.snapshot = self.snapshot

        with patch.object(Raft, "compact", compact):
            caught_up, snapshot_indexes = self.return_to_group(False, 20.0)
        self.assertFalse(caught_up)
        self.assertGreater(snapshot_indexes, 50)

    def test_a_build_that_retains_no_entries_behind_the_snapshot_is_caught(self) -> None:
        with patch.object(Raft, "needed_index", property(lambda self: self.last_index + 1)):
            caught_up, _ = self.return_to_group(False, 20.0)
        self.assertFalse(caught_up)


class FollowerTest(QuietLogsTestCase):
    """A single consensus member to which the test sends messages."""

    def raft(self, entries: list[Entry] | None = None, term: int = 1) -> Raft:
        state = PersistentState(term, "", Snapshot(members=TRIO), (0, 0), entries or [])
        return Raft("b", state, Random(1), 0.0)

    def test_a_corrupt_chunk_is_rejected(self) -> None:
        raft = self.raft()
        raft.receive(1.0, "a", InstallSnapshot(2, 9, 2, TRIO, 6, 0, b"abc", crc32(b"abd"), 1))
        self.assertEqual(raft.take_effects(1.0).messages, [("a", InstallSnapshotResponse(2, 9, 0, False, 1))])
        raft.receive(1.0, "a", InstallSnapshot(2, 9, 2, TRIO, 6, 0, b"abc", crc32(b"abc"), 2))
        self.assertEqual(raft.take_effects(1.0).messages, [("a", InstallSnapshotResponse(2, 9, 3, False, 2))])

    def test_a_snapshot_replaces_a_longer_conflicting_log(self) -> None:
        conflicting = [Entry(index, 1, EntryKind.COMMAND, b"wrong") for index in range(1, 40)]
        raft = self.raft(conflicting)
        data = b"state"
        raft.receive(1.0, "a", InstallSnapshot(3, 9, 2, TRIO, len(data), 0, data, crc32(data), 1))
        effects = raft.take_effects(1.0)
        self.assertEqual((raft.log.entries, raft.last_index, raft.log.stable_index), ([], 9, 0))
        self.assertEqual(effects.restore, Snapshot(9, 2, TRIO, data))
        self.assertEqual(effects.messages, [], "nothing is confirmed before it is on disk")
        write = effects.writes[-1]
        self.assertEqual((write.truncate_from, write.compacted_through), (1, (9, 2)))
        raft.write_completed(1.1, write.number)
        self.assertEqual(
            raft.take_effects(1.1).messages, [("a", InstallSnapshotResponse(3, 9, len(data), True, 1))]
        )
        raft.receive(1.2, "a", AppendEntries(3, 9, 2, (Entry(10, 3, EntryKind.COMMAND, b"x"),), 9, 2))
        self.assertEqual(raft.log.entries, [Entry(10, 3, EntryKind.COMMAND, b"x")])

    def test_entries_behind_a_snapshot_stay_only_where_the_log_agrees_with_it(self) -> None:
        entries = [Entry(index, 2, EntryKind.COMMAND, b"x") for index in range(1, 20)]
        for term, expected_entries in ((2, 10), (3, 0)):
            raft = self.raft(list(entries), term=2)
            raft.receive(1.0, "a", InstallSnapshot(4, 9, term, TRIO, 1, 0, b"s", crc32(b"s"), 1))
            self.assertEqual(len(raft.log.entries), expected_entries)

    def test_a_follower_that_writes_a_snapshot_responds_to_heartbeats(self) -> None:
        """Guards against delaying responses until the disk write, which made the leader step down."""
        raft = self.raft()
        install = InstallSnapshot(2, 9, 2, TRIO, 1, 0, b"s", crc32(b"s"), 1)
        raft.receive(1.0, "a", install)
        (write,) = raft.take_effects(1.0).writes
        raft.receive(1.5, "a", InstallSnapshot(2, 9, 2, TRIO, 1, 0, b"", 0, 2))
        self.assertEqual(raft.take_effects(1.5).messages, [("a", InstallSnapshotResponse(2, 9, 1, False, 2))])
        raft.write_completed(2.0, write.number)
        raft.take_effects(2.0)
        raft.receive(2.1, "a", InstallSnapshot(2, 9, 2, TRIO, 1, 0, b"", 0, 3))
        self.assertEqual(raft.take_effects(2.1).messages, [("a", AppendEntriesResponse(2, True, 9, 3))])


class SnapshotRateLimiterTest(unittest.TestCase):
    def test_the_rate_holds_after_a_burst(self) -> None:
        rate_limiter = SnapshotRateLimiter(bytes_per_second=1000.0, burst_bytes=200.0)
        due = [rate_limiter.reserve(50.0, 100) for _ in range(6)]
        self.assertEqual([round(at - 50.0, 6) for at in due], [0.0, 0.0, 0.0, 0.1, 0.2, 0.3])

    def test_idle_time_allows_one_burst(self) -> None:
        rate_limiter = SnapshotRateLimiter(bytes_per_second=1000.0, burst_bytes=200.0)
        for _ in range(3):
            rate_limiter.reserve(0.0, 100)
        due = [round(rate_limiter.reserve(100.0, 100), 6) for _ in range(4)]
        self.assertEqual(due, [100.0, 100.0, 100.0, 100.1])


class SharedLinkGroup(LoadedGroup):
    """A group in which each node has one link with limited bandwidth. Records the duration of commits."""

    def __init__(self) -> None:
        self.link_free_at: dict[str, float] = {}  # by node, when its link has sent all queued data
        self.sent: list[tuple[float, int]] = []  # time and size in bytes of each snapshot chunk
        self.commit_seconds: list[float] = []
        super().__init__()

    def _send(self, sender_node: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        now = self.clock.seconds()
        message = decode_message(body)
        if isinstance(message, InstallSnapshot):
            self.sent.append((now, len(message.chunk)))
        link_free_at = max(self.link_free_at.get(sender_node, 0.0), now) + len(body) / LINK_BYTES_PER_SECOND
        self.link_free_at[sender_node] = link_free_at
        name = receiver.partition(".")[0]
        self.clock.callLater(
            link_free_at - now + self.latency, self._deliver, name, sender, receiver, group, body
        )

    def propose_timed(self) -> None:
        """Propose a command, and record how long its commit takes."""
        self.serial += 1
        started_at = self.clock.seconds()
        result = self.owner().host.propose(GROUP, b"%08d" % self.serial)
        result.addCallback(lambda _: self.commit_seconds.append(self.clock.seconds() - started_at))


class SnapshotBandwidthTest(QuietLogsTestCase):
    """An empty node catches up under load. Its snapshot shares the leader's link with other traffic."""

    def catch_up(self, rate_limiter: Callable[[], SnapshotRateLimiter]) -> tuple[float, float, float]:
        """Seconds until the snapshot was sent, peak bytes in 0.25 s, and seconds of the slowest commit."""
        bounds = CompactionBounds(size=1 << 20, entries=1 << 20)
        with (
            patch("bitternpath.replication.host.SnapshotRateLimiter", rate_limiter),
            patch.object(replica_group, "BOUNDS", bounds),
        ):
            simulation = SharedLinkGroup()
            node = simulation.follower()
            simulation._end(node)
            for number in range(STATE_BYTES >> 18):
                simulation.propose(simulation.owner(), b"%08d" % (10**7 + number) + bytes(1 << 18))
                simulation.run_until(lambda: False, 0.05)
            simulation.run_until(lambda: False, 1.0)
            node.disk.wipe()
            node.wipes += 1
            simulation._repeat(0.1, simulation._reconcile_members)
            simulation._start(node, None)
            started_at = simulation.clock.seconds()
            for _ in range(150):
                simulation.propose_timed()
                simulation.run_until(lambda: False, 0.01)
        sent = [(at, size) for at, size in simulation.sent if size and at >= started_at]
        peak_bytes = max(sum(size for at, size in sent if start <= at < start + 0.25) for start, _ in sent)
        return max(at for at, _ in sent) - started_at, peak_bytes, max(simulation.commit_seconds)

    def test_a_snapshot_is_rate_limited_and_commits_stay_fast(self) -> None:
        seconds, peak_bytes, slowest = self.catch_up(SnapshotRateLimiter)
        unlimited_seconds, unlimited_peak, unlimited_slowest = self.catch_up(UnlimitedSnapshotRateLimiter)
        print(
            f"\nsnapshot of 8 MiB on a link of 50 MiB/s: bounded {seconds:.2f} s, {peak_bytes / 2**18:.1f} "
            f"MiB/s at most, slowest commit {slowest * 1000:.1f} ms; unbounded {unlimited_seconds:.2f} s, "
            f"{unlimited_peak / 2**18:.1f} MiB/s, {unlimited_slowest * 1000:.1f} ms"
        )
        self.assertLess(seconds, 1.5)
        self.assertLess(peak_bytes, (16 << 20) * 0.25 + (768 << 10))
        self.assertLess(slowest, 0.03)


class ManySnapshotsTest(QuietLogsTestCase):
    """A node returns after snapshots have replaced the entries of many groups. All groups are owned by one
    process, whose link also carries the traffic of another group."""

    def catch_up(self, rate_limiter: Callable[[], SnapshotRateLimiter]) -> tuple[float, float, float]:
        """As `SnapshotBandwidthTest.bring_up`."""
        bounds = CompactionBounds(size=1 << 20, entries=1 << 20)
        with (
            patch("bitternpath.replication.host.SnapshotRateLimiter", rate_limiter),
            patch.object(replica_group, "BOUNDS", bounds),
        ):
            simulation = SharedLinkGroup()
            node, owner = simulation.follower(), simulation.owner()
            extra = [f"extra-{number}" for number in range(GROUPS)]
            for process in [each.process for each in simulation.nodes.values() if each.process]:
                self.open(simulation, process, extra)
            while not all(owner.host.is_owner(group) for group in extra):
                for each in simulation.nodes.values():
                    if each.process is not None and each.process is not owner:
                        for group in extra:
                            each.process.host.transfer_leadership(group, owner.member)
                simulation.run_until(lambda: False, 0.2)
            simulation._end(node)
            for _ in range(GROUP_BYTES >> 17):
                for group in extra:
                    owner.host.propose(group, bytes(1 << 17)).addErrback(lambda _: None)
                simulation.run_until(lambda: False, 0.1)
            simulation.run_until(lambda: False, 1.0)
            simulation.sent.clear()
            simulation._start(node, None)
            assert node.process is not None
            self.open(simulation, node.process, extra)
            started_at = simulation.clock.seconds()
            for _ in range(250):
                simulation.propose_timed()
                simulation.run_until(lambda: False, 0.01)
        sent = [(at, size) for at, size in simulation.sent if size]
        self.assertGreater(sum(size for _, size in sent), GROUPS * GROUP_BYTES // 2)
        peak_bytes = max(sum(size for at, size in sent if start <= at < start + 0.25) for start, _ in sent)
        return max(at for at, _ in sent) - started_at, peak_bytes, max(simulation.commit_seconds)

    @staticmethod
    def open(simulation: LoadedGroup, process: Process, groups: list[str]) -> None:
        for group in groups:
            process.host.open_group(
                group, LastCommands(GROUP_BYTES >> 17), simulation.founders, NoOpListener()
            )

    def test_many_snapshots_share_one_rate_limit(self) -> None:
        seconds, peak_bytes, slowest = self.catch_up(SnapshotRateLimiter)
        unlimited_seconds, unlimited_peak, unlimited_slowest = self.catch_up(UnlimitedSnapshotRateLimiter)
        print(
            f"\n{GROUPS} snapshots of {GROUP_BYTES >> 20} MiB on a link of 50 MiB/s: "
            f"bounded {seconds:.2f} s, {peak_bytes / 2**18:.1f} MiB/s at most, "
            f"slowest commit {slowest * 1000:.1f} ms; unbounded {unlimited_seconds:.2f} s, "
            f"{unlimited_peak / 2**18:.1f} MiB/s, {unlimited_slowest * 1000:.1f} ms"
        )
        self.assertLess(peak_bytes, (16 << 20) * 0.25 + (768 << 10))
        self.assertLess(slowest, unlimited_slowest)
