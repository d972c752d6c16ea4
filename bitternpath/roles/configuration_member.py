"""A member of the configuration group: the replica on a counted edge node, and the tasks of its owner.

The owner decides the operator's changes, serves the feed, polls the platform's endpoint list, places the
queue shards and reconciles the group's own members. Group ownership is the fencing token of all these tasks:
each starts when the node becomes owner and stops when it no longer is, and its messages carry the epoch.
"""

from __future__ import annotations

import logbook
from twisted.internet.defer import Deferred

from bitternpath.configuration.change_requests import ChangeRequest
from bitternpath.configuration.changes import ChangeProcessor
from bitternpath.configuration.feed_server import FeedServer
from bitternpath.configuration.results import OperatorResult
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.discovery.endpoint_list_client import EndpointListClient
from bitternpath.discovery.endpoint_list_poller import EndpointListPoller
from bitternpath.membership.bootstrap import (
    CONFIGURATION_GROUP,
    BootstrapFile,
    member_address,
    member_id,
)
from bitternpath.net.reactor import NodeReactor
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members, RoleChangeCause
from bitternpath.roles.bootstrap import MEMBER_LINK_USER, NO_DECISION, BootstrapNotifier, BootstrapState
from bitternpath.roles.configuration_voters import ConfigurationVoters
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.roles.node_base import NodeBase
from bitternpath.roles.periodic_call import PeriodicCall
from bitternpath.roles.retirements import Retirements
from bitternpath.roles.shard_placement import ShardPlacement
from bitternpath.transport.feed_messages import FeedRefused, FeedSubscribe
from bitternpath.transport.group_messages import (
    BootstrapDecision,
    BootstrapDecisionStored,
    GroupMessage,
    MemberAddress,
    MembershipReport,
)
from bitternpath.transport.links import Link

log = logbook.Logger("configuration")

CHECK_INTERVAL_S = 0.25  # between reconciliations without an event, and between founders' notifications
RECONCILE_DELAY_S = 0.01  # batches events: many nodes may join at once, and one reconciliation covers all


