"""Selection of workers by the networks. Virtual time."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from bitternpath.dispatch.selection import WorkerSelection
from tests.system.dispatch.delivery_case import (
    BUSY,
    DONE,
    NO_CONNECTION,
    TIMED_OUT,
    WRONG_INSTANCE,
    entry,
)


class SelectionTest(unittest.TestCase):
    """Selection among four workers of one service."""

    def setUp(self) -> None:
        self.selection = WorkerSelection(Random(7))
        self.selection.workers_changed([entry(n, slots=100) for n in range(4)], [])

    def counts_of_choices(self, times: dict[str, float], rounds: int) -> dict[str, int]:
        """Send one delivery at a time; count how often each worker was chosen in the second half."""
        counts = dict.fromkeys(times, 0)
        for number in range(rounds):
            worker = self.selection.choose(float(number), "route", "workers")
            assert worker is not None
            self.selection.delivery_started(worker)
            self.selection.delivery_ended(
                float(number), "route", worker, replace(DONE, elapsed_s=times[worker.name])
            )
            counts[worker.name] += number >= rounds / 2
        return counts

    def test_the_fastest_worker_gets_most_and_others_are_still_explored(self) -> None:
        counts = self.counts_of_choices({"i0": 0.1, "i1": 0.1, "i2": 0.02, "i3": 0.1}, 1000)
        self.assertGreater(counts["i2"], 300)
        self.assertTrue(all(count > 0 for count in counts.values()))

    def test_own_deliveries_in_flight_spread_the_load(self) -> None:
        chosen = []
        for _ in range(40):
            worker = self.selection.choose(0.0, "route", "workers")
            assert worker is not None
            self.selection.delivery_started(worker)
            chosen.append(worker.name)
        self.assertTrue(all(chosen.count(f"i{n}") >= 5 for n in range(4)))

    def test_no_more_than_its_slots(self) -> None:
        self.selection.workers_changed([entry(8, "small", slots=2)], [])
        for _ in range(2):
            worker = self.selection.choose(0.0, "r", "small")
            assert worker is not None
            self.selection.delivery_started(worker)
        self.assertIsNone(self.selection.choose(0.0, "r", "small"))

    def test_an_unhealthy_worker_is_suspended_for_a_while(self) -> None:
        for result, within in ((TIMED_OUT, 1.0), (NO_CONNECTION, 1.0), (BUSY, 0.1), (WRONG_INSTANCE, 6.0)):
            with self.subTest(result=result):
                self.selection.workers_changed([entry(8, "one")], ["i8"])
                worker = self.selection.choose(0.0, "r", "one")
                assert worker is not None
                self.selection.delivery_started(worker)
                self.selection.delivery_ended(0.0, "r", worker, result)
                self.assertIsNone(self.selection.choose(0.01, "r", "one"))
                self.assertIsNotNone(self.selection.choose(within, "r", "one"))

    def test_a_new_incarnation_is_a_new_neuron(self) -> None:
        self.counts_of_choices({"i0": 0.1, "i1": 0.1, "i2": 0.02, "i3": 0.1}, 400)
        self.selection.workers_changed([entry(7)], ["i2"])
        self.assertIsNone(self.selection.worker("i2"))
        self.assertIsNotNone(self.selection.worker("i7"))
        worker = self.selection.choose(1.0, "route", "workers", exclude=["i0", "i1", "i3"])
        self.assertEqual(worker.name if worker else "", "i7")

    def test_a_result_after_the_worker_has_left_is_ignored(self) -> None:
        worker = self.selection.choose(0.0, "route", "workers")
        assert worker is not None
        self.selection.delivery_started(worker)
        self.selection.workers_changed([], [f"i{n}" for n in range(4)])
        self.selection.delivery_ended(1.0, "route", worker, DONE)
        self.assertIsNone(self.selection.choose(1.0, "route", "workers"))


if __name__ == "__main__":
    unittest.main()
