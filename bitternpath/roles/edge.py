"""The edge role: ingress, dispatcher and call-backs; with a disk also a member of the configuration group."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from twisted.internet.defer import Deferred

from bitternpath.configuration.documents import RoutingTable
from bitternpath.delivery.callback_client import CallbackClient
from bitternpath.delivery.worker_client import WorkerClient
from bitternpath.discovery.catalogue import Catalogue
from bitternpath.discovery.endpoint_list_client import EndpointList, EndpointListClient
from bitternpath.dispatch.callbacks import CallbackDispatcher
from bitternpath.dispatch.deliveries import BodyCache, DeliveryDispatcher
from bitternpath.ingress.interfaces import (
    Acceptance,
    AcceptResult,
    FoundMessage,
    LeaseAnswer,
    LookupFailure,
    OperatorReply,
    PendingPull,
)
from bitternpath.membership.bootstrap import CONFIGURATION_GROUP
from bitternpath.roles.configuration_member import ConfigurationMember
from bitternpath.roles.founding import FoundingDecider
from bitternpath.roles.machine import LocalMachine, Machine
from bitternpath.roles.node_base import NodeBase
from bitternpath.roles.operator_calls import OperatorCalls
from bitternpath.roles.settings import Settings
from bitternpath.roles.status import group_status, node_status
from bitternpath.shards.appends import Appender
from bitternpath.shards.lookups import MessageLookup
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.pulls import PullRouter
from bitternpath.shards.reports import AttemptReporter
from bitternpath.transport.connections import Link
from bitternpath.transport.feed_messages import (
    CatalogueEntry,
    CatalogueUpdate,
    FeedRefused,
    FeedSubscribe,
    FeedUpdate,
)
from bitternpath.transport.group_messages import (
    BootstrapDecision,
    BootstrapDecisionStored,
    GroupMessage,
    GroupPlacement,
    MembershipReport,
)
from bitternpath.transport.node_messages import NodeKind
from bitternpath.transport.operator_messages import OperatorRequest, OperatorResponse, StatusRequest
from bitternpath.transport.records import Message
from bitternpath.transport.shard_messages import CallbackRequest, LeaseGrant, Ownership, WorkAvailable

log = logbook.Logger("edge")

BODY_CACHE_BYTES = 24 << 20
READY_FEED_AGE_S = 20.0  # a node cut off from the configuration for longer takes no new connections
OWN_READING_AGE_S = 1.3  # an older catalogue makes this node read the platform's list itself
CATALOGUE_LOOK_S = 0.25
CONNECTION_SHARES = 2.0  # nodes' shares of a worker's connections overlap: not all use theirs at once
LEAST_CONNECTIONS = 2
SHARD_USER = "shards"


class EdgeNode:
    """One edge process. Implements `ingress.service.NodeService`, `LinkHandler` and `FeedListener`."""

    def __init__(self, reactor: Any, settings: Settings, machine: Machine | None = None) -> None:
        self.reactor, self.settings = reactor, settings
        self.base = NodeBase(reactor, settings, NodeKind.EDGE, self, self, machine or LocalMachine())
        random = self.base.random
        self.owners = ShardOwners(self._owner_changed)
        self.reports = AttemptReporter(reactor, self.owners)
        self.pulls = PullRouter(reactor, self.owners, self.reports, settings.zone, random)
        self.appender = Appender(reactor, self.owners, settings.zone, random, self._worker_waits_at)
        self.lookup = MessageLookup(reactor, self.owners)
        self.bodies = BodyCache(BODY_CACHE_BYTES)
        self.worker_client = WorkerClient(reactor)
        self.deliveries = DeliveryDispatcher(
            reactor, self, self.worker_client, self.reports, self.bodies, random
        )
        self.callbacks = CallbackDispatcher(reactor, CallbackClient(reactor), self.owners)
        self.catalogue = Catalogue(self._list_changed)
        self.platform = EndpointListClient(reactor, settings.platform)
        self.founder = FoundingDecider(
            reactor, settings, self.base.hub, self.base.view, random, self.base.disk
        )
        self.member = self._configuration_member()
        self.operator = OperatorCalls(reactor, self.base.feed, self.member)
        self.stopping = False
        self._reading = False
        self._storage_addresses: set[str] = set()
        self._handlers = self._link_handlers()

    def start(self) -> None:
        """Listen for other nodes and look for the system."""
        self.base.start()
        self.founder.start()
        self.deliveries.start()
        if self.member is not None:
            self.member.start()
        self._look_at_catalogue()

    def _configuration_member(self) -> ConfigurationMember | None:
        host = self.base.host
        if host is None or not self.settings.counted:
            return None
        return ConfigurationMember(
            self.reactor,
            self.settings,
            self.base.hub,
            self.base.view,
            host,
            self.base.transport,
            self.base.random,
            self.base.disk,
        )

    # ---- NodeService

    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        if self.stopping or self.base.feed.table is None:
            return False
        return bool(self.owners.owned_groups()) and self.configuration_age() < READY_FEED_AGE_S

    def routing(self) -> RoutingTable | None:
        """The configuration in force here."""
        return self.base.feed.table

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        """Keep a message."""
        self.bodies.keep(message)
        return self.appender.accept(message, deadline_ms).addCallback(self._accepted, message)

    def _worker_waits_at(self, message: Message) -> str:
        table = self.routing()
        route = table.routes.get(message.route) if table is not None else None
        return "" if route is None or message.delay_ms else self.pulls.claim_waiting_worker(route.service)

    def _accepted(self, acceptance: Acceptance, message: Message) -> Acceptance:
        if acceptance.result is not AcceptResult.ACCEPTED:
            self.bodies.take(message.request_id)
        return acceptance

    def find_message(self, message_id: str, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        """A message by its id."""
        return self.lookup.find(message_id, wants_body)

    def pull(self, service: str, instance: str, wait_ms: int) -> PendingPull:
        """A job for a worker that pulls."""
        return self.pulls.pull(service, instance, wait_ms)

    def end_job(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        """A pulling worker's word on its job."""
        return self.pulls.end(lease_id, request_id, status, stamp)

    def extend_job(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        """A pulling worker holds its job still."""
        return self.pulls.extend(lease_id, request_id)

    def operator_call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        """A call of the operator's API."""
        return self.operator.call(method, path, if_match, body)

    # ---- NodeView of the dispatcher

    def configuration_age(self) -> float:
        """Seconds since the configuration's owner was last heard."""
        return float(self.reactor.seconds() - self.base.feed.heard_at)

    def catalogue_age(self) -> float:
        """Seconds since the newest reading of the platform's list began."""
        return self.catalogue.age(self.reactor.seconds())

    def connection_share(self, total: int) -> int:
        """This node's share of a worker's connections."""
        share = int(total * CONNECTION_SHARES / max(self.base.feed.edge_node_count, 1))
        return max(min(share, total), LEAST_CONNECTIONS)

    # ---- FeedListener

    def configuration_changed(self, table: RoutingTable) -> None:
        """Another version is in force here."""

    def placement_changed(self, generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        """Shards have other members: keep links to all storage nodes that are any."""
        self.appender.shards = self.lookup.shards = len(groups)
        addresses = {member.address for group in groups for member in group.members}
        for address in sorted(self._storage_addresses - addresses):
            self.base.hub.release(address, SHARD_USER)
        for address in sorted(addresses - self._storage_addresses):
            self.base.hub.dial(address, SHARD_USER)
        self._storage_addresses = addresses

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """The platform's list was read."""
        self.catalogue.update(self.reactor.seconds(), update)

    # ---- LinkHandler

    def link_opened(self, link: Link) -> None:
        """A peer has introduced itself."""
        if link.peer is not None:
            self.base.view.observe(self.reactor.seconds(), link.peer)

    def link_closed(self, link: Link) -> None:
        """A link has ended."""
        self.base.feed.closed(link)
        self.owners.closed(link)
        if self.member is not None:
            self.member.feed.dropped(link)

    def received(self, link: Link, record: Any) -> None:
        """A record from another node."""
        handle = self._handlers.get(type(record))
        if handle is not None:
            handle(link, record)

    def _link_handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        feed = self.base.feed
        return {
            Ownership: self.owners.ownership_changed,
            LeaseGrant: lambda link, record: self.deliveries.lease_granted(record),
            WorkAvailable: lambda link, record: self.pulls.work_available(record),
            CallbackRequest: lambda link, record: self.callbacks.order_received(record),
            FeedUpdate: feed.updated,
            FeedRefused: feed.refused,
            CatalogueUpdate: lambda link, record: self.catalogue_updated(record),
            GroupMessage: self._group_message,
            BootstrapDecision: self._founding,
            BootstrapDecisionStored: self._founding_answer,
            FeedSubscribe: self._subscribe,
            StatusRequest: self._status,
            MembershipReport: self._group_report,
            OperatorRequest: self._operator_order,
        }

    def _group_message(self, link: Link, message: GroupMessage) -> None:
        if self.member is not None:
            self.member.group_message(message.group)
            self.base.transport.received(link, message)

    def _founding(self, link: Link, founding: BootstrapDecision) -> None:
        if self.member is not None:
            self.member.founded(link, founding)

    def _founding_answer(self, link: Link, answer: BootstrapDecisionStored) -> None:
        self.founder.answered(answer)
        if self.member is not None:
            self.member.founding_answered(answer)

    def _subscribe(self, link: Link, wanted: FeedSubscribe) -> None:
        if self.member is not None:
            self.member.subscribe(link, wanted)
        else:
            link.send(FeedRefused("", self.base.feed.members))

    def _operator_order(self, link: Link, order: OperatorRequest) -> None:
        self.operator.forwarded(order).addCallback(
            lambda decided: link.send(
                OperatorResponse(order.number, decided.decided, decided.status, decided.body)
            )
        )

    def _group_report(self, link: Link, report: MembershipReport) -> None:
        if self.member is not None:
            self.member.group_reported(report)

    def _status(self, link: Link, request: StatusRequest) -> None:
        groups = []
        if self.member is not None and self.base.host is not None:
            groups.append(group_status(self.base.host, CONFIGURATION_GROUP, None))
        link.send(node_status(self.base, request.number, self.is_ready(), groups))

    # ---- the catalogue

    def _list_changed(self, entries: list[CatalogueEntry], left: list[str]) -> None:
        for instance in left:
            worker = self.deliveries.selection.worker(instance)
            if worker is not None:
                self.worker_client.forget(worker.address)
        self.deliveries.workers_changed(entries, left)

    def _look_at_catalogue(self) -> None:
        """Where the feed brings no fresh list, read it here; a share of the platform's rate is ours."""
        nodes = max(self.base.feed.edge_node_count, 1)
        pause = max(CATALOGUE_LOOK_S, nodes / max(self.settings.platform_rate_per_s, 0.1))
        self.reactor.callLater(pause * (0.7 + 0.6 * self.base.random.random()), self._look_at_catalogue)
        stale = self.catalogue_age() > OWN_READING_AGE_S
        if stale and not self._reading and self._wants_list():
            self._reading = True
            self.platform.read().addCallbacks(self._list_read, self._list_not_read)

    def _wants_list(self) -> bool:
        """Whether any service has listed workers."""
        table = self.routing()
        services = table.services.values() if table else ()
        return any(service.endpoint is None and not service.pull_mode for service in services)

    def _list_read(self, reading: EndpointList) -> None:
        self._reading = False
        self.catalogue.replace(reading.requested_at, reading.entries)

    def _list_not_read(self, _: object) -> None:
        self._reading = False

    def _owner_changed(self, group: str) -> None:
        self.pulls.owner_changed(group)
        owner = self.owners.owner(group)
        log.debug("event=shard_owner group={} owner={}", group, owner.link.peer_name if owner else "")
