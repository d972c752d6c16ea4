"""Operators of a simulated run: concurrent and repeated changes, retirements, reads (PROTOCOL)."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.configuration_changes import (
    changed_document,
    invalid_document,
    patch_call,
    put_call,
)
from bitternpath.testing.fault_injection.control_calls import (
    BACKOFF_FACTOR,
    FINAL_STATUSES,
    MAX_BACKOFF_S,
    MAX_REFUSALS,
    MIN_BACKOFF_S,
    ControlCalls,
)
from bitternpath.testing.fault_injection.http_client import Call, Reply
from bitternpath.testing.fault_injection.records import OrderOutcome, OrderSent
from bitternpath.testing.simulation.actors.in_flight import InFlight
from bitternpath.testing.simulation.actors.node_directory import NodeAddress
from bitternpath.testing.simulation.actors.run_context import RunContext
from bitternpath.testing.simulation.checks.history import ConfigRead, RetireCall, Retirement
from bitternpath.testing.simulation.events import Order, OrderStyle, ReadConfiguration, Retire

OPERATOR_IP = "10.99.0.1"
ORDER_RETRY_FOR_S = 8.0  # longer than `ack_ms`, to record how late an acknowledgement is
FIRST_ORDER_RETRY_FOR_S = 25.0
RETIRE_RETRY_FOR_S = 5.0  # `ack_ms`: how long an order to retire is repeated
RETIRE_POLL_INTERVAL_S = 0.3
RETIRE_TIMEOUT_S = 25.0  # for a retirement to be reported as done
POLLS_AFTER_DONE = 6
RIVAL_NUMBER_STEP = 10_000  # distance between the numbers of rival changes
MAX_READ_ATTEMPTS = 10


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A change to send: its call, the version on which it is based, and the resulting document.

    The first `lost_answers` answers don't reach the operator; the call is repeated for `retry_for_s` at most.
    """

    call: Call
    base: int
    document: dict[str, Any]
    valid: bool = True
    lost_answers: int = 0
    retry_for_s: float = ORDER_RETRY_FOR_S


