"""An operator that creates the configuration, changes it periodically and reads it back at the end."""

from __future__ import annotations

import json
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.configuration_changes import (
    changed_document,
    invalid_document,
    patch_call,
    put_call,
)
from bitternpath.testing.fault_injection.control_calls import MIN_BACKOFF_S, ControlCalls
from bitternpath.testing.fault_injection.http_client import Call
from bitternpath.testing.fault_injection.plan import Plan
from bitternpath.testing.fault_injection.records import OrderOutcome, OrderSent

ORDER_RETRY_FOR_S = 8.0  # longer than `ack_ms`, so that late acknowledgements are recorded with their delay
FIRST_ORDER_RETRY_FOR_S = 25.0  # maximum time for which the first configuration is retried
CHANGE_INTERVAL_S = 1.0
INVALID_EVERY = 5  # every fifth change is invalid
RACE_EVERY = 4  # every fourth change, unless it is invalid, competes with another of the same version
MAX_REFRESH_CALLS = 10
REPEAT_EVERY = 3  # every third change, unless invalid or competing, is sent again after its acknowledgement


class Operator:
    """Changes the configuration; `document` is the newest acknowledged one."""

    def __init__(self, context: ActorContext, plan: Plan) -> None:
        self._reactor = context.reactor
        self._clock = context.clock
        self._history = context.history
        self._random = Random(plan.seed + 1)
        self._calls = ControlCalls(context.reactor, context.clock, lambda: plan.edges, self._random)
        self.document: dict[str, Any] = {"version": 0}
        self._changes = 0
        self.busy = False

    async def create_configuration(self, document: dict[str, Any]) -> bool:
        """Send the first configuration; return whether it was acknowledged."""
        order = await self._order(put_call(0, document), 0, document, FIRST_ORDER_RETRY_FOR_S)
        return order.outcome is OrderOutcome.ACKNOWLEDGED

    def run(self, until: float, failed: Callable[[Any], None]) -> None:
        """Send changes until `until`; `failed` receives an error of the test environment itself."""
        Deferred.fromCoroutine(self._change_all(until)).addErrback(failed)

    async def read_back(self, seconds: float) -> None:
        """Read the configuration repeatedly for `seconds`, and record the last answer."""
        until = self._clock() + seconds
        while self._clock() < until:
            answer = await self._calls.send(self._calls.choose(), Call("GET", "/config"))
            if answer is not None and answer.status == 200:
                self._history.read_back = json.loads(answer.body)
            await deferLater(self._reactor, MIN_BACKOFF_S)

    async def _change_all(self, until: float) -> None:
        self.busy = True
        while self._clock() < until:
            await deferLater(self._reactor, CHANGE_INTERVAL_S)
            self._changes += 1
            if self._changes % INVALID_EVERY == 0:
                await self._send_invalid()
            elif self._changes % RACE_EVERY == 0:
                await self._race()
            else:
                await self._change()
        self.busy = False

    async def _change(self) -> None:
        """Send one change, by PUT and PATCH in turn; every third is repeated once acknowledged."""
        base = self.document["version"]
        new_document = self._next_document(self._changes)
        call = (
            put_call(base, new_document)
            if self._changes % 2 == 0
            else patch_call(self.document, new_document)
        )
        order = await self._order(call, base, new_document)
        if order.outcome is OrderOutcome.ACKNOWLEDGED and self._changes % REPEAT_EVERY == 0:
            await self._order(call, base, new_document)
        if order.outcome is not OrderOutcome.ACKNOWLEDGED:
            await self._refresh()

    async def _race(self) -> None:
        """Send two changes concurrently, with the same base version and the same new version."""
        base = self.document["version"]
        first, second = self._next_document(self._changes), self._next_document(self._changes + 1)
        second["version"] = first["version"]
        sent = [
            self._order(put_call(base, new_document), base, new_document) for new_document in (first, second)
        ]
        await gatherResults([Deferred.fromCoroutine(order) for order in sent])
        await self._refresh()

    async def _send_invalid(self) -> None:
        """Send a change with a route to an unknown service."""
        new_document = invalid_document(self._next_document(self._changes))
        base = self.document["version"]
        await self._order(put_call(base, new_document), base, new_document, valid=False)

    async def _refresh(self) -> None:
        """Read the configuration in force after an unclear outcome or competing changes."""
        for _ in range(MAX_REFRESH_CALLS):
            answer = await self._calls.send(self._calls.choose(), Call("GET", "/config"))
            if answer is not None and answer.status == 200:
                self.document = json.loads(answer.body)
                return
            await deferLater(self._reactor, MIN_BACKOFF_S)

    def _next_document(self, number: int) -> dict[str, Any]:
        version = self.document["version"] + self._random.randint(1, 3)
        return changed_document(self.document, number, version)

    async def _order(
        self,
        call: Call,
        base: int,
        new_document: dict[str, Any],
        seconds: float = ORDER_RETRY_FOR_S,
        valid: bool = True,
    ) -> OrderSent:
        """Send a change until its outcome is clear, and record it."""
        sent_at = self._clock()
        result = await self._calls.send_until_decided(call, sent_at + seconds)
        order = OrderSent(
            new_document["version"],
            base,
            sent_at,
            self._clock(),
            result.outcome,
            valid,
            new_document,
            result.status,
        )
        self._history.orders.append(order)
        if result.outcome is OrderOutcome.ACKNOWLEDGED and new_document["version"] > self.document["version"]:
            self.document = new_document
        return order
