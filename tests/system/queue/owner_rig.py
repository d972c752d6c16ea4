"""Test rig: a shard owner and its state, with a log whose commits the test controls."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from random import Random
from typing import Any

from bitternpath.configuration.documents import Configuration, Route, Service
from bitternpath.configuration.routing_table import RoutingTable
from bitternpath.queue.actions import (
    Action,
    AnswerPoll,
    ProposeCommand,
    RequestPollers,
    SendDelivery,
)
from bitternpath.queue.commands import (
    COMMANDS,
    AppendMessage,
    Command,
)
from bitternpath.queue.lease_table import PUSH_LEASE_MARGIN_MS
from bitternpath.queue.long_polls import LongPollRequest
from bitternpath.queue.owner import PULL_LEASE_MARGIN_MS, OwnedShard, OwnerSettings, ShardOwner
from bitternpath.queue.results import Result
from bitternpath.queue.state import QueueState
from bitternpath.transport.records import AttemptOutcome, Message, MessageState

SUCCEEDED, FAILED, NOT_RUN = AttemptOutcome.SUCCEEDED, AttemptOutcome.FAILED, AttemptOutcome.NOT_RUN
UNKNOWN, REJECTED, ROUTE_GONE = AttemptOutcome.UNKNOWN, AttemptOutcome.REJECTED, AttemptOutcome.ROUTE_GONE
WALL_MS = 1_700_000_000_000
PUSH_LEASE_S = 1.0 + PUSH_LEASE_MARGIN_MS / 1000
PULL_LEASE_S = 3.0 + PULL_LEASE_MARGIN_MS / 1000
ROUTES = (
    Route("plain", "a.example", "/plain/", "worker", 1_000, priority=1),
    Route("urgent", "a.example", "/urgent/", "worker", 1_000, priority=0),
    Route("relaxed", "a.example", "/relaxed/", "worker", 1_000, priority=1, start_target_ms=4_000),
    Route("jobs", "a.example", "/jobs/", "puller", 1_000),
    Route("limited", "a.example", "/limited/", "limited", 1_000),
)
SERVICES = (
    Service("worker"),
    Service("puller", pull_mode=True),
    Service("limited", rate_per_s=2.0),
    Service("new"),
)
TABLE = RoutingTable(Configuration(5, ROUTES, SERVICES))


def with_routes(version: int, routes: Iterable[Route]) -> RoutingTable:
    """Return another configuration of the same services."""
    return RoutingTable(Configuration(version, tuple(routes), SERVICES))


def without_route(name: str, version: int = 6) -> RoutingTable:
    """Return the configuration without one of its routes."""
    return with_routes(version, (route for route in ROUTES if route.name != name))


def with_changed_route(name: str, version: int = 6, **fields: Any) -> RoutingTable:
    """Return the configuration with changed fields of one route."""
    return with_routes(
        version, (replace(route, **fields) if route.name == name else route for route in ROUTES)
    )


class Rig:
    """An owner and its state. Proposed commands are in `proposed` until `commit`.

    `RequestPollers` actions are recorded in `poller_requests`, all other actions in `sent`.
    """

    def __init__(self, routing: RoutingTable | None = TABLE, edges: Iterable[str] = ("edge-1",)) -> None:
        self.now = 100.0
        self.state = QueueState(lambda: self.now, lambda: WALL_MS + round((self.now - 100.0) * 1000))
        self.index = 0
        self.automatic = True  # whether each proposal is committed immediately
        self.start_owner(routing, edges)

    def new_owner(self) -> ShardOwner:
        """Return an owner of the only shard."""
        settings = OwnerSettings(visibility_timeout_ms=3_000, status_retention_s=120.0)
        return ShardOwner(self.state, OwnedShard(0, 1, "north"), settings, Random(1))

    def start_owner(self, routing: RoutingTable | None = TABLE, edges: Iterable[str] = ("edge-1",)) -> None:
        """Start a new owner of the same state."""
        self.proposed: list[Command] = []
        self.sent: list[Action] = []
        self.poller_requests: list[RequestPollers] = []
        self.owner = self.new_owner()
        self.execute(self.owner.leadership_acquired(self.now, 1 + self.index))
        for edge in edges:
            self.execute(self.owner.edge_connected(self.now, edge, "north"))
        if routing is not None:
            self.configure(routing)

    def execute(self, actions: list[Action]) -> None:
        """Record the owner's actions, and commit its proposals if that is automatic."""
        for action in actions:
            if isinstance(action, ProposeCommand):
                self.proposed.append(action.command)
            elif isinstance(action, RequestPollers):
                self.poller_requests.append(action)
            else:
                self.sent.append(action)
        if self.automatic and self.proposed:
            self.commit()

    def commit(self) -> None:
        """Commit and apply all proposed commands; further proposals only if that is automatic."""
        for command in self.take_proposed():
            self.apply(command)

    def apply(self, command: Command) -> Result:
        """Commit and apply one command."""
        self.index += 1
        result = self.state.apply(self.index, COMMANDS.encode(command))
        self.execute(self.owner.applied(self.now, result))
        return result

    def take_proposed(self) -> list[Command]:
        """Return and clear the proposed commands."""
        proposed, self.proposed = self.proposed, []
        return proposed

    def take_sent(self, kind: type | None = None) -> list[Any]:
        """Return and clear the other actions, filtered by `kind` if it is given."""
        sent, self.sent = self.sent, []
        return [action for action in sent if kind is None or isinstance(action, kind)]

    def append(self, request_id: str, path: str = "/plain/x", **fields: Any) -> None:
        """Append a message of a client."""
        values: dict[str, Any] = {"order_key": "", "delay_ms": 0, "callback_url": "", "origin": "edge-1"}
        values |= {"accepted_version": 5, "body": b"body"} | fields
        wall_ms = WALL_MS + round((self.now - 100.0) * 1000)
        message = Message(
            request_id, "POST", "a.example", path, (), route="plain", accepted_wall_ms=wall_ms, **values
        )
        self.apply(AppendMessage(message))

    def advance(self, seconds: float) -> None:
        """Advance the time and call the owner's `tick` at each wake-up."""
        end = self.now + seconds
        while (when := self.owner.next_wakeup(self.now)) is not None and when <= end:
            self.now = when
            self.execute(self.owner.tick(self.now))
            assert (next_wakeup := self.owner.next_wakeup(self.now)) is None or next_wakeup > self.now, (
                "the owner requests another wake-up at the same time"
            )
        self.now = end

    def end(
        self, delivery: SendDelivery | AnswerPoll, outcome: AttemptOutcome, retry_after_ms: int = 0
    ) -> bool:
        """Report the end of an attempt; returns whether the report is accepted."""
        request_id, lease_id = delivery.message.request_id, delivery.lease_id
        command = self.owner.end_attempt_command(request_id, lease_id, outcome, "stamp", retry_after_ms)
        return self.apply(command).accepted

    def configure(self, routing: RoutingTable) -> None:
        """Apply another configuration."""
        self.execute(self.owner.configure(self.now, routing))

    def poll(self, number: int, edge: str = "edge-1", wait_s: float = 1.0) -> None:
        """Start a worker's poll."""
        request = LongPollRequest(number, edge, "puller", f"instance-{number}", wait_s)
        self.execute(self.owner.poll(self.now, request))

    def delivery(self) -> SendDelivery:
        """Return the single delivery since the last call."""
        (delivery,) = self.take_sent(SendDelivery)
        return delivery

    def answer(self) -> AnswerPoll:
        """Return the single answer to a poll since the last call."""
        (answer,) = self.take_sent(AnswerPoll)
        return answer

    def state_of(self, request_id: str) -> MessageState:
        """Return the state of a message."""
        entry = self.state.find(request_id)
        assert entry is not None
        return entry.state


def request_ids(actions: Iterable[Any]) -> list[str]:
    """Return the request ids of deliveries or jobs."""
    return [action.message.request_id for action in actions]
