"""Workers taken out by hand: what staff say, what is on disk and what the registry makes of it, in step."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import structlog

from bitternpath.balancer.core.endpoint_registry import BY_OPERATOR, EndpointRegistry
from bitternpath.balancer.store.ejection_files import EjectionFiles

log = structlog.get_logger(part="bans")

# s between looks at the folder, in which another process of the node may have made or removed a ban: what it
# has said yes to has to be kept here within the drain's grace, 2 s on the platform.
LOOK_EVERY = 0.25


class ManualEjections:
    """The registry's bans are those on disk."""

    def __init__(
        self, reactor: Any, clock: Callable[[], float], registry: EndpointRegistry, store: EjectionFiles
    ) -> None:
        self.reactor, self.clock, self.registry, self.store = reactor, clock, registry, store

    def run(self) -> None:
        """Keep in step from now on."""
        self.look()
        self.reactor.callLater(LOOK_EVERY, self.run)

    def look(self) -> None:
        try:
            found = self.store.read()
        except FileNotFoundError:
            return  # nobody was ever taken out, or the folder is gone: that calls nobody back
        except OSError as error:
            log.warning("cannot read who is out", folder=str(self.store.folder), why=error)
            return
        held = self.registry.ejected_by(BY_OPERATOR)
        for id in found.keys() - held:
            self.registry.eject(id, found[id])
        for id in held:
            if id not in found:
                self.registry.reinstate(id, self.clock())

    def eject(self, id: str) -> bool:
        """Take a worker out; False where nobody has that id, OSError where it cannot be stored."""
        if not self.registry.knows(id):
            return False
        self.store.add(id)
        self.registry.eject(id, self.clock())
        return True

    def reinstate(self, id: str) -> bool:
        """Call a worker back; False where nobody has that id, OSError where it stays out."""
        if not self.registry.knows(id):
            return False
        self.store.remove(id)
        self.registry.reinstate(id, self.clock())
        return True
