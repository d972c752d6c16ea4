"""All decisions of a dispatcher. Times are in ms.

`Dispatcher.handle` takes an event and returns actions, both from `balancer.messages`. A job is sent to a
worker that can end it in time, or stays pending until one can. Workers are ranked by a network for each job
class.
"""

from collections.abc import Callable
from copy import copy
from math import ceil, inf
from random import Random

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.jobs import LONG_TERM_WEIGHT, SHORT_TERM_WEIGHT, Attempt, ClassState, Job
from bitternpath.balancer.dispatch.workers import Worker

# A worker that rejected a job counts as full for this multiple of the mean running time, plus or minus half.
FULL_BACKOFF_RUN_TIMES = 2.0
# A job is not sent to a worker when less than this share of its expected running time is left before its
# deadline.
MIN_RUN_TIME_SHARE_LEFT = 0.5
# Workers compared for a job: this number, plus four times the number of workers per dispatcher.
BASE_SAMPLE_SIZE = 24
# The mean wait is assumed at a worker with the probability that this many sends in a row came from other
# dispatchers, so that this one could not observe the queue.
UNOBSERVED_SENDS = 2
HOME_WORKER_JOB_LIMIT = 2  # own jobs in flight at a home worker: one for each core of the operators' machines
EXPLORATION_RATE = 0.05  # share of the jobs that go to a random usable worker
# A job that has not started within this share of its class's latency target teaches the network a low payoff
# before it ends.
OVERDUE_TARGET_SHARE = 0.5
# After a fault a worker gets no job of that class for this time, doubled for each earlier fault that counts.
FAULT_SUSPENSION_MS, MAX_COUNTED_FAULTS = 4_000.0, 3
OVERTAKEN_AFTER_MS = 300.0  # a job is lost when one sent this much later to the same worker has started first
# A worker that reported within this many progress intervals is running: a refused connection then means that
# it has as many connections as it allows.
RECENT_REPORT_INTERVALS = 1.5
LOST_AFTER_RUN_TIMES = 4.0  # a job that has not started counts as lost after this many mean running times
# A worker is suspended when it has reported nothing for this multiple of the latency target after a send.
SUSPEND_AFTER_TARGETS = 1.0
# Upper limit of the delay before a refused subscription is retried; random factors lengthen it by up to half.
# Discovery counts a change as delivered after 6 s, whichever calls failed, so retries must come sooner.
MAX_SUBSCRIBE_DELAY_MS = 3_000.0
# Shares of `overload_multiple` that a warm worker may get at once from the dispatchers whose home worker it
# is, and from all others. A cold worker gets the part of it that matches its available capacity.
COLD_HOME_SHARE, COLD_SHARED_SHARE = 0.8, 0.2
# An idle cold home worker gets its next job after this share of the last job's work. A cold worker that got
# none for this time is preferred to all others.
COLD_IDLE_GAP_SHARE, COLD_UNUSED_MS = 0.3, 4_000.0


