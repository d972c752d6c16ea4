"""Receivers that are down for a long time get few calls until they recover, and then all call-backs soon."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from bitternpath.queue.actions import SendCallback, SendDelivery
from bitternpath.queue.callbacks import CALLBACK_TIMEOUT_S, FAILURES_BEFORE_PROBING, PROBE_INTERVAL_S
from tests.system.queue.owner_rig import SUCCEEDED, Rig

URL = "http://10.0.0.9:80/done"
RESPONSE_S = 0.01  # response time of a receiver that works or resets connections
STEP_S = 0.01
RECOVERY_S = 3.0  # RULES, LOST: a longer time without a call-back, while some are due, is a violation
DOWN_S = 40.0


class Receivers:
    """Simulated edge nodes and receivers, which report on each call after `RESPONSE_S`, or never."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        # Whether the receiver acknowledges a call-back; None if no report arrives.
        self.acknowledges: Callable[[SendCallback], bool | None] = lambda request: True
        self.calls: list[float] = []
        self.acknowledged: dict[str, float] = {}
        self._reports: list[tuple[float, str, bool]] = []

    def run(self, seconds: float) -> None:
        """Run the simulation for some time."""
        end = self.rig.now + seconds
        while self.rig.now < end:
            for request in self.rig.take_sent(SendCallback):
                self._requested(request)
            self.rig.advance(STEP_S)
            due = [report for report in self._reports if report[0] <= self.rig.now]
            self._reports = [report for report in self._reports if report[0] > self.rig.now]
            for _, request_id, acknowledged in due:
                self.rig.execute(
                    self.rig.owner.callback_report(self.rig.now, request_id, acknowledged=acknowledged)
                )

    def _requested(self, request: SendCallback) -> None:
        self.calls.append(self.rig.now)
        acknowledged = self.acknowledges(request)
        if acknowledged is None:
            return
        if acknowledged:
            self.acknowledged.setdefault(request.request_id, self.rig.now)
        self._reports.append((self.rig.now + RESPONSE_S, request.request_id, acknowledged))


def with_callbacks_due(count: int) -> tuple[Rig, Receivers]:
    """Return a shard with `count` due call-backs to one receiver, which refuses them at first."""
    rig = Rig(edges=("edge-1", "edge-2", "edge-3"))
    for number in range(count):
        rig.append(f"m{number}", callback_url=URL)
    receivers = Receivers(rig)
    receivers.acknowledges = lambda request: False
    for delivery in rig.take_sent(SendDelivery):
        rig.end(delivery, SUCCEEDED)
    return rig, receivers


class Recovery(unittest.TestCase):
    """A receiver that recovers gets all its call-backs."""

    def test_a_receiver_that_resets_gets_few_calls_and_all_soon_after_its_recovery(self) -> None:
        _, receivers = with_callbacks_due(60)
        receivers.run(DOWN_S)
        self.assertLess(len(receivers.calls), FAILURES_BEFORE_PROBING + 8 + DOWN_S / PROBE_INTERVAL_S + 1)
        receivers.acknowledges = lambda request: True
        receivers.run(RECOVERY_S)
        self.assertEqual(len(receivers.acknowledged), 60)

    def test_a_receiver_that_times_out_gets_all_soon_after_its_recovery(self) -> None:
        rig, receivers = with_callbacks_due(60)
        receivers.acknowledges = lambda request: None
        receivers.run(DOWN_S)
        recovered_at = rig.now
        receivers.acknowledges = lambda request: True
        receivers.run(CALLBACK_TIMEOUT_S + PROBE_INTERVAL_S + 0.1)
        self.assertTrue(receivers.acknowledged, "the first within a time-out and a probe interval")
        self.assertLess(
            min(receivers.acknowledged.values()) - recovered_at, CALLBACK_TIMEOUT_S + PROBE_INTERVAL_S + 0.1
        )
        receivers.run(2.0)
        self.assertEqual(len(receivers.acknowledged), 60)

    def test_one_message_that_always_fails_delays_no_other(self) -> None:
        rig, receivers = with_callbacks_due(6)
        receivers.acknowledges = lambda request: request.request_id != "m0"
        receivers.run(1.0)
        self.assertEqual(set(receivers.acknowledged), {f"m{number}" for number in range(1, 6)})
        receivers.run(DOWN_S)  # the failures of m0 alone make it a receiver that is only probed
        rig.append("late", callback_url=URL)
        rig.end(rig.delivery(), SUCCEEDED)
        receivers.run(RECOVERY_S)
        self.assertIn("late", receivers.acknowledged)

    def test_a_receiver_that_fails_one_call_in_two_gets_all(self) -> None:
        _, receivers = with_callbacks_due(60)
        receivers.acknowledges = lambda request: len(receivers.calls) % 2 == 0
        receivers.run(10.0)
        self.assertEqual(len(receivers.acknowledged), 60)


if __name__ == "__main__":
    unittest.main()
