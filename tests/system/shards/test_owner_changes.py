"""Requests to a shard's owner that is stopped or partitioned go to its successor, in virtual time."""

from __future__ import annotations

from random import Random

from bitternpath.configuration.placement import shard_group
from bitternpath.queue.sharding import lease_id, message_id
from bitternpath.shards.appends import Appender
from bitternpath.shards.lookups import LOOKUP_TIMEOUT_S, MessageLookup
from bitternpath.shards.pulls import PullRouter
from bitternpath.shards.reports import AttemptReport, AttemptReporter
from bitternpath.shards.results import Acceptance, AcceptResult, FoundMessage, LeaseAnswer, LookupFailure
from bitternpath.transport.records import AttemptOutcome, MessageState
from bitternpath.transport.shard_messages import (
    AppendRequest,
    AppendResponse,
    EndAttemptRequest,
    EndAttemptResponse,
    ExtendRequest,
    PullCancel,
    PullRequest,
    PullResponse,
    RefusalReason,
    Refused,
    RequestOutcomeUnknown,
    StateRequest,
    StateResponse,
)
from tests.system.shards.shard_case import SHARDS, FakeLink, ShardCase, message

GROUP = shard_group(0)


class ChangeCase(ShardCase):
    """The owner of shard 0 does not respond; then another node becomes its owner."""

    def setUp(self) -> None:
        super().setUp()
        self.unresponsive = self.links[0]
        self.successor = FakeLink("storage-9", "z0")

    def change_owner(self) -> None:
        self.owned(0, self.successor, 2)
        self.clock.advance(0.1)

    def request_count(self, link: FakeLink, kind: type) -> int:
        return sum(isinstance(request, kind) for request, _ in link.requests)


class SuccessorTest(ChangeCase):
    """Idempotent requests are retried at the successor immediately, and no result is returned prematurely."""

    def test_an_append_is_retried_and_a_refusal_there_is_no_rejection(self) -> None:
        appender = Appender(self.clock, self.owners, "z0", Random(1))
        appender.shard_count = SHARDS
        waiting = appender.accept(message(), 900)
        self.change_owner()
        self.assertEqual(self.request_count(self.successor, AppendRequest), 1)
        self.successor.answer(Refused(1, RefusalReason.FULL))  # the first request may be in the log
        self.clock.advance(0.1)
        self.assertIsNone(self.result(waiting))
        self.unresponsive.answer(Refused(1, RefusalReason.NOT_OWNER))  # ignored, since it is too late
        self.assertIsNone(self.result(waiting))
        self.successor.answer(AppendResponse(2))
        self.assertEqual(self.result(waiting), Acceptance(AcceptResult.ACCEPTED, message_id(0, "r1")))
        self.assertEqual(appender.in_flight, 0)

    def test_a_report_is_retried_and_ends_once(self) -> None:
        reports = AttemptReporter(self.clock, self.owners)
        report = AttemptReport(GROUP, "r1", lease_id(0, 1, 1), AttemptOutcome.FAILED)
        waiting = reports.send(report)
        self.change_owner()
        self.clock.advance(0.1)
        self.assertEqual(self.request_count(self.successor, EndAttemptRequest), 1)
        self.successor.answer(EndAttemptResponse(1, True))
        self.unresponsive.answer(EndAttemptResponse(1, False))
        self.assertIs(self.result(waiting), LeaseAnswer.ACKNOWLEDGED)
        self.assertEqual(reports.in_flight, 0)

    def test_a_state_and_an_extension_come_from_the_successor(self) -> None:
        lookup = MessageLookup(self.clock, self.owners)
        lookup.shard_count = SHARDS
        pulls = PullRouter(self.clock, self.owners, AttemptReporter(self.clock, self.owners), "z0", Random(1))
        state = lookup.find(message_id(0, "r1"), wants_body=False)
        extension = pulls.extend(lease_id(0, 1, 1), "r1")
        self.change_owner()
        self.assertEqual(
            [self.request_count(self.successor, kind) for kind in (StateRequest, ExtendRequest)], [1, 1]
        )
        self.successor.answer(StateResponse(1, True, MessageState.QUEUED, "", None))
        self.successor.answer(EndAttemptResponse(2, True))
        self.unresponsive.answer(StateResponse(1, False, MessageState.QUEUED, "", None))
        self.unresponsive.answer(EndAttemptResponse(2, False))
        self.assertEqual(self.result(state), FoundMessage(MessageState.QUEUED, "", None))
        self.assertEqual(self.result(extension), LeaseAnswer.ACKNOWLEDGED)

    def test_a_worker_waits_there_and_gets_one_job(self) -> None:
        reports = AttemptReporter(self.clock, self.owners)
        pulls = PullRouter(self.clock, self.owners, reports, "z0", Random(1))
        waiting = pulls.pull("puller", "i-1", 1_000).result
        self.owned(0, self.successor, 2)
        pulls.owner_changed(GROUP)
        self.assertEqual([type(record) for record in self.unresponsive.sent], [PullCancel])
        self.assertEqual(self.request_count(self.successor, PullRequest), 1)
        self.successor.answer(PullResponse(1, "0-2-1", message("r2")))
        self.assertEqual(self.result(waiting).message.request_id, "r2")
        self.unresponsive.answer(PullResponse(1, "0-1-1", message("r1")))  # the second job is returned
        (request, _) = self.successor.requests[-1]
        self.assertEqual((request.request_id, request.outcome), ("r1", AttemptOutcome.NOT_RUN))

    def test_a_repeated_announcement_of_an_owner_repeats_no_request(self) -> None:
        reports = AttemptReporter(self.clock, self.owners)
        reports.send(AttemptReport(GROUP, "r1", lease_id(0, 1, 1), AttemptOutcome.FAILED))
        self.owned(0, self.unresponsive, 2)
        self.clock.advance(0.2)
        self.assertEqual(len(self.unresponsive.requests), 1)


