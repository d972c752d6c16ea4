"""The state that actors of a simulated run share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from bitternpath.testing.simulation.actors.node_directory import NodeDirectory
from bitternpath.testing.simulation.checks.history import SystemHistory
from bitternpath.testing.simulation.events import RunPlan

if TYPE_CHECKING:
    from bitternpath.testing.simulation.world import World


@dataclass(frozen=True, slots=True)
class RunContext:
    """The world, its plan, the history that actors record, and the directory of nodes.

    `failed` receives the failure of an actor's coroutine, which makes the run void.
    """

    world: World
    plan: RunPlan
    history: SystemHistory
    directory: NodeDirectory
    failed: Callable[[Any], object]
