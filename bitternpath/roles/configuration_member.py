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
from bitternpath.configuration.machine import COMMANDS, ConfigurationState, RetireNode, SetPlacement
from bitternpath.configuration.orders import Order, OrderCode, OrderDesk, OrderResult, result
from bitternpath.configuration.placement import (
    desired_members,
    first_placement,
    nodes_to_replace,
    repaired_placement,
)
from bitternpath.configuration.presence import Presence
from bitternpath.configuration.retirement import (
    GroupReports,
    RetireCheck,
    RetireState,
    check,
    progress,
    state_body,
)
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
from bitternpath.replication.reconfiguration import next_members
from bitternpath.replication.records import Members
from bitternpath.roles.group_carrier import GroupCarrier
from bitternpath.roles.settings import Settings
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.transport.connections import Link, NodeHub
from bitternpath.transport.messages import (
    FeedRefused,
    FeedSubscribe,
    Founding,
    FoundingAnswer,
    GroupReport,
    MemberAddress,
    NodeDescriptor,
    NodeKind,
)

log = logbook.Logger("configuration")

LOOK_S = 0.25  # how often the owner looks at members and placement, and founders at the founding
STORAGE_AT_REST_S = 0.8  # the first placement waits until the storage nodes have been the same for so long
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
        self.desk = OrderDesk(self.state, self)
        self.feed = FeedServer(reactor, self.state, self.epoch)
        platform = PlatformList(reactor, settings.platform)
        self.reader = ListReader(
            reactor, platform, self.epoch, self.feed.publish_catalogue, settings.platform_rate_per_s
        )
        assert settings.data_dir is not None
        self._file = FoundingFile(settings.data_dir, disk)
        self._founding: Founding | None = None
        self._told: set[str] = set()
        self._open = False
        self._started_at = reactor.seconds()
        self._storage: dict[str, str] = {}
        self._storage_changed_at = reactor.seconds()
        self._placing = False
        self._presence = Presence(reactor.seconds())
        self._reports = GroupReports()
        self._timer: Any = None

    def start(self) -> None:
        """Take part: as before, as a founder once there is a system, or when a leader adds this member."""
        self._founding = self._file.load()
        if self._founding is not None:
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

    def propose(self, command: bytes) -> Deferred[object]:
        """Commit a command."""
        return self.host.propose(CONFIGURATION_GROUP, command)

    def barrier(self) -> Deferred[None]:
        """Confirm ownership."""
        return self.host.barrier(CONFIGURATION_GROUP)

    def order(self, order: Order) -> Deferred[OrderResult]:
        """Decide an operator's change."""
        return self.desk.submit(order)

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
            self._reports.update(report)

    def retire(self, node: str) -> Deferred[OrderResult]:
        """The operator wants a storage node emptied."""
        checked = check(self.state, node, self._storage_nodes(), self.settings.tolerated_machines)
        if checked is RetireCheck.UNKNOWN_NODE:
            return self._confirmed(result(OrderCode.UNKNOWN_NODE, checked.value))
        if checked is RetireCheck.TOO_FEW_LEFT:
            return self._confirmed(result(OrderCode.TOO_FEW_NODES, checked.value))
        accepted = OrderResult(OrderCode.RETIRING, state_body(RetireState.RUNNING))
        decided: Deferred[OrderResult] = Deferred()
        self.propose(COMMANDS.encode(RetireNode(node, True))).addCallbacks(
            lambda _: decided.callback(accepted),
            lambda failure: decided.callback(result(OrderCode.FATE_OPEN, str(failure.value))),
        )
        return decided

    def retirement(self, node: str) -> Deferred[OrderResult]:
        """How far the emptying of a node is."""
        state = progress(self.state, self._reports, node)
        if state is RetireState.UNKNOWN:
            return self._confirmed(result(OrderCode.UNKNOWN_NODE, f"{node} isn't being emptied"))
        return self._confirmed(OrderResult(OrderCode.RETIRING, state_body(state)))

    def _confirmed(self, answer: OrderResult) -> Deferred[OrderResult]:
        """An answer from the state, once ownership is confirmed."""
        decided: Deferred[OrderResult] = Deferred()
        self.barrier().addCallbacks(
            lambda _: decided.callback(answer),
            lambda failure: decided.callback(result(OrderCode.NOT_OWNER, str(failure.value))),
        )
        return decided

    # ---- GroupListener

    def became_owner(self, epoch: int) -> None:
        """This node owns the configuration from now on."""
        log.info("event=owner group={} epoch={}", CONFIGURATION_GROUP, epoch)
        self._storage_changed_at = self.reactor.seconds()
        self._presence = Presence(self.reactor.seconds())
        self._reports = GroupReports()
        self.feed.begin()
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

    # ---- looking after things

    def _open_group(self) -> None:
        founders = None
        if self._founding is not None:
            members = self._founding.group.members
            self.carrier.learn(members)
            founders = Members(tuple(member.member for member in members))
        self._open = True
        self.host.open_group(CONFIGURATION_GROUP, self.state, founders, self)

    def _look(self) -> None:
        self._timer = self.reactor.callLater(LOOK_S, self._look)
        if self._founding is not None:
            self._spread_founding(self._founding)
        if self.is_owner():
            now = self.reactor.seconds()
            self._presence.update(now, [node.name for node in self.feed.followers() if not node.leaving])
            self._look_after_members()
            self._look_after_placement()

    def _spread_founding(self, founding: Founding) -> None:
        """Until a leader is heard, founders tell each other: whoever decided may be gone."""
        if self.host.leader(CONFIGURATION_GROUP) and self.state.version:
            return
        tell_founding(self.hub, founding, self._told | {self.host.member_id})

    def _look_after_members(self) -> None:
        current = self.host.members(CONFIGURATION_GROUP)
        nodes = [node for node in self.feed.followers() if node.kind is NodeKind.EDGE and node.counted]
        desired = desired_members(current, nodes, self._away_for, 2 * self.settings.tolerated_machines + 1)
        changed = next_members(current, desired, self._caught_up)
        if changed is not None and self.host.change_members(CONFIGURATION_GROUP, changed):
            log.info("event=members_changing voters={} learners={}", changed.voters, changed.learners)

    def _away_for(self, node: str) -> float:
        return self._presence.away_for(self.reactor.seconds(), node)

    def _caught_up(self, member: str) -> bool:
        return self.host.caught_up(CONFIGURATION_GROUP, member)

    def _storage_nodes(self) -> list[NodeDescriptor]:
        return [node for node in self.feed.followers() if node.kind is NodeKind.STORAGE and node.disk]

    def _look_after_placement(self) -> None:
        nodes = self._storage_nodes()
        disks = {node.name: node.disk for node in nodes}
        now = self.reactor.seconds()
        if disks != self._storage:
            self._storage, self._storage_changed_at = disks, now
        if self._placing:
            return
        tolerated = self.settings.tolerated_machines
        if self.state.groups:
            gone = nodes_to_replace(self.state.groups, nodes, self.state.retired, self._away_for)
            groups = repaired_placement(self.state.groups, nodes, gone, tolerated)
        elif len(nodes) >= 2 * tolerated + 1 and now - self._storage_changed_at >= STORAGE_AT_REST_S:
            groups = first_placement(nodes, tolerated)
        else:
            return
        if groups != self.state.groups:
            self._place(SetPlacement(self.state.placement_generation, groups))

    def _place(self, placement: SetPlacement) -> None:
        log.info("event=placing generation={} groups={}", placement.base + 1, len(placement.groups))
        self._placing = True
        self.propose(COMMANDS.encode(placement)).addBoth(self._placed)

    def _placed(self, _: object) -> None:
        self._placing = False

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
