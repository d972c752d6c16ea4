"""One queue shard on one storage node: its replicated state and, while this node owns it, its ownership.

`ShardRuntime` follows the replica group; `shard_ownership` executes the owner's decisions, and
`shard_requests` answers the requests of other nodes.
"""

from __future__ import annotations

from collections.abc import Iterable

import logbook

from bitternpath.configuration.placement import shard_of
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue.owner import OwnedShard, ShardOwner
from bitternpath.queue.results import Result
from bitternpath.queue.state import QueueState
from bitternpath.replication.records import RoleChangeCause
from bitternpath.roles.pending_polls import PendingPolls
from bitternpath.roles.shard_context import ShardContext
from bitternpath.roles.shard_ownership import ShardOwnership
from bitternpath.transport.links import Link
from bitternpath.transport.node_messages import NodeDescriptor
from bitternpath.transport.shard_messages import Ownership

log = logbook.Logger("shard")


class ShardRuntime:
    """Replica and, at times, owner of one shard. Implements `replication.interfaces.GroupListener`.

    Attributes:
        group: name of the shard's replica group.
        state: the replicated state, the same on each replica after the same commands.
        polls: long polls of pulling workers; empty while another node owns the shard.
        ownership: the current ownership; None while another node owns the shard or none does.
        epoch: the term of this node's current or last ownership, 0 before the first.
    """

    def __init__(self, context: ShardContext, group: str, shard_count: int) -> None:
        """`shard_count` is the number of shards in the system."""
        self.group = group
        self.state = QueueState(context.reactor.seconds, context.wall_ms)
        self.polls = PendingPolls()
        self.ownership: ShardOwnership | None = None
        self.epoch = 0
        self._context = context
        self._reactor = context.reactor
        self._shard_count = shard_count
        self._table: RoutingTable | None = None
        self._slots: dict[str, int] | None = None

    # ---- GroupListener

    def became_owner(self, epoch: int) -> None:
        """Called when this replica leads the group and has applied all that was committed before."""
        log.info("event=ownership_acquired group={} epoch={} queued={}", self.group, epoch, self.state.queued)
        if self.ownership is not None:
            self.ownership.end()
        context = self._context
        shard = OwnedShard(shard_of(self.group), self._shard_count, context.zone)
        owner = ShardOwner(self.state, shard, context.owner_settings, context.random)
        ownership = ShardOwnership(context, self.group, self._shard_count, owner, self.polls)
        self.ownership = ownership
        self.epoch = epoch
        now = self._reactor.seconds()
        ownership.execute(owner.leadership_acquired(now, epoch))
        if self._table is not None:
            ownership.execute(owner.configure(now, self._table))
        if self._slots is not None:
            ownership.execute(owner.set_capacities(now, self._slots))
        for node in context.edges.nodes():
            ownership.execute(owner.edge_connected(now, node.name, node.zone))
        self._announce_ownership(context.edges.links())

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        """Called when this replica no longer leads the group."""
        log.info("event=ownership_lost group={} cause={!r}", self.group, cause.value)
        if self.ownership is not None:
            self.ownership.end()
            self.ownership = None
        self.polls.answer_all()
        self._announce_ownership(self._context.edges.links())

    def applied(self, _index: int, _command: bytes, result: object) -> None:
        """Called when a committed command has been applied to `state`."""
        ownership = self.ownership
        if ownership is not None and isinstance(result, Result):
            ownership.execute(ownership.owner.applied(self._reactor.seconds(), result))

    # ---- configuration and capacity

    def configure(self, table: RoutingTable) -> None:
        """Apply another configuration."""
        self._table = table
        ownership = self.ownership
        if ownership is None:
            return
        ownership.execute(ownership.owner.configure(self._reactor.seconds(), table))
        if self._slots is not None:
            ownership.execute(ownership.owner.set_capacities(self._reactor.seconds(), self._slots))

    def set_capacities(self, slots: dict[str, int]) -> None:
        """`slots` has the number of job slots of the listed workers by service name."""
        self._slots = slots
        ownership = self.ownership
        if ownership is not None:
            ownership.execute(ownership.owner.set_capacities(self._reactor.seconds(), slots))

    # ---- edge nodes

    def edge_connected(self, node: NodeDescriptor, link: Link, *, restarted: bool) -> None:
        """Called when an edge node has sent `Hello` on a link, perhaps again to announce that it is draining.

        `restarted`: its process isn't the one that was connected before.
        """
        self._announce_ownership([link])
        ownership = self.ownership
        if ownership is None:
            return
        owner = ownership.owner
        now = self._reactor.seconds()
        if restarted:
            ownership.execute(owner.edge_process_ended(now, node.name))
        if node.draining:
            ownership.execute(owner.edge_disconnected(now, node.name))
        else:
            ownership.execute(owner.edge_connected(now, node.name, node.zone))

    def edge_link_closed(self, name: str, link: Link) -> None:
        """Called when an edge node's link has closed; drops the polls that arrived on it.

        `name` is empty if the node has another link by now: the node is still connected, but a job for one of
        those polls would reach no worker.
        """
        now = self._reactor.seconds()
        dropped = self.polls.drop_link(link)
        ownership = self.ownership
        if ownership is None:
            return
        for poll_id in dropped:
            ownership.execute(ownership.owner.cancel_poll(now, poll_id))
        if name:
            ownership.execute(ownership.owner.edge_disconnected(now, name))

    # ---- quota

    def lend_tokens(self, service: str, wanted: int) -> int:
        """Lend up to `wanted` tokens of a service whose home is this shard.

        Lends nothing while this node may have a successor, as the successor may lend the same tokens.
        """
        ownership = self.ownership
        if ownership is None or not self._context.host.has_leader_lease(self.group):
            return 0
        return ownership.owner.lend_tokens(self._reactor.seconds(), service, wanted)

    def _announce_ownership(self, links: Iterable[Link]) -> None:
        announcement = Ownership(self.group, self.epoch, self.ownership is not None)
        for link in links:
            link.send(announcement)
