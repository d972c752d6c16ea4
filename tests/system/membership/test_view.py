"""Partial views: what nodes know about each other."""

from __future__ import annotations

import unittest
from random import Random

from msgspec.structs import replace

from bitternpath.membership.view import STATE_VIEW_SIZE, VIEW_SIZE, MembershipView
from bitternpath.transport.node_messages import ShuffleRequest
from tests.system.membership.view_network import ViewNetwork, node

MAX_DATAGRAM_BYTES = 1_400


class ViewTest(unittest.TestCase):
    """Peer sampling."""

    def test_all_nodes_find_those_with_state_within_seconds_despite_lost_datagrams(self) -> None:
        nodes = [node(n, disk=f"d{n}" if n < 5 else "") for n in range(60)]
        network = ViewNetwork(nodes, seeds=3, loss=0.1, seed=1)
        network.run(4.0)
        for view in network.views.values():
            self.assertEqual([each.disk for each in view.counted_edges()], [f"d{n}" for n in range(5)])
        self.assertLess(network.largest_datagram, MAX_DATAGRAM_BYTES)

    def test_a_view_is_bounded(self) -> None:
        view = MembershipView(node(0), (), Random(1), 0.0)
        for number in range(1, 400):
            view.observe(1.0, node(number, disk="d" if number % 2 else ""))
        nodes = view.nodes()
        self.assertEqual(sum(bool(each.disk) for each in nodes), STATE_VIEW_SIZE)
        self.assertEqual(sum(not each.disk for each in nodes), VIEW_SIZE)

    def test_the_newest_entry_wins_over_an_older_incarnation(self) -> None:
        view = MembershipView(node(0), (), Random(1), 0.0)
        view.observe(1.0, node(1, disk="new", incarnation=5))
        view.observe(2.0, node(1, disk="old", incarnation=4))
        entry = view.find(node(1).name)
        self.assertEqual(entry.disk if entry else "", "new")

    def test_a_node_that_leaves_or_stops_responding_is_forgotten(self) -> None:
        network = ViewNetwork([node(n) for n in range(6)], seeds=2, loss=0.0, seed=3)
        network.run(6.0)
        unresponsive, draining = node(4), node(5)
        del network.views[unresponsive.address]
        for datagram in network.views.pop(draining.address).leave():
            network._deliver(draining.address, [datagram])
        network.run(50.0)
        for view in network.views.values():
            self.assertEqual({each.name for each in view.nodes()} & {unresponsive.name, draining.name}, set())

    def test_long_partitioned_sides_rediscover_each_other_though_seeds_name_their_own_side_only(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                network = ViewNetwork([node(n) for n in range(8)], seeds=2, loss=0.0, seed=seed)
                network.run(6.0)
                addresses = list(network.views)
                sides = addresses[:5], addresses[5:]
                views = dict(network.views)
                for side in sides:  # each runs alone; the smaller one's nodes restart without known nodes
                    network.views = {address: views[address] for address in side}
                    started_at = network.now
                    for view in network.views.values():
                        view.seeds = side[:2]
                    network.run(40.0)
                    network.now = started_at
                network.now += 40.0
                for address in sides[1]:
                    local_node = replace(views[address].local_node, incarnation=2)
                    views[address] = MembershipView(local_node, sides[1][:2], Random(seed), network.now)
                network.views = views
                network.run(3.0)
                for view in views.values():
                    known = {each.address for each in view.nodes()}
                    self.assertGreaterEqual(len(known & set(sides[0])), 4)
                    self.assertGreaterEqual(len(known & set(sides[1])), 2)

    def test_a_node_raises_its_incarnation_after_its_clock_stepped_back(self) -> None:
        view = MembershipView(node(0, incarnation=100), (), Random(1), 0.0)
        view.received(1.0, "10.0.0.9:1", ShuffleRequest(node(9), (node(0, incarnation=900),)))
        self.assertGreater(view.local_node.incarnation, 900)


if __name__ == "__main__":
    unittest.main()
