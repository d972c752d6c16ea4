"""Loss of a whole site, with or without its nodes; partitions in one direction or both; slow links."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import ActiveFault, register_fault


@register_fault("site-loss")
def site_loss(world: Any, fault: ActiveFault, random: Random) -> None:
    """All workers of a site become unreachable or die (`silent`) and come back cold; with `nodes` the site's
    nodes are killed as well."""
    workers = [w for w in world.workers.values() if w.site == fault.site and w.alive]
    nodes = [n for n in world.nodes.values() if n.site == fault.site and n.alive] if fault.nodes else []
    fault.targets = [fault.site]
    for worker in workers:
        world.end_process(worker, fault.silent)
    for node in nodes:
        node.kill()

    def undo() -> None:
        stale = world.directory.full_listing()
        for worker in workers:
            if not worker.alive:
                world.start_process(worker)
        for node in nodes:
            node.start(stale)

    fault.undo = undo


@register_fault("link-cut")
def link_cut(world: Any, fault: ActiveFault, random: Random) -> None:
    """Messages from `site` to `other` (drawn if empty) are lost; with a `size` of 2 also in the other
    direction."""
    others = [site.name for site in world.scenario.sites if site.name != fault.site]
    if not others:
        return
    fault.other = fault.other or random.choice(others)
    fault.targets = [fault.site, fault.other]
    links = [(fault.site, fault.other), (fault.other, fault.site)][: 2 if fault.size >= 2 else 1]
    for link in links:
        world.net.partition(*link)

    def undo() -> None:
        for link in links:
            world.net.heal(*link)

    fault.undo = undo


@register_fault("slow-link")
def slow_link(world: Any, fault: ActiveFault, random: Random) -> None:
    """Messages between `site` and all others take `size` times as long."""
    links = []
    for site in world.scenario.sites:
        if site.name != fault.site:
            links += [(fault.site, site.name), (site.name, fault.site)]
    fault.targets = [fault.site]
    for link in links:
        world.net.delay_factors[link] = fault.size

    def undo() -> None:
        for link in links:
            world.net.delay_factors.pop(link, None)

    fault.undo = undo
