"""Partial views, founding and placement: who is in the system, and where shards are."""

from __future__ import annotations

import unittest
from random import Random

from msgspec.structs import replace

from bitternpath.configuration.configuration_members import desired_members
from bitternpath.configuration.placement import (
    initial_placement,
    nodes_to_replace,
    repaired_placement,
    shard_group,
    shard_of,
)
from bitternpath.membership.bootstrap import decide_bootstrap, member_id
from bitternpath.membership.view import STATE_VIEW_SIZE, VIEW_SIZE, MembershipView
from bitternpath.replication.reconfiguration import next_members
from bitternpath.replication.records import Members
from bitternpath.transport.messages import RECORDS
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind, ShuffleRequest

ZONES = ("z1", "z2", "z3")
LARGEST_DATAGRAM = 1_400


def node(
    number: int, kind: NodeKind = NodeKind.EDGE, disk: str = "", zone: str = "", incarnation: int = 1
) -> NodeDescriptor:
    """A node whose address tells its number."""
    name = f"{kind.name.lower()}-some-long-zone-{number}"
    place = zone or ZONES[number % len(ZONES)]
    return NodeDescriptor(
        name, f"10.0.{number // 250}.{number % 250}:7000", kind, place, bool(disk), disk, incarnation, 0
    )


class World:
    """Views that shuffle over a network that may lose datagrams."""

    def __init__(self, nodes: list[NodeDescriptor], seeds: int, loss: float, seed: int) -> None:
        self.random = Random(seed)
        self.now = 0.0
        self.loss = loss
        addresses = tuple(each.address for each in nodes[:seeds])
        self.views = {
            each.address: MembershipView(each, addresses, Random(seed + n), 0.0)
            for n, each in enumerate(nodes)
        }
        self.largest = 0

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.05
            for address, view in list(self.views.items()):
                self._carry(address, view.tick(self.now))

    def _carry(self, sender: str, datagrams: list) -> None:  # type: ignore[type-arg]
        for datagram in datagrams:
            self.largest = max(self.largest, len(RECORDS.encode(datagram.record)))
            receiver = self.views.get(datagram.address)
            if receiver is not None and self.random.random() >= self.loss:
                self._carry(datagram.address, receiver.received(self.now, sender, datagram.record))


