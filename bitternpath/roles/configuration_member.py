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

from bitternpath.configuration.feed import FeedServer
from bitternpath.configuration.machine import ConfigurationState
from bitternpath.configuration.orders import Order, OrderProcessor, OrderResult
from bitternpath.discovery.platform_list import PlatformList
from bitternpath.discovery.reader import ListReader
from bitternpath.membership.founding import (
    CONFIGURATION_GROUP,
    FoundingFile,
    decide,
    member_address,
    member_id,
)
from bitternpath.membership.view import MembershipView
from bitternpath.replication.host import ReplicaHost
from bitternpath.replication.reconfiguration import node_of
from bitternpath.replication.records import Members
from bitternpath.roles.core_members import CoreMembers
from bitternpath.roles.group_carrier import GroupCarrier
from bitternpath.roles.nodes_here import NodesHere
from bitternpath.roles.retirements import Retirements
from bitternpath.roles.settings import Settings
from bitternpath.roles.shard_placement import ShardPlacement
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.messages import (
    FeedRefused,
    FeedSubscribe,
    Founding,
    FoundingAnswer,
    GroupReport,
    MemberAddress,
)

log = logbook.Logger("configuration")

LOOK_S = 0.25  # how often the owner looks at what no event tells, and founders at the founding
FOUNDING_USER = "founding"


class ConfigurationMember:
    """This node's replica of the configuration group."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        hub: NodeHub,
        view: MembershipView,
        host: ReplicaHost,
        carrier: GroupCarrier,
        random: Random,
        disk: NodeDisk | None = None,
    ) -> None:
        self.reactor, self.settings, self.hub, self.view = reactor, settings, hub, view
        self.host, self.carrier, self.random = host, carrier, random
        self.state = ConfigurationState()
        self.orders = OrderProcessor(self.state, self)
        self.feed = FeedServer(reactor, self.state, self.has_lease)
        platform = PlatformList(reactor, settings.platform)
        self.reader = ListReader(
            reactor,
            platform,
            lambda: self.feed.epoch,
            self.feed.publish_catalogue,
            settings.platform_rate_per_s,
        )
        assert settings.data_dir is not None
        self._file = FoundingFile(settings.data_dir, disk)
        self._founding: Founding | None = None
        self._told: set[str] = set()
        self._open = False
        self._started_at = reactor.seconds()
        tolerated = settings.tolerated_machines
        self.nodes = NodesHere(reactor, self.feed)
        self.core = CoreMembers(host, self.nodes, lambda: view.me, tolerated)
        self.placement = ShardPlacement(reactor, self, self.state, self.nodes, tolerated)
        self.retirements = Retirements(self, self.state, self.nodes, tolerated)
        self._look_planned = False
        self._timer: Any = None

    def start(self) -> None:
        """Take part: as before, as a founder once there is a system, or when a leader adds this member.

        A member that joined later has no founding file. It must not wait until somebody speaks: perhaps all
        that are left have joined later.
        """
        self._founding = self._file.load()
        if self._founding is not None or self.host.holds(CONFIGURATION_GROUP):
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
        return self._open and self.host.is_owner(CONFIGURATION_GROUP)

    def epoch(self) -> int:
        """The group's term."""
        return self.host.epoch(CONFIGURATION_GROUP) if self._open else 0

    def has_lease(self) -> bool:
        """Whether no other node can have become owner, as far as this one has heard a majority."""
        return self._open and self.host.has_lease(CONFIGURATION_GROUP)

    def propose(self, command: bytes) -> Deferred[object]:
        """Commit a command."""
        return self.host.propose(CONFIGURATION_GROUP, command)

    def barrier(self) -> Deferred[None]:
        """Confirm ownership."""
        return self.host.barrier(CONFIGURATION_GROUP)

    def order(self, order: Order) -> Deferred[OrderResult]:
        """Decide an operator's change."""
        return self.orders.submit(order)

    # ---- what comes over links

    def group_message(self, group: str) -> None:
        """A leader speaks to this member, perhaps before it was told of anything else."""
        if group == CONFIGURATION_GROUP and not self._open and not self.settings.bootstrap:
            self._open_group()

    def founded(self, link: Link, founding: Founding) -> None:
        """The decision who founds the system has come."""
        me = self.host.member_id
        if all(member.member != me for member in founding.group.members):
            return
        if self._founding is None:
            self._file.store(founding)
            self._founding = founding
            log.info("event=founded system={} members={}", founding.system, len(founding.group.members))
            if not self._open:
                self._open_group()
        if self._founding.system == founding.system:
            link.send(FoundingAnswer(me))

    def founding_answered(self, answer: FoundingAnswer) -> None:
        """A founder has it on disk."""
        self._told.add(answer.member)

    def subscribe(self, link: Link, wanted: FeedSubscribe) -> None:
        """A node wants the feed."""
        if self.is_owner():
            self.feed.subscribe(link, wanted)
            self._look_soon()
        else:
            link.send(self.refusal())

    def refusal(self) -> FeedRefused:
        """Where to ask instead."""
        if not self._open:
            return FeedRefused("", ())
        leader = self.host.leader(CONFIGURATION_GROUP)
        members = self._member_addresses()
        address = next((member.address for member in members if member.member == leader), "")
        return FeedRefused(address, members)

    def group_reported(self, report: GroupReport) -> None:
        """A shard's owner has told who the members are."""
        if self.is_owner():
            self.retirements.reported(report)

    def retire(self, node: str) -> Deferred[OrderResult]:
        """The operator wants a storage node emptied."""
        return self.retirements.order(node)

    def retirement(self, node: str) -> Deferred[OrderResult]:
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
        if self._founding is not None:
            members = self._founding.group.members
            self.carrier.learn(members)
            founders = Members(tuple(member.member for member in members))
        self._open = True
        self.host.open_group(CONFIGURATION_GROUP, self.state, founders, self)
        self.core.opened(self._look_soon)

    def _look(self) -> None:
        self._timer = self.reactor.callLater(LOOK_S, self._look)
        if self._founding is not None:
            self._spread_founding(self._founding)
        self._look_after()

    def _look_soon(self) -> None:
        """Something has happened; what comes of it is looked at once, after all of this turn."""
        if not self._look_planned:
            self._look_planned = True
            self.reactor.callLater(0, self._look_after)

    def _look_after(self) -> None:
        self._look_planned = False
        if self.is_owner():
            self.nodes.update()
            self.core.look()
            self.placement.look()
            self.retirements.look()

    def _spread_founding(self, founding: Founding) -> None:
        """Until a leader is heard, founders tell each other: whoever decided may be gone."""
        if self.host.leader(CONFIGURATION_GROUP) and self.state.version:
            return
        tell_founding(self.hub, founding, self._told | {self.host.member_id})

    def _member_addresses(self) -> tuple[MemberAddress, ...]:
        """Members whose address is known."""
        found: dict[str, MemberAddress] = {}
        if self._founding is not None:
            found = {member.member: member for member in self._founding.group.members}
        for node in self.view.counted_edges():
            found[member_id(node)] = member_address(node)
        voters = self.host.members(CONFIGURATION_GROUP).voters
        return tuple(found[voter] for voter in voters if voter in found)


