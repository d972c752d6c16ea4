"""Runs of 1,000 changes in virtual time: whatever happens to a node at any moment of them, it catches up, and
nobody leads with old state."""

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
EVERY = 0.004  # s between changes
MOMENTS = (10, 333, 650, 990)  # after so many changes something happens
AWAY = (0.05, 1.2)  # s until the node is back
CATCH_UP_SECONDS = 3.0  # after the last change
SMALL_PIECE = 500  # bytes of a snapshot in one message
FAR_SECONDS = 0.05  # one way to a node in a far zone

Event = Callable[[Loaded, Node], Callable[[], None]]  # what happens; it gives what ends it


def killed(world: Loaded, node: Node) -> Callable[[], None]:
    """The process ends and comes back."""
    world._end(node)
    node.disk.restart()
    return partial(world._start, node, world.founders)


def without_power(world: Loaded, node: Node) -> Callable[[], None]:
    """The machine loses power."""
    world._end(node)
    node.disk.lose_power(world.random)
    return partial(world._start, node, world.founders)


def wiped(world: Loaded, node: Node) -> Callable[[], None]:
    """The machine loses its disk."""
    world._end(node)
    node.disk.wipe()
    node.wipes += 1
    return partial(world._start, node, world.founders)


def frozen(world: Loaded, node: Node) -> Callable[[], None]:
    """The process stands still, and goes on."""
    assert node.process is not None
    node.process.clock.freeze()
    return node.process.clock.thaw


def cut_off(world: Loaded, node: Node) -> Callable[[], None]:
    """Nothing comes from the node, or goes there."""
    for other in world.nodes:
        world.blocked |= {(node.name, other), (other, node.name)}
    return world.blocked.clear


def back_as_the_owner_ends(world: Loaded, node: Node) -> Callable[[], None]:
    """The node is cut off, and can stand for election with its old state in the moment of its return."""
    cut_off(world, node)

    def end() -> None:
        world.blocked.clear()
        for each in world.nodes.values():
            if each.process is not None and each is not node and each.process.host.is_owner(GROUP):
                world.clock.callLater(1.0, killed(world, each))

    return end


def joined(world: Loaded, node: Node) -> Callable[[], None]:
    """Another node is added."""
    added = world.nodes["n3"] = Node("n3")
    return partial(world._start, added, None)


class ThousandChanges(Quiet):
    longest_test_s = 25

    def setUp(self) -> None:
        super().setUp()
        small = patch.object(snapshots, "CHUNK_BYTES", SMALL_PIECE)
        small.start()
        self.addCleanup(small.stop)

    def play(self, event: Event, moment: int, away: float, to_owner: bool) -> Loaded:
        """One run; raises `InvariantViolationError`."""
        world = Loaded(moment)
        world.owner()
        world._repeat(0.1, world._reconcile_members)
        world.changes(EVERY)
        world.run_until(lambda: world.serial >= moment, 60)
        leads = world.owner()
        nodes = [node for node in world.nodes.values() if (node.process is leads) == to_owner]
        world.clock.callLater(away, event(world, nodes[0]))
        if not world.run_until(lambda: world.serial >= CHANGES, 60):
            raise InvariantViolationError(f"no more changes after {world.serial}: {world._describe()}")
        world.every = 0.0
        world.run_until(lambda: False, max(away, 0.2))
        if not world.run_until(world._agrees, CATCH_UP_SECONDS):
            raise InvariantViolationError(f"no agreement: {world._describe()}")
        return world

    def play_all(self, event: Event) -> None:
        for moment in MOMENTS:
            for away in AWAY:
                for to_owner in (False, True):
                    with self.subTest(moment=moment, away=away, to_owner=to_owner):
                        self.play(event, moment, away, to_owner)

    def test_a_killed_process_catches_up(self) -> None:
        self.play_all(killed)

    def test_a_machine_that_lost_power_catches_up(self) -> None:
        self.play_all(without_power)

    def test_a_wiped_machine_catches_up(self) -> None:
        self.play_all(wiped)

    def test_a_frozen_process_catches_up(self) -> None:
        self.play_all(frozen)

    def test_a_node_that_was_cut_off_catches_up(self) -> None:
        self.play_all(cut_off)

    def test_nobody_leads_with_old_state(self) -> None:
        self.play_all(back_as_the_owner_ends)

    def test_an_added_node_catches_up(self) -> None:
        self.play_all(joined)

    def assert_caught(self, event: Event) -> None:
        for moment in MOMENTS:
            for to_owner in (False, True):
                try:
                    self.play(event, moment, AWAY[1], to_owner)
                except InvariantViolationError:
                    return
        self.fail("not caught")

    def test_a_build_whose_votes_look_at_no_log_is_caught(self) -> None:
        """Who leads then may have old state."""

        def hasty(self: MemberState, asking: object) -> bool:
            return True

        with patch("bitternpath.replication.elections.Elections._is_up_to_date", hasty):
            self.assert_caught(back_as_the_owner_ends)


class Distant(Loaded):
    """One node is far from the others: what is on its way there is always more than a few entries."""

    far = "n2"

    def _send(self, sender_node: str, sender: str, receiver: str, group: str, body: bytes) -> None:
        name = receiver.partition(".")[0]
        delay = FAR_SECONDS if self.far in (sender_node, name) else 0.001
        self.clock.callLater(delay, self._deliver, name, sender, receiver, group, body)


