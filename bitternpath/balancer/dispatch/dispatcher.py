"""All decisions of a dispatcher: `handle` takes an event, returns actions (messages.py). Times are in ms."""

from collections.abc import Callable
from copy import copy
from math import ceil, inf
from random import Random

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.jobs import LONG_TERM_WEIGHT, SHORT_TERM_WEIGHT, Attempt, ClassState, Job
from bitternpath.balancer.dispatch.workers import Worker

FULL_BACKOFF_RUN_TIMES = (
    2.0  # mean running times for which a worker that turned a job away is held to be full
)
MIN_RUN_TIME_SHARE_LEFT = (
    0.5  # of the usual running time: with less left before the deadline a job is not worth a try
)
BASE_SAMPLE_SIZE = 24  # workers compared for a job, and besides four times a dispatcher's share of the fleet
UNOBSERVED_SENDS = 2  # sends: an unseen queue is as usual with the chance that so many in a row were others'
HOME_WORKER_JOB_LIMIT = 2  # own jobs at once at a home: a job for each core of the operators' machines
EXPLORATION_RATE = 0.05  # share of jobs that go to a random usable worker
OVERDUE_TARGET_SHARE = 0.5  # of the aim: a job that has not begun by then scores its long time early
FAULT_SUSPENSION_MS, MAX_COUNTED_FAULTS = (
    4_000.0,
    3,
)  # ms without jobs of a class after a fault, doubled by so many before it
OVERTAKEN_AFTER_MS = 300.0  # ms: a job that has not begun though one sent so much later has, is lost
RECENT_REPORT_INTERVALS = (
    1.5  # intervals of progress: heard of since, a worker that refuses runs and holds all it may
)
LOST_AFTER_RUN_TIMES = 4.0  # mean running times after which a job that has not begun counts as lost
SUSPEND_AFTER_TARGETS = (
    1.0  # of the aim: a worker not heard from for so long after a send leaves the usable set
)
MAX_SUBSCRIBE_DELAY_MS = (
    3_000.0  # ms, and half of it more: a change counts as told after 6 s, whatever call failed
)
COLD_HOME_SHARE, COLD_SHARED_SHARE = (
    0.8,
    0.2,
)  # of the multiple: slots of those whose home it is, and of others, once warm
COLD_IDLE_GAP_SHARE, COLD_UNUSED_MS = (
    0.3,
    4_000.0,
)  # of a job: the gap at an idle cold home; ms until it goes first