class ConfigurationMember:
    """This node's replica of the configuration group.

    Implements `replication.interfaces.GroupListener`, and `configuration.changes.ConsensusGroup` for the
    components that propose commands.

    Attributes:
        host: runs the replica.
        is_open: whether the replica takes part in its group.
        state: the replicated configuration.
        changes: decides the operator's changes while this node owns the group.
        feed: serves the feed while this node owns the group.
        bootstrap_state: what this member knows about the bootstrap decision.
    """

    def __init__(self, reactor: NodeReactor, base: NodeBase, host: ReplicaHost) -> None:
        """`base` must have a data folder; `host` is its replica host."""
        settings = base.settings
        assert settings.data_dir is not None
        self.host = host
        self.is_open = False
        self.state = ConfigurationState()
        self.changes = ChangeProcessor(self.state, self)
        self.feed = FeedServer(reactor, self.state, self.has_lease)
        self.bootstrap_state = BootstrapState(host.member_id, BootstrapFile(settings.data_dir, base.disk))
        self._reactor = reactor
        self._transport = base.transport
        self._view = base.view
        self._notifier = BootstrapNotifier(base.hub, MEMBER_LINK_USER, host.member_id)
        self._endpoint_poller = EndpointListPoller(
            reactor,
            EndpointListClient(reactor, settings.platform),
            lambda: self.feed.epoch,
            self.feed.publish_catalogue,
            settings.platform_rate_per_s,
        )
        tolerated = settings.tolerated_machines
        self._nodes = LiveNodes(reactor, self.feed)
        self._voters = ConfigurationVoters(reactor, host, self._nodes, base.view, tolerated)
        self._placement = ShardPlacement(reactor, self, self.state, self._nodes, tolerated)
        self._retirements = Retirements(self, self.state, self._nodes, tolerated)
        self._reconcile_scheduled = False
        self._checks = PeriodicCall(reactor, CHECK_INTERVAL_S, self._reconcile)

    def start(self) -> None:
        """Open the group if this member may take part, and start the periodic reconciliation.

        A member takes part with its state from disk, as a founder once there is a decision, or when a leader
        adds it.

        A member that joined later has no bootstrap decision on disk, only the group's state. It must not wait
        for a notification: all remaining members may have joined later.
        """
        self.bootstrap_state.load()
        decided = self.bootstrap_state.decision is not None
        if decided or self.host.has_unopened_state(CONFIGURATION_GROUP):
            self._open_group()
        self._checks.start()

    def stop(self) -> None:
        """Stop the owner's tasks; the host stops the replica."""
        self._checks.stop()
        self._endpoint_poller.stop()

    # ---- ConsensusGroup

    def is_owner(self) -> bool:
        """Whether this node owns the configuration group."""
        return self.is_open and self.host.is_owner(CONFIGURATION_GROUP)

    def epoch(self) -> int:
        """The highest term that this member knows; 0 before it takes part."""
        return self.host.current_term(CONFIGURATION_GROUP) if self.is_open else 0

    def has_lease(self) -> bool:
        """Whether this node owns the group and a quorum responded within an election time-out."""
        return self.is_open and self.host.has_active_quorum(CONFIGURATION_GROUP)

    def propose(self, command: bytes) -> Deferred[object]:
        """Commit and apply a command.

        Errors: `NotOwnerError` (no effect; another owner may be tried), `OutcomeUnknownError` (the command
        may be committed).
        """
        return self.host.propose(CONFIGURATION_GROUP, command)

    def barrier(self) -> Deferred[None]:
        """Fires once a majority has confirmed the ownership after this call. Error: `NotOwnerError`."""
        return self.host.read_barrier(CONFIGURATION_GROUP)

    # ---- operator's calls

    def submit_change(self, request: ChangeRequest) -> Deferred[OperatorResult]:
        """Decide a change of the configuration; never fails."""
        return self.changes.submit(request)

    def retire(self, node: str) -> Deferred[OperatorResult]:
        """Begin to move all replicas away from a storage node; never fails."""
        return self._retirements.retire(node)

    def retirement_progress(self, node: str) -> Deferred[OperatorResult]:
        """The progress of a node's retirement; never fails."""
        return self._retirements.progress(node)

    # ---- records of other nodes

    def group_message_received(self, link: Link, message: GroupMessage) -> None:
        """Pass a consensus message on; a leader's may arrive before any bootstrap notification."""
        if message.group == CONFIGURATION_GROUP and not self.is_open and self.bootstrap_state.is_known:
            self._open_group()
        self._transport.received(link, message)

    def decision_received(self, link: Link, decision: BootstrapDecision) -> None:
        """Handle a bootstrap decision from another node."""
        self.bootstrap_state.decision_received(link, decision)
        if self.bootstrap_state.decision is not None and not self.is_open:
            self._open_group()

    def decision_stored(self, answer: BootstrapDecisionStored) -> None:
        """Handle another member's acknowledgement of the bootstrap decision."""
        self._notifier.acknowledged(answer)

    def subscribe(self, link: Link, request: FeedSubscribe) -> None:
        """Subscribe a node to the feed, or refuse and name the leader and the voters."""
        if not self.is_owner():
            link.send(self._refusal())
            return
        self.feed.subscribe(link, request)
        if link.peer is not None and link.peer.disk:  # only these hold replicas; those without are many
            self._schedule_reconcile()

    def membership_reported(self, _link: Link, report: MembershipReport) -> None:
        """Handle a shard owner's report of its committed members."""
        if self.is_owner():
            self._retirements.reported(report)

    # ---- GroupListener

    def became_owner(self, epoch: int) -> None:
        """Called when this replica leads the group and has applied all that was committed before."""
        log.info("event=ownership_acquired group={} epoch={}", CONFIGURATION_GROUP, epoch)
        self._nodes.begin([node_of(member) for member in self.state.storage.members])
        self._placement.begin()
        self._retirements.begin()
        self.feed.begin(epoch)
        self._endpoint_poller.start()

    def lost_ownership(self, cause: RoleChangeCause) -> None:
        """Called when this replica no longer leads the group."""
        log.info("event=ownership_lost group={} cause={!r}", CONFIGURATION_GROUP, cause.value)
        self._endpoint_poller.stop()
        self.feed.end(self._refusal())

    def applied(self, _index: int, _command: bytes, result: object) -> None:
        """Called when a committed command has been applied; `result` is true if it changed the state."""
        if result:
            self.feed.publish()
            self._schedule_reconcile()

    # ---- the group

    def _open_group(self) -> None:
        founders = None
        decision = self.bootstrap_state.decision
        if decision is not None:
            members = decision.group.members
            self._transport.update_addresses(members)
            self._transport.connect_members(members)
            founders = Members(tuple(member.member for member in members))
        self.is_open = True
        self.host.open_group(CONFIGURATION_GROUP, self.state, founders, self)
        self._voters.group_opened(self._schedule_reconcile)

    def _schedule_reconcile(self) -> None:
        """Reconcile once for all events within `RECONCILE_DELAY_S`."""
        if not self._reconcile_scheduled:
            self._reconcile_scheduled = True
            self._reactor.callLater(RECONCILE_DELAY_S, self._reconcile)

    def _reconcile(self) -> None:
        """Bring the system closer to its desired state: links, members, placement, retirements."""
        self._reconcile_scheduled = False
        if self.is_open:
            self._transport.connect_members(self._addresses(self._members().all))
        if self.is_owner():
            self._nodes.update()
            self._voters.reconcile()
            self._placement.reconcile()
            self._retirements.reconcile()
        self._notify_of_bootstrap()

    def _notify_of_bootstrap(self) -> None:
        """Notify members of the bootstrap decision; a member that isn't notified doesn't take part.

        The owner notifies all members. Without a leader the founders notify each other, because the
        coordinator may be lost.
        """
        decision = self.bootstrap_state.decision
        if self.is_owner():
            self._notifier.notify(decision or NO_DECISION, self._addresses(self._members().all))
        elif decision is not None and not self.host.leader(CONFIGURATION_GROUP):
            self._notifier.notify(decision, decision.group.members)

    def _refusal(self) -> FeedRefused:
        """A refusal that names the leader, if known, and the voters."""
        if not self.is_open:
            return FeedRefused("", ())
        leader = self.host.leader(CONFIGURATION_GROUP)
        voters = self._addresses(self._members().voters)
        address = next((voter.address for voter in voters if voter.member == leader), "")
        return FeedRefused(address, voters)

    def _members(self) -> Members:
        return self.host.members(CONFIGURATION_GROUP)

    def _addresses(self, members: tuple[str, ...]) -> tuple[MemberAddress, ...]:
        """The known addresses of `members`, from the membership view or the bootstrap decision."""
        addresses: dict[str, MemberAddress] = {}
        if self.bootstrap_state.decision is not None:
            addresses = {member.member: member for member in self.bootstrap_state.decision.group.members}
        for node in self._view.counted_edges():
            addresses[member_id(node)] = member_address(node)
        return tuple(addresses[member] for member in members if member in addresses)
