"""Messages that an edge node returns repeatedly go to another edge node."""

from __future__ import annotations

import unittest

from bitternpath.queue.lifecycle import RETURNS_BEFORE_EDGE_CHANGE
from bitternpath.transport.records import AttemptOutcome, MessageState
from tests.system.queue.owner_rig import NOT_RUN, SUCCEEDED, UNKNOWN, Rig

EDGES = ("edge-1", "edge-2", "edge-3")
START_LIMIT_S = 6.0  # RULES, LOST: a due message must reach a worker within this time


class EdgeChanges(unittest.TestCase):
    """The origin gets a message first; if it is partitioned from the workers, other edge nodes get it."""

    def edges_of_attempts(self, rig: Rig, outcome: AttemptOutcome, count: int) -> list[str]:
        """Return the edge nodes of `count` consecutive leases, each of which ends with `outcome`."""
        edges = []
        for _ in range(count):
            delivery = rig.delivery()
            edges.append(delivery.edge)
            rig.end(delivery, outcome)
            rig.advance(3.0)
        return edges

    def test_an_origin_that_returns_a_message_repeatedly_is_avoided(self) -> None:
        for outcome in (NOT_RUN, UNKNOWN):
            with self.subTest(outcome):
                rig = Rig(edges=EDGES)
                rig.append("m")
                edges = self.edges_of_attempts(rig, outcome, RETURNS_BEFORE_EDGE_CHANGE + 1)
                self.assertEqual(edges[:-1], ["edge-1"] * RETURNS_BEFORE_EDGE_CHANGE)
                self.assertNotEqual(edges[-1], "edge-1")

    def test_the_only_edge_gets_it_again(self) -> None:
        rig = Rig(edges=("edge-1",))
        rig.append("m")
        self.assertEqual(self.edges_of_attempts(rig, NOT_RUN, 6), ["edge-1"] * 6)

    def test_an_edge_that_does_not_report_is_avoided(self) -> None:
        rig = Rig(edges=EDGES)
        rig.append("m")
        self.assertEqual(rig.delivery().edge, "edge-1")
        rig.advance(4.0)  # its lease times out
        self.assertNotEqual(rig.delivery().edge, "edge-1")

    def test_one_reachable_edge_among_three_gets_it_in_time(self) -> None:
        for reachable in EDGES:
            with self.subTest(reachable):
                rig = Rig(edges=EDGES)
                rig.append("m")
                started_at = rig.now
                while rig.state_of("m") is MessageState.QUEUED:
                    delivery = rig.delivery()
                    rig.end(delivery, SUCCEEDED if delivery.edge == reachable else NOT_RUN)
                    while rig.state_of("m") is MessageState.QUEUED and not rig.sent:
                        rig.advance(0.01)
                self.assertLess(rig.now - started_at, START_LIMIT_S)


if __name__ == "__main__":
    unittest.main()
