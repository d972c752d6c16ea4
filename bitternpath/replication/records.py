"""Data types of a replica group: log entries, membership, snapshots, storage writes, and timing.

`Entry`, `Members` and `Snapshot` are sent between members and stored on disk. Their encoding depends on the
order and types of their fields, but not on names. The numbers of `EntryKind` are encoded as well.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec
from msgspec import Struct


class EntryKind(IntEnum):
    """The type of a log entry's data. The numbers are stored and sent."""

    NO_OP = 0
    """No effect. The first entry that a leader appends in its term, so that it can commit (T 6.4)."""

    COMMAND = 1
    """A command for the state machine."""

    MEMBERS = 2
    """A membership change: encoded `Members`, which take effect once they are in the log (T 4.1)."""


LogPosition = tuple[int, int]
"""Index and term of a log entry; (0, 0) is the position before the first entry."""


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    `kind` is the int of an `EntryKind`, because decoding an enum would cost more than the rest of the entry.
    """

    index: int  # starts at 1, without gaps
    term: int  # of the leader that appended it
    kind: int
    data: bytes


class Members(Struct, frozen=True, array_like=True):
    """Members of a replica group. Learners receive all entries, but don't vote or count for commitment.

    `generation` is that of the placement on which the membership is based. It never decreases in a log.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    generation: int = 0

    @property
    def all(self) -> tuple[str, ...]:
        """All members: voters first, then learners."""
        return self.voters + self.learners


class Snapshot(Struct, frozen=True, array_like=True):
    """State of the state machine after the entry `index`, which replaces all entries up to it."""

    index: int = 0
    term: int = 0  # of the entry `index`
    members: Members = Members()  # in effect at `index`
    data: bytes = b""


class StorageWrite(Struct, frozen=True):
    """One atomic write to disk, performed after all earlier writes. Truncation precedes appending."""

    number: int  # sequence number, starting at 1
    term: int  # current term
    vote: str  # candidate that this member voted for in the term; "" if none
    truncate_from: int | None  # index of the first entry to remove; None to remove none
    entries: tuple[Entry, ...]  # to append after the truncation
    snapshot: Snapshot | None  # replaces the previous snapshot; None to keep it
    compacted_through: LogPosition  # position of the last entry that is no longer needed


class PersistentState(Struct):
    """State of a member that was read from disk at start: the persistent state of fig. 2 and a snapshot."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    compacted_through: LogPosition = (0, 0)  # position of the entry before `entries[0]`
    entries: list[Entry] = []


class RaftTiming(Struct, frozen=True):
    """Timing of elections, in seconds.

    `election_timeout` should be much longer than a message and a sync take; otherwise split votes are likely.
    """

    election_timeout: float = 1.0  # minimum; the random timeout is up to twice as long
    heartbeat_interval: float = 0.2


DEFAULT_TIMING = RaftTiming()


class MemberRole(Enum):
    """Role of a member in its term. See `replication.consensus` for the transitions."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # checks whether it would win, without a new term (T 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleChangeCause(Enum):
    """Why a member has its current role. The values appear in log events."""

    STARTED = "started"
    ELECTION_TIMEOUT = "election timeout"  # no contact with a leader, or an election failed
    TRANSFER_RECEIVED = "transfer received"  # the leader transferred leadership to this member
    VOTES = "votes"  # elected by a majority
    LEADER_HEARD = "leader heard"  # another member is the leader of this term
    HIGHER_TERM = "higher term"  # a candidate or leader has a higher term
    TRANSFERRED = "transferred"  # a higher term while this leader was transferring leadership
    QUORUM_LOST = "quorum lost"  # no majority responded within an election timeout
    NO_VOTER = "no voter any more"  # a membership without this voter was committed
    CLOSED = "closed"  # the process shuts down or removes the replica


def members_from(data: bytes) -> Members:
    """Decode the data of an entry of the kind `EntryKind.MEMBERS`."""
    return msgspec.msgpack.decode(data, type=Members)
