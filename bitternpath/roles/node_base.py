"""The components common to both roles: disk, identity, links, membership, feed and replica groups."""

from __future__ import annotations

import resource
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook
from msgspec.structs import replace
from twisted.internet.error import CannotListenError

from bitternpath.configuration.feed_client import FeedClient, FeedListener
from bitternpath.membership.bootstrap import BOOTSTRAP_DOCUMENT, BootstrapFile
from bitternpath.membership.gossip import Gossip
from bitternpath.membership.view import MembershipView
from bitternpath.net.reactor import NodeReactor
from bitternpath.replication.host import HostOptions, ReplicaHost
from bitternpath.replication.interfaces import MessageTransport
from bitternpath.roles.environment import LocalEnvironment, ProcessEnvironment
from bitternpath.roles.group_transport import GroupTransport
from bitternpath.roles.settings import Settings
from bitternpath.roles.settings_reader import SettingsError
from bitternpath.roles.wall_clock import SteadyWallClock
from bitternpath.storage.documents import HEADER_BYTES
from bitternpath.storage.errors import CorruptDocumentError
from bitternpath.storage.journal import Journal
from bitternpath.storage.node_disk import NodeDisk
from bitternpath.transport.errors import CodecError
from bitternpath.transport.hub import NodeHub
from bitternpath.transport.links import Link, LinkHandler
from bitternpath.transport.node_messages import NodeDescriptor, NodeKind

log = logbook.Logger("node")

JOURNAL_DISK_SHARE = 0.35  # size, as a share of the disk, at which a checkpoint replaces the journal
DEFAULT_JOURNAL_BYTES = 64 << 20  # the same limit if the size of the disk is unknown

RecordHandler = Callable[[Link, Any], None]  # handles records of one kind


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """What a process provides to its node. Without an environment, the operating system's is used."""

    reactor: NodeReactor
    settings: Settings
    environment: ProcessEnvironment | None = None


class NodeBase:
    """Assembles the common components.

    Attributes:
        disk: None for a node without a data folder; `journal` and `host` are then None, too.
        journal: the write-ahead log of all replica groups; None again once the disk is closed.
        host: the replica groups in which this node takes part.
        view: the nodes of the system, learned by gossip.
        hub: links to other nodes.
        feed: follows the configuration group.
        transport: carries the messages of replica groups.
        wall_clock: wall-clock time that doesn't step.
        random: the process's only source of randomness.
    """

    def __init__(
        self, context: ProcessContext, kind: NodeKind, link_handler: LinkHandler, feed_listener: FeedListener
    ) -> None:
        """Open the disk; raises `OSError`, `CorruptJournalError` and `CorruptDocumentError`."""
        reactor = context.reactor
        settings = context.settings
        environment = context.environment or LocalEnvironment()
        self.settings = settings
        self.random = environment.random
        self._reactor = reactor
        self._environment = environment
        self.disk = None if settings.data_dir is None else environment.disk(settings.data_dir)
        identity = _load_identity(settings, self.disk)
        node = NodeDescriptor(
            name=settings.node_name,
            address=settings.internal_address,
            kind=kind,
            zone=settings.zone,
            counted=bool(identity) and (settings.counted or kind is NodeKind.STORAGE),
            disk=identity,
            incarnation=environment.wall_ms(),
            heartbeat=0,
        )
        self.wall_clock = SteadyWallClock(environment.wall_ms, reactor.seconds)
        self.view = MembershipView(node, settings.seed_addresses, self.random, reactor.seconds())
        self.hub = NodeHub(reactor, link_handler, lambda: self.view.local_node, self.random)
        self.gossip = Gossip(reactor, self.view)
        self.feed = FeedClient(reactor, self.hub, feed_listener, self._feed_candidates, wants_catalogue=True)
        self.transport = GroupTransport(f"{node.name}/{identity}", self.hub, self.view)
        self.journal: Journal | None = None
        self.host: ReplicaHost | None = None
        if self.disk is not None:
            self.host = self._open_host(self.disk)

    def listen(self) -> None:
        """Open the internal port, TCP and UDP; may be called again after `CannotListenError`."""
        host, _, port = self.settings.internal_address.rpartition(":")
        self.hub.listen(host, int(port))
        try:
            self._reactor.listenUDP(int(port), self.gossip, interface=host)
        except CannotListenError:
            self.hub.stop()
            raise

    def start(self) -> None:
        """Start to follow the feed; other nodes can connect to this one since `listen`."""
        self.feed.start()

    def stop(self) -> None:
        """Close all links. The disk stays open: `close_disk` writes what is still queued."""
        self.feed.stop()
        self.gossip.stop()
        if self.host is not None:
            self.host.stop()
        self.hub.stop()

    def close_disk(self) -> None:
        """Write what is queued and close the files. Blocks for up to 2 s, so links must be closed first."""
        journal = self.journal
        self.journal = None
        if journal is not None:
            journal.close()

    def announce_draining(self) -> None:
        """Announce to all peers that this node is about to stop."""
        self.view.local_node = replace(self.view.local_node, draining=True)
        self.hub.announce()

    def reload(self) -> None:
        """Reload the settings file. Only `seeds` takes effect; a file with an error changes nothing."""
        try:
            settings = self._environment.load_settings()
        except SettingsError as error:
            log.warning("event=settings_reload_failed error={!r}", str(error))
            return
        self.view.seeds = settings.seed_addresses
        log.info("event=settings_reloaded seeds={}", len(settings.seeds))

    def memory_peak_mb(self) -> float:
        """Peak resident memory of this process in MiB."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024

    def _open_host(self, disk: NodeDisk) -> ReplicaHost:
        disk_bytes = self.settings.disk_mb << 20
        checkpoint_bytes = int(disk_bytes * JOURNAL_DISK_SHARE) or DEFAULT_JOURNAL_BYTES
        self.journal = disk.open_journal(self._reactor, checkpoint_bytes)
        host = ReplicaHost(
            self._reactor,
            self.transport.member_id,
            self.journal,
            MessageTransport(self.transport.send, self.hub.flush),
            HostOptions(self.random, bounds=self._environment.compaction(disk_bytes)),
        )
        self.transport.connect(host.receive)
        return host

    def _feed_candidates(self) -> list[str]:
        """Addresses where the configuration's owner may be: counted edge nodes, then the seeds."""
        counted = [node.address for node in self.view.counted_edges()]
        seeds = [address for address in self.settings.seed_addresses if address not in counted]
        return counted + seeds


def _load_identity(settings: Settings, disk: NodeDisk | None) -> str:
    """The disk's identity, "" without a disk. It is read before anything else on the disk.

    The bootstrap decision is read only to detect damage now, while the process can still quarantine the disk.
    """
    if settings.data_dir is None or disk is None:
        return ""
    identity = disk.load_identity()
    try:
        BootstrapFile(settings.data_dir, disk).load()
    except CodecError as error:
        raise CorruptDocumentError(
            settings.data_dir / BOOTSTRAP_DOCUMENT, HEADER_BYTES, str(error)
        ) from error
    return identity
