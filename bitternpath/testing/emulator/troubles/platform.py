"""Outages, losses and delays of discovery; nodes that are killed, stopped, reloaded or restarted."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import (
    ActiveFault,
    pick_nodes,
    register_fault,
    stagger_over_nodes,
)


@register_fault("discovery-down")
def discovery_down(world: Any, fault: ActiveFault, random: Random) -> None:
    world.directory.down = True
    fault.undo = world.directory.recover


@register_fault("discovery-lossy")
def discovery_lossy(world: Any, fault: ActiveFault, random: Random) -> None:
    """A share (`part`) of the updates reaches a node only with the next one, and all take `size` times as
    long."""
    directory = world.directory
    directory.drop_rate, directory.delay_factor = fault.part, max(fault.size, 1.0)

    def undo() -> None:
        directory.drop_rate, directory.delay_factor = 0.0, 1.0
        directory.recover()

    fault.undo = undo


@register_fault("kill-nodes")
def kill_nodes(world: Any, fault: ActiveFault, random: Random) -> None:
    """Kills a share of the nodes and starts them without state at the end."""
    nodes = pick_nodes(world, fault, random)
    for node in nodes:
        node.kill()

    def undo() -> None:
        for node in nodes:
            if not node.alive:
                node.start()

    fault.undo = undo


@register_fault("stop-nodes")
def stop_nodes(world: Any, fault: ActiveFault, random: Random) -> None:
    """Stops a share of the nodes (SIGSTOP) and resumes them at the end."""
    nodes = pick_nodes(world, fault, random)
    for node in nodes:
        node.stop()

    def undo() -> None:
        for node in nodes:
            if node.alive:
                node.resume()

    fault.undo = undo


@register_fault("rolling-restarts")
def rolling_restarts(world: Any, fault: ActiveFault, random: Random) -> None:
    """Restarts all nodes, one after the other, each down for `size` s."""
    stagger_over_nodes(world, fault, lambda node: node.restart(max(fault.size, 0.1)))


@register_fault("reload-nodes")
def reload_nodes(world: Any, fault: ActiveFault, random: Random) -> None:
    """Reloads all nodes' configuration, one after the other, with a new address of discovery."""
    stagger_over_nodes(world, fault, lambda node: node.reload())
