"""After a stall, an edge node sends nothing on a lease that may have ended meanwhile."""

from __future__ import annotations

import unittest

from bitternpath.transport.records import AttemptOutcome
from tests.system.dispatch.delivery_case import DeliveryCase

DURATION_MS = 3_000  # of a lease on a route with a time-out of 1 s
MARGIN_S = 2.0 - 0.2  # the time for which a send may wait


class StallTest(DeliveryCase):
    """A suspended process reads what has arrived meanwhile, after its timers have fired."""

    def stall(self, seconds: float) -> None:
        self.deliveries.start()
        self.clock.pump([0.1] * 5)
        self.clock.rightNow += seconds  # time passes and no timer fires

    def test_a_lease_that_may_have_ended_is_returned(self) -> None:
        for timers_first in (False, True):
            with self.subTest(timers_first=timers_first):
                self.setUp()
                self.stall(MARGIN_S + 0.1)
                if timers_first:
                    self.clock.advance(0.0)
                self.lease(duration_ms=DURATION_MS)
                self.assertEqual(self.node.calls, [])
                self.assertEqual(self.outcome(), AttemptOutcome.NOT_RUN)

    def test_a_short_stall_only_shortens_the_lease(self) -> None:
        self.stall(1.0)
        self.clock.advance(0.0)
        self.lease(duration_ms=DURATION_MS)
        self.assertEqual(len(self.node.calls), 1)

    def test_later_leases_have_their_full_time(self) -> None:
        self.stall(5.0)
        self.clock.advance(0.0)
        self.clock.pump([0.1] * 5)
        self.lease(duration_ms=DURATION_MS)
        self.assertEqual(len(self.node.calls), 1)

    def test_without_a_stall_nothing_changes(self) -> None:
        self.deliveries.start()
        self.clock.pump([0.1] * 50)
        self.lease(duration_ms=1_200)
        self.assertEqual(len(self.node.calls), 1)


if __name__ == "__main__":
    unittest.main()
