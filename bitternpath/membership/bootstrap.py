"""Bootstrap of a system: which nodes are the first members of the configuration group.

At the first start all nodes have the same seeds, empty disks and `bootstrap = true`. The process at the first
seed, the coordinator, writes to its disk that it is the one to decide, and decides once: the founding members
are the counted edge nodes of its view, once the view is stable. No other process ever decides, and the
coordinator decides only while it has the same disk, so there is at most one decision. `roles.bootstrap` sends
it to the founding members. The functions here are pure; `BootstrapFile` isn't.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

from bitternpath.membership.view import MembershipView
from bitternpath.storage.node_disk import LocalDisk, NodeDisk
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.group_messages import BootstrapDecision, GroupPlacement, MemberAddress
from bitternpath.transport.node_messages import NodeDescriptor

VIEW_STABLE_S = 1.0  # time without changes of the nodes with state after which a view is stable
EARLIEST_DECISION_S = 1.5  # after the start: all nodes start within 0.3 s, and each start takes a while
FULL_GROUP_TIMEOUT_S = 6.0  # after the start; then fewer members than the fault tolerance requires suffice
MAX_FOUNDING_MEMBERS = 7  # replicas of the configuration; more would make each change more expensive
CONFIGURATION_GROUP = "configuration"
BOOTSTRAP_DOCUMENT = "founding"  # a founding member's document on disk
COORDINATOR_DOCUMENT = "decider"  # the coordinator's document on disk; names no system before the decision

_CODEC = RecordCodec(BootstrapDecision)


def member_id(node: NodeDescriptor) -> str:
    """The identity of a replica: a node with one disk. A node whose disk was lost is another member."""
    return f"{node.name}/{node.disk}"


def member_address(node: NodeDescriptor) -> MemberAddress:
    """The address of the replica on a node."""
    return MemberAddress(member_id(node), node.name, node.address, node.zone)


def decide_bootstrap(
    view: MembershipView, tolerated_machines: int, started_at: float, now: float, random: Random
) -> BootstrapDecision | None:
    """The decision, or None while it is too early to decide.

    `tolerated_machines`: f; the group is to have 2f+1 members. `started_at` and `now` are seconds of the
    view's clock. `random` draws the identity of the system.
    """
    if now - started_at < EARLIEST_DECISION_S or now - view.state_nodes_changed_at < VIEW_STABLE_S:
        return None
    nodes = view.counted_edges()
    desired_count = 2 * tolerated_machines + 1
    if not nodes or (len(nodes) < desired_count and now - started_at < FULL_GROUP_TIMEOUT_S):
        return None
    limit = max(MAX_FOUNDING_MEMBERS, desired_count)
    members = tuple(member_address(node) for node in nodes[:limit])
    system = f"{random.getrandbits(64):016x}"
    return BootstrapDecision(system, GroupPlacement(CONFIGURATION_GROUP, 1, members))


class BootstrapFile:
    """The decision on a disk: the document of a founding member or of the coordinator."""

    def __init__(self, data_dir: Path, disk: NodeDisk | None = None, name: str = BOOTSTRAP_DOCUMENT) -> None:
        """`disk` has the files below `data_dir`, by default the operating system's; `name` is the file's."""
        self._disk = disk or LocalDisk(data_dir)
        self._name = name

    def load(self) -> BootstrapDecision | None:
        """The stored decision; None if there is none.

        Raises `transport.codec.CodecError` or the disk's errors if it can't be read.
        """
        data = self._disk.read_document(self._name)
        return None if data is None else _CODEC.decode(data)

    def store(self, decision: BootstrapDecision) -> None:
        """Write the document atomically and sync it. Blocks for a few milliseconds, once per disk."""
        self._disk.write_document(self._name, _CODEC.encode(decision))
