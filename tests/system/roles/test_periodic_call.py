"""Periodic calls of a role, in virtual time."""

from __future__ import annotations

import unittest

from twisted.internet.task import Clock

from bitternpath.roles.periodic_call import PeriodicCall


class PeriodicCallTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.called_at: list[float] = []
        self.fails = False
        self.periodic = PeriodicCall(self.clock, 0.25, self.call)

    def call(self) -> None:
        self.called_at.append(self.clock.seconds())
        if self.fails:
            raise ValueError("planned")

    def test_it_calls_immediately_and_then_at_intervals_until_it_is_stopped(self) -> None:
        self.periodic.start()
        self.clock.pump([0.25] * 3)
        self.periodic.stop()
        self.clock.pump([0.25] * 3)
        self.assertEqual(self.called_at, [0.0, 0.25, 0.5, 0.75])
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_a_fault_does_not_end_the_series(self) -> None:
        self.fails = True
        with self.assertRaises(ValueError):
            self.periodic.start()
        self.fails = False
        self.clock.advance(0.25)
        self.assertEqual(self.called_at, [0.0, 0.25])

    def test_it_may_be_stopped_before_it_was_started(self) -> None:
        self.periodic.stop()
        self.assertEqual(self.clock.getDelayedCalls(), [])


if __name__ == "__main__":
    unittest.main()
