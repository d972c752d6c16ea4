"""Reports of ended attempts: repeated reports get the same response, and new owners continue the counts."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from bitternpath.queue.actions import AnswerPoll, SendDelivery
from bitternpath.queue.entries import MAX_ENDED_LEASES
from bitternpath.queue.state import QueueState
from bitternpath.shards.job_results import outcome_of
from bitternpath.transport.records import AttemptOutcome, MessageState
from tests.system.queue.owner_rig import (
    FAILED,
    NOT_RUN,
    PULL_LEASE_S,
    REJECTED,
    SUCCEEDED,
    UNKNOWN,
    Rig,
)

MAX_ATTEMPTS = 3  # of the rig's routes
OUTCOMES = (SUCCEEDED, FAILED, REJECTED, NOT_RUN, UNKNOWN)


def restart(rig: Rig) -> None:
    """Start the next owner from a snapshot."""
    state = QueueState(lambda: rig.now, lambda: 0)
    state.restore(rig.state.snapshot())
    rig.state = state
    rig.start_owner()


def change_owner(rig: Rig) -> None:
    """Start another owner of the same state."""
    rig.start_owner()


def continue_processing(rig: Rig) -> None:
    """Lease the message again, or end it."""
    rig.poll(90, wait_s=10.0)
    rig.advance(5.0)
    for job in rig.take_sent(AnswerPoll):
        rig.end(job, SUCCEEDED)
    rig.advance(5.0)


def no_event(rig: Rig) -> None:
    """Do nothing."""


EVENTS: tuple[Callable[[Rig], None], ...] = (no_event, change_owner, restart, continue_processing)


class RepeatedReports(unittest.TestCase):
    """MIXED: an end that was accepted once is accepted again by any owner, regardless of later events."""

    def job(self) -> tuple[Rig, AnswerPoll]:
        rig = Rig()
        rig.poll(1)
        rig.append("m", path="/jobs/x")
        return rig, rig.answer()

    def test_the_same_end_has_the_same_answer(self) -> None:
        for outcome in OUTCOMES:
            for event in EVENTS:
                with self.subTest(outcome, event=event.__doc__):
                    rig, job = self.job()
                    self.assertTrue(rig.end(job, outcome))
                    state, attempts = rig.state_of("m"), self.attempts(rig)
                    event(rig)
                    self.assertTrue(rig.end(job, outcome))
                    self.assertTrue(rig.end(job, outcome))
                    if event is not continue_processing:
                        self.assertEqual((rig.state_of("m"), self.attempts(rig)), (state, attempts))

    def attempts(self, rig: Rig) -> int:
        entry = rig.state.find("m")
        assert entry is not None
        return entry.attempts

    def test_another_end_of_that_lease_is_refused(self) -> None:
        for first in OUTCOMES:
            for second in OUTCOMES:
                if first is not second:
                    with self.subTest(first, second=second):
                        rig, job = self.job()
                        rig.end(job, first)
                        self.assertFalse(rig.end(job, second))

    def test_two_leases_are_never_both_accepted(self) -> None:
        for event in (no_event, change_owner, restart):
            for order in (0, 1):
                with self.subTest(event.__doc__, order=order):
                    rig, first = self.job()
                    rig.poll(2, wait_s=60.0)
                    rig.advance(PULL_LEASE_S + 0.1)
                    second = rig.answer()
                    self.assertNotEqual(first.lease_id, second.lease_id)
                    event(rig)
                    jobs = (first, second) if order else (second, first)
                    accepted = [rig.end(job, SUCCEEDED) for job in jobs]
                    self.assertEqual(sorted(accepted), [False, True])
                    self.assertTrue(rig.end(second, SUCCEEDED))

    def test_the_end_of_a_timed_out_lease_is_accepted_until_another_is_granted(self) -> None:
        rig, job = self.job()
        rig.advance(PULL_LEASE_S + 5.0)
        self.assertTrue(rig.end(job, SUCCEEDED))
        self.assertIs(rig.state_of("m"), MessageState.DONE)

    def test_the_newest_ends_are_recorded(self) -> None:
        rig, job = self.job()
        for number in range(MAX_ENDED_LEASES + 5):
            self.assertTrue(rig.end(job, NOT_RUN))
            self.assertTrue(rig.end(job, NOT_RUN))
            rig.poll(10 + number, wait_s=5.0)
            rig.advance(1.0)
            job = rig.answer()

    def test_the_outcome_of_each_status(self) -> None:
        for status, stamp, outcome in (
            (200, "s", SUCCEEDED),
            (204, "s", SUCCEEDED),
            (500, "", FAILED),
            (500, "s", FAILED),
            (422, "", REJECTED),
            (503, "", NOT_RUN),
            (429, "", NOT_RUN),
            (400, "", NOT_RUN),
            (504, "", UNKNOWN),
        ):
            self.assertIs(outcome_of(status, stamp), outcome)


class Budgets(unittest.TestCase):
    """BUDGET: a message that always fails ends after `max_attempts`, even if its shard changes owners."""

    def runs(self, outcome: AttemptOutcome, event: Callable[[Rig], None]) -> int:
        """Return how often a worker gets a message whose attempts all have `outcome`, each reported twice."""
        rig = Rig()
        rig.append("m")
        runs = 0
        while rig.state_of("m") is MessageState.QUEUED:
            sent = rig.take_sent(SendDelivery)
            if not sent:
                rig.advance(0.1)
                continue
            runs += 1
            self.assertLess(runs, 3 * MAX_ATTEMPTS)
            for _ in range(2):
                self.assertTrue(rig.end(sent[0], outcome))
                event(rig)
        rig.advance(30.0)
        self.assertEqual(rig.take_sent(SendDelivery), [])
        return runs

    def next_delivery(self, rig: Rig) -> SendDelivery:
        while not rig.sent:
            rig.advance(0.05)
        return rig.delivery()

    def test_failures_and_rejections(self) -> None:
        for event in (no_event, change_owner, restart):
            with self.subTest(event.__doc__):
                self.assertEqual(self.runs(FAILED, event), MAX_ATTEMPTS)
                self.assertEqual(self.runs(REJECTED, event), 1)

    def test_a_report_that_comes_before_the_configuration_counts(self) -> None:
        rig = Rig()
        rig.append("m")
        for _ in range(MAX_ATTEMPTS):
            delivery = self.next_delivery(rig)
            rig.start_owner(routing=None)
            rig.end(delivery, FAILED)
            rig.start_owner()
        rig.end(self.next_delivery(rig), FAILED)  # the first report that is checked against `max_attempts`
        self.assertIs(rig.state_of("m"), MessageState.DEAD_LETTER)


if __name__ == "__main__":
    unittest.main()
