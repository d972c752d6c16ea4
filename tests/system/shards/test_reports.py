"""Reports of ended attempts, in virtual time."""

from __future__ import annotations

import unittest

from bitternpath.configuration.placement import shard_group
from bitternpath.shards.reports import AttemptReport, AttemptReporter
from bitternpath.shards.results import LeaseAnswer
from bitternpath.transport.records import AttemptOutcome
from bitternpath.transport.shard_messages import (
    EndAttemptResponse,
    RefusalReason,
    Refused,
    RequestOutcomeUnknown,
)
from tests.system.shards.shard_case import ShardCase


class ReportTest(ShardCase):
    """A report is retried until an owner has responded."""

    def setUp(self) -> None:
        super().setUp()
        self.reports = AttemptReporter(self.clock, self.owners)
        self.report = AttemptReport(shard_group(0), "r1", "l1", AttemptOutcome.SUCCEEDED, "stamp")

    def test_it_follows_the_shard_to_its_next_owner(self) -> None:
        waiting = self.reports.send(self.report)
        self.links[0].lose()
        self.owned(0, self.links[1], 2)
        self.clock.advance(0.2)
        request = self.links[1].requests[0][0]
        self.assertEqual(
            (request.lease_id, request.outcome, request.stamp), ("l1", AttemptOutcome.SUCCEEDED, "stamp")
        )
        self.links[1].answer(EndAttemptResponse(1, True))
        self.assertIs(self.result(waiting), LeaseAnswer.ACKNOWLEDGED)

    def test_refusals_and_unknown_outcomes_are_retried(self) -> None:
        waiting = self.reports.send(self.report)
        for answer in (
            Refused(1, RefusalReason.NOT_OWNER),
            RequestOutcomeUnknown(1),
            EndAttemptResponse(1, False),
        ):
            self.links[0].answer(answer)
            self.clock.advance(0.2)
        self.assertIs(self.result(waiting), LeaseAnswer.NOT_CURRENT)

    def test_it_is_in_flight_until_an_owner_has_answered(self) -> None:
        in_flight_at_result: list[int] = []
        waiting = self.reports.send(self.report)
        waiting.addCallback(lambda _: in_flight_at_result.append(self.reports.in_flight))
        self.assertEqual(self.reports.in_flight, 1)
        self.links[0].answer(EndAttemptResponse(1, True))
        self.assertEqual(in_flight_at_result, [0])


if __name__ == "__main__":
    unittest.main()
