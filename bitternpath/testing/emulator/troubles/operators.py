"""What operators do day by day: workers taken out by hand and started anew, new versions of nodes."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import Active, each_node, some_workers, trouble

RESTARTED_AFTER = 0.3  # of the time for which a worker is out: by then it has done what it had
BACK_AFTER = 0.6  # of that time: its process runs again, cold


@trouble("out-by-hand")
def out_by_hand(world: Any, active: Active, random: Random) -> None:
    """Staff take a part of the workers out at every node, start them anew, and call them back at the end."""
    workers = some_workers(world, active, random)
    for worker in workers:
        for node in world.nodes.values():
            node.eject(worker.id)
        world.later.callLater(RESTARTED_AFTER * active.lasts, world.end_process, worker, False)
        world.later.callLater(BACK_AFTER * active.lasts, world.start_process, worker)

    def undo() -> None:
        for worker in workers:
            for node in world.nodes.values():
                node.reinstate(worker.id)

    active.undo = undo


@trouble("upgrades")
def upgrades(world: Any, active: Active, random: Random) -> None:
    """Every node is upgraded under load, one after the other: a newer process beside the older one."""
    each_node(world, active, lambda node: node.upgrade())
