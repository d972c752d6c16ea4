"""All decisions of a dispatcher: `handle` takes an event, returns actions (messages.py). Times are in ms."""

from collections.abc import Callable
from copy import copy
from math import ceil, inf
from random import Random

from bitternpath.balancer import messages as m
from bitternpath.balancer.dispatch.jobs import QUICK, SLOW, Attempt, ClassState, Job
from bitternpath.balancer.dispatch.workers import Worker

FULL_REST = 2.0  # mean running times for which a worker that turned a job away is held to be full
CHANCE = 0.5  # of the usual running time: with less left before the deadline a job is not worth a try
SAMPLE = 24  # workers compared for a job, and besides four times a dispatcher's share of the fleet
UNSEEN = 2  # sends: an unseen queue is as usual with the chance that so many in a row were others'
PLACES = 2  # own jobs at once at a home: a job for each core of the operators' machines
EXPLORE = 0.05  # share of jobs that go to a random usable worker
OVERDUE = 0.5  # of the aim: a job that has not begun by then scores its long time early
FAULTY, MOST_FAULTS = 4_000.0, 3  # ms without jobs of a class after a fault, doubled by so many before it
OVERTAKEN = 300.0  # ms: a job that has not begun though one sent so much later has, is lost
HEARD = 1.5  # intervals of progress: heard of since, a worker that refuses runs and holds all it may
LOST = 4.0  # mean running times after which a job that has not begun counts as lost
SILENT = 1.0  # of the aim: a worker not heard from for so long after a send leaves the usable set
ASK_AGAIN = 3_000.0  # ms, and half of it more: a change counts as told after 6 s, whatever call failed
COLD_HOME, COLD_REST = 0.8, 0.2  # of the multiple: slots of those whose home it is, and of others, once warm
COLD_IDLE, COLD_UNUSED = 0.3, 4_000.0  # of a job: the gap at an idle cold home; ms until it goes first


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
        self.behind = settings.start_report_delay  # ms from a job's start to the first report of it
        self.ask_wait = ASK_AGAIN / 8  # ms until a refused subscription is tried again
        self.begun_at = now  # when a job was last known to have begun
        self.actions: list[m.Action] = [m.StartTimer("sweep", self.pause)]
        if settings.list_on_request:  # spread out: a fleet that starts at once would swamp the list service
            first = self.random.random() * min(settings.must_ask_within / 2, 1.5 * ASK_AGAIN)
            self.actions.append(m.StartTimer("watch", first))
        self.answer: dict[type, Callable[..., None]] = {
            m.Request: self.on_request, m.JobProgress: self.on_note, m.StreamStarted: self.on_note,
            m.AttemptEnded: self.on_outcome, m.Withdrawn: self.on_withdrawn, m.WorkerList: self.on_list,
            m.NewSettings: self.on_settings, m.TimerFired: self.on_alarm,
        }  # fmt: skip

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        """Take an event at time `now` (ms); returns the actions to execute, in their order."""
        self.now = now
        self.answer[type(event)](event)
        actions, self.actions = self.actions, []
        return actions

    def on_settings(self, event: m.NewSettings) -> None:
        """What was learned of a class that stays, stays; open jobs keep the rules under which they came."""
        before = self.class_states
        self.settings = event.settings
        self.class_states = {}
        for spec in self.settings.classes:
            old = before.get(spec.name)
            class_state = (
                copy(old) if old and spec.shares_learning_with(old.spec) else ClassState(spec, self.settings)
            )
            class_state.spec = spec
            class_state.settings = self.settings
            self.class_states[spec.name] = class_state
            for worker in self.workers.values():
                class_state.join(worker)
        self.aim = min(spec.latency_target for spec in self.settings.classes)
        self.pause = max(self.settings.tick, self.aim / 8)
        self.margin = (
            2 * self.pause + self.settings.tick
        )  # held jobs are settled so long before it is too late

    def on_list(self, event: m.WorkerList) -> None:
        if event.kind is m.ListKind.FAILED:  # ask again, later each time: the service may be swamped or down
            wait, self.ask_wait = self.ask_wait, min(2 * self.ask_wait, ASK_AGAIN)
            return self.actions.append(m.StartTimer("watch", wait * (0.5 + self.random.random())))
        self.ask_wait = ASK_AGAIN / 8
        if event.kind is not m.ListKind.CHANGES:
            named = {entry.worker for entry in event.entries}
            for name in [name for name in self.workers if name not in named]:
                self.retire(self.workers[name])
        for entry in event.entries:
            self.on_entry(entry)
        # All dispatchers cut the same ring of names into as many pieces as they are: theirs overlap little.
        names, piece = sorted(self.workers), len(self.workers) / self.settings.dispatchers
        self.home_workers = names[
            int(self.settings.dispatcher_index * piece) : ceil((self.settings.dispatcher_index + 1) * piece)
        ]

    def on_entry(self, entry: m.WorkerEntry) -> None:
        worker = self.workers.get(entry.worker)
        # After a restart what was learned of the old process is void.
        if worker and (entry.state is not m.WorkerState.SERVING or (entry.up_since or 0.0) > worker.up + 1):
            self.retire(worker)
        if entry.state is m.WorkerState.SERVING and entry.worker not in self.workers:
            worker = self.workers[entry.worker] = Worker(entry, self.settings.warm_within)
            if worker.warm_at > self.now:
                # At a random point of the first gap: all dispatchers hear of it at about the same time.
                work = (
                    max(class_state.work for class_state in self.class_states.values())
                    or self.settings.overload_span
                )
                worker.cold_at, worker.cold_work = self.now, work * self.random.random()
            for class_state in self.class_states.values():
                class_state.join(worker)
        if entry.state is m.WorkerState.SERVING:
            self.workers[entry.worker].slots = entry.slots

    def retire(self, worker: Worker) -> None:
        """Draining or gone: it gets nothing more (well before the grace ends); what is out there runs on."""
        del self.workers[worker.name]
        worker.out_until = worker.unsafe_out_until = float("inf")  # for jobs of a class that is no more
        for class_state in self.class_states.values():
            if worker.name in class_state.net.index:
                class_state.net.leave(worker)

    def share(self, worker: Worker) -> float:
        """What part of its full capacity a worker has at least."""
        age = (self.now - worker.up) / self.settings.warm_within if worker.warm_at > self.now else 1.0
        return self.settings.cold_share + (1 - self.settings.cold_share) * min(max(age, 0.0), 1.0)

    def next_cold(self, worker: Worker) -> float:
        """When a cold worker may get the next job, for all dispatchers together must not push it over."""
        if worker.warm_at <= self.now:
            return 0.0
        home, many, n = worker.name in self.home_workers, self.settings.dispatchers, len(self.workers)
        slots = COLD_HOME * n / (n + many) if home else COLD_REST / many
        slots *= self.settings.overload_multiple * self.share(worker) * self.capacity_share
        gap = worker.cold_work * (
            COLD_IDLE / self.capacity_share if home and not worker.load(self.now) else 1 / slots
        )
        return min(worker.cold_at + gap, worker.warm_at)

    def on_request(self, event: m.Request) -> None:
        job = self.jobs[event.id] = Job(
            event, self.class_states[event.job_class], self.now, self.settings.retries_marked
        )
        if not self.send_or_hold(job):
            self.pending.append(job)

    def send_or_hold(self, job: Job) -> bool:
        """Send the job, or hold it while that can help, or give its final answer; False if it is held."""
        can = (
            len(job.attempts) < job.settings.try_limit
            and job.deadline > self.now
            and self.send_window(job) > 0
        )
        worker = self.choose_worker(job) if can else None
        if worker is not None:
            self.send(job, worker)
        elif not can or self.now + self.margin > job.settle_by:
            ran = any(t.ran for t in job.attempts) and not job.spec.safe_to_repeat
            self.actions.append(m.Fail(job.id) if ran else m.Refuse(job.id, self.advice(job.class_state)))
            self.close(job)
        return worker is not None or not job.open

    def advice(self, class_state: ClassState) -> float:
        """When the client may come again: a place where its job ends in time should be free by then."""
        now, longest = self.now, self.settings.max_retry_after
        waits = [
            max(max(w.wait + w.wait_at, w.out_until, w.full_until, self.next_cold(w)) - now, 0.0)
            + w.own_queue(self.mean_run)
            for w in class_state.net.neurons
        ]
        queued_ahead = (
            len(self.pending) * self.mean_run / max(sum(w.n - w.waiting for w in class_state.net.neurons), 1)
        )
        wait = min(waits, default=longest) - max(class_state.longest_wait(), 0.0) + queued_ahead
        return min(max(wait, self.pause), longest)

    def send(self, job: Job, worker: Worker) -> None:
        self.actions.append(m.Send(job.id, worker.name, within=self.send_window(job)))
        attempt = Attempt(job, len(job.attempts), worker, self.now)
        job.attempts.append(attempt)
        self.in_flight[job.id, attempt.n] = attempt
        worker.n += 1
        worker.waiting += self.settings.reports_start
        worker.room -= worker.room > 0
        if worker.warm_at > self.now:
            work = (job.class_state.work or self.settings.overload_span) * job.size * job.request.slots
            worker.cold_at, worker.cold_work = self.now, work * (0.5 + self.random.random())

    def send_window(self, job: Job) -> float:
        """For how long (ms) the class still lets the job be sent, to some worker at least."""
        sent = [t.sent for t in job.attempts if t.ran]
        if not sent or job.spec.effect is not m.Effect.KEYED:
            return inf if not sent or job.spec.effect is m.Effect.SAFE else 0.0
        return (
            sent[0] + 0.9 * job.spec.dedup_window - self.now
        )  # the attempt must arrive inside the window too

    def allowed(self, job: Job, worker: Worker) -> bool:
        """Where earlier attempts may have run: another worker, of the group that drops the repeat."""
        group, ran = job.spec.retry_scope, [t.worker for t in job.attempts if t.ran]
        return all(
            w is not worker and w.entry.dedup_scope_id(group) == worker.entry.dedup_scope_id(group)
            for w in ran
        )

    def choose_worker(self, job: Job) -> Worker | None:
        """The usable worker with the highest q / (1 + own jobs in flight), of a sample in large fleets."""
        net, rand, now = job.class_state.net, self.random.random, self.now
        workers, q, n = net.neurons, net.q, len(net.neurons)
        many = 1 if rand() < EXPLORE else SAMPLE + 4 * n // self.settings.dispatchers
        # By kind: time until the job can no longer end there in time, or hardly before the client gives up.
        kinds = {
            kind: min(job.end_by - pace * job.size, job.deadline - CHANCE * pace * job.size) - now
            for kind, pace in job.class_state.pace.items()
        }
        # The usual wait, where the last sends to a worker were likely others'; it drains when no job begins.
        usual = (1 - 1 / self.settings.dispatchers) ** UNSEEN * max(
            self.mean_wait - (now - self.begun_at), 0.0
        )
        late = job.spec.late_value_share > 0 and max(kinds.values(), default=0.0) < 0
        left, paces, harmless = job.deadline - now, job.class_state.pace, job.spec.safe_to_repeat
        # No queue grows longer than the hastiest class bears, by what earns less even less: it is held here.
        most = max(1e-9, *(class_state.value_rate() for class_state in self.class_states.values()))
        part = job.class_state.value_rate() / most if job.class_state.run else 1.0
        longest = part * min(class_state.longest_wait() for class_state in self.class_states.values())
        broken = [w for w in workers if w.faults and w.broken(job.class_state.spec, now)]
        broken = broken if 2 * len(broken) <= n else []  # else it is hardly the workers' fault
        best, best_score = None, 0.0
        home_indexes = (
            [net.index[name] for name in self.home_workers if name in net.index] if 1 < many < n else []
        )
        for places in (home_indexes, [int(rand() * n) for _ in range(many if many < n else 0)], range(n)):
            for k in places:
                w = workers[k]
                if places is home_indexes and (w.waiting or w.load(now) >= PLACES):
                    continue  # what others send elsewhere is not known, what is sent here nearly is
                blocked_until = max(self.next_cold(w), w.out_until if harmless else w.unsafe_out_until)
                if (
                    blocked_until > now
                    or (w.full_until > now and not w.room)
                    or w in broken
                    or 0 < w.slots <= w.n
                ):
                    continue
                age, own, unused = now - w.wait_at, w.own_queue(self.mean_run), now - w.cold_at > COLD_UNUSED
                # A queue drains since it was seen. What is late goes only where it makes no other job late.
                pace, share = paces.get(w.kind, 0.0) * job.size, self.share(w)
                limit = min(kinds.get(w.kind, 0.0), longest) - pace * (1 / share - 1)
                seen, unseen, load = (
                    max(w.wait - age, 0.0),
                    0.0 if places is home_indexes else usual,
                    w.load(now),
                )
                longest_wait = -load if late else max(limit, 0.0) - own
                if max(seen, unseen if late or limit > 0 else 0.0) > longest_wait or (late and pace > left):
                    continue
                score = q[k] / (1 + load) * share * (1 + 0.01 * rand()) + (unused and share < 1)
                if score > best_score and (not job.attempts or self.allowed(job, w)):
                    best, best_score = w, score
            if best is not None:
                return best
        # Where all are suspect, better a silent one of a few than none.
        some = [] if any(w.out_until <= now for w in workers) else self.random.sample(workers, min(n, SAMPLE))
        free = (w for w in some if not 0 < w.slots <= w.n and self.next_cold(w) <= now)
        return next((w for w in free if self.allowed(job, w)), None)

    def on_note(self, event: m.JobProgress | m.StreamStarted) -> None:
        attempt = self.in_flight.get((event.id, event.attempt))
        if attempt is not None:
            self.record_start(attempt, self.behind)

    def record_start(self, attempt: Attempt, since: float) -> None:
        """The worker was heard from: a job there has begun, at the latest so long (ms) ago."""
        worker = attempt.worker
        worker.last_heard, worker.strikes, worker.out_until, worker.unsafe_out_until = self.now, 0, 0.0, 0.0
        if attempt.begun is not None:
            return
        self.mark_lost(attempt, False)
        attempt.begun = max(self.now - since, attempt.sent)
        worker.waiting -= self.settings.reports_start
        weight = min(
            (self.now - self.begun_at) / (4 * self.settings.overload_span), 0.5
        )  # by time, not by jobs
        worker.wait, worker.wait_at, self.begun_at = attempt.begun - attempt.sent, self.now, self.now
        worker.last_begun = max(worker.last_begun, attempt.sent)
        self.mean_wait += weight * (worker.wait - self.mean_wait)

    def send_second_copy(self, job: Job) -> None:
        """Send a job again whose attempts are lost, where it may run twice."""
        can = (
            job.open and job.spec.safe_to_repeat and job.settings.second_copies and self.send_window(job) > 0
        )
        if (
            can
            and len(job.attempts) < job.settings.try_limit
            and not any(t.in_flight and not t.lost for t in job.attempts)
        ):
            worker = self.choose_worker(job) if job.deadline > self.now else None
            if worker is not None:
                self.send(job, worker)

    def on_outcome(self, event: m.AttemptEnded) -> None:
        attempt = self.in_flight.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        job, worker, lost, how = attempt.job, attempt.worker, attempt.lost, event.outcome
        self.mark_lost(attempt, False)
        attempt.in_flight = False
        worker.n -= 1
        attempt.ran = how not in m.NOT_EXECUTED
        worker.room = int(attempt.ran)
        if how is m.AttemptOutcome.OK:
            faults = worker.faults.pop(job.spec.name, (0, 0.0, 0.0))[0]
            if faults > 1:
                worker.faults[job.spec.name] = faults - 1, 0.0, 0.0
            self.record_start(attempt, self.behind or event.elapsed)
            if not attempt.scored:
                self.record_payoff(attempt, event.elapsed)
        else:
            worker.waiting -= self.settings.reports_start and attempt.begun is None
        if how in m.LIKELY_STILL_RUNNING and not lost:
            begins = attempt.begun or self.now + max(worker.wait - (self.now - worker.wait_at), 0.0)
            worker.cancelled_until.append(
                begins + (job.class_state.run or self.settings.overload_span) * job.size
            )
        if how not in (m.AttemptOutcome.OK, m.AttemptOutcome.CANCELLED):
            if how is m.AttemptOutcome.ERROR and sum(t.ran for t in job.attempts) == 1:
                self.record_fault(
                    worker, job.class_state
                )  # if it failed elsewhere too, the job may itself be the cause
            elif (
                how is m.AttemptOutcome.NO_CONNECTION
                and self.now - worker.last_heard > HEARD * self.settings.progress_every
            ):
                self.suspect(worker)
            elif not attempt.ran:
                # Until then one job goes there for each own job that ends: more would race for one free slot.
                rest = FULL_REST * (job.class_state.run or job.spec.latency_target)
                worker.full_until = self.now + rest * (0.5 + self.random.random())
            job.class_state.net.learn(worker, 0.0, completed=False)
        if event.final or not job.open:
            self.close(job)
        elif not any(t.in_flight for t in job.attempts) and not self.send_or_hold(job):
            self.pending.append(job)
        if attempt.ran and self.pending:
            self.retry_pending(1)

    def record_payoff(self, attempt: Attempt, elapsed: float) -> None:
        """Payoff 1/G of a job that ended: G is its time over its size."""
        class_state, size, kind = attempt.job.class_state, attempt.job.size, attempt.worker.kind
        run = elapsed - (attempt.begun or attempt.sent) + attempt.sent
        class_state.ended += 1
        class_state.run += max(SLOW, 1 / class_state.ended) * (run / size - class_state.run)
        # Falls at once and rises slowly: strain must not pass for heavier work that has more time to end.
        class_state.work = (
            min(class_state.run, class_state.work * (1 + SLOW / 100))
            if class_state.ended > 1 / SLOW
            else class_state.run
        )
        self.mean_run += SLOW * (run - self.mean_run) if self.mean_run else run
        class_state.pace[kind] = class_state.pace.get(kind, run / size) * (1 - QUICK) + run / size * QUICK
        # A heavy job is not its worker's fault: running time counts up to three times the usual.
        goal = elapsed - run + min(run, 3 * class_state.run * size)
        class_state.net.learn(attempt.worker, size / max(goal, 1e-3))

    def suspect(self, worker: Worker) -> None:
        """Leave it out for a while, longer each time, until it is heard from; unsafe jobs twice as long."""
        worker.strikes += 1
        rest = 4 * self.aim * min(2**worker.strikes, 16) * (0.5 + self.random.random())
        worker.out_until, worker.unsafe_out_until = self.now + rest, self.now + 2 * rest

    def record_fault(self, worker: Worker, class_state: ClassState) -> None:
        """Keep a class away for a while: a worker that fails at once is idle and would draw job after job."""
        before = worker.faults.get(class_state.spec.name, (0, 0.0, 0.0))[0]
        rest = FAULTY * 2**before * (0.5 + self.random.random())
        worker.faults[class_state.spec.name] = (
            min(before + 1, MOST_FAULTS),
            self.now + rest,
            self.now + 2 * rest,
        )

    def mark_lost(self, attempt: Attempt, lost: bool = True) -> None:
        """Lost jobs will likely never begin: they hold no place, nor do they tell of a queue."""
        change, attempt.lost = attempt.lost - lost, lost
        attempt.worker.n += change
        attempt.worker.waiting += change * self.settings.reports_start

    def on_withdrawn(self, event: m.Withdrawn) -> None:
        if event.id in self.jobs:
            self.close(self.jobs[event.id])

    def close(self, job: Job) -> None:
        """The client has its answer or has left: what is still out serves nobody."""
        in_flight = [attempt for attempt in job.attempts if attempt.in_flight]
        if job.open and self.settings.may_cancel:
            self.actions += [m.Cancel(job.id, attempt.n) for attempt in in_flight]
        job.open = False
        if not in_flight:
            self.jobs.pop(job.id, None)

    def retry_pending(self, many: int) -> None:
        """Try to place held jobs, of those that earn most the newest first: oldest first makes all late."""
        self.pending.sort(key=lambda job: job.class_state.value_rate())
        while self.pending and many > 0:
            job = self.pending.pop()
            many -= job.open
            if job.open and not self.send_or_hold(job):
                return self.pending.append(job)  # more scans of a full fleet are dear

    def on_alarm(self, event: m.TimerFired) -> None:
        if event.label == "watch":
            self.actions.append(m.SubscribeToWorkers())
        elif event.label == "sweep":
            self.sweep()

    def sweep(self) -> None:
        self.actions.append(m.StartTimer("sweep", self.pause))
        now = self.now
        for attempt in list(self.in_flight.values()):
            class_state, spec, worker = attempt.job.class_state, attempt.job.spec, attempt.worker
            age = now - attempt.sent - self.behind  # it would have been heard of had it begun before that
            if attempt.begun is not None or age < OVERDUE * spec.latency_target:
                continue
            if not attempt.scored:
                attempt.scored = True
                class_state.net.learn(worker, attempt.job.size / (age + class_state.run), completed=False)
            if self.settings.in_order and not attempt.lost and worker.last_begun > attempt.sent + OVERTAKEN:
                self.mark_lost(attempt)
                self.record_fault(worker, class_state)
            if attempt.lost:
                self.send_second_copy(attempt.job)
                continue
            if age > worker.wait - (now - worker.wait_at):
                worker.wait, worker.wait_at = age, now
            if (
                age > SILENT * spec.latency_target
                and worker.last_heard < attempt.sent
                and worker.out_until <= now
            ):
                self.suspect(worker)
            if age > LOST * self.mean_run > 0:
                self.mark_lost(attempt)
        self.retry_pending(len(self.pending))
        due = now + self.margin
        self.pending = [
            job for job in self.pending if job.open and (due <= job.settle_by or not self.send_or_hold(job))
        ]
