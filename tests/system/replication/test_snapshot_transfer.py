"""Snapshot transfers in virtual time: they end while commands go on, resume, are checked, and are bounded in
bandwidth."""

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
from tests.system.storage.state_machines import LastCommands, SilentListener

TRIO = Members(("a", "b", "c"))
SMALL_CHUNK = 150  # bytes
BEFORE = 300  # changes that the returning node lacks
EVERY = 0.005  # s between changes while it is brought up: a snapshot every 12 of them
LINK_BYTES_PER_SECOND = 50 << 20
STATE_BYTES = 8 << 20
GROUPS = 6
GROUP_BYTES = 3 << 20  # state of each


class SupersededSnapshotTest(QuietLogsTestCase):
    """A follower returns while commands go on, and snapshots are taken faster than they can be sent."""

    def setUp(self) -> None:
        super().setUp()
        small = patch.object(snapshots, "CHUNK_BYTES", SMALL_CHUNK)
        small.start()
        self.addCleanup(small.stop)

    def return_to_group(self, wiped: bool, seconds: float) -> tuple[bool, int]:
        """Whether it caught up while changes went on, and how many snapshots the leader made meanwhile."""
        world = LoadedGroup()
        node = world.follower()
        world._end(node)
        for _ in range(BEFORE):
            world.change()
            world.run_until(lambda: False, 0.01)
        raft = world.owner().host.groups[GROUP].raft
        made: list[int] = []
        real = raft.log.compact

        def compact(index: int, data: bytes, keep: int) -> None:
            made.append(index)
            real(index, data, keep)

        with patch.object(raft.log, "compact", compact):
            world.changes(EVERY)
            if wiped:
                node.disk.wipe()
                node.wipes += 1
                world._repeat(0.1, world._reconcile_members)
            world._start(node, None)
            caught_up = world.run_until(lambda: world.is_current(node), seconds)
        return caught_up, len(made)

    def test_a_transfer_ends_although_newer_snapshots_are_taken(self) -> None:
        for wiped in (False, True):
            with self.subTest(wiped=wiped):
                caught_up, made = self.return_to_group(wiped, 5.0)
                self.assertTrue(caught_up)
                self.assertGreater(made, 3, "the transfer was not superseded")

    def test_a_build_that_restarts_at_each_snapshot_is_caught(self) -> None:
        """Once a transfer continued with the newest snapshot, whose first chunk the follower lacked."""
        real = Raft.compact

        def compact(self: Raft, index: int, data: bytes, keep: int) -> None:
            real(self, index, data, keep)
            for peer in self.peers.values():
                if peer.outgoing_snapshot is not None:
                    peer.outgoing_snapshot.snapshot = self.snapshot

        with patch.object(Raft, "compact", compact):
            caught_up, made = self.return_to_group(False, 20.0)
        self.assertFalse(caught_up)
        self.assertGreater(made, 50)

    def test_a_build_that_keeps_no_entries_behind_the_snapshot_is_caught(self) -> None:
        with patch.object(Raft, "needed_index", property(lambda self: self.last_index + 1)):
            caught_up, _ = self.return_to_group(False, 20.0)
        self.assertFalse(caught_up)


class FollowerTest(QuietLogsTestCase):
    """One consensus member; the test sends it messages."""

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
        wrong = [Entry(index, 1, EntryKind.COMMAND, b"wrong") for index in range(1, 40)]
        raft = self.raft(wrong)
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
        for term, left in ((2, 10), (3, 0)):
            raft = self.raft(list(entries), term=2)
            raft.receive(1.0, "a", InstallSnapshot(4, 9, term, TRIO, 1, 0, b"s", crc32(b"s"), 1))
            self.assertEqual(len(raft.log.entries), left)

    def test_a_follower_that_writes_a_snapshot_responds_to_heartbeats(self) -> None:
        """Once its responses waited for the disk, and the leader stepped down without them."""
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
        budget = SnapshotRateLimiter(bytes_per_second=1000.0, burst_bytes=200.0)
        due = [budget.reserve(50.0, 100) for _ in range(6)]
        self.assertEqual([round(at - 50.0, 6) for at in due], [0.0, 0.0, 0.0, 0.1, 0.2, 0.3])

    def test_a_pause_allows_one_burst(self) -> None:
        budget = SnapshotRateLimiter(bytes_per_second=1000.0, burst_bytes=200.0)
        for _ in range(3):
            budget.reserve(0.0, 100)
        due = [round(budget.reserve(100.0, 100), 6) for _ in range(4)]
        self.assertEqual(due, [100.0, 100.0, 100.0, 100.1])


