"""What a member of a replica group keeps and writes: entries, members, snapshots. Plain data."""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec
from msgspec import Struct

EntryKind = IntEnum("EntryKind", [("NO_OP", 0), ("COMMAND", 1), ("MEMBERS", 2)])


class Entry(Struct, frozen=True, array_like=True):
    """One entry of the log. `kind` is an `EntryKind`."""

    index: int
    term: int
    kind: int
    data: bytes


class Members(Struct, frozen=True, array_like=True):
    """Who takes part. Learners get all entries, and neither vote nor count. `generation`: of the placement
    that this follows; it never falls in a log."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    generation: int = 0

    @property
    def all(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return self.voters + self.learners


class Snapshot(Struct, frozen=True, array_like=True):
    """The state after `index`, in place of all entries up to it."""

    index: int = 0
    term: int = 0
    members: Members = Members()
    data: bytes = b""


class StorageWrite(Struct, frozen=True):
    """One batch for the disk, to be done as a whole, after those before it."""

    number: int
    term: int
    vote: str
    truncate_from: int | None  # entries from this index on are gone, before the new ones are added
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None  # takes the place of the one before
    compacted_through: tuple[int, int]  # index and term of the last entry that is not needed any more


class PersistentState(Struct):
    """What a disk holds at the start."""

    term: int = 0
    vote: str = ""
    snapshot: Snapshot = Snapshot()
    compacted_through: tuple[int, int] = (0, 0)  # index and term of the entry before the first one kept
    entries: list[Entry] = []


class RaftTiming(Struct, frozen=True):
    """In s. An election wants messages to take much less than `election`."""

    election_timeout: float = (
        1.0  # the least time without a leader after which a follower asks; at most twice that
    )
    heartbeat_interval: float = 0.2


DEFAULT_TIMING = RaftTiming()


class MemberRole(Enum):
    """What a member does in its term. A pre-candidate asks whether it would get votes (T 9.6)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


def members_from(data: bytes) -> Members:
    """The members that an entry of the kind MEMBERS names."""
    return msgspec.msgpack.decode(data, type=Members)
