"""Stale members: removed ones that return, owners that were frozen, slow followers."""

from __future__ import annotations

from functools import partial
from unittest.mock import patch

from bitternpath.replication.consensus import Raft
from bitternpath.replication.host import SYSTEM_TIMING
from bitternpath.replication.messages import InstallSnapshot, RequestVote, RequestVoteResponse
from bitternpath.replication.records import Members, PersistentState, Snapshot
from bitternpath.replication.wire import decode_message
from bitternpath.testing.simulation.replica_group import GROUP, Node, Process
from tests.system.replication.loaded_group import LoadedGroup
from tests.system.replication.quiet_logs import QuietLogsTestCase
from tests.system.replication.scripted_peers import TRIO, ScriptedHost, result_of

FROZEN_SECONDS = 2.0
FREEZES = 12


class ShrinkingGroup(LoadedGroup):
    """A group whose desired members are given by name."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.desired = list(self.nodes)

    def _reconcile_members(self) -> None:
        members = [self.nodes[name].member for name in self.desired]
        for node in self.nodes.values():
            if node.process is not None:
                node.process.clock.run(partial(self._step_members, node.process, members))


class RemovedMemberTest(QuietLogsTestCase):
    """A member is removed while it is partitioned, doesn't hear of it, and returns."""

    def removed(self) -> tuple[ShrinkingGroup, Node]:
        world = ShrinkingGroup()
        world.owner()
        gone = world.follower()
        world.nodes["n3"] = Node("n3")
        world._start(world.nodes["n3"], None)
        for other in world.nodes:
            world.blocked |= {(gone.name, other), (other, gone.name)}
        world.desired = [name for name in world.nodes if name != gone.name]
        world._repeat(0.1, world._reconcile_members)
        world.changes(0.01)
        wanted = {world.nodes[name].member for name in world.desired}
        self.assertTrue(world.run_until(lambda: set(world.owner().host.members(GROUP).voters) == wanted, 10))
        world.run_until(lambda: False, 1.0)
        assert gone.process is not None
        self.assertIn(gone.member, gone.process.host.members(GROUP).voters, "it doesn't know")
        return world, gone

    def test_it_disrupts_nobody_when_it_returns(self) -> None:
        world, gone = self.removed()
        owner, epoch, made = (
            world.owner(),
            world.owner().host.current_term(GROUP),
            len(world.checker.committed),
        )
        world.blocked.clear()
        world.run_until(lambda: False, 10.0)
        self.assertIs(world.owner(), owner)
        self.assertEqual(owner.host.current_term(GROUP), epoch)
        self.assertGreater(len(world.checker.committed), made + 500)
        assert gone.process is not None
        self.assertEqual(
            gone.process.host.current_term(GROUP), epoch if gone.process.host.leader(GROUP) else 1
        )

    def test_it_is_not_elected_when_the_owner_ends(self) -> None:
        world, gone = self.removed()
        world.blocked.clear()
        for _ in range(3):
            owner = world.owner()
            epoch = owner.host.current_term(GROUP)
            node = next(node for node in world.nodes.values() if node.process is owner)
            world._end(node)
            node.disk.restart()
            self.assertTrue(world.run_until(lambda owner=owner: world.owner() is not owner, 10))  # type: ignore[misc]
            self.assertIsNot(world.owner(), gone.process)
            self.assertLess(world.owner().host.current_term(GROUP), epoch + 4)
            world._start(node, None)
            world.run_until(lambda: False, 1.0)

    def test_a_vote_of_a_non_member_does_not_count(self) -> None:
        raft = Raft("a", PersistentState(snapshot=Snapshot(members=Members(("a", "b", "c")))), _Fixed(), 0.0)  # type: ignore[arg-type]
        raft.tick(5.0)
        raft.take_effects(5.0)
        raft.receive(5.0, "gone", RequestVoteResponse(1, True, True))
        raft.take_effects(5.0)
        self.assertEqual(raft.term, 0)
        raft.receive(5.0, "b", RequestVoteResponse(1, True, True))
        self.assertEqual(raft.term, 1)

    def test_a_pre_vote_raises_no_term(self) -> None:
        raft = Raft(
            "a", PersistentState(term=3, snapshot=Snapshot(members=Members(("a", "b")))), _Fixed(), 0.0
        )  # type: ignore[arg-type]
        raft.receive(5.0, "gone", RequestVote(90, 0, 0, True))
        raft.take_effects(5.0)
        self.assertEqual(raft.term, 3)


class _Fixed:
    """A random source with a constant value."""

    @staticmethod
    def random() -> float:
        return 0.0