class SharedLinkGroup(LoadedGroup):
    """Each node sends over one link of a bounded bandwidth. A large state, and how long commits take."""

    def __init__(self) -> None:
        self.free: dict[str, float] = {}  # when a node's link has sent what it was given
        self.sent: list[tuple[float, int]] = []  # when, and how many bytes of snapshots
        self.took: list[float] = []
        super().__init__()

    def _send(self, sender_node: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        now = self.clock.seconds()
        message = decode_message(body)
        if isinstance(message, InstallSnapshot):
            self.sent.append((now, len(message.chunk)))
        free = max(self.free.get(sender_node, 0.0), now) + len(body) / LINK_BYTES_PER_SECOND
        self.free[sender_node] = free
        name = receiver.partition(".")[0]
        self.clock.callLater(free - now + self.latency, self._deliver, name, sender, receiver, group, body)

    def timed_change(self) -> None:
        """Propose a command, and record how long its commit takes."""
        self.serial += 1
        began = self.clock.seconds()
        result = self.owner().host.propose(GROUP, b"%08d" % self.serial)
        result.addCallback(lambda _: self.took.append(self.clock.seconds() - began))


class SnapshotBandwidthTest(QuietLogsTestCase):
    """One node returns empty under traffic; its snapshot shares the leader's link with the traffic."""

    def bring_up(self, budget: Callable[[], SnapshotRateLimiter]) -> tuple[float, float, float]:
        """Seconds to the end of the transfer, highest bytes in any 0.25 s, the longest time of a commit."""
        bounds = CompactionBounds(size=1 << 20, entries=1 << 20)
        with (
            patch("bitternpath.replication.host.SnapshotRateLimiter", budget),
            patch.object(replica_group, "BOUNDS", bounds),
        ):
            world = SharedLinkGroup()
            node = world.follower()
            world._end(node)
            for part in range(STATE_BYTES >> 18):
                world.propose(world.owner(), b"%08d" % (10**7 + part) + bytes(1 << 18))
                world.run_until(lambda: False, 0.05)
            world.run_until(lambda: False, 1.0)
            node.disk.wipe()
            node.wipes += 1
            world._repeat(0.1, world._reconcile_members)
            world._start(node, None)
            began = world.clock.seconds()
            for _ in range(150):
                world.timed_change()
                world.run_until(lambda: False, 0.01)
        sent = [(at, size) for at, size in world.sent if size and at >= began]
        most = max(sum(size for at, size in sent if start <= at < start + 0.25) for start, _ in sent)
        return max(at for at, _ in sent) - began, most, max(world.took)

    def test_a_transfer_keeps_to_its_rate_and_commits_stay_fast(self) -> None:
        seconds, most, slowest = self.bring_up(SnapshotRateLimiter)
        free_seconds, free_most, free_slowest = self.bring_up(UnlimitedSnapshotRateLimiter)
        print(
            f"\nsnapshot of 8 MiB on a link of 50 MiB/s: bounded {seconds:.2f} s, {most / 2**18:.1f} MiB/s "
            f"at most, slowest commit {slowest * 1000:.1f} ms; unbounded {free_seconds:.2f} s, "
            f"{free_most / 2**18:.1f} MiB/s, {free_slowest * 1000:.1f} ms"
        )
        self.assertLess(seconds, 1.5)
        self.assertLess(most, (16 << 20) * 0.25 + (768 << 10))
        self.assertLess(slowest, 0.03)


class ManySnapshotsTest(QuietLogsTestCase):
    """A machine was away while the entries of many groups were replaced by snapshots. All of them are owned
    by one process, over whose link the traffic of another group goes, too."""

    def bring_up(self, budget: Callable[[], SnapshotRateLimiter]) -> tuple[float, float, float]:
        """As `SnapshotBandwidthTest.bring_up`."""
        bounds = CompactionBounds(size=1 << 20, entries=1 << 20)
        with (
            patch("bitternpath.replication.host.SnapshotRateLimiter", budget),
            patch.object(replica_group, "BOUNDS", bounds),
        ):
            world = SharedLinkGroup()
            node, owner = world.follower(), world.owner()
            extra = [f"extra-{number}" for number in range(GROUPS)]
            for process in [each.process for each in world.nodes.values() if each.process]:
                self.open(world, process, extra)
            while not all(owner.host.is_owner(group) for group in extra):
                for each in world.nodes.values():
                    if each.process is not None and each.process is not owner:
                        for group in extra:
                            each.process.host.transfer_leadership(group, owner.member)
                world.run_until(lambda: False, 0.2)
            world._end(node)
            for _ in range(GROUP_BYTES >> 17):
                for group in extra:
                    owner.host.propose(group, bytes(1 << 17)).addErrback(lambda _: None)
                world.run_until(lambda: False, 0.1)
            world.run_until(lambda: False, 1.0)
            world.sent.clear()
            world._start(node, None)
            assert node.process is not None
            self.open(world, node.process, extra)
            began = world.clock.seconds()
            for _ in range(250):
                world.timed_change()
                world.run_until(lambda: False, 0.01)
        sent = [(at, size) for at, size in world.sent if size]
        self.assertGreater(sum(size for _, size in sent), GROUPS * GROUP_BYTES // 2)
        most = max(sum(size for at, size in sent if start <= at < start + 0.25) for start, _ in sent)
        return max(at for at, _ in sent) - began, most, max(world.took)

    @staticmethod
    def open(world: LoadedGroup, process: Process, groups: list[str]) -> None:
        for group in groups:
            process.host.open_group(group, LastCommands(GROUP_BYTES >> 17), world.founders, SilentListener())

    def test_many_transfers_share_one_budget(self) -> None:
        seconds, most, slowest = self.bring_up(SnapshotRateLimiter)
        free_seconds, free_most, free_slowest = self.bring_up(UnlimitedSnapshotRateLimiter)
        print(
            f"\n{GROUPS} snapshots of {GROUP_BYTES >> 20} MiB on a link of 50 MiB/s: "
            f"bounded {seconds:.2f} s, {most / 2**18:.1f} MiB/s at most, "
            f"slowest commit {slowest * 1000:.1f} ms; unbounded "
            f"{free_seconds:.2f} s, {free_most / 2**18:.1f} MiB/s, {free_slowest * 1000:.1f} ms"
        )
        self.assertLess(most, (16 << 20) * 0.25 + (768 << 10))
        self.assertLess(slowest, free_slowest)
