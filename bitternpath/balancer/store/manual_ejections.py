"""Manual ejections: keeps operators' commands, the files on disk and the registry consistent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from bitternpath.balancer.core.endpoint_registry import BY_OPERATOR, EndpointRegistry
from bitternpath.balancer.store.ejection_files import EjectionFiles

log = structlog.get_logger(part="manual_ejections")

# s between polls of the folder: another process of the node may change ejections, and a change that it has
# confirmed must take effect here within the drain grace time, 2 s on the platform.
POLL_INTERVAL = 0.25


class ManualEjections:
    """Applies the ejections on disk to the registry, and operators' commands to both."""

    def __init__(
        self, reactor: Any, clock: Callable[[], float], registry: EndpointRegistry, store: EjectionFiles
    ) -> None:
        self.reactor, self.clock, self.registry, self.store = reactor, clock, registry, store

    def run(self) -> None:
        """Start polling the folder."""
        self.poll()
        self.reactor.callLater(POLL_INTERVAL, self.run)

    def poll(self) -> None:
        """Apply the current ejections on disk."""
        try:
            stored = self.store.read()
        except FileNotFoundError:
            return  # nothing was ever ejected, or the folder was removed; reinstates nothing
        except OSError as error:
            log.warning("manual_ejections_read_failed", folder=str(self.store.folder), why=error)
            return
        ejected = self.registry.ejected_by(BY_OPERATOR)
        for id in stored.keys() - ejected:
            self.registry.eject(id, stored[id])
        for id in ejected:
            if id not in stored:
                self.registry.reinstate(id, self.clock())

    def eject(self, id: str) -> bool:
        """Eject an endpoint; False if the id is unknown. Raises OSError if it cannot be stored."""
        if not self.registry.is_known(id):
            return False
        self.store.add(id)
        self.registry.eject(id, self.clock())
        return True

    def reinstate(self, id: str) -> bool:
        """Reinstate an endpoint; False if the id is unknown. Raises OSError if it remains ejected."""
        if not self.registry.is_known(id):
            return False
        self.store.remove(id)
        self.registry.reinstate(id, self.clock())
        return True
