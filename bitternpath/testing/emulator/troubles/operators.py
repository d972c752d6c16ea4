"""Routine operations: ejecting workers by hand and restarting them, upgrading nodes."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import (
    ActiveFault,
    pick_workers,
    register_fault,
    stagger_over_nodes,
)

RESTARTED_AFTER = 0.3  # share of the ejection after which a worker restarts: it has finished its jobs by then
BACK_AFTER = 0.6  # share of the ejection after which its process runs again, cold


@register_fault("out-by-hand")
def out_by_hand(world: Any, fault: ActiveFault, random: Random) -> None:
    """Ejects a share of the workers at every node, restarts them, and reinstates them at the end."""
    workers = pick_workers(world, fault, random)
    for worker in workers:
        for node in world.nodes.values():
            node.eject(worker.id)
        world.scheduler.callLater(RESTARTED_AFTER * fault.lasts, world.end_process, worker, False)
        world.scheduler.callLater(BACK_AFTER * fault.lasts, world.start_process, worker)

    def undo() -> None:
        for worker in workers:
            for node in world.nodes.values():
                node.reinstate(worker.id)

    fault.undo = undo


@register_fault("upgrades")
def upgrades(world: Any, fault: ActiveFault, random: Random) -> None:
    """Upgrades every node under load, one after the other: a new process takes over from the old one."""
    stagger_over_nodes(world, fault, lambda node: node.upgrade())
