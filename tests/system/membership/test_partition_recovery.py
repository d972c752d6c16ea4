"""Two parts of the system that were partitioned until they had forgotten each other."""

from __future__ import annotations

import unittest
from random import Random

from msgspec.structs import replace

from bitternpath.membership.view import FORGET_AFTER_S, MembershipView
from tests.system.membership.view_network import ViewNetwork, node

CUT_S = 2 * FORGET_AFTER_S
REUNITED_S = 4.0  # DEPLOY, `contact_ms`
SEEDS = 3
NEAR, FAR = 5, 7


class CutWorld(ViewNetwork):
    """Views of two parts; while `cut`, no datagram goes from one part to the other."""

    def __init__(self, seed: int) -> None:
        nodes = [node(n, disk=f"d{n}" if n % 2 else "") for n in range(NEAR + FAR)]
        super().__init__(nodes, SEEDS, 0.05, seed)
        self.near = {each.address for each in nodes[:NEAR]}
        self.cut = False

    def _carry(self, sender: str, datagrams: list) -> None:  # type: ignore[type-arg]
        kept = [
            datagram
            for datagram in datagrams
            if not self.cut or (sender in self.near) == (datagram.address in self.near)
        ]
        super()._carry(sender, kept)

    def restart_far(self) -> None:
        """Restart the processes of the far part, with seeds of their own part only."""
        far = [address for address in self.views if address not in self.near]
        for number, address in enumerate(far):
            later = replace(self.views[address].local_node, incarnation=2, heartbeat=0)
            self.views[address] = MembershipView(later, tuple(far[:SEEDS]), Random(number), self.now)


class ReunionTest(unittest.TestCase):
    def test_parts_meet_again_though_no_settings_name_the_other_part(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                world = CutWorld(seed)
                world.run(10.0)
                world.cut = True
                world.run(1.0)
                world.restart_far()
                world.run(CUT_S)
                self.assertEqual({len(view.nodes()) for view in world.views.values()}, {NEAR - 1, FAR - 1})
                world.cut = False
                world.run(REUNITED_S)
                counted = {len(view.counted_edges()) for view in world.views.values()}
                self.assertEqual(counted, {(NEAR + FAR) // 2})

    def test_a_node_that_announced_its_leave_is_not_contacted_again(self) -> None:
        view = MembershipView(node(0), (), Random(1), 0.0)
        view.observe(1.0, node(1))
        view.observe(1.0, replace(node(2), draining=True))
        asked = {datagram.address for second in range(2, 60) for datagram in view.tick(float(second))}
        self.assertEqual(asked, {node(1).address})


if __name__ == "__main__":
    unittest.main()
