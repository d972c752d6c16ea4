"""Two sides of a partition that lasted until they had forgotten each other."""

from __future__ import annotations

import unittest
from random import Random

from msgspec.structs import replace

from bitternpath.membership.view import FORGET_AFTER_S, MembershipView
from tests.system.membership.view_network import ViewNetwork, node

PARTITION_S = 2 * FORGET_AFTER_S
RECOVERY_S = 4.0  # DEPLOY, `contact_ms`
SEEDS = 3
NEAR, FAR = 5, 7


class PartitionedNetwork(ViewNetwork):
    """Views on two sides; while `partitioned`, no datagram is delivered from one side to the other."""

    def __init__(self, seed: int) -> None:
        nodes = [node(n, disk=f"d{n}" if n % 2 else "") for n in range(NEAR + FAR)]
        super().__init__(nodes, SEEDS, 0.05, seed)
        self.near = {each.address for each in nodes[:NEAR]}
        self.partitioned = False

    def _deliver(self, sender: str, datagrams: list) -> None:  # type: ignore[type-arg]
        delivered = [
            datagram
            for datagram in datagrams
            if not self.partitioned or (sender in self.near) == (datagram.address in self.near)
        ]
        super()._deliver(sender, delivered)

    def restart_far_side(self) -> None:
        """Restart the processes of the far side, with seeds on their own side only."""
        far = [address for address in self.views if address not in self.near]
        for number, address in enumerate(far):
            restarted = replace(self.views[address].local_node, incarnation=2, heartbeat=0)
            self.views[address] = MembershipView(restarted, tuple(far[:SEEDS]), Random(number), self.now)


class PartitionRecoveryTest(unittest.TestCase):
    def test_sides_rediscover_each_other_though_no_settings_name_the_other_side(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                network = PartitionedNetwork(seed)
                network.run(10.0)
                network.partitioned = True
                network.run(1.0)
                network.restart_far_side()
                network.run(PARTITION_S)
                self.assertEqual({len(view.nodes()) for view in network.views.values()}, {NEAR - 1, FAR - 1})
                network.partitioned = False
                network.run(RECOVERY_S)
                counted = {len(view.counted_edges()) for view in network.views.values()}
                self.assertEqual(counted, {(NEAR + FAR) // 2})

    def test_a_node_that_announced_its_leave_is_not_contacted_again(self) -> None:
        view = MembershipView(node(0), (), Random(1), 0.0)
        view.observe(1.0, node(1))
        view.observe(1.0, replace(node(2), draining=True))
        contacted = {datagram.address for second in range(2, 60) for datagram in view.tick(float(second))}
        self.assertEqual(contacted, {node(1).address})


if __name__ == "__main__":
    unittest.main()
