"""When ownership of a shard returns to its preferred member."""

from __future__ import annotations

import unittest

from bitternpath.roles.ownership_return import INITIAL_DELAY_S, MAX_DELAY_S, OwnershipReturn

CHECK_INTERVAL_S = 0.25
GROUP = "queue-0"


class OwnershipReturnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ownership_return = OwnershipReturn()
        self.now = 100.0

    def seconds_until_due(self, limit_s: float = 2 * MAX_DELAY_S) -> float:
        """How long the preferred member must be eligible until ownership returns to it."""
        started_at = self.now
        while not self.ownership_return.record_and_check_due(self.now, GROUP, eligible=True):
            self.now += CHECK_INTERVAL_S
            self.assertLess(self.now - started_at, limit_s)
        return self.now - started_at

    def test_the_preferred_member_must_be_eligible_for_the_initial_delay(self) -> None:
        self.assertEqual(self.seconds_until_due(), INITIAL_DELAY_S)

    def test_an_interruption_restarts_the_delay(self) -> None:
        self.assertFalse(self.ownership_return.record_and_check_due(self.now, GROUP, eligible=True))
        self.now += INITIAL_DELAY_S - CHECK_INTERVAL_S
        self.assertFalse(self.ownership_return.record_and_check_due(self.now, GROUP, eligible=False))
        self.assertEqual(self.seconds_until_due(), INITIAL_DELAY_S)

    def test_the_delay_doubles_with_each_return_up_to_a_bound(self) -> None:
        delays = [self.seconds_until_due() for _ in range(8)]
        doubled = [INITIAL_DELAY_S * 2**number for number in range(8)]
        self.assertEqual(delays, [min(delay, MAX_DELAY_S) for delay in doubled])

    def test_each_group_has_its_own_delay(self) -> None:
        self.seconds_until_due()
        self.assertFalse(self.ownership_return.record_and_check_due(self.now, "queue-1", eligible=True))
        self.now += INITIAL_DELAY_S
        self.assertTrue(self.ownership_return.record_and_check_due(self.now, "queue-1", eligible=True))
        self.assertFalse(self.ownership_return.record_and_check_due(self.now, GROUP, eligible=True))


if __name__ == "__main__":
    unittest.main()
