"""An operator's calls (PROTOCOL), with a time-out for each node, redirects and exponential back-off."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.http_client import Call, Reply, send_call
from bitternpath.testing.fault_injection.plan import Port, ReachableNode
from bitternpath.testing.fault_injection.records import Clock, OrderOutcome

NODE_TIMEOUT_S = 1.0  # after this the operator calls another node
MAX_REDIRECTS = 2
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
BACKOFF_FACTOR = 1.5
FINAL_STATUSES = (400, 409, 412, 413, 422)  # not retried; another 4xx is retried until `MAX_REFUSALS`
RETRIED_STATUSES = (408, 429)
MAX_REFUSALS = 3

Nodes = Callable[[], Sequence[ReachableNode]]


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The outcome of a change, and the status of the last answer (0: no answer)."""

    outcome: OrderOutcome
    status: int


class ControlCalls:
    """Calls nodes for one operator; `nodes()` returns the candidates."""

    def __init__(self, reactor: Any, clock: Clock, nodes: Nodes, random: Random) -> None:
        self._reactor = reactor
        self._clock = clock
        self._nodes = nodes
        self._random = random

    async def send(self, node: ReachableNode, call: Call) -> Reply | None:
        """Call one node and follow redirects; return None if there is no complete answer."""
        address = node.address(Port.CONTROL)
        for _ in range(MAX_REDIRECTS + 1):
            answer = await send_call(self._reactor, address, call, NODE_TIMEOUT_S)
            if not isinstance(answer, Reply):
                return None
            if answer.status != 307:
                return answer
            address = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
        return None

    def choose(self) -> ReachableNode:
        """Return a random node."""
        return self._random.choice(self._nodes())

    async def send_until_decided(self, call: Call, give_up_at: float, lost_answers: int = 0) -> OrderResult:
        """Send a change to random nodes until it is acknowledged or refused, or until `give_up_at`.

        The first `lost_answers` answers are dropped: the operator waits for its time-out and retries.
        """
        backoff_s = MIN_BACKOFF_S
        refusals = 0
        status = 0
        while self._clock() < give_up_at:
            answer = await self.send(self.choose(), call)
            if answer is not None and lost_answers:
                lost_answers -= 1
                answer = None
                await deferLater(self._reactor, NODE_TIMEOUT_S)
            status = answer.status if answer is not None else 0
            if status == 200:
                return OrderResult(OrderOutcome.ACKNOWLEDGED, status)
            refusals += 400 <= status < 500 and status not in RETRIED_STATUSES
            if status in FINAL_STATUSES or refusals >= MAX_REFUSALS:
                return OrderResult(OrderOutcome.REFUSED, status)
            await deferLater(self._reactor, backoff_s)
            backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
        return OrderResult(OrderOutcome.UNCLEAR, status)
