"""The follower's side of replication: appending a leader's entries and confirming them."""

from __future__ import annotations

from bitternpath.replication.errors import CommittedEntryConflictError
from bitternpath.replication.messages import AppendEntries, AppendEntriesResponse
from bitternpath.replication.records import Entry, MemberRole, RoleChangeCause
from bitternpath.replication.snapshots import SnapshotInstallation


class Follower(SnapshotInstallation):
    """The behaviour of a member as follower."""

    def _accept_leader(self, sender: str, term: int, heartbeat_round: int) -> bool:
        """Whether the sender is this member's leader. Replies with the higher term if it isn't."""
        if term < self.term:
            response = AppendEntriesResponse(self.term, False, self.last_index, heartbeat_round)
            self._messages_awaiting_next_write.append((sender, response))
            return False
        if term > self.term or self.role is not MemberRole.FOLLOWER:
            higher = term > self.term
            cause = RoleChangeCause.HIGHER_TERM if higher else RoleChangeCause.LEADER_HEARD
            self._become_follower(term, cause, sender)
        self.leader = sender
        self.last_contact = self.now
        self._set_election_timer()
        return True

    def _on_append_entries(self, sender: str, request: AppendEntries) -> None:
        """Handle AppendEntries (fig. 2)."""
        previous = request.previous_index
        entries = request.entries
        if previous < self.log.compacted_index:  # compacted entries are committed, so they match
            previous = self.log.compacted_index
            entries = tuple(entry for entry in entries if entry.index > previous)
        elif previous > self.last_index or self.log.term_at(previous) != request.previous_term:
            last_possible_match = self._last_possible_match(previous)
            response = AppendEntriesResponse(self.term, False, last_possible_match, request.heartbeat_round)
            self._messages_awaiting_next_write.append((sender, response))
            return
        for entry in entries:
            self._append_entry(entry)
        match_index = min(max(previous + len(entries), request.previous_index), self.last_index)
        self.commit_index = max(self.commit_index, min(request.leader_commit, match_index))
        self._confirm_entries(sender, request, match_index)

    def _last_possible_match(self, previous: int) -> int:
        """The next index to try. Skips all entries of the conflicting term (section 5.3)."""
        index = min(previous - 1, self.last_index)
        if previous <= self.last_index:
            term = self.log.term_at(previous)
            while index > self.commit_index and self.log.term_at(index) == term:
                index -= 1
        return max(index, self.commit_index)

    def _append_entry(self, entry: Entry) -> None:
        """Append an entry unless it already exists. Entries that conflict with it are truncated first.

        Raises `CommittedEntryConflictError`.
        """
        if entry.index <= self.last_index:
            if self.log.term_at(entry.index) == entry.term:
                return
            if entry.index <= self.commit_index:
                raise CommittedEntryConflictError(self.member_id, entry.index)
            self.log.truncate(entry.index)
        self.log.append(entry)

    def _confirm_entries(self, sender: str, request: AppendEntries, match_index: int) -> None:
        """Confirm the log up to `match_index`: entries on disk immediately, others after their write.

        A heartbeat is answered immediately, so that a follower with a slow disk doesn't appear unresponsive.
        The current term need not be on disk for that: every entry of this term was written together with it.
        """
        stable = self.log.stable_index
        heartbeat_round = request.heartbeat_round
        if match_index <= stable or not request.entries:
            response = AppendEntriesResponse(self.term, True, min(match_index, stable), heartbeat_round)
            self._messages.append((sender, response))
        if match_index > stable:
            response = AppendEntriesResponse(self.term, True, match_index, heartbeat_round)
            self._messages_awaiting_next_write.append((sender, response))
