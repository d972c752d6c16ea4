"""Membership changes from the current to the desired members, and who may propose them."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any, cast

from bitternpath.replication.group import GroupApplication, GroupOptions, MemberIdentity, ReplicaGroup
from bitternpath.replication.host import SYSTEM_TIMING
from bitternpath.replication.member import RaftOptions
from bitternpath.replication.membership_reconciler import MembershipReconciler
from bitternpath.replication.reconfiguration import DesiredMembers, MemberStatus, next_members
from bitternpath.replication.records import Members, PersistentState, Snapshot
from tests.system.replication.member_ids import ids, members
from tests.system.replication.stateless_machine import StatelessMachine


class ReconfigurationStepsTest(unittest.TestCase):
    """Which members are removed and added, and in which order."""

    CASES = (
        # current voters and learners, desired, caught up, unresponsive, next voters and learners
        (
            "a lost disk is removed as its successor learns",
            "abc",
            "",
            "abC",
            "",
            "c",
            "ab",
            "C",
        ),
        ("the successor becomes a voter once it has caught up", "ab", "C", "abC", "C", "", "abC", ""),
        ("of two lost disks, one is removed first", "abcde", "", "abcDE", "", "", "abce", "DE"),
        ("the other stays while there are four voters", "abce", "DE", "abcDE", "", "", None, ""),
        ("the other is removed once there are five", "abceD", "E", "abcDE", "", "", "abcD", "E"),
        ("of two lost disks of three, only one is removed", "ab", "BC", "aBC", "", "", None, ""),
        ("an unresponsive voter stays until another votes", "abc", "", "abd", "", "c", "abc", "d"),
        ("an unresponsive voter is removed first", "abcxy", "", "abd", "", "y", "abcx", "d"),
        (
            "a slow learner doesn't delay that removal",
            "abcxd",
            "e",
            "abde",
            "",
            "c",
            "abxd",
            "e",
        ),
        (
            "a responsive voter stays until all others vote",
            "abcxd",
            "e",
            "abde",
            "",
            "",
            None,
            "",
        ),
        ("then it is removed", "abcde", "", "abde", "", "", "abde", ""),
        ("the owner is removed last", "abcd", "", "cd", "", "", "acd", ""),
        ("a single voter stays", "a", "", "A", "", "", "a", "A"),
        ("learners change together with voters", "abc", "xy", "abC", "", "", "ab", "C"),
    )

    def test_steps(self) -> None:
        for (
            label,
            voters,
            learners,
            desired,
            caught_up,
            unresponsive,
            expected,
            expected_learners,
        ) in self.CASES:
            with self.subTest(label):
                actual = next_members(
                    members(voters, learners),
                    DesiredMembers(ids(desired)),
                    MemberStatus(ids(caught_up).__contains__, ids(unresponsive).__contains__, "a/a"),
                )
                self.assertEqual(actual, None if expected is None else members(expected, expected_learners))

    def test_a_group_ends_with_its_desired_members_and_never_with_fewer_than_2f_voters(self) -> None:
        random = Random(37)
        for _ in range(300):
            tolerated = random.choice([1, 2])
            member_count = 2 * tolerated + 1
            names = "abcdefghij"
            current = members("".join(random.sample(names, member_count)))
            chosen = random.sample(names, member_count)
            desired = ids("".join(name.upper() if random.random() < 0.3 else name for name in chosen))
            for _ in range(100):
                changed = next_members(
                    current,
                    DesiredMembers(desired),
                    MemberStatus(
                        caught_up=lambda name: random.random() < 0.5,
                        is_unresponsive=lambda name: random.random() < 0.5,
                        owner=current.voters[0],
                    ),
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
            actual = next_members(
                current, DesiredMembers(ids("abc"), generation), MemberStatus(lambda name: False)
            )
            self.assertEqual(actual, expected)

    def test_a_newer_generation_is_committed_even_without_a_change_of_members(self) -> None:
        desired = DesiredMembers(ids("abc"), 2)
        actual = next_members(members("abc", generation=1), desired, MemberStatus(lambda name: False))
        self.assertEqual(actual, members("abc", generation=2))


class GenerationFenceTest(unittest.TestCase):
    """A group rejects members of an older placement."""

    def test_generations_never_fall(self) -> None:
        machine = StatelessMachine()
        state = PersistentState(snapshot=Snapshot(members=members("a", generation=5)))
        group = ReplicaGroup(
            MemberIdentity("a/a", state),
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
    """A fake host for `MembershipReconciler` that owns a group."""

    member_id = "a/a"

    def __init__(self, current: Members) -> None:
        self.current = current
        self.change_uncommitted = False
        self.caught_up_members: set[str] = set()
        self.transfer_targets: list[str] = []

    def is_owner(self, group: str) -> bool:
        return True

    def members(self, group: str) -> Members:
        return self.current

    def committed_members(self, group: str) -> Members | None:
        return None if self.change_uncommitted else self.current

    def caught_up(self, group: str, member: str) -> bool:
        return member in self.caught_up_members

    def unresponsive_for(self, group: str, member: str) -> float:
        return 0.0

    def transfer_leadership(self, group: str, to: str) -> bool:
        self.transfer_targets.append(to)
        return to == "c/c"

    def change_members(self, group: str, named: Members) -> bool:
        self.current, self.change_uncommitted = named, True
        return True


class MemberChangesTest(unittest.TestCase):
    """Changes follow from events."""

    def test_changes_are_made_one_at_a_time_and_as_soon_as_possible(self) -> None:
        host = OwnerHost(members("abc", generation=1))
        committed: list[Members] = []
        changes = MembershipReconciler(cast(Any, host), lambda group: committed.append(host.current))
        changes.set_desired("g", ids("abC"), 2)
        self.assertEqual(host.current, members("ab", "C", 2))
        host.caught_up_members.add("c/C")
        changes.reconcile("g")
        self.assertEqual(host.current, members("ab", "C", 2))  # the previous change isn't committed
        host.change_uncommitted = False
        changes.reconcile("g")
        self.assertEqual(host.current, members("abC", "", 2))
        host.change_uncommitted = False
        committed.clear()
        changes.reconcile("g")
        self.assertEqual(committed, [members("abC", "", 2)])

    def test_an_owner_to_be_removed_transfers_ownership_first(self) -> None:
        host = OwnerHost(members("abcd", generation=1))
        changes = MembershipReconciler(cast(Any, host))
        changes.set_desired("g", ids("bcd"), 2)
        self.assertEqual(host.transfer_targets, ["b/b", "c/c"])
        self.assertEqual(host.current, members("abcd", generation=1))

    def test_an_older_generation_changes_nothing(self) -> None:
        self.assertEqual(DesiredMembers(ids("a"), 3).generation, 3)
        host = OwnerHost(members("abc", generation=7))
        changes = MembershipReconciler(cast(Any, host))
        changes.set_desired("g", ids("abd"), 6)  # this owner doesn't know the latest placement
        self.assertEqual(host.current, members("abc", generation=7))


class LearnersFirstTest(unittest.TestCase):
    """Members change one at a time, and start as learners."""

    STEPS = (
        ("no change needed", Members(("a", "b", "c")), "abc", "", None),
        (
            "start as a learner",
            Members(("a", "b", "c")),
            "abd",
            "",
            Members(("a", "b", "c"), ("d",)),
        ),
        ("not yet caught up", Members(("a", "b", "c"), ("d",)), "abd", "", None),
        (
            "voter once caught up",
            Members(("a", "b", "c"), ("d",)),
            "abd",
            "d",
            Members(("a", "b", "c", "d")),
        ),
        ("then remove the old voter", Members(("a", "b", "c", "d")), "abd", "", Members(("a", "b", "d"))),
        ("remove an undesired learner", Members(("a", "b"), ("x",)), "ab", "x", Members(("a", "b"))),
        ("the last voter stays", Members(("a",)), "", "", None),
        (
            "one of two voters is removed (f = 0)",
            Members(("a", "b")),
            "b",
            "",
            Members(("b",)),
        ),
    )

    def test_steps(self) -> None:
        for label, current, desired, caught_up, expected in self.STEPS:
            with self.subTest(label):
                self.assertEqual(
                    next_members(
                        current, DesiredMembers(tuple(desired)), MemberStatus(caught_up.__contains__)
                    ),
                    expected,
                )


if __name__ == "__main__":
    unittest.main()
