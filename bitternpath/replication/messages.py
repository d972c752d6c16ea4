"""Messages between the members of a replica group, named and laid out as in fig. 2 of the Raft paper.

`term` is the sender's current term, except in a pre-vote, where it is the term that the sender would stand
for. Each request of a leader carries its `heartbeat_round`, and the response returns it (see
`replication.consensus`). Field names are free; the order and the types of the fields are the wire format, and
so are the tags (used by the balancer's fleet record). "T" stands for Ongaro's thesis, with a section.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.replication.records import Entry, Members


class RequestVote(Struct, frozen=True, tag=1, array_like=True):
    """A candidate, or a pre-candidate, asks for a vote."""

    term: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool  # asks only whether the vote would be granted (T 9.6)
    leadership_transfer: bool = False  # the leader itself sent `TimeoutNow`: its lease doesn't count (T 3.10)


class RequestVoteResponse(Struct, frozen=True, tag=2, array_like=True):
    """A vote. `term` of a granted pre-vote is the term that was asked for."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(Struct, frozen=True, tag=3, array_like=True):
    """A leader's entries after the one at `previous_index`; without entries a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    heartbeat_round: int


class AppendEntriesResponse(Struct, frozen=True, tag=4, array_like=True):
    """Where the follower's log stands."""

    term: int
    ok: bool  # the log agrees with the leader's at `previous_index`
    index: int  # last index known to agree and stored on disk where `ok`; else the last one that may agree
    heartbeat_round: int


class InstallSnapshot(Struct, frozen=True, tag=5, array_like=True):
    """A chunk of a snapshot (T 5.3); an empty chunk is a heartbeat during the transfer."""

    term: int
    index: int  # last entry that the snapshot includes
    last_term: int  # term of that entry
    members: Members
    size: int  # bytes of the whole snapshot
    offset: int  # of the chunk, in bytes
    chunk: bytes
    checksum: int  # CRC-32 of the chunk
    heartbeat_round: int


class InstallSnapshotResponse(Struct, frozen=True, tag=6, array_like=True):
    """How much of the snapshot up to `index` the follower has."""

    term: int
    index: int
    offset: int  # bytes received without a gap: the offset of the next chunk
    stored: bool  # all of it is on disk
    heartbeat_round: int


class TimeoutNow(Struct, frozen=True, tag=7, array_like=True):
    """The leader transfers leadership: the receiver is to stand for election at once (T 3.10)."""

    term: int


LeaderRequest = AppendEntries | InstallSnapshot | TimeoutNow  # what a leader asks of others in its term

Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)
