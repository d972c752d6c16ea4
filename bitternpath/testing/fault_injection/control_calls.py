"""An operator's calls as PROTOCOL describes them: another node after a second, two redirects, sent again."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.plan import Port, Reachable
from bitternpath.testing.fault_injection.plumbing import Call, Reply, send_call
from bitternpath.testing.fault_injection.records import Clock, OrderOutcome

SILENCE_S = 1.0  # then the operator moves on to another node
MOST_REDIRECTS = 2
FIRST_PAUSE_S, MOST_PAUSE_S = 0.1, 1.0
PAUSE_GROWTH = 1.5
ENDING = (400, 409, 412, 413, 422)  # end a call at once; another 4xx at the third try
TRY_AGAIN = (408, 429)
TRIES_OF_REFUSED = 3

Nodes = Callable[[], Sequence[Reachable]]


class ControlCalls:
    """One operator's way of calling nodes. `nodes()` is the list that it draws on."""

    def __init__(self, reactor: Any, clock: Clock, nodes: Nodes, random: Random) -> None:
        self._reactor, self._clock, self._nodes, self._random = reactor, clock, nodes, random

    async def send(self, node: Reachable, call: Call) -> Reply | None:
        """One call of one node, with its redirects; None where no whole answer comes."""
        address = node.address(Port.CONTROL)
        for _ in range(MOST_REDIRECTS + 1):
            answer = await send_call(self._reactor, address, call, SILENCE_S)
            if not isinstance(answer, Reply):
                return None
            if answer.status != 307:
                return answer
            address = answer.headers.get("location", "").removeprefix("http://").partition("/")[0]
        return None

    def choose(self) -> Reachable:
        """A node of the list."""
        return self._random.choice(self._nodes())

    async def until_clear(
        self, call: Call, give_up_at: float, lost_answers: int = 0
    ) -> tuple[OrderOutcome, int]:
        """Send a change to one node after the other until there is a clear answer.

        The first `lost_answers` answers are lost on their way: the operator waits its second, and goes on.
        """
        pause, refused, status = FIRST_PAUSE_S, 0, 0
        while self._clock() < give_up_at:
            answer = await self.send(self.choose(), call)
            if answer is not None and lost_answers:
                lost_answers -= 1
                answer = None
                await deferLater(self._reactor, SILENCE_S)
            status = answer.status if answer is not None else 0
            if status == 200:
                return OrderOutcome.ACKNOWLEDGED, status
            refused += 400 <= status < 500 and status not in TRY_AGAIN
            if status in ENDING or refused >= TRIES_OF_REFUSED:
                return OrderOutcome.REFUSED, status
            await deferLater(self._reactor, pause)
            pause = min(pause * PAUSE_GROWTH, MOST_PAUSE_S)
        return OrderOutcome.UNCLEAR, status
