"""The next step of a replica group towards its desired members. Pure.

One voter changes at a time (Ongaro's thesis, section 4): a new member learns first and is made a voter once
it has caught up. An empty disk is another member than the one that was lost, so it counts for nothing before
it has caught up. Who leaves, and when:

- A voter whose disk is known to be lost, because its node is to take part under another disk, leaves at
  once, in the same change that makes its successor a learner. It helps no majority any more, so nothing is
  given up; but only as long as there are 2f voters at least where there are to be 2f+1, so that all that is
  committed has f+1 copies.
- A voter that is silent leaves as soon as there are more voters than desired members.
- Any other voter keeps its copy until all desired members vote; the owner leaves last.

Each change carries the generation of the placement that it follows. An owner that knows an older placement
than the last change changes nothing: so what a newer placement removed never comes back.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bitternpath.replication.records import Members


def next_members(
    current: Members,
    desired: Sequence[str],
    caught_up: Callable[[str], bool],
    *,
    generation: int = 0,
    silent: Callable[[str], bool] = lambda member: False,
    owner: str = "",
) -> Members | None:
    """The members after one change; None where there is nothing to change now.

    `silent` tells which members the owner hasn't heard for a while; `owner` is its own id.
    """
    if generation < current.generation or not current.voters:
        return None
    learners = [name for name in current.learners if name in desired]
    learners += [name for name in desired if name not in current.voters and name not in learners]
    voters = list(current.voters)
    leaving = _lost_voter(current.voters, desired)
    ready = next((name for name in learners if name in current.learners and caught_up(name)), None)
    if leaving is not None:
        voters.remove(leaving)
    elif ready is not None:
        voters.append(ready)
        learners.remove(ready)
    else:
        leaving = _leaving_voter(current.voters, desired, silent, owner)
        if leaving is not None:
            voters.remove(leaving)
    changed = Members(tuple(voters), tuple(learners), generation)
    return None if changed == current else changed


def node_of(member: str) -> str:
    """The node of a member; its id is the node's name and the identity of its disk."""
    return member.partition("/")[0]


def disk_is_lost(member: str, desired: Sequence[str]) -> bool:
    """Whether a member's node is to take part under another disk: the one before is gone for good."""
    return member not in desired and node_of(member) in map(node_of, desired)


def _lost_voter(voters: Sequence[str], desired: Sequence[str]) -> str | None:
    """A voter that can leave before its successor votes."""
    if len(voters) < max(len(desired), 2):
        return None
    return next((name for name in voters if disk_is_lost(name, desired)), None)


def _leaving_voter(
    voters: Sequence[str], desired: Sequence[str], silent: Callable[[str], bool], owner: str
) -> str | None:
    """The voter that is to leave next, if one may leave now."""
    leaving = [name for name in voters if name not in desired and name != owner]
    leaving += [name for name in voters if name not in desired and name == owner]
    if not leaving or len(voters) < 2:
        return None
    if len(voters) > len(desired):
        gone = [name for name in leaving if disk_is_lost(name, desired) or (name != owner and silent(name))]
        if gone:
            return gone[0]
    return leaving[0] if all(name in voters for name in desired) else None
