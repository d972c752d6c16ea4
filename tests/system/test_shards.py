"""The edge node's client of the shards: owners, appends, reports, pulls and look-ups. Virtual time."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bitternpath.configuration.placement import shard_group
from bitternpath.ingress.interfaces import Acceptance, AcceptResult, FoundMessage, LeaseAnswer, LookupFailure
from bitternpath.queue.sharding import lease_id, message_id, shard_for
from bitternpath.shards.appends import Appender
from bitternpath.shards.job_results import outcome_of
from bitternpath.shards.lookups import MessageLookup
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.pulls import DEMAND_TTL_S, PullRouter
from bitternpath.shards.reports import AttemptReport, AttemptReporter
from bitternpath.transport.errors import LinkLost
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind
from bitternpath.transport.records import AttemptOutcome, Message, MessageState
from bitternpath.transport.shard_messages import (
    AppendResponse,
    EndAttemptRequest,
    EndAttemptResponse,
    Ownership,
    PullCancel,
    PullResponse,
    RefusalReason,
    Refused,
    RequestOutcomeUnknown,
    StateResponse,
    WorkAvailable,
)

SHARDS = 3


def message(request_id: str = "r1", order_key: str = "") -> Message:
    """A message."""
    return Message(
        request_id, "POST", "a.example", "/x", (), order_key, "route", 1, 0, "", "edge-1", 0, b"body"
    )


class FakeLink:
    """A link to a storage node; the test answers its requests."""

    def __init__(self, name: str, zone: str) -> None:
        self.peer = NodeDescriptor(name, "10.0.0.1:1", NodeKind.STORAGE, zone, True, "d", 1, 0)
        self.peer_name = name
        self.requests: list[tuple[Any, Deferred[Any]]] = []
        self.sent: list[Any] = []

    def request(self, make: Callable[[int], Any]) -> Deferred[Any]:
        waiting: Deferred[Any] = Deferred()
        self.requests.append((make(len(self.requests) + 1), waiting))
        return waiting

    def send(self, record: Any) -> None:
        self.sent.append(record)

    def answer(self, record: Any) -> None:
        self.requests.pop(0)[1].callback(record)

    def lose(self) -> None:
        self.requests.pop(0)[1].errback(LinkLost())


class ShardTest(unittest.TestCase):
    """Three shards; shard 0 is owned in this node's zone."""

    def setUp(self) -> None:
        self.clock = Clock()
        self.owners = ShardOwners(lambda group: None)
        self.links = [FakeLink(f"storage-{n}", f"z{n}") for n in range(SHARDS)]
        for shard in range(SHARDS):
            self.owned(shard, self.links[shard], 1)

    def owned(self, shard: int, link: FakeLink, epoch: int, owns: bool = True) -> None:
        self.owners.ownership_changed(link, Ownership(shard_group(shard), epoch, owns))  # type: ignore[arg-type]

    def result(self, waiting: Deferred[Any]) -> Any:
        """The result so far, or None."""
        results: list[Any] = []
        waiting.addCallback(lambda value: results.append(value) or value)  # type: ignore[func-returns-value]
        return results[0] if results else None


class OwnersTest(ShardTest):
    """An announcement with an earlier epoch is ignored."""

    def test_a_later_epoch_wins_and_an_earlier_one_is_ignored(self) -> None:
        self.owned(0, self.links[1], 5)
        self.owned(0, self.links[2], 4)
        owner = self.owners.owner(shard_group(0))
        self.assertIs(owner.link if owner else None, self.links[1])
        self.owned(0, self.links[0], 1, owns=False)  # the previous owner's resignation comes late
        self.assertIsNotNone(self.owners.owner(shard_group(0)))

    def test_a_closed_link_owns_nothing(self) -> None:
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        self.assertIsNone(self.owners.owner(shard_group(0)))


