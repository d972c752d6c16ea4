"""Shards, edge nodes and pulling workers of the queue that `simulation` runs in virtual time.

The shards use the production classes, which `Build` names so that a test can replace them with faulty ones.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto
from itertools import count
from typing import TYPE_CHECKING

from bitternpath.configuration.documents import Route, Service
from bitternpath.queue.actions import (
    Action,
    AnswerPoll,
    BorrowTokens,
    ExpirePoll,
    ProposeCommand,
    SendCallback,
    SendDelivery,
)
from bitternpath.queue.commands import COMMANDS, Command
from bitternpath.queue.long_polls import LongPollRequest
from bitternpath.queue.owner import OwnedShard, OwnerSettings, ShardOwner
from bitternpath.queue.results import AttemptEnded, MessageExpired, Result
from bitternpath.queue.sharding import home_shard
from bitternpath.queue.state import QueueState
from bitternpath.transport.records import AttemptOutcome
from tests.system.queue.checkers import (
    JobReceived,
    LeaseExtended,
    StateReported,
    WorkerResponseKind,
)

if TYPE_CHECKING:
    from tests.system.queue.simulation import QueueSimulation

START_S = 100.0
TRAFFIC_S = 20.0  # time in which clients send and faults occur
SETTLING_S = 45.0  # time without faults after the traffic, in which all messages must end
SLOW_TRAFFIC_END_S = START_S + 10.0  # until then, more messages are sent than the rate-limited service allows
ZONES = ("north", "south")
WALL_START_MS = 1_700_000_000_000
POLL_LIMIT_S = 1.3  # after which an edge node ends a poll that the owner did not answer
ROUTES = (
    Route("plain", "a.example", "/plain/", "worker", 800, priority=1),
    Route("order-one", "a.example", "/one/", "worker", 800, max_attempts=2, ordered=True, priority=2),
    Route("order-two", "b.example", "/two/", "other", 800, max_attempts=2, ordered=True),
    Route("slow", "b.example", "/slow/", "limited", 800),
    Route("jobs", "a.example", "/jobs/", "pulled", 800),
    Route("brief", "a.example", "/brief/", "dead", 800, retention_s=6.0),
    Route("fleeting", "a.example", "/fleeting/", "worker", 800),
)
SERVICES = (
    Service("worker"),
    Service("other"),
    Service("limited", rate_per_s=2.0),
    Service("pulled", pull_mode=True),
    Service("dead"),
)
BOUNDS = OwnerSettings(visibility_timeout_ms=1_500)


@dataclass(frozen=True, slots=True)
class Build:
    """The classes under test that a simulation uses."""

    state: type[QueueState] = QueueState
    owner: type[ShardOwner] = ShardOwner


@dataclass(frozen=True, slots=True)
class Faults:
    """Rates of faults per second, and fractions of failing calls."""

    owner_changes: float = 0.25
    simultaneous_owner_changes: float = 0.08  # of all shards at once
    edge_restarts: float = 0.1
    configurations: float = 0.3
    lost_calls: float = 0.05
    lost_responses: float = 0.05  # responses of workers that have completed the run
    crashes: float = 0.08  # of workers during a run


NO_FAULTS = Faults(0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
FREQUENT_FAILOVERS = replace(Faults(), simultaneous_owner_changes=0.8)  # an owner change about every second


class WorkerBehaviour(Enum):
    """Behaviour of workers for a message."""

    SUCCEEDS = auto()
    FAILS_ONCE = auto()
    ALWAYS_FAILS = auto()
    REJECTED = auto()


@dataclass(frozen=True, slots=True)
class HolderReport:
    """A holder's report that the attempt under its lease has ended."""

    request_id: str
    lease_id: str
    outcome: AttemptOutcome
    stamp: str
    pulled: bool


