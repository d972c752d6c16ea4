"""What operators do day by day: workers taken out by hand and started anew, new versions of nodes."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import (
    ActiveFault,
    pick_workers,
    register_fault,
    stagger_over_nodes,
)

RESTARTED_AFTER = 0.3  # of the time for which a worker is out: by then it has done what it had
BACK_AFTER = 0.6  # of that time: its process runs again, cold


@register_fault("out-by-hand")
def out_by_hand(world: Any, fault: ActiveFault, random: Random) -> None:
    """Staff take a part of the workers out at every node, start them anew, and call them back at the end."""
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
    """Every node is upgraded under load, one after the other: a newer process beside the older one."""
    stagger_over_nodes(world, fault, lambda node: node.upgrade())
