"""Regression tests for faults found under overload and at full size, on the decision module alone."""

from __future__ import annotations

from typing import Any

import pytest
from helpers import DispatcherHarness, entry, finals, job_class, sends

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch import dispatcher


def teach(
    harness: DispatcherHarness, run: float, rounds: int = 30, wait: float = 0.0, job: str = "job"
) -> None:
    """Run jobs that start after `wait` and take `run` ms, each on the worker that the dispatcher chose."""
    for k in range(rounds):
        name = f"{job}-{run}-{k}-{harness.now}"
        for send in sends(harness.request(name, job)):
            harness.handle(m.JobProgress(name, 0, send.worker), wait)
            harness.end_attempt(name, send.worker, m.AttemptOutcome.OK, after=run)


def test_one_job_goes_to_a_full_worker_for_each_own_job_that_ends() -> None:
    """All pending jobs were sent for the one slot that an own job had freed; all but one were rejected."""
    harness = DispatcherHarness(workers=1, reports_start=True)
    teach(harness, 300.0)
    (send,) = sends(harness.request("running"))
    harness.handle(m.JobProgress("running", 0, send.worker))
    (extra,) = sends(harness.request("turned away"))
    harness.end_attempt("turned away", extra.worker, m.AttemptOutcome.FULL, after=1.0)
    assert not [s for k in range(6) for s in sends(harness.request(f"pending{k}"))]
    freed = harness.handle(m.AttemptEnded("running", 0, send.worker, m.AttemptOutcome.OK, 20.0, True), 20.0)
    assert len(sends(freed)) == 1
    assert sends(freed)[0].id == "pending5"  # the newest; oldest first would make all of them late


