"""The operator: sends the first configuration, then changes of it, and reads it back at the end."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater

from bitternpath.rehearsal.plan import TIMEOUT_MS, Plan, Port, route_document
from bitternpath.rehearsal.plumbing import Call, Reply, send_call
from bitternpath.rehearsal.records import Clock, History, Kind, OrderOutcome, OrderSent

SILENCE_S = 1.0  # then the operator moves on to another node
MOST_REDIRECTS = 2
FIRST_PAUSE_S, MOST_PAUSE_S = 0.1, 1.0
ORDER_FOR_S = 8.0  # beyond `ack_ms`, so that the record says how late an acknowledgement was
FIRST_ORDER_FOR_S = 25.0  # the first configuration is sent again until it is accepted
ENDING = (400, 409, 412, 413, 422)  # end a call at once; another 4xx at the third try
TRIES_OF_REFUSED = 3
CHANGE_EVERY_S = 1.0
INVALID_EVERY, RACE_EVERY, AGAIN_EVERY = 5, 4, 3  # changes between these
TIMEOUTS_MS = (TIMEOUT_MS, TIMEOUT_MS + 200, TIMEOUT_MS + 400)
JSON = "application/json"


class Operator:
    """Changes the configuration. `document` is the newest one that was acknowledged."""

    def __init__(self, reactor: Any, clock: Clock, history: History, plan: Plan) -> None:
        self._reactor, self._clock, self._history, self._plan = reactor, clock, history, plan
        self._random = Random(plan.seed + 1)
        self.document: dict[str, Any] = {"version": 0}
        self._changes = 0
        self.busy = False

    async def found(self, document: dict[str, Any]) -> bool:
        """Send the first configuration; whether it was accepted."""
        order = await self._order(self._put(0, document), 0, document, FIRST_ORDER_FOR_S)
        return order.outcome is OrderOutcome.ACKNOWLEDGED

    def run(self, until: float, failed: Callable[[Any], None]) -> None:
        """Send changes until then; `failed` hears an error in the rehearsal itself."""
        Deferred.fromCoroutine(self._change_all(until)).addErrback(failed)

    async def read_back(self, seconds: float) -> None:
        """Read the configuration again and again for so long; the last answer counts."""
        until = self._clock() + seconds
        while self._clock() < until:
            address = self._random.choice(self._plan.edges).address(Port.CONTROL)
            answer = await self._send(address, Call("GET", "/config"))
            if answer is not None and answer.status == 200:
                self._history.read_back = json.loads(answer.body)
            await deferLater(self._reactor, FIRST_PAUSE_S)

    async def _change_all(self, until: float) -> None:
        self.busy = True
        while self._clock() < until:
            await deferLater(self._reactor, CHANGE_EVERY_S)
            self._changes += 1
            if self._changes % INVALID_EVERY == 0:
                await self._send_invalid()
            elif self._changes % RACE_EVERY == 0:
                await self._race()
            else:
                await self._change()
        self.busy = False

    async def _change(self) -> None:
        """One change, by PUT or PATCH in turn; at times sent a second time after its acknowledgement."""
        base = self.document["version"]
        wanted = self._next(self._changes)
        call = self._put(base, wanted) if self._changes % 2 == 0 else self._patch(base, wanted)
        order = await self._order(call, base, wanted)
        if order.outcome is OrderOutcome.ACKNOWLEDGED and self._changes % AGAIN_EVERY == 0:
            await self._order(call, base, wanted)
        if order.outcome is not OrderOutcome.ACKNOWLEDGED:
            await self._look()

    async def _race(self) -> None:
        """Two changes on top of the same version, at once, under the same number."""
        base = self.document["version"]
        first, second = self._next(self._changes), self._next(self._changes + 1)
        second["version"] = first["version"]
        sent = [self._order(self._put(base, wanted), base, wanted) for wanted in (first, second)]
        await gatherResults([Deferred.fromCoroutine(order) for order in sent])
        await self._look()

    async def _send_invalid(self) -> None:
        """A route that names an unknown service."""
        wanted = self._next(self._changes)
        wanted["routes"][0] = {**wanted["routes"][0], "service": "nowhere"}
        base = self.document["version"]
        await self._order(self._put(base, wanted), base, wanted, valid=False)

    async def _look(self) -> None:
        """After an open fate or a race: what is in force now."""
        for _ in range(10):
            address = self._random.choice(self._plan.edges).address(Port.CONTROL)
            answer = await self._send(address, Call("GET", "/config"))
            if answer is not None and answer.status == 200:
                self.document = json.loads(answer.body)
                return
            await deferLater(self._reactor, FIRST_PAUSE_S)

    def _next(self, number: int) -> dict[str, Any]:
        """Another time-out for a route, and a route that comes or goes."""
        wanted = copy.deepcopy(self.document)
        wanted["version"] += self._random.randint(1, 3)
        routes = [route for route in wanted["routes"] if not route["name"].startswith("route-extra")]
        timeout_ms = TIMEOUTS_MS[number % len(TIMEOUTS_MS)]
        routes[0] = {**routes[0], "timeout_ms": timeout_ms}
        if number % 2:
            name = f"route-extra-{number}"
            routes.append(route_document(Kind.LISTED, TIMEOUT_MS, name, f"/extra-{number}/"))
        wanted["routes"] = routes
        return wanted

    def _put(self, base: int, wanted: dict[str, Any]) -> Call:
        return Call("PUT", "/config", _headers(base), json.dumps(wanted).encode())

    def _patch(self, base: int, wanted: dict[str, Any]) -> Call:
        """The same by named items, as they differ from the document in force."""
        before = {route["name"]: route for route in self.document["routes"]}
        after = {route["name"]: route for route in wanted["routes"]}
        patch = {
            "version": wanted["version"],
            "upsert": {"routes": [route for name, route in after.items() if before.get(name) != route]},
            "remove": {"routes": [name for name in before if name not in after]},
        }
        return Call("PATCH", "/config", _headers(base), json.dumps(patch).encode())

    async def _order(
        self, call: Call, base: int, wanted: dict[str, Any], seconds: float = ORDER_FOR_S, valid: bool = True
    ) -> OrderSent:
        """Send a change to one node after the other until there is a clear answer."""
        sent_at = self._clock()
        outcome, status = await self._until_clear(call, sent_at + seconds)
        order = OrderSent(wanted["version"], base, sent_at, self._clock(), outcome, valid, wanted, status)
        self._history.orders.append(order)
        if outcome is OrderOutcome.ACKNOWLEDGED and wanted["version"] > self.document["version"]:
            self.document = wanted
        return order

    async def _until_clear(self, call: Call, give_up_at: float) -> tuple[OrderOutcome, int]:
        pause, refused, status = FIRST_PAUSE_S, 0, 0
        while self._clock() < give_up_at:
            address = self._random.choice(self._plan.edges).address(Port.CONTROL)
            answer = await self._send(address, call)
            status = answer.status if answer is not None else 0
            if status == 200:
                return OrderOutcome.ACKNOWLEDGED, status
            refused += 400 <= status < 500 and status not in (408, 429)
            if status in ENDING or refused >= TRIES_OF_REFUSED:
                return OrderOutcome.REFUSED, status
            await deferLater(self._reactor, pause)
            pause = min(pause * 1.5, MOST_PAUSE_S)
        return OrderOutcome.UNCLEAR, status

    async def _send(self, address: str, call: Call) -> Reply | None:
        """One call, with its redirects."""
        for _ in range(MOST_REDIRECTS + 1):
            answer = await send_call(self._reactor, address, call, SILENCE_S)
            if not isinstance(answer, Reply):
                return None
            if answer.status != 307:
                return answer
            address = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
        return None


def _headers(base: int) -> dict[str, str]:
    return {"If-Match": str(base), "Content-Type": JSON}
