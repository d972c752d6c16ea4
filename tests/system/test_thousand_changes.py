"""Runs of 1,000 changes in virtual time. A node with a fault at any time must catch up and must not lead with
outdated state."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from unittest.mock import patch

import msgspec

from bitternpath.configuration.commands import COMMANDS, ReplaceDocument
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.replication import snapshots
from bitternpath.replication.group import ReplicaGroup
from bitternpath.replication.member import MemberState
from bitternpath.replication.records import Members
from bitternpath.testing.simulation import replica_group
from bitternpath.testing.simulation.replica_checker import Checker, CommandLogMachine, InvariantViolationError
from bitternpath.testing.simulation.replica_group import GROUP, Node
from tests.system.replication.loaded_group import LoadedGroup as Loaded
from tests.system.replication.quiet_logs import QuietLogsTestCase as Quiet

CHANGES = 1000
CHANGE_INTERVAL_S = 0.004  # seconds between changes
FAULT_AFTER_CHANGES = (10, 333, 650, 990)  # number of changes before the fault
OUTAGES_S = (0.05, 1.2)  # seconds until the node is restored
CATCH_UP_SECONDS = 3.0  # time limit after the last change
SMALL_CHUNK = 500  # bytes of a snapshot chunk
FAR_SECONDS = 0.05  # one-way latency to a node in a distant zone

Event = Callable[[Loaded, Node], Callable[[], None]]  # injects a fault and returns a function that ends it


def killed(simulation: Loaded, node: Node) -> Callable[[], None]:
    """The process is killed and restarted."""
    simulation._end(node)
    node.disk.restart()
    return partial(simulation._start, node, simulation.founders)


def without_power(simulation: Loaded, node: Node) -> Callable[[], None]:
    """The machine loses power."""
    simulation._end(node)
    node.disk.lose_power(simulation.random)
    return partial(simulation._start, node, simulation.founders)


def wiped(simulation: Loaded, node: Node) -> Callable[[], None]:
    """The machine loses its disk."""
    simulation._end(node)
    node.disk.wipe()
    node.wipes += 1
    return partial(simulation._start, node, simulation.founders)


def frozen(simulation: Loaded, node: Node) -> Callable[[], None]:
    """The process is frozen and resumes."""
    assert node.process is not None
    node.process.clock.freeze()
    return node.process.clock.thaw


def partitioned(simulation: Loaded, node: Node) -> Callable[[], None]:
    """The node is partitioned."""
    for other in simulation.nodes:
        simulation.blocked |= {(node.name, other), (other, node.name)}
    return simulation.blocked.clear


def returned_as_the_owner_ends(simulation: Loaded, node: Node) -> Callable[[], None]:
    """The node is partitioned, and the owner is killed when it returns with outdated state."""
    partitioned(simulation, node)

    def end() -> None:
        simulation.blocked.clear()
        for each in simulation.nodes.values():
            if each.process is not None and each is not node and each.process.host.is_owner(GROUP):
                simulation.clock.callLater(1.0, killed(simulation, each))

    return end


def joined(simulation: Loaded, node: Node) -> Callable[[], None]:
    """Another node is added."""
    added = simulation.nodes["n3"] = Node("n3")
    return partial(simulation._start, added, None)


class ThousandChanges(Quiet):
    longest_test_s = 25

    def setUp(self) -> None:
        super().setUp()
        patched = patch.object(snapshots, "CHUNK_BYTES", SMALL_CHUNK)
        patched.start()
        self.addCleanup(patched.stop)

    def play(self, event: Event, fault_after: int, outage_s: float, to_owner: bool) -> Loaded:
        """Play one run. Raises `InvariantViolationError`."""
        simulation = Loaded(fault_after)
        simulation.owner()
        simulation._repeat(0.1, simulation._reconcile_members)
        simulation.propose_periodically(CHANGE_INTERVAL_S)
        simulation.run_until(lambda: simulation.serial >= fault_after, 60)
        owner = simulation.owner()
        nodes = [node for node in simulation.nodes.values() if (node.process is owner) == to_owner]
        simulation.clock.callLater(outage_s, event(simulation, nodes[0]))
        if not simulation.run_until(lambda: simulation.serial >= CHANGES, 60):
            raise InvariantViolationError(
                f"no more changes after {simulation.serial}: {simulation._describe()}"
            )
        simulation.interval = 0.0
        simulation.run_until(lambda: False, max(outage_s, 0.2))
        if not simulation.run_until(simulation._agrees, CATCH_UP_SECONDS):
            raise InvariantViolationError(f"no agreement: {simulation._describe()}")
        return simulation

    def play_all(self, event: Event) -> None:
        for fault_after in FAULT_AFTER_CHANGES:
            for outage_s in OUTAGES_S:
                for to_owner in (False, True):
                    with self.subTest(fault_after=fault_after, outage_s=outage_s, to_owner=to_owner):
                        self.play(event, fault_after, outage_s, to_owner)

    def test_a_killed_process_catches_up(self) -> None:
        self.play_all(killed)

    def test_a_machine_that_lost_power_catches_up(self) -> None:
        self.play_all(without_power)

    def test_a_wiped_machine_catches_up(self) -> None:
        self.play_all(wiped)

    def test_a_frozen_process_catches_up(self) -> None:
        self.play_all(frozen)

    def test_a_partitioned_node_catches_up(self) -> None:
        self.play_all(partitioned)

    def test_no_member_leads_with_outdated_state(self) -> None:
        self.play_all(returned_as_the_owner_ends)

    def test_an_added_node_catches_up(self) -> None:
        self.play_all(joined)

    def assert_caught(self, event: Event) -> None:
        for fault_after in FAULT_AFTER_CHANGES:
            for to_owner in (False, True):
                try:
                    self.play(event, fault_after, OUTAGES_S[1], to_owner)
                except InvariantViolationError:
                    return
        self.fail("not caught")

    def test_a_build_whose_votes_ignore_the_log_is_caught(self) -> None:
        """A member with outdated state could then be elected."""

        def always_up_to_date(self: MemberState, request: object) -> bool:
            return True

        with patch("bitternpath.replication.elections.Elections._is_up_to_date", always_up_to_date):
            self.assert_caught(returned_as_the_owner_ends)


class DistantNodeSimulation(Loaded):
    """A group with one distant node, to which many entries are always in flight."""

    far = "n2"

    def _send(self, sender_node: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        name = receiver.partition(".")[0]
        delay = FAR_SECONDS if self.far in (sender_node, name) else 0.001
        self.clock.callLater(delay, self._deliver, name, sender, receiver, group, body)


class FarLearner(Quiet):
    longest_test_s = 25

    def become_voter(self) -> bool:
        """Whether a distant node that lost its disk becomes a voter again within 5 s under constant load."""
        simulation = DistantNodeSimulation()
        simulation.owner()
        node = simulation.nodes[simulation.far]
        if simulation.owner() is node.process:
            assert node.process is not None
            node.process.host.transfer_leadership(GROUP)
            simulation.run_until(lambda: simulation.owner() is not node.process, 2)
        simulation._repeat(0.1, simulation._reconcile_members)
        simulation.propose_periodically(0.0005)
        simulation.run_until(lambda: False, 0.5)
        wiped(simulation, node)()

        def votes() -> bool:
            owner = simulation.owner()
            return node.member in owner.host.members(GROUP).voters

        return simulation.run_until(votes, 5.0)

    def test_a_learner_becomes_a_voter_under_constant_load(self) -> None:
        """With 2,000 changes per second and a round trip of 100 ms, 200 entries are always in flight."""
        self.assertTrue(self.become_voter())

    def test_a_build_that_counts_entries_only_is_caught(self) -> None:
        def within_entries(self: ReplicaGroup, member: str) -> bool:
            peer = self.raft.peers.get(member) if self.raft.has_committed_in_term else None
            if peer is None or not peer.match_index or peer.outgoing_snapshot is not None:
                return False
            return peer.match_index >= self.raft.commit_index - 64

        with patch.object(ReplicaGroup, "caught_up", within_entries):
            self.assertFalse(self.become_voter())


class ConfigurationRegister(CommandLogMachine):
    """A command log that also applies each command as a change to the configuration's state machine."""

    def __init__(self, node: str, checker: Checker) -> None:
        super().__init__(node, checker)
        self.state = ConfigurationState()

    def apply(self, index: int, command: bytes) -> object:
        change = ReplaceDocument(
            self.state.version, command[:8], b'{"version": %d}' % (self.state.version + 1)
        )
        with patch("bitternpath.configuration.state_machine.parse_configuration", _VersionOnly):
            self.state.apply(index, COMMANDS.encode(change))
        return super().apply(index, command)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode([super().snapshot(), self.state.snapshot()])

    def restore(self, data: bytes) -> None:
        commands, state = msgspec.msgpack.decode(data, type=tuple[bytes, bytes])
        super().restore(commands)
        with patch("bitternpath.configuration.state_machine.parse_configuration", _VersionOnly):
            self.state.restore(state)


