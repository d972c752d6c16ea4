"""State that the parts of a consensus member share: term, role, log, and messages that wait for the disk."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from bitternpath.replication.bandwidth import SnapshotRateLimiter, UnlimitedSnapshotRateLimiter
from bitternpath.replication.log import ReplicatedLog
from bitternpath.replication.messages import LeaderRequest, Message
from bitternpath.replication.progress import Progress
from bitternpath.replication.records import (
    DEFAULT_TIMING,
    Entry,
    MemberRole,
    Members,
    PersistentState,
    RaftTiming,
    RoleChangeCause,
    Snapshot,
    StorageWrite,
)

NEVER = float("inf")  # of a timer that isn't set


@dataclass(frozen=True, slots=True)
class RaftOptions:
    """What a member is run with. `snapshot_rate_limiter` may be shared by the members of many groups."""

    timing: RaftTiming = DEFAULT_TIMING
    snapshot_rate_limiter: SnapshotRateLimiter = field(default_factory=UnlimitedSnapshotRateLimiter)


class AwaitingWrite(NamedTuple):
    """A message that promises something which is not on disk before the write of that number is done."""

    write_number: int
    receiver: str
    message: Message


class StartedRound(NamedTuple):
    """A heartbeat round that a majority has not answered yet, and when it was started."""

    number: int
    started_at: float


class PartialSnapshot:
    """The chunks of a snapshot that a follower has received so far, in order."""

    def __init__(self, index: int, term: int) -> None:
        """`index`, `term`: of the last entry that the snapshot includes."""
        self.index = index
        self.term = term
        self.data = bytearray()


class MemberState(ABC):
    """State of one member, and its outputs until they are taken.

    The attributes of a leader mean nothing in another role. Times are seconds of the caller's clock.
    """

    def __init__(
        self,
        member_id: str,
        state: PersistentState,
        random: Random,
        now: float,
        options: RaftOptions = RaftOptions(),
    ) -> None:
        """A follower with that persistent state; `random` draws the election timeouts."""
        self.member_id = member_id
        self.random = random
        self.timing = options.timing
        self.now = now  # when the input came that is being worked on

        # Persistent state of all members (fig. 2).
        self.term = state.term
        self.vote = state.vote
        self.log = ReplicatedLog(state)

        # Volatile state of all members.
        self.commit_index = state.snapshot.index
        self.last_applied = state.snapshot.index
        self.role = MemberRole.FOLLOWER
        self.role_cause = RoleChangeCause.STARTED
        self.leader = ""  # "" where none is known
        self.last_contact = now - 2 * self.timing.election_timeout  # of a follower: with its leader

        # Of a candidate or pre-candidate.
        self.votes: set[str] = set()

        self._init_leader_state()
        self._init_heartbeat_rounds()
        self._init_snapshot_installation(options.snapshot_rate_limiter)
        self._init_outputs()
        self._election_at = NEVER
        self._set_election_timer()

    def _init_leader_state(self) -> None:
        """Of a leader: replication, and a transfer of its leadership."""
        self.peers: dict[str, Progress] = {}
        self.replication_targets: frozenset[str] = frozenset()  # peers that get new entries at once
        self.term_start_index = 0  # index of the no-op that it appended when it was elected
        self.elected_at = 0.0
        self.commit_index_at_heartbeat = 0  # at the last heartbeat
        self.commit_index_at_previous_heartbeat = 0  # at the one before that
        self.leadership_transfer_target = ""  # the voter to which leadership is being transferred
        self._leadership_transfer_deadline = 0.0  # when the leader abandons the transfer of leadership

    def _init_heartbeat_rounds(self) -> None:
        """Of a leader: heartbeat rounds."""
        self.heartbeat_round = 0  # the last one started
        self.confirmed_round = 0  # the last one that a majority answered
        self.confirmed_at = -NEVER  # when that one was started
        self.heartbeat_round_requested = False  # one is wanted and hasn't started
        self._unconfirmed_rounds: deque[StartedRound] = deque()
        self._heartbeat_at = 0.0  # when the next one is due

    def _init_snapshot_installation(self, rate_limiter: SnapshotRateLimiter) -> None:
        """Of a leader: the bandwidth for snapshots that it sends; of a follower: the one that it receives."""
        self._snapshot_rate_limiter = rate_limiter
        self._chunk_at = NEVER  # when a snapshot chunk is due that waits for bandwidth
        self._partial_snapshot: PartialSnapshot | None = None

    def _init_outputs(self) -> None:
        """Outputs until they are taken."""
        self._snapshot_to_restore: Snapshot | None = None  # next state of the state machine
        self._messages: list[tuple[str, Message]] = []
        self._messages_awaiting_next_write: list[tuple[str, Message]] = []  # wait for all changes so far
        self.messages_awaiting_write: list[AwaitingWrite] = []

    @abstractmethod
    def receive(self, now: float, sender: str, message: Message) -> None:
        """Take a message from another member. One that is stale or makes no sense is ignored."""

    @abstractmethod
    def _become_leader(self) -> None:
        """A majority has voted for this member."""

    # ---- views

    @property
    def members(self) -> Members:
        """The last membership in the log, committed or not."""
        return self.log.members

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self.log.last_index

    @property
    def snapshot(self) -> Snapshot:
        """The last one, this member's own or a leader's."""
        return self.log.snapshot

    @property
    def is_voter(self) -> bool:
        """Whether this member's vote and log count."""
        return self.member_id in self.log.members.voters

    # ---- role and term

    def _set_election_timer(self) -> None:
        self._election_at = self.now + self.timing.election_timeout * (1.0 + self.random.random())

    def _set_term(self, term: int, vote: str) -> None:
        self.term = term
        self.vote = vote
        self.log.changed = True

    def _become_follower(self, term: int, cause: RoleChangeCause, leader: str = "") -> None:
        if term > self.term:
            self._set_term(term, "")
            self._drop_leader_requests()
        if self.role is not MemberRole.FOLLOWER:
            self._set_election_timer()
            transferred = cause is RoleChangeCause.HIGHER_TERM and self.leadership_transfer_target
            self.role_cause = RoleChangeCause.TRANSFERRED if transferred else cause
        self.role = MemberRole.FOLLOWER
        self.leader = leader
        self.leadership_transfer_target = ""
        self.peers.clear()
        self.votes.clear()
        self.heartbeat_round_requested = False

    # ---- outputs

    def _drop_leader_requests(self) -> None:
        """Send nothing more for a term that is over: its leader has just been told of a higher one.

        Followers would reject it; but an owner that knows that it was replaced orders nothing any more.
        """
        self._messages = [
            (receiver, message)
            for receiver, message in self._messages
            if not isinstance(message, LeaderRequest)
        ]

    def _take_writes(self) -> list[StorageWrite]:
        """Give out all changes as writes, and hold the messages that wait for them until they are done.

        Delivering this member's own vote may elect it, which changes the log again; hence the loop.
        """
        writes = []
        while self.log.changed or self._messages_awaiting_next_write:
            if self.log.changed:
                writes.append(self.log.flush(self.term, self.vote))
            waiting = self._messages_awaiting_next_write
            self._messages_awaiting_next_write = []
            for receiver, message in waiting:
                if self.log.all_writes_completed:
                    self._deliver(receiver, message)
                else:
                    self.messages_awaiting_write.append(
                        AwaitingWrite(self.log.last_write_issued, receiver, message)
                    )
        return writes

    def _take_committed(self) -> list[Entry]:
        """Give out the entries committed since the last call."""
        if self.commit_index <= self.last_applied:
            return []
        first = self.last_applied + 1
        self.last_applied = self.commit_index
        return self.log.entries_from(first, self.commit_index - first + 1)

    def _release_messages_awaiting_write(self, number: int) -> None:
        """The writes up to that number are done: send what waited for them."""
        due = [waiting for waiting in self.messages_awaiting_write if waiting.write_number <= number]
        self.messages_awaiting_write = [
            waiting for waiting in self.messages_awaiting_write if waiting.write_number > number
        ]
        for waiting in due:
            self._deliver(waiting.receiver, waiting.message)

    def _deliver(self, receiver: str, message: Message) -> None:
        """Send a message; one for this member itself, its own vote, is received at once."""
        if receiver == self.member_id:
            self.receive(self.now, receiver, message)
        else:
            self._messages.append((receiver, message))