class AppendTest(ShardTest):
    """A message is rejected only where it can't have been appended (RULES, REFUSED)."""

    def setUp(self) -> None:
        super().setUp()
        self.appender = Appender(self.clock, self.owners, "z0", Random(1))
        self.appender.shard_count = SHARDS

    def accept(self, order_key: str = "", deadline_ms: int = 400) -> Deferred[Acceptance]:
        return self.appender.accept(message(order_key=order_key), deadline_ms)

    def test_an_unordered_message_goes_to_the_owner_in_the_zone(self) -> None:
        waiting = self.accept()
        self.links[0].answer(AppendResponse(1))
        self.assertEqual(self.result(waiting), Acceptance(AcceptResult.ACCEPTED, message_id(0, "r1")))

    def test_an_unordered_message_goes_to_where_a_worker_of_this_node_waits(self) -> None:
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        for group in (1, 2):
            appender = Appender(
                self.clock, self.owners, "z0", Random(1), lambda _, group=group: shard_group(group)
            )
            appender.shard_count = SHARDS
            before = len(self.links[group].requests)
            for _ in range(5):
                appender.accept(message(), 400)
            self.assertEqual(len(self.links[group].requests), before + 5)

    def test_without_one_in_the_zone_it_goes_to_another(self) -> None:
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        self.accept()
        self.assertEqual(sum(len(link.requests) for link in self.links), 1)

    def test_an_ordered_message_goes_to_the_shard_of_its_key_or_is_rejected(self) -> None:
        shard = shard_for("k", 0, SHARDS)
        self.accept("k")
        self.assertEqual(
            [len(link.requests) for link in self.links], [int(n == shard) for n in range(SHARDS)]
        )
        self.owners.link_closed(self.links[shard])  # type: ignore[arg-type]
        refused = self.result(self.accept("k"))
        self.assertEqual(refused.result, AcceptResult.REJECTED)
        self.assertGreaterEqual(refused.retry_after_s, 1)

    def test_before_the_placement_is_known_all_are_rejected(self) -> None:
        self.appender.shard_count = 0
        self.assertEqual(self.result(self.accept()).result, AcceptResult.REJECTED)

    def test_results_by_the_owners_responses(self) -> None:
        refusal = Refused(1, RefusalReason.NOT_OWNER)
        cases: tuple[tuple[str, list[Any], AcceptResult], ...] = (
            ("appended", [AppendResponse(1)], AcceptResult.ACCEPTED),
            ("refused", [refusal], AcceptResult.REJECTED),
            ("full", [Refused(1, RefusalReason.FULL)], AcceptResult.REJECTED),
            (
                "unknown, then appended",
                [RequestOutcomeUnknown(1), AppendResponse(1)],
                AcceptResult.ACCEPTED,
            ),
            (
                "unknown, then refused until the deadline",
                [RequestOutcomeUnknown(1), refusal, refusal],
                AcceptResult.UNKNOWN,
            ),
            ("response lost, then appended", [None, AppendResponse(1)], AcceptResult.ACCEPTED),
            ("response lost, then refused", [None, refusal], AcceptResult.UNKNOWN),
            ("no response", [], AcceptResult.UNKNOWN),
        )
        for label, answers, expected in cases:
            with self.subTest(label):
                self.links[0].requests.clear()
                waiting = self.accept()
                for answer in answers:
                    self.clock.advance(0.03)
                    if answer is None:
                        self.links[0].lose()
                    else:
                        self.links[0].answer(answer)
                self.clock.advance(0.5)
                self.assertEqual(self.result(waiting).result, expected)
                self.assertEqual(self.appender.in_flight, 0)

    def test_after_a_lost_response_it_is_retried_at_its_shard_under_its_id(self) -> None:
        waiting = self.accept()
        self.links[0].lose()
        self.owners.link_closed(self.links[0])  # type: ignore[arg-type]
        self.clock.pump([0.05, 0.05])
        self.owned(0, self.links[2], 2)
        self.clock.advance(0.05)
        request = self.links[2].requests[0][0]
        self.assertEqual((request.group, request.message.request_id), (shard_group(0), "r1"))
        self.links[2].answer(AppendResponse(1))
        self.assertEqual(self.result(waiting).message_id, message_id(0, "r1"))

    def test_a_response_after_the_deadline_changes_nothing(self) -> None:
        waiting = self.accept()
        self.clock.advance(0.5)
        self.links[0].answer(AppendResponse(1))
        self.assertEqual(self.result(waiting).result, AcceptResult.UNKNOWN)


class ReportTest(ShardTest):
    """A report is sent until an owner has answered it."""

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
        self.assertIs(self.result(waiting), LeaseAnswer.GONE)

    def test_it_is_in_flight_until_an_owner_has_answered(self) -> None:
        in_flight_at_result: list[int] = []
        waiting = self.reports.send(self.report)
        waiting.addCallback(lambda _: in_flight_at_result.append(self.reports.in_flight))
        self.assertEqual(self.reports.in_flight, 1)
        self.links[0].answer(EndAttemptResponse(1, True))
        self.assertEqual(in_flight_at_result, [0])


