"""burst: traffic jumps to `size` times the usual, of one site where `site` is given; rude: clients that
never wait."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import Active, trouble


@trouble("burst")
def burst(world: Any, active: Active, random: Random) -> None:
    world.clients.burst *= active.size

    def undo() -> None:
        world.clients.burst /= active.size

    active.undo = undo


@trouble("site-burst")
def site_burst(world: Any, active: Active, random: Random) -> None:
    """The same for one site."""
    bursts = world.clients.site_burst
    bursts[active.site] = bursts.get(active.site, 1.0) * active.size

    def undo() -> None:
        bursts[active.site] /= active.size

    active.undo = undo


@trouble("rude")
def rude(world: Any, active: Active, random: Random) -> None:
    """Clients come back the moment they are turned away, whatever they are told."""
    import msgspec

    before = world.clients.habits
    world.clients.habits = msgspec.structs.replace(
        before, honour=0.0, backoff_ms=1.0, retries=max(before.retries, round(active.size))
    )

    def undo() -> None:
        world.clients.habits = before

    active.undo = undo


@trouble("leave")
def leave(world: Any, active: Active, random: Random) -> None:
    """A part of the clients goes away before its time."""
    import msgspec

    before = world.clients.habits
    world.clients.habits = msgspec.structs.replace(before, leave=active.part)

    def undo() -> None:
        world.clients.habits = before

    active.undo = undo
