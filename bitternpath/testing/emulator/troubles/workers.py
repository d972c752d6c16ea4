"""Workers that are slow, pause, share their machine, err, are replaced, or vanish and come back cold."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import ActiveFault, pick_workers, register_fault


@register_fault("slow")
def slow(world: Any, fault: ActiveFault, random: Random) -> None:
    """`size` times slower."""
    workers = pick_workers(world, fault, random)
    for worker in workers:
        worker.slowdown *= fault.size
        worker.reschedule()

    def undo() -> None:
        for worker in workers:
            worker.slowdown /= fault.size
            worker.reschedule()

    fault.undo = undo


@register_fault("pauses")
def pauses(world: Any, fault: ActiveFault, random: Random) -> None:
    """They stand still for `size` ms every `extra` s."""
    workers = pick_workers(world, fault, random)
    stopped = [False]

    def pause(worker: Any) -> None:
        if not stopped[0]:
            worker.paused = True
            worker.reschedule()
            world.scheduler.callLater(fault.size / 1000.0, resume, worker)

    def resume(worker: Any) -> None:
        worker.paused = False
        worker.reschedule()
        world.scheduler.callLater(max(fault.extra, 0.1) * (0.5 + random.random()), pause, worker)

    for worker in workers:
        world.scheduler.callLater(random.random() * max(fault.extra, 0.1), pause, worker)

    def undo() -> None:
        stopped[0] = True

    fault.undo = undo


@register_fault("neighbour")
def neighbour(world: Any, fault: ActiveFault, random: Random) -> None:
    """Another program takes `size` of the machine, on and off for `extra` s each."""
    workers = pick_workers(world, fault, random)
    stopped = [False]

    def toggle(worker: Any, on: bool) -> None:
        worker.stolen_share = fault.size if on and not stopped[0] else 0.0
        worker.reschedule()
        if not stopped[0]:
            world.scheduler.callLater(max(fault.extra, 0.1) * (0.5 + random.random()), toggle, worker, not on)

    for worker in workers:
        toggle(worker, random.random() < 0.5)

    def undo() -> None:
        stopped[0] = True

    fault.undo = undo


@register_fault("errors")
def errors(world: Any, fault: ActiveFault, random: Random) -> None:
    """`size` of their jobs end as errors."""
    workers = pick_workers(world, fault, random)
    for worker in workers:
        worker.extra_error_rate += fault.size

    def undo() -> None:
        for worker in workers:
            worker.extra_error_rate -= fault.size

    fault.undo = undo


@register_fault("vanish")
def vanish(world: Any, fault: ActiveFault, random: Random) -> None:
    """Machines go silent and come back cold; with `silent` off their processes die instead."""
    workers = [w for w in pick_workers(world, fault, random) if w.alive]
    for worker in workers:
        world.end_process(worker, fault.silent)

    def undo() -> None:
        for worker in workers:
            if not worker.alive:
                world.start_process(worker)

    fault.undo = undo


@register_fault("drain")
def drain(world: Any, fault: ActiveFault, random: Random) -> None:
    """Workers drain, are told so, finish what they have, and start anew at the end."""
    workers = [w for w in pick_workers(world, fault, random) if w.alive]
    for worker in workers:
        world.directory.process_draining(worker)

    def undo() -> None:
        for worker in workers:
            world.end_process(worker, False)
            world.scheduler.callLater(1.0, world.start_process, worker)

    fault.undo = undo


@register_fault("replace")
def replace(world: Any, fault: ActiveFault, random: Random) -> None:
    """They are replaced by new machines with new names, one after the other."""
    workers = [w for w in pick_workers(world, fault, random) if w.alive]
    for index, worker in enumerate(workers):
        world.scheduler.callLater(fault.lasts * index / len(workers), world.replace, worker, random)


@register_fault("call-backs")
def call_backs(world: Any, fault: ActiveFault, random: Random) -> None:
    """`size` of the call-backs come twice; those of a `part` of the workers are held up until the end."""
    workers = pick_workers(world, fault, random) if fault.part else []
    world.duplicate_call_backs = fault.size
    world.blocked_call_backs.update(worker.id for worker in workers)

    def undo() -> None:
        world.duplicate_call_backs = 0.0
        world.blocked_call_backs.difference_update(worker.id for worker in workers)

    fault.undo = undo
