"""The leader's side of replication: peers, rounds, entries, commitment, transfer of leadership."""

from __future__ import annotations

from collections.abc import Iterable

from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshotResponse,
    TimeoutNow,
)
from bitternpath.replication.progress import Progress
from bitternpath.replication.records import Entry, EntryKind, MemberRole
from bitternpath.replication.replication_targets import choose_replication_targets
from bitternpath.replication.snapshots import SnapshotTransfer

# Of one message, so that a peer's silence is never one large write.
BATCH_ENTRIES = 64
BATCH_BYTES = 256 << 10
ENTRIES_IN_FLIGHT = 256  # sent to a peer beyond those it has said yes to
LEASE_PART = 0.95  # of an election's time, for clocks that differ
SILENT_HEARTBEATS = 1.5  # without an answer: seen at the second heartbeat after the last answer


class Leadership(SnapshotTransfer):
    """A member as leader."""

    # ---- beginning

    def _become_leader(self) -> None:
        self.role, self.leader, self.elected_at = MemberRole.LEADER, self.member_id, self.now
        self.heartbeat_round = self.confirmed_round = 0
        self.confirmed_at = float("-inf")
        self._rounds.clear()
        self.votes.clear()
        self._piece_at = float("inf")
        self.committed_before = self._committed_at_heartbeat = self.commit_index
        self.peers, self.replication_targets = {}, frozenset()
        self._update_peers()
        self.log.append(Entry(self.last_index + 1, self.term, EntryKind.NO_OP, b""))
        self.term_start_index = self.last_index
        self._heartbeat()

    def _update_peers(self) -> None:
        """The peers are the members, whoever else they were."""
        before, self.peers = self.peers, {}
        for name in self.members.all:
            if name != self.member_id:
                self.peers[name] = before.get(name) or Progress(self.last_index + 1, self.now)
        self._choose_eager()

    def _choose_eager(self) -> None:
        """A learner is to catch up: it gets all at once, too."""
        silence = SILENT_HEARTBEATS * self.timing.heartbeat_interval
        followers = choose_replication_targets(
            self.members.voters, self.peers, self.replication_targets, self.now, silence
        )
        self.replication_targets = followers.union(self.members.learners).intersection(self.peers)

    # ---- rounds

    def _heartbeat(self) -> None:
        """Once a heartbeat: is there a majority still (T 6.2)?"""
        self._heartbeat_at = self.now + self.timing.heartbeat_interval
        if self.transfer_target and self.now >= self._transfer_until:
            self.transfer_target = ""
        if not self._hears_majority:
            self._become_follower(self.term)
            return
        self.last_contact = self.now
        self.committed_before = self._committed_at_heartbeat
        self._committed_at_heartbeat = self.commit_index
        self._choose_eager()
        self._begin_round(self.peers)

    @property
    def _hears_majority(self) -> bool:
        voters = self.members.voters
        heard = int(self.is_voter)
        for name, peer in self.peers.items():
            heard += name in voters and self.now < peer.last_contact + self.timing.election_timeout
        return 2 * heard > len(voters)

    def _begin_round(self, asked: Iterable[str]) -> None:
        """Ask a majority or more whether this member leads still. A round without an answer is made up for by
        the next heartbeat, which asks all."""
        self.heartbeat_round += 1
        self._rounds.append((self.heartbeat_round, self.now))
        self._heartbeat_round_requested = False
        for name in asked:
            peer = self.peers[name]
            # A peer that says nothing is only asked where it stands. If what was sent is lost, it says no.
            silent = peer.last_contact < self.now - SILENT_HEARTBEATS * self.timing.heartbeat_interval
            lacks_all = self._needs_snapshot(peer)
            if peer.transfer is None and (silent or (lacks_all and not peer.answered_round)):
                if lacks_all:  # which snapshot is known when it answers, and where it stands
                    peer.next_index = self.last_index + 1
                self._send_append(name, peer, ())
            else:
                self._send_entries(name, heartbeat=True)

    # ---- entries

    def _send_entries(self, name: str, heartbeat: bool = False) -> None:
        peer = self.peers[name]
        if self._needs_snapshot(peer):
            self._continue_transfer(name, peer, heartbeat)
            return
        entries = self._next_batch(peer)
        if entries or heartbeat:
            self._send_append(name, peer, entries)
            peer.next_index += len(entries)
            if entries:
                peer.sent(self.now, peer.next_index - 1)

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
        """As many messages as it takes."""
        sent = 0
        while sent < peer.next_index <= self.last_index:
            sent = peer.next_index
            self._send_entries(name)

    def _send_append(self, name: str, peer: Progress, entries: Iterable[Entry]) -> None:
        previous = peer.next_index - 1
        previous_term = self.log.term_at(previous)
        append = AppendEntries(
            self.term, previous, previous_term, tuple(entries), self.commit_index, self.heartbeat_round
        )
        self._send.append((name, append))

    @property
    def needed_index(self) -> int:
        """The first entry that some peer still needs that answers; the one after the last where none does.
        What a snapshot on its way lacks is needed, too: else the next one would follow it, for ever."""
        needed = self.last_index + 1
        for peer in self.peers.values():
            if not peer.answered_round or self.now >= peer.last_contact + self.timing.election_timeout:
                continue
            if peer.transfer is not None:
                needed = min(needed, peer.transfer.snapshot.index + 1)
            elif self.log.has_entry_after(peer.match_index):
                needed = min(needed, peer.match_index + 1)
        return needed

    # ---- answers

    def _take_answer(self, name: str, answer: AppendEntriesResponse | InstallSnapshotResponse) -> None:
        peer = self.peers[name]
        peer.last_contact = self.now
        peer.answered_round = max(peer.answered_round, answer.heartbeat_round)
        if isinstance(answer, InstallSnapshotResponse):
            self._take_installed(name, peer, answer)
        elif answer.ok:
            self._take_match(name, peer, answer.index)
        elif not peer.is_known_rejection(answer.index, answer.heartbeat_round):
            self._take_rejection(name, peer, answer.index)
        self._update_commitment()

    def _take_rejection(self, name: str, peer: Progress, index: int) -> None:
        next_index = min(index + 1, peer.next_index - 1)
        peer.next_index = max(next_index, peer.match_index + 1)
        peer.rejected_index, peer.rejected_round = index, self.heartbeat_round
        self._send_entries(name, heartbeat=True)

    def _take_match(self, name: str, peer: Progress, index: int) -> None:
        peer.match_index = max(peer.match_index, index)
        peer.stored(self.now, index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        transfer = peer.transfer
        if transfer is not None and (
            transfer.snapshot.index <= peer.match_index or self.log.has_entry_after(peer.match_index)
        ):
            peer.transfer = None  # it has that snapshot, or entries will do
        if self._goes_on(name, peer):
            self._send_entries(name)
        if name == self.transfer_target:
            self._finish_transfer()

    def _goes_on(self, name: str, peer: Progress) -> bool:
        """Whether a peer gets entries before the next heartbeat: where it lacks many, too."""
        lacks = self.last_index + 1 - peer.next_index
        at_once = name in self.replication_targets or name == self.transfer_target
        return lacks >= BATCH_ENTRIES or (at_once and lacks > 0)

    # ---- commitment

    def _update_commitment(self) -> None:
        """What do majorities have, and which rounds have they answered?"""
        voters = self.members.voters
        if self.role is not MemberRole.LEADER or not voters:
            return
        peers = [self.peers[name] for name in voters if name != self.member_id]
        own_match = [self.log.stable_index] * self.is_voter
        own_round = [self.heartbeat_round] * self.is_voter
        self._commit_upto(_of_majority([peer.match_index for peer in peers] + own_match))
        if self.role is MemberRole.LEADER:
            answered = _of_majority([peer.answered_round for peer in peers] + own_round)
            self._confirm_rounds(max(self.confirmed_round, answered))

    def _confirm_rounds(self, number: int) -> None:
        self.confirmed_round = number
        while self._rounds and self._rounds[0][0] <= number:
            self.confirmed_at = self._rounds.popleft()[1]

    def has_leader_lease(self, now: float) -> bool:
        """Whether nobody else can have been elected yet: a majority has heard this leader since a round began
        less than an election's time ago, and gives no vote for so long (T 6.4.1). Leadership that is being
        passed on has none."""
        if self.role is not MemberRole.LEADER or self.transfer_target:
            return False
        return now < self.confirmed_at + LEASE_PART * self.timing.election_timeout

    def _commit_upto(self, index: int) -> None:
        """Entries of earlier terms only together with one of its own (fig. 8)."""
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        # Also one that became a learner goes: nobody would make it a voter again.
        if self.log.members_index <= index and not self.is_voter:
            self._send_commit_index()
            self._become_follower(self.term)

    def _send_commit_index(self) -> None:
        """A leader that is no voter any more says what was committed before it goes (T 4.2.2)."""
        for name, peer in self.peers.items():
            if not self._needs_snapshot(peer):
                self._send_append(name, peer, ())

    # ---- transfer of leadership (T 3.10)

    def transfer_leadership(self, now: float, to: str) -> bool:
        """Leadership is to go to another voter; whether that was begun."""
        self.now = now
        if self.role is not MemberRole.LEADER or to not in self.members.voters or to == self.member_id:
            return False
        self.transfer_target, self._transfer_until = to, now + self.timing.election_timeout
        self._send_entries(to)
        self._finish_transfer()
        return True

    def _finish_transfer(self) -> None:
        peer = self.peers.get(self.transfer_target)
        if peer is not None and peer.match_index == self.last_index:
            self._send.append((self.transfer_target, TimeoutNow(self.term)))


def _of_majority(values: list[int]) -> int:
    """The highest value that a majority has reached."""
    return sorted(values, reverse=True)[len(values) // 2]
