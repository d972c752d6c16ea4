"""The life of a storage process: leaving in order."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook

from bitternpath.roles.machine import Machine
from bitternpath.roles.settings import Settings
from bitternpath.roles.storage import StorageNode

log = logbook.Logger("storage")

HAND_OVER_S = 1.5  # then the shards' other replicas elect an owner by themselves
LOOK_S = 0.05
FLUSH_S = 0.1  # for what was sent last


class StorageProcess:
    """One storage process (see `roles.process.Role`)."""

    def __init__(self, reactor: Any, settings: Settings, machine: Machine | None = None) -> None:
        self.reactor = reactor
        self.node = StorageNode(reactor, settings, machine)
        self._give_up_at = 0.0

    def listen(self) -> None:
        """Open the internal port; raises `CannotListenError`, and may be called again then."""
        self.node.base.listen()

    def start(self) -> None:
        """Take part."""
        self.node.start()
        log.info("event=listening node={}", self.node.settings.node_name)

    def reload(self) -> None:
        """Read the settings again."""
        self.node.base.reload()

    def shut_down(self, finished: Callable[[], None]) -> None:
        """Pass the owned shards on, then end."""
        log.info("event=shutting_down")
        self._give_up_at = self.reactor.seconds() + HAND_OVER_S
        self._look(finished)

    def _look(self, finished: Callable[[], None]) -> None:
        if self.node.hand_over() and self.reactor.seconds() < self._give_up_at:
            self.reactor.callLater(LOOK_S, self._look, finished)
            return
        log.info("event=stopped memory_mb={:.0f}", self.node.base.memory_peak_mb())
        self.reactor.callLater(FLUSH_S, self._end, finished)

    def _end(self, finished: Callable[[], None]) -> None:
        self.node.stop()
        self.reactor.callLater(LOOK_S, self._close, finished)

    def _close(self, finished: Callable[[], None]) -> None:
        self.node.base.close_disk()
        finished()
