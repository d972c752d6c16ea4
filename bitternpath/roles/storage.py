"""The storage role: replicas of queue shards, and their owners."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import logbook

from bitternpath.configuration.documents import RoutingTable
from bitternpath.configuration.feed import pack_document
from bitternpath.queue.owner import OwnerSettings
from bitternpath.replication.member_changes import MemberChanges
from bitternpath.replication.records import Members
from bitternpath.roles.edge_links import EdgeLinks
from bitternpath.roles.lenders import Lenders
from bitternpath.roles.machine import LocalMachine, Machine
from bitternpath.roles.node_base import NodeBase
from bitternpath.roles.replica_garbage_collection import ReplicaGarbageCollector
from bitternpath.roles.settings import Settings, SettingsError
from bitternpath.roles.shard_runtime import ShardRuntime
from bitternpath.roles.status import group_status, node_status
from bitternpath.storage.document_writer import DocumentWriter
from bitternpath.storage.documents import CorruptDocumentError
from bitternpath.transport.codec import RecordCodec
from bitternpath.transport.connections import Link
from bitternpath.transport.feed_messages import CatalogueUpdate, FeedRefused, FeedSubscribe, FeedUpdate
from bitternpath.transport.group_messages import (
    GroupMessage,
    GroupPlacement,
    MembershipReport,
    MembershipRequest,
)
from bitternpath.transport.node_messages import NodeKind
from bitternpath.transport.operator_messages import StatusRequest
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

LOOK_S = 0.25  # how often owners look for what no event tells: silence, and members that are fit again
HEARD_LATELY_S = 0.5  # two heartbeats of a group, and some
PREFER_AFTER_S = 6.0  # of being fit without a break, before ownership goes back to the preferred member
PREFER_MOST_S = 300.0  # doubled up to that by each hand-over of a shard: one that comes back was no gain
SNAPSHOT_SHARE = 0.7  # of the disk: likewise, of all snapshots and the next of the largest one
FULL_SHARE = 0.75  # of the disk: from there on no message is taken
CACHE_NAME = "feed"  # what the feed brought last, so that shards open without the configuration group

_CACHE = RecordCodec(FeedUpdate)


class StorageNode:
    """One storage process. Implements `LinkHandler` and `FeedListener`."""

    def __init__(self, reactor: Any, settings: Settings, machine: Machine | None = None) -> None:
        if settings.data_dir is None:
            raise SettingsError("data_dir: is missing; a storage node needs a folder")
        self.reactor, self.settings = reactor, settings
        self.base = NodeBase(reactor, settings, NodeKind.STORAGE, self, self, machine or LocalMachine())
        assert self.base.host is not None and self.base.disk is not None
        self._disk = self.base.disk
        self.host = self.base.host
        self.edges = EdgeLinks()
        self.shards: dict[str, ShardRuntime] = {}
        self.placements: dict[str, GroupPlacement] = {}
        self.stopping = False
        self.changes = MemberChanges(self.host, self._report)
        self.closing = ReplicaGarbageCollector(
            reactor, self.base.hub, self.host, self.placements, self._close
        )
        self.lenders = Lenders(reactor, self.base.hub, self.host, self.placements, self.shards)
        self._cache = DocumentWriter(reactor, settings.data_dir / CACHE_NAME, self._disk)
        self._slots: dict[str, int] | None = None
        self._patience: dict[str, float] = {}
        self._fit_since: dict[str, float] = {}
        self._lives: dict[str, int] = {}
        self._bounds = OwnerSettings(
            visible_ms=int(settings.bounds.visible_ms),
            status_s=settings.bounds.status_s,
            ceiling_window_s=settings.bounds.ceiling_window_s,
            origin_rate_over=settings.bounds.origin_rate_over,
        )
        self._timer: Any = None
        self._handlers = self._link_handlers()

    def start(self) -> None:
        """Open the shards that were here before, and look for the system."""
        self._load_cache()
        self.base.start()
        self._look()

    def stop(self) -> None:
        """Close all."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.base.stop()

    def hand_over(self) -> bool:
        """Pass on all shards that this node owns; whether it owns any still."""
        self.stopping = True
        owned = [group for group in self.shards if self.host.is_owner(group)]
        for group in owned:
            self.host.transfer_leadership(group)
        return bool(owned)

    # ---- FeedListener

    def configuration_changed(self, table: RoutingTable) -> None:
        """Another configuration is in force here."""
        for shard in self.shards.values():
            shard.configure(table)
        self._store_cache()

    def placement_changed(self, generation: int, groups: tuple[GroupPlacement, ...]) -> None:
        """Shards have other members: open those that are to be here."""
        self._place(groups)
        self._store_cache()

    def catalogue_updated(self, update: CatalogueUpdate) -> None:
        """The platform's list was read: the slots of each service bound the leases that are out."""
        if update.entries is None:
            return
        slots: Counter[str] = Counter()
        for entry in update.entries:
            if not entry.draining:
                slots[entry.service] += entry.slots
        self._slots = dict(slots)
        for shard in self.shards.values():
            shard.set_capacities(self._slots)

    def _place(self, groups: tuple[GroupPlacement, ...]) -> None:
        """Open what is to be here, and what is on the disk: whoever is to leave may be needed still."""
        me = self.base.transport.me
        for placement in groups:
            self.placements[placement.group] = placement
            self.base.transport.learn(placement.members)
            named = any(member.member == me for member in placement.members)
            wanted = named or self.host.has_unopened_state(placement.group)
            if wanted and placement.group not in self.shards:
                self._open(placement, len(groups))
            if wanted:
                self.base.transport.reach(placement.members)
            members = [member.member for member in placement.members]
            self.changes.set_desired(placement.group, members, placement.generation)

    def _open(self, placement: GroupPlacement, shards: int) -> None:
        """Take part in a shard's group. Only its first placement names its founders, each by its disk: a
        disk that came later isn't named, and one that has given up its replica founds nothing."""
        founders = None
        if placement.generation == 1:
            founders = Members(tuple(member.member for member in placement.members), (), 1)
        shard = ShardRuntime(
            self.reactor,
            self.host,
            placement.group,
            shards,
            self.settings.zone,
            self._bounds,
            self.edges,
            self._has_room,
            self.base.random,
            self.base.wall_clock.wall_ms,
            self.lenders.borrow,
        )
        self.shards[placement.group] = shard
        if self.base.feed.table is not None:
            shard.configure(self.base.feed.table)
        if self._slots is not None:
            shard.set_capacities(self._slots)
        self.host.open_group(placement.group, shard.state, founders, shard)
        self.changes.group_opened(placement.group)

    def _close(self, group: str, generation: int) -> None:
        """The shard's members are committed without this node."""
        self.host.close_group(group, generation)
        del self.shards[group]

    # ---- LinkHandler

    def link_opened(self, link: Link) -> None:
        """A peer has introduced itself."""
        node = link.peer
        if node is None:
            return
        self.base.view.observe(self.reactor.seconds(), node)
        if node.kind is NodeKind.EDGE and not link.dialled:
            new_life = self._lives.get(node.name, node.incarnation) != node.incarnation
            self._lives[node.name] = node.incarnation
            self.edges.opened(node, link)
            for shard in self.shards.values():
                shard.edge_opened(node, link, new_life)

    def link_closed(self, link: Link) -> None:
        """A link has ended."""
        self.base.feed.closed(link)
        name = self.edges.closed(link)
        for shard in self.shards.values():
            shard.edge_closed(name, link)

    def received(self, link: Link, record: Any) -> None:
        """A record from another node."""
        handle = self._handlers.get(type(record))
        if handle is not None:
            handle(link, record)

    def _link_handlers(self) -> dict[type, Callable[[Link, Any], None]]:
        feed = self.base.feed
        return {
            GroupMessage: self.base.transport.received,
            FeedUpdate: feed.updated,
            FeedRefused: feed.refused,
            CatalogueUpdate: lambda link, record: self.catalogue_updated(record),
            FeedSubscribe: lambda link, record: link.send(FeedRefused("", feed.members)),
            AppendRequest: self._for_shard(ShardRuntime.append),
            EndAttemptRequest: self._for_shard(ShardRuntime.end),
            ExtendRequest: self._for_shard(ShardRuntime.extend),
            PullRequest: self._for_shard(ShardRuntime.pull),
            PullCancel: self._for_shard(ShardRuntime.cancel_pull),
            StateRequest: self._for_shard(ShardRuntime.find),
            TokenRequest: self._for_shard(ShardRuntime.tokens_asked),
            StatusRequest: self._status,
            MembershipRequest: self._members_asked,
            MembershipReport: lambda link, record: self.closing.reported(record),
            CallbackReport: self._for_shard(lambda shard, link, report: shard.callback_report(report)),
        }

    def _for_shard(self, handle: Callable[[ShardRuntime, Link, Any], None]) -> Callable[[Link, Any], None]:
        def received(link: Link, record: Any) -> None:
            shard = self.shards.get(record.group)
            if shard is not None:
                handle(shard, link, record)
            elif hasattr(record, "number"):
                link.send(Refused(record.number, RefusalReason.NOT_OWNER))

        return received

    def _status(self, link: Link, request: StatusRequest) -> None:
        groups = [group_status(self.host, group, shard.state) for group, shard in self.shards.items()]
        link.send(node_status(self.base, request.number, not self.stopping, groups))

    # ---- looking after groups

    def _look(self) -> None:
        self._timer = self.reactor.callLater(LOOK_S, self._look)
        for group, placement in self.placements.items():
            if group in self.shards and self.host.is_owner(group):
                self.changes.reconcile(group)
                self._prefer_owner(group, placement)
        self.closing.ask()

    def _prefer_owner(self, group: str, placement: GroupPlacement) -> None:
        """Ownership goes to the member that the placement names first, once it is there and up to date.

        So each node owns its share of the shards again after others were away, and edge nodes find an owner
        in their zone. It must have been heard for a while, so that ownership doesn't move to and fro.
        """
        preferred = placement.members[0].member
        fit = (
            preferred != self.base.transport.me
            and preferred in self.host.members(group).voters
            and self.host.unresponsive_for(group, preferred) < HEARD_LATELY_S
            and self.host.caught_up(group, preferred)
        )
        now = self.reactor.seconds()
        since = self._fit_since.setdefault(group, now) if fit else now
        if not fit:
            self._fit_since.pop(group, None)
        elif now - since >= self._patience.get(group, PREFER_AFTER_S) and not self.stopping:
            self._fit_since.pop(group, None)
            self._patience[group] = min(2 * self._patience.get(group, PREFER_AFTER_S), PREFER_MOST_S)
            log.info("event=ownership_transfer_started group={} to={}", group, preferred)
            self.host.transfer_leadership(group, preferred)

    def _report(self, group: str) -> None:
        """Tell the configuration's owner who the members are, where no change is under way."""
        link = self.base.feed.owner_link()
        if link is not None:
            self._send_report(link, group)

    def _members_asked(self, link: Link, request: MembershipRequest) -> None:
        """A replica that is to leave asks whether it may; confirmed by a majority, as it may be the last."""
        if request.group in self.shards:
            self.host.read_barrier(request.group).addCallbacks(
                lambda _: self._send_report(link, request.group), lambda _: None
            )

    def _send_report(self, link: Link, group: str) -> None:
        members = self.host.committed_members(group)
        if members is not None:
            link.send(MembershipReport(group, self.host.epoch(group), members.all, members.generation))

    def _has_room(self) -> bool:
        """Whether the disk can take more messages."""
        journal = self.base.journal
        if journal is None or journal.failing:
            return False
        disk = self.settings.disk_mb << 20
        if not disk:
            return True
        return (
            journal.bytes_used < disk * FULL_SHARE and journal.snapshot_bytes_required < disk * SNAPSHOT_SHARE
        )

    # ---- the feed's cache

    def _load_cache(self) -> None:
        """Begin from what was heard last. A cache that can't be read is dropped; the feed brings it all."""
        try:
            data = self._disk.read_document(CACHE_NAME)
            if data is None:
                return
            update: FeedUpdate = _CACHE.decode(data)
            self.base.feed.restore(update)
        except (CorruptDocumentError, ValueError) as error:  # of the codec, or of the configuration in it
            log.warning("event=cache_dropped error={!r}", str(error))
            self._disk.remove_document(CACHE_NAME)
            return
        log.info(
            "event=cache_read version={} generation={}",
            update.configuration_version,
            update.placement_generation,
        )

    def _store_cache(self) -> None:
        feed = self.base.feed
        document = pack_document(json.dumps(feed.document).encode()) if feed.document else None
        update = FeedUpdate(
            0, feed.version, document, feed.placement_generation, feed.groups, feed.edge_node_count
        )
        self._cache.write(_CACHE.encode(update))