class Operators:
    """All operators. `newest`: the newest document that any operator knows to be in force."""

    def __init__(self, run: RunContext) -> None:
        self._world = run.world
        self._plan = run.plan
        self._history = run.history
        self._directory = run.directory
        self._reactor: Any = run.world.host(OPERATOR_IP)
        self.newest: dict[str, Any] = {"version": 0, "routes": []}
        self.documents: list[dict[str, Any]] = []  # valid documents that were sent, in order
        self._in_flight = InFlight(run.failed)
        self.on_retired: Callable[[str], object] = _ignore_retirement

    @property
    def in_flight(self) -> int:
        """The number of orders, reads and retirements in flight."""
        return self._in_flight.count

    def create_configuration(self, document: dict[str, Any]) -> None:
        """Send the first configuration until it is accepted."""
        calls = self._calls(Random(f"{self._plan.seed}/founding"))
        change = ConfigurationChange(put_call(0, document), 0, document, retry_for_s=FIRST_ORDER_RETRY_FOR_S)
        self._in_flight.begin(self._send(calls, change))

    def order(self, event: Order) -> None:
        """Send a change."""
        self._in_flight.begin(self._order(event))

    def read_configuration(self, event: ReadConfiguration) -> None:
        """Read the configuration once."""
        self._in_flight.begin(self._read_until_answered(self._calls(self._plan.random(event)), attempts=1))

    def retire(self, event: Retire) -> None:
        """Retire a machine, and report it to `on_retired` once that is done."""
        self._in_flight.begin(self._retire(event))

    def read_back(self, seconds: float) -> None:
        """Read the configuration repeatedly for `seconds` and record the last answer."""
        self._in_flight.begin(self._read_back(seconds))

    # ---- changes

    async def _order(self, event: Order) -> None:
        random = self._plan.random(event)
        before = self.newest
        base = before["version"]
        version = base + event.step
        document = changed_document(before, event.number, version)
        valid = event.style is not OrderStyle.INVALID
        if not valid:
            document = invalid_document(document)
        is_patch = event.style is OrderStyle.PATCH
        call = patch_call(before, document) if is_patch else put_call(base, document)
        change = ConfigurationChange(call, base, document, valid)
        calls = self._calls(random)
        sent = [self._send(calls, replace(change, lost_answers=event.lost_answers))]
        if event.twice:
            sent.append(self._send(self._calls(random), change))
        for rival in range(1, event.rivals + 1):
            number = (
                2 * (event.number + rival * RIVAL_NUMBER_STEP) + 1
            )  # odd numbers add a route of their own
            other = changed_document(before, number, version)
            rival_change = ConfigurationChange(put_call(base, other), base, other)
            sent.append(self._send(self._calls(random), rival_change))
        outcomes = await gatherResults([Deferred.fromCoroutine(each) for each in sent])
        if event.again and outcomes[0] is OrderOutcome.ACKNOWLEDGED:
            await self._send(calls, change)
        if OrderOutcome.ACKNOWLEDGED not in outcomes:
            await self._read_until_answered(calls, MAX_READ_ATTEMPTS)

    async def _send(self, calls: ControlCalls, change: ConfigurationChange) -> OrderOutcome:
        """Send a change until its outcome is decided, and record it."""
        sent_at = self._world.now
        if change.valid:
            self.documents.append(change.document)
        result = await calls.send_until_decided(
            change.call, sent_at + change.retry_for_s, change.lost_answers
        )
        self._history.orders.append(
            OrderSent(
                version=change.document["version"],
                base=change.base,
                sent_at=sent_at,
                ended_at=self._world.now,
                outcome=result.outcome,
                valid=change.valid,
                document=change.document,
                status=result.status,
                lost_answers=change.lost_answers,
            )
        )
        if result.outcome is OrderOutcome.ACKNOWLEDGED:
            self._update_newest(change.document)
        return result.outcome

    # ---- reads

    async def _read_until_answered(self, calls: ControlCalls, attempts: int) -> None:
        for _ in range(attempts):
            if await self._read(calls) is not None:
                return
            await deferLater(self._reactor, MIN_BACKOFF_S)

    async def _read_back(self, seconds: float) -> None:
        calls = self._calls(Random(f"{self._plan.seed}/read back"))
        until = self._world.now + seconds
        while self._world.now < until:
            document = await self._read(calls)
            if document is not None:
                self._history.read_back = document
            await deferLater(self._reactor, MIN_BACKOFF_S)

    async def _read(self, calls: ControlCalls) -> dict[str, Any] | None:
        node, sent_at = calls.choose(), self._world.now
        answer = await calls.send(node, Call("GET", "/config"))
        if answer is None or answer.status != 200:
            return None
        document: dict[str, Any] = json.loads(answer.body)
        self._history.reads.append(ConfigRead(node.name, sent_at, self._world.now, document))
        self._update_newest(document)
        return document

    def _update_newest(self, document: dict[str, Any]) -> None:
        if document.get("version", 0) > self.newest["version"]:
            self.newest = document

    # ---- retirement

    async def _retire(self, event: Retire) -> None:
        calls = self._calls(self._plan.random(event))
        machine = self._directory.name(event.node)
        if await self._order_retirement(calls, machine) and await self._until_done(calls, machine):
            self.on_retired(event.node)
            for _ in range(POLLS_AFTER_DONE):
                await deferLater(self._reactor, RETIRE_POLL_INTERVAL_S)
                await self._call_retire(calls, RetireCall.READ, machine)

    async def _order_retirement(self, calls: ControlCalls, machine: str) -> bool:
        """Order the retirement; returns whether it was accepted."""
        give_up_at = self._world.now + RETIRE_RETRY_FOR_S
        backoff_s, refusals, attempts = MIN_BACKOFF_S, 0, 0
        while self._world.now < give_up_at:
            answer = await self._call_retire(calls, RetireCall.ORDER, machine)
            attempts += 1
            status = answer.status if answer is not None else 0
            if status == 200 or (status == 409 and attempts > 1):
                return True
            refusals += 400 <= status < 500
            if status in FINAL_STATUSES or refusals >= MAX_REFUSALS:
                return False
            await deferLater(self._reactor, backoff_s)
            backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
        return False

    async def _until_done(self, calls: ControlCalls, machine: str) -> bool:
        give_up_at = self._world.now + RETIRE_TIMEOUT_S
        while self._world.now < give_up_at:
            answer = await self._call_retire(calls, RetireCall.READ, machine)
            if answer is not None and answer.status == 200 and json.loads(answer.body)["state"] == "done":
                return True
            await deferLater(self._reactor, RETIRE_POLL_INTERVAL_S)
        return False

    async def _call_retire(self, calls: ControlCalls, kind: RetireCall, machine: str) -> Reply | None:
        node, sent_at, valid = calls.choose(), self._world.now, self._is_valid(machine)
        body = json.dumps({"duration_s": 10}).encode() if kind is RetireCall.ORDER else b""
        headers = {"Content-Type": "application/json"} if body else {}
        answer = await calls.send(node, Call(kind.value, f"/retire/{machine}", headers, body))
        if answer is not None:
            state = json.loads(answer.body).get("state", "") if answer.status == 200 and answer.body else ""
            self._history.retirements.append(
                Retirement(kind, machine, node.name, sent_at, self._world.now, answer.status, state, valid)
            )
        return answer

    def _is_valid(self, machine: str) -> bool:
        """Whether the machine runs and enough others run."""
        running = [node.name for node in self._world.storages() if node.state.value == "up"]
        required = 2 * self._plan.layout.tolerated + 1
        return machine in running and len(running) - 1 >= required

    def _calls(self, random: Random) -> ControlCalls:
        own = Random(random.getrandbits(64))
        return ControlCalls(self._reactor, lambda: self._world.now, self._nodes, own)

    def _nodes(self) -> list[NodeAddress]:
        return list(self._directory.lagging())


def _ignore_retirement(_planned: str) -> None:
    """Default of `Operators.on_retired`."""