class PullTest(ShardTest):
    """Waiting workers, and calls about the leases that they hold."""

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
        """The link over which the worker waits."""
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

    def test_a_job_for_a_worker_that_has_gone_is_handed_back_as_not_run(self) -> None:
        ticket = self.pulls.pull("s", "i", 1000)
        link = self.pulled_link()
        group = link.requests[0][0].group
        ticket.cancel()
        self.assertIsInstance(link.sent[0], PullCancel)
        link.answer(PullResponse(1, "l1", message()))
        owner = self.owners.owner(group)
        returned = [request for request, _ in (owner.link.requests if owner else [])]  # type: ignore[attr-defined]
        self.assertIsInstance(returned[0], EndAttemptRequest)
        self.assertEqual((returned[0].lease_id, returned[0].outcome), ("l1", AttemptOutcome.NOT_RUN))

    def waiting_at(self, number: int) -> int:
        """Pulls that wait at a link; cancelled ones don't count."""
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

    def test_a_job_of_an_earlier_shard_goes_to_the_worker_and_a_second_one_back(self) -> None:
        ticket = self.pulls.pull("s", "i", 1000)
        left = self.pulled_link()
        target = next(number for number, link in enumerate(self.links) if link is not left)
        self.pulls.work_available(WorkAvailable(shard_group(target), "s", 1, 1))
        left.answer(PullResponse(1, "first", message()))
        self.assertEqual(self.result(ticket.result).lease_id, "first")
        self.assertIsInstance(self.links[target].sent[0], PullCancel)
        self.links[target].answer(PullResponse(1, "second", message("r2")))
        returned = [request for request, _ in self.links[target].requests]
        self.assertEqual([request.lease_id for request in returned], ["second"])

    def test_an_empty_response_of_an_earlier_shard_does_not_end_the_wait(self) -> None:
        ticket = self.pulls.pull("s", "i", 1000)
        left = self.pulled_link()
        target = next(number for number, link in enumerate(self.links) if link is not left)
        self.pulls.work_available(WorkAvailable(shard_group(target), "s", 1, 1))
        left.answer(PullResponse(1, "", None))
        self.assertFalse(ticket.result.called)

    def test_without_an_owner_a_worker_waits_for_its_full_time(self) -> None:
        for link in self.links:
            self.owners.link_closed(link)  # type: ignore[arg-type]
        ticket = self.pulls.pull("s", "i", 1000)
        self.clock.advance(0.9)
        self.assertFalse(ticket.result.called)
        self.clock.advance(0.2)
        self.assertTrue(ticket.result.called)

    def test_ends_and_extensions(self) -> None:
        lease = lease_id(1, 3, 9)
        cases = (
            (EndAttemptResponse(1, True), LeaseAnswer.ACKNOWLEDGED),
            (EndAttemptResponse(1, False), LeaseAnswer.GONE),
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

    def test_a_malformed_lease_id_is_gone(self) -> None:
        self.assertEqual(self.result(self.pulls.end("nonsense", "r1", 200, "s")), LeaseAnswer.GONE)
        self.assertEqual(self.result(self.pulls.extend("nonsense", "r1")), LeaseAnswer.GONE)


class LookupTest(ShardTest):
    """States by message id and by request id."""

    def setUp(self) -> None:
        super().setUp()
        self.lookup = MessageLookup(self.clock, self.owners)
        self.lookup.shard_count = SHARDS

    def test_an_id_that_names_its_shard_queries_that_shard_alone(self) -> None:
        waiting = self.lookup.find(message_id(2, "r1"), wants_body=True)
        self.assertEqual([len(link.requests) for link in self.links], [0, 0, 1])
        self.links[2].answer(StateResponse(1, True, MessageState.DONE, "stamp", b"x"))
        self.assertEqual(self.result(waiting), FoundMessage(MessageState.DONE, "stamp", b"x"))

    def test_a_request_id_queries_all_shards(self) -> None:
        waiting = self.lookup.find("r1", wants_body=False)
        for shard, link in enumerate(self.links):
            link.answer(StateResponse(1, shard == 1, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting), FoundMessage(MessageState.QUEUED, "", None))

    def test_unknown_only_where_all_have_answered(self) -> None:
        waiting = self.lookup.find("r1", wants_body=False)
        for link in self.links:
            link.answer(StateResponse(1, False, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting), LookupFailure.UNKNOWN_MESSAGE)
        waiting = self.lookup.find("r1", wants_body=False)
        for link in self.links[:2]:
            link.answer(StateResponse(1, False, MessageState.QUEUED, "", None))
        self.links[2].lose()
        self.owners.link_closed(self.links[2])  # type: ignore[arg-type]
        self.clock.pump([0.1] * 20)
        self.assertEqual(self.result(waiting), LookupFailure.UNAVAILABLE)

    def test_a_former_owner_is_not_believed(self) -> None:
        waiting = self.lookup.find(message_id(0, "r1"), wants_body=False)
        self.links[0].answer(Refused(1, RefusalReason.NOT_OWNER))
        self.owned(0, self.links[1], 2)
        self.clock.advance(0.2)
        self.links[1].answer(StateResponse(1, True, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting).state, MessageState.QUEUED)


if __name__ == "__main__":
    unittest.main()