def test_a_cold_worker_that_stays_unused_gets_a_job_within_seconds_though_others_are_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its small share of capacity ranked it behind every idle warm worker, so it got no jobs at all."""
    monkeypatch.setattr(
        dispatcher, "EXPLORATION_RATE", 0.0
    )  # exploration alone might choose it in time, or might not
    more: dict[str, Any] = {
        "warm_within": 23_000.0,
        "cold_share": 0.15,
        "overload_multiple": 4.0,
        "reports_start": True,
    }
    for seed in range(5):
        harness = DispatcherHarness(workers=4, seed=seed, **more)
        teach(harness, 200.0)
        cold = entry("w0", up_since=harness.now)
        harness.handle(m.WorkerList(m.ListKind.CHANGES, [cold]))
        got = []
        for k in range(100):  # 20 short jobs per second for 5 s
            (send,) = sends(harness.request(f"r{k}"))
            harness.handle(m.JobProgress(f"r{k}", 0, send.worker))
            harness.end_attempt(f"r{k}", send.worker, m.AttemptOutcome.OK, after=50.0)
            got.append(send.worker)
        assert 1 <= got.count("w0") <= 5 and "w0" in got[:90]


def test_pending_jobs_with_the_highest_value_rate_get_a_free_slot_first() -> None:
    """The newest came first whatever their value, and long jobs of low value kept short ones waiting."""
    classes = [job_class("long", value=5.0), job_class("short", value=3.0)]
    harness = DispatcherHarness(*classes, workers=1, reports_start=True)
    for k, (name, run) in enumerate([("long", 700.0), ("short", 80.0)] * 5):
        (send,) = sends(harness.request(f"t{k}", name))
        harness.handle(m.JobProgress(f"t{k}", 0, send.worker))
        harness.end_attempt(f"t{k}", send.worker, m.AttemptOutcome.OK, after=run)
    (send,) = sends(harness.request("running", "long"))
    harness.handle(m.JobProgress("running", 0, send.worker))
    (extra,) = sends(harness.request("turned away", "short"))
    harness.end_attempt("turned away", extra.worker, m.AttemptOutcome.FULL, after=1.0)
    for name in ("short1", "short2", "long1", "long2"):
        assert not sends(harness.request(name, name[:-1]))
    freed = harness.handle(m.AttemptEnded("running", 0, send.worker, m.AttemptOutcome.OK, 20.0, True), 20.0)
    assert [s.id for s in sends(freed)] == ["short2"]


def test_full_worker_is_tried_again_after_its_backoff() -> None:
    harness = DispatcherHarness(workers=1, reports_start=True)
    teach(harness, 100.0)
    (send,) = sends(harness.request("a"))
    harness.end_attempt("a", send.worker, m.AttemptOutcome.FULL, after=1.0)
    assert sends(harness.run_sweeps(600.0))


def test_job_without_value_when_late_is_refused_before_its_latency_target() -> None:
    harness = DispatcherHarness(job_class(late_value_share=0.0), workers=1, reports_start=True)
    teach(harness, 200.0)
    (send,) = sends(harness.request("a"))
    harness.end_attempt("a", send.worker, m.AttemptOutcome.FULL, after=1.0)
    harness.dispatcher.workers["w0"].full_until = harness.now + 10_000.0
    start, answers = harness.now, finals(harness.request("b"))
    while not answers and harness.now < start + 5000.0:
        answers = [
            a for a in finals(harness.run_sweeps(harness.dispatcher.sweep_interval)) if a == m.Refuse("b")
        ]
    assert answers and harness.now - start < 400.0 + 2.0 * 200.0


def test_job_with_value_when_late_stays_pending_until_near_its_deadline() -> None:
    harness = DispatcherHarness(job_class(late_value_share=0.5), workers=[])
    start, answers = harness.now, finals(harness.request("b"))
    while not answers:
        answers = finals(harness.run_sweeps(harness.dispatcher.sweep_interval))
    assert 4500.0 < harness.now - start < 5000.0


def test_overload_does_not_pass_for_heavier_work() -> None:
    """A period of overload raised the mean running time, so later jobs were given too much time."""
    harness = DispatcherHarness(workers=3, reports_start=True)
    teach(harness, 100.0, rounds=60)
    before_overload = harness.dispatcher.class_states["job"].unloaded_run_time
    teach(harness, 300.0, rounds=200)
    assert harness.dispatcher.class_states["job"].unloaded_run_time < 1.3 * before_overload
    teach(harness, 60.0, rounds=200)
    assert harness.dispatcher.class_states["job"].unloaded_run_time < 0.8 * before_overload


def test_slack_depends_on_the_machine_kind() -> None:
    """A slow machine with a short queue was chosen although no job could end there in time."""
    rows = [entry("fast", kind="f"), entry("slow", kind="s")]
    harness = DispatcherHarness(
        job_class(latency_target=100.0, work_factor=2.0), workers=rows, reports_start=True
    )
    class_state, slow, fast = (
        harness.dispatcher.class_states["job"],
        harness.dispatcher.workers["slow"],
        harness.dispatcher.workers["fast"],
    )
    class_state.unloaded_run_time, class_state.mean_run_time, class_state.run_time_by_kind = (
        100.0,
        100.0,
        {"f": 60.0, "s": 290.0},
    )
    slow.queue_wait, fast.queue_wait = 50.0, 50.0
    for k in range(20):
        slow.queue_wait_seen_at = fast.queue_wait_seen_at = harness.now
        (send,) = sends(harness.request(f"r{k}"))
        assert send.worker == "fast"
        harness.handle(m.JobProgress(f"r{k}", 0, send.worker))
        harness.handle(m.AttemptEnded(f"r{k}", 0, send.worker, m.AttemptOutcome.CANCELLED, 0.0, True))


def test_worker_with_own_jobs_that_have_not_started_is_not_chosen() -> None:
    different = 0
    for seed in range(20):
        harness = DispatcherHarness(workers=4, reports_start=True, seed=seed)
        teach(harness, 100.0, rounds=60)
        different += sends(harness.request("a"))[0].worker != sends(harness.request("b"))[0].worker
    assert different >= 17  # the others were chosen by exploration


def test_start_is_derived_from_progress_where_starts_are_not_reported() -> None:
    harness = DispatcherHarness(workers=1, progress_every=1000.0)
    (send,) = sends(harness.request("a"))
    harness.handle(m.JobProgress("a", 0, send.worker, 0.4), 1700.0)
    assert harness.dispatcher.workers["w0"].queue_wait == 700.0
    assert harness.dispatcher.workers["w0"].not_started == 0


def test_unresponsive_worker_is_suspended_until_it_reports() -> None:
    harness = DispatcherHarness(job_class(max_deadline=60_000.0), workers=3, reports_start=True)
    teach(harness, 100.0)
    (send,) = sends(harness.request("lost", remaining=60_000.0))
    harness.run_sweeps(900.0)
    for k in range(30):
        for other in sends(harness.request(f"r{k}")):
            assert other.worker != send.worker
            harness.handle(m.JobProgress(f"r{k}", 0, other.worker))
            harness.end_attempt(f"r{k}", other.worker, m.AttemptOutcome.OK, after=10.0)
    harness.handle(m.JobProgress("lost", 0, send.worker))
    assert harness.dispatcher.workers[send.worker].suspended_until == 0.0


def test_assumed_wait_does_not_exclude_workers_of_a_slow_or_unknown_kind() -> None:
    """Assumed at every worker, it kept late jobs and unknown kinds pending although workers were idle."""
    harness = DispatcherHarness(workers=3, reports_start=True, dispatchers=50)
    teach(harness, 100.0)
    harness.dispatcher.mean_wait, harness.dispatcher.last_start_at = 300.0, harness.now
    harness.dispatcher.class_states["job"].run_time_by_kind = {}
    assert sends(harness.request("unknown kind"))
    harness.dispatcher.class_states["job"].run_time_by_kind = {"k": 5000.0}
    for worker in harness.dispatcher.workers.values():
        worker.queue_wait = 0.0
    assert sends(harness.request("slow kind"))


def test_a_job_that_no_worker_can_end_before_its_deadline_is_refused_at_once() -> None:
    """Clients' last retries came with 30 ms left, and used workers' time for answers that came too late."""
    harness = DispatcherHarness(job_class(late_value_share=0.5), reports_start=True)
    teach(harness, 300.0)
    actions = harness.request("hopeless", remaining=100.0)
    assert not sends(actions) and len(finals(actions)) == 1
    assert sends(harness.request("late but served", remaining=3000.0))


def test_a_pending_job_is_answered_when_its_running_time_no_longer_fits() -> None:
    """It stayed pending until its deadline, though it could not end by then on any slot that became free."""
    harness = DispatcherHarness(job_class(late_value_share=0.5), workers=1, reports_start=True)
    teach(harness, 300.0)
    (send,) = sends(harness.request("running"))
    harness.handle(m.JobProgress("running", 0, send.worker))
    (extra,) = sends(harness.request("turned away", remaining=5000.0))
    harness.end_attempt("turned away", extra.worker, m.AttemptOutcome.FULL, after=1.0)
    assert not finals(harness.request("pending", remaining=700.0))
    start = harness.now
    while not finals(harness.run_sweeps(harness.dispatcher.sweep_interval)):
        assert harness.now < start + 700.0
    assert harness.now <= start + 410.0


def test_a_late_job_goes_only_to_a_worker_without_own_jobs() -> None:
    """Late jobs went to busy workers too, and delayed jobs that could still have ended in time."""
    harness = DispatcherHarness(
        job_class(late_value_share=0.5, work_factor=0.0, latency_target=200.0), workers=1, reports_start=True
    )
    teach(harness, 300.0)
    (send,) = sends(harness.request("running", remaining=5000.0))
    harness.handle(m.JobProgress("running", 0, send.worker))
    assert not sends(harness.request("pending")) and not sends(harness.run_sweeps(100.0))
    assert [
        s.id
        for s in sends(
            harness.end_attempt("running", "w0", m.AttemptOutcome.OK, after=200.0) + harness.run_sweeps(100.0)
        )
    ] == ["pending"]


def test_workers_that_restart_after_an_outage_get_jobs_at_once() -> None:
    """The rate of jobs to a cold worker followed recent throughput, so after an outage it got almost none."""
    for seed in range(5):
        harness = DispatcherHarness(
            workers=1, reports_start=True, warm_within=20_000.0, cold_share=0.2, seed=seed
        )
        teach(harness, 100.0)
        harness.handle(m.WorkerList(m.ListKind.CHANGES, [entry("w0", state=m.WorkerState.GONE)]))
        harness.run_sweeps(40_000.0)  # no job ends for a long time
        harness.request("pending")
        harness.handle(m.WorkerList(m.ListKind.CHANGES, [entry("cold", up_since=harness.now)]))
        assert harness.dispatcher.next_cold_send_at(harness.dispatcher.workers["cold"]) - harness.now < 1000.0


def test_jobs_that_can_wait_stay_pending_while_queues_are_too_long_for_urgent_ones() -> None:
    """Jobs with much time filled the workers' queues, and urgent ones behind them were late."""
    harness = DispatcherHarness(
        job_class("long", latency_target=3000.0),
        job_class("quick", latency_target=100.0, work_factor=0.0),
        workers=2,
    )
    for worker in harness.dispatcher.workers.values():
        worker.queue_wait, worker.queue_wait_seen_at = 800.0, harness.now
    assert not sends(harness.request("a", "long"))
    assert not sends(harness.run_sweeps(600.0))
    assert [s.id for s in sends(harness.run_sweeps(250.0))] == ["a"]


