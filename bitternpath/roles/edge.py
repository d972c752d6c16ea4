"""The edge role: ingress, dispatchers and call-backs; on a counted node also a configuration member.

`EdgeNode` assembles the components. Its HTTP servers call it as `NodeService`, its dispatchers query it as
`NodeView`, and it passes records of other nodes on to the component that handles them.
"""

from __future__ import annotations

import logbook
from twisted.internet.defer import Deferred

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.delivery.callback_client import CallbackClient
from bitternpath.delivery.worker_client import WorkerClient
from bitternpath.discovery.catalogue import Catalogue
from bitternpath.discovery.endpoint_list_client import EndpointListClient
from bitternpath.dispatch.body_cache import BodyCache
from bitternpath.dispatch.callbacks import CallbackDispatcher
from bitternpath.dispatch.deliveries import DeliveryComponents, DeliveryDispatcher
from bitternpath.ingress.interfaces import OperatorReply, PendingPull
from bitternpath.membership.bootstrap import CONFIGURATION_GROUP
from bitternpath.net.reactor import NodeReactor
from bitternpath.roles.bootstrap import BootstrapCoordinator
from bitternpath.roles.configuration_member import ConfigurationMember
from bitternpath.roles.endpoint_list_fallback import EndpointListFallback
from bitternpath.roles.environment import ProcessEnvironment
from bitternpath.roles.node_base import NodeBase, ProcessContext, RecordHandler
from bitternpath.roles.operator_calls import OperatorCalls
from bitternpath.roles.settings import Settings
from bitternpath.roles.status import event_counts, group_status, node_status
from bitternpath.shards.appends import Appender
from bitternpath.shards.lookups import MessageLookup
from bitternpath.shards.owners import ShardOwners
from bitternpath.shards.pulls import PullRouter
from bitternpath.shards.reports import AttemptReporter
from bitternpath.shards.results import Acceptance, AcceptResult, FoundMessage, LeaseAnswer, LookupFailure
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
from bitternpath.transport.links import Link
from bitternpath.transport.messages import Record
from bitternpath.transport.node_messages import NodeKind
from bitternpath.transport.operator_messages import (
    EventCountsRequest,
    OperatorRequest,
    OperatorResponse,
    StatusRequest,
)
from bitternpath.transport.records import Message
from bitternpath.transport.shard_messages import CallbackRequest, LeaseGrant, Ownership, WorkAvailable

log = logbook.Logger("edge")

BODY_CACHE_BYTES = 24 << 20  # for bodies of accepted messages that have not been leased yet
MAX_READY_FEED_AGE_S = 20.0  # a node without contact to the configuration's owner for longer is unready
CONNECTION_OVERCOMMIT = 2.0  # the nodes' shares of a worker's connections overlap: not all are used at once
MIN_CONNECTIONS = 2  # connections to each worker, however many edge nodes share it
SHARD_LINK_USER = "shards"  # name as a user of the hub's links


