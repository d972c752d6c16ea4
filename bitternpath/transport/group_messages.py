"""Records of replica groups: consensus messages, placement, bootstrap, and reports of committed members."""

from __future__ import annotations

from msgspec import Struct


class GroupMessage(Struct, frozen=True):
    """A consensus message of one replica group. Its sender and receiver are the members on the disks that the
    link's two ends have named in their greetings."""

    group: str
    body: bytes  # replication.wire


class MemberAddress(Struct, frozen=True):
    """Where a member of a replica group is."""

    member: str
    node: str
    address: str
    zone: str


class GroupPlacement(Struct, frozen=True):
    """A replica group with its desired members; `generation` rises with each change."""

    group: str
    generation: int
    members: tuple[MemberAddress, ...]


class BootstrapDecision(Struct, frozen=True):
    """The first members of the configuration's replica group, decided once in the life of a system."""

    system: str  # identity of the system, drawn when it was founded
    group: GroupPlacement


class BootstrapDecisionStored(Struct, frozen=True):
    """A founder has it on its disk."""

    member: str


class MembershipReport(Struct, frozen=True):
    """A shard's owner tells who the shard's members are, as committed: to the configuration's owner, and to a
    replica that asks."""

    group: str
    epoch: int
    members: tuple[str, ...]  # voters and learners
    generation: int  # of the placement that the members follow


class MembershipRequest(Struct, frozen=True):
    """A replica that the placement doesn't name asks the group's owner for a `MembershipReport`."""

    group: str
