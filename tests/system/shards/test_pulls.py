"""Pulling workers: the shards at which they wait, their jobs and their leases, in virtual time."""

from __future__ import annotations

import unittest
from random import Random

from bitternpath.configuration.placement import shard_group
from bitternpath.queue.sharding import lease_id
from bitternpath.shards.job_results import outcome_of
from bitternpath.shards.pulls import DEMAND_TTL_S, PullRouter
from bitternpath.shards.reports import AttemptReporter
from bitternpath.shards.results import LeaseAnswer
from bitternpath.transport.records import AttemptOutcome
from bitternpath.transport.shard_messages import (
    EndAttemptRequest,
    EndAttemptResponse,
    PullCancel,
    PullResponse,
    WorkAvailable,
)
from tests.system.shards.shard_case import FakeLink, ShardCase, message


class PullTest(ShardCase):
    """Waiting workers and calls about their leases."""

    STATUSES = (
        (200, "s", AttemptOutcome.SUCCEEDED),
        (204, "s", AttemptOutcome.SUCCEEDED),
        (200, "", AttemptOutcome.UNKNOWN),
        (500, "", AttemptOutcome.FAILED),
        (422, "", AttemptOutcome.REJECTED),
        (503, "", AttemptOutcome.NOT_RUN),
        (429, "", AttemptOutcome.NOT_RUN),
        (400, "", AttemptOutcome.NOT_RUN),
        (504, "", AttemptOutcome.UNKNOWN),
        (302, "", AttemptOutcome.UNKNOWN),
    )

    def setUp(self) -> None:
        super().setUp()
        self.reports = AttemptReporter(self.clock, self.owners)
        self.pulls = PullRouter(self.clock, self.owners, self.reports, "z0", Random(1))

    def pulled_link(self) -> FakeLink:
        """Return the link over which the worker waits."""
        return next(link for link in self.links if link.requests)

    def test_statuses(self) -> None:
        for status, stamp, outcome in self.STATUSES:
            with self.subTest(status=status, stamp=stamp):
                self.assertEqual(outcome_of(status, stamp), outcome)

    def test_a_job_comes_or_the_wait_ends(self) -> None:
        job = self.pulls.pull("s", "i", 1000)
        self.pulled_link().answer(PullResponse(1, "l1", message()))
        self.assertEqual(self.result(job.result).lease_id, "l1")
        empty = self.pulls.pull("s", "i", 1000)
        self.pulled_link().answer(PullResponse(1, "", None))
        self.assertTrue(empty.result.called)

    def test_a_job_for_a_disconnected_worker_is_returned_as_not_run(self) -> None:
        pull = self.pulls.pull("s", "i", 1000)
        link = self.pulled_link()
        group = link.requests[0][0].group
        pull.cancel()
        self.assertIsInstance(link.sent[0], PullCancel)
        link.answer(PullResponse(1, "l1", message()))
        owner = self.owners.owner(group)
        returned = [request for request, _ in (owner.link.requests if owner else [])]  # type: ignore[attr-defined]
        self.assertIsInstance(returned[0], EndAttemptRequest)
        self.assertEqual((returned[0].lease_id, returned[0].outcome), ("l1", AttemptOutcome.NOT_RUN))

    def waiting_at(self, number: int) -> int:
        """Return the number of pulls that wait at a link, without cancelled ones."""
        return len(self.links[number].requests) - len(self.links[number].sent)

    def test_workers_wait_at_the_owner_in_their_zone_or_where_there_is_one(self) -> None:
        for _ in range(10):
            self.pulls.pull("s", "i", 1000)
        self.assertEqual([len(link.requests) for link in self.links], [10, 0, 0])
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        for _ in range(40):
            self.pulls.pull("s", "i", 1000)
        self.assertTrue(all(len(link.requests) > 9 for link in self.links))

    def test_waiting_workers_move_to_where_jobs_wait(self) -> None:
        for _ in range(30):
            self.pulls.pull("s", "i", 1000)
        before = self.waiting_at(2)
        self.pulls.work_available(WorkAvailable(shard_group(2), "s", 20, 4))
        self.assertEqual(self.waiting_at(2), before + 5)
        self.pulls.work_available(WorkAvailable(shard_group(2), "other", 20, 4))
        self.assertEqual(self.waiting_at(2), before + 5)

    def test_a_later_worker_goes_to_a_shard_with_unmet_demand(self) -> None:
        self.pulls.work_available(WorkAvailable(shard_group(2), "s", 1, 4))
        self.pulls.pull("other", "i", 1000)
        self.pulls.pull("s", "i", 1000)
        self.assertEqual(self.waiting_at(2), 1)
        self.pulls.pull("s", "i", 1000)
        self.assertEqual(self.waiting_at(2), 1)

    def test_a_shards_demand_expires(self) -> None:
        self.pulls.work_available(WorkAvailable(shard_group(2), "s", 1, 4))
        self.clock.advance(DEMAND_TTL_S + 0.01)
        self.pulls.pull("s", "i", 1000)
        self.assertEqual(self.waiting_at(2), 0)

    def test_each_waiting_worker_is_claimed_once(self) -> None:
        self.pulls.pull("s", "i", 1000)
        self.pulls.pull("other", "i", 1000)
        self.assertEqual([self.pulls.claim_waiting_worker("s") for _ in range(2)], [shard_group(0), ""])
        self.pulls.pull("s", "i", 1000)
        self.assertEqual(self.pulls.claim_waiting_worker("s"), shard_group(0))

    def test_a_worker_that_has_moved_may_be_claimed_again(self) -> None:
        self.pulls.pull("s", "i", 1000)
        self.pulls.claim_waiting_worker("s")
        self.pulls.work_available(WorkAvailable(shard_group(2), "s", 1, 1))
        self.assertEqual(self.pulls.claim_waiting_worker("s"), shard_group(2))

    def test_a_job_of_an_earlier_shard_goes_to_the_worker_and_a_second_one_is_returned(self) -> None:
        pull = self.pulls.pull("s", "i", 1000)
        first_link = self.pulled_link()
        target = next(number for number, link in enumerate(self.links) if link is not first_link)
        self.pulls.work_available(WorkAvailable(shard_group(target), "s", 1, 1))
        first_link.answer(PullResponse(1, "first", message()))
        self.assertEqual(self.result(pull.result).lease_id, "first")
        self.assertIsInstance(self.links[target].sent[0], PullCancel)
        self.links[target].answer(PullResponse(1, "second", message("r2")))
        returned = [request for request, _ in self.links[target].requests]
        self.assertEqual([request.lease_id for request in returned], ["second"])

    def test_an_empty_response_of_an_earlier_shard_does_not_end_the_wait(self) -> None:
        pull = self.pulls.pull("s", "i", 1000)
        first_link = self.pulled_link()
        target = next(number for number, link in enumerate(self.links) if link is not first_link)
        self.pulls.work_available(WorkAvailable(shard_group(target), "s", 1, 1))
        first_link.answer(PullResponse(1, "", None))
        self.assertFalse(pull.result.called)

    def test_a_lost_link_ends_only_the_waits_at_its_node(self) -> None:
        pull = self.pulls.pull("s", "i", 1000)
        first_link = self.pulled_link()
        target = next(number for number, link in enumerate(self.links) if link is not first_link)
        self.pulls.work_available(WorkAvailable(shard_group(target), "s", 1, 1))
        first_link.lose()
        self.assertFalse(pull.result.called)
        self.links[target].lose()
        self.assertIsNone(self.result(pull.result))
        self.assertTrue(pull.result.called)

    def test_without_an_owner_a_worker_waits_for_its_full_time(self) -> None:
        for link in self.links:
            self.owners.link_closed(link)  # type: ignore[arg-type]
        pull = self.pulls.pull("s", "i", 1000)
        self.clock.advance(0.9)
        self.assertFalse(pull.result.called)
        self.clock.advance(0.2)
        self.assertTrue(pull.result.called)

    def test_ends_and_extensions(self) -> None:
        lease = lease_id(1, 3, 9)
        cases = (
            (EndAttemptResponse(1, True), LeaseAnswer.ACKNOWLEDGED),
            (EndAttemptResponse(1, False), LeaseAnswer.NOT_CURRENT),
        )
        for record, expected in cases:
            end = self.pulls.end(lease, "r1", 200, "stamp")
            self.links[1].answer(record)
            extension = self.pulls.extend(lease, "r1")
            self.links[1].answer(record)
            self.assertEqual([self.result(end), self.result(extension)], [expected] * 2)

    def test_without_an_owner_they_are_unavailable_in_the_end(self) -> None:
        self.owners.link_closed(self.links[1])  # type: ignore[arg-type]
        lease = lease_id(1, 3, 9)
        waiting = [self.pulls.end(lease, "r1", 200, "s"), self.pulls.extend(lease, "r1")]
        self.clock.pump([0.1] * 60)
        self.assertEqual([self.result(each) for each in waiting], [LeaseAnswer.UNAVAILABLE] * 2)

    def test_a_malformed_lease_id_is_not_current(self) -> None:
        self.assertEqual(self.result(self.pulls.end("nonsense", "r1", 200, "s")), LeaseAnswer.NOT_CURRENT)
        self.assertEqual(self.result(self.pulls.extend("nonsense", "r1")), LeaseAnswer.NOT_CURRENT)


if __name__ == "__main__":
    unittest.main()