class FarLearner(Quiet):
    longest_test_s = 25

    def become_voter(self) -> bool:
        """Whether a far node that lost its disk votes again within 5 s of unbroken traffic."""
        world = Distant()
        world.owner()
        node = world.nodes[world.far]
        if world.owner() is node.process:
            assert node.process is not None
            node.process.host.transfer_leadership(GROUP)
            world.run_until(lambda: world.owner() is not node.process, 2)
        world._repeat(0.1, world._reconcile_members)
        world.changes(0.0005)
        world.run_until(lambda: False, 0.5)
        wiped(world, node)()

        def votes() -> bool:
            owner = world.owner()
            return node.member in owner.host.members(GROUP).voters

        return world.run_until(votes, 5.0)

    def test_a_learner_votes_though_traffic_never_rests(self) -> None:
        """2,000 changes a second over 100 ms there and back: 200 are always on the way."""
        self.assertTrue(self.become_voter())

    def test_a_build_that_counts_entries_only_is_caught(self) -> None:
        def counted(self: ReplicaGroup, member: str) -> bool:
            peer = self.raft.peers.get(member) if self.raft.has_committed_in_term else None
            if peer is None or not peer.match_index or peer.outgoing_snapshot is not None:
                return False
            return peer.match_index >= self.raft.commit_index - 64

        with patch.object(ReplicaGroup, "caught_up", counted):
            self.assertFalse(self.become_voter())


class OrdersRegister(CommandLogMachine):
    """The commands, each of which is also an operator's order to the configuration's state machine."""

    def __init__(self, node: str, checker: Checker) -> None:
        super().__init__(node, checker)
        self.state = ConfigurationState()

    def apply(self, index: int, command: bytes) -> object:
        order = ReplaceDocument(
            self.state.version, command[:8], b'{"version": %d}' % (self.state.version + 1)
        )
        with patch("bitternpath.configuration.state_machine.parse_configuration", _numbered):
            self.state.apply(index, COMMANDS.encode(order))
        return super().apply(index, command)

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode([super().snapshot(), self.state.snapshot()])

    def restore(self, data: bytes) -> None:
        commands, state = msgspec.msgpack.decode(data, type=tuple[bytes, bytes])
        super().restore(commands)
        with patch("bitternpath.configuration.state_machine.parse_configuration", _numbered):
            self.state.restore(state)


class _numbered:
    """In place of a whole configuration: its version."""

    def __init__(self, document: dict[str, int]) -> None:
        self.version = document["version"]


class Digests(Quiet):
    def remembered(self) -> bool:
        """Whether a node that was brought up by a snapshot knows all orders that were accepted before."""
        with (
            patch.object(replica_group, "CommandLogMachine", OrdersRegister),
            patch.object(snapshots, "CHUNK_BYTES", SMALL_PIECE),
        ):
            world = Loaded()
            node = world.follower()
            world._end(node)
            for _ in range(100):
                world.change()
                world.run_until(lambda: False, 0.01)
            world._start(node, world.founders)
            self.assertTrue(world.run_until(lambda: world.is_current(node), 5))
            assert node.process is not None and isinstance(node.process.register, OrdersRegister)
            state, commands = node.process.register.state, node.process.register.commands
            return all(state.accepted_version_of(command[:8]) is not None for command in commands)

    def test_orders_are_remembered_through_an_installed_snapshot(self) -> None:
        self.assertTrue(self.remembered())

    def test_a_build_without_digests_in_the_snapshot_is_caught(self) -> None:
        real = ConfigurationState.snapshot

        def forgetful(self: ConfigurationState) -> bytes:
            accepted, self._accepted = self._accepted, type(self._accepted)()
            data = real(self)
            self._accepted = accepted
            return data

        with patch.object(ConfigurationState, "snapshot", forgetful):
            self.assertFalse(self.remembered())


class TwoAtOnce(Quiet):
    def test_a_build_that_changes_two_voters_at_once_is_caught(self) -> None:
        """The others' majority and the new members' have nobody in common: two owners of different logs."""
        with self.assertRaises(InvariantViolationError):
            for seed in range(40):
                self.split(seed)

    def split(self, seed: int) -> None:
        world = Loaded(seed)
        owner = world.owner()
        names = [node.name for node in world.nodes.values() if node.process is not owner]
        alone = owner.member.partition(".")[0]
        for name in ("n3", "n4"):
            world.nodes[name] = Node(name)
            world._start(world.nodes[name], None)
        new = Members((owner.member, "n3.0", "n4.0"))
        for name in names:
            for other in (alone, "n3", "n4"):
                world.blocked |= {(name, other), (other, name)}

        def any_change(self: ReplicaGroup, members: Members) -> bool:
            return True

        with patch.object(ReplicaGroup, "_is_safe_change", any_change):
            owner.host.change_members(GROUP, new)
            world.run_until(lambda: False, 0.5)
            for _ in range(100):
                for node in world.nodes.values():
                    if node.process is not None and node.process.host.is_owner(GROUP):
                        world.serial += 1
                        world.propose(node.process, b"%08d" % world.serial)
                world.run_until(lambda: False, 0.02)
