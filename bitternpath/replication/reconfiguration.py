"""The next step of a replica group towards its desired members. Pure.

One voter changes at a time (T 4): a new member is a learner first and becomes a voter once it has caught up.
An empty disk is another member than the one that was lost, so it counts for nothing before it has caught up.
Which voter leaves, and when:

- A voter whose disk is known to be lost, because its node is to take part with another disk, leaves at once,
  in the same change that makes its successor a learner. It contributes to no majority any more, so nothing is
  given up; but only while there are 2f voters at least where there are to be 2f+1, so that all that is
  committed has f+1 replicas.
- A voter that is silent leaves as soon as there are more voters than desired members.
- Any other voter stays until all desired members vote; the owner leaves last.

Each change carries the generation of the placement that it follows. An owner that knows an older placement
than that of the last change changes nothing: what a newer placement removed never comes back.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bitternpath.replication.records import Members


@dataclass(frozen=True, slots=True)
class DesiredMembers:
    """The members that a group is to have, and the generation of the placement that names them."""

    members: tuple[str, ...]
    generation: int = 0


def _never_unresponsive(_member: str) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """What the owner of a group knows of its members."""

    caught_up: Callable[[str], bool]  # lacks little of the log
    is_unresponsive: Callable[[str], bool] = _never_unresponsive  # hasn't responded for a while
    owner: str = ""  # the owner's own member id


def next_members(current: Members, desired: DesiredMembers, status: MemberStatus) -> Members | None:
    """The membership after one change; None where there is nothing to change now."""
    if desired.generation < current.generation or not current.voters:
        return None
    learners = [name for name in current.learners if name in desired.members]
    learners += [name for name in desired.members if name not in current.voters and name not in learners]
    voters = list(current.voters)
    to_remove = _voter_on_lost_disk(current.voters, desired.members)
    promoted = next((name for name in learners if name in current.learners and status.caught_up(name)), None)
    if to_remove is not None:
        voters.remove(to_remove)
    elif promoted is not None:
        voters.append(promoted)
        learners.remove(promoted)
    else:
        to_remove = _voter_to_remove(current.voters, desired.members, status)
        if to_remove is not None:
            voters.remove(to_remove)
    new_members = Members(tuple(voters), tuple(learners), desired.generation)
    return None if new_members == current else new_members


def node_of(member: str) -> str:
    """The node of a member; a member id is the node's name and the identity of its disk."""
    return member.partition("/")[0]


def disk_is_lost(member: str, desired: Sequence[str]) -> bool:
    """Whether a member's node is to take part with another disk: the one before is permanently lost."""
    return member not in desired and node_of(member) in map(node_of, desired)


def _voter_on_lost_disk(voters: Sequence[str], desired: Sequence[str]) -> str | None:
    """A voter that can leave before its successor votes; None where there is none."""
    if len(voters) < max(len(desired), 2):
        return None
    return next((name for name in voters if disk_is_lost(name, desired)), None)


def _voter_to_remove(voters: Sequence[str], desired: Sequence[str], status: MemberStatus) -> str | None:
    """The voter that is to leave next; None where none may leave now."""
    to_remove = [name for name in voters if name not in desired and name != status.owner]
    to_remove += [name for name in voters if name not in desired and name == status.owner]
    if not to_remove or len(voters) < 2:
        return None
    if len(voters) > len(desired):
        unavailable = next((name for name in to_remove if _is_unavailable(name, desired, status)), None)
        if unavailable is not None:
            return unavailable
    return to_remove[0] if all(name in voters for name in desired) else None


def _is_unavailable(member: str, desired: Sequence[str], status: MemberStatus) -> bool:
    """Whether a voter that is to leave contributes to no majority now."""
    return disk_is_lost(member, desired) or (member != status.owner and status.is_unresponsive(member))
