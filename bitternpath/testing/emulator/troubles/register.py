"""The registry of faults and their common helpers.

A fault is a function `(world, fault, random)`. It takes effect at once and sets `fault.undo` to what ends
it. The `ActiveFault` has the values of the scenario with all ranges drawn.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from bitternpath.testing.emulator.scenario import Fault, sample


class ActiveFault:
    """A fault of one run, with its ranges drawn."""

    def __init__(
        self, kind: str, at: float, lasts: float, part: float, size: float, extra: float, spec: Fault
    ) -> None:
        self.kind, self.at, self.lasts, self.part, self.size, self.extra = kind, at, lasts, part, size, extra
        self.site, self.other = spec.site, spec.other
        self.silent, self.nodes = spec.silent, spec.nodes
        self.targets: list[str] = []  # names of what it affects
        self.undo: Callable[[], None] = lambda: None

    def to_dict(self) -> dict[str, Any]:
        return {
            "kind": self.kind,
            "at": self.at,
            "lasts": self.lasts,
            "on": list(self.targets),
            "size": self.size,
        }


Injector = Callable[[Any, ActiveFault, Random], None]
KINDS: dict[str, Injector] = {}


def register_fault(kind: str) -> Callable[[Injector], Injector]:
    """Registers a fault under the kind that scenarios use."""

    def register(injector: Injector) -> Injector:
        KINDS[kind] = injector
        return injector

    return register


def schedule_fault(world: Any, spec: Fault, random: Random) -> None:
    """Draws the values of a fault and schedules its start and end."""
    fault = ActiveFault(
        spec.kind,
        sample(random, spec.at),
        sample(random, spec.lasts),
        sample(random, spec.part),
        sample(random, spec.size),
        sample(random, spec.extra),
        spec,
    )
    if not fault.site:
        fault.site = random.choice([site.name for site in world.scenario.sites])
    world.active_faults.append(fault)
    fault_random = Random(random.getrandbits(64))

    def start() -> None:
        world.trace("trouble", fault.kind)
        KINDS[fault.kind](world, fault, fault_random)
        world.scheduler.callLater(fault.lasts, end)

    def end() -> None:
        world.trace("trouble over", fault.kind)
        fault.undo()

    world.scheduler.callLater(fault.at, start)


def pick_workers(world: Any, fault: ActiveFault, random: Random) -> list[Any]:
    """A random share (`part`) of the workers, at least one; noted in `fault.targets`."""
    names = sorted(world.workers)
    count = max(round(fault.part * len(names)), 1)
    fault.targets = sorted(random.sample(names, min(count, len(names))))
    return [world.workers[name] for name in fault.targets]


def pick_nodes(world: Any, fault: ActiveFault, random: Random) -> list[Any]:
    """A random share (`part`) of the running nodes, at least one; noted in `fault.targets`."""
    names = sorted(name for name, node in world.nodes.items() if node.alive)
    fault.targets = sorted(random.sample(names, min(max(round(fault.part * len(names)), 1), len(names))))
    return [world.nodes[name] for name in fault.targets]


def stagger_over_nodes(world: Any, fault: ActiveFault, action: Callable[[Any], object]) -> None:
    """Calls `action` with each node, spread evenly over the duration of the fault; noted in
    `fault.targets`."""
    nodes = list(world.nodes.values())
    for index, node in enumerate(nodes):
        world.scheduler.callLater(fault.lasts * index / len(nodes), action, node)
    fault.targets = [node.name for node in nodes]
