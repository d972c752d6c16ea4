"""The learned weights of the decision module, as they are handed to the newer process of a node.

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
    # last_report_at, suspended_until, full_until, unsafe_suspended_until, newest_started_send
    times: tuple[float, float, float, float, float]
    cold: tuple[float, float]  # last_cold_send_at, last_cold_work
    wait: tuple[float, float]  # queue_wait, queue_wait_seen_at
    faults: dict[str, tuple[int, float, float]]
    ends: list[float]  # when jobs there should end that the older process sent


class LearnedClass(Struct):
    name: str
    effect: str
    # mean_hint, mean_run_time, unloaded_run_time, longest_remaining
    means: tuple[float, float, float, float]
    ended: int
    pace: dict[str, float]
    threshold: float
    neurons: dict[str, tuple[float, float, float]]  # by worker: w+ and w- towards it, and q


class LearnedWeights(Struct):
    means: tuple[float, float, float]  # mean_wait, mean_run, last_start_at
    classes: list[LearnedClass]
    workers: list[LearnedWorker]


def learned_weights_of(module: Dispatcher) -> LearnedWeights:
    """The learned state of a module, as it is now."""
    workers = []
    for w in module.workers.values():
        out = [t for t in module.in_flight.values() if t.worker is w and not t.lost]
        ends = [
            (t.started_at or t.sent_at + w.queue_wait) + t.job.class_state.mean_run_time * t.job.size
            for t in out
        ]
        times = (
            w.last_report_at,
            w.suspended_until,
            w.full_until,
            w.unsafe_suspended_until,
            w.newest_started_send,
        )
        workers.append(
            LearnedWorker(
                w.name, w.up_since, w.suspensions, times, (w.last_cold_send_at, w.last_cold_work),
                (w.queue_wait, w.queue_wait_seen_at), dict(w.faults),
                w.cancelled_job_ends + ends,
            )
        )  # fmt: skip
    classes = []
    for line in module.class_states.values():
        net = line.network
        neurons = {
            w.name: (net.plus[k] + net.plus_all, net.minus[k] + net.minus_all, net.q[k])
            for k, w in enumerate(net.neurons)
        }
        classes.append(
            LearnedClass(
                line.spec.name, line.spec.effect.value,
                (line.mean_hint, line.mean_run_time, line.unloaded_run_time, line.longest_remaining),
                line.ended_jobs, dict(line.run_time_by_kind), net.threshold, neurons,
            )
        )  # fmt: skip
    return LearnedWeights((module.mean_wait, module.mean_run, module.last_start_at), classes, workers)


def restore_learned_weights(module: Dispatcher, learned: LearnedWeights) -> list[str]:
    """Load into the module what fits it; returns the names of workers and classes that were left out."""
    left_out = []
    if _finite(learned.means):
        module.mean_wait, module.mean_run, module.last_start_at = learned.means
    for worker in learned.workers:
        if not _restore_worker(module, worker):
            left_out.append(worker.name)
    for known in learned.classes:
        if not _restore_class(module, known):
            left_out.append(known.name)
    return left_out


def _finite(values: Iterable[float]) -> bool:
    return all(isfinite(v) and v >= 0.0 for v in values)


def _restore_worker(module: Dispatcher, learned: LearnedWorker) -> bool:
    w = module.workers.get(learned.name)
    values = (*learned.times, *learned.cold, *learned.wait, *learned.ends, learned.strikes)
    values += tuple(v for fault in learned.faults.values() for v in fault)
    if w is None or w.up_since != learned.up or not _finite(values):
        return False
    w.suspensions = learned.strikes
    w.last_report_at, w.suspended_until, w.full_until, w.unsafe_suspended_until, w.newest_started_send = (
        learned.times
    )
    w.last_cold_send_at, w.last_cold_work = learned.cold
    w.queue_wait, w.queue_wait_seen_at = learned.wait
    w.faults = dict(learned.faults)
    w.cancelled_job_ends = list(learned.ends)
    return True


def _restore_class(module: Dispatcher, learned: LearnedClass) -> bool:
    line = module.class_states.get(learned.name)
    numbers = (*learned.means, learned.ended, learned.threshold, *learned.pace.values())
    if line is None or line.spec.effect.value != learned.effect or not _finite(numbers):
        return False
    line.mean_hint, line.mean_run_time, line.unloaded_run_time, line.longest_remaining = learned.means
    line.ended_jobs, line.run_time_by_kind = learned.ended, dict(learned.pace)
    if all(_finite(n) and n[0] + n[1] > 0.0 and n[2] <= 1.0 for n in learned.neurons.values()):
        _restore_network(line.network, learned)
    return True


def _restore_network(net: Network[Worker], learned: LearnedClass) -> None:
    known = [learned.neurons[w.name] for w in net.neurons if w.name in learned.neurons]
    if not known:
        return
    mean = tuple(sum(column) / len(known) for column in zip(*known, strict=True))
    rows = [learned.neurons.get(w.name, mean) for w in net.neurons]
    net.plus, net.minus, net.q = ([row[k] for row in rows] for k in range(3))
    net.plus_all = net.minus_all = 0.0
    net.total, net.threshold = sum(net.plus) + sum(net.minus), learned.threshold
    net.solve_q()
