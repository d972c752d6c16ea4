"""Simulation of a queue with several shards, edge nodes, workers, clients and receivers in virtual time.

A seed determines all delays, lost calls, owner changes, restarts from a snapshot with a stepped clock,
restarts of edge nodes and late configurations. The shards use the production classes, which `Build` names so
that a test can replace them with faulty ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import count
from random import Random

from msgspec import structs

from bitternpath.configuration.documents import Configuration, Route
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue.commands import AppendMessage, EndAttempt
from bitternpath.queue.results import AttemptEnded, MessageAppended, Result
from bitternpath.queue.sharding import shard_for
from bitternpath.transport.records import AttemptOutcome, Message, MessageState
from tests.system.queue.checkers import (
    Accepted,
    EndResponse,
    History,
    RuleSettings,
    Run,
    StoredMessage,
    WorkerResponse,
    WorkerResponseKind,
)
from tests.system.queue.simulation_nodes import (
    BOUNDS,
    NO_FAULTS,
    ROUTES,
    SERVICES,
    SETTLING_S,
    SLOW_TRAFFIC_END_S,
    TRAFFIC_S,
    WALL_START_MS,
    ZONES,
    Build,
    EdgeNode,
    Faults,
    HolderReport,
    PullingWorker,
    Scheduler,
    Shard,
    WaitingPoll,
    WorkerBehaviour,
)


class QueueSimulation:
    """A simulated queue; `run` returns its history."""

    def __init__(
        self, seed: int, build: Build | None = None, faults: Faults | None = None, shards: int = 3
    ) -> None:
        self.random = Random(seed)
        self.build = build or Build()
        self.faults = faults or Faults()
        self.fault_level = 1.0 if self.faults != NO_FAULTS else 0.0
        self.scheduler = Scheduler()
        self.history = History()
        self.numbers = count(1)
        self.polls: dict[int, WaitingPoll] = {}
        self.called_back: set[str] = set()
        self.behaviours: dict[str, WorkerBehaviour] = {}
        self.attempts: dict[str, int] = {}
        self.tables = [RoutingTable(Configuration(1, ROUTES, SERVICES))]
        self.shards_count = shards
        self.edges = [EdgeNode(self, f"edge-{number}", ZONES[number % 2]) for number in range(4)]
        self.shards: list[Shard] = []
        self.shards.extend(Shard(self, number) for number in range(shards))
        self.pulling_workers = [PullingWorker(self, f"puller-{number}") for number in range(8)]

    @property
    def rule_settings(self) -> RuleSettings:
        """Settings for checking its history."""
        return RuleSettings(
            {route.name: route.max_attempts for route in ROUTES},
            {route.name: route.retention_s for route in ROUTES},
            BOUNDS.visibility_timeout_ms / 1000,
            {service.name: service.rate_per_s for service in SERVICES if service.rate_per_s > 0},
            BOUNDS.rate_window_s,
            BOUNDS.rate_tolerance,
            without_faults=self.faults == NO_FAULTS,
        )

    def run(self) -> History:
        """Simulate traffic with faults, then a time without faults, and record the stored messages."""
        self._start_sources()
        start = self.scheduler.now
        self.scheduler.run_until(start + TRAFFIC_S)
        self.fault_level = 0.0
        self.scheduler.run_until(start + TRAFFIC_S + SETTLING_S)
        self.history.finished = self.scheduler.now
        for shard in self.shards:
            for entry in shard.state:
                message = entry.message
                body = None if entry.state is MessageState.DONE else message.body
                self.history.stored[message.request_id] = StoredMessage(message.request_id, entry.state, body)
        return self.history

    def _start_sources(self) -> None:
        faults = self.faults
        self._repeat(30.0, self._send_message)
        self._repeat(1.0, lambda: self.random.choice(self.shards).save())
        self._repeat(faults.owner_changes, lambda: self.random.choice(self.shards).lose_owner())
        self._repeat(faults.simultaneous_owner_changes, self._lose_all_owners)
        self._repeat(faults.edge_restarts, lambda: self.random.choice(self.edges).restart())
        self._repeat(faults.configurations, self._change_configuration)
        for puller in self.pulling_workers:
            self.scheduler.after(self.random.uniform(0.0, 1.0), puller.poll_repeatedly)

    def _repeat(self, rate: float, event: Callable[[], object]) -> None:
        """Repeat `event` at random times, at an average `rate` per second, while clients send."""
        if rate <= 0:
            return
        end = self.scheduler.now + TRAFFIC_S

        def recur() -> None:
            if self.scheduler.now < end:
                event()
                self.scheduler.after(self.random.expovariate(rate), recur)

        self.scheduler.after(self.random.expovariate(rate), recur)

    def _lose_all_owners(self) -> None:
        for shard in self.shards:
            shard.lose_owner()

    # ---- configuration

    def _change_configuration(self) -> None:
        """Remove or restore one route, move another to a different service, and change time-outs."""
        old = self.tables[-1]
        routes = []
        present = "fleeting" in old.routes
        for route in ROUTES:
            if route.name == "fleeting" and present:
                self.history.route_dropped.setdefault("fleeting", []).append(self.scheduler.now)
                continue
            moved = route.name == "order-one" and self.random.random() < 0.5
            service = "other" if moved else route.service
            routes.append(replace(route, service=service, timeout_ms=self.random.choice((700, 800, 900))))
        version = old.version + self.random.randint(1, 3)
        self.tables.append(RoutingTable(Configuration(version, tuple(routes), SERVICES)))
        for edge in self.edges:
            self._configure_edge_later(edge, self.tables[-1])
        for shard in self.shards:
            self.configure_later(shard)

    def _configure_edge_later(self, edge: EdgeNode, table: RoutingTable) -> None:
        def configure() -> None:
            if table.version > edge.table.version:
                edge.table = table

        self.scheduler.after(self.random.uniform(0.0, 0.8), configure)

    def configure_later(self, shard: Shard) -> None:
        """Apply the newest configuration at a shard's owner after a random delay."""
        table = self.tables[-1]
        delay = self.random.uniform(0.0, 0.8)
        self.scheduler.after(delay, lambda: shard.input(lambda owner, now: owner.configure(now, table)))

    # ---- clients

    def _send_message(self) -> None:
        route = self.random.choice([route for route in ROUTES if route.name in self.tables[-1].routes])
        if route.name == "slow" and self.scheduler.now > SLOW_TRAFFIC_END_S:
            return
        request_id = f"r{next(self.numbers)}"
        key = f"key-{self.random.randint(1, 6)}" if route.ordered else ""
        edge = self.random.choice(self.edges)
        message = self._message(request_id, route, key, edge)
        self.behaviours[request_id] = self._draw_behaviour()
        shard = self.shards[shard_for(key, self.random.randrange(len(self.shards)), len(self.shards))]
        sent = self.scheduler.now
        edge.later(self.network_delay(), lambda: self._append(edge, shard, message, sent, 5))

    def _message(self, request_id: str, route: Route, key: str, edge: EdgeNode) -> Message:
        delay_ms = self.random.choice((0, 0, 0, 700))
        callback = "http://10.0.0.9:80/done" if self.random.random() < 0.3 else ""
        wall_ms = WALL_START_MS + int(self.scheduler.now * 1000)
        body = request_id.encode() * 3
        return Message(
            request_id, "POST", route.host, route.path_prefix + request_id, (), key, route.name, 0, delay_ms,
            callback, edge.name, wall_ms, body,
        )  # fmt: skip

    def _append(
        self, edge: EdgeNode, shard: Shard, message: Message, sent: float, attempts_left: int
    ) -> None:
        """Append a message repeatedly until it is accepted, with the same request id."""
        route = edge.table.match(message.host, message.target)
        if route is None or message.request_id in self.history.accepted or attempts_left == 0:
            return
        edge.bodies[message.request_id] = message.body
        accepted = structs.replace(message, accepted_version=edge.table.version)

        def applied(result: Result | None) -> None:
            assert isinstance(result, MessageAppended)
            if not self.lost():
                self._accept(message, sent)

        shard.propose(AppendMessage(accepted), applied)
        edge.later(0.3, lambda: self._append(edge, shard, message, sent, attempts_left - 1))

    def _accept(self, message: Message, sent: float) -> None:
        self.history.accepted.setdefault(
            message.request_id,
            Accepted(
                message.request_id, sent, self.scheduler.now, message.order_key, message.route, message.body
            ),
        )

    def _draw_behaviour(self) -> WorkerBehaviour:
        choices = (
            WorkerBehaviour.SUCCEEDS,
            WorkerBehaviour.FAILS_ONCE,
            WorkerBehaviour.ALWAYS_FAILS,
            WorkerBehaviour.REJECTED,
        )
        return self.random.choices(choices, (80, 10, 5, 5))[0]

    # ---- workers, ends, calls

    def work(
        self,
        request_id: str,
        service: str,
        timeout_s: float,
        responded: Callable[[WorkerResponseKind | None, str], None],
        duration: float | None = None,
    ) -> None:
        """Run a message at a worker; `responded` receives its response, or None at the time-out."""
        started_at = self.scheduler.now
        self.history.runs.append(Run(request_id, started_at, service))
        run_duration = min(0.8 * timeout_s, self.random.expovariate(10.0)) if duration is None else duration
        fault_level = self.fault_level if duration is None else 0.0
        lost = self.random.random() < self.faults.lost_responses * fault_level
        crashed = self.random.random() < self.faults.crashes * fault_level

        def finish() -> None:
            kind = self._response_kind(request_id)
            stamp = f"stamp-{next(self.numbers)}" if kind is WorkerResponseKind.SUCCESS else ""
            self.history.responses.append(
                WorkerResponse(request_id, self.scheduler.now, kind, stamp, not lost)
            )
            if not lost:
                responded(kind, stamp)

        if not crashed:
            self.scheduler.after(run_duration, finish)
        if lost or crashed:
            self.scheduler.after(timeout_s, lambda: responded(None, ""))

    def _response_kind(self, request_id: str) -> WorkerResponseKind:
        behaviour = self.behaviours[request_id]
        self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
        if behaviour is WorkerBehaviour.REJECTED:
            return WorkerResponseKind.REJECTED
        if behaviour is WorkerBehaviour.ALWAYS_FAILS or (
            behaviour is WorkerBehaviour.FAILS_ONCE and self.attempts[request_id] == 1
        ):
            return WorkerResponseKind.FAILED
        return WorkerResponseKind.SUCCESS

    def report_end(self, edge: EdgeNode, shard: Shard, report: HolderReport, attempts_left: int = 40) -> None:
        """Report the end of a lease until the shard responds, and in some cases once more after that."""
        responded = False

        def applied(result: Result | None) -> None:
            nonlocal responded
            assert isinstance(result, AttemptEnded)
            if self.lost():
                return
            responded = True
            success = report.outcome is AttemptOutcome.SUCCEEDED
            self.history.ends.append(
                EndResponse(
                    report.request_id,
                    report.lease_id,
                    self.scheduler.now,
                    success=success,
                    pulled=report.pulled,
                    accepted=result.accepted,
                )
            )

        def attempt() -> None:
            if not self.lost() and shard.owner is not None:
                command: EndAttempt = shard.owner.end_attempt_command(
                    report.request_id, report.lease_id, report.outcome, report.stamp, retry_after_ms=0
                )
                shard.propose(command, applied)

        def recur() -> None:
            if attempts_left > 0 and (not responded or self.random.random() < 0.05 * self.fault_level):
                self.report_end(edge, shard, report, attempts_left - 1)

        edge.later(self.network_delay(), attempt)
        edge.later(0.4, recur)

    def edge(self, name: str) -> EdgeNode:
        """Return an edge node by its name."""
        return next(edge for edge in self.edges if edge.name == name)

    def lost(self) -> bool:
        """Draw whether a call between nodes or its response is lost."""
        return self.random.random() < self.faults.lost_calls * self.fault_level

    def network_delay(self) -> float:
        """Draw the one-way delay of a call in seconds."""
        return self.random.uniform(0.0005, 0.01)

    def send_lag(self) -> float:
        """Draw the time in seconds between an edge node's receipt of a delivery and the send to a worker."""
        return self.random.choice((0.0, 0.001, 0.01, 0.4 * self.fault_level))
