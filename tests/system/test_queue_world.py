"""A queue of several shards in virtual time, with its edge nodes, workers, clients and receivers.

One seed decides everything: delays, lost calls, owners that change at any moment, restarts from a snapshot
with a stepped clock, edge nodes that die, configurations that arrive late. The shard's own parts are real;
`Build` names their classes, so that a broken build can take their place.
"""

from __future__ import annotations

import unittest
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
from tests.system.test_queue_checkers import (
    Accepted,
    Answer,
    AnswerKind,
    EndAnswer,
    History,
    Kept,
    Run,
    Terms,
)
from tests.system.test_queue_nodes import (
    BOUNDS,
    CALM,
    CALM_S,
    ROUTES,
    SERVICES,
    SLOW_TRAFFIC_END_S,
    TRAFFIC_S,
    WALL_START_MS,
    ZONES,
    Build,
    EdgeNode,
    Fate,
    Faults,
    Puller,
    Shard,
    Simulation,
    WaitingPoll,
)


class World:
    """Everything together. `run` plays it and returns the history."""

    def __init__(
        self, seed: int, build: Build | None = None, faults: Faults | None = None, shards: int = 3
    ) -> None:
        self.random = Random(seed)
        self.build = build or Build()
        self.faults = faults or Faults()
        self.trouble = 1.0 if self.faults != CALM else 0.0
        self.simulation = Simulation()
        self.history = History()
        self.numbers = count(1)
        self.polls: dict[int, WaitingPoll] = {}
        self.called_back: set[str] = set()
        self.fates: dict[str, int] = {}
        self.attempts: dict[str, int] = {}
        self.tables = [RoutingTable(Configuration(1, ROUTES, SERVICES))]
        self.shards_count = shards
        self.edges = [EdgeNode(self, f"edge-{number}", ZONES[number % 2]) for number in range(4)]
        self.shards: list[Shard] = []
        self.shards.extend(Shard(self, number) for number in range(shards))
        self.pullers = [Puller(self, f"puller-{number}") for number in range(8)]

    @property
    def terms(self) -> Terms:
        """By what its history is judged."""
        return Terms(
            {route.name: route.max_attempts for route in ROUTES},
            {route.name: route.retention_s for route in ROUTES},
            BOUNDS.visibility_timeout_ms / 1000,
            {service.name: service.rate_per_s for service in SERVICES if service.rate_per_s > 0},
            BOUNDS.rate_window_s,
            BOUNDS.rate_tolerance,
            calm=self.faults == CALM,
        )

    def run(self) -> History:
        """Play traffic with faults, then a calm span, and collect what the shards hold."""
        self._start_sources()
        start = self.simulation.now
        self.simulation.run_until(start + TRAFFIC_S)
        self.trouble = 0.0
        self.simulation.run_until(start + TRAFFIC_S + CALM_S)
        self.history.finished = self.simulation.now
        for shard in self.shards:
            for entry in shard.state:
                message = entry.message
                body = None if entry.state is MessageState.DONE else message.body
                self.history.kept[message.request_id] = Kept(message.request_id, entry.state, body)
        return self.history

    def _start_sources(self) -> None:
        faults = self.faults
        self._repeat(30.0, self._send_message)
        self._repeat(1.0, lambda: self.random.choice(self.shards).save())
        self._repeat(faults.owner_changes, lambda: self.random.choice(self.shards).lose_owner())
        self._repeat(faults.herd_changes, self._lose_all_owners)
        self._repeat(faults.edge_deaths, lambda: self.random.choice(self.edges).die())
        self._repeat(faults.configurations, self._change_configuration)
        for puller in self.pullers:
            self.simulation.after(self.random.uniform(0.0, 1.0), puller.ask)

    def _repeat(self, rate: float, event: Callable[[], object]) -> None:
        """Have `event` happen at random moments while clients send."""
        if rate <= 0:
            return
        end = self.simulation.now + TRAFFIC_S

        def again() -> None:
            if self.simulation.now < end:
                event()
                self.simulation.after(self.random.expovariate(rate), again)

        self.simulation.after(self.random.expovariate(rate), again)

    def _lose_all_owners(self) -> None:
        for shard in self.shards:
            shard.lose_owner()

    # ---- configuration

    def _change_configuration(self) -> None:
        """Drop or bring back a route, move one to another service, change time-outs."""
        old = self.tables[-1]
        routes = []
        present = "fleeting" in old.routes
        for route in ROUTES:
            if route.name == "fleeting" and present:
                self.history.route_dropped.setdefault("fleeting", []).append(self.simulation.now)
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

        self.simulation.after(self.random.uniform(0.0, 0.8), configure)

    def configure_later(self, shard: Shard) -> None:
        """The newest configuration reaches a shard's owner after a while."""
        table = self.tables[-1]
        delay = self.random.uniform(0.0, 0.8)
        self.simulation.after(delay, lambda: shard.input(lambda owner, now: owner.configure(now, table)))

    # ---- clients

    def _send_message(self) -> None:
        route = self.random.choice([route for route in ROUTES if route.name in self.tables[-1].routes])
        if route.name == "slow" and self.simulation.now > SLOW_TRAFFIC_END_S:
            return
        request_id = f"r{next(self.numbers)}"
        key = f"key-{self.random.randint(1, 6)}" if route.ordered else ""
        edge = self.random.choice(self.edges)
        message = self._message(request_id, route, key, edge)
        self.fates[request_id] = self._fate()
        shard = self.shards[shard_for(key, self.random.randrange(len(self.shards)), len(self.shards))]
        sent = self.simulation.now
        edge.later(self.network_delay(), lambda: self._append(edge, shard, message, sent, 5))

    def _message(self, request_id: str, route: Route, key: str, edge: EdgeNode) -> Message:
        delay_ms = self.random.choice((0, 0, 0, 700))
        callback = "http://10.0.0.9:80/done" if self.random.random() < 0.3 else ""
        wall_ms = WALL_START_MS + int(self.simulation.now * 1000)
        body = request_id.encode() * 3
        return Message(
            request_id, "POST", route.host, route.path_prefix + request_id, (), key, route.name, 0, delay_ms,
            callback, edge.name, wall_ms, body,
        )  # fmt: skip

    def _append(self, edge: EdgeNode, shard: Shard, message: Message, sent: float, tries: int) -> None:
        """Append until it is answered: the same request id may come several times."""
        route = edge.table.match(message.host, message.target)
        if route is None or message.request_id in self.history.accepted or tries == 0:
            return
        edge.bodies[message.request_id] = message.body
        accepted = structs.replace(message, accepted_version=edge.table.version)

        def applied(result: Result | None) -> None:
            assert isinstance(result, MessageAppended)
            if not self.lost():
                self._accept(message, sent)

        shard.propose(AppendMessage(accepted), applied)
        edge.later(0.3, lambda: self._append(edge, shard, message, sent, tries - 1))

    def _accept(self, message: Message, sent: float) -> None:
        self.history.accepted.setdefault(
            message.request_id,
            Accepted(
                message.request_id, sent, self.simulation.now, message.order_key, message.route, message.body
            ),
        )

    def _fate(self) -> int:
        choices = (Fate.GOOD, Fate.FLAKY, Fate.POISON, Fate.REJECTED)
        return self.random.choices(choices, (80, 10, 5, 5))[0]

    # ---- workers, ends, calls

    def work(
        self,
        request_id: str,
        service: str,
        timeout_s: float,
        answered: Callable[[AnswerKind | None, str], None],
        duration: float | None = None,
    ) -> None:
        """A worker runs a message; `answered` gets its answer, or None at the time-out."""
        began = self.simulation.now
        self.history.runs.append(Run(request_id, began, service))
        lasts = min(0.8 * timeout_s, self.random.expovariate(10.0)) if duration is None else duration
        fails = self.trouble if duration is None else 0.0
        lost = self.random.random() < self.faults.lost_answers * fails
        crashed = self.random.random() < self.faults.crashes * fails

        def finish() -> None:
            kind = self._kind_of_answer(request_id)
            stamp = f"stamp-{next(self.numbers)}" if kind is AnswerKind.SUCCESS else ""
            self.history.answers.append(Answer(request_id, self.simulation.now, kind, stamp, not lost))
            if not lost:
                answered(kind, stamp)

        if not crashed:
            self.simulation.after(lasts, finish)
        if lost or crashed:
            self.simulation.after(timeout_s, lambda: answered(None, ""))

    def _kind_of_answer(self, request_id: str) -> AnswerKind:
        fate = self.fates[request_id]
        self.attempts[request_id] = self.attempts.get(request_id, 0) + 1
        if fate == Fate.REJECTED:
            return AnswerKind.REJECTED
        if fate == Fate.POISON or (fate == Fate.FLAKY and self.attempts[request_id] == 1):
            return AnswerKind.FAILED
        return AnswerKind.SUCCESS

    def tell_end(
        self,
        edge: EdgeNode,
        shard: Shard,
        request_id: str,
        lease_id: str,
        outcome: AttemptOutcome,
        stamp: str,
        *,
        pulled: bool,
        tries: int = 40,
    ) -> None:
        """Tell a shard how a lease ended, until it answers; now and then once more after that."""
        answered = [False]

        def applied(result: Result | None) -> None:
            assert isinstance(result, AttemptEnded)
            if self.lost():
                return
            answered[0] = True
            success = outcome is AttemptOutcome.SUCCEEDED
            end = EndAnswer(request_id, lease_id, self.simulation.now, success, pulled, result.accepted)
            self.history.ends.append(end)

        def attempt() -> None:
            if not self.lost() and shard.owner is not None:
                command: EndAttempt = shard.owner.end_attempt_command(request_id, lease_id, outcome, stamp, 0)
                shard.propose(command, applied)

        def again() -> None:
            if tries > 0 and (not answered[0] or self.random.random() < 0.05 * self.trouble):
                self.tell_end(
                    edge, shard, request_id, lease_id, outcome, stamp, pulled=pulled, tries=tries - 1
                )

        edge.later(self.network_delay(), attempt)
        edge.later(0.4, again)

    def edge(self, name: str) -> EdgeNode:
        """An edge node by its name."""
        return next(edge for edge in self.edges if edge.name == name)

    def lost(self) -> bool:
        """Whether a call between nodes, or its answer, is lost."""
        return self.random.random() < self.faults.lost_calls * self.trouble

    def network_delay(self) -> float:
        """Seconds of one way."""
        return self.random.uniform(0.0005, 0.01)

    def send_lag(self) -> float:
        """Seconds from an edge node's receipt of a lease to its send."""
        return self.random.choice((0.0, 0.001, 0.01, 0.4 * self.trouble))


class WorldIsDeterministic(unittest.TestCase):
    """One seed replays a failure."""

    def test_the_same_seed_gives_the_same_history(self) -> None:
        self.assertEqual(World(7).run(), World(7).run())
