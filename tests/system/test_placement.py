"""Placement of replicas on storage nodes, and replacement of permanently lost nodes."""

from __future__ import annotations

import unittest

from bitternpath.configuration.configuration_members import desired_members
from bitternpath.configuration.placement import (
    initial_placement,
    nodes_to_replace,
    repaired_placement,
    shard_group,
    shard_of,
)
from bitternpath.membership.bootstrap import member_id
from bitternpath.replication.records import Members
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from tests.system.membership.view_network import node


class PlacementTest(unittest.TestCase):
    """Initial placement and repairs."""

    def storage(self, count: int, zones: int = 3) -> list[NodeDescriptor]:
        return [node(n, NodeKind.STORAGE, f"d{n}", f"z{n % zones}") for n in range(count)]

    def test_replicas_are_spread_over_zones_and_owners_over_nodes(self) -> None:
        for count, zones, tolerated in ((3, 3, 1), (4, 4, 1), (5, 2, 1), (17, 5, 2), (18, 3, 2)):
            with self.subTest(count=count, zones=zones):
                groups = initial_placement(self.storage(count, zones), tolerated)
                self.assertEqual(len(groups), count)
                self.assertEqual(len({group.members[0].node for group in groups}), count)
                for group in groups:
                    self.assertEqual(len({each.node for each in group.members}), 2 * tolerated + 1)
                    self.assertEqual(
                        len({each.zone for each in group.members}), min(zones, 2 * tolerated + 1)
                    )

    def test_a_lost_disk_changes_its_own_replicas_only(self) -> None:
        nodes = self.storage(5)
        groups = initial_placement(nodes, 1)
        nodes[1] = node(1, NodeKind.STORAGE, "another", "z1")
        repaired = repaired_placement(groups, nodes, frozenset(), 1)
        for before, after in zip(groups, repaired, strict=True):
            affected = any(each.node == nodes[1].name for each in before.members)
            self.assertEqual(after.generation, 2 if affected else 1)
            self.assertEqual([each.node for each in after.members], [each.node for each in before.members])
            self.assertEqual(affected, any(each.member == member_id(nodes[1]) for each in after.members))

    def test_absent_nodes_keep_their_replicas(self) -> None:
        groups = initial_placement(self.storage(4), 1)
        self.assertEqual(repaired_placement(groups, self.storage(2), frozenset(), 1), groups)

    def test_shards_of_a_replaced_node_move_to_its_successor(self) -> None:
        """It takes over the same slots, so the preferred owners stay balanced; no other replicas move."""
        for count, tolerated in ((3, 1), (4, 1), (6, 1), (7, 2)):
            with self.subTest(count=count, tolerated=tolerated):
                nodes = self.storage(count)
                groups = initial_placement(nodes, tolerated)
                successor = node(99, NodeKind.STORAGE, "d99", nodes[1].zone)
                present = [each for each in nodes if each is not nodes[1]] + [successor]
                moved = repaired_placement(groups, present, frozenset({nodes[1].name}), tolerated)
                for before, after in zip(groups, moved, strict=True):
                    expected = [
                        successor.name if each.node == nodes[1].name else each.node for each in before.members
                    ]
                    self.assertEqual([each.node for each in after.members], expected)

    def test_a_retired_node_is_replaced_where_there_is_another(self) -> None:
        nodes = self.storage(4)
        groups = initial_placement(nodes, 1)
        replaced = frozenset({nodes[0].name})
        for group in repaired_placement(groups, nodes, replaced, 1):
            self.assertNotIn(nodes[0].name, [each.node for each in group.members])
            self.assertEqual(len(group.members), 3)
        unreplaced = repaired_placement(initial_placement(nodes[:3], 1), nodes[:3], replaced, 1)
        self.assertTrue(all(len(group.members) == 3 for group in unreplaced))

    def test_group_names(self) -> None:
        self.assertEqual([shard_of(shard_group(n)) for n in (0, 7, 255)], [0, 7, 255])


class ReplacementTest(unittest.TestCase):
    """Replacement of lost nodes by new ones."""

    def nodes(self, names: str, kind: NodeKind) -> list[NodeDescriptor]:
        """Nodes by letter. A capital letter is the same node with a different disk."""
        zones = "abcdefgh"
        return [
            NodeDescriptor(name.lower(), f"10.0.0.{n}:1", kind, zones[n % 4], True, f"disk-{name}", 1, 0)
            for n, name in enumerate(names)
        ]

    CONFIGURATION = (
        # voters, present, unresponsive for too long, desired
        ("all present", "abc", "abc", "", "abc"),
        ("one down, no replacement", "abc", "ab", "c", "abc"),
        ("a new node joins", "abc", "abcd", "", "abcd"),
        ("one down, with a replacement", "abc", "abd", "c", "abd"),
        ("one briefly down, with a new node", "abc", "abd", "", "abcd"),
        ("two down, with one replacement", "abc", "ad", "bc", "abcd"),
        ("an empty disk replaces its earlier member", "abc", "abC", "", "abC"),
        ("an empty disk and a new node", "abc", "abCd", "", "abCd"),
    )

    def test_members_of_the_configuration_group(self) -> None:
        def ids(names: str) -> list[str]:
            return [f"{name.lower()}/disk-{name}" for name in names]

        for label, voters, present, down, desired in self.CONFIGURATION:
            with self.subTest(label):
                nodes = self.nodes(present, NodeKind.EDGE)
                down_for = dict.fromkeys("abcd", 0.0) | dict.fromkeys(down, 9.0)
                members = desired_members(Members(tuple(ids(voters))), nodes, down_for.__getitem__, 3)
                self.assertEqual(sorted(members), sorted(ids(desired)))

    def test_which_storage_nodes_are_replaced(self) -> None:
        nodes = self.nodes("abcd", NodeKind.STORAGE)
        groups = initial_placement(nodes[:3], 1)
        cases = (
            ("all up, with a spare", nodes, "", {}, ""),
            ("briefly down, with a spare", nodes[1:], "", {"a": 1.0}, ""),
            ("down, with a spare", nodes[1:], "", {"a": 2.0}, "a"),
            ("down, and the spare too", nodes[1:], "", {"a": 2.0, "d": 1.0}, ""),
            ("down, no spare", nodes[1:3], "", {"a": 2.0}, ""),
            ("down for long, no spare", nodes[1:3], "", {"a": 40.0}, "a"),
            ("retired", nodes, "b", {}, "b"),
        )
        for label, present, retired, down, expected in cases:
            with self.subTest(label):
                down_for = dict.fromkeys("abcd", 0.0) | down
                replaced = nodes_to_replace(groups, present, set(retired), down_for.__getitem__)
                self.assertEqual(sorted(replaced), list(expected))


if __name__ == "__main__":
    unittest.main()
