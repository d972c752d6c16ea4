"""An operator's calls as PROTOCOL describes them: another node after a second, two redirects, sent again."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.plan import Port, Reachable
from bitternpath.testing.fault_injection.plumbing import Call, Reply, send_call
from bitternpath.testing.fault_injection.records import Clock, OrderOutcome

NODE_TIMEOUT_S = 1.0  # then the operator moves on to another node
MAX_REDIRECTS = 2
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0
BACKOFF_FACTOR = 1.5
FINAL_STATUSES = (400, 409, 412, 413, 422)  # end a call at once; another 4xx at the third try
RETRIED_STATUSES = (408, 429)
MAX_REFUSALS = 3

Nodes = Callable[[], Sequence[Reachable]]


class ControlCalls:
    """One operator's way of calling nodes. `nodes()` is the list that it draws on."""

    def __init__(self, reactor: Any, clock: Clock, nodes: Nodes, random: Random) -> None:
        self._reactor, self._clock, self._nodes, self._random = reactor, clock, nodes, random

    async def send(self, node: Reachable, call: Call) -> Reply | None:
        """One call of one node, with its redirects; None where no whole answer comes."""
        address = node.address(Port.CONTROL)
        for _ in range(MAX_REDIRECTS + 1):
            answer = await send_call(self._reactor, address, call, NODE_TIMEOUT_S)
            if not isinstance(answer, Reply):
                return None
            if answer.status != 307:
                return answer
            address = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
        return None

    def choose(self) -> Reachable:
        """A node of the list."""
        return self._random.choice(self._nodes())

    async def send_until_decided(
        self, call: Call, give_up_at: float, lost_answers: int = 0
    ) -> tuple[OrderOutcome, int]:
        """Send a change to one node after the other until there is a clear answer.

        The first `lost_answers` answers are lost on their way: the operator waits its second, and goes on.
        """
        backoff_s, refusals, status = MIN_BACKOFF_S, 0, 0
        while self._clock() < give_up_at:
            answer = await self.send(self.choose(), call)
            if answer is not None and lost_answers:
                lost_answers -= 1
                answer = None
                await deferLater(self._reactor, NODE_TIMEOUT_S)
            status = answer.status if answer is not None else 0
            if status == 200:
                return OrderOutcome.ACKNOWLEDGED, status
            refusals += 400 <= status < 500 and status not in RETRIED_STATUSES
            if status in FINAL_STATUSES or refusals >= MAX_REFUSALS:
                return OrderOutcome.REFUSED, status
            await deferLater(self._reactor, backoff_s)
            backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
        return OrderOutcome.UNCLEAR, status
