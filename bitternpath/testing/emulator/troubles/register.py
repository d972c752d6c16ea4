"""Register of what can go wrong, and what its entries share.

A trouble is a function `(world, trouble, random, active)`: it does something at once, and gives
`active.undo` what is to be done at its end. `trouble` has the scenario's words, already drawn.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from bitternpath.testing.emulator.scenario import Trouble, drawn


class Active:
    """A trouble with its figures drawn."""

    def __init__(
        self, kind: str, at: float, lasts: float, part: float, size: float, extra: float, trouble: Trouble
    ) -> None:
        self.kind, self.at, self.lasts, self.part, self.size, self.extra = kind, at, lasts, part, size, extra
        self.site, self.other = trouble.site, trouble.other
        self.silent, self.nodes = trouble.silent, trouble.nodes
        self.on: list[str] = []  # whom it took
        self.undo: Callable[[], None] = lambda: None

    def told(self) -> dict[str, Any]:
        return {"kind": self.kind, "at": self.at, "lasts": self.lasts, "on": list(self.on), "size": self.size}


Do = Callable[[Any, Active, Random], None]
KINDS: dict[str, Do] = {}


def trouble(kind: str) -> Callable[[Do], Do]:
    """Registers a trouble."""

    def register(do: Do) -> Do:
        KINDS[kind] = do
        return do

    return register


def begin(world: Any, told: Trouble, random: Random) -> None:
    """Draw a trouble's figures and schedule its begin and end."""
    active = Active(
        told.kind,
        drawn(random, told.at),
        drawn(random, told.lasts),
        drawn(random, told.part),
        drawn(random, told.size),
        drawn(random, told.extra),
        told,
    )
    if not active.site:
        active.site = random.choice([site.name for site in world.scenario.sites])
    world.active.append(active)
    own = Random(random.getrandbits(64))

    def start() -> None:
        world.trace("trouble", active.kind)
        KINDS[active.kind](world, active, own)
        world.later.callLater(active.lasts, end)

    def end() -> None:
        world.trace("trouble over", active.kind)
        active.undo()

    world.later.callLater(active.at, start)


def some_workers(world: Any, active: Active, random: Random) -> list[Any]:
    """A part of the workers, one at least; noted in `active.on`."""
    names = sorted(world.workers)
    many = max(round(active.part * len(names)), 1)
    active.on = sorted(random.sample(names, min(many, len(names))))
    return [world.workers[name] for name in active.on]


def some_nodes(world: Any, active: Active, random: Random) -> list[Any]:
    """A part of the nodes that are up, one at least; noted in `active.on`."""
    names = sorted(name for name, node in world.nodes.items() if node.up)
    active.on = sorted(random.sample(names, min(max(round(active.part * len(names)), 1), len(names))))
    return [world.nodes[name] for name in active.on]


def each_node(world: Any, active: Active, do: Callable[[Any], object]) -> None:
    """All nodes, one after the other, over the time that the trouble lasts; noted in `active.on`."""
    nodes = list(world.nodes.values())
    for k, node in enumerate(nodes):
        world.later.callLater(active.lasts * k / len(nodes), do, node)
    active.on = [node.name for node in nodes]
