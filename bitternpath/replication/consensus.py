"""Consensus of one replica group, as a pure function of messages, ticks and completed writes.

From the extended Raft paper (Ongaro and Ousterhout 2014; "fig. 2" below is its figure 2) and Ongaro's thesis
(2014; "T" below and a section): pre-vote (T 9.6), no vote while a leader is heard (T 4.2.3), a leader that
hears no majority steps down (T 6.2), leadership transfer (T 3.10), read index (T 6.4), snapshots in chunks
(T 5), membership changes of one voter at a time with learners first (T 4).

Each input (`receive`, `tick`, `write_completed`, `propose`, `compact`, ...) changes the state; `take_effects`
returns what follows: messages to send, writes, and committed entries. One module for each part: `log`,
`elections`, `leadership` (the leader's side of replication), `follower`, `snapshots`; `member` has the state
that they share.

The life of a member, by `MemberRole` (`ReplicaHost` logs what a turn changed as `role_changed`, old, new and
the `RoleChangeCause`):

    FROM            INPUT                                                         TO
    FOLLOWER        election timeout, may stand                                   PRE_CANDIDATE
    FOLLOWER        TimeoutNow of its leader, is a voter                          CANDIDATE
    PRE_CANDIDATE   a majority would grant its vote                               CANDIDATE (term + 1)
    PRE_CANDIDATE   election timeout, may stand                                   PRE_CANDIDATE (again)
    CANDIDATE       a majority granted its vote                                   LEADER
    CANDIDATE       election timeout, may stand                                   PRE_CANDIDATE
    LEADER          heartbeat due and no majority heard for `election_timeout`    FOLLOWER
    LEADER          a membership is committed in which it is no voter             FOLLOWER
    not FOLLOWER    AppendEntries or InstallSnapshot of its own term              FOLLOWER
    any             a message with a higher term (*)                              FOLLOWER

A voter may stand for election, and so may one that was removed while its removal is not committed. (*) Not a
pre-vote request, a granted pre-vote, or a vote request while a leader is known, unless the leader
caused it (`leadership_transfer`).

Invariants, beside the safety properties of the paper's fig. 3:

- Writes are numbered and done in order. Whatever promises something (a vote, a candidate's requests, a
  follower's confirmation) is held back until the write that keeps the promise is done. A leader sends entries
  at once, but counts itself among those that have them only when its own write is done (T 10.2.1).
- A message may come late, twice, out of order or never. Only its term, index and heartbeat round say what it
  means.
- A *heartbeat round* is a number that a leader's requests carry and the responses return. It only rises in a
  term. Responses of a majority to round r prove that no other leader had been elected when r was started:
  this confirms reads (read index) and the leader's lease.
- At most one membership change is uncommitted, and a leader changes the membership only after it has
  committed an entry of its own term.

Times are in seconds on any clock that does not go back. Nothing here looks at a clock or at the network.
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

_COMMAND_KIND = int(EntryKind.COMMAND)  # an enum member's look-up costs as much as the rest of an append


class RaftEffects(Struct):
    """What follows from the inputs since the last `Raft.take_effects`."""

    messages: list[tuple[str, Message]]  # receivers and messages, to be sent in this order
    writes: list[StorageWrite]  # to be done in this order; each is reported by `Raft.write_completed`
    restore: Snapshot | None  # replaces the state of the state machine, before `committed` is applied
    committed: list[Entry]  # to be applied in this order


class Raft(Elections, Leadership, Follower):
    """One consensus member."""

    # ---- time and disk

    def tick(self, now: float) -> None:
        """Time has passed; to be called at `next_timeout_at` at the latest."""
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
        """When `tick` is to be called next."""
        if self.role is MemberRole.LEADER:
            return min(self._heartbeat_at, self._chunk_at)
        return self._election_at

    def write_completed(self, now: float, number: int) -> None:
        """The writes up to that number are on disk."""
        self.now = now
        self.log.write_completed(number)
        self._release_messages_awaiting_write(number)
        if self.role is MemberRole.LEADER:
            self._update_commitment()

    # ---- messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        """Take a message from another member. One that is stale or makes no sense is ignored."""
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
        """Append an entry of that `EntryKind` as leader; its index, or None where this member can't now."""
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
        """Append commands as leader; the index of the first, or None where this member can't now.

        Unlike with `propose`, a peer gets them together, and only replication targets get them at once.
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
        """Whether this leader may propose a membership.

        One change at a time, and only after the leader has committed an entry of its own term (Ongaro's
        correction of T 4 on the raft-dev list, 2015).
        """
        return self.has_committed_in_term and self.log.members_index <= self.commit_index

    # ---- reads

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this is a leader that has committed all that was committed before it (T 6.4)."""
        return self.role is MemberRole.LEADER and self.commit_index >= self.term_start_index

    def request_heartbeat_round(self) -> int:
        """Have a heartbeat round started soon; its number.

        Once it is confirmed, this member led when the round was requested (read index, T 6.4).
        """
        self.heartbeat_round_requested = True
        return self.heartbeat_round + 1

    # ---- state machine

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """Take `data` as the state after the committed entry `index`; `keep` entries before it stay."""
        if self.snapshot.index < index <= self.last_applied:
            self.log.compact(index, data, keep)

    # ---- effects

    def take_effects(self, now: float) -> RaftEffects:
        """Return all that follows from the inputs since the last call."""
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