class FrozenOwnerTest(QuietLogsTestCase):
    """An owner is frozen while responses are in flight. It resumes, receives them, and is asked for a read;
    another member may have led meanwhile."""

    def read_on_waking(self) -> object:
        """State and result of the read before any response that was sent after the thaw."""
        host = ScriptedHost("a")
        host.open(TRIO)
        host.lead()
        heartbeat = host.run(1.5 * SYSTEM_TIMING.heartbeat_interval)  # a heartbeat, whose answers come late
        self.assertTrue(heartbeat)
        host.clock.rightNow += FROZEN_SECONDS  # no timer has run meanwhile
        host.answer("b", heartbeat)
        barrier = host.host.read_barrier("g")
        host.turn()
        found = result_of(barrier)  # type: ignore[arg-type]
        barrier.addErrback(lambda _: None)
        return (barrier.called, found)

    def test_a_read_is_not_confirmed_by_rounds_from_before_the_freeze(self) -> None:
        self.assertEqual(self.read_on_waking(), (False, None))

    def test_a_build_that_counts_earlier_rounds_is_caught(self) -> None:
        with patch.object(Raft, "request_heartbeat_round", lambda self: self.confirmed_round):
            self.assertEqual(self.read_on_waking(), (True, None))

    def test_a_lease_counts_from_when_a_majority_was_asked(self) -> None:
        host = ScriptedHost("a")
        host.open(TRIO)
        host.lead()
        host.answer("b", host.run(1.5 * SYSTEM_TIMING.heartbeat_interval))
        self.assertTrue(host.host.has_leader_lease("g"))
        heartbeat = host.run(1.1 * SYSTEM_TIMING.heartbeat_interval)
        self.assertTrue(heartbeat)
        host.clock.rightNow += FROZEN_SECONDS
        host.answer("b", heartbeat)
        host.turn()
        self.assertTrue(host.host.has_active_quorum("g"), "by when the answers came")
        self.assertFalse(host.host.has_leader_lease("g"))

    def test_a_lease_ends_without_responses_and_with_a_transfer(self) -> None:
        host = ScriptedHost("a")
        host.open(TRIO)
        host.lead()
        host.answer("b", host.run(1.5 * SYSTEM_TIMING.heartbeat_interval))
        host.run(0.8 * SYSTEM_TIMING.election_timeout)
        self.assertFalse(host.host.has_leader_lease("g"))
        other = ScriptedHost("a")
        other.open(TRIO)
        other.lead()
        other.answer("b", other.run(1.5 * SYSTEM_TIMING.heartbeat_interval))
        self.assertTrue(other.host.transfer_leadership("g", "b"))
        self.assertFalse(other.host.has_leader_lease("g"))

    def test_a_frozen_owner_reads_nothing_stale(self) -> None:
        """The checker compares each read with what was acknowledged before it was requested."""
        for seed in range(FREEZES):
            world = LoadedGroup(seed)
            owner = world.owner()
            world.change()
            world.run_until(lambda: False, 0.1)
            world._barrier(owner)
            owner.clock.freeze()
            self.assertTrue(world.run_until(lambda w=world, o=owner: bool(self.others(w, o)), 10))  # type: ignore[misc]
            for number in range(10):
                world.propose(self.others(world, owner)[0], b"new %d" % number)
                world.run_until(lambda: False, 0.05)
            world.run_until(lambda: False, FROZEN_SECONDS)
            self.assertGreater(world.checker.acknowledged, 9)
            world._barrier(owner)
            owner.clock.thaw()
            world._barrier(owner)
            world.run_until(lambda: False, 2.0)

    @staticmethod
    def others(world: LoadedGroup, owner: Process) -> list[Process]:
        """Owners besides the frozen one."""
        processes = [node.process for node in world.nodes.values() if node.process]
        return [each for each in processes if each is not owner and each.host.is_owner(GROUP)]


class SnapshotCountingGroup(LoadedGroup):
    """Counts the snapshot transfers that are started."""

    snapshots_started = 0

    def _send(self, sender_node: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        message = decode_message(body)
        self.snapshots_started += (
            isinstance(message, InstallSnapshot) and message.offset == 0 and bool(message.chunk)
        )
        super()._send(sender_node, sender, receiver, group, body)


class SlowFollowerTest(QuietLogsTestCase):
    def play(self) -> int:
        """Number of snapshots that are sent to a follower whose disk takes 50 ms a sync, under 200 changes
        a second, of which every 12th makes the owner compact its log."""
        world = SnapshotCountingGroup()
        node = world.follower()
        assert node.process is not None
        node.process.journal_writer.sync_seconds = 0.05
        world.changes(0.005)
        world.run_until(lambda: False, 5.0)
        world.every = 0.0
        self.assertTrue(world.run_until(world._agrees, 2.0))
        return world.snapshots_started

    def test_compaction_does_not_outrun_it(self) -> None:
        self.assertEqual(self.play(), 0)

    def test_a_build_that_keeps_nothing_for_it_is_caught(self) -> None:
        with patch.object(Raft, "needed_index", property(lambda self: self.last_index + 1)):
            self.assertGreater(self.play(), 3)
