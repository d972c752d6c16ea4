"""The leader's side of replication: peers, heartbeat rounds, entries, commitment, leadership transfer.

Replication targets (`replication.replication_targets`) and learners are sent new entries immediately, other
peers with the next heartbeat. Responses advance a peer's match index, and the match indexes of a majority
advance the commit index. Heartbeat rounds answered by a majority confirm reads and the lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from bitternpath.replication.member import NEVER, StartedRound
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshotResponse,
    TimeoutNow,
)
from bitternpath.replication.progress import Progress
from bitternpath.replication.records import Entry, EntryKind, MemberRole, RoleChangeCause
from bitternpath.replication.replication_targets import choose_replication_targets
from bitternpath.replication.snapshots import SnapshotInstallation

# Limits of one AppendEntries message. Writing a larger batch could keep a peer's disk busy for so long that
# the peer appears unresponsive.
BATCH_ENTRIES = 64
BATCH_BYTES = 256 << 10
ENTRIES_IN_FLIGHT = 256  # no further batch is sent to a peer with more unconfirmed entries than this
LEASE_SHARE = 0.95  # of the election timeout; the margin covers clocks that run at different rates
UNRESPONSIVE_HEARTBEATS = 1.5  # heartbeat intervals without a response; detected at the second heartbeat


class Leadership(SnapshotInstallation):
    """The leader's behaviour of a member."""

    # ---- start of a term

    def _become_leader(self) -> None:
        self.role = MemberRole.LEADER
        self.role_cause = RoleChangeCause.VOTES
        self.leader = self.member_id
        self.elected_at = self.now
        self.heartbeat_round = 0
        self.confirmed_round = 0
        self.confirmed_at = -NEVER
        self._unconfirmed_rounds.clear()
        self.votes.clear()
        self._chunk_at = NEVER
        self.commit_index_at_heartbeat = self.commit_index
        self.commit_index_at_previous_heartbeat = self.commit_index
        self.peers = {}
        self.replication_targets = frozenset()
        self._update_peers()
        self.log.append(Entry(self.last_index + 1, self.term, EntryKind.NO_OP, b""))
        self.term_start_index = self.last_index
        self._heartbeat()

    def _update_peers(self) -> None:
        """Update the peers to the current membership. Known peers keep their progress."""
        before = self.peers
        self.peers = {}
        for name in self.members.all:
            if name != self.member_id:
                self.peers[name] = before.get(name) or Progress(self.last_index + 1, self.now)
        self._choose_replication_targets()

    def _choose_replication_targets(self) -> None:
        """Select the peers that are sent new entries immediately.

        Learners are always targets, so that they catch up. All voters are targets until the first heartbeat
        after the election: no delays have been measured yet, and the former leader, which may have failed,
        could otherwise be the only target. Nothing would then be committed until that heartbeat.
        """
        targets = frozenset(self.members.voters)
        if self.now >= self.elected_at + self.timing.heartbeat_interval:
            response_timeout = UNRESPONSIVE_HEARTBEATS * self.timing.heartbeat_interval
            targets = choose_replication_targets(
                self.members.voters, self.peers, self.replication_targets, self.now, response_timeout
            )
        self.replication_targets = targets.union(self.members.learners).intersection(self.peers)

    # ---- heartbeat rounds

    def _heartbeat(self) -> None:
        """Start a heartbeat round with all peers, or step down if the quorum is lost."""
        self._heartbeat_at = self.now + self.timing.heartbeat_interval
        if self.leadership_transfer_target and self.now >= self._leadership_transfer_deadline:
            self.leadership_transfer_target = ""
        if self._step_down_if_quorum_lost():
            return
        self.last_contact = self.now
        self.commit_index_at_previous_heartbeat = self.commit_index_at_heartbeat
        self.commit_index_at_heartbeat = self.commit_index
        self._choose_replication_targets()
        self._start_round(self.peers)

    def _step_down_if_quorum_lost(self) -> bool:
        """Become a follower if no majority responded within an election timeout (T 6.2).

        Returns whether it stepped down.
        """
        if self._has_active_quorum:
            return False
        self._become_follower(self.term, RoleChangeCause.QUORUM_LOST)
        return True

    @property
    def _has_active_quorum(self) -> bool:
        """Whether a majority of the voters, this member among them, responded within an election timeout."""
        voters = self.members.voters
        responsive = int(self.is_voter)
        for name, peer in self.peers.items():
            responsive += name in voters and self.now < peer.last_contact + self.timing.election_timeout
        return 2 * responsive > len(voters)

    def _start_round(self, recipients: Iterable[str]) -> None:
        """Start a heartbeat round, by which a majority confirms that this member still leads.

        If a round isn't confirmed, the next heartbeat replaces it with one that is sent to all peers.
        """
        self.heartbeat_round += 1
        self._unconfirmed_rounds.append(StartedRound(self.heartbeat_round, self.now))
        self.heartbeat_round_requested = False
        for name in recipients:
            peer = self.peers[name]
            # An unresponsive peer only gets an empty request, which it rejects if entries were lost.
            unresponsive = (
                peer.last_contact < self.now - UNRESPONSIVE_HEARTBEATS * self.timing.heartbeat_interval
            )
            needs_snapshot = self._needs_snapshot(peer)
            if peer.outgoing_snapshot is None and (
                unresponsive or (needs_snapshot and not peer.answered_round)
            ):
                if needs_snapshot:  # its response shows whether it needs a snapshot
                    peer.next_index = self.last_index + 1
                self._send_append(name, peer, ())
            else:
                self._send_entries(name, heartbeat=True)

    # ---- entries

    def _send_entries(self, name: str, *, heartbeat: bool = False) -> None:
        peer = self.peers[name]
        if self._needs_snapshot(peer):
            self._continue_snapshot(name, peer, heartbeat=heartbeat)
            return
        entries = self._next_batch(peer)
        if entries or heartbeat:
            self._send_append(name, peer, entries)
            peer.next_index += len(entries)
            if entries:
                peer.entries_sent(self.now, peer.next_index - 1)

    def _next_batch(self, peer: Progress) -> list[Entry]:
        if peer.next_index > peer.match_index + ENTRIES_IN_FLIGHT:
            return []
        batch: list[Entry] = []
        size = 0
        for entry in self.log.entries_from(peer.next_index, BATCH_ENTRIES):
            size += len(entry.data)
            if batch and size > BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    def _send_all_entries(self, name: str, peer: Progress) -> None:
        """Send all entries that the in-flight limit permits, in as many messages as necessary."""
        sent = 0
        while sent < peer.next_index <= self.last_index:
            sent = peer.next_index
            self._send_entries(name)

    def _send_append(self, name: str, peer: Progress, entries: Iterable[Entry]) -> None:
        previous = peer.next_index - 1
        request = AppendEntries(
            self.term,
            previous,
            self.log.term_at(previous),
            tuple(entries),
            self.commit_index,
            self.heartbeat_round,
        )
        self._messages.append((name, request))

    @property
    def needed_index(self) -> int:
        """Index of the first entry that a responsive peer still needs; `last_index` + 1 if there is none.

        Entries after a snapshot that is being sent are needed as well. Otherwise each snapshot would have to
        be followed by another one, and the peer would never catch up.
        """
        needed = self.last_index + 1
        for peer in self.peers.values():
            if not peer.answered_round or self.now >= peer.last_contact + self.timing.election_timeout:
                continue
            if peer.outgoing_snapshot is not None:
                needed = min(needed, peer.outgoing_snapshot.snapshot.index + 1)
            elif self.log.has_entry_after(peer.match_index):
                needed = min(needed, peer.match_index + 1)
        return needed

    # ---- responses

    def _on_peer_response(self, name: str, response: AppendEntriesResponse | InstallSnapshotResponse) -> None:
        peer = self.peers[name]
        peer.last_contact = self.now
        peer.answered_round = max(peer.answered_round, response.heartbeat_round)
        if isinstance(response, InstallSnapshotResponse):
            self._on_install_response(name, peer, response)
        elif response.ok:
            self._on_match(name, peer, response.index)
        elif not peer.is_stale_rejection(response.index, response.heartbeat_round):
            self._on_rejection(name, peer, response.index)
        self._update_commitment()

    def _on_rejection(self, name: str, peer: Progress, index: int) -> None:
        next_index = min(index + 1, peer.next_index - 1)
        peer.next_index = max(next_index, peer.match_index + 1)
        peer.rejected_index = index
        peer.rejected_round = self.heartbeat_round
        self._send_entries(name, heartbeat=True)

    def _on_match(self, name: str, peer: Progress, index: int) -> None:
        peer.match_index = max(peer.match_index, index)
        peer.entries_confirmed(self.now, index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        outgoing_snapshot = peer.outgoing_snapshot
        if outgoing_snapshot is not None and (
            outgoing_snapshot.snapshot.index <= peer.match_index or self.log.has_entry_after(peer.match_index)
        ):
            peer.outgoing_snapshot = None  # the peer has the snapshot, or log entries are sufficient
        if self._should_send_now(name, peer):
            self._send_entries(name)
        if name == self.leadership_transfer_target:
            self._send_timeout_now_if_caught_up()

    def _should_send_now(self, name: str, peer: Progress) -> bool:
        """Whether to send entries before the next heartbeat: to a target, or a full batch to any peer."""
        missing = self.last_index + 1 - peer.next_index
        is_immediate = name in self.replication_targets or name == self.leadership_transfer_target
        return missing >= BATCH_ENTRIES or (is_immediate and missing > 0)

    # ---- commitment

    def _update_commitment(self) -> None:
        """Advance the commit index and the confirmed round to the values that a majority has reached."""
        voters = self.members.voters
        if self.role is not MemberRole.LEADER or not voters:
            return
        peers = [self.peers[name] for name in voters if name != self.member_id]
        own_match = [self.log.stable_index] * self.is_voter
        own_round = [self.heartbeat_round] * self.is_voter
        self._commit_upto(_reached_by_majority([peer.match_index for peer in peers] + own_match))
        if self.role is MemberRole.LEADER:
            answered = _reached_by_majority([peer.answered_round for peer in peers] + own_round)
            self._confirm_rounds(max(self.confirmed_round, answered))

    def _confirm_rounds(self, number: int) -> None:
        self.confirmed_round = number
        while self._unconfirmed_rounds and self._unconfirmed_rounds[0].number <= number:
            self.confirmed_at = self._unconfirmed_rounds.popleft().started_at

    def has_leader_lease(self, now: float) -> bool:
        """Whether no other member can have been elected yet (T 6.4.1).

        A majority has answered a heartbeat round that started less than an election timeout ago. These
        voters grant no vote until an election timeout after they received it. A leader that is transferring
        its leadership has no lease.
        """
        if self.role is not MemberRole.LEADER or self.leadership_transfer_target:
            return False
        return now < self.confirmed_at + LEASE_SHARE * self.timing.election_timeout

    def _commit_upto(self, index: int) -> None:
        """Commit up to `index`, but entries of earlier terms only along with one of this term (fig. 8)."""
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        # A leader that became a learner steps down, too: only another leader can make it a voter again.
        if self.log.members_index <= index and not self.is_voter:
            self._send_commit_index()
            self._become_follower(self.term, RoleChangeCause.NO_VOTER)

    def _send_commit_index(self) -> None:
        """Send the commit index before this leader, which is no longer a voter, steps down (T 4.2.2)."""
        for name, peer in self.peers.items():
            if not self._needs_snapshot(peer):
                self._send_append(name, peer, ())

    # ---- leadership transfer (T 3.10)

    def transfer_leadership(self, now: float, to: str) -> bool:
        """Start to transfer leadership to another voter. Returns False if this member can't.

        Proposals are rejected until the transfer has succeeded or an election timeout has passed.
        """
        self.now = now
        if self.role is not MemberRole.LEADER or to not in self.members.voters or to == self.member_id:
            return False
        self.leadership_transfer_target = to
        self._leadership_transfer_deadline = now + self.timing.election_timeout
        self._send_entries(to)
        self._send_timeout_now_if_caught_up()
        return True

    def _send_timeout_now_if_caught_up(self) -> None:
        """Send TimeoutNow to the transfer target once its log matches this one."""
        peer = self.peers.get(self.leadership_transfer_target)
        if peer is not None and peer.match_index == self.last_index:
            self._messages.append((self.leadership_transfer_target, TimeoutNow(self.term)))


def _reached_by_majority(values: list[int]) -> int:
    """The highest value that a majority has reached."""
    return sorted(values, reverse=True)[len(values) // 2]
