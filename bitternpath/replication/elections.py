"""Elections: pre-votes, votes, and who may stand."""

from __future__ import annotations

from bitternpath.replication.member import MemberState
from bitternpath.replication.messages import RequestVote, RequestVoteResponse
from bitternpath.replication.records import EntryKind, MemberRole, members_from

SOON_SHARE = 0.3  # of an election's time: many times a message and a sync


class Elections(MemberState):
    """A member as voter and as candidate."""

    @property
    def _may_stand(self) -> bool:
        """Whether it may be a candidate: also one that is no member any more while that is not committed,
        for nobody else may have the entries that the others want of a leader (T 4.2.2)."""
        if self.is_voter:
            return True
        uncommitted = [
            e for e in self.log.entries if e.kind == EntryKind.MEMBERS and e.index > self.commit_index
        ]
        committed_members, _ = self.log.members_upto(self.commit_index)
        named = [committed_members, *(members_from(entry.data) for entry in uncommitted)]
        return bool(uncommitted) and any(self.member_id in members.voters for members in named)

    def _election_timeout(self) -> None:
        self._set_election_timer()
        if self._may_stand:
            self._ask_votes(pre_vote=True)

    def _stand_soon(self) -> None:
        """The leader is silent, and the one that noticed first lacks entries. Not at once: all that have more
        than it are asked in the same moment, and would divide the votes among them, again and again."""
        soon = self.now + self.timing.election_timeout * SOON_SHARE * self.random.random()
        self._election_at = min(self._election_at, soon)

    def _stand(self, leadership_transfer: bool = False) -> None:
        self._set_term(self.term + 1, self.member_id)
        self._set_election_timer()
        self._ask_votes(pre_vote=False, leadership_transfer=leadership_transfer)

    def _ask_votes(self, pre_vote: bool, leadership_transfer: bool = False) -> None:
        self.votes.clear()
        self.leader = ""
        self.role = MemberRole.PRE_CANDIDATE if pre_vote else MemberRole.CANDIDATE
        term = self.term + 1 if pre_vote else self.term
        asking = RequestVote(term, self.log.last_index, self.log.last_term, pre_vote, leadership_transfer)
        # Its own vote counts as any other's: once it is on disk.
        self._after_writes.append((self.member_id, RequestVoteResponse(term, pre_vote, True)))
        self._after_writes += [(name, asking) for name in self.members.voters if name != self.member_id]

    def _answer_asking(self, sender: str, asking: RequestVote) -> None:
        """RequestVote of fig. 2, and a pre-vote."""
        if not asking.leadership_transfer and self._knows_leader:
            self._send.append((sender, RequestVoteResponse(self.term, asking.pre_vote, False)))
            return
        if asking.pre_vote:
            self._answer_pre_vote(sender, asking)
            return
        if asking.term > self.term:
            self._become_follower(asking.term)
        granted = asking.term == self.term and self._is_up_to_date(asking)
        granted = granted and self.vote in ("", sender) and self.role is not MemberRole.LEADER
        if granted:
            if not self.vote:
                self._set_term(self.term, sender)
            self._set_election_timer()
        self._after_writes.append((sender, RequestVoteResponse(self.term, False, granted)))

    def _answer_pre_vote(self, sender: str, asking: RequestVote) -> None:
        granted = asking.term > self.term and self._is_up_to_date(asking)
        vote = RequestVoteResponse(asking.term if granted else self.term, True, granted)
        self._after_writes.append((sender, vote))
        if asking.term > self.term and not granted and self.role is MemberRole.FOLLOWER:
            self._stand_soon()

    @property
    def _knows_leader(self) -> bool:
        """Whether a leader is heard, or this member is one: then nobody gets a vote (T 4.2.3)."""
        if self.role is MemberRole.LEADER:
            return True
        return bool(self.leader) and self.now < self.last_contact + self.timing.election_timeout

    def _is_up_to_date(self, asking: RequestVote) -> bool:
        """Section 5.4.1 of the paper."""
        return (asking.last_term, asking.last_index) >= (self.log.last_term, self.log.last_index)

    def _count_vote(self, sender: str, vote: RequestVoteResponse) -> None:
        if vote.term > self.term and not (vote.pre_vote and vote.granted):
            self._become_follower(vote.term)
            return
        asked_term = self.term + 1 if vote.pre_vote else self.term
        role = MemberRole.PRE_CANDIDATE if vote.pre_vote else MemberRole.CANDIDATE
        if self.role is not role or not vote.granted or vote.term != asked_term:
            return
        if sender in self.members.voters:
            self.votes.add(sender)
        if 2 * len(self.votes) > len(self.members.voters):
            if vote.pre_vote:
                self._stand()
            else:
                self._become_leader()