class Dispatcher:
    """One dispatcher; instances share nothing.

    Deterministic: the same settings, seed, times and events give the same actions.
    """

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        self.random = Random(seed)
        self.now = now
        self.capacity_share = 1.0  # this process's part of what the dispatcher may send, during an upgrade
        self.class_states: dict[str, ClassState] = {}
        self.workers: dict[str, Worker] = {}
        self.home_workers: list[str] = []  # workers that in a large fleet get this dispatcher's jobs first
        self.jobs: dict[str, Job] = {}
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # in flight by job and number, oldest first
        self.pending: list[Job] = []
        self.on_settings(m.NewSettings(settings))
        self.mean_wait = 0.0  # moving averages over all workers and classes
        self.mean_run = 0.0
        self.start_report_delay = (
            settings.start_report_delay
        )  # ms from a job's start to the first report of it
        self.subscribe_retry_delay = (
            MAX_SUBSCRIBE_DELAY_MS / 8
        )  # ms until a refused subscription is tried again
        self.last_start_at = now  # when a job was last known to have begun
        self.actions: list[m.Action] = [m.StartTimer("sweep", self.sweep_interval)]
        if settings.list_on_request:  # spread out: a fleet that starts at once would swamp the list service
            delay = self.random.random() * min(settings.must_ask_within / 2, 1.5 * MAX_SUBSCRIBE_DELAY_MS)
            self.actions.append(m.StartTimer("watch", delay))
        self.handlers: dict[type, Callable[..., None]] = {
            m.Request: self.on_request, m.JobProgress: self.on_progress, m.StreamStarted: self.on_progress,
            m.AttemptEnded: self.on_outcome, m.Withdrawn: self.on_withdrawn,
            m.WorkerList: self.on_worker_list, m.NewSettings: self.on_settings, m.TimerFired: self.on_timer,
        }  # fmt: skip

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        """Take an event at time `now` (ms); returns the actions to execute, in their order."""
        self.now = now
        self.handlers[type(event)](event)
        actions, self.actions = self.actions, []
        return actions

    def on_settings(self, event: m.NewSettings) -> None:
        """What was learned of a class that stays, stays; open jobs keep the rules under which they came."""
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
        self.decision_margin = (
            2 * self.sweep_interval + self.settings.tick
        )  # held jobs are settled so long before it is too late

    def on_worker_list(self, event: m.WorkerList) -> None:
        if event.kind is m.ListKind.FAILED:  # ask again, later each time: the service may be swamped or down
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
        # All dispatchers cut the same ring of names into as many pieces as they are: theirs overlap little.
        names, workers_per_dispatcher = sorted(self.workers), len(self.workers) / self.settings.dispatchers
        self.home_workers = names[
            int(self.settings.dispatcher_index * workers_per_dispatcher) : ceil(
                (self.settings.dispatcher_index + 1) * workers_per_dispatcher
            )
        ]

    def apply_entry(self, entry: m.WorkerEntry) -> None:
        worker = self.workers.get(entry.worker)
        # After a restart what was learned of the old process is void.
        if worker and (
            entry.state is not m.WorkerState.SERVING or (entry.up_since or 0.0) > worker.up_since + 1
        ):
            self.remove_worker(worker)
        if entry.state is m.WorkerState.SERVING and entry.worker not in self.workers:
            worker = self.workers[entry.worker] = Worker(entry, self.settings.warm_within)
            if worker.warm_at > self.now:
                # At a random point of the first gap: all dispatchers hear of it at about the same time.
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
        """Draining or gone: it gets nothing more (well before the grace ends); what is out there runs on."""
        del self.workers[worker.name]
        worker.suspended_until = worker.unsafe_suspended_until = float(
            "inf"
        )  # for jobs of a class that is no more
        for class_state in self.class_states.values():
            if worker.name in class_state.network.index:
                class_state.network.leave(worker)

    def available_share(self, worker: Worker) -> float:
        """What part of its full capacity a worker has at least."""
        warm_progress = (
            (self.now - worker.up_since) / self.settings.warm_within if worker.warm_at > self.now else 1.0
        )
        return self.settings.cold_share + (1 - self.settings.cold_share) * min(max(warm_progress, 0.0), 1.0)

    def next_cold_send_at(self, worker: Worker) -> float:
        """When a cold worker may get the next job, for all dispatchers together must not push it over."""
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
        job = self.jobs[event.id] = Job(
            event, self.class_states[event.job_class], self.now, self.settings.retries_marked
        )
        if not self.send_or_defer(job):
            self.pending.append(job)

    def send_or_defer(self, job: Job) -> bool:
        """Send the job, or hold it while that can help, or give its final answer; False if it is held."""
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
        """When the client may come again: a place where its job ends in time should be free by then."""
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
        """For how long (ms) the class still lets the job be sent, to some worker at least."""
        send_times = [attempt.sent_at for attempt in job.attempts if attempt.may_have_run]
        if not send_times or job.spec.effect is not m.Effect.KEYED:
            return inf if not send_times or job.spec.effect is m.Effect.SAFE else 0.0
        return (
            send_times[0] + 0.9 * job.spec.dedup_window - self.now
        )  # the attempt must arrive inside the window too

    def repeat_allowed(self, job: Job, worker: Worker) -> bool:
        """Where earlier attempts may have run: another worker, of the group that drops the repeat."""
        scope, tried = (
            job.spec.retry_scope,
            [attempt.worker for attempt in job.attempts if attempt.may_have_run],
        )
        return all(
            w is not worker and w.entry.dedup_scope_id(scope) == worker.entry.dedup_scope_id(scope)
            for w in tried
        )

    def choose_worker(self, job: Job) -> Worker | None:
        """The usable worker with the highest q / (1 + own jobs in flight), of a sample in large fleets."""
        network, random, now = job.class_state.network, self.random.random, self.now
        workers, q, worker_count = network.neurons, network.q, len(network.neurons)
        sample_size = (
            1
            if random() < EXPLORATION_RATE
            else BASE_SAMPLE_SIZE + 4 * worker_count // self.settings.dispatchers
        )
        # By kind: time until the job can no longer end there in time, or hardly before the client gives up.
        slack_by_kind = {
            kind: min(
                job.on_time_by - run_time * job.size,
                job.deadline - MIN_RUN_TIME_SHARE_LEFT * run_time * job.size,
            )
            - now
            for kind, run_time in job.class_state.run_time_by_kind.items()
        }
        # The usual wait, where the last sends to a worker were likely others'; it drains when no job begins.
        usual_wait = (1 - 1 / self.settings.dispatchers) ** UNOBSERVED_SENDS * max(
            self.mean_wait - (now - self.last_start_at), 0.0
        )
        late = job.spec.late_value_share > 0 and max(slack_by_kind.values(), default=0.0) < 0
        time_left, run_times, safe_to_repeat = (
            job.deadline - now,
            job.class_state.run_time_by_kind,
            job.spec.safe_to_repeat,
        )
        # No queue grows longer than the hastiest class bears, by what earns less even less: it is held here.
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
        faulty = faulty if 2 * len(faulty) <= worker_count else []  # else it is hardly the workers' fault
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
                    continue  # what others send elsewhere is not known, what is sent here nearly is
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
                # A queue drains since it was seen. What is late goes only where it makes no other job late.
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
        # Where all are suspect, better a silent one of a few than none.
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
        attempt = self.in_flight.get((event.id, event.attempt))
        if attempt is not None:
            self.record_start(attempt, self.start_report_delay)

    def record_start(self, attempt: Attempt, ms_ago: float) -> None:
        """The worker was heard from: a job there has begun, at the latest so long (ms) ago."""
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
        weight = min(
            (self.now - self.last_start_at) / (4 * self.settings.overload_span), 0.5
        )  # by time, not by jobs
        worker.queue_wait, worker.queue_wait_seen_at, self.last_start_at = (
            attempt.started_at - attempt.sent_at,
            self.now,
            self.now,
        )
        worker.newest_started_send = max(worker.newest_started_send, attempt.sent_at)
        self.mean_wait += weight * (worker.queue_wait - self.mean_wait)

    def send_second_copy(self, job: Job) -> None:
        """Send a job again whose attempts are lost, where it may run twice."""
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

    def on_outcome(self, event: m.AttemptEnded) -> None:
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
                self.record_fault(
                    worker, job.class_state
                )  # if it failed elsewhere too, the job may itself be the cause
            elif (
                outcome is m.AttemptOutcome.NO_CONNECTION
                and self.now - worker.last_report_at > RECENT_REPORT_INTERVALS * self.settings.progress_every
            ):
                self.suspend(worker)
            elif not attempt.may_have_run:
                # Until then one job goes there for each own job that ends: more would race for one free slot.
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
        """Payoff 1/G of a job that ended: G is its time over its size."""
        class_state, size, kind = attempt.job.class_state, attempt.job.size, attempt.worker.kind
        run_time = elapsed - (attempt.started_at or attempt.sent_at) + attempt.sent_at
        class_state.ended_jobs += 1
        class_state.mean_run_time += max(LONG_TERM_WEIGHT, 1 / class_state.ended_jobs) * (
            run_time / size - class_state.mean_run_time
        )
        # Falls at once and rises slowly: strain must not pass for heavier work that has more time to end.
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
        # A heavy job is not its worker's fault: running time counts up to three times the usual.
        goal = elapsed - run_time + min(run_time, 3 * class_state.mean_run_time * size)
        class_state.network.learn(attempt.worker, size / max(goal, 1e-3))

    def suspend(self, worker: Worker) -> None:
        """Leave it out for a while, longer each time, until it is heard from; unsafe jobs twice as long."""
        worker.suspensions += 1
        duration = 4 * self.min_latency_target * min(2**worker.suspensions, 16) * (0.5 + self.random.random())
        worker.suspended_until, worker.unsafe_suspended_until = self.now + duration, self.now + 2 * duration

    def record_fault(self, worker: Worker, class_state: ClassState) -> None:
        """Keep a class away for a while: a worker that fails at once is idle and would draw job after job."""
        earlier_faults = worker.faults.get(class_state.spec.name, (0, 0.0, 0.0))[0]
        duration = FAULT_SUSPENSION_MS * 2**earlier_faults * (0.5 + self.random.random())
        worker.faults[class_state.spec.name] = (
            min(earlier_faults + 1, MAX_COUNTED_FAULTS),
            self.now + duration,
            self.now + 2 * duration,
        )

    def set_lost(self, attempt: Attempt, lost: bool = True) -> None:
        """Lost jobs will likely never begin: they hold no place, nor do they tell of a queue."""
        change, attempt.lost = attempt.lost - lost, lost
        attempt.worker.in_flight += change
        attempt.worker.not_started += change * self.settings.reports_start

    def on_withdrawn(self, event: m.Withdrawn) -> None:
        if event.id in self.jobs:
            self.close(self.jobs[event.id])

    def close(self, job: Job) -> None:
        """The client has its answer or has left: what is still out serves nobody."""
        in_flight = [attempt for attempt in job.attempts if attempt.in_flight]
        if job.open and self.settings.may_cancel:
            self.actions += [m.Cancel(job.id, attempt.number) for attempt in in_flight]
        job.open = False
        if not in_flight:
            self.jobs.pop(job.id, None)

    def retry_pending(self, limit: int) -> None:
        """Try to place held jobs, of those that earn most the newest first: oldest first makes all late."""
        self.pending.sort(key=lambda job: job.class_state.value_rate())
        while self.pending and limit > 0:
            job = self.pending.pop()
            limit -= job.open
            if job.open and not self.send_or_defer(job):
                return self.pending.append(job)  # more scans of a full fleet are dear

    def on_timer(self, event: m.TimerFired) -> None:
        if event.label == "watch":
            self.actions.append(m.SubscribeToWorkers())
        elif event.label == "sweep":
            self.sweep()

    def sweep(self) -> None:
        self.actions.append(m.StartTimer("sweep", self.sweep_interval))
        now = self.now
        for attempt in list(self.in_flight.values()):
            class_state, spec, worker = attempt.job.class_state, attempt.job.spec, attempt.worker
            age = (
                now - attempt.sent_at - self.start_report_delay
            )  # it would have been heard of had it begun before that
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
