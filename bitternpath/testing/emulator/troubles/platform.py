"""Discovery that is silent, lossy or slow; nodes that are killed, stopped, reloaded or restarted."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import Active, each_node, some_nodes, trouble


@trouble("discovery-down")
def discovery_down(world: Any, active: Active, random: Random) -> None:
    world.directory.down = True
    active.undo = world.directory.back


@trouble("discovery-lossy")
def discovery_lossy(world: Any, active: Active, random: Random) -> None:
    """A `part` of the changes reaches a node only with the next one, and all take `size` times as long."""
    directory = world.directory
    directory.dropped, directory.slower = active.part, max(active.size, 1.0)

    def undo() -> None:
        directory.dropped, directory.slower = 0.0, 1.0
        directory.back()

    active.undo = undo


@trouble("kill-nodes")
def kill_nodes(world: Any, active: Active, random: Random) -> None:
    """A part of the nodes is killed and starts from nothing at the end."""
    nodes = some_nodes(world, active, random)
    for node in nodes:
        node.kill()

    def undo() -> None:
        for node in nodes:
            if not node.up:
                node.start()

    active.undo = undo


@trouble("stop-nodes")
def stop_nodes(world: Any, active: Active, random: Random) -> None:
    """A part of the nodes is stopped (SIGSTOP) and goes on at the end."""
    nodes = some_nodes(world, active, random)
    for node in nodes:
        node.stop()

    def undo() -> None:
        for node in nodes:
            if node.up:
                node.resume()

    active.undo = undo


@trouble("rolling-restarts")
def rolling_restarts(world: Any, active: Active, random: Random) -> None:
    """All nodes restart, one after the other, `size` s down each."""
    each_node(world, active, lambda node: node.restart(max(active.size, 0.1)))


@trouble("reload-nodes")
def reload_nodes(world: Any, active: Active, random: Random) -> None:
    """All nodes read their configuration again, one after the other; discovery has moved in it."""
    each_node(world, active, lambda node: node.reload())
