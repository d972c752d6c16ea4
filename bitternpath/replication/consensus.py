"""Consensus of one replica group, as a pure function of messages, ticks and answers of the disk.

From the extended Raft paper, figure 2 (Ongaro and Ousterhout 2014; below "fig. 2"), and Ongaro's thesis
(2014; below "T" and a section): pre-vote (T 9.6), no vote while a leader is heard (T 4.2.3), a leader that
hears no majority steps down (T 6.2), transfer of leadership (T 3.10), read index (T 6.4), snapshots in pieces
(T 5), one member at a time with learners first (T 4).

Theory of operation. A member is a follower, asks whether it would get votes, is a candidate, or leads:

    FOLLOWER --timeout--> PRE_CANDIDATE --a majority would vote--> CANDIDATE --a majority did--> LEADER
    each --a higher term is heard--> FOLLOWER;  LEADER --no majority heard for `election`--> FOLLOWER

Each input (`receive`, `tick`, `stored`, `propose`, `compact`, ...) changes the state; `take_effects` gives
all that follows: messages to send, writes, and what is committed. One module for each job: `log`,
`elections`, `leadership` (the leader's side of replication), `following` (the follower's), `snapshots`;
`member` is what they share.
Rules of all of them:

- The disk answers later. A write has a number, and is done when `stored(number)` comes; writes are done in
  order. What promises something (a vote, a candidate's asking, a follower's yes) is held back until the write
  that keeps the promise is done. A leader's entries go out at once, but it counts itself among those that
  have them only when its own write is done (T 10.2.1).
- A message may come late, twice, out of order or never. Only a term, an index and a round tell what it means.
- A *round* is a number that a leader's messages carry and the answers bring back. It only goes up in a term.
  A majority's answers to round r prove that when r began no other leader had been chosen since.

Times are in seconds on any clock that does not go back. Nothing here looks at a clock or at the network.
"""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct

from bitternpath.replication.elections import Elections
from bitternpath.replication.follower import Following
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
from bitternpath.replication.records import Entry, EntryKind, MemberRole, Snapshot, StorageWrite


class Out(Struct):
    """What follows from the inputs since the last `take_effects`."""

    messages: list[tuple[str, Message]]
    writes: list[StorageWrite]
    restore: Snapshot | None  # the state is this one; comes before `committed`
    committed: list[Entry]


class Raft(Elections, Leadership, Following):
    """One member."""

    # ---- time and disk

    def tick(self, now: float) -> None:
        """Time has passed; to be called at `next_timeout_at` at the latest."""
        self.now = now
        if self.role is MemberRole.LEADER:
            if now >= self._piece_at:
                self._send_due_pieces()
            if now >= self._heartbeat_at:
                self._heartbeat()
        elif now >= self._election_at:
            self._election_timeout()

    @property
    def next_timeout_at(self) -> float:
        """When `tick` is wanted next."""
        if self.role is MemberRole.LEADER:
            return min(self._heartbeat_at, self._piece_at)
        return self._election_at

    def write_completed(self, now: float, number: int) -> None:
        """The disk has done the writes up to that number."""
        self.now = now
        self.log.stored(number)
        self._deliver_stored(number)
        if self.role is MemberRole.LEADER:
            self._update_commitment()

    # ---- messages

    def receive(self, now: float, sender: str, message: Message) -> None:
        """A message has come; one that makes no sense is passed over."""
        self.now = now
        match message:
            case RequestVote():
                self._answer_asking(sender, message)
            case RequestVoteResponse():
                self._count_vote(sender, message)
            case AppendEntries():
                if self._accept_leader(sender, message.term, message.heartbeat_round):
                    self._take_append(sender, message)
            case InstallSnapshot():
                if self._accept_leader(sender, message.term, message.heartbeat_round):
                    self._take_piece(sender, message)
            case AppendEntriesResponse() | InstallSnapshotResponse():
                if message.term > self.term:
                    self._become_follower(message.term)
                elif self.role is MemberRole.LEADER and message.term == self.term and sender in self.peers:
                    self._take_answer(sender, message)
            case TimeoutNow():
                if message.term == self.term and sender == self.leader and self.is_voter:
                    self._stand(leadership_transfer=True)

    # ---- proposals

    def propose(self, now: float, kind: int, data: bytes) -> int | None:
        """A leader's entry; its index, or None where this member can't take it now."""
        self.now = now
        if self.role is not MemberRole.LEADER or self.transfer_target:
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
        """As `propose` with CHANGE for each, but a peer gets them together, and some only with the next
        heartbeat (see `replication.replication_targets`); the index of the first."""
        self.now = now
        if self.role is not MemberRole.LEADER or self.transfer_target:
            return None
        first = self.last_index + 1
        for index, command in enumerate(commands, first):
            self.log.append(Entry(index, self.term, EntryKind.COMMAND, command))
        for name in sorted(self.replication_targets):
            self._send_all_entries(name, self.peers[name])
        return first

    @property
    def may_change_members(self) -> bool:
        """One change at a time, and the leader has committed something in its own term (Ongaro's correction
        of T 4 on the raft-dev list, 2015)."""
        return self.ready and self.log.members_index <= self.commit_index

    # ---- reads

    @property
    def ready(self) -> bool:
        """A leader that knows all that was committed before it (T 6.4)."""
        return self.role is MemberRole.LEADER and self.commit_index >= self.term_start_index

    def request_heartbeat_round(self) -> int:
        """The number of a round that begins after this; it does so soon."""
        self._heartbeat_round_requested = True
        return self.heartbeat_round + 1

    @property
    def heartbeat_round_requested(self) -> bool:
        """Whether a round is asked for that has not begun."""
        return self._heartbeat_round_requested

    # ---- state machine

    def compact(self, index: int, data: bytes, keep: int) -> None:
        """`data` is the state after that index, which is committed; `keep` entries before it stay."""
        if self.snapshot.index < index <= self.last_applied:
            self.log.compact(index, data, keep)

    # ---- effects

    def take_effects(self, now: float) -> Out:
        """All that follows from what was put in."""
        self.now = now
        if self.role is MemberRole.LEADER:
            if self._heartbeat_round_requested and (
                self.confirmed_round >= self.heartbeat_round or not self.peers
            ):
                self._begin_round(sorted(self.replication_targets))
            self._update_commitment()
        writes = self._take_writes()
        out = Out(self._send, writes, self._restore, self._take_committed())
        self._send, self._restore = [], None
        return out
