"""A member of the configuration group: a counted edge node's replica, and what its owner does.

The owner decides the operator's orders, serves the feed, reads the platform's list, places the queue shards
and keeps the group's members up to date. Owning the group is the fencing token of all of these: each starts
when the node becomes owner and stops when it isn't any more, and what it sends carries the epoch.
"""

from __future__ import annotations

from random import Random
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from bitternpath.configuration.changes import ChangeProcessor, ChangeRequest, OperatorResult
from bitternpath.configuration.feed import FeedServer
from bitternpath.configuration.state_machine import ConfigurationState
from bitternpath.discovery.endpoint_list_client import EndpointListClient
from bitternpath.discovery.endpoint_list_poller import EndpointListPoller
from bitternpath.membership.bootstrap import (
    CONFIGURATION_GROUP,
    BootstrapFile,
    member_address,
    member_id,
)
from bitternpath.membership.view import MembershipView
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.roles.core_members import CoreMembers
from bitternpath.roles.founding import MEMBER_USER, NO_DECISION, FoundingKnowledge, FoundingTeller
from bitternpath.roles.group_carrier import GroupTransport
from bitternpath.roles.live_nodes import LiveNodes
from bitternpath.roles.retirements import Retirements
from bitternpath.roles.settings import Settings
from bitternpath.roles.shard_placement import ShardPlacement
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.feed_messages import FeedRefused, FeedSubscribe
from bitternpath.transport.group_messages import (
    BootstrapDecision,
    BootstrapDecisionStored,
    MemberAddress,
    MembershipReport,
)

log = logbook.Logger("configuration")

LOOK_S = 0.25  # how often the owner looks at what no event tells, and founders at the founding
SOON_S = 0.01  # after something has happened: all nodes may come at once, and a look goes through them all