class ViewTest(unittest.TestCase):
    """Peer sampling."""

    def test_all_find_the_nodes_with_state_within_seconds_though_datagrams_are_lost(self) -> None:
        nodes = [node(n, disk=f"d{n}" if n < 5 else "") for n in range(60)]
        world = World(nodes, seeds=3, loss=0.1, seed=1)
        world.run(4.0)
        for view in world.views.values():
            self.assertEqual([each.disk for each in view.counted_edges()], [f"d{n}" for n in range(5)])
        self.assertLess(world.largest, LARGEST_DATAGRAM)

    def test_a_view_is_bounded(self) -> None:
        view = MembershipView(node(0), (), Random(1), 0.0)
        for number in range(1, 400):
            view.observe(1.0, node(number, disk="d" if number % 2 else ""))
        kept = view.nodes()
        self.assertEqual(sum(bool(each.disk) for each in kept), STATE_VIEW_SIZE)
        self.assertEqual(sum(not each.disk for each in kept), VIEW_SIZE)

    def test_the_newest_word_wins_and_an_older_life_never_comes_back(self) -> None:
        view = MembershipView(node(0), (), Random(1), 0.0)
        view.observe(1.0, node(1, disk="new", incarnation=5))
        view.observe(2.0, node(1, disk="old", incarnation=4))
        found = view.find(node(1).name)
        self.assertEqual(found.disk if found else "", "new")

    def test_a_node_that_leaves_or_falls_silent_is_forgotten(self) -> None:
        world = World([node(n) for n in range(6)], seeds=2, loss=0.0, seed=3)
        world.run(6.0)
        silent, draining = node(4), node(5)
        del world.views[silent.address]
        for datagram in world.views.pop(draining.address).leave():
            world._carry(draining.address, [datagram])
        world.run(50.0)
        for view in world.views.values():
            self.assertEqual({each.name for each in view.nodes()} & {silent.name, draining.name}, set())

    def test_parts_that_were_cut_off_for_long_find_each_other_though_seeds_name_their_own_part(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                world = World([node(n) for n in range(8)], seeds=2, loss=0.0, seed=seed)
                world.run(6.0)
                addresses = list(world.views)
                parts = addresses[:5], addresses[5:]
                views = dict(world.views)
                for part in parts:  # each runs alone; the smaller one's nodes start again, knowing nobody
                    world.views = {address: views[address] for address in part}
                    began = world.now
                    for view in world.views.values():
                        view.seeds = part[:2]
                    world.run(40.0)
                    world.now = began
                world.now += 40.0
                for address in parts[1]:
                    me = replace(views[address].local_node, incarnation=2)
                    views[address] = MembershipView(me, parts[1][:2], Random(seed), world.now)
                world.views = views
                world.run(3.0)
                for view in views.values():
                    known = {each.address for each in view.nodes()}
                    self.assertGreaterEqual(len(known & set(parts[0])), 4)
                    self.assertGreaterEqual(len(known & set(parts[1])), 2)

    def test_after_a_clock_that_stepped_back_a_node_outbids_its_earlier_life(self) -> None:
        view = MembershipView(node(0, incarnation=100), (), Random(1), 0.0)
        view.received(1.0, "10.0.0.9:1", ShuffleRequest(node(9), (node(0, incarnation=900),)))
        self.assertGreater(view.local_node.incarnation, 900)


class FoundingTest(unittest.TestCase):
    """The one decision."""

    def view(self, counted: int, at: float = 0.0) -> MembershipView:
        view = MembershipView(node(0, disk="d0"), (), Random(1), 0.0)
        for number in range(1, counted):
            view.observe(at, node(number, disk=f"d{number}"))
        return view

    def test_when_it_falls(self) -> None:
        cases = (
            ("too early", 3, 0.0, 1.2, None),
            ("at rest", 3, 0.2, 1.6, 3),
            ("not at rest", 3, 1.0, 1.6, None),
            ("too few for the tolerance", 2, 0.2, 3.0, None),
            ("too few, but patience is over", 2, 0.2, 6.5, 2),
            ("more than are needed vote too", 5, 0.2, 1.6, 5),
            ("not all of very many", 12, 0.2, 1.6, 7),
        )
        for label, counted, last_change, now, members in cases:
            with self.subTest(label):
                founding = decide_bootstrap(self.view(counted, last_change), 1, 0.0, now, Random(2))
                self.assertEqual(len(founding.group.members) if founding else None, members)


class PlacementTest(unittest.TestCase):
    """Where replicas are."""

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
            hit = any(each.node == nodes[1].name for each in before.members)
            self.assertEqual(after.generation, 2 if hit else 1)
            self.assertEqual([each.node for each in after.members], [each.node for each in before.members])
            self.assertEqual(hit, any(each.member == member_id(nodes[1]) for each in after.members))

    def test_nodes_that_are_away_keep_their_place(self) -> None:
        groups = initial_placement(self.storage(4), 1)
        self.assertEqual(repaired_placement(groups, self.storage(2), frozenset(), 1), groups)

    def test_shards_of_a_replaced_node_land_on_the_one_in_its_place(self) -> None:
        """Where they were, so that it is the preferred owner of as many; nobody else's replicas move."""
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
        gone = frozenset({nodes[0].name})
        for group in repaired_placement(groups, nodes, gone, 1):
            self.assertNotIn(nodes[0].name, [each.node for each in group.members])
            self.assertEqual(len(group.members), 3)
        stuck = repaired_placement(initial_placement(nodes[:3], 1), nodes[:3], gone, 1)
        self.assertTrue(all(len(group.members) == 3 for group in stuck))

    def test_group_names(self) -> None:
        self.assertEqual([shard_of(shard_group(n)) for n in (0, 7, 255)], [0, 7, 255])


class ReplacementTest(unittest.TestCase):
    """Nodes that go for good, and those that come in their place."""

    def nodes(self, names: str, kind: NodeKind) -> list[NodeDescriptor]:
        """Nodes by letter; a capital letter is the same node with another disk."""
        zones = "abcdefgh"
        return [
            NodeDescriptor(name.lower(), f"10.0.0.{n}:1", kind, zones[n % 4], True, f"disk-{name}", 1, 0)
            for n, name in enumerate(names)
        ]

    CONFIGURATION = (
        # voters, present, away longer than the patience, desired
        ("all there", "abc", "abc", "", "abc"),
        ("one away, nobody in its place", "abc", "ab", "c", "abc"),
        ("another comes", "abc", "abcd", "", "abcd"),
        ("one away, another in its place", "abc", "abd", "c", "abd"),
        ("one away a moment only, another there", "abc", "abd", "", "abcd"),
        ("two away, one in their place", "abc", "ad", "bc", "abcd"),
        ("an empty disk takes its own place", "abc", "abC", "", "abC"),
        ("an empty disk and a new node", "abc", "abCd", "", "abCd"),
    )

    def test_members_of_the_configuration_group(self) -> None:
        def ids(names: str) -> list[str]:
            return [f"{name.lower()}/disk-{name}" for name in names]

        for label, voters, present, away, desired in self.CONFIGURATION:
            with self.subTest(label):
                nodes = self.nodes(present, NodeKind.EDGE)
                down_for = dict.fromkeys("abcd", 0.0) | dict.fromkeys(away, 9.0)
                found = desired_members(Members(tuple(ids(voters))), nodes, down_for.__getitem__, 3)
                self.assertEqual(sorted(found), sorted(ids(desired)))

    def test_which_storage_nodes_are_replaced(self) -> None:
        nodes = self.nodes("abcd", NodeKind.STORAGE)
        groups = initial_placement(nodes[:3], 1)
        cases = (
            ("all there, a spare too", nodes, "", {}, ""),
            ("away a moment, a spare there", nodes[1:], "", {"a": 1.0}, ""),
            ("away, a spare there", nodes[1:], "", {"a": 2.0}, "a"),
            ("away, the spare too", nodes[1:], "", {"a": 2.0, "d": 1.0}, ""),
            ("away, no spare", nodes[1:3], "", {"a": 2.0}, ""),
            ("away for long, no spare", nodes[1:3], "", {"a": 40.0}, "a"),
            ("retired", nodes, "b", {}, "b"),
        )
        for label, present, retired, away, expected in cases:
            with self.subTest(label):
                down_for = dict.fromkeys("abcd", 0.0) | away
                gone = nodes_to_replace(groups, present, set(retired), down_for.__getitem__)
                self.assertEqual(sorted(gone), list(expected))


class ReconfigurationTest(unittest.TestCase):
    """One member at a time, learners first."""

    STEPS = (
        ("nothing to do", Members(("a", "b", "c")), "abc", "", None),
        ("learner first", Members(("a", "b", "c")), "abd", "", Members(("a", "b", "c"), ("d",))),
        ("not before it has caught up", Members(("a", "b", "c"), ("d",)), "abd", "", None),
        ("voter once it has", Members(("a", "b", "c"), ("d",)), "abd", "d", Members(("a", "b", "c", "d"))),
        ("then the old one goes", Members(("a", "b", "c", "d")), "abd", "", Members(("a", "b", "d"))),
        ("a learner that isn't wanted goes", Members(("a", "b"), ("x",)), "ab", "x", Members(("a", "b"))),
        ("the last voter stays", Members(("a",)), "", "", None),
    )

    def test_steps(self) -> None:
        for label, current, desired, caught_up, expected in self.STEPS:
            with self.subTest(label):
                self.assertEqual(next_members(current, list(desired), caught_up.__contains__), expected)


if __name__ == "__main__":
    unittest.main()
