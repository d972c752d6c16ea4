"""Workers that are slow, pause, share their machine, err, are replaced, or vanish and come back cold."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import Active, some_workers, trouble


@trouble("slow")
def slow(world: Any, active: Active, random: Random) -> None:
    """`size` times slower."""
    workers = some_workers(world, active, random)
    for worker in workers:
        worker.slowed *= active.size
        worker.changed()

    def undo() -> None:
        for worker in workers:
            worker.slowed /= active.size
            worker.changed()

    active.undo = undo


@trouble("pauses")
def pauses(world: Any, active: Active, random: Random) -> None:
    """They stand still for `size` ms every `extra` s."""
    workers = some_workers(world, active, random)
    over = [False]

    def stand(worker: Any) -> None:
        if not over[0]:
            worker.paused = True
            worker.changed()
            world.later.callLater(active.size / 1000.0, go, worker)

    def go(worker: Any) -> None:
        worker.paused = False
        worker.changed()
        world.later.callLater(max(active.extra, 0.1) * (0.5 + random.random()), stand, worker)

    for worker in workers:
        world.later.callLater(random.random() * max(active.extra, 0.1), stand, worker)

    def undo() -> None:
        over[0] = True

    active.undo = undo


@trouble("neighbour")
def neighbour(world: Any, active: Active, random: Random) -> None:
    """Another program takes `size` of the machine, on and off for `extra` s each."""
    workers = some_workers(world, active, random)
    over = [False]

    def turn(worker: Any, on: bool) -> None:
        worker.taken = active.size if on and not over[0] else 0.0
        worker.changed()
        if not over[0]:
            world.later.callLater(max(active.extra, 0.1) * (0.5 + random.random()), turn, worker, not on)

    for worker in workers:
        turn(worker, random.random() < 0.5)

    def undo() -> None:
        over[0] = True

    active.undo = undo


@trouble("errors")
def errors(world: Any, active: Active, random: Random) -> None:
    """`size` of their jobs end as errors."""
    workers = some_workers(world, active, random)
    for worker in workers:
        worker.erring += active.size

    def undo() -> None:
        for worker in workers:
            worker.erring -= active.size

    active.undo = undo


@trouble("vanish")
def vanish(world: Any, active: Active, random: Random) -> None:
    """Machines go silent and come back cold; with `silent` off their processes die instead."""
    workers = [w for w in some_workers(world, active, random) if w.up]
    for worker in workers:
        world.end_process(worker, active.silent)

    def undo() -> None:
        for worker in workers:
            if not worker.up:
                world.start_process(worker)

    active.undo = undo


@trouble("drain")
def drain(world: Any, active: Active, random: Random) -> None:
    """Workers drain, are told so, finish what they have, and start anew at the end."""
    workers = [w for w in some_workers(world, active, random) if w.up]
    for worker in workers:
        world.directory.draining(worker)

    def undo() -> None:
        for worker in workers:
            world.end_process(worker, False)
            world.later.callLater(1.0, world.start_process, worker)

    active.undo = undo


@trouble("replace")
def replace(world: Any, active: Active, random: Random) -> None:
    """They are replaced by new machines with new names, one after the other."""
    workers = [w for w in some_workers(world, active, random) if w.up]
    for k, worker in enumerate(workers):
        world.later.callLater(active.lasts * k / len(workers), world.replace, worker, random)


@trouble("call-backs")
def call_backs(world: Any, active: Active, random: Random) -> None:
    """`size` of the call-backs come twice; those of a `part` of the workers are held up until the end."""
    workers = some_workers(world, active, random) if active.part else []
    world.call_backs_twice = active.size
    world.losing.update(worker.id for worker in workers)

    def undo() -> None:
        world.call_backs_twice = 0.0
        world.losing.difference_update(worker.id for worker in workers)

    active.undo = undo
