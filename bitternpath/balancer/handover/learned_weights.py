"""Learned weights of the decision module, as handed to the newer process of a node.

Workers and classes are restored one by one: a worker if it is listed and has not restarted, a class if its
name and effect match. Others are left out, and the module learns them anew. Times are in ms on the clock that
both processes share (Unix time, anchored once).
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
    ends: list[float]  # expected ends of the jobs that the older process sent there


class LearnedClass(Struct):
    name: str
    effect: str
    # mean_hint, mean_run_time, unloaded_run_time, longest_remaining
    means: tuple[float, float, float, float]
    ended: int
    pace: dict[str, float]
    threshold: float
    neurons: dict[str, tuple[float, float, float]]  # by worker: weights w+ and w- towards it, and q


class LearnedWeights(Struct):
    means: tuple[float, float, float]  # mean_wait, mean_run, last_start_at
    classes: list[LearnedClass]
    workers: list[LearnedWorker]


def learned_weights_of(module: Dispatcher) -> LearnedWeights:
    """Return the current learned state of a module."""
    workers = []
    for worker in module.workers.values():
        in_flight = [
            attempt for attempt in module.in_flight.values() if attempt.worker is worker and not attempt.lost
        ]
        ends = [
            (attempt.started_at or attempt.sent_at + worker.queue_wait)
            + attempt.job.class_state.mean_run_time * attempt.job.size
            for attempt in in_flight
        ]
        times = (
            worker.last_report_at,
            worker.suspended_until,
            worker.full_until,
            worker.unsafe_suspended_until,
            worker.newest_started_send,
        )
        workers.append(
            LearnedWorker(
                worker.name, worker.up_since, worker.suspensions, times,
                (worker.last_cold_send_at, worker.last_cold_work),
                (worker.queue_wait, worker.queue_wait_seen_at), dict(worker.faults),
                worker.cancelled_job_ends + ends,
            )
        )  # fmt: skip
    classes = []
    for class_state in module.class_states.values():
        network = class_state.network
        neurons = {
            worker.name: (
                network.plus[k] + network.plus_all,
                network.minus[k] + network.minus_all,
                network.q[k],
            )
            for k, worker in enumerate(network.neurons)
        }
        classes.append(
            LearnedClass(
                class_state.spec.name, class_state.spec.effect.value,
                (class_state.mean_hint, class_state.mean_run_time, class_state.unloaded_run_time,
                 class_state.longest_remaining),
                class_state.ended_jobs, dict(class_state.run_time_by_kind), network.threshold, neurons,
            )
        )  # fmt: skip
    return LearnedWeights((module.mean_wait, module.mean_run, module.last_start_at), classes, workers)


def restore_learned_weights(module: Dispatcher, learned: LearnedWeights) -> list[str]:
    """Load matching weights into a module; returns the names of workers and classes that were left out."""
    left_out = []
    if _finite(learned.means):
        module.mean_wait, module.mean_run, module.last_start_at = learned.means
    for worker in learned.workers:
        if not _restore_worker(module, worker):
            left_out.append(worker.name)
    for learned_class in learned.classes:
        if not _restore_class(module, learned_class):
            left_out.append(learned_class.name)
    return left_out


def _finite(values: Iterable[float]) -> bool:
    return all(isfinite(v) and v >= 0.0 for v in values)


def _restore_worker(module: Dispatcher, learned: LearnedWorker) -> bool:
    worker = module.workers.get(learned.name)
    values = (*learned.times, *learned.cold, *learned.wait, *learned.ends, learned.strikes)
    values += tuple(v for fault in learned.faults.values() for v in fault)
    if worker is None or worker.up_since != learned.up or not _finite(values):
        return False
    worker.suspensions = learned.strikes
    (
        worker.last_report_at,
        worker.suspended_until,
        worker.full_until,
        worker.unsafe_suspended_until,
        worker.newest_started_send,
    ) = learned.times
    worker.last_cold_send_at, worker.last_cold_work = learned.cold
    worker.queue_wait, worker.queue_wait_seen_at = learned.wait
    worker.faults = dict(learned.faults)
    worker.cancelled_job_ends = list(learned.ends)
    return True


def _restore_class(module: Dispatcher, learned: LearnedClass) -> bool:
    class_state = module.class_states.get(learned.name)
    numbers = (*learned.means, learned.ended, learned.threshold, *learned.pace.values())
    if class_state is None or class_state.spec.effect.value != learned.effect or not _finite(numbers):
        return False
    (
        class_state.mean_hint,
        class_state.mean_run_time,
        class_state.unloaded_run_time,
        class_state.longest_remaining,
    ) = learned.means
    class_state.ended_jobs, class_state.run_time_by_kind = learned.ended, dict(learned.pace)
    if all(_finite(n) and n[0] + n[1] > 0.0 and n[2] <= 1.0 for n in learned.neurons.values()):
        _restore_network(class_state.network, learned)
    return True


def _restore_network(network: Network[Worker], learned: LearnedClass) -> None:
    rows_by_name = [
        learned.neurons[worker.name] for worker in network.neurons if worker.name in learned.neurons
    ]
    if not rows_by_name:
        return
    mean = tuple(sum(column) / len(rows_by_name) for column in zip(*rows_by_name, strict=True))
    rows = [learned.neurons.get(worker.name, mean) for worker in network.neurons]
    network.plus, network.minus, network.q = ([row[k] for row in rows] for k in range(3))
    network.plus_all = network.minus_all = 0.0
    network.total, network.threshold = sum(network.plus) + sum(network.minus), learned.threshold
    network.solve_q()
