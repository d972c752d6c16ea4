"""Messages whose edge node doesn't get them run go to another one."""

from __future__ import annotations

import unittest

from bitternpath.queue.lifecycle import RETURNS_BEFORE_EDGE_CHANGE
from bitternpath.transport.records import AttemptOutcome, MessageState
from tests.system.queue.owner_rig import NOT_RUN, SUCCEEDED, UNKNOWN, Rig

EDGES = ("edge-1", "edge-2", "edge-3")
STEADY_S = 6.0  # RULES, LOST: a message whose time has come is to reach a worker within that time


class Holders(unittest.TestCase):
    """The origin gets a message first; where it is cut off from the workers, others do."""

    def tried(self, rig: Rig, outcome: AttemptOutcome, count: int) -> list[str]:
        """The edge nodes of so many leases in a row, each of which ends so."""
        edges = []
        for _ in range(count):
            delivery = rig.delivery()
            edges.append(delivery.edge)
            rig.end(delivery, outcome)
            rig.advance(3.0)
        return edges

    def test_an_origin_that_hands_back_again_and_again_is_passed_over(self) -> None:
        for outcome in (NOT_RUN, UNKNOWN):
            with self.subTest(outcome):
                rig = Rig(edges=EDGES)
                rig.append("m")
                edges = self.tried(rig, outcome, RETURNS_BEFORE_EDGE_CHANGE + 1)
                self.assertEqual(edges[:-1], ["edge-1"] * RETURNS_BEFORE_EDGE_CHANGE)
                self.assertNotEqual(edges[-1], "edge-1")

    def test_the_only_node_is_tried_on(self) -> None:
        rig = Rig(edges=("edge-1",))
        rig.append("m")
        self.assertEqual(self.tried(rig, NOT_RUN, 6), ["edge-1"] * 6)

    def test_a_holder_that_says_nothing_is_passed_over(self) -> None:
        rig = Rig(edges=EDGES)
        rig.append("m")
        self.assertEqual(rig.delivery().edge, "edge-1")
        rig.advance(4.0)  # its lease ends unheard
        self.assertNotEqual(rig.delivery().edge, "edge-1")

    def test_one_reachable_node_among_three_gets_it_within_the_steady_time(self) -> None:
        for reachable in EDGES:
            with self.subTest(reachable):
                rig = Rig(edges=EDGES)
                rig.append("m")
                begun = rig.now
                while rig.state_of("m") is MessageState.QUEUED:
                    delivery = rig.delivery()
                    rig.end(delivery, SUCCEEDED if delivery.edge == reachable else NOT_RUN)
                    while rig.state_of("m") is MessageState.QUEUED and not rig.sent:
                        rig.advance(0.01)
                self.assertLess(rig.now - begun, STEADY_S)


if __name__ == "__main__":
    unittest.main()
