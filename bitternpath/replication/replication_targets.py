"""Replication targets: the followers that get new entries at once. Pure.

Targets are as many followers as a majority needs, the fastest to confirm. The others get entries in
batches with the heartbeats: an entry costs a message, a sync and a response at each follower that it is sent
to alone, and only a majority's responses are waited for. A target that becomes slow or silent is replaced at
the next heartbeat, which is also when entries that still lack a majority reach all followers. Until the first
heartbeat of a term, when nothing is measured yet, all followers are targets (`leadership`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from bitternpath.replication.progress import Progress

# Another follower becomes a target only if it is faster by this much: each change costs it its backlog.
HYSTERESIS_FACTOR = 1.5
HYSTERESIS_SECONDS = 0.005


def choose_replication_targets(
    voters: Collection[str],
    peers: Mapping[str, Progress],
    current: Collection[str],
    now: float,
    response_timeout: float,
) -> frozenset[str]:
    """The voters to which a leader sends new entries at once.

    `peers`: the leader's progress of the others. `current`: the targets so far. A peer that hasn't been heard
    for `silence` seconds comes last: the delay of one that never responded isn't known.
    """
    candidates = [name for name in voters if name in peers]
    target_count = len(voters) // 2  # a majority, together with the leader itself
    if len(candidates) == len(voters):
        target_count += 1  # the leader is not a voter (any more)

    def sort_key(name: str) -> tuple[bool, float, float]:
        peer = peers[name]
        delay = peer.expected_delay(now)
        if name not in current:
            delay = delay * HYSTERESIS_FACTOR + HYSTERESIS_SECONDS
        return now - peer.last_contact > response_timeout, delay, -peer.last_contact

    return frozenset(sorted(candidates, key=sort_key)[:target_count])
