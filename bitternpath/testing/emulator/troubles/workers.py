"""Workers that slow down, pause, share their machine, fail jobs, get replaced, or vanish and return cold."""

from __future__ import annotations

from random import Random
from typing import Any

from bitternpath.testing.emulator.troubles.register import ActiveFault, pick_workers, register_fault


@register_fault("slow")
def slow(world: Any, fault: ActiveFault, random: Random) -> None:
    """Jobs take `size` times as long."""
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
    """Workers pause for `size` ms about every `extra` s."""
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
    """Another program uses the share `size` of the machine, alternately on and off for about `extra` s."""
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
    """A share (`size`) of the jobs fails."""
    workers = pick_workers(world, fault, random)
    for worker in workers:
        worker.extra_error_rate += fault.size

    def undo() -> None:
        for worker in workers:
            worker.extra_error_rate -= fault.size

    fault.undo = undo


@register_fault("vanish")
def vanish(world: Any, fault: ActiveFault, random: Random) -> None:
    """Machines become unreachable and come back cold; without `silent` their processes die instead."""
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
    """Workers drain, finish their jobs, and restart at the end."""
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
    """Replaces workers by new machines with new names, one after the other."""
    workers = [w for w in pick_workers(world, fault, random) if w.alive]
    for index, worker in enumerate(workers):
        world.scheduler.callLater(fault.lasts * index / len(workers), world.replace, worker, random)


@register_fault("call-backs")
def call_backs(world: Any, fault: ActiveFault, random: Random) -> None:
    """Delivers a share (`size`) of the call-backs twice; holds back those of a share (`part`) of the workers
    until the end."""
    workers = pick_workers(world, fault, random) if fault.part else []
    world.duplicate_call_backs = fault.size
    world.blocked_call_backs.update(worker.id for worker in workers)

    def undo() -> None:
        world.duplicate_call_backs = 0.0
        world.blocked_call_backs.difference_update(worker.id for worker in workers)

    fault.undo = undo