class ConfigurationMember:
    """This node's replica of the configuration group."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        hub: NodeHub,
        view: MembershipView,
        host: ReplicaHost,
        transport: GroupTransport,
        random: Random,
        disk: NodeDisk | None = None,
    ) -> None:
        self.reactor, self.settings, self.hub, self.view = reactor, settings, hub, view
        self.host, self.transport, self.random = host, transport, random
        self.state = ConfigurationState()
        self.orders = ChangeProcessor(self.state, self)
        self.feed = FeedServer(reactor, self.state, self.has_lease)
        platform = EndpointListClient(reactor, settings.platform)
        self.reader = EndpointListPoller(
            reactor,
            platform,
            lambda: self.feed.epoch,
            self.feed.publish_catalogue,
            settings.platform_rate_per_s,
        )
        assert settings.data_dir is not None
        self.bootstrap_state = FoundingKnowledge(host.member_id, BootstrapFile(settings.data_dir, disk))
        self._teller = FoundingTeller(hub, MEMBER_USER, host.member_id)
        self.is_open = False
        self._started_at = reactor.seconds()
        tolerated = settings.tolerated_machines
        self.nodes = LiveNodes(reactor, self.feed)
        self.core = CoreMembers(reactor, host, self.nodes, view, tolerated)
        self.placement = ShardPlacement(reactor, self, self.state, self.nodes, tolerated)
        self.retirements = Retirements(self, self.state, self.nodes, tolerated)
        self._look_planned = False
        self._timer: Any = None

    def start(self) -> None:
        """Take part: as before, as a founder once there is a system, or when a leader adds this member.

        A member that joined later has no founding file. It must not wait until somebody speaks: perhaps all
        that are left have joined later.
        """
        self.bootstrap_state.load()
        if self.bootstrap_state.founding is not None or self.host.has_unopened_state(CONFIGURATION_GROUP):
            self._open_group()
        self._look()

    def stop(self) -> None:
        """Look after nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.reader.stop()

    # ---- the group, as orders see it

    def is_owner(self) -> bool:
        """Whether this node owns the configuration."""
        return self.is_open and self.host.is_owner(CONFIGURATION_GROUP)

    def epoch(self) -> int:
        """The group's term."""
        return self.host.epoch(CONFIGURATION_GROUP) if self.is_open else 0

    def has_lease(self) -> bool:
        """Whether no other node can have become owner, as far as this one has heard a majority."""
        return self.is_open and self.host.hears_quorum(CONFIGURATION_GROUP)

    def propose(self, command: bytes) -> Deferred[object]:
        """Commit a command."""
        return self.host.propose(CONFIGURATION_GROUP, command)

    def barrier(self) -> Deferred[None]:
        """Confirm ownership."""
        return self.host.read_barrier(CONFIGURATION_GROUP)

    def order(self, order: ChangeRequest) -> Deferred[OperatorResult]:
        """Decide an operator's change."""
        return self.orders.submit(order)

    # ---- what comes over links

    def group_message(self, group: str) -> None:
        """A leader speaks to this member, perhaps before it was told of anything else."""
        if group == CONFIGURATION_GROUP and not self.is_open and self.bootstrap_state.may_take_part:
            self._open_group()

    def founded(self, link: Link, founding: BootstrapDecision) -> None:
        """Who founded the system has come."""
        self.bootstrap_state.heard(link, founding)
        if self.bootstrap_state.founding is not None and not self.is_open:
            self._open_group()

    def founding_answered(self, answer: BootstrapDecisionStored) -> None:
        """A member knows of the founding."""
        self._teller.answered(answer)

    def subscribe(self, link: Link, wanted: FeedSubscribe) -> None:
        """A node wants the feed."""
        if self.is_owner():
            self.feed.subscribe(link, wanted)
            if link.peer is not None and link.peer.disk:  # others keep nothing, and there may be thousands
                self._look_soon()
        else:
            link.send(self.refusal())

    def refusal(self) -> FeedRefused:
        """Where to ask instead."""
        if not self.is_open:
            return FeedRefused("", ())
        leader = self.host.leader(CONFIGURATION_GROUP)
        members = self._member_addresses()
        address = next((member.address for member in members if member.member == leader), "")
        return FeedRefused(address, members)

    def group_reported(self, report: MembershipReport) -> None:
        """A shard's owner has told who the members are."""
        if self.is_owner():
            self.retirements.reported(report)

    def retire(self, node: str) -> Deferred[OperatorResult]:
        """The operator wants a storage node emptied."""
        return self.retirements.order(node)

    def retirement(self, node: str) -> Deferred[OperatorResult]:
        """How far the emptying of a node is."""
        return self.retirements.state(node)

    # ---- GroupListener

    def became_owner(self, epoch: int) -> None:
        """This node owns the configuration from now on."""
        log.info("event=owner group={} epoch={}", CONFIGURATION_GROUP, epoch)
        self.nodes.begin([node_of(member) for member in self.state.storage.members])
        self.placement.begin()
        self.retirements.begin()
        self.feed.begin(epoch)
        self.reader.start()

    def lost_ownership(self) -> None:
        """Another node does, or will."""
        log.info("event=not_owner group={}", CONFIGURATION_GROUP)
        self.reader.stop()
        self.feed.end(self.refusal())

    def applied(self, index: int, command: bytes, result: object) -> None:
        """The state has changed."""
        if result:
            self.feed.publish()
            self._look_soon()

    # ---- looking after things

    def _open_group(self) -> None:
        founders = None
        if self.bootstrap_state.founding is not None:
            members = self.bootstrap_state.founding.group.members
            self.transport.learn(members)
            self.transport.reach(members)
            founders = Members(tuple(member.member for member in members))
        self.is_open = True
        self.host.open_group(CONFIGURATION_GROUP, self.state, founders, self)
        self.core.opened(self._look_soon)

    def _look(self) -> None:
        self._timer = self.reactor.callLater(LOOK_S, self._look)
        self._look_after()

    def _look_soon(self) -> None:
        """Something has happened; looked at once for all that happens together."""
        if not self._look_planned:
            self._look_planned = True
            self.reactor.callLater(SOON_S, self._look_after)

    def _look_after(self) -> None:
        self._look_planned = False
        if self.is_open:
            self.transport.reach(self._addresses(self._members().all))
        if self.is_owner():
            self.nodes.update()
            self.core.reconcile()
            self.placement.reconcile()
            self.retirements.reconcile()
        self._tell_founding()

    def _tell_founding(self) -> None:
        """An owner tells all members, as one that isn't told doesn't take part; without a leader founders
        tell each other: whoever decided may be gone."""
        founding = self.bootstrap_state.founding
        if self.is_owner():
            self._teller.tell(founding or NO_DECISION, self._addresses(self._members().all))
        elif founding is not None and not self.host.leader(CONFIGURATION_GROUP):
            self._teller.tell(founding, founding.group.members)

    def _members(self) -> Members:
        return self.host.members(CONFIGURATION_GROUP)

    def _member_addresses(self) -> tuple[MemberAddress, ...]:
        """Voters whose address is known."""
        return self._addresses(self._members().voters)

    def _addresses(self, members: tuple[str, ...]) -> tuple[MemberAddress, ...]:
        found: dict[str, MemberAddress] = {}
        if self.bootstrap_state.founding is not None:
            found = {member.member: member for member in self.bootstrap_state.founding.group.members}
        for node in self.view.counted_edges():
            found[member_id(node)] = member_address(node)
        return tuple(found[member] for member in members if member in found)
