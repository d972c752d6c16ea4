"""Messages between the members of a replica group, with names and fields as in fig. 2 of the Raft paper.

`term` is the sender's current term, except in a pre-vote, where it is the term in which the sender would be a
candidate. A leader's requests carry its `heartbeat_round`, and responses return it (see
`replication.consensus`). The wire format consists of the order and types of the fields and of the tags (used
by the balancer's fleet record), but not of the field names. "T" refers to a section of Ongaro's thesis.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.replication.records import Entry, Members


class RequestVote(Struct, frozen=True, tag=1, array_like=True):
    """Request of a candidate or pre-candidate for a vote."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool  # whether to only check if the vote would be granted (T 9.6)
    leadership_transfer: bool = False  # sent after `TimeoutNow`, so the leader's lease doesn't apply (T 3.10)


class RequestVoteResponse(Struct, frozen=True, tag=2, array_like=True):
    """Response to `RequestVote`. `term` of a granted pre-vote is the requested term."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(Struct, frozen=True, tag=3, array_like=True):
    """A leader's entries after the one at `previous_index`. Without entries it is a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    heartbeat_round: int


class AppendEntriesResponse(Struct, frozen=True, tag=4, array_like=True):
    """Response to `AppendEntries` with the state of the follower's log."""

    term: int
    ok: bool  # whether the log matches the leader's at `previous_index`
    index: int  # if `ok`, last matching index on disk; otherwise the last one that may match
    heartbeat_round: int


class InstallSnapshot(Struct, frozen=True, tag=5, array_like=True):
    """A chunk of a snapshot (T 5.3). An empty chunk is a heartbeat while a snapshot is being sent."""

    term: int
    index: int  # last entry that the snapshot includes
    last_term: int  # term of that entry
    members: Members
    size: int  # of the complete snapshot, in bytes
    offset: int  # of the chunk, in bytes
    chunk: bytes
    checksum: int  # CRC-32 of the chunk
    heartbeat_round: int


class InstallSnapshotResponse(Struct, frozen=True, tag=6, array_like=True):
    """Response to `InstallSnapshot` with the follower's progress on the snapshot up to `index`."""

    term: int
    index: int
    offset: int  # number of contiguous bytes received, which is the offset of the next chunk
    stored: bool  # whether the complete snapshot is on disk
    heartbeat_round: int


class TimeoutNow(Struct, frozen=True, tag=7, array_like=True):
    """Leadership transfer: the receiver has to start an election immediately (T 3.10)."""

    term: int


LeaderRequest = AppendEntries | InstallSnapshot | TimeoutNow  # requests that a leader sends in its term

Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)
