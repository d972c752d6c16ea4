"""A member never uses a term again after a higher one refused it (NEWS-24), and the checker for that."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import msgspec

from bitternpath.replication.member import MemberState
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    LeaderRequest,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from bitternpath.replication.records import (
    EntryKind,
    MemberRole,
    Members,
    RoleChangeCause,
)
from bitternpath.testing.fault_injection.records import DeliveryKind
from bitternpath.testing.simulation.events import Fault, FaultKind, RunPlan
from bitternpath.testing.simulation.events import Message as Sent
from bitternpath.testing.simulation.refused_terms import RefusedTermChecker, refusing_term
from bitternpath.testing.simulation.runs.play import play
from tests.system.replication.single_member import ELECTED_AT, FOUNDERS, confirm_all, leader, take_messages

HIGHER = 9  # the term of another member


class QueuedRequests(unittest.TestCase):
    """Requests that a leader has queued in the same turn in which it learns of a higher term."""

    def test_none_is_sent_after_any_message_of_a_higher_term(self) -> None:
        refusals: list[Message] = [
            AppendEntriesResponse(HIGHER, False, 0, 1),
            RequestVoteResponse(HIGHER, False, False),
            AppendEntries(HIGHER, 0, 0, (), 0, 1),
            RequestVote(HIGHER, 99, HIGHER - 1, False, True),
        ]
        for refusal in refusals:
            with self.subTest(refusal=type(refusal).__name__):
                member = leader()
                self.assertIsNotNone(member.propose(ELECTED_AT, EntryKind.COMMAND, b"x"))
                member.receive(ELECTED_AT, "b", refusal)
                self.assertEqual(member.term, HIGHER)
                self.assertFalse(
                    [message for message in take_messages(member) if isinstance(message, LeaderRequest)]
                )

    def test_a_started_transfer_sends_no_request_any_more(self) -> None:
        member = leader()
        self.assertTrue(member.transfer_leadership(ELECTED_AT, "b"))
        member.receive(ELECTED_AT, "c", AppendEntriesResponse(HIGHER, False, 0, 1))
        self.assertFalse([message for message in take_messages(member) if isinstance(message, TimeoutNow)])

    def test_a_leader_that_is_no_voter_any_more_still_sends_the_commit_index(self) -> None:
        """Its term is not refused, and its last request tells the others the commit index."""
        member = leader()
        confirm_all(member)
        take_messages(member)
        members = msgspec.msgpack.encode(Members(("b", "c"), ("a",), 1))
        self.assertIsNotNone(member.propose(ELECTED_AT, EntryKind.MEMBERS, members))
        confirm_all(member)
        self.assertIs(member.role, MemberRole.FOLLOWER)
        self.assertTrue([message for message in take_messages(member) if isinstance(message, AppendEntries)])


class Checker(unittest.TestCase):
    """Detection by `RefusedTermChecker`."""

    def setUp(self) -> None:
        self.violations: list[str] = []
        self.checker = RefusedTermChecker(self.violations.append)

    def test_a_request_of_a_refused_term_is_found(self) -> None:
        requests: list[Message] = [
            AppendEntries(4, 0, 0, (), 0, 1),
            InstallSnapshot(4, 1, 1, FOUNDERS, 0, b"", 0, True, 1),
            TimeoutNow(4),
        ]
        for request in requests:
            self.checker.sent("a/1", "queue-0", request)
        self.assertEqual(self.violations, [])
        self.checker.received("a/1", "queue-0", AppendEntriesResponse(5, False, 0, 1))
        for request in requests:
            self.checker.sent("a/1", "queue-0", request)
        self.assertEqual(len(self.violations), len(requests))

    def test_other_members_groups_and_terms_arent_concerned(self) -> None:
        self.checker.received("a/1", "queue-0", AppendEntriesResponse(5, False, 0, 1))
        for member, group, term in (("b/1", "queue-0", 4), ("a/1", "queue-1", 4), ("a/1", "queue-0", 5)):
            self.checker.sent(member, group, AppendEntries(term, 0, 0, (), 0, 1))
        self.assertEqual(self.violations, [])

    def test_a_pre_vote_refuses_nothing(self) -> None:
        self.assertEqual(refusing_term(RequestVoteResponse(7, True, True)), 0)
        self.assertEqual(refusing_term(RequestVote(7, 0, 0, False)), 0)
        self.assertEqual(refusing_term(RequestVoteResponse(7, True, False)), 7)


def plan_with_ownership_transfers() -> RunPlan:
    """Each storage node is told to shut down, so that it transfers its shards while messages arrive."""
    faults = [
        Fault(number=number, at=8.0 * number - 6.0, kind=FaultKind.TERM, nodes=(f"s{number}",))
        for number in (1, 2, 3)
    ]
    messages = [Sent(number=100 + number, at=0.1 * number, kind=DeliveryKind.LISTED) for number in range(120)]
    return RunPlan(seed=3, scenario="named", seconds=24.0, events=(*faults, *messages))


@contextmanager
def leader_ignores_higher_terms() -> Iterator[None]:
    """A build whose leaders ignore higher terms."""
    become_follower = MemberState._become_follower

    def become_follower_unless_leading(
        member: Any, term: int, cause: RoleChangeCause, leader: str = ""
    ) -> None:
        if member.role is not MemberRole.LEADER or cause is not RoleChangeCause.HIGHER_TERM:
            become_follower(member, term, cause, leader)

    with patch.object(MemberState, "_become_follower", become_follower_unless_leading):
        yield


class FullSystem(unittest.TestCase):
    """The checker in simulated runs of the full system."""

    longest_test_s = 12

    def test_a_build_that_keeps_a_refused_term_is_caught(self) -> None:
        with leader_ignores_higher_terms():
            report = play(plan_with_ownership_transfers())
        self.assertIn("refused term used again", "\n".join(map(str, report.findings)))

    def test_the_program_passes_the_same_run(self) -> None:
        report = play(plan_with_ownership_transfers())
        self.assertEqual([*map(str, report.findings), *report.errors], [])


if __name__ == "__main__":
    unittest.main()
