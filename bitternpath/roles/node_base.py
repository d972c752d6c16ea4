"""What both roles have in common: identity, links, membership, the feed, replica groups."""

from __future__ import annotations

import resource
from typing import Any

import logbook
from msgspec.structs import replace
from twisted.internet.error import CannotListenError

from bitternpath.configuration.feed import FeedClient, FeedListener
from bitternpath.membership.bootstrap import BOOTSTRAP_DOCUMENT, BootstrapFile
from bitternpath.membership.gossip import Gossip
from bitternpath.membership.view import MembershipView
from bitternpath.replication.host import ReplicaHost
from bitternpath.roles.group_carrier import GroupTransport
from bitternpath.roles.machine import Machine
from bitternpath.roles.settings import Settings, SettingsError
from bitternpath.roles.wall_clock import SteadyWallClock
from bitternpath.storage.documents import HEADER_BYTES, CorruptDocumentError
from bitternpath.storage.journal import Journal
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.transport.codec import CodecError
from bitternpath.transport.connections import LinkHandler, NodeHub
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

log = logbook.Logger("node")

DISK_SHARE_OF_LOG = 0.35  # of the disk, before the journal is written anew


class NodeBase:
    """The parts that a process of either role is made of."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        kind: NodeKind,
        links: LinkHandler,
        feed: FeedListener,
        machine: Machine,
    ) -> None:
        self.reactor, self.settings = reactor, settings
        self.machine, self.random = machine, machine.random
        self.disk = None if settings.data_dir is None else machine.disk(settings.data_dir)
        disk = _identity(settings, self.disk)
        me = NodeDescriptor(
            name=settings.node_name,
            address=settings.internal_address,
            kind=kind,
            zone=settings.zone,
            counted=bool(disk) and (settings.counted or kind is NodeKind.STORAGE),
            disk=disk,
            incarnation=machine.wall_ms(),
            heartbeat=0,
        )
        self.wall_clock = SteadyWallClock(machine.wall_ms, reactor.seconds)
        self.view = MembershipView(me, settings.seed_addresses, self.random, reactor.seconds())
        self.hub = NodeHub(reactor, links, lambda: self.view.local_node, self.random)
        self.gossip = Gossip(reactor, self.view)
        self.feed = FeedClient(reactor, self.hub, feed, self._feed_candidates, wants_catalogue=True)
        self.transport = GroupTransport(f"{me.name}/{disk}", self.hub, self.view)
        self.journal: Journal | None = None
        self.host: ReplicaHost | None = None
        if self.disk is not None:
            self.host = self._open_host(self.disk)
        self._udp: Any = None

    def listen(self) -> None:
        """Open the internal port; raises `CannotListenError`, and may be called again then."""
        host, _, port = self.settings.internal_address.rpartition(":")
        self.hub.listen(host, int(port))
        try:
            self._udp = self.reactor.listenUDP(int(port), self.gossip, interface=host)
        except CannotListenError:
            self.hub.stop()
            raise

    def start(self) -> None:
        """Look for other nodes; they can reach this one since `listen`."""
        self.feed.start()

    def stop(self) -> None:
        """Close all links; what is on disk stays, and what waits to be written waits for `close_disk`."""
        self.feed.stop()
        self.gossip.stop()
        if self.host is not None:
            self.host.stop()
        self.hub.stop()

    def close_disk(self) -> None:
        """Write what waits and close the files. Blocks up to 2 s: only once the links have been closed."""
        journal, self.journal = self.journal, None
        if journal is not None:
            journal.close()

    def leave(self) -> None:
        """Tell the others that this node is about to stop."""
        self.view.local_node = replace(self.view.local_node, draining=True)
        self.hub.announce()

    def reload(self) -> None:
        """The settings file has changed: seeds may be others. One that can't be read changes nothing."""
        try:
            settings = self.machine.load_settings()
        except SettingsError as error:
            log.warning("event=settings_not_read error={!r}", str(error))
            return
        self.view.seeds = settings.seed_addresses
        log.info("event=settings_read seeds={}", len(settings.seeds))

    def memory_peak_mb(self) -> float:
        """Peak resident memory of this process."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024

    def _open_host(self, disk: NodeDisk) -> ReplicaHost:
        disk_bytes = self.settings.disk_mb << 20
        bound = int(disk_bytes * DISK_SHARE_OF_LOG) or (64 << 20)
        self.journal = disk.open_journal(self.reactor, bound)
        host = ReplicaHost(
            self.reactor,
            self.transport.me,
            self.journal,
            self.transport.send,
            self.random,
            bounds=self.machine.compaction(disk_bytes),
            flushed=self.hub.flush,
        )
        self.transport.connect(host.receive)
        return host

    def _feed_candidates(self) -> list[str]:
        """Where the configuration's owner may be: counted edge nodes, then anybody."""
        counted = [node.address for node in self.view.counted_edges()]
        seeds = [address for address in self.settings.seed_addresses if address not in counted]
        return counted + seeds


def _identity(settings: Settings, disk: NodeDisk | None) -> str:
    """The disk's identity, "" without a disk. Nothing is read of a disk before this."""
    if settings.data_dir is None or disk is None:
        return ""
    identity = disk.load_identity()
    try:
        BootstrapFile(settings.data_dir, disk).load()  # it is read later; whether it can be is known now
    except CodecError as error:
        raise CorruptDocumentError(
            settings.data_dir / BOOTSTRAP_DOCUMENT, HEADER_BYTES, str(error)
        ) from error
    return identity
