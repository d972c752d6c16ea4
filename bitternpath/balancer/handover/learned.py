"""What the module has learned, as the newer process of a node is given it. Decides nothing.

Every part is taken by itself: a worker that is listed and has not started anew, a class of the same name and
effect. What does not fit is left out, and the module learns it anew. Times are ms on the clock that both
processes share (Unix time, anchored once).
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

from msgspec import Struct

from bitternpath.balancer.dispatch.dispatcher import Dispatcher
from bitternpath.balancer.dispatch.workers import Worker
from bitternpath.dispatch.network import Network


class LearnedWorker(Struct):
    name: str
    up: float
    strikes: int
    times: tuple[float, float, float, float, float]  # heard, out_until, full_until, shy_until, last_begun
    cold: tuple[float, float]  # cold_at, cold_work
    wait: tuple[float, float]  # wait, wait_at
    faults: dict[str, tuple[int, float, float]]
    ends: list[float]  # when jobs there should end that the older process sent


class LearnedClass(Struct):
    name: str
    effect: str
    means: tuple[float, float, float, float]  # hint, run, work, patience
    ended: int
    pace: dict[str, float]
    threshold: float
    neurons: dict[str, tuple[float, float, float]]  # by worker: w+ and w- towards it, and q


class Learned(Struct):
    means: tuple[float, float, float]  # mean_wait, mean_run, begun_at
    classes: list[LearnedClass]
    workers: list[LearnedWorker]


def learned_by(module: Dispatcher) -> Learned:
    """All of it, as it is now."""
    workers = []
    for w in module.workers.values():
        out = [t for t in module.out.values() if t.worker is w and not t.lost]
        ends = [(t.begun or t.sent + w.wait) + t.job.line.run * t.job.size for t in out]
        times = (w.heard, w.out_until, w.full_until, w.shy_until, w.last_begun)
        workers.append(
            LearnedWorker(
                w.name, w.up, w.strikes, times, (w.cold_at, w.cold_work), (w.wait, w.wait_at), dict(w.faults),
                w.called_off + ends,
            )
        )  # fmt: skip
    classes = []
    for line in module.lines.values():
        net = line.net
        neurons = {
            w.name: (net.plus[k] + net.plus_all, net.minus[k] + net.minus_all, net.q[k])
            for k, w in enumerate(net.neurons)
        }
        classes.append(
            LearnedClass(
                line.spec.name, line.spec.effect.value, (line.hint, line.run, line.work, line.patience),
                line.ended, dict(line.pace), net.threshold, neurons,
            )
        )  # fmt: skip
    return Learned((module.mean_wait, module.mean_run, module.begun_at), classes, workers)


def teach(module: Dispatcher, told: Learned) -> list[str]:
    """Give the module what fits; what was left out, in words."""
    left_out = []
    if _good(told.means):
        module.mean_wait, module.mean_run, module.begun_at = told.means
    for worker in told.workers:
        if not _teach_worker(module, worker):
            left_out.append(worker.name)
    for known in told.classes:
        if not _teach_class(module, known):
            left_out.append(known.name)
    return left_out


def _good(values: Iterable[float]) -> bool:
    return all(isfinite(v) and v >= 0.0 for v in values)


def _teach_worker(module: Dispatcher, told: LearnedWorker) -> bool:
    w = module.workers.get(told.name)
    values = (*told.times, *told.cold, *told.wait, *told.ends, told.strikes)
    values += tuple(v for fault in told.faults.values() for v in fault)
    if w is None or w.up != told.up or not _good(values):
        return False
    w.strikes = told.strikes
    w.heard, w.out_until, w.full_until, w.shy_until, w.last_begun = told.times
    w.cold_at, w.cold_work = told.cold
    w.wait, w.wait_at = told.wait
    w.faults = dict(told.faults)
    w.called_off = list(told.ends)
    return True


def _teach_class(module: Dispatcher, told: LearnedClass) -> bool:
    line = module.lines.get(told.name)
    numbers = (*told.means, told.ended, told.threshold, *told.pace.values())
    if line is None or line.spec.effect.value != told.effect or not _good(numbers):
        return False
    line.hint, line.run, line.work, line.patience = told.means
    line.ended, line.pace = told.ended, dict(told.pace)
    if all(_good(n) and n[0] + n[1] > 0.0 and n[2] <= 1.0 for n in told.neurons.values()):
        _teach_network(line.net, told)
    return True


def _teach_network(net: Network[Worker], told: LearnedClass) -> None:
    known = [told.neurons[w.name] for w in net.neurons if w.name in told.neurons]
    if not known:
        return
    mean = tuple(sum(column) / len(known) for column in zip(*known, strict=True))
    rows = [told.neurons.get(w.name, mean) for w in net.neurons]
    net.plus, net.minus, net.q = ([row[k] for row in rows] for k in range(3))
    net.plus_all = net.minus_all = 0.0
    net.total, net.threshold = sum(net.plus) + sum(net.minus), told.threshold
    net.solve_q()
