"""Plain data of a replica group: log entries, membership, snapshots, storage writes, timing.

`Entry`, `Members` and `Snapshot` are sent between members and stored on disk. Their names are free, but the
order and the types of their fields are a format, and so are the numbers of `EntryKind`.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec
from msgspec import Struct


class EntryKind(IntEnum):
    """What the data of a log entry is. The numbers are stored and sent."""

    NO_OP = 0
    """Of no effect: the first entry that a leader appends in its term, so that it can commit (T 6.4)."""

    COMMAND = 1
    """A command for the state machine."""

    MEMBERS = 2
    """A change of the membership: encoded `Members`, in force as soon as it is in the log (T 4.1)."""


LogPosition = tuple[int, int]
"""Index and term of a log entry; (0, 0) is the position before the first one."""


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the replicated log.

    `kind` is an `EntryKind`, typed as int: decoding it as an enum would cost more than the rest of the entry.
    """

    index: int  # from 1 on, without gaps
    term: int  # of the leader that appended it
    kind: int
    data: bytes


class Members(Struct, frozen=True, array_like=True):
    """Members of a replica group. Learners get all entries; they neither vote nor count for commitment.

    `generation` is that of the placement that the membership follows. It never falls in a log.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    generation: int = 0

    @property
    def all(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return self.voters + self.learners


class Snapshot(Struct, frozen=True, array_like=True):
    """State of the state machine after the entry `index`, in place of all entries up to it."""

    index: int = 0
    term: int = 0  # of the entry `index`
    members: Members = Members()  # in force at `index`
    data: bytes = b""


class StorageWrite(Struct, frozen=True):
    """One atomic write to the disk, done after those before it. Truncation precedes appending."""

    number: int  # from 1 on, in the order in which the writes are to be done
    term: int  # current term
    vote: str  # for whom this member voted in that term; "" for nobody yet
    truncate_from: int | None  # index of the first of the entries that are removed; None: none is
    entries: tuple[Entry, ...]  # appended after the truncation
    snapshot: Snapshot | None  # replaces the one before; None: that one stays
    compacted_through: LogPosition  # the last entry that is no longer needed


class PersistentState(Struct):
    """What a disk holds of a member at the start: fig. 2's persistent state, and a snapshot."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    compacted_through: LogPosition = (0, 0)  # position of the entry before `entries[0]`
    entries: list[Entry] = []


class RaftTiming(Struct, frozen=True):
    """Timing of elections, in seconds.

    Elections settle quickly only where a message and a sync together take much less than `election_timeout`.
    """

    election_timeout: float = 1.0  # shortest silence of a leader after which a follower stands; at most twice
    heartbeat_interval: float = 0.2


DEFAULT_TIMING = RaftTiming()


class MemberRole(Enum):
    """Role of a member in its term; `replication.consensus` has the table of transitions."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks whether it would get votes, without a new term (T 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"


class RoleChangeCause(Enum):
    """Why a member has the role that it has. The values are texts of log events."""

    STARTED = "started"
    ELECTION_TIMEOUT = "election timeout"  # no leader was heard for so long, or an election failed
    TRANSFER_RECEIVED = "transfer received"  # the leader asked this member to take over
    VOTES = "votes"  # of a majority
    LEADER_HEARD = "leader heard"  # another member leads in this term
    HIGHER_TERM = "higher term"  # of another member: it stands, or leads already
    TRANSFERRED = "transferred"  # a higher term, after this leader began to transfer its leadership
    QUORUM_LOST = "quorum lost"  # no majority responded within an election timeout
    NO_VOTER = "no voter any more"  # a membership is committed in which it doesn't vote
    CLOSED = "closed"  # the process ends, or gives the replica up


def members_from(data: bytes) -> Members:
    """Decode the membership that an entry of the kind `EntryKind.MEMBERS` carries."""
    return msgspec.msgpack.decode(data, type=Members)
