"""State shared by the parts of a consensus member: term, role, log, and messages that wait for writes."""

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

NEVER = float("inf")  # due time of a timer that isn't set


@dataclass(frozen=True, slots=True)
class RaftOptions:
    """Options of a member. The members of several groups may share one `snapshot_rate_limiter`."""

    timing: RaftTiming = DEFAULT_TIMING
    snapshot_rate_limiter: SnapshotRateLimiter = field(default_factory=UnlimitedSnapshotRateLimiter)


class AwaitingWrite(NamedTuple):
    """A message that must not be sent before the write with this number has completed."""

    write_number: int
    receiver: str
    message: Message


class StartedRound(NamedTuple):
    """A heartbeat round that a majority hasn't answered yet, and its start time."""

    number: int
    started_at: float


class PartialSnapshot:
    """The chunks of a snapshot that a follower has received so far, concatenated in order."""

    def __init__(self, index: int, term: int) -> None:
        """Start without chunks. `index` and `term` identify the last entry that the snapshot includes."""
        self.index = index
        self.term = term
        self.data = bytearray()


class MemberState(ABC):
    """State of one member, and its outputs until the caller collects them.

    Leader attributes are only valid while the member leads. Times are in seconds of the caller's clock.
    """

    def __init__(
        self,
        member_id: str,
        state: PersistentState,
        random: Random,
        now: float,
        options: RaftOptions = RaftOptions(),
    ) -> None:
        """Start as a follower with the given persistent state; `random` draws the election timeouts."""
        self.member_id = member_id
        self.random = random
        self.timing = options.timing
        self.now = now  # time of the input that is being processed

        # Persistent state of all members (fig. 2).
        self.term = state.term
        self.vote = state.vote
        self.log = ReplicatedLog(state)

        # Volatile state of all members.
        self.commit_index = state.snapshot.index
        self.last_applied = state.snapshot.index
        self.role = MemberRole.FOLLOWER
        self.role_cause = RoleChangeCause.STARTED
        self.leader = ""  # "" if unknown
        self.last_contact = now - 2 * self.timing.election_timeout  # of a follower: with the leader

        # State of a candidate or pre-candidate.
        self.votes: set[str] = set()

        self._init_leader_state()
        self._init_heartbeat_rounds()
        self._init_snapshot_installation(options.snapshot_rate_limiter)
        self._init_outputs()
        self._election_at = NEVER
        self._set_election_timer()

    def _init_leader_state(self) -> None:
        """Initialise a leader's state of replication and leadership transfer."""
        self.peers: dict[str, Progress] = {}
        self.replication_targets: frozenset[str] = frozenset()  # peers that are sent new entries immediately
        self.term_start_index = 0  # index of the no-op entry of the current term
        self.elected_at = 0.0
        self.commit_index_at_heartbeat = 0  # commit index at the last heartbeat
        self.commit_index_at_previous_heartbeat = 0  # commit index at the heartbeat before it
        self.leadership_transfer_target = ""  # voter to which leadership is being transferred; "" if none
        self._leadership_transfer_deadline = 0.0  # when the transfer is abandoned

    def _init_heartbeat_rounds(self) -> None:
        """Initialise a leader's state of heartbeat rounds."""
        self.heartbeat_round = 0  # number of the last round started
        self.confirmed_round = 0  # number of the last round that a majority answered
        self.confirmed_at = -NEVER  # start time of that round
        self.heartbeat_round_requested = False  # whether a round is requested that hasn't started
        self._unconfirmed_rounds: deque[StartedRound] = deque()
        self._heartbeat_at = 0.0  # when the next heartbeat is due

    def _init_snapshot_installation(self, rate_limiter: SnapshotRateLimiter) -> None:
        """Initialise the state of outgoing snapshots (as leader) and of an incoming one (as follower)."""
        self._snapshot_rate_limiter = rate_limiter
        self._chunk_at = NEVER  # when the next chunk delayed by the rate limiter is due
        self._partial_snapshot: PartialSnapshot | None = None

    def _init_outputs(self) -> None:
        """Initialise the outputs that the caller hasn't collected yet."""
        self._snapshot_to_restore: Snapshot | None = None  # to restore the state machine from
        self._messages: list[tuple[str, Message]] = []
        self._messages_awaiting_next_write: list[tuple[str, Message]] = []  # depend on all changes so far
        self.messages_awaiting_write: list[AwaitingWrite] = []

    @abstractmethod
    def receive(self, now: float, sender: str, message: Message) -> None:
        """Handle a message from another member. Stale and invalid messages are ignored."""

    @abstractmethod
    def _become_leader(self) -> None:
        """Become the leader: a majority has voted for this member."""

    # ---- views

    @property
    def members(self) -> Members:
        """The latest membership in the log, committed or not."""
        return self.log.members

    @property
    def last_index(self) -> int:
        """Index of the last entry in the log."""
        return self.log.last_index

    @property
    def snapshot(self) -> Snapshot:
        """The latest snapshot, taken by this member or received from a leader."""
        return self.log.snapshot

    @property
    def is_voter(self) -> bool:
        """Whether this member's vote and log count towards a majority."""
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
        """Discard queued leader requests: this leader has just learned of a higher term.

        Followers would reject them anyway, but an owner that knows that it was replaced must not send further
        requests.
        """
        self._messages = [
            (receiver, message)
            for receiver, message in self._messages
            if not isinstance(message, LeaderRequest)
        ]

    def _take_writes(self) -> list[StorageWrite]:
        """Return all changes as writes, and queue the messages that depend on them until they complete.

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
        """Return the entries committed since the last call."""
        if self.commit_index <= self.last_applied:
            return []
        first = self.last_applied + 1
        self.last_applied = self.commit_index
        return self.log.entries_from(first, self.commit_index - first + 1)

    def _release_messages_awaiting_write(self, number: int) -> None:
        """Send the messages that waited for writes up to `number`, which have completed."""
        due = [waiting for waiting in self.messages_awaiting_write if waiting.write_number <= number]
        self.messages_awaiting_write = [
            waiting for waiting in self.messages_awaiting_write if waiting.write_number > number
        ]
        for waiting in due:
            self._deliver(waiting.receiver, waiting.message)

    def _deliver(self, receiver: str, message: Message) -> None:
        """Send a message. This member's own vote, which it addresses to itself, is received immediately."""
        if receiver == self.member_id:
            self.receive(self.now, receiver, message)
        else:
            self._messages.append((receiver, message))
