"""Clients that read the state of messages at the end of a run."""

from __future__ import annotations

import json

from twisted.internet.defer import DeferredSemaphore, gatherResults
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.http_client import Call, Reply, send_call
from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import HOSTS, Port
from bitternpath.testing.fault_injection.records import FinalState, Send

STATE_TIMEOUT_S = 2.0  # time-out of one call
STATE_RETRY_DELAY_S = 0.3
MAX_STATE_READS = 15  # maximum calls for one answer, each to a random node
CONCURRENT_STATE_READS = 16


class StateReaders:
    """Reads the states of messages, and the bodies of those that aren't done."""

    def __init__(self, context: ActorContext, balancer: LoadBalancer) -> None:
        self._reactor = context.reactor
        self._clock = context.clock
        self._history = context.history
        self._balancer = balancer
        self._concurrency = DeferredSemaphore(CONCURRENT_STATE_READS)

    async def read_all(self, sends: list[Send]) -> None:
        """Read the state of each message, up to `CONCURRENT_STATE_READS` at a time."""
        await gatherResults([self._concurrency.run(self._read, send) for send in sends])

    async def _read(self, send: Send) -> None:
        final_state = FinalState(send.request_id, self._clock(), "")
        answer = await self._get(send, "message")
        if answer is not None:
            document = json.loads(answer.body)
            state, stamp = str(document.get("state", "")), str(document.get("stamp", ""))
            read_at = self._clock()
            body_answer = await self._get(send, "message-body") if state != "done" else None
            final_state = FinalState(
                send.request_id, read_at, state, stamp, body_answer.body if body_answer is not None else None
            )
        self._history.final_states[send.request_id] = final_state

    async def _get(self, send: Send, resource: str) -> Reply | None:
        """Return the answer with 200; None if `MAX_STATE_READS` calls got none."""
        call = Call("GET", f"/{resource}/{send.message_id}", {"Host": HOSTS[send.kind]})
        for _ in range(MAX_STATE_READS):
            address = self._balancer.choose().address(Port.FRONT)
            answer = await send_call(self._reactor, address, call, STATE_TIMEOUT_S)
            if isinstance(answer, Reply) and answer.status == 200:
                return answer
            await deferLater(self._reactor, STATE_RETRY_DELAY_S)
        return None
