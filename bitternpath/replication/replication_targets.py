"""Which followers get new entries at once: as many as a majority needs, those that answer soonest.

The others get them in batches with the heartbeats. An entry costs a message, a sync and an answer at each
follower that it is sent to alone; only a majority's are waited for. A follower that becomes slow or silent is
replaced at the next heartbeat, which is also when entries that still lack a majority reach all.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from bitternpath.replication.progress import Progress

# Another follower takes a place only if it is faster by this much: each change costs it its backlog.
FASTER_BY = 1.5
FASTER_BY_SECONDS = 0.005


def choose_replication_targets(
    voters: Collection[str],
    peers: Mapping[str, Progress],
    replication_targets: Collection[str],
    now: float,
    silence: float,
) -> frozenset[str]:
    """The followers that get entries at once; `replication_targets` are those that did so far. Those that
    haven't been heard for `silence` seconds come last: of one that never answered no delay is known."""
    wanted = len(voters) // 2  # a majority, with the leader itself
    if len([name for name in voters if name in peers]) == len(voters):
        wanted += 1  # the leader is no voter (any more)
    candidates = [name for name in voters if name in peers]

    def handicap(name: str) -> tuple[bool, float, float]:
        peer = peers[name]
        delay = peer.expected_delay(now)
        if name not in replication_targets:
            delay = delay * FASTER_BY + FASTER_BY_SECONDS
        return now - peer.last_contact > silence, delay, -peer.last_contact

    return frozenset(sorted(candidates, key=handicap)[:wanted])