def tell_founding(hub: NodeHub, founding: Founding, told: set[str]) -> None:
    """Send the decision to founders that haven't answered yet."""
    for member in founding.group.members:
        if member.member in told:
            continue
        hub.dial(member.address, FOUNDING_USER)
        link = hub.link_to(member.address)
        if link is not None:
            link.send(founding)


class FoundingDecider:
    """Decides who founds the system, at the first seed in its first life, and tells the founders."""

    def __init__(
        self, reactor: Any, settings: Settings, hub: NodeHub, view: MembershipView, random: Random
    ) -> None:
        self.reactor, self.settings, self.hub, self.view, self.random = reactor, settings, hub, view, random
        self._started_at = reactor.seconds()
        self._founding: Founding | None = None
        self._told: set[str] = set()
        self._timer: Any = None

    def start(self) -> None:
        """Begin to look, where this node is the one to decide."""
        seeds = self.settings.seed_addresses
        if self.settings.bootstrap and seeds and seeds[0] == self.settings.internal_address:
            self._look()

    def stop(self) -> None:
        """Decide nothing more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def answered(self, answer: FoundingAnswer) -> None:
        """A founder has the decision on disk."""
        self._told.add(answer.member)

    def _look(self) -> None:
        now = self.reactor.seconds()
        if self._founding is None:
            tolerated = self.settings.tolerated_machines
            self._founding = decide(self.view, tolerated, self._started_at, now, self.random)
        if self._founding is not None:
            tell_founding(self.hub, self._founding, self._told)
            if len(self._told) == len(self._founding.group.members):
                return
        self._timer = self.reactor.callLater(LOOK_S, self._look)
