"""The queue shards with a replica on this storage node: opens and closes them to match the placement."""

from __future__ import annotations

from collections.abc import Iterator

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.membership_reconciler import MembershipReconciler
from bitternpath.replication.records import Members
from bitternpath.roles.group_transport import GroupTransport
from bitternpath.roles.shard_context import ShardContext
from bitternpath.roles.shard_requests import ShardRequests
from bitternpath.roles.shard_runtime import ShardRuntime
from bitternpath.transport.group_messages import GroupPlacement
from bitternpath.transport.links import Link
from bitternpath.transport.node_messages import NodeDescriptor


class HostedShards:
    """Owns the table of this node's shards, and forwards events that concern all of them.

    Attributes:
        runtimes: the open shards, by the name of their group.
        placements: the newest placement of each group of the system, including those without a replica here.
    """

    def __init__(
        self, host: ReplicaHost, transport: GroupTransport, membership_reconciler: MembershipReconciler
    ) -> None:
        """`membership_reconciler` changes the members of owned groups to match their placement."""
        self.runtimes: dict[str, ShardRuntime] = {}
        self.placements: dict[str, GroupPlacement] = {}
        self._host = host
        self._transport = transport
        self._membership_reconciler = membership_reconciler
        self._requests: dict[str, ShardRequests] = {}
        self._table: RoutingTable | None = None
        self._slots: dict[str, int] | None = None

    def requests(self, group: str) -> ShardRequests | None:
        """The request handler of a shard; None if it has no replica here."""
        return self._requests.get(group)

    def owned(self) -> Iterator[tuple[str, GroupPlacement]]:
        """Names and placements of the groups that this node owns."""
        for group, placement in self.placements.items():
            if group in self.runtimes and self._host.is_owner(group):
                yield group, placement

    # ---- placement

    def apply_placement(self, context: ShardContext, groups: tuple[GroupPlacement, ...]) -> None:
        """Apply a placement of all the system's shards.

        Opens the shards that it places here and those whose state is on disk: a replica that is to be removed
        may still be needed for a majority. Closes none (see `replica_garbage_collection`).
        """
        for placement in groups:
            self.placements[placement.group] = placement
            self._transport.update_addresses(placement.members)
            named = any(member.member == self._transport.member_id for member in placement.members)
            required = named or self._host.has_unopened_state(placement.group)
            if required and placement.group not in self.runtimes:
                self._open(context, placement, len(groups))
            if required:
                self._transport.connect_members(placement.members)
            members = [member.member for member in placement.members]
            self._membership_reconciler.set_desired(placement.group, members, placement.generation)

    def _open(self, context: ShardContext, placement: GroupPlacement, shard_count: int) -> None:
        """Take part in a shard's group.

        Only the first placement of a group names its founders, each by the identity of its disk. A disk that
        was added later isn't among them, and a disk whose replica was removed must not found the group again.
        """
        group = placement.group
        founders = None
        if placement.generation == 1:
            founders = Members(tuple(member.member for member in placement.members), (), 1)
        runtime = ShardRuntime(context, group, shard_count)
        self.runtimes[group] = runtime
        self._requests[group] = ShardRequests(context, runtime)
        if self._table is not None:
            runtime.configure(self._table)
        if self._slots is not None:
            runtime.set_capacities(self._slots)
        self._host.open_group(group, runtime.state, founders, runtime)
        self._membership_reconciler.group_opened(group)

    def close(self, group: str, generation: int) -> None:
        """Close a replica and delete its state. Committed members of this generation must not include it."""
        self._host.close_group(group, generation)
        del self.runtimes[group]
        del self._requests[group]

    # ---- events that concern all shards

    def configure(self, table: RoutingTable) -> None:
        """Apply another configuration to all shards."""
        self._table = table
        for runtime in self.runtimes.values():
            runtime.configure(table)

    def set_capacities(self, slots: dict[str, int]) -> None:
        """`slots` has the number of job slots of the listed workers by service name."""
        self._slots = slots
        for runtime in self.runtimes.values():
            runtime.set_capacities(slots)

    def edge_connected(self, node: NodeDescriptor, link: Link, *, restarted: bool) -> None:
        """Forward to all shards (see `ShardRuntime.edge_connected`)."""
        for runtime in self.runtimes.values():
            runtime.edge_connected(node, link, restarted=restarted)

    def edge_link_closed(self, name: str, link: Link) -> None:
        """Forward to all shards (see `ShardRuntime.edge_link_closed`)."""
        for runtime in self.runtimes.values():
            runtime.edge_link_closed(name, link)
