"""A storage node as a process: its start and its graceful shutdown."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from bitternpath.net.reactor import NodeReactor
from bitternpath.roles.environment import ProcessEnvironment
from bitternpath.roles.settings import Settings
from bitternpath.roles.storage import StorageNode

log = logbook.Logger("storage")

TRANSFER_TIMEOUT_S = 1.5  # for the transfer of owned shards; after it, other replicas elect an owner
CHECK_INTERVAL_S = 0.05  # between checks whether all shards have been transferred
FLUSH_DELAY_S = 0.1  # time to send the last records
LINKS_CLOSE_DELAY_S = 0.05  # from closing the links to closing the disk, which blocks


class StorageProcess:
    """One storage process. Implements `roles.process.Role`."""

    def __init__(
        self, reactor: NodeReactor, settings: Settings, environment: ProcessEnvironment | None = None
    ) -> None:
        """Raises the same exceptions as `StorageNode`."""
        self.node = StorageNode(reactor, settings, environment)
        self._reactor = reactor
        self._transfer_deadline = 0.0

    def listen(self) -> None:
        """Open the internal port; may be called again after `CannotListenError`."""
        self.node.base.listen()

    def start(self) -> None:
        """Start to take part in the system."""
        self.node.start()
        log.info("event=listening node={}", self.node.settings.node_name)

    def reload(self) -> None:
        """Reload the settings file."""
        self.node.base.reload()

    def shut_down(self, finished: Callable[[], None]) -> None:
        """Transfer the owned shards, close the links, then the disk, and call `finished()`."""
        log.info("event=shutdown_started")
        self._transfer_deadline = self._reactor.seconds() + TRANSFER_TIMEOUT_S
        self._transfer_shards(finished)

    def _transfer_shards(self, finished: Callable[[], None]) -> None:
        if self.node.transfer_shards() and self._reactor.seconds() < self._transfer_deadline:
            self._reactor.callLater(CHECK_INTERVAL_S, self._transfer_shards, finished)
            return
        log.info("event=shutdown_completed memory_mb={:.0f}", self.node.base.memory_peak_mb())
        self._reactor.callLater(FLUSH_DELAY_S, self._close_links, finished)

    def _close_links(self, finished: Callable[[], None]) -> None:
        self.node.stop()
        self._reactor.callLater(LINKS_CLOSE_DELAY_S, self._close_disk, finished)

    def _close_disk(self, finished: Callable[[], None]) -> None:
        self.node.base.close_disk()
        finished()
