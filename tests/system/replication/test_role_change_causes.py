"""The causes of role changes, as logged by `role_changed` and `ownership_lost`."""

from __future__ import annotations

import unittest

import msgspec

from bitternpath.replication.messages import (
    AppendEntries,
    RequestVote,
    TimeoutNow,
)
from bitternpath.replication.records import (
    EntryKind,
    MemberRole,
    Members,
    RaftTiming,
    RoleChangeCause,
)
from tests.system.replication.single_member import ELECTED_AT, confirm_all, follower, leader

TIMING = RaftTiming()


class RoleChangeCauses(unittest.TestCase):
    def setUp(self) -> None:
        self.member = follower()
        self.now = 0.0

    def elect(self) -> None:
        self.member, self.now = leader(), ELECTED_AT

    def check(self, role: MemberRole, cause: RoleChangeCause) -> None:
        self.assertEqual((self.member.role, self.member.role_cause), (role, cause))

    def test_started(self) -> None:
        self.check(MemberRole.FOLLOWER, RoleChangeCause.STARTED)

    def test_an_election_timeout(self) -> None:
        self.member.tick(3 * TIMING.election_timeout)
        self.check(MemberRole.PRE_CANDIDATE, RoleChangeCause.ELECTION_TIMEOUT)

    def test_votes(self) -> None:
        self.elect()
        self.check(MemberRole.LEADER, RoleChangeCause.VOTES)

    def test_another_member_leads_in_this_term(self) -> None:
        self.member.tick(3 * TIMING.election_timeout)
        self.member.receive(self.now, "b", AppendEntries(self.member.term, 0, 0, (), 0, 1))
        self.check(MemberRole.FOLLOWER, RoleChangeCause.LEADER_HEARD)

    def test_a_higher_term(self) -> None:
        self.elect()
        self.member.receive(self.now, "b", AppendEntries(self.member.term + 1, 0, 0, (), 0, 1))
        self.check(MemberRole.FOLLOWER, RoleChangeCause.HIGHER_TERM)

    def test_no_majority_responds(self) -> None:
        self.elect()
        for _ in range(100):
            self.now += TIMING.heartbeat_interval
            self.member.tick(self.now)
            if self.member.role is MemberRole.FOLLOWER:
                break
        self.check(MemberRole.FOLLOWER, RoleChangeCause.QUORUM_LOST)

    def test_a_transfer_on_both_sides(self) -> None:
        self.elect()
        self.assertTrue(self.member.transfer_leadership(self.now, "b"))
        request = RequestVote(self.member.term + 1, 99, self.member.term, False, True)
        self.member.receive(self.now, "b", request)
        self.check(MemberRole.FOLLOWER, RoleChangeCause.TRANSFERRED)
        self.member.receive(self.now, "b", AppendEntries(self.member.term, 0, 0, (), 0, 1))
        self.member.receive(self.now, "b", TimeoutNow(self.member.term))
        self.check(MemberRole.CANDIDATE, RoleChangeCause.TRANSFER_RECEIVED)

    def test_a_leader_that_is_no_voter_any_more(self) -> None:
        self.elect()
        confirm_all(self.member)
        data = msgspec.msgpack.encode(Members(("b", "c"), ("a",), 1))
        self.assertIsNotNone(self.member.propose(self.now, EntryKind.MEMBERS, data))
        confirm_all(self.member)
        self.check(MemberRole.FOLLOWER, RoleChangeCause.NO_VOTER)


if __name__ == "__main__":
    unittest.main()