class Scheduler:
    """A virtual clock, and events that it executes in the order of time."""

    def __init__(self) -> None:
        self.now = START_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def after(self, delay: float, event: Callable[[], None]) -> None:
        """Schedule `event` after `delay` seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), event))

    def run_until(self, end: float) -> None:
        """Execute the events up to the time `end`."""
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end


class Shard:
    """One replica group: its log, the owner's replica, and the snapshot from which a restart begins."""

    def __init__(self, simulation: QueueSimulation, number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.log: list[bytes] = []
        self.step_ms = 0
        self.state = self._new_state()
        self.saved: tuple[int, bytes] | None = None
        self.owner: ShardOwner | None = None
        self.epoch = 0
        self._pending: list[tuple[Command, Callable[[Result | None], None] | None]] = []
        self._wakeup = float("inf")
        self.elect_owner()

    def _new_state(self) -> QueueState:
        scheduler, step_ms = self.simulation.scheduler, self.step_ms
        return self.simulation.build.state(
            lambda: scheduler.now, lambda: WALL_START_MS + int(scheduler.now * 1000) + step_ms
        )

    def elect_owner(self) -> None:
        """Start a new owner after all committed commands have been applied."""
        self.epoch += 1
        now = self.simulation.scheduler.now
        self.owner = self.simulation.build.owner(
            self.state,
            OwnedShard(self.number, self.simulation.shards_count, ZONES[0]),
            BOUNDS,
            self.simulation.random,
        )
        self._wakeup = float("inf")
        self.execute(self.owner.leadership_acquired(now, self.epoch))
        for edge in self.simulation.edges:
            self.execute(self.owner.edge_connected(now, edge.name, edge.zone))
        self.execute(self.owner.configure(now, self.simulation.random.choice(self.simulation.tables[-2:])))
        self.simulation.configure_later(self)

    def lose_owner(self) -> None:
        """Stop the owner; a random number of its pending proposals are still committed."""
        if self.owner is None:
            return
        random = self.simulation.random
        self.owner = None
        survivors = self._pending[: random.randint(0, len(self._pending))]
        self._pending = []
        if random.random() < 0.5:
            self._restart()
        for command, _ in survivors:
            self._commit(command)
        self.simulation.scheduler.after(random.uniform(0.02, 1.0), self.elect_owner)

    def _restart(self) -> None:
        """Restore the state from the snapshot and the log, with a time of day that has stepped."""
        self.step_ms = self.simulation.random.randint(-2_000, 2_000)
        self.state = self._new_state()
        start = 0
        if self.saved is not None:
            start, data = self.saved
            self.state.restore(data)
        for index in range(start, len(self.log)):
            self.state.apply(index + 1, self.log[index])

    def save(self) -> None:
        """Save a snapshot for later restarts."""
        self.saved = len(self.log), self.state.snapshot()

    def propose(self, command: Command, done: Callable[[Result | None], None] | None = None) -> None:
        """Commit and apply a command after a random delay; `done` is called with the result.

        If the owner is lost first, the outcome is unknown and `done` is not called.
        """
        if self.owner is None:
            return
        self._pending.append((command, done))
        random, epoch = self.simulation.random, self.epoch
        stalled = random.random() < 0.01 * self.simulation.fault_level
        delay = random.uniform(0.2, 0.5) if stalled else random.uniform(0.001, 0.02)
        self.simulation.scheduler.after(delay, lambda: self._commit_next(epoch))

    def _commit_next(self, epoch: int) -> None:
        owner = self.owner
        if owner is None or epoch != self.epoch or not self._pending:
            return
        command, done = self._pending.pop(0)
        result = self._commit(command)
        self.execute(owner.applied(self.simulation.scheduler.now, result))
        if done is not None:
            done(result)

    def _commit(self, command: Command) -> Result:
        data = COMMANDS.encode(command)
        self.log.append(data)
        result = self.state.apply(len(self.log), data)
        if isinstance(result, AttemptEnded) and result.effective:
            self.simulation.history.released[result.command.lease_id] = self.simulation.scheduler.now
        if isinstance(result, AttemptEnded | MessageExpired) and result.ended_message:
            self._report_state(result.command.request_id)
        return result

    def _report_state(self, request_id: str) -> None:
        entry = self.state.find(request_id)
        assert entry is not None
        reported = StateReported(request_id, self.simulation.scheduler.now, entry.state, entry.stamp)
        self.simulation.history.reported.append(reported)

    def input(self, call: Callable[[ShardOwner, float], list[Action]]) -> None:
        """Pass an event to the owner, if there is one."""
        if self.owner is not None:
            self.execute(call(self.owner, self.simulation.scheduler.now))

    def execute(self, actions: list[Action]) -> None:
        """Execute the owner's actions and schedule its next wake-up."""
        for action in actions:
            match action:
                case ProposeCommand():
                    self.propose(action.command)
                case SendDelivery():
                    self.simulation.edge(action.edge).receive_delivery(self, action)
                case AnswerPoll():
                    self.simulation.edge(action.edge).receive_job(self, action)
                case ExpirePoll():
                    self.simulation.polls.pop(action.poll_id, None)
                case BorrowTokens():
                    self._borrow(action)
                case SendCallback():
                    self.simulation.edge(action.edge).receive_callback(self, action)
        self._set_wakeup()

    def _borrow(self, action: BorrowTokens) -> None:
        """Request tokens from the home shard; the call or its response may be lost or delayed."""
        simulation, epoch, requested_at = self.simulation, self.epoch, self.simulation.scheduler.now

        def lend() -> None:
            home_owner = simulation.shards[home_shard(action.service, simulation.shards_count)].owner
            if home_owner is not None and not simulation.lost():
                tokens = home_owner.lend_tokens(simulation.scheduler.now, action.service, action.wanted)
                delay = (
                    simulation.random.uniform(0.0, 0.6) if simulation.lost() else simulation.network_delay()
                )
                simulation.scheduler.after(delay, lambda: answer(tokens))

        def answer(tokens: int) -> None:
            if epoch == self.epoch:
                self.input(lambda owner, now: owner.tokens_lent(now, action.service, tokens, requested_at))

        simulation.scheduler.after(simulation.network_delay(), lend)

    def _set_wakeup(self) -> None:
        now = self.simulation.scheduler.now
        when = None if self.owner is None else self.owner.next_wakeup(now)
        if when is None or when >= self._wakeup:
            return
        self._wakeup = when
        epoch = self.epoch
        self.simulation.scheduler.after(max(0.0005, when - now), lambda: self._wake(epoch))

    def _wake(self, epoch: int) -> None:
        if epoch == self.epoch and self._wakeup <= self.simulation.scheduler.now:
            self._wakeup = float("inf")
            self.input(lambda owner, now: owner.tick(now))


class EdgeNode:
    """An edge node, which sends messages to workers and reports ended attempts until the shard responds."""

    def __init__(self, simulation: QueueSimulation, name: str, zone: str) -> None:
        self.simulation = simulation
        self.name = name
        self.zone = zone
        self.incarnation = 0
        self.table = simulation.tables[-1]
        self.bodies: dict[str, bytes] = {}

    def restart(self) -> None:
        """End the process and start another one immediately."""
        self.incarnation += 1
        self.bodies.clear()
        for poll_id, poll in list(self.simulation.polls.items()):
            if poll.edge is self:
                del self.simulation.polls[poll_id]
        for shard in self.simulation.shards:
            shard.input(lambda owner, now: owner.edge_process_ended(now, self.name))
        for shard in self.simulation.shards:
            shard.input(lambda owner, now: owner.edge_connected(now, self.name, self.zone))

    def later(self, delay: float, event: Callable[[], None]) -> None:
        """Schedule an event that is skipped if the process has ended by then."""
        incarnation = self.incarnation
        self.simulation.scheduler.after(delay, lambda: event() if incarnation == self.incarnation else None)

    def receive_delivery(self, shard: Shard, delivery: SendDelivery) -> None:
        self.later(self.simulation.network_delay(), lambda: self._deliver(shard, delivery))

    def _deliver(self, shard: Shard, delivery: SendDelivery) -> None:
        message = delivery.message
        route = self.table.match(message.host, message.target)
        if delivery.body_omitted and message.request_id not in self.bodies:
            self.end(shard, delivery, AttemptOutcome.NOT_RUN, "")
        elif route is None:
            self.end(shard, delivery, AttemptOutcome.ROUTE_GONE, "")
        elif route.service == "dead":
            self.end(shard, delivery, AttemptOutcome.NOT_RUN, "")
        else:
            self.later(self.simulation.send_lag(), lambda: self._send(shard, delivery, route))

    def _send(self, shard: Shard, delivery: SendDelivery, route: Route) -> None:
        def responded(kind: WorkerResponseKind | None, stamp: str) -> None:
            outcome = AttemptOutcome.UNKNOWN if kind is None else _OUTCOMES[kind]
            self.later(0.0, lambda: self.end(shard, delivery, outcome, stamp))

        self.simulation.work(delivery.message.request_id, route.service, route.timeout_ms / 1000, responded)

    def end(self, shard: Shard, delivery: SendDelivery, outcome: AttemptOutcome, stamp: str) -> None:
        report = HolderReport(delivery.message.request_id, delivery.lease_id, outcome, stamp, pulled=False)
        self.simulation.report_end(self, shard, report)

    def receive_job(self, shard: Shard, answer: AnswerPoll) -> None:
        self.later(self.simulation.network_delay(), lambda: self._answer(shard, answer))

    def _answer(self, shard: Shard, answer: AnswerPoll) -> None:
        poll = self.simulation.polls.pop(answer.poll_id, None)
        if poll is not None:
            poll.worker.start(shard, answer)
            return
        report = HolderReport(
            answer.message.request_id, answer.lease_id, AttemptOutcome.NOT_RUN, stamp="", pulled=True
        )
        self.simulation.report_end(self, shard, report)

    def receive_callback(self, shard: Shard, callback: SendCallback) -> None:
        self.later(self.simulation.network_delay(), lambda: self._call_back(shard, callback))

    def _call_back(self, shard: Shard, callback: SendCallback) -> None:
        simulation = self.simulation
        reported = StateReported(
            callback.request_id, simulation.scheduler.now, callback.state, callback.stamp
        )
        simulation.history.reported.append(reported)
        simulation.called_back.add(callback.request_id)
        acknowledged = simulation.random.random() > 0.2 * simulation.fault_level
        if not simulation.lost():
            shard.input(
                lambda owner, now: owner.callback_report(now, callback.request_id, acknowledged=acknowledged)
            )


_OUTCOMES = {
    WorkerResponseKind.SUCCESS: AttemptOutcome.SUCCEEDED,
    WorkerResponseKind.REJECTED: AttemptOutcome.REJECTED,
    WorkerResponseKind.FAILED: AttemptOutcome.FAILED,
}


@dataclass(frozen=True, slots=True)
class WaitingPoll:
    """A worker's poll at an edge node."""

    worker: PullingWorker
    edge: EdgeNode


class PullingWorker:
    """One slot of a pulling worker, which may fail to extend its lease or to report the end of a job."""

    def __init__(self, simulation: QueueSimulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.busy = False

    def poll_repeatedly(self) -> None:
        """Poll for a job at a fixed interval while the worker is free."""
        simulation = self.simulation
        simulation.scheduler.after(0.4, self.poll_repeatedly)
        if self.busy or any(poll.worker is self for poll in simulation.polls.values()):
            return
        edge, shard = simulation.random.choice(simulation.edges), simulation.random.choice(simulation.shards)
        poll_id = next(simulation.numbers)
        simulation.polls[poll_id] = WaitingPoll(self, edge)
        request = LongPollRequest(poll_id, edge.name, "pulled", self.name, 1.0)
        shard.input(lambda owner, now: owner.poll(now, request))
        edge.later(POLL_LIMIT_S, lambda: simulation.polls.pop(poll_id, None))
        if shard.owner is None or simulation.random.random() < 0.1 * simulation.fault_level:
            simulation.polls.pop(poll_id, None)
            shard.input(lambda owner, now: owner.cancel_poll(now, poll_id))

    def start(self, shard: Shard, job: AnswerPoll) -> None:
        """Run a job, usually with extensions of its lease."""
        simulation, random = self.simulation, self.simulation.random
        self.busy = True
        request_id, lease_id = job.message.request_id, job.lease_id
        simulation.history.jobs_received.append(JobReceived(request_id, lease_id, simulation.scheduler.now))
        duration = random.choice((0.1, 0.3, 1.0, 3.5))
        behaviour = random.random() if simulation.fault_level else 1.0
        if behaviour < 0.1:
            simulation.scheduler.after(3.0, self._free)
            return
        if behaviour > 0.2:
            simulation.scheduler.after(
                0.5, lambda: self._extend(shard, job, simulation.scheduler.now + duration)
            )

        def responded(kind: WorkerResponseKind | None, stamp: str) -> None:
            self._free()
            outcome = AttemptOutcome.UNKNOWN if kind is None else _OUTCOMES[kind]
            edge = simulation.random.choice(simulation.edges)
            simulation.report_end(
                edge, shard, HolderReport(request_id, lease_id, outcome, stamp, pulled=True)
            )

        simulation.work(request_id, "pulled", 60.0, responded, duration)

    def _extend(self, shard: Shard, job: AnswerPoll, until: float) -> None:
        simulation, request_id = self.simulation, job.message.request_id
        if not self.busy or simulation.scheduler.now > until:
            return
        simulation.scheduler.after(0.5, lambda: self._extend(shard, job, until))
        if shard.owner is None or simulation.lost():
            return
        if shard.owner.extend(simulation.scheduler.now, request_id, job.lease_id):
            simulation.history.extensions.append(LeaseExtended(job.lease_id, simulation.scheduler.now))

    def _free(self) -> None:
        self.busy = False
