"""What the jobs of a member share: its term, its role, its log, and messages that wait for the disk."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from random import Random

from bitternpath.replication.bandwidth import TransferBudget, UnlimitedTransferBudget
from bitternpath.replication.log import ReplicatedLog
from bitternpath.replication.messages import Message
from bitternpath.replication.progress import Progress
from bitternpath.replication.records import (
    DEFAULT_TIMING,
    Entry,
    MemberRole,
    Members,
    PersistentState,
    RaftTiming,
    Snapshot,
    StorageWrite,
)


class PartialSnapshot:
    """A snapshot of which a follower has a part."""

    def __init__(self, index: int, term: int) -> None:
        self.index, self.term = index, term
        self.data = bytearray()


class MemberState(ABC):
    """State of one member, and its outputs until they are taken."""

    def __init__(
        self,
        member_id: str,
        kept: PersistentState,
        random: Random,
        now: float,
        timing: RaftTiming = DEFAULT_TIMING,
        budget: TransferBudget | None = None,
    ) -> None:
        self.member_id, self.random, self.timing, self.now = member_id, random, timing, now
        self.term, self.vote = kept.term, kept.vote
        self.log = ReplicatedLog(kept)
        self.commit_index = self.last_applied = kept.snapshot.index
        self.role, self.leader = MemberRole.FOLLOWER, ""
        self.last_contact = now - 2 * timing.election_timeout  # with a leader
        self.peers: dict[str, Progress] = {}  # of a leader
        self.replication_targets: frozenset[str] = (
            frozenset()
        )  # of a leader: the peers that get entries at once
        self.votes: set[str] = set()  # of a candidate
        self._heartbeat_round_requested = False
        # Of a leader; they mean nothing in another role.
        self.heartbeat_round = self.confirmed_round = (
            0  # the last one begun, and the last one that a majority answered
        )
        self.confirmed_at = float("-inf")  # when the last confirmed round began
        self._rounds: deque[tuple[int, float]] = deque()  # begun and not confirmed, and when
        self.term_start_index = 0  # of the first entry that it wrote in its term
        self.elected_at = 0.0
        self.committed_before = 0  # commit index at the last heartbeat but one
        self._committed_at_heartbeat = 0  # and at the last one
        self.transfer_target = ""  # to whom leadership is being passed on
        self._heartbeat_at = self._transfer_until = 0.0
        self._piece_at = float("inf")  # when a piece of a snapshot goes out that waits for bandwidth
        self._budget = budget or UnlimitedTransferBudget()
        self._partial: PartialSnapshot | None = None
        self._restore: Snapshot | None = None  # the state machine's next state
        self._send: list[tuple[str, Message]] = []
        self._after_writes: list[tuple[str, Message]] = []  # wait until all that there is now is on disk
        self._held: list[tuple[int, str, Message]] = []  # until which write is done
        self._set_election_timer()

    @abstractmethod
    def receive(self, now: float, sender: str, message: Message) -> None:
        """A message has come; one that makes no sense is passed over."""

    @abstractmethod
    def _become_leader(self) -> None:
        """A majority has voted for this member."""

    # ---- views

    @property
    def members(self) -> Members:
        """The last ones in the log, committed or not."""
        return self.log.members

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self.log.last_index

    @property
    def snapshot(self) -> Snapshot:
        """The last one, its own or a leader's."""
        return self.log.snapshot

    @property
    def is_voter(self) -> bool:
        """Whether its own vote and log count."""
        return self.member_id in self.log.members.voters

    # ---- roles

    def _set_election_timer(self) -> None:
        self._election_at = self.now + self.timing.election_timeout * (1.0 + self.random.random())

    def _set_term(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self.log.changed = True

    def _become_follower(self, term: int, leader: str = "") -> None:
        if term > self.term:
            self._set_term(term, "")
        if self.role is not MemberRole.FOLLOWER:
            self._set_election_timer()
        self.role, self.leader, self.transfer_target = MemberRole.FOLLOWER, leader, ""
        self.peers.clear()
        self.votes.clear()
        self._heartbeat_round_requested = False

    # ---- outputs

    def _take_writes(self) -> list[StorageWrite]:
        """All changes as writes; messages that wait for them are held back until they are done."""
        writes = []
        while self.log.changed or self._after_writes:
            if self.log.changed:
                writes.append(self.log.flush(self.term, self.vote))
            waiting, self._after_writes = self._after_writes, []
            for receiver, message in waiting:
                if self.log.all_stored:
                    self._deliver(receiver, message)
                else:
                    self._held.append((self.log.written, receiver, message))
        return writes

    def _take_committed(self) -> list[Entry]:
        """The entries committed since the last call."""
        if self.commit_index <= self.last_applied:
            return []
        first, self.last_applied = self.last_applied + 1, self.commit_index
        return self.log.entries_from(first, self.commit_index - first + 1)

    def _deliver_stored(self, number: int) -> None:
        """The writes up to that number are done: what waited for them goes out."""
        due = [held for held in self._held if held[0] <= number]
        self._held = [held for held in self._held if held[0] > number]
        for _, receiver, message in due:
            self._deliver(receiver, message)

    def _deliver(self, receiver: str, message: Message) -> None:
        if receiver == self.member_id:
            self.receive(self.now, receiver, message)
        else:
            self._send.append((receiver, message))
