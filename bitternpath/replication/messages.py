"""Messages between the members of a replica group.

`term` is the sender's, but for a pre-vote, where it is the one that the sender would have. "Fig. 2", "T": see
`replication.consensus`.
"""

from __future__ import annotations

from msgspec import Struct

from bitternpath.replication.records import Entry, Members


class RequestVote(Struct, frozen=True, tag=1, array_like=True):
    """RequestVote of fig. 2. `pre_vote`: only whether it would be given; `leadership_transfer`: the leader
    itself has asked the sender to stand (T 3.10)."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    leadership_transfer: bool = False


class RequestVoteResponse(Struct, frozen=True, tag=2, array_like=True):
    """`term` of a granted pre-vote is the one asked for."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntries(Struct, frozen=True, tag=3, array_like=True):
    """AppendEntries of fig. 2."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    heartbeat_round: int


class AppendEntriesResponse(Struct, frozen=True, tag=4, array_like=True):
    """`index`: the last one that agrees, where `ok`; else the last one that may."""

    term: int
    ok: bool
    index: int
    heartbeat_round: int


class InstallSnapshot(Struct, frozen=True, tag=5, array_like=True):
    """A piece of a snapshot (T 5.3), from `offset` on. `checksum`: CRC-32 of the piece."""

    term: int
    index: int
    last_term: int
    members: Members
    size: int
    offset: int
    chunk: bytes
    checksum: int
    heartbeat_round: int


class InstallSnapshotResponse(Struct, frozen=True, tag=6, array_like=True):
    """How much of the snapshot up to `index` is there; `stored`: all of it, on disk."""

    term: int
    index: int
    offset: int
    stored: bool
    heartbeat_round: int


class TimeoutNow(Struct, frozen=True, tag=7, array_like=True):
    """TimeoutNow of T 3.10."""

    term: int


Message = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)
