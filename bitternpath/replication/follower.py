"""The follower's side of replication: entries from a leader, and what is answered when."""

from __future__ import annotations

from bitternpath.replication.messages import AppendEntries, AppendEntriesResponse
from bitternpath.replication.records import Entry, MemberRole
from bitternpath.replication.snapshots import SnapshotTransfer


class Following(SnapshotTransfer):
    """A member as follower."""

    def _accept_leader(self, sender: str, term: int, heartbeat_round: int) -> bool:
        """Whether the sender leads this member; else it is told the term that it lacks."""
        if term < self.term:
            self._after_writes.append(
                (sender, AppendEntriesResponse(self.term, False, self.last_index, heartbeat_round))
            )
            return False
        if term > self.term or self.role is not MemberRole.FOLLOWER:
            self._become_follower(term, sender)
        self.leader, self.last_contact = sender, self.now
        self._set_election_timer()
        return True

    def _take_append(self, sender: str, append: AppendEntries) -> None:
        """AppendEntries of fig. 2."""
        previous, entries = append.previous_index, append.entries
        if previous < self.log.before[0]:  # committed long ago, and so the same here
            previous = self.log.before[0]
            entries = tuple(entry for entry in entries if entry.index > previous)
        elif previous > self.last_index or self.log.term_at(previous) != append.previous_term:
            may_agree = self._last_that_may_agree(previous)
            self._after_writes.append(
                (sender, AppendEntriesResponse(self.term, False, may_agree, append.heartbeat_round))
            )
            return
        for entry in entries:
            self._take_entry(entry)
        agrees = min(max(previous + len(entries), append.previous_index), self.last_index)
        self.commit_index = max(self.commit_index, min(append.commit, agrees))
        self._answer_append(sender, append, agrees)

    def _last_that_may_agree(self, previous: int) -> int:
        """Of an entry that doesn't agree, the whole of the term goes (section 5.3 of the paper)."""
        index = min(previous - 1, self.last_index)
        if previous <= self.last_index:
            term = self.log.term_at(previous)
            while index > self.commit_index and self.log.term_at(index) == term:
                index -= 1
        return max(index, self.commit_index)

    def _take_entry(self, entry: Entry) -> None:
        if entry.index <= self.last_index:
            if self.log.term_at(entry.index) == entry.term:
                return
            if entry.index <= self.commit_index:
                raise AssertionError(f"{self.member_id}: entry {entry.index} is committed and would be cut")
            self.log.cut_from(entry.index)
        self.log.append(entry)

    def _answer_append(self, sender: str, append: AppendEntries, agrees: int) -> None:
        """A heartbeat is answered at once with what is on disk, so that a slow disk is no silence. The term
        itself need not be: an entry of this term that is on disk was written together with it."""
        stable = self.log.stable_index
        if agrees <= stable or not append.entries:
            self._send.append(
                (sender, AppendEntriesResponse(self.term, True, min(agrees, stable), append.heartbeat_round))
            )
        if agrees > stable:
            self._after_writes.append(
                (sender, AppendEntriesResponse(self.term, True, agrees, append.heartbeat_round))
            )
