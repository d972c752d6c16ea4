"""Selection of replication targets, the followers that are sent new entries immediately. Pure.

The targets are the fastest followers to confirm entries, as many as a majority requires. The others receive
entries in batches with the heartbeats, since commitment only waits for a majority and each entry sent by
itself costs a follower a message, a sync and a response. A slow or unresponsive target is replaced at the
next heartbeat, which also sends uncommitted entries to all followers. Until the first heartbeat of a term,
when no delays have been measured, all followers are targets (`leadership`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from bitternpath.replication.progress import Progress

# A follower replaces a target only if it is faster by these margins, since it must first catch up on entries.
HYSTERESIS_FACTOR = 1.5
HYSTERESIS_SECONDS = 0.005


def choose_replication_targets(
    voters: Collection[str],
    peers: Mapping[str, Progress],
    current: Collection[str],
    now: float,
    response_timeout: float,
) -> frozenset[str]:
    """The voters to which a leader sends new entries immediately.

    `peers` is the leader's progress for each peer and `current` the previous targets. A peer that hasn't
    responded for `response_timeout` seconds ranks last, because a peer that never responded has no known
    delay.
    """
    candidates = [name for name in voters if name in peers]
    target_count = len(voters) // 2  # forms a majority together with the leader
    if len(candidates) == len(voters):
        target_count += 1  # the leader isn't a voter

    def sort_key(name: str) -> tuple[bool, float, float]:
        peer = peers[name]
        delay = peer.expected_delay(now)
        if name not in current:
            delay = delay * HYSTERESIS_FACTOR + HYSTERESIS_SECONDS
        return now - peer.last_contact > response_timeout, delay, -peer.last_contact

    return frozenset(sorted(candidates, key=sort_key)[:target_count])
