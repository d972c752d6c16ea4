"""The steps of a group's members, what fences them, and replicas that are given up and come again."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any, cast

import msgspec
from twisted.internet.task import Clock

from bitternpath.replication.group import GroupApplication, GroupOptions, MemberIdentity, ReplicaGroup
from bitternpath.replication.host import SYSTEM_TIMING, HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.replication.member import RaftOptions
from bitternpath.replication.member_changes import DesiredMembers, MemberChanges
from bitternpath.replication.messages import AppendEntries, RequestVote, RequestVoteResponse
from bitternpath.replication.reconfiguration import next_members
from bitternpath.replication.records import Entry, EntryKind, Members, PersistentState, Snapshot
from bitternpath.replication.wire import decode_message, encode_message
from bitternpath.roles.replica_garbage_collection import ReplicaGarbageCollector
from bitternpath.storage.journal import Journal
from bitternpath.storage.segments import SegmentLog
from bitternpath.testing.simulation.file_system import SimulatedFileSystem
from bitternpath.testing.simulation.journal_writer import VirtualTimeJournalWriter
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress, MembershipReport


def members(voters: str, learners: str = "", generation: int = 0) -> Members:
    """By letters; a capital letter is the same node with another disk."""
    return Members(ids(voters), ids(learners), generation)


def ids(names: str) -> tuple[str, ...]:
    return tuple(f"{name.lower()}/{name}" for name in names)


class StepsTest(unittest.TestCase):
    """Who leaves and joins, and in which order."""

    CASES = (
        # current, desired, caught up, silent, next
        ("a lost disk leaves as its successor learns", "abc", "", "abC", "", "c", "ab", "C"),
        ("the successor votes once it has caught up", "ab", "C", "abC", "C", "", "abC", ""),
        ("of two lost disks one leaves first", "abcde", "", "abcDE", "", "", "abce", "DE"),
        ("the other when four vote would be too few", "abce", "DE", "abcDE", "", "", None, ""),
        ("the other once there are five again", "abceD", "E", "abcDE", "", "", "abcD", "E"),
        ("of two lost disks of three none but one leaves", "ab", "BC", "aBC", "", "", None, ""),
        ("a silent voter stays until another votes", "abc", "", "abd", "", "c", "abc", "d"),
        ("a silent voter goes first", "abcxy", "", "abd", "", "y", "abcx", "d"),
        ("a silent voter doesn't wait for a slow learner", "abcxd", "e", "abde", "", "c", "abxd", "e"),
        ("a voter that is heard waits for all", "abcxd", "e", "abde", "", "", None, ""),
        ("then it goes", "abcde", "", "abde", "", "", "abde", ""),
        ("the owner leaves last", "abcd", "", "cd", "", "", "acd", ""),
        ("a single voter stays", "a", "", "A", "", "", "a", "A"),
        ("learners change with voters", "abc", "xy", "abC", "", "", "ab", "C"),
    )

    def test_steps(self) -> None:
        for label, voters, learners, desired, caught_up, silent, then, learning in self.CASES:
            with self.subTest(label):
                found = next_members(
                    members(voters, learners),
                    ids(desired),
                    ids(caught_up).__contains__,
                    silent=ids(silent).__contains__,
                    owner="a/a",
                )
                self.assertEqual(found, None if then is None else members(then, learning))

    def test_a_group_ends_with_its_desired_members_and_never_with_fewer_than_2f_voters(self) -> None:
        random = Random(37)
        for _ in range(300):
            tolerated = random.choice([1, 2])
            wanted = 2 * tolerated + 1
            names = "abcdefghij"
            current = members("".join(random.sample(names, wanted)))
            chosen = random.sample(names, wanted)
            desired = ids("".join(name.upper() if random.random() < 0.3 else name for name in chosen))
            for _ in range(100):
                changed = next_members(
                    current,
                    desired,
                    lambda name: random.random() < 0.5,
                    silent=lambda name: random.random() < 0.5,
                    owner=current.voters[0],
                )
                if changed is not None:
                    self.assertLessEqual(len(set(changed.voters) ^ set(current.voters)), 1)
                    self.assertGreaterEqual(len(changed.voters), 2 * tolerated)
                    current = changed
                elif set(current.voters) == set(desired):
                    break
            self.assertEqual((set(current.voters), current.learners), (set(desired), ()))

    def test_an_older_placement_changes_nothing(self) -> None:
        current = members("abd", generation=5)
        for generation, expected in ((4, None), (5, members("abd", "c", 5)), (6, members("abd", "c", 6))):
            found = next_members(current, ids("abc"), lambda name: False, generation=generation)
            self.assertEqual(found, expected)

    def test_a_newer_placement_is_noted_also_where_nobody_changes(self) -> None:
        found = next_members(members("abc", generation=1), ids("abc"), lambda name: False, generation=2)
        self.assertEqual(found, members("abc", generation=2))


class Machine:
    """A state machine without a state, and a listener."""

    def apply(self, index: int, command: bytes) -> object:
        return None

    def snapshot(self) -> bytes:
        return b"state"

    def restore(self, data: bytes) -> None:
        """Nothing to take."""

    def became_owner(self, epoch: int) -> None:
        """No matter."""

    def lost_ownership(self) -> None:
        """No matter."""

    def applied(self, index: int, command: bytes, result: object) -> None:
        """No matter."""


class Host:
    """A replica host `c/c` with a disk that outlives it."""

    def __init__(self, disk: SimulatedFileSystem | None = None) -> None:
        self.disk = disk or SimulatedFileSystem()
        self.clock = Clock()
        self.sent: list[tuple[str, Any]] = []
        log = SegmentLog(self.disk, lambda: 7, 400, 200)
        self.journal = Journal(log, VirtualTimeJournalWriter(self.clock, self.disk, 0.001))
        self.host = ReplicaHost(
            self.clock,
            "c/c",
            self.journal,
            MessageTransport(
                lambda group, receiver, body: self.sent.append((receiver, decode_message(body)))
            ),
            HostOptions(Random(1)),
        )

    def open(self, founders: Members | None) -> None:
        machine = Machine()
        self.host.open_group("g", machine, founders, machine)

    def receive(self, sender: str, message: Any) -> list[Any]:
        """What is answered to that sender."""
        self.sent.clear()
        self.host.receive("g", sender, encode_message(message))
        for _ in range(10):
            self.clock.advance(0.002)
        return [answer for receiver, answer in self.sent if receiver == sender]

    def restarted(self) -> Host:
        self.host.stop()
        return Host(self.disk)


def member_entry(index: int, term: int, named: Members) -> Entry:
    return Entry(index, term, EntryKind.MEMBERS, msgspec.msgpack.encode(named))


class GivenUpTest(unittest.TestCase):
    """A replica that was given up and is to take part again, on the same disk."""

    OLD = members("abc", generation=1)

    def given_up(self) -> Host:
        host = Host()
        host.open(self.OLD)
        host.receive(
            "a/a", AppendEntries(3, 0, 0, (member_entry(1, 3, self.OLD), Entry(2, 3, 1, b"x")), 2, 1)
        )
        host.host.close_group("g", 2)
        host.clock.advance(0.1)
        return host

    def votes(self, host: Host) -> list[Any]:
        """For an heir that still takes it for a voter: no leader stands in its way."""
        return host.receive("a/a", RequestVote(9, 2, 3, False, leadership_transfer=True))

    def test_it_votes_for_nobody_until_it_is_named_again(self) -> None:
        """Else `a`, cut off since `c` was a voter, leads with `c` while `b` and `d` go on."""
        for restart in (False, True):
            with self.subTest(restart=restart):
                host = self.given_up()
                if restart:
                    host = host.restarted()
                host.open(None)
                self.assertEqual(self.votes(host), [])
                host.receive("b/b", AppendEntries(4, 0, 0, (member_entry(1, 3, self.OLD),), 1, 1))
                self.assertEqual(host.host.members("g"), self.OLD)  # it has begun to catch up
                if restart:
                    host = host.restarted()
                    host.open(None)
                self.assertEqual(self.votes(host), [])

    def test_it_votes_again_as_a_member_of_a_later_placement(self) -> None:
        host = self.given_up()
        host.open(None)
        named = members("bdc", generation=3)
        host.receive(
            "b/b", AppendEntries(4, 0, 0, (member_entry(1, 3, self.OLD), member_entry(2, 4, named)), 2, 1)
        )
        self.assertEqual(
            host.receive("b/b", RequestVote(9, 2, 4, False, leadership_transfer=True)),
            [RequestVoteResponse(9, pre_vote=False, granted=True)],
        )
        again = host.restarted()
        again.open(None)
        self.assertEqual(
            again.receive("d/d", RequestVote(10, 2, 4, False, leadership_transfer=True)),
            [RequestVoteResponse(10, pre_vote=False, granted=True)],
        )

    def test_that_it_was_given_up_outlives_checkpoints_after_it_joined_again(self) -> None:
        host = self.given_up()
        host.open(None)
        for index in range(1, 40):
            entry = Entry(index, 4, 1, bytes(60))
            host.receive("b/b", AppendEntries(4, index - 1, 4 if index > 1 else 0, (entry,), index, 1))
        self.assertFalse(any(name.endswith("000000000001.wal") for name in host.disk.paths()))
        again = host.restarted()
        self.assertEqual(again.journal.tombstone_generation("g"), 2)
        self.assertEqual(again.journal.groups(), ("g",))

    def test_it_founds_nothing(self) -> None:
        host = self.given_up().restarted()
        host.open(self.OLD)
        self.assertEqual(host.host.members("g"), Members())


class FenceTest(unittest.TestCase):
    """The group itself refuses members of an older placement."""

    def test_generations_never_fall(self) -> None:
        machine = Machine()
        kept = PersistentState(snapshot=Snapshot(members=members("a", generation=5)))
        group = ReplicaGroup(
            MemberIdentity("a/a", kept),
            GroupApplication(machine, machine),
            Random(1),
            0.0,
            GroupOptions(RaftOptions(SYSTEM_TIMING)),
        )
        now = 0.0
        for _ in range(100):
            now += 0.05
            group.raft.tick(now)
            for write in group.flush(now).writes:
                group.raft.write_completed(now, write.number)
        self.assertTrue(group.is_owner)
        self.assertFalse(group.change_members(now, members("a", "b", 4)))
        self.assertTrue(group.change_members(now, members("a", "b", 6)))


class OwnerHost:
    """A host that owns a group, as `MemberChanges` sees it."""

    member_id = "a/a"

    def __init__(self, current: Members) -> None:
        self.current = current
        self.open_change = False
        self.caught: set[str] = set()
        self.handed_to: list[str] = []

    def is_owner(self, group: str) -> bool:
        return True

    def members(self, group: str) -> Members:
        return self.current

    def committed_members(self, group: str) -> Members | None:
        return None if self.open_change else self.current

    def caught_up(self, group: str, member: str) -> bool:
        return member in self.caught

    def unresponsive_for(self, group: str, member: str) -> float:
        return 0.0

    def transfer_leadership(self, group: str, to: str) -> bool:
        self.handed_to.append(to)
        return to == "c/c"

    def change_members(self, group: str, named: Members) -> bool:
        self.current, self.open_change = named, True
        return True


class ChangesTest(unittest.TestCase):
    """Steps follow what has happened."""

    def test_one_change_at_a_time_and_each_as_soon_as_it_may_be(self) -> None:
        host = OwnerHost(members("abc", generation=1))
        committed: list[Members] = []
        changes = MemberChanges(cast(Any, host), lambda group: committed.append(host.current))
        changes.set_desired("g", ids("abC"), 2)
        self.assertEqual(host.current, members("ab", "C", 2))
        host.caught.add("c/C")
        changes.reconcile("g")
        self.assertEqual(host.current, members("ab", "C", 2))  # the one before isn't committed
        host.open_change = False
        changes.reconcile("g")
        self.assertEqual(host.current, members("abC", "", 2))
        host.open_change = False
        committed.clear()
        changes.reconcile("g")
        self.assertEqual(committed, [members("abC", "", 2)])

    def test_an_owner_that_is_to_leave_passes_ownership_on_first(self) -> None:
        host = OwnerHost(members("abcd", generation=1))
        changes = MemberChanges(cast(Any, host))
        changes.set_desired("g", ids("bcd"), 2)
        self.assertEqual(host.handed_to, ["b/b", "c/c"])
        self.assertEqual(host.current, members("abcd", generation=1))

    def test_desired_members_are_kept_by_generation(self) -> None:
        self.assertEqual(DesiredMembers(ids("a"), 3).generation, 3)
        host = OwnerHost(members("abc", generation=7))
        changes = MemberChanges(cast(Any, host))
        changes.set_desired("g", ids("abd"), 6)  # this owner hasn't heard of the newest placement
        self.assertEqual(host.current, members("abc", generation=7))


class ClosingHost:
    """A host with replicas, as `ReplicaGarbageCollector` sees it."""

    member_id = "c/c"

    def __init__(self, known: Members) -> None:
        self.known = known
        self.groups = {"g": None}

    def members(self, group: str) -> Members:
        return self.known


class ClosingTest(unittest.TestCase):
    """When a replica may be closed."""

    CASES = (
        # placement (names, generation), own log's members, report (names, generation), closed
        ("told so by the placement in force", "abd", 2, members("abc", generation=1), "abd", 2, True),
        ("told so by a later one", "abd", 2, members("abc", generation=1), "abe", 3, True),
        ("named by the placement", "abc", 2, members("abc", generation=1), "abd", 2, False),
        ("a report by an older placement", "abd", 2, members("abc", generation=1), "abd", 1, False),
        ("still a member", "abd", 2, members("abc", generation=1), "abcd", 2, False),
        ("its own log knows of a later placement", "abd", 2, members("abc", generation=3), "abd", 2, False),
    )

    def test_cases(self) -> None:
        for label, placed, generation, known, reported, by, closed in self.CASES:
            with self.subTest(label):
                addresses = tuple(MemberAddress(f"{n}/{n}", n, f"{n}:1", "z") for n in placed)
                placements = {"g": GroupPlacement("g", generation, addresses)}
                done: list[tuple[str, int]] = []
                closing = ReplicaGarbageCollector(
                    Clock(),
                    cast(Any, None),
                    cast(Any, ClosingHost(known)),
                    placements,
                    lambda group, at: done.append((group, at)),  # noqa: B023
                )
                closing.reported(MembershipReport("g", 4, ids(reported), by))
                self.assertEqual(done, [("g", by)] if closed else [])


if __name__ == "__main__":
    unittest.main()
