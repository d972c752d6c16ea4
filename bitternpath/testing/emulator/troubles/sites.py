"""A whole site lost, with or without its nodes; links cut one way or both."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import Active, trouble


@trouble("site-loss")
def site_loss(world: Any, active: Active, random: Random) -> None:
    """All workers of a site go, silently or as processes that die, and come back cold; `nodes` takes those
    along."""
    workers = [w for w in world.workers.values() if w.site == active.site and w.up]
    nodes = [n for n in world.nodes.values() if n.site == active.site and n.up] if active.nodes else []
    active.on = [active.site]
    for worker in workers:
        world.end_process(worker, active.silent)
    for node in nodes:
        node.kill()

    def undo() -> None:
        stale = world.directory.whole()
        for worker in workers:
            if not worker.up:
                world.start_process(worker)
        for node in nodes:
            node.start(stale)

    active.undo = undo


@trouble("link-cut")
def link_cut(world: Any, active: Active, random: Random) -> None:
    """From `site` nothing reaches `other` (drawn where it is empty); with `size` of 2 nor the other way."""
    others = [site.name for site in world.scenario.sites if site.name != active.site]
    if not others:
        return
    active.other = active.other or random.choice(others)
    active.on = [active.site, active.other]
    ways = [(active.site, active.other), (active.other, active.site)][: 2 if active.size >= 2 else 1]
    for way in ways:
        world.net.cut(*way)

    def undo() -> None:
        for way in ways:
            world.net.mend(*way)

    active.undo = undo


@trouble("slow-link")
def slow_link(world: Any, active: Active, random: Random) -> None:
    """Between `site` and all others messages take `size` times as long."""
    ways = []
    for site in world.scenario.sites:
        if site.name != active.site:
            ways += [(active.site, site.name), (site.name, active.site)]
    active.on = [active.site]
    for way in ways:
        world.net.slower[way] = active.size

    def undo() -> None:
        for way in ways:
            world.net.slower.pop(way, None)

    active.undo = undo