def test_a_first_request_with_little_time_does_not_count_as_a_retry() -> None:
    """A request with less time than others counted as a late retry, and was refused if no worker was idle."""
    for repeat, sent in ((False, 1), (True, 0)):
        harness = DispatcherHarness(
            job_class(late_value_share=0.5), workers=1, reports_start=True, retries_marked=True
        )
        teach(harness, 200.0)
        harness.request("running")
        harness.handle(m.JobProgress("running", 0, "w0"))
        assert len(sends(harness.request("short", remaining=150.0, repeat=repeat))) == sent


def test_in_a_small_fleet_all_workers_are_compared(monkeypatch: pytest.MonkeyPatch) -> None:
    """A sample drawn with replacement covers two thirds of a small fleet, so idle workers were missed."""
    monkeypatch.setattr(dispatcher, "EXPLORATION_RATE", 0.0)
    for seed in range(20):
        harness = DispatcherHarness(workers=10, seed=seed)
        assert len({s.worker for k in range(10) for s in sends(harness.request(f"r{k}"))}) == 10


def test_jobs_of_a_low_value_rate_wait_for_shorter_queues() -> None:
    """Long jobs filled the queues, and short ones of the same value were late."""
    harness = DispatcherHarness(
        job_class("long", value=5.0), job_class("short", value=5.0), workers=1, reports_start=True
    )
    teach(harness, 500.0, job="long")
    teach(harness, 100.0, job="short")
    worker = harness.dispatcher.workers["w0"]
    worker.queue_wait, worker.queue_wait_seen_at = 200.0, harness.now
    assert not sends(harness.request("a", "long")) and sends(harness.request("b", "short"))