class _VersionOnly:
    """A configuration reduced to its version."""

    def __init__(self, document: dict[str, int]) -> None:
        self.version = document["version"]


class Digests(Quiet):
    def digests_survive_snapshot(self) -> bool:
        """Whether a node that installed a snapshot knows all changes accepted before it."""
        with (
            patch.object(replica_group, "CommandLogMachine", ConfigurationRegister),
            patch.object(snapshots, "CHUNK_BYTES", SMALL_CHUNK),
        ):
            simulation = Loaded()
            node = simulation.follower()
            simulation._end(node)
            for _ in range(100):
                simulation.propose_next()
                simulation.run_until(lambda: False, 0.01)
            simulation._start(node, simulation.founders)
            self.assertTrue(simulation.run_until(lambda: simulation.is_current(node), 5))
            assert node.process is not None and isinstance(node.process.state_machine, ConfigurationRegister)
            state, commands = node.process.state_machine.state, node.process.state_machine.commands
            return all(state.accepted_version_of(command[:8]) is not None for command in commands)

    def test_changes_are_remembered_through_an_installed_snapshot(self) -> None:
        self.assertTrue(self.digests_survive_snapshot())

    def test_a_build_without_digests_in_the_snapshot_is_caught(self) -> None:
        real = ConfigurationState.snapshot

        def without_digests(self: ConfigurationState) -> bytes:
            accepted, self._accepted = self._accepted, type(self._accepted)()
            data = real(self)
            self._accepted = accepted
            return data

        with patch.object(ConfigurationState, "snapshot", without_digests):
            self.assertFalse(self.digests_survive_snapshot())


