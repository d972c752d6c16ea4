"""Leader election: pre-votes, votes, and eligible candidates (sections 5.2 and 5.4.1 of the Raft paper)."""

from __future__ import annotations

from bitternpath.replication.member import MemberState
from bitternpath.replication.messages import RequestVote, RequestVoteResponse
from bitternpath.replication.records import EntryKind, MemberRole, RoleChangeCause, members_from

# A member whose log is more up-to-date than a pre-candidate's starts an election within this share of the
# election timeout. That is many times longer than a message and a sync take.
EARLY_ELECTION_SHARE = 0.3


class Elections(MemberState):
    """The behaviour of a member as voter and candidate."""

    # ---- candidate

    @property
    def _may_start_election(self) -> bool:
        """Whether this member may be a candidate.

        A removed voter may be one until its removal is committed, because it may be the only member whose
        log is up-to-date enough to win the election (T 4.2.2).
        """
        if self.is_voter:
            return True
        uncommitted = [
            entry
            for entry in self.log.entries
            if entry.index > self.commit_index and entry.kind == EntryKind.MEMBERS
        ]
        if not uncommitted:
            return False
        committed_members, _ = self.log.members_upto(self.commit_index)
        memberships = [committed_members, *(members_from(entry.data) for entry in uncommitted)]
        return any(self.member_id in members.voters for members in memberships)

    def _election_timeout(self) -> None:
        self._set_election_timer()
        if self._may_start_election:
            self._request_votes(pre_vote=True)

    def _schedule_early_election(self) -> None:
        """Bring the election timeout forward: the leader has failed, and the pre-candidate lacks entries.

        The delay is random, because all members with a more up-to-date log receive the pre-vote request at
        about the same time and would otherwise split the vote repeatedly.
        """
        early = self.now + self.timing.election_timeout * EARLY_ELECTION_SHARE * self.random.random()
        self._election_at = min(self._election_at, early)

    def _start_election(self, *, leadership_transfer: bool = False) -> None:
        """Become a candidate in the next term."""
        self._set_term(self.term + 1, self.member_id)
        self._set_election_timer()
        self._request_votes(pre_vote=False, leadership_transfer=leadership_transfer)

    def _request_votes(self, *, pre_vote: bool, leadership_transfer: bool = False) -> None:
        self.votes.clear()
        self.leader = ""
        self.role = MemberRole.PRE_CANDIDATE if pre_vote else MemberRole.CANDIDATE
        if leadership_transfer:
            self.role_cause = RoleChangeCause.TRANSFER_RECEIVED
        else:
            self.role_cause = RoleChangeCause.ELECTION_TIMEOUT
        term = self.term + 1 if pre_vote else self.term
        request = RequestVote(term, self.log.last_index, self.log.last_term, pre_vote, leadership_transfer)
        # This member's own vote also counts only once it is on disk.
        self._messages_awaiting_next_write.append((self.member_id, RequestVoteResponse(term, pre_vote, True)))
        self._messages_awaiting_next_write += [
            (name, request) for name in self.members.voters if name != self.member_id
        ]

    def _on_vote_response(self, sender: str, response: RequestVoteResponse) -> None:
        if response.term > self.term and not (response.pre_vote and response.granted):
            self._become_follower(response.term, RoleChangeCause.HIGHER_TERM)
            return
        requested_term = self.term + 1 if response.pre_vote else self.term
        role = MemberRole.PRE_CANDIDATE if response.pre_vote else MemberRole.CANDIDATE
        if self.role is not role or not response.granted or response.term != requested_term:
            return
        if sender in self.members.voters:
            self.votes.add(sender)
        if 2 * len(self.votes) <= len(self.members.voters):
            return
        if response.pre_vote:
            self._start_election()
        else:
            self._become_leader()

    # ---- voter

    def _on_vote_request(self, sender: str, request: RequestVote) -> None:
        """Handle RequestVote (fig. 2) and pre-vote requests (T 9.6)."""
        if not request.leadership_transfer and self._has_live_leader:
            self._messages.append((sender, RequestVoteResponse(self.term, request.pre_vote, False)))
            return
        if request.pre_vote:
            self._on_pre_vote_request(sender, request)
            return
        if request.term > self.term:
            self._become_follower(request.term, RoleChangeCause.HIGHER_TERM)
        granted = (
            request.term == self.term
            and self._is_up_to_date(request)
            and self.vote in ("", sender)
            and self.role is not MemberRole.LEADER
        )
        if granted:
            if not self.vote:
                self._set_term(self.term, sender)
            self._set_election_timer()
        self._messages_awaiting_next_write.append((sender, RequestVoteResponse(self.term, False, granted)))

    def _on_pre_vote_request(self, sender: str, request: RequestVote) -> None:
        granted = request.term > self.term and self._is_up_to_date(request)
        response = RequestVoteResponse(request.term if granted else self.term, True, granted)
        self._messages_awaiting_next_write.append((sender, response))
        if request.term > self.term and not granted and self.role is MemberRole.FOLLOWER:
            self._schedule_early_election()

    @property
    def _has_live_leader(self) -> bool:
        """Whether this member leads or was recently contacted by a leader, and denies votes (T 4.2.3)."""
        if self.role is MemberRole.LEADER:
            return True
        return bool(self.leader) and self.now < self.last_contact + self.timing.election_timeout

    def _is_up_to_date(self, request: RequestVote) -> bool:
        """Whether the candidate's log is at least as up-to-date as this one (section 5.4.1 of the paper)."""
        candidate = (request.last_log_term, request.last_log_index)
        return candidate >= (self.log.last_term, self.log.last_index)