def sent_to(harness: DispatcherHarness, job: str, rounds: int = 60) -> set[str]:
    """The workers that get jobs of a class when many are requested at once."""
    names = [f"{job}{harness.now}-{k}" for k in range(rounds)]
    return {s.worker for name in names for s in sends(harness.request(name, job))}


def attempt_at(harness: DispatcherHarness, worker: str, job: str) -> str:
    """The id of a job of the class that is in flight at the worker."""
    return next(
        a.job.id
        for a in harness.dispatcher.in_flight.values()
        if a.worker.name == worker and a.job.spec.name == job
    )


def test_errors_keep_a_class_away_and_those_of_two_classes_any_job() -> None:
    """A worker that fails jobs at once is always idle, so it got job after job, unsafe ones too."""
    unsafe = [job_class(name, m.Effect.UNSAFE) for name in ("a", "b", "c")]
    harness = DispatcherHarness(*unsafe, job_class("safe"), workers=2)
    assert sent_to(harness, "a") == sent_to(harness, "b") == sent_to(harness, "safe") == {"w0", "w1"}
    harness.end_attempt(attempt_at(harness, "w0", "a"), "w0", m.AttemptOutcome.ERROR)
    assert sent_to(harness, "a") == {"w1"} and sent_to(harness, "b") == {"w0", "w1"}
    harness.end_attempt(attempt_at(harness, "w0", "b"), "w0", m.AttemptOutcome.ERROR)
    assert sent_to(harness, "c") == sent_to(harness, "safe") == {"w1"}
    # Afterwards jobs that may safely run again are sent there first.
    faults = harness.dispatcher.workers["w0"].faults
    harness.now = max(until for _, until, _ in faults.values()) + 1.0
    assert sent_to(harness, "safe") == {"w0", "w1"} and sent_to(harness, "c") == {"w1"}
    first = faults["a"][1]
    harness.end_attempt(attempt_at(harness, "w0", "a"), "w0", m.AttemptOutcome.OK)
    assert "a" not in faults and sent_to(harness, "c") == {"w0", "w1"}
    harness.end_attempt(attempt_at(harness, "w0", "b"), "w0", m.AttemptOutcome.ERROR)
    harness.end_attempt(attempt_at(harness, "w0", "b"), "w0", m.AttemptOutcome.ERROR)
    assert faults["b"][1] - harness.now > first - 1_000_000.0  # longer after each fault


