"""Conditions under which a storage node closes a replica that was removed from its group."""

from __future__ import annotations

import unittest
from typing import Any, cast

from twisted.internet.task import Clock

from bitternpath.replication.records import Members
from bitternpath.roles.replica_garbage_collection import ReplicaGarbageCollector
from bitternpath.transport.group_messages import GroupPlacement, MemberAddress, MembershipReport
from tests.system.replication.member_ids import ids, members


class ClosingHost:
    """A fake host with one replica for `ReplicaGarbageCollector`."""

    member_id = "c/c"

    def __init__(self, known_members: Members) -> None:
        self.known_members = known_members
        self.groups = {"g": None}

    def members(self, group: str) -> Members:
        return self.known_members


class ReplicaGarbageCollectionTest(unittest.TestCase):
    """Whether a replica is closed."""

    CASES = (
        # placement (names, generation), members in the local log, report (names, generation), closed
        ("report for the current placement", "abd", 2, members("abc", generation=1), "abd", 2, True),
        ("report for a later placement", "abd", 2, members("abc", generation=1), "abe", 3, True),
        ("part of the placement", "abc", 2, members("abc", generation=1), "abd", 2, False),
        ("report for an older placement", "abd", 2, members("abc", generation=1), "abd", 1, False),
        ("still a member", "abd", 2, members("abc", generation=1), "abcd", 2, False),
        ("local log is of a later placement", "abd", 2, members("abc", generation=3), "abd", 2, False),
    )

    def test_cases(self) -> None:
        for label, placed, generation, known_members, reported, report_generation, closed in self.CASES:
            with self.subTest(label):
                addresses = tuple(MemberAddress(f"{n}/{n}", n, f"{n}:1", "z") for n in placed)
                placements = {"g": GroupPlacement("g", generation, addresses)}
                closed_replicas: list[tuple[str, int]] = []
                collector = ReplicaGarbageCollector(
                    Clock(),
                    cast(Any, None),
                    cast(Any, ClosingHost(known_members)),
                    placements,
                    lambda group, at: closed_replicas.append((group, at)),  # noqa: B023
                )
                collector.reported(MembershipReport("g", 4, ids(reported), report_generation))
                self.assertEqual(closed_replicas, [("g", report_generation)] if closed else [])


if __name__ == "__main__":
    unittest.main()
