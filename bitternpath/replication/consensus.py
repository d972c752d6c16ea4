"""Raft consensus of one replica group, as a pure function of messages, ticks and completed writes.

It implements the extended Raft paper (Ongaro and Ousterhout 2014; "fig. 2" below is its figure 2) and these
parts of Ongaro's thesis (2014; cited below as "T" with a section): pre-vote (T 9.6), rejection of vote
requests while a leader is active (T 4.2.3), check quorum (a leader without a responsive majority steps down,
T 6.2), leadership transfer (T 3.10), read index (T 6.4), snapshots in chunks (T 5), and single-server
membership changes in which a new voter starts as a learner (T 4).

Each input (`receive`, `tick`, `write_completed`, `propose`, `compact`, ...) changes the state. `take_effects`
returns the resulting effects: messages to send, writes, and committed entries. The implementation is split
into `log`, `elections`, `leadership` (the leader's side of replication), `follower` and `snapshots`; `member`
defines the state that they share.

Transitions between the values of `MemberRole` (`ReplicaHost` logs each transition of a reactor turn as
`role_changed`, with the old role, the new role and the `RoleChangeCause`):

    FROM            INPUT                                                         TO
    FOLLOWER        election timeout, may start an election                       PRE_CANDIDATE
    FOLLOWER        TimeoutNow of its leader, is a voter                          CANDIDATE
    PRE_CANDIDATE   a majority would grant its vote                               CANDIDATE (term + 1)
    PRE_CANDIDATE   election timeout, may start an election                       PRE_CANDIDATE (again)
    CANDIDATE       a majority granted its vote                                   LEADER
    CANDIDATE       election timeout, may start an election                       PRE_CANDIDATE
    LEADER          heartbeat due, no majority responded in `election_timeout`    FOLLOWER
    LEADER          a membership is committed in which it is not a voter          FOLLOWER
    not FOLLOWER    AppendEntries or InstallSnapshot of its own term              FOLLOWER
    any             a message with a higher term (*)                              FOLLOWER

A voter may start an election. So may a removed voter until its removal is committed. (*) Exceptions: a
pre-vote request, a granted pre-vote, and a vote request while an active leader is known, unless the request
belongs to a leadership transfer (`leadership_transfer`).

Invariants, in addition to the safety properties of the paper's fig. 3:

- Writes are numbered and completed in order. A message that depends on persistent state (a vote, a
  candidate's requests, a follower's confirmation) is sent only after the write of that state has completed.
  A leader sends entries before its own write has completed, but counts itself towards the majority only
  afterwards (T 10.2.1).
- Messages may be delayed, duplicated, reordered or lost. They are interpreted only by their term, index and
  heartbeat round.
- A *heartbeat round* is a number that a leader's requests carry and that the responses return. It increases
  monotonically within a term. Responses of a majority to round r prove that no other leader had been elected
  when r was started. This confirms reads (read index) and the leader's lease.
- At most one membership change is uncommitted, and a leader changes the membership only after it has
  committed an entry of its own term.

Times are in seconds of any monotonic clock, passed in by the caller. Nothing here reads a clock or accesses
the network.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from bitternpath.replication.elections import Elections
from bitternpath.replication.follower import Follower
from bitternpath.replication.leadership import Leadership
from bitternpath.replication.messages import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    RequestVoteResponse,
    TimeoutNow,
)
from bitternpath.replication.records import (
    Entry,
    EntryKind,
    MemberRole,
    RoleChangeCause,
    Snapshot,
    StorageWrite,
)

_COMMAND_KIND = int(EntryKind.COMMAND)  # looking up an enum member costs as much as the rest of an append


class RaftEffects(Struct):
    """Actions required by the inputs since the last `Raft.take_effects`."""

    messages: list[tuple[str, Message]]  # receiver and message, to be sent in this order
    writes: list[StorageWrite]  # to be performed in this order, each acknowledged by `Raft.write_completed`
    restore: Snapshot | None  # snapshot to restore the state machine from before `committed` is applied
    committed: list[Entry]  # entries to be applied in this order


class Raft(Elections, Leadership, Follower):
    """One member of a Raft group."""

    # ---- timers and completed writes

    def tick(self, now: float) -> None:
        """Handle expired timers. To be called no later than `next_timeout_at`."""
        self.now = now
        if self.role is MemberRole.LEADER:
            if now >= self._chunk_at:
                self._send_due_chunks()
            if now >= self._heartbeat_at:
                self._heartbeat()
        elif now >= self._election_at:
            self._election_timeout()

    @property
    def next_timeout_at(self) -> float:
        """The time at which `tick` has to be called next."""
        if self.role is MemberRole.LEADER:
            return min(self._heartbeat_at, self._chunk_at)
        return self._election_at

    def write_completed(self, now: float, number: int) -> None:
        """Handle the completion of all writes up to `number`: their data is on disk."""
        self.now = now
        self.log.write_completed(number)
        self._release_messages_awaiting_write(number)
        if self.role is MemberRole.LEADER:
            self._update_commitment()

    # ---- messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message from another member. Stale and invalid messages are ignored."""
        self.now = now
        match message:
            case RequestVote():
                self._on_vote_request(sender, message)
            case RequestVoteResponse():
                self._on_vote_response(sender, message)
            case AppendEntries() | InstallSnapshot():
                self._on_leader_request(sender, message)
            case AppendEntriesResponse() | InstallSnapshotResponse():
                self._on_response(sender, message)
            case TimeoutNow():
                if message.term == self.term and sender == self.leader and self.is_voter:
                    self._start_election(leadership_transfer=True)

    def _on_leader_request(self, sender: str, request: AppendEntries | InstallSnapshot) -> None:
        if not self._accept_leader(sender, request.term, request.heartbeat_round):
            return
        if isinstance(request, AppendEntries):
            self._on_append_entries(sender, request)
        else:
            self._on_install_snapshot(sender, request)

    def _on_response(self, sender: str, response: AppendEntriesResponse | InstallSnapshotResponse) -> None:
        if response.term > self.term:
            self._become_follower(response.term, RoleChangeCause.HIGHER_TERM)
        elif self.role is MemberRole.LEADER and response.term == self.term and sender in self.peers:
            self._on_peer_response(sender, response)

    # ---- proposals

    def propose(self, now: float, kind: int, data: bytes) -> int | None:
        """Append an entry of the given `EntryKind` as leader.

        Returns its index, or None if this member currently can't append it.
        """
        self.now = now
        if self.role is not MemberRole.LEADER or self.leadership_transfer_target:
            return None
        if kind == EntryKind.MEMBERS and not self.may_change_members:
            return None
        self.log.append(Entry(self.last_index + 1, self.term, kind, data))
        if kind == EntryKind.MEMBERS:
            self._update_peers()
        for name in self.peers:
            self._send_entries(name)
        return self.last_index

    def propose_many(self, now: float, commands: Sequence[bytes]) -> int | None:
        """Append commands as leader; returns the index of the first, or None if this member currently can't.

        Unlike `propose`, this sends all commands to a peer together, and immediately only to the replication
        targets.
        """
        self.now = now
        if self.role is not MemberRole.LEADER or self.leadership_transfer_target:
            return None
        first = self.last_index + 1
        for index, command in enumerate(commands, first):
            self.log.append(Entry(index, self.term, _COMMAND_KIND, command))
        for name in sorted(self.replication_targets):
            self._send_all_entries(name, self.peers[name])
        return first

    @property
    def may_change_members(self) -> bool:
        """Whether this leader may propose a membership change.

        Only one change may be uncommitted at a time, and the leader must have committed an entry of its own
        term first (Ongaro's correction of T 4 on the raft-dev list, 2015).
        """
        return self.has_committed_in_term and self.log.members_index <= self.commit_index

    # ---- reads

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its term, and thereby all earlier ones (T 6.4)."""
        return self.role is MemberRole.LEADER and self.commit_index >= self.term_start_index

    def request_heartbeat_round(self) -> int:
        """Request a new heartbeat round; returns its number.

        The confirmation of the round proves that this member was the leader when it was requested (read
        index, T 6.4).
        """
        self.heartbeat_round_requested = True
        return self.heartbeat_round + 1

    # ---- state machine

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """Compact the log up to the committed entry `index`, after which the state is `data`.

        The last `keep` entries up to `index` stay in the log.
        """
        if self.snapshot.index < index <= self.last_applied:
            self.log.compact(index, data, keep)

    # ---- effects

    def take_effects(self, now: float) -> RaftEffects:
        """Return the effects of all inputs since the last call."""
        self.now = now
        if self.role is MemberRole.LEADER:
            may_start_round = self.confirmed_round >= self.heartbeat_round or not self.peers
            if self.heartbeat_round_requested and may_start_round:
                self._start_round(sorted(self.replication_targets))
            self._update_commitment()
        writes = self._take_writes()
        effects = RaftEffects(self._messages, writes, self._snapshot_to_restore, self._take_committed())
        self._messages = []
        self._snapshot_to_restore = None
        return effects
