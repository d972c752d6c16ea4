"""The next membership change of a replica group towards its desired members. Pure.

One voter changes at a time (T 4). A new member starts as a learner and becomes a voter once it has caught up.
A node with an empty disk is a different member from the one that was lost, so it must catch up before it
counts. Voters are removed by these rules:

- A voter whose disk is known to be lost, because its node is a desired member with a different disk, is
  removed immediately, in the same change that adds its successor as a learner. It can't contribute to a
  majority any more, so its removal loses nothing. At least 2f of the desired 2f+1 voters must remain, so that
  every committed entry has f+1 replicas.
- An unresponsive voter is removed as soon as there are more voters than desired members.
- Any other voter stays until all desired members are voters. The owner is removed last.

Each change carries the generation of the placement that it is based on. An owner whose placement is older
than that of the last change proposes nothing, so members removed by a newer placement are not added again.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bitternpath.replication.records import Members


@dataclass(frozen=True, slots=True)
class DesiredMembers:
    """The desired members of a group, and the generation of the placement that defines them."""

    members: tuple[str, ...]
    generation: int = 0


def _never_unresponsive(_member: str) -> bool:
    return False


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """The state of a group's members as known to its owner."""

    caught_up: Callable[[str], bool]  # whether a member has almost all committed entries
    is_unresponsive: Callable[[str], bool] = _never_unresponsive  # whether a member fails to respond
    owner: str = ""  # member id of the owner itself


def next_members(current: Members, desired: DesiredMembers, status: MemberStatus) -> Members | None:
    """The membership after the next change; None if no change is possible or necessary now."""
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
    """The node name in a member id, which consists of the node's name and the identity of its disk."""
    return member.partition("/")[0]


def disk_is_lost(member: str, desired: Sequence[str]) -> bool:
    """Whether a member's node is desired with a different disk, so that this one is permanently lost."""
    return member not in desired and node_of(member) in map(node_of, desired)


def _voter_on_lost_disk(voters: Sequence[str], desired: Sequence[str]) -> str | None:
    """A voter with a lost disk that can be removed before its successor is a voter; None if there is none."""
    if len(voters) < max(len(desired), 2):
        return None
    return next((name for name in voters if disk_is_lost(name, desired)), None)


def _voter_to_remove(voters: Sequence[str], desired: Sequence[str], status: MemberStatus) -> str | None:
    """The next voter to remove; None if none may be removed now."""
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
    """Whether a voter to be removed can't contribute to a majority now."""
    return disk_is_lost(member, desired) or (member != status.owner and status.is_unresponsive(member))