def test_a_job_that_never_starts_does_not_block_its_worker() -> None:
    """It counted as load, and its age as the queue's wait, so the worker got nothing until its deadline."""
    harness = DispatcherHarness(job_class(effect=m.Effect.UNSAFE), workers=1, reports_start=True)
    teach(harness, 100.0)
    (unstarted,) = sends(harness.request("stuck"))
    harness.run_sweeps(2500.0)
    assert harness.dispatcher.workers["w0"].in_flight == 0
    (other,) = sends(harness.request("other"))
    harness.handle(m.JobProgress("other", 0, other.worker), 1.0)
    assert harness.dispatcher.workers["w0"].in_flight == 1
    harness.handle(m.JobProgress("stuck", 0, unstarted.worker), 1.0)  # it has started after all
    assert (
        harness.dispatcher.workers["w0"].in_flight == 2 and harness.dispatcher.workers["w0"].not_started == 0
    )
    for name in ("stuck", "other"):
        harness.end_attempt(name, "w0", m.AttemptOutcome.OK)
    assert (
        harness.dispatcher.workers["w0"].in_flight == 0 and harness.dispatcher.workers["w0"].not_started == 0
    )


def test_a_job_overtaken_by_later_ones_is_lost_and_counts_as_a_fault() -> None:
    """Jobs of a class that a worker never starts were sent there repeatedly, each until its deadline."""
    unsafe = job_class("once", m.Effect.UNSAFE)
    for in_order in (True, False):
        harness = DispatcherHarness(
            unsafe, job_class("other"), workers=3, reports_start=True, in_order=in_order
        )
        all_workers = {"w0", "w1", "w2"}
        assert sent_to(harness, "once", 3) == all_workers
        name = attempt_at(harness, "w0", "once")
        for worker in ("w1", "w2"):
            harness.handle(m.JobProgress(attempt_at(harness, worker, "once"), 0, worker))
        harness.now += 350.0
        assert sent_to(harness, "other", 3) == all_workers
        for worker in sorted(all_workers):
            harness.handle(m.JobProgress(attempt_at(harness, worker, "other"), 0, worker))
        harness.run_sweeps(20.0)
        assert harness.dispatcher.in_flight[name, 0].lost == in_order
        assert ("w0" in sent_to(harness, "other", 6)) == in_order
        harness.now += 500.0
        assert ("w0" in sent_to(harness, "once")) != in_order


def test_a_lost_job_that_may_run_again_goes_elsewhere_before_its_deadline() -> None:
    """Jobs on unresponsive machines waited until their deadline although other workers were free."""
    for effect in (m.Effect.SAFE, m.Effect.UNSAFE):
        harness = DispatcherHarness(
            job_class(effect=effect), workers=3, reports_start=True, second_copies=True
        )
        teach(harness, 100.0)
        (first,) = sends(harness.request("r"))
        again = {s.worker for s in sends(harness.run_sweeps(1500.0)) if s.id == "r"}
        assert bool(again) == (effect is m.Effect.SAFE) and first.worker not in again


def test_a_reset_connection_does_not_suspend_its_worker() -> None:
    """Healthy workers were suspended after each reset, on networks where connections break now and then."""
    harness = DispatcherHarness(job_class(effect=m.Effect.UNSAFE), workers=2)
    assert sent_to(harness, "job") == {"w0", "w1"}
    harness.end_attempt(attempt_at(harness, "w0", "job"), "w0", m.AttemptOutcome.RESET)
    assert sent_to(harness, "job") == {"w0", "w1"}
    harness.end_attempt(attempt_at(harness, "w0", "job"), "w0", m.AttemptOutcome.NO_CONNECTION)
    assert sent_to(harness, "job") == {"w1"}


def test_jobs_that_fail_everywhere_do_not_block_every_worker() -> None:
    """Errors that a job itself causes must not count against the workers."""
    harness = DispatcherHarness(workers=4)
    for k in range(12):
        name, actions = f"bad{k}", harness.request(f"bad{k}")
        for n in range(3):
            for send in sends(actions):
                actions = harness.end_attempt(name, send.worker, m.AttemptOutcome.ERROR, n)
    assert all(sends(harness.request(f"good{k}")) for k in range(4))


def test_a_cancelled_job_counts_as_load_until_it_should_have_ended() -> None:
    """Workers finish cancelled jobs, but one that had some counted as idle."""
    harness = DispatcherHarness(workers=2)
    teach(harness, 300.0)
    (send,) = sends(harness.request("gone"))
    harness.handle(m.Withdrawn("gone"))
    harness.end_attempt("gone", send.worker, m.AttemptOutcome.CANCELLED, after=1.0)
    worker = harness.dispatcher.workers[send.worker]
    assert worker.in_flight == 0 and worker.load(harness.now) == 1 and worker.load(harness.now + 400.0) == 0
