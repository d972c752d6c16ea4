"""The member "a" of a group of three, with the test responding for the others."""

from __future__ import annotations

from random import Random

from bitternpath.replication.consensus import Raft
from bitternpath.replication.messages import AppendEntriesResponse, Message, RequestVoteResponse
from bitternpath.replication.records import MemberRole, Members, PersistentState, RaftTiming, Snapshot

FOUNDERS = Members(("a", "b", "c"))
ELECTED_AT = 3 * RaftTiming().election_timeout


def follower() -> Raft:
    """A member without contact to the others, at time 0."""
    return Raft("a", PersistentState(snapshot=Snapshot(members=FOUNDERS)), Random(1), 0.0)


def take_messages(member: Raft, now: float = ELECTED_AT) -> list[Message]:
    """Complete all writes of a member and return the messages that it sent."""
    messages: list[Message] = []
    while True:
        effects = member.take_effects(now)
        messages += [message for _, message in effects.messages]
        if not effects.writes:
            return messages
        for write in effects.writes:
            member.write_completed(now, write.number)


def leader() -> Raft:
    """A leader elected by the vote of "b" at `ELECTED_AT`, without queued messages."""
    member = follower()
    member.tick(ELECTED_AT)
    take_messages(member)
    for pre_vote in (True, False):
        member.receive(ELECTED_AT, "b", RequestVoteResponse(member.term + pre_vote, pre_vote, True))
        take_messages(member)
    assert member.role is MemberRole.LEADER
    return member


def confirm_all(member: Raft, now: float = ELECTED_AT) -> None:
    """Confirm all entries of a leader on behalf of both followers."""
    take_messages(member, now)
    for peer in "bc":
        member.receive(now, peer, AppendEntriesResponse(member.term, True, member.last_index, 1))
