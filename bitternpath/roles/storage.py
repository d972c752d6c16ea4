"""The storage role: a node with replicas of queue shards, some of which it owns.

`StorageNode` assembles the components and passes records, link events and the feed on to them. The only
decision of its own, every `CHECK_INTERVAL_S`, is which of its shards another node should own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import logbook

from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.net.reactor import NodeReactor
from bitternpath.queue.owner import OwnerSettings
from bitternpath.replication.membership_reconciler import MembershipReconciler
from bitternpath.roles.disk_capacity import DiskCapacity
from bitternpath.roles.edge_links import EdgeLinks
from bitternpath.roles.environment import ProcessEnvironment
from bitternpath.roles.feed_cache import FeedCache
from bitternpath.roles.hosted_shards import HostedShards
from bitternpath.roles.membership_reports import MembershipReporter
from bitternpath.roles.node_base import NodeBase, ProcessContext, RecordHandler
from bitternpath.roles.ownership_return import OwnershipReturn
from bitternpath.roles.periodic_call import PeriodicCall
from bitternpath.roles.quota_borrowing import QuotaBorrower
from bitternpath.roles.replica_garbage_collection import ReplicaGarbageCollector
from bitternpath.roles.settings import Settings
from bitternpath.roles.settings_reader import SettingsError
from bitternpath.roles.shard_context import ShardContext
from bitternpath.roles.shard_requests import ShardRequests
from bitternpath.roles.status import event_counts, group_status, node_status
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.group_messages import (
    GroupMessage,
    GroupPlacement,
    MembershipReport,
    MembershipRequest,
)
from bitternpath.transport.links import Link
from bitternpath.transport.messages import Record
from bitternpath.transport.node_messages import NodeKind
from bitternpath.transport.operator_messages import EventCountsRequest, StatusRequest
from bitternpath.transport.quota_messages import TokenRequest
from bitternpath.transport.shard_messages import (
    AppendRequest,
    CallbackReport,
    EndAttemptRequest,
    ExtendRequest,
    PullCancel,
    PullRequest,
    RefusalReason,
    Refused,
    StateRequest,
)

log = logbook.Logger("storage")

CHECK_INTERVAL_S = 0.25  # between checks of the owned groups for changes without an event, such as time-outs
RESPONSIVE_WITHIN_S = 0.5  # time since a member's last response: two heartbeats of a group and a margin


class StorageNode:
    """One storage node.

    Implements `transport.links.LinkHandler` and `configuration.feed_client.FeedListener`.

    Attributes:
        base: identity, links, membership, feed, journal and replica host.
        shards: the queue shards that have a replica here.
        stopping: whether the process is shutting down.
    """

    def __init__(
        self, reactor: NodeReactor, settings: Settings, environment: ProcessEnvironment | None = None
    ) -> None:
        """Open the disk and read it.

        Raises `SettingsError` if the settings name no disk, `OSError`, `CorruptJournalError` and
        `CorruptDocumentError`.
        """
        if settings.data_dir is None:
            raise SettingsError("data_dir: is missing; a storage node needs a folder")
        self.settings = settings
        self.stopping = False
        self.base = NodeBase(ProcessContext(reactor, settings, environment), NodeKind.STORAGE, self, self)
        assert self.base.host is not None and self.base.disk is not None
        self._reactor = reactor
        self._host = self.base.host
        self._edges = EdgeLinks()
        self._incarnations: dict[str, int] = {}  # incarnation of each edge node, by name
        self._reporter = MembershipReporter(self._host, self.base.feed)
        self._membership_reconciler = MembershipReconciler(self._host, self._reporter.report)
        self.shards = HostedShards(self._host, self.base.transport, self._membership_reconciler)
        self._garbage_collector = ReplicaGarbageCollector(
            reactor, self.base.hub, self._host, self.shards.placements, self.shards.close
        )
        self._quota = QuotaBorrower(
            reactor, self.base.hub, self._host, self.shards.placements, self.shards.runtimes
        )
        self._shard_context = self._build_shard_context()
        self._cache = FeedCache(reactor, settings.data_dir, self.base.disk, self.base.feed)
        self._ownership_return = OwnershipReturn()
        self._checks = PeriodicCall(reactor, CHECK_INTERVAL_S, self._reconcile_owned_groups)
        self._handlers = self._record_handlers()

    def _build_shard_context(self) -> ShardContext:
        bounds = self.settings.bounds
        return ShardContext(
            reactor=self._reactor,
            host=self._host,
            edges=self._edges,
            random=self.base.random,
            zone=self.settings.zone,
            owner_settings=OwnerSettings(
                visibility_timeout_ms=int(bounds.visible_ms),
                status_retention_s=bounds.status_s,
                rate_window_s=bounds.ceiling_window_s,
                rate_tolerance=bounds.origin_rate_over,
            ),
            wall_ms=self.base.wall_clock.wall_ms,
            has_capacity=DiskCapacity(self.base).has_capacity,
            borrow=self._quota.borrow,
        )

    # ---- life cycle

    def start(self) -> None:
        """Open the shards of the previous process from the feed cache, and start to follow the feed."""
        self._cache.load()
        self.base.start()
        self._checks.start()

    def stop(self) -> None:
        """Close all links; the disk stays open until `NodeBase.close_disk`."""
        self._checks.stop()
        self.base.stop()

    def transfer_shards(self) -> bool:
        """Start to transfer all owned shards; return whether any is still owned. May be repeated."""
        self.stopping = True
        owned = [group for group in self.shards.runtimes if self._host.is_owner(group)]
        for group in owned:
            self._host.transfer_leadership(group)
        return bool(owned)

    # ---- FeedListener

    def configuration_changed(self, table: RoutingTable) -> None:
        """Called when another version of the configuration is in force."""
        self.shards.configure(table)
        self._cache.save()

    def placement_changed(self, _generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        """Called when shards have other members; opens those that are placed here."""
        self.shards.apply_placement(self._shard_context, groups)
        self._cache.save()

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """Called with a new endpoint list; its job slots by service limit the leases in flight."""
        if update.entries is None:
            return
        slots: Counter[str] = Counter()
        for entry in update.entries:
            if not entry.draining:
                slots[entry.service] += entry.slots
        self.shards.set_capacities(dict(slots))

    # ---- LinkHandler

    def link_opened(self, link: Link) -> None:
        """Called when a peer has sent `Hello`, first on a link or again with another descriptor."""
        node = link.peer
        if node is None:
            return
        self.base.view.observe(self._reactor.seconds(), node)
        if node.kind is NodeKind.EDGE and not link.dialled:
            restarted = self._incarnations.get(node.name, node.incarnation) != node.incarnation
            self._incarnations[node.name] = node.incarnation
            self._edges.opened(node, link)
            self.shards.edge_connected(node, link, restarted=restarted)

    def link_closed(self, link: Link) -> None:
        """Called when a link has closed."""
        self.base.feed.link_closed(link)
        name = self._edges.closed(link)
        self.shards.edge_link_closed(name, link)

    def received(self, link: Link, record: Record) -> None:
        """Pass a record on to its handler; ignore kinds that have none in this role."""
        handle = self._handlers.get(type(record))
        if handle is not None:
            handle(link, record)

    def _record_handlers(self) -> dict[type, RecordHandler]:
        feed = self.base.feed
        return {
            GroupMessage: self.base.transport.received,
            FeedUpdate: feed.update_received,
            FeedRefused: feed.refusal_received,
            CatalogueUpdate: lambda _link, record: self.catalogue_updated(record),
            FeedSubscribe: lambda link, _record: link.send(FeedRefused("", feed.members)),
            AppendRequest: self._for_shard(ShardRequests.append),
            EndAttemptRequest: self._for_shard(ShardRequests.end_attempt),
            ExtendRequest: self._for_shard(ShardRequests.extend),
            PullRequest: self._for_shard(ShardRequests.pull),
            PullCancel: self._for_shard(ShardRequests.cancel_pull),
            StateRequest: self._for_shard(ShardRequests.find),
            TokenRequest: self._for_shard(ShardRequests.lend_tokens),
            StatusRequest: self._send_status,
            EventCountsRequest: lambda link, request: link.send(event_counts(request)),
            MembershipRequest: self._membership_requested,
            MembershipReport: lambda _link, record: self._garbage_collector.reported(record),
            CallbackReport: self._callback_reported,
        }

    def _for_shard(self, handle: Callable[[ShardRequests, Link, Any], None]) -> RecordHandler:
        """A handler that passes requests on to the shard that they name.

        It refuses requests to shards without a replica here.
        """

        def received(link: Link, request: Any) -> None:
            requests = self.shards.requests(request.group)
            if requests is not None:
                handle(requests, link, request)
            else:
                link.send(Refused(request.number, RefusalReason.NOT_OWNER))

        return received

    def _callback_reported(self, _link: Link, report: CallbackReport) -> None:
        requests = self.shards.requests(report.group)
        if requests is not None:
            requests.callback_report(report)

    def _membership_requested(self, link: Link, request: MembershipRequest) -> None:
        if request.group in self.shards.runtimes:
            self._reporter.respond(link, request)

    def _send_status(self, link: Link, request: StatusRequest) -> None:
        runtimes = self.shards.runtimes.items()
        groups = [group_status(self._host, group, runtime.state) for group, runtime in runtimes]
        link.send(node_status(self.base, request.number, ready=not self.stopping, groups=groups))

    # ---- periodic checks

    def _reconcile_owned_groups(self) -> None:
        for group, placement in self.shards.owned():
            self._membership_reconciler.reconcile(group)
            self._return_ownership(group, placement)
        self._garbage_collector.query_owners()

    def _return_ownership(self, group: str, placement: GroupPlacement) -> None:
        """Transfer a shard to its preferred member once that has been eligible for long enough."""
        preferred = placement.members[0].member
        eligible = (
            preferred != self.base.transport.member_id
            and preferred in self._host.members(group).voters
            and self._host.unresponsive_for(group, preferred) < RESPONSIVE_WITHIN_S
            and self._host.caught_up(group, preferred)
        )
        due = self._ownership_return.record_and_check_due(self._reactor.seconds(), group, eligible=eligible)
        if due and not self.stopping:
            log.info("event=ownership_transfer_started group={} to={}", group, preferred)
            self._host.transfer_leadership(group, preferred)
