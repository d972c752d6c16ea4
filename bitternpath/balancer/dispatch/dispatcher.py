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
    """One dispatcher; instances share nothing."""

    def __init__(self, settings: m.Settings, seed: int, now: float) -> None:
        self.random, self.now, self.part = Random(seed), now, 1.0  # this process's part of the dispatcher
        self.lines: dict[str, ClassState] = {}
        self.workers: dict[str, Worker] = {}
        self.homes: list[str] = []  # workers that in a large fleet get this dispatcher's jobs first
        self.jobs: dict[str, Job] = {}
        self.out: dict[tuple[str, int], Attempt] = {}  # in flight by job and number, oldest first
        self.held: list[Job] = []
        self.on_settings(m.NewSettings(settings))
        self.mean_wait = self.mean_run = 0.0  # of late, over all workers and classes
        self.behind = settings.start_heard_after
        self.ask_wait, self.begun_at = ASK_AGAIN / 8, now
        self.acts: list[m.Action] = [m.Wake("sweep", self.pause)]
        if settings.ask_for_list:  # spread out: a fleet that starts at once would swamp the list service
            first = self.random.random() * min(settings.must_ask_within / 2, 1.5 * ASK_AGAIN)
            self.acts.append(m.Wake("watch", first))
        self.answer: dict[type, Callable[..., None]] = {
            m.Request: self.on_request, m.JobNote: self.on_note, m.StreamBegun: self.on_note,
            m.Outcome: self.on_outcome, m.Withdrawn: self.on_withdrawn, m.WorkerList: self.on_list,
            m.NewSettings: self.on_settings, m.Alarm: self.on_alarm,
        }  # fmt: skip

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        self.now = now
        self.answer[type(event)](event)
        acts, self.acts = self.acts, []
        return acts

    def on_settings(self, event: m.NewSettings) -> None:
        """What was learned of a class that stays, stays; open jobs keep the rules under which they came."""
        self.set, before, self.lines = event.settings, self.lines, {}
        for spec in self.set.classes:
            old = before.get(spec.name)
            line = copy(old) if old and spec.same(old.spec) else ClassState(spec, self.set)
            line.spec, line.set, self.lines[spec.name] = spec, self.set, line
            for worker in self.workers.values():
                line.join(worker)
        self.aim = min(spec.aim for spec in self.set.classes)
        self.pause = max(self.set.tick, self.aim / 8)
        self.margin = 2 * self.pause + self.set.tick  # held jobs are settled so long before it is too late

    def on_list(self, event: m.WorkerList) -> None:
        if event.kind is m.ListKind.FAILED:  # ask again, later each time: the service may be swamped or down
            wait, self.ask_wait = self.ask_wait, min(2 * self.ask_wait, ASK_AGAIN)
            return self.acts.append(m.Wake("watch", wait * (0.5 + self.random.random())))
        self.ask_wait = ASK_AGAIN / 8
        if event.kind is not m.ListKind.CHANGES:
            named = {entry.worker for entry in event.entries}
            for name in [name for name in self.workers if name not in named]:
                self.retire(self.workers[name])
        for entry in event.entries:
            self.on_entry(entry)
        # All dispatchers cut the same ring of names into as many pieces as they are: theirs overlap little.
        names, piece = sorted(self.workers), len(self.workers) / self.set.dispatchers
        self.homes = names[int(self.set.me * piece) : ceil((self.set.me + 1) * piece)]

    def on_entry(self, entry: m.Entry) -> None:
        worker = self.workers.get(entry.worker)
        # After a restart what was learned of the old process is void.
        if worker and (entry.state is not m.State.SERVING or (entry.up_since or 0.0) > worker.up + 1):
            self.retire(worker)
        if entry.state is m.State.SERVING and entry.worker not in self.workers:
            worker = self.workers[entry.worker] = Worker(entry, self.set.warm_within)
            if worker.warm_at > self.now:
                # At a random point of the first gap: all dispatchers hear of it at about the same time.
                work = max(line.work for line in self.lines.values()) or self.set.fall_span
                worker.cold_at, worker.cold_work = self.now, work * self.random.random()
            for line in self.lines.values():
                line.join(worker)
        if entry.state is m.State.SERVING:
            self.workers[entry.worker].slots = entry.slots

    def retire(self, worker: Worker) -> None:
        """Draining or gone: it gets nothing more (well before the grace ends); what is out there runs on."""
        del self.workers[worker.name]
        worker.out_until = worker.shy_until = float("inf")  # for jobs of a class that is no more
        for line in self.lines.values():
            if worker.name in line.net.index:
                line.net.leave(worker)

    def share(self, worker: Worker) -> float:
        """What part of its full capacity a worker has at least."""
        age = (self.now - worker.up) / self.set.warm_within if worker.warm_at > self.now else 1.0
        return self.set.cold_share + (1 - self.set.cold_share) * min(max(age, 0.0), 1.0)

    def next_cold(self, worker: Worker) -> float:
        """When a cold worker may get the next job, for all dispatchers together must not push it over."""
        if worker.warm_at <= self.now:
            return 0.0
        home, many, n = worker.name in self.homes, self.set.dispatchers, len(self.workers)
        slots = COLD_HOME * n / (n + many) if home else COLD_REST / many
        slots *= self.set.fall_multiple * self.share(worker) * self.part
        gap = worker.cold_work * (COLD_IDLE / self.part if home and not worker.load(self.now) else 1 / slots)
        return min(worker.cold_at + gap, worker.warm_at)

    def on_request(self, event: m.Request) -> None:
        job = self.jobs[event.id] = Job(event, self.lines[event.job_class], self.now, self.set.marks_retry)
        if not self.place(job):
            self.held.append(job)

    def place(self, job: Job) -> bool:
        """Send the job, or hold it while that can help, or give its final answer; False if it is held."""
        can = len(job.tries) < job.set.try_limit and job.deadline > self.now and self.within(job) > 0
        worker = self.pick(job) if can else None
        if worker is not None:
            self.send(job, worker)
        elif not can or self.now + self.margin > job.settle_by:
            ran = any(t.ran for t in job.tries) and not job.spec.harmless
            self.acts.append(m.Fail(job.id) if ran else m.Refuse(job.id, self.advice(job.line)))
            self.close(job)
        return worker is not None or not job.open

    def advice(self, line: ClassState) -> float:
        """When the client may come again: a place where its job ends in time should be free by then."""
        now, longest = self.now, self.set.max_retry_after
        waits = [
            max(max(w.wait + w.wait_at, w.out_until, w.full_until, self.next_cold(w)) - now, 0.0)
            + w.own_queue(self.mean_run)
            for w in line.net.neurons
        ]
        held_first = len(self.held) * self.mean_run / max(sum(w.n - w.waiting for w in line.net.neurons), 1)
        wait = min(waits, default=longest) - max(line.bears(), 0.0) + held_first
        return min(max(wait, self.pause), longest)

    def send(self, job: Job, worker: Worker) -> None:
        self.acts.append(m.Send(job.id, worker.name, within=self.within(job)))
        attempt = Attempt(job, len(job.tries), worker, self.now)
        job.tries.append(attempt)
        self.out[job.id, attempt.n] = attempt
        worker.n += 1
        worker.waiting += self.set.tells_start
        worker.room -= worker.room > 0
        if worker.warm_at > self.now:
            work = (job.line.work or self.set.fall_span) * job.size * job.request.slots
            worker.cold_at, worker.cold_work = self.now, work * (0.5 + self.random.random())

    def within(self, job: Job) -> float:
        """For how long (ms) the class still lets the job be sent, to some worker at least."""
        sent = [t.sent for t in job.tries if t.ran]
        if not sent or job.spec.effect is not m.Effect.KEYED:
            return inf if not sent or job.spec.effect is m.Effect.SAFE else 0.0
        return sent[0] + 0.9 * job.spec.window - self.now  # the attempt must arrive inside the window too

    def allowed(self, job: Job, worker: Worker) -> bool:
        """Where earlier attempts may have run: another worker, of the group that drops the repeat."""
        group, ran = job.spec.repeat_group, [t.worker for t in job.tries if t.ran]
        return all(w is not worker and w.entry.within(group) == worker.entry.within(group) for w in ran)

    def pick(self, job: Job) -> Worker | None:
        """The usable worker with the highest q / (1 + own jobs in flight), of a sample in large fleets."""
        net, rand, now = job.line.net, self.random.random, self.now
        workers, q, n = net.neurons, net.q, len(net.neurons)
        many = 1 if rand() < EXPLORE else SAMPLE + 4 * n // self.set.dispatchers
        # By kind: time until the job can no longer end there in time, or hardly before the client gives up.
        kinds = {
            kind: min(job.end_by - pace * job.size, job.deadline - CHANCE * pace * job.size) - now
            for kind, pace in job.line.pace.items()
        }
        # The usual wait, where the last sends to a worker were likely others'; it drains when no job begins.
        usual = (1 - 1 / self.set.dispatchers) ** UNSEEN * max(self.mean_wait - (now - self.begun_at), 0.0)
        late = job.spec.late_worth > 0 and max(kinds.values(), default=0.0) < 0
        left, paces, harmless = job.deadline - now, job.line.pace, job.spec.harmless
        # No queue grows longer than the hastiest class bears, by what earns less even less: it is held here.
        most = max(1e-9, *(line.earns() for line in self.lines.values()))
        part = job.line.earns() / most if job.line.run else 1.0
        longest = part * min(line.bears() for line in self.lines.values())
        broken = [w for w in workers if w.faults and w.broken(job.line.spec, now)]
        broken = broken if 2 * len(broken) <= n else []  # else it is hardly the workers' fault
        best, best_score = None, 0.0
        homes = [net.index[name] for name in self.homes if name in net.index] if 1 < many < n else []
        for places in (homes, [int(rand() * n) for _ in range(many if many < n else 0)], range(n)):
            for k in places:
                w = workers[k]
                if places is homes and (w.waiting or w.load(now) >= PLACES):
                    continue  # what others send elsewhere is not known, what is sent here nearly is
                out = max(self.next_cold(w), w.out_until if harmless else w.shy_until)
                if out > now or (w.full_until > now and not w.room) or w in broken or 0 < w.slots <= w.n:
                    continue
                age, own, unused = now - w.wait_at, w.own_queue(self.mean_run), now - w.cold_at > COLD_UNUSED
                # A queue drains since it was seen. What is late goes only where it makes no other job late.
                pace, share = paces.get(w.kind, 0.0) * job.size, self.share(w)
                limit = min(kinds.get(w.kind, 0.0), longest) - pace * (1 / share - 1)
                seen, unseen, load = max(w.wait - age, 0.0), 0.0 if places is homes else usual, w.load(now)
                bears = -load if late else max(limit, 0.0) - own
                if max(seen, unseen if late or limit > 0 else 0.0) > bears or (late and pace > left):
                    continue
                score = q[k] / (1 + load) * share * (1 + 0.01 * rand()) + (unused and share < 1)
                if score > best_score and (not job.tries or self.allowed(job, w)):
                    best, best_score = w, score
            if best is not None:
                return best
        # Where all are suspect, better a silent one of a few than none.
        some = [] if any(w.out_until <= now for w in workers) else self.random.sample(workers, min(n, SAMPLE))
        free = (w for w in some if not 0 < w.slots <= w.n and self.next_cold(w) <= now)
        return next((w for w in free if self.allowed(job, w)), None)

    def on_note(self, event: m.JobNote | m.StreamBegun) -> None:
        attempt = self.out.get((event.id, event.attempt))
        if attempt is not None:
            self.begin(attempt, self.behind)

    def begin(self, attempt: Attempt, since: float) -> None:
        """The worker was heard from: a job there has begun, at the latest so long (ms) ago."""
        worker = attempt.worker
        worker.heard, worker.strikes, worker.out_until, worker.shy_until = self.now, 0, 0.0, 0.0
        if attempt.begun is not None:
            return
        self.lose(attempt, False)
        attempt.begun = max(self.now - since, attempt.sent)
        worker.waiting -= self.set.tells_start
        weight = min((self.now - self.begun_at) / (4 * self.set.fall_span), 0.5)  # by time, not by jobs
        worker.wait, worker.wait_at, self.begun_at = attempt.begun - attempt.sent, self.now, self.now
        worker.last_begun = max(worker.last_begun, attempt.sent)
        self.mean_wait += weight * (worker.wait - self.mean_wait)

    def copy(self, job: Job) -> None:
        """Send a job again whose attempts are lost, where it may run twice."""
        can = job.open and job.spec.harmless and job.set.second_copies and self.within(job) > 0
        if can and len(job.tries) < job.set.try_limit and not any(t.out and not t.lost for t in job.tries):
            worker = self.pick(job) if job.deadline > self.now else None
            if worker is not None:
                self.send(job, worker)

    def on_outcome(self, event: m.Outcome) -> None:
        attempt = self.out.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        job, worker, lost, how = attempt.job, attempt.worker, attempt.lost, event.how
        self.lose(attempt, False)
        attempt.out = False
        worker.n -= 1
        attempt.ran = how not in m.NEVER_RAN
        worker.room = int(attempt.ran)
        if how is m.How.OK:
            faults = worker.faults.pop(job.spec.name, (0, 0.0, 0.0))[0]
            if faults > 1:
                worker.faults[job.spec.name] = faults - 1, 0.0, 0.0
            self.begin(attempt, self.behind or event.elapsed)
            if not attempt.scored:
                self.score(attempt, event.elapsed)
        else:
            worker.waiting -= self.set.tells_start and attempt.begun is None
        if how in m.RUNS_ON and not lost:
            begins = attempt.begun or self.now + max(worker.wait - (self.now - worker.wait_at), 0.0)
            worker.called_off.append(begins + (job.line.run or self.set.fall_span) * job.size)
        if how not in (m.How.OK, m.How.CANCELLED):
            if how is m.How.ERROR and sum(t.ran for t in job.tries) == 1:
                self.fault(worker, job.line)  # if it failed elsewhere too, the job may itself be the cause
            elif how is m.How.NO_CONNECTION and self.now - worker.heard > HEARD * self.set.progress_every:
                self.suspect(worker)
            elif not attempt.ran:
                # Until then one job goes there for each own job that ends: more would race for one free slot.
                rest = FULL_REST * (job.line.run or job.spec.aim)
                worker.full_until = self.now + rest * (0.5 + self.random.random())
            job.line.net.learn(worker, 0.0, completed=False)
        if event.final or not job.open:
            self.close(job)
        elif not any(t.out for t in job.tries) and not self.place(job):
            self.held.append(job)
        if attempt.ran and self.held:
            self.retry_held(1)

    def score(self, attempt: Attempt, elapsed: float) -> None:
        """Payoff 1/G of a job that ended: G is its time over its size."""
        line, size, kind = attempt.job.line, attempt.job.size, attempt.worker.kind
        run = elapsed - (attempt.begun or attempt.sent) + attempt.sent
        line.ended += 1
        line.run += max(SLOW, 1 / line.ended) * (run / size - line.run)
        # Falls at once and rises slowly: strain must not pass for heavier work that has more time to end.
        line.work = min(line.run, line.work * (1 + SLOW / 100)) if line.ended > 1 / SLOW else line.run
        self.mean_run += SLOW * (run - self.mean_run) if self.mean_run else run
        line.pace[kind] = line.pace.get(kind, run / size) * (1 - QUICK) + run / size * QUICK
        # A heavy job is not its worker's fault: running time counts up to three times the usual.
        goal = elapsed - run + min(run, 3 * line.run * size)
        line.net.learn(attempt.worker, size / max(goal, 1e-3))

    def suspect(self, worker: Worker) -> None:
        """Leave it out for a while, longer each time, until it is heard from; unsafe jobs twice as long."""
        worker.strikes += 1
        rest = 4 * self.aim * min(2**worker.strikes, 16) * (0.5 + self.random.random())
        worker.out_until, worker.shy_until = self.now + rest, self.now + 2 * rest

    def fault(self, worker: Worker, line: ClassState) -> None:
        """Keep a class away for a while: a worker that fails at once is idle and would draw job after job."""
        before = worker.faults.get(line.spec.name, (0, 0.0, 0.0))[0]
        rest = FAULTY * 2**before * (0.5 + self.random.random())
        worker.faults[line.spec.name] = min(before + 1, MOST_FAULTS), self.now + rest, self.now + 2 * rest

    def lose(self, attempt: Attempt, lost: bool = True) -> None:
        """Lost jobs will likely never begin: they hold no place, nor do they tell of a queue."""
        change, attempt.lost = attempt.lost - lost, lost
        attempt.worker.n += change
        attempt.worker.waiting += change * self.set.tells_start

    def on_withdrawn(self, event: m.Withdrawn) -> None:
        if event.id in self.jobs:
            self.close(self.jobs[event.id])

    def close(self, job: Job) -> None:
        """The client has its answer or has left: what is still out serves nobody."""
        out = [attempt for attempt in job.tries if attempt.out]
        if job.open and self.set.may_cancel:
            self.acts += [m.Cancel(job.id, attempt.n) for attempt in out]
        job.open = False
        if not out:
            self.jobs.pop(job.id, None)

    def retry_held(self, many: int) -> None:
        """Try to place held jobs, of those that earn most the newest first: oldest first makes all late."""
        self.held.sort(key=lambda job: job.line.earns())
        while self.held and many > 0:
            job = self.held.pop()
            many -= job.open
            if job.open and not self.place(job):
                return self.held.append(job)  # more scans of a full fleet are dear

    def on_alarm(self, event: m.Alarm) -> None:
        if event.label == "watch":
            self.acts.append(m.Watch())
        elif event.label == "sweep":
            self.sweep()

    def sweep(self) -> None:
        self.acts.append(m.Wake("sweep", self.pause))
        now = self.now
        for attempt in list(self.out.values()):
            line, spec, worker = attempt.job.line, attempt.job.spec, attempt.worker
            age = now - attempt.sent - self.behind  # it would have been heard of had it begun before that
            if attempt.begun is not None or age < OVERDUE * spec.aim:
                continue
            if not attempt.scored:
                attempt.scored = True
                line.net.learn(worker, attempt.job.size / (age + line.run), completed=False)
            if self.set.in_order and not attempt.lost and worker.last_begun > attempt.sent + OVERTAKEN:
                self.lose(attempt)
                self.fault(worker, line)
            if attempt.lost:
                self.copy(attempt.job)
                continue
            if age > worker.wait - (now - worker.wait_at):
                worker.wait, worker.wait_at = age, now
            if age > SILENT * spec.aim and worker.heard < attempt.sent and worker.out_until <= now:
                self.suspect(worker)
            if age > LOST * self.mean_run > 0:
                self.lose(attempt)
        self.retry_held(len(self.held))
        due = now + self.margin
        self.held = [job for job in self.held if job.open and (due <= job.settle_by or not self.place(job))]
