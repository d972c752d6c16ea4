"""The founding of a system: who first keeps its configuration. Pure but for `BootstrapFile`.

At the first start all nodes have the same seeds, empty disks and `bootstrap = true`. The process at the first
seed takes down on its disk that it is the one to decide, and decides once who the founders are: the counted
edge nodes that its view holds once the view has been at rest. No other process ever decides, and that one
only as long as its disk is the same, so there is one decision at most. `roles.founding` tells it to the
founders.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

from bitternpath.membership.view import MembershipView
from bitternpath.storage.node_disk import LocalDisk, NodeDisk
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.group_messages import BootstrapDecision, GroupPlacement, MemberAddress
from bitternpath.transport.node_messages import NodeDescriptor

AT_REST_S = 1.0  # the view of nodes with state hasn't changed for so long
EARLIEST_S = 1.5  # after the start: all nodes start within 0.3 s of each other, and a start takes a while
PATIENCE_S = 6.0  # after that the founders may be fewer than the fault tolerance asks for
MAX_FOUNDING_MEMBERS = 7  # replicas of the configuration: more make each change dearer
CONFIGURATION_GROUP = "configuration"
BOOTSTRAP_DOCUMENT = "founding"  # of a founder's file
DECIDER_DOCUMENT = "decider"  # of the file of the process that decides: no system in it before the decision

_CODEC = RecordCodec(BootstrapDecision)


def member_id(node: NodeDescriptor) -> str:
    """The identity of a replica: a node on one disk. A node whose disk was lost is another member."""
    return f"{node.name}/{node.disk}"


def member_address(node: NodeDescriptor) -> MemberAddress:
    """Where the replica on that node is."""
    return MemberAddress(member_id(node), node.name, node.address, node.zone)


def decide_bootstrap(
    view: MembershipView, tolerated_machines: int, started_at: float, now: float, random: Random
) -> BootstrapDecision | None:
    """The decision, once it is time for it."""
    if now - started_at < EARLIEST_S or now - view.state_nodes_changed_at < AT_REST_S:
        return None
    nodes = view.counted_edges()
    wanted = 2 * tolerated_machines + 1
    if not nodes or (len(nodes) < wanted and now - started_at < PATIENCE_S):
        return None
    most = max(MAX_FOUNDING_MEMBERS, wanted)
    members = tuple(member_address(node) for node in nodes[:most])
    system = f"{random.getrandbits(64):016x}"
    return BootstrapDecision(system, GroupPlacement(CONFIGURATION_GROUP, 1, members))


class BootstrapFile:
    """The decision on a disk: a founder's, or the decider's."""

    def __init__(self, data_dir: Path, disk: NodeDisk | None = None, name: str = BOOTSTRAP_DOCUMENT) -> None:
        self._disk, self._name = disk or LocalDisk(data_dir), name

    def load(self) -> BootstrapDecision | None:
        """What was written; None before."""
        data = self._disk.read_document(self._name)
        return None if data is None else _CODEC.decode(data)

    def store(self, founding: BootstrapDecision) -> None:
        """Written aside, synced, renamed, folder synced: a few milliseconds, once in a disk's life."""
        self._disk.write_document(self._name, _CODEC.encode(founding))
