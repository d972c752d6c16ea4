"""Load bursts (`burst`, `site-burst`: the rate times `size`) and badly behaved clients (`rude`, `leave`)."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import ActiveFault, register_fault


@register_fault("burst")
def burst(world: Any, fault: ActiveFault, random: Random) -> None:
    world.clients.burst *= fault.size

    def undo() -> None:
        world.clients.burst /= fault.size

    fault.undo = undo


@register_fault("site-burst")
def site_burst(world: Any, fault: ActiveFault, random: Random) -> None:
    """Like `burst`, for one site."""
    bursts = world.clients.site_burst
    bursts[fault.site] = bursts.get(fault.site, 1.0) * fault.size

    def undo() -> None:
        bursts[fault.site] /= fault.size

    fault.undo = undo


@register_fault("rude")
def rude(world: Any, fault: ActiveFault, random: Random) -> None:
    """Clients retry at once when refused and ignore Retry-After."""
    import msgspec

    previous = world.clients.behavior
    world.clients.behavior = msgspec.structs.replace(
        previous, honour=0.0, backoff_ms=1.0, retries=max(previous.retries, round(fault.size))
    )

    def undo() -> None:
        world.clients.behavior = previous

    fault.undo = undo


@register_fault("leave")
def leave(world: Any, fault: ActiveFault, random: Random) -> None:
    """A share (`part`) of the clients disconnects before the timeout."""
    import msgspec

    previous = world.clients.behavior
    world.clients.behavior = msgspec.structs.replace(previous, leave=fault.part)

    def undo() -> None:
        world.clients.behavior = previous

    fault.undo = undo
