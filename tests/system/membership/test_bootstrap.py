"""When `decide_bootstrap` decides, and on which members."""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.membership.bootstrap import decide_bootstrap
from bitternpath.membership.view import MembershipView
from tests.system.membership.view_network import node


class BootstrapDecisionTest(unittest.TestCase):
    """Conditions of the bootstrap decision."""

    def view(self, counted: int, at: float = 0.0) -> MembershipView:
        view = MembershipView(node(0, disk="d0"), (), Random(1), 0.0)
        for number in range(1, counted):
            view.observe(at, node(number, disk=f"d{number}"))
        return view

    def test_time_and_members_of_the_decision(self) -> None:
        cases = (
            ("too early", 3, 0.0, 1.2, None),
            ("stable", 3, 0.2, 1.6, 3),
            ("not stable", 3, 1.0, 1.6, None),
            ("too few for the tolerance", 2, 0.2, 3.0, None),
            ("too few, after the time-out", 2, 0.2, 6.5, 2),
            ("more than required", 5, 0.2, 1.6, 5),
            ("more than the maximum", 12, 0.2, 1.6, 7),
        )
        for label, counted, last_change, now, members in cases:
            with self.subTest(label):
                decision = decide_bootstrap(self.view(counted, last_change), 1, 0.0, now, Random(2))
                self.assertEqual(len(decision.group.members) if decision else None, members)


if __name__ == "__main__":
    unittest.main()
