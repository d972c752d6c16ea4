"""A leader's view of the other members of its group. Pure. Not available on followers."""

from __future__ import annotations

from bitternpath.replication.consensus import Raft

CAUGHT_UP_ENTRIES = 64  # maximum lag of a member that counts as caught up


def is_caught_up(raft: Raft, member: str) -> bool:
    """Whether a member has almost all committed entries; False if this member doesn't lead.

    A member has caught up if it is within `CAUGHT_UP_ENTRIES` entries of the commit index, or has reached the
    commit index of the last heartbeat but one: under load, some entries are always in flight (T 4.2.1).
    """
    peer = raft.peers.get(member) if raft.has_committed_in_term else None
    if peer is None or not peer.match_index or peer.outgoing_snapshot is not None:
        return False
    min_match_index = min(raft.commit_index - CAUGHT_UP_ENTRIES, raft.commit_index_at_previous_heartbeat)
    return peer.match_index >= max(min_match_index, raft.term_start_index)


def unresponsive_for(raft: Raft, now: float, member: str) -> float:
    """Seconds since a member last responded; infinite if it is unknown or this member doesn't lead."""
    peer = raft.peers.get(member)
    return now - peer.last_contact if peer is not None else float("inf")


def has_active_quorum(raft: Raft, now: float) -> bool:
    """Whether a majority of the voters, this member among them, responded within an election timeout."""
    voters = raft.members.voters
    timeout = raft.timing.election_timeout
    responsive = sum(name == raft.member_id or unresponsive_for(raft, now, name) < timeout for name in voters)
    return 2 * responsive > len(voters)


def transfer_candidate(raft: Raft, now: float, preferred: str) -> str | None:
    """The voter to transfer leadership to; None if no suitable voter responded recently.

    This is `preferred`, or if empty the voter with the highest match index.
    """
    candidates = [
        (peer.match_index, name)
        for name, peer in raft.peers.items()
        if name in raft.members.voters
        and now - peer.last_contact < raft.timing.election_timeout
        and preferred in ("", name)
    ]
    return max(candidates)[1] if candidates else None