class UnconfirmedLookupTest(ChangeCase):
    """The result is 404 only if every shard that may have the message confirms it, else 503 in time."""

    def setUp(self) -> None:
        super().setUp()
        self.lookup = MessageLookup(self.clock, self.owners)
        self.lookup.shard_count = SHARDS

    def respond_unknown(self, link: FakeLink) -> None:
        link.answer(StateResponse(1, False, MessageState.QUEUED, "", None))

    def test_a_request_id_that_looks_like_a_message_id_is_searched_in_all_shards(self) -> None:
        waiting = self.lookup.find("s0.abc", wants_body=False)
        self.respond_unknown(self.links[0])
        self.assertIsNone(self.result(waiting))
        requests = [link.requests[-1][0].request_id for link in self.links]
        self.assertEqual(requests, ["s0.abc"] * SHARDS)
        for shard, link in enumerate(self.links):
            link.answer(StateResponse(1, shard == 2, MessageState.QUEUED, "", None))
        self.assertEqual(self.result(waiting), FoundMessage(MessageState.QUEUED, "", None))

    def test_unknown_to_all_shards(self) -> None:
        waiting = self.lookup.find("s0.abc", wants_body=False)
        self.respond_unknown(self.links[0])
        for link in self.links:
            self.respond_unknown(link)
        self.assertEqual(self.result(waiting), LookupFailure.UNKNOWN_MESSAGE)

    def test_one_shard_without_a_response_makes_it_unavailable_in_time(self) -> None:
        self.owners.link_closed(self.links[2])  # type: ignore[arg-type]
        started_at = self.clock.seconds()
        answers = [self.lookup.find(name, wants_body=False) for name in ("s0.abc", "abc", "s2.abc")]
        while self.clock.seconds() < started_at + LOOKUP_TIMEOUT_S:
            for link in self.links[:2]:
                for _, waiting in list(link.requests):
                    link.requests.pop(0)
                    waiting.callback(StateResponse(1, False, MessageState.QUEUED, "", None))
            self.clock.advance(0.05)
        self.assertEqual([self.result(each) for each in answers], [LookupFailure.UNAVAILABLE] * 3)
        self.assertLess(self.clock.seconds() - started_at, 2.0)

    def test_an_owner_that_could_not_confirm_is_queried_again(self) -> None:
        waiting = self.lookup.find(message_id(0, "r1"), wants_body=False)
        for record in (Refused(1, RefusalReason.NOT_OWNER), RequestOutcomeUnknown(1)):
            self.unresponsive.answer(record)
            self.assertIsNone(self.result(waiting))
            self.clock.advance(0.1)
        self.unresponsive.answer(StateResponse(1, True, MessageState.DEAD_LETTER, "", None))
        self.assertEqual(self.result(waiting).state, MessageState.DEAD_LETTER)
