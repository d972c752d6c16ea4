"""Receivers of call-backs that are down for long and come back: few calls meanwhile, all are told soon."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from bitternpath.queue.actions import SendCallback, SendDelivery
from bitternpath.queue.callbacks import CALLBACK_TIMEOUT_S, FAILURES_BEFORE_PROBING, PROBE_INTERVAL_S
from tests.system.test_queue_rig import SUCCEEDED, Rig

URL = "http://10.0.0.9:80/done"
ANSWER_S = 0.01  # a receiver that is up, or resets, is heard of after that
STEP_S = 0.01
STEADY_S = 3.0  # RULES, LOST: so long without a call-back, while some are owed, counts
DOWN_S = 40.0


class Receivers:
    """Plays edge nodes and receivers: each order is reported on after `ANSWER_S`, or never."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.takes: Callable[[SendCallback], bool | None] = lambda order: True  # None: no report comes
        self.calls: list[float] = []
        self.taken: dict[str, float] = {}
        self._reports: list[tuple[float, str, bool]] = []

    def play(self, seconds: float) -> None:
        """Let time pass."""
        end = self.rig.now + seconds
        while self.rig.now < end:
            for order in self.rig.take_sent(SendCallback):
                self._ordered(order)
            self.rig.advance(STEP_S)
            due = [report for report in self._reports if report[0] <= self.rig.now]
            self._reports = [report for report in self._reports if report[0] > self.rig.now]
            for _, request_id, taken in due:
                self.rig.do(self.rig.owner.callback_report(self.rig.now, request_id, taken))

    def _ordered(self, order: SendCallback) -> None:
        self.calls.append(self.rig.now)
        taken = self.takes(order)
        if taken is None:
            return
        if taken:
            self.taken.setdefault(order.request_id, self.rig.now)
        self._reports.append((self.rig.now + ANSWER_S, order.request_id, taken))


def owing(count: int) -> tuple[Rig, Receivers]:
    """A shard that owes `count` call-backs to one receiver."""
    rig = Rig(edges=("edge-1", "edge-2", "edge-3"))
    for number in range(count):
        rig.append(f"m{number}", callback_url=URL)
    receivers = Receivers(rig)
    receivers.takes = lambda order: False
    for delivery in rig.take_sent(SendDelivery):
        rig.end(delivery, SUCCEEDED)
    return rig, receivers


class Recovery(unittest.TestCase):
    """At the end of a day with receivers that were down all are told."""

    def test_a_receiver_that_resets_costs_little_and_is_told_soon_after(self) -> None:
        _, receivers = owing(60)
        receivers.play(DOWN_S)
        self.assertLess(len(receivers.calls), FAILURES_BEFORE_PROBING + 8 + DOWN_S / PROBE_INTERVAL_S + 1)
        receivers.takes = lambda order: True
        receivers.play(STEADY_S)
        self.assertEqual(len(receivers.taken), 60)

    def test_a_receiver_that_says_nothing_is_told_soon_after(self) -> None:
        rig, receivers = owing(60)
        receivers.takes = lambda order: None
        receivers.play(DOWN_S)
        up = rig.now
        receivers.takes = lambda order: True
        receivers.play(CALLBACK_TIMEOUT_S + PROBE_INTERVAL_S + 0.1)
        self.assertTrue(receivers.taken, "the first within a time-out and a probe's pause")
        self.assertLess(min(receivers.taken.values()) - up, CALLBACK_TIMEOUT_S + PROBE_INTERVAL_S + 0.1)
        receivers.play(2.0)
        self.assertEqual(len(receivers.taken), 60)

    def test_one_message_that_is_always_refused_holds_up_no_other(self) -> None:
        rig, receivers = owing(6)
        receivers.takes = lambda order: order.request_id != "m0"
        receivers.play(1.0)
        self.assertEqual(set(receivers.taken), {f"m{number}" for number in range(1, 6)})
        receivers.play(DOWN_S)  # m0 alone has made it a failing receiver
        rig.append("late", callback_url=URL)
        rig.end(rig.delivery(), SUCCEEDED)
        receivers.play(STEADY_S)
        self.assertIn("late", receivers.taken)

    def test_a_receiver_that_fails_one_call_in_two_gets_all(self) -> None:
        _, receivers = owing(60)
        receivers.takes = lambda order: len(receivers.calls) % 2 == 0
        receivers.play(10.0)
        self.assertEqual(len(receivers.taken), 60)


if __name__ == "__main__":
    unittest.main()