class TwoVoterChanges(Quiet):
    def test_a_build_that_changes_two_voters_at_once_is_caught(self) -> None:
        """The majorities of old and new members are disjoint, which allows two owners with different logs."""
        with self.assertRaises(InvariantViolationError):
            for seed in range(40):
                self.play_split(seed)

    def play_split(self, seed: int) -> None:
        simulation = Loaded(seed)
        owner = simulation.owner()
        names = [node.name for node in simulation.nodes.values() if node.process is not owner]
        isolated = owner.member.partition(".")[0]
        for name in ("n3", "n4"):
            simulation.nodes[name] = Node(name)
            simulation._start(simulation.nodes[name], None)
        new_members = Members((owner.member, "n3.0", "n4.0"))
        for name in names:
            for other in (isolated, "n3", "n4"):
                simulation.blocked |= {(name, other), (other, name)}

        def any_change(self: ReplicaGroup, members: Members) -> bool:
            return True

        with patch.object(ReplicaGroup, "_is_safe_change", any_change):
            owner.host.change_members(GROUP, new_members)
            simulation.run_until(lambda: False, 0.5)
            for _ in range(100):
                for node in simulation.nodes.values():
                    if node.process is not None and node.process.host.is_owner(GROUP):
                        simulation.serial += 1
                        simulation.propose(node.process, b"%08d" % simulation.serial)
                simulation.run_until(lambda: False, 0.02)