class Dispatcher:
    """One dispatcher. Instances share no state.

    Deterministic: the same settings, seed, times and events give the same actions.
    """

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        self.random = Random(seed)
        self.now = now
        # Share of the dispatcher's sends that this process may make; below 1 while two processes run.
        self.capacity_share = 1.0
        self.class_states: dict[str, ClassState] = {}
        self.workers: dict[str, Worker] = {}
        self.home_workers: list[str] = []  # in a large fleet, the workers tried first; by name
        self.jobs: dict[str, Job] = {}
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by job id and number, oldest first
        self.pending: list[Job] = []  # jobs with no attempt in flight that wait for a usable worker
        self.on_settings(m.NewSettings(settings))
        # Moving averages over all workers and classes.
        self.mean_wait = 0.0
        self.mean_run = 0.0
        self.start_report_delay = settings.start_report_delay  # from a job's start to the first report of it
        self.subscribe_retry_delay = MAX_SUBSCRIBE_DELAY_MS / 8  # before a refused subscription is retried
        self.last_start_at = now  # when the start of a job was last reported
        self.actions: list[m.Action] = [m.StartTimer("sweep", self.sweep_interval)]
        if settings.list_on_request:  # at random: a fleet that starts at once would overload discovery
            delay = self.random.random() * min(settings.must_ask_within / 2, 1.5 * MAX_SUBSCRIBE_DELAY_MS)
            self.actions.append(m.StartTimer("watch", delay))
        self.handlers: dict[type, Callable[..., None]] = {
            m.Request: self.on_request, m.JobProgress: self.on_progress, m.StreamStarted: self.on_progress,
            m.AttemptEnded: self.on_attempt_ended, m.Withdrawn: self.on_withdrawn,
            m.WorkerList: self.on_worker_list, m.NewSettings: self.on_settings, m.TimerFired: self.on_timer,
        }  # fmt: skip

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        """Process an event at time `now`; returns the actions to execute, in order."""
        self.now = now
        self.handlers[type(event)](event)
        actions, self.actions = self.actions, []
        return actions

    def on_settings(self, event: m.NewSettings) -> None:
        """Apply new settings.

        A class that stays keeps what was learned of it. Jobs that are open keep the settings they came under.
        """
        previous_states = self.class_states
        self.settings = event.settings
        self.class_states = {}
        for spec in self.settings.classes:
            previous = previous_states.get(spec.name)
            class_state = (
                copy(previous)
                if previous and spec.shares_learning_with(previous.spec)
                else ClassState(spec, self.settings)
            )
            class_state.spec = spec
            class_state.settings = self.settings
            self.class_states[spec.name] = class_state
            for worker in self.workers.values():
                class_state.add_worker(worker)
        self.min_latency_target = min(spec.latency_target for spec in self.settings.classes)
        self.sweep_interval = max(self.settings.tick, self.min_latency_target / 8)
        # Pending jobs get their final answer this long before it would be too late.
        self.decision_margin = 2 * self.sweep_interval + self.settings.tick

    def on_worker_list(self, event: m.WorkerList) -> None:
        """Apply a worker list or changes to it, or schedule another subscription where one failed."""
        if event.kind is m.ListKind.FAILED:  # retry with back-off: discovery may be overloaded or down
            delay, self.subscribe_retry_delay = (
                self.subscribe_retry_delay,
                min(2 * self.subscribe_retry_delay, MAX_SUBSCRIBE_DELAY_MS),
            )
            return self.actions.append(m.StartTimer("watch", delay * (0.5 + self.random.random())))
        self.subscribe_retry_delay = MAX_SUBSCRIBE_DELAY_MS / 8
        if event.kind is not m.ListKind.CHANGES:
            listed = {entry.worker for entry in event.entries}
            for name in [name for name in self.workers if name not in listed]:
                self.remove_worker(self.workers[name])
        for entry in event.entries:
            self.apply_entry(entry)
        # Each dispatcher takes its slice of the same sorted names, so home workers of different ones overlap
        # little.
        names, workers_per_dispatcher = sorted(self.workers), len(self.workers) / self.settings.dispatchers
        self.home_workers = names[
            int(self.settings.dispatcher_index * workers_per_dispatcher) : ceil(
                (self.settings.dispatcher_index + 1) * workers_per_dispatcher
            )
        ]

    def apply_entry(self, entry: m.WorkerEntry) -> None:
        """Add, update or remove the worker of a list entry."""
        worker = self.workers.get(entry.worker)
        # A restarted worker is a new one: what was learned of the old process no longer applies.
        if worker and (
            entry.state is not m.WorkerState.SERVING or (entry.up_since or 0.0) > worker.up_since + 1
        ):
            self.remove_worker(worker)
        if entry.state is m.WorkerState.SERVING and entry.worker not in self.workers:
            worker = self.workers[entry.worker] = Worker(entry, self.settings.warm_within)
            if worker.warm_at > self.now:
                # The first job comes at a random time within the first gap, because all dispatchers learn
                # of the worker at about the same time.
                last_work = (
                    max(class_state.unloaded_run_time for class_state in self.class_states.values())
                    or self.settings.overload_span
                )
                worker.last_cold_send_at, worker.last_cold_work = self.now, last_work * self.random.random()
            for class_state in self.class_states.values():
                class_state.add_worker(worker)
        if entry.state is m.WorkerState.SERVING:
            self.workers[entry.worker].slots = entry.slots

    def remove_worker(self, worker: Worker) -> None:
        """Send nothing more to a worker that drains or is gone; attempts in flight there go on."""
        del self.workers[worker.name]
        # Pending jobs of a class that was dropped still have the worker in their network.
        worker.suspended_until = worker.unsafe_suspended_until = float("inf")
        for class_state in self.class_states.values():
            if worker.name in class_state.network.index:
                class_state.network.leave(worker)

    def available_share(self, worker: Worker) -> float:
        """The share of its full capacity that a worker has at least: it grows linearly while it warms up."""
        warm_progress = (
            (self.now - worker.up_since) / self.settings.warm_within if worker.warm_at > self.now else 1.0
        )
        return self.settings.cold_share + (1 - self.settings.cold_share) * min(max(warm_progress, 0.0), 1.0)

    def next_cold_send_at(self, worker: Worker) -> float:
        """When a cold worker may get its next job from this dispatcher; 0 for a warm one.

        The gaps keep the jobs of all dispatchers together below the load at which the worker collapses.
        """
        if worker.warm_at <= self.now:
            return 0.0
        is_home, dispatchers, workers = (
            worker.name in self.home_workers,
            self.settings.dispatchers,
            len(self.workers),
        )
        slots = (
            COLD_HOME_SHARE * workers / (workers + dispatchers)
            if is_home
            else COLD_SHARED_SHARE / dispatchers
        )
        slots *= self.settings.overload_multiple * self.available_share(worker) * self.capacity_share
        gap = worker.last_cold_work * (
            COLD_IDLE_GAP_SHARE / self.capacity_share if is_home and not worker.load(self.now) else 1 / slots
        )
        return min(worker.last_cold_send_at + gap, worker.warm_at)

    def on_request(self, event: m.Request) -> None:
        """Send the job of a new request, or keep it pending."""
        job = self.jobs[event.id] = Job(
            event, self.class_states[event.job_class], self.now, self.settings.retries_marked
        )
        if not self.send_or_defer(job):
            self.pending.append(job)

    def send_or_defer(self, job: Job) -> bool:
        """Send the job, or give its final answer where waiting can't help; False if it stays pending."""
        may_send = (
            len(job.attempts) < job.settings.try_limit
            and job.deadline > self.now
            and self.send_window(job) > 0
        )
        worker = self.choose_worker(job) if may_send else None
        if worker is not None:
            self.send(job, worker)
        elif not may_send or self.now + self.decision_margin > job.answer_by:
            may_have_run = (
                any(attempt.may_have_run for attempt in job.attempts) and not job.spec.safe_to_repeat
            )
            self.actions.append(
                m.Fail(job.id) if may_have_run else m.Refuse(job.id, self.retry_after(job.class_state))
            )
            self.close(job)
        return worker is not None or not job.open

    def retry_after(self, class_state: ClassState) -> float:
        """Time until the client may retry: a worker should then be free that can end the job in time."""
        now, longest = self.now, self.settings.max_retry_after
        waits = [
            max(
                max(
                    each.queue_wait + each.queue_wait_seen_at,
                    each.suspended_until,
                    each.full_until,
                    self.next_cold_send_at(each),
                )
                - now,
                0.0,
            )
            + each.own_queue_wait(self.mean_run)
            for each in class_state.network.neurons
        ]
        queued_ahead = (
            len(self.pending)
            * self.mean_run
            / max(sum(each.in_flight - each.not_started for each in class_state.network.neurons), 1)
        )
        wait = min(waits, default=longest) - max(class_state.max_wait(), 0.0) + queued_ahead
        return min(max(wait, self.sweep_interval), longest)

    def send(self, job: Job, worker: Worker) -> None:
        """Start an attempt at the worker and account for it."""
        self.actions.append(m.Send(job.id, worker.name, within=self.send_window(job)))
        attempt = Attempt(job, len(job.attempts), worker, self.now)
        job.attempts.append(attempt)
        self.in_flight[job.id, attempt.number] = attempt
        worker.in_flight += 1
        worker.not_started += self.settings.reports_start
        worker.sends_while_full -= worker.sends_while_full > 0
        if worker.warm_at > self.now:
            work = (
                (job.class_state.unloaded_run_time or self.settings.overload_span)
                * job.size
                * job.request.slots
            )
            worker.last_cold_send_at, worker.last_cold_work = self.now, work * (0.5 + self.random.random())

    def send_window(self, job: Job) -> float:
        """For how long the job may still be sent: forever, not at all, or within its deduplication window."""
        send_times = [attempt.sent_at for attempt in job.attempts if attempt.may_have_run]
        if not send_times or job.spec.effect is not m.Effect.KEYED:
            return inf if not send_times or job.spec.effect is m.Effect.SAFE else 0.0
        # Not the whole window: the attempt must also arrive within it.
        return send_times[0] + 0.9 * job.spec.dedup_window - self.now

    def repeat_allowed(self, job: Job, worker: Worker) -> bool:
        """Whether the job may go to this worker after its earlier attempts.

        If any of them may have run, it must be another worker in the same deduplication scope.
        """
        scope, tried = (
            job.spec.retry_scope,
            [attempt.worker for attempt in job.attempts if attempt.may_have_run],
        )
        return all(
            w is not worker and w.entry.dedup_scope_id(scope) == worker.entry.dedup_scope_id(scope)
            for w in tried
        )

    def choose_worker(self, job: Job) -> Worker | None:
        """Return the usable worker with the highest q / (1 + own jobs in flight), None if there is none.

        A large fleet is searched in three steps, each only if the one before found none: the home workers, a
        random sample, all workers.
        """
        network, random, now = job.class_state.network, self.random.random, self.now
        workers, q, worker_count = network.neurons, network.q, len(network.neurons)
        # A sample of one explores: the job goes to a random worker, if that one is usable.
        sample_size = (
            1
            if random() < EXPLORATION_RATE
            else BASE_SAMPLE_SIZE + 4 * worker_count // self.settings.dispatchers
        )
        # By machine kind: how long the job can wait there and still end in time, or at least have a chance to
        # end before the deadline.
        slack_by_kind = {
            kind: min(
                job.on_time_by - run_time * job.size,
                job.deadline - MIN_RUN_TIME_SHARE_LEFT * run_time * job.size,
            )
            - now
            for kind, run_time in job.class_state.run_time_by_kind.items()
        }
        # The wait assumed where this dispatcher can't see the queue. It shrinks while no start is reported.
        usual_wait = (1 - 1 / self.settings.dispatchers) ** UNOBSERVED_SENDS * max(
            self.mean_wait - (now - self.last_start_at), 0.0
        )
        late = job.spec.late_value_share > 0 and max(slack_by_kind.values(), default=0.0) < 0
        time_left, run_times, safe_to_repeat = (
            job.deadline - now,
            job.class_state.run_time_by_kind,
            job.spec.safe_to_repeat,
        )
        # No queue may grow longer than the most urgent class tolerates. For jobs of a lower value rate the
        # limit is lower still; they stay pending here.
        highest_value_rate = max(
            1e-9, *(class_state.value_rate() for class_state in self.class_states.values())
        )
        value_share = (
            job.class_state.value_rate() / highest_value_rate if job.class_state.mean_run_time else 1.0
        )
        queue_limit = value_share * min(class_state.max_wait() for class_state in self.class_states.values())
        faulty = [
            worker
            for worker in workers
            if worker.faults and worker.blocked_by_faults(job.class_state.spec, now)
        ]
        # If more than half of the workers are, the jobs are the likely cause.
        faulty = faulty if 2 * len(faulty) <= worker_count else []
        best, best_score = None, 0.0
        home_indexes = (
            [network.index[name] for name in self.home_workers if name in network.index]
            if 1 < sample_size < worker_count
            else []
        )
        for indexes in (
            home_indexes,
            [int(random() * worker_count) for _ in range(sample_size if sample_size < worker_count else 0)],
            range(worker_count),
        ):
            for index in indexes:
                worker = workers[index]
                if indexes is home_indexes and (
                    worker.not_started or worker.load(now) >= HOME_WORKER_JOB_LIMIT
                ):
                    continue  # the load of a home worker is known well, since few others send there
                blocked_until = max(
                    self.next_cold_send_at(worker),
                    worker.suspended_until if safe_to_repeat else worker.unsafe_suspended_until,
                )
                if (
                    blocked_until > now
                    or (worker.full_until > now and not worker.sends_while_full)
                    or worker in faulty
                    or 0 < worker.slots <= worker.in_flight
                ):
                    continue
                since_seen, own_wait, long_unused = (
                    now - worker.queue_wait_seen_at,
                    worker.own_queue_wait(self.mean_run),
                    now - worker.last_cold_send_at > COLD_UNUSED_MS,
                )
                # The observed queue has drained since. A late job goes only to a worker with no own job in
                # flight, where it delays no other.
                run_time, available = run_times.get(worker.kind, 0.0) * job.size, self.available_share(worker)
                wait_limit = min(slack_by_kind.get(worker.kind, 0.0), queue_limit) - run_time * (
                    1 / available - 1
                )
                observed_wait, assumed_wait, load = (
                    max(worker.queue_wait - since_seen, 0.0),
                    0.0 if indexes is home_indexes else usual_wait,
                    worker.load(now),
                )
                max_wait = -load if late else max(wait_limit, 0.0) - own_wait
                if max(observed_wait, assumed_wait if late or wait_limit > 0 else 0.0) > max_wait or (
                    late and run_time > time_left
                ):
                    continue
                score = q[index] / (1 + load) * available * (1 + 0.01 * random()) + (
                    long_unused and available < 1
                )
                if score > best_score and (not job.attempts or self.repeat_allowed(job, worker)):
                    best, best_score = worker, score
            if best is not None:
                return best
        # Where all workers are suspended, an unresponsive one out of a small sample is better than none.
        suspects = (
            []
            if any(worker.suspended_until <= now for worker in workers)
            else self.random.sample(workers, min(worker_count, BASE_SAMPLE_SIZE))
        )
        free = (
            worker
            for worker in suspects
            if not 0 < worker.slots <= worker.in_flight and self.next_cold_send_at(worker) <= now
        )
        return next((worker for worker in free if self.repeat_allowed(job, worker)), None)

    def on_progress(self, event: m.JobProgress | m.StreamStarted) -> None:
        """Note that the job of an attempt has started."""
        attempt = self.in_flight.get((event.id, event.attempt))
        if attempt is not None:
            self.record_start(attempt, self.start_report_delay)

    def record_start(self, attempt: Attempt, ms_ago: float) -> None:
        """Record a report from the worker of an attempt: the job started at least `ms_ago` ms ago."""
        worker = attempt.worker
        worker.last_report_at, worker.suspensions, worker.suspended_until, worker.unsafe_suspended_until = (
            self.now,
            0,
            0.0,
            0.0,
        )
        if attempt.started_at is not None:
            return
        self.set_lost(attempt, False)
        attempt.started_at = max(self.now - ms_ago, attempt.sent_at)
        worker.not_started -= self.settings.reports_start
        # Weighted by time, not by number of jobs: a dispatcher with few jobs must notice long waits too.
        weight = min((self.now - self.last_start_at) / (4 * self.settings.overload_span), 0.5)
        worker.queue_wait, worker.queue_wait_seen_at, self.last_start_at = (
            attempt.started_at - attempt.sent_at,
            self.now,
            self.now,
        )
        worker.newest_started_send = max(worker.newest_started_send, attempt.sent_at)
        self.mean_wait += weight * (worker.queue_wait - self.mean_wait)

    def send_second_copy(self, job: Job) -> None:
        """Send a job again if all its attempts are lost and a repeat does no harm."""
        may_send = (
            job.open and job.spec.safe_to_repeat and job.settings.second_copies and self.send_window(job) > 0
        )
        if (
            may_send
            and len(job.attempts) < job.settings.try_limit
            and not any(attempt.in_flight and not attempt.lost for attempt in job.attempts)
        ):
            worker = self.choose_worker(job) if job.deadline > self.now else None
            if worker is not None:
                self.send(job, worker)

    def on_attempt_ended(self, event: m.AttemptEnded) -> None:
        """Learn from an attempt that ended, and retry or answer its job."""
        attempt = self.in_flight.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        job, worker, was_lost, outcome = attempt.job, attempt.worker, attempt.lost, event.outcome
        self.set_lost(attempt, False)
        attempt.in_flight = False
        worker.in_flight -= 1
        attempt.may_have_run = outcome not in m.NOT_EXECUTED
        worker.sends_while_full = int(attempt.may_have_run)
        if outcome is m.AttemptOutcome.OK:
            fault_count = worker.faults.pop(job.spec.name, (0, 0.0, 0.0))[0]
            if fault_count > 1:
                worker.faults[job.spec.name] = fault_count - 1, 0.0, 0.0
            self.record_start(attempt, self.start_report_delay or event.elapsed)
            if not attempt.scored:
                self.record_payoff(attempt, event.elapsed)
        else:
            worker.not_started -= self.settings.reports_start and attempt.started_at is None
        if outcome in m.LIKELY_STILL_RUNNING and not was_lost:
            starts_at = attempt.started_at or self.now + max(
                worker.queue_wait - (self.now - worker.queue_wait_seen_at), 0.0
            )
            worker.cancelled_job_ends.append(
                starts_at + (job.class_state.mean_run_time or self.settings.overload_span) * job.size
            )
        if outcome not in (m.AttemptOutcome.OK, m.AttemptOutcome.CANCELLED):
            if outcome is m.AttemptOutcome.ERROR and sum(other.may_have_run for other in job.attempts) == 1:
                # Only the first failure of a job: one that fails elsewhere too may be the cause itself.
                self.record_fault(worker, job.class_state)
            elif (
                outcome is m.AttemptOutcome.NO_CONNECTION
                and self.now - worker.last_report_at > RECENT_REPORT_INTERVALS * self.settings.progress_every
            ):
                self.suspend(worker)
            elif not attempt.may_have_run:
                # Until then one job is sent for each own job that ends there (`sends_while_full`): more would
                # compete for one free slot.
                backoff = FULL_BACKOFF_RUN_TIMES * (job.class_state.mean_run_time or job.spec.latency_target)
                worker.full_until = self.now + backoff * (0.5 + self.random.random())
            job.class_state.network.learn(worker, 0.0, completed=False)
        if event.final or not job.open:
            self.close(job)
        elif not any(other.in_flight for other in job.attempts) and not self.send_or_defer(job):
            self.pending.append(job)
        if attempt.may_have_run and self.pending:
            self.retry_pending(1)

    def record_payoff(self, attempt: Attempt, elapsed: float) -> None:
        """Learn from a job that succeeded: its payoff is 1/G, with G its elapsed time over its size."""
        class_state, size, kind = attempt.job.class_state, attempt.job.size, attempt.worker.kind
        run_time = elapsed - (attempt.started_at or attempt.sent_at) + attempt.sent_at
        class_state.ended_jobs += 1
        class_state.mean_run_time += max(LONG_TERM_WEIGHT, 1 / class_state.ended_jobs) * (
            run_time / size - class_state.mean_run_time
        )
        # Falls at once and rises slowly: running times of an overloaded fleet must not pass for heavier work,
        # which would be given more time to end.
        class_state.unloaded_run_time = (
            min(class_state.mean_run_time, class_state.unloaded_run_time * (1 + LONG_TERM_WEIGHT / 100))
            if class_state.ended_jobs > 1 / LONG_TERM_WEIGHT
            else class_state.mean_run_time
        )
        self.mean_run += LONG_TERM_WEIGHT * (run_time - self.mean_run) if self.mean_run else run_time
        class_state.run_time_by_kind[kind] = (
            class_state.run_time_by_kind.get(kind, run_time / size) * (1 - SHORT_TERM_WEIGHT)
            + run_time / size * SHORT_TERM_WEIGHT
        )
        # A heavy job is not its worker's fault: its running time counts up to three times the mean.
        goal = elapsed - run_time + min(run_time, 3 * class_state.mean_run_time * size)
        class_state.network.learn(attempt.worker, size / max(goal, 1e-3))

    def suspend(self, worker: Worker) -> None:
        """Send nothing to the worker for a while, unless it reports; unsafe jobs stay away twice as long.

        The time doubles with each suspension in a row, up to 16 times the base.
        """
        worker.suspensions += 1
        duration = 4 * self.min_latency_target * min(2**worker.suspensions, 16) * (0.5 + self.random.random())
        worker.suspended_until, worker.unsafe_suspended_until = self.now + duration, self.now + 2 * duration

    def record_fault(self, worker: Worker, class_state: ClassState) -> None:
        """Send the worker no job of the class for a while.

        A worker that fails jobs at once is always idle, and would be chosen for job after job.
        """
        earlier_faults = worker.faults.get(class_state.spec.name, (0, 0.0, 0.0))[0]
        duration = FAULT_SUSPENSION_MS * 2**earlier_faults * (0.5 + self.random.random())
        worker.faults[class_state.spec.name] = (
            min(earlier_faults + 1, MAX_COUNTED_FAULTS),
            self.now + duration,
            self.now + 2 * duration,
        )

    def set_lost(self, attempt: Attempt, lost: bool = True) -> None:
        """Set whether an attempt counts as lost: it will likely never start, so it is no load or queue."""
        change, attempt.lost = attempt.lost - lost, lost
        attempt.worker.in_flight += change
        attempt.worker.not_started += change * self.settings.reports_start

    def on_withdrawn(self, event: m.Withdrawn) -> None:
        """Stop work on a request whose client has left."""
        if event.id in self.jobs:
            self.close(self.jobs[event.id])

    def close(self, job: Job) -> None:
        """Cancel the attempts of a job that has its final answer or whose client has left."""
        in_flight = [attempt for attempt in job.attempts if attempt.in_flight]
        if job.open and self.settings.may_cancel:
            self.actions += [m.Cancel(job.id, attempt.number) for attempt in in_flight]
        job.open = False
        if not in_flight:
            self.jobs.pop(job.id, None)

    def retry_pending(self, limit: int) -> None:
        """Try to send up to `limit` pending jobs: highest value rate first, then the newest.

        Oldest first would make all of them late.
        """
        self.pending.sort(key=lambda job: job.class_state.value_rate())
        while self.pending and limit > 0:
            job = self.pending.pop()
            limit -= job.open
            if job.open and not self.send_or_defer(job):
                return self.pending.append(job)  # scanning a full fleet for each of the rest is costly

    def on_timer(self, event: m.TimerFired) -> None:
        """Subscribe or sweep, as the label of the timer says."""
        if event.label == "watch":
            self.actions.append(m.SubscribeToWorkers())
        elif event.label == "sweep":
            self.sweep()

    def sweep(self) -> None:
        """Check attempts that have not started and pending jobs, once every `sweep_interval`."""
        self.actions.append(m.StartTimer("sweep", self.sweep_interval))
        now = self.now
        for attempt in list(self.in_flight.values()):
            class_state, spec, worker = attempt.job.class_state, attempt.job.spec, attempt.worker
            # A start earlier than this long ago would have been reported by now.
            age = now - attempt.sent_at - self.start_report_delay
            if attempt.started_at is not None or age < OVERDUE_TARGET_SHARE * spec.latency_target:
                continue
            if not attempt.scored:
                attempt.scored = True
                class_state.network.learn(
                    worker, attempt.job.size / (age + class_state.mean_run_time), completed=False
                )
            if (
                self.settings.in_order
                and not attempt.lost
                and worker.newest_started_send > attempt.sent_at + OVERTAKEN_AFTER_MS
            ):
                self.set_lost(attempt)
                self.record_fault(worker, class_state)
            if attempt.lost:
                self.send_second_copy(attempt.job)
                continue
            if age > worker.queue_wait - (now - worker.queue_wait_seen_at):
                worker.queue_wait, worker.queue_wait_seen_at = age, now
            if (
                age > SUSPEND_AFTER_TARGETS * spec.latency_target
                and worker.last_report_at < attempt.sent_at
                and worker.suspended_until <= now
            ):
                self.suspend(worker)
            if age > LOST_AFTER_RUN_TIMES * self.mean_run > 0:
                self.set_lost(attempt)
        self.retry_pending(len(self.pending))
        cutoff = now + self.decision_margin
        self.pending = [
            job
            for job in self.pending
            if job.open and (cutoff <= job.answer_by or not self.send_or_defer(job))
        ]
