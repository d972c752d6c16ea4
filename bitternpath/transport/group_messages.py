"""Records of replica groups: consensus messages, placement, bootstrap, and reports of committed members."""

from __future__ import annotations

from msgspec import Struct


class GroupMessage(Struct, frozen=True):
    """A consensus message of one replica group.

    Its sender and receiver are the members on the disks that the two ends of the link have named in `Hello`.

    Attributes:
        group: name of the replica group.
        body: encoded by `replication.wire`.
    """

    group: str
    body: bytes


class MemberAddress(Struct, frozen=True):
    """The address of a member of a replica group.

    Attributes:
        member: member id, which consists of the node's name and the identity of its disk.
        node: the node's name.
        address: ip:port of the node's internal listener.
        zone: the node's failure domain.
    """

    member: str
    node: str
    address: str
    zone: str


class GroupPlacement(Struct, frozen=True):
    """The desired members of a replica group.

    Attributes:
        group: name of the replica group.
        generation: increases with each change of the members.
        members: the first one is the preferred owner.
    """

    group: str
    generation: int
    members: tuple[MemberAddress, ...]


class BootstrapDecision(Struct, frozen=True):
    """The founding members of the configuration group, decided once in the lifetime of a system.

    Attributes:
        system: identity of the system, drawn at the decision.
        group: the configuration group with its founding members.
    """

    system: str
    group: GroupPlacement


class BootstrapDecisionStored(Struct, frozen=True):
    """A member (by id) has stored the bootstrap decision on its disk."""

    member: str


class MembershipReport(Struct, frozen=True):
    """A shard's committed members, reported by its owner.

    Sent to the configuration's owner, and to a replica in response to `MembershipRequest`.

    Attributes:
        group: name of the shard's replica group.
        epoch: term of the reporting owner.
        members: ids of voters and learners.
        generation: generation of the placement that the members follow.
    """

    group: str
    epoch: int
    members: tuple[str, ...]
    generation: int


class MembershipRequest(Struct, frozen=True):
    """Requests a `MembershipReport` from a group's owner, for a replica that the placement doesn't name."""

    group: str