class EdgeNode:
    """One edge node.

    Implements `ingress.interfaces.NodeService`, `dispatch.deliveries.NodeView`, `transport.links.LinkHandler`
    and `configuration.feed_client.FeedListener`.

    Attributes:
        base: identity, links, membership, feed and, with a disk, journal and replica host.
        member: the replica of the configuration group; None on nodes that aren't counted.
        owners: the owner of each shard, as far as known to this node.
        stopping: whether the process is shutting down.
    """

    def __init__(
        self, reactor: NodeReactor, settings: Settings, environment: ProcessEnvironment | None = None
    ) -> None:
        """Open the disk, if the node has one.

        Raises `OSError`, `CorruptJournalError` and `CorruptDocumentError`.
        """
        self.settings = settings
        self.stopping = False
        self._reactor = reactor
        self._storage_addresses: set[str] = set()
        self.base = NodeBase(ProcessContext(reactor, settings, environment), NodeKind.EDGE, self, self)
        random = self.base.random
        self.owners = ShardOwners(self._owner_changed)
        self.reports = AttemptReporter(reactor, self.owners)
        self.pulls = PullRouter(reactor, self.owners, self.reports, settings.zone, random)
        self.appender = Appender(reactor, self.owners, settings.zone, random, self._shard_with_waiting_worker)
        self.lookup = MessageLookup(reactor, self.owners)
        self.bodies = BodyCache(BODY_CACHE_BYTES)
        self.worker_client = WorkerClient(reactor)
        delivery_components = DeliveryComponents(self.worker_client, self.reports, self.bodies)
        self.deliveries = DeliveryDispatcher(reactor, self, delivery_components, random)
        self.callbacks = CallbackDispatcher(reactor, CallbackClient(reactor), self.owners)
        self.catalogue = Catalogue(self._workers_changed)
        self._endpoint_list = EndpointListFallback(
            reactor, EndpointListClient(reactor, settings.platform), self.catalogue, self.base.feed, random
        )
        self._bootstrap = BootstrapCoordinator(reactor, self.base)
        self.member: ConfigurationMember | None = None
        if self.base.host is not None and settings.counted:
            self.member = ConfigurationMember(reactor, self.base, self.base.host)
        self._operator = OperatorCalls(reactor, self.base.feed, self.member)
        self._handlers = self._record_handlers()

    def start(self) -> None:
        """Start to follow the feed, and to take part in the configuration group."""
        self.base.start()
        self._bootstrap.start()
        self.deliveries.start()
        if self.member is not None:
            self.member.start()
        self._endpoint_list.start(self.settings.platform_rate_per_s)

    # ---- NodeService

    def is_ready(self) -> bool:
        """Whether the node accepts new connections."""
        if self.stopping or self.base.feed.table is None:
            return False
        return bool(self.owners.owned_groups()) and self.configuration_age() < MAX_READY_FEED_AGE_S

    def routing(self) -> RoutingTable | None:
        """The configuration in force on this node; None before the first one."""
        return self.base.feed.table

    def accept(self, message: Message, deadline_ms: int) -> Deferred[Acceptance]:
        """Have a shard commit a message; cache its body for the first lease, which omits the body."""
        self.bodies.add(message)
        return self.appender.accept(message, deadline_ms).addCallback(self._accepted, message)

    def _accepted(self, acceptance: Acceptance, message: Message) -> Acceptance:
        if acceptance.result is not AcceptResult.ACCEPTED:
            self.bodies.pop(message.request_id)
        return acceptance

    def _shard_with_waiting_worker(self, message: Message) -> str:
        """The group of a shard at which a worker waits for such a message; "" if none is known."""
        table = self.routing()
        route = table.routes.get(message.route) if table is not None else None
        return "" if route is None or message.delay_ms else self.pulls.claim_waiting_worker(route.service)

    def find_message(self, message_id: str, *, wants_body: bool) -> Deferred[FoundMessage | LookupFailure]:
        """Look up a message by the id that its client received, or by its request id."""
        return self.lookup.find(message_id, wants_body=wants_body)

    def pull(self, service: str, instance: str, wait_ms: int) -> PendingPull:
        """Wait for a job for a pulling worker."""
        return self.pulls.pull(service, instance, wait_ms)

    def end_job(self, lease_id: str, request_id: str, status: int, stamp: str) -> Deferred[LeaseAnswer]:
        """Report the outcome of a pulling worker's job."""
        return self.pulls.end(lease_id, request_id, status, stamp)

    def extend_job(self, lease_id: str, request_id: str) -> Deferred[LeaseAnswer]:
        """Extend the lease of a pulling worker's job."""
        return self.pulls.extend(lease_id, request_id)

    def operator_call(self, method: str, path: str, if_match: str, body: bytes) -> Deferred[OperatorReply]:
        """Answer a call of the operator's API, or forward it to the configuration's owner."""
        return self._operator.call(method, path, if_match, body)

    # ---- NodeView

    def configuration_age(self) -> float:
        """Seconds since the configuration's owner was last contacted."""
        return float(self._reactor.seconds() - self.base.feed.last_update_at)

    def catalogue_age(self) -> float:
        """Seconds since the newest endpoint list was requested from the platform."""
        return self.catalogue.age(self._reactor.seconds())

    def connection_share(self, total: int) -> int:
        """How many of a worker's `total` connections this node may use."""
        share = int(total * CONNECTION_OVERCOMMIT / max(self.base.feed.edge_node_count, 1))
        return max(min(share, total), MIN_CONNECTIONS)

    # ---- FeedListener

    def configuration_changed(self, table: RoutingTable) -> None:
        """Does nothing: components read the version in force from the feed when they need it."""

    def placement_changed(self, _generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        """Called when shards have other members; maintains a link to each storage node that is one."""
        self.appender.shard_count = len(groups)
        self.lookup.shard_count = len(groups)
        addresses = {member.address for group in groups for member in group.members}
        for address in sorted(self._storage_addresses - addresses):
            self.base.hub.release(address, SHARD_LINK_USER)
        for address in sorted(addresses - self._storage_addresses):
            self.base.hub.dial(address, SHARD_LINK_USER)
        self._storage_addresses = addresses

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """Called when the configuration's owner has read the platform's endpoint list."""
        self.catalogue.update(self._reactor.seconds(), update)

    # ---- LinkHandler

    def link_opened(self, link: Link) -> None:
        """Called when a peer has sent `Hello`, first on a link or again with another descriptor."""
        if link.peer is not None:
            self.base.view.observe(self._reactor.seconds(), link.peer)

    def link_closed(self, link: Link) -> None:
        """Called when a link has closed."""
        self.base.feed.link_closed(link)
        self.owners.link_closed(link)
        if self.member is not None:
            self.member.feed.link_closed(link)

    def received(self, link: Link, record: Record) -> None:
        """Pass a record on to its handler; ignore kinds that have none in this role."""
        handle = self._handlers.get(type(record))
        if handle is not None:
            handle(link, record)

    def _record_handlers(self) -> dict[type, RecordHandler]:
        feed = self.base.feed
        handlers: dict[type, RecordHandler] = {
            Ownership: self.owners.ownership_changed,
            LeaseGrant: lambda _link, record: self.deliveries.lease_granted(record),
            WorkAvailable: lambda _link, record: self.pulls.work_available(record),
            CallbackRequest: lambda _link, record: self.callbacks.request_received(record),
            FeedUpdate: feed.update_received,
            FeedRefused: feed.refusal_received,
            FeedSubscribe: lambda link, _record: link.send(FeedRefused("", feed.members)),
            CatalogueUpdate: lambda _link, record: self.catalogue_updated(record),
            BootstrapDecisionStored: self._bootstrap_acknowledged,
            StatusRequest: self._send_status,
            EventCountsRequest: lambda link, request: link.send(event_counts(request)),
            OperatorRequest: self._handle_operator_request,
        }
        if self.member is not None:
            handlers |= {
                FeedSubscribe: self.member.subscribe,
                GroupMessage: self.member.group_message_received,
                BootstrapDecision: self.member.decision_received,
                MembershipReport: self.member.membership_reported,
            }
        return handlers

    def _bootstrap_acknowledged(self, _link: Link, answer: BootstrapDecisionStored) -> None:
        self._bootstrap.acknowledged(answer)
        if self.member is not None:
            self.member.decision_stored(answer)

    def _handle_operator_request(self, link: Link, request: OperatorRequest) -> None:
        self._operator.handle_request(request).addCallback(
            lambda result: link.send(
                OperatorResponse(request.number, result.decided, result.status, result.body)
            )
        )

    def _send_status(self, link: Link, request: StatusRequest) -> None:
        groups = []
        if self.member is not None:
            groups.append(group_status(self.member.host, CONFIGURATION_GROUP, None))
        link.send(node_status(self.base, request.number, ready=self.is_ready(), groups=groups))

    # ---- notifications to other components

    def _workers_changed(self, entries: list[CatalogueEntry], removed: list[str]) -> None:
        """Called when the catalogue has changed; `removed` names instances that it no longer has."""
        for instance in removed:
            worker = self.deliveries.selection.worker(instance)
            if worker is not None:
                self.worker_client.remove_address(worker.address)
        self.deliveries.workers_changed(entries, removed)

    def _owner_changed(self, group: str) -> None:
        self.pulls.owner_changed(group)
        owner = self.owners.owner(group)
        log.debug("event=shard_owner_changed group={} owner={}", group, owner.link.peer_name if owner else "")
