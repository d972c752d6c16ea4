"""Clients that send messages of all kinds and retry those that were rejected without having run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bitternpath.testing.fault_injection.actor_context import ActorContext
from bitternpath.testing.fault_injection.http_client import Call, CallFailure, send_call
from bitternpath.testing.fault_injection.load_balancer import LoadBalancer
from bitternpath.testing.fault_injection.plan import HOSTS, PREFIXES, SHARES, Port, ReachableNode
from bitternpath.testing.fault_injection.records import DeliveryKind, Send, SendOutcome

DEADLINE_MS = 1_500  # deadline of a message, over all its attempts
MIN_TIMEOUT_S = 0.05  # minimum time-out of an attempt that starts close to the deadline
CONNECT_RETRY_DELAY_S = 0.05
MAX_SEND_ATTEMPTS = 3
MAX_RETRY_AFTER_S = 1.0  # cap on `Retry-After`, because the deadline is short
ORDER_KEYS = 12
DELAYED_SHARE = 0.2  # share of pulled messages that have a delay
MAX_DELAY_S = 2.0
BODY_BYTES = {DeliveryKind.LISTED: 600, DeliveryKind.ENDPOINT: 1_200, DeliveryKind.PULLED: 2_500}
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class MessageSpec:
    """A message to be sent; each attempt gets a request id of its own."""

    kind: DeliveryKind
    body: bytes
    order_key: str = ""
    delay_s: float = 0.0
    zone: str = ""  # zone of the client


def draw_message(random: Random) -> MessageSpec:
    """Return a random message; the kinds are weighted by `SHARES`."""
    kind = random.choices(list(SHARES), list(SHARES.values()))[0]
    body = random.randbytes(BODY_BYTES[kind])
    key = f"key-{random.randrange(ORDER_KEYS)}" if kind is DeliveryKind.ENDPOINT else ""
    delayed = kind is DeliveryKind.PULLED and random.random() < DELAYED_SHARE
    delay_s = round(random.uniform(0.2, MAX_DELAY_S), 3) if delayed else 0.0
    return MessageSpec(kind, body, key, delay_s)


class Clients:
    """Sends specified messages, or random ones as a Poisson process."""

    def __init__(self, context: ActorContext, balancer: LoadBalancer, callback_url: str) -> None:
        self._reactor = context.reactor
        self._clock = context.clock
        self._history = context.history
        self._balancer = balancer
        self._callback_url = callback_url
        self.in_flight = 0  # number of messages that are in flight or wait for their next attempt

    def run(self, until: float, rate: float, random: Random, failed: Callable[[Any], None]) -> None:
        """Send random messages until `until`; `failed` receives an error of the test environment itself."""
        Deferred.fromCoroutine(self._send_all(until, rate, random, failed)).addErrback(failed)

    async def _send_all(
        self, until: float, rate: float, random: Random, failed: Callable[[Any], None]
    ) -> None:
        while self._clock() < until:
            await deferLater(self._reactor, random.expovariate(rate))
            Deferred.fromCoroutine(self.send(draw_message(random), random)).addErrback(failed)

    async def send(self, spec: MessageSpec, random: Random) -> Send:
        """Send one message; retries until an attempt is accepted or unclear, or the deadline is near.

        Returns the last attempt.
        """
        self.in_flight += 1
        give_up_at = self._clock() + DEADLINE_MS / 1000
        for _ in range(MAX_SEND_ATTEMPTS):
            node = self._balancer.choose(spec.zone)
            send = self._prepare(spec, node, random)
            retry_delay_s = await self._attempt(send, node, give_up_at)
            if retry_delay_s is None or self._clock() + retry_delay_s >= give_up_at:
                break
            await deferLater(self._reactor, retry_delay_s)
        self.in_flight -= 1
        return send

    def _prepare(self, spec: MessageSpec, node: ReachableNode, random: Random) -> Send:
        request_id = f"{random.getrandbits(64):016x}"
        target = f"{PREFIXES[spec.kind]}{random.getrandbits(24):06x}/x?n={random.getrandbits(16)}"
        send = Send(
            request_id,
            self._clock(),
            node.name,
            spec.kind,
            target,
            spec.body,
            spec.order_key,
            spec.delay_s,
            wants_callback=spec.kind is not DeliveryKind.LISTED,
        )
        self._history.sends[request_id] = send
        return send

    async def _attempt(self, send: Send, node: ReachableNode, give_up_at: float) -> float | None:
        """Make one attempt; return the seconds until the next one, None if there is none."""
        timeout_s = max(give_up_at - self._clock(), MIN_TIMEOUT_S)
        answer = await send_call(
            self._reactor, node.address(Port.FRONT), self._call(send, timeout_s), timeout_s
        )
        send.ended_at = self._clock()
        if isinstance(answer, CallFailure):
            send.outcome = SendOutcome.UNCLEAR
            send.connection_closed = answer is CallFailure.CLOSED
            if answer is CallFailure.NO_CONNECTION:
                send.outcome = SendOutcome.NOT_SENT
                return CONNECT_RETRY_DELAY_S
            return None
        send.status = answer.status
        send.outcome = _outcome(answer.status)
        send.message_id = answer.headers.get("x-message-id", send.request_id)
        if send.outcome is SendOutcome.NOT_EXECUTED:
            return min(float(answer.headers.get("retry-after", "0")), MAX_RETRY_AFTER_S)
        return None

    def _call(self, send: Send, timeout_s: float) -> Call:
        headers = {
            "Host": HOSTS[send.kind],
            "X-Request-Id": send.request_id,
            "X-Deadline-Ms": str(int(timeout_s * 1000)),
        }
        if send.order_key:
            headers["X-Order-Key"] = send.order_key
        if send.delay_s:
            headers["X-Delay-Ms"] = str(int(send.delay_s * 1000))
        if send.wants_callback:
            headers["X-Callback-Url"] = self._callback_url
        return Call("POST", send.target, headers, send.body)


def _outcome(status: int) -> SendOutcome:
    if status == 202:
        return SendOutcome.ACCEPTED
    if status in NOT_EXECUTED_STATUSES:
        return SendOutcome.NOT_EXECUTED
    return SendOutcome.UNCLEAR if status >= 500 else SendOutcome.REJECTED
