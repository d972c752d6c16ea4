"""Stale members: returning removed members, owners that were frozen, and slow followers."""

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
FREEZE_SEEDS = 12


class ShrinkingGroup(LoadedGroup):
    """A group whose desired members are set by name."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.desired = list(self.nodes)

    def _reconcile_members(self) -> None:
        members = [self.nodes[name].member for name in self.desired]
        for node in self.nodes.values():
            if node.process is not None:
                node.process.clock.run(partial(self._step_members, node.process, members))


class RemovedMemberTest(QuietLogsTestCase):
    """A member is removed while it is partitioned, and returns without knowing that."""

    def removed(self) -> tuple[ShrinkingGroup, Node]:
        simulation = ShrinkingGroup()
        simulation.owner()
        removed_node = simulation.follower()
        simulation.nodes["n3"] = Node("n3")
        simulation._start(simulation.nodes["n3"], None)
        for other in simulation.nodes:
            simulation.blocked |= {(removed_node.name, other), (other, removed_node.name)}
        simulation.desired = [name for name in simulation.nodes if name != removed_node.name]
        simulation._repeat(0.1, simulation._reconcile_members)
        simulation.propose_periodically(0.01)
        desired_voters = {simulation.nodes[name].member for name in simulation.desired}
        self.assertTrue(
            simulation.run_until(
                lambda: set(simulation.owner().host.members(GROUP).voters) == desired_voters, 10
            )
        )
        simulation.run_until(lambda: False, 1.0)
        assert removed_node.process is not None
        self.assertIn(
            removed_node.member,
            removed_node.process.host.members(GROUP).voters,
            "knows of its removal",
        )
        return simulation, removed_node

    def test_it_disrupts_no_leader_when_it_returns(self) -> None:
        simulation, removed_node = self.removed()
        owner, epoch, committed_before = (
            simulation.owner(),
            simulation.owner().host.current_term(GROUP),
            len(simulation.checker.committed),
        )
        simulation.blocked.clear()
        simulation.run_until(lambda: False, 10.0)
        self.assertIs(simulation.owner(), owner)
        self.assertEqual(owner.host.current_term(GROUP), epoch)
        self.assertGreater(len(simulation.checker.committed), committed_before + 500)
        assert removed_node.process is not None
        self.assertEqual(
            removed_node.process.host.current_term(GROUP),
            epoch if removed_node.process.host.leader(GROUP) else 1,
        )

    def test_it_is_not_elected_when_the_owner_ends(self) -> None:
        simulation, removed_node = self.removed()
        simulation.blocked.clear()
        for _ in range(3):
            owner = simulation.owner()
            epoch = owner.host.current_term(GROUP)
            node = next(node for node in simulation.nodes.values() if node.process is owner)
            simulation._end(node)
            node.disk.restart()
            self.assertTrue(simulation.run_until(lambda owner=owner: simulation.owner() is not owner, 10))  # type: ignore[misc]
            self.assertIsNot(simulation.owner(), removed_node.process)
            self.assertLess(simulation.owner().host.current_term(GROUP), epoch + 4)
            simulation._start(node, None)
            simulation.run_until(lambda: False, 1.0)

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
    """An owner is frozen while responses are in flight. It resumes, receives them, and gets a read request,
    although another member may have become the leader."""

    def read_after_thaw(self) -> object:
        """State and result of a read before any response that was sent after the owner resumed."""
        host = ScriptedHost("a")
        host.open(TRIO)
        host.lead()
        heartbeat = host.run(1.5 * SYSTEM_TIMING.heartbeat_interval)  # answered late
        self.assertTrue(heartbeat)
        host.clock.rightNow += FROZEN_SECONDS  # without running any timer
        host.answer("b", heartbeat)
        barrier = host.host.read_barrier("g")
        host.turn()
        outcome = result_of(barrier)  # type: ignore[arg-type]
        barrier.addErrback(lambda _: None)
        return (barrier.called, outcome)

    def test_a_read_is_not_confirmed_by_rounds_from_before_the_freeze(self) -> None:
        self.assertEqual(self.read_after_thaw(), (False, None))

    def test_a_build_that_counts_earlier_rounds_is_caught(self) -> None:
        with patch.object(Raft, "request_heartbeat_round", lambda self: self.confirmed_round):
            self.assertEqual(self.read_after_thaw(), (True, None))

    def test_a_lease_counts_from_when_a_majority_was_contacted(self) -> None:
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
        self.assertTrue(host.host.has_active_quorum("g"), "measured from the arrival of the responses")
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
        """The checker compares each read with the commands acknowledged before it was requested."""
        for seed in range(FREEZE_SEEDS):
            simulation = LoadedGroup(seed)
            owner = simulation.owner()
            simulation.propose_next()
            simulation.run_until(lambda: False, 0.1)
            simulation._barrier(owner)
            owner.clock.freeze()
            self.assertTrue(simulation.run_until(lambda w=simulation, o=owner: bool(self.others(w, o)), 10))  # type: ignore[misc]
            for number in range(10):
                simulation.propose(self.others(simulation, owner)[0], b"new %d" % number)
                simulation.run_until(lambda: False, 0.05)
            simulation.run_until(lambda: False, FROZEN_SECONDS)
            self.assertGreater(simulation.checker.acknowledged, 9)
            simulation._barrier(owner)
            owner.clock.thaw()
            simulation._barrier(owner)
            simulation.run_until(lambda: False, 2.0)

    @staticmethod
    def others(simulation: LoadedGroup, owner: Process) -> list[Process]:
        """Owners besides the frozen one."""
        processes = [node.process for node in simulation.nodes.values() if node.process]
        return [each for each in processes if each is not owner and each.host.is_owner(GROUP)]


class SnapshotCountingGroup(LoadedGroup):
    """Counts the snapshots that a leader starts to send."""

    snapshots_started = 0

    def _send(self, sender_node: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        message = decode_message(body)
        self.snapshots_started += (
            isinstance(message, InstallSnapshot) and message.offset == 0 and bool(message.chunk)
        )
        super()._send(sender_node, sender, receiver, group, body)


class SlowFollowerTest(QuietLogsTestCase):
    def play(self) -> int:
        """Number of snapshots sent to a follower whose disk needs 50 ms per sync, at 200 changes per second,
        where the owner compacts its log after every 12th change."""
        simulation = SnapshotCountingGroup()
        node = simulation.follower()
        assert node.process is not None
        node.process.journal_writer.sync_seconds = 0.05
        simulation.propose_periodically(0.005)
        simulation.run_until(lambda: False, 5.0)
        simulation.interval = 0.0
        self.assertTrue(simulation.run_until(simulation._agrees, 2.0))
        return simulation.snapshots_started

    def test_compaction_does_not_outrun_it(self) -> None:
        self.assertEqual(self.play(), 0)

    def test_a_build_that_retains_no_entries_for_it_is_caught(self) -> None:
        with patch.object(Raft, "needed_index", property(lambda self: self.last_index + 1)):
            self.assertGreater(self.play(), 3)
